//! Control messages between the ownership machines of different nodes.

use cornelridge_model::ident;

/// A datagram; it may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipMessage {
    /// The holder asks a guard to acknowledge its lease.
    Renew {
        /// The lease.
        lease: ident::LeaseId,
        /// Sequence number of the renewal, increasing within a lease.
        sequence: u64,
        /// Epoch of the sender's document.
        epoch: ident::EpochNumber,
    },
    /// The guard received a renewal.
    RenewAck {
        /// The lease.
        lease: ident::LeaseId,
        /// Sequence number of the renewal.
        sequence: u64,
        /// Epoch of the sender's document.
        epoch: ident::EpochNumber,
    },
    /// The guard never acknowledges this lease again.
    RenewRefused {
        /// The lease.
        lease: ident::LeaseId,
        /// Epoch of the sender's document.
        epoch: ident::EpochNumber,
    },
    /// Asks for evidence that a lease has expired.
    VouchQuery {
        /// The lease.
        lease: ident::LeaseId,
    },
    /// These guards vouched that a lease has expired; the sender may be a relay.
    Vouch {
        /// The lease.
        lease: ident::LeaseId,
        /// The guards.
        guards: Vec<ident::IncarnationId>,
    },
    /// Asks whether a member has confirmed an epoch.
    ConfirmQuery {
        /// The epoch.
        epoch: ident::EpochNumber,
        /// The member; the recipient may be a relay.
        member: ident::IncarnationId,
    },
    /// A member has confirmed an epoch; the sender may be a relay.
    Confirm {
        /// The member.
        member: ident::IncarnationId,
        /// The highest epoch that the member is known to have confirmed.
        epoch: ident::EpochNumber,
    },
    /// The holder gave the lease up for good; the sender may be a relay.
    Released {
        /// The lease.
        lease: ident::LeaseId,
    },
}
