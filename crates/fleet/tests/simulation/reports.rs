//! Reports that arrive late, and reports of other programs.

use std::sync::Arc;

use cornelridge_fleet::{member, worker_report};
use cornelridge_model::time::{Duration, Instant};

use super::{Simulation, address, service};

/// A report that is held up on its way to the node of a worker.
pub(crate) struct LateReport {
    at: Instant,
    index: usize,
    report: worker_report::WorkerReport,
}

impl Simulation {
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
