//! Sharing the link of a machine between large answers.

#![allow(clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::link::{
    LargeResponse, LinkQueue, LinkStep, MIN_CHUNK_BYTES as CHUNK_BYTES, ResponseKey,
};
use cornelridge_model::time::{Duration, Instant};

/// Rate of a link in bytes a second: 10 Mbit/s.
const LINK: u64 = 1_250_000;
/// What is used of it.
const USED: f64 = LINK as f64 * 0.9;

fn queue() -> LinkQueue {
    LinkQueue::new(Instant(0), LINK)
}

fn millis(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

/// Time that is reserved for so many bytes, in milliseconds: 1.3 times what the used part of the link
/// takes to carry them.
fn reserved_for(bytes: f64) -> u64 {
    (bytes / USED * 1.3 * 1e3) as u64
}

fn answer(bytes: usize, target: u64, deadline: u64) -> LargeResponse {
    LargeResponse { bytes, target: millis(target), deadline: millis(deadline) }
}

/// Lets so many pieces of each answer out, beside `other` bytes of other traffic a second; the order
/// of the pieces and the time of the last one.
fn drain(queue: &mut LinkQueue, keys: &[u64], pieces: usize, other: f64) -> (Vec<u64>, Instant) {
    let (mut now, mut order, mut sent) = (Instant(0), Vec::new(), 0);
    keys.iter().for_each(|key| queue.enqueue_chunk(ResponseKey(*key), CHUNK_BYTES));
    while order.len() < keys.len() * pieces {
        let total = sent + (other * now.since(Instant(0)).as_secs_f64()) as u64;
        match queue.next_step(now, total) {
            LinkStep::Send(key) => {
                sent += CHUNK_BYTES as u64;
                order.push(key.0);
                match order.iter().filter(|sent| **sent == key.0).count() < pieces {
                    true => queue.enqueue_chunk(key, CHUNK_BYTES),
                    false => queue.remove(key),
                }
            }
            LinkStep::Wait(until) => now = until,
            LinkStep::Idle => panic!("nothing wants to leave after {order:?}"),
        }
    }
    (order, now)
}

#[test]
fn answers_leave_at_the_rate_of_the_link() {
    let mut queue = queue();
    for key in 0..10 {
        queue.start(ResponseKey(key), answer(20 * CHUNK_BYTES, 60_000, 60_000));
    }
    let keys: Vec<u64> = (0..10).collect();
    let (_, end) = drain(&mut queue, &keys, 20, 0.0);
    let least = 199.0 * CHUNK_BYTES as f64 / USED;
    let took = end.since(Instant(0)).as_secs_f64();
    assert!((least..least * 1.01).contains(&took), "{took} s in place of {least} s");
}

#[test]
fn answers_leave_more_slowly_beside_other_traffic() {
    let mut queue = queue();
    queue.start(ResponseKey(0), answer(200 * CHUNK_BYTES, 60_000, 60_000));
    let other = USED / 2.0;
    let (_, end) = drain(&mut queue, &[0], 200, other);
    let sent = 200.0 * CHUNK_BYTES as f64;
    let took = end.since(Instant(0)).as_secs_f64();
    assert!(sent + other * took <= USED * took + 2.0 * CHUNK_BYTES as f64, "{took} s");
    assert!(took < 2.1 * sent / USED, "{took} s");
}

/// Answers that share the link in equal parts are all late together.
#[test]
fn answers_leave_one_after_another_by_their_targets() {
    let mut queue = queue();
    queue.start(ResponseKey(0), answer(3 * CHUNK_BYTES, 3_000, 5_000));
    queue.start(ResponseKey(1), answer(3 * CHUNK_BYTES, 1_000, 5_000));
    queue.start(ResponseKey(2), answer(3 * CHUNK_BYTES, 2_000, 5_000));
    let (order, _) = drain(&mut queue, &[0, 1, 2], 3, 0.0);
    assert_eq!(order, [1, 1, 1, 2, 2, 2, 0, 0, 0]);
}

/// An answer that can't be in time any more would make others late, too.
#[test]
fn a_late_answer_leaves_behind_those_in_time() {
    let mut queue = queue();
    queue.start(ResponseKey(0), answer(2 * CHUNK_BYTES, 10, 3_000));
    queue.start(ResponseKey(1), answer(2 * CHUNK_BYTES, 500, 3_500));
    let (order, _) = drain(&mut queue, &[0, 1], 2, 0.0);
    assert_eq!(order, [1, 1, 0, 0]);
}

#[test]
fn an_answer_that_was_given_up_takes_no_turn() {
    let mut queue = queue();
    queue.start(ResponseKey(0), answer(10 * CHUNK_BYTES, 1_000, 2_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    assert_eq!(queue.next_step(millis(1), 0), LinkStep::Send(ResponseKey(0)));
    assert_eq!(queue.next_step(millis(1), 0), LinkStep::Idle, "its next piece isn't ready");
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    queue.remove(ResponseKey(0));
    assert_eq!(queue.next_step(millis(100), 0), LinkStep::Idle);
    assert_eq!(queue.waiting_bytes(), 0);
}

#[test]
fn the_link_of_an_idle_machine_makes_up_for_milliseconds_only() {
    let mut queue = queue();
    queue.start(ResponseKey(0), answer(100 * CHUNK_BYTES, 60_000, 60_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    let mut pieces = 0;
    while queue.next_step(millis(10_000), 0) == LinkStep::Send(ResponseKey(0)) {
        queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
        pieces += 1;
    }
    assert_eq!(pieces, 1, "ten idle seconds don't let a burst out");
}

#[test]
fn a_large_answer_waits_for_those_before_it() {
    let large: Arc<str> = Arc::from("large");
    let mut queue = queue();
    let none = || std::iter::empty::<&Arc<str>>();
    assert_eq!(queue.delay("large", 2, none(), Duration::ZERO), Duration::ZERO);
    queue.record_size(&large, 100_000);
    // It passes two links, its own and that of the caller's node.
    let delay = |queue: &LinkQueue| queue.delay("large", 2, none(), Duration::ZERO).as_millis();
    assert_eq!(delay(&queue), reserved_for(200_000.0));
    let near = queue.delay("large", 1, none(), Duration::ZERO);
    assert_eq!(near.as_millis(), reserved_for(100_000.0));
    queue.start(ResponseKey(0), answer(300_000, 1_000, 2_000));
    assert_eq!(delay(&queue), reserved_for(500_000.0));
    let two = || [&large, &large].into_iter();
    let behind = queue.delay("large", 2, two(), Duration::ZERO);
    assert_eq!(behind.as_millis(), reserved_for(700_000.0));
    let later = queue.delay("large", 2, two(), Duration::from_millis(200));
    assert_eq!(later.as_millis(), reserved_for(700_000.0 - USED * 0.2));
    queue.remove(ResponseKey(0));
    assert_eq!(delay(&queue), reserved_for(200_000.0));
}

#[test]
fn a_short_answer_does_not_wait() {
    let mut queue = queue();
    queue.record_size(&Arc::from("short"), 400);
    queue.start(ResponseKey(0), answer(500_000, 1_000, 2_000));
    assert_eq!(queue.delay("short", 2, std::iter::empty(), Duration::ZERO), Duration::ZERO);
    let large = queue.large_delay(std::iter::empty(), Duration::ZERO);
    assert_eq!(large.as_millis(), reserved_for(500_000.0));
}

#[test]
fn the_time_on_the_link_takes_other_traffic_into_account() {
    let mut queue = queue();
    queue.record_size(&Arc::from("large"), 250_000);
    let quiet = queue.delay("large", 2, std::iter::empty(), Duration::ZERO);
    queue.start(ResponseKey(0), answer(1, 60_000, 60_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    for second in 1..10 {
        let _ = queue.next_step(millis(second * 1_000), second * LINK / 2);
        queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    }
    let busy = queue.delay("large", 2, std::iter::empty(), Duration::ZERO);
    assert!(busy > Duration(quiet.0 * 2), "{quiet:?} alone, {busy:?} beside half of the link");
}
