//! What a node is told at its start.

use std::net;
use std::sync::Arc;

use cornelridge_fleet::budget;
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
    /// Where callers on this machine are served.
    pub callers: net::SocketAddr,
    /// Where the other nodes are served, over UDP.
    pub peers: net::SocketAddr,
    /// Where readiness is asked for.
    pub readiness: net::SocketAddr,
    /// Where the worker reports.
    pub reports: net::SocketAddr,
    /// Where metrics are served; nowhere if absent.
    pub metrics: Option<net::SocketAddr>,
    /// Bytes a second that leave the machine at most.
    pub link_bytes_per_second: u64,
    /// Longest time for which a worker accepts a grant.
    pub max_hold: time::Duration,
    /// Time between the request to stop and the end by force.
    pub grace: time::Duration,
    /// Time within which a leaving worker gets no more requests.
    pub drain: time::Duration,
    /// What all nodes together may repeat.
    pub repeats: budget::RepeatAllowance,
}
