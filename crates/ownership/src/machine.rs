//! The facade that the node process drives.

use std::sync::Arc;

use cornelridge_model::{assignment, ident, key, time};

use crate::action;
use crate::error;
use crate::message;
use crate::report;

/// Decides which slices this process may serve.
#[derive(Debug)]
pub struct OwnershipMachine {
    #[allow(dead_code)]
    own: ident::IncarnationId,
}

#[allow(unused_variables, clippy::needless_pass_by_value, dead_code)]
impl OwnershipMachine {
    /// A machine without a document for one run of a process.
    pub fn new(incarnation: ident::IncarnationId) -> OwnershipMachine {
        OwnershipMachine { own: incarnation }
    }

    /// Puts a document of a higher epoch in force.
    pub fn adopt(
        &mut self,
        now: time::Instant,
        document: Arc<assignment::AssignmentDocument>,
    ) -> Result<Vec<action::OwnershipAction>, error::AdoptError> {
        Ok(Vec::new())
    }

    /// Advances timers; call it every 20 to 50 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<action::OwnershipAction> {
        Vec::new()
    }

    /// Handles a datagram from a peer. Read `now` after the datagram was received: a guard counts
    /// from receipt, and an older time would let it vouch too early.
    pub fn receive(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        message: message::OwnershipMessage,
    ) -> Vec<action::OwnershipAction> {
        Vec::new()
    }

    /// Notes a response of a peer to a message of this node, such as a `ProbeAck`. Messages that a
    /// peer sends by itself don't count: they don't show that it receives anything.
    pub fn peer_heard(
        &mut self,
        now: time::Instant,
        peer: ident::IncarnationId,
    ) -> Vec<action::OwnershipAction> {
        Vec::new()
    }

    /// Where to send a request: the best guess of the server, then the other members of the chain
    /// except those known to have expired.
    pub fn route(&self, slice: assignment::SliceKey) -> Vec<ident::IncarnationId> {
        Vec::new()
    }

    /// Whether this node may serve a slice of the document in force.
    pub fn grant(&self, now: time::Instant, slice: assignment::SliceKey) -> action::GrantDecision {
        action::GrantDecision::NotOwner { holder: None }
    }

    /// Counts a request for any key of a slice as in flight.
    pub fn begin(
        &mut self,
        now: time::Instant,
        slice: assignment::SliceKey,
    ) -> Result<action::WorkTicket, action::GrantDecision> {
        Err(self.grant(now, slice))
    }

    /// Counts a request for one key as in flight, so that a later split of its slice affects the
    /// request only if its own key is moved. Prefer it to `begin`.
    pub fn begin_key(
        &mut self,
        now: time::Instant,
        class: &str,
        hash: key::KeyHash,
    ) -> Result<action::WorkTicket, action::GrantDecision> {
        Err(action::GrantDecision::NotOwner { holder: None })
    }

    /// Ends a piece of work. The confirmation of an epoch waits for it.
    pub fn end(&mut self, ticket: action::WorkTicket) {}

    /// Whether work may be dispatched now, or its response be passed on now.
    pub fn check(&self, now: time::Instant, ticket: &action::WorkTicket) -> bool {
        false
    }

    /// Gives up all leases for good. Work in flight is cancelled, and peers are told when it has
    /// ended. A later document may name a new generation: call again if it must not be used.
    pub fn release(&mut self, now: time::Instant) -> Vec<action::OwnershipAction> {
        Vec::new()
    }

    /// Notes that an upstream, asked directly, now refuses every fence of `lease` below the fence
    /// of this node for a slice. The evidence holds for this slice and this chain only.
    pub fn fence_refused(
        &mut self,
        now: time::Instant,
        slice: assignment::SliceKey,
        lease: ident::LeaseId,
    ) -> Vec<action::OwnershipAction> {
        Vec::new()
    }

    /// The highest epoch that this process has confirmed.
    pub fn confirmed_epoch(&self) -> ident::EpochNumber {
        ident::EpochNumber(0)
    }

    /// State for dumps.
    pub fn state(&self) -> report::OwnershipReport {
        report::OwnershipReport::default()
    }

    /// Checks the invariants of the machine; names the first that doesn't hold.
    pub fn verify(&self, now: time::Instant) -> Result<(), &'static str> {
        Ok(())
    }
}
