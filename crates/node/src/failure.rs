//! Failed requests: kind, outcome, message and remedy.

use cornelridge_model::ident;
use cornelridge_model::outcome;
use cornelridge_wire::generated;
use derive_more::Display;
use http::StatusCode;
use serde::Serialize;
use thiserror::Error;

/// Reason why a request got no response from an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum FailureKind {
    /// A header, the path or a length is invalid.
    #[display("bad-request")]
    BadRequest,
    /// No class has this name.
    #[display("unknown-class")]
    UnknownClass,
    /// The class is divided by key and the request has none.
    #[display("missing-key")]
    MissingKey,
    /// The class is non-idempotent and the request has no idempotency key.
    #[display("missing-idempotency-key")]
    MissingIdempotencyKey,
    /// The node has no configuration yet.
    #[display("not-ready")]
    NotReady,
    /// The node that got the request doesn't own the key.
    #[display("not-owner")]
    NotOwner,
    /// No node serves the key or the class at the moment.
    #[display("no-owner")]
    NoOwner,
    /// The upstream's queue can't meet the deadline.
    #[display("overloaded")]
    Overloaded,
    /// Requests like this one crashed upstreams.
    #[display("quarantined")]
    Quarantined,
    /// The first execution with this idempotency key hasn't ended.
    #[display("in-flight")]
    InFlight,
    /// It is unknown whether the first execution with this idempotency key ended.
    #[display("execution-unknown")]
    ExecutionUnknown,
    /// At-most-once records are full, or can't be copied or fetched.
    #[display("records-unavailable")]
    RecordsUnavailable,
    /// The deadline passed.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The upstream or the connection to it failed.
    #[display("upstream-lost")]
    UpstreamLost,
    /// The upstream refused the request without running it.
    #[display("upstream-refused")]
    UpstreamRefused,
    /// The lease ended before the response arrived.
    #[display("lease-expired")]
    LeaseExpired,
    /// Another node couldn't be reached, or its stream broke.
    #[display("peer-lost")]
    PeerLost,
    /// The node is shutting down.
    #[display("draining")]
    Draining,
}

impl FailureKind {
    const ALL: [FailureKind; 18] = [
        FailureKind::BadRequest,
        FailureKind::UnknownClass,
        FailureKind::MissingKey,
        FailureKind::MissingIdempotencyKey,
        FailureKind::NotReady,
        FailureKind::NotOwner,
        FailureKind::NoOwner,
        FailureKind::Overloaded,
        FailureKind::Quarantined,
        FailureKind::InFlight,
        FailureKind::ExecutionUnknown,
        FailureKind::RecordsUnavailable,
        FailureKind::DeadlinePassed,
        FailureKind::UpstreamLost,
        FailureKind::UpstreamRefused,
        FailureKind::LeaseExpired,
        FailureKind::PeerLost,
        FailureKind::Draining,
    ];

    fn from_name(name: &str) -> FailureKind {
        let is_named = |kind: &&FailureKind| kind.to_string() == name;
        FailureKind::ALL.iter().find(is_named).copied().unwrap_or(FailureKind::PeerLost)
    }

    /// Returns what the caller can do about the failure.
    pub(crate) fn remedy(self) -> &'static str {
        match self {
            FailureKind::BadRequest => "correct the request; docs/operators.md lists the limits",
            FailureKind::UnknownClass => {
                "use an existing class as the first path segment, or create it with cornelctl"
            }
            FailureKind::MissingKey => "send the key in the header cornelridge-key",
            FailureKind::MissingIdempotencyKey => {
                "send a unique value in the header idempotency-key"
            }
            FailureKind::NotReady => "send the request to another node, or try again in a second",
            FailureKind::NotOwner | FailureKind::NoOwner => "try again in a second",
            FailureKind::Overloaded => "try again later, or allow a longer deadline",
            FailureKind::Quarantined => {
                "don't send this request again; ask the operators to look at it"
            }
            FailureKind::InFlight => "wait for the first answer, then ask for it with the same key",
            FailureKind::ExecutionUnknown => {
                "check the effect at the upstream before you use a new idempotency key"
            }
            FailureKind::RecordsUnavailable => "try again later with the same idempotency key",
            FailureKind::DeadlinePassed => "allow a longer deadline, or try again later",
            FailureKind::UpstreamLost | FailureKind::PeerLost | FailureKind::LeaseExpired => {
                "if the outcome is not-run, try again; otherwise use the same idempotency key"
            }
            FailureKind::UpstreamRefused => "try again later",
            FailureKind::Draining => "send the request to another node",
        }
    }

    fn status(self, result: outcome::RequestOutcome) -> StatusCode {
        match self {
            FailureKind::BadRequest
            | FailureKind::MissingKey
            | FailureKind::MissingIdempotencyKey => StatusCode::BAD_REQUEST,
            FailureKind::UnknownClass => StatusCode::NOT_FOUND,
            FailureKind::InFlight => StatusCode::CONFLICT,
            FailureKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ if result == outcome::RequestOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A request that ended without a response from an upstream.
#[derive(Clone, Debug, Error)]
#[error("{kind} ({result}): {message}")]
pub(crate) struct RequestFailure {
    /// Reason for the failure.
    pub(crate) kind: FailureKind,
    /// Whether an upstream executed the request.
    pub(crate) result: outcome::RequestOutcome,
    /// Description of the failure for the caller.
    pub(crate) message: String,
    /// Highest epoch known to the node that refused the request; 0 if it isn't relevant.
    pub(crate) epoch: ident::EpochNumber,
}

#[derive(Serialize)]
struct FailureBody<'a> {
    error: String,
    outcome: outcome::RequestOutcome,
    message: &'a str,
    remedy: &'a str,
}

impl RequestFailure {
    /// Creates a failure of a request that wasn't run.
    pub(crate) fn not_run(kind: FailureKind, message: impl Into<String>) -> RequestFailure {
        RequestFailure::new(kind, outcome::RequestOutcome::NotRun, message)
    }

    /// Creates a failure of a request that an upstream may have run.
    pub(crate) fn unknown(kind: FailureKind, message: impl Into<String>) -> RequestFailure {
        RequestFailure::new(kind, outcome::RequestOutcome::Unknown, message)
    }

    /// Creates a failure with the given outcome.
    pub(crate) fn new(
        kind: FailureKind,
        result: outcome::RequestOutcome,
        message: impl Into<String>,
    ) -> RequestFailure {
        RequestFailure { kind, result, message: message.into(), epoch: ident::EpochNumber(0) }
    }

    /// Combines the outcome of earlier attempts with this failure, the last one: the outcome is
    /// `not-run` only if no attempt may have run.
    pub(crate) fn combined_with(mut self, earlier: outcome::RequestOutcome) -> RequestFailure {
        use outcome::RequestOutcome;
        self.result = match (earlier, self.result) {
            (RequestOutcome::Run, _) | (_, RequestOutcome::Run) => RequestOutcome::Run,
            (RequestOutcome::NotRun, RequestOutcome::NotRun) => RequestOutcome::NotRun,
            _ => RequestOutcome::Unknown,
        };
        self
    }

    /// Returns whether another node may be able to serve the request.
    pub(crate) fn may_succeed_elsewhere(&self) -> bool {
        match self.kind {
            FailureKind::NotReady
            | FailureKind::NotOwner
            | FailureKind::NoOwner
            | FailureKind::Overloaded
            | FailureKind::UpstreamLost
            | FailureKind::UpstreamRefused
            | FailureKind::LeaseExpired
            | FailureKind::PeerLost
            | FailureKind::Draining => true,
            FailureKind::BadRequest
            | FailureKind::UnknownClass
            | FailureKind::MissingKey
            | FailureKind::MissingIdempotencyKey
            | FailureKind::Quarantined
            | FailureKind::InFlight
            | FailureKind::ExecutionUnknown
            | FailureKind::RecordsUnavailable
            | FailureKind::DeadlinePassed => false,
        }
    }

    /// Returns the HTTP status for the caller.
    pub(crate) fn status(&self) -> StatusCode {
        self.kind.status(self.result)
    }

    /// Returns the JSON body for the caller.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let body = FailureBody {
            error: self.kind.to_string(),
            outcome: self.result,
            message: &self.message,
            remedy: self.kind.remedy(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Converts the failure to the message for the node that forwarded the request.
    pub(crate) fn to_wire(&self) -> generated::ResponseError {
        generated::ResponseError {
            outcome: wire_outcome(self.result) as i32,
            kind: self.kind.to_string(),
            message: self.message.clone(),
            remedy: self.kind.remedy().to_owned(),
            status: u32::from(self.status().as_u16()),
            epoch: self.epoch.0,
            retry_elsewhere: self.may_succeed_elsewhere(),
            load: None,
            retry_after_us: 0,
            // Only a node beside a single worker knows this.
            ended_worker: 0,
        }
    }

    /// Reads a failure from the message of another node.
    pub(crate) fn from_wire(error: generated::ResponseError) -> RequestFailure {
        let result = match generated::Outcome::try_from(error.outcome) {
            Ok(generated::Outcome::NotRun) => outcome::RequestOutcome::NotRun,
            Ok(generated::Outcome::Run) => outcome::RequestOutcome::Run,
            Ok(generated::Outcome::Unknown) | Err(_) => outcome::RequestOutcome::Unknown,
        };
        RequestFailure {
            kind: FailureKind::from_name(&error.kind),
            result,
            message: error.message,
            epoch: ident::EpochNumber(error.epoch),
        }
    }
}

fn wire_outcome(result: outcome::RequestOutcome) -> generated::Outcome {
    match result {
        outcome::RequestOutcome::NotRun => generated::Outcome::NotRun,
        outcome::RequestOutcome::Run => generated::Outcome::Run,
        outcome::RequestOutcome::Unknown => generated::Outcome::Unknown,
    }
}
