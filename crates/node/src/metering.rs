//! Names, units and recording of metrics.

use std::sync::{Arc, OnceLock};
use std::thread;
use std::time as std_time;

use metrics::Unit;
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use metrics_util::MetricKindMask;
use thiserror::Error;

/// Requests from callers that ended; labels `class` and `outcome` (`answered`, `cut`, `failed`).
pub const REQUESTS: &str = "cornelridge_requests_total";
/// Time from the head of a caller's request to the end of its response; label `class`.
pub const REQUEST_SECONDS: &str = "cornelridge_request_seconds";
/// Requests that failed; labels `class` and `reason`, the kind of the error.
pub const REFUSALS: &str = "cornelridge_refusals_total";
/// Retries; label `class`.
pub const RETRIES: &str = "cornelridge_retries_total";
/// Hedged attempts; label `class`.
pub const HEDGES: &str = "cornelridge_hedges_total";
/// Requests in flight at the upstream; label `class`.
pub const IN_FLIGHT: &str = "cornelridge_in_flight_requests";
/// Requests that wait for the upstream; label `class`.
pub const QUEUED: &str = "cornelridge_queued_requests";
/// Time that requests waited for the upstream; label `class`.
pub const QUEUE_SECONDS: &str = "cornelridge_queue_seconds";
/// Time from dispatch to the end of the upstream's response; label `class`.
pub const UPSTREAM_SECONDS: &str = "cornelridge_upstream_seconds";
/// Current limit of requests in flight at the upstream; label `class`.
pub const CONCURRENCY_LIMIT: &str = "cornelridge_concurrency_limit_requests";
/// Losses of the upstream.
pub const UPSTREAM_LOSSES: &str = "cornelridge_upstream_losses_total";
/// Fingerprints of requests that are refused because they crash upstreams.
pub const QUARANTINED: &str = "cornelridge_quarantined_requests";
/// Whether the node holds a lease, 0 or 1.
pub const LEASE_HELD: &str = "cornelridge_lease_held";
/// Losses of the node's lease.
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

/// Lines of the log that weren't written, because its reader is too slow or has gone away. The
/// process has one log, so this metric has no label `node`.
pub const LOG_LINES_DROPPED: &str = "cornelridge_log_lines_dropped_total";

/// Upper bounds of the latency histograms, in seconds; 0.011 is the target of the design size.
pub const LATENCY_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.011, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5,
    1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Time between two upkeeps. It bounds the samples that are kept one by one, and the time that a
/// fetch of the metrics takes to add them up.
const UPKEEP_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Time after which a counter or histogram that wasn't recorded is removed: its labels name routes
/// or services, which a later configuration may not have any more.
const MAX_IDLE: std_time::Duration = std_time::Duration::from_secs(24 * 3_600);
/// Time between two removals of idle metrics.
const REMOVAL_INTERVAL: std_time::Duration = std_time::Duration::from_secs(3_600);

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// Counts of values by buckets.
    Histogram,
}

/// Description of a metric, as `/metrics` shows it.
#[derive(Clone, Debug)]
pub struct MetricSpec {
    /// Name of the metric.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// Unit of its values.
    pub unit: Unit,
    /// Help text.
    pub help: &'static str,
}

const fn spec(name: &'static str, kind: MetricKind, unit: Unit, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind, unit, help }
}

/// All metrics of nodes. Each also has the label `node`, because one process may run several nodes.
pub const METRICS: &[MetricSpec] = &[
    spec(REQUESTS, MetricKind::Counter, Unit::Count, "requests from callers that ended"),
    spec(REQUEST_SECONDS, MetricKind::Histogram, Unit::Seconds, "time of callers' requests"),
    spec(REFUSALS, MetricKind::Counter, Unit::Count, "requests that failed"),
    spec(RETRIES, MetricKind::Counter, Unit::Count, "repeated attempts"),
    spec(HEDGES, MetricKind::Counter, Unit::Count, "hedged attempts"),
    spec(IN_FLIGHT, MetricKind::Gauge, Unit::Count, "requests at the upstream"),
    spec(QUEUED, MetricKind::Gauge, Unit::Count, "requests that wait for the upstream"),
    spec(QUEUE_SECONDS, MetricKind::Histogram, Unit::Seconds, "wait for the upstream"),
    spec(UPSTREAM_SECONDS, MetricKind::Histogram, Unit::Seconds, "time of the upstream"),
    spec(CONCURRENCY_LIMIT, MetricKind::Gauge, Unit::Count, "requests allowed at the upstream"),
    spec(UPSTREAM_LOSSES, MetricKind::Counter, Unit::Count, "losses of the upstream"),
    spec(QUARANTINED, MetricKind::Gauge, Unit::Count, "request fingerprints that are refused"),
    spec(LEASE_HELD, MetricKind::Gauge, Unit::Count, "whether the lease holds, 0 or 1"),
    spec(LEASE_LOSSES, MetricKind::Counter, Unit::Count, "losses of the lease"),
    spec(SLICES, MetricKind::Gauge, Unit::Count, "slices that the node serves"),
    spec(TAKEOVERS, MetricKind::Counter, Unit::Count, "slices taken over from expired owners"),
    spec(RECORDS, MetricKind::Gauge, Unit::Count, "at-most-once records in memory"),
    spec(EPOCH, MetricKind::Gauge, Unit::Count, "highest epoch known"),
    spec(REVISION, MetricKind::Gauge, Unit::Count, "configuration revision in force"),
    spec(STORE_CALLS, MetricKind::Counter, Unit::Count, "calls to the store"),
    spec(CONTROL_BYTES, MetricKind::Counter, Unit::Bytes, "bytes of control traffic"),
    spec(OPERATOR_REQUESTS, MetricKind::Counter, Unit::Count, "requests of operators"),
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Error for a process in which another recorder is installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("another metrics recorder is installed: install the one of cornelridge first")]
pub struct MeteringError;

/// Installs the metrics recorder of this process, and a thread for its upkeep, which takes a time
/// with the number of samples; further calls have no effect.
///
/// Fails if another recorder is installed.
pub fn install() -> Result<(), MeteringError> {
    let mut result = Ok(());
    HANDLE.get_or_init(|| {
        let recorder = recorder(MAX_IDLE);
        let handle = recorder.handle();
        let upkeep = thread::Builder::new().name("metrics".to_owned()).spawn(run_upkeep);
        if let Err(error) = upkeep {
            log::error!(error:% = error; "no thread for the upkeep of metrics; memory will grow");
        }
        result = metrics::set_global_recorder(recorder).map_err(|_| MeteringError);
        describe();
        handle
    });
    result
}

/// Returns all metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Moves recorded samples into the histograms, where they are added up. Without this, they
/// accumulate until somebody fetches the metrics.
pub fn upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}

fn run_upkeep() {
    let mut removed_at = std_time::Instant::now();
    loop {
        thread::sleep(UPKEEP_INTERVAL);
        upkeep();
        if removed_at.elapsed() >= REMOVAL_INTERVAL {
            removed_at = std_time::Instant::now();
            // The recorder looks for idle metrics when it renders.
            drop(render());
        }
    }
}

/// Registers the unit and help text of every metric with the recorder of this process.
pub fn describe() {
    let help = "log lines that weren't written";
    metrics::describe_counter!(LOG_LINES_DROPPED, Unit::Count, help);
    for metric in METRICS {
        match metric.kind {
            MetricKind::Counter => {
                metrics::describe_counter!(metric.name, metric.unit, metric.help)
            }
            MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.unit, metric.help),
            MetricKind::Histogram => {
                metrics::describe_histogram!(metric.name, metric.unit, metric.help);
            }
        }
    }
}

pub(crate) fn count_operator_request(node: &Arc<str>, status: u16) {
    let labels = [("node", Arc::clone(node)), ("status", Arc::from(status.to_string()))];
    metrics::counter!(OPERATOR_REQUESTS, &labels).increment(1);
}

/// Returns a recorder that removes counters and histograms which weren't recorded for `max_idle`.
pub fn recorder(max_idle: std_time::Duration) -> PrometheusRecorder {
    let suffix = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, LATENCY_BUCKETS);
    // `set_buckets_for_metric` fails only for an empty list.
    let builder = builder.unwrap_or_else(|_| PrometheusBuilder::new());
    let mask = MetricKindMask::COUNTER | MetricKindMask::HISTOGRAM;
    builder.idle_timeout(mask, Some(max_idle)).build_recorder()
}
