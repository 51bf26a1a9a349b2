//! Whether a request may still be sent to the worker.

use std::sync::atomic::{AtomicU8, Ordering};

use tokio_util::sync::CancellationToken;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// Decides between sending a request and giving it up, so that a request that is given up before it
/// is sent has certainly not run.
#[derive(Debug, Default)]
pub(crate) struct SendState {
    state: AtomicU8,
    /// Cancelled when the sender of the request no longer waits for its result.
    pub(crate) cancellation: CancellationToken,
}

impl SendState {
    /// Returns whether the request may be sent; it then counts as sent.
    pub(crate) fn start_sending(&self) -> bool {
        self.change(WAITING, SENT) != ABANDONED
    }

    /// Records that nothing of the request was sent after `start_sending`.
    pub(crate) fn record_not_sent(&self) {
        self.change(SENT, WAITING);
    }

    /// Gives the request up; returns `false` if it may have been sent.
    pub(crate) fn abandon(&self) -> bool {
        self.change(WAITING, ABANDONED) != SENT
    }

    /// Changes the state if it is `from`; returns the state before.
    fn change(&self, from: u8, to: u8) -> u8 {
        let result = self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        result.unwrap_or_else(|before| before)
    }
}
