//! Metrics of a node.

use std::sync::Arc;

use cornelridge_fleet::admission;
use cornelridge_model::time;
use http::StatusCode;

use crate::failure::RequestFailure;

/// Answers to callers; labels `route` and `status`.
pub(crate) const ANSWERS: &str = "cornelridge_answers_total";
/// Requests of callers that got no answer of a worker; labels `route` and `cause`.
pub(crate) const FAILURES: &str = "cornelridge_failures_total";
/// Time from the arrival of a caller's request to its answer; label `route`.
pub(crate) const ANSWER_SECONDS: &str = "cornelridge_answer_seconds";
/// Time that requests waited for a slot of the worker; label `service`.
pub(crate) const SLOT_WAIT_SECONDS: &str = "cornelridge_slot_wait_seconds";
/// Requests that were sent to a worker again; label `service`.
pub(crate) const RETRIES: &str = "cornelridge_repeats_total";
/// New connections to the worker.
pub(crate) const WORKER_CONNECTIONS: &str = "cornelridge_worker_connections_total";
/// Time for which a key had no holder when a request asked for it.
pub(crate) const KEY_WAIT_SECONDS: &str = "cornelridge_key_wait_seconds";
/// Ranges that changed their owner by a change that this node made; label `reason`.
pub(crate) const RANGE_CHANGES: &str = "cornelridge_range_changes_total";

/// Requests whose caller closed its connection before the answer; label `route`.
pub(crate) const CALLERS_LEFT: &str = "cornelridge_callers_left_total";
/// Requests at the worker's node whose caller left; labels `route` and `end`, which is `stopped` or
/// `completed`.
pub(crate) const LEFT_REQUESTS: &str = "cornelridge_left_requests_total";
/// Revision of the store up to which members and ranges are known.
pub(crate) const KNOWN_REVISION: &str = "cornelridge_known_revision";

/// Requests that the worker's node refused; labels `route` and `reason`, which is `link` or `slots`.
pub(crate) const REFUSALS: &str = "cornelridge_refusals_total";
/// Bytes of large answers that left for other nodes and for callers.
pub(crate) const LARGE_ANSWER_BYTES: &str = "cornelridge_large_answer_bytes_total";
/// Bytes of large answers that wait for the link.
pub(crate) const LARGE_ANSWER_WAITING_BYTES: &str = "cornelridge_large_answer_waiting_bytes";
/// Bytes of all datagrams that left for other nodes.
pub(crate) const PEER_SENT_BYTES: &str = "cornelridge_peer_sent_bytes_total";
/// Packets to other nodes that were lost.
pub(crate) const PEER_LOST_PACKETS: &str = "cornelridge_peer_lost_packets_total";
/// Longest of the present round trips to other nodes.
pub(crate) const PEER_ROUND_TRIP_SECONDS: &str = "cornelridge_peer_round_trip_seconds";

/// Workers beside this node that ended while they ran requests.
pub(crate) const WORKER_ENDS: &str = "cornelridge_worker_ends_total";

/// Facts about requests that may end workers that became known here; label `event`, which is
/// `suspected`, `refused`, `cleared` or `forgotten`.
pub(crate) const SUSPECT_EVENTS: &str = "cornelridge_suspects_total";

/// Counts a fact about a request that may end workers.
pub(crate) fn suspect(event: &'static str) {
    metrics::counter!(SUSPECT_EVENTS, "event" => event).increment(1);
}

/// Counts a worker that ended while it ran requests.
pub(crate) fn worker_ended() {
    metrics::counter!(WORKER_ENDS).increment(1);
}

/// Counts a refusal of the worker's node.
pub(crate) fn refused(route: &Arc<str>, reason: admission::RefusalReason) {
    let reason = reason.to_string();
    metrics::counter!(REFUSALS, "route" => Arc::clone(route), "reason" => reason).increment(1);
}

/// Counts an answer to a caller.
pub(crate) fn answered(route: &Arc<str>, status: StatusCode, time: time::Duration) {
    let status = status.as_u16().to_string();
    metrics::counter!(ANSWERS, "route" => Arc::clone(route), "status" => status).increment(1);
    metrics::histogram!(ANSWER_SECONDS, "route" => Arc::clone(route)).record(time.as_secs_f64());
}

/// Counts a failure.
pub(crate) fn failed(route: &Arc<str>, failure: &RequestFailure) {
    let cause = failure.cause.to_string();
    metrics::counter!(FAILURES, "route" => Arc::clone(route), "cause" => cause).increment(1);
}

/// Counts the wait for a slot.
pub(crate) fn queued(service: &Arc<str>, time: time::Duration) {
    let histogram = metrics::histogram!(SLOT_WAIT_SECONDS, "service" => Arc::clone(service));
    histogram.record(time.as_secs_f64());
}

/// Counts a caller that left before its answer.
pub(crate) fn caller_left(route: &Arc<str>) {
    metrics::counter!(CALLERS_LEFT, "route" => Arc::clone(route)).increment(1);
}

/// Counts the end of a request whose caller left.
pub(crate) fn left_request(route: &Arc<str>, is_completed: bool) {
    let end = if is_completed { "completed" } else { "stopped" };
    metrics::counter!(LEFT_REQUESTS, "route" => Arc::clone(route), "end" => end).increment(1);
}

/// Records how far the store is known.
pub(crate) fn known_revision(revision: u64) {
    metrics::gauge!(KNOWN_REVISION).set(revision as f64);
}
