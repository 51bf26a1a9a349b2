//! The deadline of a node that shuts down.

use std::sync::{Arc, OnceLock};

use cornelridge_model::time;

use crate::failure::{FailureCause, RequestFailure};

/// The time at which the node ends, once a shutdown has begun; clones share the time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownDeadline {
    at: Arc<OnceLock<time::Instant>>,
}

impl ShutdownDeadline {
    /// Begins a shutdown that ends at `at`.
    pub(crate) fn set(&self, at: time::Instant) {
        // A second request to stop doesn't move the deadline.
        let _ = self.at.set(at);
    }

    /// Refuses a request whose `deadline` is after the end of the node: the request would be cut
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
