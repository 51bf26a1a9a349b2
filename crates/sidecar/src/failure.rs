//! Failures of requests: the cause, and whether a worker may have run the request.

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::generated;
use http::StatusCode;

/// Whether a worker may have run a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No worker has run the request, and none will.
    NotRun,
    /// A worker may have run the request.
    Unknown,
}

/// Cause of the failure of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FailureCause {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The body is longer than the limit.
    #[display("too-large")]
    TooLarge,
    /// No worker of the service is known.
    #[display("no-worker")]
    NoWorker,
    /// The selected worker is no longer beside the node.
    #[display("worker-gone")]
    WorkerGone,
    /// The worker is leaving.
    #[display("worker-leaving")]
    WorkerLeaving,
    /// The zone of the worker is evacuated.
    #[display("zone-evacuated")]
    ZoneEvacuated,
    /// A node on the path stops before the deadline of the request.
    #[display("node-stopping")]
    NodeStopping,
    /// The worker doesn't hold the key.
    #[display("key-not-held")]
    KeyNotHeld,
    /// The request can't be served in time.
    #[display("overloaded")]
    Overloaded,
    /// The worker refused the request for lack of capacity.
    #[display("worker-full")]
    WorkerFull,
    /// The worker accepts no connections.
    #[display("worker-refuses")]
    WorkerRefuses,
    /// The worker closed the connection before its response was complete.
    #[display("worker-broke-off")]
    WorkerBrokeOff,
    /// The worker ended while it ran the request.
    #[display("worker-ended")]
    WorkerEnded,
    /// The worker sent a response that doesn't belong to the request.
    #[display("wrong-answer")]
    WrongAnswer,
    /// The deadline has passed.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The node beside the worker can't be reached.
    #[display("node-unreachable")]
    NodeUnreachable,
    /// The connection to the node beside the worker was lost.
    #[display("node-lost")]
    NodeLost,
    /// The request may crash workers and can't run alone in time.
    #[display("suspect")]
    Suspect,
    /// The request crashed workers and is refused for a time.
    #[display("crashes-workers")]
    CrashesWorkers,
    /// The caller left.
    #[display("caller-left")]
    CallerLeft,
}

/// Failure of a request that got no response of a worker.
#[derive(Clone, Debug)]
pub struct RequestFailure {
    /// Cause of the failure.
    pub cause: FailureCause,
    /// Whether a worker may have run the request.
    pub state: RunState,
    /// Whether the request reached a worker, so that another attempt counts as a retry.
    pub reached_worker: bool,
    /// Time after which the caller may retry, if known.
    pub retry_after: Option<time::Duration>,
    /// The crash that this request or an identical one may have caused, if any.
    pub crash: Option<quarantine::CrashId>,
}

/// Decodes the crash of a worker incarnation; 0 stands for none.
pub(crate) fn crash_from_wire(incarnation: u64) -> Option<quarantine::CrashId> {
    let node = ident::IncarnationId(incarnation);
    (incarnation != 0).then_some(quarantine::CrashId { node, sequence: 0 })
}

impl RequestFailure {
    /// Returns the failure of a request that reached no worker.
    pub fn not_run(cause: FailureCause) -> RequestFailure {
        let state = RunState::NotRun;
        RequestFailure { cause, state, reached_worker: false, retry_after: None, crash: None }
    }

    /// Returns the failure of a request that the worker refused to run.
    pub fn refused(cause: FailureCause) -> RequestFailure {
        RequestFailure { reached_worker: true, ..RequestFailure::not_run(cause) }
    }

    /// Returns the failure of a request that a worker may have run.
    pub fn unknown(cause: FailureCause) -> RequestFailure {
        let state = RunState::Unknown;
        RequestFailure { cause, state, reached_worker: true, retry_after: None, crash: None }
    }

    /// Returns the failure with a retry delay.
    pub fn with_retry_after(self, retry_after: time::Duration) -> RequestFailure {
        RequestFailure { retry_after: Some(retry_after), ..self }
    }

    /// Returns the failure with the crash behind it.
    pub fn with_crash(self, crash: quarantine::CrashId) -> RequestFailure {
        RequestFailure { crash: Some(crash), ..self }
    }

    /// Returns the HTTP status for the caller.
    pub fn status(&self) -> StatusCode {
        match (self.cause, self.state) {
            (FailureCause::NoRoute, _) => StatusCode::NOT_FOUND,
            (FailureCause::BadRequest, _) => StatusCode::BAD_REQUEST,
            (FailureCause::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (_, RunState::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (FailureCause::DeadlinePassed, RunState::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            (_, RunState::Unknown) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Encodes the failure for another node.
    pub fn to_wire(&self) -> generated::ResponseError {
        let outcome = match self.state {
            RunState::NotRun => generated::Outcome::NotRun,
            RunState::Unknown => generated::Outcome::Unknown,
        };
        generated::ResponseError {
            outcome: outcome.into(),
            kind: self.cause.to_string(),
            status: u32::from(self.status().as_u16()),
            retry_elsewhere: !self.reached_worker,
            retry_after_us: self.retry_after.unwrap_or_default().0,
            ended_worker: self.crash.map_or(0, |crash| crash.node.0),
            ..generated::ResponseError::default()
        }
    }

    /// Decodes a failure that another node reported; an unknown cause becomes `NodeLost`.
    pub fn from_wire(error: &generated::ResponseError) -> RequestFailure {
        let cause = WIRE_CAUSES.into_iter().find(|cause| cause.to_string() == error.kind);
        let state = match error.outcome() {
            generated::Outcome::NotRun => RunState::NotRun,
            generated::Outcome::Run | generated::Outcome::Unknown => RunState::Unknown,
        };
        RequestFailure {
            cause: cause.unwrap_or(FailureCause::NodeLost),
            state,
            reached_worker: !error.retry_elsewhere,
            retry_after: Some(time::Duration(error.retry_after_us)).filter(|time| time.0 > 0),
            crash: crash_from_wire(error.ended_worker),
        }
    }
}

/// Causes that one node reports to another.
const WIRE_CAUSES: [FailureCause; 16] = [
    FailureCause::NoConfiguration,
    FailureCause::ZoneEvacuated,
    FailureCause::WorkerGone,
    FailureCause::WorkerLeaving,
    FailureCause::NodeStopping,
    FailureCause::KeyNotHeld,
    FailureCause::Overloaded,
    FailureCause::WorkerFull,
    FailureCause::WorkerRefuses,
    FailureCause::WorkerBrokeOff,
    FailureCause::WorkerEnded,
    FailureCause::WrongAnswer,
    FailureCause::DeadlinePassed,
    FailureCause::Suspect,
    FailureCause::CrashesWorkers,
    FailureCause::BadRequest,
];
