//! Serves callers: routes and forwards their requests and returns the responses.

mod ends;
mod repeated;

use std::sync::{Arc, Mutex};

use cornelridge_fleet::call_load;
use cornelridge_fleet::config;
use cornelridge_fleet::first_request;
use cornelridge_fleet::link;
use cornelridge_fleet::room;
use cornelridge_fleet::route_usage;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::headers;
use futures_lite::stream;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body;
use xxhash_rust::xxh3;

use crate::adapter;
use crate::clock;
use crate::failure::{FailureCause, RequestFailure, RunState};
use crate::forward;
use crate::http_server;
use crate::in_flight;
use crate::memory;
use crate::meter;
use crate::pacing;
use crate::request;
use crate::response;
use crate::segments;
use crate::shutdown;
use crate::usage_watch;
use crate::view;
use crate::view::lock;
use ends::{EndRecorder, record_end};

/// Retry delay for the caller of a request that wasn't run if nothing is known of when there will
/// be room.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(150);
/// Time after the deadline at which a request without a response fails.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(300);

/// Handles the requests of callers.
pub(crate) struct CallerIngress {
    pub(crate) service: Arc<str>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) forwarder: Arc<forward::RequestForwarder>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
    pub(crate) in_flight: in_flight::InFlightCounter,
    pub(crate) shutdown_deadline: shutdown::ShutdownDeadline,
    pub(crate) pacer: Arc<pacing::ResponsePacer>,
    /// Times at which callers were told to return.
    pub(crate) return_times: Mutex<room::ReturnTimes>,
    /// Requests that were refused and may come again.
    pub(crate) first_requests: Mutex<first_request::FirstRequests>,
    /// How the requests of callers ended.
    pub(crate) ends: usage_watch::SharedEnds,
}

impl CallerIngress {
    /// Handles one request.
    pub(crate) async fn handle(
        &self,
        memory: &memory::MemoryHolder,
        http: Request<body::Incoming>,
    ) -> Response<http_server::ServerBody> {
        let arrived = clock::now();
        let in_flight = self.in_flight.enter();
        let id: Arc<str> = header_text(http.headers(), &self.format.headers().request_id).into();
        let ends = Arc::clone(&self.ends);
        let mut guard =
            AbandonGuard { request: id, route: Arc::from(""), arrived, is_answered: false, ends };
        let (mut target, mut deadline) = (time::Instant(u64::MAX), time::Instant(u64::MAX));
        let result = match self.read_request(arrived, memory, http, &mut guard.route).await {
            Ok((mut request, max_attempts)) => {
                (target, deadline) = (request.target, request.deadline);
                let _running = memory.run();
                self.restore_target(&mut request);
                let return_at = self.check_early(&mut request);
                let result = self.forward(&request, max_attempts).await;
                self.record_call(&request, &result);
                let result =
                    result.map_err(|failure| self.with_return_time(&request, return_at, failure));
                self.record_refused(&request, &result);
                result
            }
            Err(failure) => Err(failure),
        };
        guard.is_answered = true;
        let (id, route) = (&guard.request, &guard.route);
        let now = clock::now();
        let time = now.since(arrived);
        match result {
            Ok(response) => {
                meter::count_response(route, response.status, time);
                if response.status.is_server_error() {
                    log::info!(
                        request:% = id, route:% = route, status = response.status.as_u16(),
                        time_us = time.0; "the worker responded with a server error"
                    );
                }
                if now > target {
                    log::info!(
                        request:% = id, route:% = route, time_us = time.0,
                        late_us = now.since(target).0, spent_us = response.spent.0,
                        running = response.load.running, queued = response.load.queued,
                        slots = response.load.slots; "response misses its target"
                    );
                }
                let recorder = EndRecorder {
                    ends: Arc::clone(&self.ends),
                    route: Arc::clone(route),
                    arrived,
                    started: now,
                    target,
                    is_success: !response.status.is_server_error(),
                    is_complete: false,
                };
                let response = self.pace(response, route, target, deadline);
                build_response(response, recorder, in_flight, memory)
            }
            Err(failure) => {
                meter::count_response(route, failure.status(), time);
                meter::count_failure(route, &failure);
                let end = match failure.state {
                    RunState::NotRun => route_usage::RequestEnd::Refused,
                    RunState::Unknown => route_usage::RequestEnd::Failed,
                };
                record_end(&self.ends, route, end, time, time::Duration::ZERO);
                log::info!(
                    request:% = id, route:% = route, cause:% = failure.cause,
                    state:? = failure.state, status = failure.status().as_u16(), time_us = time.0,
                    config = self.view.config().map_or(0, |config| config.config.version);
                    "request failed"
                );
                failure_response(&failure)
            }
        }
    }

    async fn forward(
        &self,
        request: &request::FleetRequest,
        max_attempts: u32,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let forwarded = self.forwarder.forward(request, max_attempts);
        let late = || Err(RequestFailure::unknown(FailureCause::DeadlinePassed));
        clock::timeout_at(request.deadline + RESPONSE_GRACE, forwarded).await.unwrap_or_else(late)
    }

    fn shares_room(&self) -> bool {
        self.forwarder.dispatch.local_worker.shares_room
    }

    /// Records whether a call of the worker beside the node was served.
    fn record_call(
        &self,
        request: &request::FleetRequest,
        result: &Result<response::WorkerResponse, RequestFailure>,
    ) {
        let Some(parent_route) = &request.parent_route else { return };
        let (outcome, name) = match result {
            Ok(_) => (call_load::CallOutcome::Served, "served"),
            Err(failure) if shows_lack_of_room(request, failure) => {
                let wait = failure.retry_after.unwrap_or(RETRY_AFTER);
                (call_load::CallOutcome::Refused(wait), "refused")
            }
            // Whether the callee has room isn't known.
            Err(_) => return,
        };
        meter::count_worker_call(parent_route, &request.route, name);
        self.forwarder.dispatch.local_worker.record_call(parent_route, &request.route, outcome);
    }

    /// Marks a request that comes before the time that its caller was told; returns that time.
    fn check_early(&self, request: &mut request::FleetRequest) -> Option<time::Instant> {
        if request.is_call || !self.shares_room() {
            return None;
        }
        let now = clock::now();
        let early_by = lock(&self.return_times).early_by(now, work_identity(request))?;
        request.is_early = true;
        meter::count_early_return(&request.route);
        Some(now + early_by)
    }

    /// Sets the time after which the caller of a request that wasn't run may return: no later than
    /// is of use to it. A caller that returned too early is told its time again.
    fn with_return_time(
        &self,
        request: &request::FleetRequest,
        return_at: Option<time::Instant>,
        failure: RequestFailure,
    ) -> RequestFailure {
        let is_final =
            failure.state != RunState::NotRun || failure.cause == FailureCause::CrashesWorkers;
        if is_final || !self.shares_room() {
            return failure;
        }
        let now = clock::now();
        let is_for_room =
            matches!(failure.cause, FailureCause::Overloaded | FailureCause::WorkerFull);
        let known = failure.retry_after.unwrap_or(RETRY_AFTER);
        let wait = match return_at {
            Some(at) if is_for_room => lock(&self.return_times).repeat(at.since(now), known),
            _ => known,
        };
        let wait = wait.min(room::longest_wait(request.deadline.since(now)));
        if is_for_room && return_at.is_none() && !request.is_call {
            lock(&self.return_times).record(now, work_identity(request), now + wait);
        }
        failure.with_retry_after(wait)
    }

    /// Starts the pacing of a response, which limits a large one to the rate of the link.
    fn pace(
        &self,
        response: response::WorkerResponse,
        route: &Arc<str>,
        target: time::Instant,
        deadline: time::Instant,
    ) -> PacedResponse {
        let bytes = response.body.buffered_bytes();
        let pacing = self.pacer.start(route, link::LargeResponse { bytes, target, deadline });
        PacedResponse { response, pacing }
    }

    /// Finds the route of a request and reads its body.
    async fn read_request(
        &self,
        arrived: time::Instant,
        memory: &memory::MemoryHolder,
        http: Request<body::Incoming>,
        name: &mut Arc<str>,
    ) -> Result<(request::FleetRequest, u32), RequestFailure> {
        let (mut parts, incoming) = http.into_parts();
        let names = self.format.headers();
        let no_config = RequestFailure::not_run(FailureCause::NoConfiguration);
        let active = self.view.config().ok_or(no_config)?;
        let host: Arc<str> = match parts.uri.host() {
            Some(host) => host.into(),
            None => header_text(&parts.headers, &header::HOST).into(),
        };
        let route = active.routes.find(&host, parts.uri.path());
        let route = route.ok_or(RequestFailure::not_run(FailureCause::NoRoute))?;
        *name = Arc::clone(&route.name);
        let service = self.forwarder.next_service(route);
        let service = service.ok_or(RequestFailure::not_run(FailureCause::NoWorker))?;
        let key = match active.config.is_divided(&service) {
            true => Some(read_key(&parts.headers, &names.key)?),
            false => None,
        };
        let allowed = header_text(&parts.headers, &names.deadline).parse::<u64>().ok();
        let allowed = allowed.map_or(route.timeout, time::Duration::from_millis);
        let target = arrived + route.target;
        let deadline = arrived + time::Duration(allowed.0.min(route.timeout.0));
        self.shutdown_deadline.check(deadline)?;
        let body = read_body(incoming, active.config.limits.body_bytes, deadline, memory).await?;
        let path: Arc<str> = match parts.uri.path_and_query() {
            Some(path) => path.as_str().into(),
            None => parts.uri.path().into(),
        };
        headers::strip_hop_by_hop(&mut parts.headers);
        let id: Arc<str> = header_text(&parts.headers, &names.request_id).into();
        let parent = self.format.parent_of(&id);
        let local_worker = &self.forwarder.dispatch.local_worker;
        let parent = parent.and_then(|parent| local_worker.running_request(parent));
        // A request fails with its calls, so a call is as urgent as the request that made it.
        let urgency = parent.as_ref().filter(|_| self.shares_room()).map(|(_, urgency)| *urgency);
        let priority = urgency.map_or(route.priority, |urgency| route.priority.min(urgency));
        let parent_route = parent.map(|(route, _)| route);
        let request = request::FleetRequest {
            id,
            route: Arc::clone(&route.name),
            service,
            caller_service: Arc::clone(&self.service),
            host: Arc::clone(&host),
            fingerprint: fingerprint(&parts.method, &host, &path, &body),
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            memory: memory.clone(),
            key,
            arrived,
            target: deadline.min(target),
            first_target: deadline.min(target),
            caller_deadline: arrived + allowed,
            deadline,
            is_idempotent: route.retry == config::RetryRule::Idempotent,
            is_bulk: route.is_bulk,
            is_local: true,
            priority,
            is_call: parent_route.is_some(),
            parent_route,
            is_early: false,
        };
        Ok((request, route.max_attempts))
    }
}

/// A response with its pacing.
struct PacedResponse {
    response: response::WorkerResponse,
    pacing: pacing::ResponsePacing,
}

/// Records that the caller left when dropped before its request has a response.
struct AbandonGuard {
    request: Arc<str>,
    /// Empty until the route is known.
    route: Arc<str>,
    arrived: time::Instant,
    is_answered: bool,
    ends: usage_watch::SharedEnds,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        meter::count_caller_left(&self.route);
        let (end, waiting) = (route_usage::RequestEnd::Left, clock::now().since(self.arrived));
        record_end(&self.ends, &self.route, end, waiting, time::Duration::ZERO);
        log::info!(
            request:% = self.request, route:% = self.route,
            time_us = clock::now().since(self.arrived).0; "the caller left before its response"
        );
    }
}

fn read_key(headers: &HeaderMap, name: &http::HeaderName) -> Result<u16, RequestFailure> {
    let key = header_text(headers, name).parse();
    key.map_err(|_| RequestFailure::not_run(FailureCause::BadRequest))
}

async fn read_body(
    incoming: body::Incoming,
    limit: usize,
    deadline: time::Instant,
    memory: &memory::MemoryHolder,
) -> Result<segments::SegmentedBody, RequestFailure> {
    if body::Body::is_end_stream(&incoming) {
        return Ok(segments::SegmentedBody::default());
    }
    let read = async {
        let body = segments::read(incoming, limit, memory).await;
        body.map_err(|error| {
            RequestFailure::not_run(match error {
                segments::ReadError::TooLarge => FailureCause::TooLarge,
                segments::ReadError::Malformed => FailureCause::BadRequest,
                segments::ReadError::NoMemory => FailureCause::Overloaded,
            })
        })
    };
    let late = || Err(RequestFailure::not_run(FailureCause::DeadlinePassed));
    clock::timeout_at(deadline, read).await.unwrap_or_else(late)
}

/// Returns the hash that identifies requests for the same work.
///
/// The caller isn't part of the hash: no header identifies callers, and the same work crashes a
/// worker for every caller.
fn fingerprint(
    method: &Method,
    host: &str,
    path: &str,
    body: &segments::SegmentedBody,
) -> quarantine::RequestFingerprint {
    let parts = [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes()];
    let seed = parts.iter().fold(0, |seed, part| xxh3::xxh3_64_with_seed(part, seed));
    let mut hash = xxh3::Xxh3::with_seed(seed);
    body.iter().for_each(|segment| hash.update(segment));
    quarantine::RequestFingerprint(hash.digest())
}

/// Returns whether a failure shows that the callee has no room or is gone. For a key, only one
/// worker is asked, which may be lost while the others serve their keys.
fn shows_lack_of_room(request: &request::FleetRequest, failure: &RequestFailure) -> bool {
    match failure.cause {
        FailureCause::Overloaded | FailureCause::WorkerFull => failure.state == RunState::NotRun,
        FailureCause::Suspect | FailureCause::CrashesWorkers => false,
        _ => request.key.is_none() && failure.status() == http::StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the hash by which a request is recognized when its caller returns. Unlike the
/// fingerprint it includes the key, which distinguishes the work of callers.
fn work_identity(request: &request::FleetRequest) -> u64 {
    match request.key {
        Some(key) => xxh3::xxh3_64_with_seed(&key.to_be_bytes(), request.fingerprint.0),
        None => request.fingerprint.0,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn build_response(
    paced: PacedResponse,
    mut recorder: EndRecorder,
    in_flight: in_flight::InFlightGuard,
    memory: &memory::MemoryHolder,
) -> Response<http_server::ServerBody> {
    let PacedResponse { response, pacing } = paced;
    let response::WorkerResponse { status, headers, body, .. } = response;
    let body = match body.is_complete() && !pacing.is_large() {
        true => {
            recorder.is_complete = true;
            http_server::segmented_body(body.into_buffered())
        }
        false => stream_body(body, pacing, recorder, in_flight, memory.clone()),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Streams a body in chunks. After an error the connection closes without the end of the message,
/// so that the caller sees the body as incomplete.
fn stream_body(
    body: response::ResponseBody,
    pacing: pacing::ResponsePacing,
    recorder: EndRecorder,
    in_flight: in_flight::InFlightGuard,
    memory: memory::MemoryHolder,
) -> http_server::ServerBody {
    let state = Some((body, pacing, recorder, in_flight, memory));
    let frames = stream::unfold(state, |state| async {
        let (mut body, mut pacing, mut recorder, in_flight, memory) = state?;
        // The caller isn't expected to make progress until data is available and released.
        let running = memory.run();
        let bytes = match pacing.is_large() {
            true => pacing.chunk_bytes(),
            false => segments::MAX_FRAME_BYTES,
        };
        match body.next_chunk(bytes).await {
            Ok(Some(data)) => {
                pacing.wait_for_release(data.len()).await;
                drop(running);
                // The server doesn't ask for more than the stated length.
                recorder.is_complete = body.is_finished();
                let state = Some((body, pacing, recorder, in_flight, memory));
                Some((Ok(body::Frame::data(data)), state))
            }
            Ok(None) => {
                recorder.is_complete = true;
                None
            }
            Err(error) => {
                log::info!(error:% = error; "response to a caller was cut off");
                Some((Err(error), None))
            }
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(Box::pin(frames)))
}

fn failure_response(failure: &RequestFailure) -> Response<http_server::ServerBody> {
    let outcome = match failure.state {
        RunState::NotRun => "not-run",
        RunState::Unknown => "unknown",
    };
    let text = serde_json::json!({ "error": failure.cause.to_string(), "outcome": outcome });
    let mut response = http_server::plain(failure.status(), text.to_string());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if failure.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        let seconds = failure.retry_after.unwrap_or(RETRY_AFTER).as_secs_f64();
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
