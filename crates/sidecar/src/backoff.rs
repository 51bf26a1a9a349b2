//! Waits after failed calls to the store.

use cornelridge_fleet::backoff;
use futures_lite::future;

use crate::clock;
use crate::view;

/// Waits of one task after its failed calls.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    delay: backoff::RetryDelay,
}

impl StoreBackoff {
    /// Starts over after a successful call.
    pub(crate) fn reset(&mut self) {
        self.delay.reset();
    }

    /// Waits after a failed call.
    pub(crate) async fn wait(&mut self) {
        clock::sleep(self.delay.next_delay(fastrand::f64())).await;
    }

    /// Waits after a failed call, or until another call of this node succeeds after failures.
    pub(crate) async fn wait_for_store(&mut self, view: &view::FleetView) {
        future::or(self.wait(), view.store_recovered.listen()).await;
    }
}
