//! Work in flight, by hash range and lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::action;

/// One request in flight. The range identifies its keys, since later documents may change the index
/// of the slice.
#[derive(Debug)]
pub(crate) struct WorkEntry {
    pub(crate) class: Arc<str>,
    pub(crate) start: key::KeyHash,
    pub(crate) last: key::KeyHash,
    pub(crate) lease: ident::LeaseId,
    /// Time at which a document moved part of the range to another node.
    pub(crate) lost_at: Option<time::Instant>,
    pub(crate) is_cancelled: bool,
}

/// All work in flight.
#[derive(Debug, Default)]
pub(crate) struct WorkTracker {
    next: u64,
    pub(crate) entries: BTreeMap<action::WorkId, WorkEntry>,
}

impl WorkTracker {
    pub(crate) fn begin(&mut self, entry: WorkEntry) -> action::WorkId {
        self.next += 1;
        let work = action::WorkId(self.next);
        self.entries.insert(work, entry);
        work
    }

    pub(crate) fn end(&mut self, work: action::WorkId) {
        self.entries.remove(&work);
    }

    pub(crate) fn uses_lease(&self, lease: ident::LeaseId) -> bool {
        self.entries.values().any(|entry| entry.lease == lease)
    }

    /// Returns the number of requests for lost slices, which delay the confirmation.
    pub(crate) fn lost_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.lost_at.is_some()).count()
    }

    /// Cancels the work that satisfies `is_due`, each piece at most once.
    pub(crate) fn cancel(
        &mut self,
        reason: action::CancelReason,
        is_due: impl Fn(&WorkEntry) -> bool,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        for (work, entry) in &mut self.entries {
            if entry.is_cancelled || !is_due(entry) {
                continue;
            }
            entry.is_cancelled = true;
            actions.push(action::OwnershipAction::CancelWork {
                work: *work,
                class: Arc::clone(&entry.class),
                start: entry.start,
                reason,
            });
        }
    }
}
