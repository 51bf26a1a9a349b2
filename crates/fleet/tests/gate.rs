//! Slots, order and refusals of the gate in front of a worker.

#![allow(clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::gate::{
    GateAction, GateDecision, GateEnd, GateKey, GateRefusal, GateRequest, RefusalReason, SlotGate,
};
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(1_000_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(priority: u8, target_ms: u64, deadline_ms: u64) -> GateRequest {
    GateRequest {
        route: Arc::from(format!("route-{priority}")),
        priority,
        is_call: false,
        target: START + millis(target_ms),
        deadline: START + millis(deadline_ms),
        sending: Duration::ZERO,
    }
}

fn gate(slots: u32) -> SlotGate {
    let mut gate = SlotGate::new(START);
    assert!(gate.set_slots(START, slots).is_empty());
    gate
}

#[test]
fn requests_run_up_to_the_slots() {
    let mut gate = gate(2);
    assert_eq!(gate.offer(START, GateKey(1), request(1, 600, 1_500)), GateDecision::Run);
    assert_eq!(gate.offer(START, GateKey(2), request(1, 600, 1_500)), GateDecision::Run);
    assert_eq!(gate.offer(START, GateKey(3), request(1, 600, 1_500)), GateDecision::Wait);
    assert_eq!(gate.load(START, "route-1").running, 2);
}

#[test]
fn the_more_urgent_request_goes_first() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    gate.offer(START, GateKey(2), request(2, 600, 1_500));
    gate.offer(START, GateKey(3), request(1, 600, 1_500));
    let end = GateEnd::Served(millis(100));
    assert_eq!(gate.finish(START + millis(100), GateKey(1), end), [GateAction::Run(GateKey(3))]);
}

#[test]
fn a_request_that_would_miss_its_target_is_refused_at_once() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    let mut verdicts = (2..20).map(|key| gate.offer(START, GateKey(key), request(1, 600, 1_500)));
    assert!(verdicts.any(|verdict| matches!(verdict, GateDecision::Refuse(_))));
}

#[test]
fn the_most_urgent_requests_wait_up_to_their_deadline() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(0, 10, 1_500));
    assert_eq!(gate.offer(START, GateKey(2), request(0, 10, 1_500)), GateDecision::Wait);
    assert!(gate.tick(START + millis(100)).is_empty());
}

#[test]
fn a_waiting_request_that_has_become_late_is_refused() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    gate.offer(START, GateKey(2), request(1, 600, 1_500));
    let actions = gate.tick(START + millis(700));
    assert!(matches!(actions[..], [GateAction::Refuse(GateKey(2), _)]));
}

#[test]
fn a_cancelled_request_gives_its_slot_to_the_next() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    gate.offer(START, GateKey(2), request(1, 600, 1_500));
    assert_eq!(gate.cancel(START, GateKey(1)), [GateAction::Run(GateKey(2))]);
    assert!(gate.cancel(START, GateKey(2)).is_empty());
    assert_eq!(gate.load(START, "route-1").running, 0);
}

#[test]
fn a_worker_that_sheds_gets_fewer_requests_for_a_while() {
    let mut gate = gate(4);
    for key in 1..=3 {
        gate.offer(START, GateKey(key), request(1, 600, 1_500));
    }
    gate.finish(START, GateKey(3), GateEnd::Shed);
    assert_eq!(gate.load(START, "route-1").slots, 2);
    gate.tick(START + millis(1_000));
    assert_eq!(gate.load(START, "route-1").slots, 4);
}

#[test]
fn slots_are_never_exceeded_and_every_request_is_told_once() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut gate = gate(3);
        let mut now = START;
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for key in 1..400 {
            now = now + millis(random.u64(0..30));
            let target = now + millis(random.u64(50..600));
            let offer = GateRequest {
                target,
                deadline: target + millis(random.u64(0..900)),
                ..request(random.u8(0..3), 0, 0)
            };
            match gate.offer(now, GateKey(key), offer) {
                GateDecision::Run => running.push(GateKey(key)),
                GateDecision::Wait => waiting.push(GateKey(key)),
                GateDecision::Refuse(_) => {}
            }
            let mut actions = gate.tick(now);
            if random.bool() && !running.is_empty() {
                let ended = running.swap_remove(random.usize(0..running.len()));
                let end = GateEnd::Served(millis(random.u64(10..200)));
                actions.extend(gate.finish(now, ended, end));
            }
            for action in actions {
                let (GateAction::Run(told) | GateAction::Refuse(told, _)) = action;
                let index = waiting.iter().position(|key| *key == told).unwrap();
                waiting.swap_remove(index);
                if let GateAction::Run(key) = action {
                    running.push(key);
                }
            }
            assert!(running.len() <= 3, "seed {seed}");
            assert_eq!(gate.load(now, "route-1").running as usize, running.len(), "seed {seed}");
            assert_eq!(gate.load(now, "route-1").queued as usize, waiting.len(), "seed {seed}");
        }
    }
}

#[test]
fn the_capacity_is_a_mean_of_many_requests() {
    let mut gate = gate(10);
    let mut now = START;
    for key in 1..=100 {
        gate.offer(now, GateKey(key), request(1, 60_000, 60_000));
        now = now + millis(100);
        // The first request takes ten times as long as the others.
        let time = millis(if key == 1 { 1_000 } else { 100 });
        gate.finish(now, GateKey(key), GateEnd::Served(time));
        if key < 20 {
            assert!(gate.capacity() == 0.0, "{key} requests say nothing");
        }
    }
    assert!((95.0..=100.0).contains(&gate.capacity()), "{}", gate.capacity());
}

#[test]
fn a_call_waits_up_to_its_deadline_and_before_requests_of_its_rank() {
    let mut gate = gate(1);
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    assert_eq!(gate.offer(START, GateKey(2), request(1, 900, 1_500)), GateDecision::Wait);
    let call = GateRequest { is_call: true, ..request(1, 10, 1_500) };
    assert_eq!(gate.offer(START, GateKey(3), call), GateDecision::Wait);
    assert_eq!(gate.offer(START, GateKey(4), request(0, 900, 1_500)), GateDecision::Wait);
    let end = GateEnd::Served(millis(50));
    assert_eq!(gate.finish(START, GateKey(1), end), [GateAction::Run(GateKey(4))]);
    assert_eq!(gate.finish(START, GateKey(4), end), [GateAction::Run(GateKey(3))]);
    assert_eq!(gate.finish(START, GateKey(3), end), [GateAction::Run(GateKey(2))]);
}

#[test]
fn a_request_whose_answer_would_leave_too_late_is_refused() {
    let mut gate = gate(1);
    let slow = GateRequest { sending: millis(700), ..request(1, 600, 1_500) };
    let refused = gate.offer(START, GateKey(2), slow.clone());
    assert!(matches!(refused, GateDecision::Refuse(_)), "although a slot is free");
    gate.offer(START, GateKey(1), request(1, 600, 1_500));
    assert!(matches!(gate.offer(START, GateKey(2), slow), GateDecision::Refuse(_)));
    assert_eq!(gate.offer(START, GateKey(3), request(1, 600, 1_500)), GateDecision::Wait);
}

#[test]
fn a_worker_that_refuses_without_need_keeps_its_slots() {
    let mut gate = gate(12);
    let mut next = 0;
    let mut running = Vec::new();
    let mut now = START;
    // After a while, every third request is shed; the others are served after 60 ms.
    for step in 0..300 {
        now = now + millis(20);
        let is_shed = |key: u64| step > 20 && key.is_multiple_of(3);
        for _ in 0..8 {
            next += 1;
            let far = GateRequest { target: now + millis(9_000), ..request(1, 0, 90_000) };
            match gate.offer(now, GateKey(next), far) {
                GateDecision::Run => running.push((next, now)),
                GateDecision::Wait => drop(gate.cancel(now, GateKey(next))),
                GateDecision::Refuse(refusal) => panic!("{refusal:?}"),
            }
        }
        let (ended, rest) = running
            .into_iter()
            .partition(|(key, started)| is_shed(*key) || now.since(*started) >= millis(60));
        running = rest;
        let ended: Vec<(u64, Instant)> = ended;
        for (key, _) in ended {
            let end = if is_shed(key) { GateEnd::Shed } else { GateEnd::Served(millis(60)) };
            let actions = gate.finish(now, GateKey(key), end);
            assert!(actions.is_empty(), "nothing waits");
        }
        let slots = gate.load(now, "route-1").slots;
        assert!(slots >= 10, "{slots} of 12 slots after {step} steps");
    }
}

/// A caller that comes again after the whole wait for the link would be late then.
#[test]
fn a_request_refused_for_the_link_may_come_again_when_it_has_room() {
    let mut gate = gate(4);
    let slow = GateRequest { sending: millis(700), ..request(1, 600, 1_500) };
    let GateDecision::Refuse(refusal) = gate.offer(START, GateKey(1), slow) else {
        panic!("it can't reach its caller in time")
    };
    // With 100 ms at the worker it would be there 200 ms after its target.
    let expected =
        GateRefusal { reason: RefusalReason::Link, wait: millis(700), retry_after: millis(200) };
    assert_eq!(refusal, expected);
}
