//! Metrics of one node; several nodes of one process differ by the label `node`.

use std::sync::Arc;
use std::sync::atomic;

use cornelridge_model::time;

use crate::body;
use crate::clock;
use crate::failure;
use crate::metering;

/// Records the metrics of one node.
#[derive(Clone, Debug)]
pub(crate) struct NodeMeter {
    node: Arc<str>,
    clock: clock::MonotonicClock,
    serving: Arc<atomic::AtomicI64>,
}

impl NodeMeter {
    /// A meter that labels everything with the name of the node.
    pub(crate) fn new(node: &Arc<str>, clock: clock::MonotonicClock) -> NodeMeter {
        NodeMeter { node: Arc::clone(node), clock, serving: Arc::default() }
    }

    fn count(&self, name: &'static str, class: &Arc<str>) {
        let labels = [("node", Arc::clone(&self.node)), ("class", Arc::clone(class))];
        metrics::counter!(name, &labels).increment(1);
    }

    fn count_event(&self, name: &'static str) {
        metrics::counter!(name, "node" => Arc::clone(&self.node)).increment(1);
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
        self.count(metering::RETRIES, class);
    }

    /// A second attempt was sent before the first one ended.
    pub(crate) fn hedged(&self, class: &Arc<str>) {
        self.count(metering::HEDGES, class);
    }

    /// The lease was gained or lost.
    pub(crate) fn lease(&self, is_held: bool) {
        self.gauge(metering::LEASE_HELD, f64::from(u8::from(is_held)));
        if !is_held {
            self.count_event(metering::LEASE_LOSSES);
        }
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
    fn end(&self, outcome: &'static str) {
        let latency = self.meter.clock.now().since(self.started);
        let node = Arc::clone(&self.meter.node);
        let class = Arc::clone(&self.class);
        let labels = [("node", node), ("class", class), ("outcome", Arc::from(outcome))];
        metrics::counter!(metering::REQUESTS, &labels).increment(1);
        metrics::histogram!(metering::REQUEST_SECONDS, &labels[..2]).record(latency.as_secs_f64());
    }

    /// The whole answer was read.
    pub(crate) fn finished(self) {
        self.end("answered");
    }

    /// The answer was cut off.
    pub(crate) fn cut(self, error: &body::BodyCutError) {
        log::info!("answer of class {} cut: {error}", self.class);
        self.end("cut");
    }

    /// There was no answer.
    pub(crate) fn failed(self, failure: &failure::RequestFailure) {
        let node = Arc::clone(&self.meter.node);
        let class = Arc::clone(&self.class);
        let labels =
            [("node", node), ("class", class), ("reason", failure.kind.to_string().into())];
        metrics::counter!(metering::REFUSALS, &labels).increment(1);
        self.end("failed");
    }
}
