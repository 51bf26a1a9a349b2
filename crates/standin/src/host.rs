//! Executors for stand-ins, and the HTTP server that they share.

use std::convert::Infallible;
use std::io;
use std::net;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use smol::lock::Semaphore;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tokio_util::sync::CancellationToken;

/// Body of a response; an error in the body aborts the connection.
pub(crate) type ResponseBody = BoxBody<Bytes, AbortedResponse>;

/// An error that closes a connection during a response or instead of one.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("response aborted by an injected fault")]
pub(crate) struct AbortedResponse;

impl From<Infallible> for AbortedResponse {
    fn from(never: Infallible) -> AbortedResponse {
        match never {}
    }
}

/// An executor on which stand-ins run; cheap to clone.
#[derive(Clone, Debug)]
pub struct StandinHost {
    executor: Arc<smol::Executor<'static>>,
    _thread: Option<Arc<HostThread>>,
}

impl StandinHost {
    /// Returns a host that runs stand-ins on the given executor.
    pub fn executor(executor: Arc<smol::Executor<'static>>) -> StandinHost {
        StandinHost { executor, _thread: None }
    }

    /// Starts a thread for stand-ins, which ends when the last clone of this host is dropped.
    pub fn thread() -> io::Result<StandinHost> {
        let executor = Arc::new(smol::Executor::new());
        let cancel = CancellationToken::new();
        let (runner, cancelled) = (Arc::clone(&executor), cancel.clone());
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || smol::block_on(runner.run(cancelled.cancelled())))?;
        let host_thread = HostThread { cancel, thread: Some(thread) };
        Ok(StandinHost { executor, _thread: Some(Arc::new(host_thread)) })
    }

    /// Runs a task until it ends or `cancel` is cancelled.
    pub(crate) fn spawn(
        &self,
        cancel: &CancellationToken,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let cancelled = cancel.clone().cancelled_owned();
        self.executor.spawn(future::or(cancelled, task)).detach();
    }

    /// Returns the same executor without the handle of its thread. A task that held the handle
    /// would keep alive the thread on which it runs.
    pub(crate) fn without_thread(&self) -> StandinHost {
        StandinHost { executor: Arc::clone(&self.executor), _thread: None }
    }

    /// Runs a task that ends when the returned handle is dropped.
    pub(crate) fn task(&self, task: impl Future<Output = ()> + Send + 'static) -> smol::Task<()> {
        self.executor.spawn(task)
    }
}

#[derive(Debug)]
struct HostThread {
    cancel: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.cancel.cancel();
        let Some(thread) = self.thread.take() else { return };
        // The last clone may be dropped by a task on this thread, which can't join itself.
        if thread.thread().id() != thread::current().id() {
            let _ = thread.join();
        }
    }
}

/// Returns a loopback address used by this process only, with port 0 for any free port.
///
/// Deployments close ports and bind them again; on a shared address another process could bind
/// such a port in between.
pub fn ephemeral_address() -> net::SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // Process ids have at most 22 bits, so the second byte stays below 255. It is at least 1, as
    // 127.0.x.x is left to other programs.
    (net::Ipv4Addr::new(127, high.wrapping_add(1), middle, low), 0).into()
}

/// Binds a TCP listener, also to the port of a listener that was closed.
pub(crate) fn listen(address: net::SocketAddr) -> io::Result<smol::net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    smol::net::TcpListener::try_from(listener)
}

/// Serves HTTP/1.1 until `cancel` is cancelled, which also closes the connections. Closes new
/// connections while `limit` are open.
pub(crate) fn serve<S, F>(
    host: &StandinHost,
    cancel: &CancellationToken,
    listener: smol::net::TcpListener,
    limit: u32,
    service: S,
) where
    S: Fn(http::Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<http::Response<ResponseBody>, AbortedResponse>> + Send + 'static,
{
    let (connection_host, connections) = (host.without_thread(), cancel.clone());
    let permits = Arc::new(Semaphore::new(limit as usize));
    host.spawn(cancel, async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(permit) = permits.try_acquire_arc() else { continue };
            let _ = stream.set_nodelay(true);
            let service = service::service_fn(service.clone());
            connection_host.spawn(&connections, async move {
                let _permit = permit;
                let _ = http1::Builder::new()
                    .timer(SmolTimer::new())
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
            });
        }
    });
}
