//! Serves HTTP/1.1 on one address.

use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use cornelridge_model::time;
use cornelridge_wire::watched;
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

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Body of an answer.
pub(crate) type ServerBody = UnsyncBoxBody<Bytes, response::BodyError>;

/// What a connection may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Most bytes in a header.
    pub(crate) header_bytes: usize,
    /// Time in which the next request must have arrived with its whole header.
    pub(crate) idle_timeout: time::Duration,
}

/// An answer with a short text.
pub(crate) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ServerBody> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    response
}

/// A body that is there as a whole.
pub(crate) fn whole(data: Bytes) -> ServerBody {
    Full::new(data).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Accepts connections until `stop` is cancelled. After `closing` each one ends with its answer.
/// `sent` counts the bytes that leave.
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
                log::warn!(error:% = error; "no connection accepted; raise the limit of open files");
                clock::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "connection lost at once");
            continue;
        }
        let watched = watched::watch(stream, Arc::clone(&sent));
        let handler = Arc::clone(&handler);
        smol::spawn(serve_connection(watched, peer, limits(), closing.clone(), handler)).detach();
    }
}

async fn serve_connection<H, F>(
    (stream, watch): (watched::WatchedStream, watched::CloseWatch),
    peer: net::SocketAddr,
    limits: ServerLimits,
    closing: CancellationToken,
    handler: Arc<H>,
) where
    H: Fn(net::SocketAddr, Request<body::Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ServerBody>> + Send + 'static,
{
    let service = service::service_fn(move |request| {
        // A task of its own: `hyper` reads from the socket whenever its connection is polled, which
        // must not happen at each step of a request. Dropping the task breaks the request off.
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
    let left = async {
        watch.closed().await;
        log::debug!(peer:% = peer; "the peer closed its connection before all answers");
    };
    future::or(served, left).await;
}

/// Serves a connection to its end. After `closing` it ends with the answers that are due.
async fn run_connection<S>(
    connection: http1::Connection<FuturesIo<watched::WatchedStream>, S>,
    peer: net::SocketAddr,
    closing: CancellationToken,
) where
    S: service::HttpService<body::Incoming, ResBody = ServerBody, Error = Infallible>,
{
    let mut connection = std::pin::pin!(connection);
    let ended = async {
        if let Err(error) = connection.as_mut().await {
            log::debug!(peer:% = peer, error:% = error; "connection ended");
        }
        true
    };
    // A connection that is made while the server closes serves one request; `hyper` would close it
    // now, if that request hasn't been read yet.
    let is_last = closing.is_cancelled();
    let closed = async {
        if is_last {
            return future::pending().await;
        }
        closing.cancelled().await;
        false
    };
    if future::or(ended, closed).await {
        return;
    }
    // Requests in flight still get their answers.
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!(peer:% = peer, error:% = error; "connection ended");
    }
}
