//! Queue in front of one upstream.

use cornelridge_model::time;

pub use crate::queue::{AdmissionQueue, MAX_QUEUED};

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
    /// A suspect can't run alone soon enough; it isn't sent to another worker, where a copy of it
    /// might run at the same time.
    CannotRunAlone,
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
