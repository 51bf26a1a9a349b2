//! Choice of a worker for classes that any worker may serve.

use cornelridge_model::ident;
use cornelridge_model::time;

/// Number of an availability zone at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub u16);

/// Load that the egress node of a worker has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerHint {
    /// Running requests.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Expected wait for a slot.
    pub queue_delay: time::Duration,
    /// Whether the worker takes new work.
    pub accepting: bool,
}

/// A chosen worker; the request counts as in flight there until `finish`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerChoice {
    /// The worker.
    pub worker: ident::IncarnationId,
    /// Whether the request tests a worker that was ejected.
    pub trial: bool,
}

/// How a request ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerResult {
    /// The worker responded.
    Answered,
    /// The worker or its egress node refused for load.
    Refused,
    /// The worker failed or didn't respond.
    Failed,
    /// This node gave the request up before it ended.
    Cancelled,
}

/// Chooses workers of one class.
#[derive(Debug)]
pub struct WorkerSelector {
    zone: ZoneIndex,
}

impl WorkerSelector {
    /// Creates a selector without workers for a node in `zone`.
    pub fn new(zone: ZoneIndex) -> WorkerSelector {
        WorkerSelector { zone }
    }

    /// Adds a worker, or changes its zone.
    pub fn insert(&mut self, now: time::Instant, worker: ident::IncarnationId, zone: ZoneIndex) {
        let _ = (now, worker, zone, self.zone);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: ident::IncarnationId) {
        let _ = worker;
    }

    /// Records the load that an egress node has sent.
    pub fn hint(&mut self, now: time::Instant, worker: ident::IncarnationId, hint: WorkerHint) {
        let _ = (now, worker, hint);
    }

    /// Chooses a worker that isn't in `tried`, or `None` if there is no other.
    pub fn select(
        &mut self,
        now: time::Instant,
        tried: &[ident::IncarnationId],
        rng: &mut fastrand::Rng,
    ) -> Option<WorkerChoice> {
        let _ = (now, tried, rng);
        None
    }

    /// Records the end of a request at the worker that was chosen for it.
    pub fn finish(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
        latency: time::Duration,
        result: WorkerResult,
    ) {
        let _ = (now, worker, latency, result);
    }

    /// Ejects workers that have gone silent; call it about every 100 ms.
    pub fn tick(&mut self, now: time::Instant) {
        let _ = now;
    }

    /// Number of workers that are ejected now.
    pub fn ejected(&self) -> usize {
        0
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        0
    }

    /// Whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
