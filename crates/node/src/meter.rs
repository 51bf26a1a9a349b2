//! Metrics of one node; several nodes of one process differ by the label `node`.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use cornelridge_model::time;

use crate::body;
use crate::clock;
use crate::failure;
use crate::metering;

/// Counters of the node that start at 0.
const EVENTS: [&str; 4] =
    [metering::UPSTREAM_LOSSES, metering::LEASE_LOSSES, metering::TAKEOVERS, metering::STORE_CALLS];

/// Metrics of the requests of one class. The handles are made once, because the registry builds and
/// hashes the labels for each handle.
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
    /// A request got its slot after this wait.
    pub(crate) fn waited(&self, wait: time::Duration) {
        self.queue_seconds.record(wait.as_secs_f64());
    }

    /// A dispatched request ended after this time.
    pub(crate) fn ended(&self, span: time::Duration) {
        self.upstream_seconds.record(span.as_secs_f64());
    }

    /// Sets the gauges of the queue.
    pub(crate) fn queue(&self, in_flight: usize, queued: usize, limit: u32) {
        self.in_flight.set(in_flight as f64);
        self.queued.set(queued as f64);
        self.limit.set(f64::from(limit));
    }
}

/// Handles by name of the class.
type MeterCache<T> = Arc<sync::RwLock<HashMap<Arc<str>, Arc<T>>>>;

/// Records the metrics of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeMeter {
    node: Arc<str>,
    clock: clock::MonotonicClock,
    serving: Arc<atomic::AtomicI64>,
    classes: MeterCache<ClassMeter>,
    upstreams: MeterCache<UpstreamMeter>,
}

/// The cached handles of a class, made on the first use.
fn cached<T>(cache: &MeterCache<T>, class: &Arc<str>, make: impl FnOnce() -> T) -> Arc<T> {
    let known = cache.read().unwrap_or_else(sync::PoisonError::into_inner).get(class).cloned();
    known.unwrap_or_else(|| {
        let mut classes = cache.write().unwrap_or_else(sync::PoisonError::into_inner);
        Arc::clone(classes.entry(Arc::clone(class)).or_insert_with(|| Arc::new(make())))
    })
}

impl NodeMeter {
    /// A meter that labels everything with the name of the node.
    pub(crate) fn new(node: &Arc<str>, clock: clock::MonotonicClock) -> NodeMeter {
        let meter = NodeMeter {
            node: Arc::clone(node),
            clock,
            serving: Arc::default(),
            classes: Arc::default(),
            upstreams: Arc::default(),
        };
        // Rates over the first event are right only if the counter was there before it.
        for name in EVENTS {
            meter.node_counter(name).increment(0);
        }
        meter.gauge(metering::SLICES, 0.0);
        meter
    }

    fn class(&self, class: &Arc<str>) -> Arc<ClassMeter> {
        cached(&self.classes, class, || {
            let labels = [("node", Arc::clone(&self.node)), ("class", Arc::clone(class))];
            let ended = |outcome: &str| {
                let [node, class] = labels.clone();
                let labels = [node, class, ("outcome", Arc::from(outcome))];
                metrics::counter!(metering::REQUESTS, &labels)
            };
            ClassMeter {
                answered: ended("answered"),
                cut: ended("cut"),
                failed: ended("failed"),
                request_seconds: metrics::histogram!(metering::REQUEST_SECONDS, &labels),
                retries: metrics::counter!(metering::RETRIES, &labels),
                hedges: metrics::counter!(metering::HEDGES, &labels),
            }
        })
    }

    /// Metrics of the upstream beside the node.
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
        others.for_each(|(_, meter)| meter.queue(0, 0, 0));
    }

    /// Bytes of control messages and documents since the start.
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

    /// A request of a caller has started.
    pub(crate) fn request(&self, class: Arc<str>, started: time::Instant) -> RequestMeter {
        RequestMeter { meter: self.clone(), class, started }
    }

    /// An attempt was repeated.
    pub(crate) fn retried(&self, class: &Arc<str>) {
        self.class(class).retries.increment(1);
    }

    /// A second attempt was sent before the first one ended.
    pub(crate) fn hedged(&self, class: &Arc<str>) {
        self.class(class).hedges.increment(1);
    }

    /// A lease was lost.
    pub(crate) fn lease_lost(&self) {
        self.count_event(metering::LEASE_LOSSES);
    }

    /// The node serves one slice more.
    pub(crate) fn serving(&self, is_takeover: bool) {
        let slices = self.serving.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.gauge(metering::SLICES, slices as f64);
        if is_takeover {
            self.count_event(metering::TAKEOVERS);
        }
    }

    /// The node serves one slice less.
    pub(crate) fn stopped(&self) {
        let slices = self.serving.fetch_sub(1, atomic::Ordering::Relaxed) - 1;
        self.gauge(metering::SLICES, slices as f64);
    }

    /// The upstream was lost.
    pub(crate) fn upstream_lost(&self) {
        self.count_event(metering::UPSTREAM_LOSSES);
    }

    /// The store was called.
    pub(crate) fn store_call(&self) {
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
    fn end(&self, handles: &ClassMeter, ended: &metrics::Counter) {
        let latency = self.meter.clock.now().since(self.started);
        ended.increment(1);
        handles.request_seconds.record(latency.as_secs_f64());
    }

    /// The whole answer was read.
    pub(crate) fn finished(self) {
        let handles = self.meter.class(&self.class);
        self.end(&handles, &handles.answered);
    }

    /// The answer was cut off.
    pub(crate) fn cut(self, error: &body::BodyCutError) {
        log::info!("answer of class {} cut: {error}", self.class);
        let handles = self.meter.class(&self.class);
        self.end(&handles, &handles.cut);
    }

    /// There was no answer.
    pub(crate) fn failed(self, failure: &failure::RequestFailure) {
        let node = Arc::clone(&self.meter.node);
        let class = Arc::clone(&self.class);
        let labels =
            [("node", node), ("class", class), ("reason", failure.kind.to_string().into())];
        metrics::counter!(metering::REFUSALS, &labels).increment(1);
        let handles = self.meter.class(&self.class);
        self.end(&handles, &handles.failed);
    }
}
