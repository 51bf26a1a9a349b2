//! The assignment document: members, leases with their guards, and slices of each class.

use std::net;
use std::sync::Arc;

use derive_more::Display;
use thiserror::Error;

use crate::ident;
use crate::key;

/// Maximum number of members in a region.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of slices of a class in a region.
pub const MAX_SLICES: usize = 65_536;
/// Maximum number of leases in a chain.
pub const MAX_CHAIN_LENGTH: usize = 3;

/// Index of a member in its document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey(pub u16);

/// Index of a lease in its document.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseKey(pub u16);

/// Index of a slice in its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceKey {
    /// Index of the class.
    pub class: u16,
    /// Index of the slice in the class.
    pub slice: u32,
}

/// State of a member; determines what the planner may assign to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// May own slices and guard leases.
    Active,
    /// Keeps serving while its slices are moved to other members.
    Draining,
    /// Listed only because a lease or an unsettled move still refers to it.
    Gone,
}

/// A node of the region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name from the settings of the node.
    pub name: Arc<str>,
    /// Incarnation of the node's process.
    pub incarnation: ident::IncarnationId,
    /// Address for QUIC between nodes.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Class of the node's upstream; empty while no upstream has announced itself.
    pub class: Arc<str>,
    /// State of the member.
    pub state: MemberState,
    /// Whether the node's upstream checks fencing tokens.
    pub checks_fences: bool,
}

/// A lease and the members that acknowledge its renewals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: MemberKey,
    /// Number of the holder's guard set, counted from 1.
    pub generation: u32,
    /// Three or five guards, in different zones if there are enough zones.
    pub guards: Vec<MemberKey>,
    /// Set by an operator who has confirmed that the holder is dead.
    pub retired: bool,
}

/// A range of the hash space that has one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceRecord {
    /// First hash of the slice; it ends before the next slice.
    pub start: key::KeyHash,
    /// Lease of the owner, followed by the leases of the successors in order.
    pub chain: Vec<LeaseKey>,
    /// Epoch in which `chain` began.
    pub since: ident::EpochNumber,
    /// The preceding chain while the move isn't settled; otherwise empty.
    pub previous: Vec<LeaseKey>,
    /// Epoch in which `previous` began; 0 if `previous` is empty.
    pub previous_since: ident::EpochNumber,
}

/// All slices of a class, sorted by start; the first starts at 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassSlices {
    /// Name of the class.
    pub class: Arc<str>,
    /// Epoch in which the class got its first slices.
    pub created: ident::EpochNumber,
    /// The slices.
    pub slices: Vec<SliceRecord>,
}

impl ClassSlices {
    /// Returns whether no earlier chain served `slice`, so that there are no records to fetch.
    pub fn is_first_chain(&self, slice: &SliceRecord) -> bool {
        slice.since == self.created
    }

    /// Returns whether no chain served `slice` before its `previous` chain.
    pub fn was_first_chain(&self, slice: &SliceRecord) -> bool {
        !slice.previous.is_empty() && slice.previous_since == self.created
    }

    /// Returns the index of the slice that contains `hash`.
    pub fn find(&self, hash: key::KeyHash) -> Option<usize> {
        self.slices.partition_point(|slice| slice.start <= hash).checked_sub(1)
    }
}

/// Members, leases and slice owners of one region, in force from one epoch on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignmentDocument {
    /// Version of the document; each accepted change increases it.
    pub epoch: ident::EpochNumber,
    /// Random number of the change that wrote this version.
    pub change_id: u64,
    /// Members, indexed by [`MemberKey`].
    pub members: Vec<MemberRecord>,
    /// Leases, indexed by [`LeaseKey`].
    pub leases: Vec<LeaseRecord>,
    /// Slices by class, sorted by class name.
    pub classes: Vec<ClassSlices>,
}

impl AssignmentDocument {
    /// Returns the member at `key`; `validate` has checked that it exists.
    pub fn member(&self, key: MemberKey) -> &MemberRecord {
        &self.members[usize::from(key.0)]
    }

    /// Returns the lease at `key`; `validate` has checked that it exists.
    pub fn lease(&self, key: LeaseKey) -> &LeaseRecord {
        &self.leases[usize::from(key.0)]
    }

    /// Returns the member that holds the lease at `key`.
    pub fn holder(&self, key: LeaseKey) -> &MemberRecord {
        self.member(self.lease(key).holder)
    }

    /// Returns the identifier of the lease at `key`, which is the same in every epoch.
    pub fn lease_id(&self, key: LeaseKey) -> ident::LeaseId {
        let lease = self.lease(key);
        let incarnation = self.member(lease.holder).incarnation;
        ident::LeaseId { incarnation, generation: lease.generation }
    }

    /// Returns the key of the lease with this identifier.
    pub fn lease_key(&self, id: ident::LeaseId) -> Option<LeaseKey> {
        let is_same = |key: &LeaseKey| self.lease_id(*key) == id;
        (0..self.leases.len() as u16).map(LeaseKey).find(is_same)
    }

    /// Returns the key of the member with this incarnation.
    pub fn member_key(&self, incarnation: ident::IncarnationId) -> Option<MemberKey> {
        let is_same = |member: &MemberRecord| member.incarnation == incarnation;
        self.members.iter().position(is_same).map(|index| MemberKey(index as u16))
    }

    /// Returns the index and the slices of a class.
    pub fn class(&self, name: &str) -> Option<(u16, &ClassSlices)> {
        let index = self.classes.binary_search_by(|slices| (*slices.class).cmp(name)).ok()?;
        Some((index as u16, &self.classes[index]))
    }

    /// Returns the key of the slice that contains `hash` in a class.
    pub fn locate(&self, class: &str, hash: key::KeyHash) -> Option<SliceKey> {
        let (index, slices) = self.class(class)?;
        let slice = slices.find(hash)?;
        Some(SliceKey { class: index, slice: slice as u32 })
    }

    /// Returns the slice at `key`; `validate` has checked that it exists.
    pub fn slice(&self, key: SliceKey) -> &SliceRecord {
        &self.classes[usize::from(key.class)].slices[key.slice as usize]
    }

    /// Checks every index, order and size, so that the accessors can't fail.
    pub fn validate(&self) -> Result<(), AssignmentError> {
        if self.members.len() > MAX_MEMBERS {
            return Err(AssignmentError::TooManyMembers { count: self.members.len() });
        }
        if self.leases.len() > usize::from(u16::MAX) {
            return Err(AssignmentError::TooManyLeases { count: self.leases.len() });
        }
        let members = self.members.len();
        let has_member = |key: &MemberKey| usize::from(key.0) < members;
        for (index, lease) in self.leases.iter().enumerate() {
            if !has_member(&lease.holder) || !lease.guards.iter().all(has_member) {
                return Err(AssignmentError::UnknownMember { lease: index });
            }
        }
        if let Some(pair) = self.classes.windows(2).find(|pair| pair[0].class >= pair[1].class) {
            return Err(AssignmentError::ClassOrder { class: Arc::clone(&pair[1].class) });
        }
        self.classes.iter().try_for_each(|slices| self.validate_slices(slices))
    }

    fn validate_slices(&self, slices: &ClassSlices) -> Result<(), AssignmentError> {
        let class = || Arc::clone(&slices.class);
        if slices.slices.len() > MAX_SLICES {
            return Err(AssignmentError::TooManySlices { class: class() });
        }
        if slices.slices.first().is_none_or(|slice| slice.start != key::KeyHash(0)) {
            return Err(AssignmentError::FirstSlice { class: class() });
        }
        if slices.slices.windows(2).any(|pair| pair[0].start >= pair[1].start) {
            return Err(AssignmentError::SliceOrder { class: class() });
        }
        let is_chain = |chain: &[LeaseKey]| {
            chain.len() <= MAX_CHAIN_LENGTH
                && chain.iter().all(|key| usize::from(key.0) < self.leases.len())
                && chain.iter().enumerate().all(|(index, key)| !chain[..index].contains(key))
        };
        let is_valid = |slice: &SliceRecord| {
            !slice.chain.is_empty()
                && is_chain(&slice.chain)
                && is_chain(&slice.previous)
                && slice.since <= self.epoch
        };
        if slices.slices.iter().all(is_valid) {
            return Ok(());
        }
        Err(AssignmentError::Chain { class: class() })
    }
}

/// Reason why an assignment document is invalid; the last valid document stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AssignmentError {
    /// More members than a document may have.
    #[error("assignment has {count} members, more than 4096: split the region")]
    TooManyMembers {
        /// Number of members.
        count: usize,
    },
    /// More leases than a document may have.
    #[error("assignment has {count} leases, more than 65535: split the region")]
    TooManyLeases {
        /// Number of leases.
        count: usize,
    },
    /// A lease names a member that the document doesn't have.
    #[error("assignment lease {lease} names an unknown member: restore the last good document")]
    UnknownMember {
        /// Index of the lease.
        lease: usize,
    },
    /// The classes aren't sorted, or a class appears twice.
    #[error("assignment class {class} is out of order: restore the last good document")]
    ClassOrder {
        /// The class.
        class: Arc<str>,
    },
    /// More slices than a class may have.
    #[error("assignment class {class} has more than 65536 slices: merge slices")]
    TooManySlices {
        /// The class.
        class: Arc<str>,
    },
    /// The first slice doesn't start at 0.
    #[error("assignment class {class} doesn't start at 0: restore the last good document")]
    FirstSlice {
        /// The class.
        class: Arc<str>,
    },
    /// The slices aren't sorted by start, or two have the same start.
    #[error("assignment class {class} has unsorted slices: restore the last good document")]
    SliceOrder {
        /// The class.
        class: Arc<str>,
    },
    /// A chain is empty, too long, names an unknown lease, or begins in a later epoch.
    #[error("assignment class {class} has an invalid chain: restore the last good document")]
    Chain {
        /// The class.
        class: Arc<str>,
    },
}
