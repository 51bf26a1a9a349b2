//! Share of requests that a worker leaves unanswered.

#![allow(clippy::unwrap_used, clippy::panic)]

use cornelridge_fleet::answer_share::AnswerShare;
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(1_000_000);

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Guards against a worker that answers nothing and counts as the least loaded one.
#[test]
fn a_worker_that_breaks_off_one_request_after_another_is_failing() {
    let mut share = AnswerShare::default();
    for number in 0..3 {
        share.record_broken(at(number * 10 + 1), at(number * 10));
        assert!(!share.is_failing(at(number * 10 + 1)));
    }
    share.record_broken(at(31), at(30));
    assert!(share.is_failing(at(31)));
    assert!(!share.is_failing(at(2_031)), "it is tried again");
    share.record_answered();
    assert!(!share.is_failing(at(32)));
}

/// Guards against requests that are sent to a failing worker while others could serve them.
#[test]
fn a_failing_worker_gets_probes_only() {
    let mut share = AnswerShare::default();
    (0..4).for_each(|number| share.record_broken(at(number + 1), at(number + 1)));
    let mut sent = 0;
    for millis in 10..1_010 {
        if share.admits(at(millis)) {
            sent += 1;
            share.record_broken(at(millis), at(millis));
        }
    }
    assert_eq!(sent, 5);
    (0..4).for_each(|_| share.record_answered());
    assert!((0..10).all(|_| share.admits(at(1_100))));
}

/// Guards against a sound worker that is avoided because all its connections were reset at once.
#[test]
fn connections_that_break_together_count_once() {
    let mut share = AnswerShare::default();
    (0..12).for_each(|number| share.record_broken(at(100 + number), at(number)));
    assert!(!share.is_failing(at(120)));
}

/// Guards against a worker that is avoided although it answers most requests.
#[test]
fn a_worker_that_answers_most_requests_is_not_failing() {
    let mut share = AnswerShare::default();
    for number in 0..1_000 {
        match number % 4 {
            0 => share.record_broken(at(number * 10 + 1), at(number * 10)),
            _ => share.record_answered(),
        }
        assert!(!share.is_failing(at(number * 10 + 2)));
    }
}
