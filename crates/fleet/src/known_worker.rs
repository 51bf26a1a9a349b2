//! What a node knows of the incarnation of its worker that reported last.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::era;
use crate::grant;
use crate::ledger;
use crate::range;
use crate::worker_report;

/// What a worker has been granted.
#[derive(Clone, Debug)]
pub(crate) enum GrantState {
    Replies(ReplyState),
    Calls(ledger::CallLedger),
}

impl GrantState {
    /// Returns the state of a worker that this run of the node has granted nothing;
    /// `inherited_until` tells until when grants of an earlier run may be in force.
    pub(crate) fn new(
        delivery: grant::GrantDelivery,
        inherited_until: time::Instant,
    ) -> GrantState {
        match delivery {
            grant::GrantDelivery::Replies => GrantState::Replies(ReplyState::default()),
            grant::GrantDelivery::Calls => {
                GrantState::Calls(ledger::CallLedger::new(inherited_until))
            }
        }
    }
}

/// Grants by replies to reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplyState {
    /// Ranges in the last reply.
    pub(crate) granted: Vec<grant::GrantedRange>,
    pub(crate) granted_until: time::Instant,
    /// Ranges in the reply before the last report, which that report takes into account.
    pub(crate) acknowledged: Vec<grant::GrantedRange>,
}

/// Latest incarnation that has reported.
#[derive(Clone, Debug)]
pub(crate) struct KnownWorker {
    /// Its last report.
    pub(crate) report: worker_report::WorkerReport,
    pub(crate) reported_at: time::Instant,
    /// When the node acknowledged that the worker is leaving.
    pub(crate) leaving_since: Option<time::Instant>,
    pub(crate) has_ended: bool,
    /// Whether the worker has announced its end.
    pub(crate) has_deregistered: bool,
    /// Whether all connections to the worker have been closed since its last report.
    pub(crate) is_disconnected: bool,
    pub(crate) state: GrantState,
}

impl KnownWorker {
    /// Returns until when the worker may hold keys by the grants of this run of the node.
    pub(crate) fn granted_until(&self) -> time::Instant {
        match &self.state {
            GrantState::Replies(replies) => replies.granted_until,
            GrantState::Calls(ledger) => ledger.possible_until(),
        }
    }

    /// Returns the first and last keys of the ranges that the worker holds by grants of earlier
    /// eras of the store, which are in force.
    pub(crate) fn held_before(&self, now: time::Instant, era: u64) -> Vec<(u16, u16)> {
        let fence = era::min_fence(era);
        match &self.state {
            GrantState::Replies(replies) => {
                let is_in_force = now < replies.granted_until;
                let granted = replies.granted.iter().filter(|range| range.fence < fence);
                granted.filter(|_| is_in_force).map(|range| (range.first, range.last)).collect()
            }
            GrantState::Calls(ledger) => ledger.granted_below(now, fence).collect(),
        }
    }

    /// Returns whether the worker may hold keys, which it has been granted or reports as held.
    pub(crate) fn may_hold_keys(
        &self,
        now: time::Instant,
        possibly_held_until: time::Instant,
    ) -> bool {
        let is_granted = match &self.state {
            GrantState::Replies(replies) => {
                !replies.granted.is_empty() || !replies.acknowledged.is_empty()
            }
            GrantState::Calls(ledger) => now < ledger.possible_until(),
        };
        let until = self.granted_until().max(possibly_held_until);
        now < until && (is_granted || !self.report.holds.is_empty())
    }

    /// Returns whether the worker has ended or announced its end, as far as it is known, so that
    /// another one may use its address.
    pub(crate) fn has_left_address(&self) -> bool {
        self.has_ended || self.has_deregistered || self.is_disconnected
    }

    /// Returns the handover token, if it is known, of a row that the worker doesn't hold any more
    /// and can't come to hold; `None` if it may hold the row.
    pub(crate) fn released_row(
        &self,
        now: time::Instant,
        row: &range::RangeRow,
        handovers: &HashMap<(u16, u16), Arc<str>>,
    ) -> Option<Arc<str>> {
        let replies = match &self.state {
            GrantState::Replies(replies) => replies,
            GrantState::Calls(ledger) => return ledger.released(now, row),
        };
        let overlaps = |first: u16, last: u16| first <= row.last && last >= row.first;
        let granted = replies.acknowledged.iter().chain(&replies.granted);
        let is_granted = granted.into_iter().any(|range| overlaps(range.first, range.last));
        let is_held = self.report.holds.iter().any(|held| overlaps(held.first, held.last));
        if is_granted || is_held {
            return None;
        }
        Some(handovers.get(&(row.first, row.last)).map(Arc::clone).unwrap_or_default())
    }
}
