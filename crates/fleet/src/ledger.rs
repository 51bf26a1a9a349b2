//! Grants that are delivered to the worker by calls.
//!
//! A call without an answer may be applied later, up to the end of the hold that it names. The
//! ledger therefore tracks until when the worker holds a range at least, and until when at most.

use std::collections::HashSet;
use std::sync::Arc;

use cornelridge_model::time;

use crate::grant;
use crate::range;
use crate::registration;
use crate::worker_report;

/// Longest time from the issue of a call until it arrives at the worker, which runs on the same
/// host. Calls that can't be sent within it are given up.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time from the issue of a call within which it must be sent, so that a process that was slow or
/// paused in between doesn't send it; the rest of `CALL_TIMEOUT` is left for the call to arrive.
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time between two renewals of a range, so that a restart of the node leaves most of the hold.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Delay after a grant call that failed or got no answer.
const GRANT_RETRY_DELAY: time::Duration = time::Duration::from_millis(600);
/// Time after which a release without an answer is sent again, unless requests still run on its
/// keys, for which the worker delays the answer.
const RELEASE_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Shortest hold that is worth a call.
const MIN_HOLD: time::Duration = time::Duration::from_millis(300);
/// Shortest extension of a hold that is worth a call.
const MIN_EXTENSION: time::Duration = time::Duration::from_millis(200);
/// Highest number of calls that wait for their answers.
const MAX_AWAITED_CALLS: usize = 16;
/// Number of awaited calls at which no more grants start, so that releases always can.
const MAX_AWAITED_GRANTS: usize = 8;

/// Number of a call to a worker; unique within one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallNumber(pub u64);

/// What a call tells the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOrder {
    /// Grants a range, or renews its grant, for a duration from the arrival of the call.
    Grant(grant::GrantedRange, time::Duration),
    /// Takes a range back; the answer comes when the work that runs on its keys has ended.
    Release(worker_report::HeldRange),
}

/// A call that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Its number.
    pub number: CallNumber,
    /// When it was issued.
    pub issued: time::Instant,
    /// What it tells the worker.
    pub order: CallOrder,
}

impl WorkerCall {
    /// Returns until when the call may be sent. A later one would outlast what the ledger assumes.
    pub fn send_by(&self) -> time::Instant {
        self.issued + SEND_TIMEOUT
    }

    /// Returns whether the call may be sent now.
    pub fn may_be_sent(&self, now: time::Instant) -> bool {
        now < self.send_by()
    }
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker holds the range.
    Granted,
    /// The worker has released the range; the handover token is empty if it named none.
    Released(Arc<str>),
    /// The worker has seen a higher fencing token on some of the keys, and did not apply the call.
    Outdated,
    /// The call was not sent, or the worker refused it for another reason.
    NotApplied,
    /// The connection ended without an answer; the call may still be applied.
    Unanswered,
}

/// A sent call whose result isn't known.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    number: CallNumber,
    issued: time::Instant,
    kind: OpenKind,
    /// Whether an answer may still come.
    is_awaited: bool,
}

/// What an open call may still do.
#[derive(Clone, Copy, Debug)]
enum OpenKind {
    /// Make the worker hold the keys for the given span from its issue at least, and until the
    /// given time at most.
    Grant(time::Duration, time::Instant),
    /// Make the worker release the keys.
    Release,
}

/// Progress of one range.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RowPhase {
    /// The worker is to hold the range.
    Granting,
    /// The worker is to release the range; it is never granted under the same fencing token again,
    /// as an earlier release may be applied late.
    Releasing,
    /// The worker has released the range and returned a handover token.
    Released(Arc<str>),
    /// The worker has seen a higher fencing token than that of the range.
    Outdated,
}

/// One range of the worker.
#[derive(Clone, Debug)]
struct LedgerRow {
    first: u16,
    last: u16,
    fence: u64,
    phase: RowPhase,
    /// Until when the worker holds the range at least, by the answered calls.
    confirmed_until: time::Instant,
    /// Until when the worker holds the range at most, by all calls.
    possible_until: time::Instant,
    /// Calls whose results aren't known.
    open: Vec<OpenCall>,
    next_call_at: time::Instant,
}

impl LedgerRow {
    fn is(&self, row: &range::RangeRow) -> bool {
        (self.first, self.last, self.fence) == (row.first, row.last, row.fence)
    }

    fn overlaps(&self, row: &range::RangeRow) -> bool {
        self.first <= row.last && self.last >= row.first
    }

    /// Returns whether a grant may be on its way to the worker.
    fn has_grant_on_the_way(&self, now: time::Instant) -> bool {
        let is_on_the_way = |call: &OpenCall| {
            matches!(call.kind, OpenKind::Grant(..)) && now < call.issued + CALL_TIMEOUT
        };
        self.open.iter().any(is_on_the_way)
    }

    /// Returns whether a grant without an answer may make the worker hold the range.
    fn has_late_grant(&self, now: time::Instant) -> bool {
        self.open.iter().any(|call| matches!(call.kind, OpenKind::Grant(_, end) if now < end))
    }

    /// Returns the handover token if the worker holds the range no more and won't again under this
    /// fencing token.
    fn released(&self, now: time::Instant) -> Option<Arc<str>> {
        match &self.phase {
            RowPhase::Granting => None,
            RowPhase::Released(handover) if !self.has_late_grant(now) => Some(Arc::clone(handover)),
            RowPhase::Released(_) | RowPhase::Releasing | RowPhase::Outdated => {
                (now >= self.possible_until).then(Arc::default)
            }
        }
    }

    /// Returns whether a call is due; `hold` is the longest hold that may be granted now.
    fn is_due(
        &self,
        now: time::Instant,
        hold: Option<time::Duration>,
        is_busy: &impl Fn(u16, u16) -> bool,
    ) -> bool {
        if now < self.next_call_at {
            return false;
        }
        match (&self.phase, hold) {
            (RowPhase::Granting, Some(hold)) => now + hold >= self.confirmed_until + MIN_EXTENSION,
            (RowPhase::Releasing, _) => {
                let is_release = |call: &OpenCall| matches!(call.kind, OpenKind::Release);
                let is_repeated = self.open.iter().any(is_release);
                now < self.possible_until
                    && !self.has_grant_on_the_way(now)
                    && !(is_repeated && is_busy(self.first, self.last))
            }
            (RowPhase::Granting, None) | (RowPhase::Released(_) | RowPhase::Outdated, _) => false,
        }
    }

    /// Records a call as sent now and returns what it tells the worker.
    fn issue(
        &mut self,
        now: time::Instant,
        number: CallNumber,
        hold: Option<time::Duration>,
        handover: Arc<str>,
    ) -> CallOrder {
        let (first, last, fence) = (self.first, self.last, self.fence);
        let (order, kind, delay) = match (&self.phase, hold) {
            (RowPhase::Granting, Some(hold)) => {
                let end = now + CALL_TIMEOUT + registration::longest_hold(hold);
                self.possible_until = self.possible_until.max(end);
                let range = grant::GrantedRange { first, last, fence, handover };
                (CallOrder::Grant(range, hold), OpenKind::Grant(hold, end), GRANT_RETRY_DELAY)
            }
            _ => {
                let range = worker_report::HeldRange { first, last, fence };
                (CallOrder::Release(range), OpenKind::Release, RELEASE_RETRY_DELAY)
            }
        };
        self.open.push(OpenCall { number, issued: now, kind, is_awaited: true });
        self.next_call_at = now + delay;
        order
    }

    /// Applies the result of a call; returns whether the worker has begun or ceased to hold the
    /// range.
    fn apply(&mut self, call: OpenCall, outcome: &CallOutcome) -> bool {
        match (call.kind, outcome) {
            (OpenKind::Grant(hold, _), CallOutcome::Granted) => {
                let is_new = self.confirmed_until < call.issued;
                self.confirmed_until = self.confirmed_until.max(call.issued + hold);
                self.next_call_at = self.next_call_at.max(call.issued + RENEW_INTERVAL);
                is_new
            }
            (OpenKind::Grant(..), CallOutcome::Outdated) if self.phase == RowPhase::Granting => {
                self.phase = RowPhase::Outdated;
                true
            }
            // The answer to a repeated release has no token, and shows nothing about the work that
            // still runs.
            (OpenKind::Release, CallOutcome::Released(handover)) if !handover.is_empty() => {
                self.phase = RowPhase::Released(Arc::clone(handover));
                true
            }
            (OpenKind::Grant(..) | OpenKind::Release, _) => false,
        }
    }
}

/// Calls to one incarnation of the worker, and the ranges that it holds by them.
#[derive(Clone, Debug)]
pub struct CallLedger {
    rows: Vec<LedgerRow>,
    next_number: u64,
    /// Until when earlier calls for ranges that the ledger doesn't know may be in force.
    inherited_until: time::Instant,
    is_loaded: bool,
}

impl CallLedger {
    /// Creates a ledger; `inherited_until` tells until when earlier calls to the same incarnation
    /// may be in force.
    pub fn new(inherited_until: time::Instant) -> CallLedger {
        CallLedger { rows: Vec::new(), next_number: 1, inherited_until, is_loaded: false }
    }

    /// Returns whether the ranges of the worker are known.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns until when the worker may hold any range.
    pub fn possible_until(&self) -> time::Instant {
        let ends = self.rows.iter().map(|row| row.possible_until);
        ends.max().unwrap_or_default()
    }

    /// Returns whether the worker holds `key` until `until` at least.
    pub fn holds(&self, until: time::Instant, key: u16) -> bool {
        self.rows.iter().any(|row| {
            row.phase == RowPhase::Granting
                && until < row.confirmed_until
                && (row.first..=row.last).contains(&key)
        })
    }

    /// Returns the first and last keys of the ranges that the worker is to hold.
    pub fn granted(&self) -> impl Iterator<Item = (u16, u16)> {
        let rows = self.rows.iter().filter(|row| row.phase == RowPhase::Granting);
        rows.map(|row| (row.first, row.last))
    }

    /// Returns the first and last keys of the ranges that the worker may hold under tokens below
    /// `fence` and isn't to release.
    pub fn granted_below(
        &self,
        now: time::Instant,
        fence: u64,
    ) -> impl Iterator<Item = (u16, u16)> {
        let is_held = move |row: &&LedgerRow| {
            row.phase == RowPhase::Granting && row.fence < fence && now < row.confirmed_until
        };
        self.rows.iter().filter(is_held).map(|row| (row.first, row.last))
    }

    /// Returns the handover token of a range that the worker has released or lost, so that it may
    /// get another owner.
    pub fn released(&self, now: time::Instant, row: &range::RangeRow) -> Option<Arc<str>> {
        self.rows.iter().find(|known| known.is(row))?.released(now)
    }

    /// Updates the ranges to those that the worker owns; `is_due` tells whether it is to hold one.
    ///
    /// An earlier run of the node granted only ranges that the worker owns at the first update.
    pub fn update<'a>(
        &mut self,
        now: time::Instant,
        owned: impl Iterator<Item = &'a range::StoredRow>,
        is_due: impl Fn(&range::StoredRow) -> bool,
    ) {
        let mut rows = Vec::new();
        for stored in owned {
            let mut row = self.known_row(now, &stored.row);
            if row.phase == RowPhase::Granting && !is_due(stored) {
                row.phase = RowPhase::Releasing;
                row.next_call_at = time::Instant::default();
            }
            rows.push(row);
        }
        // A range that left the view while the worker holds it may come back.
        let left = self.rows.iter().filter(|known| {
            let is_same = |row: &LedgerRow| row.first <= known.first && row.last >= known.first;
            !rows.iter().any(is_same) && known.released(now).is_none()
        });
        let left_until = left.map(|known| known.possible_until).max().unwrap_or_default();
        if !self.is_loaded {
            self.is_loaded = true;
            self.inherited_until = time::Instant::default();
        }
        self.inherited_until = self.inherited_until.max(left_until);
        self.rows = rows;
    }

    /// Returns the state of a range. The parts of a divided range inherit its state.
    fn known_row(&self, now: time::Instant, row: &range::RangeRow) -> LedgerRow {
        if let Some(known) = self.rows.iter().find(|known| known.is(row)) {
            return known.clone();
        }
        let (first, last, fence) = (row.first, row.last, row.fence);
        let whole = self.rows.iter().find(|known| known.fence == row.fence && known.overlaps(row));
        if let Some(whole) = whole {
            return LedgerRow { first, last, ..whole.clone() };
        }
        // The same keys under an earlier token: their grants may be in force, as the row was
        // written again without a release.
        let unreleased = self.rows.iter().filter(|known| known.overlaps(row));
        let unreleased = unreleased.filter(|known| known.released(now).is_none());
        let earlier_until = unreleased.map(|known| known.possible_until).max().unwrap_or_default();
        let inherited_until = self.inherited_until.max(earlier_until);
        let earlier = OpenCall {
            number: CallNumber(0),
            issued: time::Instant::default(),
            kind: OpenKind::Grant(time::Duration::ZERO, inherited_until),
            is_awaited: false,
        };
        LedgerRow {
            first,
            last,
            fence,
            phase: RowPhase::Granting,
            confirmed_until: time::Instant::default(),
            possible_until: inherited_until,
            open: vec![earlier],
            next_call_at: time::Instant::default(),
        }
    }

    /// Returns the next call that is due, which counts as sent from `now` on. `ranges` gives the
    /// handover tokens of the rows; `hold` is the longest hold that may be granted now, or `None`
    /// if nothing may be granted. `is_busy` tells whether requests run on keys of a range, given by
    /// its first and last keys.
    pub fn next_call(
        &mut self,
        now: time::Instant,
        ranges: &range::ServiceRanges,
        hold: Option<time::Duration>,
        is_busy: impl Fn(u16, u16) -> bool,
    ) -> Option<WorkerCall> {
        let awaited = self.forget_ended(now);
        if awaited >= MAX_AWAITED_CALLS {
            return None;
        }
        let hold = hold.filter(|hold| *hold >= MIN_HOLD && awaited < MAX_AWAITED_GRANTS);
        let due = self.rows.iter_mut().filter(|row| row.is_due(now, hold, &is_busy));
        // Releases first: a successor waits for them.
        let row = due.min_by_key(|row| (row.phase == RowPhase::Granting, row.next_call_at))?;
        let number = CallNumber(self.next_number);
        self.next_number += 1;
        let stored = ranges.find(row.first).filter(|stored| row.is(&stored.row));
        let handover = stored.map(|stored| Arc::clone(&stored.row.handover)).unwrap_or_default();
        let order = row.issue(now, number, hold, handover);
        Some(WorkerCall { number, issued: now, order })
    }

    /// Forgets calls that can't be applied any more; returns the number of awaited calls.
    fn forget_ended(&mut self, now: time::Instant) -> usize {
        let mut awaited = HashSet::new();
        for row in &mut self.rows {
            row.open.retain(|call| match call.kind {
                OpenKind::Grant(_, end) => call.is_awaited || now < end,
                OpenKind::Release => true,
            });
            let calls = row.open.iter().filter(|call| call.is_awaited);
            awaited.extend(calls.map(|call| call.number));
        }
        awaited.len()
    }

    /// Returns when the next call may be due, if no range or result changes before.
    pub fn next_call_at(&self) -> Option<time::Instant> {
        let is_called =
            |row: &&LedgerRow| matches!(row.phase, RowPhase::Granting | RowPhase::Releasing);
        self.rows.iter().filter(is_called).map(|row| row.next_call_at).min()
    }

    /// Applies the result of a call, which may come late; returns whether the worker has begun or
    /// ceased to hold a range.
    pub fn apply(&mut self, number: CallNumber, outcome: &CallOutcome) -> bool {
        let mut has_changed = false;
        for row in &mut self.rows {
            let Some(index) = row.open.iter().position(|call| call.number == number) else {
                continue;
            };
            if *outcome == CallOutcome::Unanswered {
                row.open[index].is_awaited = false;
                continue;
            }
            let call = row.open.swap_remove(index);
            has_changed |= row.apply(call, outcome);
        }
        has_changed
    }
}
