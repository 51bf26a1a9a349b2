//! Changes of rows that only the node of their owner may make.

use std::sync::Arc;

use cornelridge_model::time;

use super::WorkerGrants;
use crate::era;
use crate::known_worker;
use crate::member;
use crate::plan;
use crate::range;

/// What a node knows of the owner of a row.
enum OwnerState {
    /// The owner may hold the keys of the row.
    MayHold,
    /// The owner has ended.
    Ended,
    /// The owner runs and has released the row, with this handover token; empty if it isn't known.
    Released(Arc<str>),
}

impl WorkerGrants {
    /// Returns the changes that only this node may make: those of rows that its worker has released
    /// or lost. `record` is the revision of the host's record; the next run of the node changes it,
    /// so that no change of this run is applied after that one has granted the keys again.
    pub fn settle(
        &mut self,
        now: time::Instant,
        service: &Arc<str>,
        ranges: &range::ServiceRanges,
        record: u64,
        era: &era::EraTracker,
    ) -> Vec<plan::RangeChange> {
        let mut changes = Vec::new();
        if !self.earlier.is_known() {
            return changes;
        }
        let is_settling = era.is_settling(now);
        let is_due =
            |stored: &&range::StoredRow| !is_settling || !era::is_inherited(stored.row.fence);
        for stored in ranges.rows().filter(is_due) {
            if let Some(row) = self.settle_row(now, stored) {
                self.relinquished.insert(stored.row.first, stored.revision);
                let reason = plan::ChangeReason::Settled;
                let mut change = plan::RangeChange::replace_row(service, reason, stored, row);
                change.records.push((Arc::clone(&self.node), record));
                changes.push(change);
            }
        }
        plan::merge(changes, era.max_change_ops())
    }

    fn settle_row(&self, now: time::Instant, stored: &range::StoredRow) -> Option<range::RangeRow> {
        let row = &stored.row;
        let owner = row.owner.as_ref().filter(|owner| owner.node == self.node)?;
        let handover = match self.owner_state(now, row, &owner.worker) {
            OwnerState::MayHold => return None,
            OwnerState::Ended => return Some(self.reassigned(row)),
            OwnerState::Released(handover) => handover,
        };
        let known = self.worker.as_ref()?;
        if let Some(successor) = &row.successor {
            return Some(row.with_owner(successor.clone(), handover));
        }
        if self.relinquished.get(&row.first) == Some(&stored.revision) {
            return Some(row.without_owner(handover));
        }
        if era::is_inherited(row.fence) && known.report.state == member::WorkerState::Ready {
            return Some(row.with_owner(owner.clone(), handover));
        }
        let is_again_due = matches!(known.state, known_worker::GrantState::Calls(_))
            && known.report.state == member::WorkerState::Ready;
        // The fencing token under which the range was released isn't used again.
        is_again_due.then(|| row.with_owner(owner.clone(), handover))
    }

    /// Returns whether the owner of a row beside this node may hold its keys. This alone decides
    /// when they become free, whatever this run of the node doesn't know yet.
    fn owner_state(
        &self,
        now: time::Instant,
        row: &range::RangeRow,
        owner: &member::WorkerName,
    ) -> OwnerState {
        if self.has_ended(now, owner) {
            return OwnerState::Ended;
        }
        let Some(known) = self.worker.as_ref().filter(|known| known.report.name == *owner) else {
            return OwnerState::MayHold;
        };
        // The ledger of calls takes the grants of earlier runs into account itself.
        let is_by_replies = matches!(known.state, known_worker::GrantState::Replies(_));
        if is_by_replies && self.earlier.includes_row(now, row) {
            return OwnerState::MayHold;
        }
        let released = known.released_row(now, row, &self.handovers);
        released.map_or(OwnerState::MayHold, OwnerState::Released)
    }

    /// Returns whether an incarnation beside this node is known to have ended, or counts as ended
    /// as no grant to it can be in force any more.
    fn has_ended(&self, now: time::Instant, worker: &member::WorkerName) -> bool {
        if self.ended_by_unix_ms >= Some(worker.started_unix_ms()) {
            return true;
        }
        let known = self.worker.as_ref().filter(|known| known.report.name == *worker);
        known.map_or(now >= self.others_held_until, |known| {
            // Grants that expired during an outage are renewed with the worker's next report.
            !self.is_reporting(now)
                && now >= known.granted_until()
                && now >= self.possibly_held_until
        })
    }

    /// Returns a row whose owner has ended with its new owner: the chosen successor or else, if it
    /// takes new requests, the incarnation that runs now. Otherwise the row has no owner.
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
