//! HTTP/1.1 server for one address.

use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use cornelridge_model::time;
use cornelridge_wire::close_watch;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::response;

/// Pause after a failed accept, which is most often due to a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Body of a response.
pub(crate) type ServerBody = UnsyncBoxBody<Bytes, response::BodyError>;

/// Limits for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Largest size of the header section, in bytes.
    pub(crate) header_bytes: usize,
    /// Time within which the header section of the next request must be received.
    pub(crate) idle_timeout: time::Duration,
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
    handler: H,
) where
    H: Fn(net::SocketAddr, Request<body::Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ServerBody>> + Send + 'static,
{
    let handler = Arc::new(handler);
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
        let watched = close_watch::watch(stream, Arc::clone(&sent));
        let handler = Arc::clone(&handler);
        smol::spawn(serve_connection(watched, peer, limits(), closing.clone(), handler)).detach();
    }
}

async fn serve_connection<H, F>(
    (stream, watch): (close_watch::WatchedStream, close_watch::CloseWatch),
    peer: net::SocketAddr,
    limits: ServerLimits,
    closing: CancellationToken,
    handler: Arc<H>,
) where
    H: Fn(net::SocketAddr, Request<body::Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ServerBody>> + Send + 'static,
{
    let service = service::service_fn(move |request| {
        // The handler runs in a separate task, because `hyper` reads from the socket whenever its
        // connection is polled, which must not happen at each wakeup of a request. Dropping the
        // task cancels the request.
        let task = smol::spawn(handler(peer, request));
        async move { Ok::<_, Infallible>(task.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout.to_std())
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(!closing.is_cancelled());
    let connection = builder.serve_connection(FuturesIo::new(stream), service);
    let served = run_connection(connection, peer, closing);
    let peer_closed = async {
        watch.closed().await;
        log::debug!(peer:% = peer; "the peer closed its connection before all responses were sent");
    };
    future::or(served, peer_closed).await;
}

/// Serves a connection to its end. After `closing` is cancelled, it ends once the pending responses
/// are sent.
async fn run_connection<S>(
    connection: http1::Connection<FuturesIo<close_watch::WatchedStream>, S>,
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
