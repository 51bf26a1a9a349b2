//! What a run of a node believes of the worker beside it, when earlier runs have granted keys.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::era::EraTracker;
use cornelridge_fleet::grant::{GrantDelivery, ReportStatus, WorkerGrants};
use cornelridge_fleet::member::{WorkerName, WorkerState};
use cornelridge_fleet::range::{RangeHolder, RangeRow, RangeTable};
use cornelridge_fleet::registration::EntryRegistration;
use cornelridge_fleet::worker_report::{FreedRange, HeldRange, WorkerReport};
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(100_000_000);
/// When all grants of earlier runs have run out.
const LAPSED: Instant = Instant(107_000_000);
const HELD: HeldRange = HeldRange { first: 0, last: 99, fence: 3 };

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn holder(id: &str, born: u64) -> RangeHolder {
    RangeHolder { worker: WorkerName::new(id, born), node: Arc::from("node") }
}

/// Returns rows of `w`, which started at 5, one of them with a successor at another node.
fn table() -> RangeTable {
    let successor = RangeHolder { worker: WorkerName::new("far", 1), node: Arc::from("far") };
    let row = |first, last, successor| RangeRow {
        first,
        last,
        fence: HELD.fence,
        owner: Some(holder("w", 5)),
        successor,
        handover: Arc::default(),
    };
    let mut table = RangeTable::default();
    table.service_mut("desk").set(row(0, 99, Some(successor)), 7);
    table.service_mut("desk").set(row(100, 199, None), 7);
    table
}

/// Returns the grants of a run that has read the record of its host and `table`.
fn restarted(table: &RangeTable) -> WorkerGrants {
    let mut grants = WorkerGrants::new(Arc::from("node"), GrantDelivery::Replies, START);
    grants.restore_departure(None);
    grants.restore_ranges(START, table);
    grants
}

fn report(id: &str, born: u64, sequence: u64, holds: Vec<HeldRange>) -> WorkerReport {
    WorkerReport {
        name: WorkerName::new(id, born),
        started_unix_ms: born,
        sequence,
        service: Arc::from("desk"),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 12,
        state: WorkerState::Ready,
        warm_up: Duration::ZERO,
        lists_ranges: true,
        holds,
        freed: Vec::new(),
    }
}

fn both_held() -> Vec<HeldRange> {
    vec![HELD, HeldRange { first: 100, last: 199, ..HELD }]
}

/// Returns the owners of the rows that are freed now, with `none` for rows without one.
fn freed_to(grants: &mut WorkerGrants, now: Instant, table: &RangeTable) -> Vec<String> {
    let desk: Arc<str> = Arc::from("desk");
    let rows = table.service("desk").unwrap();
    let changes = grants.settle(now, &desk, rows, 1, &EraTracker::default());
    let writes = changes.into_iter().flat_map(|change| change.writes);
    let owner = |row: RangeRow| row.owner.map_or("none".to_owned(), |o| o.worker.id().to_owned());
    writes.map(owner).collect()
}

fn reply(grants: &mut WorkerGrants, now: Instant, table: &RangeTable) -> Vec<(u16, u16)> {
    let mut registration = EntryRegistration::default();
    registration.registered(now);
    registration.ranges_loaded();
    let rows = table.service("desk");
    let reply = grants.reply(now, &registration, rows, Duration::from_secs(10)).unwrap();
    reply.ranges.iter().map(|range| (range.first, range.last)).collect()
}

/// Guards against two holders of a key after another program's report is the first one that a run
/// gets, whatever state and service it names, and against a worker that is never believed again.
#[test]
fn a_first_report_of_another_program_frees_no_keys_of_the_holder() {
    for (state, service) in [
        (WorkerState::Draining, "desk"),
        (WorkerState::Ready, "desk"),
        (WorkerState::Ready, "another"),
    ] {
        let table = table();
        let mut grants = restarted(&table);
        let other = WorkerReport { state, ..report("other", 9, 1, Vec::new()) };
        let other = WorkerReport { service: Arc::from(service), ..other };
        assert_eq!(grants.apply_report(at(10), other), ReportStatus::Unconfirmed);
        assert_eq!(grants.current_report(), None);
        assert_eq!(freed_to(&mut grants, at(20), &table), Vec::<String>::new());
        let status = grants.apply_report(at(800), report("w", 5, 40, both_held()));
        assert_eq!(status, ReportStatus::NewWorker, "the first one of the worker to this run");
        assert_eq!(reply(&mut grants, at(800), &table), [(100, 199)]);
        assert!(grants.serves(at(900), 150));
    }
}

/// Guards against the same when the report comes before the rows have been read.
#[test]
fn a_report_from_before_the_rows_are_read_is_not_believed_against_them() {
    let table = table();
    let mut grants = WorkerGrants::new(Arc::from("node"), GrantDelivery::Replies, START);
    grants.apply_report(at(10), report("other", 9, 1, Vec::new()));
    assert_eq!(freed_to(&mut grants, at(10), &table), Vec::<String>::new());
    grants.restore_departure(None);
    grants.restore_ranges(at(20), &table);
    assert_eq!(grants.current_report(), None);
    assert_eq!(freed_to(&mut grants, at(20), &table), Vec::<String>::new());
    grants.apply_report(at(800), report("w", 5, 40, both_held()));
    assert_eq!(grants.last_incarnation(), Some(&WorkerName::new("w", 5)));

    let mut grants = WorkerGrants::new(Arc::from("node"), GrantDelivery::Calls, START);
    grants.apply_report(at(10), report("w", 5, 40, Vec::new()));
    let status = grants.apply_report(at(20), report("w", 9, 1, Vec::new()));
    assert_eq!(status, ReportStatus::Unconfirmed, "the rows may show that it holds keys");
    grants.restore_ranges(at(30), &table);
    assert_eq!(freed_to(&mut grants, at(30), &table), Vec::<String>::new());
}

/// Guards against two holders of a key when the first reports to a run are late ones of the worker,
/// from before it held keys, and against keys that wait for seconds after it has released them.
#[test]
fn late_reports_to_a_new_run_release_no_keys() {
    let table = table();
    let mut grants = restarted(&table);
    for sequence in [2, 3, 4] {
        grants.apply_report(at(10 * sequence), report("w", 5, sequence, Vec::new()));
        reply(&mut grants, at(10 * sequence), &table);
        assert_eq!(freed_to(&mut grants, at(10 * sequence), &table), Vec::<String>::new());
    }
    grants.apply_report(at(800), report("w", 5, 40, both_held()));
    assert_eq!(reply(&mut grants, at(800), &table), [(100, 199)], "the first range is to be freed");
    assert_eq!(freed_to(&mut grants, at(810), &table), Vec::<String>::new());
    let freed = FreedRange { first: 0, last: 99, handover: Arc::from("token") };
    let holds = both_held().split_off(1);
    let released = WorkerReport { freed: vec![freed], ..report("w", 5, 41, holds) };
    grants.apply_report(at(900), released);
    assert_eq!(freed_to(&mut grants, at(900), &table), ["far"], "at once");
}

/// Guards against keys without a holder for good when the release was reported to the run before.
#[test]
fn keys_that_the_worker_does_not_report_are_freed_when_earlier_grants_have_lapsed() {
    let table = table();
    let mut grants = restarted(&table);
    let holds = both_held().split_off(1);
    grants.apply_report(at(800), report("w", 5, 40, holds.clone()));
    reply(&mut grants, at(800), &table);
    assert_eq!(freed_to(&mut grants, at(5_900), &table), Vec::<String>::new());
    grants.apply_report(LAPSED, report("w", 5, 47, holds));
    assert_eq!(freed_to(&mut grants, LAPSED, &table), ["far"]);
}

/// Guards against a worker without keys for seconds when it was replaced while its node was away,
/// and against another program that is taken for it.
#[test]
fn the_process_at_the_address_of_the_worker_tells_who_it_is() {
    let table = table();
    let next = || report("next", 9, 1, Vec::new());
    let mut grants = restarted(&table);
    assert_eq!(grants.apply_report(at(10), next()), ReportStatus::Unconfirmed);
    assert!(grants.is_identification_due(at(10), &next().name));
    grants.identify("w");
    assert_eq!(grants.apply_report(at(20), next()), ReportStatus::Unconfirmed);
    grants.identify("next");
    assert_eq!(grants.apply_report(at(30), next()), ReportStatus::NewWorker);
    assert_eq!(freed_to(&mut grants, at(30), &table), ["far", "next"]);
}

/// Guards against a second holder after one report that names the identifier of the worker and a
/// later start, and against keys that wait for seconds after the worker did start again.
#[test]
fn a_restart_under_the_same_identifier_is_believed_when_it_is_reported_again() {
    let table = table();
    let again = |sequence| report("w", 9, sequence, Vec::new());
    let mut grants = restarted(&table);
    assert_eq!(grants.apply_report(at(10), again(1)), ReportStatus::Unconfirmed);
    assert_eq!(grants.apply_report(at(20), again(1)), ReportStatus::Unconfirmed, "a repeated one");
    grants.apply_report(at(800), report("w", 5, 40, both_held()));
    assert_eq!(grants.apply_report(at(810), again(2)), ReportStatus::Unconfirmed);
    assert_eq!(freed_to(&mut grants, at(820), &table), Vec::<String>::new());
    assert_eq!(grants.apply_report(at(1_700), again(3)), ReportStatus::NewWorker);
    assert_eq!(freed_to(&mut grants, at(1_700), &table), ["far", "w"]);
}

/// Guards against a wrong belief that lasts: the right worker's reports count as stale as long as
/// another program is taken for a later incarnation.
#[test]
fn a_wrong_belief_ends_when_the_right_worker_goes_on_reporting() {
    for id in ["other", "w"] {
        let table = RangeTable::default();
        let mut grants = restarted(&table);
        let worker = |sequence| report("w", 5, sequence, Vec::new());
        assert_eq!(grants.apply_report(at(10), worker(1)), ReportStatus::NewWorker);
        let other = report(id, 9, 1, Vec::new());
        assert_eq!(grants.apply_report(at(20), other), ReportStatus::NewWorker, "no keys are held");
        assert_eq!(grants.apply_report(at(900), worker(2)), ReportStatus::Stale);
        assert_eq!(
            grants.apply_report(at(1_800), worker(3)),
            ReportStatus::Stale,
            "not silent yet"
        );
        assert_eq!(grants.apply_report(at(2_700), worker(4)), ReportStatus::NewWorker);
        assert_eq!(grants.apply_report(at(3_600), worker(5)), ReportStatus::Current);
        assert_eq!(grants.apply_report(at(3_700), worker(4)), ReportStatus::Stale);
    }
}

/// Guards against keys that stay with an owner that ended unseen, as the grants to its successor go
/// on for ever.
#[test]
fn rows_of_an_incarnation_that_ended_unseen_are_freed_when_its_grants_have_lapsed() {
    let mut grants = restarted(&RangeTable::default());
    grants.apply_report(at(10), report("next", 9, 1, Vec::new()));
    let table = table();
    for sequence in 2..7 {
        let now = at(sequence * 870);
        grants.apply_report(now, report("next", 9, sequence, Vec::new()));
        reply(&mut grants, now, &table);
        assert_eq!(freed_to(&mut grants, now, &table), Vec::<String>::new());
    }
    grants.apply_report(LAPSED, report("next", 9, 7, Vec::new()));
    assert_eq!(freed_to(&mut grants, LAPSED, &table), ["far", "next"]);
}

/// Guards against a departure that is acknowledged and forgotten, because the node takes another
/// incarnation for the worker when the deregistration comes.
#[test]
fn the_deregistration_of_an_incarnation_that_is_not_believed_yet_is_recorded() {
    const UNIX_NOW_MS: u64 = 1_000;
    let table = table();
    let mut grants = restarted(&table);
    grants.apply_report(at(10), report("w", 5, 40, both_held()));
    let next = |sequence| report("next", 9, sequence, Vec::new());
    assert_eq!(grants.apply_report(at(800), next(1)), ReportStatus::Unconfirmed);
    assert!(!grants.deregister(at(900), UNIX_NOW_MS, "next"));
    assert!(!grants.is_deregistration_recorded("next"), "it is not to be acknowledged yet");
    grants.restore_departure(grants.departure());
    assert!(grants.is_deregistration_recorded("next"));
    assert_eq!(grants.apply_report(LAPSED, next(2)), ReportStatus::NewWorker);
    assert_eq!(grants.leaving_since(), Some(at(900)));

    let mut grants = restarted(&table);
    grants.apply_report(at(10), report("w", 5, 40, both_held()));
    grants.deregister(at(20), UNIX_NOW_MS, "w");
    grants.restore_departure(grants.departure());
    grants.deregister(at(30), UNIX_NOW_MS, "next");
    assert!(!grants.is_deregistration_recorded("next"), "the record names the known worker");
    assert!(grants.is_deregistration_recorded("w"));
}
