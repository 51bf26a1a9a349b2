//! State of the machine for dumps.

use std::sync::Arc;

use cornelridge_model::{ident, key, time};

/// One guard of a lease of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardReport {
    /// The guard.
    pub guard: ident::IncarnationId,
    /// Time since the sending of the latest renewal that it acknowledged.
    pub acknowledgement_age: Option<time::Duration>,
    /// Whether the guard refuses renewals.
    pub refused: bool,
}

/// One lease of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// Whether the lease is held.
    pub held: bool,
    /// Whether the lease is lost or given up for good.
    pub ended: bool,
    /// End of the lease if no further renewal is acknowledged.
    pub valid_until: Option<time::Instant>,
    /// Guards of the lease.
    pub guards: Vec<GuardReport>,
}

/// One lease that this node guards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardedLeaseReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// Active time of this process since the latest renewal.
    pub silence: time::Duration,
    /// Whether this node has vouched that the lease expired.
    pub vouched: bool,
}

/// One lease that is known to have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// Time at which this node learnt of the expiry.
    pub known_at: time::Instant,
}

/// One slice that this node is to serve once others have confirmed or expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledReport {
    /// Class of the slice.
    pub class: Arc<str>,
    /// First hash of the slice.
    pub start: key::KeyHash,
    /// Epoch in which the chain of the slice began.
    pub since: ident::EpochNumber,
    /// Leases that have neither confirmed nor expired.
    pub waiting_for: Vec<ident::LeaseId>,
}

/// State of the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipReport {
    /// Epoch of the document in force.
    pub epoch: ident::EpochNumber,
    /// Highest confirmed epoch.
    pub confirmed: ident::EpochNumber,
    /// Leases of this node.
    pub leases: Vec<LeaseReport>,
    /// Leases that this node guards.
    pub guarded_leases: Vec<GuardedLeaseReport>,
    /// Leases that are known to have expired.
    pub expired: Vec<ExpiryReport>,
    /// Slices whose move is unsettled.
    pub unsettled: Vec<UnsettledReport>,
    /// Number of slices that this node serves.
    pub serving: usize,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Number of requests in flight for lost slices, which delay the confirmation.
    pub work_ending: usize,
    /// Whether too few zones are heard to count silence.
    pub isolated: bool,
}
