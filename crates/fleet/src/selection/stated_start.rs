//! Times at which the nodes beside workers take requests, as the nodes stated.

use cornelridge_model::time;

use super::{WorkerCandidate, WorkerRecord, WorkerSelector};
use crate::member;

/// When the node beside a worker takes requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedStart {
    /// When it takes the next request, by its last answer.
    next_start: time::Instant,
    /// Until when it refuses such requests.
    refused_until: time::Instant,
}

impl WorkerRecord {
    /// Returns the earliest time at which the worker's node takes a request, if it is known to be
    /// later than `latest_start` or the node refuses such requests until then.
    pub(super) fn closed_until(
        &self,
        now: time::Instant,
        priority: u8,
        latest_start: time::Instant,
    ) -> Option<time::Instant> {
        let stated = self.starts.range(..=priority).map(|(_, stated)| *stated);
        let closed = stated.filter_map(|stated| {
            let is_late = stated.next_start > now && stated.next_start > latest_start;
            let next_start = if is_late { stated.next_start } else { now };
            Some(next_start.max(stated.refused_until)).filter(|until| *until > now)
        });
        closed.max()
    }
}

impl WorkerSelector {
    /// Returns until when the node beside a worker takes no request of this priority that has to
    /// start by `latest_start`, or `None` if it may take one.
    pub fn closed_until(
        &self,
        now: time::Instant,
        worker: &member::WorkerName,
        priority: u8,
        latest_start: time::Instant,
    ) -> Option<time::Instant> {
        self.records.get(worker)?.closed_until(now, priority, latest_start)
    }

    /// Returns when the first of the candidates takes a request of this priority, or `None` if one
    /// may take it now or there are no candidates.
    pub fn first_opening(
        &self,
        now: time::Instant,
        candidates: &[WorkerCandidate],
        priority: u8,
        latest_start: time::Instant,
    ) -> Option<time::Instant> {
        let openings = candidates.iter().map(|candidate| {
            self.closed_until(now, &candidate.worker, priority, latest_start).unwrap_or(now)
        });
        openings.min().filter(|opening| *opening > now)
    }

    /// Records when the node beside a worker takes the next request of a priority, as it stated.
    pub fn record_next_start(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        priority: u8,
        next_start: time::Duration,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        record.starts.entry(priority).or_default().next_start = now + next_start;
    }

    /// Records that the node beside a worker refuses requests of a priority for a time.
    pub fn record_refused_for(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        priority: u8,
        refused_for: time::Duration,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        record.starts.entry(priority).or_default().refused_until = now + refused_for;
    }
}
