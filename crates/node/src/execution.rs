//! At-most-once execution: creates the record of a request before dispatch and closes it at the
//! end.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::outcome;
use cornelridge_model::time;
use cornelridge_records as records;
use futures_lite::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::body;
use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::headers;
use crate::replication;
use crate::request;
use crate::ticket;

/// Largest response body stored with its record, in bytes; the rest of the space of a stored
/// response is for its headers.
pub(crate) const MAX_STORED_BODY_BYTES: usize = 14 * 1024;
/// Delay before a record is sent again to a replica that didn't respond.
const COPY_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// The record of a request that this node runs. If it is dropped while open, the outcome of the
/// execution is recorded as unknown.
pub(crate) struct ExecutionRecord {
    context: Arc<context::NodeContext>,
    id: records::ExecutionId,
    is_open: bool,
}

/// Whether a request is executed or gets the response of an earlier execution.
pub(crate) enum ExecutionStart {
    /// Every replica has the record, so the request may be sent.
    Run(ExecutionRecord),
    /// The request was executed before.
    Stored(Box<request::UpstreamResponse>),
}

impl ExecutionRecord {
    /// Records that the request wasn't executed.
    pub(crate) fn record_not_run(mut self) {
        self.close(outcome::RequestOutcome::NotRun, None);
    }

    /// Records that it is unknown whether the request was executed.
    pub(crate) fn record_unknown(mut self) {
        self.close(outcome::RequestOutcome::Unknown, None);
    }

    /// Records the response of the upstream; `data` is `None` if its body isn't stored.
    pub(crate) fn record_response(
        mut self,
        status: StatusCode,
        map: &HeaderMap,
        data: Option<Bytes>,
    ) {
        let headers = match &data {
            Some(_) => headers_to_store(map),
            None => Vec::new(),
        };
        let body = data.map(|data| data.to_vec());
        let response = records::StoredResponse { status: status.as_u16(), headers, body };
        self.close(outcome::RequestOutcome::Run, Some(response));
    }

    fn close(
        &mut self,
        result: outcome::RequestOutcome,
        response: Option<records::StoredResponse>,
    ) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let now = self.context.clock.now();
        let update = self.context.records().finish(now, self.id, result, response);
        if let Some(update) = update {
            replication::send_update(&self.context, update);
        }
    }
}

impl Drop for ExecutionRecord {
    fn drop(&mut self) {
        self.close(outcome::RequestOutcome::Unknown, None);
    }
}

fn headers_to_store(map: &HeaderMap) -> Vec<(Arc<str>, Vec<u8>)> {
    let kept = map.iter().filter(|(name, _)| **name != header::CONTENT_LENGTH);
    kept.map(|(name, value)| (Arc::from(name.as_str()), value.as_bytes().to_vec())).collect()
}

/// Returns the response of an earlier execution; called before the request takes a slot.
///
/// Fails if an earlier execution hasn't ended or its outcome is unknown.
pub(crate) fn find_earlier(
    context: &context::NodeContext,
    head: &request::RequestHead,
    class: &class::ClassConfig,
) -> Result<Option<request::UpstreamResponse>, RequestFailure> {
    let now = context.clock.now();
    let hash = head.slice_hash(class);
    let found = context.records().find(now, &head.class, hash, &head.idempotency_key);
    found.map_or(Ok(None), |decision| earlier_response(decision).map(Some))
}

/// Returns the response or failure for a request that was, or may have been, executed before.
fn earlier_response(
    decision: records::RecordDecision,
) -> Result<request::UpstreamResponse, RequestFailure> {
    match decision {
        records::RecordDecision::Stored(response) => Ok(stored_response(response)),
        records::RecordDecision::InFlight => {
            let message = "the first request with this idempotency key has not ended";
            Err(RequestFailure::unknown(FailureKind::InFlight, message))
        }
        records::RecordDecision::Unknown => {
            let message = "an earlier request with this idempotency key may have been executed";
            Err(RequestFailure::unknown(FailureKind::ExecutionUnknown, message))
        }
        records::RecordDecision::Refused(reason) => {
            let message = reason.to_string();
            Err(RequestFailure::not_run(FailureKind::RecordsUnavailable, message))
        }
        records::RecordDecision::Replicate { .. } => {
            let message = "an execution was started twice";
            Err(RequestFailure::not_run(FailureKind::RecordsUnavailable, message))
        }
    }
}

fn stored_response(response: records::StoredResponse) -> request::UpstreamResponse {
    let mut map = HeaderMap::new();
    for (name, value) in &response.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            map.append(name, value);
        }
    }
    headers::set_text(&mut map, headers::OUTCOME, "run");
    let source = match response.body {
        Some(data) => body::BodySource::Buffered(data.into()),
        None => body::BodySource::Empty,
    };
    request::UpstreamResponse {
        status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
        headers: map,
        body: request::ResponseBody::new(source),
    }
}

/// Creates the record and replicates it to the other members of the chain.
pub(crate) async fn begin(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    ticket: &ticket::SliceTicket,
) -> Result<ExecutionStart, RequestFailure> {
    let hash = head.slice_hash(class);
    let id = records::ExecutionId(context.random_u64());
    let request = records::RecordRequest {
        class: Arc::clone(&head.class),
        hash,
        idempotency_key: Arc::clone(&head.idempotency_key),
        execution: id,
        window: records::record_window(class),
        peers: replication::copy_peers(context, &head.class, hash),
    };
    let decision = context.records().begin(context.clock.now(), &request);
    let (record, to) = match decision {
        records::RecordDecision::Replicate { record, to } => (record, to),
        other => return earlier_response(other).map(Box::new).map(ExecutionStart::Stored),
    };
    let execution = ExecutionRecord { context: Arc::clone(context), id, is_open: true };
    let record = Arc::new(record);
    let copies = to.into_iter().map(|peer| {
        let record = Arc::clone(&record);
        let copy: CopyFuture<'_> = Box::pin(copy_to(context, head, class, record, peer));
        copy
    });
    let mut progress = records::CopyProgress::Waiting;
    let mut replies = in_completion_order(copies.collect());
    while let Some(reply) = replies.next().await {
        progress = reply;
        if progress != records::CopyProgress::Waiting {
            break;
        }
    }
    drop(replies);
    if progress == records::CopyProgress::Dispatch && ticket.is_valid() {
        return Ok(ExecutionStart::Run(execution));
    }
    execution.record_not_run();
    let message = "no replica in another zone acknowledged the record of this request";
    Err(RequestFailure::not_run(FailureKind::RecordsUnavailable, message))
}

type CopyFuture<'a> = std::pin::Pin<Box<dyn Future<Output = records::CopyProgress> + Send + 'a>>;

/// Returns a stream of the results of all futures in the order in which they complete.
fn in_completion_order<'a>(
    mut pending: Vec<CopyFuture<'a>>,
) -> impl StreamExt<Item = records::CopyProgress> + Unpin + 'a {
    stream::poll_fn(move |cx| {
        if pending.is_empty() {
            return std::task::Poll::Ready(None);
        }
        for index in 0..pending.len() {
            if let std::task::Poll::Ready(result) = pending[index].as_mut().poll(cx) {
                drop(pending.swap_remove(index));
                return std::task::Poll::Ready(Some(result));
            }
        }
        std::task::Poll::Pending
    })
}

/// Sends a record to one member until the member responds, has expired and is no longer in the
/// route, or the deadline is close.
async fn copy_to(
    context: &context::NodeContext,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    record: Arc<records::Record>,
    peer: ident::IncarnationId,
) -> records::CopyProgress {
    loop {
        let reply = replication::send_copy(context, &record, peer).await;
        let now = context.clock.now();
        match reply {
            Some(true) => return context.records().acknowledge_copy(now, record.execution, peer),
            Some(false) => return records::CopyProgress::NoReplica,
            None => {}
        }
        let hash = head.slice_hash(class);
        if !context.route(&head.class, hash).contains(&peer) {
            return context.records().waive_copy(now, record.execution, peer);
        }
        if now + COPY_RETRY_DELAY >= head.deadline {
            return records::CopyProgress::NoReplica;
        }
        context.sleep(COPY_RETRY_DELAY).await;
    }
}
