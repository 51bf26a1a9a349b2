//! Answers of a node's HTTP endpoint for operators, shared with `cornelctl`.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::class;
use crate::ident;

/// What a node knows about itself and its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the answering node.
    pub node: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its run.
    pub incarnation: ident::IncarnationId,
    /// Highest configuration revision that it knows.
    pub revision: ident::RevisionNumber,
    /// Lowest revision in force on any node that isn't gone, if each one's is known.
    pub lowest_revision: Option<ident::RevisionNumber>,
    /// Highest epoch that it knows.
    pub epoch: ident::EpochNumber,
    /// Whether it has reached the store since it started.
    pub store_seen: bool,
    /// The node that it knows as planner.
    pub planner: Option<Arc<str>>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Every node of the region, sorted by name.
    pub nodes: Vec<NodeReport>,
    /// Classes whose requests go to owners, sorted by name.
    pub classes: Vec<ClassOwners>,
}

/// One node of the region, as the answering node last saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its run.
    pub incarnation: ident::IncarnationId,
    /// How it is.
    pub state: NodeState,
    /// The configuration revision that it has in force, if known.
    pub revision: Option<ident::RevisionNumber>,
    /// The epoch that it serves under, if known.
    pub epoch: Option<ident::EpochNumber>,
    /// Whether its revision is older than the answering node's.
    pub lagging: bool,
    /// Its upstream, if it has announced itself.
    pub upstream: Option<UpstreamReport>,
}

/// How a node is, seen from another.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum NodeState {
    /// It answers probes.
    Alive,
    /// It answers probes and is leaving.
    Draining,
    /// It doesn't answer probes.
    Silent,
    /// The assignment names it only for an unsettled move.
    Gone,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Class that it serves.
    pub class: Arc<str>,
    /// Address to which its node connects, if the answering node is its node.
    pub address: Option<String>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait for it.
    pub queued: u32,
    /// Requests that it may have in flight now.
    pub limit: u32,
    /// Whether it takes new work.
    pub accepting: bool,
    /// Whether it rejects old fences.
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
    /// Slices by first member of the chain, sorted by name.
    pub owners: Vec<OwnerCount>,
}

/// How many slices a node owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerCount {
    /// Name of the node.
    pub node: Arc<str>,
    /// Number of slices.
    pub slices: u32,
}

/// Who serves a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// Class of the key.
    pub class: Arc<str>,
    /// The key.
    pub key: String,
    /// Hash of the key, 16 hexadecimal digits.
    pub hash: String,
    /// First hash of its slice, 16 hexadecimal digits.
    pub slice: String,
    /// Epoch of the answer.
    pub epoch: ident::EpochNumber,
    /// First member of the chain that the answering node doesn't know as expired.
    pub owner: Option<Arc<str>>,
    /// Whether the last move of the slice is settled.
    pub settled: bool,
    /// Epoch in which the chain began.
    pub since: ident::EpochNumber,
    /// Owner, then successors in their order.
    pub chain: Vec<ChainReport>,
}

/// One member of a chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChainReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its lease in this chain.
    pub lease: ident::LeaseId,
    /// Whether the answering node knows that the lease has expired.
    pub expired: bool,
}

/// A drain that has begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Requests that it finishes first.
    pub in_flight: u32,
    /// Slices that it hands over first.
    pub slices: u32,
    /// Longest wait, in seconds.
    pub limit_s: u64,
}

/// A node whose leases an operator has declared dead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetireReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// The leases that were declared expired.
    pub leases: Vec<ident::LeaseId>,
    /// Epoch from which on they count as expired.
    pub epoch: ident::EpochNumber,
}

/// Body of `POST /retire`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetireRequest {
    /// Name of the node.
    pub node: Arc<str>,
    /// Whether the operator has made sure that its process no longer runs.
    pub confirmed_dead: bool,
}

/// One class and the revision of the configuration that it was read from.
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
    /// Revision that holds the change.
    pub revision: ident::RevisionNumber,
}

/// An error of the endpoint, with what to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// Kind of the error, stable across versions.
    pub error: String,
    /// What happened.
    pub message: String,
    /// What to do.
    pub remedy: String,
    /// For `revision-conflict`: what changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictReport>,
}

/// A change that was made for another revision than the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConflictReport {
    /// Revision that the change expected.
    pub expected: ident::RevisionNumber,
    /// Revision in the store.
    pub current: ident::RevisionNumber,
    /// What was compared with the current configuration.
    pub compared: ConflictBase,
    /// The differences, sorted by class.
    pub differences: Vec<ClassDifference>,
}

/// What a conflict compares with the current configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictBase {
    /// The expected revision; the differences are what others changed since.
    #[display("changed since the expected revision")]
    ExpectedRevision,
    /// The rejected change, because the node no longer has the expected revision.
    #[display("differs from the rejected change")]
    RejectedChange,
}

/// How one class differs from the current configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassDifference {
    /// Name of the class.
    pub class: Arc<str>,
    /// Whether the class was added, changed or deleted.
    pub kind: DifferenceKind,
    /// Changed fields; empty if the class was added or deleted.
    pub fields: Vec<FieldDifference>,
}

/// What happened to a class.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the current configuration has it.
    Added,
    /// Both have it, with other values.
    Changed,
    /// The current configuration doesn't have it.
    Deleted,
}

/// One field with another value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldDifference {
    /// Name of the field.
    pub field: String,
    /// Value in what was compared, as JSON.
    pub before: String,
    /// Value in the current configuration, as JSON.
    pub current: String,
}

/// Answer of `GET /livez` and `GET /readyz`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the node is live or ready.
    pub ok: bool,
}
