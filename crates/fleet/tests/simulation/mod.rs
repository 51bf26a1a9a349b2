//! Simulation of a small deployment: a store with leases, nodes and workers that hold ranges.

mod calls;
mod entry;
mod parts;
mod reports;
pub(crate) mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cornelridge_fleet::{
    balance, era, evacuation, grant, member, plan, range, registration, worker_report,
};
use cornelridge_model::time::{Duration, Instant};
use parts::{new_node, new_worker};
use store::{Store, Transaction, Value, member_key, record_key, row_key};

pub(crate) const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(870);
const MAX_HOLD: Duration = Duration::from_secs(10);

pub(crate) struct Node {
    pub(crate) name: Arc<str>,
    pub(crate) is_up: bool,
    pub(crate) is_partitioned: bool,
    run: u64,
    grants: grant::WorkerGrants,
    registration: registration::EntryRegistration,
    eras: era::EraTracker,
    /// Latest era that an answer of the store has named.
    era: u64,
    /// Era in which the entry was written.
    entry_era: u64,
    directory: member::MemberDirectory,
    table: range::RangeTable,
    read_revision: Option<u64>,
    lease: u64,
    /// Whether all items were read after the entry was written.
    is_loaded: bool,
    entry_revision: u64,
    written_entry: Option<member::MemberEntry>,
    next_renewal: Instant,
    due_since: Option<Instant>,
    /// Time between two reads of the store; simulates a slow watch.
    pub(crate) read_delay: Duration,
    next_read: Instant,
}

pub(crate) struct Worker {
    pub(crate) is_up: bool,
    pub(crate) is_partitioned: bool,
    started_unix_ms: u64,
    sequence: u64,
    holds: Vec<Hold>,
    freed: Vec<worker_report::FreedRange>,
    next_report: Instant,
    delayed_reply: Option<(Instant, Instant, grant::GrantReply)>,
    pub(crate) state: member::WorkerState,
    handover_count: u64,
    /// Highest fencing token that this incarnation has seen on each key.
    seen_fences: BTreeMap<u16, u64>,
    runs: Vec<calls::KeyRun>,
}

#[derive(Clone, Debug)]
struct Hold {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<Worker>,
    random: fastrand::Rng,
    /// Highest fencing token under which each key was held, with the holder.
    fences: BTreeMap<u16, (u64, String)>,
    pub(crate) moves: u64,
    delivery: grant::GrantDelivery,
    calls: Vec<calls::PendingCall>,
    /// Whether calls arrive and are answered at once.
    pub(crate) has_prompt_calls: bool,
    /// Evacuated zones, which all nodes know.
    pub(crate) evacuations: evacuation::EvacuationSet,
    /// Whether the store may go back between the calls of a registration, which takes one step
    /// each.
    pub(crate) registers_in_steps: bool,
    /// Whether the store carries some transactions out seconds later, without an answer.
    pub(crate) has_late_commits: bool,
    /// Whether some reports arrive seconds late, and other programs send some, too.
    pub(crate) has_odd_reports: bool,
    late_reports: Vec<reports::LateReport>,
}

fn service() -> Arc<str> {
    Arc::from("prices")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 80))
}

impl Simulation {
    pub(crate) fn new(seed: u64, size: usize, delivery: grant::GrantDelivery) -> Simulation {
        let now = Instant(1_000_000_000);
        let mut simulation = Simulation {
            now,
            store: Store::new(),
            nodes: Vec::new(),
            workers: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            fences: BTreeMap::new(),
            moves: 0,
            delivery,
            calls: Vec::new(),
            has_prompt_calls: true,
            evacuations: evacuation::EvacuationSet::default(),
            has_late_commits: false,
            has_odd_reports: false,
            late_reports: Vec::new(),
            registers_in_steps: false,
        };
        for index in 0..size {
            let name = Arc::from(format!("node-{index}"));
            simulation.nodes.push(new_node(name, delivery, now));
            simulation.workers.push(new_worker(now, simulation.random.u64(0..870)));
        }
        simulation
    }

    fn name(&self, index: usize) -> member::WorkerName {
        member::WorkerName::new(&format!("w{index}"), self.workers[index].started_unix_ms)
    }

    pub(crate) fn restart_node(&mut self, index: usize) {
        let name = Arc::clone(&self.nodes[index].name);
        let (is_partitioned, read_delay) =
            (self.nodes[index].is_partitioned, self.nodes[index].read_delay);
        let run = self.nodes[index].run + 1;
        self.nodes[index] =
            Node { is_partitioned, read_delay, run, ..new_node(name, self.delivery, self.now) };
    }

    pub(crate) fn restart_worker(&mut self, index: usize) {
        let phase = self.random.u64(0..870);
        let is_partitioned = self.workers[index].is_partitioned;
        self.workers[index] = Worker { is_partitioned, ..new_worker(self.now, phase) };
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        self.store.extend_leases_while_down();
        if !self.store.is_down {
            self.store.expire(self.now);
        }
        self.deliver_odd_reports();
        for index in 0..self.workers.len() {
            self.step_worker(index);
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up {
                self.step_node(index);
                self.send_calls(index);
            }
        }
        self.step_calls();
        self.assert_single_holder();
    }

    fn step_worker(&mut self, index: usize) {
        let now = self.now;
        if !self.workers[index].is_up {
            return;
        }
        self.workers[index].holds.retain(|hold| hold.until > now);
        if let Some((at, sent, reply)) = self.workers[index].delayed_reply.clone()
            && at <= now
        {
            self.workers[index].delayed_reply = None;
            self.apply_reply(index, sent, &reply);
        }
        if self.workers[index].next_report > now {
            return;
        }
        self.workers[index].next_report = now + REPORT_INTERVAL;
        if !self.nodes[index].is_up || self.workers[index].is_partitioned {
            return;
        }
        if self.has_odd_reports && self.random.u8(0..100) < 12 {
            return self.hold_up_report(index);
        }
        let report = self.next_report(index);
        self.workers[index].freed.clear();
        let Some(reply) = self.report(index, report) else { return };
        // One reply in 20 is delayed; replies delayed by a second or more are lost.
        let delay = if self.random.u8(0..20) == 0 { self.random.u64(0..1_300) } else { 0 };
        if delay < 1_000 {
            let at = now + Duration::from_millis(delay);
            self.workers[index].delayed_reply = Some((at, now, reply));
        }
    }

    fn apply_reply(&mut self, index: usize, sent: Instant, reply: &grant::GrantReply) {
        let name = self.name(index).to_string();
        let worker = &mut self.workers[index];
        // The clock of the worker runs as slow as is allowed.
        let until = sent + Duration(reply.hold.0 * 102 / 100);
        let before = std::mem::take(&mut worker.holds);
        for range in &reply.ranges {
            let known =
                before.iter().any(|hold| hold.first <= range.first && hold.last >= range.last);
            if !known {
                self.moves += 1;
            }
            check_fence(&mut self.fences, &name, range);
            let (first, last, fence) = (range.first, range.last, range.fence);
            worker.holds.push(Hold { first, last, fence, until });
        }
        for hold in before {
            let is_kept = |key: u16| worker.holds.iter().any(|h| h.first <= key && h.last >= key);
            if !is_kept(hold.first) || !is_kept(hold.last) {
                worker.handover_count += 1;
                let handover = Arc::from(format!("{name}-{}", worker.handover_count));
                // Only the part that isn't kept is released; rows are split in two at most here.
                let first = if is_kept(hold.first) { hold.first + 1 } else { hold.first };
                worker.freed.push(worker_report::FreedRange { first, last: hold.last, handover });
                worker.next_report = self.now + Duration::from_millis(100);
            }
        }
    }

    /// Returns the highest fencing token under which any key was held.
    pub(crate) fn highest_fence(&self) -> u64 {
        self.fences.values().map(|(fence, _)| *fence).max().unwrap_or_default()
    }

    fn can_reach_store(&self, index: usize) -> bool {
        !self.store.is_down && !self.nodes[index].is_partitioned
    }

    fn step_node(&mut self, index: usize) {
        if !self.can_reach_store(index) {
            return;
        }
        if self.nodes[index].next_read <= self.now {
            self.read(index);
            self.nodes[index].next_read = self.now + self.nodes[index].read_delay;
        }
        self.maintain_entry(index);
        self.settle(index);
        self.plan(index);
    }

    /// Records the era that an answer of the store names.
    fn observe_era(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.eras.observe(self.now, self.store.era);
        node.era = node.era.max(self.store.era);
    }

    fn read(&mut self, index: usize) {
        self.observe_era(index);
        let node = &mut self.nodes[index];
        match node.read_revision.filter(|revision| era::of_revision(*revision) == self.store.era) {
            None => read_all(node, &self.store, self.now),
            Some(read_revision) => {
                for (revision, key, value) in self.store.changes_after(read_revision) {
                    apply(node, self.now, &key, value.as_ref(), revision);
                }
            }
        }
        node.read_revision = Some(self.store.revision());
        node.grants.restore_departure(node.directory.record(&node.name).departed);
        node.grants.restore_ranges(self.now, &node.table);
    }

    /// Sends a transaction that was decided in `era`; returns its revision if its answer arrives.
    fn send(&mut self, index: usize, transaction: Transaction) -> Option<u64> {
        let era = transaction.era;
        let is_other = |revision: u64| revision > 0 && era::of_revision(revision) != era;
        let expected = &transaction.expected;
        if era != self.nodes[index].era || expected.iter().any(|(_, rev)| is_other(*rev)) {
            return None;
        }
        if self.has_late_commits && self.random.u8(0..10) == 0 {
            let delay = Duration::from_millis(self.random.u64(0..6_000));
            self.store.commit_late(self.now + delay, transaction);
            return None;
        }
        let revision = self.store.commit(transaction);
        self.observe_era(index);
        revision.filter(|revision| era::of_revision(*revision) == era)
    }

    fn settle(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.era != node.table.era() {
            return;
        }
        let Some(rows) = node.table.service("prices") else { return };
        let record = node.directory.record_revision(&node.name);
        let changes = node.grants.settle(self.now, &service(), rows, record, &node.eras);
        for change in changes {
            self.commit(index, &change);
        }
    }

    fn plan(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.era != node.table.era() {
            return;
        }
        let loads = balance::LoadView::default();
        let mut input = plan::PlanInput {
            divided: &[service()],
            directory: &mut node.directory,
            table: &node.table,
            loads: &loads,
            evacuations: &self.evacuations,
            unreachable: &BTreeSet::new(),
            may_balance: true,
            era: node.eras,
        };
        let changes = plan::plan(now, &mut input);
        if changes.is_empty() {
            node.due_since = None;
            return;
        }
        let since = *node.due_since.get_or_insert(now);
        let rank = node.directory.rank(&node.name) as u64;
        if now.since(since) >= Duration::from_millis(600 + 1_200 * rank) {
            for change in changes {
                self.commit(index, &change);
            }
        }
    }

    fn commit(&mut self, index: usize, change: &plan::RangeChange) {
        let rows = change.expected.iter();
        let mut expected: Vec<(String, u64)> =
            rows.map(|(first, revision)| (row_key(*first), *revision)).collect();
        expected.extend(change.absent.iter().map(|node| (member_key(node), 0)));
        let records = change.records.iter();
        expected.extend(records.map(|(node, revision)| (record_key(node), *revision)));
        let writes = change.writes.iter();
        let mut writes: Vec<(String, Value, u64)> =
            writes.map(|row| (row_key(row.first), Value::Row(row.clone()), 0)).collect();
        if let Some(layout) = change.layout {
            expected.push(("layout".to_owned(), layout));
            writes.push(("layout".to_owned(), Value::Layout, 0));
        }
        assert!(expected.len() + writes.len() <= plan::MAX_TRANSACTION_OPS, "change too large");
        let era = self.nodes[index].table.era();
        let revision = self.send(index, Transaction { era, expected, writes });
        // One response in ten is lost; the node then learns of the change from its watch.
        if let Some(revision) = revision
            && self.random.u8(0..10) > 0
        {
            let ranges = self.nodes[index].table.service_mut("prices");
            change.writes.iter().for_each(|row| ranges.set(row.clone(), revision));
            if change.layout.is_some() {
                ranges.layout_revision = revision;
            }
        }
    }

    fn assert_single_holder(&self) {
        let mut holds: Vec<(u16, u16, usize)> = Vec::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.is_up) {
            let current = worker.holds.iter().filter(|hold| hold.until > self.now);
            holds.extend(current.map(|hold| (hold.first, hold.last, index)));
            let runs = worker.runs.iter().filter(|run| run.until > self.now);
            holds.extend(runs.map(|run| (run.key, run.key, index)));
        }
        holds.sort_unstable();
        for pair in holds.windows(2) {
            let ((_, last, one), (first, _, other)) = (pair[0], pair[1]);
            assert!(
                first > last || one == other,
                "workers {one} and {other} hold key {first} at {} s",
                self.now.0 as f64 / 1e6
            );
        }
    }

    /// Replaces the evacuated zones; two workers each are in `zone-0`, `zone-1` and so on.
    pub(crate) fn evacuate(&mut self, zones: &[&str]) {
        let zones = zones.iter().map(|zone| Arc::from(*zone));
        self.evacuations.replace(self.now, self.now.0, zones);
    }

    /// Returns the number of keys that these workers hold now.
    pub(crate) fn keys_held_by(&self, workers: std::ops::Range<usize>) -> u32 {
        let held = self.workers[workers].iter().flat_map(|worker| worker.holds.iter());
        held.map(|hold| u32::from(hold.last) - u32::from(hold.first) + 1).sum()
    }

    /// Returns whether the departure of a worker has been acknowledged.
    pub(crate) fn acknowledged_departure(&self, index: usize) -> bool {
        let grants = &self.nodes[index].grants;
        grants.leaving_since().is_some() && grants.is_departure_recorded()
    }

    /// Returns the number of keys that a worker holds now.
    pub(crate) fn held_keys(&self) -> u32 {
        let live = self.workers.iter().filter(|worker| worker.is_up);
        live.flat_map(|worker| worker.holds.iter())
            .map(|hold| u32::from(hold.last) - u32::from(hold.first) + 1)
            .sum()
    }

    pub(crate) fn random_index(&mut self) -> usize {
        self.random.usize(0..self.nodes.len())
    }

    pub(crate) fn random_in(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.u64(range)
    }
}

/// Checks that a worker gets keys with a higher fencing token than all other workers had.
fn check_fence(fences: &mut BTreeMap<u16, (u64, String)>, name: &str, range: &grant::GrantedRange) {
    for key in [range.first, range.last] {
        let (fence, holder) = fences.get(&key).cloned().unwrap_or_default();
        assert!(
            holder == name || range.fence > fence,
            "{name} takes key {key} with fence {}, {holder} had {fence}",
            range.fence
        );
        fences.insert(key, (range.fence.max(fence), name.to_owned()));
    }
}

fn read_all(node: &mut Node, store: &Store, now: Instant) {
    node.table.set_era(store.era);
    for (key, item) in &store.items {
        apply(node, now, key, Some(&item.value), store.revision_of(key));
    }
    let revision = store.revision();
    node.directory.retain(now, revision, |name| store.items.contains_key(&member_key(name)));
    node.directory
        .retain_records(now, revision, |name| store.items.contains_key(&record_key(name)));
    let rows = node.table.service_mut("prices");
    rows.retain(revision, |first| store.items.contains_key(&row_key(first)));
    if !store.items.contains_key("layout") {
        rows.forget_layout(store.era);
    }
    node.read_revision = Some(revision);
}

fn apply(node: &mut Node, now: Instant, key: &str, value: Option<&Value>, revision: u64) {
    match value {
        Some(Value::Record(record)) => {
            let name = key.strip_prefix("hosts/").unwrap();
            node.directory.set_record(now, name, record.clone(), revision);
        }
        Some(Value::Member(entry)) => node.directory.set(entry.clone(), revision),
        Some(Value::Row(row)) => {
            let row = row.clone().read_in(era::of_revision(revision));
            node.table.service_mut("prices").set(row, revision);
        }
        Some(Value::Layout) => {
            let ranges = node.table.service_mut("prices");
            ranges.layout_revision = ranges.layout_revision.max(revision);
        }
        None => {
            if let Some(name) = key.strip_prefix("nodes/") {
                node.directory.remove(now, name, revision);
            }
        }
    }
}
