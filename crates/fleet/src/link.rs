//! Shares the link of a machine between the answers that leave it.
//!
//! Large answers leave piece by piece at a rate just under that of the link, those first that are
//! due first. What else leaves the machine doesn't wait, and uses up its part of the rate. So
//! answers wait here, in an order, and not in the queue of the link, where all traffic waits.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

/// Weight of one answer in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;
/// Size up to which answers don't wait for others, in bytes: a few packets.
const MAX_SMALL_BYTES: f64 = 16.0 * 1024.0;
/// Most bytes of an answer that leave at once on a slow link; short answers wait for one piece at
/// most, 13 ms on a link of 10 Mbit/s.
pub const MIN_CHUNK_BYTES: usize = 16 * 1024;
/// Time in which a faster link carries a piece.
const CHUNK_DURATION: time::Duration = time::Duration::from_millis(13);
/// Links that an answer to another node passes: out of this machine, and out of that one.
const REMOTE_LINKS: f64 = 2.0;
/// Part of the link that is used. The headers of UDP and IP, which aren't counted, take 2 to 3 in
/// 100; the rest lets the queue of the link become empty again.
const USED_LINK_SHARE: f64 = 0.9;
/// Time that is reserved for an answer, as a multiple of what it is expected to take: sizes and
/// service times differ by a factor of two, and a queue that ends just at the target makes every
/// second answer late.
const RESERVE_FACTOR: f64 = 1.3;
/// Time in which the rate of other traffic is averaged.
const OTHER_TRAFFIC_TIME_CONSTANT: time::Duration = time::Duration::from_secs(1);
/// Part of the link that large answers can count on whatever else is sent.
const MIN_LINK_SHARE: f64 = 0.3;
/// Unused time of the link that may be made up for: about the lateness of timers.
const MAX_BURST: time::Duration = time::Duration::from_millis(5);
/// Longest time for which other traffic may hold up large answers.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Time in which answers that were let out but never sent, because they were given up, are
/// forgotten.
const UNSENT_TIME_CONSTANT: time::Duration = time::Duration::from_secs(5);

/// Number of a large answer that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseKey(pub u64);

/// A large answer that is ready.
#[derive(Clone, Copy, Debug)]
pub struct LargeResponse {
    /// Its size.
    pub bytes: usize,
    /// When it is worth less.
    pub target: time::Instant,
    /// When it is worth nothing.
    pub deadline: time::Instant,
}

/// What the link does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// The next piece of this answer may leave.
    Send(ResponseKey),
    /// Nothing may leave before this time.
    Wait(time::Instant),
    /// No answer has a piece that waits.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct PendingResponse {
    response: LargeResponse,
    /// Bytes that haven't left yet.
    remaining: usize,
    /// Bytes of the piece that waits; 0 if none does.
    queued_chunk: usize,
}

/// Bytes that the machine sent, and how many of them were large answers.
#[derive(Clone, Copy, Debug, Default)]
struct SentBytes {
    /// Bytes of large answers that were let out.
    released: u64,
    /// Bytes of other traffic that were counted: what was sent beyond what was let out.
    other: f64,
    /// Rate of other traffic.
    other_per_second: f64,
}

/// Large answers that leave the machine.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    /// Rate that is used.
    bytes_per_second: f64,
    /// Bytes that may leave now; below zero while what has left is more than the rate allows.
    credit: f64,
    /// When the credit was worked out.
    updated_at: time::Instant,
    sent: SentBytes,
    responses: HashMap<ResponseKey, PendingResponse>,
    /// Mean size of the answers of each route, in bytes.
    mean_sizes: HashMap<Arc<str>, f64>,
    /// Mean size of large answers, in bytes; 0 before the first one.
    mean_large_size: f64,
}

impl LinkQueue {
    /// An empty queue in front of a link.
    pub fn new(now: time::Instant, bytes_per_second: u64) -> LinkQueue {
        LinkQueue {
            bytes_per_second: bytes_per_second.max(1) as f64 * USED_LINK_SHARE,
            credit: 0.0,
            updated_at: now,
            sent: SentBytes::default(),
            responses: HashMap::new(),
            mean_sizes: HashMap::new(),
            mean_large_size: 0.0,
        }
    }

    /// Whether answers of this size wait for their turn.
    pub fn is_large(bytes: usize) -> bool {
        bytes as f64 > MAX_SMALL_BYTES
    }

    /// Notes the size of an answer.
    pub fn record_size(&mut self, route: &Arc<str>, bytes: usize) {
        let size = bytes as f64;
        let mean = self.mean_sizes.entry(Arc::clone(route)).or_insert(size);
        *mean += (size - *mean) * SIZE_WEIGHT;
        if LinkQueue::is_large(bytes) {
            let weight = if self.mean_large_size == 0.0 { 1.0 } else { SIZE_WEIGHT };
            self.mean_large_size += (size - self.mean_large_size) * weight;
        }
    }

    /// A large answer is ready to leave; its pieces wait when `enqueue_chunk` says so.
    pub fn start(&mut self, key: ResponseKey, response: LargeResponse) {
        let pending = PendingResponse { response, remaining: response.bytes, queued_chunk: 0 };
        self.responses.insert(key, pending);
    }

    /// The next piece of an answer, of so many bytes, waits for its turn.
    pub fn enqueue_chunk(&mut self, key: ResponseKey, bytes: usize) {
        if let Some(pending) = self.responses.get_mut(&key) {
            pending.queued_chunk = bytes;
        }
    }

    /// Most bytes of an answer that leave at once.
    pub fn chunk_bytes(&self) -> usize {
        let bytes = self.bytes_per_second * CHUNK_DURATION.as_secs_f64();
        MIN_CHUNK_BYTES.max(bytes as usize)
    }

    /// An answer has left, or was given up.
    pub fn remove(&mut self, key: ResponseKey) {
        self.responses.remove(&key);
    }

    /// Decides what leaves next; `sent` is what the machine has sent to other nodes and to callers
    /// since the start, in bytes. With `Send`, the piece counts as sent.
    pub fn next_step(&mut self, now: time::Instant, sent: u64) -> LinkStep {
        self.update_credit(now, sent);
        let waiting = self.responses.iter().filter(|(_, pending)| pending.queued_chunk > 0);
        let next = waiting.min_by_key(|(key, pending)| (self.due(now, pending), **key));
        let Some((key, _)) = next else { return LinkStep::Idle };
        let key = *key;
        if self.credit < 0.0 {
            let wait = -self.credit / self.bytes_per_second * 1e6;
            return LinkStep::Wait(now + time::Duration(wait as u64 + 1));
        }
        if let Some(pending) = self.responses.get_mut(&key) {
            let bytes = std::mem::take(&mut pending.queued_chunk);
            // Of an answer that is still arriving, only the beginning is known.
            pending.remaining = pending.remaining.saturating_sub(bytes);
            self.credit -= bytes as f64;
            self.sent.released += bytes as u64;
        }
        LinkStep::Send(key)
    }

    /// Until when an answer should have left: its target, or its deadline if it is late anyway, so
    /// that it doesn't make others late.
    fn due(&self, now: time::Instant, pending: &PendingResponse) -> time::Instant {
        let time = time::Duration((pending.remaining as f64 / self.bytes_per_second * 1e6) as u64);
        match now + time <= pending.response.target {
            true => pending.response.target,
            false => pending.response.deadline,
        }
    }

    /// Adds what the link could carry since the last time, and takes off what else was sent.
    fn update_credit(&mut self, now: time::Instant, sent: u64) {
        let time = now.since(self.updated_at).as_secs_f64();
        if time == 0.0 {
            return;
        }
        self.updated_at = now;
        let beyond = sent as f64 - self.sent.released as f64;
        // What was let out is sent a little later, so that only a new maximum is other traffic.
        let other = (beyond - self.sent.other).max(0.0);
        let unsent = (self.sent.other - beyond).max(0.0);
        self.sent.other += other - unsent * (time / UNSENT_TIME_CONSTANT.as_secs_f64()).min(1.0);
        let weight = (time / OTHER_TRAFFIC_TIME_CONSTANT.as_secs_f64()).min(1.0);
        self.sent.other_per_second += (other / time - self.sent.other_per_second) * weight;
        let rate = self.bytes_per_second;
        let (min_credit, max_credit) =
            (-rate * MAX_PAUSE.as_secs_f64(), rate * MAX_BURST.as_secs_f64());
        self.credit = (self.credit + time * rate - other).clamp(min_credit, max_credit);
    }

    /// Large answers that haven't left as a whole yet.
    pub fn unfinished(&self) -> usize {
        self.responses.len()
    }

    /// Bytes of large answers that haven't left yet.
    pub fn waiting_bytes(&self) -> u64 {
        self.responses.values().map(|pending| pending.remaining as u64).sum()
    }

    /// Bytes of large answers that were let out since the start.
    pub fn released_bytes(&self) -> u64 {
        self.sent.released
    }

    fn size(&self, route: &str) -> f64 {
        self.mean_sizes.get(route).copied().unwrap_or_default()
    }

    /// Whether the answers of a route are large.
    pub fn expects_large(&self, route: &str) -> bool {
        self.size(route) > MAX_SMALL_BYTES
    }

    /// Time that an answer of `route` will take to reach its caller if it is ready after `ready`,
    /// behind the answers of the requests `before` it. It passes so many links as a whole: out of
    /// this machine, and out of that of the caller's node if that is another one, whose link is
    /// taken to have the same rate.
    pub fn delay<'a>(
        &self,
        route: &str,
        links: u8,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready_in: time::Duration,
    ) -> time::Duration {
        match self.expects_large(route) {
            true => self.sending_time(self.size(route) * f64::from(links), before, ready_in),
            false => time::Duration::ZERO,
        }
    }

    /// The same for a large answer of any route to another node.
    pub fn large_delay<'a>(
        &self,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready_in: time::Duration,
    ) -> time::Duration {
        self.sending_time(self.mean_large_size * REMOTE_LINKS, before, ready_in)
    }

    fn sending_time<'a>(
        &self,
        bytes: f64,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready_in: time::Duration,
    ) -> time::Duration {
        let min_rate = self.bytes_per_second * MIN_LINK_SHARE;
        let rate = (self.bytes_per_second - self.sent.other_per_second).max(min_rate);
        let large = before.filter(|route| self.expects_large(route));
        let expected: f64 = large.map(|route| self.size(route)).sum();
        let remaining = self.waiting_bytes() as f64 + expected - rate * ready_in.as_secs_f64();
        time::Duration(((remaining.max(0.0) + bytes) / rate * RESERVE_FACTOR * 1e6) as u64)
    }
}
