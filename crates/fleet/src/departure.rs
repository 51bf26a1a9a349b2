//! Departures of the worker beside a node, which bind later runs of the node.

use std::sync::Arc;

use cornelridge_model::time;
use serde::{Deserialize, Serialize};

use crate::worker_report;

/// Longest delay of a report after the worker deregistered; a later report with the same identifier
/// comes from another incarnation. Reports are late by a few seconds at most.
const MAX_REPORT_DELAY: time::Duration = time::Duration::from_secs(10);

/// Incarnations of a worker whose leaving a node has acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedWorker {
    /// Identifier of the worker.
    pub id: Arc<str>,
    /// Latest start of an incarnation that has left, in Unix milliseconds; one that started later
    /// is another one.
    pub started_by_unix_ms: u64,
}

impl DepartedWorker {
    /// Returns whether the incarnation of `id` that started at `started_unix_ms` has left.
    pub fn includes(&self, id: &str, started_unix_ms: u64) -> bool {
        *self.id == *id && started_unix_ms <= self.started_by_unix_ms
    }
}

/// Deregistration of a worker that this run of the node doesn't take for its own.
#[derive(Clone, Debug)]
struct EarlyDeregistration {
    id: Arc<str>,
    at: time::Instant,
    /// The same time in Unix milliseconds.
    unix_ms: u64,
}

/// Departures that a node knows of.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureState {
    early: Option<EarlyDeregistration>,
    /// Worker that left last, as recorded in the store.
    recorded: Option<DepartedWorker>,
    /// Worker with the latest departure that the store has recorded, even if it lost it later.
    latest: Option<DepartedWorker>,
    /// Whether the record of the host was read. Before that, a worker that reports may be one whose
    /// leaving an earlier run of the node has acknowledged.
    is_restored: bool,
}

impl DepartureState {
    /// Applies the departure in the record of the host.
    pub(crate) fn restore(&mut self, recorded: Option<DepartedWorker>) {
        self.is_restored = true;
        let start = |worker: &Option<DepartedWorker>| {
            worker.as_ref().map(|worker| worker.started_by_unix_ms)
        };
        if start(&recorded) >= start(&self.latest) {
            self.latest.clone_from(&recorded);
        }
        self.recorded = recorded;
    }

    /// Returns whether the record of the host was read.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored
    }

    /// Returns whether the store has recorded the departure of the sender of a report.
    pub(crate) fn is_recorded(&self, report: &worker_report::WorkerReport) -> bool {
        let latest = self.latest.as_ref();
        latest.is_some_and(|worker| worker.includes(report.name.id(), report.started_unix_ms))
    }

    /// Records the deregistration of a worker that this run doesn't take for its own.
    pub(crate) fn deregister(&mut self, now: time::Instant, unix_ms: u64, id: &str) {
        self.early = Some(EarlyDeregistration { id: Arc::from(id), at: now, unix_ms });
    }

    /// Returns when the sender of a first report deregistered, if it did so before the report. An
    /// incarnation that started later isn't the one that deregistered.
    pub(crate) fn take_deregistration(
        &mut self,
        now: time::Instant,
        report: &worker_report::WorkerReport,
    ) -> Option<time::Instant> {
        let early = self.early.take_if(|early| *early.id == *report.name.id())?;
        let is_same =
            report.started_unix_ms <= early.unix_ms && now.since(early.at) < MAX_REPORT_DELAY;
        is_same.then_some(early.at)
    }

    /// Returns the worker that the record of the host must name; `leaving` is the last report of a
    /// worker that is leaving.
    pub(crate) fn due(
        &self,
        leaving: Option<&worker_report::WorkerReport>,
    ) -> Option<DepartedWorker> {
        if let Some(report) = leaving.filter(|report| !self.is_recorded(report)) {
            let id = Arc::from(report.name.id());
            return Some(DepartedWorker { id, started_by_unix_ms: report.started_unix_ms });
        }
        let early = self.early.as_ref().filter(|_| leaving.is_none());
        let early = early.map(|early| DepartedWorker {
            id: Arc::clone(&early.id),
            started_by_unix_ms: early.unix_ms,
        });
        early.or_else(|| self.latest.clone())
    }

    /// Returns whether the record of the host names the worker that it must name.
    pub(crate) fn is_complete(&self, leaving: Option<&worker_report::WorkerReport>) -> bool {
        self.is_restored && self.recorded == self.due(leaving)
    }
}
