//! Key ranges and their owners, as stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Highest fencing token that is accepted: the largest integer that every JSON reader keeps
/// exactly. Each change of the owner takes the next token, so the limit is never reached in
/// practice.
pub const MAX_FENCE: u64 = (1 << 53) - 1;

/// An invalid row in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// The range has no keys.
    #[error("key range {first} to {last} is empty")]
    Keys {
        /// First key.
        first: u16,
        /// Last key.
        last: u16,
    },
    /// The fencing token is too high to be followed by another one.
    #[error("fencing token {fence} is above {MAX_FENCE}")]
    Fence {
        /// The fencing token.
        fence: u64,
    },
}

use crate::era;
use crate::member;

/// A worker and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeHolder {
    /// The incarnation of the worker.
    pub worker: member::WorkerName,
    /// The node beside it.
    pub node: Arc<str>,
}

/// A range of keys that is owned and moved as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRow {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token; increases with each change of the owner.
    pub fence: u64,
    /// Worker that may hold the keys; `None` if no worker may.
    pub owner: Option<RangeHolder>,
    /// Worker that gets the keys when the owner has released them.
    pub successor: Option<RangeHolder>,
    /// Handover token of the last holder, with which the next holder takes over its warm state;
    /// empty if there is none.
    pub handover: Arc<str>,
}

impl RangeRow {
    /// Checks a row that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the range is empty or its fencing token is too high.
    pub fn check(&self) -> Result<(), RowError> {
        if self.last < self.first {
            return Err(RowError::Keys { first: self.first, last: self.last });
        }
        if self.fence > MAX_FENCE {
            return Err(RowError::Fence { fence: self.fence });
        }
        Ok(())
    }

    /// Returns the number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns whether `worker` owns the keys and isn't to release them.
    pub fn is_held_by(&self, worker: &member::WorkerName) -> bool {
        self.successor.is_none() && self.owner.as_ref().is_some_and(|owner| owner.worker == *worker)
    }

    /// Returns the row as read in an era of the store. The fencing token of a row from an earlier
    /// era may be lower than tokens that workers had since, so it is raised above all of these.
    pub fn read_in(self, era: u64) -> RangeRow {
        RangeRow { fence: self.fence.max(era::min_fence(era)), ..self }
    }

    /// Returns the same keys under another owner, with the next fencing token.
    pub fn with_owner(&self, owner: RangeHolder, handover: Arc<str>) -> RangeRow {
        RangeRow {
            owner: Some(owner),
            successor: None,
            fence: self.fence + 1,
            handover,
            ..self.clone()
        }
    }

    /// Returns the same keys without an owner.
    pub fn without_owner(&self, handover: Arc<str>) -> RangeRow {
        RangeRow { owner: None, successor: None, handover, ..self.clone() }
    }
}

/// A row with its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The row.
    pub row: RangeRow,
    /// Its revision.
    pub revision: u64,
}

/// Ranges of one service, by first key.
#[derive(Clone, Debug, Default)]
pub struct ServiceRanges {
    rows: BTreeMap<u16, StoredRow>,
    /// Revision of the item that guards the layout of the rows; 0 if the item doesn't exist.
    pub layout_revision: u64,
}

impl ServiceRanges {
    /// Returns the row that contains `key`.
    pub fn find(&self, key: u16) -> Option<&StoredRow> {
        let (_, stored) = self.rows.range(..=key).next_back()?;
        (stored.row.last >= key).then_some(stored)
    }

    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values()
    }

    /// Sets a row unless a newer revision is known.
    pub fn set(&mut self, row: RangeRow, revision: u64) {
        let first = row.first;
        if self.rows.get(&first).is_none_or(|known| known.revision < revision) {
            self.rows.insert(first, StoredRow { row, revision });
        }
    }

    /// Removes a row that was deleted at `revision`, unless a newer revision is known.
    pub fn remove(&mut self, first: u16, revision: u64) {
        if self.rows.get(&first).is_some_and(|known| known.revision < revision) {
            self.rows.remove(&first);
        }
    }

    /// Forgets a layout of an earlier era that isn't in the store in `era`.
    pub fn forget_layout(&mut self, era: u64) {
        if era::of_revision(self.layout_revision) < era {
            self.layout_revision = 0;
        }
    }

    /// Keeps the rows for which `keep` returns `true` and those newer than `revision`, after a
    /// complete read at that revision.
    pub fn retain(&mut self, revision: u64, keep: impl Fn(u16) -> bool) {
        self.rows.retain(|first, stored| stored.revision > revision || keep(*first));
    }

    /// Returns the first key that no row contains.
    pub fn first_gap(&self) -> Option<u16> {
        let mut next = 0_u32;
        for stored in self.rows.values() {
            if u32::from(stored.row.first) > next {
                break;
            }
            next = next.max(u32::from(stored.row.last) + 1);
        }
        u16::try_from(next).ok()
    }
}

/// Ranges of all services.
#[derive(Clone, Debug, Default)]
pub struct RangeTable {
    services: BTreeMap<Arc<str>, ServiceRanges>,
    /// Era of the store in which the ranges were read.
    era: u64,
}

impl RangeTable {
    /// Returns the era of the store in which the ranges were read.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Records that the ranges of an era are read from now on.
    pub fn set_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Returns the ranges of a service.
    pub fn service(&self, service: &str) -> Option<&ServiceRanges> {
        self.services.get(service)
    }

    /// Returns the ranges of a service, which are created if there are none.
    pub fn service_mut(&mut self, service: &str) -> &mut ServiceRanges {
        self.services.entry(Arc::from(service)).or_default()
    }

    /// Returns all services that have ranges.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &ServiceRanges)> {
        self.services.iter()
    }

    /// Returns all services that have ranges, for changes.
    pub fn services_mut(&mut self) -> impl Iterator<Item = (&Arc<str>, &mut ServiceRanges)> {
        self.services.iter_mut()
    }
}
