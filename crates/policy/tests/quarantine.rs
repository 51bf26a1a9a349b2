//! Requests that crash upstreams: suspects, clearing, refusal and propagation.

use std::collections::HashSet;

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];
const NOW: time::Instant = time::Instant(1_000_000);

fn fingerprint_of(value: u64) -> quarantine::RequestFingerprint {
    quarantine::RequestFingerprint(value)
}

fn crash(node: u64) -> quarantine::CrashId {
    quarantine::CrashId { node: ident::IncarnationId(node), sequence: 1 }
}

fn refuse() -> quarantine::SuspectDecision {
    quarantine::SuspectDecision::Refuse { remaining: quarantine::QUARANTINE_DURATION }
}

/// Guards against losing a third upstream, and against refusing requests that only ran at the same
/// time.
#[test]
fn second_crash_refuses_and_completion_clears() {
    let mut registry = quarantine::SuspectRegistry::new();
    registry.record_crash(
        NOW,
        crash(1),
        &[fingerprint_of(1), fingerprint_of(2), fingerprint_of(3)],
    );
    assert_eq!(registry.decide(NOW, fingerprint_of(2)), quarantine::SuspectDecision::RunAlone);
    assert_eq!(registry.decide(NOW, fingerprint_of(9)), quarantine::SuspectDecision::Pass);
    registry.record_crash(NOW, crash(2), &[fingerprint_of(2)]);
    assert_eq!(registry.decide(NOW, fingerprint_of(2)), refuse());
    assert_eq!(registry.decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::RunAlone);
    assert!(registry.record_completion(NOW, fingerprint_of(1)).is_some());
    assert_eq!(registry.decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::Pass);
    assert_eq!(
        registry.record_completion(NOW, fingerprint_of(2)),
        None,
        "a refused request isn't cleared"
    );
}

/// Guards against clearing a suspect by a run that was dispatched before the crash.
#[test]
fn earlier_requests_clear_nothing() {
    let mut registry = quarantine::SuspectRegistry::new();
    registry.record_crash(NOW, crash(1), &[fingerprint_of(1)]);
    assert_eq!(registry.record_completion(time::Instant(NOW.0 - 1), fingerprint_of(1)), None);
    assert_eq!(registry.decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::RunAlone);
}

/// Guards against a refusal that never ends.
#[test]
fn refusal_ends_after_ten_minutes() {
    let mut registry = quarantine::SuspectRegistry::new();
    registry.record_crash(NOW, crash(1), &[fingerprint_of(1)]);
    registry.record_crash(NOW, crash(2), &[fingerprint_of(1)]);
    let end = NOW + time::Duration::from_secs(600);
    let last = time::Instant(end.0 - 1);
    let remaining = time::Duration(1);
    let refused = quarantine::SuspectDecision::Refuse { remaining };
    assert_eq!(registry.decide(last, fingerprint_of(1)), refused);
    assert_eq!(registry.decide(end, fingerprint_of(1)), quarantine::SuspectDecision::Pass);
    registry.tick(end);
    assert!(registry.is_empty());
}

/// Guards against counting one crash twice when its notice arrives on several paths.
#[test]
fn notices_are_idempotent_and_reach_every_node() {
    let mut nodes: Vec<_> = (0..3).map(|_| quarantine::SuspectRegistry::new()).collect();
    let first = nodes[0].record_crash(NOW, crash(1), &[fingerprint_of(1), fingerprint_of(2)]);
    for node in &mut nodes[1..] {
        for notice in &first {
            assert!(node.merge(NOW, *notice));
            assert!(!node.merge(NOW, *notice));
        }
        assert_eq!(node.decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::RunAlone);
    }
    let cleared =
        nodes[1].record_completion(NOW, fingerprint_of(2)).expect("request 2 is a suspect");
    let second = nodes[1].record_crash(NOW, crash(2), &[fingerprint_of(1)]);
    for node in &mut nodes {
        second.iter().chain([&cleared]).for_each(|notice| {
            node.merge(NOW, *notice);
        });
        assert_eq!(node.decide(NOW, fingerprint_of(1)), refuse());
        assert_eq!(node.decide(NOW, fingerprint_of(2)), quarantine::SuspectDecision::Pass);
    }
    let mut joined = quarantine::SuspectRegistry::new();
    nodes[0].notices(NOW).into_iter().for_each(|notice| {
        joined.merge(NOW, notice);
    });
    assert_eq!(joined.decide(NOW, fingerprint_of(1)), refuse());
}

/// Guards against copies of one suspect crashing several workers at once.
#[test]
fn copies_of_a_suspect_go_to_one_worker() {
    let workers = |range: std::ops::Range<u64>| range.map(ident::IncarnationId);
    let mut counts = [0; 6];
    for value in 0..600 {
        let chosen = quarantine::worker_for_suspect(fingerprint_of(value), workers(0..6))
            .map(|worker| worker.0);
        let reversed = quarantine::worker_for_suspect(fingerprint_of(value), workers(0..6).rev());
        assert_eq!(chosen, reversed.map(|worker| worker.0), "the order doesn't matter");
        let fewer = quarantine::worker_for_suspect(fingerprint_of(value), workers(0..5))
            .map(|worker| worker.0);
        assert!(chosen == Some(5) || chosen == fewer, "another worker's loss changes nothing");
        counts[chosen.map_or(0, |number| number as usize)] += 1;
    }
    assert!(counts.iter().all(|count| (60..140).contains(count)), "{counts:?}");
    assert_eq!(quarantine::worker_for_suspect(fingerprint_of(1), workers(0..0)), None);
}

/// Guards against unbounded memory, and against evicting a refused request in favour of a suspect.
#[test]
fn memory_is_bounded_and_refusals_stay() {
    let mut registry = quarantine::SuspectRegistry::new();
    registry.record_crash(NOW, crash(1), &[fingerprint_of(0)]);
    registry.record_crash(NOW, crash(2), &[fingerprint_of(0)]);
    for value in 1..10_000 {
        registry.record_crash(NOW, crash(value + 2), &[fingerprint_of(value)]);
    }
    assert_eq!(registry.len(), quarantine::MAX_ENTRIES);
    assert_eq!(registry.decide(NOW, fingerprint_of(0)), refuse());
}

/// Guards against one request crashing more than two upstreams while its caller retries it.
#[test]
fn one_request_crashes_at_most_two_upstreams() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
            let mut registry = quarantine::SuspectRegistry::new();
            let crashing = fingerprint_of(rng.u64(0..20));
            let (mut crashes, mut others_refused) = (0, 0);
            let mut running = HashSet::new();
            for step in 0..2_000 {
                let now = NOW + time::Duration::from_millis(step);
                let chosen = fingerprint_of(rng.u64(0..20));
                match registry.decide(now, chosen) {
                    quarantine::SuspectDecision::Refuse { .. } => {
                        others_refused += u32::from(chosen != crashing);
                        continue;
                    }
                    quarantine::SuspectDecision::RunAlone => running.clear(),
                    quarantine::SuspectDecision::Pass => {}
                }
                running.insert(chosen);
                if chosen == crashing {
                    crashes += 1;
                    let in_flight: Vec<_> = running.drain().collect();
                    registry.record_crash(now, crash(step), &in_flight);
                } else {
                    registry.record_completion(now, chosen);
                }
                if running.len() > 11 {
                    running.clear();
                }
            }
            assert!(crashes <= 2, "{crashes} upstreams lost");
            assert_eq!(others_refused, 0, "suspects run alone, so only one is refused");
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

/// Guards against refusing a popular request, which is in flight at every crash, for ten minutes.
#[test]
fn a_request_that_ended_well_a_moment_ago_is_no_suspect() {
    let mut registry = quarantine::SuspectRegistry::new();
    registry.record_completion(NOW, fingerprint_of(1));
    let soon = NOW + time::Duration::from_millis(500);
    for number in 1..10 {
        let notices = registry.record_crash(
            soon,
            crash(number),
            &[fingerprint_of(1), fingerprint_of(number + 1)],
        );
        assert!(notices.iter().all(|notice| {
            !matches!(notice, quarantine::SuspectNotice::InFlight { fingerprint, .. }
                if *fingerprint == fingerprint_of(1))
        }));
    }
    assert_eq!(registry.decide(soon, fingerprint_of(1)), quarantine::SuspectDecision::Pass);
    assert_eq!(registry.decide(soon, fingerprint_of(2)), quarantine::SuspectDecision::RunAlone);
    let late = NOW + quarantine::MAX_SERVED_AGE;
    registry.record_crash(late, crash(10), &[fingerprint_of(1)]);
    assert_eq!(registry.decide(late, fingerprint_of(1)), quarantine::SuspectDecision::RunAlone);
}

/// Guards against refusing a popular request because nodes that have just started saw it in flight
/// at two crashes: another node refutes their notices.
#[test]
fn a_node_that_serves_a_request_objects_to_its_refusal() {
    let mut nodes: Vec<_> = (0..3).map(|_| quarantine::SuspectRegistry::new()).collect();
    nodes[2].record_completion(NOW, fingerprint_of(1));
    let mut notices = nodes[0].record_crash(NOW, crash(1), &[fingerprint_of(1), fingerprint_of(2)]);
    notices.extend(nodes[1].record_crash(NOW, crash(2), &[fingerprint_of(1), fingerprint_of(2)]));
    for node in &mut nodes {
        notices.iter().for_each(|notice| {
            node.merge(NOW, *notice);
        });
    }
    assert_eq!(nodes[0].decide(NOW, fingerprint_of(1)), refuse());
    assert_eq!(nodes[2].decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::Pass);
    let refutations: Vec<_> =
        notices.iter().filter_map(|notice| nodes[2].refute(NOW, *notice)).collect();
    for node in &mut nodes {
        refutations.iter().for_each(|notice| {
            node.merge(NOW, *notice);
        });
        assert_eq!(node.decide(NOW, fingerprint_of(1)), quarantine::SuspectDecision::Pass);
        assert_eq!(node.decide(NOW, fingerprint_of(2)), refuse());
    }
}

/// Guards against unbounded memory for successful requests.
#[test]
fn memory_of_served_requests_is_bounded_by_time() {
    let mut registry = quarantine::SuspectRegistry::new();
    for value in 0..20_000 {
        registry.record_completion(NOW, fingerprint_of(value));
    }
    let late = NOW + quarantine::MAX_SERVED_AGE;
    registry.tick(late);
    registry.record_completion(late, fingerprint_of(30_000));
    registry.record_crash(late, crash(1), &[fingerprint_of(30_000)]);
    assert_eq!(registry.decide(late, fingerprint_of(30_000)), quarantine::SuspectDecision::Pass);
}
