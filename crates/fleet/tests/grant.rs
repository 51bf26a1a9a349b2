//! Deferral of the reply to a report until a change, and workers that deregister.

use std::sync::Arc;

use cornelridge_fleet::departure::DepartedWorker;
use cornelridge_fleet::era::EraTracker;
use cornelridge_fleet::grant::{GrantDelivery, ReportStatus, WorkerGrants};
use cornelridge_fleet::member::{WorkerName, WorkerState};
use cornelridge_fleet::range::{RangeHolder, RangeRow, RangeTable};
use cornelridge_fleet::registration::EntryRegistration;
use cornelridge_fleet::worker_report::{FreedRange, HeldRange, WorkerReport};
use cornelridge_model::time::{Duration, Instant};

const NOW: Instant = Instant(100_000_000);
const LATER: Instant = Instant(101_200_000);
const MAX_HOLD: Duration = Duration::from_secs(10);

const UNIX_NOW_MS: u64 = 1_000;

/// Returns the grants of a node that has just read the record of its host, and no rows.
fn new_grants(departed: Option<DepartedWorker>) -> WorkerGrants {
    let mut grants = WorkerGrants::new(Arc::from("node"), GrantDelivery::Replies, NOW);
    grants.restore_departure(departed);
    grants.restore_ranges(NOW, &RangeTable::default());
    grants
}

fn holder(id: &str) -> RangeHolder {
    RangeHolder { worker: WorkerName::new(id, 1), node: Arc::from("node") }
}

fn report(sequence: u64, holds: Vec<HeldRange>) -> WorkerReport {
    WorkerReport {
        name: WorkerName::new("w", 1),
        started_unix_ms: 1,
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

fn row(first: u16, last: u16, owner: &str, successor: Option<&str>) -> RangeRow {
    RangeRow {
        first,
        last,
        fence: 3,
        owner: Some(holder(owner)),
        successor: successor.map(holder),
        handover: Arc::default(),
    }
}

fn table(rows: Vec<RangeRow>) -> RangeTable {
    let mut table = RangeTable::default();
    rows.into_iter().for_each(|row| table.service_mut("desk").set(row, 7));
    table
}

const HELD: HeldRange = HeldRange { first: 0, last: 99, fence: 3 };

/// Returns grants whose worker was granted the rows of `table` with its first report.
fn grants_after_first_report(table: &RangeTable) -> WorkerGrants {
    let mut registration = EntryRegistration::default();
    registration.registered(NOW);
    registration.ranges_loaded();
    let mut grants = new_grants(None);
    grants.apply_report(NOW, report(1, Vec::new()));
    assert!(grants.reply(NOW, &registration, table.service("desk"), MAX_HOLD).is_some());
    grants
}

fn may_defer_reply(
    grants: &WorkerGrants,
    sequence: u64,
    until: Instant,
    table: &RangeTable,
) -> bool {
    grants.may_defer_reply(&WorkerName::new("w", 1), sequence, until, table.service("desk"))
}

#[test]
fn an_answer_waits_while_the_worker_holds_what_it_is_to_hold() {
    let table = table(vec![row(0, 99, "w", None), row(100, 199, "other", None)]);
    let mut grants = grants_after_first_report(&table);
    assert!(!may_defer_reply(&grants, 1, LATER, &table), "the worker doesn't hold its keys yet");
    grants.apply_report(NOW, report(2, vec![HELD]));
    assert!(may_defer_reply(&grants, 2, LATER, &table));
    assert!(!may_defer_reply(&grants, 1, LATER, &table), "a newer report is known");
    assert!(!may_defer_reply(&grants, 2, NOW + MAX_HOLD, &table), "the grants end earlier");
}

#[test]
fn an_answer_that_gives_or_takes_keys_does_not_wait() {
    let before = table(vec![row(0, 99, "w", None)]);
    let mut grants = grants_after_first_report(&before);
    grants.apply_report(NOW, report(2, vec![HELD]));
    let with_gained_row = table(vec![row(0, 99, "w", None), row(100, 199, "w", None)]);
    assert!(!may_defer_reply(&grants, 2, LATER, &with_gained_row));
    let with_successor = table(vec![row(0, 99, "w", Some("other"))]);
    assert!(!may_defer_reply(&grants, 2, LATER, &with_successor));
    let freed = FreedRange { first: 100, last: 199, handover: Arc::from("t") };
    grants.apply_report(NOW, WorkerReport { freed: vec![freed], ..report(3, vec![HELD]) });
    assert!(!may_defer_reply(&grants, 3, LATER, &before), "the released range must be processed");
    let leaving = WorkerReport { state: WorkerState::Draining, ..report(4, vec![HELD]) };
    grants.apply_report(NOW, leaving);
    assert!(
        !may_defer_reply(&grants, 4, LATER, &before),
        "a leaving worker gets its acknowledgement at once"
    );
}

#[test]
fn a_report_that_comes_after_the_goodbye_does_not_bring_the_worker_back() {
    let mut grants = new_grants(None);
    grants.apply_report(NOW, report(1, Vec::new()));
    assert!(grants.deregister(NOW, UNIX_NOW_MS, "w"));
    grants.apply_report(LATER, report(2, Vec::new()));
    assert_eq!(grants.current_report().map(|report| report.state), Some(WorkerState::Draining));
    assert_eq!(grants.leaving_since(), Some(NOW));
}

#[test]
fn a_goodbye_before_the_first_report_counts() {
    let mut grants = new_grants(None);
    assert!(
        !grants.deregister(NOW, UNIX_NOW_MS, "w"),
        "the worker is unknown to this run of the node"
    );
    grants.apply_report(LATER, report(9, Vec::new()));
    assert_eq!(grants.current_report().map(|report| report.state), Some(WorkerState::Draining));
    assert_eq!(
        grants.leaving_since(),
        Some(NOW),
        "the deregistration was acknowledged at that time"
    );
    let restarted =
        WorkerReport { name: WorkerName::new("w", 2), started_unix_ms: 2, ..report(1, Vec::new()) };
    grants.apply_report(LATER, restarted);
    assert_eq!(grants.leaving_since(), None, "another incarnation");
}

/// Guards against a worker that left and is in use again after a restart of its node, when a report
/// that it sent before arrives late.
#[test]
fn a_departure_in_the_record_of_the_host_binds_the_next_run_of_the_node() {
    let mut grants = new_grants(None);
    grants.apply_report(NOW, report(5, Vec::new()));
    assert!(grants.is_departure_recorded(), "no worker has left");
    grants.deregister(NOW, UNIX_NOW_MS, "w");
    assert!(!grants.is_departure_recorded(), "it is not to be acknowledged yet");
    let departed = grants.departure();
    grants.restore_departure(departed.clone());
    assert!(grants.is_departure_recorded());

    let mut restarted = WorkerGrants::new(Arc::from("node"), GrantDelivery::Replies, LATER);
    restarted.apply_report(LATER, report(4, Vec::new()));
    assert_eq!(restarted.current_report(), None, "the record of the host wasn't read");
    restarted.restore_departure(departed);
    restarted.restore_ranges(LATER, &RangeTable::default());
    assert_eq!(restarted.current_report().map(|report| report.state), Some(WorkerState::Draining));
    assert!(restarted.leaving_since() < Some(NOW), "the time to drain is over");
    restarted.apply_report(LATER, report(6, Vec::new()));
    assert_eq!(restarted.current_report().map(|report| report.state), Some(WorkerState::Draining));
    let name = WorkerName::new("w", 2);
    let next = WorkerReport { name, started_unix_ms: 2, ..report(1, Vec::new()) };
    restarted.apply_report(LATER, next);
    assert_eq!(restarted.leaving_since(), None, "another incarnation");
    assert!(restarted.is_departure_recorded(), "the record names the last one that left");
}

/// Guards against forgetting a deregistration that was the first call a restarted node got, when
/// that node restarts once more.
#[test]
fn a_deregistration_of_an_unknown_worker_is_recorded_until_its_time() {
    let mut grants = new_grants(None);
    grants.deregister(NOW, UNIX_NOW_MS, "w");
    let departed = grants.departure();
    assert!(!grants.is_departure_recorded());
    let mut restarted = new_grants(departed);
    restarted.apply_report(LATER, report(9, Vec::new()));
    assert!(restarted.leaving_since().is_some());
    let started_unix_ms = UNIX_NOW_MS + 1;
    let name = WorkerName::new("w", started_unix_ms);
    restarted.apply_report(LATER, WorkerReport { name, started_unix_ms, ..report(1, Vec::new()) });
    assert_eq!(restarted.leaving_since(), None, "it started after the deregistration");
}

/// Guards against giving away the keys of a running worker when a late report of an earlier
/// incarnation is the first one that a restarted node gets.
#[test]
fn a_late_report_of_an_earlier_incarnation_gives_no_keys_away() {
    let owner = RangeHolder { worker: WorkerName::new("w", 5), node: Arc::from("node") };
    let row = RangeRow { owner: Some(owner), ..row(0, 99, "w", Some("other")) };
    let table = table(vec![row]);
    let mut grants = new_grants(None);
    grants.apply_report(NOW, report(9, Vec::new()));
    let desk: Arc<str> = Arc::from("desk");
    let mut settle = |now| {
        grants.settle(now, &desk, table.service("desk").unwrap(), 1, &EraTracker::default()).len()
    };
    assert_eq!(settle(LATER), 0, "the owner may hold the keys under grants of the earlier run");
    assert_eq!(settle(NOW + Duration::from_secs(7)), 1, "those grants are over");
}

/// Guards against replies that a worker doesn't read, since they are longer than 4 KiB: it would
/// lose all its keys. Handover tokens are only for keys that the worker doesn't hold.
#[test]
fn a_reply_stays_below_the_size_that_workers_read() {
    let handover: Arc<str> = Arc::from("5c0e7a21d94b36f8");
    let row_at = |first: u16| RangeRow {
        handover: Arc::clone(&handover),
        fence: 1_000_000,
        ..row(first, first + 99, "w", None)
    };
    let table = table((0..300).map(|index| row_at(50_000 + index * 50)).collect());
    let mut registration = EntryRegistration::default();
    registration.registered(NOW);
    registration.ranges_loaded();
    let mut grants = new_grants(None);
    let mut holds = Vec::new();
    for sequence in 1..9 {
        grants.apply_report(NOW, report(sequence, holds));
        let reply = grants.reply(NOW, &registration, table.service("desk"), MAX_HOLD).unwrap();
        let rows = reply.ranges.iter();
        let rows = rows.map(|range| (range.first, range.last, range.fence, &*range.handover));
        let text = serde_json::to_vec(&rows.collect::<Vec<_>>()).unwrap();
        assert!(text.len() < 4_000, "{} bytes for {} ranges", text.len(), reply.ranges.len());
        holds = reply
            .ranges
            .iter()
            .map(|r| HeldRange { first: r.first, last: r.last, fence: r.fence })
            .collect();
    }
    assert!(holds.len() > 100, "{} ranges held", holds.len());
}

/// Returns the first report of a worker with another identifier that started later.
fn report_of_other() -> WorkerReport {
    let name = WorkerName::new("other", 2);
    WorkerReport { name, started_unix_ms: 2, ..report(1, Vec::new()) }
}

/// Guards against two holders of a key after one report of another program, which names a worker
/// with another identifier and a later start: the known worker still runs.
#[test]
fn a_report_under_another_identifier_takes_no_keys_that_the_known_worker_may_hold() {
    let table = table(vec![row(0, 99, "w", None)]);
    let ranges = table.service("desk").unwrap();
    let desk: Arc<str> = Arc::from("desk");
    let mut grants = grants_after_first_report(&table);
    assert_eq!(grants.apply_report(LATER, report_of_other()), ReportStatus::Unconfirmed);
    assert_eq!(grants.settle(LATER, &desk, ranges, 1, &EraTracker::default()), Vec::new());
    assert_eq!(grants.apply_report(LATER, report(2, vec![HELD])), ReportStatus::Current);
    assert!(grants.serves(LATER, 7));
    let lapsed = NOW + Duration::from_secs(7);
    assert_eq!(grants.apply_report(lapsed, report_of_other()), ReportStatus::NewWorker);
    assert_eq!(
        grants.settle(lapsed, &desk, ranges, 1, &EraTracker::default()).len(),
        1,
        "all grants have lapsed"
    );
}

/// Records that the known worker has ended.
type RecordEnd = fn(&mut WorkerGrants);

/// Guards against keys without a holder until the grants have lapsed when a worker restarts under a
/// new identifier.
#[test]
fn a_worker_that_is_known_to_have_ended_is_replaced_at_once() {
    let table = table(vec![row(0, 99, "w", None)]);
    let ranges = table.service("desk").unwrap();
    let desk: Arc<str> = Arc::from("desk");
    let end_by: [(&str, RecordEnd); 3] = [
        ("refused connections", |grants| assert!(grants.connection_refused(LATER))),
        ("a deregistration", |grants| assert!(grants.deregister(NOW, UNIX_NOW_MS, "w"))),
        ("closed connections", WorkerGrants::disconnected),
    ];
    for (evidence, end) in end_by {
        let mut grants = grants_after_first_report(&table);
        end(&mut grants);
        let status = grants.apply_report(LATER, report_of_other());
        assert_eq!(status, ReportStatus::NewWorker, "{evidence}");
        let changes = grants.settle(LATER, &desk, ranges, 1, &EraTracker::default());
        let owner = changes[0].writes[0].owner.as_ref().unwrap();
        assert_eq!(owner.worker, WorkerName::new("other", 2), "{evidence}");
    }
    let mut grants = grants_after_first_report(&table);
    grants.disconnected();
    grants.apply_report(LATER, report(2, vec![HELD]));
    let status = grants.apply_report(LATER, report_of_other());
    assert_eq!(status, ReportStatus::Unconfirmed, "it has reported since its connections closed");
    let mut grants = new_grants(None);
    grants.apply_report(NOW, report(1, Vec::new()));
    let status = grants.apply_report(NOW, report_of_other());
    assert_eq!(status, ReportStatus::NewWorker, "the known worker was granted nothing");
}
