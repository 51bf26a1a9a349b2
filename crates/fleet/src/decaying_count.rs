//! A count of events that decays with time.

use cornelridge_model::time;

/// A count that halves in each half-life, which is an argument of all calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    value: f64,
    at: time::Instant,
}

impl DecayingCount {
    /// Returns the count.
    pub(crate) fn get(&self, now: time::Instant, half_life: time::Duration) -> f64 {
        if self.value <= 0.0 {
            return 0.0;
        }
        let age = now.since(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(age / half_life.as_secs_f64())
    }

    /// Adds to the count.
    pub(crate) fn add(&mut self, now: time::Instant, half_life: time::Duration, amount: f64) {
        self.value = self.get(now, half_life) + amount;
        self.at = now;
    }

    /// Takes back what was added at `at`.
    pub(crate) fn take_back(
        &mut self,
        now: time::Instant,
        half_life: time::Duration,
        amount: f64,
        at: time::Instant,
    ) {
        let added = DecayingCount { value: amount, at };
        self.value = (self.get(now, half_life) - added.get(now, half_life)).max(0.0);
        self.at = now;
    }
}
