//! Serves connections of operators.

use std::convert::Infallible;
use std::sync::Arc;
use std::time;

use futures_lite::future;
use hyper::server::conn::http1;
use hyper::service;
use smol::net;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tokio_util::sync::CancellationToken;

use crate::operators;
use crate::operators::answer;
use crate::operators::route;
use crate::settings;

/// Maximum number of concurrent connections of operators.
const MAX_CONNECTIONS: usize = 32;
/// Maximum size of the request header block.
const MAX_HEADER_BYTES: usize = 16 * 1_024;
/// Time limit for reading the header block.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time limit for one request, including calls to the store.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// The HTTP endpoint for operators of one node.
#[derive(Clone)]
pub struct OperatorEndpoint {
    pub(crate) node: Arc<str>,
    pub(crate) token: settings::OperatorToken,
    pub(crate) admin: Arc<dyn operators::NodeAdmin>,
}

impl OperatorEndpoint {
    /// Creates the endpoint of the node with this name; every request must present `token`.
    pub fn new(
        node: &str,
        token: settings::OperatorToken,
        admin: Arc<dyn operators::NodeAdmin>,
    ) -> OperatorEndpoint {
        OperatorEndpoint { node: Arc::from(node), token, admin }
    }

    /// Serves until `cancel` is cancelled; connections run inside this future and end with it.
    pub async fn serve(self, listener: net::TcpListener, cancel: CancellationToken) {
        let connections = smol::Executor::new();
        let endpoint = Arc::new(self);
        let accept = accept_all(&endpoint, &listener, &connections);
        let stopped = future::or(cancel.cancelled(), accept);
        connections.run(stopped).await;
    }

    async fn serve_connection(self: Arc<OperatorEndpoint>, stream: net::TcpStream) {
        let respond = |request| {
            let endpoint = Arc::clone(&self);
            async move {
                let handle = route::handle(&endpoint, request);
                let expire = async {
                    smol::Timer::after(REQUEST_TIMEOUT).await;
                    let seconds = REQUEST_TIMEOUT.as_secs();
                    let message = format!("the command did not finish within {seconds} s");
                    answer::unknown_outcome(message).into_response()
                };
                Ok::<_, Infallible>(future::or(handle, expire).await)
            }
        };
        let served = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(FuturesIo::new(stream), service::service_fn(respond))
            .await;
        if let Err(error) = served {
            log::debug!("connection of an operator failed: {error}");
        }
    }
}

async fn accept_all<'a>(
    endpoint: &Arc<OperatorEndpoint>,
    listener: &net::TcpListener,
    connections: &smol::Executor<'a>,
) {
    let slots = Arc::new(smol::lock::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let slot = slots.acquire_arc().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = Arc::clone(endpoint).serve_connection(stream);
                let task = async move {
                    served.await;
                    drop(slot);
                };
                connections.spawn(task).detach();
            }
            Err(error) => {
                log::warn!("failed to accept a connection of an operator: {error}");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
