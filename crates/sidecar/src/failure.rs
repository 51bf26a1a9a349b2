//! Why a request got no answer of a worker, and what may have happened to it.

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::generated;
use http::StatusCode;

/// What may have happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No worker began to run it, and none will.
    NotRun,
    /// A worker may have run it.
    Unknown,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum FailureCause {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// The request can't be understood.
    #[display("bad-request")]
    BadRequest,
    /// The body is longer than the limit.
    #[display("too-large")]
    TooLarge,
    /// No worker of the service is known.
    #[display("no-worker")]
    NoWorker,
    /// The chosen worker isn't beside the node any more.
    #[display("worker-gone")]
    WorkerGone,
    /// The worker is leaving.
    #[display("worker-leaving")]
    WorkerLeaving,
    /// A node on the way stops before the request may end.
    #[display("node-stopping")]
    NodeStopping,
    /// The worker doesn't hold the key.
    #[display("key-not-held")]
    KeyNotHeld,
    /// There is no room to serve the request in time.
    #[display("overloaded")]
    Overloaded,
    /// The worker had no room.
    #[display("worker-full")]
    WorkerFull,
    /// The worker accepts no connection.
    #[display("worker-refuses")]
    WorkerRefuses,
    /// The worker broke off.
    #[display("worker-broke-off")]
    WorkerBrokeOff,
    /// The worker has ended while it ran the request.
    #[display("worker-ended")]
    WorkerEnded,
    /// The worker sent something that isn't the answer to this request.
    #[display("wrong-answer")]
    WrongAnswer,
    /// The time is up.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The node beside the worker can't be reached.
    #[display("node-unreachable")]
    NodeUnreachable,
    /// The connection to the node beside the worker broke.
    #[display("node-lost")]
    NodeLost,
    /// The request may end workers, and can't be tried alone in time.
    #[display("suspect")]
    Suspect,
    /// Workers ended under the request; it is refused for a while.
    #[display("crashes-workers")]
    CrashesWorkers,
    /// The caller left.
    #[display("caller-left")]
    CallerLeft,
}

/// A request without an answer of a worker.
#[derive(Clone, Debug)]
pub struct RequestFailure {
    /// Why.
    pub cause: FailureCause,
    /// What may have happened.
    pub state: RunState,
    /// Whether it reached a worker, which counts as a repeat the next time.
    pub reached_worker: bool,
    /// Time after which it may come again; `None` if that isn't known.
    pub retry_after: Option<time::Duration>,
    /// The end of a worker that ran it, or one like it, if there was one.
    pub crash: Option<quarantine::CrashId>,
}

/// The end of an incarnation; 0 is none.
pub(crate) fn crash_from_wire(incarnation: u64) -> Option<quarantine::CrashId> {
    let node = ident::IncarnationId(incarnation);
    (incarnation != 0).then_some(quarantine::CrashId { node, sequence: 0 })
}

impl RequestFailure {
    /// A request that no worker saw.
    pub fn not_run(cause: FailureCause) -> RequestFailure {
        let state = RunState::NotRun;
        RequestFailure { cause, state, reached_worker: false, retry_after: None, crash: None }
    }

    /// A request that the worker refused to run.
    pub fn refused(cause: FailureCause) -> RequestFailure {
        RequestFailure { reached_worker: true, ..RequestFailure::not_run(cause) }
    }

    /// A request that a worker may have run.
    pub fn unknown(cause: FailureCause) -> RequestFailure {
        let state = RunState::Unknown;
        RequestFailure { cause, state, reached_worker: true, retry_after: None, crash: None }
    }

    /// The same failure with a time to come back.
    pub fn with_retry_after(self, retry_after: time::Duration) -> RequestFailure {
        RequestFailure { retry_after: Some(retry_after), ..self }
    }

    /// The same failure with the end of a worker that explains it.
    pub fn with_crash(self, crash: quarantine::CrashId) -> RequestFailure {
        RequestFailure { crash: Some(crash), ..self }
    }

    /// Status for the caller.
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

    /// The form for another node.
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

    /// Reads the answer of another node; a cause that isn't known counts as a lost node.
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
const WIRE_CAUSES: [FailureCause; 14] = [
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
