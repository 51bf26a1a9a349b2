//! Which requests a worker ran when it ended.

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::runs;

const FIRST: ident::IncarnationId = ident::IncarnationId(1);
const SECOND: ident::IncarnationId = ident::IncarnationId(2);

fn at(millis: u64) -> time::Instant {
    time::Instant(1_000_000) + time::Duration::from_millis(millis)
}

fn fingerprint_of(value: u64) -> quarantine::RequestFingerprint {
    quarantine::RequestFingerprint(value)
}

/// Returns a tracker of runs at the first incarnation. The number of a run is its key, its
/// fingerprint and the millisecond at which it was sent.
fn tracker(numbers: &[u64]) -> runs::RunTracker {
    let mut tracker = runs::RunTracker::new();
    for &number in numbers {
        let run =
            runs::SentRun { fingerprint: fingerprint_of(number), worker: FIRST, sent: at(number) };
        tracker.record_sent(runs::RunKey(number), run);
    }
    tracker
}

/// Guards against missing requests that ran at the end of a worker, and against counting one end
/// twice.
#[test]
fn an_end_names_what_runs_and_what_broke_off() {
    let mut tracker = tracker(&[1, 2, 3, 4]);
    tracker.record_interrupted(at(10), runs::RunKey(1));
    tracker.record_not_run(runs::RunKey(2));
    assert_eq!(
        tracker.record_response(runs::RunKey(3)).map(|run| run.fingerprint),
        Some(fingerprint_of(3))
    );
    assert_eq!(
        tracker.record_worker_end(at(11), FIRST),
        Some(vec![fingerprint_of(1), fingerprint_of(4)])
    );
    assert!(tracker.has_ended(FIRST));
    tracker.record_interrupted(at(12), runs::RunKey(4));
    assert_eq!(tracker.record_worker_end(at(12), FIRST), None);
    assert_eq!(tracker.record_worker_end(at(12), SECOND), Some(Vec::new()));
}

/// Guards against suspecting a request whose response was lost by a worker that continues.
#[test]
fn an_answer_to_a_later_request_clears_what_broke_off_before() {
    let mut tracker = tracker(&[1, 2, 50]);
    tracker.record_interrupted(at(10), runs::RunKey(1));
    // Request 2 was sent before request 1 was interrupted.
    tracker.record_response(runs::RunKey(2));
    tracker.record_response(runs::RunKey(50));
    assert_eq!(tracker.record_worker_end(at(60), FIRST), Some(Vec::new()));
}

/// Guards against clearing a run because of a response that was in transit when the worker ended.
#[test]
fn an_answer_to_an_earlier_request_clears_nothing() {
    let mut tracker = tracker(&[1, 2]);
    tracker.record_interrupted(at(10), runs::RunKey(1));
    tracker.record_response(runs::RunKey(2));
    assert_eq!(tracker.record_worker_end(at(60), FIRST), Some(vec![fingerprint_of(1)]));
}

/// Guards against suspecting runs that were interrupted long before, and against unbounded memory.
#[test]
fn what_broke_off_is_forgotten_in_time_and_bounded() {
    let mut old = tracker(&[1]);
    old.record_interrupted(at(10), runs::RunKey(1));
    assert_eq!(old.record_worker_end(at(20_000), FIRST), Some(Vec::new()));
    let numbers: Vec<u64> = (1..=1_000).collect();
    let mut many = tracker(&numbers);
    numbers.iter().for_each(|number| many.record_interrupted(at(1_000), runs::RunKey(*number)));
    let runs = many.record_worker_end(at(1_001), FIRST).unwrap_or_default();
    assert_eq!(runs.len(), runs::MAX_INTERRUPTED);
    assert!(runs.contains(&fingerprint_of(1_000)), "the last ones are kept");
}

/// Guards against treating each lost response as an end after one end was recorded wrongly.
#[test]
fn a_worker_that_answers_again_has_not_ended() {
    let mut tracker = tracker(&[1, 50]);
    tracker.record_interrupted(at(10), runs::RunKey(1));
    assert!(tracker.record_worker_end(at(11), FIRST).is_some());
    let run = runs::SentRun { fingerprint: fingerprint_of(60), worker: FIRST, sent: at(60) };
    tracker.record_sent(runs::RunKey(60), run);
    assert!(tracker.has_ended(FIRST));
    tracker.record_response(runs::RunKey(60));
    assert!(!tracker.has_ended(FIRST));
}
