//! Encoding of the assignment document: a corrupt value must not be put in force.

use std::sync::Arc;

use cornelridge_model::{assignment, ident, key};
use cornelridge_wire::{document, generated};
use prost::Message;

fn member(name: &str, port: u16) -> assignment::MemberRecord {
    assignment::MemberRecord {
        name: Arc::from(name),
        incarnation: ident::IncarnationId(u64::from(port) << 40),
        address: ([127, 0, 0, 1], port).into(),
        zone: Arc::from("bog-norte"),
        class: Arc::from("quote-desk"),
        state: assignment::MemberState::Draining,
        checks_fences: port.is_multiple_of(2),
    }
}

fn sample() -> assignment::AssignmentDocument {
    let lease = |holder, guards: &[u16]| assignment::LeaseRecord {
        holder: assignment::MemberKey(holder),
        generation: 3,
        guards: guards.iter().copied().map(assignment::MemberKey).collect(),
        retired: holder == 1,
    };
    let slice = |start, chain: &[u16], previous: &[u16]| assignment::SliceRecord {
        start: key::KeyHash(start),
        chain: chain.iter().copied().map(assignment::LeaseKey).collect(),
        since: ident::EpochNumber(8),
        previous: previous.iter().copied().map(assignment::LeaseKey).collect(),
        previous_since: ident::EpochNumber(u64::from(!previous.is_empty())),
    };
    assignment::AssignmentDocument {
        epoch: ident::EpochNumber(9),
        change_id: u64::MAX,
        members: vec![member("a", 4_000), member("b", 4_001), member("c", 4_002)],
        leases: vec![lease(0, &[1, 2]), lease(1, &[0, 2]), lease(2, &[0, 1])],
        classes: vec![assignment::ClassSlices {
            class: Arc::from("quote-desk"),
            created: ident::EpochNumber(1),
            slices: vec![slice(0, &[0, 1, 2], &[]), slice(1 << 63, &[2, 0], &[1])],
        }],
    }
}

/// Every field must be preserved by encoding and decoding.
#[test]
fn a_document_survives_encoding() {
    let bytes = document::encode_assignment(&sample()).unwrap();
    assert_eq!(document::decode_assignment(&bytes).unwrap(), sample());
}

/// A damaged value must give an error or a document that passes validation, never a panic.
#[test]
fn damaged_documents_do_not_panic() {
    let bytes = document::encode_assignment(&sample()).unwrap();
    for seed in [1, 7, 42, 4711] {
        arbtest::arbtest(|u| {
            let mut damaged = bytes.clone();
            damaged.truncate(u.int_in_range(0..=bytes.len())?);
            for _ in 0..u.int_in_range(1..=4)? {
                if !damaged.is_empty() {
                    let at = u.choose_index(damaged.len())?;
                    damaged[at] = u.arbitrary()?;
                }
            }
            if let Ok(document) = document::decode_assignment(&damaged) {
                assert_eq!(document.validate(), Ok(()));
            }
            Ok(())
        })
        .seed(seed);
    }
}

/// Each kind of damage must give its own error, so that operators can see what to restore.
#[test]
fn damage_is_named() {
    let decode = |change: fn(&mut generated::Assignment)| {
        let bytes = document::encode_assignment(&sample()).unwrap();
        let mut message = generated::Assignment::decode(bytes.as_slice()).unwrap();
        change(&mut message);
        document::decode_assignment(&message.encode_to_vec()).unwrap_err()
    };
    let error = decode(|message| message.members[0].address = "host.example:1".to_owned());
    assert!(matches!(error, document::DocumentError::Address { .. }), "{error}");
    let error = decode(|message| message.members[0].state = 77);
    assert!(matches!(error, document::DocumentError::State { state: 77 }), "{error}");
    let error = decode(|message| message.leases[0].holder = 65_536);
    assert!(matches!(error, document::DocumentError::Index { index: 65_536 }), "{error}");
    let error = decode(|message| message.leases[0].guards.push(3));
    assert!(matches!(error, document::DocumentError::Invalid(_)), "{error}");
    let error = decode(|message| message.classes[0].slices[0].chain.clear());
    assert!(matches!(error, document::DocumentError::Invalid(_)), "{error}");
    let error = document::decode_assignment(&[0xff; 40]).unwrap_err();
    assert!(matches!(error, document::DocumentError::Malformed { .. }), "{error}");
    let error = document::decode_assignment(&vec![0; 1_048_577]).unwrap_err();
    assert!(matches!(error, document::DocumentError::TooLong { .. }), "{error}");
}
