//! Loads of the ranges of divided services, polled by the node that plans.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex};

use cornelridge_fleet::balance;
use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_wire::generated;

use crate::clock;
use crate::peers;
use crate::view;
use crate::view::lock;
use crate::worker;

/// Interval between two polls. A hot key is noticed within one to two seconds, and the replies of
/// all nodes take less than a hundredth of the planning node's CPU share.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(800);

/// Age of a move up to which the row stays at its new worker unless the worker is overloaded: about
/// two half-lives of the measured request rates.
const MAX_MOVE_AGE: time::Duration = time::Duration::from_secs(6);
/// Fencing token of rows that have never moved.
const INITIAL_FENCE: u64 = 1;

/// Number of members that poll: the planning node and the one that replaces it when it can't plan.
const COLLECTOR_COUNT: usize = 2;
/// Number of consecutive polls without a reply after which a node counts as unreachable.
const MAX_MISSED_POLLS: u32 = 3;

/// The loads as of the last poll.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadSnapshot {
    /// Loads and capacities.
    pub(crate) view: Arc<balance::LoadView>,
    /// Nodes with an entry in the store that left several polls unanswered while most others
    /// replied.
    pub(crate) unreachable: Arc<BTreeSet<Arc<str>>>,
    /// Whether most other nodes didn't reply, so that this node itself may be cut off.
    pub(crate) is_isolated: bool,
    /// When the last poll was sent.
    pub(crate) polled_at: time::Instant,
}

/// Polls the loads while this node is one of the first members.
pub(crate) struct LoadCollector {
    pub(crate) node: Arc<str>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) links: peers::PeerLinks,
    pub(crate) snapshot: Arc<Mutex<LoadSnapshot>>,
    /// Fencing token of each row, and the time at which it was first seen.
    pub(crate) fences: Mutex<RowFences>,
    /// Number of consecutive polls that each node has left unanswered.
    pub(crate) missed_polls: Mutex<HashMap<Arc<str>, u32>>,
}

/// Fencing tokens by service and first key, with the time at which they were first seen.
pub(crate) type RowFences = HashMap<(Arc<str>, u16), (u64, time::Instant)>;

impl LoadCollector {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        loop {
            clock::sleep(POLL_INTERVAL).await;
            if self.view.directory().is_among_first(&self.node, COLLECTOR_COUNT) {
                self.poll().await;
            } else {
                *lock(&self.snapshot) = LoadSnapshot::default();
            }
        }
    }

    /// Returns the rows whose owner has changed within `MAX_MOVE_AGE`.
    fn recently_moved(&self) -> HashSet<(Arc<str>, u16)> {
        let ranges = self.view.ranges();
        let mut fences = lock(&self.fences);
        let now = clock::now();
        let mut moved = HashSet::new();
        for (service, rows) in ranges.services() {
            for row in rows.rows().map(|stored| &stored.row) {
                let key = (Arc::clone(service), row.first);
                let known = fences.entry(key.clone()).or_insert((row.fence, now));
                if known.0 != row.fence {
                    *known = (row.fence, now);
                }
                if row.fence > INITIAL_FENCE && now.since(known.1) < MAX_MOVE_AGE {
                    moved.insert(key);
                }
            }
        }
        moved
    }

    async fn poll(&self) {
        let Some(config) = self.view.config() else { return };
        let members: Vec<Arc<member::MemberEntry>> = {
            let directory = self.view.directory();
            let is_divided = |entry: &&Arc<member::MemberEntry>| {
                entry.worker.as_ref().is_some_and(|known| config.config.is_divided(&known.service))
            };
            directory.iter().filter(is_divided).map(Arc::clone).collect()
        };
        let polled_at = clock::now();
        let tasks: Vec<_> = members
            .into_iter()
            .map(|member| {
                let (links, local_worker) = (self.links.clone(), Arc::clone(&self.local_worker));
                let is_here = member.node == self.node;
                let name = Arc::clone(&member.node);
                let task = smol::spawn(async move {
                    match is_here {
                        true => Some(local_worker.load_reply()),
                        false => links.fetch_load(&member).await,
                    }
                });
                (name, task)
            })
            .collect();
        let mut loads = balance::LoadView::clone(&lock(&self.snapshot).view);
        let mut responding = HashSet::new();
        let mut unanswered = BTreeSet::new();
        let others = tasks.iter().filter(|(node, _)| *node != self.node).count();
        for (node, task) in tasks {
            match task.await {
                Some(reply) => {
                    responding.insert(member::WorkerName(reply.worker.as_str().into()));
                    merge_reply(&mut loads, reply);
                }
                None => {
                    unanswered.insert(node);
                }
            }
        }
        loads.recently_moved = self.recently_moved();
        loads.capacities.retain(|worker, _| responding.contains(worker));
        // The reply of the node itself doesn't count: of two nodes that don't reach one another,
        // neither can tell which one is cut off, and each would take the other's keys.
        let is_isolated = unanswered.len() * 2 > others;
        let unreachable = self.unreachable(&unanswered, is_isolated);
        let (view, unreachable) = (Arc::new(loads), Arc::new(unreachable));
        *lock(&self.snapshot) = LoadSnapshot { view, unreachable, is_isolated, polled_at };
    }

    /// Counts unanswered polls; returns the nodes that have left too many unanswered.
    fn unreachable(
        &self,
        unanswered: &BTreeSet<Arc<str>>,
        is_isolated: bool,
    ) -> BTreeSet<Arc<str>> {
        let mut missed_polls = lock(&self.missed_polls);
        missed_polls.retain(|node, _| unanswered.contains(node));
        if is_isolated {
            missed_polls.clear();
            return BTreeSet::new();
        }
        for node in unanswered {
            let count = missed_polls.entry(Arc::clone(node)).or_default();
            *count += 1;
            if *count == MAX_MISSED_POLLS {
                log::warn!(
                    node:% = node;
                    "node is registered but doesn't answer; its keys are reassigned"
                );
            }
        }
        let is_unreachable = |(_, count): &(&Arc<str>, &u32)| **count >= MAX_MISSED_POLLS;
        missed_polls.iter().filter(is_unreachable).map(|(node, _)| Arc::clone(node)).collect()
    }
}

/// Merges a reply into the loads. A range that isn't in the reply keeps its last known load, since
/// its holder got it only recently.
fn merge_reply(loads: &mut balance::LoadView, reply: generated::LoadAnswer) {
    let service: Arc<str> = reply.service.into();
    let worker = member::WorkerName(reply.worker.into());
    if reply.capacity > 0.0 {
        loads.capacities.insert(worker, reply.capacity);
    }
    for range in reply.ranges {
        let Ok(first) = u16::try_from(range.first) else { continue };
        let split_after = range.middle.and_then(|key| u16::try_from(key).ok());
        let load = balance::RowLoad { rate: range.rate, split_after };
        loads.rows.insert((Arc::clone(&service), first), load);
    }
}
