//! Load of the ranges of divided services, asked for by the node that plans.

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

/// Time between two questions: a hot key is noticed within a second or two, and the answers of all
/// workers cost the planner less than a hundredth of its share of the processor.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(800);

/// Time for which a row that has moved stays where it is unless its worker is overloaded: about two
/// half-lives of the measured rates.
const SETTLING: time::Duration = time::Duration::from_secs(6);
/// Fencing token of rows that have never moved.
const FIRST_FENCE: u64 = 1;

/// Members that ask: the first one and the one that plans when the first one can't.
const ASKING: usize = 2;
/// Questions in a row without an answer after which a node counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;

/// What is known of the loads.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLoads {
    /// Loads and capacities.
    pub(crate) view: Arc<balance::LoadView>,
    /// Nodes with an entry in the store that didn't answer for a while, although most others did.
    pub(crate) unreachable: Arc<BTreeSet<Arc<str>>>,
    /// Whether most nodes didn't answer, so that this node itself seems to be cut off.
    pub(crate) is_isolated: bool,
    /// When the last questions were sent.
    pub(crate) asked: time::Instant,
}

/// Asks for loads while this node is the first to plan.
pub(crate) struct LoadKeeper {
    pub(crate) node: Arc<str>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) links: peers::PeerLinks,
    pub(crate) known: Arc<Mutex<KnownLoads>>,
    /// Fencing token of each row, and since when it has had it.
    pub(crate) owners: Mutex<RowFences>,
    /// Questions in a row that each node has left unanswered.
    pub(crate) unanswered: Mutex<HashMap<Arc<str>, u32>>,
}

/// Fencing tokens by service and first key, with the time at which they were seen first.
pub(crate) type RowFences = HashMap<(Arc<str>, u16), (u64, time::Instant)>;

impl LoadKeeper {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        loop {
            clock::sleep(ASK_INTERVAL).await;
            if self.view.directory().rank(&self.node) < ASKING {
                self.ask().await;
            } else {
                *lock(&self.known) = KnownLoads::default();
            }
        }
    }

    /// Rows whose owner changed a moment ago.
    fn settling(&self) -> HashSet<(Arc<str>, u16)> {
        let ranges = self.view.ranges();
        let mut owners = lock(&self.owners);
        let now = clock::now();
        let mut settling = HashSet::new();
        for (service, rows) in ranges.services() {
            for row in rows.rows().map(|stored| &stored.row) {
                let key = (Arc::clone(service), row.first);
                let known = owners.entry(key.clone()).or_insert((row.fence, now));
                if known.0 != row.fence {
                    *known = (row.fence, now);
                }
                if row.fence > FIRST_FENCE && now.since(known.1) < SETTLING {
                    settling.insert(key);
                }
            }
        }
        settling
    }

    async fn ask(&self) {
        let Some(config) = self.view.config() else { return };
        let members: Vec<Arc<member::MemberEntry>> = {
            let directory = self.view.directory();
            let is_divided = |entry: &&Arc<member::MemberEntry>| {
                entry.worker.as_ref().is_some_and(|known| config.config.is_divided(&known.service))
            };
            directory.iter().filter(is_divided).map(Arc::clone).collect()
        };
        let asked = clock::now();
        let tasks: Vec<_> = members
            .into_iter()
            .map(|member| {
                let (links, local_worker) = (self.links.clone(), Arc::clone(&self.local_worker));
                let is_here = member.node == self.node;
                let name = Arc::clone(&member.node);
                let task = smol::spawn(async move {
                    match is_here {
                        true => Some(local_worker.load_answer()),
                        false => links.fetch_load(&member).await,
                    }
                });
                (name, task)
            })
            .collect();
        let mut loads = balance::LoadView::clone(&lock(&self.known).view);
        let mut answered = HashSet::new();
        let mut silent = BTreeSet::new();
        let total = tasks.len();
        for (node, task) in tasks {
            match task.await {
                Some(answer) => {
                    answered.insert(member::WorkerName(answer.worker.as_str().into()));
                    merge(&mut loads, answer);
                }
                None => {
                    silent.insert(node);
                }
            }
        }
        loads.settling = self.settling();
        loads.capacities.retain(|worker, _| answered.contains(worker));
        let is_isolated = silent.len() * 2 > total;
        let unreachable = self.unreachable(&silent, is_isolated);
        let (view, unreachable) = (Arc::new(loads), Arc::new(unreachable));
        *lock(&self.known) = KnownLoads { view, unreachable, is_isolated, asked };
    }

    /// Counts the questions without an answer; returns the nodes that left too many unanswered.
    fn unreachable(&self, silent: &BTreeSet<Arc<str>>, is_isolated: bool) -> BTreeSet<Arc<str>> {
        let mut unanswered = lock(&self.unanswered);
        unanswered.retain(|node, _| silent.contains(node));
        if is_isolated {
            unanswered.clear();
            return BTreeSet::new();
        }
        for node in silent {
            let count = unanswered.entry(Arc::clone(node)).or_default();
            *count += 1;
            if *count == UNREACHABLE_AFTER {
                log::warn!(node:% = node; "node has an entry but doesn't answer; its keys move");
            }
        }
        let is_lost = |(_, count): &(&Arc<str>, &u32)| **count >= UNREACHABLE_AFTER;
        unanswered.iter().filter(is_lost).map(|(node, _)| Arc::clone(node)).collect()
    }
}

/// Takes over an answer. A range that isn't in it keeps its last known load: its holder hasn't had
/// it for long.
fn merge(loads: &mut balance::LoadView, answer: generated::LoadAnswer) {
    let service: Arc<str> = answer.service.into();
    let worker = member::WorkerName(answer.worker.into());
    if answer.capacity > 0.0 {
        loads.capacities.insert(worker, answer.capacity);
    }
    for range in answer.ranges {
        let Ok(first) = u16::try_from(range.first) else { continue };
        let middle = range.middle.and_then(|middle| u16::try_from(middle).ok());
        let load = balance::RowLoad { rate: range.rate, split_after: middle };
        loads.rows.insert((Arc::clone(&service), first), load);
    }
}
