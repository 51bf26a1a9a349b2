//! Calls that the worker makes for the requests that it runs.

use std::sync::Arc;

use cornelridge_fleet::admission;
use cornelridge_fleet::call_load;
use cornelridge_model::time;

use super::LocalWorker;
use crate::clock;
use crate::failure::{FailureCause, RequestFailure};
use crate::meter;
use crate::request;
use crate::view::lock;

impl LocalWorker {
    /// Returns the route and the priority of the request with this identifier, if it is at the
    /// worker or waits for it.
    pub(crate) fn running_request(&self, id: &str) -> Option<(Arc<str>, u8)> {
        let running = lock(&self.running);
        running.get(id).map(|running| (Arc::clone(&running.route), running.priority))
    }

    /// Records the outcome of a call that a request at the worker made.
    pub(crate) fn record_call(
        &self,
        parent_route: &Arc<str>,
        route: &Arc<str>,
        outcome: call_load::CallOutcome,
    ) {
        lock(&self.call_load).record_call(clock::now(), parent_route, route, outcome);
    }

    /// Checks that the calls of a request can probably be served.
    pub(crate) fn check_calls(
        &self,
        request: &request::FleetRequest,
    ) -> Result<(), RequestFailure> {
        if !self.shares_room {
            return Ok(());
        }
        let (now, route) = (clock::now(), &request.route);
        let (decision, was_limited, is_limited) = {
            let mut calls = lock(&self.call_load);
            let was_limited = calls.is_limited(route);
            (calls.may_start(now, route), was_limited, calls.is_limited(route))
        };
        if was_limited != is_limited {
            meter::count_call_limit(route, is_limited);
            log::info!(
                route:% = route, is_limited; "limit on requests whose calls are refused changed"
            );
        }
        decision.map_err(|wait| {
            meter::count_refusal(route, admission::RefusalReason::Calls);
            log::info!(
                request:% = request.id, route:% = route, wait_us = wait.0,
                priority = request.priority;
                "request refused: its calls can't be served"
            );
            RequestFailure::not_run(FailureCause::Overloaded).with_retry_after(wait)
        })
    }

    /// Takes back the start of a request that passed `check_calls` at `at` and wasn't run.
    pub(crate) fn record_not_started(&self, request: &request::FleetRequest, at: time::Instant) {
        if self.shares_room {
            lock(&self.call_load).record_not_started(clock::now(), &request.route, at);
        }
    }
}
