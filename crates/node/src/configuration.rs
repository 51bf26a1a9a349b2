//! Updates the documents of this node from the store or from peers.

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

/// Maximum time of one watch call to the store.
const WATCH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);
/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Interval at which a node that gets documents from peers checks whether it should use the store.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time limit for fetching a document from a peer.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Kind of a document that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentKind {
    Classes,
    Assignment,
}

impl DocumentKind {
    /// Returns the document's key in the store.
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

/// Decides, for each document, which versions are accepted.
#[derive(Debug, Default)]
pub(crate) struct DocumentAcceptors {
    classes: acceptance::DocumentAcceptor,
    assignment: acceptance::DocumentAcceptor,
}

impl DocumentAcceptors {
    fn acceptor(&mut self, kind: DocumentKind) -> &mut acceptance::DocumentAcceptor {
        match kind {
            DocumentKind::Classes => &mut self.classes,
            DocumentKind::Assignment => &mut self.assignment,
        }
    }

    /// Returns whether the store has responded since the process started.
    pub(crate) fn has_seen_store(&self) -> bool {
        self.classes.has_seen_store()
    }
}

/// Follows a document: watches or polls the store, or relies on peers, depending on whether this
/// node is a relay.
pub(crate) async fn follow(context: Arc<context::NodeContext>, kind: DocumentKind) {
    let key = kind.store_key(&context.identity.region);
    let mut last_revision = store::StoreRevision(0);
    loop {
        match store_access(&context) {
            relay::StoreAccess::Watch => {
                context.meter.count_store_call();
                match context.store.watch(&key, last_revision, WATCH_TIMEOUT).await {
                    Ok(store::WatchEvent::Changed(value)) => {
                        last_revision = value.revision;
                        offer_stored(&context, kind, value);
                    }
                    Ok(store::WatchEvent::Unchanged) => record_store_response(&context, kind),
                    Err(error) => delay_after_failure(&context, &error).await,
                }
            }
            relay::StoreAccess::Poll { after } => {
                context.meter.count_store_call();
                match context.store.get(&key).await {
                    Ok(Some(value)) => {
                        last_revision = value.revision;
                        offer_stored(&context, kind, value);
                    }
                    Ok(None) => record_store_response(&context, kind),
                    Err(error) => delay_after_failure(&context, &error).await,
                }
                context.sleep(after).await;
            }
            relay::StoreAccess::Peers => context.sleep(ROLE_CHECK_INTERVAL).await,
        }
    }
}

async fn delay_after_failure(context: &context::NodeContext, error: &store::StoreError) {
    log::warn!("configuration store request failed: {error}");
    context.sleep(STORE_RETRY_DELAY).await;
}

fn record_store_response(context: &context::NodeContext, kind: DocumentKind) {
    context.acceptors().acceptor(kind).record_store_response();
}

fn store_access(context: &context::NodeContext) -> relay::StoreAccess {
    let now = context.clock.now();
    let members = relay_candidates(context);
    let last_peer_message = context.documents.last_peer_message();
    let own = context.identity.incarnation;
    relay::store_access(now, own, &members, last_peer_message, &mut context.random())
}

/// Returns the members with their liveness, for the selection of relays.
fn relay_candidates(context: &context::NodeContext) -> Vec<relay::RelayCandidate> {
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

/// Returns whether this node watches the store and may become the planner.
pub(crate) fn is_relay(context: &context::NodeContext) -> bool {
    let members = relay_candidates(context);
    members.is_empty() || relay::select_relays(&members).contains(&context.identity.incarnation)
}

fn offer_stored(context: &Arc<context::NodeContext>, kind: DocumentKind, value: store::StoreValue) {
    offer(context, kind, value.value, acceptance::DocumentSource::Store);
}

/// Puts a document in force if it is valid and its version is higher than the one in force.
pub(crate) fn offer(
    context: &Arc<context::NodeContext>,
    kind: DocumentKind,
    bytes: Bytes,
    source: acceptance::DocumentSource,
) {
    match kind {
        DocumentKind::Classes => offer_classes(context, bytes, source),
        DocumentKind::Assignment => offer_assignment(context, bytes, source),
    }
}

fn offer_classes(
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
    let result = context.acceptors().classes.offer(now, source, bytes.len(), &candidate);
    if !is_accepted("class configuration", &result) {
        return;
    }
    let Ok(document) = decoded else { return };
    log::info!("class configuration revision {} in force", document.revision);
    if context.documents.replace_classes(Arc::new(document), bytes) {
        serving::sync_records(context);
    }
}

fn offer_assignment(
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
    let result = context.acceptors().assignment.offer(now, source, bytes.len(), &candidate);
    if !is_accepted("assignment", &result) {
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
            context.workers.update_members(now, &context.identity.zone, &document, &classes);
            context.documents.replace_assignment(document, bytes);
            serving::apply(context, actions);
            if context.any_upstream().is_none() && drain::owned_slices(context) > 0 {
                // The planner assigned slices to this node before it knew that the upstream is
                // lost.
                serving::release(context);
            }
            serving::watch_predecessors(context);
            serving::sync_records(context);
        }
        Err(error) => log::error!("assignment not adopted: {error}"),
    }
}

fn is_accepted(name: &str, result: &acceptance::OfferResult) -> bool {
    match result {
        acceptance::OfferResult::Accepted => true,
        acceptance::OfferResult::Current | acceptance::OfferResult::Older => false,
        acceptance::OfferResult::Rejected(error) => {
            log::error!("{name} rejected; the previous version stays in force: {error}");
            false
        }
    }
}

/// Records a version that a peer has and pulls the document if the version is higher.
pub(crate) fn on_peer_version(
    context: &Arc<context::NodeContext>,
    peer: ident::IncarnationId,
    kind: DocumentKind,
    version: u64,
) {
    let now = context.clock.now();
    let chosen = {
        let mut acceptors = context.acceptors();
        let acceptor = acceptors.acceptor(kind);
        acceptor.record_peer_version(now, peer, version);
        acceptor.next_pull(now)
    };
    let Some(from) = chosen else { return };
    let node = Arc::clone(context);
    context.executor.spawn(async move {
        let fetched = fetch(&node, from, kind);
        let timeout = async {
            node.sleep(PULL_TIMEOUT).await;
            None
        };
        let source = acceptance::DocumentSource::Peer(from);
        match fetched.or(timeout).await {
            Some(bytes) => offer(&node, kind, bytes, source),
            None => node.acceptors().acceptor(kind).record_pull_failure(node.clock.now(), from),
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

/// Sends the document in force to a peer that fetches it.
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
        log::debug!("document could not be sent to a peer");
    }
}
