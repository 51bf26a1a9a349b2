//! Configuration, states and actions of peer liveness.

use cornelridge_model::{ident, time};

/// Intervals, timeouts and bounds of the probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessConfig {
    /// Interval between rounds of probes.
    pub probe_interval: time::Duration,
    /// Number of peers of the shuffled order that are probed in one round.
    pub probes_per_round: usize,
    /// Maximum number of peers that are probed in every round because a takeover depends on them.
    pub max_watched: usize,
    /// Time after which a probe without an answer is repeated through other peers.
    pub probe_timeout: time::Duration,
    /// Number of peers that are asked for a relayed probe.
    pub relay_count: usize,
    /// Time since the first unanswered probe after which a peer without evidence that it is alive
    /// is suspected.
    pub suspect_timeout: time::Duration,
    /// Time since the first unanswered probe after which a peer without evidence that it is alive
    /// is lost.
    pub lost_timeout: time::Duration,
    /// Interval between probes of lost peers, which are probed in turn.
    pub lost_probe_interval: time::Duration,
    /// Maximum number of datagrams per second that this node sends for probes, excluding answers.
    pub datagrams_per_second: u64,
}

impl Default for LivenessConfig {
    /// Returns a configuration whose 40 datagrams of about 100 bytes are 4 KB of the 11 KB that a
    /// node may use per second.
    fn default() -> LivenessConfig {
        LivenessConfig {
            probe_interval: time::Duration::from_millis(200),
            probes_per_round: 2,
            max_watched: 4,
            probe_timeout: time::Duration::from_millis(200),
            relay_count: 2,
            suspect_timeout: time::Duration::from_millis(600),
            lost_timeout: time::Duration::from_millis(2_000),
            lost_probe_interval: time::Duration::from_millis(1_000),
            datagrams_per_second: 40,
        }
    }
}

/// Liveness of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer is known to be alive, or hasn't been silent for long enough.
    Alive,
    /// The peer answers neither direct nor relayed probes.
    Suspect,
    /// The peer hasn't answered for the lost timeout; it is probed at a low rate.
    Lost,
}

/// Path over which a peer can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLink {
    /// The peer answers direct probes.
    Direct,
    /// Direct probes fail, but this member reaches it.
    Relayed(ident::IncarnationId),
    /// Messages of the peer arrive, but it answers neither direct nor relayed probes.
    OneWay,
    /// Nothing shows that the peer is alive.
    Down,
}

/// Message to send, or change to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Send a probe.
    Probe {
        /// Peer to probe.
        to: ident::IncarnationId,
        /// Number that the answer returns.
        nonce: u64,
    },
    /// Ask a member to probe a peer.
    RequestRelay {
        /// Member that is asked.
        via: ident::IncarnationId,
        /// Peer to probe.
        target: ident::IncarnationId,
        /// Number that the answer returns.
        nonce: u64,
    },
    /// Tell a member that the probe that it requested was answered.
    RelayAck {
        /// Member that requested the probe.
        to: ident::IncarnationId,
        /// Nonce of the request.
        nonce: u64,
        /// Peer that answered.
        target: ident::IncarnationId,
    },
    /// The state of a peer has changed.
    StateChanged {
        /// Peer whose state has changed.
        peer: ident::IncarnationId,
        /// New state.
        state: PeerState,
    },
    /// Another process answered at the address of a peer: the host was replaced or restarted.
    Replaced {
        /// Incarnation that was probed.
        old: ident::IncarnationId,
        /// Incarnation that answered.
        new: ident::IncarnationId,
    },
}
