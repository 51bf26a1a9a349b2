//! Counts requests in flight, so that a stopping node knows when it is done.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of requests in flight; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

/// One request in flight, until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts one request more.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Requests in flight.
    pub(crate) fn current(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
