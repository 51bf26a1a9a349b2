//! Delays between failed calls to the store.

use cornelridge_model::time;
use futures_lite::future;

use crate::clock;
use crate::view;

/// Delay after a first failure.
const MIN_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest delay, so that a node is back within two seconds of the store's return.
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_500);

/// Delay after the next failure, which doubles with each failure in a row, so that a store that
/// turns this node away isn't called all the time.
#[derive(Debug)]
pub(crate) struct StoreBackoff {
    delay: time::Duration,
}

impl StoreBackoff {
    pub(crate) fn new() -> StoreBackoff {
        StoreBackoff { delay: MIN_DELAY }
    }

    /// Starts over after a successful call.
    pub(crate) fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }

    /// Returns the delay after a failure. Its upper quarter is random, so that nodes don't retry in
    /// step.
    fn next_delay(&mut self) -> time::Duration {
        let delay = self.delay;
        self.delay = time::Duration((delay.0 * 2).min(MAX_DELAY.0));
        time::Duration(delay.0 - fastrand::u64(0..=delay.0 / 4))
    }

    /// Waits after a failed call.
    pub(crate) async fn wait(&mut self) {
        clock::sleep(self.next_delay()).await;
    }

    /// Waits after a failed call, or until another call of this node succeeds after failures.
    pub(crate) async fn wait_for_store(&mut self, view: &view::FleetView) {
        let recovered = view.store_recovered.listen();
        future::or(clock::sleep(self.next_delay()), recovered).await;
    }
}
