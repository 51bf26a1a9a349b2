//! The end of a node that stops.

use std::sync::{Arc, OnceLock};

use cornelridge_model::time;

use crate::failure::{FailureCause, RequestFailure};

/// When the node ends, once it was told to stop; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownDeadline {
    at: Arc<OnceLock<time::Instant>>,
}

impl ShutdownDeadline {
    /// The node stops and ends at this time.
    pub(crate) fn set(&self, at: time::Instant) {
        // A second request to stop doesn't move the end.
        let _ = self.at.set(at);
    }

    /// Checks that a request that may run until `deadline` ends before the node: it would be cut
    /// off, while another node can still serve it.
    pub(crate) fn check(&self, deadline: time::Instant) -> Result<(), RequestFailure> {
        match self.at.get() {
            Some(end) if deadline > *end => {
                Err(RequestFailure::not_run(FailureCause::NodeStopping))
            }
            _ => Ok(()),
        }
    }
}
