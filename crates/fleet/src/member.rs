//! Nodes of a deployment and their entries in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::sync::Arc;

use cornelridge_model::time;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::departure;
use crate::era;
use crate::lapse;

/// Time without an entry after which the record of a host is removed: longer than a call to the
/// store or a report may be late. A host that returns later writes its record again.
const RECORD_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Highest number of slots of a worker that is accepted.
pub const MAX_SLOTS: u32 = 100_000;

/// An invalid entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The number of slots of the worker is out of range.
    #[error("worker has {slots} slots; 1 to {MAX_SLOTS} are allowed")]
    Slots {
        /// The number of slots.
        slots: u32,
    },
    /// Other nodes can't connect to the address of the node.
    #[error("node has the unusable address {address}; its settings must name its address")]
    Address {
        /// The address of the node.
        address: net::SocketAddr,
    },
}

/// Name of one incarnation of a worker: its identifier and the time of its start.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerName(pub Arc<str>);

impl WorkerName {
    /// Creates the name of the incarnation of `id` that started at `started_unix_ms`.
    pub fn new(id: &str, started_unix_ms: u64) -> WorkerName {
        WorkerName(format!("{id}@{started_unix_ms}").into())
    }

    /// Returns the time of the start in Unix milliseconds; 0 if the name has none.
    pub fn started_unix_ms(&self) -> u64 {
        let started = self.0.rsplit_once('@').and_then(|(_, started)| started.parse().ok());
        started.unwrap_or_default()
    }

    /// Returns the identifier without the time of the start.
    pub fn id(&self) -> &str {
        self.0.rsplit_once('@').map_or(&*self.0, |(id, _)| id)
    }
}

/// Record of a host in the store, which outlasts the entry and the process of its node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Worker beside the node that left last.
    #[serde(default)]
    pub departed: Option<departure::DepartedWorker>,
}

impl HostRecord {
    /// Returns whether the record names the departure in `other` or a later one.
    fn includes(&self, other: &HostRecord) -> bool {
        let start =
            |record: &HostRecord| record.departed.as_ref().map(|worker| worker.started_by_unix_ms);
        start(self) >= start(other)
    }
}

/// Whether a worker takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// The worker takes new requests.
    Ready,
    /// The worker finishes its requests and then exits.
    Draining,
}

/// The worker beside a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWorker {
    /// Name of its incarnation.
    pub name: WorkerName,
    /// Service that the worker runs.
    pub service: Arc<str>,
    /// Highest number of requests that the worker runs at the same time.
    pub slots: u32,
    /// Whether the worker takes new requests.
    pub state: WorkerState,
    /// Whether the worker reports to its node, so that it can be granted keys.
    pub is_reporting: bool,
}

/// Whether a node accepts requests for its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The node accepts requests.
    Serving,
    /// The node is shutting down.
    Leaving,
}

/// Entry of one node in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the node.
    pub node: Arc<str>,
    /// Random number that identifies this run of the process.
    pub run: u64,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for other nodes.
    pub peer: net::SocketAddr,
    /// Digest of the certificate that the node presents, in hexadecimal digits.
    pub pin: Arc<str>,
    /// Whether the node accepts requests.
    pub state: MemberState,
    /// The worker beside the node, if there is one.
    pub worker: Option<MemberWorker>,
}

impl MemberEntry {
    /// Checks an entry that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of slots is out of range or the node can't be reached at its
    /// address.
    pub fn check(&self) -> Result<(), EntryError> {
        let slots = self.worker.as_ref().map_or(1, |worker| worker.slots);
        if slots == 0 || slots > MAX_SLOTS {
            return Err(EntryError::Slots { slots });
        }
        if self.peer.port() == 0 || self.peer.ip().is_unspecified() {
            return Err(EntryError::Address { address: self.peer });
        }
        Ok(())
    }
}

/// Members by name, and nodes that are missing.
#[derive(Clone, Debug, Default)]
pub struct MemberDirectory {
    members: BTreeMap<Arc<str>, KnownMember>,
    /// Nodes without an entry, and since when.
    missing: BTreeMap<Arc<str>, time::Instant>,
    /// Host records with their revisions, by node.
    records: BTreeMap<Arc<str>, (HostRecord, u64)>,
    /// Host records that the store has lost with an earlier era, and since when.
    lost_records: BTreeMap<Arc<str>, (HostRecord, time::Instant)>,
    /// Serving members whose entry has ended, and which may still answer.
    lapsed: lapse::LapsedEntries<MemberEntry>,
    /// Number of changes of the members and of the ended entries.
    version: u64,
}

/// A member with the revision of its entry.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The entry.
    pub entry: Arc<MemberEntry>,
    /// Revision of the entry.
    pub revision: u64,
}

impl MemberDirectory {
    /// Returns a number that grows with each change of the members.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets an entry unless a newer revision is known.
    pub fn set(&mut self, entry: MemberEntry, revision: u64) {
        let name = Arc::clone(&entry.node);
        if self.members.get(&name).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.missing.remove(&name);
        self.lapsed.remove(&name);
        self.version += 1;
        self.members.insert(name, KnownMember { entry: Arc::new(entry), revision });
    }

    /// Removes an entry that was deleted at `revision` and records its node as missing, unless a
    /// newer revision is known.
    pub fn remove(&mut self, now: time::Instant, node: &str, revision: u64) {
        let is_older = self.members.get(node).is_some_and(|known| known.revision < revision);
        if is_older && let Some((name, known)) = self.members.remove_entry(node) {
            self.record_missing(now, name, known);
        }
    }

    /// Records that the entry of a node has ended. A member that was serving may still answer.
    fn record_missing(&mut self, now: time::Instant, node: Arc<str>, known: KnownMember) {
        self.version += 1;
        if known.entry.state == MemberState::Serving {
            self.lapsed.insert(now, Arc::clone(&node), known.entry);
        }
        self.missing.insert(node, now);
    }

    /// Returns the members whose entry has ended.
    pub fn lapsed(&self) -> &lapse::LapsedEntries<MemberEntry> {
        &self.lapsed
    }

    /// Records the number of frames received from a node whose entry has ended, or `None` without a
    /// connection to it. Returns whether this changes whether the node counts as reachable.
    pub fn record_frames(&mut self, now: time::Instant, node: &str, frames: Option<u64>) -> bool {
        self.lapsed.record_frames(now, node, frames)
    }

    /// Forgets members whose entry has ended and which don't answer.
    pub fn remove_lost(&mut self, now: time::Instant) {
        if self.lapsed.remove_lost(now) {
            self.version += 1;
        }
    }

    /// Returns the entry of a node that may be asked to serve requests: that of a member, or one
    /// that has ended while the node still answers.
    pub fn reachable(&self, now: time::Instant, node: &str) -> Option<&Arc<MemberEntry>> {
        let member = self.members.get(node).map(|known| &known.entry);
        member.or_else(|| self.lapsed.reachable(now, node))
    }

    /// Keeps the members for which `keep` returns `true` and those newer than `revision`, after a
    /// complete read at that revision. What happened before the read isn't known, so all missing
    /// nodes count as missing from `now` on.
    pub fn retain(&mut self, now: time::Instant, revision: u64, keep: impl Fn(&str) -> bool) {
        let gone_name = |(name, known): (&Arc<str>, &KnownMember)| {
            (known.revision <= revision && !keep(name)).then(|| Arc::clone(name))
        };
        let gone: Vec<Arc<str>> = self.members.iter().filter_map(gone_name).collect();
        for name in gone {
            if let Some(known) = self.members.remove(&name) {
                self.record_missing(now, name, known);
            }
        }
        self.missing.values_mut().for_each(|since| *since = now);
    }

    /// Sets the record of a host unless a newer one is known. A node writes the
    /// record of its host when it registers, so it may have had an entry since it was seen to be
    /// missing, and counts as missing from `now` on.
    pub fn set_record(
        &mut self,
        now: time::Instant,
        node: &str,
        record: HostRecord,
        revision: u64,
    ) {
        if self.record_revision(node) >= revision {
            return;
        }
        if let Some((before, known)) = self.records.get(node)
            && era::of_revision(*known) < era::of_revision(revision)
            && !record.includes(before)
        {
            self.lost_records.insert(Arc::from(node), (before.clone(), now));
        }
        if self.lost_records.get(node).is_some_and(|(lost, _)| record.includes(lost)) {
            self.lost_records.remove(node);
        }
        self.records.insert(Arc::from(node), (record, revision));
        if let Some(since) = self.missing.get_mut(node) {
            *since = now;
        }
    }

    /// Removes the record of a host that was deleted at `revision`, unless a newer one is known.
    pub fn remove_record(&mut self, node: &str, revision: u64) {
        if self.record_revision(node) < revision {
            self.records.remove(node);
        }
    }

    /// Keeps the host records for which `keep` returns `true` and those newer than `revision`,
    /// after a complete read at that revision.
    pub fn retain_records(
        &mut self,
        now: time::Instant,
        revision: u64,
        keep: impl Fn(&str) -> bool,
    ) {
        let era = era::of_revision(revision);
        let lost_records = &mut self.lost_records;
        self.records.retain(|node, (record, known)| {
            let is_kept = *known > revision || keep(node);
            if !is_kept && era::of_revision(*known) < era && record.departed.is_some() {
                lost_records.insert(Arc::clone(node), (record.clone(), now));
            }
            is_kept
        });
    }

    /// Returns the host records that the store has lost for `delay` with an earlier era, with their
    /// nodes and the revisions of the present records.
    pub fn lost_records(
        &self,
        now: time::Instant,
        delay: time::Duration,
    ) -> Vec<(Arc<str>, HostRecord, u64)> {
        let lost = self.lost_records.iter().filter(|(_, (_, since))| now.since(*since) >= delay);
        lost.map(|(node, (record, _))| {
            (Arc::clone(node), record.clone(), self.record_revision(node))
        })
        .collect()
    }

    /// Returns the revision of the record of a host, or 0 if it has none.
    pub fn record_revision(&self, node: &str) -> u64 {
        self.records.get(node).map_or(0, |(_, revision)| *revision)
    }

    /// Returns the nodes, with the revisions of their records, that have had no entry for so long
    /// that their hosts are taken as gone.
    pub fn abandoned_records(&mut self, now: time::Instant) -> Vec<(Arc<str>, u64)> {
        let records: Vec<(Arc<str>, u64)> = self
            .records
            .iter()
            .map(|(node, (_, revision))| (Arc::clone(node), *revision))
            .collect();
        let is_abandoned = |(node, _): &(Arc<str>, u64)| {
            let since = self.missing_since(now, node);
            since.is_some_and(|since| now.since(since) >= RECORD_RETENTION)
        };
        records.into_iter().filter(is_abandoned).collect()
    }

    /// Forgets nodes that have had no entry for so long that their hosts are taken as gone, and
    /// whose records have been removed.
    pub fn remove_gone(&mut self, now: time::Instant) {
        let records = &self.records;
        self.missing.retain(|node, since| {
            records.contains_key(node) || now.since(*since) < RECORD_RETENTION
        });
    }

    /// Returns the number of nodes that are known to be missing.
    pub fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Returns the record of a host; an empty one if the host has none.
    pub fn record(&self, node: &str) -> HostRecord {
        self.records.get(node).map(|(record, _)| record.clone()).unwrap_or_default()
    }

    /// Returns since when a node has had no entry, or `None` if the node has one. A node that was
    /// never seen counts as missing from `now` on.
    pub fn missing_since(&mut self, now: time::Instant, node: &Arc<str>) -> Option<time::Instant> {
        if self.members.contains_key(node) {
            return None;
        }
        Some(*self.missing.entry(Arc::clone(node)).or_insert(now))
    }

    /// Returns the member called `node`.
    pub fn get(&self, node: &str) -> Option<&KnownMember> {
        self.members.get(node)
    }

    /// Returns the entries of all members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<MemberEntry>> {
        self.members.values().map(|known| &known.entry)
    }

    /// Returns the entries of the serving members in the order of their names.
    pub fn serving(&self) -> impl Iterator<Item = &Arc<MemberEntry>> {
        self.iter().filter(|entry| entry.state == MemberState::Serving)
    }

    /// Returns whether `node` is one of the first `count` serving members.
    pub fn is_among_first(&self, node: &str, count: usize) -> bool {
        self.serving().take(count).any(|entry| &*entry.node == node)
    }

    /// Returns the position of `node` among the serving members; other nodes come last.
    pub fn rank(&self, node: &str) -> usize {
        self.rank_excluding(node, &BTreeSet::new())
    }

    /// Returns the position of `node` as `rank` does, without counting the members in `excluded`.
    pub fn rank_excluding(&self, node: &str, excluded: &BTreeSet<Arc<str>>) -> usize {
        let counted = self.serving().filter(|entry| !excluded.contains(&entry.node));
        counted.take_while(|entry| &*entry.node != node).count()
    }

    /// Returns the member whose worker is `worker`.
    pub fn by_worker(&self, worker: &WorkerName) -> Option<&Arc<MemberEntry>> {
        self.iter().find(|entry| entry.worker.as_ref().is_some_and(|known| known.name == *worker))
    }

    /// Returns whether a member, or a node whose entry has ended, is beside `worker`.
    pub fn knows_worker(&self, worker: &WorkerName) -> bool {
        let lapsed = self.lapsed.iter().map(|(_, entry)| entry);
        let mut workers = self.iter().chain(lapsed).filter_map(|entry| entry.worker.as_ref());
        workers.any(|known| known.name == *worker)
    }

    /// Returns the members whose worker runs `service`, with that worker.
    pub fn by_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<MemberEntry>, &'a MemberWorker)> {
        self.iter().filter_map(move |entry| {
            let worker = entry.worker.as_ref().filter(|worker| &*worker.service == service)?;
            Some((entry, worker))
        })
    }
}
