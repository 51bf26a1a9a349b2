//! Replies to reports, which grant keys.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use super::{GrantReply, GrantedRange, WorkerGrants};
use crate::era;
use crate::known_worker;
use crate::member;
use crate::range;
use crate::registration;
use crate::worker_report;

/// Space for ranges in a reply, in bytes of JSON; workers read replies of at most 4 KiB.
const MAX_RANGES_BYTES: usize = 3_900;
/// Space that a range takes besides its fencing token and its handover token, in bytes.
const RANGE_BYTES: usize = 18;

impl GrantedRange {
    /// Returns the space that the range takes in a reply, in bytes.
    fn reply_bytes(&self) -> usize {
        let digits = self.fence.checked_ilog10().unwrap_or_default() as usize + 1;
        RANGE_BYTES + digits + self.handover.len()
    }
}

impl WorkerGrants {
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
