//! Probes of other nodes, directly and through a third node.

use std::sync::Arc;

use cornelridge_control::liveness;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_wire::generated;
use cornelridge_wire::generated::control_message::Body;

use crate::context;
use crate::peers;
use crate::serving;

/// Interval between two looks at the probes.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Members up to which a node can afford to probe all its predecessors and to hint to everybody.
pub(crate) const SMALL_SITE: usize = 16;

/// Probes the members until the node stops.
pub(crate) async fn run(context: Arc<context::NodeContext>) {
    for round in 0_u64.. {
        context.sleep(TICK).await;
        let now = context.clock.now();
        let actions = {
            let mut random = context.random();
            context.liveness().poll(now, &mut random)
        };
        apply(&context, actions);
        note_undoubted(&context, now);
        context.workers.tick(now);
        let rhythm = HintRhythm::of(&context);
        if round.is_multiple_of(rhythm.ticks) {
            send_hints(&context, round / rhythm.ticks, rhythm.fanout);
        }
    }
}

/// Tells the ownership machine whose silence says nothing because no probe is unanswered.
fn note_undoubted(context: &context::NodeContext, now: time::Instant) {
    let document = context.assignment();
    let liveness = context.liveness();
    let members = document.members.iter().map(|member| member.incarnation);
    let undoubted: Vec<_> =
        members.filter(|member| !liveness.is_unresponsive(now, *member)).collect();
    drop(liveness);
    let mut machine = context.ownership();
    undoubted.into_iter().for_each(|member| machine.reset_peer_silence(member));
}

/// How often load hints are sent and to how many members.
struct HintRhythm {
    ticks: u64,
    fanout: usize,
}

impl HintRhythm {
    /// In a large region hints are sparse, so that they stay below 1 KB/s.
    fn of(context: &context::NodeContext) -> HintRhythm {
        if context.assignment().members.len() > SMALL_SITE {
            return HintRhythm { ticks: 10, fanout: 4 };
        }
        HintRhythm { ticks: 3, fanout: 8 }
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
                let versions = peers::versions(context);
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
                log::info!("node {peer} is now {state:?}");
            }
            liveness::LivenessAction::Replaced { old, new } => {
                log::info!("node {new} answers at the address of node {old}");
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
    let versions = peers::versions(context);
    let ack = generated::ProbeAck { nonce, versions, target: target.0 };
    peers::send(context, to, Body::ProbeAck(ack));
}

/// Notes a sign of life.
pub(crate) fn heard(
    context: &Arc<context::NodeContext>,
    now: time::Instant,
    from: ident::IncarnationId,
) {
    let actions = context.liveness().record_message(now, from);
    apply(context, actions);
}

/// Answers a probe.
pub(crate) fn answer(
    context: &context::NodeContext,
    from: ident::IncarnationId,
    probe: &generated::Probe,
) {
    send_ack(context, from, probe.nonce, context.identity.incarnation);
}

/// Takes the answer to a probe.
pub(crate) fn acknowledged(
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

/// Probes a member for another one.
pub(crate) fn relay(
    context: &Arc<context::NodeContext>,
    from: ident::IncarnationId,
    relay: &generated::ProbeRelay,
) {
    let now = context.clock.now();
    let target = ident::IncarnationId(relay.target);
    let actions = context.liveness().on_relay_request(now, from, relay.nonce, target);
    apply(context, actions.into_iter().collect());
}
