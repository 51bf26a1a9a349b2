//! Pacing of large responses on the link of a machine.

#![allow(clippy::panic)]

use std::sync::Arc;

use cornelridge_fleet::link::{
    LargeResponse, LinkQueue, LinkStep, MIN_CHUNK_BYTES as CHUNK_BYTES, ResponseKey,
};
use cornelridge_model::time::{Duration, Instant};

/// Rate of a link of 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// Rate of the link that the queue uses.
const USED_BYTES_PER_SECOND: f64 = LINK_BYTES_PER_SECOND as f64 * 0.9;

fn queue() -> LinkQueue {
    LinkQueue::new(Instant(0), LINK_BYTES_PER_SECOND)
}

fn millis(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

/// Returns the time that is reserved for `bytes`, in milliseconds: 1.3 times as long as they take
/// at the used rate.
fn reserved_ms(bytes: f64) -> u64 {
    (bytes / USED_BYTES_PER_SECOND * 1.3 * 1e3) as u64
}

fn response(bytes: usize, target: u64, deadline: u64) -> LargeResponse {
    LargeResponse { bytes, target: millis(target), deadline: millis(deadline) }
}

/// Sends `chunks` chunks of each response beside `other` bytes per second of other traffic; returns
/// the order of the chunks and the time of the last one.
fn send_all(queue: &mut LinkQueue, keys: &[u64], chunks: usize, other: f64) -> (Vec<u64>, Instant) {
    let (mut now, mut order, mut sent) = (Instant(0), Vec::new(), 0);
    keys.iter().for_each(|key| queue.enqueue_chunk(ResponseKey(*key), CHUNK_BYTES));
    while order.len() < keys.len() * chunks {
        let total = sent + (other * now.since(Instant(0)).as_secs_f64()) as u64;
        match queue.next_step(now, total) {
            LinkStep::Send(key) => {
                sent += CHUNK_BYTES as u64;
                order.push(key.0);
                match order.iter().filter(|sent| **sent == key.0).count() < chunks {
                    true => queue.enqueue_chunk(key, CHUNK_BYTES),
                    false => queue.remove(key),
                }
            }
            LinkStep::Wait(until) => now = until,
            LinkStep::Idle => panic!("no chunk is queued after {order:?}"),
        }
    }
    (order, now)
}

#[test]
fn answers_leave_at_the_rate_of_the_link() {
    let mut queue = queue();
    for key in 0..10 {
        queue.start(ResponseKey(key), response(20 * CHUNK_BYTES, 60_000, 60_000));
    }
    let keys: Vec<u64> = (0..10).collect();
    let (_, end) = send_all(&mut queue, &keys, 20, 0.0);
    let expected = 199.0 * CHUNK_BYTES as f64 / USED_BYTES_PER_SECOND;
    let took = end.since(Instant(0)).as_secs_f64();
    assert!((expected..expected * 1.01).contains(&took), "took {took} s, expected {expected} s");
}

#[test]
fn answers_leave_more_slowly_beside_other_traffic() {
    let mut queue = queue();
    queue.start(ResponseKey(0), response(200 * CHUNK_BYTES, 60_000, 60_000));
    let other = USED_BYTES_PER_SECOND / 2.0;
    let (_, end) = send_all(&mut queue, &[0], 200, other);
    let sent = 200.0 * CHUNK_BYTES as f64;
    let took = end.since(Instant(0)).as_secs_f64();
    assert!(
        sent + other * took <= USED_BYTES_PER_SECOND * took + 2.0 * CHUNK_BYTES as f64,
        "took {took} s"
    );
    assert!(took < 2.1 * sent / USED_BYTES_PER_SECOND, "took {took} s");
}

/// Guards against responses that share the link equally, which all miss their targets.
#[test]
fn answers_leave_one_after_another_by_their_targets() {
    let mut queue = queue();
    queue.start(ResponseKey(0), response(3 * CHUNK_BYTES, 3_000, 5_000));
    queue.start(ResponseKey(1), response(3 * CHUNK_BYTES, 1_000, 5_000));
    queue.start(ResponseKey(2), response(3 * CHUNK_BYTES, 2_000, 5_000));
    let (order, _) = send_all(&mut queue, &[0, 1, 2], 3, 0.0);
    assert_eq!(order, [1, 1, 1, 2, 2, 2, 0, 0, 0]);
}

/// Guards against a late response that delays others, which then miss their targets as well.
#[test]
fn a_late_answer_leaves_behind_those_in_time() {
    let mut queue = queue();
    queue.start(ResponseKey(0), response(2 * CHUNK_BYTES, 10, 3_000));
    queue.start(ResponseKey(1), response(2 * CHUNK_BYTES, 500, 3_500));
    let (order, _) = send_all(&mut queue, &[0, 1], 2, 0.0);
    assert_eq!(order, [1, 1, 0, 0]);
}

#[test]
fn an_answer_that_was_given_up_takes_no_turn() {
    let mut queue = queue();
    queue.start(ResponseKey(0), response(10 * CHUNK_BYTES, 1_000, 2_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    assert_eq!(queue.next_step(millis(1), 0), LinkStep::Send(ResponseKey(0)));
    assert_eq!(queue.next_step(millis(1), 0), LinkStep::Idle, "its next chunk isn't queued");
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    queue.remove(ResponseKey(0));
    assert_eq!(queue.next_step(millis(100), 0), LinkStep::Idle);
    assert_eq!(queue.waiting_bytes(), 0);
}

#[test]
fn the_link_of_an_idle_machine_makes_up_for_milliseconds_only() {
    let mut queue = queue();
    queue.start(ResponseKey(0), response(100 * CHUNK_BYTES, 60_000, 60_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    let mut chunks = 0;
    while queue.next_step(millis(10_000), 0) == LinkStep::Send(ResponseKey(0)) {
        queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
        chunks += 1;
    }
    assert_eq!(chunks, 1, "ten idle seconds must not allow a burst");
}

#[test]
fn a_large_answer_waits_for_those_before_it() {
    let large: Arc<str> = Arc::from("large");
    let mut queue = queue();
    let none = || std::iter::empty::<&Arc<str>>();
    assert_eq!(queue.delay("large", 2, none(), Duration::ZERO), Duration::ZERO);
    queue.record_size(&large, 100_000);
    // The response passes two links: that of this node and that of the caller's node.
    let delay = |queue: &LinkQueue| queue.delay("large", 2, none(), Duration::ZERO).as_millis();
    assert_eq!(delay(&queue), reserved_ms(200_000.0));
    let same_node = queue.delay("large", 1, none(), Duration::ZERO);
    assert_eq!(same_node.as_millis(), reserved_ms(100_000.0));
    queue.start(ResponseKey(0), response(300_000, 1_000, 2_000));
    assert_eq!(delay(&queue), reserved_ms(500_000.0));
    let two = || [&large, &large].into_iter();
    let behind = queue.delay("large", 2, two(), Duration::ZERO);
    assert_eq!(behind.as_millis(), reserved_ms(700_000.0));
    let later = queue.delay("large", 2, two(), Duration::from_millis(200));
    assert_eq!(later.as_millis(), reserved_ms(700_000.0 - USED_BYTES_PER_SECOND * 0.2));
    queue.remove(ResponseKey(0));
    assert_eq!(delay(&queue), reserved_ms(200_000.0));
}

#[test]
fn a_short_answer_does_not_wait() {
    let mut queue = queue();
    queue.record_size(&Arc::from("short"), 400);
    queue.start(ResponseKey(0), response(500_000, 1_000, 2_000));
    assert_eq!(queue.delay("short", 2, std::iter::empty(), Duration::ZERO), Duration::ZERO);
    let large = queue.large_delay(std::iter::empty(), Duration::ZERO);
    assert_eq!(large.as_millis(), reserved_ms(500_000.0));
}

#[test]
fn the_time_on_the_link_takes_other_traffic_into_account() {
    let mut queue = queue();
    queue.record_size(&Arc::from("large"), 250_000);
    let quiet = queue.delay("large", 2, std::iter::empty(), Duration::ZERO);
    queue.start(ResponseKey(0), response(1, 60_000, 60_000));
    queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    for second in 1..10 {
        let _ = queue.next_step(millis(second * 1_000), second * LINK_BYTES_PER_SECOND / 2);
        queue.enqueue_chunk(ResponseKey(0), CHUNK_BYTES);
    }
    let busy = queue.delay("large", 2, std::iter::empty(), Duration::ZERO);
    assert!(
        busy > Duration(quiet.0 * 2),
        "{quiet:?} alone, {busy:?} with other traffic on half of the link"
    );
}

/// Guards against a node that has just started and admits more large responses than its link can
/// carry, because it has seen none.
#[test]
fn a_route_for_large_responses_is_large_before_the_first_one() {
    let mut queue = LinkQueue::new(Instant(1_000_000), LINK_BYTES_PER_SECOND);
    let route: Arc<str> = Arc::from("large");
    assert!(!queue.knows_size("large") && !queue.expects_large("large"));
    queue.assume_large(&route);
    assert!(queue.knows_size("large") && queue.expects_large("large"));
    queue.record_size(&route, 400);
    assert!(!queue.expects_large("large"), "its responses turn out to be short");
    queue.assume_large(&Arc::from("other"));
    assert!(queue.expects_large("other"));
}
