//! Drives the ownership machine: its timers, its messages and what follows from its decisions.

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

/// Interval of the timers of the ownership machine.
const TICK: time::Duration = time::Duration::from_millis(40);
/// Predecessors that a node of a small site probes in every round, and its probes a second.
const SMALL_SITE_WATCHED: usize = 8;
const SMALL_SITE_DATAGRAMS: u64 = 60;
/// Pause before a failed fetch of records is tried again.
const FETCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Advances the machine until the node stops.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    loop {
        context.sleep(TICK).await;
        let actions = context.ownership().tick(context.clock.now());
        apply(&context, actions);
    }
}

/// Carries out what the machine asks for.
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
                context.meter.lease_lost();
            }
            ownership::OwnershipAction::StartedServing { class, start, fence, .. } => {
                started(context, &class, start, fence);
            }
            ownership::OwnershipAction::StoppedServing { class, start } => {
                stopped(context, &class, start);
            }
        }
    }
}

/// The slice at `start`, its range of records, and whether nobody served it before its chain.
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

fn started(
    context: &Arc<context::NodeContext>,
    class: &str,
    start: key::KeyHash,
    fence: ident::FenceToken,
) {
    context.meter.serving(fence.position > 0);
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

fn stopped(context: &Arc<context::NodeContext>, class: &str, start: key::KeyHash) {
    context.meter.stopped();
    let Some((range, ..)) = range_at(context, class, start) else { return };
    let updates = context.records().stop_serving(context.clock.now(), &range);
    for update in updates {
        replication::send_update(context, update);
    }
}

/// Tells all members that earlier members of a chain expired, so that requests find the successor
/// without asking the lost node first.
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

/// Brings the records of this node's slices up to date.
///
/// Only a member whose lease holds is sure to get a copy of each later execution, so nothing counts
/// as complete before the lease is gained.
pub(crate) fn sync_records(context: &Arc<context::NodeContext>) {
    let document = context.assignment();
    let classes = context.classes();
    let state = context.ownership().state();
    let held: Vec<_> = state.leases.iter().filter(|l| l.held).map(|l| l.lease).collect();
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
            // The first owner ever may learn of it only after the chain has changed; while its
            // lease holds, nobody else can have served the slice.
            let was_first_owner =
                slices.was_first_chain(slice) && slice.previous.first().is_some_and(is_held);
            if slices.is_first_chain(slice) || was_first_owner {
                context.records().mark_new(&range);
            } else {
                fetch(context, range, window);
            }
        }
    }
}

/// Records no longer count as complete: without its lease a member gets no copies any more.
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

/// Fetches the records of a slice until they are complete or the slice isn't this node's any more.
fn fetch(context: &Arc<context::NodeContext>, range: records::RecordRange, window: time::Duration) {
    let Some(mark) = context.start_fetch(&range) else { return };
    let node = Arc::clone(context);
    context.executor.spawn(async move {
        while is_member(&node, &range) {
            for from in sources(&node, &range) {
                if replication::fetch(&node, &range, from, window).await {
                    return;
                }
            }
            node.sleep(FETCH_PAUSE).await;
        }
        node.records().mark_incomplete(&range);
        drop(mark);
    });
}

/// Whether the range is still a slice in whose chain this node stands.
fn is_member(context: &context::NodeContext, range: &records::RecordRange) -> bool {
    let document = context.assignment();
    let own = context.identity.incarnation;
    range_at(context, &range.class, range.first).is_some_and(|(current, slice, _)| {
        let holders = slice.chain.iter().map(|lease| document.holder(*lease).incarnation);
        current == *range && holders.into_iter().any(|holder| holder == own)
    })
}

/// Members that may have the records: the chain, then the one before it.
fn sources(
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

/// Has the members probed in every round whose loss this node would have to notice, the owners
/// that it would succeed first before the others.
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
            max_watched: SMALL_SITE_WATCHED,
            datagrams_per_second: SMALL_SITE_DATAGRAMS,
            ..liveness::LivenessConfig::default()
        },
    };
    let mut liveness = context.liveness();
    liveness.set_config(config);
    liveness.set_watched(&ordered);
}

/// Whether another member could serve each slice that this node would serve first.
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

/// Tells peers that this node gives its leases up for good.
pub(crate) fn release(context: &Arc<context::NodeContext>) {
    let actions = context.ownership().release(context.clock.now());
    apply(context, actions);
}

/// The load of the upstream beside this node.
pub(crate) fn load_hint(context: &context::NodeContext) -> Option<Body> {
    let link = context.any_upstream()?;
    let now = context.clock.now();
    let classes = context.classes();
    let rank = classes.class(&link.announcement.class).map_or(0, |class| class.yield_rank);
    let gate = context.admission_queue();
    let queue = gate.queue();
    Some(Body::LoadHint(generated::LoadHint {
        class: link.announcement.class.to_string(),
        in_flight: queue.running() as u32,
        queued: queue.queued_before(rank) as u32,
        limit: queue.limit(now),
        queue_delay_us: queue.expected_wait(now, rank).as_micros(),
        accepting: !context.is_draining() && !link.announcement.leaving,
    }))
}
