//! Gauges and totals that are sampled from the state of the node.

use std::sync::Arc;

use cornelridge_model::time;
use cornelridge_policy::quarantine;

use crate::context;
use crate::metering;

/// Interval between samples. Recording each change instead would add work to every request.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Samples the metrics until the node stops.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    loop {
        sample_node(&context);
        context.sleep(SAMPLE_INTERVAL).await;
    }
}

fn sample_node(context: &context::NodeContext) {
    sample_upstream(context);
    // While the next generation of the lease is held, the end of an old one isn't a loss.
    let is_held = context.ownership().state().leases.iter().any(|lease| lease.held);
    context.meter.gauge(metering::LEASE_HELD, f64::from(u8::from(is_held)));
    let notices = context.suspects().notices(context.clock.now());
    let is_refused = |notice: &&quarantine::SuspectNotice| {
        matches!(notice, quarantine::SuspectNotice::Refused { .. })
    };
    let meter = &context.meter;
    meter.gauge(metering::QUARANTINED, notices.iter().filter(is_refused).count() as f64);
    meter.gauge(metering::RECORDS, context.records().len() as f64);
    let (epoch, revision) = context.documents.versions();
    meter.gauge(metering::EPOCH, epoch.0 as f64);
    meter.gauge(metering::REVISION, revision.0 as f64);
    let counts = context.endpoint.stats();
    meter.control_bytes("sent", counts.control_sent_bytes);
    meter.control_bytes("received", counts.control_received_bytes);
}

fn sample_upstream(context: &context::NodeContext) {
    let link = context.any_upstream();
    let class = link.as_ref().map(|link| &link.announcement.class);
    context.meter.clear_other_upstreams(class.map(|class| &**class));
    let Some(class) = class else { return };
    let now = context.clock.now();
    let (in_flight, queued, limit) = {
        let upstream_queue = context.upstream_queue();
        let queue = upstream_queue.admission();
        (queue.running(), queue.queued(), queue.limit(now))
    };
    context.meter.upstream(class).set_queue(in_flight, queued, limit);
}
