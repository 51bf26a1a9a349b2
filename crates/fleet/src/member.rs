//! The nodes of a deployment, as their entries in the store describe them.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::sync::Arc;

use cornelridge_model::time;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most slots of a worker that are believed.
pub const MAX_SLOTS: u32 = 100_000;

/// An entry that can't be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The worker's number of slots.
    #[error("a worker with {slots} slots; 1 to {MAX_SLOTS} are believed")]
    Slots {
        /// The number.
        slots: u32,
    },
    /// The address of the node.
    #[error("no node can be reached at {address}; its settings must name its address")]
    Address {
        /// The address.
        address: net::SocketAddr,
    },
}

/// One incarnation of a worker: its identifier and the time of its start.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerName(pub Arc<str>);

impl WorkerName {
    /// The name of the incarnation of `id` that started at `started_unix_ms`, in Unix milliseconds.
    pub fn new(id: &str, started_unix_ms: u64) -> WorkerName {
        WorkerName(format!("{id}@{started_unix_ms}").into())
    }

    /// The identifier without the time of the start.
    pub fn id(&self) -> &str {
        self.0.rsplit_once('@').map_or(&*self.0, |(id, _)| id)
    }
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A worker beside a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWorker {
    /// Its incarnation.
    pub name: WorkerName,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// Whether it reports, so that it can be granted keys.
    pub is_reporting: bool,
}

/// Whether a node takes requests for its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It does.
    Serving,
    /// It is shutting down.
    Leaving,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the node.
    pub node: Arc<str>,
    /// Random number of this run of the process.
    pub run: u64,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for other nodes.
    pub peer: net::SocketAddr,
    /// Digest of the certificate that the node presents, in hexadecimal digits.
    pub pin: Arc<str>,
    /// Whether it takes requests.
    pub state: MemberState,
    /// The worker beside it, while there is one.
    pub worker: Option<MemberWorker>,
}

impl MemberEntry {
    /// What is wrong with an entry that was read, if anything is.
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

/// Members by name, and since when others are missing.
#[derive(Clone, Debug, Default)]
pub struct MemberDirectory {
    members: BTreeMap<Arc<str>, KnownMember>,
    missing: BTreeMap<Arc<str>, time::Instant>,
}

/// A member with the revision of its entry.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// Its entry.
    pub entry: Arc<MemberEntry>,
    /// Revision of the entry.
    pub revision: u64,
}

impl MemberDirectory {
    /// Takes over an entry unless a newer one is known.
    pub fn set(&mut self, entry: MemberEntry, revision: u64) {
        let name = Arc::clone(&entry.node);
        if self.members.get(&name).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.missing.remove(&name);
        self.members.insert(name, KnownMember { entry: Arc::new(entry), revision });
    }

    /// Notes that the entry of a node was removed at `revision`.
    pub fn remove(&mut self, now: time::Instant, node: &str, revision: u64) {
        let is_older = self.members.get(node).is_some_and(|known| known.revision < revision);
        if is_older && let Some((name, _)) = self.members.remove_entry(node) {
            self.missing.insert(name, now);
        }
    }

    /// Keeps the members for which `keep` holds, and those newer than `revision`; used after a
    /// complete read at that revision. What happened before the read isn't known, so that all who
    /// are missing count from now on.
    pub fn retain(&mut self, now: time::Instant, revision: u64, keep: impl Fn(&str) -> bool) {
        let is_gone = |(name, known): (&Arc<str>, &KnownMember)| {
            (known.revision <= revision && !keep(name)).then(|| Arc::clone(name))
        };
        let gone: Vec<Arc<str>> = self.members.iter().filter_map(is_gone).collect();
        for name in gone {
            self.members.remove(&name);
            self.missing.insert(name, now);
        }
        self.missing.values_mut().for_each(|since| *since = now);
    }

    /// Since when a node has had no entry. A node that was never seen counts from now on.
    pub fn missing_since(&mut self, now: time::Instant, node: &Arc<str>) -> Option<time::Instant> {
        if self.members.contains_key(node) {
            return None;
        }
        Some(*self.missing.entry(Arc::clone(node)).or_insert(now))
    }

    /// The member called `node`.
    pub fn get(&self, node: &str) -> Option<&KnownMember> {
        self.members.get(node)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<MemberEntry>> {
        self.members.values().map(|known| &known.entry)
    }

    /// Position of `node` among the members that serve; those that don't come last.
    pub fn rank(&self, node: &str) -> usize {
        self.rank_excluding(node, &BTreeSet::new())
    }

    /// The same without the members in `excluded`.
    pub fn rank_excluding(&self, node: &str, excluded: &BTreeSet<Arc<str>>) -> usize {
        let counts = |entry: &&Arc<MemberEntry>| {
            entry.state == MemberState::Serving && !excluded.contains(&entry.node)
        };
        self.iter().filter(counts).take_while(|entry| &*entry.node != node).count()
    }

    /// The member beside which a worker runs.
    pub fn by_worker(&self, worker: &WorkerName) -> Option<&Arc<MemberEntry>> {
        self.iter().find(|entry| entry.worker.as_ref().is_some_and(|known| known.name == *worker))
    }

    /// Members whose worker runs `service`.
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
