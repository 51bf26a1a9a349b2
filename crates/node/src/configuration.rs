//! Keeps the documents of this node up to date, from the store or from peers.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_control::acceptance;
use cornelridge_control::liveness;
use cornelridge_control::relay;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_store::api as store;
use cornelridge_wire::document;
use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::FutureExt;

use crate::context;
use crate::drain;
use crate::serving;

/// Longest wait of one watch at the store.
const WATCH_WAIT: std::time::Duration = std::time::Duration::from_secs(20);
/// Pause after a failed call to the store.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Pause of a node that learns from peers before it looks at its role again.
const ROLE_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Time within which a peer must deliver a document.
const PULL_LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// One of the two documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentKind {
    Classes,
    Assignment,
}

impl DocumentKind {
    /// The key in the store.
    pub(crate) fn store_key(self, region: &str) -> String {
        match self {
            DocumentKind::Classes => "classes".to_owned(),
            DocumentKind::Assignment => format!("assignment/{region}"),
        }
    }

    fn to_wire(self) -> generated::DocumentKind {
        match self {
            DocumentKind::Classes => generated::DocumentKind::DocumentClasses,
            DocumentKind::Assignment => generated::DocumentKind::DocumentAssignment,
        }
    }
}

/// Which versions to accept, by document.
#[derive(Debug, Default)]
pub(crate) struct VersionGates {
    classes: acceptance::DocumentAcceptor,
    assignment: acceptance::DocumentAcceptor,
}

impl VersionGates {
    fn gate(&mut self, kind: DocumentKind) -> &mut acceptance::DocumentAcceptor {
        match kind {
            DocumentKind::Classes => &mut self.classes,
            DocumentKind::Assignment => &mut self.assignment,
        }
    }

    /// Whether the store has answered since the process started.
    pub(crate) fn has_seen_store(&self) -> bool {
        self.classes.has_seen_store()
    }
}

/// Watches, polls or leaves it to peers, as the role of this node asks for.
pub(crate) async fn follow(context: Arc<context::NodeContext>, kind: DocumentKind) {
    let key = kind.store_key(&context.identity.region);
    let mut seen = store::StoreRevision(0);
    loop {
        match access(&context) {
            relay::StoreAccess::Watch => {
                context.meter.store_call();
                match context.store.watch(&key, seen, WATCH_WAIT).await {
                    Ok(store::WatchEvent::Changed(value)) => {
                        seen = value.revision;
                        take_stored(&context, kind, value);
                    }
                    Ok(store::WatchEvent::Unchanged) => note_answer(&context, kind),
                    Err(error) => failed(&context, &error).await,
                }
            }
            relay::StoreAccess::Poll { after } => {
                context.meter.store_call();
                match context.store.get(&key).await {
                    Ok(Some(value)) => {
                        seen = value.revision;
                        take_stored(&context, kind, value);
                    }
                    Ok(None) => note_answer(&context, kind),
                    Err(error) => failed(&context, &error).await,
                }
                context.sleep(after).await;
            }
            relay::StoreAccess::Peers => context.sleep(ROLE_PAUSE).await,
        }
    }
}

async fn failed(context: &context::NodeContext, error: &store::StoreError) {
    log::warn!("store: {error}");
    context.sleep(FAILURE_PAUSE).await;
}

fn note_answer(context: &context::NodeContext, kind: DocumentKind) {
    context.versions().gate(kind).record_store_response();
}

fn access(context: &context::NodeContext) -> relay::StoreAccess {
    let now = context.clock.now();
    let members = candidates(context);
    let last_heard = context.documents.last_heard();
    let own = context.identity.incarnation;
    relay::store_access(now, own, &members, last_heard, &mut context.random())
}

/// The members with their liveness, for the choice of relays.
fn candidates(context: &context::NodeContext) -> Vec<relay::RelayCandidate> {
    let document = context.assignment();
    let own = context.identity.incarnation;
    let liveness = context.liveness();
    let members = document.members.iter();
    members
        .map(|member| relay::RelayCandidate {
            incarnation: member.incarnation,
            zone: Arc::clone(&member.zone),
            is_alive: member.incarnation == own
                || liveness.state(member.incarnation) != liveness::PeerState::Lost,
        })
        .collect()
}

/// Whether this node watches the store and may become the planner.
pub(crate) fn is_relay(context: &context::NodeContext) -> bool {
    let members = candidates(context);
    members.is_empty() || relay::select_relays(&members).contains(&context.identity.incarnation)
}

fn take_stored(context: &Arc<context::NodeContext>, kind: DocumentKind, value: store::StoreValue) {
    take(context, kind, value.value, acceptance::DocumentSource::Store);
}

/// Puts a document in force if it is valid and higher than the one in force.
pub(crate) fn take(
    context: &Arc<context::NodeContext>,
    kind: DocumentKind,
    bytes: Bytes,
    source: acceptance::DocumentSource,
) {
    match kind {
        DocumentKind::Classes => take_classes(context, bytes, source),
        DocumentKind::Assignment => take_assignment(context, bytes, source),
    }
}

fn take_classes(
    context: &Arc<context::NodeContext>,
    bytes: Bytes,
    source: acceptance::DocumentSource,
) {
    let now = context.clock.now();
    let decoded = serde_json::from_slice::<class::ClassDocument>(&bytes);
    let reason = decoded.as_ref().err().map(ToString::to_string).unwrap_or_default();
    let candidate = match &decoded {
        Ok(document) => acceptance::CandidateDocument::Classes(document),
        Err(_) => acceptance::CandidateDocument::Undecodable(&reason),
    };
    let verdict = context.versions().classes.offer(now, source, bytes.len(), &candidate);
    if !is_accepted("class configuration", &verdict) {
        return;
    }
    let Ok(document) = decoded else { return };
    log::info!("class configuration revision {} in force", document.revision);
    if context.documents.put_classes(Arc::new(document), bytes) {
        serving::sync_records(context);
    }
}

fn take_assignment(
    context: &Arc<context::NodeContext>,
    bytes: Bytes,
    source: acceptance::DocumentSource,
) {
    let now = context.clock.now();
    let decoded = document::decode_assignment(&bytes);
    let reason = decoded.as_ref().err().map(ToString::to_string).unwrap_or_default();
    let candidate = match &decoded {
        Ok(document) => acceptance::CandidateDocument::Assignment(document),
        Err(_) => acceptance::CandidateDocument::Undecodable(&reason),
    };
    let verdict = context.versions().assignment.offer(now, source, bytes.len(), &candidate);
    if !is_accepted("assignment", &verdict) {
        return;
    }
    let Ok(document) = decoded else { return };
    let document = Arc::new(document);
    let adopted = context.ownership().adopt(now, Arc::clone(&document));
    match adopted {
        Ok(actions) => {
            log::debug!("assignment epoch {} in force", document.epoch);
            let own = context.identity.incarnation;
            let others = document.members.iter().map(|member| member.incarnation);
            let others: Vec<_> = others.filter(|member| *member != own).collect();
            context.liveness().set_peers(&others);
            let classes = context.classes();
            context.workers.adopt(now, &context.identity.zone, &document, &classes);
            context.documents.put_assignment(document, bytes);
            serving::apply(context, actions);
            if context.any_upstream().is_none() && drain::owned_slices(context) > 0 {
                // The planner gave slices to this node before it learnt that the upstream is gone.
                serving::release(context);
            }
            serving::watch_predecessors(context);
            serving::sync_records(context);
        }
        Err(error) => log::error!("assignment not adopted: {error}"),
    }
}

fn is_accepted(name: &str, verdict: &acceptance::OfferResult) -> bool {
    match verdict {
        acceptance::OfferResult::Accepted => true,
        acceptance::OfferResult::Current | acceptance::OfferResult::Older => false,
        acceptance::OfferResult::Rejected(error) => {
            log::error!("{name} rejected, the last good one stays in force: {error}");
            false
        }
    }
}

/// Notes the version that a peer has and pulls the document if it is higher.
pub(crate) fn heard(
    context: &Arc<context::NodeContext>,
    peer: ident::IncarnationId,
    kind: DocumentKind,
    version: u64,
) {
    let now = context.clock.now();
    let chosen = {
        let mut gates = context.versions();
        let gate = gates.gate(kind);
        gate.record_peer_version(now, peer, version);
        gate.next_pull(now)
    };
    let Some(from) = chosen else { return };
    let node = Arc::clone(context);
    context.executor.spawn(async move {
        let fetched = fetch(&node, from, kind);
        let late = async {
            node.sleep(PULL_LIMIT).await;
            None
        };
        let source = acceptance::DocumentSource::Peer(from);
        match fetched.or(late).await {
            Some(bytes) => take(&node, kind, bytes, source),
            None => node.versions().gate(kind).record_pull_failure(node.clock.now(), from),
        }
    });
}

async fn fetch(
    context: &context::NodeContext,
    from: ident::IncarnationId,
    kind: DocumentKind,
) -> Option<Bytes> {
    let address = context.address_of(from)?;
    let fetch = generated::DocumentFetch { kind: kind.to_wire() as i32 };
    let kind = Some(generated::stream_head::Kind::DocumentFetch(fetch));
    let head = generated::StreamHead { kind };
    let (mut writer, mut reader) =
        context.endpoint.open_stream_queued(address, &head).await.ok()?;
    writer.finish().await.ok()?;
    let answer = reader.receive_document::<generated::DocumentAnswer>().await.ok()??;
    Some(Bytes::from(answer.document)).filter(|document| !document.is_empty())
}

/// Sends a document to a peer.
pub(crate) async fn serve_document(
    context: Arc<context::NodeContext>,
    fetch: generated::DocumentFetch,
    mut writer: transport::FrameWriter,
) {
    let document = match generated::DocumentKind::try_from(fetch.kind) {
        Ok(generated::DocumentKind::DocumentClasses) => context.documents.classes_bytes(),
        Ok(generated::DocumentKind::DocumentAssignment) => context.documents.assignment_bytes(),
        Err(_) => Bytes::new(),
    };
    let answer = generated::DocumentAnswer { document: document.to_vec() };
    if writer.send_document(&answer).await.is_err() || writer.finish().await.is_err() {
        log::debug!("document wasn't delivered");
    }
}
