//! Availability zones whose workers get no requests because the operator evacuates them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelridge_model::time;

use crate::era;

/// Time for which a worker still gets requests for keys that it holds. The handover of a key takes
/// up to two report intervals of its workers, 870 ms each.
const MAX_KEY_SERVICE: time::Duration = time::Duration::from_secs(2);

/// Time for which an evacuation stays in force that the store has lost when it went back to an
/// older copy. The operator writes it again, unless it was removed meanwhile.
const LOST_ITEM_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Zones whose evacuation has started or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated now and weren't before.
    pub started: Vec<Arc<str>>,
    /// Zones that aren't evacuated any more.
    pub ended: Vec<Arc<str>>,
}

/// Evacuated zones as of one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct EvacuationSet {
    /// Evacuated zones, with the time at which this node learned of each.
    zones: BTreeMap<Arc<str>, time::Instant>,
    /// Evacuated zones whose items the store has lost, and since when.
    lost: BTreeMap<Arc<str>, time::Instant>,
    /// Revision of the store; `None` before the first set is known.
    revision: Option<u64>,
    version: u64,
}

impl EvacuationSet {
    /// Replaces the set by all evacuated zones as of `revision`, unless a newer set is known.
    /// Returns what changes for a node that learns of it at `now`.
    pub fn replace(
        &mut self,
        now: time::Instant,
        revision: u64,
        zones: impl IntoIterator<Item = Arc<str>>,
    ) -> EvacuationChange {
        if self.revision.is_some_and(|known| known > revision) {
            return EvacuationChange::default();
        }
        let before = self.revision.replace(revision);
        let is_first = before.is_none();
        let mut zones: BTreeSet<Arc<str>> = zones.into_iter().collect();
        if before.is_some_and(|known| era::of_revision(known) < era::of_revision(revision)) {
            let lost = self.zones.keys().filter(|zone| !zones.contains(*zone));
            self.lost = lost.map(|zone| (Arc::clone(zone), now)).collect();
        }
        self.lost.retain(|_, since| now.since(*since) < LOST_ITEM_RETENTION);
        zones.extend(self.lost.keys().map(Arc::clone));
        let ended = self.zones.keys().filter(|zone| !zones.contains(*zone));
        let ended: Vec<Arc<str>> = ended.map(Arc::clone).collect();
        let started = zones.into_iter().filter(|zone| !self.zones.contains_key(zone));
        let started: Vec<Arc<str>> = started.collect();
        self.zones.retain(|zone, _| !ended.contains(zone));
        self.zones.extend(started.iter().map(|zone| (Arc::clone(zone), now)));
        if is_first || !started.is_empty() || !ended.is_empty() {
            self.version += 1;
        }
        EvacuationChange { started, ended }
    }

    /// Records that the operator has written or removed the item of a zone in the current era, so
    /// that the set as read is right.
    pub fn confirm(&mut self, zone: &str) {
        self.lost.remove(zone);
    }

    /// Returns the zones that remain evacuated if the retention period of a lost item has ended, or
    /// `None` if no such period has ended.
    pub fn expired(&self, now: time::Instant) -> Option<Vec<Arc<str>>> {
        let is_expired = |zone: &Arc<str>| {
            let since = self.lost.get(zone);
            since.is_some_and(|since| now.since(*since) >= LOST_ITEM_RETENTION)
        };
        let has_expired = self.zones.keys().any(is_expired);
        let kept = self.zones.keys().filter(|zone| !is_expired(zone)).map(Arc::clone);
        has_expired.then(|| kept.collect())
    }

    /// Returns whether the operator's items have been read, directly or by another node.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Returns the revision of the store as of which the set is known, or 0 before the first set.
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or_default()
    }

    /// Returns a number that grows with each change of the set; 0 before the first set is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the node beside a worker in `zone` refuses requests for it: those for any
    /// worker at once, those for keys after a time in which their usual handover completes.
    pub fn refuses_local(&self, now: time::Instant, zone: &str, has_key: bool) -> bool {
        match self.keys_refused_from(zone) {
            Some(from) => !has_key || now >= from,
            None => false,
        }
    }

    /// Returns the time from which requests for keys are refused beside the workers in `zone`, or
    /// `None` if the zone isn't evacuated.
    pub fn keys_refused_from(&self, zone: &str) -> Option<time::Instant> {
        self.zones.get(zone).map(|learned| *learned + MAX_KEY_SERVICE)
    }
}
