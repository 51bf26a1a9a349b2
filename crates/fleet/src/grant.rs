//! Grants of key ranges to the worker beside the node.

mod claim;
mod inherited;
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
/// Space for ranges in a reply, in bytes of JSON; workers read replies of at most 4 KiB.
const MAX_RANGES_BYTES: usize = 3_900;
/// Space that a range takes besides its fencing token and its handover token, in bytes.
const RANGE_BYTES: usize = 18;
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

impl GrantedRange {
    /// Returns the space that the range takes in a reply, in bytes.
    fn reply_bytes(&self) -> usize {
        let digits = self.fence.checked_ilog10().unwrap_or_default() as usize + 1;
        RANGE_BYTES + digits + self.handover.len()
    }
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
    inherited: inherited::InheritedGrants,
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
            inherited: inherited::InheritedGrants::new(now),
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
        if self.inherited.is_known() {
            return;
        }
        self.inherited.set_rows(&self.node, ranges);
        let holder = self.inherited.holder(now);
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
                self.handovers.clear();
                self.worker = None;
            }
            ReportStatus::Current => {}
        }
        self.claim = None;
        self.inherited.observe(now, &report);
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
                let state = known_worker::GrantState::new(self.delivery, self.inherited.until());
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

    /// Returns the incarnation that is taken for the worker: that of the last report which was
    /// believed or, before the first one, the one that earlier runs of the node may have granted
    /// keys.
    fn incumbent(&self, now: time::Instant) -> Option<&member::WorkerName> {
        let known = self.worker.as_ref().map(|known| &known.report.name);
        known.or_else(|| self.inherited.holder(now))
    }

    fn status_of(&self, now: time::Instant, report: &worker_report::WorkerReport) -> ReportStatus {
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
        let may_hold_keys = self.inherited.includes_worker(now, incumbent);
        self.worker.as_ref().map_or(!may_hold_keys, |known| {
            known.has_left_address()
                || !(may_hold_keys || known.may_hold_keys(now, self.possibly_held_until))
        })
    }

    /// Records that the sender of a report replaces the incumbent, which has ended if it started
    /// earlier.
    fn record_replacement(&mut self, now: time::Instant, report: &worker_report::WorkerReport) {
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

    /// Returns the reply to the last report with the ranges that the worker is to hold for at most
    /// `max_hold`, or `None` if the node may grant nothing now.
    pub fn reply(
        &mut self,
        now: time::Instant,
        registration: &registration::EntryRegistration,
        ranges: Option<&range::ServiceRanges>,
        max_hold: time::Duration,
    ) -> Option<GrantReply> {
        let known = self.worker.as_mut().filter(|known| !known.has_ended)?;
        let known_worker::GrantState::Replies(replies) = &mut known.state else { return None };
        let hold = registration.remaining_hold(now)?.min(max_hold);
        if hold == time::Duration::ZERO {
            return None;
        }
        let holds = &known.report.holds;
        let mut space = MAX_RANGES_BYTES;
        // A reply that is too long would cost the worker all its keys, and not only the last ones.
        let granted: Vec<GrantedRange> = due_rows(&self.relinquished, &known.report.name, ranges)
            .map(|row| granted_range(row, holds))
            .map_while(|range| {
                space = space.checked_sub(range.reply_bytes())?;
                Some(range)
            })
            .collect();
        replies.granted.clone_from(&granted);
        replies.granted_until = replies.granted_until.max(known.reported_at + hold);
        self.possibly_held_until = self.possibly_held_until.max(now + registration::GRANT_TTL);
        let due = due_rows(&self.relinquished, &known.report.name, ranges).count();
        Some(GrantReply { withheld: due - granted.len(), ranges: granted, hold })
    }

    /// Returns whether the reply to the report `sequence` of `worker` may be deferred: the report
    /// is the last one, and the worker holds exactly the ranges that it is to hold, under grants
    /// that last at least until `until`.
    pub fn may_defer_reply(
        &self,
        worker: &member::WorkerName,
        sequence: u64,
        until: time::Instant,
        ranges: Option<&range::ServiceRanges>,
    ) -> bool {
        let Some(known) = self.worker.as_ref().filter(|known| !known.has_ended) else {
            return false;
        };
        let known_worker::GrantState::Replies(replies) = &known.state else { return false };
        let report = &known.report;
        if report.name != *worker
            || report.sequence != sequence
            || report.state != member::WorkerState::Ready
            || !report.freed.is_empty()
        {
            return false;
        }
        let mut held: Vec<(u16, u16, u64)> =
            report.holds.iter().map(|held| (held.first, held.last, held.fence)).collect();
        held.sort_unstable();
        let due = due_rows(&self.relinquished, worker, ranges);
        let is_same = due.map(|row| (row.first, row.last, row.fence)).eq(held.iter().copied());
        is_same && (held.is_empty() || until <= replies.granted_until)
    }

    /// Returns whether the report `sequence` of `worker` is the last one.
    pub fn is_latest_report(&self, worker: &member::WorkerName, sequence: u64) -> bool {
        let known = self.worker.as_ref().map(|known| &known.report);
        known.is_some_and(|report| report.name == *worker && report.sequence == sequence)
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

/// Returns the grant of a row to a worker that holds `holds`, and needs no handover token for
/// these.
fn granted_range(row: &range::RangeRow, holds: &[worker_report::HeldRange]) -> GrantedRange {
    let (first, last, fence) = (row.first, row.last, row.fence);
    let held = worker_report::HeldRange { first, last, fence };
    let handover = if holds.contains(&held) { Arc::default() } else { Arc::clone(&row.handover) };
    GrantedRange { first, last, fence, handover }
}

/// Returns the rows that a worker is to hold, in the order of their keys.
fn due_rows<'a>(
    relinquished: &'a HashMap<u16, u64>,
    worker: &'a member::WorkerName,
    ranges: Option<&'a range::ServiceRanges>,
) -> impl Iterator<Item = &'a range::RangeRow> {
    let rows = ranges.into_iter().flat_map(range::ServiceRanges::rows);
    rows.filter(|stored| stored.row.is_held_by(worker) && !era::is_inherited(stored.row.fence))
        .filter(|stored| relinquished.get(&stored.row.first) != Some(&stored.revision))
        .map(|stored| &stored.row)
}
