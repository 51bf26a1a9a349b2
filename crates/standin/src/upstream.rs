//! Stand-in upstream: an HTTP/1.1 server beside a node, with fault injection.

mod announce;
mod execute;

use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use cornelridge_model::ident;
use smol::channel;
use tokio_util::sync::CancellationToken;

use crate::host::{self, StandinHost};

/// Maximum number of recorded executions; later ones are only counted.
const MAX_EXECUTIONS: usize = 1_000_000;

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Name that the upstream states in responses.
    pub name: Arc<str>,
    /// Class that the upstream serves.
    pub class: Arc<str>,
    /// Address at which the node beside the upstream receives announcements.
    pub announce_to: net::SocketAddr,
    /// Number of requests that run concurrently; further ones wait inside the upstream.
    pub slots: u32,
    /// Number of connections that the upstream accepts.
    pub connections: u32,
    /// Service time of a request.
    pub service_time: time::Duration,
    /// Additional time for the first request of each key after a start.
    pub cold_start: time::Duration,
    /// Whether the upstream refuses requests with an older fence than it has seen for the key.
    pub checks_fences: bool,
}

impl UpstreamSettings {
    /// Returns settings with 12 slots, 110 connections and a service time of 2 ms.
    pub fn new(name: &str, class: &str, announce_to: net::SocketAddr) -> UpstreamSettings {
        UpstreamSettings {
            name: Arc::from(name),
            class: Arc::from(class),
            announce_to,
            slots: 12,
            connections: 110,
            service_time: time::Duration::from_millis(2),
            cold_start: time::Duration::ZERO,
            checks_fences: true,
        }
    }
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The request is running.
    Running,
    /// The request was completed; its response may still have been truncated or lost.
    Finished,
    /// The connection was closed before completion, or the upstream crashed.
    Abandoned,
}

/// One request that the upstream started to run.
#[derive(Clone, Debug)]
pub struct Execution {
    /// From `cornelridge-request-id`.
    pub request_id: Option<Arc<str>>,
    /// From `idempotency-key`.
    pub idempotency_key: Option<Arc<str>>,
    /// From `cornelridge-key`.
    pub key: Option<Arc<str>>,
    /// From `cornelridge-fence`.
    pub fence: Option<ident::FenceToken>,
    /// Identifier that the caller gave to the request.
    pub echo: Option<u64>,
    /// Time at which the request started to run.
    pub started: time::Instant,
    /// Time at which the request ended.
    pub ended: Option<time::Instant>,
    /// How the request ended.
    pub end: ExecutionEnd,
}

/// Counters of requests, announcements and starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Requests that started to run.
    pub executed: u64,
    /// Requests refused because of an older fence.
    pub refused_fence: u64,
    /// Requests refused because of load.
    pub refused_load: u64,
    /// Announcements that the node accepted.
    pub announced: u64,
    /// Starts of the server, including the first.
    pub starts: u64,
}

#[derive(Debug, Default)]
struct UpstreamFaults {
    /// Set while the upstream is frozen; dropping the sender wakes the waiting tasks.
    frozen: Option<(channel::Sender<()>, channel::Receiver<()>)>,
    sheds_load: bool,
    reported_load: Option<u32>,
    truncate_after: Option<u64>,
    leaving: bool,
}

#[derive(Debug)]
struct UpstreamState {
    settings: UpstreamSettings,
    address: net::SocketAddr,
    faults: Mutex<UpstreamFaults>,
    counts: Mutex<UpstreamCounts>,
    executions: Mutex<Vec<Execution>>,
    /// Token of the current run of the server, cancelled by a crash.
    run: Mutex<CancellationToken>,
    /// Requests an announcement before the next interval.
    announce_now: channel::Sender<()>,
}

/// A running stand-in upstream; stops when dropped.
#[derive(Debug)]
pub struct UpstreamServer {
    host: StandinHost,
    state: Arc<UpstreamState>,
    announce_requests: channel::Receiver<()>,
    cancel: CancellationToken,
}

impl Drop for UpstreamServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl UpstreamServer {
    /// Starts an upstream on a free loopback port and announces it.
    pub fn start(host: &StandinHost, settings: UpstreamSettings) -> io::Result<UpstreamServer> {
        UpstreamServer::start_with(host, settings, CancellationToken::new())
    }

    /// Starts an upstream that also stops when `cancel` is cancelled.
    pub fn start_with(
        host: &StandinHost,
        settings: UpstreamSettings,
        cancel: CancellationToken,
    ) -> io::Result<UpstreamServer> {
        let listener = host::listen(host::ephemeral_address())?;
        let (announce_now, announce_requests) = channel::bounded(1);
        let state = Arc::new(UpstreamState {
            settings,
            address: listener.local_addr()?,
            faults: Mutex::default(),
            counts: Mutex::default(),
            executions: Mutex::default(),
            run: Mutex::new(cancel.child_token()),
            announce_now,
        });
        let server = UpstreamServer { host: host.clone(), state, announce_requests, cancel };
        server.run(listener);
        Ok(server)
    }

    /// Returns the address for requests.
    pub fn address(&self) -> net::SocketAddr {
        self.state.address
    }

    /// Returns the settings with which the upstream was started.
    pub fn settings(&self) -> &UpstreamSettings {
        &self.state.settings
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> UpstreamCounts {
        *lock(&self.state.counts)
    }

    /// Returns the executions so far, in the order of their start.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state.executions).clone()
    }

    /// Freezes the upstream: requests, responses and announcements make no progress, and
    /// connections stay open.
    pub fn freeze(&self) {
        lock(&self.state.faults).frozen.get_or_insert_with(|| channel::bounded(1));
    }

    /// Resumes a frozen upstream.
    pub fn unfreeze(&self) {
        lock(&self.state.faults).frozen = None;
    }

    /// Closes the port and all connections, and discards all state except counters and executions.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns whether the port is open.
    pub fn is_running(&self) -> bool {
        !lock(&self.state.run).is_cancelled()
    }

    /// Restarts after a crash, on the same address and without earlier state.
    pub fn restart(&self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let listener = host::listen(self.state.address)?;
        *lock(&self.state.run) = self.cancel.child_token();
        lock(&self.state.faults).frozen = None;
        self.run(listener);
        Ok(())
    }

    /// Sets whether every request is refused because of load.
    pub fn set_sheds_load(&self, sheds: bool) {
        lock(&self.state.faults).sheds_load = sheds;
    }

    /// Sets the load to report; `None` reports the actual load.
    pub fn set_reported_load(&self, load: Option<u32>) {
        lock(&self.state.faults).reported_load = load;
    }

    /// Sets the number of bytes after which longer response bodies are truncated.
    pub fn set_truncate_after(&self, bytes: Option<u64>) {
        lock(&self.state.faults).truncate_after = bytes;
    }

    /// Announces at once, and in each later announcement, that the upstream is leaving.
    pub fn start_leaving(&self) {
        self.set_leaving(true);
    }

    /// Announces at once that the upstream is no longer leaving.
    pub fn cancel_leaving(&self) {
        self.set_leaving(false);
    }

    fn set_leaving(&self, leaving: bool) {
        lock(&self.state.faults).leaving = leaving;
        let _ = self.state.announce_now.try_send(());
    }

    fn run(&self, listener: smol::net::TcpListener) {
        lock(&self.state.counts).starts += 1;
        let run = lock(&self.state.run).clone();
        let requests = self.announce_requests.clone();
        self.host.spawn(&run, announce::announce(Arc::clone(&self.state), requests));
        let memory = Arc::new(execute::RunMemory::new(&self.state.settings));
        let state = Arc::clone(&self.state);
        let connections = self.state.settings.connections;
        host::serve(&self.host, &run, listener, connections, move |request| {
            execute::handle(Arc::clone(&state), Arc::clone(&memory), request)
        });
    }
}

impl UpstreamState {
    fn crash(&self) {
        lock(&self.run).cancel();
    }

    /// Waits until the upstream is not frozen.
    async fn wait_while_frozen(&self) {
        loop {
            let frozen = lock(&self.faults).frozen.as_ref().map(|(_, signal)| signal.clone());
            let Some(signal) = frozen else { return };
            let _ = signal.recv().await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
