//! Pool of connections to the store, which are reused between calls.

use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::body;
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

use crate::api::StoreError;

/// Maximum number of idle connections: one for calls, one for a watch, and two in reserve.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Longest time without a byte of a response whose body has begun. A large value takes longer than
/// a call over a slow link, so that its time isn't limited while it arrives.
const BODY_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Maximum size of a response header, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Request to the store.
pub type StoreRequest = http::Request<Full<Bytes>>;
/// Response of the store.
pub type StoreResponse = http::Response<Bytes>;
type Sender = http1::SendRequest<Full<Bytes>>;

/// A failed exchange.
enum ExchangeError {
    /// Nothing was sent; contains the request, to be sent again, and the reason.
    NotSent(Box<StoreRequest>, String),
    Failed(StoreError),
}

/// A call in progress.
struct PendingCall {
    /// Whether the request was sent.
    is_sent: AtomicBool,
    /// When the call fails unless more of its response arrives.
    deadline: Mutex<time::Instant>,
}

impl PendingCall {
    fn new(timeout: time::Duration) -> PendingCall {
        let deadline = Mutex::new(time::Instant::now() + timeout);
        PendingCall { is_sent: AtomicBool::new(false), deadline }
    }

    /// Records that a part of the response has arrived.
    fn record_progress(&self) {
        let mut deadline = lock(&self.deadline);
        *deadline = (*deadline).max(time::Instant::now() + BODY_STALL_TIMEOUT);
    }

    /// Waits until the deadline has passed.
    async fn expire(&self) {
        loop {
            let deadline = *lock(&self.deadline);
            smol::Timer::at(deadline).await;
            if *lock(&self.deadline) <= deadline {
                return;
            }
        }
    }
}

/// Sends requests over pooled connections.
#[derive(Debug)]
pub struct ConnectionPool {
    address: net::SocketAddr,
    /// Maximum length of a response body, in bytes.
    max_body_bytes: usize,
    idle: Mutex<Vec<Sender>>,
}

impl ConnectionPool {
    /// Creates a pool without connections, which accepts bodies of at most `max_body_bytes`.
    pub fn new(address: net::SocketAddr, max_body_bytes: usize) -> ConnectionPool {
        ConnectionPool { address, max_body_bytes, idle: Mutex::default() }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Makes a call; `timeout` is the time until its response begins and the shortest time for the
    /// whole of it. When it expires, the call's connection and all idle ones are closed: they may
    /// be unresponsive for the same reason, and each would make another call time out.
    pub async fn call(
        &self,
        request: StoreRequest,
        timeout: time::Duration,
    ) -> Result<StoreResponse, StoreError> {
        let call = PendingCall::new(timeout);
        let expiry = async {
            call.expire().await;
            self.idle().clear();
            let reason = format!("no complete answer, time limit {} ms", timeout.as_millis());
            if call.is_sent.load(Ordering::Relaxed) {
                return Err(StoreError::ResponseLost { reason });
            }
            Err(StoreError::Unreachable { reason })
        };
        future::or(self.exchange(request, &call), expiry).await
    }

    async fn exchange(
        &self,
        mut request: StoreRequest,
        call: &PendingCall,
    ) -> Result<StoreResponse, StoreError> {
        // The store may have closed an idle connection: try the next one.
        while let Some(sender) = self.take_idle() {
            match self.send(sender, request, call).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::NotSent(unsent, _)) => request = *unsent,
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
        let sender = self.connect().await?;
        self.send(sender, request, call).await.map_err(|error| match error {
            ExchangeError::NotSent(_, reason) => StoreError::Unreachable { reason },
            ExchangeError::Failed(error) => error,
        })
    }

    async fn connect(&self) -> Result<Sender, StoreError> {
        let unreachable = |reason| StoreError::Unreachable { reason };
        let stream = smol::net::TcpStream::connect(self.address)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        // Nagle's algorithm may delay a small request until the previous one is acknowledged.
        stream.set_nodelay(true).map_err(|error| unreachable(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEADER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        smol::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to the store failed");
            }
        })
        .detach();
        Ok(sender)
    }

    async fn send(
        &self,
        mut sender: Sender,
        request: StoreRequest,
        call: &PendingCall,
    ) -> Result<StoreResponse, ExchangeError> {
        if let Err(error) = sender.ready().await {
            return Err(ExchangeError::NotSent(Box::new(request), error.to_string()));
        }
        call.is_sent.store(true, Ordering::Relaxed);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = error.error().to_string();
                let Some(unsent) = error.take_message() else {
                    return Err(response_lost(reason));
                };
                call.is_sent.store(false, Ordering::Relaxed);
                return Err(ExchangeError::NotSent(Box::new(unsent), reason));
            }
        };
        let (parts, body) = response.into_parts();
        let body = self.read_body(body, call).await?;
        self.put_idle(sender);
        Ok(http::Response::from_parts(parts, body))
    }

    async fn read_body(
        &self,
        mut body: body::Incoming,
        call: &PendingCall,
    ) -> Result<Bytes, ExchangeError> {
        let mut data = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| response_lost(error.to_string()))?;
            call.record_progress();
            let Ok(part) = frame.into_data() else { continue };
            if data.len() + part.len() > self.max_body_bytes {
                let limit = self.max_body_bytes;
                return Err(ExchangeError::Failed(StoreError::ResponseTooLong { limit }));
            }
            data.extend_from_slice(&part);
        }
        Ok(data.freeze())
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle();
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    fn put_idle(&self, sender: Sender) {
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender>> {
        lock(&self.idle)
    }
}

/// Locks a mutex and ignores poisoning, since the state stays usable after a panic elsewhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn response_lost(reason: String) -> ExchangeError {
    ExchangeError::Failed(StoreError::ResponseLost { reason })
}
