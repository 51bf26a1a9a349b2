//! Actions that the state machine requests of its node, and its decisions on the request path.

use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::message;

/// Identifies one piece of in-flight work within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// Why work has to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelReason {
    /// The slice was moved to another node and `CANCEL_TIMEOUT` has passed.
    MoveBound,
    /// The lease under which the work started is no longer held.
    LeaseLost,
}

/// An action for the node to carry out, or a change that it has to know about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Send a datagram to a member of the region.
    Send {
        /// The recipient.
        to: ident::IncarnationId,
        /// The datagram.
        message: message::OwnershipMessage,
    },
    /// Fetch a newer document from a peer.
    FetchDocument {
        /// The peer.
        from: ident::IncarnationId,
        /// Epoch of the document.
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
        /// Reason for the cancellation.
        reason: CancelReason,
    },
    /// A majority of guards acknowledged the lease.
    LeaseGained {
        /// The lease.
        lease: ident::LeaseId,
    },
    /// The lease is no longer held.
    LeaseLost {
        /// The lease.
        lease: ident::LeaseId,
        /// Whether the lease can never be held again; otherwise a late renewal may restore it.
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
    /// This node no longer serves a slice.
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
    /// This node may serve until the lease ends.
    Granted {
        /// The lease.
        lease: ident::LeaseId,
        /// Token for the upstream.
        fence: ident::FenceToken,
        /// End of the lease if no further renewal is acknowledged.
        valid_until: time::Instant,
    },
    /// This node is to serve, but its lease or the settlement of a move is pending.
    Wait,
    /// Another node is to serve.
    NotOwner {
        /// The node that probably serves the slice, if known.
        holder: Option<ident::IncarnationId>,
    },
}

/// Marks one request as in-flight work until the ticket is passed to `end`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "work counts as in flight until its ticket is passed to `end`"]
pub struct WorkTicket {
    /// Identifies the work in `CancelWork`.
    pub work: WorkId,
    /// The lease.
    pub lease: ident::LeaseId,
    /// Token for the upstream.
    pub fence: ident::FenceToken,
    /// End of the lease as known when the work began; `check` and `lease_end` include later
    /// renewals.
    pub valid_until: time::Instant,
}
