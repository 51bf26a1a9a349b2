//! Time that large answers wait for the link of the machine.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

/// Weight of one answer in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;
/// Size up to which answers don't wait for others, in bytes: the streams of a connection share the
/// link, so that a short one ends before the long ones.
const SMALL_BYTES: f64 = 16.0 * 1024.0;
/// Links that an answer passes as a whole: out of this machine, and out of that of the caller's
/// node, which is taken to have a link of the same rate.
const LINKS: f64 = 2.0;
/// Part of a link that large answers get, as measured on links of 10 and 13 Mbit/s; the rest goes to
/// headers, acknowledgements, repeated packets, short answers and calls.
const LARGE_SHARE: f64 = 0.5;

/// Large answers on their way to other nodes.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    /// Rate at which large answers leave.
    bytes_per_second: f64,
    /// Bytes of large answers that the other nodes haven't received yet.
    unsent: f64,
    /// Bytes of large answers that left since the start.
    received: u64,
    /// Mean size of the answers of each route, in bytes.
    sizes: HashMap<Arc<str>, f64>,
    /// Mean size of large answers, in bytes; 0 before the first one.
    large: f64,
}

impl LinkQueue {
    /// An empty queue in front of a link.
    pub fn new(bytes_per_second: u64) -> LinkQueue {
        let bytes_per_second = bytes_per_second.max(1) as f64 * LARGE_SHARE;
        LinkQueue { bytes_per_second, unsent: 0.0, received: 0, sizes: HashMap::new(), large: 0.0 }
    }

    /// Whether answers of this size are counted.
    pub fn is_large(bytes: usize) -> bool {
        bytes as f64 > SMALL_BYTES
    }

    /// Notes the size of an answer.
    pub fn note(&mut self, route: &Arc<str>, bytes: usize) {
        let size = bytes as f64;
        let mean = self.sizes.entry(Arc::clone(route)).or_insert(size);
        *mean += (size - *mean) * SIZE_WEIGHT;
        if LinkQueue::is_large(bytes) {
            let weight = if self.large == 0.0 { 1.0 } else { SIZE_WEIGHT };
            self.large += (size - self.large) * weight;
        }
    }

    /// A large answer begins to leave.
    pub fn started(&mut self, bytes: usize) {
        self.unsent += bytes as f64;
    }

    /// A large answer was received, or given up.
    pub fn ended(&mut self, bytes: usize) {
        self.unsent = (self.unsent - bytes as f64).max(0.0);
        self.received += bytes as u64;
    }

    /// Bytes of large answers that left since the start, those given up included.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Bytes of large answers that the other nodes haven't received yet.
    pub fn unsent_bytes(&self) -> u64 {
        self.unsent as u64
    }

    fn size(&self, route: &str) -> f64 {
        self.sizes.get(route).copied().unwrap_or_default()
    }

    /// Whether the answers of a route are large.
    pub fn expects_large(&self, route: &str) -> bool {
        self.size(route) > SMALL_BYTES
    }

    /// Time that an answer of `route` will take to reach its caller if it is ready after `ready`,
    /// behind the answers of the requests `before` it.
    pub fn delay<'a>(
        &self,
        route: &str,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready: time::Duration,
    ) -> time::Duration {
        match self.expects_large(route) {
            true => self.time_of(self.size(route), before, ready),
            false => time::Duration::ZERO,
        }
    }

    /// The same for a large answer of any route.
    pub fn large_delay<'a>(
        &self,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready: time::Duration,
    ) -> time::Duration {
        self.time_of(self.large, before, ready)
    }

    fn time_of<'a>(
        &self,
        size: f64,
        before: impl Iterator<Item = &'a Arc<str>>,
        ready: time::Duration,
    ) -> time::Duration {
        let large = before.filter(|route| self.expects_large(route));
        let coming: f64 = large.map(|route| self.size(route)).sum();
        let sent = self.bytes_per_second * ready.as_secs_f64();
        let left = (self.unsent + coming - sent).max(0.0);
        time::Duration(((left + size * LINKS) / self.bytes_per_second * 1e6) as u64)
    }
}
