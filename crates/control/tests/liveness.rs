//! Tests of peer liveness on a simulated network with losses, broken links and pauses.

use std::collections::{BTreeMap, BTreeSet};

use cornelridge_control::liveness::{
    LivenessAction, LivenessConfig, PeerLink, PeerLiveness, PeerState,
};
use cornelridge_model::{ident, time};

const STEP: time::Duration = time::Duration::from_millis(50);

fn id(node: usize) -> ident::IncarnationId {
    ident::IncarnationId(node as u64 + 1)
}

fn index(incarnation: ident::IncarnationId) -> usize {
    incarnation.0 as usize - 1
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Probe { nonce: u64 },
    Ack { nonce: u64, target: ident::IncarnationId },
    Relay { nonce: u64, target: ident::IncarnationId },
}

/// Simulated nodes that exchange probes. Each message arrives in the next step.
struct Network {
    now: time::Instant,
    nodes: Vec<PeerLiveness>,
    stopped: BTreeSet<usize>,
    broken_links: BTreeSet<(usize, usize)>,
    loss_percent: u8,
    rng: fastrand::Rng,
    messages: Vec<(usize, usize, Message)>,
    sent_per_second: BTreeMap<(usize, u64), u64>,
    changes: Vec<(usize, usize, PeerState, time::Instant)>,
    replaced: Vec<LivenessAction>,
}

impl Network {
    fn new(count: usize, seed: u64) -> Network {
        let config = LivenessConfig::default();
        let mut nodes = Vec::new();
        for node in 0..count {
            let mut liveness = PeerLiveness::new(config, node as u64 * 1_000_000);
            let peers = (0..count).filter(|peer| *peer != node).map(id).collect::<Vec<_>>();
            liveness.set_peers(&peers);
            nodes.push(liveness);
        }
        Network {
            now: time::Instant(1_000_000_000),
            nodes,
            stopped: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            loss_percent: 0,
            rng: fastrand::Rng::with_seed(seed),
            messages: Vec::new(),
            sent_per_second: BTreeMap::new(),
            changes: Vec::new(),
            replaced: Vec::new(),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_probe = !matches!(message, Message::Ack { .. });
        if is_probe {
            *self.sent_per_second.entry((from, self.now.0 / 1_000_000)).or_default() += 1;
        }
        let is_lost = self.rng.u8(0..100) < self.loss_percent;
        if !is_lost && !self.broken_links.contains(&(from, to)) {
            self.messages.push((from, to, message));
        }
    }

    fn apply(&mut self, node: usize, actions: Vec<LivenessAction>) {
        for action in actions {
            match action {
                LivenessAction::Probe { to, nonce } => {
                    self.send(node, index(to), Message::Probe { nonce });
                }
                LivenessAction::RequestRelay { via, target, nonce } => {
                    self.send(node, index(via), Message::Relay { nonce, target });
                }
                LivenessAction::RelayAck { to, nonce, target } => {
                    self.send(node, index(to), Message::Ack { nonce, target });
                }
                LivenessAction::StateChanged { peer, state } => {
                    self.changes.push((node, index(peer), state, self.now));
                }
                replaced @ LivenessAction::Replaced { .. } => self.replaced.push(replaced),
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, to, message) in std::mem::take(&mut self.messages) {
            if self.stopped.contains(&to) {
                continue;
            }
            let actions = self.nodes[to].record_message(self.now, id(from));
            self.apply(to, actions);
            match message {
                Message::Probe { nonce } => {
                    self.send(to, from, Message::Ack { nonce, target: id(to) });
                }
                Message::Ack { nonce, target } => {
                    let actions = self.nodes[to].on_ack(self.now, id(from), nonce, target);
                    self.apply(to, actions);
                }
                Message::Relay { nonce, target } => {
                    let action = self.nodes[to].on_relay_request(self.now, id(from), nonce, target);
                    self.apply(to, action.into_iter().collect());
                }
            }
        }
        for node in 0..self.nodes.len() {
            if !self.stopped.contains(&node) {
                let actions = self.nodes[node].poll(self.now, &mut self.rng);
                self.apply(node, actions);
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 20 {
            self.step();
        }
    }

    fn changes_to(&self, state: PeerState) -> usize {
        self.changes.iter().filter(|(_, _, to, _)| *to == state).count()
    }
}

/// Guards against taking lost datagrams for lost nodes.
#[test]
fn a_lossy_network_loses_no_member() {
    let mut network = Network::new(24, 1);
    network.loss_percent = 5;
    network.run(120);
    assert_eq!(network.changes_to(PeerState::Lost), 0);
}

/// Guards against a lost node that some peers never detect, and against slow detection by a peer
/// that watches it.
#[test]
fn every_peer_finds_a_lost_node() {
    let mut network = Network::new(24, 2);
    network.nodes[1].set_watched(&[id(0)]);
    network.run(20);
    network.stopped.insert(0);
    let lost_at = network.now;
    network.run(1);
    let watcher = network.changes.iter().find(|(node, peer, ..)| (*node, *peer) == (1, 0));
    let (_, _, state, at) = watcher.expect("the watcher detects the loss within a second");
    assert_eq!(*state, PeerState::Suspect);
    assert!(at.since(lost_at) <= time::Duration::from_millis(1_000));
    network.run(30);
    for node in 1..24 {
        assert_eq!(network.nodes[node].state(id(0)), PeerState::Lost, "node {node}");
        assert_eq!(network.nodes[node].lost(), [id(0)]);
        assert_eq!(network.nodes[node].link(network.now, id(0)), PeerLink::Down);
    }
}

/// Guards against taking one broken link for a lost node.
#[test]
fn a_broken_link_is_bridged_by_other_members() {
    let mut network = Network::new(8, 3);
    network.broken_links.extend([(0, 1), (1, 0)]);
    network.run(60);
    assert_eq!(network.changes_to(PeerState::Lost), 0);
    assert_eq!(network.changes_to(PeerState::Suspect), 0);
    for (node, peer) in [(0, 1), (1, 0)] {
        let link = network.nodes[node].link(network.now, id(peer));
        assert!(matches!(link, PeerLink::Relayed(_)), "{link:?}");
    }
    assert_eq!(network.nodes[0].link(network.now, id(2)), PeerLink::Direct);
    network.broken_links.clear();
    network.run(20);
    assert_eq!(network.nodes[0].link(network.now, id(1)), PeerLink::Direct);
}

/// Guards against considering a link direct that works in one direction only.
#[test]
fn a_one_way_link_is_not_direct() {
    let mut network = Network::new(2, 4);
    network.broken_links.insert((0, 1));
    network.run(30);
    assert_eq!(network.nodes[0].state(id(1)), PeerState::Alive, "the probes of node 1 arrive");
    assert_eq!(network.nodes[0].link(network.now, id(1)), PeerLink::OneWay);
    assert_eq!(network.nodes[1].state(id(0)), PeerState::Lost, "no message of node 0 arrives");
}

/// Guards against traffic that grows with the number of members or with the number of failures.
#[test]
fn the_rate_of_datagrams_is_bounded() {
    let max_rate = LivenessConfig::default().datagrams_per_second;
    for (count, dead) in [(10, 0), (157, 0), (157, 52), (157, 156)] {
        let mut network = Network::new(count, 5);
        network.nodes[0].set_watched(&(1..30).map(id).collect::<Vec<_>>());
        network.run(5);
        network.stopped.extend(1..=dead);
        network.run(15);
        for ((node, second), sent) in &network.sent_per_second {
            // The tokens of one second may be spent at the end of a second, and those of the next
            // at its beginning.
            assert!(*sent <= 2 * max_rate, "node {node} sent {sent} in second {second}");
        }
        let total = network.sent_per_second.iter().filter(|((node, _), _)| *node == 0);
        let total = total.map(|(_, sent)| *sent).sum::<u64>();
        assert!(total <= (20 + 1) * max_rate, "{count} members, {dead} stopped: {total} datagrams");
    }
}

/// Guards against a lost member that isn't probed any more and so can't return without the store.
#[test]
fn a_lost_member_that_returns_is_found() {
    let mut network = Network::new(6, 6);
    network.run(5);
    network.stopped.insert(0);
    network.run(20);
    assert_eq!(network.nodes[3].state(id(0)), PeerState::Lost);
    network.stopped.clear();
    network.nodes[0].set_peers(&[]);
    network.run(20);
    for node in 1..6 {
        assert_eq!(network.nodes[node].state(id(0)), PeerState::Alive, "node {node}");
    }
}

/// Guards against taking a new process on the same address for the old one.
#[test]
fn another_incarnation_at_the_address_is_reported() {
    let mut liveness = PeerLiveness::new(LivenessConfig::default(), 7);
    liveness.set_peers(&[id(0)]);
    let now = time::Instant(1_000_000);
    let actions = liveness.poll(now, &mut fastrand::Rng::with_seed(1));
    let nonce = actions.iter().find_map(|action| match action {
        LivenessAction::Probe { nonce, .. } => Some(*nonce),
        _ => None,
    });
    let nonce = nonce.expect("a probe");
    let replaced = LivenessAction::Replaced { old: id(0), new: id(9) };
    assert_eq!(liveness.on_ack(now, id(9), nonce, id(9)), [replaced]);
    assert_eq!(liveness.on_ack(now, id(9), nonce, id(9)), [], "a nonce is valid once");
    assert_eq!(liveness.on_ack(now, id(0), 4_711, id(0)), [], "a nonce that was never sent");
}

/// Guards against taking peers for lost after a pause of this process.
#[test]
fn a_pause_of_this_process_loses_nobody() {
    let mut network = Network::new(6, 8);
    network.run(10);
    let now = network.now + time::Duration::from_secs(30);
    let actions = network.nodes[0].poll(now, &mut fastrand::Rng::with_seed(1));
    let is_change = |action: &LivenessAction| matches!(action, LivenessAction::StateChanged { .. });
    assert!(!actions.iter().any(is_change), "{actions:?}");
}

/// Guards against a member that makes others forward an unbounded number of probes.
#[test]
fn carried_probes_are_bounded() {
    let config = LivenessConfig { datagrams_per_second: 1_000, ..LivenessConfig::default() };
    let mut liveness = PeerLiveness::new(config, 0);
    liveness.set_peers(&[id(0), id(1)]);
    let now = time::Instant(1_000_000);
    let carried = (0..200).filter_map(|nonce| liveness.on_relay_request(now, id(0), nonce, id(1)));
    assert_eq!(carried.count(), 32);
    assert_eq!(liveness.on_relay_request(now, id(0), 1, id(5)), None, "not a member");
}
