//! At-most-once execution on the request path: the record before dispatch and its end.

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
use crate::tenure;

/// Largest answer body that is kept with its record, in bytes; headers take up the rest.
pub(crate) const MAX_STORED_BODY_BYTES: usize = 14 * 1024;
/// Pause before a replica that didn't answer is asked again.
const COPY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// The record of a request that this node runs; the execution counts as unknown if it is dropped.
pub(crate) struct ExecutionRecord {
    context: Arc<context::NodeContext>,
    id: records::ExecutionId,
    is_open: bool,
}

/// What the record decides.
pub(crate) enum ExecutionStart {
    /// Every replica has the record: the request may be sent.
    Run(ExecutionRecord),
    /// The request was executed before.
    Stored(Box<request::RequestAnswer>),
}

impl ExecutionRecord {
    /// The request wasn't executed.
    pub(crate) fn free(mut self) {
        self.close(outcome::RequestOutcome::NotRun, None);
    }

    /// Whether the request was executed isn't known.
    pub(crate) fn lost(mut self) {
        self.close(outcome::RequestOutcome::Unknown, None);
    }

    /// The upstream answered.
    pub(crate) fn finished(mut self, status: StatusCode, map: &HeaderMap, data: Option<Bytes>) {
        let headers = match &data {
            Some(_) => stored_headers(map),
            None => Vec::new(),
        };
        let body = data.map(|data| data.to_vec());
        let answer = records::StoredResponse { status: status.as_u16(), headers, body };
        self.close(outcome::RequestOutcome::Run, Some(answer));
    }

    fn close(&mut self, result: outcome::RequestOutcome, answer: Option<records::StoredResponse>) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let now = self.context.clock.now();
        let update = self.context.records().finish(now, self.id, result, answer);
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

fn stored_headers(map: &HeaderMap) -> Vec<(Arc<str>, Vec<u8>)> {
    let passed = map.iter().filter(|(name, _)| **name != header::CONTENT_LENGTH);
    passed.map(|(name, value)| (Arc::from(name.as_str()), value.as_bytes().to_vec())).collect()
}

/// Looks for an earlier execution before the request takes a slot.
pub(crate) fn find(
    context: &context::NodeContext,
    head: &request::RequestHead,
    class: &class::ClassConfig,
) -> Result<Option<request::RequestAnswer>, RequestFailure> {
    let now = context.clock.now();
    let hash = head.slice_hash(class);
    let found = context.records().find(now, &head.class, hash, &head.idempotency_key);
    found.map_or(Ok(None), |decision| earlier(decision).map(Some))
}

/// The answer for a request that was executed, or may have been executed, before.
fn earlier(decision: records::RecordDecision) -> Result<request::RequestAnswer, RequestFailure> {
    match decision {
        records::RecordDecision::Stored(answer) => Ok(stored_answer(answer)),
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

fn stored_answer(answer: records::StoredResponse) -> request::RequestAnswer {
    let mut map = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            map.append(name, value);
        }
    }
    headers::set_text(&mut map, headers::OUTCOME, "run");
    let source = match answer.body {
        Some(data) => body::BodySource::Whole(data.into()),
        None => body::BodySource::Empty,
    };
    request::RequestAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers: map,
        body: request::AnswerBody::new(source),
    }
}

/// Makes the record and has it copied to the other members of the chain.
pub(crate) async fn begin(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    ticket: &tenure::TenureTicket,
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
        other => return earlier(other).map(Box::new).map(ExecutionStart::Stored),
    };
    let execution = ExecutionRecord { context: Arc::clone(context), id, is_open: true };
    let record = Arc::new(record);
    let copies = to.into_iter().map(|peer| {
        let record = Arc::clone(&record);
        let copy: CopyFuture<'_> = Box::pin(copy_to(context, head, class, record, peer));
        copy
    });
    let mut progress = records::CopyProgress::Waiting;
    let mut replies = join_all(copies.collect());
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
    execution.free();
    let message = "no replica in another zone acknowledged the record of this request";
    Err(RequestFailure::not_run(FailureKind::RecordsUnavailable, message))
}

type CopyFuture<'a> = std::pin::Pin<Box<dyn Future<Output = records::CopyProgress> + Send + 'a>>;

/// Yields the results of all futures in the order in which they end.
fn join_all<'a>(
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

/// Copies a record to one member until it answers, has expired, or the deadline is close.
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
        if now + COPY_PAUSE >= head.deadline {
            return records::CopyProgress::NoReplica;
        }
        context.sleep(COPY_PAUSE).await;
    }
}
