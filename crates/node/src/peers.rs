//! Dispatches messages from other nodes: datagrams to the state machines, streams to their
//! handlers.

use std::sync::Arc;

use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use cornelridge_policy::quarantine;
use cornelridge_policy::selection;
use cornelridge_wire::generated;
use cornelridge_wire::generated::control_message::Body;
use cornelridge_wire::generated::stream_head::Kind;
use cornelridge_wire::{suspects, transport};

use crate::configuration;
use crate::context;
use crate::egress;
use crate::membership;
use crate::replication;
use crate::report;
use crate::serving;

/// Handles messages from other nodes until the endpoint closes.
pub(crate) async fn receive(context: Arc<context::NodeContext>) {
    let events = context.endpoint.events();
    while let Ok(event) = events.recv().await {
        match event {
            transport::PeerEvent::Datagram { message, .. } => handle_datagram(&context, message),
            transport::PeerEvent::Stream { head, writer, reader, .. } => {
                handle_stream(&context, head, writer, reader);
            }
        }
    }
}

fn handle_stream(
    context: &Arc<context::NodeContext>,
    head: generated::StreamHead,
    writer: transport::FrameWriter,
    reader: transport::FrameReader,
) {
    let node = Arc::clone(context);
    match head.kind {
        Some(Kind::Request(request)) => {
            context.executor.spawn(egress::serve(node, request, writer, reader));
        }
        Some(Kind::DocumentFetch(fetch)) => {
            context.executor.spawn(configuration::serve_document(node, fetch, writer));
        }
        Some(Kind::RecordCopy(copy)) => {
            context.executor.spawn(replication::serve_copy(node, copy, writer));
        }
        Some(Kind::RecordFetch(fetch)) => {
            context.executor.spawn(replication::serve_fetch(node, fetch, writer));
        }
        Some(Kind::SuspectNotice(notice)) => merge_suspects(context, &notice),
        Some(Kind::StatusFetch(_)) => {
            context.executor.spawn(report::serve_status(node, writer));
        }
        Some(Kind::WorkerRequest(_) | Kind::LoadFetch(_) | Kind::FeedFetch(_)) | None => {
            log::debug!("stream of an unsupported kind from a peer ignored");
        }
    }
}

fn handle_datagram(context: &Arc<context::NodeContext>, message: generated::ControlMessage) {
    let sender = ident::IncarnationId(message.sender);
    let Some(body) = message.body else { return };
    record_versions(context, sender, &body);
    let now = context.clock.now();
    membership::record_message(context, now, sender);
    match body {
        Body::Probe(probe) => membership::answer_probe(context, sender, &probe),
        Body::ProbeAck(ack) => membership::on_probe_ack(context, sender, &ack),
        Body::ProbeRelay(relay) => membership::on_probe_relay(context, sender, &relay),
        Body::LoadHint(hint) => record_load_hint(context, now, sender, &hint),
        other => {
            let Some(message) = ownership_from_wire(other) else { return };
            let actions = context.ownership().receive(now, sender, message);
            serving::apply(context, actions);
        }
    }
}

/// Records the versions in a peer's message, and pulls the documents that are newer at the peer.
fn record_versions(context: &Arc<context::NodeContext>, sender: ident::IncarnationId, body: &Body) {
    let versions = match body {
        Body::Renew(renew) => renew.versions,
        Body::RenewAck(ack) => ack.versions,
        Body::RenewRefused(refused) => refused.versions,
        Body::Probe(probe) => probe.versions,
        Body::ProbeAck(ack) => ack.versions,
        _ => None,
    };
    let Some(versions) = versions else { return };
    context.documents.record_peer_versions(context.clock.now(), sender, versions);
    let classes = configuration::DocumentKind::Classes;
    let assignment = configuration::DocumentKind::Assignment;
    let (epoch, revision) = context.documents.versions();
    if versions.epoch > epoch.0 {
        configuration::on_peer_version(context, sender, assignment, versions.epoch);
    }
    if versions.revision > revision.0 {
        configuration::on_peer_version(context, sender, classes, versions.revision);
    }
}

fn record_load_hint(
    context: &context::NodeContext,
    now: time::Instant,
    sender: ident::IncarnationId,
    hint: &generated::LoadHint,
) {
    let load = selection::LoadHint {
        in_flight: hint.in_flight,
        queued: hint.queued,
        limit: hint.limit,
        queue_delay: time::Duration(hint.queue_delay_us),
        accepting: hint.accepting,
    };
    context.workers.record_load(now, &hint.class, sender, load);
}

fn merge_suspects(context: &context::NodeContext, notice: &generated::SuspectNotice) {
    let now = context.clock.now();
    for notice in suspects::from_wire(notice) {
        context.suspects().merge(now, notice);
    }
}

/// Sends notices about requests that crash upstreams to all members of the region.
pub(crate) fn send_suspects(
    context: &Arc<context::NodeContext>,
    notices: &[quarantine::SuspectNotice],
) {
    if notices.is_empty() {
        return;
    }
    let kind = Some(Kind::SuspectNotice(suspects::to_wire(notices)));
    let head = Arc::new(generated::StreamHead { kind });
    let own = context.identity.incarnation;
    for member in &context.assignment().members {
        if member.incarnation == own {
            continue;
        }
        let (node, head, address) = (Arc::clone(context), Arc::clone(&head), member.address);
        context.executor.spawn(async move {
            let opened = node.endpoint.open_stream_queued(address, &head).await;
            if let Ok((mut writer, _reader)) = opened
                && writer.finish().await.is_ok()
            {
                writer.delivered().await;
            }
        });
    }
}

/// Sends a control message to a member as a datagram, which may get lost.
pub(crate) fn send(context: &context::NodeContext, to: ident::IncarnationId, body: Body) {
    let Some(address) = context.address_of(to) else { return };
    let sender = context.identity.incarnation.0;
    let message = generated::ControlMessage { sender, body: Some(body) };
    context.endpoint.send_datagram(address, &message);
}

/// Returns the document versions of this node, as sent to peers.
pub(crate) fn own_versions(context: &context::NodeContext) -> Option<generated::Versions> {
    let (epoch, revision) = context.documents.versions();
    Some(generated::Versions { epoch: epoch.0, revision: revision.0 })
}

/// Encodes a message of the ownership state machine.
pub(crate) fn ownership_to_wire(
    context: &context::NodeContext,
    message: ownership::OwnershipMessage,
) -> Body {
    use cornelridge_ownership::OwnershipMessage;
    match message {
        OwnershipMessage::Renew { lease, sequence, .. } => Body::Renew(generated::Renew {
            lease: Some(lease_to_wire(lease)),
            sequence,
            versions: own_versions(context),
        }),
        OwnershipMessage::RenewAck { lease, sequence, .. } => Body::RenewAck(generated::RenewAck {
            lease: Some(lease_to_wire(lease)),
            sequence,
            versions: own_versions(context),
        }),
        OwnershipMessage::RenewRefused { lease, .. } => {
            let lease = Some(lease_to_wire(lease));
            Body::RenewRefused(generated::RenewRefused { lease, versions: own_versions(context) })
        }
        OwnershipMessage::VouchQuery { lease } => {
            Body::VouchQuery(generated::VouchQuery { lease: Some(lease_to_wire(lease)) })
        }
        OwnershipMessage::Vouch { lease, guards } => Body::Vouch(generated::Vouch {
            lease: Some(lease_to_wire(lease)),
            guards: guards.into_iter().map(|guard| guard.0).collect(),
        }),
        OwnershipMessage::ConfirmQuery { epoch, member } => {
            Body::ConfirmQuery(generated::ConfirmQuery { epoch: epoch.0, member: member.0 })
        }
        OwnershipMessage::Confirm { member, epoch } => {
            Body::Confirm(generated::Confirm { member: member.0, epoch: epoch.0 })
        }
        OwnershipMessage::Released { lease } => {
            Body::Released(generated::Released { lease: Some(lease_to_wire(lease)) })
        }
    }
}

fn ownership_from_wire(body: Body) -> Option<ownership::OwnershipMessage> {
    use cornelridge_ownership::OwnershipMessage;
    let epoch = |versions: Option<generated::Versions>| {
        ident::EpochNumber(versions.map_or(0, |versions| versions.epoch))
    };
    match body {
        Body::Renew(renew) => Some(OwnershipMessage::Renew {
            lease: lease_from_wire(renew.lease)?,
            sequence: renew.sequence,
            epoch: epoch(renew.versions),
        }),
        Body::RenewAck(ack) => Some(OwnershipMessage::RenewAck {
            lease: lease_from_wire(ack.lease)?,
            sequence: ack.sequence,
            epoch: epoch(ack.versions),
        }),
        Body::RenewRefused(refused) => Some(OwnershipMessage::RenewRefused {
            lease: lease_from_wire(refused.lease)?,
            epoch: epoch(refused.versions),
        }),
        Body::VouchQuery(query) => {
            Some(OwnershipMessage::VouchQuery { lease: lease_from_wire(query.lease)? })
        }
        Body::Vouch(vouch) => Some(OwnershipMessage::Vouch {
            lease: lease_from_wire(vouch.lease)?,
            guards: vouch.guards.into_iter().map(ident::IncarnationId).collect(),
        }),
        Body::ConfirmQuery(query) => Some(OwnershipMessage::ConfirmQuery {
            epoch: ident::EpochNumber(query.epoch),
            member: ident::IncarnationId(query.member),
        }),
        Body::Confirm(confirm) => Some(OwnershipMessage::Confirm {
            member: ident::IncarnationId(confirm.member),
            epoch: ident::EpochNumber(confirm.epoch),
        }),
        Body::Released(released) => {
            Some(OwnershipMessage::Released { lease: lease_from_wire(released.lease)? })
        }
        Body::Probe(_) | Body::ProbeAck(_) | Body::ProbeRelay(_) | Body::LoadHint(_) => None,
    }
}

/// Encodes a lease identifier.
pub(crate) fn lease_to_wire(lease: ident::LeaseId) -> generated::Lease {
    generated::Lease { incarnation: lease.incarnation.0, generation: lease.generation }
}

/// Decodes a lease identifier.
pub(crate) fn lease_from_wire(lease: Option<generated::Lease>) -> Option<ident::LeaseId> {
    let lease = lease?;
    let incarnation = ident::IncarnationId(lease.incarnation);
    Some(ident::LeaseId { incarnation, generation: lease.generation })
}
