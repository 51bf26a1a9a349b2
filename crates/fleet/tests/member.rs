//! Members of a deployment in their order.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::member::{MemberDirectory, MemberEntry, MemberState};

fn entry(node: &str, state: MemberState) -> MemberEntry {
    MemberEntry {
        node: Arc::from(node),
        run: 1,
        zone: Arc::from("zone"),
        peer: ([10, 0, 0, 1], 80).into(),
        pin: Arc::from("pin"),
        state,
        worker: None,
    }
}

/// Guards against planning and polling at every node, whose cost grows with the square of the
/// number of nodes: only the first serving members do.
#[test]
fn only_the_first_serving_members_have_duties() {
    let mut directory = MemberDirectory::default();
    directory.set(entry("a", MemberState::Leaving), 1);
    for (node, revision) in [("b", 2), ("c", 3), ("d", 4)] {
        directory.set(entry(node, MemberState::Serving), revision);
    }
    assert!(!directory.is_among_first("a", 2), "a leaving member has no duties");
    assert!(directory.is_among_first("b", 2) && directory.is_among_first("c", 2));
    assert!(!directory.is_among_first("d", 2));
    assert!(!directory.is_among_first("e", 9), "unknown");
}
