//! Queue in front of one upstream.

use std::collections::HashMap;

use cornelridge_model::time;

use crate::backlog;
use crate::limit;

/// Number of a request at its node, unique while the request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of a class at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub u16);

/// Hash of the caller, for fair sharing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerHash(pub u64);

/// One request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIndex,
    /// Place of the class in the order of yielding: the highest rank yields first.
    pub yield_rank: u8,
    /// Its caller.
    pub caller: CallerHash,
    /// Latency target of the class.
    pub target: time::Duration,
    /// Time after which a response is useless.
    pub deadline: time::Instant,
    /// Whether the response is a large download.
    pub bulk: bool,
    /// Whether the request is suspected of crashing upstreams and runs alone.
    pub alone: bool,
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the upstream now.
    Dispatch,
    /// It waits; an action names it later.
    Queued {
        /// A queued request of a higher rank that is refused to make room.
        evicted: Option<EvictedRequest>,
    },
    /// It isn't run.
    Refused(AdmissionRefusal),
}

/// A queued request that is refused in favour of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedRequest {
    /// The request.
    pub id: RequestId,
    /// Why it is refused.
    pub refusal: AdmissionRefusal,
}

/// Why a request isn't run, with the wait that was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Expected wait for a slot.
    pub expected_wait: time::Duration,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The deadline has passed.
    DeadlinePassed,
    /// The request would not be answered in time.
    WaitTooLong,
    /// The queue holds as many requests as it may.
    QueueFull,
    /// Work of a lower rank took its place.
    Yielded,
    /// A suspect can't run alone soon enough.
    AloneUnavailable,
    /// The upstream is gone.
    UpstreamLost,
    /// A request with this number is already known.
    DuplicateId,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinishReport {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Whether the upstream refused it for load.
    pub shed: bool,
    /// Whether it failed in any other way.
    pub failed: bool,
    /// Whether the upstream ended while it ran.
    pub crashed: bool,
}

/// What to do with a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send it to the upstream now.
    Dispatch(RequestId),
    /// Tell the caller that it wasn't run.
    Refuse(RequestId, AdmissionRefusal),
}

/// Orders and bounds the work of one upstream.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: limit::ConcurrencyLimit,
    running: HashMap<RequestId, AdmissionRequest>,
    backlog: backlog::Backlog,
}

impl AdmissionQueue {
    /// Creates the queue of an upstream that was announced now with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> AdmissionQueue {
        AdmissionQueue {
            limit: limit::ConcurrencyLimit::new(now, slots),
            running: HashMap::new(),
            backlog: backlog::Backlog::new(),
        }
    }

    /// Decides on a request; it counts as running when the answer is `Dispatch`.
    pub fn offer(&mut self, now: time::Instant, request: AdmissionRequest) -> AdmissionDecision {
        let _ = (now, &mut self.limit, &mut self.backlog);
        self.running.insert(request.id, request);
        AdmissionDecision::Dispatch
    }

    /// Records the end of a running request and gives its slot to others.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: RequestId,
        report: FinishReport,
    ) -> Vec<AdmissionAction> {
        let _ = (now, report);
        self.running.remove(&id);
        Vec::new()
    }

    /// Refuses queued requests that can't be answered in time; call it about every 10 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        let _ = now;
        Vec::new()
    }

    /// Forgets a request whose caller has gone or whose deadline has passed.
    pub fn cancel(&mut self, now: time::Instant, id: RequestId) -> Vec<AdmissionAction> {
        let _ = now;
        self.running.remove(&id);
        Vec::new()
    }

    /// Lets a queued suspect that was cleared run beside others.
    pub fn clear_alone(&mut self, now: time::Instant, id: RequestId) -> Vec<AdmissionAction> {
        let _ = (now, id);
        Vec::new()
    }

    /// Takes over the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.limit.set_slots(now, slots);
        Vec::new()
    }

    /// Records that the upstream has started again and is cold.
    pub fn upstream_started(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.limit = limit::ConcurrencyLimit::new(now, slots);
        Vec::new()
    }

    /// Refuses everything that is queued because the upstream is gone or leaving.
    pub fn upstream_lost(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        let _ = now;
        Vec::new()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        0
    }

    /// Concurrency limit in force.
    pub fn limit(&self, now: time::Instant) -> u32 {
        self.limit.current(now)
    }

    /// Wait that a request of this rank without a queued predecessor of its caller would expect.
    pub fn expected_wait(&self, now: time::Instant, yield_rank: u8) -> time::Duration {
        let _ = (now, yield_rank);
        time::Duration::ZERO
    }
}
