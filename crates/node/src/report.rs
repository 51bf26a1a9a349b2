//! Builds the report that the planner collects from each member.

use std::sync::Arc;

use cornelridge_model::time;
use cornelridge_ownership as ownership;
use cornelridge_wire::generated;
use cornelridge_wire::transport;

use crate::context;
use crate::peers;

/// Silence after which a guard is reported, so that the planner replaces it.
const GUARD_SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Returns the report of this node for the planner.
pub(crate) fn status(context: &context::NodeContext) -> generated::StatusAnswer {
    let now = context.clock.now();
    let state = context.ownership().state();
    let newest = state.leases.iter().max_by_key(|lease| lease.lease.generation);
    let silent = newest.into_iter().flat_map(|lease| &lease.guards).filter(|guard| {
        guard.refused || guard.acknowledgement_age.is_some_and(|age| age > GUARD_SILENCE_TIMEOUT)
    });
    // The planner completes a move when it learns that the old lease has expired. By then, the
    // successor's delay for an upstream that doesn't check fences must have passed.
    let is_after_delay = |expiry: &&ownership::ExpiryReport| {
        now.since(expiry.known_at) > ownership::timing::UNFENCED_TAKEOVER_DELAY
    };
    let expired = state.expired.iter().filter(is_after_delay);
    let load = context.loads.take_report(now);
    generated::StatusAnswer {
        versions: peers::own_versions(context),
        confirmed_epoch: state.confirmed.0,
        has_upstream: context.any_upstream().is_some(),
        draining: context.is_draining(),
        lease_held: state.leases.iter().any(|lease| lease.held),
        store_seen: context.acceptors().has_seen_store(),
        in_flight: context.requests.current() as u32,
        loads: load.slices,
        hot_keys: load.hot_keys,
        silent_guards: silent.map(|guard| guard.guard.0).collect(),
        expired: expired.map(|expiry| peers::lease_to_wire(expiry.lease)).collect(),
    }
}

/// Sends the report to the planner.
pub(crate) async fn serve_status(
    context: Arc<context::NodeContext>,
    mut writer: transport::FrameWriter,
) {
    let answer = status(&context);
    if writer.send_document(&answer).await.is_err() || writer.finish().await.is_err() {
        log::debug!("report could not be sent to the planner");
    }
}
