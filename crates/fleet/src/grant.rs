//! Grants of key ranges to the worker beside the node.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;

use cornelridge_model::time;

use crate::member;
use crate::plan;
use crate::range;
use crate::registration;

/// A worker that missed its reports this long and refuses connections has ended: it reports about
/// once a second, and a process that listens refuses none.
const ENDED_SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// Time for which a report may be on its way; after it, one under the same identifier is of another
/// incarnation. Reports come seconds late at most.
const MAX_REPORT_DELAY: time::Duration = time::Duration::from_secs(10);
/// Silence after which a worker gets no more keys: two missed reports.
const MAX_REPORT_SILENCE: time::Duration = time::Duration::from_millis(2_200);
/// Most handover tokens that are remembered; a worker frees a few ranges at a time.
const MAX_HANDOVERS: usize = 512;
/// Grants end this much earlier for the node than for the worker, for the time of one dispatch.
const DISPATCH_MARGIN: time::Duration = time::Duration::from_millis(20);

/// Keys that a worker says it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token under which it holds them.
    pub fence: u64,
}

/// Keys that a worker has given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Token with which the next holder gets them warm.
    pub handover: Arc<str>,
}

/// What a worker says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Its incarnation.
    pub name: member::WorkerName,
    /// Time of its start, in Unix milliseconds; orders the incarnations beside one node.
    pub started_unix_ms: u64,
    /// Counts the reports of one incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Where it accepts requests.
    pub address: net::SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: member::WorkerState,
    /// How much longer it is slow after its start.
    pub warm_up: time::Duration,
    /// Keys that it holds or still works on.
    pub holds: Vec<HeldRange>,
    /// Keys that it has given back since its last report that was answered.
    pub freed: Vec<FreedRange>,
}

/// One range in the answer to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token.
    pub fence: u64,
    /// Token of the last holder; empty if there is none.
    pub handover: Arc<str>,
}

/// Everything that the worker is to hold from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantReply {
    /// The ranges.
    pub ranges: Vec<GrantedRange>,
    /// For how long, counted by the worker from when it sent its report.
    pub hold: time::Duration,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// It is the newest of the present incarnation.
    Current,
    /// It is the first of an incarnation.
    NewWorker,
    /// It is late: a newer report or a newer incarnation is known.
    Stale,
}

#[derive(Clone, Debug)]
struct KnownWorker {
    report: WorkerReport,
    reported_at: time::Instant,
    /// When its leaving was acknowledged.
    leaving_since: Option<time::Instant>,
    has_ended: bool,
    granted: Vec<GrantedRange>,
    granted_until: time::Instant,
    /// Ranges of the reply before the last report, which that report reflects.
    acknowledged: Vec<GrantedRange>,
}

/// What a worker said that hadn't reported to this run of the node.
#[derive(Clone, Debug)]
struct EarlyDeregistration {
    id: String,
    at: time::Instant,
}

/// Knows the worker beside the node and what it was granted.
#[derive(Debug)]
pub struct WorkerGrants {
    node: Arc<str>,
    started_at: time::Instant,
    worker: Option<KnownWorker>,
    early_deregistration: Option<EarlyDeregistration>,
    handovers: HashMap<(u16, u16), Arc<str>>,
    /// Rows, by first key, that this node has tried to give away at a revision. Whether that
    /// happened isn't known before a newer revision is, so they are never granted at this one.
    relinquished: HashMap<u16, u64>,
    /// Until when an incarnation whose end wasn't proved may still hold keys.
    possibly_held_until: time::Instant,
    refused_since: Option<time::Instant>,
}

impl WorkerGrants {
    /// The desk of a node that starts now; an earlier run of it may have granted keys.
    pub fn new(node: Arc<str>, now: time::Instant) -> WorkerGrants {
        WorkerGrants {
            node,
            started_at: now,
            worker: None,
            early_deregistration: None,
            handovers: HashMap::new(),
            relinquished: HashMap::new(),
            possibly_held_until: now + registration::takeover_delay(),
            refused_since: None,
        }
    }

    /// The last report of the worker, if it hasn't ended.
    pub fn current_report(&self) -> Option<&WorkerReport> {
        self.worker.as_ref().filter(|known| !known.has_ended).map(|known| &known.report)
    }

    /// The incarnation that reported last, also one that has ended.
    pub fn last_incarnation(&self) -> Option<&member::WorkerName> {
        self.worker.as_ref().map(|known| &known.report.name)
    }

    /// Whether the worker reports, so that it can be granted keys.
    pub fn is_reporting(&self, now: time::Instant) -> bool {
        self.silence(now) < MAX_REPORT_SILENCE
    }

    /// When the worker's leaving was acknowledged, if it is leaving.
    pub fn leaving_since(&self) -> Option<time::Instant> {
        self.worker.as_ref()?.leaving_since
    }

    /// Time since the last report.
    pub fn silence(&self, now: time::Instant) -> time::Duration {
        now.since(self.worker.as_ref().map_or(self.started_at, |known| known.reported_at))
    }

    /// Takes over a report. One that was sent before the worker's goodbye may arrive after it.
    pub fn apply_report(&mut self, now: time::Instant, mut report: WorkerReport) -> ReportStatus {
        let status = self.status_of(&report);
        match status {
            ReportStatus::Stale => return status,
            ReportStatus::NewWorker => {
                self.handovers.clear();
                self.worker = None;
            }
            ReportStatus::Current => {}
        }
        self.refused_since = None;
        if self.handovers.len() > MAX_HANDOVERS {
            self.handovers.clear();
        }
        for freed in &report.freed {
            self.handovers.insert((freed.first, freed.last), Arc::clone(&freed.handover));
        }
        let known = self.worker.as_ref().and_then(|known| known.leaving_since);
        let mut leaving_since = known.or_else(|| self.take_deregistration(now, &report));
        match (leaving_since, report.state) {
            (Some(_), _) => report.state = member::WorkerState::Draining,
            (None, member::WorkerState::Draining) => leaving_since = Some(now),
            (None, _) => {}
        }
        match &mut self.worker {
            Some(known) => {
                known.report = report;
                known.leaving_since = leaving_since;
                known.reported_at = now;
                known.acknowledged.clone_from(&known.granted);
            }
            None => {
                self.worker = Some(KnownWorker {
                    report,
                    reported_at: now,
                    leaving_since,
                    has_ended: false,
                    granted: Vec::new(),
                    granted_until: now,
                    acknowledged: Vec::new(),
                });
            }
        }
        status
    }

    fn status_of(&self, report: &WorkerReport) -> ReportStatus {
        let Some(known) = &self.worker else { return ReportStatus::NewWorker };
        if report.name == known.report.name {
            if known.has_ended || report.sequence <= known.report.sequence {
                return ReportStatus::Stale;
            }
            return ReportStatus::Current;
        }
        match report.started_unix_ms > known.report.started_unix_ms {
            true => ReportStatus::NewWorker,
            false => ReportStatus::Stale,
        }
    }

    /// A worker said that it ends; `true` if it is the known one. It may still work on what it holds
    /// until it exits.
    pub fn deregister(&mut self, now: time::Instant, id: &str) -> bool {
        let Some(known) = &mut self.worker else {
            self.early_deregistration = Some(EarlyDeregistration { id: id.to_owned(), at: now });
            return false;
        };
        if known.report.name.id() != id {
            return false;
        }
        known.report.state = member::WorkerState::Draining;
        known.leaving_since.get_or_insert(now);
        true
    }

    /// When the sender of a first report said goodbye before it.
    fn take_deregistration(
        &mut self,
        now: time::Instant,
        report: &WorkerReport,
    ) -> Option<time::Instant> {
        let deregistration = self.early_deregistration.take()?;
        let is_same = deregistration.id == report.name.id()
            && now.since(deregistration.at) < MAX_REPORT_DELAY;
        is_same.then_some(deregistration.at)
    }

    /// A connection to the worker was refused; `true` if that shows that it has ended.
    pub fn connection_refused(&mut self, now: time::Instant) -> bool {
        let since = *self.refused_since.get_or_insert(now);
        let Some(known) = &mut self.worker else { return false };
        if known.has_ended || now.since(known.reported_at) < ENDED_SILENCE || since > now {
            return false;
        }
        known.has_ended = true;
        known.granted.clear();
        self.possibly_held_until = now;
        true
    }

    /// A connection to the worker was accepted.
    pub fn connection_accepted(&mut self) {
        self.refused_since = None;
    }

    /// The answer to the last report: what the worker is to hold. `None` if the node may grant
    /// nothing now.
    pub fn reply(
        &mut self,
        now: time::Instant,
        registration: &registration::EntryRegistration,
        ranges: Option<&range::ServiceRanges>,
        longest: time::Duration,
    ) -> Option<GrantReply> {
        let known = self.worker.as_mut().filter(|known| !known.has_ended)?;
        let hold = registration.remaining_hold(now)?.min(longest);
        if hold == time::Duration::ZERO {
            return None;
        }
        let granted: Vec<GrantedRange> = due_rows(&self.relinquished, &known.report.name, ranges)
            .map(|row| GrantedRange {
                first: row.first,
                last: row.last,
                fence: row.fence,
                handover: Arc::clone(&row.handover),
            })
            .collect();
        known.granted.clone_from(&granted);
        known.granted_until = known.granted_until.max(known.reported_at + hold);
        self.possibly_held_until = self.possibly_held_until.max(now + registration::GRANT_TTL);
        Some(GrantReply { ranges: granted, hold })
    }

    /// Whether the answer to the report `sequence` of `worker` may wait: it is the last one, and the
    /// worker holds what it is to hold, under grants that last at least until `until`.
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
        is_same && (held.is_empty() || until <= known.granted_until)
    }

    /// Whether the report `sequence` of `worker` is the last one.
    pub fn is_latest_report(&self, worker: &member::WorkerName, sequence: u64) -> bool {
        let known = self.worker.as_ref().map(|known| &known.report);
        known.is_some_and(|report| report.name == *worker && report.sequence == sequence)
    }

    /// First and last keys of the ranges that the worker was granted last.
    pub fn granted(&self) -> impl Iterator<Item = (u16, u16)> {
        let known = self.worker.iter().filter(|known| !known.has_ended);
        known.flat_map(|known| known.granted.iter().map(|range| (range.first, range.last)))
    }

    /// Whether the worker holds `key` now, as far as this node has granted it.
    pub fn serves(&self, now: time::Instant, key: u16) -> bool {
        let Some(known) = self.worker.as_ref().filter(|known| !known.has_ended) else {
            return false;
        };
        now + DISPATCH_MARGIN < known.granted_until
            && known.granted.iter().any(|range| (range.first..=range.last).contains(&key))
    }

    /// Changes that only this node may make: rows that its worker has released or lost.
    pub fn settle(
        &mut self,
        now: time::Instant,
        service: &Arc<str>,
        ranges: &range::ServiceRanges,
    ) -> Vec<plan::RangeChange> {
        let mut changes = Vec::new();
        for stored in ranges.rows() {
            if let Some(row) = self.settle_row(now, stored) {
                self.relinquished.insert(stored.row.first, stored.revision);
                let reason = plan::ChangeReason::Settled;
                changes.push(plan::RangeChange::replace_row(service, reason, stored, row));
            }
        }
        plan::merge(changes)
    }

    fn settle_row(&self, now: time::Instant, stored: &range::StoredRow) -> Option<range::RangeRow> {
        let row = &stored.row;
        let owner = row.owner.as_ref().filter(|owner| owner.node == self.node)?;
        let known = self.worker.as_ref();
        let current = known.filter(|known| known.report.name == owner.worker);
        let Some(known) = current else {
            // Another incarnation runs beside the node, so that this owner has ended; without any
            // worker only time shows it.
            let has_ended = known.is_some() || now >= self.possibly_held_until;
            return has_ended.then(|| self.reassigned(row));
        };
        // Grants that ran out during an outage are renewed with the worker's next report.
        let is_presumed_ended = !self.is_reporting(now)
            && now >= known.granted_until
            && now >= self.possibly_held_until;
        if known.has_ended || is_presumed_ended {
            return Some(self.reassigned(row));
        }
        let overlaps = |first: u16, last: u16| first <= row.last && last >= row.first;
        let is_granted = known.acknowledged.iter().any(|range| overlaps(range.first, range.last))
            || known.granted.iter().any(|range| overlaps(range.first, range.last));
        let is_held = known.report.holds.iter().any(|held| overlaps(held.first, held.last));
        if is_granted || is_held {
            return None;
        }
        let handover = self.handovers.get(&(row.first, row.last)).map(Arc::clone);
        match &row.successor {
            Some(successor) => {
                Some(row.with_owner(successor.clone(), handover.unwrap_or_default()))
            }
            None => {
                let is_relinquished = self.relinquished.get(&row.first) == Some(&stored.revision);
                is_relinquished.then(|| row.without_owner(handover.unwrap_or_default()))
            }
        }
    }

    /// A row whose owner has ended: for the incarnation that runs now if it takes work, otherwise
    /// for the chosen successor, otherwise for nobody.
    fn reassigned(&self, row: &range::RangeRow) -> range::RangeRow {
        if let Some(successor) = &row.successor {
            return row.with_owner(successor.clone(), Arc::default());
        }
        let ready =
            self.current_report().filter(|report| report.state == member::WorkerState::Ready);
        match ready {
            Some(report) if row.owner.as_ref().is_some_and(|o| o.worker != report.name) => {
                let node = Arc::clone(&self.node);
                let owner = range::RangeHolder { worker: report.name.clone(), node };
                row.with_owner(owner, Arc::default())
            }
            _ => row.without_owner(Arc::default()),
        }
    }
}

/// Rows that a worker is to hold, by first key.
fn due_rows<'a>(
    relinquished: &'a HashMap<u16, u64>,
    worker: &'a member::WorkerName,
    ranges: Option<&'a range::ServiceRanges>,
) -> impl Iterator<Item = &'a range::RangeRow> {
    let rows = ranges.into_iter().flat_map(range::ServiceRanges::rows);
    rows.filter(|stored| stored.row.is_held_by(worker))
        .filter(|stored| relinquished.get(&stored.row.first) != Some(&stored.revision))
        .map(|stored| &stored.row)
}
