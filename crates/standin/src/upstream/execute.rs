//! Execution of requests on the stand-in upstream.

use std::collections::HashMap;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time;

use bytes::Bytes;
use cornelridge_model::ident;
use futures_lite::{future, stream};
use http::{HeaderMap, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use smol::lock::Semaphore;

use super::{Execution, ExecutionEnd, MAX_EXECUTIONS, UpstreamSettings, UpstreamState, lock};
use crate::host::{AbortedResponse, ResponseBody};
use crate::payload;

type ResponseResult = Result<http::Response<ResponseBody>, AbortedResponse>;

/// Length of the response body, in bytes, when the request states none.
const DEFAULT_LENGTH: u64 = 300;
/// Maximum length of a body sent whole with a `content-length`; longer ones are streamed.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Maximum size of a chunk of a streamed body.
const CHUNK_BYTES: u64 = 32 * 1024;

/// In-memory state of an upstream, from a start to the next crash.
#[derive(Debug)]
pub(super) struct RunMemory {
    slots: Arc<Semaphore>,
    keys: Mutex<HashMap<Arc<str>, KeyMemory>>,
    in_flight: Mutex<u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KeyMemory {
    executed: u64,
    fence: Option<ident::FenceToken>,
}

impl RunMemory {
    pub(super) fn new(settings: &UpstreamSettings) -> RunMemory {
        let slots = Arc::new(Semaphore::new(settings.slots as usize));
        RunMemory { slots, keys: Mutex::default(), in_flight: Mutex::default() }
    }

    /// Records the fence of a request. Returns `false` if a newer fence was seen for the key.
    fn admit_fence(&self, key: &Arc<str>, fence: ident::FenceToken) -> bool {
        let mut keys = lock(&self.keys);
        let memory = keys.entry(Arc::clone(key)).or_default();
        if memory.fence.is_some_and(|seen| fence < seen) {
            return false;
        }
        memory.fence = Some(fence);
        true
    }

    /// Counts an execution of a key and returns the number so far, including this one.
    fn count(&self, key: &Arc<str>) -> u64 {
        let mut keys = lock(&self.keys);
        let memory = keys.entry(Arc::clone(key)).or_default();
        memory.executed += 1;
        memory.executed
    }
}

/// A guard that counts a request as in flight until it is dropped.
struct InFlight(Arc<RunMemory>);

impl InFlight {
    fn new(memory: &Arc<RunMemory>) -> InFlight {
        *lock(&memory.in_flight) += 1;
        InFlight(Arc::clone(memory))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        *lock(&self.0.in_flight) -= 1;
    }
}

/// The record of a running request; dropping it before `finish` marks the request as abandoned.
struct ExecutionRecord {
    state: Arc<UpstreamState>,
    index: Option<usize>,
    end: ExecutionEnd,
}

impl ExecutionRecord {
    fn start(state: &Arc<UpstreamState>, execution: Execution) -> ExecutionRecord {
        lock(&state.counts).executed += 1;
        let mut executions = lock(&state.executions);
        let index = (executions.len() < MAX_EXECUTIONS).then_some(executions.len());
        if index.is_some() {
            executions.push(execution);
        }
        ExecutionRecord { state: Arc::clone(state), index, end: ExecutionEnd::Abandoned }
    }

    fn finish(mut self) {
        self.end = ExecutionEnd::Finished;
    }
}

impl Drop for ExecutionRecord {
    fn drop(&mut self) {
        let mut executions = lock(&self.state.executions);
        let entry = self.index.and_then(|index| executions.get_mut(index));
        let Some(entry) = entry else { return };
        entry.end = self.end;
        entry.ended = Some(time::Instant::now());
    }
}

/// Handles one request.
pub(super) async fn handle(
    state: Arc<UpstreamState>,
    memory: Arc<RunMemory>,
    request: http::Request<Incoming>,
) -> ResponseResult {
    state.wait_while_frozen().await;
    match request.uri().path() {
        "/load" => return load(&state, &memory),
        "/health" => return respond(StatusCode::OK, Bytes::from_static(b"ok")),
        _ => {}
    }
    if lock(&state.faults).sheds_load {
        lock(&state.counts).refused_load += 1;
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "load");
    }
    let _in_flight = InFlight::new(&memory);
    let (head, mut body) = request.into_parts();
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| AbortedResponse)?;
    }
    let _slot = memory.slots.acquire_arc().await;
    state.wait_while_frozen().await;
    let key = text(&head.headers, "cornelridge-key");
    let fence = parsed_fence(&head.headers);
    // A fence is valid for one slice. Without a key, the idempotency key determines the slice;
    // requests of other slices may carry lower fences.
    let fenced_key = key.clone().or_else(|| text(&head.headers, "idempotency-key"));
    let fenced_key = fenced_key.unwrap_or_else(|| Arc::from(""));
    if state.settings.checks_fences
        && let Some(fence) = fence
        && !memory.admit_fence(&fenced_key, fence)
    {
        lock(&state.counts).refused_fence += 1;
        return refuse(StatusCode::PRECONDITION_FAILED, "fence");
    }
    execute(&state, &memory, &head.headers, key, fence).await
}

async fn execute(
    state: &Arc<UpstreamState>,
    memory: &RunMemory,
    headers: &HeaderMap,
    key: Option<Arc<str>>,
    fence: Option<ident::FenceToken>,
) -> ResponseResult {
    let echo = number(headers, payload::ECHO_HEADER);
    let record = ExecutionRecord::start(
        state,
        Execution {
            request_id: text(headers, "cornelridge-request-id"),
            idempotency_key: text(headers, "idempotency-key"),
            key: key.clone(),
            fence,
            echo,
            started: time::Instant::now(),
            ended: None,
            end: ExecutionEnd::Running,
        },
    );
    if headers.contains_key(payload::CRASH_HEADER) {
        state.crash();
        return Err(AbortedResponse);
    }
    let count = key.as_ref().map_or(0, |key| memory.count(key));
    let service_time = number(headers, payload::SERVICE_HEADER)
        .map_or(state.settings.service_time, time::Duration::from_millis);
    let cold_start = if count == 1 { state.settings.cold_start } else { time::Duration::ZERO };
    smol::Timer::after(service_time + cold_start).await;
    state.wait_while_frozen().await;
    let length = number(headers, payload::LENGTH_HEADER).unwrap_or(DEFAULT_LENGTH);
    record.finish();
    let mut response = http::Response::new(body(state, echo.unwrap_or(0), length));
    let answer = response.headers_mut();
    if let Some(echo) = echo {
        answer.insert(payload::ECHO_HEADER, echo.into());
    }
    answer.insert(payload::COUNT_HEADER, count.into());
    answer.insert(payload::LENGTH_HEADER, length.into());
    if let Ok(name) = header::HeaderValue::from_str(&state.settings.name) {
        answer.insert(payload::SERVED_BY_HEADER, name);
    }
    Ok(response)
}

/// Returns a buffered body, or a streamed one if it is long or must be truncated.
fn body(state: &Arc<UpstreamState>, id: u64, length: u64) -> ResponseBody {
    let truncate_after = lock(&state.faults).truncate_after.filter(|bytes| *bytes < length);
    if length <= MAX_BUFFERED_BYTES && truncate_after.is_none() {
        let content = payload::content(id, 0, length as usize);
        return Full::new(content).map_err(AbortedResponse::from).boxed();
    }
    let state = Arc::clone(state);
    let end = truncate_after.unwrap_or(length);
    let chunks = stream::try_unfold(0, move |offset| {
        let state = Arc::clone(&state);
        async move {
            state.wait_while_frozen().await;
            if offset == length {
                return Ok(None);
            }
            if offset == end {
                // The server flushes its buffer only when the body is pending.
                future::yield_now().await;
                return Err(AbortedResponse);
            }
            let size = CHUNK_BYTES.min(end - offset);
            let chunk = Frame::data(payload::content(id, offset, size as usize));
            Ok(Some((chunk, offset + size)))
        }
    });
    StreamBody::new(chunks).boxed()
}

fn load(state: &UpstreamState, memory: &RunMemory) -> ResponseResult {
    let reported = lock(&state.faults).reported_load;
    let in_flight = reported.unwrap_or(*lock(&memory.in_flight));
    let body = serde_json::json!({"in_flight": in_flight, "slots": state.settings.slots});
    respond(StatusCode::OK, Bytes::from(body.to_string()))
}

fn refuse(status: StatusCode, reason: &'static str) -> ResponseResult {
    let mut response = respond(status, Bytes::new())?;
    let reason = header::HeaderValue::from_static(reason);
    response.headers_mut().insert("cornelridge-refused", reason);
    Ok(response)
}

fn respond(status: StatusCode, body: Bytes) -> ResponseResult {
    let mut response = http::Response::new(Full::new(body).map_err(AbortedResponse::from).boxed());
    *response.status_mut() = status;
    Ok(response)
}

fn text(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(Arc::from)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name).and_then(|value| value.to_str().ok()).and_then(|value| value.parse().ok())
}

fn parsed_fence(headers: &HeaderMap) -> Option<ident::FenceToken> {
    let fence = text(headers, "cornelridge-fence")?;
    let (since, position) = fence.split_once('.')?;
    let since = ident::EpochNumber(u64::from_str(since).ok()?);
    Some(ident::FenceToken { since, position: u32::from_str(position).ok()? })
}
