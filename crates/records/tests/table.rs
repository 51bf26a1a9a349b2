//! Tests of single steps of the record table: losses, repeated messages, limits and merges.

use std::collections::BTreeSet;

use arbtest::arbtest;
use cornelridge_model::{ident, key, outcome, time};
use cornelridge_records::{
    BatchError, CopyPeer, CopyProgress, CopyRefusal, CopyReply, ExecutionId,
    MAX_STORED_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES, Record, RecordBatch, RecordDecision,
    RecordRange, RecordRequest, RecordState, RecordTable, RefusalReason, StoredResponse, SyncState,
};

const CLASS: &str = "payout-hub";
const WINDOW: time::Duration = time::Duration::from_secs(600);
const START: time::Instant = time::Instant(1_000_000_000);
const OWNER: ident::IncarnationId = ident::IncarnationId(1);
const SECOND: ident::IncarnationId = ident::IncarnationId(2);
const THIRD: ident::IncarnationId = ident::IncarnationId(3);

fn everything() -> RecordRange {
    RecordRange { class: CLASS.into(), first: key::KeyHash(0), last: key::KeyHash(u64::MAX) }
}

fn table(capacity: usize) -> RecordTable {
    let mut table = RecordTable::with_capacity(capacity);
    table.mark_new(&everything());
    table
}

fn request(name: usize, execution: u64) -> RecordRequest {
    let peer = |incarnation| CopyPeer { incarnation, in_other_zone: true };
    RecordRequest {
        class: CLASS.into(),
        hash: key::KeyHash(name as u64 * 1_000),
        idempotency_key: format!("order-{name}").into(),
        execution: ExecutionId(execution),
        window: WINDOW,
        peers: vec![peer(SECOND), peer(THIRD)],
    }
}

fn record(name: usize, execution: u64, state: RecordState) -> Record {
    let request = request(name, execution);
    Record {
        class: request.class,
        hash: request.hash,
        idempotency_key: request.idempotency_key,
        execution: request.execution,
        state,
        response: (state == RecordState::Finished).then(|| response(3)),
        age: time::Duration::ZERO,
    }
}

fn response(bytes: usize) -> StoredResponse {
    StoredResponse { status: 201, headers: Vec::new(), body: Some(vec![7; bytes]) }
}

fn copy_of(decision: RecordDecision) -> Record {
    match decision {
        RecordDecision::Replicate { record, .. } => record,
        other => unreachable!("expected a copy, got {other:?}"),
    }
}

/// Starts an execution and acknowledges both copies.
fn dispatch(table: &mut RecordTable, name: usize, execution: u64) -> Record {
    let record = copy_of(table.begin(START, &request(name, execution)));
    let id = ExecutionId(execution);
    assert_eq!(table.acknowledge_copy(START, id, SECOND), CopyProgress::Waiting);
    assert_eq!(table.acknowledge_copy(START, id, THIRD), CopyProgress::Dispatch);
    record
}

fn take_over(table: &mut RecordTable) {
    table.take_over(START, &everything(), WINDOW);
}

/// The owner is lost before its copy, before dispatch, during the execution or after it. The
/// successor must neither execute again nor refuse a request that was never announced.
#[test]
fn the_successor_knows_how_far_the_lost_owner_came() {
    let before_copy = {
        let mut successor = table(8);
        take_over(&mut successor);
        successor.begin(START, &request(1, 20))
    };
    assert!(matches!(before_copy, RecordDecision::Replicate { .. }));

    let mut owner = table(8);
    let mut successor = table(8);
    let copy = copy_of(owner.begin(START, &request(1, 10)));
    assert_eq!(successor.store_copy(START, OWNER, &copy, WINDOW), CopyReply::Stored);
    take_over(&mut successor);
    assert_eq!(successor.begin(START, &request(1, 20)), RecordDecision::Unknown);

    let mut owner = table(8);
    let mut successor = table(8);
    let copy = dispatch(&mut owner, 1, 10);
    successor.store_copy(START, OWNER, &copy, WINDOW);
    take_over(&mut successor);
    assert_eq!(successor.begin(START, &request(1, 20)), RecordDecision::Unknown);

    let run = outcome::RequestOutcome::Run;
    let update =
        owner.finish(START, ExecutionId(10), run, Some(response(3))).expect("the outcome is new");
    assert_eq!(update.to, [SECOND, THIRD]);
    successor.store_copy(START, OWNER, &update.record, WINDOW);
    let stored = RecordDecision::Stored(response(3).status_only());
    assert_eq!(successor.begin(START, &request(1, 20)), stored);
    assert_eq!(owner.begin(START, &request(1, 21)), RecordDecision::Stored(response(3)));
}

/// A late or repeated acknowledgement must not cause a dispatch.
#[test]
fn late_and_repeated_acknowledgements_are_ignored() {
    let mut owner = table(8);
    let id = ExecutionId(10);
    owner.begin(START, &request(1, 10));
    assert_eq!(owner.acknowledge_copy(START, id, SECOND), CopyProgress::Waiting);
    assert_eq!(owner.acknowledge_copy(START, id, SECOND), CopyProgress::Ignored);
    assert_eq!(owner.acknowledge_copy(START, id, OWNER), CopyProgress::Ignored);
    let update = owner.abort_replication(START, id).expect("the execution is given up");
    assert_eq!(update.record.state, RecordState::Freed);
    assert_eq!(owner.acknowledge_copy(START, id, THIRD), CopyProgress::Ignored);
    assert_eq!(owner.abort_replication(START, id), None);

    dispatch(&mut owner, 1, 11);
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(11), THIRD), CopyProgress::Ignored);
    assert_eq!(owner.abort_replication(START, ExecutionId(11)), None, "it was dispatched");
    assert_eq!(owner.begin(START, &request(1, 12)), RecordDecision::InFlight);
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(99), SECOND), CopyProgress::Ignored);
}

/// The notice that an execution was given up overtakes the copy. The replica must not acknowledge
/// the copy.
#[test]
fn a_copy_that_arrives_after_its_notice_is_refused() {
    let mut owner = table(8);
    let mut replica = table(8);
    let copy = copy_of(owner.begin(START, &request(1, 10)));
    let update =
        owner.abort_replication(START, ExecutionId(10)).expect("the execution is given up");
    replica.store_copy(START, OWNER, &update.record, WINDOW);
    let reply = replica.store_copy(START, OWNER, &copy, WINDOW);
    assert_eq!(reply, CopyReply::Refused(CopyRefusal::GivenUp));
    let next = copy_of(owner.begin(START, &request(1, 11)));
    assert_eq!(replica.store_copy(START, OWNER, &next, WINDOW), CopyReply::Stored);
    take_over(&mut replica);
    assert_eq!(replica.begin(START, &request(1, 12)), RecordDecision::Unknown);
}

/// Two owners must not both get a replica's acknowledgement for one request.
#[test]
fn a_replica_arbitrates_between_two_issuers() {
    let mut replica = table(8);
    let first = record(1, 10, RecordState::Started);
    let second = record(1, 20, RecordState::Started);
    assert_eq!(replica.store_copy(START, OWNER, &first, WINDOW), CopyReply::Stored);
    let conflict = CopyReply::Refused(CopyRefusal::Conflict);
    assert_eq!(replica.store_copy(START, SECOND, &second, WINDOW), conflict);
    assert_eq!(replica.store_copy(START, OWNER, &first, WINDOW), CopyReply::Stored);
    take_over(&mut replica);
    assert_eq!(replica.store_copy(START, OWNER, &first, WINDOW), conflict, "taken over");
}

/// An execution must not be dispatched after a transfer has shown that another owner may have
/// executed the request.
#[test]
fn a_waiting_execution_is_given_up_when_another_one_appears() {
    let mut owner = table(8);
    owner.begin(START, &request(1, 10));
    let records = vec![record(1, 20, RecordState::Unknown)];
    let batch = RecordBatch { records, next: None, complete: true };
    owner.apply_batch(START, &everything(), SECOND, &batch, WINDOW).expect("the batch is valid");
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(10), SECOND), CopyProgress::Ignored);
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(10), THIRD), CopyProgress::Ignored);
    assert_eq!(owner.begin(START, &request(1, 11)), RecordDecision::Unknown);
}

/// The result of a merge must not depend on the order of the messages.
#[test]
fn merging_does_not_depend_on_order() {
    let states =
        [RecordState::Started, RecordState::Unknown, RecordState::Freed, RecordState::Finished];
    for seed in (0..200u64).map(|index| (index + 77) << 32 | 0x100) {
        arbtest(|u| {
            let count = u.int_in_range(1..=8)?;
            let mut records = Vec::new();
            for _ in 0..count {
                let execution = u.int_in_range(1..=3)?;
                records.push(record(1, execution, *u.choose(&states)?));
            }
            let decide = |records: &[Record]| {
                let mut table = table(8);
                for chunk in records.chunks(2) {
                    let records = chunk.to_vec();
                    let batch = RecordBatch { records, next: None, complete: true };
                    table
                        .apply_batch(START, &everything(), SECOND, &batch, WINDOW)
                        .expect("the batch is valid");
                }
                take_over(&mut table);
                table.begin(START, &request(1, 99))
            };
            let forward = decide(&records);
            records.reverse();
            assert_eq!(forward, decide(&records));
            let is_freed = |execution: ExecutionId| {
                let same = |other: &&Record| other.execution == execution;
                records.iter().filter(same).any(|other| other.state == RecordState::Freed)
            };
            let has_finished = records.iter().any(|record| record.state == RecordState::Finished);
            let may_have_run =
                has_finished || records.iter().any(|record| !is_freed(record.execution));
            assert_eq!(may_have_run, !matches!(forward, RecordDecision::Replicate { .. }));
            Ok(())
        })
        .seed(seed);
    }
}

/// With six executions, more than the four that are kept, the request must stay unknown even after
/// all of them are freed.
#[test]
fn more_executions_than_are_kept_stay_unknown() {
    let mut replica = table(8);
    for execution in 1..=6 {
        let copy = record(1, execution, RecordState::Started);
        replica.store_copy(START, OWNER, &copy, WINDOW);
    }
    for execution in 1..=6 {
        let notice = record(1, execution, RecordState::Freed);
        replica.store_copy(START, OWNER, &notice, WINDOW);
    }
    take_over(&mut replica);
    assert_eq!(replica.begin(START, &request(1, 9)), RecordDecision::Unknown);
    let mut joined = table(8);
    let batch = replica.read_batch(START, &everything(), None, THIRD);
    joined.apply_batch(START, &everything(), SECOND, &batch, WINDOW).expect("the batch is valid");
    assert_eq!(joined.begin(START, &request(1, 9)), RecordDecision::Unknown);
}

/// The table must stay within its capacity, but must not refuse while freed records can make room.
#[test]
fn a_full_table_refuses_until_records_expire() {
    let mut owner = table(3);
    (0..3).for_each(|name| drop(dispatch(&mut owner, name, name as u64 + 1)));
    let full = RecordDecision::Refused(RefusalReason::TableFull);
    assert_eq!(owner.begin(START, &request(3, 10)), full);
    let copy = record(4, 11, RecordState::Started);
    let refused = CopyReply::Refused(CopyRefusal::TableFull);
    assert_eq!(owner.store_copy(START, OWNER, &copy, WINDOW), refused);

    owner.free(START, ExecutionId(1)).expect("the outcome is new");
    assert!(matches!(owner.begin(START, &request(3, 12)), RecordDecision::Replicate { .. }));
    assert_eq!(owner.len(), 3);

    let run = outcome::RequestOutcome::Run;
    owner.finish(START, ExecutionId(2), run, None).expect("the outcome is new");
    let later = START + WINDOW;
    owner.expire(later);
    assert_eq!(owner.len(), 1, "only the execution in flight is kept");
    assert_eq!(owner.begin(later, &request(2, 20)), RecordDecision::InFlight);
    owner.finish(later, ExecutionId(3), run, None).expect("the outcome is new");
    owner.expire(later + WINDOW);
    assert!(owner.is_empty());
}

/// Stored responses must stay within their limits, each and in total.
#[test]
fn stored_answers_are_bounded_one_by_one_and_together() {
    let mut owner = table(2_000);
    let run = outcome::RequestOutcome::Run;
    dispatch(&mut owner, 0, 1);
    owner.finish(START, ExecutionId(1), run, Some(response(MAX_STORED_RESPONSE_BYTES + 1)));
    let reduced = RecordDecision::Stored(response(1).status_only());
    assert_eq!(owner.begin(START, &request(0, 2)), reduced);

    let count = MAX_TOTAL_RESPONSE_BYTES / MAX_STORED_RESPONSE_BYTES + 10;
    for name in 1..=count {
        let execution = name as u64 + 10;
        dispatch(&mut owner, name, execution);
        let whole = response(MAX_STORED_RESPONSE_BYTES);
        owner.finish(START, ExecutionId(execution), run, Some(whole));
        assert!(owner.response_bytes() <= MAX_TOTAL_RESPONSE_BYTES);
    }
    assert_eq!(owner.begin(START, &request(1, 5)), reduced, "the oldest was reduced");
    let newest = RecordDecision::Stored(response(MAX_STORED_RESPONSE_BYTES));
    assert_eq!(owner.begin(START, &request(count, 5)), newest);
    owner.expire(START + WINDOW);
    assert_eq!(owner.response_bytes(), 0);
}

/// Non-idempotent requests must not be served without the records of the slice.
#[test]
fn a_takeover_without_records_refuses_until_the_window_has_passed() {
    let mut node = RecordTable::new();
    let refused = RecordDecision::Refused(RefusalReason::NotSynced);
    assert_eq!(node.begin(START, &request(1, 1)), refused);
    node.begin_sync(&everything(), OWNER);
    assert_eq!(node.begin(START, &request(1, 1)), refused);
    node.take_over(START, &everything(), WINDOW);
    let end = START + WINDOW;
    let state = node.sync_state(START, CLASS, key::KeyHash(5));
    assert_eq!(state, SyncState::UnsyncedUntil(end));
    assert_eq!(node.begin(time::Instant(end.0 - 1), &request(1, 1)), refused);
    assert!(matches!(node.begin(end, &request(1, 1)), RecordDecision::Replicate { .. }));
}

/// A range must not count as synced after an incomplete or interrupted transfer.
#[test]
fn only_a_complete_transfer_makes_a_range_synced() {
    let mut node = RecordTable::new();
    let half = RecordRange { last: key::KeyHash(u64::MAX / 2), ..everything() };
    node.begin_sync(&half, OWNER);
    let batch = RecordBatch { records: Vec::new(), next: None, complete: false };
    let incomplete = node.apply_batch(START, &half, OWNER, &batch, WINDOW);
    assert_eq!(incomplete, Err(BatchError::Incomplete));
    assert_eq!(node.sync_state(START, CLASS, half.last), SyncState::Missing);

    node.begin_sync(&half, OWNER);
    let batch = RecordBatch { complete: true, ..batch };
    assert_eq!(node.apply_batch(START, &half, SECOND, &batch, WINDOW), Ok(()));
    assert_eq!(node.sync_state(START, CLASS, half.last), SyncState::Syncing(OWNER));
    assert_eq!(node.apply_batch(START, &half, OWNER, &batch, WINDOW), Ok(()));
    assert_eq!(node.sync_state(START, CLASS, half.last), SyncState::Synced);
    let beyond = key::KeyHash(half.last.0 + 1);
    assert_eq!(node.sync_state(START, CLASS, beyond), SyncState::Missing);

    let whole = node.read_batch(START, &everything(), None, THIRD);
    assert!(!whole.complete, "half of the range is missing");
    assert!(node.read_batch(START, &half, None, THIRD).complete);
    node.remove_range(&half);
    assert!(!node.read_batch(START, &half, None, THIRD).complete);
}

/// A transfer of 2,000 records in several batches must neither lose nor repeat records. Its
/// recipient must be notified when an execution in flight ends.
#[test]
fn a_transfer_carries_every_record_once() {
    let mut owner = table(3_000);
    let run = outcome::RequestOutcome::Run;
    for name in 0..2_000 {
        dispatch(&mut owner, name, name as u64 + 1);
        if name % 2 == 0 {
            owner.finish(START, ExecutionId(name as u64 + 1), run, Some(response(100)));
        }
    }
    let mut node = RecordTable::new();
    let joined = ident::IncarnationId(9);
    node.begin_sync(&everything(), OWNER);
    let (mut after, mut seen, mut batches) = (None, BTreeSet::new(), 0);
    loop {
        let batch = owner.read_batch(START, &everything(), after.as_ref(), joined);
        batches += 1;
        for record in &batch.records {
            assert!(seen.insert(record.execution), "sent twice");
        }
        node.apply_batch(START, &everything(), OWNER, &batch, WINDOW).expect("the batch is valid");
        after = batch.next;
        if after.is_none() {
            break;
        }
    }
    assert!(batches > 2);
    assert_eq!((seen.len(), node.len()), (2_000, 2_000));
    assert_eq!(node.begin(START, &request(2, 9_999)), RecordDecision::Stored(response(100)));
    assert_eq!(node.begin(START, &request(1, 9_999)), RecordDecision::Unknown);
    let update =
        owner.finish(START, ExecutionId(2), run, Some(response(5))).expect("the outcome is new");
    assert!(update.to.contains(&joined));
}

/// Malformed records and ranges from the network must not cause a panic or an overflow.
#[test]
fn malformed_input_is_refused() {
    let mut node = table(8);
    let inverted =
        RecordRange { first: key::KeyHash(9), last: key::KeyHash(3), class: CLASS.into() };
    let batch = node.read_batch(START, &inverted, None, THIRD);
    assert!(batch.records.is_empty() && !batch.complete);
    node.begin_sync(&inverted, OWNER);
    node.take_over(START, &inverted, WINDOW);
    node.remove_range(&inverted);

    let outside = vec![record(7, 1, RecordState::Unknown)];
    let batch = RecordBatch { records: outside, next: None, complete: true };
    let first = RecordRange { last: key::KeyHash(10), ..everything() };
    let applied = node.apply_batch(START, &first, OWNER, &batch, WINDOW);
    assert_eq!(applied, Err(BatchError::Invalid));

    let long_key = Record {
        idempotency_key: "x".repeat(300).into(),
        age: time::Duration(u64::MAX),
        ..record(1, 1, RecordState::Started)
    };
    let invalid = CopyReply::Refused(CopyRefusal::Invalid);
    assert_eq!(node.store_copy(START, OWNER, &long_key, WINDOW), invalid);
    let large = Record {
        response: Some(response(MAX_STORED_RESPONSE_BYTES + 1)),
        ..record(1, 1, RecordState::Finished)
    };
    assert_eq!(node.store_copy(START, OWNER, &large, WINDOW), invalid);
    let mut empty_key = request(1, 1);
    empty_key.idempotency_key = "".into();
    let refused = RecordDecision::Refused(RefusalReason::InvalidKey);
    assert_eq!(node.begin(START, &empty_key), refused);
}

/// A copy only in the zone of the owner isn't enough, since it would be lost with that zone.
#[test]
fn a_copy_in_another_zone_is_required() {
    let mut owner = table(8);
    let mut first_request = request(1, 1);
    first_request.peers.iter_mut().for_each(|peer| peer.in_other_zone = false);
    let refused = RecordDecision::Refused(RefusalReason::NoReplica);
    assert_eq!(owner.begin(START, &first_request), refused);

    first_request.peers[1].in_other_zone = true;
    owner.begin(START, &first_request);
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(1), SECOND), CopyProgress::Waiting);
    assert_eq!(owner.waive_copy(START, ExecutionId(1), THIRD), CopyProgress::NoReplica);
    owner.free(START, ExecutionId(1)).expect("the outcome is new");

    let mut second_request = request(2, 2);
    second_request.peers[0].in_other_zone = false;
    owner.begin(START, &second_request);
    assert_eq!(owner.acknowledge_copy(START, ExecutionId(2), THIRD), CopyProgress::Waiting);
    assert_eq!(owner.waive_copy(START, ExecutionId(2), SECOND), CopyProgress::Dispatch);
}

/// A member whose lease ended has missed later copies. When it serves again, it must not treat its
/// old records as complete.
#[test]
fn a_member_without_its_lease_is_incomplete_but_keeps_its_records() {
    let mut table = table(8);
    dispatch(&mut table, 1, 1);
    table.mark_incomplete(&everything());
    take_over(&mut table);
    let refused = table.begin(START, &request(2, 2));
    assert_eq!(refused, RecordDecision::Refused(RefusalReason::NotSynced));
    assert_eq!(table.begin(START, &request(1, 3)), RecordDecision::InFlight);
}
