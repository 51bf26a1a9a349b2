//! Tests of the planner in simulated regions. Every document is checked against the previous one.

// Clippy's `allow-expect-in-tests` doesn't cover helpers outside test functions.
#![allow(clippy::expect_used)]

mod region;

use std::collections::BTreeSet;

use arbtest::arbtest;
use cornelridge_control::planner::Planner;
use cornelridge_model::class::BalancePreference;
use cornelridge_model::{assignment, ident, key, time};
use region::{Region, lease_ids};

fn region(orders: usize, quotes: usize, zones: usize) -> Region {
    let mut region = Region::new(BalancePreference::LeastDowntime);
    region.add_nodes("orders", orders, zones);
    region.add_nodes("quotes", quotes, zones);
    region.step();
    region
}

/// Adds keys with equal rates, distributed by their hash.
fn even_keys(region: &mut Region, class: &str, count: u64, rate: f64) {
    let hash = |n: u64| key::KeyHash::of(class, &n.to_le_bytes());
    region.keys.extend((0..count).map(|n| (class.into(), hash(n), rate)));
}

fn owners(region: &Region, class: &str) -> BTreeSet<ident::IncarnationId> {
    let document = region.document();
    let (_, slices) = document.class(class).expect("the class exists");
    slices.slices.iter().map(|slice| document.holder(slice.chain[0]).incarnation).collect()
}

/// Guards against a first document in which members own no slices or chains lack zones.
#[test]
fn the_first_document_gives_every_member_slices() {
    let mut region = region(4, 3, 3);
    assert_eq!(region.document().epoch, ident::EpochNumber(1));
    assert_eq!(owners(&region, "orders").len(), 4);
    let (_, slices) = region.document().class("orders").expect("the class exists");
    assert_eq!(slices.slices.len(), 4 * 64);
    region.check_converged();
    let documents = region.documents;
    region.run_steps(120);
    assert_eq!((region.documents, region.moves), (documents, 0), "nothing changed");
}

/// Guards against a new member that never gets slices, and against more moves than the budget
/// allows.
#[test]
fn a_member_that_joins_is_filled_within_the_budget() {
    let mut region = region(4, 3, 3);
    even_keys(&mut region, "orders", 4_000, 1.0);
    region.run_steps(30);
    region.add_nodes("orders", 1, 3);
    let mut before = region.moves;
    for _ in 0..10 {
        region.run_steps(60);
        assert!(region.moves - before <= 2 * 13 + 1, "the budget is 5% of 256 slices per minute");
        before = region.moves;
    }
    assert_eq!(owners(&region, "orders").len(), 5);
    assert!(region.imbalance("orders") < 1.12, "{:?}", region.loads("orders"));
    region.run_steps(5);
    region.check_converged();
}

/// Guards against a drained member that keeps slices or guarded leases.
#[test]
fn a_draining_member_gives_everything_away() {
    let mut region = region(4, 3, 3);
    region.nodes[1].is_draining = true;
    region.run_steps(10);
    let leaving = region.incarnation(1);
    assert!(!owners(&region, "orders").contains(&leaving));
    region.check_converged();
    let document = region.document();
    let member = document.member_key(leaving).expect("still registered");
    assert_eq!(document.member(member).state, assignment::MemberState::Draining);
    let is_guard = |lease: &assignment::LeaseRecord| lease.guards.contains(&member);
    assert!(!document.leases.iter().any(is_guard));
}

/// Guards against a takeover by a member that isn't the successor and therefore has no records.
#[test]
fn the_successor_becomes_the_owner_of_a_lost_member() {
    let mut region = region(4, 3, 3);
    let before = region.document().clone();
    region.lose_node(0);
    let lost = region.incarnation(0);
    region.run_steps(5);
    let after = region.document().clone();
    let (_, slices) = before.class("orders").expect("the class exists");
    for slice in &slices.slices {
        let chain = lease_ids(&before, &slice.chain);
        let successor = chain.iter().find(|lease| lease.incarnation != lost).expect("a successor");
        let at = after.locate("orders", slice.start).expect("covers all");
        let owner = after.holder(after.slice(at).chain[0]).incarnation;
        assert_eq!(owner, successor.incarnation);
    }
    region.check_converged();
}

/// Guards against a region that doesn't recover from the loss of a zone, in which owners,
/// successors and guards are lost at once.
#[test]
fn a_lost_zone_is_replaced_and_returns() {
    let mut region = region(9, 6, 3);
    let lost = (0..15).filter(|node| node % 3 == 2).collect::<Vec<_>>();
    lost.iter().for_each(|node| region.lose_node(*node));
    region.converge();
    region.add_nodes("orders", 3, 3);
    region.add_nodes("quotes", 2, 3);
    region.converge();
}

/// Guards against a lease that keeps a lost guard, and against a change of the guards of a lease
/// without a new generation.
#[test]
fn a_lost_guard_gives_the_lease_a_new_generation() {
    let mut region = region(4, 5, 3);
    let holder = region.incarnation(0);
    let first = ident::LeaseId { incarnation: holder, generation: 1 };
    let document = region.document();
    let lease = document.lease(document.lease_key(first).expect("exists"));
    let guard = document.member(lease.guards[0]).incarnation;
    region.nodes[0].silent_guards = vec![guard];
    region.step();
    assert!(
        region.document().lease_key(first).is_some(),
        "a single report doesn't replace a guard"
    );
    region.run_steps(6);
    region.nodes[0].silent_guards.clear();
    let document = region.document();
    let second = ident::LeaseId { incarnation: holder, generation: 2 };
    let lease = document.lease(document.lease_key(second).expect("a new generation"));
    assert!(lease.guards.iter().all(|member| document.member(*member).incarnation != guard));
    assert_eq!(document.lease_key(first), None, "the old generation is removed");
    assert_eq!(region.moves, 0, "the owners don't change");
    region.check_converged();
}

/// Guards against moving slices because of a missing report, a member that is briefly reported as
/// lost, or a restarting upstream.
#[test]
fn transient_reports_move_nothing() {
    let mut region = region(4, 3, 3);
    region.run_steps(3);
    let documents = region.documents;
    let suspected = region.incarnation(0);
    for _ in 0..10 {
        region.lost.insert(suspected);
        region.nodes[1].has_upstream = false;
        region.nodes[2].is_reporting = false;
        region.step();
        region.lost.clear();
        region.nodes[1].has_upstream = true;
        region.nodes[2].is_reporting = true;
        region.step();
    }
    assert_eq!((region.documents, region.moves), (documents, 0));
}

/// Guards against an isolated planner that replaces all members.
#[test]
fn a_planner_that_reaches_nobody_changes_nothing() {
    let mut region = region(4, 3, 3);
    let documents = region.documents;
    for node in 0..6 {
        region.nodes[node].is_reporting = false;
        region.lost.insert(region.incarnation(node));
    }
    region.run_steps(20);
    assert_eq!(region.documents, documents);
}

/// Guards against assigning slices and guarded leases to a host that is gone but still registered.
#[test]
fn a_registration_without_reports_gets_no_duty() {
    let mut region = region(4, 3, 3);
    region.add_nodes("orders", 1, 3);
    region.nodes[7].is_alive = false;
    region.run_steps(120);
    let gone = region.incarnation(7);
    assert!(!owners(&region, "orders").contains(&gone));
    let document = region.document();
    let member = document.member_key(gone).expect("registered");
    let names =
        |lease: &assignment::LeaseRecord| lease.holder == member || lease.guards.contains(&member);
    assert!(!document.leases.iter().any(names));
}

/// Guards against an owner without an upstream, and against reusing an expired lease when the
/// upstream returns.
#[test]
fn a_released_lease_is_replaced_when_the_upstream_returns() {
    let mut region = region(4, 3, 3);
    region.nodes[0].has_upstream = false;
    region.expire_leases(0);
    region.run_steps(5);
    let released = region.incarnation(0);
    assert!(!owners(&region, "orders").contains(&released));
    region.nodes[0].has_upstream = true;
    region.run_steps(30);
    let document = region.document();
    let lease = ident::LeaseId { incarnation: released, generation: 2 };
    assert!(document.lease_key(lease).is_some(), "a new generation");
    region.check_converged();
}

/// Guards against clearing `previous` while a member in it may still be serving.
#[test]
fn a_move_stays_unsettled_until_the_old_chain_has_confirmed_or_expired() {
    let mut region = region(4, 3, 3);
    let silent = region.incarnation(0);
    region.nodes[0].is_reporting = false;
    region.lost.insert(silent);
    region.run_steps(20);
    let count_unsettled = |region: &Region| {
        let document = region.document();
        let (_, slices) = document.class("orders").expect("the class exists");
        let unsettled = slices.slices.iter().filter(|slice| {
            lease_ids(document, &slice.previous).iter().any(|lease| lease.incarnation == silent)
        });
        unsettled.count()
    };
    assert!(count_unsettled(&region) > 0);
    region.expire_leases(0);
    region.nodes[0].is_alive = false;
    region.run_steps(5);
    assert_eq!(count_unsettled(&region), 0);
    region.check_converged();
}

/// Guards against moving slices because of loads that vary around the same mean.
#[test]
fn noise_moves_nothing() {
    for prefer in [BalancePreference::FewestMoves, BalancePreference::LeastDowntime] {
        let mut region = Region::new(prefer);
        region.add_nodes("orders", 6, 3);
        region.step();
        even_keys(&mut region, "orders", 3_000, 1.0);
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..300 {
            for (_, _, rate) in &mut region.keys {
                *rate = 0.5 + rng.f64();
            }
            region.step();
        }
        assert_eq!(region.moves, 0, "{prefer:?}");
    }
}

/// Guards against a hot key that shares its slice with other keys, and against slices of cooled
/// keys that are never merged.
#[test]
fn a_hot_key_gets_its_own_slice_and_merges_back() {
    let mut region = region(4, 3, 3);
    even_keys(&mut region, "orders", 4_000, 2.5);
    region.run_steps(20);
    let hot = key::KeyHash::of("orders", b"hot");
    region.keys.push(("orders".into(), hot, 2_000.0));
    region.run_steps(180);
    let document = region.document();
    let at = document.locate("orders", hot).expect("covers all");
    assert_eq!(document.slice(at).start, hot);
    let next = assignment::SliceKey { slice: at.slice + 1, ..at };
    assert_eq!(document.slice(next).start, key::KeyHash(hot.0 + 1));
    // Moves start at an excess of 10%, plus three standard deviations (1.3%) and 1% for idle
    // slices.
    assert!(region.imbalance("orders") < 1.13, "{:?}", region.loads("orders"));

    region.keys.pop();
    region.run_steps(400);
    let (_, slices) = region.document().class("orders").expect("the class exists");
    assert_eq!(slices.slices.len(), 4 * 64);
}

/// Guards against documents that differ although their input is the same.
#[test]
fn the_same_input_gives_the_same_document() {
    let run = || {
        let mut region = region(5, 4, 3);
        even_keys(&mut region, "orders", 500, 3.0);
        region.keys.push(("orders".into(), key::KeyHash::of("orders", b"hot"), 300.0));
        region.run_steps(40);
        region.lose_node(2);
        region.run_steps(40);
        region.document().clone()
    };
    assert_eq!(run(), run());
}

/// Guards against undoing the balance when another node becomes the planner and knows no loads yet.
#[test]
fn a_new_planner_moves_nothing_by_itself() {
    let mut region = region(4, 3, 3);
    even_keys(&mut region, "orders", 400, 1.0);
    region.keys.push(("orders".into(), key::KeyHash::of("orders", b"hot"), 150.0));
    region.run_steps(300);
    let moves = region.moves;
    region.planner = Planner::new();
    region.run_steps(120);
    assert_eq!(region.moves, moves);
}

/// Guards against two owners of a slice after a class was deleted and created again.
#[test]
fn a_deleted_class_keeps_its_slices_while_owners_live() {
    let mut region = region(4, 3, 3);
    let classes = region.classes.clone();
    let before = region.document().clone();
    region.classes.classes.pop();
    region.run_steps(5);
    assert_eq!(region.document().class("quotes").map(|(_, slices)| slices.slices.len()), Some(192));
    region.classes = classes;
    region.run_steps(5);
    let after = region.document();
    let (_, slices) = before.class("quotes").expect("the class exists");
    for slice in &slices.slices {
        let at = after.locate("quotes", slice.start).expect("covers all");
        assert_eq!(
            lease_ids(after, &after.slice(at).chain)[0],
            lease_ids(&before, &slice.chain)[0]
        );
    }
}

/// Guards against documents that break a rule and regions that don't converge after random joins,
/// losses, drains, expiries and silent guards.
#[test]
fn random_events_keep_the_rules_and_converge() {
    for seed in (0..16u64).map(|index| (index * 977 + 5) << 32 | 0x400) {
        arbtest(|u| {
            let mut region = region(u.int_in_range(1..=5)?, u.int_in_range(1..=4)?, 3);
            even_keys(&mut region, "orders", 300, 2.0);
            for _ in 0..60 {
                let node = u.choose_index(region.nodes.len())?;
                match u.int_in_range(0..=11u8)? {
                    0 if region.nodes.len() < 16 => region.add_nodes("orders", 1, 3),
                    1 if region.nodes.len() < 16 => region.add_nodes("quotes", 1, 3),
                    2 => region.lose_node(node),
                    3 => region.nodes[node].is_draining = u.arbitrary()?,
                    4 => region.nodes[node].has_upstream = u.arbitrary()?,
                    5 => region.nodes[node].is_reporting = u.arbitrary()?,
                    6 => region.expire_leases(node),
                    7 => {
                        let guard = u.choose_index(region.nodes.len())?;
                        region.nodes[node].silent_guards = vec![region.incarnation(guard)];
                    }
                    8 => drop(region.lost.insert(region.incarnation(node))),
                    9 => {
                        let rate = f64::from(u.int_in_range(1..=900u32)?);
                        let hash = key::KeyHash(u.arbitrary()?);
                        region.keys.push(("orders".into(), hash, rate));
                    }
                    10 => region.planner = Planner::new(),
                    _ => {}
                }
                region.run_steps(u.int_in_range(1..=3)?);
            }
            region.add_nodes("orders", 3, 3);
            region.add_nodes("quotes", 3, 3);
            for index in 0..region.nodes.len() {
                let node = &mut region.nodes[index];
                node.silent_guards.clear();
                node.is_reporting = true;
                node.has_upstream = true;
                if node.is_alive {
                    region.lost.remove(&region.incarnation(index));
                }
            }
            region.converge();
            Ok(())
        })
        .seed(seed);
    }
}

/// Guards against a planner that fails at the design size: 157 members in 22 zones with 64 slices
/// each.
#[test]
fn the_design_size_stays_within_one_value_of_the_store() {
    let mut region = Region::new(BalancePreference::LeastDowntime);
    region.add_nodes("orders", 157, 22);
    region.step();
    let document = region.document();
    let (_, slices) = document.class("orders").expect("the class exists");
    assert_eq!(slices.slices.len(), 157 * 64);
    let mut partners = std::collections::BTreeMap::<_, BTreeSet<_>>::new();
    for slice in &slices.slices {
        let chain = lease_ids(document, &slice.chain);
        partners.entry(chain[0].incarnation).or_default().insert(chain[1].incarnation);
    }
    assert!(partners.values().all(|first| first.len() <= 4), "too many first successors to probe");
    region.lose_node(3);
    region.run_steps(120);
    region.check_converged();
    assert_eq!(region.now, time::Instant(1_000_000_000) + time::Duration::from_secs(121));
}
