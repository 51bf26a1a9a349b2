//! Members whose entry in the store has ended.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::lapse::LapsedEntries;
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(1_000_000);

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn lapsed() -> LapsedEntries<u8> {
    let mut entries = LapsedEntries::default();
    entries.insert(START, Arc::from("node"), Arc::new(7));
    entries
}

/// Guards against the use of lost nodes: only frames that arrive after the end of the entry count.
#[test]
fn a_node_is_reachable_while_frames_arrive() {
    let mut entries = lapsed();
    assert!(!entries.record_frames(at(0), "node", Some(40)));
    assert_eq!(entries.reachable(at(0), "node"), None);
    assert!(entries.record_frames(at(250), "node", Some(41)));
    assert_eq!(entries.reachable(at(250), "node"), Some(&Arc::new(7)));
    assert!(!entries.record_frames(at(500), "node", Some(41)));
    assert!(entries.reachable(at(1_150), "node").is_some());
    assert_eq!(entries.reachable(at(1_151), "node"), None, "silent for too long");
    assert!(entries.record_frames(at(1_250), "node", Some(42)));
    assert!(entries.record_frames(at(1_500), "node", None), "its connection was lost");
    assert_eq!(entries.reachable(at(1_500), "node"), None);
    assert!(!entries.record_frames(at(1_750), "node", Some(1)), "a new connection");
}

/// Guards against memory that grows with each lost node, and against forgetting one that answers.
#[test]
fn lost_nodes_are_forgotten() {
    let mut entries = lapsed();
    entries.insert(START, Arc::from("lost"), Arc::new(8));
    (0..40_u64).for_each(|count| {
        entries.record_frames(at(count * 250), "node", Some(count));
        entries.record_frames(at(count * 250), "lost", Some(5));
        entries.remove_lost(at(count * 250));
    });
    let nodes: Vec<&str> = entries.iter().map(|(node, _)| &**node).collect();
    assert_eq!(nodes, ["node"]);
    entries.remove("node");
    assert!(entries.is_empty());
}
