//! Pool of connections to the worker.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cornelridge_model::time;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body;
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

use crate::bounded;
use crate::clock;
use crate::view::lock;

/// Time limit for connecting on the same machine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time that an idle connection is kept if the worker sends no `keep-alive` timeout. Servers
/// commonly keep idle connections for ten seconds.
const IDLE_LIMIT: time::Duration = time::Duration::from_millis(4_000);
/// Time by which an idle connection is dropped before the worker closes it, so that no request is
/// sent on a connection that is being closed.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// Longest idle time of a connection for a request that isn't idempotent. The longer a connection
/// was idle, the likelier the worker has closed it unnoticed.
const MAX_IDLE_NON_IDEMPOTENT: time::Duration = time::Duration::from_millis(1_500);
/// Time limit for a reused connection to become ready for the next request.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// Time after unexpected data from the worker in which each request that isn't idempotent gets a
/// new connection.
const REUSE_RESTRICTION: time::Duration = time::Duration::from_secs(10);

/// Largest head of a response, in bytes; workers send only a few headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of bytes received before the head of a response is complete, interim responses
/// included. The limit is twice that of the head, because the read that completes the head may
/// contain as much of the body.
const MAX_PRE_BODY_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Largest number of refused requests remembered for a connection; one more closes the connection.
const MAX_REFUSED_REQUESTS: usize = 16;
/// Largest body of a response, in bytes; more than a link of 200 Mbit/s carries in a second.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Number of closed connections whose ends are remembered: more than a worker loses between two
/// reports, unless it closes each connection.
const MAX_CLOSES: usize = 256;

type RequestSender = http1::SendRequest<UnsyncBoxBody<Bytes, Infallible>>;

/// Failure of a request on a connection.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The request wasn't sent.
    NotSent,
    /// The worker may have received the request.
    Broken(String),
}

/// Failure to connect to the worker.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// No process listens at the address.
    #[error("the connection was refused: no process listens")]
    Refused,
    /// The attempt failed for another reason.
    #[error("{0}")]
    Failed(String),
}

/// Connections to one incarnation of the worker.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: net::SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    reuse_restricted_until: Mutex<time::Instant>,
    /// Connections that are open, and when one was closed last.
    lifetimes: Arc<ConnectionLifetimes>,
    /// Whether the kernel's buffers are bounded, because the memory of the process is limited.
    has_small_buffers: bool,
}

/// Lifetimes of the connections to the worker.
#[derive(Debug, Default)]
struct ConnectionLifetimes {
    /// When each of the open connections was opened.
    opened: Mutex<Vec<time::Instant>>,
    /// When connections were closed, by either side; the last `MAX_CLOSES` of them.
    closed: Mutex<VecDeque<time::Instant>>,
}

impl ConnectionLifetimes {
    fn record_opened(&self, at: time::Instant) {
        lock(&self.opened).push(at);
    }

    fn record_closed(&self, opened: time::Instant) {
        let mut all = lock(&self.opened);
        if let Some(index) = all.iter().position(|at| *at == opened) {
            all.swap_remove(index);
        }
        drop(all);
        let mut closed = lock(&self.closed);
        closed.push_back(clock::now());
        if closed.len() > MAX_CLOSES {
            closed.pop_front();
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    since: time::Instant,
    until: time::Instant,
}

/// An open connection.
#[derive(Debug)]
struct WorkerConnection {
    sender: RequestSender,
    /// Limit on the bytes that the worker may send next.
    read_limit: bounded::ReadLimit,
    /// Bytes that were sent to the worker.
    sent: bounded::SentBytes,
    /// Requests that were refused on this connection, which are retried on another one only. If the
    /// worker sent such a refusal twice, it would be taken for the response to the retry.
    refused_requests: Vec<Arc<str>>,
}

/// A connection taken from the pool for one request.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<ConnectionPool>,
    connection: WorkerConnection,
    idle_limit: time::Duration,
    /// Whether the connection has served a request before.
    pub(crate) is_reused: bool,
}

impl ConnectionPool {
    pub(crate) fn new(address: net::SocketAddr, has_small_buffers: bool) -> Arc<ConnectionPool> {
        Arc::new(ConnectionPool {
            address,
            idle: Mutex::default(),
            reuse_restricted_until: Mutex::default(),
            lifetimes: Arc::default(),
            has_small_buffers,
        })
    }

    /// Returns when a connection was closed last; the worker may have ended at that time.
    pub(crate) fn closed_at(&self) -> time::Instant {
        lock(&self.lifetimes.closed).back().copied().unwrap_or_default()
    }

    /// Returns when a connection was closed first after `at`.
    pub(crate) fn first_close_after(&self, at: time::Instant) -> Option<time::Instant> {
        lock(&self.lifetimes.closed).iter().copied().find(|closed| *closed > at)
    }

    /// Returns whether a connection is open that was opened before `at`.
    pub(crate) fn has_open_before(&self, at: time::Instant) -> bool {
        lock(&self.lifetimes.opened).iter().any(|opened| *opened < at)
    }

    /// Returns the idle connection that was used last.
    pub(crate) async fn take_open(self: &Arc<ConnectionPool>) -> Option<PooledConnection> {
        while let Some(mut connection) = self.take_idle("", true) {
            if let Some(Ok(())) = clock::timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Some(self.pooled(connection, true));
            }
        }
        None
    }

    /// Opens a new connection.
    pub(crate) async fn open(self: &Arc<ConnectionPool>) -> Result<PooledConnection, ConnectError> {
        let lifetimes = Arc::clone(&self.lifetimes);
        let connection = connect(self.address, lifetimes, self.has_small_buffers).await?;
        metrics::counter!(crate::meter::WORKER_CONNECTIONS).increment(1);
        Ok(self.pooled(connection, false))
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Restricts the reuse of connections for a time, because the worker sent data that belongs to
    /// no request.
    pub(crate) fn restrict_reuse(&self) {
        *lock(&self.reuse_restricted_until) = clock::now() + REUSE_RESTRICTION;
    }

    /// Returns an idle connection for a request, or a new one.
    pub(crate) async fn take(
        self: &Arc<ConnectionPool>,
        request: &str,
        is_idempotent: bool,
    ) -> Result<PooledConnection, ConnectError> {
        while let Some(mut connection) = self.take_idle(request, is_idempotent) {
            if let Some(Ok(())) = clock::timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Ok(self.pooled(connection, true));
            }
        }
        self.open().await
    }

    fn pooled(
        self: &Arc<ConnectionPool>,
        connection: WorkerConnection,
        is_reused: bool,
    ) -> PooledConnection {
        PooledConnection { pool: Arc::clone(self), connection, idle_limit: IDLE_LIMIT, is_reused }
    }

    /// Returns the idle connection that was used last, unless its reuse is too risky for a request
    /// that isn't idempotent.
    fn take_idle(&self, request: &str, is_idempotent: bool) -> Option<WorkerConnection> {
        let now = clock::now();
        let is_restricted = now < *lock(&self.reuse_restricted_until);
        let mut idle = lock(&self.idle);
        idle.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
        let has_refused = |entry: &IdleConnection| {
            entry.connection.refused_requests.iter().any(|id| **id == *request)
        };
        let index = idle.iter().rposition(|entry| !has_refused(entry))?;
        if !is_idempotent
            && (is_restricted || now.since(idle[index].since) > MAX_IDLE_NON_IDEMPOTENT)
        {
            return None;
        }
        Some(idle.remove(index).connection)
    }
}

impl PooledConnection {
    /// Sends a request and returns the head of the response. Dropping the future closes the
    /// connection.
    pub(crate) async fn send(
        &mut self,
        request: Request<impl body::Body<Data = Bytes, Error = Infallible> + Send + 'static>,
    ) -> Result<Response<body::Incoming>, ExchangeError> {
        self.connection.read_limit.set(MAX_PRE_BODY_BYTES);
        let (sent, sent_before) = (self.connection.sent.clone(), self.connection.sent.count());
        let request = request.map(BodyExt::boxed_unsync);
        let response = self.connection.sender.try_send_request(request).await.map_err(
            // The worker may have closed an idle connection while the request was encoded.
            |mut error| match error.take_message() {
                Some(_) => ExchangeError::NotSent,
                None if sent.seal() == sent_before => ExchangeError::NotSent,
                None => ExchangeError::Broken(error.into_error().to_string()),
            },
        )?;
        self.connection.read_limit.set(MAX_BODY_BYTES);
        self.idle_limit = idle_limit(response.headers());
        Ok(response)
    }

    /// Returns a connection to the pool after a refusal that was read to its end.
    pub(crate) fn put_back_refused(mut self, request: &Arc<str>) {
        if self.connection.refused_requests.len() < MAX_REFUSED_REQUESTS {
            self.connection.refused_requests.push(Arc::clone(request));
            self.put_back();
        }
    }

    /// Returns a connection to the pool after a response that was read to its end.
    pub(crate) fn put_back(self) {
        if self.connection.sender.is_closed() || self.idle_limit == time::Duration::ZERO {
            return;
        }
        let since = clock::now();
        let until = since + self.idle_limit;
        lock(&self.pool.idle).push(IdleConnection { connection: self.connection, since, until });
    }
}

/// Returns the time for which the worker keeps the connection open while idle, less a margin.
fn idle_limit(headers: &HeaderMap) -> time::Duration {
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let mut options = text.split(',');
        options.find_map(|option| option.trim().strip_prefix("timeout=")?.trim().parse().ok())
    });
    match seconds {
        Some(seconds) => time::Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_LIMIT,
    }
}

async fn connect(
    address: net::SocketAddr,
    lifetimes: Arc<ConnectionLifetimes>,
    has_small_buffers: bool,
) -> Result<WorkerConnection, ConnectError> {
    let (read_limit, sent) = (bounded::ReadLimit::default(), bounded::SentBytes::default());
    let attempt = async {
        let stream =
            smol::net::TcpStream::connect(address).await.map_err(|error| match error.kind() {
                std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
                _ => ConnectError::Failed(error.to_string()),
            })?;
        let failed = |reason: String| ConnectError::Failed(reason);
        stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        if has_small_buffers {
            let bounded = bounded::limit_kernel_buffers(&stream, bounded::WORKER_BUFFER_BYTES);
            bounded.map_err(|error| failed(error.to_string()))?;
        }
        let stream = bounded::BoundedStream::new(stream, read_limit.clone(), sent.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(FuturesIo::new(stream));
        handshake.await.map_err(|error| failed(error.to_string()))
    };
    let connected = clock::timeout(CONNECT_TIMEOUT, attempt).await;
    let late = || Err(ConnectError::Failed("connecting timed out".to_owned()));
    let (sender, connection) = connected.unwrap_or_else(late)?;
    let opened = clock::now();
    lifetimes.record_opened(opened);
    smol::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection to the worker failed");
        }
        lifetimes.record_closed(opened);
    })
    .detach();
    Ok(WorkerConnection { sender, read_limit, sent, refused_requests: Vec::new() })
}

/// Returns whether a process listens at the address of the worker; `false` only if the connection
/// is refused.
pub(crate) async fn is_listening(address: net::SocketAddr) -> bool {
    let attempt = smol::net::TcpStream::connect(address);
    match clock::timeout(CONNECT_TIMEOUT, attempt).await {
        Some(Err(error)) => error.kind() != std::io::ErrorKind::ConnectionRefused,
        Some(Ok(_)) | None => true,
    }
}
