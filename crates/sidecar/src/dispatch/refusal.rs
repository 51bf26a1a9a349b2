//! Responses with which the worker refuses a request.

use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body;

use super::RESPONSE_GRACE;
use crate::clock;
use crate::connections;
use crate::failure::{FailureCause, RequestFailure};
use crate::request;
use crate::worker;

/// Largest body of a response that refuses a request, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Reads the rest of a refusal, so that the connection can be reused, and returns the failure.
pub(super) async fn read(
    request: &request::FleetRequest,
    permit: worker::SlotPermit,
    connection: connections::PooledConnection,
    status: StatusCode,
    incoming: body::Incoming,
) -> RequestFailure {
    let read = Limited::new(incoming, MAX_REFUSAL_BYTES).collect();
    if let Some(Ok(_)) = clock::timeout_at(request.deadline + RESPONSE_GRACE, read).await {
        connection.put_back_refused(&request.id);
    }
    log::info!(request:% = request.id, status = status.as_u16(); "the worker refused a request");
    let cause = match (status, request.key) {
        (StatusCode::MISDIRECTED_REQUEST, Some(_)) => FailureCause::KeyNotHeld,
        (StatusCode::MISDIRECTED_REQUEST, None) => FailureCause::WorkerGone,
        _ => FailureCause::WorkerFull,
    };
    permit.record_not_run();
    if status == StatusCode::MISDIRECTED_REQUEST {
        permit.record_uncounted();
    }
    match cause {
        FailureCause::WorkerFull => permit.shed(),
        _ => permit.finish(false),
    }
    RequestFailure::refused(cause)
}
