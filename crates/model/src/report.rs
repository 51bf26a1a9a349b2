//! Bodies of a node's HTTP endpoint for operators, shared with `cornelctl`.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::class;
use crate::ident;

/// What a node knows about itself and its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the responding node.
    pub node: Arc<str>,
    /// Region of the node.
    pub region: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Incarnation of the node.
    pub incarnation: ident::IncarnationId,
    /// Highest configuration revision known to the node.
    pub revision: ident::RevisionNumber,
    /// Lowest revision in force on any node that isn't gone, if the revision of each is known.
    pub lowest_revision: Option<ident::RevisionNumber>,
    /// Highest epoch known to the node.
    pub epoch: ident::EpochNumber,
    /// Whether the node has reached the store since it started.
    pub store_seen: bool,
    /// Name of the planner, if known.
    pub planner: Option<Arc<str>>,
    /// Whether the node is leaving.
    pub draining: bool,
    /// Every node of the region, sorted by name.
    pub nodes: Vec<NodeReport>,
    /// Classes whose requests go to owners, sorted by name.
    pub classes: Vec<ClassOwners>,
}

/// A node of the region, as the responding node last saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Incarnation of the node.
    pub incarnation: ident::IncarnationId,
    /// State of the node.
    pub state: NodeState,
    /// Configuration revision in force on the node, if known.
    pub revision: Option<ident::RevisionNumber>,
    /// Epoch under which the node serves, if known.
    pub epoch: Option<ident::EpochNumber>,
    /// Whether the revision is older than that of the responding node.
    pub lagging: bool,
    /// Upstream of the node, if one has announced itself.
    pub upstream: Option<UpstreamReport>,
}

/// State of a node, as another node sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum NodeState {
    /// The node answers probes.
    Alive,
    /// The node answers probes and is leaving.
    Draining,
    /// The node doesn't answer probes.
    Silent,
    /// The assignment lists the node only for an unsettled move.
    Gone,
}

/// State of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Class that the upstream serves.
    pub class: Arc<str>,
    /// Address to which its node connects, if its node is the responding node.
    pub address: Option<String>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests queued for the upstream.
    pub queued: u32,
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Whether the upstream accepts new requests.
    pub accepting: bool,
    /// Whether the upstream rejects outdated fencing tokens.
    pub checks_fences: bool,
}

/// The owners of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassOwners {
    /// Name of the class.
    pub class: Arc<str>,
    /// Number of slices.
    pub slices: u32,
    /// Slices whose move isn't settled.
    pub unsettled: u32,
    /// Number of slices for each first member of a chain, sorted by name.
    pub owners: Vec<OwnerCount>,
}

/// Number of slices that a node owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerCount {
    /// Name of the node.
    pub node: Arc<str>,
    /// Number of slices.
    pub slices: u32,
}

/// Owner of a key, with the slice and the chain to which the key belongs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Class of the key.
    pub class: Arc<str>,
    /// The key.
    pub key: String,
    /// Hash of the key, 16 hexadecimal digits.
    pub hash: String,
    /// First hash of the slice, 16 hexadecimal digits.
    pub slice: String,
    /// Epoch of the assignment that the report describes.
    pub epoch: ident::EpochNumber,
    /// First member of the chain whose lease hasn't expired as far as the responding node knows.
    pub owner: Option<Arc<str>>,
    /// Whether the last move of the slice is settled.
    pub settled: bool,
    /// Epoch in which the chain began.
    pub since: ident::EpochNumber,
    /// The owner, followed by the successors in order.
    pub chain: Vec<ChainReport>,
}

/// A member of a chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChainReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Lease of the node in this chain.
    pub lease: ident::LeaseId,
    /// Whether the responding node knows that the lease has expired.
    pub expired: bool,
}

/// A drain that has started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Number of requests in flight, which the node finishes before it leaves.
    pub in_flight: u32,
    /// Number of slices that the node hands over before it leaves.
    pub slices: u32,
    /// Time limit of the drain, in seconds.
    pub limit_s: u64,
}

/// A node whose leases an operator has declared expired.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetireReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// The leases that were declared expired.
    pub leases: Vec<ident::LeaseId>,
    /// Epoch from which on the leases count as expired.
    pub epoch: ident::EpochNumber,
}

/// Body of `POST /retire`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetireRequest {
    /// Name of the node.
    pub node: Arc<str>,
    /// Whether the operator has confirmed that the node's process no longer runs.
    pub confirmed_dead: bool,
}

/// A class and the revision of the configuration from which it was read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassReport {
    /// Revision of the configuration.
    pub revision: ident::RevisionNumber,
    /// The class.
    pub class: class::ClassConfig,
}

/// An accepted change of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReport {
    /// First revision with the change.
    pub revision: ident::RevisionNumber,
}

/// An error of the endpoint, with its remedy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// Kind of the error, stable across versions.
    pub error: String,
    /// What happened.
    pub message: String,
    /// What the operator can do.
    pub remedy: String,
    /// Details of the conflict, for the error `revision-conflict`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictReport>,
}

/// Details of a change that expected another revision than the current one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConflictReport {
    /// Revision that the change expected.
    pub expected: ident::RevisionNumber,
    /// Revision in the store.
    pub current: ident::RevisionNumber,
    /// Configuration that was compared with the current one.
    pub compared: ConflictBase,
    /// The differences, sorted by class.
    pub differences: Vec<ClassDifference>,
}

/// Configuration that a conflict report compares with the current one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictBase {
    /// The expected revision; the differences are the changes since that revision.
    #[display("changed since the expected revision")]
    ExpectedRevision,
    /// The rejected change, used if the node no longer has the expected revision.
    #[display("differs from the rejected change")]
    RejectedChange,
}

/// Differences of a class from the current configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassDifference {
    /// Name of the class.
    pub class: Arc<str>,
    /// Whether the class was added, changed or deleted.
    pub kind: DifferenceKind,
    /// Changed fields; empty if the class was added or deleted.
    pub fields: Vec<FieldDifference>,
}

/// Kind of the difference of a class.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the current configuration has the class.
    Added,
    /// Both have the class, with different values.
    Changed,
    /// The current configuration doesn't have the class.
    Deleted,
}

/// A field with a different value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldDifference {
    /// Name of the field.
    pub field: String,
    /// Value in the compared configuration, as JSON.
    pub before: String,
    /// Value in the current configuration, as JSON.
    pub current: String,
}

/// Response to `GET /livez` and `GET /readyz`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the node is live or ready.
    pub ok: bool,
}
