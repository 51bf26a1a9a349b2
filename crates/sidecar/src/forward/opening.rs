//! Times at which the nodes beside workers take requests, as the nodes stated.

use cornelridge_fleet::room;
use cornelridge_fleet::selection;
use cornelridge_model::time;

use super::{AttemptTarget, RequestForwarder, history};
use crate::clock;
use crate::failure::{FailureCause, RequestFailure};
use crate::request;
use crate::response;
use crate::view::lock;

/// Share of the longest wait of a caller over which the returns at one opening are spread.
const OPENING_SPREAD: f64 = 0.25;

impl RequestForwarder {
    /// Returns what the selection of a worker depends on.
    pub(super) fn selection_request(
        &self,
        request: &request::FleetRequest,
    ) -> selection::SelectionRequest {
        let config = self.view.config();
        let service = config.as_ref().and_then(|config| config.config.service(&request.service));
        let shares_room = self.dispatch.local_worker.shares_room;
        selection::SelectionRequest {
            is_bulk: request.is_bulk,
            priority: request.priority,
            latest_start: request.to_admission(time::Duration::ZERO).cutoff(shares_room),
            has_warm_up: service.is_some_and(|service| service.warm_up.is_some()),
        }
    }

    /// Fails if the holder of a key takes the request too late, with the time until it takes one.
    pub(super) fn check_opening(
        &self,
        request: &request::FleetRequest,
        target: AttemptTarget,
    ) -> Result<AttemptTarget, RequestFailure> {
        let (now, needs) = (clock::now(), self.selection_request(request));
        let worker = &target.worker.name;
        let selector = lock(&self.selector);
        match selector.closed_until(now, worker, needs.priority, needs.latest_start) {
            Some(opening) => Err(RequestFailure::not_run(FailureCause::Overloaded)
                .with_retry_after(opening.since(now))),
            None => Ok(target),
        }
    }

    /// Returns the worker with the lowest expected cost among those that take the request in time;
    /// fails with the time until one does if there are candidates, but none of this kind.
    pub(super) fn select_open(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
        candidates: &[selection::WorkerCandidate],
    ) -> Result<Option<selection::WorkerCandidate>, RequestFailure> {
        let selected = self.select_in_zones(request, candidates);
        if selected.is_some() || candidates.is_empty() {
            return Ok(selected);
        }
        // Of many workers, the preferred ones may be closed and others open.
        let all = self.all_candidates(&request.service);
        if history.tried.is_empty()
            && let Some(other) = self.select_in_zones(request, &all)
        {
            return Ok(Some(other));
        }
        let (now, needs) = (clock::now(), self.selection_request(request));
        let opening =
            lock(&self.selector).first_opening(now, &all, needs.priority, needs.latest_start);
        let wait = opening.map_or(time::Duration::ZERO, |opening| opening.since(now));
        Err(RequestFailure::not_run(FailureCause::Overloaded).with_retry_after(wait))
    }

    /// Returns a refusal with the time until the first worker takes such a request, if another one
    /// than that which refused does so earlier.
    pub(super) fn with_first_opening(
        &self,
        request: &request::FleetRequest,
        failure: RequestFailure,
    ) -> RequestFailure {
        let needs = self.selection_request(request);
        if failure.cause != FailureCause::Overloaded || !needs.has_warm_up || request.key.is_some()
        {
            return failure;
        }
        let (now, all) = (clock::now(), self.all_candidates(&request.service));
        let selector = lock(&self.selector);
        match selector.first_opening(now, &all, needs.priority, needs.latest_start) {
            Some(opening) => {
                let stated = failure.retry_after.unwrap_or(time::Duration(u64::MAX));
                failure.with_retry_after(stated.min(opening.since(now)))
            }
            None => failure,
        }
    }

    /// Spreads the returns of callers whose requests no worker was asked to run: none of them has a
    /// share of the room, and all would return at the same opening.
    pub(super) fn spread_opening(
        &self,
        request: &request::FleetRequest,
        failure: RequestFailure,
    ) -> RequestFailure {
        let shares_room = self.dispatch.local_worker.shares_room;
        let is_for_room = shares_room && failure.cause == FailureCause::Overloaded;
        let Some(opening) = failure.retry_after.filter(|_| is_for_room) else { return failure };
        let longest = room::longest_wait(request.deadline.since(clock::now()));
        let spread = longest.0 as f64 * OPENING_SPREAD * lock(&self.random).f64();
        failure.with_retry_after(opening + time::Duration(spread as u64))
    }
}

/// Returns the time for which a worker's node refuses requests.
pub(super) fn refused_for(
    result: &Result<response::WorkerResponse, RequestFailure>,
    next_start: time::Duration,
    shares_room: bool,
) -> Option<time::Duration> {
    let failure = result.as_ref().err()?;
    // A refusal because of the link says nothing about other requests.
    let is_closed = failure.cause == FailureCause::Overloaded && next_start > time::Duration::ZERO;
    let stated = failure.retry_after.filter(|_| is_closed)?;
    // Where room is shared, the stated time is the share of that caller, which may be later than
    // those of others.
    Some(if shares_room { stated.min(next_start) } else { stated })
}
