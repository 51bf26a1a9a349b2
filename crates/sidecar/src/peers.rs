//! Exchange of requests and notices between nodes.

mod load;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cornelridge_fleet::admission;
use cornelridge_fleet::link;
use cornelridge_fleet::member;
use cornelridge_fleet::peer_pins;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::{codec, generated, headers, suspects, transport};
use futures_lite::future;
use http::StatusCode;

use crate::clock;
use crate::dispatch;
use crate::failure::{FailureCause, RequestFailure};
use crate::feed;
use crate::http_server;
use crate::memory;
use crate::request;
use crate::response;
use crate::segments;
use crate::view;

/// Time limit for a connection to another node and for short replies. A reachable node replies
/// within two round trips.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);
/// Time after the deadline in which another node may still report the outcome of a request.
const PEER_GRACE: time::Duration = time::Duration::from_millis(200);

/// Memory of a stream from another node that isn't read: QUIC keeps up to two and a half times its
/// window of 64 KiB, because small pieces keep the datagrams that they came in, and the decoder a
/// frame.
const STREAM_BYTES: u64 = 224 * 1024;
/// Memory of a request of another node besides its header fields and body.
const REQUEST_BYTES: u64 = 32 * 1024;

/// Sends requests to other nodes and serves the requests of other nodes.
#[derive(Clone)]
pub(crate) struct PeerLinks {
    pub(crate) endpoint: transport::NodeEndpoint,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) pins: Arc<Mutex<peer_pins::PeerPins>>,
    pub(crate) memory: memory::ProcessMemory,
}

/// Route, priority and times by which a large response is scheduled.
struct ResponseSchedule {
    route: Arc<str>,
    priority: u8,
    /// Time after which the response is late but still of use.
    target: time::Instant,
    /// Time after which the response is of no use.
    deadline: time::Instant,
}

/// Reply of another node to a request.
pub(crate) struct PeerResult {
    /// Response of the worker, or the failure.
    pub(crate) result: Result<response::WorkerResponse, RequestFailure>,
    /// Load of the worker, if the reply contains it.
    pub(crate) load: Option<admission::QueueLoad>,
}

impl PeerLinks {
    /// Sends a request to another node and returns its reply.
    pub(crate) async fn call(
        &self,
        member: &member::MemberEntry,
        request: &request::FleetRequest,
        worker: &request::SelectedWorker,
    ) -> PeerResult {
        let exchange = self.exchange(member, request, worker);
        let late = || Err(RequestFailure::unknown(FailureCause::DeadlinePassed));
        let result = clock::timeout_at(request.deadline + PEER_GRACE, exchange).await;
        match result.unwrap_or_else(late) {
            Ok(result) => result,
            Err(failure) => PeerResult { result: Err(failure), load: None },
        }
    }

    /// Opens a stream whose head is sent with the first flush; returns `None` if the node can't be
    /// reached.
    async fn open(
        &self,
        member: &member::MemberEntry,
        kind: generated::stream_head::Kind,
    ) -> Option<(transport::FrameWriter, transport::FrameReader)> {
        let address = member.peer;
        if view::lock(&self.pins).record(clock::now(), address, &member.pin) {
            self.endpoint.remove_peer(address);
        }
        let head = generated::StreamHead { kind: Some(kind) };
        clock::timeout(CONNECT_TIMEOUT, self.endpoint.open_stream_queued(address, &head))
            .await?
            .ok()
    }

    /// Sends a message that consists of a stream head only, and returns the reader of the reply.
    async fn send_query(
        &self,
        member: &member::MemberEntry,
        kind: generated::stream_head::Kind,
    ) -> Option<transport::FrameReader> {
        let (mut writer, reader) = self.open(member, kind).await?;
        writer.finish().await.ok()?;
        Some(reader)
    }

    async fn exchange(
        &self,
        member: &member::MemberEntry,
        request: &request::FleetRequest,
        worker: &request::SelectedWorker,
    ) -> Result<PeerResult, RequestFailure> {
        let kind =
            generated::stream_head::Kind::WorkerRequest(request.to_wire(clock::now(), worker));
        let address = member.peer;
        let Some(reservation) = request.memory.try_reserve(STREAM_BYTES) else {
            return Err(RequestFailure::not_run(FailureCause::Overloaded));
        };
        let opened = clock::timeout_at(request.deadline, self.open(member, kind)).await;
        let unreachable = || RequestFailure::not_run(FailureCause::NodeUnreachable);
        let late = || RequestFailure::not_run(FailureCause::DeadlinePassed);
        let (mut writer, mut reader) = opened.ok_or_else(late)?.ok_or_else(unreachable)?;
        let sent = send_body(&mut writer, &request.body);
        let sent = clock::timeout_at(request.deadline, sent).await;
        let mut refusal = None;
        if !matches!(sent, Some(Ok(()))) {
            let failure = match &sent {
                Some(Err(error)) if !error.may_have_reached_peer() => unreachable(),
                _ => send_failure(&writer, sent.is_none()),
            };
            let reason = match sent {
                Some(Err(ref error)) => error.to_string(),
                _ => "the deadline has passed".to_owned(),
            };
            log::info!(
                request:% = request.id, peer:% = address, reason:% = reason,
                state:? = failure.state;
                "sending a request to another node failed"
            );
            // A node that refuses a request stops its body and says so in its response.
            if matches!(sent, Some(Err(_))) {
                let reply = reader.receive::<generated::ResponseHead>();
                refusal = clock::timeout_at(request.deadline, reply).await;
            }
            if !matches!(refusal, Some(Ok(Some(_)))) {
                return Err(failure);
            }
        }
        let head = match refusal {
            Some(head) => head,
            None => reader.receive::<generated::ResponseHead>().await,
        };
        let kind = match head {
            Ok(head) => head.and_then(|head| head.kind),
            Err(error) => {
                log::info!(
                    request:% = request.id, peer:% = address, error:% = error;
                    "connection to another node lost before its response"
                );
                if !error.may_have_reached_peer() {
                    return Err(unreachable());
                }
                None
            }
        };
        match kind {
            None => Err(RequestFailure::unknown(FailureCause::NodeLost)),
            Some(generated::response_head::Kind::Error(error)) => {
                let load = error.load.as_ref().map(|load| self.read_load(load));
                Ok(PeerResult { result: Err(RequestFailure::from_wire(&error)), load })
            }
            Some(generated::response_head::Kind::Start(start)) => {
                let load = start.load.as_ref().map(|load| self.read_load(load));
                let body = response::PeerBody { reader, _reservation: reservation };
                let response = self.read_response(request, start, body, load).await;
                Ok(PeerResult { result: response, load })
            }
        }
    }

    async fn read_response(
        &self,
        request: &request::FleetRequest,
        start: generated::ResponseStart,
        body: response::PeerBody,
        load: Option<admission::QueueLoad>,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let status = u16::try_from(start.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let status = status.filter(|status| response::is_passed_on(*status));
        let status = status.ok_or(RequestFailure::unknown(FailureCause::WrongAnswer))?;
        let source = response::BodySource::Peer(Box::new(body));
        let mut body = response::ResponseBody::streaming(source, request.deadline + PEER_GRACE);
        if let Err(error) = body.read_ahead(&request.memory).await {
            log::info!(
                request:% = request.id, error:% = error; "response from another node was cut off"
            );
            return Err(RequestFailure::unknown(FailureCause::NodeLost));
        }
        let headers = headers::from_wire(&start.headers);
        let load = load.unwrap_or_default();
        let spent = time::Duration(start.spent_us);
        Ok(response::WorkerResponse { status, headers, body, load, spent })
    }

    /// Opens the feed of another node after `revision`.
    pub(crate) async fn open_feed(
        &self,
        member: &member::MemberEntry,
        revision: u64,
    ) -> Option<transport::FrameReader> {
        let fetch = generated::FeedFetch { revision };
        self.send_query(member, generated::stream_head::Kind::FeedFetch(fetch)).await
    }

    /// Fetches the load of the ranges of another node's worker.
    pub(crate) async fn fetch_load(
        &self,
        member: &member::MemberEntry,
    ) -> Option<generated::LoadAnswer> {
        let kind = generated::stream_head::Kind::LoadFetch(generated::LoadFetch {});
        let mut reader = self.send_query(member, kind).await?;
        clock::timeout(CONNECT_TIMEOUT, reader.receive::<generated::LoadAnswer>()).await?.ok()?
    }

    /// Sends notices of suspect requests to another node. Returns the notices that refute them, or
    /// `None` if the node can't be reached.
    pub(crate) async fn send_suspects(
        &self,
        member: &member::MemberEntry,
        notices: &[quarantine::SuspectNotice],
    ) -> Option<Vec<quarantine::SuspectNotice>> {
        let kind = generated::stream_head::Kind::SuspectNotice(suspects::to_wire(notices));
        let mut reader = self.send_query(member, kind).await?;
        let response = reader.receive::<generated::SuspectNotice>();
        let response = clock::timeout(CONNECT_TIMEOUT, response).await?.ok()??;
        Some(suspects::from_wire(&response))
    }

    /// Serves the requests of other nodes.
    pub(crate) async fn serve(self, dispatch: dispatch::WorkerDispatch) {
        let events = self.endpoint.events();
        while let Ok(event) = events.recv().await {
            let transport::PeerEvent::Stream { head, writer, reader, .. } = event else {
                continue;
            };
            let (links, dispatch) = (self.clone(), dispatch.clone());
            match head.kind {
                Some(generated::stream_head::Kind::WorkerRequest(head)) => {
                    let task = links.serve_request(dispatch, head, writer, reader);
                    smol::spawn(task).detach();
                }
                Some(generated::stream_head::Kind::LoadFetch(_)) => {
                    smol::spawn(send_load(dispatch, writer)).detach();
                }
                Some(generated::stream_head::Kind::FeedFetch(fetch)) => {
                    let (view, local_worker) = (Arc::clone(&links.view), dispatch.local_worker);
                    smol::spawn(feed::serve(view, local_worker, fetch.revision, writer)).detach();
                }
                Some(generated::stream_head::Kind::SuspectNotice(notice)) => {
                    let notices = suspects::from_wire(&notice).into_iter();
                    let tracker = &links.view.suspects;
                    let refutations: Vec<_> =
                        notices.filter_map(|notice| tracker.merge("peer", notice)).collect();
                    smol::spawn(send_refutations(refutations, writer)).detach();
                }
                _ => log::debug!("a peer opened a stream of an unsupported kind"),
            }
        }
    }

    async fn serve_request(
        self,
        dispatch: dispatch::WorkerDispatch,
        head: generated::WorkerRequest,
        mut writer: transport::FrameWriter,
        mut reader: transport::FrameReader,
    ) {
        let route: Arc<str> = head.route.as_str().into();
        let priority = u8::try_from(head.priority).unwrap_or(u8::MAX);
        let now = clock::now();
        let deadline = now + time::Duration(head.deadline_us);
        let target = now + time::Duration(head.target_us);
        let guard = self.memory.open_request();
        let memory = &guard.holder;
        let bytes = request_bytes(&head);
        let reservation = memory.try_reserve(bytes);
        let received = async {
            match reservation {
                Some(_) => receive_request(head, &mut reader, memory).await,
                None => {
                    memory.record_refused();
                    Some(Err(memory::HolderClosed))
                }
            }
        };
        let result = match clock::timeout_at(deadline, received).await.flatten() {
            // If the stream was cut, the sending node doesn't read the reply.
            None => Err(RequestFailure::not_run(FailureCause::DeadlinePassed)),
            Some(Err(memory::HolderClosed)) => {
                Err(RequestFailure::not_run(FailureCause::Overloaded))
            }
            Some(Ok(None)) => Err(RequestFailure::not_run(FailureCause::BadRequest)),
            Some(Ok(Some((request, worker)))) => {
                let _running = memory.run();
                let caller_left = async {
                    writer.delivered().await;
                    Err(RequestFailure::unknown(FailureCause::CallerLeft))
                };
                future::or(dispatch.run(request, worker), caller_left).await
            }
        };
        let received = writer.delivered();
        let reader_gone = async {
            if received.await {
                return future::pending().await;
            }
            Err(response::BodyError { reason: "the other node stopped reading".to_owned() })
        };
        let schedule = ResponseSchedule { route, priority, target, deadline };
        let closing = async {
            memory.closing().await;
            Err(response::BodyError { reason: "its memory is needed for others".to_owned() })
        };
        let reader_gone = future::or(reader_gone, closing);
        let sent = self.send_result(&dispatch, &schedule, result, &mut writer, memory);
        if let Err(error) = future::or(sent, reader_gone).await {
            log::debug!(error:% = error; "response not delivered to another node");
        }
    }

    async fn send_result(
        &self,
        dispatch: &dispatch::WorkerDispatch,
        schedule: &ResponseSchedule,
        result: Result<response::WorkerResponse, RequestFailure>,
        writer: &mut transport::FrameWriter,
        memory: &memory::MemoryHolder,
    ) -> Result<(), response::BodyError> {
        let load = dispatch.local_worker.load_for(&schedule.route, schedule.priority);
        let load = Some(self.load_to_wire(load));
        let (kind, body) = match result {
            Ok(response) => {
                let start = generated::ResponseStart {
                    status: u32::from(response.status.as_u16()),
                    headers: headers::to_wire(&response.headers),
                    load,
                    spent_us: response.spent.0,
                };
                (generated::response_head::Kind::Start(start), Some(response.body))
            }
            Err(failure) => {
                let error = generated::ResponseError { load, ..failure.to_wire() };
                (generated::response_head::Kind::Error(error), None)
            }
        };
        let cut =
            |error: transport::TransportError| response::BodyError { reason: error.to_string() };
        writer.queue(&generated::ResponseHead { kind: Some(kind) }).map_err(cut)?;
        let Some(mut body) = body else { return writer.finish().await.map_err(cut) };
        let bytes = body.buffered_bytes();
        let ResponseSchedule { ref route, target, deadline, .. } = *schedule;
        let response = link::LargeResponse { bytes, target, deadline };
        let mut pacing = dispatch.local_worker.pacer.start(route, response);
        // Dropping the writer before the end resets the stream, so that the other node sees an
        // incomplete body.
        loop {
            // The other node isn't expected to make progress until data is available and released.
            let running = memory.run();
            let Some(data) = body.next_chunk(pacing.chunk_bytes()).await? else { break };
            pacing.wait_for_release(data.len()).await;
            drop(running);
            send_chunks(writer, data).await.map_err(cut)?;
            memory.record_progress();
            if pacing.is_large() {
                writer.flush().await.map_err(cut)?;
            }
        }
        let last = generated::BodyChunk { data: Bytes::new(), last: true };
        writer.queue(&last).map_err(cut)?;
        writer.finish().await.map_err(cut)
    }
}

async fn send_load(dispatch: dispatch::WorkerDispatch, mut writer: transport::FrameWriter) {
    let sent = async {
        writer.queue(&dispatch.local_worker.load_reply())?;
        writer.finish().await
    };
    if let Err(error) = sent.await {
        log::debug!(error:% = error; "loads not delivered to another node");
    }
}

async fn send_refutations(
    refutations: Vec<quarantine::SuspectNotice>,
    mut writer: transport::FrameWriter,
) {
    let sent = async {
        writer.queue(&suspects::to_wire(&refutations))?;
        writer.finish().await
    };
    if let Err(error) = sent.await {
        log::debug!(error:% = error; "refutations not delivered to another node");
    }
}

async fn send_chunks(
    writer: &mut transport::FrameWriter,
    mut data: Bytes,
) -> Result<(), transport::TransportError> {
    while !data.is_empty() {
        let chunk = data.split_to(data.len().min(codec::MAX_CHUNK_BYTES));
        writer.queue(&generated::BodyChunk { data: chunk, last: false })?;
        if !data.is_empty() {
            writer.flush().await?;
        }
    }
    Ok(())
}

async fn send_body(
    writer: &mut transport::FrameWriter,
    body: &segments::SegmentedBody,
) -> Result<(), transport::TransportError> {
    if !body.is_empty() {
        for segment in body.iter() {
            send_chunks(writer, segment.clone()).await?;
            writer.flush().await?;
        }
        writer.queue(&generated::BodyChunk { data: Bytes::new(), last: true })?;
    }
    writer.finish().await
}

/// Returns the failure of a request that wasn't sent completely. The other node runs a request only
/// once it has received all of it.
fn send_failure(writer: &transport::FrameWriter, is_late: bool) -> RequestFailure {
    match (writer.has_unsent(), is_late) {
        (true, true) => RequestFailure::not_run(FailureCause::DeadlinePassed),
        (true, false) => RequestFailure::not_run(FailureCause::NodeUnreachable),
        (false, true) => RequestFailure::unknown(FailureCause::DeadlinePassed),
        (false, false) => RequestFailure::unknown(FailureCause::NodeLost),
    }
}

/// Returns the memory that a request of another node needs for its header section and stream.
fn request_bytes(head: &generated::WorkerRequest) -> u64 {
    let fields = head.headers.len() as u64 * http_server::FIELD_BYTES;
    REQUEST_BYTES + fields + if head.has_body { STREAM_BYTES } else { 0 }
}

type ReceivedRequest = Option<(request::FleetRequest, request::SelectedWorker)>;

/// Receives and decodes a request of another node; returns `None` if its stream was lost.
async fn receive_request(
    head: generated::WorkerRequest,
    reader: &mut transport::FrameReader,
    memory: &memory::MemoryHolder,
) -> Option<Result<ReceivedRequest, memory::HolderClosed>> {
    let body = match head.has_body {
        true => receive_body(reader, memory).await?,
        false => Ok(segments::SegmentedBody::default()),
    };
    let decode = |body| request::FleetRequest::from_wire(clock::now(), head, body, memory.clone());
    Some(body.map(decode))
}

/// Receives the body of a request; it is refused if its memory is needed for others.
async fn receive_body(
    reader: &mut transport::FrameReader,
    memory: &memory::MemoryHolder,
) -> Option<Result<segments::SegmentedBody, memory::HolderClosed>> {
    let mut body = segments::BodyCollector::new(memory.clone(), None);
    loop {
        let chunk = reader.receive::<generated::BodyChunk>().await.ok()??;
        memory.record_progress();
        if let Err(closed) = body.push(chunk.data).await {
            return Some(Err(closed));
        }
        if chunk.last {
            return Some(Ok(body.finish()));
        }
    }
}
