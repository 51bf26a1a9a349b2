//! Members of a deployment in their order.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::departure::DepartedWorker;
use cornelridge_fleet::era::revision;
use cornelridge_fleet::member::{HostRecord, MemberDirectory, MemberEntry, MemberState};
use cornelridge_model::time::{Duration, Instant};

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

/// Guards against records of replaced hosts that stay in the store for ever, and against removing
/// one that a takeover or a late report may still need.
#[test]
fn the_record_of_a_host_is_removed_when_it_has_been_gone_for_ten_minutes() {
    let start = Instant(1_000_000);
    let mut directory = MemberDirectory::default();
    directory.set(entry("a", MemberState::Serving), 1);
    directory.set(entry("b", MemberState::Serving), 2);
    for (node, revision) in [("a", 1), ("b", 2)] {
        directory.set_record(start, node, HostRecord::default(), revision);
    }
    assert!(directory.abandoned_records(start + Duration::from_secs(6_000)).is_empty());
    directory.remove(start, "b", 3);
    assert!(directory.abandoned_records(start + Duration::from_secs(599)).is_empty());
    let gone = directory.abandoned_records(start + Duration::from_secs(600));
    assert_eq!(gone, [(Arc::from("b"), 2)]);
    directory.remove_record("b", 4);
    assert_eq!(directory.record_revision("b"), 0);
    assert!(directory.abandoned_records(start + Duration::from_secs(600)).is_empty());
}

/// Guards against the loss of an acknowledged departure when the store goes back while the node of
/// the host restarts: the other nodes know of it.
#[test]
fn a_departure_that_the_store_has_lost_is_known_until_it_is_written_again() {
    let (start, delay) = (Instant(1_000_000), Duration::from_secs(2));
    let departed = |id: &str, started_by_unix_ms| HostRecord {
        departed: Some(DepartedWorker { id: Arc::from(id), started_by_unix_ms }),
    };
    let mut directory = MemberDirectory::default();
    directory.set_record(start, "a", departed("w1", 10), 1);
    directory.set_record(start, "b", departed("w2", 10), 2);
    directory.set_record(start, "c", HostRecord::default(), 3);
    directory.set_record(start, "b", HostRecord::default(), 4);
    assert!(directory.lost_records(start + delay, delay).is_empty(), "a node wrote that itself");
    directory.set_record(start, "b", departed("w2", 10), 5);
    directory.set_record(start, "b", HostRecord::default(), revision(1, 2));
    directory.retain_records(start, revision(1, 2), |node| node == "b");
    assert!(directory.lost_records(start, delay).is_empty(), "the nodes write them themselves");
    let lost = directory.lost_records(start + delay, delay);
    let expected = [(Arc::from("a"), departed("w1", 10), 0)];
    assert_eq!(lost[..1], expected);
    assert_eq!(lost[1], (Arc::from("b"), departed("w2", 10), revision(1, 2)));
    directory.set_record(start, "a", departed("w1", 10), revision(1, 3));
    directory.set_record(start, "b", departed("w3", 20), revision(1, 4));
    assert!(directory.lost_records(start + delay, delay).is_empty());
}

/// Guards against memory that grows with each host that was ever replaced.
#[test]
fn gone_hosts_are_forgotten_when_their_records_have_been_removed() {
    let start = Instant(1_000_000);
    let gone = start + Duration::from_secs(600);
    let mut directory = MemberDirectory::default();
    for (node, revision) in [("a", 1), ("b", 2)] {
        directory.set(entry(node, MemberState::Serving), revision);
        directory.remove(start, node, revision + 10);
    }
    directory.set_record(start, "b", HostRecord::default(), 3);
    directory.remove_gone(start + Duration::from_secs(599));
    assert_eq!(directory.missing_count(), 2);
    directory.remove_gone(gone);
    assert_eq!(directory.missing_count(), 1, "the record of b is still in the store");
    directory.remove_record("b", 20);
    directory.remove_gone(gone);
    assert_eq!(directory.missing_count(), 0);
}
