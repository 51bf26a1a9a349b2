//! Queued requests in their order of dispatch.

/// Requests that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct Backlog;

impl Backlog {
    /// Creates an empty backlog.
    pub(crate) fn new() -> Backlog {
        Backlog
    }
}
