//! State of the machine for dumps.

use std::sync::Arc;

use cornelridge_model::{ident, key, time};

/// One guard of an own lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardReport {
    /// The guard.
    pub guard: ident::IncarnationId,
    /// Time since the sending of the latest renewal that it acknowledged.
    pub acknowledgement_age: Option<time::Duration>,
    /// Whether it refuses to renew.
    pub refused: bool,
}

/// One own lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// Whether it is held.
    pub held: bool,
    /// Whether it is lost or given up for good.
    pub ended: bool,
    /// End of the lease if no further renewal is acknowledged.
    pub valid_until: Option<time::Instant>,
    /// Its guards.
    pub guards: Vec<GuardReport>,
}

/// One lease that this node guards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuardedLeaseReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// Active time of this process since the latest renewal.
    pub silence: time::Duration,
    /// Whether this node has vouched that it expired.
    pub vouched: bool,
}

/// One lease that is known to have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryReport {
    /// The lease.
    pub lease: ident::LeaseId,
    /// When this node learnt of it.
    pub known_at: time::Instant,
}

/// One slice that this node is to serve once others have confirmed or expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledReport {
    /// Class of the slice.
    pub class: Arc<str>,
    /// First hash of the slice.
    pub start: key::KeyHash,
    /// Epoch in which its chain began.
    pub since: ident::EpochNumber,
    /// Leases that are waited for.
    pub waiting_for: Vec<ident::LeaseId>,
}

/// State of the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipReport {
    /// Epoch of the document in force.
    pub epoch: ident::EpochNumber,
    /// Highest confirmed epoch.
    pub confirmed: ident::EpochNumber,
    /// Own leases.
    pub leases: Vec<LeaseReport>,
    /// Guard duties.
    pub guarded_leases: Vec<GuardedLeaseReport>,
    /// Known expiries.
    pub expired: Vec<ExpiryReport>,
    /// Slices that wait for a settlement.
    pub unsettled: Vec<UnsettledReport>,
    /// Number of slices that this node serves.
    pub serving: usize,
    /// Work in flight.
    pub in_flight: usize,
    /// Work in flight for lost slices; it delays the confirmation.
    pub work_ending: usize,
    /// Whether too few zones are heard for counting silence.
    pub isolated: bool,
}
