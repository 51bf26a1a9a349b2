//! Identifiers of processes, leases and versions.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One run of a node process: 64 random bits drawn at start.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct IncarnationId(pub u64);

/// One lease of an incarnation; the guards of a generation never change.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation}/{generation}")]
pub struct LeaseId {
    /// The process that holds the lease.
    pub incarnation: IncarnationId,
    /// Counts the guard sets that this incarnation has had, from 1.
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

/// Orders the grants of a slice; an upstream refuses a token that is lower than one it has seen.
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
    /// The epoch in which the chain of the slice began.
    pub since: EpochNumber,
    /// The place of the holder in that chain, from 0.
    pub position: u32,
}
