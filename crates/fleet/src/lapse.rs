//! Members whose entry in the store has ended while their nodes still answer this one.
//!
//! An entry ends when its node can't renew its lease. A node that is cut off from the store can
//! still serve requests: it checks each one against its own worker and its own grants, so that the
//! entry decides on keys and not on whether the node can be reached. Signs of life are frames that
//! arrive on a connection to the node; a lost node sends none.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::time;

/// Time between two checks for signs of life.
pub const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without a sign of life after which a node counts as lost: that after which a connection
/// with open streams gets no further ones.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(900);
/// Time without a sign of life after which an entry is forgotten.
const RETENTION: time::Duration = time::Duration::from_millis(3_000);

/// An entry that has ended.
#[derive(Debug)]
struct LapsedEntry<E> {
    entry: Arc<E>,
    since: time::Instant,
    /// Frames received from the node as of the last check; `None` without a connection.
    frames: Option<u64>,
    /// Time of the last sign of life.
    heard_at: Option<time::Instant>,
}

impl<E> Clone for LapsedEntry<E> {
    fn clone(&self) -> LapsedEntry<E> {
        LapsedEntry { entry: Arc::clone(&self.entry), ..*self }
    }
}

impl<E> LapsedEntry<E> {
    fn is_reachable(&self, now: time::Instant) -> bool {
        self.heard_at.is_some_and(|heard| now.since(heard) <= MAX_SILENCE)
    }
}

/// Ended entries by node.
#[derive(Clone, Debug)]
pub struct LapsedEntries<E> {
    entries: BTreeMap<Arc<str>, LapsedEntry<E>>,
}

impl<E> Default for LapsedEntries<E> {
    fn default() -> LapsedEntries<E> {
        LapsedEntries { entries: BTreeMap::new() }
    }
}

impl<E> LapsedEntries<E> {
    /// Adds an entry that has ended; its node counts as lost until it gives a sign of life.
    pub fn insert(&mut self, now: time::Instant, node: Arc<str>, entry: Arc<E>) {
        let lapsed = LapsedEntry { entry, since: now, frames: None, heard_at: None };
        self.entries.insert(node, lapsed);
    }

    /// Removes the entry of a node that has a new one.
    pub fn remove(&mut self, node: &str) {
        self.entries.remove(node);
    }

    /// Records the number of frames received from a node, or `None` without a connection to it.
    /// Returns whether this changes whether the node counts as reachable.
    pub fn record_frames(&mut self, now: time::Instant, node: &str, frames: Option<u64>) -> bool {
        let Some(lapsed) = self.entries.get_mut(node) else { return false };
        let was_reachable = lapsed.is_reachable(now);
        match (lapsed.frames, frames) {
            (Some(before), Some(count)) if before != count => lapsed.heard_at = Some(now),
            (_, None) => lapsed.heard_at = None,
            _ => {}
        }
        lapsed.frames = frames;
        lapsed.is_reachable(now) != was_reachable
    }

    /// Forgets the nodes that have given no sign of life for a while; returns whether there were
    /// any.
    pub fn remove_lost(&mut self, now: time::Instant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, lapsed| now.since(lapsed.heard_at.unwrap_or(lapsed.since)) < RETENTION);
        self.entries.len() < before
    }

    /// Returns the entry of a node that counts as reachable.
    pub fn reachable(&self, now: time::Instant, node: &str) -> Option<&Arc<E>> {
        self.entries.get(node).filter(|lapsed| lapsed.is_reachable(now)).map(|found| &found.entry)
    }

    /// Returns all entries with their nodes, whether these count as reachable or not.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<E>)> {
        self.entries.iter().map(|(node, lapsed)| (node, &lapsed.entry))
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
