//! Names, units and recording of metrics.

use std::sync::{Arc, OnceLock};

use metrics::Unit;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use thiserror::Error;

/// Requests from callers that ended; labels `class` and `outcome` (`answered`, `cut`, `failed`).
pub const REQUESTS: &str = "cornelridge_requests_total";
/// Time from the head of a caller's request to the end of its response; label `class`.
pub const REQUEST_SECONDS: &str = "cornelridge_request_seconds";
/// Requests that failed; labels `class` and `reason`, the kind of the error.
pub const REFUSALS: &str = "cornelridge_refusals_total";
/// Repeated attempts; label `class`.
pub const RETRIES: &str = "cornelridge_retries_total";
/// Hedged attempts; label `class`.
pub const HEDGES: &str = "cornelridge_hedges_total";
/// Requests at the upstream; label `class`.
pub const IN_FLIGHT: &str = "cornelridge_in_flight_requests";
/// Requests that wait for the upstream; label `class`.
pub const QUEUED: &str = "cornelridge_queued_requests";
/// Time that requests waited for the upstream; label `class`.
pub const QUEUE_SECONDS: &str = "cornelridge_queue_seconds";
/// Time from dispatch to the end of the upstream's response; label `class`.
pub const UPSTREAM_SECONDS: &str = "cornelridge_upstream_seconds";
/// Requests that the upstream may have in flight now; label `class`.
pub const CONCURRENCY_LIMIT: &str = "cornelridge_concurrency_limit_requests";
/// Times that the upstream was lost.
pub const UPSTREAM_LOSSES: &str = "cornelridge_upstream_losses_total";
/// Fingerprints of requests that are refused because they crash upstreams.
pub const QUARANTINED: &str = "cornelridge_quarantined_requests";
/// Whether the node's lease holds, 0 or 1.
pub const LEASE_HELD: &str = "cornelridge_lease_held";
/// Times that the node lost its lease.
pub const LEASE_LOSSES: &str = "cornelridge_lease_losses_total";
/// Slices that the node serves.
pub const SLICES: &str = "cornelridge_slices";
/// Slices that the node took over from an expired owner.
pub const TAKEOVERS: &str = "cornelridge_takeovers_total";
/// At-most-once records in memory.
pub const RECORDS: &str = "cornelridge_records";
/// Highest epoch that the node knows.
pub const EPOCH: &str = "cornelridge_epoch";
/// Revision of the configuration in force.
pub const REVISION: &str = "cornelridge_class_revision";
/// Calls to the store.
pub const STORE_CALLS: &str = "cornelridge_store_calls_total";
/// Bytes of control messages and documents; label `direction`, `sent` or `received`.
pub const CONTROL_BYTES: &str = "cornelridge_control_bytes_total";
/// Requests of operators; label `status`, the HTTP status.
pub const OPERATOR_REQUESTS: &str = "cornelridge_operator_requests_total";

/// Upper bounds of the latency histograms, in seconds; 0.011 is the target of the design size.
pub const LATENCY_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.011, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5,
    1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// How a metric changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MeterKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Counts of values by size.
    Histogram,
}

/// One metric as `/metrics` describes it.
#[derive(Clone, Debug)]
pub struct MeterSpec {
    /// Name of the metric.
    pub name: &'static str,
    /// How it changes.
    pub kind: MeterKind,
    /// What it counts.
    pub unit: Unit,
    /// What it means.
    pub help: &'static str,
}

const fn spec(name: &'static str, kind: MeterKind, unit: Unit, help: &'static str) -> MeterSpec {
    MeterSpec { name, kind, unit, help }
}

/// Every metric. Each also has the label `node`, because one process may run several nodes.
pub const METERS: &[MeterSpec] = &[
    spec(REQUESTS, MeterKind::Counter, Unit::Count, "requests from callers that ended"),
    spec(REQUEST_SECONDS, MeterKind::Histogram, Unit::Seconds, "time of callers' requests"),
    spec(REFUSALS, MeterKind::Counter, Unit::Count, "requests that failed"),
    spec(RETRIES, MeterKind::Counter, Unit::Count, "repeated attempts"),
    spec(HEDGES, MeterKind::Counter, Unit::Count, "hedged attempts"),
    spec(IN_FLIGHT, MeterKind::Gauge, Unit::Count, "requests at the upstream"),
    spec(QUEUED, MeterKind::Gauge, Unit::Count, "requests that wait for the upstream"),
    spec(QUEUE_SECONDS, MeterKind::Histogram, Unit::Seconds, "wait for the upstream"),
    spec(UPSTREAM_SECONDS, MeterKind::Histogram, Unit::Seconds, "time of the upstream"),
    spec(CONCURRENCY_LIMIT, MeterKind::Gauge, Unit::Count, "requests allowed at the upstream"),
    spec(UPSTREAM_LOSSES, MeterKind::Counter, Unit::Count, "losses of the upstream"),
    spec(QUARANTINED, MeterKind::Gauge, Unit::Count, "request fingerprints that are refused"),
    spec(LEASE_HELD, MeterKind::Gauge, Unit::Count, "whether the lease holds, 0 or 1"),
    spec(LEASE_LOSSES, MeterKind::Counter, Unit::Count, "losses of the lease"),
    spec(SLICES, MeterKind::Gauge, Unit::Count, "slices that the node serves"),
    spec(TAKEOVERS, MeterKind::Counter, Unit::Count, "slices taken over from expired owners"),
    spec(RECORDS, MeterKind::Gauge, Unit::Count, "at-most-once records in memory"),
    spec(EPOCH, MeterKind::Gauge, Unit::Count, "highest epoch known"),
    spec(REVISION, MeterKind::Gauge, Unit::Count, "configuration revision in force"),
    spec(STORE_CALLS, MeterKind::Counter, Unit::Count, "calls to the store"),
    spec(CONTROL_BYTES, MeterKind::Counter, Unit::Bytes, "bytes of control traffic"),
    spec(OPERATOR_REQUESTS, MeterKind::Counter, Unit::Count, "requests of operators"),
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Another recorder is installed in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("another metrics recorder is installed: install the one of cornelridge first")]
pub struct MeteringError;

/// Installs the recorder of this process; further calls change nothing.
pub fn install() -> Result<(), MeteringError> {
    let mut result = Ok(());
    HANDLE.get_or_init(|| {
        let recorder = recorder();
        let handle = recorder.handle();
        result = metrics::set_global_recorder(recorder).map_err(|_| MeteringError);
        describe();
        handle
    });
    result
}

/// All metrics in the Prometheus text format; empty before `install`.
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Moves recorded samples into the histograms; without it they pile up between two scrapes.
pub fn upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}

/// Registers unit and help of every metric with the recorder of this process.
pub fn describe() {
    for meter in METERS {
        match meter.kind {
            MeterKind::Counter => metrics::describe_counter!(meter.name, meter.unit, meter.help),
            MeterKind::Gauge => metrics::describe_gauge!(meter.name, meter.unit, meter.help),
            MeterKind::Histogram => {
                metrics::describe_histogram!(meter.name, meter.unit, meter.help);
            }
        }
    }
}

pub(crate) fn count_operator_request(node: &Arc<str>, status: u16) {
    let labels = [("node", Arc::clone(node)), ("status", Arc::from(status.to_string()))];
    metrics::counter!(OPERATOR_REQUESTS, &labels).increment(1);
}

fn recorder() -> metrics_exporter_prometheus::PrometheusRecorder {
    let suffix = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, LATENCY_BUCKETS);
    // `set_buckets_for_metric` fails only for an empty list.
    builder.unwrap_or_else(|_| PrometheusBuilder::new()).build_recorder()
}
