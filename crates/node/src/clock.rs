//! The monotonic clock of the process.

use std::time;

use cornelridge_model::time as model_time;

/// Reads the monotonic clock as `model::time::Instant`; cheap to copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    start: time::Instant,
}

impl MonotonicClock {
    /// A clock that starts now; its zero is offset by an hour so that subtraction can't underflow.
    pub(crate) fn new() -> MonotonicClock {
        let now = time::Instant::now();
        MonotonicClock { start: now.checked_sub(time::Duration::from_secs(3_600)).unwrap_or(now) }
    }

    /// The current time.
    pub(crate) fn now(&self) -> model_time::Instant {
        model_time::Instant(self.start.elapsed().as_micros() as u64)
    }
}

impl Default for MonotonicClock {
    fn default() -> MonotonicClock {
        MonotonicClock::new()
    }
}
