//! Eras of the store: it returns from an older copy of its items when an era begins.
//!
//! Revisions and fencing tokens contain the era in their upper bits, so that what was written in a
//! later era is newer than everything before it.

use cornelridge_model::time;

use crate::plan;
use crate::registration;

/// Number of bits of a revision below the era.
const REVISION_BITS: u32 = 40;
/// Number of bits of a fencing token below the era.
const FENCE_BITS: u32 = 32;
/// Latest era that is accepted. Fencing tokens of later ones exceed `range::MAX_FENCE`.
pub const MAX_ERA: u64 = (1 << 21) - 1;
/// Number of conditions and writes that the client of a store with eras adds to a transaction.
const ERA_OPS: usize = 3;

/// Returns the revision `number` of an era.
pub fn revision(era: u64, number: u64) -> u64 {
    (era << REVISION_BITS) | number
}

/// Returns the era of a revision.
pub fn of_revision(revision: u64) -> u64 {
    revision >> REVISION_BITS
}

/// Returns a revision as the store knows it, without the era.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << REVISION_BITS) - 1)
}

/// Returns a fencing token that is higher than all tokens of earlier eras, and under which no keys
/// are granted.
pub fn min_fence(era: u64) -> u64 {
    era << FENCE_BITS
}

/// Returns whether a fencing token, raised to `min_fence` when it was read, was assigned in an
/// earlier era.
pub fn is_inherited(fence: u64) -> bool {
    fence > 0 && fence.trailing_zeros() >= FENCE_BITS
}

/// Beginning of an era after another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraChange {
    /// Era before the change.
    pub before: u64,
    /// Era that has begun.
    pub era: u64,
}

/// Latest era of the store that a node has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    era: Option<u64>,
    changed_at: Option<time::Instant>,
}

impl EraTracker {
    /// Records the era in an answer of the store; returns the change if a later era has begun.
    pub fn observe(&mut self, now: time::Instant, era: u64) -> Option<EraChange> {
        let Some(before) = self.era else {
            self.era = Some(era);
            // A later era than the first one may have begun just before the node started.
            self.changed_at = (era > 0).then_some(now);
            return None;
        };
        if era <= before {
            return None;
        }
        self.era = Some(era);
        self.changed_at = Some(now);
        Some(EraChange { before, era })
    }

    /// Returns whether grants of an earlier era may be in force.
    pub fn is_settling(&self, now: time::Instant) -> bool {
        self.changed_at.is_some_and(|at| now < at + registration::takeover_delay())
    }

    /// Returns the highest number of conditions and writes that a change may have.
    pub fn max_change_ops(&self) -> usize {
        match self.era {
            Some(_) => plan::MAX_TRANSACTION_OPS - ERA_OPS,
            None => plan::MAX_TRANSACTION_OPS,
        }
    }
}
