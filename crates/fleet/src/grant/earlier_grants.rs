//! Grants of earlier runs of a node, which outlast the process that made them.

use cornelridge_model::time;

use crate::member;
use crate::range;
use crate::registration;
use crate::worker_report;

/// What earlier runs of a node may have granted, as far as the rows of the store show it.
///
/// The first reports that a run gets may be late, and come from before a grant of an earlier run.
/// So a report without a range doesn't show that the worker doesn't hold it.
#[derive(Clone, Debug)]
pub(super) struct EarlierGrants {
    /// When the last of these grants has run out.
    until: time::Instant,
    /// Rows whose owners are beside this node, with these; `None` before the rows were read.
    rows: Option<Vec<(member::WorkerName, worker_report::HeldRange)>>,
    /// Ranges that reports to this run have listed as held.
    held: Vec<worker_report::HeldRange>,
    /// Parts of these that later reports have listed as released.
    released: Vec<worker_report::HeldRange>,
}

impl EarlierGrants {
    /// Creates the state of a run that starts now.
    pub(super) fn new(now: time::Instant) -> EarlierGrants {
        let until = now + registration::takeover_delay();
        EarlierGrants { until, rows: None, held: Vec::new(), released: Vec::new() }
    }

    /// Returns when the last grant of an earlier run has run out.
    pub(super) fn until(&self) -> time::Instant {
        self.until
    }

    /// Returns whether the rows of the store have been read.
    pub(super) fn is_known(&self) -> bool {
        self.rows.is_some()
    }

    /// Records the rows of `node` when they are read for the first time. What it is assigned later
    /// was granted by no earlier run.
    pub(super) fn set_rows(&mut self, node: &str, ranges: &range::RangeTable) {
        if self.rows.is_some() {
            return;
        }
        let rows = ranges.services().flat_map(|(_, rows)| rows.rows());
        let owned = rows.filter_map(|stored| {
            let row = &stored.row;
            let owner = row.owner.as_ref().filter(|owner| *owner.node == *node)?;
            let range =
                worker_report::HeldRange { first: row.first, last: row.last, fence: row.fence };
            Some((owner.worker.clone(), range))
        });
        self.rows = Some(owned.collect());
    }

    /// Returns the latest incarnation beside the node that may hold keys by these grants.
    pub(super) fn holder(&self, now: time::Instant) -> Option<&member::WorkerName> {
        let rows = self.rows.iter().flatten().filter(|_| now < self.until);
        rows.map(|(owner, _)| owner).max_by_key(|owner| owner.started_unix_ms())
    }

    /// Applies the lists of ranges in a report.
    pub(super) fn observe(&mut self, now: time::Instant, report: &worker_report::WorkerReport) {
        if now >= self.until {
            self.rows = self.rows.as_ref().map(|_| Vec::new());
            return self.forget_reports();
        }
        let is_held = |first: u16, last: u16| {
            report.holds.iter().any(|held| held.first <= last && held.last >= first)
        };
        self.released.retain(|range| !is_held(range.first, range.last));
        for freed in report.freed.iter().filter(|freed| !is_held(freed.first, freed.last)) {
            let covers = |held: &&worker_report::HeldRange| {
                held.first <= freed.first && held.last >= freed.last
            };
            let parts = self.held.iter().filter(covers).map(|held| worker_report::HeldRange {
                first: freed.first,
                last: freed.last,
                fence: held.fence,
            });
            self.released.extend(parts);
        }
        let is_new = |held: &&worker_report::HeldRange| !self.held.contains(held);
        let new: Vec<worker_report::HeldRange> =
            report.holds.iter().filter(is_new).copied().collect();
        self.held.extend(new);
    }

    /// Forgets what the reports of an incarnation have listed, which says nothing of another one.
    pub(super) fn forget_reports(&mut self) {
        self.held = Vec::new();
        self.released = Vec::new();
    }

    /// Returns whether `worker` may hold any keys by these grants. Before the rows have been read,
    /// any worker may.
    pub(super) fn includes_worker(&self, now: time::Instant, worker: &member::WorkerName) -> bool {
        let is_held = |(owner, range): &(member::WorkerName, worker_report::HeldRange)| {
            owner == worker && !self.is_released(range)
        };
        now < self.until && self.rows.as_ref().is_none_or(|rows| rows.iter().any(is_held))
    }

    /// Returns whether the owner of a row may hold it by these grants: it was assigned before this
    /// run, and no two reports have shown that it was held and then released.
    pub(super) fn includes_row(&self, now: time::Instant, row: &range::RangeRow) -> bool {
        let range = worker_report::HeldRange { first: row.first, last: row.last, fence: row.fence };
        // A row keeps its fencing token when it is divided.
        let is_part = |(_, known): &(member::WorkerName, worker_report::HeldRange)| {
            known.fence == range.fence && known.first <= range.last && known.last >= range.first
        };
        now < self.until && self.rows.iter().flatten().any(is_part) && !self.is_released(&range)
    }

    fn is_released(&self, range: &worker_report::HeldRange) -> bool {
        self.released.iter().any(|released| {
            released.fence == range.fence
                && released.first <= range.first
                && released.last >= range.last
        })
    }
}
