//! Calls that grant ranges and take them back, with lost and late answers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::ledger::{CALL_TIMEOUT, CallLedger, CallOrder, CallOutcome, WorkerCall};
use cornelridge_fleet::member::WorkerName;
use cornelridge_fleet::range::{RangeHolder, RangeRow, RangeTable, ServiceRanges};
use cornelridge_fleet::registration::longest_hold;
use cornelridge_model::time::{Duration, Instant};

const NOW: Instant = Instant(100_000_000);
const HOLD: Duration = Duration::from_secs(4);

fn row(first: u16, last: u16, fence: u64) -> RangeRow {
    let owner = RangeHolder { worker: WorkerName::new("w", 1), node: Arc::from("node") };
    let handover = Arc::default();
    RangeRow { first, last, fence, owner: Some(owner), successor: None, handover }
}

fn table(rows: &[RangeRow]) -> RangeTable {
    let mut table = RangeTable::default();
    rows.iter().for_each(|row| table.service_mut("desk").set(row.clone(), 7));
    table
}

fn update(ledger: &mut CallLedger, now: Instant, ranges: &ServiceRanges, is_due: bool) {
    ledger.update(now, ranges.rows(), |_| is_due);
}

fn next_call(ledger: &mut CallLedger, now: Instant, ranges: &ServiceRanges) -> Option<WorkerCall> {
    ledger.next_call(now, ranges, Some(HOLD), |_, _| false)
}

/// Returns a ledger whose worker is granted one range, and the outcome of that call still open.
fn granting(ranges: &ServiceRanges) -> (CallLedger, WorkerCall) {
    let mut ledger = CallLedger::new(NOW);
    update(&mut ledger, NOW, ranges, true);
    let call = next_call(&mut ledger, NOW, ranges).unwrap();
    assert!(matches!(call.order, CallOrder::Grant(_, HOLD)));
    (ledger, call)
}

#[test]
fn a_grant_counts_from_its_issue_and_lapses_from_its_latest_arrival() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, call) = granting(ranges);
    assert!(!ledger.holds(NOW, 7), "not answered yet");
    assert!(ledger.apply(call.number, &CallOutcome::Granted));
    assert!(ledger.holds(NOW + Duration(HOLD.0 - 1), 7));
    assert!(!ledger.holds(NOW + HOLD, 7));
    assert_eq!(ledger.possible_until(), NOW + CALL_TIMEOUT + longest_hold(HOLD));
}

/// Guards against a key that is granted elsewhere because the answer to its grant is missing.
#[test]
fn a_range_with_a_lost_answer_is_released_only_when_the_call_has_lapsed() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, grant) = granting(ranges);
    ledger.apply(grant.number, &CallOutcome::Unanswered);
    update(&mut ledger, NOW, ranges, false);
    assert_eq!(next_call(&mut ledger, NOW, ranges), None, "the grant may still be on its way");
    let later = NOW + CALL_TIMEOUT;
    let release = next_call(&mut ledger, later, ranges).unwrap();
    assert!(matches!(release.order, CallOrder::Release(_)));
    ledger.apply(release.number, &CallOutcome::Released(Arc::from("token")));
    let lapse = ledger.possible_until();
    assert_eq!(ledger.released(Instant(lapse.0 - 1), &row(0, 99, 3)), None);
    assert_eq!(ledger.released(lapse, &row(0, 99, 3)).as_deref(), Some("token"));
}

#[test]
fn a_released_range_is_free_at_once_with_its_handover() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, grant) = granting(ranges);
    ledger.apply(grant.number, &CallOutcome::Granted);
    update(&mut ledger, NOW, ranges, false);
    assert!(!ledger.holds(NOW, 7), "no new work while the range is released");
    let release = next_call(&mut ledger, NOW, ranges).unwrap();
    assert_eq!(ledger.released(NOW, &row(0, 99, 3)), None);
    ledger.apply(release.number, &CallOutcome::Released(Arc::from("token")));
    assert_eq!(ledger.released(NOW, &row(0, 99, 3)).as_deref(), Some("token"));
    update(&mut ledger, NOW, ranges, true);
    assert_eq!(next_call(&mut ledger, NOW, ranges), None, "the fencing token is spent");
}

/// Guards against taking the answer to a repeated release for the end of the work on the keys.
#[test]
fn a_release_without_a_token_frees_nothing_before_the_lapse() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, grant) = granting(ranges);
    ledger.apply(grant.number, &CallOutcome::Granted);
    update(&mut ledger, NOW, ranges, false);
    let release = next_call(&mut ledger, NOW, ranges).unwrap();
    let later = NOW + Duration::from_secs(2);
    let repeated = ledger.next_call(later, ranges, Some(HOLD), |_, _| true);
    assert_eq!(repeated, None, "requests run on the keys, so that the answer takes long");
    let repeated = next_call(&mut ledger, later, ranges).unwrap();
    ledger.apply(repeated.number, &CallOutcome::Released(Arc::default()));
    assert_eq!(ledger.released(later, &row(0, 99, 3)), None);
    ledger.apply(release.number, &CallOutcome::Released(Arc::from("token")));
    assert_eq!(ledger.released(later, &row(0, 99, 3)).as_deref(), Some("token"));
}

#[test]
fn the_parts_of_a_divided_range_inherit_its_grants() {
    let whole = table(&[row(0, 99, 3)]);
    let (mut ledger, grant) = granting(whole.service("desk").unwrap());
    let parts = table(&[row(0, 49, 3), row(50, 99, 3)]);
    let ranges = parts.service("desk").unwrap();
    update(&mut ledger, NOW, ranges, true);
    ledger.apply(grant.number, &CallOutcome::Granted);
    assert!(ledger.holds(NOW, 7) && ledger.holds(NOW, 70));
    ledger.update(NOW, ranges.rows(), |stored| stored.row.first == 0);
    let release = next_call(&mut ledger, NOW, ranges).unwrap();
    assert!(matches!(release.order, CallOrder::Release(range) if range.first == 50));
    assert!(ledger.holds(NOW, 7) && !ledger.holds(NOW, 70));
}

/// Guards against passing on, after a restart of the node, what its earlier run has granted.
#[test]
fn ranges_of_an_earlier_run_are_held_until_its_grants_have_lapsed() {
    let lapse = NOW + Duration::from_secs(6);
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let mut ledger = CallLedger::new(lapse);
    update(&mut ledger, NOW, ranges, false);
    let release = next_call(&mut ledger, NOW, ranges).unwrap();
    ledger.apply(release.number, &CallOutcome::Released(Arc::from("token")));
    assert_eq!(ledger.released(Instant(lapse.0 - 1), &row(0, 99, 3)), None);
    assert!(ledger.released(lapse, &row(0, 99, 3)).is_some());
}

#[test]
fn renewals_are_spread_and_end_with_what_may_be_granted() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, grant) = granting(ranges);
    ledger.apply(grant.number, &CallOutcome::Granted);
    let soon = NOW + Duration::from_millis(900);
    assert_eq!(next_call(&mut ledger, soon, ranges), None, "renewed once a second");
    let due = NOW + Duration::from_millis(1_000);
    let shorter = Some(Duration(HOLD.0 - 1_000_000));
    assert_eq!(ledger.next_call(due, ranges, shorter, |_, _| false), None, "it extends nothing");
    assert_eq!(ledger.next_call(due, ranges, None, |_, _| false), None, "nothing may be granted");
    assert!(next_call(&mut ledger, due, ranges).is_some());
}

/// Guards against calls that grow without bound while the worker leaves them unanswered.
#[test]
fn calls_that_wait_for_answers_are_bounded() {
    let rows: Vec<RangeRow> =
        (0..100_u16).map(|index| row(index * 10, index * 10 + 9, 1)).collect();
    let table = table(&rows);
    let ranges = table.service("desk").unwrap();
    let mut ledger = CallLedger::new(NOW);
    update(&mut ledger, NOW, ranges, true);
    let sent: Vec<WorkerCall> =
        std::iter::from_fn(|| next_call(&mut ledger, NOW, ranges)).collect();
    assert_eq!(sent.len(), 8);
    ledger.apply(sent[0].number, &CallOutcome::Unanswered);
    assert!(next_call(&mut ledger, NOW, ranges).is_some());
}

#[test]
fn a_range_with_an_outdated_token_is_passed_on_after_its_lapse() {
    let table = table(&[row(0, 99, 3)]);
    let ranges = table.service("desk").unwrap();
    let (mut ledger, grant) = granting(ranges);
    assert!(ledger.apply(grant.number, &CallOutcome::Outdated));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(next_call(&mut ledger, later, ranges), None);
    assert_eq!(ledger.released(later, &row(0, 99, 3)), None);
    assert!(ledger.released(ledger.possible_until(), &row(0, 99, 3)).is_some());
}

/// Guards against a grant that a paused process sends when it goes on, and that outlasts the time
/// after which its keys are granted elsewhere.
#[test]
fn a_call_that_is_late_is_not_sent() {
    let table = table(&[row(0, 99, 3)]);
    let (_, call) = granting(table.service("desk").unwrap());
    assert_eq!(call.issued, NOW);
    assert!(call.send_by() < NOW + CALL_TIMEOUT, "time is left for the call to arrive");
    assert!(call.may_be_sent(NOW) && !call.may_be_sent(call.send_by()));
}
