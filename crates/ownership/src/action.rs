//! What the machine asks its node to do, and its answers on the request path.

use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::message;

/// Identifies one piece of in-flight work within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// Why work has to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelReason {
    /// The slice was moved away and the bound for finishing its work has passed.
    MoveBound,
    /// The lease under which the work started isn't held any more.
    LeaseLost,
}

/// Something the node has to do, or has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Send a datagram to a member of the region.
    Send {
        /// The recipient.
        to: ident::IncarnationId,
        /// The datagram.
        message: message::OwnershipMessage,
    },
    /// A peer has a newer document; fetch it from there.
    FetchDocument {
        /// The peer.
        from: ident::IncarnationId,
        /// Its epoch.
        epoch: ident::EpochNumber,
    },
    /// Cancel this work now, report its outcome accurately, then call `end`.
    CancelWork {
        /// The work, as in its ticket.
        work: WorkId,
        /// Class of the slice.
        class: Arc<str>,
        /// First hash of the slice or key.
        start: key::KeyHash,
        /// Why.
        reason: CancelReason,
    },
    /// A majority of guards acknowledged the lease.
    LeaseGained {
        /// The lease.
        lease: ident::LeaseId,
    },
    /// The lease isn't held any more.
    LeaseLost {
        /// The lease.
        lease: ident::LeaseId,
        /// Whether it can never be held again; otherwise a late renewal may restore it.
        permanent: bool,
    },
    /// This node serves a slice from now on.
    StartedServing {
        /// Class of the slice.
        class: Arc<str>,
        /// First hash of the slice.
        start: key::KeyHash,
        /// The lease.
        lease: ident::LeaseId,
        /// Token for the upstream.
        fence: ident::FenceToken,
    },
    /// This node doesn't serve a slice any more.
    StoppedServing {
        /// Class of the slice.
        class: Arc<str>,
        /// First hash of the slice.
        start: key::KeyHash,
    },
}

/// Whether this node may serve a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDecision {
    /// It may, until the lease ends.
    Granted {
        /// The lease.
        lease: ident::LeaseId,
        /// Token for the upstream.
        fence: ident::FenceToken,
        /// End of the lease if no further renewal is acknowledged.
        valid_until: time::Instant,
    },
    /// It is to serve, but its lease or the settlement of a move is pending.
    Wait,
    /// Another node is to serve.
    NotOwner {
        /// The best guess of that node.
        holder: Option<ident::IncarnationId>,
    },
}

/// Counts one request as in-flight work until it is passed to `end`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "work counts as in flight until its ticket is passed to `end`"]
pub struct WorkTicket {
    /// Identifies the work in `CancelWork`.
    pub work: WorkId,
    /// The lease.
    pub lease: ident::LeaseId,
    /// Token for the upstream.
    pub fence: ident::FenceToken,
    /// End of the lease when the work began; `check` knows later renewals.
    pub valid_until: time::Instant,
}
