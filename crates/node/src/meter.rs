//! Metrics of one node; nodes in the same process are distinguished by the label `node`.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use cornelridge_model::time;

use crate::body;
use crate::clock;
use crate::failure;
use crate::metering;

/// Event counters of the node, registered with the value 0 at its start.
const EVENT_COUNTERS: [&str; 4] =
    [metering::UPSTREAM_LOSSES, metering::LEASE_LOSSES, metering::TAKEOVERS, metering::STORE_CALLS];

/// Metrics of the requests of one class. The handles are cached, because the registry builds and
/// hashes the labels for each new one.
#[derive(Debug)]
struct ClassMeter {
    answered: metrics::Counter,
    cut: metrics::Counter,
    failed: metrics::Counter,
    request_seconds: metrics::Histogram,
    retries: metrics::Counter,
    hedges: metrics::Counter,
}

/// Metrics of the upstream beside the node, for the class that it serves.
#[derive(Debug)]
pub(crate) struct UpstreamMeter {
    in_flight: metrics::Gauge,
    queued: metrics::Gauge,
    limit: metrics::Gauge,
    queue_seconds: metrics::Histogram,
    upstream_seconds: metrics::Histogram,
}

impl UpstreamMeter {
    /// Records the time that a request waited for its slot.
    pub(crate) fn record_queue_wait(&self, wait: time::Duration) {
        self.queue_seconds.record(wait.as_secs_f64());
    }

    /// Records the time from the dispatch of a request to its end.
    pub(crate) fn record_upstream_time(&self, elapsed: time::Duration) {
        self.upstream_seconds.record(elapsed.as_secs_f64());
    }

    /// Sets the gauges of the queue.
    pub(crate) fn set_queue(&self, in_flight: usize, queued: usize, limit: u32) {
        self.in_flight.set(in_flight as f64);
        self.queued.set(queued as f64);
        self.limit.set(f64::from(limit));
    }
}

/// Handles by the name of the class.
type MeterCache<T> = Arc<sync::RwLock<HashMap<Arc<str>, Arc<T>>>>;

/// Records the metrics of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeMeter {
    node: Arc<str>,
    clock: clock::MonotonicClock,
    slices_served: Arc<atomic::AtomicI64>,
    classes: MeterCache<ClassMeter>,
    upstreams: MeterCache<UpstreamMeter>,
}

/// Returns the handles of a class, created on first use.
fn cached<T>(cache: &MeterCache<T>, class: &Arc<str>, make: impl FnOnce() -> T) -> Arc<T> {
    let known = cache.read().unwrap_or_else(sync::PoisonError::into_inner).get(class).cloned();
    known.unwrap_or_else(|| {
        let mut classes = cache.write().unwrap_or_else(sync::PoisonError::into_inner);
        Arc::clone(classes.entry(Arc::clone(class)).or_insert_with(|| Arc::new(make())))
    })
}

impl NodeMeter {
    /// Creates a meter that labels all metrics with the name of the node.
    pub(crate) fn new(node: &Arc<str>, clock: clock::MonotonicClock) -> NodeMeter {
        let meter = NodeMeter {
            node: Arc::clone(node),
            clock,
            slices_served: Arc::default(),
            classes: Arc::default(),
            upstreams: Arc::default(),
        };
        // A rate includes the first event only if the counter existed before it.
        for name in EVENT_COUNTERS {
            meter.node_counter(name).increment(0);
        }
        meter.gauge(metering::SLICES, 0.0);
        meter
    }

    fn class(&self, class: &Arc<str>) -> Arc<ClassMeter> {
        cached(&self.classes, class, || {
            let labels = [("node", Arc::clone(&self.node)), ("class", Arc::clone(class))];
            let counter = |outcome: &str| {
                let [node, class] = labels.clone();
                let labels = [node, class, ("outcome", Arc::from(outcome))];
                metrics::counter!(metering::REQUESTS, &labels)
            };
            ClassMeter {
                answered: counter("answered"),
                cut: counter("cut"),
                failed: counter("failed"),
                request_seconds: metrics::histogram!(metering::REQUEST_SECONDS, &labels),
                retries: metrics::counter!(metering::RETRIES, &labels),
                hedges: metrics::counter!(metering::HEDGES, &labels),
            }
        })
    }

    /// Returns the metrics of the upstream beside the node.
    pub(crate) fn upstream(&self, class: &Arc<str>) -> Arc<UpstreamMeter> {
        cached(&self.upstreams, class, || {
            let labels = [("node", Arc::clone(&self.node)), ("class", Arc::clone(class))];
            UpstreamMeter {
                in_flight: metrics::gauge!(metering::IN_FLIGHT, &labels),
                queued: metrics::gauge!(metering::QUEUED, &labels),
                limit: metrics::gauge!(metering::CONCURRENCY_LIMIT, &labels),
                queue_seconds: metrics::histogram!(metering::QUEUE_SECONDS, &labels),
                upstream_seconds: metrics::histogram!(metering::UPSTREAM_SECONDS, &labels),
            }
        })
    }

    /// Sets the gauges of the upstreams of other classes than `class` to 0.
    pub(crate) fn clear_other_upstreams(&self, class: Option<&str>) {
        let known = self.upstreams.read().unwrap_or_else(sync::PoisonError::into_inner);
        let others = known.iter().filter(|(known, _)| Some(&***known) != class);
        others.for_each(|(_, meter)| meter.set_queue(0, 0, 0));
    }

    /// Sets the counter of the bytes of control messages and documents since the start.
    pub(crate) fn control_bytes(&self, direction: &'static str, bytes: u64) {
        let labels = [("node", Arc::clone(&self.node)), ("direction", Arc::from(direction))];
        metrics::counter!(metering::CONTROL_BYTES, &labels).absolute(bytes);
    }

    fn node_counter(&self, name: &'static str) -> metrics::Counter {
        metrics::counter!(name, "node" => Arc::clone(&self.node))
    }

    fn count_event(&self, name: &'static str) {
        self.node_counter(name).increment(1);
    }

    /// Sets a gauge of the node.
    pub(crate) fn gauge(&self, name: &'static str, value: f64) {
        metrics::gauge!(name, "node" => Arc::clone(&self.node)).set(value);
    }

    /// Starts the measurement of a request of a caller.
    pub(crate) fn start_request(&self, class: Arc<str>, started: time::Instant) -> RequestMeter {
        RequestMeter { meter: self.clone(), class, started }
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, class: &Arc<str>) {
        self.class(class).retries.increment(1);
    }

    /// Counts a hedged attempt, sent before the first one ended.
    pub(crate) fn count_hedge(&self, class: &Arc<str>) {
        self.class(class).hedges.increment(1);
    }

    /// Counts the loss of a lease.
    pub(crate) fn count_lease_loss(&self) {
        self.count_event(metering::LEASE_LOSSES);
    }

    /// Records that the node started to serve a slice.
    pub(crate) fn slice_started(&self, is_takeover: bool) {
        let slices = self.slices_served.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.gauge(metering::SLICES, slices as f64);
        if is_takeover {
            self.count_event(metering::TAKEOVERS);
        }
    }

    /// Records that the node stopped serving a slice.
    pub(crate) fn slice_stopped(&self) {
        let slices = self.slices_served.fetch_sub(1, atomic::Ordering::Relaxed) - 1;
        self.gauge(metering::SLICES, slices as f64);
    }

    /// Counts the loss of the upstream.
    pub(crate) fn count_upstream_loss(&self) {
        self.count_event(metering::UPSTREAM_LOSSES);
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self) {
        self.count_event(metering::STORE_CALLS);
    }
}

/// Measures one request of a caller.
#[derive(Debug)]
pub(crate) struct RequestMeter {
    meter: NodeMeter,
    class: Arc<str>,
    started: time::Instant,
}

impl RequestMeter {
    fn record_end(&self, handles: &ClassMeter, outcome: &metrics::Counter) {
        let latency = self.meter.clock.now().since(self.started);
        outcome.increment(1);
        handles.request_seconds.record(latency.as_secs_f64());
    }

    /// Counts a request whose response was read completely.
    pub(crate) fn count_answered(self) {
        let handles = self.meter.class(&self.class);
        self.record_end(&handles, &handles.answered);
    }

    /// Counts a request whose response is incomplete.
    pub(crate) fn count_cut(self, error: &body::BodyError) {
        log::info!("response of class {} incomplete: {error}", self.class);
        let handles = self.meter.class(&self.class);
        self.record_end(&handles, &handles.cut);
    }

    /// Counts a request that failed without a response from an upstream.
    pub(crate) fn count_failed(self, failure: &failure::RequestFailure) {
        let node = Arc::clone(&self.meter.node);
        let class = Arc::clone(&self.class);
        let labels =
            [("node", node), ("class", class), ("reason", failure.kind.to_string().into())];
        metrics::counter!(metering::REFUSALS, &labels).increment(1);
        let handles = self.meter.class(&self.class);
        self.record_end(&handles, &handles.failed);
    }
}
