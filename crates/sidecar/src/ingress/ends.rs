//! Records how the requests of callers end.

use std::sync::Arc;

use cornelridge_fleet::route_usage;
use cornelridge_model::time;

use crate::clock;
use crate::meter;
use crate::usage_watch;
use crate::view::lock;

/// Records the end of a request that got a response, when dropped.
pub(super) struct EndRecorder {
    pub(super) ends: usage_watch::SharedEnds,
    pub(super) route: Arc<str>,
    pub(super) arrived: time::Instant,
    /// When the response began.
    pub(super) started: time::Instant,
    pub(super) target: time::Instant,
    pub(super) is_success: bool,
    pub(super) is_complete: bool,
}

impl Drop for EndRecorder {
    fn drop(&mut self) {
        let now = clock::now();
        let end = match (self.is_success, self.is_complete) {
            (false, _) => route_usage::RequestEnd::Failed,
            (true, false) => route_usage::RequestEnd::Left,
            (true, true) if now <= self.target => route_usage::RequestEnd::InTime,
            (true, true) => route_usage::RequestEnd::Late,
        };
        let waiting = self.started.since(self.arrived);
        record_end(&self.ends, &self.route, end, waiting, now.since(self.started));
    }
}

/// Records the end of a request: `waiting` is the time to the start of its response, `sending` that
/// from there to its end.
pub(super) fn record_end(
    ends: &usage_watch::SharedEnds,
    route: &Arc<str>,
    end: route_usage::RequestEnd,
    waiting: time::Duration,
    sending: time::Duration,
) {
    meter::count_request_end(route, end);
    lock(ends).route(route).record(end, waiting, sending);
}
