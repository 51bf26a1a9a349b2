//! Simulated region of nodes with a planner, and checks of each document.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelridge_control::planner::{
    HotKey, MemberRegistration, MemberReport, Planner, PlannerInput, SliceLoad,
};
use cornelridge_model::{assignment, class, ident, key, time};

/// A simulated node.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) registration: MemberRegistration,
    pub(crate) is_alive: bool,
    pub(crate) is_draining: bool,
    pub(crate) has_upstream: bool,
    pub(crate) is_reporting: bool,
    pub(crate) silent_guards: Vec<ident::IncarnationId>,
    pub(crate) confirmed_epoch: u64,
}

/// A simulated region: nodes, the planner and the document in the store.
pub(crate) struct Region {
    pub(crate) now: time::Instant,
    pub(crate) planner: Planner,
    pub(crate) document: Option<Arc<assignment::AssignmentDocument>>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) classes: class::ClassDocument,
    pub(crate) lost: BTreeSet<ident::IncarnationId>,
    pub(crate) expired: BTreeSet<ident::LeaseId>,
    /// Keys that are requested: class, hash and rate.
    pub(crate) keys: Vec<(Arc<str>, key::KeyHash, f64)>,
    /// Number of changes of the owner of a slice, over all documents.
    pub(crate) moves: usize,
    pub(crate) documents: usize,
    guards: BTreeMap<ident::LeaseId, Vec<ident::IncarnationId>>,
}

/// A requested key and its slice.
#[derive(Clone, Debug)]
struct OwnedKey {
    class: Arc<str>,
    start: key::KeyHash,
    hash: key::KeyHash,
    rate: f64,
}

fn report(node: &Node, mut keys: Vec<OwnedKey>) -> MemberReport {
    let mut loads = BTreeMap::<(Arc<str>, key::KeyHash), f64>::new();
    for key in &keys {
        *loads.entry((Arc::clone(&key.class), key.start)).or_default() += key.rate;
    }
    keys.sort_by(|a, b| b.rate.total_cmp(&a.rate));
    let hot = keys.into_iter().take(60);
    let hot = hot.map(|key| HotKey { class: key.class, hash: key.hash, rate: key.rate });
    let loads = loads.into_iter();
    MemberReport {
        incarnation: node.registration.incarnation,
        age: time::Duration::ZERO,
        epoch: ident::EpochNumber(node.confirmed_epoch),
        confirmed_epoch: ident::EpochNumber(node.confirmed_epoch),
        has_upstream: node.has_upstream,
        draining: node.is_draining,
        silent_guards: node.silent_guards.clone(),
        loads: loads.map(|((class, start), rate)| SliceLoad { class, start, rate }).collect(),
        hot_keys: hot.collect(),
    }
}

/// Returns the ids of the leases of a chain, which don't depend on the document.
pub(crate) fn lease_ids(
    document: &assignment::AssignmentDocument,
    chain: &[assignment::LeaseKey],
) -> Vec<ident::LeaseId> {
    chain.iter().map(|lease| document.lease_id(*lease)).collect()
}

pub(crate) fn class_config(name: &str, prefer: class::BalancePreference) -> class::ClassConfig {
    class::ClassConfig {
        name: name.into(),
        division: class::KeyDivision::ByKey,
        idempotent: true,
        target_ms: 50,
        target_percentile: 99.0,
        deadline_ms: 1_000,
        yield_rank: 1,
        bulk: false,
        record_window_s: 600,
        prefer,
    }
}

impl Region {
    pub(crate) fn new(prefer: class::BalancePreference) -> Region {
        Region {
            now: time::Instant(1_000_000_000),
            planner: Planner::new(),
            document: None,
            nodes: Vec::new(),
            classes: class::ClassDocument {
                revision: ident::RevisionNumber(1),
                change_id: 1,
                classes: vec![class_config("orders", prefer), class_config("quotes", prefer)],
            },
            lost: BTreeSet::new(),
            expired: BTreeSet::new(),
            keys: Vec::new(),
            moves: 0,
            documents: 0,
            guards: BTreeMap::new(),
        }
    }

    /// Adds `count` nodes of a class, distributed over the zones.
    pub(crate) fn add_nodes(&mut self, class: &str, count: usize, zones: usize) {
        for _ in 0..count {
            let number = self.nodes.len();
            let registration = MemberRegistration {
                name: format!("node-{number}").into(),
                incarnation: ident::IncarnationId(number as u64 * 7_919 + 1_000),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
                zone: format!("zone-{}", number % zones).into(),
                class: class.into(),
                checks_fences: false,
            };
            self.nodes.push(Node {
                registration,
                is_alive: true,
                is_draining: false,
                has_upstream: true,
                is_reporting: true,
                silent_guards: Vec::new(),
                confirmed_epoch: 0,
            });
        }
    }

    pub(crate) fn incarnation(&self, node: usize) -> ident::IncarnationId {
        self.nodes[node].registration.incarnation
    }

    /// Stops a node: liveness reports it as lost and its leases expire.
    pub(crate) fn lose_node(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
        self.lost.insert(self.incarnation(node));
        self.expire_leases(node);
    }

    /// Expires all leases of a node.
    pub(crate) fn expire_leases(&mut self, node: usize) {
        let Some(document) = &self.document else { return };
        let incarnation = self.incarnation(node);
        let leases = (0..document.leases.len()).map(|i| assignment::LeaseKey(i as u16));
        let leases = leases.map(|lease| document.lease_id(lease));
        self.expired.extend(leases.filter(|lease| lease.incarnation == incarnation));
    }

    pub(crate) fn input(&self) -> PlannerInput {
        let mut keys = self.owned_keys();
        let alive = self.nodes.iter().filter(|node| node.is_alive && node.is_reporting);
        let reports = alive.map(|node| {
            let owned = keys.remove(&node.registration.incarnation).unwrap_or_default();
            report(node, owned)
        });
        PlannerInput {
            current: self.document.clone(),
            change_id: self.document.as_ref().map_or(0, |document| document.epoch.0) + 77,
            registrations: self.nodes.iter().map(|node| node.registration.clone()).collect(),
            reports: reports.collect(),
            lost: self.lost.iter().copied().collect(),
            expired: self.expired.iter().copied().collect(),
            retired: Vec::new(),
            classes: self.classes.clone(),
        }
    }

    /// Returns the requested keys by the owner of their slice.
    fn owned_keys(&self) -> BTreeMap<ident::IncarnationId, Vec<OwnedKey>> {
        let mut owned = BTreeMap::<_, Vec<OwnedKey>>::new();
        for (class, hash, rate) in &self.keys {
            let Some(document) = &self.document else { break };
            let Some(at) = document.locate(class, *hash) else { continue };
            let slice = document.slice(at);
            let owner = document.holder(slice.chain[0]).incarnation;
            let class = Arc::clone(class);
            let key = OwnedKey { class, start: slice.start, hash: *hash, rate: *rate };
            owned.entry(owner).or_default().push(key);
        }
        owned
    }

    /// Advances the time by one second: live nodes confirm the document, then the planner is
    /// called.
    pub(crate) fn step(&mut self) -> bool {
        self.now = self.now + time::Duration::from_secs(1);
        let epoch = self.document.as_ref().map_or(0, |document| document.epoch.0);
        let alive = self.nodes.iter_mut().filter(|node| node.is_alive && node.is_reporting);
        alive.for_each(|node| node.confirmed_epoch = epoch);
        self.plan()
    }

    /// Calls the planner and checks its document. Returns whether there was one.
    pub(crate) fn plan(&mut self) -> bool {
        let input = self.input();
        let Some(next) = self.planner.plan(self.now, &input) else { return false };
        self.check_transition(&next);
        self.document = Some(Arc::new(next));
        self.documents += 1;
        true
    }

    pub(crate) fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    pub(crate) fn document(&self) -> &assignment::AssignmentDocument {
        self.document.as_deref().expect("a document exists")
    }

    fn zone(&self, incarnation: ident::IncarnationId) -> &str {
        let node = self.nodes.iter().find(|n| n.registration.incarnation == incarnation);
        &node.expect("a known node").registration.zone
    }

    fn is_settled(&self, previous: &[ident::LeaseId], since: u64) -> bool {
        previous.iter().all(|lease| {
            let node = self.nodes.iter().find(|n| n.registration.incarnation == lease.incarnation);
            self.expired.contains(lease) || node.expect("a known node").confirmed_epoch >= since
        })
    }

    /// Checks the next document and its changes to the current one.
    fn check_transition(&mut self, next: &assignment::AssignmentDocument) {
        next.validate().expect("a valid document");
        let before = self.document.clone().unwrap_or_default();
        assert_eq!(next.epoch.0, before.epoch.0 + 1);
        self.check_leases(next);
        for class in &next.classes {
            for slice in &class.slices {
                let chain = lease_ids(next, &slice.chain);
                let holders = chain.iter().map(|lease| lease.incarnation);
                assert_eq!(
                    holders.collect::<BTreeSet<_>>().len(),
                    chain.len(),
                    "a chain has a host twice"
                );
            }
            let Some((_, old)) = before.class(&class.class) else { continue };
            self.check_moves(&before, old, next, class);
        }
    }

    fn check_leases(&mut self, next: &assignment::AssignmentDocument) {
        let mut seen = BTreeSet::new();
        for (index, lease) in next.leases.iter().enumerate() {
            let id = next.lease_id(assignment::LeaseKey(index as u16));
            assert!(seen.insert(id), "lease {id} is in the document twice");
            let guards = lease.guards.iter().map(|guard| next.member(*guard).incarnation);
            let guards = guards.collect::<Vec<_>>();
            assert!(!guards.is_empty());
            let known = self.guards.entry(id).or_insert_with(|| guards.clone());
            assert_eq!(*known, guards, "the guards of lease {id} changed");
        }
    }

    fn check_moves(
        &mut self,
        before: &assignment::AssignmentDocument,
        old: &assignment::ClassSlices,
        next: &assignment::AssignmentDocument,
        new: &assignment::ClassSlices,
    ) {
        let starts = old.slices.iter().chain(&new.slices).map(|slice| slice.start);
        for start in starts.collect::<BTreeSet<_>>() {
            let from = &old.slices[old.find(start).expect("covers all")];
            let to = &new.slices[new.find(start).expect("covers all")];
            assert!(to.since >= from.since, "a fence decreased");
            let (from_chain, to_chain) =
                (lease_ids(before, &from.chain), lease_ids(next, &to.chain));
            if from_chain == to_chain && from.previous.is_empty() {
                assert!(to.previous.is_empty());
                continue;
            }
            let from_previous = lease_ids(before, &from.previous);
            let to_previous = lease_ids(next, &to.previous);
            let was_settled = self.is_settled(&from_previous, from.since.0);
            if from_chain == to_chain {
                let is_kept = to_previous == from_previous && to.since == from.since;
                assert!(is_kept || (to_previous.is_empty() && was_settled));
                continue;
            }
            assert!(was_settled, "an unsettled slice was moved");
            assert_eq!(to_previous, from_chain, "the old chain must be kept");
            assert_eq!(to.since, next.epoch);
            self.moves += usize::from(from_chain[0].incarnation != to_chain[0].incarnation);
        }
    }

    /// Returns the number of zones with members that can serve a class.
    fn serving_zone_count(&self, class: &str) -> usize {
        let serving = self.nodes.iter().filter(|node| {
            *node.registration.class == *class && node.is_alive && !node.is_draining
        });
        serving.map(|node| &node.registration.zone).collect::<BTreeSet<_>>().len()
    }

    /// Runs steps until there was no new document for a minute, up to a limit.
    pub(crate) fn converge(&mut self) {
        let mut idle_steps = 0;
        for _ in 0..1_200 {
            self.now = self.now + time::Duration::from_secs(4);
            idle_steps = if self.step() { 0 } else { idle_steps + 1 };
            if idle_steps == 12 {
                break;
            }
        }
        assert_eq!(idle_steps, 12, "the planner doesn't converge");
        self.check_converged();
    }

    /// Checks that all moves are settled and that all chains and leases are as good as the present
    /// members allow.
    pub(crate) fn check_converged(&self) {
        let document = self.document();
        let present = self.nodes.iter().filter(|node| node.is_alive && !node.is_draining);
        let zones = present.clone().map(|node| &node.registration.zone);
        let zones = zones.collect::<BTreeSet<_>>().len();
        let is_present = |incarnation: ident::IncarnationId| {
            present.clone().any(|node| node.registration.incarnation == incarnation)
        };
        for class in &document.classes {
            let members = present.clone().filter(|n| n.registration.class == class.class);
            let members = members.count();
            if members == 0 {
                continue;
            }
            assert!(class.slices.len() >= 48 * members, "too few slices of {}", class.class);
            for slice in &class.slices {
                assert!(slice.previous.is_empty(), "a move isn't settled");
                let chain = lease_ids(document, &slice.chain);
                assert_eq!(chain.len(), members.min(3));
                let chain_zones = chain.iter().map(|lease| self.zone(lease.incarnation));
                let chain_zones = chain_zones.collect::<BTreeSet<_>>().len();
                assert_eq!(chain_zones, self.serving_zone_count(&class.class).min(chain.len()));
                for lease in &slice.chain {
                    assert!(is_present(document.holder(*lease).incarnation));
                    let lease = document.lease(*lease);
                    let guards = lease.guards.iter().map(|g| document.member(*g).incarnation);
                    let guards = guards.collect::<Vec<_>>();
                    assert!(guards.iter().all(|guard| is_present(*guard)), "a guard isn't present");
                    let others = present.clone().count() - 1;
                    assert_eq!(guards.len(), if others == 1 { 1 } else { 3.min(others + 1) });
                    let guard_zones = guards.iter().map(|guard| self.zone(*guard));
                    let guard_zones = guard_zones.collect::<BTreeSet<_>>().len();
                    if others >= 4 {
                        assert!(guard_zones >= zones.min(3) - 1);
                    }
                }
            }
        }
    }

    /// Returns the load of each node of a class, in the order of the nodes.
    pub(crate) fn loads(&self, class: &str) -> Vec<f64> {
        let document = self.document();
        let mut loads = BTreeMap::<ident::IncarnationId, f64>::new();
        for (_, hash, rate) in self.keys.iter().filter(|(key_class, _, _)| **key_class == *class) {
            let at = document.locate(class, *hash).expect("covers all");
            let owner = document.holder(document.slice(at).chain[0]).incarnation;
            *loads.entry(owner).or_default() += rate;
        }
        let nodes = self.nodes.iter().filter(|node| *node.registration.class == *class);
        let load = |node: &Node| loads.get(&node.registration.incarnation).copied();
        nodes.map(|node| load(node).unwrap_or(0.0)).collect()
    }

    /// Returns the ratio of the highest load to the mean load of the nodes of a class.
    pub(crate) fn imbalance(&self, class: &str) -> f64 {
        let loads = self.loads(class);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        loads.iter().copied().fold(0.0, f64::max) / mean
    }
}
