//! Selection of a worker where the cost of traffic between zones is weighed against delays.

use cornelridge_model::time;

use super::{SelectionRequest, WorkerCandidate, WorkerRecord, WorkerSelector};
use crate::zone_choice;

impl WorkerSelector {
    /// Returns the candidate with the lowest expected cost in the zone that is chosen for the
    /// request (see [`zone_choice`]). Selects as [`WorkerSelector::select`] does while the load of
    /// the own zone is unknown or only one of the zones has workers that can take the request.
    pub fn select_by_zone<'a>(
        &self,
        now: time::Instant,
        candidates: &'a [WorkerCandidate],
        request: SelectionRequest,
        terms: zone_choice::ZoneTerms,
        mut draw: impl FnMut() -> f64,
    ) -> Option<&'a WorkerCandidate> {
        let own = self.zone_outlook(now, candidates, request, true);
        let other = self.zone_outlook(now, candidates, request, false);
        let reachable = self.reachable_share(candidates);
        let Some(probability) = zone_choice::choose(terms, own, other, reachable) else {
            return self.select(now, candidates, request, draw);
        };
        let is_leaving = draw() < probability;
        self.select_among(now, candidates, request, |known| known.is_same_zone != is_leaving, draw)
    }

    /// Returns the share of the workers of other zones whose nodes could be reached last time.
    fn reachable_share(&self, candidates: &[WorkerCandidate]) -> f64 {
        let others = || candidates.iter().filter(|known| !known.is_same_zone);
        let is_reachable = |known: &&WorkerCandidate| {
            self.records.get(&known.worker).is_none_or(|record| record.pauses == 0)
        };
        others().filter(is_reachable).count() as f64 / others().count().max(1) as f64
    }

    /// Returns what is expected of the best open worker in the own zone or in the other ones.
    fn zone_outlook(
        &self,
        now: time::Instant,
        candidates: &[WorkerCandidate],
        request: SelectionRequest,
        is_same_zone: bool,
    ) -> zone_choice::ZoneOutlook {
        let is_open = |known: &&WorkerCandidate| {
            let (priority, latest_start) = (request.priority, request.latest_start);
            known.is_same_zone == is_same_zone
                && !self.is_paused(now, &known.worker)
                && self.closed_until(now, &known.worker, priority, latest_start).is_none()
        };
        let open: Vec<(u32, Option<&WorkerRecord>)> = candidates
            .iter()
            .filter(is_open)
            .map(|known| (known.slots, self.records.get(&known.worker)))
            .collect();
        if open.is_empty() {
            return zone_choice::ZoneOutlook::Closed;
        }
        let hint_of = |record: &WorkerRecord| {
            record.hint.map(|hint| zone_choice::WorkerHint {
                expected: hint.expected_latency.0 as f64,
                age: now.since(hint.at),
            })
        };
        let hints = open.iter().filter_map(|(_, record)| record.and_then(hint_of));
        let Some(level) = zone_choice::ZoneLevel::new(hints) else {
            return zone_choice::ZoneOutlook::Unknown;
        };
        let outlooks = open.iter().map(|(slots, record)| {
            let Some(record) = record else {
                let expected = level.expected(None);
                return zone_choice::WorkerOutlook { expected, failure_share: 0.0 };
            };
            let expected = level.expected(hint_of(record)) * (1.0 + record.in_flight(now, *slots))
                + record.delivery_time(now, request.is_bulk);
            let failure_share = record.failure_share(now);
            zone_choice::WorkerOutlook { expected, failure_share }
        });
        let cost = |outlook: &zone_choice::WorkerOutlook| {
            outlook.expected + outlook.failure_share * super::FAILURE_COST.0 as f64
        };
        let best = outlooks.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(zone_choice::ZoneOutlook::Unknown, zone_choice::ZoneOutlook::Known)
    }
}
