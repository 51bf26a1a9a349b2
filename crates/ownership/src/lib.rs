//! Leases with guards, takeover and settlement of slice moves.
//!
//! Pure state machines: the caller passes in the time and the datagrams, and carries out the
//! returned actions.
//!
//! ```
//! use cornelridge_model::{assignment, ident, time};
//! use cornelridge_ownership::{GrantDecision, OwnershipMachine};
//!
//! let machine = OwnershipMachine::new(ident::IncarnationId(7));
//! let slice = assignment::SliceKey { class: 0, slice: 0 };
//! let decision = machine.grant(time::Instant(0), slice);
//! assert_eq!(decision, GrantDecision::NotOwner { holder: None });
//! ```

mod action;
mod active_clock;
mod contact;
mod error;
mod expiry;
mod guard;
mod holder;
mod machine;
mod message;
mod protocol;
mod reconcile;
mod report;
mod slices;
pub mod timing;
mod work;

pub use crate::action::{CancelReason, GrantDecision, OwnershipAction, WorkId, WorkTicket};
pub use crate::error::AdoptError;
pub use crate::expiry::ExpiryTracker;
pub use crate::guard::GuardedLease;
pub use crate::holder::{GuardContact, LeaseHolder};
pub use crate::machine::OwnershipMachine;
pub use crate::message::OwnershipMessage;
pub use crate::report::{
    ExpiryReport, GuardReport, GuardedLeaseReport, LeaseReport, OwnershipReport, UnsettledReport,
};
pub use crate::slices::{SliceOwnership, SliceRole};
