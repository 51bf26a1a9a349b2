//! Monotonic clock of the process.

use std::time;

use cornelridge_model::time as model_time;

/// Clock that returns `model::time::Instant`; cheap to copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    start: time::Instant,
}

impl MonotonicClock {
    /// Creates a clock whose zero is one hour ago, so that subtraction can't underflow.
    pub(crate) fn new() -> MonotonicClock {
        let now = time::Instant::now();
        MonotonicClock { start: now.checked_sub(time::Duration::from_secs(3_600)).unwrap_or(now) }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> model_time::Instant {
        model_time::Instant(self.start.elapsed().as_micros() as u64)
    }
}

impl Default for MonotonicClock {
    fn default() -> MonotonicClock {
        MonotonicClock::new()
    }
}
