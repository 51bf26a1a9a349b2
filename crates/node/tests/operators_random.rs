//! Tests of random changes and malformed requests, with fixed seeds.

// clippy.toml allows these in tests, but clippy doesn't count helpers of test files as tests.
#![allow(clippy::unwrap_used, clippy::panic)]

mod fake_admin;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

use cornelridge::operators::{ChangeError, ClassChange, ClassHistory, apply_change};
use cornelridge_model::{class, ident};
use fake_admin::{FakeAdmin, FakeNode, TOKEN, class_named};

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

#[test]
fn random_changes_lose_nothing_that_was_accepted() {
    // Guards against an accepted change that is undone by a later change of another class.
    for seed in SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut document = class::ClassDocument::default();
        let mut history = ClassHistory::default();
        let mut model = BTreeMap::new();
        for step in 0..400 {
            history.record(&document);
            let current = document.revision.0;
            let expected = ident::RevisionNumber(current.saturating_sub(random.u64(0..3)));
            let name = format!("class-{}", random.u8(0..12));
            let is_put = random.bool();
            let target_ms = random.u64(0..220);
            let change = match is_put {
                true => {
                    let class = class::ClassConfig { target_ms, ..class_named(&name) };
                    ClassChange::Put { class, expected }
                }
                false => ClassChange::Delete { name: Arc::from(&*name), expected },
            };
            let is_valid = (1..=200).contains(&target_ms);
            match apply_change(&document, &history, &change, step) {
                Ok(next) => {
                    assert_eq!((expected.0, next.revision.0), (current, current + 1));
                    match is_put {
                        true => {
                            assert!(is_valid);
                            model.insert(name, target_ms);
                        }
                        false => assert!(model.remove(&name).is_some()),
                    }
                    document = next;
                }
                Err(ChangeError::Conflict(conflict)) => {
                    assert!(expected.0 < current);
                    assert_eq!((conflict.expected, conflict.current.0), (expected, current));
                }
                Err(ChangeError::Invalid(_)) => assert!(is_put && !is_valid),
                Err(ChangeError::UnknownClass { .. }) => assert!(!model.contains_key(&name)),
                Err(other) => panic!("seed {seed}: {other}"),
            }
            document.validate().unwrap();
            let classes = document.classes.iter();
            let found = classes.map(|class| (class.name.to_string(), class.target_ms));
            assert!(found.eq(model.clone()), "seed {seed} step {step}");
        }
    }
}

#[test]
fn malformed_requests_neither_panic_nor_leave_an_invalid_document() {
    // Guards against a panic that bytes from the network can reach.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    let body = serde_json::to_string(&class_named("quote-desk")).unwrap();
    let put = format!(
        "PUT /classes/quote-desk?a=%41&b HTTP/1.1\r\nhost: n1\r\nif-match: \"4\"\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let owner = format!(
        "GET /owner?class=quote-desk&key=%C3%B1 HTTP/1.1\r\nhost: n1\r\n\
         authorization: Bearer {TOKEN}\r\n\r\n"
    );
    for seed in SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        for _ in 0..50 {
            let mut bytes = if random.bool() { put.clone() } else { owner.clone() }.into_bytes();
            for _ in 0..random.usize(1..6) {
                let index = random.usize(..bytes.len());
                match random.u8(0..3) {
                    0 => bytes[index] = random.u8(..),
                    1 => drop(bytes.remove(index)),
                    _ => bytes.truncate(index.max(1)),
                }
            }
            let mut stream = TcpStream::connect(node.address).unwrap();
            // The endpoint may close the connection at the first malformed line.
            let _ = stream.write_all(&bytes);
            let _ = stream.shutdown(Shutdown::Write);
            let _ = stream.read_to_end(&mut Vec::new());
        }
    }
    admin.with(|state| state.document.validate()).unwrap();
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.write_all(owner.as_bytes()).unwrap();
    let mut status = [0; 12];
    stream.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}
