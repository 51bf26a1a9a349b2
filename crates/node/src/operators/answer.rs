//! Responses of the operators' endpoint as JSON.

use bytes::Bytes;
use cornelridge_model::report;
use http::header;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use crate::operators;

pub(crate) type OperatorResponse = Response<Full<Bytes>>;

/// Error response to an operator.
#[derive(Debug)]
pub(crate) struct OperatorError {
    pub(crate) status: StatusCode,
    pub(crate) report: Box<report::ErrorReport>,
}

impl OperatorError {
    pub(crate) fn new(
        status: StatusCode,
        error: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> OperatorError {
        let (message, remedy) = (message.into(), remedy.into());
        let report =
            report::ErrorReport { error: error.to_owned(), message, remedy, conflict: None };
        OperatorError { status, report: Box::new(report) }
    }

    pub(crate) fn not_ready(error: &operators::NotReady) -> OperatorError {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        OperatorError::new(status, "not-ready", &*error.reason, &*error.remedy)
    }

    pub(crate) fn change(error: operators::ChangeError) -> OperatorError {
        let message = error.to_string();
        match error {
            operators::ChangeError::Conflict(conflict) => {
                let remedy = format!(
                    "read the configuration again, check the differences, and repeat the change \
                     with if-match {}",
                    conflict.current
                );
                let mut error =
                    OperatorError::new(StatusCode::CONFLICT, "revision-conflict", message, remedy);
                error.report.conflict = Some(conflict);
                error
            }
            operators::ChangeError::Invalid(_) => {
                let remedy = "correct the value and repeat the change";
                OperatorError::new(StatusCode::BAD_REQUEST, "invalid-class", message, remedy)
            }
            operators::ChangeError::UnknownClass { .. } => unknown_class(message),
            operators::ChangeError::StoreUnavailable { .. } => {
                let remedy = "nothing changed; repeat the change when the store answers";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                OperatorError::new(status, "store-unavailable", message, remedy)
            }
            operators::ChangeError::OutcomeUnknown { .. } => unknown_outcome(message),
        }
    }

    pub(crate) fn retire(error: &operators::RetireError) -> OperatorError {
        let message = error.to_string();
        match error {
            operators::RetireError::UnknownNode { .. } => {
                let remedy = "check the name with cornelctl status";
                OperatorError::new(StatusCode::NOT_FOUND, "unknown-node", message, remedy)
            }
            operators::RetireError::StillAlive { .. } => {
                let remedy = "use cornelctl drain for a node that runs";
                OperatorError::new(StatusCode::CONFLICT, "still-alive", message, remedy)
            }
            operators::RetireError::NotConfirmed { .. } => {
                let remedy = "make sure that its process no longer runs, then state so with \
                              cornelctl retire NODE --confirmed-dead";
                OperatorError::new(StatusCode::BAD_REQUEST, "not-confirmed", message, remedy)
            }
            operators::RetireError::StoreUnavailable { .. } => {
                let remedy = "nothing changed; repeat the command when the store answers";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                OperatorError::new(status, "store-unavailable", message, remedy)
            }
            operators::RetireError::OutcomeUnknown { .. } => unknown_outcome(message),
        }
    }

    pub(crate) fn into_response(self) -> OperatorResponse {
        let mut response = json(self.status, &*self.report);
        if self.status == StatusCode::UNAUTHORIZED {
            let bearer = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, bearer);
        }
        response
    }
}

pub(crate) fn unknown_class(message: impl Into<String>) -> OperatorError {
    let remedy = "check the name with cornelctl classes list";
    OperatorError::new(StatusCode::NOT_FOUND, "unknown-class", message, remedy)
}

pub(crate) fn unknown_outcome(message: impl Into<String>) -> OperatorError {
    let remedy = "read the current state, and repeat the command only if it isn't in force";
    OperatorError::new(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", message, remedy)
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> OperatorResponse {
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(error) => {
            log::error!("failed to encode a response to an operator as JSON: {error}");
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    };
    with_type(status, "application/json", body)
}

/// Returns a response of the given content type.
pub(crate) fn with_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> OperatorResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
