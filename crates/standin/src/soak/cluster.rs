//! Simulated clocks, links and documents for several ownership machines.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::net;
use std::sync::Arc;

use cornelridge_model::{assignment, ident, key, time};
use cornelridge_ownership as ownership;

/// Global time of one step, in microseconds.
pub const STEP_US: u64 = 5_000;
/// The class of all slices.
pub const CLASS: &str = "quote-desk";
const PROBE_INTERVAL_US: u64 = 100_000;
const SECOND_US: u64 = 1_000_000;
/// Maximum number of violations described in a report.
const MAX_VIOLATIONS: usize = 8;

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Steps executed.
    pub steps: u64,
    /// Descriptions of the first violations of invariants.
    pub violations: Vec<String>,
    /// Checks that found a key served by one node.
    pub served: u64,
    /// Checks that found a key served by no node.
    pub unserved: u64,
    /// Requests started.
    pub requests: u64,
    /// Documents written.
    pub documents: u64,
    /// Faults injected.
    pub faults: u64,
    /// Datagrams delivered.
    pub datagrams: u64,
}

/// A slice of the plan; chains hold lease identities.
#[derive(Clone, Debug)]
pub struct PlanSlice {
    /// Owner and successors.
    pub chain: Vec<ident::LeaseId>,
    /// Epoch in which the chain took effect.
    pub since: u64,
    /// The previous chain, until the move is settled.
    pub previous: Vec<ident::LeaseId>,
}

/// State of the planner, from which documents are built.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Epoch of the latest document.
    pub epoch: u64,
    /// Zones by incarnation.
    pub members: BTreeMap<ident::IncarnationId, usize>,
    /// Guards by lease.
    pub leases: BTreeMap<ident::LeaseId, Vec<ident::IncarnationId>>,
    /// Slices by first hash.
    pub slices: BTreeMap<u64, PlanSlice>,
    /// Leases retired by an operator.
    pub retired: BTreeSet<ident::LeaseId>,
    /// Whether upstreams check fences.
    pub checks_fences: bool,
}

/// A request in flight.
#[derive(Debug)]
struct Request {
    ticket: ownership::WorkTicket,
    hash: u64,
    ends_at: u64,
}

/// A host with one incarnation of its node; a restart adds a new host.
#[derive(Debug)]
pub struct Host {
    /// Incarnation of the process.
    pub incarnation: ident::IncarnationId,
    /// Zone of the host.
    pub zone: usize,
    /// Ownership machine of the host.
    pub machine: ownership::OwnershipMachine,
    /// Whether the process runs.
    pub is_alive: bool,
    /// Global time at which the process ended, in microseconds.
    pub dead_since: Option<u64>,
    /// Global time until which the process is paused, in microseconds.
    pub paused_until: u64,
    /// The document in force.
    pub document: Arc<assignment::AssignmentDocument>,
    rate_ppm: u64,
    next_tick: u64,
    requests: Vec<Request>,
}

#[derive(Clone, Debug)]
enum Packet {
    Probe,
    ProbeAck,
    Control(ownership::OwnershipMessage),
    Document(Arc<assignment::AssignmentDocument>),
}

/// Hosts, links and the planner.
#[derive(Debug)]
pub struct SimulatedCluster {
    /// Global time in microseconds; the local clock of each host runs at its own rate.
    pub now: u64,
    /// All hosts, including those whose process has ended.
    pub hosts: Vec<Host>,
    /// The planner's state.
    pub plan: Plan,
    /// Links, from one host to another, that drop all datagrams until a time in microseconds.
    pub blocked_links: BTreeMap<(usize, usize), u64>,
    /// Share of datagrams lost, and of datagrams duplicated, in percent.
    pub loss_percent: u64,
    /// Maximum delay of a datagram in microseconds.
    pub max_delay_us: u64,
    /// Whether documents can be written and read.
    pub is_store_up: bool,
    /// Counters and violations.
    pub report: SoakReport,
    /// Source of randomness.
    pub rng: fastrand::Rng,
    packets: BTreeMap<(u64, u64), (usize, usize, Packet)>,
    sent: u64,
}

impl Plan {
    /// Returns the assignment document of this plan.
    pub fn document(&self) -> assignment::AssignmentDocument {
        let incarnations: Vec<_> = self.members.keys().copied().collect();
        let member = |one: &ident::IncarnationId| {
            assignment::MemberKey(incarnations.binary_search(one).unwrap_or_default() as u16)
        };
        let leases: Vec<_> = self.leases.keys().copied().collect();
        let lease = |one: &ident::LeaseId| {
            assignment::LeaseKey(leases.binary_search(one).unwrap_or_default() as u16)
        };
        let members = self.members.iter().map(|(incarnation, zone)| assignment::MemberRecord {
            name: incarnation.to_string().into(),
            incarnation: *incarnation,
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            zone: format!("zone-{zone}").into(),
            class: CLASS.into(),
            state: assignment::MemberState::Active,
            checks_fences: self.checks_fences,
        });
        let records = self.leases.iter().map(|(id, guards)| assignment::LeaseRecord {
            holder: member(&id.incarnation),
            generation: id.generation,
            guards: guards.iter().map(member).collect(),
            retired: self.retired.contains(id),
        });
        let slices = self.slices.iter().map(|(start, slice)| assignment::SliceRecord {
            start: key::KeyHash(*start),
            chain: slice.chain.iter().map(lease).collect(),
            since: ident::EpochNumber(slice.since),
            previous: slice.previous.iter().map(lease).collect(),
            previous_since: ident::EpochNumber(0),
        });
        assignment::AssignmentDocument {
            epoch: ident::EpochNumber(self.epoch),
            change_id: self.epoch,
            members: members.collect(),
            leases: records.collect(),
            classes: vec![assignment::ClassSlices {
                class: CLASS.into(),
                created: ident::EpochNumber(1),
                slices: slices.collect(),
            }],
        }
    }

    /// Returns the latest generation of a member's lease.
    pub fn latest(&self, member: ident::IncarnationId) -> Option<ident::LeaseId> {
        self.leases.keys().rfind(|lease| lease.incarnation == member).copied()
    }
}

impl SimulatedCluster {
    /// Creates hosts in zones with `slices` slices, and publishes the first document to all hosts.
    pub fn new(seed: u64, zones: usize, hosts: usize, slices: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: SECOND_US,
            hosts: Vec::new(),
            plan: Plan::default(),
            blocked_links: BTreeMap::new(),
            loss_percent: 0,
            max_delay_us: 1_000,
            is_store_up: true,
            report: SoakReport::default(),
            rng: fastrand::Rng::with_seed(seed),
            packets: BTreeMap::new(),
            sent: 0,
        };
        (0..hosts).for_each(|host| cluster.start_host(host % zones));
        let members: Vec<_> = cluster.plan.members.keys().copied().collect();
        members.into_iter().for_each(|member| cluster.new_generation(member));
        for slice in 0..slices {
            let chain = cluster.pick_chain();
            let slice_start = u64::MAX / slices * slice;
            cluster
                .plan
                .slices
                .insert(slice_start, PlanSlice { chain, since: 1, previous: vec![] });
        }
        cluster.publish(0);
        cluster
    }

    /// Starts a new incarnation in a zone and adds it to the plan as a member.
    pub fn start_host(&mut self, zone: usize) {
        let incarnation = ident::IncarnationId(self.rng.u64(1..));
        self.plan.members.insert(incarnation, zone);
        self.hosts.push(Host {
            incarnation,
            zone,
            machine: ownership::OwnershipMachine::new(incarnation),
            is_alive: true,
            dead_since: None,
            paused_until: 0,
            document: Arc::default(),
            rate_ppm: self.rng.u64(990_000..=1_010_000),
            next_tick: self.now,
            requests: Vec::new(),
        });
    }

    /// Returns the index of the living host with this incarnation.
    pub fn host_of(&self, incarnation: ident::IncarnationId) -> Option<usize> {
        self.hosts.iter().position(|host| host.incarnation == incarnation && host.is_alive)
    }

    /// Returns the local time of a host.
    pub fn local(&self, host: usize) -> time::Instant {
        time::Instant(self.now * self.hosts[host].rate_ppm / 1_000_000)
    }

    /// Gives a member a new generation of its lease with living guards in different zones.
    pub fn new_generation(&mut self, member: ident::IncarnationId) {
        let generation = self.plan.latest(member).map_or(1, |lease| lease.generation + 1);
        let mut hosts: Vec<_> = self.hosts.iter().filter(|host| host.is_alive).collect();
        hosts.retain(|host| host.incarnation != member);
        self.rng.shuffle(&mut hosts);
        let mut zones = BTreeSet::new();
        let spread = hosts.iter().filter(|host| zones.insert(host.zone)).take(3);
        let guards: Vec<_> = spread.map(|host| host.incarnation).collect();
        if !guards.is_empty() {
            let lease = ident::LeaseId { incarnation: member, generation };
            self.plan.leases.insert(lease, guards);
        }
    }

    /// Returns the latest leases of up to three living hosts in different zones.
    pub fn pick_chain(&mut self) -> Vec<ident::LeaseId> {
        let mut hosts: Vec<_> = self.hosts.iter().filter(|host| host.is_alive).collect();
        self.rng.shuffle(&mut hosts);
        let mut zones = BTreeSet::new();
        let usable = |lease: &ident::LeaseId| !self.plan.retired.contains(lease);
        let leases = hosts.iter().filter_map(|host| {
            let lease = self.plan.latest(host.incarnation).filter(usable)?;
            zones.insert(host.zone).then_some(lease)
        });
        leases.take(assignment::MAX_CHAIN_LENGTH).collect()
    }

    /// Publishes the plan as a document to all hosts, with a delay of up to
    /// `max_publish_delay_us`.
    pub fn publish(&mut self, max_publish_delay_us: u64) {
        self.publish_to(0..self.hosts.len(), max_publish_delay_us);
    }

    /// Publishes the plan as a document to some hosts only.
    pub fn publish_to(&mut self, hosts: impl Iterator<Item = usize>, max_publish_delay_us: u64) {
        self.plan.epoch += 1;
        self.report.documents += 1;
        let document = Arc::new(self.plan.document());
        for host in hosts {
            let delay = self.rng.u64(0..=max_publish_delay_us);
            self.enqueue(self.now + delay, (host, host), Packet::Document(Arc::clone(&document)));
        }
    }

    /// Moves a slice to a chain in the next document. Returns `false` if the slice has an unsettled
    /// move or the chain is empty or unchanged.
    pub fn move_slice(&mut self, start: u64, chain: Vec<ident::LeaseId>) -> bool {
        let since = self.plan.epoch + 1;
        let Some(slice) = self.plan.slices.get_mut(&start) else {
            return false;
        };
        if chain.is_empty() || chain == slice.chain || !slice.previous.is_empty() {
            return false;
        }
        slice.previous = mem::replace(&mut slice.chain, chain);
        slice.since = since;
        true
    }

    /// Ends the process of a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_alive = false;
        self.hosts[host].dead_since = Some(self.now);
        self.hosts[host].requests.clear();
    }

    /// Releases the leases of a host, as when its upstream is lost.
    pub fn release(&mut self, host: usize) {
        let now = self.local(host);
        let actions = self.hosts[host].machine.release(now);
        self.apply_actions(host, actions);
    }

    /// Advances by one step: delivers packets, ticks the running hosts, then checks all keys.
    pub fn step(&mut self) {
        self.now += STEP_US;
        self.report.steps += 1;
        self.deliver();
        for host in 0..self.hosts.len() {
            if self.is_running(host) {
                self.tick(host);
            }
        }
        self.check();
    }

    /// Advances by a number of milliseconds of global time.
    pub fn run_for(&mut self, millis: u64) {
        (0..millis * 1_000 / STEP_US).for_each(|_| self.step());
    }

    /// Returns the living hosts that serve a key at this moment.
    pub fn servers(&self, hash: u64) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| self.hosts[*host].is_alive && self.is_server(*host, hash)).collect()
    }

    /// Returns the first and last hashes of the planned slices.
    pub fn keys(&self) -> Vec<u64> {
        let starts = self.plan.slices.keys();
        starts.flat_map(|start| [start.wrapping_sub(1), *start]).collect()
    }

    /// Returns the keys that no host serves.
    pub fn unserved(&self) -> Vec<u64> {
        let keys = self.keys().into_iter();
        keys.filter(|hash| self.servers(*hash).is_empty()).collect()
    }

    fn is_server(&self, host: usize, hash: u64) -> bool {
        let now = self.local(host);
        let host = &self.hosts[host];
        let is_granted = host.document.locate(CLASS, key::KeyHash(hash)).is_some_and(|slice| {
            matches!(host.machine.grant(now, slice), ownership::GrantDecision::Granted { .. })
        });
        let is_running = |one: &Request| one.hash == hash && host.machine.check(now, &one.ticket);
        is_granted || host.requests.iter().any(is_running)
    }

    /// Returns whether a host is alive and not paused.
    pub fn is_running(&self, host: usize) -> bool {
        self.hosts[host].is_alive && self.hosts[host].paused_until <= self.now
    }

    fn enqueue(&mut self, at: u64, link: (usize, usize), packet: Packet) {
        self.sent += 1;
        self.packets.insert((at, self.sent), (link.0, link.1, packet));
    }

    fn send(&mut self, from: usize, to: usize, packet: &Packet) {
        let is_blocked = self.blocked_links.get(&(from, to)).is_some_and(|until| self.now < *until);
        let copies = match self.rng.u64(0..100) {
            roll if is_blocked || roll < self.loss_percent => 0,
            roll if roll < 2 * self.loss_percent => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now + self.rng.u64(100..=self.max_delay_us);
            self.enqueue(at, (from, to), packet.clone());
        }
    }

    fn deliver(&mut self) {
        let later = self.packets.split_off(&(self.now + 1, 0));
        for ((_, number), (from, to, packet)) in mem::replace(&mut self.packets, later) {
            if self.hosts[to].is_alive && self.hosts[to].paused_until > self.now {
                let at = self.hosts[to].paused_until;
                self.packets.insert((at, number), (from, to, packet));
            } else if self.hosts[to].is_alive {
                self.report.datagrams += 1;
                self.handle(from, to, packet);
            }
        }
    }

    fn handle(&mut self, from: usize, to: usize, packet: Packet) {
        let now = self.local(to);
        let peer = self.hosts[from].incarnation;
        let actions = match packet {
            Packet::Probe => return self.send(to, from, &Packet::ProbeAck),
            Packet::ProbeAck => self.hosts[to].machine.record_peer_response(now, peer),
            Packet::Control(message) => self.hosts[to].machine.receive(now, peer, message),
            Packet::Document(document) => {
                let host = &mut self.hosts[to];
                let Ok(actions) = host.machine.adopt(now, Arc::clone(&document)) else {
                    return;
                };
                host.document = document;
                actions
            }
        };
        self.apply_actions(to, actions);
    }

    fn tick(&mut self, host: usize) {
        if self.hosts[host].next_tick <= self.now {
            self.hosts[host].next_tick = self.now + self.rng.u64(20_000..=50_000);
            let now = self.local(host);
            let actions = self.hosts[host].machine.tick(now);
            self.apply_actions(host, actions);
            if let Err(error) = self.hosts[host].machine.check_invariants(now) {
                self.record_violation(&format!("host {host}: {error}"));
            }
        }
        if (self.now / STEP_US + host as u64).is_multiple_of(PROBE_INTERVAL_US / STEP_US) {
            let others = (0..self.hosts.len()).filter(|other| *other != host);
            others.for_each(|other| self.send(host, other, &Packet::Probe));
        }
        let (ended, running) = mem::take(&mut self.hosts[host].requests)
            .into_iter()
            .partition(|request| request.ends_at <= self.now);
        self.hosts[host].requests = running;
        let ended: Vec<Request> = ended;
        ended.into_iter().for_each(|request| self.hosts[host].machine.end(request.ticket));
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<ownership::OwnershipAction>) {
        for action in actions {
            match action {
                ownership::OwnershipAction::Send { to, message } => {
                    if let Some(to) = self.host_of(to) {
                        self.send(host, to, &Packet::Control(message));
                    }
                }
                ownership::OwnershipAction::FetchDocument { from, .. } => {
                    let Some(peer) = self.host_of(from) else {
                        continue;
                    };
                    let document = Arc::clone(&self.hosts[peer].document);
                    self.send(peer, host, &Packet::Document(document));
                }
                ownership::OwnershipAction::CancelWork { work, .. } => {
                    let ends_at = self.now + self.rng.u64(0..=20_000);
                    let requests = self.hosts[host].requests.iter_mut();
                    requests
                        .filter(|request| request.ticket.work == work)
                        .for_each(|request| request.ends_at = request.ends_at.min(ends_at));
                }
                _ => {}
            }
        }
    }

    /// Starts a request at a host. Returns whether the host accepted it.
    pub fn request(&mut self, host: usize, hash: u64, millis: u64) -> bool {
        let now = self.local(host);
        let host = &mut self.hosts[host];
        let slice = host.document.locate(CLASS, key::KeyHash(hash));
        let whole = self.rng.bool().then_some(slice).flatten();
        let begun = match whole {
            Some(slice) => host.machine.begin(now, slice),
            None => host.machine.begin_key(now, CLASS, key::KeyHash(hash)),
        };
        let Ok(ticket) = begun else {
            return false;
        };
        host.requests.push(Request { ticket, hash, ends_at: self.now + millis * 1_000 });
        self.report.requests += 1;
        true
    }

    fn check(&mut self) {
        for hash in self.keys() {
            let servers = self.servers(hash);
            match servers.len() {
                0 => self.report.unserved += 1,
                1 => self.report.served += 1,
                _ => self.record_violation(&format!("key {hash:x} has servers {servers:?}")),
            }
        }
    }

    /// Records a violation of an invariant.
    pub fn record_violation(&mut self, violation: &str) {
        if self.report.violations.len() < MAX_VIOLATIONS {
            self.report.violations.push(format!("at {} us: {violation}", self.now));
        }
    }
}
