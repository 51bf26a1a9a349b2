//! Runs the ownership machine: its timers, and the actions that it returns.

use std::sync::Arc;

use cornelridge_control::liveness;
use cornelridge_model::assignment;
use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use cornelridge_records as records;
use cornelridge_wire::generated;
use cornelridge_wire::generated::control_message::Body;

use crate::configuration;
use crate::context;
use crate::membership;
use crate::peers;
use crate::replication;

/// Interval at which the ownership machine checks its timers.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Most predecessors that a node of a small region probes in every round.
const SMALL_REGION_MAX_WATCHED: usize = 8;
/// Probes that a node of a small region sends per second.
const SMALL_REGION_DATAGRAMS_PER_SECOND: u64 = 60;
/// Delay before a failed fetch of records is retried.
const FETCH_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Runs the timers of the machine until the node stops.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    loop {
        context.sleep(TICK_INTERVAL).await;
        let actions = context.ownership().tick(context.clock.now());
        apply(&context, actions);
    }
}

/// Executes the actions of the machine.
pub(crate) fn apply(context: &Arc<context::NodeContext>, actions: Vec<ownership::OwnershipAction>) {
    for action in actions {
        match action {
            ownership::OwnershipAction::Send { to, message } => {
                peers::send(context, to, peers::ownership_to_wire(context, message));
            }
            ownership::OwnershipAction::FetchDocument { from, epoch } => {
                let kind = configuration::DocumentKind::Assignment;
                configuration::on_peer_version(context, from, kind, epoch.0);
            }
            ownership::OwnershipAction::CancelWork { work, class, reason, .. } => {
                log::warn!("work on class {class} cancelled: {reason:?}");
                context.cancel_work(work);
            }
            ownership::OwnershipAction::LeaseGained { lease } => {
                log::info!("lease {lease} held");
                sync_records(context);
            }
            ownership::OwnershipAction::LeaseLost { lease, permanent } => {
                log::warn!("lease {lease} lost, permanent: {permanent}");
                if permanent {
                    mark_incomplete(context, lease);
                }
                context.meter.count_lease_loss();
            }
            ownership::OwnershipAction::StartedServing { class, start, fence, .. } => {
                on_started_serving(context, &class, start, fence);
            }
            ownership::OwnershipAction::StoppedServing { class, start } => {
                on_stopped_serving(context, &class, start);
            }
        }
    }
}

/// Returns the range of records at `start`, its slice, and whether the slice's chain is its first
/// one, so that no earlier owner has served it.
fn range_at(
    context: &context::NodeContext,
    class: &str,
    start: key::KeyHash,
) -> Option<(records::RecordRange, assignment::SliceRecord, bool)> {
    let document = context.assignment();
    let (_, slices) = document.class(class)?;
    let slice = slices.slices.get(slices.find(start)?)?;
    let index = slices.find(start)?;
    let is_first_chain = slices.is_first_chain(slice);
    Some((replication::range_of(slices, index), slice.clone(), is_first_chain))
}

fn on_started_serving(
    context: &Arc<context::NodeContext>,
    class: &str,
    start: key::KeyHash,
    fence: ident::FenceToken,
) {
    context.meter.slice_started(fence.position > 0);
    if fence.position > 0 {
        log::info!(
            "took over class {class} slice {:016x} as successor {}",
            start.0,
            fence.position
        );
    }
    if fence.position > 0 {
        announce_expiries(context, class, start);
    }
    let Some((range, _, is_first_chain)) = range_at(context, class, start) else { return };
    let classes = context.classes();
    let Some(config) = classes.class(class).filter(|config| !config.idempotent) else { return };
    let now = context.clock.now();
    let window = records::record_window(config);
    let mut table = context.records();
    if is_first_chain {
        table.mark_new(&range);
    }
    let takeover = table.take_over(now, &range, window);
    drop(table);
    for update in takeover.given_up {
        replication::send_update(context, update);
    }
}

fn on_stopped_serving(context: &Arc<context::NodeContext>, class: &str, start: key::KeyHash) {
    context.meter.slice_stopped();
    let Some((range, ..)) = range_at(context, class, start) else { return };
    let updates = context.records().stop_serving(context.clock.now(), &range);
    for update in updates {
        replication::send_update(context, update);
    }
}

/// Announces to all members that earlier members of a chain have expired, so that requests are sent
/// to the successor without trying the lost node first.
fn announce_expiries(context: &Arc<context::NodeContext>, class: &str, start: key::KeyHash) {
    let document = context.assignment();
    let Some((_, slice, _)) = range_at(context, class, start) else { return };
    let own = context.identity.incarnation;
    for lease in slice.chain {
        let id = document.lease_id(lease);
        if id.incarnation == own {
            return;
        }
        if !context.mark_expiry_announced(id) {
            continue;
        }
        let evidence = context.ownership().evidence(id);
        for member in document.members.iter().filter(|member| member.incarnation != own) {
            for message in &evidence {
                let body = peers::ownership_to_wire(context, message.clone());
                peers::send(context, member.incarnation, body);
            }
        }
    }
}

/// Synchronizes the records of this node's slices.
///
/// Only a member that holds its lease is sure to get a copy of each later execution, so records
/// don't count as complete before the lease is gained.
pub(crate) fn sync_records(context: &Arc<context::NodeContext>) {
    let document = context.assignment();
    let classes = context.classes();
    let state = context.ownership().state();
    let held: Vec<_> =
        state.leases.iter().filter(|lease| lease.held).map(|lease| lease.lease).collect();
    let is_held = |lease: &assignment::LeaseKey| held.contains(&document.lease_id(*lease));
    for slices in &document.classes {
        let Some(config) = classes.class(&slices.class).filter(|class| !class.idempotent) else {
            continue;
        };
        let window = records::record_window(config);
        for (index, slice) in slices.slices.iter().enumerate() {
            let range = replication::range_of(slices, index);
            let now = context.clock.now();
            let known = context.records().sync_state(now, &range.class, range.first);
            if known == records::SyncState::Synced || !slice.chain.iter().any(is_held) {
                continue;
            }
            // The first owner of a slice may get the assignment only after the chain has changed;
            // while it holds its lease, no other node can have served the slice.
            let was_first_owner =
                slices.was_first_chain(slice) && slice.previous.first().is_some_and(is_held);
            if slices.is_first_chain(slice) || was_first_owner {
                context.records().mark_new(&range);
            } else {
                fetch_records(context, range, window);
            }
        }
    }
}

/// Marks the records of a lost lease as incomplete: without the lease, a member gets no further
/// copies.
fn mark_incomplete(context: &context::NodeContext, lease: ident::LeaseId) {
    let document = context.assignment();
    for slices in &document.classes {
        for (index, slice) in slices.slices.iter().enumerate() {
            if slice.chain.iter().any(|member| document.lease_id(*member) == lease) {
                context.records().mark_incomplete(&replication::range_of(slices, index));
            }
        }
    }
}

/// Fetches the records of a slice until they are complete or this node is no longer in its chain.
fn fetch_records(
    context: &Arc<context::NodeContext>,
    range: records::RecordRange,
    window: time::Duration,
) {
    let Some(guard) = context.start_fetch(&range) else { return };
    let node = Arc::clone(context);
    context.executor.spawn(async move {
        while is_member(&node, &range) {
            for from in record_sources(&node, &range) {
                if replication::fetch(&node, &range, from, window).await {
                    return;
                }
            }
            node.sleep(FETCH_RETRY_DELAY).await;
        }
        node.records().mark_incomplete(&range);
        drop(guard);
    });
}

/// Returns whether the range is still a slice with this node in its chain.
fn is_member(context: &context::NodeContext, range: &records::RecordRange) -> bool {
    let document = context.assignment();
    let own = context.identity.incarnation;
    range_at(context, &range.class, range.first).is_some_and(|(current, slice, _)| {
        let holders = slice.chain.iter().map(|lease| document.holder(*lease).incarnation);
        current == *range && holders.into_iter().any(|holder| holder == own)
    })
}

/// Returns the members that may have the records: those of the chain, then of the previous chain.
fn record_sources(
    context: &context::NodeContext,
    range: &records::RecordRange,
) -> Vec<ident::IncarnationId> {
    let document = context.assignment();
    let Some((_, slice, _)) = range_at(context, &range.class, range.first) else {
        return Vec::new();
    };
    let own = context.identity.incarnation;
    let leases = slice.chain.iter().chain(&slice.previous);
    let holders = leases.map(|lease| document.holder(*lease).incarnation);
    holders.filter(|holder| *holder != own).collect()
}

/// Sets the members that are probed in every round: the predecessors whose loss this node has to
/// detect, those first that it would succeed directly.
pub(crate) fn watch_predecessors(context: &context::NodeContext) {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let mut watched = Vec::new();
    for slice in document.classes.iter().flat_map(|class| &class.slices) {
        let holders = slice.chain.iter().map(|lease| document.holder(*lease).incarnation);
        let holders: Vec<_> = holders.collect();
        let Some(position) = holders.iter().position(|holder| *holder == own) else { continue };
        watched.extend(holders[..position].iter().map(|holder| (position, *holder)));
    }
    watched.sort_unstable();
    let mut ordered: Vec<_> = Vec::new();
    for (_, holder) in watched {
        if !ordered.contains(&holder) {
            ordered.push(holder);
        }
    }
    let config = match document.members.len() > membership::MAX_SMALL_REGION_MEMBERS {
        true => liveness::LivenessConfig::default(),
        false => liveness::LivenessConfig {
            max_watched: SMALL_REGION_MAX_WATCHED,
            datagrams_per_second: SMALL_REGION_DATAGRAMS_PER_SECOND,
            ..liveness::LivenessConfig::default()
        },
    };
    let mut liveness = context.liveness();
    liveness.set_config(config);
    liveness.set_watched(&ordered);
}

/// Returns whether each slice that this node serves first has another member that could serve it.
pub(crate) fn has_successors(context: &context::NodeContext) -> bool {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let machine = context.ownership();
    let classes = document.classes.iter().enumerate();
    let mut slices = classes.flat_map(|(class, slices)| {
        let class = class as u16;
        (0..slices.slices.len() as u32).map(move |slice| assignment::SliceKey { class, slice })
    });
    slices.all(|slice| {
        let route = machine.route(slice);
        route.first() != Some(&own) || route.len() > 1
    })
}

/// Releases this node's leases for good and notifies the peers.
pub(crate) fn release(context: &Arc<context::NodeContext>) {
    let actions = context.ownership().release(context.clock.now());
    apply(context, actions);
}

/// Returns the load of the upstream beside this node, as a message to other nodes.
pub(crate) fn load_hint(context: &context::NodeContext) -> Option<Body> {
    let link = context.any_upstream()?;
    let now = context.clock.now();
    let classes = context.classes();
    let rank = classes.class(&link.announcement.class).map_or(0, |class| class.yield_rank);
    let upstream_queue = context.upstream_queue();
    let queue = upstream_queue.admission();
    Some(Body::LoadHint(generated::LoadHint {
        class: link.announcement.class.to_string(),
        in_flight: queue.running() as u32,
        queued: queue.queued_before(rank) as u32,
        limit: queue.limit(now),
        queue_delay_us: queue.expected_wait(now, rank).as_micros(),
        accepting: !context.is_draining() && !link.announcement.leaving,
    }))
}
