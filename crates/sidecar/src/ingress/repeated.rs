//! Requests that repeat one that this node refused.

use cornelridge_model::time;

use super::{CallerIngress, work_identity};
use crate::clock;
use crate::failure::{RequestFailure, RunState};
use crate::meter;
use crate::request;
use crate::response;
use crate::view::lock;

impl CallerIngress {
    /// Sets the target of a request that was refused before to that of the first one. If that has
    /// passed, the request goes behind others of its priority and waits for less.
    pub(super) fn restore_target(&self, request: &mut request::FleetRequest) {
        if request.is_call {
            return;
        }
        let (identity, deadline) = (work_identity(request), request.caller_deadline);
        let known = lock(&self.first_requests).target_of(identity, deadline);
        let Some(target) = known else { return };
        meter::count_repeated_request(&request.route);
        request.first_target = target;
        let now = clock::now();
        log::info!(
            request:% = request.id, route:% = request.route,
            late_us = now.since(target).0, left_us = target.since(now).0;
            "request repeats a refused one"
        );
        if target > now {
            request.target = request.target.min(target);
        } else {
            request.is_early = true;
            // It may use room that no other request needs.
            let usual = request.target.since(request.arrived);
            request.target = request.arrived + time::Duration(usual.0 / 2);
        }
    }

    /// Remembers a request that was refused, as its caller may send it again.
    pub(super) fn record_refused(
        &self,
        request: &request::FleetRequest,
        result: &Result<response::WorkerResponse, RequestFailure>,
    ) {
        let is_refused = result.as_ref().is_err_and(|failure| failure.state == RunState::NotRun);
        if is_refused && !request.is_call {
            let (identity, deadline) = (work_identity(request), request.caller_deadline);
            let target = request.first_target;
            lock(&self.first_requests).record(clock::now(), identity, deadline, target);
        }
    }
}
