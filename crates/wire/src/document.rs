//! Conversion between the assignment document and its encoded form.

use std::sync::Arc;

use cornelridge_model::{assignment, ident, key};
use prost::Message;
use thiserror::Error;

use crate::codec;
use crate::generated;

/// Encodes a document for the store or a peer.
pub fn encode_assignment(
    document: &assignment::AssignmentDocument,
) -> Result<Vec<u8>, DocumentError> {
    let message = generated::Assignment {
        epoch: document.epoch.0,
        change_id: document.change_id,
        members: document.members.iter().map(encode_member).collect(),
        leases: document.leases.iter().map(encode_lease).collect(),
        classes: document.classes.iter().map(encode_class).collect(),
    };
    let bytes = message.encode_to_vec();
    if bytes.len() > codec::MAX_DOCUMENT_FRAME_BYTES {
        return Err(DocumentError::TooLong { length: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes and validates a document, so that its accessors can't fail.
pub fn decode_assignment(bytes: &[u8]) -> Result<assignment::AssignmentDocument, DocumentError> {
    if bytes.len() > codec::MAX_DOCUMENT_FRAME_BYTES {
        return Err(DocumentError::TooLong { length: bytes.len() });
    }
    let message = generated::Assignment::decode(bytes)
        .map_err(|error| DocumentError::Malformed { reason: error.to_string() })?;
    let document = assignment::AssignmentDocument {
        epoch: ident::EpochNumber(message.epoch),
        change_id: message.change_id,
        members: message.members.into_iter().map(decode_member).collect::<Result<_, _>>()?,
        leases: message.leases.iter().map(decode_lease).collect::<Result<_, _>>()?,
        classes: message.classes.into_iter().map(decode_class).collect::<Result<_, _>>()?,
    };
    document.validate()?;
    Ok(document)
}

fn encode_member(member: &assignment::MemberRecord) -> generated::Member {
    generated::Member {
        name: member.name.to_string(),
        incarnation: member.incarnation.0,
        address: member.address.to_string(),
        zone: member.zone.to_string(),
        class: member.class.to_string(),
        state: encode_state(member.state).into(),
        checks_fences: member.checks_fences,
    }
}

fn decode_member(member: generated::Member) -> Result<assignment::MemberRecord, DocumentError> {
    let state = decode_state(member.state)?;
    let address = member
        .address
        .parse()
        .map_err(|_| DocumentError::Address { member: Arc::from(member.name.as_str()) })?;
    Ok(assignment::MemberRecord {
        name: Arc::from(member.name),
        incarnation: ident::IncarnationId(member.incarnation),
        address,
        zone: Arc::from(member.zone),
        class: Arc::from(member.class),
        state,
        checks_fences: member.checks_fences,
    })
}

fn encode_state(state: assignment::MemberState) -> generated::MemberState {
    match state {
        assignment::MemberState::Active => generated::MemberState::MemberActive,
        assignment::MemberState::Draining => generated::MemberState::MemberDraining,
        assignment::MemberState::Gone => generated::MemberState::MemberGone,
    }
}

fn decode_state(state: i32) -> Result<assignment::MemberState, DocumentError> {
    match generated::MemberState::try_from(state) {
        Ok(generated::MemberState::MemberActive) => Ok(assignment::MemberState::Active),
        Ok(generated::MemberState::MemberDraining) => Ok(assignment::MemberState::Draining),
        Ok(generated::MemberState::MemberGone) => Ok(assignment::MemberState::Gone),
        Err(_) => Err(DocumentError::State { state }),
    }
}

fn encode_lease(lease: &assignment::LeaseRecord) -> generated::LeaseEntry {
    generated::LeaseEntry {
        holder: u32::from(lease.holder.0),
        generation: lease.generation,
        guards: lease.guards.iter().map(|guard| u32::from(guard.0)).collect(),
        retired: lease.retired,
    }
}

fn decode_lease(lease: &generated::LeaseEntry) -> Result<assignment::LeaseRecord, DocumentError> {
    let member = |index: &u32| decode_index(*index).map(assignment::MemberKey);
    Ok(assignment::LeaseRecord {
        holder: member(&lease.holder)?,
        generation: lease.generation,
        guards: lease.guards.iter().map(member).collect::<Result<_, _>>()?,
        retired: lease.retired,
    })
}

fn encode_class(class: &assignment::ClassSlices) -> generated::Class {
    generated::Class {
        name: class.class.to_string(),
        created: class.created.0,
        slices: class.slices.iter().map(encode_slice).collect(),
    }
}

fn decode_class(class: generated::Class) -> Result<assignment::ClassSlices, DocumentError> {
    Ok(assignment::ClassSlices {
        class: Arc::from(class.name),
        created: ident::EpochNumber(class.created),
        slices: class.slices.iter().map(decode_slice).collect::<Result<_, _>>()?,
    })
}

fn encode_slice(slice: &assignment::SliceRecord) -> generated::Slice {
    let indices = |chain: &[assignment::LeaseKey]| chain.iter().map(|key| key.0.into()).collect();
    generated::Slice {
        start: slice.start.0,
        chain: indices(&slice.chain),
        since: slice.since.0,
        previous: indices(&slice.previous),
        previous_since: slice.previous_since.0,
    }
}

fn decode_slice(slice: &generated::Slice) -> Result<assignment::SliceRecord, DocumentError> {
    let lease = |index: &u32| decode_index(*index).map(assignment::LeaseKey);
    Ok(assignment::SliceRecord {
        start: key::KeyHash(slice.start),
        chain: slice.chain.iter().map(lease).collect::<Result<_, _>>()?,
        since: ident::EpochNumber(slice.since),
        previous: slice.previous.iter().map(lease).collect::<Result<_, _>>()?,
        previous_since: ident::EpochNumber(slice.previous_since),
    })
}

fn decode_index(index: u32) -> Result<u16, DocumentError> {
    u16::try_from(index).map_err(|_| DocumentError::Index { index })
}

/// An encoded document that can't be used; the last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The encoded document is too long for the store and for one frame.
    #[error("assignment of {length} bytes exceeds 1 MiB: split the region")]
    TooLong {
        /// Length of the encoded document.
        length: usize,
    },
    /// The bytes aren't an assignment message.
    #[error("assignment is malformed ({reason}): restore the last good document")]
    Malformed {
        /// The decoder's reason.
        reason: String,
    },
    /// The address of a member isn't an IP address with a port.
    #[error("assignment has an invalid address for {member}: restore the last good document")]
    Address {
        /// Name of the member.
        member: Arc<str>,
    },
    /// The state of a member isn't known to this version.
    #[error("assignment has member state {state}, unknown to this version: upgrade this node")]
    State {
        /// The number of the state.
        state: i32,
    },
    /// An index exceeds the range of a document.
    #[error("assignment has index {index} out of range: restore the last good document")]
    Index {
        /// The index.
        index: u32,
    },
    /// The parts of the document contradict each other.
    #[error(transparent)]
    Invalid(#[from] assignment::AssignmentError),
}
