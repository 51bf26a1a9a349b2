//! Requests that leave the availability zone of the node, whose cost is weighed against delays.

use cornelridge_fleet::selection;
use cornelridge_fleet::zone_choice;
use cornelridge_model::time;
use http::header;

use super::{AttemptTarget, RequestForwarder};
use crate::clock;
use crate::meter;
use crate::request;
use crate::response;
use crate::view::lock;

impl RequestForwarder {
    /// Selects a worker that can take the request in time.
    pub(super) fn select_in_zones(
        &self,
        request: &request::FleetRequest,
        candidates: &[selection::WorkerCandidate],
    ) -> Option<selection::WorkerCandidate> {
        let (now, needs) = (clock::now(), self.selection_request(request));
        let terms = self.zone_traffic.as_ref().map(|traffic| zone_choice::ZoneTerms {
            time_left: time_left(now, request),
            answer_bytes: lock(traffic).answer_bytes(&request.route, request.is_bulk),
        });
        let selected = {
            let (selector, mut random) = (lock(&self.selector), lock(&self.random));
            let draw = || random.f64();
            match terms {
                Some(terms) => selector.select_by_zone(now, candidates, needs, terms, draw),
                None => selector.select(now, candidates, needs, draw),
            }
        };
        let selected = selected?;
        if let Some(traffic) = &self.zone_traffic
            && candidates.iter().any(|candidate| candidate.is_same_zone)
        {
            let (service, is_same_zone) = (&request.service, selected.is_same_zone);
            let change = lock(traffic).record_choice(now, service, is_same_zone);
            change.iter().for_each(log_change);
        }
        Some(selected.clone())
    }

    /// Counts a request that is sent to a worker, by the zone of the worker.
    pub(super) fn count_zone(&self, request: &request::FleetRequest, target: &AttemptTarget) {
        meter::count_zone(&request.service, target.member.zone == self.zone);
    }

    /// Records the size of an answer. Error messages say nothing about the answers of a route.
    pub(super) fn record_answer_size(
        &self,
        request: &request::FleetRequest,
        response: &response::WorkerResponse,
    ) {
        let Some(traffic) = self.zone_traffic.as_ref().filter(|_| response.status.is_success())
        else {
            return;
        };
        let stated = response.headers.get(header::CONTENT_LENGTH);
        let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let buffered = response.body.buffered_bytes() as u64;
        let bytes = match response.body.is_complete() {
            true => buffered,
            false => stated.unwrap_or_default().max(buffered),
        };
        lock(traffic).record_answer(&request.route, request.is_bulk, bytes);
    }

    /// Removes the state of routes and services that no longer exist, and logs services whose
    /// requests have ended.
    pub(super) fn refresh_zone_traffic(&self) {
        let Some(traffic) = &self.zone_traffic else { return };
        let config = self.view.config();
        let mut traffic = lock(traffic);
        traffic.poll(clock::now()).iter().for_each(log_change);
        if let Some(config) = config {
            let has_route =
                |name: &str| config.config.routes.iter().any(|route| &*route.name == name);
            traffic.retain(has_route, |name| config.config.service(name).is_some());
        }
    }
}

/// Returns the time until the target, or until the deadline if the target has passed.
fn time_left(now: time::Instant, request: &request::FleetRequest) -> time::Duration {
    let end = if now < request.target { request.target } else { request.deadline };
    end.since(now)
}

fn log_change(change: &zone_choice::TrafficChange) {
    let (service, share) = (&change.service, change.share);
    match change.is_leaving {
        true => log::info!(service:% = service, share = share; "requests begin to leave the zone"),
        false => log::info!(service:% = service, share = share; "requests stay in the zone again"),
    }
}
