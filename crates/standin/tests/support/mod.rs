//! Helpers of the tests: small deployments over real sockets, single calls, and checks of what the
//! upstreams executed.

#![allow(dead_code)]

use std::collections::HashMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time;

use bytes::Bytes;
use cornelridge_model::ident::FenceToken;
use cornelridge_standin::caller::{ArrivalMode, CallOutcome, LoadReport, LoadSettings};
use cornelridge_standin::deployment::{ClassDeployment, Deployment};
use cornelridge_standin::mesh::{Mesh, UpstreamTuning};
use cornelridge_standin::upstream::{Execution, ExecutionEnd, UpstreamServer, UpstreamSettings};
use cornelridge_standin::{caller, host, payload};
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;
use tokio_util::sync::CancellationToken;

/// Limit of each wait, far above any expected one; a test that reaches it has hung.
pub(crate) const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(90);
/// Interval at which a condition is polled.
pub(crate) const POLL: time::Duration = time::Duration::from_millis(5);
/// Keys of the load, named as those that `Mesh::wait_until_served` samples.
pub(crate) const KEY_COUNT: u64 = 64;
/// Class divided by key.
pub(crate) const KEYED: &str = "quote-desk";
/// Non-idempotent class.
pub(crate) const NON_IDEMPOTENT: &str = "payout-hub";
/// Class of downloads.
pub(crate) const BULK: &str = "lot-vault";

/// Serialises the deployments of a process. All nodes share one executor thread, so two deployments
/// at once would delay each other's renewals until leases expire.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

/// Runs one test at a time and fails a test that hangs.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let _guard = DEPLOYMENT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let limit = async {
        smol::Timer::after(2 * WAIT_TIMEOUT).await;
        panic!("the test waited {:?} for an event", 2 * WAIT_TIMEOUT);
    };
    smol::block_on(future::or(test, limit))
}

/// Returns a deployment of one class; its deadline is long, so that a slow machine changes no
/// result.
pub(crate) fn single_class(name: &str, workers: u32) -> Deployment {
    let mut deployment = Deployment::bogota();
    deployment.classes.retain(|class| &*class.config.name == name);
    for class in &mut deployment.classes {
        class.workers = workers;
        class.cold_start = time::Duration::ZERO;
        class.config.deadline_ms = 20_000;
        class.config.target_ms = 1_000;
    }
    deployment
}

/// Applies a change to every class of a deployment.
pub(crate) fn change_classes(
    mut deployment: Deployment,
    change: impl Fn(&mut ClassDeployment),
) -> Deployment {
    deployment.classes.iter_mut().for_each(change);
    deployment
}

/// Starts a deployment and waits until every key is served.
pub(crate) async fn start(deployment: Deployment) -> Mesh {
    start_with(deployment, |_| {}).await
}

/// Starts a deployment with other settings of the upstreams.
pub(crate) async fn start_with(deployment: Deployment, tune: UpstreamTuning) -> Mesh {
    let mesh = Mesh::start(deployment, tune).await.unwrap();
    mesh.wait_until_ready(WAIT_TIMEOUT).await.unwrap();
    mesh
}

/// Waits until a condition holds; panics after `WAIT_TIMEOUT`.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(time::Instant::now() < deadline, "waited {WAIT_TIMEOUT:?} until {what}");
        smol::Timer::after(POLL).await;
    }
}

/// Runs a load in the background until a scenario has ended.
pub(crate) async fn under_load<T>(
    standins: &host::StandinHost,
    settings: LoadSettings,
    scenario: impl Future<Output = T>,
) -> (LoadReport, T) {
    let cancel = CancellationToken::new();
    let load = caller::run(standins, settings, &cancel);
    let scenario = async {
        let result = scenario.await;
        cancel.cancel();
        result
    };
    let (report, result) = future::zip(load, scenario).await;
    (report.unwrap(), result)
}

/// Returns the settings of a steady open load over the keys.
pub(crate) fn steady_load(mesh: &Mesh, class: &str) -> LoadSettings {
    LoadSettings {
        arrival: ArrivalMode::Open(200.0),
        total: 1_000_000,
        duration: 4 * WAIT_TIMEOUT,
        timeout: WAIT_TIMEOUT,
        connections: 12,
        keys: KEY_COUNT,
        ..LoadSettings::new(mesh.caller_addresses(), class)
    }
}

/// Asserts that no caller got an answer to another request, an incomplete answer without a
/// transport error, an error without an outcome, or no complete answer in time.
pub(crate) fn assert_valid_outcomes(report: &LoadReport) {
    assert_eq!(report.count(CallOutcome::Wrong), 0, "{:?}", report.failed);
    assert_eq!(report.count(CallOutcome::Unstated), 0, "{:?}", report.failed);
    assert_eq!(report.count(CallOutcome::TimedOut), 0, "{:?}", report.failed);
}

/// An answer, complete or truncated.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Vec<u8>,
    pub(crate) is_complete: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("cornelridge-outcome")
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the kind of the error in the body.
    pub(crate) fn error(&self) -> String {
        self.json()["error"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns whether this is the complete answer with the content that belongs to an echo.
    pub(crate) fn is_response_to(&self, echo: u64) -> bool {
        let is_echo = self.header(payload::ECHO_HEADER) == echo.to_string();
        let is_content = payload::is_content(echo, 0, &self.body);
        self.status == 200 && self.is_complete && is_echo && is_content
    }
}

/// Builds a request without a body.
pub(crate) fn get(class: &str, headers: &[(&str, &str)]) -> http::Request<Full<Bytes>> {
    let mut builder = http::Request::get(format!("/{class}/item")).header("host", "standin");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::default()).unwrap()
}

/// Sends one request on a connection of its own; returns `None` without any answer.
pub(crate) async fn call(
    target: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
) -> Option<Reply> {
    let stream = smol::net::TcpStream::connect(target).await.ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let read_reply = async {
        let response = sender.send_request(request).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let (mut body, mut is_complete) = (Vec::new(), true);
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        Some(Reply { status: parts.status.as_u16(), headers: parts.headers, body, is_complete })
    };
    let connection_task = async {
        let _ = connection.await;
        future::pending().await
    };
    future::or(read_reply, connection_task).await
}

/// Repeats a request for each key until it is answered; panics if any answer belongs to another
/// request.
pub(crate) async fn wait_until_keys_answered(mesh: &Mesh, class: &str, first_echo: u64) {
    let targets = mesh.caller_addresses();
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    for key in 0..KEY_COUNT {
        let echo = first_echo + key;
        let target = targets[key as usize % targets.len()];
        let (key, text) = (format!("key-{key}"), echo.to_string());
        loop {
            let headers = [("cornelridge-key", &*key), (payload::ECHO_HEADER, &*text)];
            let reply = call(target, get(class, &headers)).await;
            if reply.as_ref().is_some_and(|reply| reply.is_response_to(echo)) {
                break;
            }
            let is_error = reply.as_ref().is_none_or(|reply| reply.status >= 500);
            assert!(is_error, "wrong answer for {key}: {reply:?}");
            assert!(time::Instant::now() < deadline, "{key} isn't served: {reply:?}");
            smol::Timer::after(POLL).await;
        }
    }
}

/// Returns the executions of all upstreams, replaced ones included, by start time and with the
/// index of their host.
pub(crate) fn executions(
    mesh: &Mesh,
    replaced_upstreams: &[(usize, UpstreamServer)],
) -> Vec<(usize, Execution)> {
    let running = mesh.hosts.iter().enumerate().map(|(host, entry)| (host, &entry.upstream));
    let replaced_upstreams = replaced_upstreams.iter().map(|(host, upstream)| (*host, upstream));
    let with_host = |(host, upstream): (usize, &UpstreamServer)| {
        upstream.executions().into_iter().map(move |execution| (host, execution))
    };
    let mut all: Vec<_> = running.chain(replaced_upstreams).flat_map(with_host).collect();
    all.sort_by_key(|(_, execution)| execution.started);
    all
}

/// Returns the number of executions so far at the running upstreams.
pub(crate) fn executed_count(mesh: &Mesh) -> u64 {
    mesh.hosts.iter().map(|host| host.upstream.counts().executed).sum()
}

/// Asserts that each key was executed at one host at a time, under fences that rise from one host
/// to the next.
pub(crate) fn assert_one_owner(executions: &[(usize, Execution)]) {
    let mut keys: HashMap<Arc<str>, Vec<&(usize, Execution)>> = HashMap::new();
    for entry in executions {
        let key = entry.1.key.clone().or_else(|| entry.1.idempotency_key.clone());
        keys.entry(key.unwrap()).or_default().push(entry);
    }
    for (key, entries) in &keys {
        let mut highest_fence: Option<(FenceToken, usize)> = None;
        let mut finished: HashMap<usize, time::Instant> = HashMap::new();
        for (host, execution) in entries {
            let fence = execution.fence.unwrap();
            if let Some((seen, owner)) = highest_fence
                && owner != *host
            {
                assert!(fence > seen, "{key}: {fence} at host {host} after {seen} at {owner}");
            }
            if highest_fence.is_none_or(|(seen, _)| fence >= seen) {
                highest_fence = Some((fence, *host));
            }
            let others = finished.iter().filter(|(other, _)| *other != host);
            for (other, ended) in others {
                assert!(
                    *ended <= execution.started,
                    "{key} ran at host {other} until after it had begun at host {host}: {entries:?}"
                );
            }
            if let (ExecutionEnd::Finished, Some(ended)) = (execution.end, execution.ended) {
                let last = finished.entry(*host).or_insert(ended);
                *last = ended.max(*last);
            }
        }
    }
}

/// Starts a node under the name of a lost one, with a new upstream beside it.
pub(crate) async fn replace_host(mesh: &mut Mesh, host: usize) -> (usize, UpstreamServer) {
    let plan = mesh.hosts[host].plan.clone();
    let node = mesh.start_node(&plan).await.unwrap();
    let before = mesh.hosts[host].upstream.settings().clone();
    let settings = UpstreamSettings { announce_to: node.announce_address, ..before };
    let upstream = UpstreamServer::start(&mesh.standins, settings).unwrap();
    mesh.hosts[host].node = Some(node);
    (host, std::mem::replace(&mut mesh.hosts[host].upstream, upstream))
}

/// Returns whether a host serves at least one of the keys.
pub(crate) fn serves_any(mesh: &Mesh, host: usize, class: &str) -> bool {
    let Some(node) = mesh.hosts[host].node.as_ref() else { return false };
    (0..KEY_COUNT).any(|key| node.serves(class, format!("key-{key}").as_bytes()))
}
