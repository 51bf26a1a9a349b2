//! Tests of single machines, one for each pitfall of section 4 of the design.

use std::sync::Arc;

use cornelridge_model::{assignment, ident, key, time};
use cornelridge_ownership as ownership;
use cornelridge_ownership::timing;
use ownership::{
    GrantDecision, GuardedLease, LeaseHolder, OwnershipAction, OwnershipMachine, OwnershipMessage,
};

const CLASS: &str = "pricebook";
/// Members of `document`: the three members of the usual chain, and a member that only guards.
const OWNER: ident::IncarnationId = ident::IncarnationId(1);
const SECOND: ident::IncarnationId = ident::IncarnationId(2);
const THIRD: ident::IncarnationId = ident::IncarnationId(3);
const FOURTH: ident::IncarnationId = ident::IncarnationId(4);
const STRANGER: ident::IncarnationId = ident::IncarnationId(99);
const SLICE: assignment::SliceKey = assignment::SliceKey { class: 0, slice: 0 };

fn at(millis: u64) -> time::Instant {
    time::Instant(millis * 1_000)
}

fn lease(member: ident::IncarnationId) -> ident::LeaseId {
    ident::LeaseId { incarnation: member, generation: 1 }
}

/// A slice as start, chain, since and previous chain; chains list leases by number, from 1.
type Slice<'a> = (u64, &'a [u16], u64, &'a [u16]);

/// Four members in four zones; each lease is guarded by the three other members. Lease number 5 is
/// the second generation of the owner's lease.
fn document(epoch: u64, slices: &[Slice<'_>]) -> assignment::AssignmentDocument {
    let members = (1..=4).map(|number| assignment::MemberRecord {
        name: format!("node-{number}").into(),
        incarnation: ident::IncarnationId(number),
        address: ([127, 0, 0, 1], 0).into(),
        zone: format!("zone-{number}").into(),
        class: CLASS.into(),
        state: assignment::MemberState::Active,
        checks_fences: true,
    });
    let record = |holder: u16, generation| assignment::LeaseRecord {
        holder: assignment::MemberKey(holder),
        generation,
        guards: (0..4).filter(|guard| *guard != holder).map(assignment::MemberKey).collect(),
        retired: false,
    };
    let chain = |chain: &[u16]| chain.iter().map(|one| assignment::LeaseKey(one - 1)).collect();
    let slices = slices.iter().map(|(start, now, since, previous)| assignment::SliceRecord {
        start: key::KeyHash(*start),
        chain: chain(now),
        since: ident::EpochNumber(*since),
        previous: chain(previous),
        previous_since: ident::EpochNumber(0),
    });
    assignment::AssignmentDocument {
        epoch: ident::EpochNumber(epoch),
        change_id: epoch,
        members: members.collect(),
        leases: (0..4).map(|holder| record(holder, 1)).chain([record(0, 2)]).collect(),
        classes: vec![assignment::ClassSlices {
            class: CLASS.into(),
            created: ident::EpochNumber(1),
            slices: slices.collect(),
        }],
    }
}

fn adopt(
    machine: &mut OwnershipMachine,
    now: time::Instant,
    document: assignment::AssignmentDocument,
) -> Vec<OwnershipAction> {
    let epoch = document.epoch;
    let actions = machine.adopt(now, Arc::new(document));
    assert_eq!(machine.state().epoch, epoch, "{actions:?}");
    actions.unwrap_or_default()
}

/// Acknowledges all renewals among the actions on behalf of the guards.
fn acknowledge(machine: &mut OwnershipMachine, now: time::Instant, actions: &[OwnershipAction]) {
    for action in actions {
        let OwnershipAction::Send { to, message } = action else {
            continue;
        };
        if let OwnershipMessage::Renew { lease, sequence, epoch } = *message {
            let ack = OwnershipMessage::RenewAck { lease, sequence, epoch };
            machine.receive(now, *to, ack);
        }
    }
}

/// Returns a machine that has adopted a document and holds its leases at `now`.
fn machine_with_leases(
    member: ident::IncarnationId,
    now: time::Instant,
    document: assignment::AssignmentDocument,
) -> OwnershipMachine {
    let mut machine = OwnershipMachine::new(member);
    let actions = adopt(&mut machine, now, document);
    acknowledge(&mut machine, now, &actions);
    machine
}

/// Ticks every 50 ms up to a time, with acknowledged renewals and responses of all peers. Returns
/// the actions of all ticks.
fn run_ticks(machine: &mut OwnershipMachine, from: u64, to: u64) -> Vec<OwnershipAction> {
    let mut all_actions = Vec::new();
    for now in (from..=to).step_by(50).map(at) {
        let actions = machine.tick(now);
        acknowledge(machine, now, &actions);
        [OWNER, SECOND, THIRD, FOURTH].iter().for_each(|peer| {
            machine.record_peer_response(now, *peer);
        });
        all_actions.extend(actions);
    }
    all_actions
}

fn vouch_message(
    member: ident::IncarnationId,
    guards: &[ident::IncarnationId],
) -> OwnershipMessage {
    OwnershipMessage::Vouch { lease: lease(member), guards: guards.to_vec() }
}

fn message(action: &OwnershipAction) -> Option<&OwnershipMessage> {
    match action {
        OwnershipAction::Send { message, .. } => Some(message),
        _ => None,
    }
}

fn sent_messages(actions: &[OwnershipAction]) -> Vec<&OwnershipMessage> {
    actions.iter().filter_map(message).collect()
}

fn is_granted(machine: &OwnershipMachine, now: time::Instant) -> bool {
    matches!(machine.grant(now, SLICE), GrantDecision::Granted { .. })
}

#[test]
fn a_lease_counts_from_the_sending_and_not_from_the_acknowledgement() {
    let mut holder = LeaseHolder::new(at(0), lease(OWNER), [SECOND, THIRD, FOURTH]);
    let (sequence, guards) = holder.renew(at(1_000)).unwrap();
    assert_eq!(guards, [SECOND, THIRD, FOURTH]);
    holder.record_ack(SECOND, sequence);
    assert!(!holder.is_valid(at(1_000)), "one of three guards isn't a majority");
    holder.record_ack(SECOND, sequence);
    assert!(!holder.is_valid(at(1_000)), "a duplicate counts once");
    holder.record_ack(STRANGER, sequence);
    assert!(!holder.is_valid(at(1_000)), "only guards count");
    holder.record_ack(THIRD, sequence);
    assert!(holder.is_valid(at(1_599)));
    assert!(!holder.is_valid(at(1_600)));
}

#[test]
fn a_late_acknowledgement_neither_shortens_nor_extends_a_lease() {
    let mut holder = LeaseHolder::new(at(0), lease(OWNER), [SECOND, THIRD, FOURTH]);
    let (first, _) = holder.renew(at(1_000)).unwrap();
    let (second, _) = holder.renew(at(1_200)).unwrap();
    [SECOND, THIRD].iter().for_each(|guard| holder.record_ack(*guard, second));
    [SECOND, THIRD, FOURTH].iter().for_each(|guard| holder.record_ack(*guard, first));
    assert_eq!(holder.valid_until(), Some(at(1_800)));
    holder.record_ack(FOURTH, 77);
    assert_eq!(holder.valid_until(), Some(at(1_800)));
}

/// With one of three guards lost, both others are needed. Two lost datagrams must not end the
/// lease.
#[test]
fn an_unacknowledged_renewal_is_repeated_early() {
    let mut holder = LeaseHolder::new(at(0), lease(OWNER), [SECOND, THIRD, FOURTH]);
    let (sequence, _) = holder.renew(at(1_000)).unwrap();
    [SECOND, THIRD].iter().for_each(|guard| holder.record_ack(*guard, sequence));
    assert_eq!(
        holder.renew(at(1_199)),
        None,
        "a renewal is repeated early only to a guard that has acknowledged one"
    );
    let (sequence, guards) = holder.renew(at(1_200)).unwrap();
    assert_eq!(guards, [SECOND, THIRD, FOURTH]);
    holder.record_ack(SECOND, sequence);
    for now in [1_300, 1_400, 1_500] {
        let (_, guards) = holder.renew(at(now)).unwrap();
        assert!(guards.contains(&THIRD), "{guards:?} at {now}");
    }
    // Once the lease has lapsed, guards are left time to vouch.
    assert_eq!(holder.valid_until(), Some(at(1_600)));
    assert_eq!(holder.renew(at(1_650)), None);
}

#[test]
fn a_late_holder_renews_again_unless_a_majority_refuses() {
    let mut holder = LeaseHolder::new(at(0), lease(OWNER), [SECOND, THIRD, FOURTH]);
    holder.record_refusal(SECOND);
    let (sequence, guards) = holder.renew(at(5_000)).unwrap();
    assert_eq!(guards, [THIRD, FOURTH]);
    guards.iter().for_each(|guard| holder.record_ack(*guard, sequence));
    assert!(holder.is_valid(at(5_001)));
    holder.record_refusal(STRANGER);
    assert!(!holder.is_ended());
    holder.record_refusal(FOURTH);
    assert!(holder.is_ended() && !holder.is_valid(at(5_002)));
    assert_eq!(holder.renew(at(9_000)), None);
}

#[test]
fn a_guard_counts_from_receipt_and_never_renews_after_a_vouch() {
    let mut guarded = GuardedLease::new(at(0));
    assert!(guarded.renew(at(1_000), 1));
    assert!(!guarded.vouch(at(1_626)), "the guard waits for the lease TTL and for clock drift");
    assert!(guarded.renew(at(1_626), 2), "a query before the timeout changes nothing");
    assert!(guarded.renew(at(2_000), 2), "a duplicate is acknowledged, but doesn't count");
    assert!(guarded.vouch(at(2_253)));
    assert!(!guarded.renew(at(2_254), 3));
    assert!(guarded.vouch(at(2_255)), "a vouch is permanent");
}

#[test]
fn a_guard_that_isnt_asked_keeps_renewing_after_any_silence() {
    let mut guarded = GuardedLease::new(at(0));
    assert!(guarded.renew(at(60_000), 1));
}

#[test]
fn a_guard_that_learns_its_duty_late_counts_from_then() {
    let mut guard = OwnershipMachine::new(FOURTH);
    run_ticks(&mut guard, 0, 5_000);
    adopt(&mut guard, at(5_000), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    run_ticks(&mut guard, 5_050, 5_600);
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    assert_eq!(guard.receive(at(5_620), SECOND, query.clone()), []);
    run_ticks(&mut guard, 5_650, 5_700);
    let actions = guard.receive(at(5_701), SECOND, query);
    assert_eq!(sent_messages(&actions), [&vouch_message(OWNER, &[FOURTH])]);
}

/// If guards had to hold a lease, a fleet whose leases have all lapsed could never renew any.
#[test]
fn a_guard_renews_without_a_lease_of_its_own() {
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let epoch = ident::EpochNumber(1);
    let renewal = OwnershipMessage::Renew { lease: lease(OWNER), sequence: 3, epoch };
    let actions = guard.receive(at(60_000), OWNER, renewal.clone());
    let ack = OwnershipMessage::RenewAck { lease: lease(OWNER), sequence: 3, epoch };
    assert!(sent_messages(&actions).contains(&&ack));
    assert!(!guard.state().leases[0].held);
    let actions = guard.receive(at(60_000), SECOND, renewal);
    assert!(!sent_messages(&actions).contains(&&ack), "only the holder renews");
}

#[test]
fn a_pause_of_the_guard_doesnt_count_as_silence() {
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    run_ticks(&mut guard, 0, 400);
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    assert_eq!(guard.receive(at(9_000), SECOND, query.clone()), []);
    run_ticks(&mut guard, 9_000, 9_900);
    let actions = guard.receive(at(9_910), SECOND, query);
    assert_eq!(sent_messages(&actions), [&vouch_message(OWNER, &[FOURTH])]);
}

#[test]
fn only_a_majority_of_the_guard_set_proves_an_expiry_also_relayed() {
    let mut second = machine_with_leases(SECOND, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let not_owner = GrantDecision::NotOwner { holder: Some(OWNER) };
    second.receive(at(10), THIRD, vouch_message(OWNER, &[THIRD]));
    second.receive(at(11), THIRD, vouch_message(OWNER, &[THIRD, STRANGER, OWNER]));
    assert_eq!(second.grant(at(12), SLICE), not_owner);
    let actions = second.receive(at(13), THIRD, vouch_message(OWNER, &[FOURTH, THIRD]));
    assert!(is_granted(&second, at(13)));
    let fence = ident::FenceToken { since: ident::EpochNumber(1), position: 1 };
    let start = key::KeyHash(0);
    let started =
        OwnershipAction::StartedServing { class: CLASS.into(), start, lease: lease(SECOND), fence };
    assert_eq!(actions, [started]);
    // The vouches are relayed to any other peer, with the original guards.
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    let actions = second.receive(at(14), THIRD, query);
    assert_eq!(sent_messages(&actions), [&vouch_message(OWNER, &[THIRD, FOURTH])]);
    assert_eq!(second.route(SLICE), [SECOND, THIRD]);
}

#[test]
fn a_third_member_waits_for_both_earlier_ones() {
    let mut third = machine_with_leases(THIRD, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    third.receive(at(10), FOURTH, vouch_message(SECOND, &[OWNER, FOURTH]));
    assert_eq!(third.grant(at(11), SLICE), GrantDecision::NotOwner { holder: Some(OWNER) });
    third.receive(at(12), OWNER, OwnershipMessage::Released { lease: lease(OWNER) });
    assert!(is_granted(&third, at(12)));
    assert!(!is_granted(&third, at(600)), "its own lease has lapsed");
}

#[test]
fn the_successor_of_an_upstream_without_fences_waits_longer() {
    let mut unchecked = document(1, &[(0, &[1, 2, 3], 1, &[])]);
    unchecked.members[0].checks_fences = false;
    let mut second = machine_with_leases(SECOND, at(0), unchecked);
    second.receive(at(100), THIRD, vouch_message(OWNER, &[FOURTH, THIRD]));
    assert_eq!(second.grant(at(299), SLICE), GrantDecision::Wait);
    assert!(is_granted(&second, at(300)));
}

/// The delay also applies to a member of the previous chain that expired instead of confirming.
#[test]
fn a_new_owner_without_fences_before_it_waits_longer_too() {
    let mut unchecked = document(2, &[(0, &[2, 3], 2, &[1])]);
    unchecked.members[0].checks_fences = false;
    let mut second = machine_with_leases(SECOND, at(0), unchecked);
    second.receive(at(100), THIRD, vouch_message(OWNER, &[FOURTH, THIRD]));
    assert_eq!(second.grant(at(299), SLICE), GrantDecision::Wait);
    assert!(is_granted(&second, at(300)));
}

#[test]
fn a_refused_fence_is_evidence_for_its_slice_and_chain_only() {
    let slices: [Slice<'_>; 2] = [(0, &[1, 2, 3], 1, &[]), (1 << 40, &[1, 2, 3], 1, &[])];
    let mut second = machine_with_leases(SECOND, at(0), document(1, &slices));
    second.record_fence_refusal(at(10), SLICE, lease(OWNER));
    assert!(is_granted(&second, at(11)));
    let other = assignment::SliceKey { class: 0, slice: 1 };
    assert_eq!(second.grant(at(11), other), GrantDecision::NotOwner { holder: Some(OWNER) });
    // After a merge, the slice has keys that the evidence doesn't cover.
    adopt(&mut second, at(12), document(2, &[(0, &[1, 2, 3], 1, &[])]));
    assert!(!is_granted(&second, at(12)));
    // The owner may serve again under a later chain.
    let slices: [Slice<'_>; 2] = [(0, &[1, 2, 3], 3, &[]), (1 << 40, &[1, 2, 3], 1, &[])];
    adopt(&mut second, at(13), document(3, &slices));
    assert!(!is_granted(&second, at(13)));
}

#[test]
fn an_operator_retires_a_lease() {
    let mut retired = document(1, &[(0, &[1, 2, 3], 1, &[])]);
    retired.leases[0].retired = true;
    let second = machine_with_leases(SECOND, at(0), retired.clone());
    assert!(is_granted(&second, at(1)));
    // A holder that still runs although it was declared dead stops at once, and its guards refuse.
    let owner = machine_with_leases(OWNER, at(0), retired.clone());
    assert_eq!(owner.grant(at(1), SLICE), GrantDecision::NotOwner { holder: Some(SECOND) });
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), retired);
    let epoch = ident::EpochNumber(1);
    let renewal = OwnershipMessage::Renew { lease: lease(OWNER), sequence: 1, epoch };
    let refused = OwnershipMessage::RenewRefused { lease: lease(OWNER), epoch };
    assert_eq!(sent_messages(&guard.receive(at(1), OWNER, renewal)), [&refused]);
}

#[test]
fn a_document_never_goes_back_or_changes_guards() {
    let slices: [Slice<'_>; 1] = [(0, &[1, 2, 3], 1, &[])];
    let mut machine = machine_with_leases(OWNER, at(0), document(7, &slices));
    let refusal = |machine: &mut OwnershipMachine, document| {
        machine.adopt(at(1), Arc::new(document)).unwrap_err()
    };
    let (known, offered) = (ident::EpochNumber(7), ident::EpochNumber(6));
    let not_newer = ownership::AdoptError::NotNewer { known, offered };
    assert_eq!(refusal(&mut machine, document(6, &slices)), not_newer);
    refusal(&mut machine, document(7, &slices));
    let mut changed = document(8, &slices);
    changed.leases[0].guards.pop();
    let changed = refusal(&mut machine, changed);
    assert_eq!(changed, ownership::AdoptError::GuardsChanged { lease: lease(OWNER) });
    let mut duplicate = document(8, &slices);
    duplicate.leases[4].generation = 1;
    assert!(matches!(refusal(&mut machine, duplicate), ownership::AdoptError::Duplicate { .. }));
    let mut duplicate = document(8, &slices);
    duplicate.leases[0].guards[1] = duplicate.leases[0].guards[0];
    assert!(matches!(
        refusal(&mut machine, duplicate),
        ownership::AdoptError::InvalidGuardSet { .. }
    ));
    assert_eq!(machine.confirmed_epoch(), known);
    assert!(is_granted(&machine, at(2)), "the last good document stays in force");
}

#[test]
fn an_epoch_is_confirmed_when_the_work_for_lost_slices_has_ended() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    adopt(&mut owner, at(20), document(2, &[(0, &[2, 3], 2, &[1, 2, 3])]));
    assert_eq!(owner.grant(at(21), SLICE), GrantDecision::NotOwner { holder: Some(SECOND) });
    assert!(owner.check(at(21), &ticket), "work continues until it is cancelled");
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(1));
    let actions = run_ticks(&mut owner, 50, 1_999);
    assert!(!actions.iter().any(|action| matches!(action, OwnershipAction::CancelWork { .. })));
    let actions = run_ticks(&mut owner, 2_000, 2_100);
    let cancelled = |action: &&OwnershipAction| match action {
        OwnershipAction::CancelWork { work, reason, .. } => {
            *work == ticket.work && *reason == ownership::CancelReason::MoveBound
        }
        _ => false,
    };
    assert_eq!(actions.iter().filter(cancelled).count(), 1);
    assert!(!owner.check(at(2_100), &ticket));
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(1), "cancelled work hasn't ended yet");
    owner.end(ticket);
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(2));
}

#[test]
fn a_new_owner_waits_for_confirmations_of_the_earlier_chain() {
    let mut fourth =
        machine_with_leases(FOURTH, at(0), document(2, &[(0, &[4, 3], 2, &[1, 2, 3])]));
    let confirm =
        |member, epoch| OwnershipMessage::Confirm { member, epoch: ident::EpochNumber(epoch) };
    fourth.receive(at(10), OWNER, confirm(OWNER, 2));
    fourth.receive(at(11), SECOND, confirm(SECOND, 1));
    fourth.receive(at(12), THIRD, confirm(THIRD, 3));
    assert_eq!(fourth.grant(at(13), SLICE), GrantDecision::Wait);
    let waiting = fourth.state().unsettled[0].waiting_for.clone();
    assert_eq!(waiting, [lease(SECOND)]);
    fourth.receive(at(14), OWNER, confirm(SECOND, 2));
    assert!(is_granted(&fourth, at(14)), "a relayed confirmation counts");
    fourth.receive(at(15), SECOND, confirm(SECOND, 1));
    assert!(is_granted(&fourth, at(15)), "a late datagram revokes nothing");
}

/// A member of both chains waits only for the members before it in the previous chain.
#[test]
fn an_owner_that_is_first_in_both_chains_goes_on() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    adopt(&mut owner, at(20), document(2, &[(0, &[1, 4], 2, &[1, 2, 3])]));
    assert!(is_granted(&owner, at(20)));
    assert!(owner.check(at(20), &ticket));
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(2));
    owner.end(ticket);
}

#[test]
fn a_new_generation_takes_over_the_work_of_its_node() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    let actions = adopt(&mut owner, at(20), document(2, &[(0, &[5, 2, 3], 2, &[1, 2, 3])]));
    acknowledge(&mut owner, at(21), &actions);
    assert_eq!(owner.grant(at(22), SLICE), GrantDecision::Wait);
    assert!(owner.check(at(22), &ticket), "the earlier generation is still held");
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(1));
    for member in [SECOND, THIRD] {
        let epoch = ident::EpochNumber(2);
        owner.receive(at(30), member, OwnershipMessage::Confirm { member, epoch });
    }
    let GrantDecision::Granted { lease, .. } = owner.grant(at(31), SLICE) else {
        panic!("the new generation isn't granted");
    };
    assert_eq!(lease.generation, 2);
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(2));
    assert!(owner.check(at(31), &ticket));
    owner.end(ticket);
}

#[test]
fn work_follows_its_hash_range_when_indices_shift() {
    let two: [Slice<'_>; 2] = [(0, &[2, 3], 1, &[]), (1 << 40, &[1, 2], 1, &[])];
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &two));
    let slice = assignment::SliceKey { class: 0, slice: 1 };
    let whole = owner.begin(at(10), slice).unwrap();
    let low = owner.begin_key(at(10), CLASS, key::KeyHash(1 << 40)).unwrap();
    let high = owner.begin_key(at(10), CLASS, key::KeyHash(1 << 50)).unwrap();
    // A slice of another owner is inserted before: the index changes, the range doesn't.
    let shifted: [Slice<'_>; 3] =
        [(0, &[2, 3], 1, &[]), (1 << 30, &[3, 4], 2, &[2, 3]), (1 << 40, &[1, 2], 1, &[])];
    adopt(&mut owner, at(20), document(2, &shifted));
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(2));
    // The upper part moves away, which affects the work that may have its keys.
    let split: [Slice<'_>; 3] =
        [(0, &[2, 3], 1, &[]), (1 << 40, &[1, 2], 1, &[]), (1 << 45, &[3, 4], 3, &[1, 2])];
    adopt(&mut owner, at(30), document(3, &split));
    assert_eq!(owner.state().work_ending, 2);
    owner.end(whole);
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(2));
    owner.end(high);
    assert_eq!(owner.confirmed_epoch(), ident::EpochNumber(3));
    assert!(owner.check(at(40), &low));
    owner.end(low);
}

/// A successor may serve as soon as it learns of a release, so the work must have ended before.
#[test]
fn a_release_is_announced_when_the_work_has_ended() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    let actions = owner.release(at(20));
    let reason = ownership::CancelReason::LeaseLost;
    let is_cancelled = |action: &OwnershipAction| matches!(action, OwnershipAction::CancelWork { reason: given, .. } if *given == reason);
    assert!(actions.iter().any(is_cancelled));
    let released = OwnershipMessage::Released { lease: lease(OWNER) };
    assert!(!sent_messages(&actions).contains(&&released));
    assert!(!owner.check(at(21), &ticket));
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    assert_eq!(owner.receive(at(30), SECOND, query.clone()), []);
    owner.end(ticket);
    let actions = owner.tick(at(50));
    assert!(sent_messages(&actions).contains(&&released));
    assert_eq!(sent_messages(&owner.receive(at(60), SECOND, query)), [&released]);
    assert_eq!(owner.grant(at(61), SLICE), GrantDecision::NotOwner { holder: Some(SECOND) });
}

/// A late renewal restores the lease, but not the work that was cancelled in the meantime.
#[test]
fn work_is_cancelled_when_the_lease_lapses() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    assert!(owner.check(at(599), &ticket));
    assert!(!owner.check(at(600), &ticket), "the lapse takes effect without a tick");
    let actions = owner.tick(at(3_000));
    let lost = OwnershipAction::LeaseLost { lease: lease(OWNER), permanent: false };
    assert!(actions.contains(&lost));
    assert!(actions.iter().any(|action| matches!(action, OwnershipAction::CancelWork { .. })));
    acknowledge(&mut owner, at(3_001), &actions);
    assert!(is_granted(&owner, at(3_001)));
    assert!(!owner.check(at(3_001), &ticket));
    owner.end(ticket);
}

/// A node may guard the lease that it succeeds. It then queries itself without a datagram.
#[test]
fn a_successor_that_is_a_guard_asks_itself() {
    let mut second = OwnershipMachine::new(SECOND);
    adopt(&mut second, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    for now in (0..=900).step_by(50).map(at) {
        let mut actions = second.tick(now);
        actions.retain(|action| !matches!(action, OwnershipAction::Send { to: OWNER, .. }));
        acknowledge(&mut second, now, &actions);
        [THIRD, FOURTH].iter().for_each(|peer| drop(second.record_peer_response(now, *peer)));
    }
    let guarded =
        second.state().guarded_leases.iter().find(|guarded| guarded.lease == lease(OWNER)).cloned();
    assert!(guarded.is_some_and(|guarded| guarded.vouched));
    second.receive(at(910), THIRD, vouch_message(OWNER, &[THIRD]));
    assert!(is_granted(&second, at(910)));
}

/// Guards must be queried about a peer that sends but receives nothing, so the messages of the peer
/// don't count as responses.
#[test]
fn only_answers_show_that_a_peer_is_present() {
    let mut second = OwnershipMachine::new(SECOND);
    adopt(&mut second, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    let epoch = ident::EpochNumber(1);
    let mut queried_at = None;
    for millis in (0..=600).step_by(50) {
        let now = at(millis);
        let renewal = OwnershipMessage::Renew { lease: lease(OWNER), sequence: millis, epoch };
        second.receive(now, OWNER, renewal);
        [THIRD, FOURTH].iter().for_each(|peer| drop(second.record_peer_response(now, *peer)));
        let actions = second.tick(now);
        if sent_messages(&actions).contains(&&query) {
            queried_at.get_or_insert(millis);
        }
    }
    assert_eq!(queried_at, Some(timing::PEER_SILENCE_TIMEOUT.as_millis()));
    assert!(second.state().guarded_leases.iter().all(|guarded| !guarded.vouched));
}

/// Unless two leases of a node overlap, other nodes may have served between them.
#[test]
fn work_isnt_taken_over_from_a_generation_that_has_lapsed() {
    let mut owner = machine_with_leases(OWNER, at(0), document(1, &[(0, &[1, 2, 3], 1, &[])]));
    let ticket = owner.begin(at(10), SLICE).unwrap();
    let next = document(2, &[(0, &[5, 2, 3], 2, &[1, 2, 3])]);
    let mut actions = adopt(&mut owner, at(500), next);
    let renewed = ident::LeaseId { incarnation: OWNER, generation: 2 };
    actions.retain(|action| {
        matches!(message(action), Some(OwnershipMessage::Renew { lease, .. }) if *lease == renewed)
    });
    acknowledge(&mut owner, at(590), &actions);
    // The last confirmation arrives before any tick has detected that the first lease lapsed.
    for (now, member) in [(591, SECOND), (792, THIRD)] {
        let epoch = ident::EpochNumber(2);
        owner.receive(at(now), member, OwnershipMessage::Confirm { member, epoch });
    }
    assert!(is_granted(&owner, at(793)));
    assert!(!owner.check(at(793), &ticket));
    owner.end(ticket);
}

#[test]
fn a_vouch_outlives_documents_that_dont_name_the_lease() {
    let slices: [Slice<'_>; 1] = [(0, &[2, 3], 1, &[])];
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), document(1, &slices));
    run_ticks(&mut guard, 0, 700);
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    assert_eq!(guard.receive(at(710), STRANGER, query.clone()), [], "only members may query");
    assert_eq!(
        sent_messages(&guard.receive(at(711), SECOND, query)),
        [&vouch_message(OWNER, &[FOURTH])]
    );
    let mut without = document(2, &slices);
    without.leases[0].generation = 7;
    adopt(&mut guard, at(720), without);
    adopt(&mut guard, at(730), document(3, &slices));
    let epoch = ident::EpochNumber(3);
    let renewal = OwnershipMessage::Renew { lease: lease(OWNER), sequence: 9, epoch };
    let refused = OwnershipMessage::RenewRefused { lease: lease(OWNER), epoch };
    assert_eq!(sent_messages(&guard.receive(at(740), OWNER, renewal)), [&refused]);
}

#[test]
fn a_guard_refuses_a_lease_that_a_later_document_dropped() {
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), document(2, &[(0, &[2, 3], 1, &[])]));
    let dropped = ident::LeaseId { incarnation: OWNER, generation: 9 };
    let renewal = |epoch| {
        let epoch = ident::EpochNumber(epoch);
        OwnershipMessage::Renew { lease: dropped, sequence: 1, epoch }
    };
    let refused = OwnershipMessage::RenewRefused { lease: dropped, epoch: ident::EpochNumber(2) };
    assert_eq!(sent_messages(&guard.receive(at(10), OWNER, renewal(1))), [&refused]);
    // A later document may name the lease: the guard fetches the document before it replies.
    let fetch = OwnershipAction::FetchDocument { from: OWNER, epoch: ident::EpochNumber(3) };
    assert_eq!(guard.receive(at(20), OWNER, renewal(3)), [fetch]);
}

/// With two members, only the gap between calls shows a pause, as no other zone must be heard.
#[test]
fn a_pause_doesnt_count_as_silence_between_two_members() {
    let mut two_members = document(1, &[(0, &[1, 4], 1, &[])]);
    two_members.members[1].state = assignment::MemberState::Gone;
    two_members.members[2].state = assignment::MemberState::Gone;
    let mut guard = OwnershipMachine::new(FOURTH);
    adopt(&mut guard, at(0), two_members);
    guard.tick(at(9_000));
    let query = OwnershipMessage::VouchQuery { lease: lease(OWNER) };
    assert_eq!(guard.receive(at(9_001), OWNER, query), []);
}
