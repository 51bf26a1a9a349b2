//! Input from which the planner computes the next document.

use std::net;
use std::sync::Arc;

use cornelridge_model::{assignment, class, ident, key, time};

/// Registration of a node in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRegistration {
    /// Name from the settings of the node.
    pub name: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: ident::IncarnationId,
    /// Address for QUIC between nodes.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Class of the upstream beside the node; empty until an upstream has announced itself.
    pub class: Arc<str>,
    /// Whether the upstream checks fences.
    pub checks_fences: bool,
}

/// Load of a slice as measured by its owner.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceLoad {
    /// Class of the slice.
    pub class: Arc<str>,
    /// Start of the slice.
    pub start: key::KeyHash,
    /// Requests a second.
    pub rate: f64,
}

/// A key that its owner reports among the most used ones.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    /// Class of the key.
    pub class: Arc<str>,
    /// Hash of the key.
    pub hash: key::KeyHash,
    /// Requests a second.
    pub rate: f64,
}

/// Newest response of a member to a status query.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// The member.
    pub incarnation: ident::IncarnationId,
    /// Time since the report arrived.
    pub age: time::Duration,
    /// Epoch of the document in force at the member.
    pub epoch: ident::EpochNumber,
    /// Epoch up to which the member has ended its work for the slices that it no longer owns.
    pub confirmed_epoch: ident::EpochNumber,
    /// Whether the upstream of the member is announced.
    pub has_upstream: bool,
    /// Whether the member is draining in order to leave.
    pub draining: bool,
    /// Guards of the member's newest lease that don't respond.
    pub silent_guards: Vec<ident::IncarnationId>,
    /// Loads of the slices that it owns.
    pub loads: Vec<SliceLoad>,
    /// Most used keys of those slices.
    pub hot_keys: Vec<HotKey>,
}

/// Input of one call of the planner.
#[derive(Clone, Debug, Default)]
pub struct PlannerInput {
    /// Document in force; `None` before the first one.
    pub current: Option<Arc<assignment::AssignmentDocument>>,
    /// Random number for the next document.
    pub change_id: u64,
    /// Registrations in the store.
    pub registrations: Vec<MemberRegistration>,
    /// Newest report of each member; a report that was seen before is recognised by its age.
    pub reports: Vec<MemberReport>,
    /// Members that are lost according to liveness.
    pub lost: Vec<ident::IncarnationId>,
    /// Leases that are known to have ended: their expiry was vouched for, or they were released,
    /// refused by a fence, or retired.
    pub expired: Vec<ident::LeaseId>,
    /// Leases that an operator declared dead.
    pub retired: Vec<ident::LeaseId>,
    /// Class configuration in force.
    pub classes: class::ClassDocument,
}
