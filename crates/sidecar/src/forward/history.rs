//! Attempts made for one request.

use cornelridge_fleet::member;
use cornelridge_fleet::room;
use cornelridge_model::time;
use cornelridge_policy::quarantine;

use crate::clock;
use crate::failure::{FailureCause, RequestFailure, RunState};
use crate::response;

/// The attempts made for one request.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Workers that are excluded from further attempts.
    pub(super) tried: Vec<member::WorkerName>,
    /// Number of attempts that reached a worker.
    pub(super) arrivals: u32,
    /// Number of attempts that a worker may have run.
    pub(super) runs: u32,
    /// Number of attempts that reached no worker.
    pub(super) refusals: u32,
    /// The crash that the request may have caused, if the request is a suspect.
    pub(super) suspect_crash: Option<quarantine::CrashId>,
    /// Earliest time at which a worker that refused the request expects to have room.
    room_at: Option<time::Instant>,
}

impl AttemptHistory {
    /// Returns the failure of a request that no worker ran, with the earliest time at which any of
    /// them expects to have room.
    pub(super) fn with_earliest_room(&self, failure: RequestFailure) -> RequestFailure {
        match self.room_at {
            Some(at) if failure.cause != FailureCause::CrashesWorkers => {
                failure.with_retry_after(at.since(clock::now()).max(room::MIN_RETRY_AFTER))
            }
            _ => failure,
        }
    }

    /// Returns whether a worker that refused the request stated when it expects to have room.
    pub(super) fn has_room_time(&self) -> bool {
        self.room_at.is_some()
    }

    pub(super) fn record(
        &mut self,
        worker: &member::WorkerName,
        result: &Result<response::WorkerResponse, RequestFailure>,
    ) {
        let cause = result.as_ref().err().map(|failure| failure.cause);
        // A worker that refuses a suspect isn't excluded: it may be the one designated for it.
        if cause != Some(FailureCause::Suspect) {
            self.tried.push(worker.clone());
        }
        match result {
            Ok(_) => {
                self.arrivals += 1;
                self.runs += 1;
            }
            Err(failure) => {
                let room_at = failure.retry_after.map(|time| clock::now() + time);
                self.room_at = [self.room_at, room_at].into_iter().flatten().min();
                self.arrivals += u32::from(failure.reached_worker);
                self.runs += u32::from(failure.state == RunState::Unknown);
                self.refusals += u32::from(!failure.reached_worker);
            }
        }
    }
}
