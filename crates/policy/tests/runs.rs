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

fn print(value: u64) -> quarantine::RequestFingerprint {
    quarantine::RequestFingerprint(value)
}

/// A ledger of runs at the first incarnation, each with its number as key and fingerprint, sent at
/// that many milliseconds.
fn ledger(numbers: &[u64]) -> runs::RunTracker {
    let mut ledger = runs::RunTracker::new();
    for &number in numbers {
        let run = runs::SentRun { fingerprint: print(number), worker: FIRST, sent: at(number) };
        ledger.record_sent(runs::RunKey(number), run);
    }
    ledger
}

/// Guards against missing what ran at an end, and against counting one end twice.
#[test]
fn an_end_names_what_runs_and_what_broke_off() {
    let mut ledger = ledger(&[1, 2, 3, 4]);
    ledger.record_interrupted(at(10), runs::RunKey(1));
    ledger.record_not_run(runs::RunKey(2));
    assert_eq!(ledger.record_response(runs::RunKey(3)).map(|run| run.fingerprint), Some(print(3)));
    assert_eq!(ledger.record_worker_end(at(11), FIRST), Some(vec![print(1), print(4)]));
    assert!(ledger.has_ended(FIRST));
    ledger.record_interrupted(at(12), runs::RunKey(4));
    assert_eq!(ledger.record_worker_end(at(12), FIRST), None);
    assert_eq!(ledger.record_worker_end(at(12), SECOND), Some(Vec::new()));
}

/// Guards against suspecting a request whose answer was lost by a worker that goes on.
#[test]
fn an_answer_to_a_later_request_clears_what_broke_off_before() {
    let mut ledger = ledger(&[1, 2, 50]);
    ledger.record_interrupted(at(10), runs::RunKey(1));
    // It was sent before the other one broke off.
    ledger.record_response(runs::RunKey(2));
    ledger.record_response(runs::RunKey(50));
    assert_eq!(ledger.record_worker_end(at(60), FIRST), Some(Vec::new()));
}

/// Guards against clearing a run because of an answer that was on its way when the worker ended.
#[test]
fn an_answer_to_an_earlier_request_clears_nothing() {
    let mut ledger = ledger(&[1, 2]);
    ledger.record_interrupted(at(10), runs::RunKey(1));
    ledger.record_response(runs::RunKey(2));
    assert_eq!(ledger.record_worker_end(at(60), FIRST), Some(vec![print(1)]));
}

/// Guards against suspecting what broke off long before, and against unbounded memory.
#[test]
fn what_broke_off_is_forgotten_in_time_and_bounded() {
    let mut old = ledger(&[1]);
    old.record_interrupted(at(10), runs::RunKey(1));
    assert_eq!(old.record_worker_end(at(20_000), FIRST), Some(Vec::new()));
    let numbers: Vec<u64> = (1..=1_000).collect();
    let mut many = ledger(&numbers);
    numbers.iter().for_each(|number| many.record_interrupted(at(1_000), runs::RunKey(*number)));
    let runs = many.record_worker_end(at(1_001), FIRST).unwrap_or_default();
    assert_eq!(runs.len(), runs::MAX_INTERRUPTED);
    assert!(runs.contains(&print(1_000)), "the last ones are kept");
}

/// Guards against taking each lost answer for an end after one look that was wrong.
#[test]
fn a_worker_that_answers_again_has_not_ended() {
    let mut ledger = ledger(&[1, 50]);
    ledger.record_interrupted(at(10), runs::RunKey(1));
    assert!(ledger.record_worker_end(at(11), FIRST).is_some());
    let run = runs::SentRun { fingerprint: print(60), worker: FIRST, sent: at(60) };
    ledger.record_sent(runs::RunKey(60), run);
    assert!(ledger.has_ended(FIRST));
    ledger.record_response(runs::RunKey(60));
    assert!(!ledger.has_ended(FIRST));
}
