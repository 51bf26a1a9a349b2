//! Settings of a node, which are given at its start.

use std::net;
use std::sync::Arc;

use cornelridge_fleet::budget;
use cornelridge_fleet::grant;
use cornelridge_fleet::warm_up;
use cornelridge_model::time;

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct SidecarSettings {
    /// Name of the node, unique in the deployment.
    pub node: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Service of the worker beside the node.
    pub service: Arc<str>,
    /// Address of the worker beside the node.
    pub worker: net::SocketAddr,
    /// Address at which callers on this host are served.
    pub callers: net::SocketAddr,
    /// UDP address at which the other nodes are served.
    pub peers: net::SocketAddr,
    /// Address of the readiness check.
    pub readiness: net::SocketAddr,
    /// Address to which the worker reports.
    pub reports: net::SocketAddr,
    /// Address at which metrics are served, if they are.
    pub metrics: Option<net::SocketAddr>,
    /// Largest outgoing rate of the host, in bytes per second.
    pub link_bytes_per_second: u64,
    /// How grants reach the worker.
    pub grant_delivery: grant::GrantDelivery,
    /// Longest time for which a worker accepts a grant.
    pub max_hold: time::Duration,
    /// Time between the request to stop and the forced end of the process.
    pub grace: time::Duration,
    /// Time within which requests to a leaving worker must stop.
    pub drain: time::Duration,
    /// Retries that all nodes together may make.
    pub retries: budget::RetryAllowance,
    /// By how much a cold worker may get more requests than it tolerates.
    pub warm_up: warm_up::WarmUpBounds,
    /// Whether scarce room is shared: slots are reserved for calls, requests whose calls are refused
    /// don't start, and callers that return early yield.
    pub shares_room: bool,
    /// Whether the cost of traffic between availability zones is weighed against delays.
    pub economizes_zones: bool,
    /// Time after the request of an operator within which a zone must be evacuated.
    pub evacuation: time::Duration,
    /// Memory of the process, in bytes, if it is limited.
    pub memory_bytes: Option<u64>,
    /// Highest number of open descriptors of the process, if it is limited.
    pub max_descriptors: Option<u64>,
}
