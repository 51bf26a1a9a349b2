//! Selection of workers: balance, load hints, ejection and return.

#![allow(clippy::expect_used)]

use std::collections::HashMap;

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::selection;

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];
const TARGET: time::Duration = time::Duration::from_millis(50);
const LATENCY: time::Duration = time::Duration::from_millis(10);
const LOCAL_ZONE: selection::ZoneIndex = selection::ZoneIndex(0);
const REMOTE_ZONE: selection::ZoneIndex = selection::ZoneIndex(1);

fn worker(number: u64) -> ident::IncarnationId {
    ident::IncarnationId(number)
}

fn selector(workers: u64) -> selection::WorkerSelector {
    let mut selector = selection::WorkerSelector::new(LOCAL_ZONE, TARGET);
    (0..workers).for_each(|number| selector.insert(time::Instant(0), worker(number), LOCAL_ZONE));
    selector
}

/// Returns a time that is `ms` milliseconds after the slow start of new workers.
fn later(ms: u64) -> time::Instant {
    time::Instant(10_000_000 + ms * 1_000)
}

/// Selects a worker `count` times, with one request at a time that ends with `result(worker)`.
///
/// Returns the number of requests by worker.
fn run_requests(
    selector: &mut selection::WorkerSelector,
    rng: &mut fastrand::Rng,
    from: time::Instant,
    count: u64,
    result: impl Fn(u64) -> selection::WorkerResult,
) -> HashMap<u64, u64> {
    let mut counts = HashMap::new();
    for step in 0..count {
        let now = from + time::Duration(step * 1_000);
        let choice = selector.select(now, &[], rng).expect("there are workers");
        *counts.entry(choice.worker.0).or_default() += 1;
        selector.finish(now, choice.worker, LATENCY, result(choice.worker.0));
    }
    counts
}

/// Guards against ejecting more than half of the workers for failures, whatever happens.
#[test]
fn at_most_half_are_ejected_for_failures() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
            let count = rng.u64(1..9);
            let mut selector = selector(count);
            let mut now = later(0);
            let failing = rng.u64(..);
            for _ in 0..5_000 {
                now = now + time::Duration(rng.u64(0..5_000));
                let choice = selector.select(now, &[], &mut rng).expect("there are workers");
                let fails = failing >> choice.worker.0 & 1 == 1 || rng.u8(0..10) == 0;
                let result = match fails {
                    true => selection::WorkerResult::Failed,
                    false => selection::WorkerResult::Success,
                };
                selector.finish(now, choice.worker, LATENCY, result);
                assert!(selector.ejected() * 2 <= selector.len());
                if rng.u16(0..2_000) == 0 && selector.len() > 1 {
                    selector.remove(choice.worker);
                    assert!(selector.ejected() * 2 <= selector.len(), "after a removal");
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

/// Guards against continued use of a failing worker, and against one that never returns.
#[test]
fn failing_worker_is_ejected_and_returns() {
    for seed in SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut selector = selector(4);
        let failing = |number| match number {
            0 => selection::WorkerResult::Failed,
            _ => selection::WorkerResult::Success,
        };
        let counts = run_requests(&mut selector, &mut rng, later(0), 10_000, failing);
        assert_eq!(selector.ejected(), 1, "seed {seed}");
        // Three failures, then trials at intervals that double from 0.5 s: 5 fit into 10 s.
        assert!(counts[&0] <= 3 + 5, "seed {seed}: {counts:?}");
        let healthy = |_| selection::WorkerResult::Success;
        let counts = run_requests(&mut selector, &mut rng, later(10_000), 40_000, healthy);
        assert_eq!(selector.ejected(), 0, "seed {seed}");
        assert!(counts[&0] > 2_000, "seed {seed}: {counts:?}");
    }
}

/// Guards against a frozen worker accumulating requests, and against one that never returns.
#[test]
fn silent_worker_is_ejected_and_returns() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut selector = selector(3);
    for _ in 0..100 {
        if selector.in_flight(worker(0)) > 0 {
            break;
        }
        let choice = selector.select(later(0), &[], &mut rng).expect("there are workers");
        if choice.worker != worker(0) {
            selector.finish(later(0), choice.worker, LATENCY, selection::WorkerResult::Success);
        }
    }
    assert_eq!(selector.in_flight(worker(0)), 1, "an unmeasured worker is chosen among equals");
    selector.tick(later(900));
    assert_eq!(selector.ejected(), 0);
    selector.tick(later(1_100));
    assert_eq!(selector.ejected(), 1);
    let slow = time::Duration::from_millis(1_200);
    selector.finish(later(1_200), worker(0), slow, selection::WorkerResult::Success);
    let healthy = |_| selection::WorkerResult::Success;
    run_requests(&mut selector, &mut rng, later(1_201), 500, healthy);
    assert_eq!(selector.ejected(), 0, "a late response leads to a trial and its return");
}

/// Guards against refusing all requests when every worker is silent.
#[test]
fn some_worker_is_chosen_when_all_are_ejected() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut selector = selector(2);
    (0..8).for_each(|_| assert!(selector.select(later(0), &[], &mut rng).is_some()));
    selector.tick(later(2_000));
    assert_eq!(selector.ejected(), 2);
    assert!(selector.select(later(2_001), &[], &mut rng).is_some());
    assert_eq!(selector.select(later(2_001), &[worker(0), worker(1)], &mut rng), None);
}

/// Guards against a thundering herd towards a worker whose last load hint says that it is idle.
#[test]
fn stale_idle_hint_draws_no_herd() {
    for seed in SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut selector = selector(4);
        let hint = |in_flight| selection::LoadHint {
            in_flight,
            accepting: true,
            ..selection::LoadHint::default()
        };
        for number in 0..4 {
            let in_flight = if number == 0 { 0 } else { 6 };
            selector.record_load(later(0), worker(number), hint(in_flight));
        }
        let mut counts = [0_u32; 4];
        for step in 0..400 {
            let choice = selector.select(later(step / 2), &[], &mut rng).expect("workers");
            counts[choice.worker.0 as usize] += 1;
        }
        // Two random choices of four workers give one worker at most half of the requests.
        assert!(counts[0] <= 200, "seed {seed}: {counts:?}");
        let mut counts = [0_u32; 4];
        for step in 0..400 {
            let choice = selector.select(later(1_001 + step), &[], &mut rng).expect("workers");
            counts[choice.worker.0 as usize] += 1;
        }
        assert!(counts.iter().all(|count| *count <= 140), "old hint, seed {seed}: {counts:?}");
    }
}

/// Guards against a zone preference that overloads the workers of one zone.
#[test]
fn zone_only_breaks_ties() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut selector = selection::WorkerSelector::new(LOCAL_ZONE, TARGET);
    (0..2).for_each(|number| selector.insert(time::Instant(0), worker(number), REMOTE_ZONE));
    selector.insert(time::Instant(0), worker(2), LOCAL_ZONE);
    let first = |selector: &mut selection::WorkerSelector, rng: &mut fastrand::Rng| {
        selector.select(later(0), &[worker(0)], rng).expect("workers").worker
    };
    assert_eq!(first(&mut selector, &mut rng), worker(2), "equal load: own zone");
    assert_eq!(first(&mut selector, &mut rng), worker(1), "more load in the own zone");
}

/// Guards against selecting a worker again for a retry.
#[test]
fn tried_workers_are_not_chosen() {
    for seed in SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut selector = selector(5);
        for _ in 0..100 {
            let choice = selector.select(later(0), &[worker(1), worker(3)], &mut rng);
            assert!(!matches!(choice.map(|choice| choice.worker.0), Some(1 | 3)));
        }
    }
}

/// Guards against sending most requests to a worker that only refuses, because refusals are fast.
#[test]
fn refusing_worker_is_avoided() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut selector = selector(4);
    let refusing = |number| match number {
        0 => selection::WorkerResult::Refused,
        _ => selection::WorkerResult::Success,
    };
    let counts = run_requests(&mut selector, &mut rng, later(0), 4_000, refusing);
    assert!(counts[&0] < 400, "{counts:?}");
    assert_eq!(selector.ejected(), 0, "refusing isn't failing");
}
