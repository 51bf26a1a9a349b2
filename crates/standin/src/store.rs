//! Stand-in for the platform's key-value service, with fault injection.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::Bytes;
use cornelridge_store::api::{MAX_VALUE_BYTES, StoreEntry, StoreRevision};
use futures_lite::future;
use http::{Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol::channel;
use tokio_util::sync::CancellationToken;

use crate::host::{self, AbortedResponse, ResponseBody, StandinHost};

/// Maximum number of open connections; far more than a deployment needs.
const MAX_CONNECTIONS: u32 = 10_000;

type ResponseResult = Result<http::Response<ResponseBody>, AbortedResponse>;

/// An outage of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreOutage {
    /// The store serves requests.
    #[default]
    None,
    /// The port and all connections are closed.
    Down,
    /// The store accepts connections and requests but never responds.
    Silent,
}

/// Number of calls that reached the store, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of a value.
    pub gets: u64,
    /// Writes of a value, including refused ones.
    pub puts: u64,
    /// Watches started.
    pub watches: u64,
    /// Listings.
    pub lists: u64,
    /// Attempts to acquire, renew or release a lease.
    pub leases: u64,
    /// Watches currently pending.
    pub pending_watches: u64,
}

#[derive(Debug, Default)]
struct StoreFaults {
    outage: StoreOutage,
    delay: time::Duration,
    responses_to_drop: u32,
    corrupt_keys: Vec<String>,
}

#[derive(Debug)]
struct StoredLease {
    holder: String,
    until: time::Instant,
}

/// Wakes all pending watches: replacing the signal closes its channel.
#[derive(Debug)]
struct ChangeSignal {
    _sender: channel::Sender<Infallible>,
    receiver: channel::Receiver<Infallible>,
}

impl ChangeSignal {
    fn new() -> ChangeSignal {
        let (_sender, receiver) = channel::bounded(1);
        ChangeSignal { _sender, receiver }
    }
}

#[derive(Debug)]
struct StoreState {
    values: BTreeMap<String, (u64, Bytes)>,
    leases: HashMap<String, StoredLease>,
    revision: u64,
    changed: ChangeSignal,
    faults: StoreFaults,
    counts: CallCounts,
}

/// A running stand-in store; stops when dropped.
#[derive(Debug)]
pub struct StoreServer {
    host: StandinHost,
    address: net::SocketAddr,
    state: Arc<Mutex<StoreState>>,
    cancel: CancellationToken,
    /// Cancelled to close the port and the connections.
    serving: Mutex<CancellationToken>,
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl StoreServer {
    /// Starts an empty store on a free loopback port.
    pub fn start(host: &StandinHost) -> io::Result<StoreServer> {
        StoreServer::start_with(host, CancellationToken::new())
    }

    /// Starts an empty store that also stops when `cancel` is cancelled.
    pub fn start_with(host: &StandinHost, cancel: CancellationToken) -> io::Result<StoreServer> {
        let listener = host::listen(host::ephemeral_address())?;
        let address = listener.local_addr()?;
        let state = StoreState {
            values: BTreeMap::new(),
            leases: HashMap::new(),
            revision: 0,
            changed: ChangeSignal::new(),
            faults: StoreFaults::default(),
            counts: CallCounts::default(),
        };
        let serving = Mutex::new(cancel.child_token());
        let state = Arc::new(Mutex::new(state));
        let server = StoreServer { host: host.clone(), address, state, cancel, serving };
        server.serve(listener);
        Ok(server)
    }

    /// Returns the address of the service.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        lock(&self.state).counts
    }

    /// Returns the revision and value of a key without counting a call.
    pub fn value(&self, key: &str) -> Option<(StoreRevision, Bytes)> {
        let state = lock(&self.state);
        state.values.get(key).map(|(revision, value)| (StoreRevision(*revision), value.clone()))
    }

    /// Writes a value without compare-and-swap, as a faulty writer would.
    pub fn overwrite(&self, key: &str, value: Bytes) -> StoreRevision {
        StoreRevision(lock(&self.state).write(key, value))
    }

    /// Returns the name of the holder of an unexpired lease.
    pub fn lease_holder(&self, key: &str) -> Option<String> {
        lock(&self.state).holder(key).map(|lease| lease.holder.clone())
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: StoreOutage) -> io::Result<()> {
        let before = std::mem::replace(&mut lock(&self.state).faults.outage, outage);
        if outage == StoreOutage::Down {
            lock(&self.serving).cancel();
            return Ok(());
        }
        if before == StoreOutage::Down {
            *lock(&self.serving) = self.cancel.child_token();
            self.serve(host::listen(self.address)?);
        }
        Ok(())
    }

    /// Delays each response.
    pub fn set_delay(&self, delay: time::Duration) {
        lock(&self.state).faults.delay = delay;
    }

    /// Closes the connection instead of responding to the next `count` writes of values or leases,
    /// after they took effect.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.state).faults.responses_to_drop = count;
    }

    /// Sets whether responses carry a corrupted value of this key.
    pub fn set_corrupt(&self, key: &str, corrupt: bool) {
        let keys = &mut lock(&self.state).faults.corrupt_keys;
        keys.retain(|entry| entry != key);
        if corrupt {
            keys.push(key.to_owned());
        }
    }

    /// Ends a lease early, as if its holder had been paused. Returns whether the lease existed.
    pub fn expire_lease(&self, key: &str) -> bool {
        lock(&self.state).leases.remove(key).is_some()
    }

    fn serve(&self, listener: smol::net::TcpListener) {
        let state = Arc::clone(&self.state);
        let serving = lock(&self.serving).clone();
        host::serve(&self.host, &serving, listener, MAX_CONNECTIONS, move |request| {
            handle(Arc::clone(&state), request)
        });
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: Bytes) -> u64 {
        self.revision += 1;
        self.values.insert(key.to_owned(), (self.revision, value));
        self.changed = ChangeSignal::new();
        self.revision
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(revision, _)| *revision)
    }

    fn holder(&self, key: &str) -> Option<&StoredLease> {
        self.leases.get(key).filter(|lease| time::Instant::now() < lease.until)
    }

    /// Returns whether the response to a write that took effect must be dropped; if so, one fewer
    /// response remains to be dropped.
    fn take_dropped_response(&mut self) -> bool {
        let is_lost = self.faults.responses_to_drop > 0;
        self.faults.responses_to_drop = self.faults.responses_to_drop.saturating_sub(1);
        is_lost
    }

    fn value_response(&self, key: &str) -> ResponseResult {
        let Some((revision, value)) = self.values.get(key) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let is_corrupt = self.faults.corrupt_keys.iter().any(|entry| entry == key);
        let value = if is_corrupt { corrupted(value) } else { value.clone() };
        respond(StatusCode::OK, Some(*revision), value)
    }
}

/// Counts a pending watch until it ends, also when its client disconnects.
struct PendingWatch(Arc<Mutex<StoreState>>);

impl PendingWatch {
    fn new(state: &Arc<Mutex<StoreState>>) -> PendingWatch {
        lock(state).counts.pending_watches += 1;
        PendingWatch(Arc::clone(state))
    }
}

impl Drop for PendingWatch {
    fn drop(&mut self) {
        lock(&self.0).counts.pending_watches -= 1;
    }
}

async fn handle(state: Arc<Mutex<StoreState>>, request: http::Request<Incoming>) -> ResponseResult {
    let (outage, delay) = {
        let faults = &lock(&state).faults;
        (faults.outage, faults.delay)
    };
    if outage == StoreOutage::Silent {
        return future::pending().await;
    }
    if !delay.is_zero() {
        smol::Timer::after(delay).await;
    }
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let method = request.method().clone();
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return match (method, parameter(&query, "watch")) {
            (Method::GET, None) => get(&state, key),
            (Method::GET, Some(seen)) => watch(&state, key, seen, &query).await,
            (Method::PUT, None) => put(&state, key, request).await,
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if let Some(prefix) = path.strip_prefix("/v1/list/") {
        return list(&state, prefix);
    }
    match (path.strip_prefix("/v1/lease/"), method) {
        (Some(key), Method::PUT) => acquire(&state, key, &query),
        (Some(key), Method::DELETE) => release(&state, key, &query),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn get(state: &Mutex<StoreState>, key: &str) -> ResponseResult {
    let mut state = lock(state);
    state.counts.gets += 1;
    state.value_response(key)
}

async fn put(
    state: &Mutex<StoreState>,
    key: &str,
    request: http::Request<Incoming>,
) -> ResponseResult {
    lock(state).counts.puts += 1;
    let expected = request.headers().get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(expected) = expected.and_then(|value| value.trim_matches('"').parse::<u64>().ok())
    else {
        return empty(StatusCode::PRECONDITION_REQUIRED);
    };
    let Ok(body) = Limited::new(request.into_body(), MAX_VALUE_BYTES).collect().await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let mut state = lock(state);
    if state.revision_of(key) != expected {
        return empty(StatusCode::PRECONDITION_FAILED);
    }
    let revision = state.write(key, body.to_bytes());
    if state.take_dropped_response() {
        return Err(AbortedResponse);
    }
    respond(StatusCode::OK, Some(revision), Bytes::new())
}

async fn watch(
    state: &Arc<Mutex<StoreState>>,
    key: &str,
    seen: &str,
    query: &str,
) -> ResponseResult {
    lock(state).counts.watches += 1;
    let wait = parameter(query, "wait_ms").and_then(|value| value.parse().ok());
    let (Ok(seen), Some(wait)) = (seen.parse::<u64>(), wait) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let _pending = PendingWatch::new(state);
    let changed = async {
        loop {
            let signal = {
                let state = lock(state);
                if state.revision_of(key) != seen {
                    return state.value_response(key);
                }
                state.changed.receiver.clone()
            };
            let _ = signal.recv().await;
        }
    };
    let expired = async {
        smol::Timer::after(time::Duration::from_millis(wait)).await;
        empty(StatusCode::NOT_MODIFIED)
    };
    future::or(changed, expired).await
}

fn list(state: &Mutex<StoreState>, prefix: &str) -> ResponseResult {
    let mut state = lock(state);
    state.counts.lists += 1;
    let entries: Vec<StoreEntry> = state
        .values
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(key, (revision, _))| StoreEntry {
            key: Arc::from(key.as_str()),
            revision: StoreRevision(*revision),
        })
        .collect();
    match serde_json::to_vec(&entries) {
        Ok(body) => respond(StatusCode::OK, None, Bytes::from(body)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn acquire(state: &Mutex<StoreState>, key: &str, query: &str) -> ResponseResult {
    let mut state = lock(state);
    state.counts.leases += 1;
    let ttl = parameter(query, "ttl_ms").and_then(|value| value.parse().ok());
    let (Some(holder), Some(ttl)) = (parameter(query, "holder"), ttl) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let now = time::Instant::now();
    if let Some(lease) = state.holder(key).filter(|lease| lease.holder != holder) {
        let remaining = lease.until.saturating_duration_since(now).as_millis();
        let body = serde_json::json!({"holder": lease.holder, "remaining_ms": remaining as u64});
        return respond(StatusCode::CONFLICT, None, Bytes::from(body.to_string()));
    }
    let until = now + time::Duration::from_millis(ttl);
    state.leases.insert(key.to_owned(), StoredLease { holder: holder.to_owned(), until });
    if state.take_dropped_response() {
        return Err(AbortedResponse);
    }
    empty(StatusCode::OK)
}

fn release(state: &Mutex<StoreState>, key: &str, query: &str) -> ResponseResult {
    let mut state = lock(state);
    state.counts.leases += 1;
    let is_holder =
        state.holder(key).is_some_and(|lease| parameter(query, "holder") == Some(&lease.holder));
    if !is_holder {
        return empty(StatusCode::CONFLICT);
    }
    state.leases.remove(key);
    empty(StatusCode::NO_CONTENT)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn corrupted(value: &[u8]) -> Bytes {
    value.iter().map(|byte| byte ^ 0xa5).collect()
}

fn empty(status: StatusCode) -> ResponseResult {
    respond(status, None, Bytes::new())
}

fn respond(status: StatusCode, revision: Option<u64>, body: Bytes) -> ResponseResult {
    let mut response = http::Response::builder().status(status);
    if let Some(revision) = revision {
        response = response.header(header::ETAG, revision);
    }
    let body = Full::new(body).map_err(AbortedResponse::from).boxed();
    response.body(body).map_err(|_| AbortedResponse)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
