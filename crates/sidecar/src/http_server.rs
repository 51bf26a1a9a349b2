//! HTTP/1.1 server for one address.

use std::convert::Infallible;
use std::net;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::task::{Context, Poll};

use bytes::Bytes;
use cornelridge_model::time;
use cornelridge_wire::close_watch;
use futures_lite::future;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tokio_util::sync::CancellationToken;

use crate::bounded;
use crate::clock;
use crate::memory;
use crate::metered;
use crate::response;
use crate::segments;
use crate::view::lock;

/// Pause after a failed accept, which is most often due to a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Smallest size of a header field, in bytes; so many of them fit into a header section.
const MIN_FIELD_BYTES: usize = 4;
/// Bytes read ahead on a connection to detect its end, if the memory of the process is limited.
const READ_AHEAD_BYTES: usize = 8 * 1024;
/// Memory of a request besides its header fields and bodies: the buffers of the server and the
/// kernel, and its tasks.
const REQUEST_BYTES: u64 = 64 * 1024;
/// Memory of a header field: its entry in the map, which has spare room, the allocations of its
/// name and value, and their copies for the worker or the other node.
pub(crate) const FIELD_BYTES: u64 = 400;
/// Time in which a request of a connection that must close may still be refused with a status.
const CLOSE_GRACE: time::Duration = time::Duration::from_millis(50);

/// Body of a response.
pub(crate) type ServerBody = UnsyncBoxBody<Bytes, response::BodyError>;

/// Limits for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Largest size of the header section, in bytes.
    pub(crate) header_bytes: usize,
    /// Time from the first byte of a header section within which it must be complete.
    pub(crate) header_timeout: time::Duration,
    /// Time within which the header section of the next request must be received.
    pub(crate) idle_timeout: time::Duration,
    /// Size of the kernel's buffers if the memory of the process is limited, in bytes.
    pub(crate) buffer_bytes: usize,
}

/// Body of a response that ends its request when it is dropped.
struct GuardedBody {
    body: ServerBody,
    _end: RequestEnd,
}

/// Ends a request when dropped.
struct RequestEnd {
    holder: memory::MemoryHolder,
    _reservation: Option<memory::Reservation>,
}

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.holder.end_request();
    }
}

impl body::Body for GuardedBody {
    type Data = Bytes;
    type Error = response::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, response::BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Returns a response with a short text.
pub(crate) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ServerBody> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns a body with the given data.
pub(crate) fn full_body(data: Bytes) -> ServerBody {
    Full::new(data).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body in segments.
pub(crate) fn segmented_body(body: segments::SegmentedBody) -> ServerBody {
    body.map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns the response to a request for whose header section no memory is available.
fn overloaded() -> Response<ServerBody> {
    let text = r#"{"error":"overloaded","outcome":"not-run"}"#;
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("0.400"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the memory that a request needs for its header section and the buffers around it.
fn request_bytes(request: &Request<body::Incoming>) -> u64 {
    REQUEST_BYTES + request.headers().len() as u64 * FIELD_BYTES
}

/// Accepts connections until `stop` is cancelled.
///
/// After `closing` is cancelled, each connection ends once its responses are sent. `sent` counts
/// the bytes that are sent.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    closing: CancellationToken,
    stop: CancellationToken,
    sent: Arc<AtomicU64>,
    memory: memory::ProcessMemory,
    handler: H,
) where
    H: Fn(memory::MemoryHolder, Request<body::Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ServerBody>> + Send + 'static,
{
    let handler = Arc::new(handler);
    if memory.is_limited()
        && let Err(error) = bounded::limit_kernel_buffers(&listener, limits().buffer_bytes)
    {
        log::warn!(error:% = error; "the kernel's buffers can't be bounded");
    }
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.cancelled().await;
            None
        };
        let (stream, peer) = match future::or(accepted, stopped).await {
            None => return,
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                log::warn!(
                    error:% = error; "accepting a connection failed; check the limit of open files"
                );
                clock::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "accepted connection could not be configured");
            continue;
        }
        let Some(guard) = memory.open_connection().await else {
            log::debug!(peer:% = peer; "connection closed: no descriptor or memory is available");
            continue;
        };
        let (stream, mut watch) = close_watch::watch(stream, Arc::clone(&sent));
        if memory.is_limited() {
            watch = watch.with_read_ahead(READ_AHEAD_BYTES);
        }
        let accepted = AcceptedConnection { stream, watch, peer, guard };
        let handler = Arc::clone(&handler);
        let max_fields = memory.is_limited().then(|| limits().header_bytes / MIN_FIELD_BYTES);
        let served = serve_connection(accepted, limits(), max_fields, closing.clone(), handler);
        smol::spawn(served).detach();
    }
}

/// A connection that was accepted.
struct AcceptedConnection {
    stream: close_watch::WatchedStream,
    watch: close_watch::CloseWatch,
    peer: net::SocketAddr,
    guard: memory::HolderGuard,
}

async fn serve_connection<H, F>(
    accepted: AcceptedConnection,
    limits: ServerLimits,
    max_fields: Option<usize>,
    closing: CancellationToken,
    handler: Arc<H>,
) where
    H: Fn(memory::MemoryHolder, Request<body::Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ServerBody>> + Send + 'static,
{
    let AcceptedConnection { stream, watch, peer, guard } = accepted;
    let holder = &guard.holder;
    let header_memory = metered::HeaderMemory::default();
    let stream = metered::MeteredStream::new(
        stream,
        holder.clone(),
        limits.header_timeout,
        Arc::clone(&header_memory),
        max_fields.is_some(),
    );
    let service = service::service_fn(|request| {
        holder.begin_request();
        drop(lock(&header_memory).take());
        let reservation = holder.try_reserve(request_bytes(&request));
        // The handler runs in a separate task, because `hyper` reads from the socket whenever its
        // connection is polled, which must not happen at each wakeup of a request. Dropping the
        // task cancels the request.
        let task = match reservation {
            Some(_) => Some(smol::spawn(handler(holder.clone(), request))),
            None => {
                holder.record_refused();
                None
            }
        };
        let end = RequestEnd { holder: holder.clone(), _reservation: reservation };
        async move {
            let response = match task {
                Some(task) => task.await,
                None => overloaded(),
            };
            let response = response.map(|body| GuardedBody { body, _end: end }.boxed_unsync());
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout.to_std())
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(!closing.is_cancelled());
    if let Some(max_fields) = max_fields {
        builder.max_headers(max_fields);
    }
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let served = run_connection(connection, peer, closing);
    let peer_closed = async {
        watch.closed().await;
        log::debug!(peer:% = peer; "the peer closed its connection before all responses were sent");
    };
    let told_to_close = async {
        holder.closing().await;
        if holder.is_in_request() {
            // The request may still be refused with a status.
            clock::sleep(CLOSE_GRACE).await;
        }
        log::debug!(peer:% = peer; "connection closed for lack of memory, descriptors or time");
    };
    future::or(future::or(served, peer_closed), told_to_close).await;
}

/// Serves a connection to its end. After `closing` is cancelled, it ends once the pending responses
/// are sent.
async fn run_connection<S>(
    connection: http1::Connection<FuturesIo<metered::MeteredStream>, S>,
    peer: net::SocketAddr,
    closing: CancellationToken,
) where
    S: service::HttpService<body::Incoming, ResBody = ServerBody, Error = Infallible>,
{
    let mut connection = std::pin::pin!(connection);
    let ended = async {
        if let Err(error) = connection.as_mut().await {
            log::debug!(peer:% = peer, error:% = error; "connection failed");
        }
        true
    };
    // A connection that is accepted while the server closes serves one request. A graceful shutdown
    // of `hyper` would close it before that request is read.
    let is_last = closing.is_cancelled();
    let closing_started = async {
        if is_last {
            return future::pending().await;
        }
        closing.cancelled().await;
        false
    };
    if future::or(ended, closing_started).await {
        return;
    }
    // Requests in flight still get their responses.
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!(peer:% = peer, error:% = error; "connection failed");
    }
}
