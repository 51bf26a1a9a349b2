//! Which incarnation is taken for the worker, and by what signs another one has replaced it.

use cornelridge_model::time;

use super::{MAX_REPORT_SILENCE, ReportStatus, WorkerGrants};
use crate::member;
use crate::worker_report;

impl WorkerGrants {
    /// Returns the incarnation that is taken for the worker: that of the last report which was
    /// believed or, before the first one, the one that earlier runs of the node may have granted
    /// keys.
    pub(super) fn incumbent(&self, now: time::Instant) -> Option<&member::WorkerName> {
        let known = self.worker.as_ref().map(|known| &known.report.name);
        known.or_else(|| self.earlier.holder(now))
    }

    pub(super) fn status_of(
        &self,
        now: time::Instant,
        report: &worker_report::WorkerReport,
    ) -> ReportStatus {
        let Some(incumbent) = self.incumbent(now) else { return ReportStatus::NewWorker };
        if report.name == *incumbent {
            return match &self.worker {
                Some(known) if known.has_ended || report.sequence <= known.report.sequence => {
                    ReportStatus::Stale
                }
                Some(_) => ReportStatus::Current,
                None => ReportStatus::NewWorker,
            };
        }
        let has_ended = self.worker.as_ref().is_some_and(|known| known.has_ended);
        let silence = self.silence(now);
        let is_confirmed = self.claim.as_ref().is_some_and(|claim| {
            claim.is_confirmed(incumbent, report, silence, MAX_REPORT_SILENCE)
        });
        if report.started_unix_ms <= incumbent.started_unix_ms() {
            return match is_confirmed && !has_ended {
                true => ReportStatus::NewWorker,
                false => ReportStatus::Stale,
            };
        }
        match is_confirmed || self.is_replaced(now, incumbent) {
            true => ReportStatus::NewWorker,
            false => ReportStatus::Unconfirmed,
        }
    }

    /// Returns whether the sender of a report that started later than `incumbent` has replaced it.
    /// The report alone doesn't show that: its sender may be another program.
    fn is_replaced(&self, now: time::Instant, incumbent: &member::WorkerName) -> bool {
        let may_hold_keys = self.earlier.includes_worker(now, incumbent);
        self.worker.as_ref().map_or(!may_hold_keys, |known| {
            known.has_left_address()
                || !(may_hold_keys || known.may_hold_keys(now, self.possibly_held_until))
        })
    }

    /// Records that the sender of a report replaces the incumbent, which has ended if it started
    /// earlier.
    pub(super) fn record_replacement(
        &mut self,
        now: time::Instant,
        report: &worker_report::WorkerReport,
    ) {
        let Some(incumbent) = self.incumbent(now) else { return };
        let (before, started) = (incumbent.started_unix_ms(), report.started_unix_ms);
        self.others_held_until = self.others_held_until.max(self.possibly_held_until);
        if before < started {
            self.ended_by_unix_ms = self.ended_by_unix_ms.max(Some(before));
        }
        if self.ended_by_unix_ms >= Some(started) {
            self.ended_by_unix_ms = started.checked_sub(1);
        }
    }

    /// Returns whether a report of `worker` waits for the identifier of the process at the address
    /// of the worker, see `identify`.
    pub fn is_identification_due(&self, now: time::Instant, worker: &member::WorkerName) -> bool {
        let incumbent = self.incumbent(now);
        incumbent.is_some_and(|incumbent| incumbent.id() != worker.id())
    }

    /// Records that the process at the address of the worker has named `id` as its own.
    pub fn identify(&mut self, id: &str) {
        if let Some(claim) = &mut self.claim {
            claim.identify(id);
        }
    }
}
