//! What the result of an attempt says of its worker.

use cornelridge_fleet::selection;

use crate::failure::{FailureCause, RequestFailure};
use crate::response;

/// Returns whether a request was refused because the zone of the worker is evacuated.
pub(super) fn is_zone_evacuated(result: &Result<response::WorkerResponse, RequestFailure>) -> bool {
    result.as_ref().is_err_and(|failure| failure.cause == FailureCause::ZoneEvacuated)
}

/// Returns what a result says of the worker. One that fails a request and leaves most others
/// unanswered is avoided like one that can't be reached.
pub(super) fn worker_result(
    result: &Result<response::WorkerResponse, RequestFailure>,
    is_failing: bool,
) -> selection::WorkerResult {
    let failure = match result {
        Ok(response) if response.status.is_server_error() => {
            return selection::WorkerResult::Failed;
        }
        Ok(_) => return selection::WorkerResult::Success,
        Err(failure) => failure,
    };
    match failure.cause {
        FailureCause::NodeUnreachable
        | FailureCause::WorkerGone
        | FailureCause::WorkerLeaving
        | FailureCause::NodeStopping
        | FailureCause::NoConfiguration
        | FailureCause::WorkerRefuses => selection::WorkerResult::Unreachable,
        FailureCause::Overloaded
        | FailureCause::WorkerFull
        | FailureCause::KeyNotHeld
        | FailureCause::ZoneEvacuated
        | FailureCause::Suspect
        | FailureCause::CrashesWorkers => selection::WorkerResult::Refused,
        FailureCause::CallerLeft => selection::WorkerResult::Cancelled,
        _ if is_failing => selection::WorkerResult::Unreachable,
        _ => selection::WorkerResult::Failed,
    }
}
