//! Pool of connections to the store, which are reused between calls.

use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

use crate::api::{MAX_VALUE_BYTES, StoreError};

/// Maximum number of idle connections: one for calls, one for a watch, and two in reserve.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum length of a response body, in bytes. A listing could be longer than a value, and is then
/// reported as malformed.
pub(crate) const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES;
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

/// Sends requests over pooled connections.
#[derive(Debug)]
pub struct ConnectionPool {
    address: net::SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(address: net::SocketAddr) -> ConnectionPool {
        ConnectionPool { address, idle: Mutex::default() }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Makes a call. When `timeout` expires, its connection and all idle ones are closed: they may
    /// be unresponsive for the same reason, and each would make another call time out.
    pub async fn call(
        &self,
        request: StoreRequest,
        timeout: time::Duration,
    ) -> Result<StoreResponse, StoreError> {
        let sent = AtomicBool::new(false);
        let expiry = async {
            smol::Timer::after(timeout).await;
            self.idle().clear();
            let reason = format!("no answer within {} ms", timeout.as_millis());
            if sent.load(Ordering::Relaxed) {
                return Err(StoreError::ResponseLost { reason });
            }
            Err(StoreError::Unreachable { reason })
        };
        future::or(self.exchange(request, &sent), expiry).await
    }

    async fn exchange(
        &self,
        mut request: StoreRequest,
        sent: &AtomicBool,
    ) -> Result<StoreResponse, StoreError> {
        // The store may have closed an idle connection: try the next one.
        while let Some(sender) = self.take_idle() {
            match self.send(sender, request, sent).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::NotSent(unsent, _)) => request = *unsent,
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
        let sender = self.connect().await?;
        self.send(sender, request, sent).await.map_err(|error| match error {
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
        sent: &AtomicBool,
    ) -> Result<StoreResponse, ExchangeError> {
        if let Err(error) = sender.ready().await {
            return Err(ExchangeError::NotSent(Box::new(request), error.to_string()));
        }
        sent.store(true, Ordering::Relaxed);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = error.error().to_string();
                let Some(unsent) = error.take_message() else {
                    return Err(response_lost(reason));
                };
                sent.store(false, Ordering::Relaxed);
                return Err(ExchangeError::NotSent(Box::new(unsent), reason));
            }
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                let reason = format!("body exceeds {MAX_RESPONSE_BYTES} bytes");
                return ExchangeError::Failed(StoreError::Malformed { reason });
            }
            response_lost(error.to_string())
        })?;
        self.put_idle(sender);
        Ok(http::Response::from_parts(parts, body.to_bytes()))
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
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn response_lost(reason: String) -> ExchangeError {
    ExchangeError::Failed(StoreError::ResponseLost { reason })
}
