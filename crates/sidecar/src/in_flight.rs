//! Counter of requests in flight, by which a stopping node detects that all have finished.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of requests in flight; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

/// One request in flight, counted until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts a request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn current(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
