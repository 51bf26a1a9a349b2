//! Leaving: no new work, slices handed over, requests in flight finished.

use std::sync::Arc;

use cornelridge_model::assignment;
use cornelridge_model::time;

use crate::context;
use crate::planning;
use crate::serving;

/// Interval between two looks at what is left to do.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Time that the planner gets to hand the slices over before their lease is released.
const HAND_OVER_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// Time that requests for slices that were handed over get to finish; work that goes on longer is
/// cancelled for the new owner in any case.
const FINISH_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Starts to leave: the node registers as draining, and the planner moves its slices away.
pub(crate) fn start(context: &Arc<context::NodeContext>) {
    if context.start_leaving() {
        log::info!("node is leaving");
        give_slices_away(context);
    }
}

/// The upstream leaves while the node goes on as an ingress node.
pub(crate) fn upstream_leaving(context: &Arc<context::NodeContext>) {
    log::info!("the upstream is leaving");
    give_slices_away(context);
}

fn give_slices_away(context: &Arc<context::NodeContext>) {
    planning::register(context);
    let node = Arc::clone(context);
    context.executor.spawn(async move { hand_over(&node).await });
}

/// Waits for the planner; without it the successors take over when the lease is released.
async fn hand_over(context: &Arc<context::NodeContext>) {
    let limit = context.clock.now() + HAND_OVER_LIMIT;
    while owned_slices(context) > 0 && context.clock.now() < limit {
        context.sleep(TICK).await;
    }
    // A release cancels all work, so requests in flight end first and no new ones begin.
    context.set_handing_over(true);
    let limit = context.clock.now() + FINISH_LIMIT;
    while context.ownership().work_in_flight() > 0 && context.clock.now() < limit {
        context.sleep(TICK).await;
    }
    serving::release(context);
    context.set_handing_over(false);
}

/// Slices in whose chain this node stands first.
pub(crate) fn owned_slices(context: &context::NodeContext) -> usize {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let is_own = |slice: &&assignment::SliceRecord| {
        slice.chain.first().is_some_and(|lease| document.holder(*lease).incarnation == own)
    };
    let slices = document.classes.iter().flat_map(|class| &class.slices);
    slices.filter(is_own).count()
}

/// Leaves: hands over, stops accepting callers, and waits for requests in flight.
pub(crate) async fn leave(context: &Arc<context::NodeContext>, limit: time::Duration) {
    start(context);
    let deadline = context.clock.now() + limit;
    let hand_over = context.clock.now() + HAND_OVER_LIMIT;
    while owned_slices(context) > 0 && context.clock.now() < hand_over {
        context.sleep(TICK).await;
    }
    context.closing.cancel();
    while context.requests.current() > 0 && context.clock.now() < deadline {
        context.sleep(TICK).await;
    }
    let left = context.requests.current();
    if left > 0 {
        log::warn!("{left} requests are cut off: raise the drain limit");
    }
}
