//! Delays between failed calls to a store that may be down, or refuse this node.

use cornelridge_model::time;

/// Delay after a first failure.
const MIN_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest delay, so that a node is back within two seconds of the store's return.
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// Share of a delay that is random, so that nodes don't retry in step.
const RANDOM_SHARE: f64 = 0.25;

/// Delay after the next failure, which doubles with each failure in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay {
    delay: time::Duration,
}

impl Default for RetryDelay {
    fn default() -> RetryDelay {
        RetryDelay { delay: MIN_DELAY }
    }
}

impl RetryDelay {
    /// Starts over after a successful call.
    pub fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }

    /// Returns the delay after a failure; `draw` is a random number from 0 to 1.
    pub fn next_delay(&mut self, draw: f64) -> time::Duration {
        let delay = self.delay;
        self.delay = time::Duration((delay.0 * 2).min(MAX_DELAY.0));
        time::Duration((delay.0 as f64 * (1.0 - RANDOM_SHARE * draw)) as u64)
    }
}
