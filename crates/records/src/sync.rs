//! Which ranges of the hash space this node has every record of.

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
    /// Taken over without the records; after this time no record could still matter.
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

    fn at(&self, hash: u64) -> SyncState {
        self.states.range(..=hash).next_back().map_or(SyncState::Missing, |(_, state)| *state)
    }

    /// Makes `hash` the start of a range without changing any state.
    fn cut(&mut self, hash: u64) {
        let state = self.at(hash);
        self.states.entry(hash).or_insert(state);
    }

    fn update(&mut self, first: u64, last: u64, change: impl Fn(SyncState) -> SyncState) {
        if first > last {
            return;
        }
        self.cut(first);
        if let Some(after) = last.checked_add(1) {
            self.cut(after);
        }
        self.states.range_mut(first..=last).for_each(|(_, state)| *state = change(*state));
        self.join();
    }

    /// Drops boundaries between equal states, so that memory follows the number of real ranges.
    fn join(&mut self) {
        let mut before = None;
        self.states.retain(|_, state| before.replace(*state) != Some(*state));
    }

    fn over(&self, first: u64, last: u64) -> impl Iterator<Item = SyncState> + '_ {
        let rest = self.states.range(first..=last).map(|(_, state)| *state);
        std::iter::once(self.at(first)).chain(rest)
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

    pub(crate) fn at(&self, now: time::Instant, class: &str, hash: key::KeyHash) -> SyncState {
        let state = self.classes.get(class).map_or(SyncState::Missing, |ranges| ranges.at(hash.0));
        settled(now, state)
    }

    /// Whether every part of the range is synced.
    pub(crate) fn is_synced(&self, now: time::Instant, range: &RecordRange) -> bool {
        let Some(ranges) = self.classes.get(&range.class) else { return false };
        if range.first > range.last {
            return false;
        }
        let mut states = ranges.over(range.first.0, range.last.0);
        states.all(|state| settled(now, state) == SyncState::Synced)
    }
}

/// After the window no record that is missing could still matter.
pub(crate) fn settled(now: time::Instant, state: SyncState) -> SyncState {
    match state {
        SyncState::UnsyncedUntil(end) if end <= now => SyncState::Synced,
        other => other,
    }
}
