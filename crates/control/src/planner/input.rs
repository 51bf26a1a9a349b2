//! What the planner knows when it computes the next document.

use std::net;
use std::sync::Arc;

use cornelridge_model::{assignment, class, ident, key, time};

/// Registration of a node in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRegistration {
    /// Name from the settings of the node.
    pub name: Arc<str>,
    /// The run of the process.
    pub incarnation: ident::IncarnationId,
    /// Address for QUIC between nodes.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Class of the upstream beside the node; empty while none has announced itself.
    pub class: Arc<str>,
    /// Whether its upstream checks fences.
    pub checks_fences: bool,
}

/// Load of one slice, as its owner measured it.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceLoad {
    /// Class of the slice.
    pub class: Arc<str>,
    /// Start of the slice.
    pub start: key::KeyHash,
    /// Requests a second.
    pub rate: f64,
}

/// A key that its owner found among the most used ones.
#[derive(Clone, Debug, PartialEq)]
pub struct HotKey {
    /// Class of the key.
    pub class: Arc<str>,
    /// Hash of the key.
    pub hash: key::KeyHash,
    /// Requests a second.
    pub rate: f64,
}

/// The newest answer of one member to a status query.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// The member.
    pub incarnation: ident::IncarnationId,
    /// Time since the report arrived.
    pub age: time::Duration,
    /// Epoch by which the member works.
    pub epoch: ident::EpochNumber,
    /// Epoch up to which the member has ended its work for slices that it lost.
    pub confirmed_epoch: ident::EpochNumber,
    /// Whether its upstream is announced.
    pub has_upstream: bool,
    /// Whether the member wants to leave.
    pub draining: bool,
    /// Guards of its newest lease that don't answer.
    pub silent_guards: Vec<ident::IncarnationId>,
    /// Loads of the slices that it owns.
    pub loads: Vec<SliceLoad>,
    /// Its most used keys.
    pub hot_keys: Vec<HotKey>,
}

/// Everything that one call of the planner looks at.
#[derive(Clone, Debug, Default)]
pub struct PlannerInput {
    /// The document in force; absent before the first one.
    pub current: Option<Arc<assignment::AssignmentDocument>>,
    /// Random number for the next document.
    pub change_id: u64,
    /// Registrations in the store.
    pub registrations: Vec<MemberRegistration>,
    /// The newest report of each member; one that was seen before is recognised by its age.
    pub reports: Vec<MemberReport>,
    /// Members that liveness holds lost.
    pub lost: Vec<ident::IncarnationId>,
    /// Leases known as expired: vouched for, released, refused by a fence, or retired.
    pub expired: Vec<ident::LeaseId>,
    /// Leases that an operator declared dead.
    pub retired: Vec<ident::LeaseId>,
    /// The class configuration in force.
    pub classes: class::ClassDocument,
}
