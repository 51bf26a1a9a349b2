//! Class configuration over real sockets: changes by operators, store faults and invalid documents.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::class::ClassDocument;
use cornelridge_model::ident::RevisionNumber;
use cornelridge_standin::mesh::{Mesh, OPERATOR_TOKEN};
use cornelridge_standin::store::StoreOutage;
use futures_lite::future;
use http_body_util::Full;
use support::{KEYED, Reply};

/// Changes the deadline of the class as an operator, through one node.
async fn change_deadline(mesh: &Mesh, host: usize, expected: u64, deadline_ms: u64) -> Reply {
    let mut class = mesh.deployment.classes[0].config.clone();
    class.deadline_ms = deadline_ms;
    let request = http::Request::put(format!("/classes/{KEYED}"))
        .header("host", "standin")
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .header("content-type", "application/json")
        .header("if-match", format!("\"{expected}\""))
        .body(Full::new(Bytes::from(serde_json::to_vec(&class).unwrap())))
        .unwrap();
    let target = mesh.hosts[host].node.as_ref().unwrap().operator_address;
    support::call(target, request).await.unwrap()
}

/// Waits until a revision is in force at each node; panics if the revision of a node decreases.
async fn wait_until_in_force(mesh: &Mesh, revision: u64) {
    let mut seen: HashMap<Arc<str>, RevisionNumber> = HashMap::new();
    let all_in_force = || {
        let versions = mesh.nodes().map(|node| (Arc::clone(node.name()), node.versions().1));
        let mut is_in_force = true;
        for (name, current) in versions.collect::<Vec<_>>() {
            let before = seen.insert(Arc::clone(&name), current);
            assert!(
                before.is_none_or(|before| before <= current),
                "{name}: {current} after {before:?}"
            );
            is_in_force &= current == RevisionNumber(revision);
        }
        is_in_force
    };
    support::wait_until("the revision is in force at every node", all_in_force).await;
}

fn class_document(mesh: &Mesh, revision: u64) -> Bytes {
    let classes = mesh.deployment.class_document();
    let revision = RevisionNumber(revision);
    let class_document = ClassDocument { revision, change_id: revision.0 + 100, ..classes };
    Bytes::from(serde_json::to_vec(&class_document).unwrap())
}

/// Guards against a lost update: a change that silently overwrites the one that another operator
/// made at the same time.
#[test]
fn one_of_two_concurrent_operators_gets_a_conflict() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let (first, second) =
            future::zip(change_deadline(&mesh, 0, 1, 7_000), change_deadline(&mesh, 1, 1, 8_000))
                .await;
        let (won, lost) = if first.status == 200 { (first, second) } else { (second, first) };
        assert_eq!((won.status, lost.status), (200, 409), "{won:?} {lost:?}");
        assert_eq!(lost.error(), "revision-conflict", "{lost:?}");
        let text = lost.json().to_string();
        assert!(
            text.contains("deadline_ms"),
            "the conflict doesn't name the changed field: {text}"
        );
        assert!(!lost.json()["remedy"].as_str().unwrap().is_empty(), "{text}");
        wait_until_in_force(&mesh, 2).await;
    });
}

/// Guards against reporting a change as failed when the store has applied the write but its
/// response was lost.
#[test]
fn a_lost_answer_of_the_store_is_read_back() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        mesh.store.drop_responses(3);
        let reply = change_deadline(&mesh, 0, 1, 7_000).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        wait_until_in_force(&mesh, 2).await;
    });
}

/// Guards against accepting a change, or failing requests, while the store is down.
#[test]
fn a_store_outage_stops_changes_only() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        mesh.store.set_outage(StoreOutage::Down).unwrap();
        let reply = change_deadline(&mesh, 0, 1, 7_000).await;
        assert_eq!((reply.status, &*reply.error()), (503, "store-unavailable"), "{reply:?}");
        support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
        wait_until_in_force(&mesh, 1).await;
        mesh.store.set_outage(StoreOutage::None).unwrap();
        let reply = change_deadline(&mesh, 1, 1, 8_000).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        wait_until_in_force(&mesh, 2).await;
    });
}

/// Guards against an invalid document in the store that takes effect, crashes a node or blocks
/// later valid documents, and against a revision that decreases.
#[test]
fn bad_values_in_the_store_are_rejected() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let too_large = Bytes::from(vec![b' '; 2_000_000]);
        let invalid_values = [Bytes::from_static(b"{\"revision\":"), too_large, Bytes::new()];
        for (value, next) in invalid_values.into_iter().zip(2..) {
            mesh.store.overwrite("classes", value);
            support::wait_until_keys_answered(&mesh, KEYED, next * 1_000_000).await;
            mesh.store.overwrite("classes", class_document(&mesh, next));
            wait_until_in_force(&mesh, next).await;
        }
        mesh.store.overwrite("classes", class_document(&mesh, 2));
        support::wait_until_keys_answered(&mesh, KEYED, 9_000_000).await;
        mesh.store.overwrite("classes", class_document(&mesh, 9));
        wait_until_in_force(&mesh, 9).await;
    });
}
