//! Probes other nodes directly and through a third node, and sends load hints.

use std::sync::Arc;

use cornelridge_control::liveness;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_wire::generated;
use cornelridge_wire::generated::control_message::Body;

use crate::context;
use crate::peers;
use crate::serving;

/// Interval at which due probes and load hints are sent.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Maximum number of members at which a node can afford to probe all its predecessors and to send
/// load hints to all members.
pub(crate) const MAX_SMALL_REGION_MEMBERS: usize = 16;

/// Probes the members until the node stops.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    for round in 0_u64.. {
        context.sleep(TICK_INTERVAL).await;
        let now = context.clock.now();
        let actions = {
            let mut random = context.random();
            context.liveness().poll(now, &mut random)
        };
        apply(&context, actions);
        reset_silences(&context, now);
        context.workers.tick(now);
        let schedule = HintSchedule::of(&context);
        if round.is_multiple_of(schedule.ticks) {
            send_hints(&context, round / schedule.ticks, schedule.fanout);
        }
    }
}

/// Resets the silence of members without an overdue probe in the ownership state machine.
fn reset_silences(context: &context::NodeContext, now: time::Instant) {
    let document = context.assignment();
    let liveness = context.liveness();
    let members = document.members.iter().map(|member| member.incarnation);
    let responsive: Vec<_> =
        members.filter(|member| !liveness.is_unresponsive(now, *member)).collect();
    drop(liveness);
    let mut ownership = context.ownership();
    responsive.into_iter().for_each(|member| ownership.reset_peer_silence(member));
}

/// Interval in ticks at which load hints are sent, and the number of members that get one.
struct HintSchedule {
    ticks: u64,
    fanout: usize,
}

impl HintSchedule {
    /// Selects the schedule; in a large region it keeps load hints below 1 KB/s.
    fn of(context: &context::NodeContext) -> HintSchedule {
        if context.assignment().members.len() > MAX_SMALL_REGION_MEMBERS {
            return HintSchedule { ticks: 10, fanout: 4 };
        }
        HintSchedule { ticks: 3, fanout: 8 }
    }
}

fn send_hints(context: &context::NodeContext, round: u64, fanout: usize) {
    let Some(hint) = serving::load_hint(context) else { return };
    let document = context.assignment();
    let own = context.identity.incarnation;
    let others: Vec<_> = document.members.iter().filter(|m| m.incarnation != own).collect();
    if others.is_empty() {
        return;
    }
    let first = (round as usize).wrapping_mul(fanout) % others.len();
    let chosen = others.iter().cycle().skip(first).take(fanout.min(others.len()));
    chosen.for_each(|member| peers::send(context, member.incarnation, hint.clone()));
}

fn apply(context: &Arc<context::NodeContext>, actions: Vec<liveness::LivenessAction>) {
    for action in actions {
        match action {
            liveness::LivenessAction::Probe { to, nonce } => {
                let versions = peers::own_versions(context);
                peers::send(context, to, Body::Probe(generated::Probe { nonce, versions }));
            }
            liveness::LivenessAction::RequestRelay { via, target, nonce } => {
                let relay = generated::ProbeRelay { nonce, target: target.0 };
                peers::send(context, via, Body::ProbeRelay(relay));
            }
            liveness::LivenessAction::RelayAck { to, nonce, target } => {
                send_ack(context, to, nonce, target);
            }
            liveness::LivenessAction::StateChanged { peer, state } => {
                log::info!("liveness of node {peer} changed to {state:?}");
            }
            liveness::LivenessAction::Replaced { old, new } => {
                log::info!("node {new} replaces node {old} at the same address");
            }
        }
    }
}

fn send_ack(
    context: &context::NodeContext,
    to: ident::IncarnationId,
    nonce: u64,
    target: ident::IncarnationId,
) {
    let versions = peers::own_versions(context);
    let ack = generated::ProbeAck { nonce, versions, target: target.0 };
    peers::send(context, to, Body::ProbeAck(ack));
}

/// Records that a member sent a message, which shows that it is alive.
pub(crate) fn record_message(
    context: &Arc<context::NodeContext>,
    now: time::Instant,
    from: ident::IncarnationId,
) {
    let actions = context.liveness().record_message(now, from);
    apply(context, actions);
}

/// Acknowledges a probe.
pub(crate) fn answer_probe(
    context: &context::NodeContext,
    from: ident::IncarnationId,
    probe: &generated::Probe,
) {
    send_ack(context, from, probe.nonce, context.identity.incarnation);
}

/// Handles the acknowledgement of a probe.
pub(crate) fn on_probe_ack(
    context: &Arc<context::NodeContext>,
    from: ident::IncarnationId,
    ack: &generated::ProbeAck,
) {
    let now = context.clock.now();
    let target = ident::IncarnationId(ack.target);
    let actions = context.liveness().on_ack(now, from, ack.nonce, target);
    apply(context, actions);
    let actions = context.ownership().record_peer_response(now, target);
    serving::apply(context, actions);
}

/// Handles a request to probe a member on behalf of another one.
pub(crate) fn on_probe_relay(
    context: &Arc<context::NodeContext>,
    from: ident::IncarnationId,
    relay: &generated::ProbeRelay,
) {
    let now = context.clock.now();
    let target = ident::IncarnationId(relay.target);
    let actions = context.liveness().on_relay_request(now, from, relay.nonce, target);
    apply(context, actions.into_iter().collect());
}
