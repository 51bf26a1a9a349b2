//! Reports of workers, some of which arrive late, and reports of other programs.

use std::sync::Arc;

use cornelridge_fleet::{grant, member, worker_report};
use cornelridge_model::time::{Duration, Instant};

use super::{Hold, MAX_HOLD, Simulation, address, service};

/// A report that is held up on its way to the node of a worker.
pub(crate) struct LateReport {
    at: Instant,
    index: usize,
    report: worker_report::WorkerReport,
}

impl Simulation {
    /// Returns the next report of a worker.
    pub(super) fn next_report(&mut self, index: usize) -> worker_report::WorkerReport {
        let name = self.name(index);
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let is_by_calls = self.delivery == grant::GrantDelivery::Calls;
        let held = |hold: &Hold| worker_report::HeldRange {
            first: hold.first,
            last: hold.last,
            fence: hold.fence,
        };
        worker_report::WorkerReport {
            name,
            started_unix_ms: worker.started_unix_ms,
            sequence: worker.sequence,
            service: service(),
            address: address(index),
            slots: 12,
            state: worker.state,
            warm_up: Duration::ZERO,
            lists_ranges: true,
            holds: worker.holds.iter().filter(|_| !is_by_calls).map(held).collect(),
            freed: worker.freed.clone(),
        }
    }

    /// Delivers a report to a node; returns the reply.
    pub(super) fn report(
        &mut self,
        index: usize,
        report: worker_report::WorkerReport,
    ) -> Option<grant::GrantReply> {
        let now = self.now;
        let node = &mut self.nodes[index];
        let status = node.grants.apply_report(now, report);
        if matches!(status, grant::ReportStatus::Stale | grant::ReportStatus::Unconfirmed)
            || !node.registration.covers(node.table.era())
        {
            return None;
        }
        let ranges = node.table.service("prices");
        node.grants.reply(now, &node.registration, ranges, MAX_HOLD)
    }

    /// Holds up the next report of a worker for seconds. The worker waits a second for the reply.
    pub(super) fn hold_up_report(&mut self, index: usize) {
        let report = self.next_report(index);
        let delay = Duration::from_millis(self.random.u64(1_000..9_000));
        self.late_reports.push(LateReport { at: self.now + delay, index, report });
    }

    /// Delivers the late reports that are due and, from time to time, one of another program. Their
    /// senders don't get the replies.
    pub(super) fn deliver_odd_reports(&mut self) {
        if !self.has_odd_reports {
            return;
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_reports)
            .into_iter()
            .partition(|late| late.at <= now && self.nodes[late.index].is_up);
        self.late_reports = later;
        for late in due {
            self.report(late.index, late.report);
        }
        if self.random.u8(0..100) == 0 {
            let index = self.random_index();
            if self.nodes[index].is_up {
                let report = self.report_of_other(index);
                self.report(index, report);
            }
        }
    }

    fn report_of_other(&mut self, index: usize) -> worker_report::WorkerReport {
        let id = match self.random.bool() {
            true => format!("w{index}"),
            false => format!("other-{}", self.random.u8(0..3)),
        };
        let started_unix_ms = self.now.0 / 1_000 - self.random.u64(0..20_000);
        let state = match self.random.bool() {
            true => member::WorkerState::Ready,
            false => member::WorkerState::Draining,
        };
        worker_report::WorkerReport {
            name: member::WorkerName::new(&id, started_unix_ms),
            started_unix_ms,
            sequence: self.random.u64(1..100),
            service: match self.random.bool() {
                true => service(),
                false => Arc::from("other"),
            },
            address: address(index),
            slots: 12,
            state,
            warm_up: Duration::ZERO,
            lists_ranges: true,
            holds: Vec::new(),
            freed: Vec::new(),
        }
    }
}
