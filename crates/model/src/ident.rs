//! Identifiers of processes, leases and versions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies one run of a node process: 64 random bits, generated at startup.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct IncarnationId(pub u64);

/// Identifies a lease of an incarnation; the guards of a generation never change.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation}/{generation}")]
pub struct LeaseId {
    /// Incarnation of the process that holds the lease.
    pub incarnation: IncarnationId,
    /// Number of the incarnation's guard set, counted from 1.
    pub generation: u32,
}

/// Version of a region's assignment document; 0 means that none is known.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct EpochNumber(pub u64);

/// Version of the class configuration; 0 means that none is known.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct RevisionNumber(pub u64);

/// Fencing token that orders the grants of a slice. An upstream refuses a token that is lower than
/// one it has seen.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{since}.{position}")]
pub struct FenceToken {
    /// Epoch in which the chain of the slice began.
    pub since: EpochNumber,
    /// Position of the holder in that chain, counted from 0.
    pub position: u32,
}
