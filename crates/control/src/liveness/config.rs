//! Settings, states and actions of peer liveness.

use cornelridge_model::{ident, time};

/// Intervals and bounds of the probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessConfig {
    /// Time between two rounds of probes.
    pub probe_interval: time::Duration,
    /// Peers of the shuffled order that are probed in one round.
    pub probes_per_round: usize,
    /// Most peers that are probed in every round because a takeover depends on them.
    pub max_watched: usize,
    /// After this time a probe without an answer is repeated through other peers.
    pub probe_timeout: time::Duration,
    /// Peers that are asked for a relayed probe.
    pub relay_count: usize,
    /// A peer without any sign of life for this long since its first missed probe is suspected.
    pub suspect_timeout: time::Duration,
    /// A peer without any sign of life for this long since its first missed probe is lost.
    pub lost_timeout: time::Duration,
    /// Time between two probes of lost peers, in turn.
    pub lost_probe_interval: time::Duration,
    /// Most datagrams that this node sends for probes in a second, answers not counted.
    pub datagrams_per_second: u64,
}

impl Default for LivenessConfig {
    /// 40 datagrams of about 100 bytes are 4 KB of the 11 KB that a node may use in a second.
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

/// Whether a peer is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Shows signs of life, or hasn't been found silent yet.
    Alive,
    /// Silent to direct and relayed probes.
    Suspect,
    /// Silent for long; probed at a low rate.
    Lost,
}

/// How a living peer can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLink {
    /// It answers direct probes.
    Direct,
    /// Direct probes fail, but this member reaches it.
    Relayed(ident::IncarnationId),
    /// Its own messages arrive here, but it answers neither direct nor relayed probes.
    OneWay,
    /// No sign of life.
    Down,
}

/// What to send or tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Send a probe.
    Probe {
        /// The peer.
        to: ident::IncarnationId,
        /// Returned in the answer.
        nonce: u64,
    },
    /// Ask a member to probe a peer.
    RequestRelay {
        /// The member that is asked.
        via: ident::IncarnationId,
        /// The peer to probe.
        target: ident::IncarnationId,
        /// Returned in the answer.
        nonce: u64,
    },
    /// Tell a member that the relayed probe was answered.
    RelayAck {
        /// The member that asked.
        to: ident::IncarnationId,
        /// Its nonce.
        nonce: u64,
        /// The peer that answered.
        target: ident::IncarnationId,
    },
    /// The state of a peer has changed.
    StateChanged {
        /// The peer.
        peer: ident::IncarnationId,
        /// Its new state.
        state: PeerState,
    },
    /// Another process answered at the address of a peer: the host was replaced or restarted.
    Replaced {
        /// The process that was probed.
        old: ident::IncarnationId,
        /// The process that answered.
        new: ident::IncarnationId,
    },
}
