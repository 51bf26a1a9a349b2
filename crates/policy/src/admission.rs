//! Admission queue of one upstream: requests, decisions and refusals.

use cornelridge_model::time;

pub use crate::queue::{AdmissionQueue, MAX_QUEUED};

/// Identifies a request at its node, unique while the request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index of a class at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub u16);

/// Hash of the caller, for fair scheduling among callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerHash(pub u64);

/// A request for a slot at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassIndex,
    /// Rank of the class under overload: the highest rank yields first.
    pub yield_rank: u8,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Latency target of the class.
    pub target: time::Duration,
    /// Time after which a response is useless.
    pub deadline: time::Instant,
    /// Whether the response is a large download.
    pub bulk: bool,
    /// Whether the request is suspected of crashing upstreams and must run alone.
    pub alone: bool,
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is sent to the upstream now.
    Dispatch,
    /// The request waits, and a later action dispatches or refuses it.
    Queued {
        /// A queued request of a higher rank that is refused instead, as the queue is full.
        evicted: Option<EvictedRequest>,
    },
    /// The request isn't run.
    Refused(AdmissionRefusal),
}

/// A queued request that is refused in favour of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Why the request is refused.
    pub refusal: AdmissionRefusal,
}

/// Refusal of a request that isn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Expected wait for a slot at the time of the refusal.
    pub expected_wait: time::Duration,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The deadline has passed.
    DeadlinePassed,
    /// The request would wait too long to be answered in time.
    WaitTooLong,
    /// The queue is full.
    QueueFull,
    /// The request was evicted in favour of one of a lower rank.
    Yielded,
    /// A suspect can't run alone soon enough. It isn't sent to another worker, where a copy of it
    /// might run at the same time.
    CannotRunAlone,
    /// The upstream is gone.
    UpstreamLost,
    /// A request with this identifier is already queued or running.
    DuplicateId,
}

/// Outcome of a dispatched request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinishReport {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Whether the upstream refused the request because of load.
    pub shed: bool,
    /// Whether the request failed in any other way.
    pub failed: bool,
    /// Whether the upstream ended while the request ran.
    pub crashed: bool,
}

/// Action for a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the upstream now.
    Dispatch(RequestId),
    /// Refuse the request, which wasn't run.
    Refuse(RequestId, AdmissionRefusal),
}
