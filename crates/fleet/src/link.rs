//! Paces large responses to the rate of the machine's link.
//!
//! Large responses are sent in chunks at a rate slightly below that of the link, in the order in
//! which they are due. Other traffic isn't delayed, and its bytes count against that rate. Large
//! responses therefore queue here, in a chosen order, and not in the queue of the link, where they
//! would delay all traffic.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use cornelridge_model::time;

/// Weight of one response in the mean size of a route's responses.
const SIZE_WEIGHT: f64 = 0.1;
/// Size up to which responses are sent at once, in bytes: a few packets.
const MAX_SMALL_BYTES: f64 = 16.0 * 1024.0;
/// Size that is assumed for the responses of a route that is configured for large ones, in bytes: a
/// picture or a drawing.
const DEFAULT_LARGE_BYTES: f64 = 100_000.0;
/// Size of a chunk on a slow link, in bytes. A short response waits for one chunk at most, which
/// takes 13 ms on a link of 10 Mbit/s.
pub const MIN_CHUNK_BYTES: usize = 16 * 1024;
/// Time that a chunk takes on a faster link.
const CHUNK_DURATION: time::Duration = time::Duration::from_millis(13);
/// Number of links that a response to another node passes: those out of this machine and out of the
/// other one.
const REMOTE_LINKS: f64 = 2.0;
/// Share of the link's rate that is used. The headers of UDP and IP, which aren't counted, take 2
/// to 3 percent; the remainder lets the queue of the link drain.
const USED_LINK_SHARE: f64 = 0.9;
/// Time that is reserved for a response, as a multiple of the expected time. Sizes and service
/// times differ by a factor of two, and a queue that ends just at the target would make every
/// second response late.
const RESERVE_FACTOR: f64 = 1.3;
/// Time over which the rate of other traffic is averaged.
const OTHER_TRAFFIC_TIME_CONSTANT: time::Duration = time::Duration::from_secs(1);
/// Share of the link's rate that is assumed for large responses regardless of other traffic.
const MIN_LINK_SHARE: f64 = 0.3;
/// Unused link time that later chunks may use in a burst: about the lateness of timers.
const MAX_BURST: time::Duration = time::Duration::from_millis(5);
/// Longest time for which other traffic may delay large responses.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Time over which chunks that were released but never sent, because their response was cancelled,
/// are written off.
const UNSENT_TIME_CONSTANT: time::Duration = time::Duration::from_secs(5);

/// Number of a large response in a link queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseKey(pub u64);

/// Large response that is ready to be sent.
#[derive(Clone, Copy, Debug)]
pub struct LargeResponse {
    /// Size in bytes.
    pub bytes: usize,
    /// Time after which the response loses value.
    pub target: time::Instant,
    /// Time after which the response is worthless.
    pub deadline: time::Instant,
}

/// Next step of a link queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStep {
    /// The queued chunk of this response may be sent.
    Send(ResponseKey),
    /// No chunk may be sent before this time.
    Wait(time::Instant),
    /// No response has a queued chunk.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct PendingResponse {
    response: LargeResponse,
    /// Bytes that haven't been released yet.
    remaining: usize,
    /// Size of the queued chunk in bytes; 0 if there is none.
    queued_chunk: usize,
}

/// Bytes that the machine sent.
#[derive(Clone, Copy, Debug, Default)]
struct SentBytes {
    /// Bytes of large responses that were released.
    released: u64,
    /// Bytes of other traffic that were counted: those sent in excess of the released ones.
    other: f64,
    /// Rate of other traffic, in bytes per second.
    other_per_second: f64,
}

/// Queue of large responses in front of the link.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    /// Rate of the link that is used.
    bytes_per_second: f64,
    /// Bytes that may be sent now; negative while more was sent than the rate allows.
    credit: f64,
    /// When the credit was last updated.
    updated_at: time::Instant,
    sent: SentBytes,
    responses: HashMap<ResponseKey, PendingResponse>,
    /// Mean size of the responses of each route, in bytes.
    mean_sizes: HashMap<Arc<str>, f64>,
    /// Routes whose responses are assumed to be large, as none is known.
    assumed_large: HashSet<Arc<str>>,
    /// Mean size of large responses, in bytes; 0 before the first one.
    mean_large_size: f64,
}

impl LinkQueue {
    /// Creates an empty queue in front of a link with this rate.
    pub fn new(now: time::Instant, bytes_per_second: u64) -> LinkQueue {
        LinkQueue {
            bytes_per_second: bytes_per_second.max(1) as f64 * USED_LINK_SHARE,
            credit: 0.0,
            updated_at: now,
            sent: SentBytes::default(),
            responses: HashMap::new(),
            mean_sizes: HashMap::new(),
            assumed_large: HashSet::new(),
            mean_large_size: 0.0,
        }
    }

    /// Returns whether responses of this size are queued.
    pub fn is_large(bytes: usize) -> bool {
        bytes as f64 > MAX_SMALL_BYTES
    }

    /// Records the size of a response.
    pub fn record_size(&mut self, route: &Arc<str>, bytes: usize) {
        let size = bytes as f64;
        self.assumed_large.remove(route);
        let mean = self.mean_sizes.entry(Arc::clone(route)).or_insert(size);
        *mean += (size - *mean) * SIZE_WEIGHT;
        if LinkQueue::is_large(bytes) {
            let weight = if self.mean_large_size == 0.0 { 1.0 } else { SIZE_WEIGHT };
            self.mean_large_size += (size - self.mean_large_size) * weight;
        }
    }

    /// Assumes that the responses of a route are large until one is known. Without that, a node that
    /// has just started would admit more of them than its link can carry.
    pub fn assume_large(&mut self, route: &Arc<str>) {
        self.assumed_large.insert(Arc::clone(route));
    }

    /// Returns whether the size of the responses of a route is known or assumed.
    pub fn knows_size(&self, route: &str) -> bool {
        self.mean_sizes.contains_key(route) || self.assumed_large.contains(route)
    }

    /// Adds a large response that is ready; its chunks are queued by `enqueue_chunk`.
    pub fn start(&mut self, key: ResponseKey, response: LargeResponse) {
        let pending = PendingResponse { response, remaining: response.bytes, queued_chunk: 0 };
        self.responses.insert(key, pending);
    }

    /// Queues the next chunk of a response, with its size in bytes.
    pub fn enqueue_chunk(&mut self, key: ResponseKey, bytes: usize) {
        if let Some(pending) = self.responses.get_mut(&key) {
            pending.queued_chunk = bytes;
        }
    }

    /// Returns the size of a chunk in bytes.
    pub fn chunk_bytes(&self) -> usize {
        let bytes = self.bytes_per_second * CHUNK_DURATION.as_secs_f64();
        MIN_CHUNK_BYTES.max(bytes as usize)
    }

    /// Removes a response that was sent or cancelled.
    pub fn remove(&mut self, key: ResponseKey) {
        self.responses.remove(&key);
    }

    /// Decides which chunk is sent next. `sent` counts the bytes that the machine has sent to other
    /// nodes and to callers since the start. With `Send`, the chunk counts as released.
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
            // A response that still arrives can be larger than the size known at its start.
            pending.remaining = pending.remaining.saturating_sub(bytes);
            self.credit -= bytes as f64;
            self.sent.released += bytes as u64;
        }
        LinkStep::Send(key)
    }

    /// Returns when a response is due: at its target, or at its deadline if it would miss the
    /// target anyway, so that it doesn't make other responses late.
    fn due(&self, now: time::Instant, pending: &PendingResponse) -> time::Instant {
        let time = time::Duration((pending.remaining as f64 / self.bytes_per_second * 1e6) as u64);
        match now + time <= pending.response.target {
            true => pending.response.target,
            false => pending.response.deadline,
        }
    }

    /// Adds the bytes that the link could carry since the last update to the credit, and deducts
    /// other traffic.
    fn update_credit(&mut self, now: time::Instant, sent: u64) {
        let time = now.since(self.updated_at).as_secs_f64();
        if time == 0.0 {
            return;
        }
        self.updated_at = now;
        let excess = sent as f64 - self.sent.released as f64;
        // Released chunks are sent slightly later, so only an excess above the previous one is
        // other traffic.
        let other = (excess - self.sent.other).max(0.0);
        let unsent = (self.sent.other - excess).max(0.0);
        self.sent.other += other - unsent * (time / UNSENT_TIME_CONSTANT.as_secs_f64()).min(1.0);
        let weight = (time / OTHER_TRAFFIC_TIME_CONSTANT.as_secs_f64()).min(1.0);
        self.sent.other_per_second += (other / time - self.sent.other_per_second) * weight;
        let rate = self.bytes_per_second;
        let (min_credit, max_credit) =
            (-rate * MAX_PAUSE.as_secs_f64(), rate * MAX_BURST.as_secs_f64());
        self.credit = (self.credit + time * rate - other).clamp(min_credit, max_credit);
    }

    /// Returns the number of large responses that aren't sent completely.
    pub fn unfinished(&self) -> usize {
        self.responses.len()
    }

    /// Returns the bytes of large responses that haven't been released yet.
    pub fn waiting_bytes(&self) -> u64 {
        self.responses.values().map(|pending| pending.remaining as u64).sum()
    }

    /// Returns the bytes of large responses that were released since the start.
    pub fn released_bytes(&self) -> u64 {
        self.sent.released
    }

    fn size(&self, route: &str) -> f64 {
        let assumed = if self.assumed_large.contains(route) { DEFAULT_LARGE_BYTES } else { 0.0 };
        self.mean_sizes.get(route).copied().unwrap_or(assumed)
    }

    /// Returns whether the responses of a route are large on average.
    pub fn expects_large(&self, route: &str) -> bool {
        self.size(route) > MAX_SMALL_BYTES
    }

    /// Returns the time that a response of `route` will take to reach its caller if it is ready
    /// after `ready_in`, behind the responses to the requests of the routes in `before`. The
    /// response passes `links` links one after another: out of this machine and, if the caller's
    /// node is another one, out of its machine, whose link is assumed to have the same rate.
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

    /// Returns the same as `delay` for a large response of any route to another node.
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
