//! Grants of key ranges to the worker beside the node.

mod claim;
mod earlier_grants;
mod replacement;
mod reply;
mod settlement;

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::departure;
use crate::era;
use crate::known_worker;
use crate::ledger;
use crate::member;
use crate::plan;
use crate::range;
use crate::registration;
use crate::restoration;
use crate::worker_report;

/// Time without reports after which a worker that refuses connections is known to have ended.
/// Workers report about once a second, and a process that listens refuses no connections.
const ENDED_SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// Time without reports after which a worker is granted no more keys: two missed reports.
const MAX_REPORT_SILENCE: time::Duration = time::Duration::from_millis(2_200);
/// Highest number of handover tokens that are kept; a worker releases a few ranges at a time.
const MAX_HANDOVERS: usize = 512;
/// When a worker left that an earlier run of the node knew as leaving: its time to drain is over.
const LONG_AGO: time::Instant = time::Instant(0);
/// Time by which grants end earlier for the node than for the worker; covers one dispatch.
const DISPATCH_MARGIN: time::Duration = time::Duration::from_millis(20);

/// One range in the reply to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token.
    pub fence: u64,
    /// Handover token of the last holder; empty if there is none.
    pub handover: Arc<str>,
}

/// Reply to a report: all ranges that the worker is to hold from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// Granted ranges.
    pub ranges: Vec<GrantedRange>,
    /// Duration of the grants, which the worker counts from when it sent its report.
    pub hold: time::Duration,
    /// Number of further ranges of the worker for which the reply has no space.
    pub withheld: usize,
}

/// Status of a report that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// The report is the newest of the current incarnation.
    Current,
    /// The report is the first of a new incarnation.
    NewWorker,
    /// The report names another worker, but the known one may hold keys and isn't known to have
    /// ended.
    Unconfirmed,
    /// The report is late: a newer report or incarnation is known, or the worker has ended.
    Stale,
}

/// How grants reach the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum GrantDelivery {
    /// By the replies to its reports.
    #[default]
    #[display("replies")]
    Replies,
    /// By calls to its address.
    #[display("calls")]
    Calls,
}

/// The worker beside the node and the key ranges granted to it.
#[derive(Debug)]
pub struct WorkerGrants {
    node: Arc<str>,
    delivery: GrantDelivery,
    started_at: time::Instant,
    worker: Option<known_worker::KnownWorker>,
    departures: departure::DepartureState,
    /// Handover tokens by the first and last key of the released range.
    handovers: HashMap<(u16, u16), Arc<str>>,
    /// Revisions, by first key, of rows that this node tried to give to another owner or to free.
    /// The result isn't known before a newer revision is read, so a row is never granted again at
    /// this revision.
    relinquished: HashMap<u16, u64>,
    /// Until when the worker may hold keys if it isn't known to have ended.
    possibly_held_until: time::Instant,
    /// The same time for all other incarnations.
    others_held_until: time::Instant,
    /// Grants of earlier runs of the node.
    earlier: earlier_grants::EarlierGrants,
    /// Latest start of an incarnation that this run knows to have ended, in Unix milliseconds; all
    /// that started earlier have ended, too.
    ended_by_unix_ms: Option<u64>,
    /// Another incarnation that reports, but isn't known to have replaced the worker.
    claim: Option<claim::WorkerClaim>,
    /// When a connection was first refused since the last report or accepted connection.
    refused_since: Option<time::Instant>,
}

impl WorkerGrants {
    /// Creates the state of a node that starts now; its previous run may have granted keys.
    pub fn new(node: Arc<str>, delivery: GrantDelivery, now: time::Instant) -> WorkerGrants {
        WorkerGrants {
            node,
            delivery,
            started_at: now,
            worker: None,
            departures: departure::DepartureState::default(),
            handovers: HashMap::new(),
            relinquished: HashMap::new(),
            possibly_held_until: now + registration::takeover_delay(),
            others_held_until: now + registration::takeover_delay(),
            earlier: earlier_grants::EarlierGrants::new(now),
            ended_by_unix_ms: None,
            claim: None,
            refused_since: None,
        }
    }

    /// Returns the last report of the worker, or `None` if there is no worker, it has ended, or the
    /// record of the host wasn't read.
    pub fn current_report(&self) -> Option<&worker_report::WorkerReport> {
        let known =
            self.worker.as_ref().filter(|known| !known.has_ended && self.departures.is_restored());
        known.map(|known| &known.report)
    }

    /// Applies the departure in the record of the host, as it is in the store: an incarnation that
    /// an earlier run of the node knew as leaving takes no new requests.
    pub fn restore_departure(&mut self, departed: Option<departure::DepartedWorker>) {
        self.departures.restore(departed);
        let Some(known) = &mut self.worker else { return };
        if known.leaving_since.is_none() && self.departures.is_recorded(&known.report) {
            known.report.state = member::WorkerState::Draining;
            known.leaving_since = Some(LONG_AGO);
        }
    }

    /// Applies the rows of the store when they are read for the first time. They show which
    /// incarnation earlier runs of the node may have granted keys; a report of another one that
    /// came before isn't believed any more.
    pub fn restore_ranges(&mut self, now: time::Instant, ranges: &range::RangeTable) {
        if self.earlier.is_known() {
            return;
        }
        self.earlier.set_rows(&self.node, ranges);
        let holder = self.earlier.holder(now);
        let is_other =
            |known: &mut known_worker::KnownWorker| holder.is_some_and(|h| *h != known.report.name);
        if let Some(known) = self.worker.take_if(is_other) {
            self.claim = Some(claim::WorkerClaim::after(None, &known.report));
        }
    }

    /// Returns the worker that left last, which the record of the host must name.
    pub fn departure(&self) -> Option<departure::DepartedWorker> {
        self.departures.due(self.leaving_report())
    }

    /// Returns whether the departure of the worker is in the store, so that it can be acknowledged:
    /// the acknowledgement binds later runs of the node, too.
    pub fn is_departure_recorded(&self) -> bool {
        self.departures.is_complete(self.leaving_report())
    }

    /// Returns whether the deregistration of `id` is in the store, so that it can be acknowledged.
    /// The record has no space for one beside the departure of the known worker.
    pub fn is_deregistration_recorded(&self, id: &str) -> bool {
        let leaving = self.leaving_report();
        leaving.is_none_or(|report| report.name.id() == id) && self.departures.is_complete(leaving)
    }

    /// Returns the last report of the worker if it is leaving.
    fn leaving_report(&self) -> Option<&worker_report::WorkerReport> {
        let leaving = self.worker.as_ref().filter(|known| known.leaving_since.is_some());
        leaving.map(|known| &known.report)
    }

    /// Returns the incarnation that reported last, even if it has ended.
    pub fn last_incarnation(&self) -> Option<&member::WorkerName> {
        self.worker.as_ref().map(|known| &known.report.name)
    }

    /// Returns whether the worker reports, so that it can be granted keys.
    pub fn is_reporting(&self, now: time::Instant) -> bool {
        self.silence(now) < MAX_REPORT_SILENCE
    }

    /// Returns when the node acknowledged that the worker is leaving, or `None` if it isn't
    /// leaving.
    pub fn leaving_since(&self) -> Option<time::Instant> {
        self.worker.as_ref()?.leaving_since
    }

    /// Returns when the worker reported last.
    pub fn reported_at(&self) -> Option<time::Instant> {
        self.worker.as_ref().map(|known| known.reported_at)
    }

    /// Returns the time since the last report, or since the start of the node before the first one.
    pub fn silence(&self, now: time::Instant) -> time::Duration {
        now.since(self.worker.as_ref().map_or(self.started_at, |known| known.reported_at))
    }

    /// Applies a report unless it is stale or of an incarnation that isn't known to be the worker.
    /// A report that was sent before the worker deregistered may arrive after that, and doesn't
    /// make it ready again.
    pub fn apply_report(
        &mut self,
        now: time::Instant,
        mut report: worker_report::WorkerReport,
    ) -> ReportStatus {
        let status = self.status_of(now, &report);
        match status {
            ReportStatus::Stale | ReportStatus::Unconfirmed => {
                if self.incumbent(now).is_some_and(|incumbent| *incumbent != report.name) {
                    self.claim = Some(claim::WorkerClaim::after(self.claim.take(), &report));
                }
                return status;
            }
            ReportStatus::NewWorker => {
                self.record_replacement(now, &report);
                self.earlier.forget_reports();
                self.handovers.clear();
                self.worker = None;
            }
            ReportStatus::Current => {}
        }
        self.claim = None;
        self.earlier.observe(now, &report);
        self.refused_since = None;
        if self.handovers.len() > MAX_HANDOVERS {
            self.handovers.clear();
        }
        for freed in &report.freed {
            self.handovers.insert((freed.first, freed.last), Arc::clone(&freed.handover));
        }
        let known = self.worker.as_ref().and_then(|known| known.leaving_since);
        let mut leaving_since = known.or_else(|| self.departures.take_deregistration(now, &report));
        if leaving_since.is_none() && self.departures.is_recorded(&report) {
            leaving_since = Some(LONG_AGO);
        }
        match (leaving_since, report.state) {
            (Some(_), _) => report.state = member::WorkerState::Draining,
            (None, member::WorkerState::Draining) => leaving_since = Some(now),
            (None, _) => {}
        }
        match &mut self.worker {
            Some(known) => {
                known.report = report;
                known.is_disconnected = false;
                known.leaving_since = leaving_since;
                known.reported_at = now;
                if let known_worker::GrantState::Replies(replies) = &mut known.state {
                    replies.acknowledged.clone_from(&replies.granted);
                }
            }
            None => {
                let state = known_worker::GrantState::new(self.delivery, self.earlier.until());
                let reported_at = now;
                self.worker = Some(known_worker::KnownWorker {
                    report,
                    reported_at,
                    leaving_since,
                    has_ended: false,
                    has_deregistered: false,
                    is_disconnected: false,
                    state,
                });
            }
        }
        status
    }

    /// Records that all connections to the worker that were open at its last report have been
    /// closed, and at least one since then, as they are when it ends.
    pub fn disconnected(&mut self) {
        if let Some(known) = &mut self.worker {
            known.is_disconnected = true;
        }
    }

    /// Records that a worker announced its end, at `unix_ms` by the time of day; returns whether it
    /// is the known worker, which may still work on the keys that it holds until it exits.
    pub fn deregister(&mut self, now: time::Instant, unix_ms: u64, id: &str) -> bool {
        let Some(known) = self.worker.as_mut().filter(|known| known.report.name.id() == id) else {
            self.departures.deregister(now, unix_ms, id);
            return false;
        };
        known.report.state = member::WorkerState::Draining;
        known.has_deregistered = true;
        known.leaving_since.get_or_insert(now);
        true
    }

    /// Records that the worker refused a connection; returns whether that shows that it has ended.
    pub fn connection_refused(&mut self, now: time::Instant) -> bool {
        let since = *self.refused_since.get_or_insert(now);
        let Some(known) = &mut self.worker else { return false };
        if known.has_ended || now.since(known.reported_at) < ENDED_SILENCE || since > now {
            return false;
        }
        known.has_ended = true;
        known.state = known_worker::GrantState::new(self.delivery, now);
        self.ended_by_unix_ms = self.ended_by_unix_ms.max(Some(known.report.started_unix_ms));
        (self.possibly_held_until, self.others_held_until) = (now, now);
        true
    }

    /// Records that the worker accepted a connection.
    pub fn connection_accepted(&mut self) {
        self.refused_since = None;
    }

    /// Returns the first and last keys of the ranges that the worker was granted last.
    pub fn granted(&self) -> Vec<(u16, u16)> {
        let Some(known) = self.running() else { return Vec::new() };
        match &known.state {
            known_worker::GrantState::Replies(replies) => {
                replies.granted.iter().map(|range| (range.first, range.last)).collect()
            }
            known_worker::GrantState::Calls(ledger) => ledger.granted().collect(),
        }
    }

    /// Returns whether the worker holds `key` now under a grant of this node.
    pub fn serves(&self, now: time::Instant, key: u16) -> bool {
        let Some(known) = self.running() else { return false };
        let until = now + DISPATCH_MARGIN;
        match &known.state {
            known_worker::GrantState::Replies(replies) => {
                until < replies.granted_until
                    && replies.granted.iter().any(|range| (range.first..=range.last).contains(&key))
            }
            known_worker::GrantState::Calls(ledger) => ledger.holds(until, key),
        }
    }

    /// Returns the worker unless it has ended.
    fn running(&self) -> Option<&known_worker::KnownWorker> {
        self.worker.as_ref().filter(|known| !known.has_ended)
    }

    /// Returns the next call that is due to the worker, which counts as sent from `now` on, or
    /// `None` if grants are delivered otherwise. `is_busy` tells whether requests run on keys of a
    /// range.
    pub fn next_call(
        &mut self,
        now: time::Instant,
        registration: &registration::EntryRegistration,
        ranges: &range::ServiceRanges,
        max_hold: time::Duration,
        is_busy: impl Fn(u16, u16) -> bool,
    ) -> Option<ledger::WorkerCall> {
        let is_reporting = self.is_reporting(now);
        let known = self.worker.as_mut().filter(|known| !known.has_ended)?;
        let known_worker::GrantState::Calls(ledger) = &mut known.state else { return None };
        if !ledger.is_loaded() && registration.remaining_hold(now).is_none() {
            return None;
        }
        let worker = &known.report.name;
        let is_owned = |stored: &&range::StoredRow| {
            stored.row.owner.as_ref().is_some_and(|owner| owner.worker == *worker)
        };
        let relinquished = &self.relinquished;
        let is_due = |stored: &range::StoredRow| {
            stored.row.successor.is_none()
                && !era::is_inherited(stored.row.fence)
                && relinquished.get(&stored.row.first) != Some(&stored.revision)
        };
        ledger.update(now, ranges.rows().filter(is_owned), is_due);
        // The worker counts the hold from the arrival of the call.
        let hold = registration.remaining_hold(now + ledger::CALL_TIMEOUT);
        let hold = hold.filter(|_| is_reporting).map(|hold| hold.min(max_hold));
        let call = ledger.next_call(now, ranges, hold, is_busy)?;
        if matches!(call.order, ledger::CallOrder::Grant(..)) {
            self.possibly_held_until = self.possibly_held_until.max(now + registration::GRANT_TTL);
        }
        Some(call)
    }

    /// Returns when the next call to the worker may be due, if nothing changes before.
    pub fn next_call_at(&self) -> Option<time::Instant> {
        match &self.running()?.state {
            known_worker::GrantState::Replies(_) => None,
            known_worker::GrantState::Calls(ledger) => ledger.next_call_at(),
        }
    }

    /// Applies the result of a call to an incarnation, unless another one runs by now; returns
    /// whether the worker has begun or ceased to hold a range.
    pub fn apply_call(
        &mut self,
        worker: &member::WorkerName,
        number: ledger::CallNumber,
        outcome: &ledger::CallOutcome,
    ) -> bool {
        let known = self.worker.as_mut().filter(|known| known.report.name == *worker);
        match known.map(|known| &mut known.state) {
            Some(known_worker::GrantState::Calls(ledger)) => ledger.apply(number, outcome),
            Some(known_worker::GrantState::Replies(_)) | None => false,
        }
    }

    /// Returns the next change that writes ranges again which the worker holds by grants of earlier
    /// eras of the store, or `None` if there are none left. `ranges` are those read in `era`.
    pub fn restore(
        &self,
        now: time::Instant,
        ranges: &range::RangeTable,
        record: u64,
        max_ops: usize,
    ) -> Option<plan::RangeChange> {
        let known = self.running()?;
        let held = known.held_before(now, ranges.era());
        let service = &known.report.service;
        let (node, worker) = (Arc::clone(&self.node), known.report.name.clone());
        let owner = range::RangeHolder { worker, node };
        let empty = range::ServiceRanges::default();
        let rows = ranges.service(service).unwrap_or(&empty);
        let mut change = restoration::restore(service, rows, ranges.era(), &owner, &held, max_ops)?;
        change.records.push((Arc::clone(&self.node), record));
        Some(change)
    }
}
