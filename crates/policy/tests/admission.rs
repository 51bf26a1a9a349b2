//! Admission at one upstream: order, limits, early refusal and goodput under overload.

#![allow(clippy::expect_used)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use cornelridge_model::time;
use cornelridge_policy::admission;
use cornelridge_policy::limit;

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];
const SLOTS: u32 = 12;

fn millis(value: u64) -> time::Instant {
    time::Instant(value * 1_000)
}

fn request(id: u64, rank: u8, now: time::Instant) -> admission::AdmissionRequest {
    admission::AdmissionRequest {
        id: admission::RequestId(id),
        class: admission::ClassIndex(u16::from(rank)),
        yield_rank: rank,
        caller: admission::CallerHash(0),
        target: time::Duration::from_millis(100),
        deadline: now + time::Duration::from_millis(1_000),
        bulk: false,
        alone: false,
    }
}

fn warm(slots: u32) -> admission::AdmissionQueue {
    let limit = limit::ConcurrencyLimit::warm(time::Instant(0), slots);
    admission::AdmissionQueue::with_limit(time::Instant(0), limit)
}

fn response_after(ms: u64) -> admission::FinishReport {
    let latency = time::Duration::from_millis(ms);
    admission::FinishReport { latency, ..admission::FinishReport::default() }
}

fn is_queued(decision: admission::AdmissionDecision) -> bool {
    matches!(decision, admission::AdmissionDecision::Queued { .. })
}

fn dispatched(actions: &[admission::AdmissionAction]) -> Vec<u64> {
    let id = |action: &admission::AdmissionAction| match action {
        admission::AdmissionAction::Dispatch(id) => Some(id.0),
        admission::AdmissionAction::Refuse(..) => None,
    };
    actions.iter().filter_map(id).collect()
}

/// State of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running,
    Ended,
}

/// Tracks every request and checks the invariants after each step.
struct RequestTracker {
    requests: HashMap<admission::RequestId, (RequestState, admission::AdmissionRequest)>,
}

impl RequestTracker {
    fn apply(&mut self, actions: &[admission::AdmissionAction]) {
        for action in actions {
            let (id, next) = match action {
                admission::AdmissionAction::Dispatch(id) => (id, RequestState::Running),
                admission::AdmissionAction::Refuse(id, _) => (id, RequestState::Ended),
            };
            let state = self.requests.get_mut(id).expect("only offered requests have actions");
            assert_eq!(state.0, RequestState::Waiting, "{id:?} is decided once");
            state.0 = next;
        }
    }

    fn record_offer(
        &mut self,
        request: admission::AdmissionRequest,
        decision: admission::AdmissionDecision,
    ) {
        let state = match decision {
            admission::AdmissionDecision::Dispatch => RequestState::Running,
            admission::AdmissionDecision::Queued { evicted } => {
                let action = |evicted: admission::EvictedRequest| {
                    admission::AdmissionAction::Refuse(evicted.id, evicted.refusal)
                };
                self.apply(&evicted.map(action).into_iter().collect::<Vec<_>>());
                RequestState::Waiting
            }
            admission::AdmissionDecision::Refused(_) => RequestState::Ended,
        };
        self.requests.insert(request.id, (state, request));
    }

    fn in_state(&self, state: RequestState) -> Vec<admission::AdmissionRequest> {
        let mut matching: Vec<_> =
            self.requests.values().filter(|entry| entry.0 == state).map(|entry| entry.1).collect();
        matching.sort_unstable_by_key(|request| request.id);
        matching
    }

    fn check(&self, queue: &admission::AdmissionQueue) {
        let running = self.in_state(RequestState::Running);
        assert!(running.len() <= SLOTS as usize, "slots are never exceeded");
        let bulk = running.iter().filter(|request| request.bulk).count();
        assert!(
            bulk <= SLOTS as usize * 3 / 4,
            "bulk requests leave the last quarter of the slots free"
        );
        let alone = running.iter().any(|request| request.alone);
        assert!(!alone || running.len() == 1, "a suspect runs alone");
        assert_eq!(running.len(), queue.running(), "running requests are counted");
        assert_eq!(
            self.in_state(RequestState::Waiting).len(),
            queue.queued(),
            "no queued request is lost"
        );
        assert!(queue.queued() <= admission::MAX_QUEUED + 1, "the queue is bounded");
    }
}

fn random_request(
    rng: &mut fastrand::Rng,
    id: u64,
    now: time::Instant,
) -> admission::AdmissionRequest {
    let rank = rng.u8(0..4);
    admission::AdmissionRequest {
        caller: admission::CallerHash(rng.u64(0..5)),
        deadline: now + time::Duration(rng.u64(0..400_000)),
        bulk: rank == 3,
        alone: rng.u8(0..40) == 0,
        ..request(id, rank, now)
    }
}

/// Guards against a request that is lost, decided twice, or run in excess of the slots.
#[test]
fn every_request_has_one_fate_and_slots_hold() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
            let mut queue = admission::AdmissionQueue::new(time::Instant(0), SLOTS);
            let mut tracker = RequestTracker { requests: HashMap::new() };
            let mut now = time::Instant(0);
            for id in 0..4_000 {
                now = now + time::Duration(rng.u64(0..2_000));
                let running = tracker.in_state(RequestState::Running);
                let actions = match rng.u8(0..16) {
                    0..8 => {
                        let request = random_request(&mut rng, id, now);
                        let decision = queue.offer(now, request);
                        tracker.record_offer(request, decision);
                        Vec::new()
                    }
                    8 => queue.tick(now),
                    9 => {
                        let waiting = tracker.in_state(RequestState::Waiting);
                        let both: Vec<_> = running.iter().chain(&waiting).collect();
                        let Some(cancelled) = rng.choice(both) else { continue };
                        tracker.requests.get_mut(&cancelled.id).expect("known").0 =
                            RequestState::Ended;
                        queue.cancel(now, cancelled.id)
                    }
                    10 if rng.u8(0..32) == 0 => queue.upstream_lost(now),
                    11 if rng.u8(0..32) == 0 => queue.upstream_started(now, SLOTS),
                    _ => {
                        let Some(finished) = rng.choice(&running) else { continue };
                        tracker.requests.get_mut(&finished.id).expect("known").0 =
                            RequestState::Ended;
                        let mut report = response_after(rng.u64(1..200));
                        report.shed = rng.u8(0..20) == 0;
                        report.failed = rng.u8(0..20) == 0;
                        report.crashed = rng.u16(0..400) == 0;
                        queue.finish(now, finished.id, report)
                    }
                };
                tracker.apply(&actions);
                tracker.check(&queue);
            }
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

/// A stream of requests of one class in the overload simulation.
#[derive(Clone, Copy)]
struct Load {
    rank: u8,
    per_sec: u64,
    bulk: bool,
    service_us: u64,
}

/// Number of requests of one load by result.
#[derive(Clone, Debug, Default)]
struct Tally {
    offered: u64,
    in_time: u64,
    in_target: u64,
    answered: u64,
}

/// Simulates Poisson arrivals at 12 slots with exponential service times for `secs`.
fn simulate(seed: u64, loads: &[Load], secs: u64) -> Vec<Tally> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut queue = warm(SLOTS);
    let mut tallies = vec![Tally::default(); loads.len()];
    let mut known: HashMap<u64, (usize, time::Instant, time::Instant, u64)> = HashMap::new();
    let mut events = BinaryHeap::new();
    let exponential =
        |rng: &mut fastrand::Rng, mean: u64| (-(1.0 - rng.f64()).ln() * mean as f64) as u64 + 1;
    // Event kinds: 0 is an arrival of a load, 1 the end of a request, 2 a tick.
    (0..loads.len() as u64).for_each(|index| events.push(Reverse((0, 0, index))));
    events.push(Reverse((0, 2, 0)));
    let mut next_id = 0;
    while let Some(Reverse((at, kind, what))) = events.pop() {
        let now = time::Instant(at);
        if at > secs * 1_000_000 {
            break;
        }
        let mut started = Vec::new();
        match kind {
            0 => {
                let load = loads[what as usize];
                let gap = exponential(&mut rng, 1_000_000 / load.per_sec);
                events.push(Reverse((at + gap, 0, what)));
                next_id += 1;
                let request = admission::AdmissionRequest {
                    caller: admission::CallerHash(rng.u64(0..6)),
                    bulk: load.bulk,
                    ..request(next_id, load.rank, now)
                };
                let service = exponential(&mut rng, load.service_us);
                known.insert(next_id, (what as usize, now, request.deadline, service));
                tallies[what as usize].offered += 1;
                if queue.offer(now, request) == admission::AdmissionDecision::Dispatch {
                    started.push(next_id);
                }
            }
            1 => {
                let (load, arrived, deadline, service) = known[&what];
                let tally = &mut tallies[load];
                tally.answered += 1;
                tally.in_time += u64::from(now <= deadline);
                tally.in_target += u64::from(now.since(arrived).as_millis() <= 100);
                let latency = time::Duration(service);
                let report = admission::FinishReport { latency, ..Default::default() };
                started = dispatched(&queue.finish(now, admission::RequestId(what), report));
            }
            _ => {
                events.push(Reverse((at + 10_000, 2, 0)));
                started = dispatched(&queue.tick(now));
            }
        }
        for id in started {
            events.push(Reverse((at + known[&id].3, 1, id)));
        }
    }
    tallies
}

/// Guards against slots spent on requests whose responses come too late.
#[test]
fn goodput_at_twice_the_capacity() {
    for seed in SEEDS {
        let load = Load { rank: 0, per_sec: 1_200, bulk: false, service_us: 20_000 };
        let tally = &simulate(seed, &[load], 20)[0];
        let capacity = 600 * 20;
        assert!(tally.in_time * 10 >= capacity * 9, "seed {seed}: {tally:?}");
    }
}

/// Guards against classes of a low rank missing their target while a higher rank could yield.
#[test]
fn highest_rank_yields_first() {
    for seed in SEEDS {
        let load = |rank, per_sec| Load { rank, per_sec, bulk: false, service_us: 10_000 };
        let tallies = simulate(seed, &[load(0, 400), load(1, 400), load(2, 1_600)], 20);
        for tally in &tallies[..2] {
            assert!(tally.in_target * 100 >= tally.offered * 99, "seed {seed}: {tallies:?}");
        }
        assert!(tallies[2].in_time < tallies[2].offered, "seed {seed}: {tallies:?}");
        assert!(tallies[2].in_time > 0, "seed {seed}: {tallies:?}");
    }
}

/// Guards against bulk requests that occupy every slot while short requests wait.
#[test]
fn bulk_does_not_block_short_requests() {
    for seed in SEEDS {
        let short = Load { rank: 0, per_sec: 60, bulk: false, service_us: 10_000 };
        let bulk = Load { rank: 1, per_sec: 100, bulk: true, service_us: 500_000 };
        let tallies = simulate(seed, &[short, bulk], 20);
        let tally = &tallies[0];
        assert!(tally.in_target * 100 >= tally.offered * 99, "seed {seed}: {tallies:?}");
        assert!(tallies[1].answered > 200, "seed {seed}: bulk makes progress: {tallies:?}");
    }
}

/// Guards against bulk requests that occupy the slots of a class that yields after them.
#[test]
fn bulk_leaves_the_slots_that_lower_ranks_need() {
    for seed in SEEDS {
        let short = Load { rank: 0, per_sec: 900, bulk: false, service_us: 10_000 };
        let bulk = Load { rank: 1, per_sec: 30, bulk: true, service_us: 500_000 };
        let tally = &simulate(seed, &[short, bulk], 20)[0];
        // The demand estimate converges within its time constant of 2 s, and the first bulk
        // requests end soon after.
        assert!(tally.in_target * 100 >= tally.offered * 90, "seed {seed}: {tally:?}");
    }
}

/// Guards against one caller occupying the queue, and against late deadlines being served first.
#[test]
fn callers_take_turns_and_deadlines_order_each() {
    let now = millis(0);
    let mut queue = warm(1);
    assert_eq!(queue.offer(now, request(0, 0, now)), admission::AdmissionDecision::Dispatch);
    let offers = [(1, 1, 900), (2, 1, 800), (3, 1, 700), (4, 2, 950), (5, 2, 850)];
    for (id, caller, deadline) in offers {
        let caller = admission::CallerHash(caller);
        let offered = admission::AdmissionRequest {
            caller,
            deadline: millis(deadline),
            ..request(id, 0, now)
        };
        assert!(is_queued(queue.offer(now, offered)));
    }
    let order: Vec<u64> = (0..5)
        .scan(0, |running, _| {
            let actions = queue.finish(now, admission::RequestId(*running), response_after(1));
            *running = dispatched(&actions)[0];
            Some(*running)
        })
        .collect();
    assert_eq!(order, [3, 5, 2, 4, 1]);
}

/// Guards against refusing a request because the queue is full of requests that yield to it.
#[test]
fn full_queue_evicts_the_highest_rank() {
    let now = millis(0);
    let mut queue = warm(1);
    let long = |id, rank| admission::AdmissionRequest {
        deadline: millis(3_600_000),
        target: time::Duration::from_millis(1),
        ..request(id, rank, now)
    };
    assert_eq!(queue.offer(now, long(0, 0)), admission::AdmissionDecision::Dispatch);
    for id in 1..=admission::MAX_QUEUED as u64 {
        assert!(is_queued(queue.offer(now, long(id, 1 + (id % 2) as u8))));
    }
    let admission::AdmissionDecision::Queued { evicted: Some(evicted) } =
        queue.offer(now, long(1_000, 0))
    else {
        panic!("the request of rank 0 takes the place of another");
    };
    assert_eq!(evicted.id.0 % 2, 1, "a request of rank 2 is evicted");
    let refused = queue.offer(now, long(1_001, 2));
    assert!(matches!(refused, admission::AdmissionDecision::Refused(_)));
}

/// Guards against queueing a request that can't be answered before its deadline.
#[test]
fn refused_early_when_the_wait_passes_the_deadline() {
    let now = millis(1_000);
    let mut queue = warm(1);
    queue.offer(millis(0), request(0, 0, millis(0)));
    queue.finish(millis(200), admission::RequestId(0), response_after(200));
    queue.offer(now, request(1, 0, now));
    let mut urgent = request(2, 0, now);
    urgent.deadline = now + time::Duration::from_millis(300);
    let admission::AdmissionDecision::Refused(refusal) = queue.offer(now, urgent) else {
        panic!("200 ms of wait and 200 ms of service don't fit into 300 ms");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::WaitTooLong);
    assert_eq!(refusal.expected_wait, time::Duration::from_millis(200));
}

/// Guards against giving a slot to a request whose deadline passed or is too close.
#[test]
fn late_requests_are_refused_at_their_turn() {
    let mut queue = warm(1);
    queue.offer(millis(0), request(9, 0, millis(0)));
    queue.finish(millis(50), admission::RequestId(9), response_after(50));
    queue.offer(millis(50), request(0, 0, millis(50)));
    // The target is long, so that the limit on waits in a standing queue doesn't apply.
    for (id, deadline) in [(1, 300), (2, 430), (3, 5_000)] {
        let offered = admission::AdmissionRequest {
            deadline: millis(deadline),
            target: time::Duration::from_millis(4_000),
            ..request(id, 0, millis(50))
        };
        assert!(is_queued(queue.offer(millis(50), offered)));
    }
    let actions = queue.finish(millis(400), admission::RequestId(0), response_after(350));
    assert_eq!(dispatched(&actions), [3]);
    let reason = |action: &admission::AdmissionAction| match action {
        admission::AdmissionAction::Refuse(_, refusal) => Some(refusal.reason),
        admission::AdmissionAction::Dispatch(_) => None,
    };
    let reasons: Vec<_> = actions.iter().filter_map(reason).collect();
    let passed = admission::RefusalReason::DeadlinePassed;
    assert_eq!(reasons, [passed, admission::RefusalReason::WaitTooLong]);
}

/// Guards against a suspect running beside other requests, and against one that keeps the upstream
/// idle.
#[test]
fn suspect_runs_alone_within_a_bounded_wait() {
    let mut queue = warm(4);
    let suspect = |id, now| admission::AdmissionRequest { alone: true, ..request(id, 0, now) };
    queue.offer(millis(0), request(1, 0, millis(0)));
    assert!(is_queued(queue.offer(millis(0), suspect(2, millis(0)))));
    assert!(is_queued(queue.offer(millis(1), request(3, 0, millis(1)))), "held back");
    let actions = queue.finish(millis(5), admission::RequestId(1), response_after(5));
    assert_eq!(dispatched(&actions), [2]);
    let actions = queue.finish(millis(9), admission::RequestId(2), response_after(4));
    assert_eq!(dispatched(&actions), [3]);

    assert!(is_queued(queue.offer(millis(10), suspect(4, millis(10)))));
    assert!(is_queued(queue.offer(millis(11), request(5, 0, millis(11)))));
    let actions = queue.tick(millis(300));
    let [admission::AdmissionAction::Refuse(id, refusal), rest @ ..] = &actions[..] else {
        panic!("the suspect is refused: {actions:?}");
    };
    assert_eq!(id.0, 4);
    assert_eq!(refusal.reason, admission::RefusalReason::CannotRunAlone);
    assert_eq!(dispatched(rest), [5]);
    let again = queue.offer(millis(301), suspect(6, millis(301)));
    assert!(matches!(again, admission::AdmissionDecision::Refused(_)));
}

/// Guards against draining the upstream again for each of several suspects, and against suspects
/// that hold other requests back for long.
#[test]
fn suspects_follow_each_other_for_a_bounded_time() {
    let mut queue = warm(4);
    queue.offer(millis(0), request(1, 0, millis(0)));
    for id in 10..15 {
        let suspect = admission::AdmissionRequest { alone: true, ..request(id, 0, millis(id)) };
        assert!(is_queued(queue.offer(millis(0), suspect)));
    }
    assert!(is_queued(queue.offer(millis(1), request(2, 0, millis(1)))));
    let mut running = 1;
    for (at, next) in [(5, 10), (105, 11), (205, 12)] {
        let actions = queue.finish(millis(at), admission::RequestId(running), response_after(100));
        assert_eq!(dispatched(&actions), [next], "at {at} ms");
        running = next;
    }
    let actions = queue.finish(millis(305), admission::RequestId(12), response_after(100));
    assert_eq!(dispatched(&actions), [2], "other requests continue 250 ms after the first suspect");
    assert_eq!(actions.len(), 3, "the other two suspects are refused: {actions:?}");
}

/// Guards against holding requests back for a suspect while a bulk request runs, which won't end
/// soon.
#[test]
fn suspect_is_refused_beside_bulk_work() {
    let mut queue = warm(4);
    let bulk = admission::AdmissionRequest { bulk: true, ..request(1, 1, millis(0)) };
    queue.offer(millis(0), bulk);
    let suspect = admission::AdmissionRequest { alone: true, ..request(2, 0, millis(0)) };
    let admission::AdmissionDecision::Refused(refusal) = queue.offer(millis(0), suspect) else {
        panic!("the bulk request doesn't end within the time for which others are held back");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::CannotRunAlone);
    let next = queue.offer(millis(1), request(3, 0, millis(1)));
    assert_eq!(next, admission::AdmissionDecision::Dispatch);
}

/// Guards against sending a suspect on to another worker, where a copy of it may run: in the load
/// model with seed 66, a refusal because of the wait led to a third lost worker.
#[test]
fn suspect_that_waits_too_long_is_not_sent_on() {
    let mut queue = warm(1);
    queue.offer(millis(0), request(0, 0, millis(0)));
    queue.finish(millis(200), admission::RequestId(0), response_after(200));
    queue.offer(millis(200), request(1, 0, millis(200)));
    let suspect = admission::AdmissionRequest {
        alone: true,
        deadline: millis(500),
        ..request(2, 0, millis(200))
    };
    let admission::AdmissionDecision::Refused(refusal) = queue.offer(millis(200), suspect) else {
        panic!("200 ms of wait and 200 ms of service don't fit into 300 ms");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::CannotRunAlone);
}

/// Guards against sending requests to a frozen upstream, and against not noticing that it
/// continues.
#[test]
fn stalled_upstream_is_given_little_until_it_continues() {
    let mut queue = warm(SLOTS);
    for id in 0..8 {
        queue.offer(millis(0), request(id, 0, millis(0)));
    }
    let late = |id| request(id, 0, millis(2_000));
    assert!(!matches!(
        queue.offer(millis(2_000), late(20)),
        admission::AdmissionDecision::Dispatch
    ));
    queue.finish(millis(2_010), admission::RequestId(0), response_after(2_010));
    assert_eq!(queue.offer(millis(2_020), late(21)), admission::AdmissionDecision::Dispatch);
}

/// Guards against a late crash report of the previous process pausing the current one.
#[test]
fn late_crash_report_does_not_pause_the_new_upstream() {
    let mut queue = warm(SLOTS);
    queue.offer(millis(0), request(1, 0, millis(0)));
    queue.offer(millis(0), request(2, 0, millis(0)));
    let crashed = admission::FinishReport { crashed: true, failed: true, ..response_after(5) };
    queue.finish(millis(5), admission::RequestId(1), crashed);
    let queued =
        admission::AdmissionRequest { deadline: millis(5_000), ..request(3, 0, millis(6)) };
    assert!(is_queued(queue.offer(millis(6), queued)));
    assert_eq!(dispatched(&queue.upstream_started(millis(50), SLOTS)), [3]);
    queue.finish(millis(60), admission::RequestId(2), crashed);
    let next = queue.offer(millis(61), request(4, 0, millis(61)));
    assert_eq!(next, admission::AdmissionDecision::Dispatch);
}
