//! Reports of incarnations other than the one that is taken for the worker.

use cornelridge_model::time;

use crate::member;
use crate::worker_report;

/// Incarnation that reports although another one is taken for the worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerClaim {
    name: member::WorkerName,
    /// Sequence number of its last report.
    sequence: u64,
    /// Whether the process at the address of the worker has named the identifier as its own.
    is_identified: bool,
}

impl WorkerClaim {
    /// Returns the claim after another report that isn't believed yet; `before` is the claim so
    /// far.
    pub(super) fn after(
        before: Option<WorkerClaim>,
        report: &worker_report::WorkerReport,
    ) -> WorkerClaim {
        let same = before.filter(|claim| claim.name == report.name);
        let is_identified = same.as_ref().is_some_and(|claim| claim.is_identified);
        let sequence = same.map_or(report.sequence, |claim| claim.sequence.max(report.sequence));
        WorkerClaim { name: report.name.clone(), sequence, is_identified }
    }

    /// Records that the process at the address of the worker has named `id` as its own.
    pub(super) fn identify(&mut self, id: &str) {
        self.is_identified |= self.name.id() == id;
    }

    /// Returns whether a report shows that its sender is the worker, and `incumbent` isn't any
    /// more. The claim ends with each report of the incumbent, whose `silence` is the time since.
    ///
    /// The identifier that the process at the address names can't tell two incarnations with the
    /// same one apart. Of these, the one that goes on reporting is the worker, as a single report
    /// may be late or of another program.
    pub(super) fn is_confirmed(
        &self,
        incumbent: &member::WorkerName,
        report: &worker_report::WorkerReport,
        silence: time::Duration,
        max_silence: time::Duration,
    ) -> bool {
        if self.name != report.name {
            return false;
        }
        let has_same_id = report.name.id() == incumbent.id();
        if self.is_identified && !has_same_id {
            return true;
        }
        let is_later = report.started_unix_ms > incumbent.started_unix_ms();
        let is_repeated = report.sequence > self.sequence;
        match is_later {
            true => is_repeated && has_same_id,
            false => is_repeated && silence >= max_silence,
        }
    }
}
