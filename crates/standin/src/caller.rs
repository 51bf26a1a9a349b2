//! HTTP/1.1 load generator that verifies each response.

use std::collections::BTreeMap;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::Bytes;
use futures_lite::future;
use hdrhistogram::Histogram;
use http::header;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use smol::channel;
use smol_hyper::rt::FuturesIo;
use tokio_util::sync::CancellationToken;

use crate::host::StandinHost;
use crate::payload;

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Length of the intervals for which a report counts due and answered requests.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay before the next request of a connection after a request without a response.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(10);

type Sender = http1::SendRequest<Full<Bytes>>;

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ArrivalMode {
    /// Each connection sends the next request when the previous one has been answered.
    Closed,
    /// Requests are due at this rate per second; latency is measured from the time they are due.
    Open(f64),
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses to which requests are sent; connections use them in round-robin order.
    pub targets: Vec<net::SocketAddr>,
    /// Class of the requests.
    pub class: Arc<str>,
    /// When requests are sent.
    pub arrival: ArrivalMode,
    /// Number of connections, each with one request at a time.
    pub connections: u32,
    /// Number of requests.
    pub total: u64,
    /// Time after which no more requests are sent.
    pub duration: time::Duration,
    /// Timeout of one request.
    pub timeout: time::Duration,
    /// Number of distinct keys; 0 sends requests without a key.
    pub keys: u64,
    /// Share of the requests that go to key 0, from 0 to 1.
    pub hot_share: f64,
    /// Whether each request carries its own idempotency key.
    pub idempotency_keys: bool,
    /// Length of the response body to request, in bytes.
    pub answer_bytes: u64,
    /// Length of the request body in bytes; 0 sends a `GET`.
    pub request_bytes: usize,
    /// Additional headers of each request.
    pub headers: Vec<(&'static str, String)>,
    /// First request identifier; concurrent runs need ranges that don't overlap.
    pub first_id: u64,
    /// Seed for the choice of keys.
    pub seed: u64,
}

impl LoadSettings {
    /// Returns settings for a closed loop of 1,000 small requests over four connections.
    pub fn new(targets: Vec<net::SocketAddr>, class: &str) -> LoadSettings {
        LoadSettings {
            targets,
            class: Arc::from(class),
            arrival: ArrivalMode::Closed,
            connections: 4,
            total: 1_000,
            duration: time::Duration::from_secs(60),
            timeout: time::Duration::from_secs(10),
            keys: 1_000,
            hot_share: 0.0,
            idempotency_keys: false,
            answer_bytes: 300,
            request_bytes: 0,
            headers: Vec::new(),
            first_id: 1,
            seed: 1,
        }
    }
}

/// The outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOutcome {
    /// A complete success response with the content of this request.
    Whole,
    /// An error response which states that the request was not run.
    NotRun,
    /// An error response which states that the request was run.
    Run,
    /// An error response which states that it is unknown whether the request was run.
    Unknown,
    /// An error response that states no outcome.
    Unstated,
    /// The response body ended early with a transport error.
    Cut,
    /// The response ended without an error, but is incomplete or belongs to another request.
    Wrong,
    /// The connection couldn't be made or was lost before a response.
    NoAnswer,
    /// No complete response arrived within the timeout.
    TimedOut,
}

/// The measurements of a load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latency of complete responses, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Number of responses by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Body bytes of complete responses.
    pub bytes: u64,
    /// Duration of the run.
    pub elapsed: time::Duration,
    /// Identifiers of requests with an outcome other than `Whole`, up to 10,000.
    pub failed: Vec<(u64, CallOutcome)>,
    /// Requests with the outcome `NoAnswer` for which no connection could be made.
    pub unconnected: u64,
    /// Requests without a response on a connection that had been used before. This happens when a
    /// server closes an idle connection while a request is on its way.
    pub unanswered_reused: u64,
    /// Numbers of requests and of complete responses by the interval in which the request was due.
    pub intervals: Vec<(u32, u32)>,
}

/// Maximum number of identifiers of failed requests in a report.
const MAX_FAILED: usize = 10_000;

impl LoadReport {
    fn new() -> Option<LoadReport> {
        Some(LoadReport {
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).ok()?,
            outcomes: BTreeMap::new(),
            statuses: BTreeMap::new(),
            bytes: 0,
            elapsed: time::Duration::ZERO,
            failed: Vec::new(),
            unconnected: 0,
            unanswered_reused: 0,
            intervals: Vec::new(),
        })
    }

    /// Returns the total length of the intervals with due requests and no complete response.
    pub fn unavailable(&self) -> time::Duration {
        let unavailable = self.intervals.iter().filter(|(due, whole)| *due > 0 && *whole == 0);
        REPORT_INTERVAL * unavailable.count() as u32
    }

    /// Returns the total length of all intervals, each weighted with its share of requests without
    /// a complete response.
    pub fn partly_unavailable(&self) -> time::Duration {
        let active = self.intervals.iter().filter(|(due, _)| *due > 0);
        let shares = active.map(|(due, whole)| 1.0 - f64::from(*whole) / f64::from(*due));
        REPORT_INTERVAL.mul_f64(shares.sum())
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the latency at a percentile, for example 99.0.
    pub fn percentile(&self, percentile: f64) -> time::Duration {
        time::Duration::from_micros(self.latency.value_at_percentile(percentile))
    }

    fn record(&mut self, call: &DueCall, result: &CallResult, started: time::Instant) {
        let (id, latency) = (call.id, call.due.elapsed());
        *self.outcomes.entry(result.outcome).or_default() += 1;
        self.unconnected += u64::from(!result.is_connected);
        self.unanswered_reused += u64::from(result.is_reused);
        let interval = call.due.saturating_duration_since(started).as_millis();
        let interval = (interval / REPORT_INTERVAL.as_millis()) as usize;
        if self.intervals.len() <= interval {
            self.intervals.resize(interval + 1, (0, 0));
        }
        self.intervals[interval].0 += 1;
        self.intervals[interval].1 += u32::from(result.outcome == CallOutcome::Whole);
        if let Some(status) = result.status {
            *self.statuses.entry(status).or_default() += 1;
        }
        if result.outcome == CallOutcome::Whole {
            self.bytes += result.bytes;
            self.latency.saturating_record(latency.as_micros() as u64);
        } else if self.failed.len() < MAX_FAILED {
            self.failed.push((id, result.outcome));
        }
    }
}

struct CallResult {
    outcome: CallOutcome,
    status: Option<u16>,
    bytes: u64,
    is_connected: bool,
    /// Whether there was no response on a connection that had been used before.
    is_reused: bool,
}

impl CallResult {
    fn without_answer(outcome: CallOutcome) -> CallResult {
        CallResult { outcome, status: None, bytes: 0, is_connected: true, is_reused: false }
    }

    fn unconnected() -> CallResult {
        CallResult { is_connected: false, ..CallResult::without_answer(CallOutcome::NoAnswer) }
    }
}

/// A request that is due.
struct DueCall {
    id: u64,
    due: time::Instant,
}

struct LoadRun {
    host: StandinHost,
    settings: LoadSettings,
    report: Mutex<LoadReport>,
    next: AtomicU64,
    started: time::Instant,
    due: channel::Receiver<DueCall>,
}

/// Sends load and reports the outcomes. Stops early if `cancel` is cancelled.
///
/// Returns `None` if there is no target.
pub async fn run(
    host: &StandinHost,
    settings: LoadSettings,
    cancel: &CancellationToken,
) -> Option<LoadReport> {
    if settings.targets.is_empty() {
        return None;
    }
    let (due, receiver) = channel::unbounded();
    let run = Arc::new(LoadRun {
        report: Mutex::new(LoadReport::new()?),
        next: AtomicU64::new(0),
        started: time::Instant::now(),
        due: receiver,
        host: host.without_thread(),
        settings,
    });
    // Each connection task holds a sender; the channel closes when all tasks have ended.
    let (running, all_ended) = channel::bounded::<()>(1);
    for index in 0..run.settings.connections {
        let (run, running) = (Arc::clone(&run), running.clone());
        host.spawn(cancel, async move {
            run.run_connection(index).await;
            drop(running);
        });
    }
    if let ArrivalMode::Open(rate) = run.settings.arrival {
        let (run, cancelled) = (Arc::clone(&run), cancel.clone());
        host.spawn(&cancelled, async move { run.schedule_requests(rate, due).await });
    }
    drop(running);
    let _ = all_ended.recv().await;
    let mut report = lock(&run.report).clone();
    report.elapsed = run.started.elapsed();
    Some(report)
}

impl LoadRun {
    /// Sends due requests to the channel at the given rate.
    async fn schedule_requests(&self, rate: f64, due: channel::Sender<DueCall>) {
        let settings = &self.settings;
        for number in 0..settings.total {
            let offset = time::Duration::from_secs_f64(number as f64 / rate.max(0.001));
            if offset > settings.duration {
                return;
            }
            let at = self.started + offset;
            if at > time::Instant::now() {
                smol::Timer::at(at).await;
            }
            let call = DueCall { id: settings.first_id + number, due: at };
            if due.send(call).await.is_err() {
                return;
            }
        }
    }

    /// Returns the next request for a connection, or `None` at the end of the run.
    async fn next_call(&self) -> Option<DueCall> {
        if let ArrivalMode::Open(_) = self.settings.arrival {
            return self.due.recv().await.ok();
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let is_over = self.started.elapsed() > self.settings.duration;
        if number >= self.settings.total || is_over {
            return None;
        }
        Some(DueCall { id: self.settings.first_id + number, due: time::Instant::now() })
    }

    async fn run_connection(&self, index: u32) {
        let target = self.settings.targets[index as usize % self.settings.targets.len()];
        let seed = self.settings.seed.wrapping_add(u64::from(index) << 32);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut connection = None;
        while let Some(call) = self.next_call().await {
            let timeout = async {
                smol::Timer::after(self.settings.timeout).await;
                None
            };
            let exchange = self.exchange(target, connection.take(), &call, &mut random);
            let (result, reusable) = match future::or(exchange, timeout).await {
                Some(done) => done,
                None => (CallResult::without_answer(CallOutcome::TimedOut), None),
            };
            connection = reusable;
            lock(&self.report).record(&call, &result, self.started);
            if result.outcome == CallOutcome::NoAnswer {
                smol::Timer::after(RECONNECT_DELAY).await;
            }
        }
    }

    /// Sends one request and checks the response. Returns the connection if it can be reused.
    async fn exchange(
        &self,
        target: net::SocketAddr,
        connection: Option<Connection>,
        call: &DueCall,
        random: &mut fastrand::Rng,
    ) -> Option<(CallResult, Option<Connection>)> {
        let reusable = connection.filter(|connection| !connection.sender.is_closed());
        let is_reused = reusable.is_some();
        let no_answer = || {
            let result = CallResult::without_answer(CallOutcome::NoAnswer);
            Some((CallResult { is_reused, ..result }, None))
        };
        let mut connection = match reusable {
            Some(connection) => connection,
            None => match Connection::open(&self.host, target).await {
                Some(connection) => connection,
                None => return Some((CallResult::unconnected(), None)),
            },
        };
        let request = self.request(target, call, random)?;
        if connection.sender.ready().await.is_err() {
            return no_answer();
        }
        let Ok(response) = connection.sender.send_request(request).await else {
            return no_answer();
        };
        let result = self.check_response(call.id, response).await;
        let is_reusable = !matches!(result.outcome, CallOutcome::Cut);
        Some((result, is_reusable.then_some(connection)))
    }

    fn request(
        &self,
        target: net::SocketAddr,
        call: &DueCall,
        random: &mut fastrand::Rng,
    ) -> Option<http::Request<Full<Bytes>>> {
        let settings = &self.settings;
        let body = payload::content(call.id, 0, settings.request_bytes);
        let method = if body.is_empty() { http::Method::GET } else { http::Method::POST };
        let mut builder = http::Request::builder()
            .method(method)
            .uri(format!("/{}/item", settings.class))
            .header(header::HOST, target.to_string())
            .header(payload::ECHO_HEADER, call.id)
            .header(payload::LENGTH_HEADER, settings.answer_bytes);
        if settings.keys > 0 {
            let is_hot = random.f64() < settings.hot_share;
            let key = if is_hot { 0 } else { random.u64(0..settings.keys) };
            builder = builder.header("cornelridge-key", format!("key-{key}"));
        }
        if settings.idempotency_keys {
            builder = builder.header("idempotency-key", format!("call-{}", call.id));
        }
        for (name, value) in &settings.headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(body)).ok()
    }

    async fn check_response(
        &self,
        id: u64,
        response: http::Response<hyper::body::Incoming>,
    ) -> CallResult {
        let status = Some(response.status().as_u16());
        let is_success = response.status().is_success();
        let stated = stated_outcome(response.headers());
        let echo = response.headers().get(payload::ECHO_HEADER);
        let is_echo = echo.and_then(|value| value.to_str().ok()) == Some(&id.to_string());
        let mut body = response.into_body();
        let (mut bytes, mut is_content) = (0, true);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return CallResult {
                    outcome: CallOutcome::Cut,
                    status,
                    bytes,
                    is_connected: true,
                    is_reused: false,
                };
            };
            if let Some(data) = frame.data_ref() {
                is_content = is_content && payload::is_content(id, bytes, data);
                bytes += data.len() as u64;
            }
        }
        let is_whole = is_echo && is_content && bytes == self.settings.answer_bytes;
        let outcome = match (is_success, is_whole) {
            (true, true) => CallOutcome::Whole,
            (true, false) => CallOutcome::Wrong,
            (false, _) => stated,
        };
        CallResult { outcome, status, bytes, is_connected: true, is_reused: false }
    }
}

fn stated_outcome(headers: &http::HeaderMap) -> CallOutcome {
    match headers.get("cornelridge-outcome").map(|value| value.as_bytes()) {
        Some(b"not-run") => CallOutcome::NotRun,
        Some(b"run") => CallOutcome::Run,
        Some(b"unknown") => CallOutcome::Unknown,
        _ => CallOutcome::Unstated,
    }
}

/// An HTTP connection; its task ends when the connection is dropped.
struct Connection {
    sender: Sender,
    _driver: smol::Task<()>,
}

impl Connection {
    async fn open(host: &StandinHost, target: net::SocketAddr) -> Option<Connection> {
        let stream = smol::net::TcpStream::connect(target).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
        let _driver = host.task(async move {
            let _ = connection.await;
        });
        Some(Connection { sender, _driver })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
