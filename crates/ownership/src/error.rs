//! Validation of assignment documents.

use std::collections::{BTreeMap, BTreeSet};

use cornelridge_model::{assignment, ident};
use thiserror::Error;

/// Maximum number of guards of a lease.
const MAX_GUARDS: usize = 5;

/// Why a document isn't adopted; the previous one stays in force.
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
    /// The document is inconsistent.
    #[error(transparent)]
    Invalid(#[from] assignment::AssignmentError),
    /// Two members or two leases have the same identity.
    #[error("assignment names {name} twice: restore the last good document")]
    Duplicate {
        /// The member or lease.
        name: String,
    },
    /// A lease has no guard, one guard twice, or more than five.
    #[error("lease {lease} needs one to five different guards: give it a new generation")]
    InvalidGuardSet {
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

/// Checks the consistency of a document, by itself and with the one in force.
pub(crate) fn validate(
    known: &assignment::AssignmentDocument,
    offered: &assignment::AssignmentDocument,
) -> Result<(), AdoptError> {
    if offered.epoch <= known.epoch {
        return Err(AdoptError::NotNewer { known: known.epoch, offered: offered.epoch });
    }
    offered.validate()?;
    let mut members = BTreeSet::new();
    if let Some(member) = offered.members.iter().find(|member| !members.insert(member.incarnation))
    {
        return Err(AdoptError::Duplicate { name: member.incarnation.to_string() });
    }
    let known_guards = guard_sets(known);
    let mut leases = BTreeSet::new();
    for (lease, guards) in lease_guards(offered) {
        if !leases.insert(lease) {
            return Err(AdoptError::Duplicate { name: lease.to_string() });
        }
        let distinct: BTreeSet<_> = guards.iter().copied().collect();
        if distinct.len() != guards.len() || guards.is_empty() || guards.len() > MAX_GUARDS {
            return Err(AdoptError::InvalidGuardSet { lease });
        }
        if known_guards.get(&lease).is_some_and(|guards| *guards != distinct) {
            return Err(AdoptError::GuardsChanged { lease });
        }
    }
    Ok(())
}

type GuardSets = BTreeMap<ident::LeaseId, BTreeSet<ident::IncarnationId>>;

fn guard_sets(document: &assignment::AssignmentDocument) -> GuardSets {
    lease_guards(document).map(|(lease, guards)| (lease, guards.into_iter().collect())).collect()
}

fn lease_guards(
    document: &assignment::AssignmentDocument,
) -> impl Iterator<Item = (ident::LeaseId, Vec<ident::IncarnationId>)> {
    (0..document.leases.len() as u16).map(assignment::LeaseKey).map(|key| {
        let guards = document.lease(key).guards.iter();
        let guards = guards.map(|guard| document.member(*guard).incarnation).collect();
        (document.lease_id(key), guards)
    })
}
