//! Runs requests on the upstream beside this node: ownership, admission, dispatch, answer.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use cornelridge_model::class;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use futures_lite::FutureExt;
use http::header;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body;

use crate::admission;
use crate::announce;
use crate::body as node_body;
use crate::context;
use crate::execution;
use crate::failure::{FailureKind, RequestFailure};
use crate::headers;
use crate::request;
use crate::tenure;
use crate::upstream;

/// Longest pause between two chunks of a bulk download before it counts as cut.
const BULK_IDLE_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Attempts to send on a pooled connection that the upstream has closed in the meantime.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// Checks this node's right to a request, waits for a slot and sends it to the upstream.
pub(crate) async fn handle(
    context: &Arc<context::NodeContext>,
    head: request::RequestHead,
    source: node_body::BodySource,
) -> Result<request::RequestAnswer, RequestFailure> {
    let classes = context.classes();
    let Some(class) = classes.class(&head.class) else {
        let message = format!("this node doesn't know class {:?}", head.class);
        return Err(RequestFailure::not_run(FailureKind::NotReady, message));
    };
    let late = async {
        context.sleep_until(head.deadline).await;
        Err(())
    };
    let admitted = async { Ok(admit(context, &head, class, &source).await) };
    let Ok(admitted) = admitted.or(late).await else {
        let message = "the deadline passed while the request waited for its upstream";
        return Err(RequestFailure::not_run(FailureKind::DeadlinePassed, message));
    };
    let admitted = match admitted? {
        Admitted::Run(admitted) => admitted,
        Admitted::Stored(answer) => return Ok(*answer),
    };
    dispatch(context, head, class, source, admitted).await
}

/// Everything that a request holds while it runs; dropping a part gives it back.
struct AdmittedRequest {
    tenure: Option<tenure::TenureTicket>,
    slot: admission::SlotPermit,
    execution: Option<execution::ExecutionRecord>,
    upstream: Arc<context::UpstreamLink>,
}

enum Admitted {
    Run(AdmittedRequest),
    Stored(Box<request::RequestAnswer>),
}

async fn admit(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    source: &node_body::BodySource,
) -> Result<Admitted, RequestFailure> {
    if !class.is_sliced() && context.is_draining() {
        let message = "this node or its upstream is leaving";
        return Err(RequestFailure::not_run(FailureKind::Draining, message));
    }
    let tenure = match class.is_sliced() {
        true => Some(tenure::acquire(context, head, class).await?),
        false => None,
    };
    if !class.idempotent
        && let Some(answer) = execution::find(context, head, class)?
    {
        return Ok(Admitted::Stored(Box::new(answer)));
    }
    let fingerprint = quarantine::RequestFingerprint(head.fingerprint(source));
    let upstream = context.upstream(&head.class)?;
    let slot = admission::acquire(context, head, class, fingerprint).await?;
    let execution = match &tenure {
        Some(ticket) if !class.idempotent => {
            match execution::begin(context, head, class, ticket).await? {
                execution::ExecutionStart::Run(record) => Some(record),
                execution::ExecutionStart::Stored(answer) => {
                    slot.release_unused();
                    return Ok(Admitted::Stored(answer));
                }
            }
        }
        _ => None,
    };
    Ok(Admitted::Run(AdmittedRequest { tenure, slot, execution, upstream }))
}

/// Sends the request; from here on the outcome depends on what the upstream may have seen.
async fn dispatch(
    context: &Arc<context::NodeContext>,
    head: request::RequestHead,
    class: &class::ClassConfig,
    source: node_body::BodySource,
    admitted: AdmittedRequest,
) -> Result<request::RequestAnswer, RequestFailure> {
    let pool = &admitted.upstream.pool;
    let mut source = Some(source);
    let mut stale = 0;
    let (connection, response) = loop {
        let connection = pool.connection(&context.executor).await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return Err(refused_by_network(context, admitted, &error)),
        };
        // The check is the last step before the request leaves: a pause before it is noticed.
        if let Some(ticket) = &admitted.tenure
            && !ticket.is_valid()
        {
            let message = "the lease ended before the request was sent";
            return Err(admitted.not_run(FailureKind::LeaseExpired, message));
        }
        let body = source.take().unwrap_or(node_body::BodySource::Empty);
        let copy = body.try_clone();
        let request = match upstream_request(context, &head, &admitted, pool.address(), body) {
            Ok(request) => request,
            Err(message) => return Err(admitted.not_run(FailureKind::BadRequest, message)),
        };
        admitted.slot.dispatched();
        let sent = async { SendEnd::Sent(pool.send(&mut connection, request).await) };
        match sent.or(give_up(context, &admitted, head.deadline)).await {
            SendEnd::Sent(Ok(response)) => break (connection, response),
            SendEnd::Sent(Err(error)) if error.not_sent => {
                stale += 1;
                source = copy;
                if source.is_none() || stale >= MAX_STALE_CONNECTIONS {
                    return Err(refused_by_network(context, admitted, &error));
                }
            }
            SendEnd::Sent(Err(error)) => {
                admitted.slot.broken();
                announce::confirm_crash(context, &admitted.upstream).await;
                let message = error.to_string();
                return Err(admitted.unknown(FailureKind::UpstreamLost, message));
            }
            SendEnd::Cancelled => {
                let message = "this node lost its right to the key while the request ran";
                return Err(admitted.unknown(FailureKind::LeaseExpired, message));
            }
            SendEnd::DeadlinePassed => {
                let message = "the upstream did not answer before the deadline";
                return Err(admitted.unknown(FailureKind::DeadlinePassed, message));
            }
        }
    };
    answer(context, &head, class, admitted, connection, response)
}

/// How the wait for the head of an answer ended.
enum SendEnd {
    Sent(Result<Response<body::Incoming>, upstream::DispatchError>),
    DeadlinePassed,
    Cancelled,
}

async fn give_up(
    context: &context::NodeContext,
    admitted: &AdmittedRequest,
    deadline: time::Instant,
) -> SendEnd {
    let late = async {
        context.sleep_until(deadline).await;
        SendEnd::DeadlinePassed
    };
    match &admitted.tenure {
        Some(ticket) => {
            let cancelled = async {
                ticket.cancelled().cancelled().await;
                SendEnd::Cancelled
            };
            cancelled.or(late).await
        }
        None => late.await,
    }
}

fn refused_by_network(
    context: &context::NodeContext,
    admitted: AdmittedRequest,
    error: &upstream::DispatchError,
) -> RequestFailure {
    context.request_upstream_check();
    admitted.not_run(FailureKind::UpstreamLost, error.to_string())
}

impl AdmittedRequest {
    fn not_run(self, kind: FailureKind, message: impl Into<String>) -> RequestFailure {
        if let Some(execution) = self.execution {
            execution.free();
        }
        self.slot.failed();
        RequestFailure::not_run(kind, message)
    }

    fn unknown(self, kind: FailureKind, message: impl Into<String>) -> RequestFailure {
        if let Some(execution) = self.execution {
            execution.lost();
        }
        self.slot.failed();
        RequestFailure::unknown(kind, message)
    }
}

fn upstream_request(
    context: &context::NodeContext,
    head: &request::RequestHead,
    admitted: &AdmittedRequest,
    address: std::net::SocketAddr,
    body: node_body::BodySource,
) -> Result<Request<node_body::HttpBody>, String> {
    let now = context.clock.now();
    let uri: Uri = head.path.parse().map_err(|_| format!("path {:?} is not valid", head.path))?;
    let mut request = Request::new(node_body::to_http(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    let map = request.headers_mut();
    *map = head.headers.clone();
    headers::set_text(map, header::HOST.as_str(), &address.to_string());
    headers::set_number(map, headers::REQUEST_ID, head.id);
    headers::set_number(map, headers::DEADLINE, head.deadline.since(now).as_millis());
    if let Some(ticket) = &admitted.tenure {
        headers::set_text(map, headers::FENCE, &ticket.fence().to_string());
        headers::set_number(map, headers::LEASE, ticket.valid_until().since(now).as_millis());
    }
    Ok(request)
}

/// Reads the head of the answer; an answer that comes after the lease ended is dropped.
fn answer(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    admitted: AdmittedRequest,
    connection: upstream::UpstreamConnection,
    response: Response<body::Incoming>,
) -> Result<request::RequestAnswer, RequestFailure> {
    if let Some(ticket) = &admitted.tenure
        && !ticket.is_valid()
    {
        let message = "the lease ended before the answer came";
        return Err(admitted.unknown(FailureKind::LeaseExpired, message));
    }
    if let Some(reason) = response.headers().get(headers::REFUSED) {
        let is_load = reason.as_bytes() == b"load";
        if is_load {
            admitted.slot.shed();
        }
        let message = format!("the upstream refused the request: {reason:?}");
        return Err(admitted.not_run(FailureKind::UpstreamRefused, message));
    }
    let (mut parts, incoming) = response.into_parts();
    headers::strip(&mut parts.headers);
    let mut map = parts.headers;
    if let Ok(value) = HeaderValue::from_str(&context.identity.name) {
        map.insert(headers::SERVED_BY, value);
    }
    let stored = admitted.execution.as_ref().map(|_| StoredBody::new(parts.status, map.clone()));
    let completion = AnswerCompletion {
        context: Arc::clone(context),
        admitted: Some(admitted),
        connection: Some(connection),
        stored,
        limit: match class.bulk {
            true => ChunkLimit::Idle(BULK_IDLE_LIMIT),
            false => ChunkLimit::Until(head.deadline),
        },
    };
    let source = node_body::BodySource::Http(incoming);
    let body = request::AnswerBody { source, completion: Some(completion) };
    Ok(request::RequestAnswer { status: parts.status, headers: map, body })
}

/// How long the next chunk of an answer may take.
#[derive(Clone, Copy, Debug)]
enum ChunkLimit {
    Until(time::Instant),
    Idle(time::Duration),
}

/// The part of an answer that is kept with its at-most-once record.
#[derive(Debug)]
struct StoredBody {
    status: StatusCode,
    headers: HeaderMap,
    data: Option<BytesMut>,
}

impl StoredBody {
    fn new(status: StatusCode, headers: HeaderMap) -> StoredBody {
        StoredBody { status, headers, data: Some(BytesMut::new()) }
    }

    fn append(&mut self, chunk: &Bytes) {
        let Some(data) = self.data.as_mut() else { return };
        if data.len() + chunk.len() > execution::MAX_STORED_BODY_BYTES {
            self.data = None;
            return;
        }
        data.extend_from_slice(chunk);
    }
}

/// What ends together with an answer: slot, ownership ticket, record and connection.
pub(crate) struct AnswerCompletion {
    context: Arc<context::NodeContext>,
    admitted: Option<AdmittedRequest>,
    connection: Option<upstream::UpstreamConnection>,
    stored: Option<StoredBody>,
    limit: ChunkLimit,
}

impl AnswerCompletion {
    /// Reads the next chunk within the time that the class allows.
    pub(crate) async fn next_chunk(
        &mut self,
        source: &mut node_body::BodySource,
    ) -> Result<Option<Bytes>, node_body::BodyCutError> {
        let limit = match self.limit {
            ChunkLimit::Until(deadline) => deadline,
            ChunkLimit::Idle(span) => self.context.clock.now() + span,
        };
        let context = Arc::clone(&self.context);
        let late = async {
            context.sleep_until(limit).await;
            Err(node_body::BodyCutError { detail: "the upstream was too slow".to_owned() })
        };
        let next = source.next().or(late).await;
        if let (Ok(Some(chunk)), Some(stored)) = (&next, self.stored.as_mut()) {
            stored.append(chunk);
        }
        next
    }

    /// Gives everything back; a connection is reused only after a whole answer.
    pub(crate) fn finish(mut self, is_whole: bool) {
        let Some(admitted) = self.admitted.take() else { return };
        let AdmittedRequest { slot, execution, upstream, tenure } = admitted;
        if !is_whole {
            self.context.request_upstream_check();
            slot.broken();
            if let Some(record) = execution {
                record.lost();
            }
            return;
        }
        if let Some(connection) = self.connection.take() {
            upstream.pool.put_back(connection);
        }
        slot.finished();
        if let (Some(record), Some(stored)) = (execution, self.stored.take()) {
            let body = stored.data.map(BytesMut::freeze);
            record.finished(stored.status, &stored.headers, body);
        }
        drop(tenure);
    }
}

impl Drop for AnswerCompletion {
    fn drop(&mut self) {
        // The caller left before the end of the answer; the request was executed all the same.
        let Some(admitted) = self.admitted.take() else { return };
        admitted.slot.cancelled();
        if let (Some(record), Some(stored)) = (admitted.execution, self.stored.take()) {
            record.finished(stored.status, &stored.headers, None);
        }
    }
}
