//! The upstream beside the node: its announcements, connections and health checks.

use std::net;
use std::sync;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::time;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body;
use hyper::client::conn::http1;
use serde::{Deserialize, Serialize};
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::body as node_body;
use crate::executor::NodeExecutor;

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;
/// Interval between health checks of the upstream.
pub(crate) const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Timeout of a health check.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Consecutive failed checks after which the upstream counts as lost.
pub(crate) const MAX_FAILED_CHECKS: u32 = 2;
/// Time without an announcement, three missed ones, after which the upstream counts as lost.
pub(crate) const ANNOUNCEMENT_TIMEOUT: time::Duration = time::Duration::from_millis(3_500);
/// Duration above which a check was delayed by this process and says nothing about the upstream.
pub(crate) const CHECK_STALL_THRESHOLD: time::Duration = time::Duration::from_millis(1_000);
/// Timeout for connecting to the upstream.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// An upstream's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamAnnouncement {
    /// Class that the upstream serves.
    pub(crate) class: Arc<str>,
    /// Address at which the upstream accepts HTTP/1.1.
    pub(crate) address: net::SocketAddr,
    /// Requests that the upstream can run concurrently.
    pub(crate) slots: u32,
    /// Connections that the upstream accepts.
    pub(crate) connections: u32,
    /// Whether the upstream checks fence tokens.
    #[serde(default)]
    pub(crate) checks_fences: bool,
    /// Whether the upstream is about to shut down.
    #[serde(default)]
    pub(crate) leaving: bool,
}

impl UpstreamAnnouncement {
    /// Parses and validates an announcement.
    pub(crate) fn parse(data: &[u8]) -> Result<UpstreamAnnouncement, AnnouncementError> {
        let announcement: UpstreamAnnouncement = serde_json::from_slice(data)
            .map_err(|error| AnnouncementError::Format { detail: error.to_string() })?;
        if announcement.slots == 0 || announcement.slots > 10_000 {
            return Err(AnnouncementError::Slots { slots: announcement.slots });
        }
        if announcement.connections == 0 || announcement.connections > 100_000 {
            let connections = announcement.connections;
            return Err(AnnouncementError::Connections { connections });
        }
        if announcement.class.is_empty() {
            return Err(AnnouncementError::Class);
        }
        Ok(announcement)
    }
}

/// Error for an invalid announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AnnouncementError {
    /// The body isn't the expected JSON.
    #[error("announcement is not valid JSON: {detail}; see docs/operators.md for the fields")]
    Format {
        /// Error of the parser.
        detail: String,
    },
    /// The number of slots is out of range.
    #[error("announcement has {slots} slots: use 1 to 10000")]
    Slots {
        /// The value as given.
        slots: u32,
    },
    /// The number of connections is out of range.
    #[error("announcement has {connections} connections: use 1 to 100000")]
    Connections {
        /// The value as given.
        connections: u32,
    },
    /// The class is empty.
    #[error("announcement has no class: name the class that the upstream serves")]
    Class,
}

/// Failure to send a request to the upstream or to receive its response.
#[derive(Clone, Debug, Error)]
#[error("upstream {address}: {detail}")]
pub(crate) struct DispatchError {
    /// Address of the upstream.
    pub(crate) address: net::SocketAddr,
    /// Description of the error.
    pub(crate) detail: String,
    /// Whether no byte of the request can have reached the upstream.
    pub(crate) not_sent: bool,
}

/// A connection to the upstream, taken from the pool for one request.
pub(crate) struct UpstreamConnection {
    sender: http1::SendRequest<node_body::HttpBody>,
}

/// Pool of idle connections to one upstream address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<http1::SendRequest<node_body::HttpBody>>>,
    max_idle: usize,
}

impl ConnectionPool {
    /// Creates an empty pool that keeps at most `max_idle` connections.
    pub(crate) fn new(address: net::SocketAddr, max_idle: u32) -> ConnectionPool {
        ConnectionPool { address, idle: sync::Mutex::default(), max_idle: max_idle as usize }
    }

    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    fn take_idle(&self) -> Option<http1::SendRequest<node_body::HttpBody>> {
        let mut idle = self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn release(&self, connection: UpstreamConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if idle.len() < self.max_idle {
            idle.push(connection.sender);
        }
    }

    /// Takes an idle connection or opens a new one.
    pub(crate) async fn acquire(
        &self,
        executor: &NodeExecutor,
    ) -> Result<UpstreamConnection, DispatchError> {
        if let Some(sender) = self.take_idle() {
            return Ok(UpstreamConnection { sender });
        }
        let sender = connect(self.address, executor).await.map_err(|detail| self.error(detail))?;
        Ok(UpstreamConnection { sender })
    }

    /// Sends a request and waits for the head of the response. Dropping the future closes the
    /// connection.
    pub(crate) async fn send(
        &self,
        connection: &mut UpstreamConnection,
        request: Request<node_body::HttpBody>,
    ) -> Result<Response<body::Incoming>, DispatchError> {
        connection.sender.try_send_request(request).await.map_err(|mut error| {
            let not_sent = error.take_message().is_some();
            let detail = error.into_error().to_string();
            DispatchError { address: self.address, detail, not_sent }
        })
    }

    fn error(&self, detail: String) -> DispatchError {
        DispatchError { address: self.address, detail, not_sent: true }
    }
}

async fn connect<B>(
    address: net::SocketAddr,
    executor: &NodeExecutor,
) -> Result<http1::SendRequest<B>, String>
where
    B: body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let attempt = async {
        let stream =
            smol::net::TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        http1::handshake(FuturesIo::new(stream)).await.map_err(|error| error.to_string())
    };
    let timeout = async {
        smol::Timer::after(CONNECT_TIMEOUT.to_std()).await;
        Err("no connection within 500 ms".to_owned())
    };
    let (sender, connection) = attempt.or(timeout).await?;
    executor.spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to upstream {address} ended: {error}");
        }
    });
    Ok(sender)
}

/// Returns whether an address accepts connections. A timeout counts as `true`; only an error to
/// connect counts as `false`.
pub(crate) async fn accepts_connections(address: net::SocketAddr) -> bool {
    let attempt = async { smol::net::TcpStream::connect(address).await.is_ok() };
    let timeout = async {
        smol::Timer::after(CHECK_TIMEOUT.to_std()).await;
        true
    };
    attempt.or(timeout).await
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// The upstream responded; the status of the response isn't used.
    Responsive,
    /// The upstream accepts no connection or closed it: its process has ended.
    Refused,
    /// The upstream didn't respond in time; its process may be suspended or slow.
    Silent,
}

/// Runs health checks of an upstream over a kept connection.
#[derive(Debug, Default)]
pub(crate) struct UpstreamChecker {
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl UpstreamChecker {
    /// Runs one check; any HTTP response counts as success.
    pub(crate) async fn check(
        &mut self,
        address: net::SocketAddr,
        executor: &NodeExecutor,
    ) -> CheckResult {
        let attempt = async { self.check_once(address, executor).await };
        let timeout = async {
            smol::Timer::after(CHECK_TIMEOUT.to_std()).await;
            CheckResult::Silent
        };
        let result = attempt.or(timeout).await;
        if result != CheckResult::Responsive {
            self.sender = None;
        }
        result
    }

    async fn check_once(
        &mut self,
        address: net::SocketAddr,
        executor: &NodeExecutor,
    ) -> CheckResult {
        if let Some(mut sender) = self.sender.take().filter(http1::SendRequest::is_ready)
            && check_health(&mut sender, address).await
        {
            self.sender = Some(sender);
            return CheckResult::Responsive;
        }
        // The upstream may have closed the idle connection, so the result of a new one counts.
        let Ok(mut sender) = connect(address, executor).await else { return CheckResult::Refused };
        if !check_health(&mut sender, address).await {
            return CheckResult::Refused;
        }
        self.sender = Some(sender);
        CheckResult::Responsive
    }
}

async fn check_health(
    sender: &mut http1::SendRequest<Empty<Bytes>>,
    address: net::SocketAddr,
) -> bool {
    let request = Request::get(Uri::from_static("/health"))
        .header(http::header::HOST, address.to_string())
        .body(Empty::new());
    let Ok(request) = request else { return false };
    let Ok(response) = sender.send_request(request).await else { return false };
    Limited::new(response.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await.is_ok()
}

/// Reads an announcement from an HTTP request.
pub(crate) async fn read_announcement(
    request: Request<body::Incoming>,
) -> Result<UpstreamAnnouncement, AnnouncementError> {
    let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await;
    let data =
        body.map_err(|error| AnnouncementError::Format { detail: error.to_string() })?.to_bytes();
    UpstreamAnnouncement::parse(&data)
}

/// Creates a response with a short body.
pub(crate) fn plain_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
