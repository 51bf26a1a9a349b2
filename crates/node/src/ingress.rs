//! HTTP server for callers: validates requests, forwards them and streams the responses back.

use std::collections::VecDeque;
use std::convert;
use std::net;
use std::sync::Arc;
use std::sync::atomic;

use bytes::Bytes;
use cornelridge_model::class;
use cornelridge_model::time;
use cornelridge_wire::close_watch;
use futures_lite::{FutureExt, future};
use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::{self, Body};
use hyper::service;
use hyper_util::server::conn::auto;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::body as node_body;
use crate::body::BodyChunks as _;
use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::forward;
use crate::headers;
use crate::meter;
use crate::request;

/// Largest header block of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Timeout for receiving the headers of a request.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Largest body that is read before the request is forwarded, so that it can be retried, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Part of a response body that is read before its head is sent to the caller, in bytes.
const MAX_PREFETCHED_BYTES: usize = 64 * 1024;
/// Concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 256;
/// Delay after a failed accept, most often due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts connections of callers until the node closes its listeners.
pub(crate) async fn serve(context: Arc<context::NodeContext>, listener: TcpListener) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            context.closing.cancelled().await;
            None
        };
        let (stream, peer) = match accepted.or(closed).await {
            None => return,
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                log::warn!("can't accept a caller: {error}; raise the limit of open files");
                smol::Timer::after(ACCEPT_RETRY_DELAY.to_std()).await;
                continue;
            }
        };
        let Some(permit) = context.caller_connections.try_acquire(context.max_caller_connections)
        else {
            log::warn!(
                "caller {peer} refused: {} connections are open",
                context.max_caller_connections
            );
            continue;
        };
        let task = serve_connection(Arc::clone(&context), stream, peer);
        context.executor.spawn(async move {
            task.await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    context: Arc<context::NodeContext>,
    stream: TcpStream,
    peer: net::SocketAddr,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut builder = auto::Builder::new(context.executor.clone());
    builder
        .http1()
        .timer(SmolTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT.to_std())
        .max_buf_size(MAX_HEADER_BYTES);
    builder
        .http2()
        .timer(SmolTimer::new())
        .max_header_list_size(MAX_HEADER_BYTES as u32)
        .max_concurrent_streams(MAX_HTTP2_STREAMS);
    let closing = context.closing.clone();
    let has_request = Arc::new(atomic::AtomicBool::new(false));
    let no_request = first_request_timeout(Arc::clone(&context), Arc::clone(&has_request));
    let service = service::service_fn(move |request| {
        has_request.store(true, atomic::Ordering::Relaxed);
        let context = Arc::clone(&context);
        // In a separate task, because hyper tries to read from the socket whenever its connection
        // is polled, and this must not happen at each step of a request.
        let task = smol::spawn(async move { handle(&context, peer, request).await });
        async move { Ok::<_, convert::Infallible>(task.await) }
    });
    let (stream, watch) = close_watch::watch(stream, Arc::default());
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let is_closing = async {
        closing.cancelled().await;
        false
    };
    let served = async {
        let ended = async {
            if let Err(error) = connection.as_mut().await {
                log::debug!("connection of caller {peer} ended: {error}");
            }
            true
        };
        if ended.or(no_request).or(is_closing).await {
            return;
        }
        // Requests in flight still get their responses; the connection closes after them.
        connection.as_mut().graceful_shutdown();
        if let Err(error) = connection.await {
            log::debug!("connection of caller {peer} ended: {error}");
        }
    };
    let disconnected = async {
        watch.closed().await;
        log::debug!("caller {peer} closed its connection before all responses were sent");
    };
    served.or(disconnected).await;
}

/// Completes when no request has begun within [`HEADER_READ_TIMEOUT`]. The timeout of `hyper`
/// starts only after the HTTP version is known, so it doesn't cover a caller that sends nothing.
async fn first_request_timeout(
    context: Arc<context::NodeContext>,
    has_request: Arc<atomic::AtomicBool>,
) -> bool {
    context.sleep(HEADER_READ_TIMEOUT).await;
    if has_request.load(atomic::Ordering::Relaxed) {
        return future::pending().await;
    }
    true
}

async fn handle(
    context: &Arc<context::NodeContext>,
    peer: net::SocketAddr,
    request: Request<body::Incoming>,
) -> Response<node_body::HttpBody> {
    let started = context.clock.now();
    let in_flight = context.requests.enter();
    let mut class = Arc::from("");
    let result = match read_request(context, peer, request).await {
        Ok((head, source)) => {
            class = Arc::clone(&head.class);
            forward::forward(context, head, source).await
        }
        Err(failure) => Err(failure),
    };
    let meter = context.meter.start_request(class, started);
    match result {
        Ok(upstream_response) => {
            let mut body = MeteredBody::new(upstream_response.body, meter, in_flight);
            body.prefetch().await;
            if let Some(failure) = body.take_failure() {
                return failure_response(&failure);
            }
            let mut response = Response::new(node_body::to_http(body));
            *response.status_mut() = upstream_response.status;
            *response.headers_mut() = upstream_response.headers;
            response
        }
        Err(failure) => {
            meter.count_failed(&failure);
            failure_response(&failure)
        }
    }
}

fn failure_response(failure: &RequestFailure) -> Response<node_body::HttpBody> {
    let source = node_body::BodySource::Buffered(Bytes::from(failure.to_json()));
    let mut response = Response::new(node_body::to_http(source));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers::set_text(headers, headers::OUTCOME, &failure.result.to_string());
    response
}

/// Validates a request and reads its body if it is small.
async fn read_request(
    context: &context::NodeContext,
    peer: net::SocketAddr,
    request: Request<body::Incoming>,
) -> Result<(request::RequestHead, node_body::BodySource), RequestFailure> {
    let (mut parts, incoming) = request.into_parts();
    let (class_name, path) = split_path(parts.uri.path(), parts.uri.query())?;
    let classes = context.classes();
    let Some(class) = classes.class(class_name) else {
        return Err(unknown_class(class_name, &classes));
    };
    let key = bounded_header(&parts.headers, headers::KEY)?;
    if class.division == class::KeyDivision::ByKey && key.is_empty() {
        let message = format!("class {class_name} is divided by key and the request has none");
        return Err(RequestFailure::not_run(FailureKind::MissingKey, message));
    }
    let idempotency_key = match class.idempotent {
        true => "",
        false => bounded_header(&parts.headers, headers::IDEMPOTENCY_KEY)?,
    };
    if !class.idempotent && idempotency_key.is_empty() {
        let message = format!("class {class_name} is non-idempotent and the request has no key");
        return Err(RequestFailure::not_run(FailureKind::MissingIdempotencyKey, message));
    }
    let caller = match bounded_header(&parts.headers, headers::CALLER)? {
        "" => peer.ip().to_string(),
        name => name.to_owned(),
    };
    let deadline = context.clock.now() + deadline(&parts.headers, class)?;
    let key = Bytes::copy_from_slice(key.as_bytes());
    let idempotency_key = Arc::from(idempotency_key);
    headers::strip(&mut parts.headers);
    let head = request::RequestHead {
        id: context.random_u64(),
        class: Arc::clone(&class.name),
        method: parts.method,
        path,
        key,
        idempotency_key,
        caller: caller.into(),
        headers: parts.headers,
        deadline,
        attempt: 0,
    };
    let source = read_body(context, incoming, deadline).await?;
    Ok((head, source))
}

fn unknown_class(name: &str, classes: &class::ClassDocument) -> RequestFailure {
    if classes.revision.0 == 0 {
        let message = "this node has no configuration yet";
        return RequestFailure::not_run(FailureKind::NotReady, message);
    }
    let message = format!("class {name:?} does not exist");
    RequestFailure::not_run(FailureKind::UnknownClass, message)
}

async fn read_body(
    context: &context::NodeContext,
    incoming: body::Incoming,
    deadline: time::Instant,
) -> Result<node_body::BodySource, RequestFailure> {
    if incoming.is_end_stream() {
        return Ok(node_body::BodySource::Empty);
    }
    let lower = incoming.size_hint().lower();
    if lower > MAX_BUFFERED_BODY_BYTES as u64 {
        return Ok(node_body::BodySource::Http(incoming));
    }
    let read = async {
        node_body::buffer_up_to(incoming, MAX_BUFFERED_BODY_BYTES)
            .await
            .map_err(|error| RequestFailure::not_run(FailureKind::BadRequest, error.to_string()))
    };
    let timeout = async {
        context.sleep_until(deadline).await;
        let message = "the body did not arrive before the deadline";
        Err(RequestFailure::not_run(FailureKind::DeadlinePassed, message))
    };
    read.or(timeout).await
}

/// Splits a path into the name of the class and the path for the upstream.
fn split_path<'a>(path: &'a str, query: Option<&str>) -> Result<(&'a str, String), RequestFailure> {
    let rest = path.strip_prefix('/').unwrap_or(path);
    let (class_name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    if path.len() > request::MAX_PATH_BYTES {
        let message = "path is longer than 8 KiB";
        return Err(RequestFailure::not_run(FailureKind::BadRequest, message));
    }
    Ok((class_name, path))
}

fn bounded_header<'a>(map: &'a HeaderMap, name: &str) -> Result<&'a str, RequestFailure> {
    let Some(value) = map.get(name) else { return Ok("") };
    let text = value.to_str().ok().filter(|text| text.len() <= request::MAX_KEY_BYTES);
    text.ok_or_else(|| {
        let message = format!("header {name} is longer than 256 bytes or not visible ASCII");
        RequestFailure::not_run(FailureKind::BadRequest, message)
    })
}

fn deadline(map: &HeaderMap, class: &class::ClassConfig) -> Result<time::Duration, RequestFailure> {
    let Some(value) = map.get(headers::DEADLINE) else { return Ok(class.deadline()) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if (1..=class::MAX_DEADLINE_MS).contains(&millis) => {
            Ok(time::Duration::from_millis(millis))
        }
        _ => {
            let message = "header cornelridge-deadline-ms must be a number from 1 to 3600000";
            Err(RequestFailure::not_run(FailureKind::BadRequest, message))
        }
    }
}

/// A response body that counts its request as in flight until it was read completely or dropped.
struct MeteredBody {
    body: request::ResponseBody,
    /// Chunks that were available together with the head of the response.
    prefetched: VecDeque<Bytes>,
    /// How the body ended, if its end was available, too.
    end: Option<Result<(), node_body::BodyError>>,
    meter: Option<meter::RequestMeter>,
    _in_flight: context::InFlightGuard,
}

impl MeteredBody {
    fn new(
        body: request::ResponseBody,
        meter: meter::RequestMeter,
        in_flight: context::InFlightGuard,
    ) -> MeteredBody {
        let prefetched = VecDeque::new();
        MeteredBody { body, prefetched, end: None, meter: Some(meter), _in_flight: in_flight }
    }

    /// Reads the part of the body that is available without waiting.
    async fn prefetch(&mut self) {
        let mut size = 0;
        while size < MAX_PREFETCHED_BYTES && self.end.is_none() {
            match future::poll_once(self.body.next_chunk()).await {
                Some(Ok(Some(data))) => {
                    size += data.len();
                    self.prefetched.push_back(data);
                }
                Some(Ok(None)) => self.end = Some(Ok(())),
                Some(Err(error)) => self.end = Some(Err(error)),
                None => return,
            }
        }
    }

    /// Returns the failure to send in place of a response that is known to be incomplete before its
    /// head is sent.
    fn take_failure(&mut self) -> Option<RequestFailure> {
        let Some(Err(error)) = &self.end else { return None };
        let failure = RequestFailure::unknown(FailureKind::UpstreamLost, error.to_string());
        if let Some(meter) = self.meter.take() {
            meter.count_failed(&failure);
        }
        Some(failure)
    }

    async fn next_or_prefetched(&mut self) -> Result<Option<Bytes>, node_body::BodyError> {
        if let Some(data) = self.prefetched.pop_front() {
            return Ok(Some(data));
        }
        match &self.end {
            Some(end) => end.clone().map(|()| None),
            None => self.body.next_chunk().await,
        }
    }
}

impl node_body::BodyChunks for MeteredBody {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, node_body::BodyError> {
        let next = self.next_or_prefetched().await;
        match &next {
            Ok(Some(_)) => {}
            Ok(None) => {
                if let Some(meter) = self.meter.take() {
                    meter.count_answered();
                }
            }
            Err(error) => {
                if let Some(meter) = self.meter.take() {
                    meter.count_cut(error);
                }
                // Lets hyper flush its buffer first. With an immediate error, the caller would get
                // no byte of the response, not even its head.
                future::yield_now().await;
            }
        }
        next
    }
}
