//! Drains a node or its upstream: hands slices over, starts no new work and finishes requests in
//! flight.

use std::sync::Arc;

use cornelridge_model::assignment;
use cornelridge_model::time;

use crate::context;
use crate::planning;
use crate::serving;

/// Interval at which the remaining slices and requests are checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time limit for the planner to move the slices away before their lease is released.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time limit for requests on slices that were handed over. Work that takes longer is cancelled
/// for the new owner in any case.
const COMPLETION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Starts to drain the node: it registers as leaving, and the planner moves its slices away.
pub(crate) fn start(context: &Arc<context::NodeContext>) {
    if context.start_leaving() {
        log::info!("node is leaving");
        start_handover(context);
    }
}

/// Starts to drain the upstream, while the node continues as an ingress node.
pub(crate) fn start_upstream(context: &Arc<context::NodeContext>) {
    log::info!("the upstream is leaving");
    start_handover(context);
}

fn start_handover(context: &Arc<context::NodeContext>) {
    planning::request_registration(context);
    let node = Arc::clone(context);
    context.executor.spawn(async move { hand_over(&node).await });
}

/// Waits until the planner has moved the slices, then releases the lease. Without a planner, the
/// successors take over after the release.
async fn hand_over(context: &Arc<context::NodeContext>) {
    let limit = context.clock.now() + HANDOVER_TIMEOUT;
    while owned_slices(context) > 0 && context.clock.now() < limit {
        context.sleep(POLL_INTERVAL).await;
    }
    // A release cancels all work, so requests in flight finish first and no new ones start.
    context.set_handing_over(true);
    let limit = context.clock.now() + COMPLETION_TIMEOUT;
    while context.ownership().work_in_flight() > 0 && context.clock.now() < limit {
        context.sleep(POLL_INTERVAL).await;
    }
    serving::release(context);
    context.set_handing_over(false);
}

/// Returns the number of slices in whose chain this node is first.
pub(crate) fn owned_slices(context: &context::NodeContext) -> usize {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let is_own = |slice: &&assignment::SliceRecord| {
        slice.chain.first().is_some_and(|lease| document.holder(*lease).incarnation == own)
    };
    let slices = document.classes.iter().flat_map(|class| &class.slices);
    slices.filter(is_own).count()
}

/// Drains the node: hands slices over, stops accepting callers, and waits up to `limit` for
/// requests in flight.
pub(crate) async fn drain_node(context: &Arc<context::NodeContext>, limit: time::Duration) {
    start(context);
    let deadline = context.clock.now() + limit;
    let handover_deadline = context.clock.now() + HANDOVER_TIMEOUT;
    while owned_slices(context) > 0 && context.clock.now() < handover_deadline {
        context.sleep(POLL_INTERVAL).await;
    }
    context.closing.cancel();
    while context.requests.current() > 0 && context.clock.now() < deadline {
        context.sleep(POLL_INTERVAL).await;
    }
    let remaining = context.requests.current();
    if remaining > 0 {
        log::warn!("{remaining} requests cancelled at the drain limit: raise the limit");
    }
}
