//! Reasons to refuse a document.

use cornelridge_model::{assignment, ident};
use thiserror::Error;

/// A document that isn't adopted; the one before stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdoptError {
    /// A newer document, or this one, is in force.
    #[error("assignment epoch {offered} isn't above epoch {known}: fetch the newest document")]
    NotNewer {
        /// Epoch in force.
        known: ident::EpochNumber,
        /// Epoch of the document.
        offered: ident::EpochNumber,
    },
    /// The document contradicts itself.
    #[error(transparent)]
    Invalid(#[from] assignment::AssignmentError),
    /// Two members or two leases have one identity.
    #[error("assignment names {name} twice: restore the last good document")]
    Duplicate {
        /// The member or lease.
        name: String,
    },
    /// A lease has no guard, one guard twice, or more than five.
    #[error("lease {lease} needs one to five different guards: give it a new generation")]
    GuardSet {
        /// The lease.
        lease: ident::LeaseId,
    },
    /// The guards of a known lease were changed.
    #[error("guards of lease {lease} were changed: give the holder a new generation instead")]
    GuardsChanged {
        /// The lease.
        lease: ident::LeaseId,
    },
}
