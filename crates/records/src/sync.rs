//! Ranges of the hash space of which this node has every record.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::record::RecordRange;

/// Whether this node knows every record of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// Not a member of the chain, or the transfer hasn't begun.
    Missing,
    /// Records are being fetched from this member.
    Syncing(ident::IncarnationId),
    /// Every record of the range is here.
    Synced,
    /// Taken over without the records; after this time, no missing record can still be valid.
    UnsyncedUntil(time::Instant),
}

/// Sync states of one class as consecutive ranges, keyed by their first hash.
#[derive(Clone, Debug)]
struct ClassRanges {
    states: BTreeMap<u64, SyncState>,
}

impl ClassRanges {
    fn new() -> ClassRanges {
        ClassRanges { states: BTreeMap::from([(0, SyncState::Missing)]) }
    }

    fn state_at(&self, hash: u64) -> SyncState {
        self.states.range(..=hash).next_back().map_or(SyncState::Missing, |(_, state)| *state)
    }

    /// Makes `hash` the start of a range without changing any state.
    fn split_at(&mut self, hash: u64) {
        let state = self.state_at(hash);
        self.states.entry(hash).or_insert(state);
    }

    fn update(&mut self, first: u64, last: u64, change: impl Fn(SyncState) -> SyncState) {
        if first > last {
            return;
        }
        self.split_at(first);
        if let Some(after) = last.checked_add(1) {
            self.split_at(after);
        }
        self.states.range_mut(first..=last).for_each(|(_, state)| *state = change(*state));
        self.merge_equal_neighbours();
    }

    /// Removes boundaries between equal states, so that memory depends on the number of distinct
    /// ranges only.
    fn merge_equal_neighbours(&mut self) {
        let mut previous = None;
        self.states.retain(|_, state| previous.replace(*state) != Some(*state));
    }

    fn states_in(&self, first: u64, last: u64) -> impl Iterator<Item = SyncState> + '_ {
        let rest = self.states.range(first..=last).map(|(_, state)| *state);
        std::iter::once(self.state_at(first)).chain(rest)
    }
}

/// Sync states of all classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncRanges {
    classes: BTreeMap<Arc<str>, ClassRanges>,
}

impl SyncRanges {
    pub(crate) fn update(&mut self, range: &RecordRange, change: impl Fn(SyncState) -> SyncState) {
        let class = Arc::clone(&range.class);
        let ranges = self.classes.entry(class).or_insert_with(ClassRanges::new);
        ranges.update(range.first.0, range.last.0, change);
    }

    pub(crate) fn state_at(
        &self,
        now: time::Instant,
        class: &str,
        hash: key::KeyHash,
    ) -> SyncState {
        let state =
            self.classes.get(class).map_or(SyncState::Missing, |ranges| ranges.state_at(hash.0));
        effective_state(now, state)
    }

    /// Returns whether every part of the range is synced.
    pub(crate) fn is_synced(&self, now: time::Instant, range: &RecordRange) -> bool {
        let Some(ranges) = self.classes.get(&range.class) else { return false };
        if range.first > range.last {
            return false;
        }
        let mut states = ranges.states_in(range.first.0, range.last.0);
        states.all(|state| effective_state(now, state) == SyncState::Synced)
    }
}

/// Returns the state at `now`: once the window has passed, no missing record can still be valid, so
/// the range counts as synced.
pub(crate) fn effective_state(now: time::Instant, state: SyncState) -> SyncState {
    match state {
        SyncState::UnsyncedUntil(end) if end <= now => SyncState::Synced,
        other => other,
    }
}
