//! Detection of failed peers by probes at a bounded rate.
//!
//! In every round, a node probes a few watched peers and the next peers of a shuffled order, so its
//! traffic doesn't grow with the number of members. A peer that doesn't answer is probed through
//! other members before it is suspected, so that one broken link isn't taken for a lost node.

mod config;

use std::collections::{BTreeMap, VecDeque};

use cornelridge_model::{ident, time};

pub use config::{LivenessAction, LivenessConfig, PeerLink, PeerState};

/// Maximum number of probes that a node forwards for other members at the same time.
const MAX_FORWARDED_PROBES: usize = 32;
/// Maximum number of silent peers that are probed again, and of those that are probed through other
/// members, in one round.
const MAX_REPEATED_PROBES: usize = 2;
/// Unanswered direct probes after which a peer may be suspected; a single one may have been dropped
/// by the network.
const MIN_SUSPECT_PROBES: u32 = 2;
/// Unanswered direct probes after which a peer may be lost.
const MIN_LOST_PROBES: u32 = 3;
/// Time for which the nonce of a probe is remembered, so that a late answer still counts.
const MAX_PROBE_AGE: time::Duration = time::Duration::from_secs(5);
/// Time between two polls above which this process, rather than its peers, has been paused.
const MAX_POLL_GAP: time::Duration = time::Duration::from_millis(1_000);

/// Time within which a direct probe is answered over a healthy link.
const EXPECTED_ROUND_TRIP: time::Duration = time::Duration::from_millis(20);

/// State of one peer.
#[derive(Clone, Debug)]
struct Peer {
    state: PeerState,
    is_watched: bool,
    /// Time of the first probe since the peer was last known to be alive.
    unanswered_since: Option<time::Instant>,
    /// Number of direct probes since the peer was last known to be alive.
    unanswered_probes: u32,
    /// Whether relayed probes were requested since the peer was last known to be alive; also set if
    /// no member could be asked.
    has_requested_relays: bool,
    /// Time of the first direct probe since the last answer to a direct probe.
    direct_unanswered_since: Option<time::Instant>,
    last_relayed: Option<(time::Instant, ident::IncarnationId)>,
    last_heard: Option<time::Instant>,
    last_relay_request: Option<time::Instant>,
}

impl Peer {
    fn new() -> Peer {
        Peer {
            state: PeerState::Alive,
            is_watched: false,
            unanswered_since: None,
            unanswered_probes: 0,
            has_requested_relays: false,
            direct_unanswered_since: None,
            last_relayed: None,
            last_heard: None,
            last_relay_request: None,
        }
    }

    fn has_direct_timed_out(&self, now: time::Instant, config: &LivenessConfig) -> bool {
        self.direct_unanswered_since.is_some_and(|since| now.since(since) >= config.probe_timeout)
    }

    /// Returns the state that follows from the time without evidence that the peer is alive.
    fn evaluated_state(&self, now: time::Instant, config: &LivenessConfig) -> PeerState {
        // Over a one-way link only the peer's own messages show that it is alive, and they may be
        // as rare as its probes of lost peers.
        let is_one_way =
            self.direct_unanswered_since.is_some_and(|at| now.since(at) >= config.lost_timeout)
                && self.last_heard.is_some_and(|at| now.since(at) < config.lost_timeout);
        if is_one_way {
            return PeerState::Alive;
        }
        let silence = self.unanswered_since.map_or(time::Duration::ZERO, |since| now.since(since));
        let has_requested = self.has_requested_relays;
        if silence >= config.lost_timeout
            && self.unanswered_probes >= MIN_LOST_PROBES
            && has_requested
        {
            return PeerState::Lost;
        }
        if silence >= config.suspect_timeout
            && self.unanswered_probes >= MIN_SUSPECT_PROBES
            && has_requested
        {
            return PeerState::Suspect;
        }
        PeerState::Alive
    }

    fn reset_silence(&mut self) {
        self.unanswered_since = None;
        self.unanswered_probes = 0;
        self.has_requested_relays = false;
    }
}

/// A probe that was sent and may still be answered.
#[derive(Clone, Copy, Debug)]
struct SentProbe {
    target: ident::IncarnationId,
    sent: time::Instant,
    /// Member that requested the probe, and its nonce.
    requested_by: Option<(ident::IncarnationId, u64)>,
    /// Member that was asked to send the probe; `None` for a direct probe.
    via: Option<ident::IncarnationId>,
}

/// Liveness of the peers of one node.
#[derive(Clone, Debug)]
pub struct PeerLiveness {
    config: LivenessConfig,
    peers: BTreeMap<ident::IncarnationId, Peer>,
    /// Peers that remain to be probed in the current pass over all peers.
    probe_order: VecDeque<ident::IncarnationId>,
    probes: BTreeMap<u64, SentProbe>,
    next_nonce: u64,
    next_round: time::Instant,
    next_lost_probe: time::Instant,
    lost_cursor: usize,
    last_poll: Option<time::Instant>,
    /// Millionths of datagrams that may be sent now.
    tokens: u64,
}

impl PeerLiveness {
    /// Creates a failure detector without peers. `first_nonce` should be random, so that answers to
    /// an earlier process of this host aren't taken for answers to this one.
    pub fn new(config: LivenessConfig, first_nonce: u64) -> PeerLiveness {
        PeerLiveness {
            config,
            peers: BTreeMap::new(),
            probe_order: VecDeque::new(),
            probes: BTreeMap::new(),
            next_nonce: first_nonce,
            next_round: time::Instant(0),
            next_lost_probe: time::Instant(0),
            lost_cursor: 0,
            last_poll: None,
            tokens: config.datagrams_per_second.saturating_mul(1_000_000),
        }
    }

    /// Sets the peers, excluding this node. Peers that were set before keep their state.
    pub fn set_peers(&mut self, peers: &[ident::IncarnationId]) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            self.peers.entry(*peer).or_insert_with(Peer::new);
        }
        self.probe_order.retain(|peer| self.peers.contains_key(peer));
    }

    /// Sets the configuration. The watched peers stay the same until they are set again.
    pub fn set_config(&mut self, config: LivenessConfig) {
        self.config = config;
    }

    /// Sets the peers that are probed in every round, the most important first. Peers beyond
    /// `max_watched` are probed in the shuffled order only.
    pub fn set_watched(&mut self, watched: &[ident::IncarnationId]) {
        self.peers.values_mut().for_each(|peer| peer.is_watched = false);
        let mut left = self.config.max_watched;
        for incarnation in watched {
            let Some(peer) = self.peers.get_mut(incarnation) else { continue };
            if left > 0 && !peer.is_watched {
                peer.is_watched = true;
                left -= 1;
            }
        }
    }

    /// Returns the state of a peer; an unknown peer is `Lost`.
    pub fn state(&self, peer: ident::IncarnationId) -> PeerState {
        self.peers.get(&peer).map_or(PeerState::Lost, |peer| peer.state)
    }

    /// Returns how a peer can be reached.
    pub fn link(&self, now: time::Instant, peer: ident::IncarnationId) -> PeerLink {
        let Some(peer) = self.peers.get(&peer) else { return PeerLink::Down };
        let is_recent = |at: time::Instant| now.since(at) <= self.config.lost_timeout;
        let has_timed_out = peer.has_direct_timed_out(now, &self.config);
        if !has_timed_out && peer.state == PeerState::Alive {
            return PeerLink::Direct;
        }
        match (peer.last_relayed, peer.last_heard) {
            (Some((at, via)), _) if is_recent(at) => PeerLink::Relayed(via),
            (_, Some(at)) if is_recent(at) => PeerLink::OneWay,
            _ => PeerLink::Down,
        }
    }

    /// Returns whether a direct probe of the peer has been unanswered for longer than a round trip
    /// takes, or the peer isn't alive.
    pub fn is_unresponsive(&self, now: time::Instant, peer: ident::IncarnationId) -> bool {
        let Some(peer) = self.peers.get(&peer) else { return true };
        let is_late = peer
            .direct_unanswered_since
            .is_some_and(|since| now.since(since) > EXPECTED_ROUND_TRIP);
        is_late || peer.state != PeerState::Alive
    }

    /// Returns the lost peers.
    pub fn lost(&self) -> Vec<ident::IncarnationId> {
        let lost = self.peers.iter().filter(|(_, peer)| peer.state == PeerState::Lost);
        lost.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Returns the time of the next round, before which `poll` sends nothing.
    pub fn next_wake(&self) -> time::Instant {
        self.next_round
    }

    /// Updates the states of the peers and returns the changes and the due probes.
    pub fn poll(&mut self, now: time::Instant, rng: &mut fastrand::Rng) -> Vec<LivenessAction> {
        self.refill_tokens(now);
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.config.probe_interval;
        self.probes.retain(|_, probe| now.since(probe.sent) < MAX_PROBE_AGE);
        let mut actions = self.update_states(now);
        self.probe_round(now, rng, &mut actions);
        self.request_relays(now, rng, &mut actions);
        self.repeat_probes(now, rng, &mut actions);
        self.probe_lost(now, &mut actions);
        actions
    }

    /// Adds the datagrams allowed since the last poll. After a pause of this process, missing
    /// answers say nothing about the peers, so their silence starts anew.
    fn refill_tokens(&mut self, now: time::Instant) {
        let gap = self.last_poll.map_or(time::Duration::ZERO, |last| now.since(last));
        self.last_poll = Some(now);
        let max_tokens = self.config.datagrams_per_second.saturating_mul(1_000_000);
        let earned = gap.0.saturating_mul(self.config.datagrams_per_second);
        self.tokens = self.tokens.saturating_add(earned).min(max_tokens);
        if gap > MAX_POLL_GAP {
            self.peers.values_mut().for_each(Peer::reset_silence);
        }
    }

    fn update_states(&mut self, now: time::Instant) -> Vec<LivenessAction> {
        let config = self.config;
        let mut actions = Vec::new();
        for (incarnation, peer) in &mut self.peers {
            let state = peer.evaluated_state(now, &config);
            let is_worse = matches!(
                (peer.state, state),
                (PeerState::Alive, PeerState::Suspect)
                    | (PeerState::Alive | PeerState::Suspect, PeerState::Lost)
            );
            if is_worse {
                peer.state = state;
                actions.push(LivenessAction::StateChanged { peer: *incarnation, state });
            }
        }
        actions
    }

    fn due_peers(&self, is_due: impl Fn(&Peer) -> bool) -> Vec<ident::IncarnationId> {
        let due = self.peers.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Probes the watched peers and the next peers of the shuffled order.
    fn probe_round(
        &mut self,
        now: time::Instant,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<LivenessAction>,
    ) {
        let watched = self.due_peers(|peer| peer.is_watched && peer.state != PeerState::Lost);
        let selected = self.next_in_order(rng, &watched);
        watched.into_iter().chain(selected).for_each(|target| self.probe(now, target, actions));
    }

    /// Probes some of the peers again whose direct probe has timed out, silent ones first.
    fn repeat_probes(
        &mut self,
        now: time::Instant,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<LivenessAction>,
    ) {
        let config = self.config;
        let mut due = self.due_peers(|peer| {
            let is_candidate = peer.state != PeerState::Lost && !peer.is_watched;
            is_candidate && peer.has_direct_timed_out(now, &config)
        });
        rng.shuffle(&mut due);
        due.sort_by_key(|peer| self.peers.get(peer).map(|peer| peer.unanswered_since.is_none()));
        due.truncate(MAX_REPEATED_PROBES);
        due.into_iter().for_each(|target| self.probe(now, target, actions));
    }

    fn probe(
        &mut self,
        now: time::Instant,
        to: ident::IncarnationId,
        actions: &mut Vec<LivenessAction>,
    ) {
        let Some(nonce) = self.send(now, to, None, None) else { return };
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.unanswered_since.get_or_insert(now);
            peer.direct_unanswered_since.get_or_insert(now);
            peer.unanswered_probes += 1;
        }
        actions.push(LivenessAction::Probe { to, nonce });
    }

    /// Asks other members to probe some of the peers whose direct probe has timed out.
    fn request_relays(
        &mut self,
        now: time::Instant,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<LivenessAction>,
    ) {
        let config = self.config;
        let mut due = self.due_peers(|peer| {
            let last = peer.last_relay_request;
            peer.state != PeerState::Lost
                && peer.has_direct_timed_out(now, &config)
                && last.is_none_or(|last| now.since(last) >= config.suspect_timeout)
        });
        rng.shuffle(&mut due);
        due.sort_by_key(|peer| self.peers.get(peer).map(|peer| peer.has_requested_relays));
        due.truncate(MAX_REPEATED_PROBES);
        for target in due {
            let mut relays = self.due_peers(|peer| {
                peer.state == PeerState::Alive && !peer.has_direct_timed_out(now, &config)
            });
            rng.shuffle(&mut relays);
            for via in relays.into_iter().take(config.relay_count) {
                let Some(nonce) = self.send(now, target, None, Some(via)) else { return };
                actions.push(LivenessAction::RequestRelay { via, target, nonce });
            }
            if let Some(peer) = self.peers.get_mut(&target) {
                peer.last_relay_request = Some(now);
                peer.has_requested_relays = true;
            }
        }
    }

    /// Removes the next peers from the shuffled order and returns those that aren't lost or
    /// excluded.
    fn next_in_order(
        &mut self,
        rng: &mut fastrand::Rng,
        excluded: &[ident::IncarnationId],
    ) -> Vec<ident::IncarnationId> {
        if self.probe_order.is_empty() {
            let mut all = self.due_peers(|peer| peer.state != PeerState::Lost);
            rng.shuffle(&mut all);
            self.probe_order = all.into();
        }
        let mut selected = Vec::new();
        while selected.len() < self.config.probes_per_round {
            let Some(peer) = self.probe_order.pop_front() else { break };
            let is_lost = self.state(peer) == PeerState::Lost;
            if !is_lost && !excluded.contains(&peer) {
                selected.push(peer);
            }
        }
        selected
    }

    /// Probes the lost peers in turn, so that a host that returns is found without the store.
    fn probe_lost(&mut self, now: time::Instant, actions: &mut Vec<LivenessAction>) {
        if now < self.next_lost_probe {
            return;
        }
        let lost = self.lost();
        if lost.is_empty() {
            return;
        }
        self.lost_cursor = (self.lost_cursor + 1) % lost.len();
        let to = lost[self.lost_cursor];
        let Some(nonce) = self.send(now, to, None, None) else { return };
        self.next_lost_probe = now + self.config.lost_probe_interval;
        actions.push(LivenessAction::Probe { to, nonce });
    }

    /// Records a probe and returns its nonce, or `None` if the rate of datagrams is exhausted.
    fn send(
        &mut self,
        now: time::Instant,
        target: ident::IncarnationId,
        requested_by: Option<(ident::IncarnationId, u64)>,
        via: Option<ident::IncarnationId>,
    ) -> Option<u64> {
        self.tokens = self.tokens.checked_sub(1_000_000)?;
        let nonce = self.next_nonce;
        self.next_nonce = self.next_nonce.wrapping_add(1);
        let probe = SentProbe { target, sent: now, requested_by, via };
        self.probes.insert(nonce, probe);
        Some(nonce)
    }

    /// Records an authenticated message from a peer, which shows that the peer is alive.
    pub fn record_message(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
    ) -> Vec<LivenessAction> {
        let Some(peer) = self.peers.get_mut(&from) else { return Vec::new() };
        peer.last_heard = Some(now);
        self.mark_alive(from)
    }

    /// Handles the request of a member to probe a peer. The number of probes that are forwarded at
    /// the same time is bounded.
    pub fn on_relay_request(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        nonce: u64,
        target: ident::IncarnationId,
    ) -> Option<LivenessAction> {
        let is_forwarded = |probe: &&SentProbe| {
            probe.requested_by.is_some() && now.since(probe.sent) < self.config.lost_timeout
        };
        let forwarded = self.probes.values().filter(is_forwarded).count();
        if forwarded >= MAX_FORWARDED_PROBES || !self.peers.contains_key(&target) {
            return None;
        }
        let own = self.send(now, target, Some((from, nonce)), None)?;
        Some(LivenessAction::Probe { to: target, nonce: own })
    }

    /// Handles an answer to a probe; `target` is the peer that was reached, `from` the sender.
    pub fn on_ack(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        nonce: u64,
        target: ident::IncarnationId,
    ) -> Vec<LivenessAction> {
        let Some(probe) = self.probes.get(&nonce).copied() else { return Vec::new() };
        if probe.via.is_some() {
            return self.on_relayed_ack(now, from, probe, target);
        }
        if target != from {
            return Vec::new();
        }
        self.probes.remove(&nonce);
        if from != probe.target {
            return vec![LivenessAction::Replaced { old: probe.target, new: from }];
        }
        let mut actions = self.mark_alive(from);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.direct_unanswered_since = None;
        }
        if let Some((to, nonce)) = probe.requested_by {
            actions.push(LivenessAction::RelayAck { to, nonce, target });
        }
        actions
    }

    fn on_relayed_ack(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        probe: SentProbe,
        target: ident::IncarnationId,
    ) -> Vec<LivenessAction> {
        if target != probe.target || probe.via != Some(from) {
            return Vec::new();
        }
        if let Some(peer) = self.peers.get_mut(&target) {
            peer.last_relayed = Some((now, from));
        }
        self.mark_alive(target)
    }

    fn mark_alive(&mut self, incarnation: ident::IncarnationId) -> Vec<LivenessAction> {
        let Some(peer) = self.peers.get_mut(&incarnation) else { return Vec::new() };
        peer.reset_silence();
        if peer.state == PeerState::Alive {
            return Vec::new();
        }
        peer.state = PeerState::Alive;
        vec![LivenessAction::StateChanged { peer: incarnation, state: PeerState::Alive }]
    }
}
