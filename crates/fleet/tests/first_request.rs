//! Requests that come again after a refusal.

#![allow(clippy::unwrap_used, clippy::panic)]

use cornelridge_fleet::first_request::FirstRequests;
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(1_000_000);

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Guards against responses that are in time for a repeated request and late for its caller.
#[test]
fn a_repeated_request_has_the_target_of_the_first_one() {
    let mut requests = FirstRequests::default();
    assert_eq!(requests.target_of(7, at(3_000)), None);
    requests.record(at(0), 7, at(3_000), at(1_200));
    assert_eq!(requests.target_of(8, at(3_000)), None, "other work");
    assert_eq!(requests.target_of(7, at(3_004)), Some(at(1_200)));
    assert_eq!(requests.target_of(7, at(3_004)), None, "it came again once");
}

/// Guards against callers that ask for the same work and are taken for one.
#[test]
fn another_caller_has_another_deadline() {
    let mut requests = FirstRequests::default();
    requests.record(at(0), 7, at(2_600), at(1_200));
    assert_eq!(requests.target_of(7, at(3_000)), None);
    assert_eq!(requests.target_of(7, at(2_616)), None);
    assert_eq!(requests.target_of(7, at(2_585)), Some(at(1_200)));
}

/// Guards against memory that grows with the number of refusals.
#[test]
fn old_refusals_are_forgotten() {
    let mut requests = FirstRequests::default();
    (0..10_000).for_each(|number| requests.record(at(0), number, at(3_000), at(1_200)));
    assert_eq!(requests.target_of(1, at(3_000)), None);
    assert!(requests.target_of(9_999, at(3_000)).is_some());
    requests.record(at(4_000), 1, at(7_000), at(5_200));
    assert_eq!(requests.target_of(9_998, at(3_000)), None, "its deadline has passed");
}
