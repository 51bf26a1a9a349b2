//! Metrics of a node.

use std::sync::Arc;

use cornelridge_fleet::admission;
use cornelridge_fleet::memory_budget;
use cornelridge_fleet::route_usage;
use cornelridge_fleet::warm_up;
use cornelridge_model::time;
use http::StatusCode;

use crate::failure::RequestFailure;

/// Responses to callers; labels `route` and `status`.
pub(crate) const RESPONSES: &str = "cornelridge_answers_total";
/// Requests of callers that got no response of a worker; labels `route` and `cause`.
pub(crate) const FAILURES: &str = "cornelridge_failures_total";
/// Time from the arrival of a caller's request to its response; label `route`.
pub(crate) const RESPONSE_SECONDS: &str = "cornelridge_answer_seconds";
/// Time that requests wait for a slot of the worker; label `service`.
pub(crate) const SLOT_WAIT_SECONDS: &str = "cornelridge_slot_wait_seconds";
/// Retries of requests that reached a worker before; label `service`.
pub(crate) const RETRIES: &str = "cornelridge_repeats_total";
/// Requests sent to workers, including retries; labels `service` and `zone`, which is `same` or
/// `other`.
pub(crate) const ZONE_REQUESTS: &str = "cornelridge_zone_requests_total";
/// New connections to the worker.
pub(crate) const WORKER_CONNECTIONS: &str = "cornelridge_worker_connections_total";
/// Time that a request waits until its key has a holder.
pub(crate) const KEY_WAIT_SECONDS: &str = "cornelridge_key_wait_seconds";
/// Changes of the owner of a range that this node made; label `reason`.
pub(crate) const RANGE_CHANGES: &str = "cornelridge_range_changes_total";

/// Grant calls to the worker; labels `order`, which is `grant` or `release`, and `outcome`.
pub(crate) const GRANT_CALLS: &str = "cornelridge_grant_calls_total";

/// Requests whose caller closed its connection before the response; label `route`.
pub(crate) const CALLERS_LEFT: &str = "cornelridge_callers_left_total";
/// Requests whose caller left while they were at the worker's node; labels `route` and `end`, which
/// is `stopped` or `completed`.
pub(crate) const LEFT_REQUESTS: &str = "cornelridge_left_requests_total";
/// Revision of the store up to which this node knows members and ranges.
pub(crate) const KNOWN_REVISION: &str = "cornelridge_known_revision";
/// Gauge of the era of the store; not set by a store without eras.
pub(crate) const STORE_ERA: &str = "cornelridge_store_era";
/// Number of times that the store went back to an older copy of its items.
pub(crate) const STORE_ERA_CHANGES: &str = "cornelridge_store_era_changes_total";

/// Requests that the worker's node refused; labels `route` and `reason`, which is `link`, `slots`,
/// `warm-up` or `calls`.
pub(crate) const REFUSALS: &str = "cornelridge_refusals_total";
/// Calls that the worker beside this node made; labels `route` of the request that made them,
/// `call`, which is their route, and `outcome`, which is `served` or `refused`.
pub(crate) const WORKER_CALLS: &str = "cornelridge_worker_calls_total";
/// Changes of whether only a part of the requests of a route starts, because their calls are
/// refused; labels `route` and `event`, which is `limited` or `released`.
pub(crate) const CALL_LIMITS: &str = "cornelridge_call_limits_total";
/// Slots of the worker that are reserved for calls.
pub(crate) const RESERVED_SLOTS: &str = "cornelridge_reserved_slots";
/// Time that work takes at the worker relative to the usual time, as the worker states it.
pub(crate) const WORKER_SLOWDOWN: &str = "cornelridge_worker_slowdown";
/// Requests that the worker runs although the node has none of them there any more.
pub(crate) const UNKNOWN_REQUESTS: &str = "cornelridge_worker_unknown_requests";
/// Requests that came before the time that their callers were told; label `route`.
pub(crate) const EARLY_RETURNS: &str = "cornelridge_early_returns_total";
/// Requests that repeat one that was refused; label `route`.
pub(crate) const REPEATED_REQUESTS: &str = "cornelridge_repeated_requests_total";
/// Bytes of large responses sent to other nodes and to callers.
pub(crate) const LARGE_RESPONSE_BYTES: &str = "cornelridge_large_answer_bytes_total";
/// Bytes of large responses that wait for the link.
pub(crate) const LARGE_RESPONSE_WAITING_BYTES: &str = "cornelridge_large_answer_waiting_bytes";
/// Bytes of all datagrams sent to other nodes.
pub(crate) const PEER_SENT_BYTES: &str = "cornelridge_peer_sent_bytes_total";
/// Lost packets to other nodes.
pub(crate) const PEER_LOST_PACKETS: &str = "cornelridge_peer_lost_packets_total";
/// Longest current round trip time to another node.
pub(crate) const PEER_ROUND_TRIP_SECONDS: &str = "cornelridge_peer_round_trip_seconds";

/// Ends of the worker beside this node while it ran requests.
pub(crate) const WORKER_ENDS: &str = "cornelridge_worker_ends_total";

/// Changes in what this node knows of requests that may crash workers; label `event`, which is
/// `suspected`, `refused`, `cleared` or `forgotten`.
pub(crate) const SUSPECT_EVENTS: &str = "cornelridge_suspects_total";

/// Members whose entry in the store has ended lately; label `reachable`, which is `true` for those
/// that still answer this node.
pub(crate) const LAPSED_MEMBERS: &str = "cornelridge_lapsed_members";

/// Records the members whose entry has ended, and how many of them still answer.
pub(crate) fn record_lapsed_members(count: usize, reachable: usize) {
    metrics::gauge!(LAPSED_MEMBERS, "reachable" => "true").set(reachable as f64);
    let lost = count.saturating_sub(reachable);
    metrics::gauge!(LAPSED_MEMBERS, "reachable" => "false").set(lost as f64);
}

/// Zones that this node knows to be evacuated.
pub(crate) const EVACUATED_ZONES: &str = "cornelridge_evacuated_zones";
/// Starts and ends of evacuations that this node has learned of; label `event`, which is `started`
/// or `ended`.
pub(crate) const EVACUATIONS: &str = "cornelridge_evacuations_total";
/// Requests that the worker's node refused because its zone is evacuated; label `route`.
pub(crate) const EVACUATION_REFUSALS: &str = "cornelridge_evacuation_refusals_total";

/// Counts a request that is sent to a worker of the node's zone or of another one.
pub(crate) fn count_zone(service: &Arc<str>, is_same_zone: bool) {
    let zone = if is_same_zone { "same" } else { "other" };
    metrics::counter!(ZONE_REQUESTS, "service" => Arc::clone(service), "zone" => zone).increment(1);
}

/// Records the number of evacuated zones.
pub(crate) fn record_evacuated_zones(count: usize) {
    metrics::gauge!(EVACUATED_ZONES).set(count as f64);
}

/// Records the speed of the worker and the number of its unknown requests.
pub(crate) fn record_worker_speed(slowdown: f64, unknown: u32) {
    metrics::gauge!(WORKER_SLOWDOWN).set(slowdown);
    metrics::gauge!(UNKNOWN_REQUESTS).set(f64::from(unknown));
}

/// Counts the start or end of an evacuation.
pub(crate) fn count_evacuation(event: &'static str) {
    metrics::counter!(EVACUATIONS, "event" => event).increment(1);
}

/// Counts a request that was refused because of an evacuation.
pub(crate) fn count_evacuation_refusal(route: &Arc<str>) {
    metrics::counter!(EVACUATION_REFUSALS, "route" => Arc::clone(route)).increment(1);
}

/// Whether the last health check showed that the worker is warm, 0 or 1; only for services that
/// limit the requests to cold workers.
pub(crate) const WORKER_WARM: &str = "cornelridge_worker_warm";
/// Changes in what is known of the worker's warm-up; label `warmth`, which is `unknown`,
/// `cold` or `warm`.
pub(crate) const WARMTH_CHANGES: &str = "cornelridge_worker_warmth_changes_total";
/// Health checks of the worker; label `result`, which is `warm`, `cold` or `lost`.
pub(crate) const HEALTH_CHECKS: &str = "cornelridge_health_checks_total";

/// Counts a health check of the worker.
pub(crate) fn count_health_check(result: &'static str) {
    metrics::counter!(HEALTH_CHECKS, "result" => result).increment(1);
}

/// Records a change in what is known of the worker's warm-up.
pub(crate) fn record_warmth(warmth: warm_up::WorkerWarmth) {
    let is_warm = warmth == warm_up::WorkerWarmth::Warm;
    metrics::gauge!(WORKER_WARM).set(f64::from(u8::from(is_warm)));
    metrics::counter!(WARMTH_CHANGES, "warmth" => warmth.to_string()).increment(1);
}

/// Memory that clients and other nodes use at this node, in bytes.
pub(crate) const MEMORY_BYTES: &str = "cornelridge_client_memory_bytes";
/// Open connections of clients at all addresses.
pub(crate) const CLIENT_CONNECTIONS: &str = "cornelridge_client_connections";
/// Clients that were told to close; label `reason`, which is `memory`, `slot`, `descriptors` or
/// `header-timeout`.
pub(crate) const CLOSED_CLIENTS: &str = "cornelridge_closed_clients_total";

/// Records the memory and connections of clients.
pub(crate) fn record_memory(bytes: u64, connections: u64) {
    metrics::gauge!(MEMORY_BYTES).set(bytes as f64);
    metrics::gauge!(CLIENT_CONNECTIONS).set(connections as f64);
}

/// Counts a client that was told to close.
pub(crate) fn count_closed_client(reason: memory_budget::CloseReason) {
    let reason = match reason {
        memory_budget::CloseReason::Memory => "memory",
        memory_budget::CloseReason::Slot => "slot",
        memory_budget::CloseReason::Descriptors => "descriptors",
        memory_budget::CloseReason::HeaderTimeout => "header-timeout",
    };
    metrics::counter!(CLOSED_CLIENTS, "reason" => reason).increment(1);
}

/// Counts an event of a request that may crash workers.
pub(crate) fn count_suspect_event(event: &'static str) {
    metrics::counter!(SUSPECT_EVENTS, "event" => event).increment(1);
}

/// Counts a worker that ended while it ran requests.
pub(crate) fn count_worker_end() {
    metrics::counter!(WORKER_ENDS).increment(1);
}

/// Time for which requests held slots of the worker; label `route`.
pub(crate) const SLOT_MILLISECONDS: &str = "cornelridge_slot_milliseconds_total";
/// Requests of callers by how they ended; labels `route` and `end`, which is `in-time`, `late`,
/// `refused`, `failed` or `left`.
pub(crate) const REQUEST_ENDS: &str = "cornelridge_request_ends_total";

/// Adds time for which requests held slots of the worker.
pub(crate) fn add_slot_time(route: &Arc<str>, time: time::Duration) {
    metrics::counter!(SLOT_MILLISECONDS, "route" => Arc::clone(route)).increment(time.as_millis());
}

/// Counts the end of a caller's request.
pub(crate) fn count_request_end(route: &Arc<str>, end: route_usage::RequestEnd) {
    let end = end.to_string();
    metrics::counter!(REQUEST_ENDS, "route" => Arc::clone(route), "end" => end).increment(1);
}

/// Counts a refusal by the worker's node.
pub(crate) fn count_refusal(route: &Arc<str>, reason: admission::RefusalReason) {
    let reason = reason.to_string();
    metrics::counter!(REFUSALS, "route" => Arc::clone(route), "reason" => reason).increment(1);
}

/// Counts a call of the worker.
pub(crate) fn count_worker_call(parent: &Arc<str>, route: &Arc<str>, outcome: &'static str) {
    let (parent, route) = (Arc::clone(parent), Arc::clone(route));
    metrics::counter!(WORKER_CALLS, "route" => parent, "call" => route, "outcome" => outcome)
        .increment(1);
}

/// Counts a change of whether only a part of the requests of a route starts.
pub(crate) fn count_call_limit(route: &Arc<str>, is_limited: bool) {
    let event = if is_limited { "limited" } else { "released" };
    metrics::counter!(CALL_LIMITS, "route" => Arc::clone(route), "event" => event).increment(1);
}

/// Records the slots that are reserved for calls.
pub(crate) fn record_reserved_slots(slots: u32) {
    metrics::gauge!(RESERVED_SLOTS).set(f64::from(slots));
}

/// Counts a request that came before the time that its caller was told.
pub(crate) fn count_early_return(route: &Arc<str>) {
    metrics::counter!(EARLY_RETURNS, "route" => Arc::clone(route)).increment(1);
}

/// Counts a request that repeats one that was refused.
pub(crate) fn count_repeated_request(route: &Arc<str>) {
    metrics::counter!(REPEATED_REQUESTS, "route" => Arc::clone(route)).increment(1);
}

/// Counts a response to a caller and records its latency.
pub(crate) fn count_response(route: &Arc<str>, status: StatusCode, time: time::Duration) {
    let status = status.as_u16().to_string();
    metrics::counter!(RESPONSES, "route" => Arc::clone(route), "status" => status).increment(1);
    metrics::histogram!(RESPONSE_SECONDS, "route" => Arc::clone(route)).record(time.as_secs_f64());
}

/// Counts a failed request.
pub(crate) fn count_failure(route: &Arc<str>, failure: &RequestFailure) {
    let cause = failure.cause.to_string();
    metrics::counter!(FAILURES, "route" => Arc::clone(route), "cause" => cause).increment(1);
}

/// Records the wait for a slot.
pub(crate) fn record_slot_wait(service: &Arc<str>, time: time::Duration) {
    let histogram = metrics::histogram!(SLOT_WAIT_SECONDS, "service" => Arc::clone(service));
    histogram.record(time.as_secs_f64());
}

/// Counts a caller that left before its response.
pub(crate) fn count_caller_left(route: &Arc<str>) {
    metrics::counter!(CALLERS_LEFT, "route" => Arc::clone(route)).increment(1);
}

/// Counts the end of a request whose caller had left.
pub(crate) fn count_left_request(route: &Arc<str>, is_completed: bool) {
    let end = if is_completed { "completed" } else { "stopped" };
    metrics::counter!(LEFT_REQUESTS, "route" => Arc::clone(route), "end" => end).increment(1);
}

/// Records the revision up to which the store is known.
pub(crate) fn record_known_revision(revision: u64) {
    metrics::gauge!(KNOWN_REVISION).set(revision as f64);
}

/// Counts a return of the store to an older copy of its items.
pub(crate) fn count_era_change() {
    metrics::counter!(STORE_ERA_CHANGES).increment(1);
}

/// Records the era of the store.
pub(crate) fn record_era(era: u64) {
    metrics::gauge!(STORE_ERA).set(era as f64);
}
