//! A deployment in one process: real nodes, a store in memory and workers on loopback.

pub(crate) mod cut_store;
pub(crate) mod relay;
pub(crate) mod script;
pub(crate) mod store;
pub(crate) mod worker;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

use bytes::Bytes;
use cornelridge_fleet::worker_speed::StatedLoad;
use cornelridge_fleet::{budget, config, grant, ledger, member, warm_up, worker_report};
use cornelridge_model::class::KeyDivision;
use cornelridge_model::time::Duration;
use cornelridge_sidecar::{adapter, node, settings};
use futures_lite::future;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use smol_hyper::rt::FuturesIo;

/// Default rate of the link of a host, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 125_000_000;
/// Time limit of [`wait_until`], far above the time that any condition takes.
const WAIT_LIMIT: StdDuration = StdDuration::from_secs(60);

/// A report of a stand-in worker.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StandInReport {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) sequence: u64,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) is_leaving: bool,
    pub(crate) holds: Option<Vec<(u16, u16, u64)>>,
}

/// A reply to a report of a stand-in worker.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct StandInReply {
    pub(crate) holds: Vec<(u16, u16, u64)>,
    pub(crate) hold_ms: u64,
}

/// A call that grants keys to a stand-in worker or takes them back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StandInCall {
    pub(crate) first: u16,
    pub(crate) last: u16,
    pub(crate) fence: u64,
    pub(crate) handover: String,
}

/// Formats of a stand-in for the users' platform.
pub(crate) struct StandInFormat {
    headers: adapter::HeaderNames,
    config: Mutex<config::FleetConfig>,
}

impl adapter::FormatAdapter for StandInFormat {
    fn headers(&self) -> &adapter::HeaderNames {
        &self.headers
    }

    fn parent_of<'a>(&self, id: &'a str) -> Option<&'a str> {
        id.rsplit_once('.').map(|(parent, _)| parent)
    }

    fn readiness_path(&self) -> &str {
        "/ready"
    }

    fn config_key(&self) -> &str {
        "config"
    }

    fn operator_prefix(&self) -> &str {
        "config"
    }

    fn evacuation_prefix(&self) -> &str {
        "config-evacuate/"
    }

    fn decode_config(&self, value: &[u8]) -> Result<config::FleetConfig, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let version = text.trim_end().parse().map_err(|_| format!("{text:?} is no version"))?;
        let mut config = config::FleetConfig { version, ..self.config.lock().unwrap().clone() };
        // Each version has a route of its own, so that tests can see whether it is in force.
        config.routes.push(route(
            "version",
            &format!("/v{version}/"),
            "desk",
            config::RetryRule::Idempotent,
        ));
        Ok(config)
    }

    fn decode_load(&self, value: &[u8]) -> Option<StatedLoad> {
        let text = std::str::from_utf8(value).ok()?;
        let figures: Option<Vec<u32>> = text.split(',').map(|text| text.parse().ok()).collect();
        let [running, waiting] = figures?[..] else { return None };
        Some(StatedLoad { running, waiting, slowdown: 1.0 })
    }

    fn decode_report(
        &self,
        _method: &Method,
        _path: &str,
        _query: &str,
        body: &[u8],
    ) -> Result<adapter::ReportCall, adapter::MalformedCall> {
        let report: StandInReport = serde_json::from_slice(body).map_err(|error| {
            adapter::MalformedCall { status: StatusCode::BAD_REQUEST, reason: error.to_string() }
        })?;
        let held = |(first, last, fence)| worker_report::HeldRange { first, last, fence };
        Ok(adapter::ReportCall::Report(Box::new(worker_report::WorkerReport {
            name: member::WorkerName::new(&report.id, report.born),
            started_unix_ms: report.born,
            sequence: report.sequence,
            service: report.service.into(),
            address: report.address,
            slots: report.slots,
            state: match report.is_leaving {
                true => member::WorkerState::Draining,
                false => member::WorkerState::Ready,
            },
            warm_up: Duration::ZERO,
            lists_ranges: report.holds.is_some(),
            holds: report.holds.into_iter().flatten().map(held).collect(),
            freed: Vec::new(),
        })))
    }

    fn encode_reply(&self, reply: Option<&grant::GrantReply>) -> Bytes {
        let reply = reply.map(|reply| StandInReply {
            holds: reply
                .ranges
                .iter()
                .map(|range| (range.first, range.last, range.fence))
                .collect(),
            hold_ms: reply.hold.as_millis(),
        });
        serde_json::to_vec(&reply).unwrap().into()
    }

    fn encode_call(&self, order: &ledger::CallOrder) -> adapter::EncodedCall {
        let (path, first, last, fence, handover) = match order {
            ledger::CallOrder::Grant(range, _) => {
                ("/grant", range.first, range.last, range.fence, &*range.handover)
            }
            ledger::CallOrder::Release(range) => {
                ("/release", range.first, range.last, range.fence, "")
            }
        };
        let call = StandInCall { first, last, fence, handover: handover.to_owned() };
        adapter::EncodedCall { path, body: serde_json::to_vec(&call).unwrap().into() }
    }
}

fn route(name: &str, prefix: &str, service: &str, retry: config::RetryRule) -> config::RouteConfig {
    config::RouteConfig {
        name: Arc::from(name),
        host: Arc::from("shop.example"),
        prefix: Arc::from(prefix),
        retry,
        is_bulk: false,
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(10),
        max_attempts: 2,
        priority: 1,
        parts: vec![config::RoutePart { service: Arc::from(service), weight: 1 }],
    }
}

fn service(name: &str, division: KeyDivision) -> config::ServiceConfig {
    config::ServiceConfig {
        name: Arc::from(name),
        max_connections: 100,
        division,
        health_path: None,
        warm_up: None,
    }
}

/// Returns a configuration with the services `desk` and `files`, which any worker serves, and
/// `prices`, which is divided by key.
fn fleet_config() -> config::FleetConfig {
    config::FleetConfig {
        version: 1,
        routes: vec![
            route("read", "/read/", "desk", config::RetryRule::Idempotent),
            route("order", "/order/", "desk", config::RetryRule::AtMostOnce),
            route("price", "/price/", "prices", config::RetryRule::Idempotent),
            route("deal", "/deal/", "prices", config::RetryRule::AtMostOnce),
            config::RouteConfig {
                target: Duration::from_millis(300),
                ..route("quick", "/quick/", "desk", config::RetryRule::Idempotent)
            },
            config::RouteConfig {
                is_bulk: true,
                target: Duration::from_secs(14),
                ..route("file", "/file/", "files", config::RetryRule::Idempotent)
            },
            route("stock", "/stock/", "files", config::RetryRule::Idempotent),
            config::RouteConfig {
                priority: 0,
                ..route("urgent", "/urgent/", "desk", config::RetryRule::Idempotent)
            },
            config::RouteConfig {
                priority: 0,
                ..route("alarm", "/alarm/", "files", config::RetryRule::Idempotent)
            },
        ],
        services: vec![
            service("desk", KeyDivision::AnyWorker),
            service("files", KeyDivision::AnyWorker),
            service("prices", KeyDivision::ByKey),
        ],
        limits: config::CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// A host: a node with its worker.
pub(crate) struct Host {
    pub(crate) node: node::SidecarNode,
    pub(crate) worker: worker::StandInWorker,
    /// The store as the node reaches it.
    pub(crate) store: Arc<cut_store::CutStore>,
}

/// A deployment of nodes that share a store.
pub(crate) struct Deployment {
    pub(crate) store: Arc<store::MemoryStore>,
    pub(crate) hosts: Vec<Host>,
    format: Arc<StandInFormat>,
}

/// A response that a caller got.
#[derive(Debug)]
pub(crate) struct CallResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Deployment {
    /// Starts one host for each of `services`, whose worker serves it.
    pub(crate) async fn start(services: &[&str]) -> Deployment {
        Deployment::start_with_store(Arc::default(), services).await
    }

    /// Starts a deployment on the given store.
    pub(crate) async fn start_with_store(
        store: Arc<store::MemoryStore>,
        services: &[&str],
    ) -> Deployment {
        Deployment::start_with_settings(store, services, |_| {}).await
    }

    /// Starts a deployment on the given store, with adjusted settings of the nodes.
    pub(crate) async fn start_with_settings(
        store: Arc<store::MemoryStore>,
        services: &[&str],
        adjust: impl Fn(&mut settings::SidecarSettings),
    ) -> Deployment {
        let format = Arc::new(StandInFormat {
            headers: adapter::HeaderNames {
                request_id: HeaderName::from_static("x-request"),
                deadline: HeaderName::from_static("x-deadline"),
                key: HeaderName::from_static("x-key"),
                caller_service: HeaderName::from_static("x-caller"),
                expected_worker: HeaderName::from_static("x-worker"),
                not_executed: HeaderName::from_static("x-not-executed"),
                signature: HeaderName::from_static("x-signature"),
                handover: HeaderName::from_static("x-handover"),
                worker: HeaderName::from_static("x-instance"),
                warm_up: HeaderName::from_static("x-warm-up"),
                load: HeaderName::from_static("x-load"),
            },
            config: Mutex::new(fleet_config()),
        });
        let mut deployment = Deployment { store, hosts: Vec::new(), format };
        for service in services {
            deployment.add_host(service, &adjust).await;
        }
        deployment
    }

    /// Adds a host whose worker serves `service`.
    pub(crate) async fn add_host(
        &mut self,
        service: &str,
        adjust: impl Fn(&mut settings::SidecarSettings),
    ) {
        let index = self.hosts.len();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let worker = worker::StandInWorker::start(&format!("w{index}"), service).await;
        let mut settings = settings::SidecarSettings {
            node: format!("node-{index}").into(),
            zone: Arc::from("zone"),
            service: Arc::from(service),
            worker: worker.address,
            callers: any,
            peers: any,
            readiness: any,
            reports: any,
            metrics: None,
            link_bytes_per_second: LINK_BYTES_PER_SECOND,
            grant_delivery: grant::GrantDelivery::Replies,
            max_hold: Duration::from_secs(10),
            grace: Duration::from_secs(20),
            drain: Duration::from_secs(2),
            retries: budget::RetryAllowance {
                ratio: 1.0,
                window: Duration::from_secs(10),
                slack: 1_000.0,
            },
            warm_up: warm_up::WarmUpBounds { overshoot: 1.0, slack: 0.0 },
            shares_room: true,
            economizes_zones: false,
            evacuation: Duration::from_secs(5),
            memory_bytes: None,
            max_descriptors: None,
        };
        adjust(&mut settings);
        let store = Arc::new(cut_store::CutStore::new(&self.store));
        let adapter = adapter::PlatformAdapter {
            store: Arc::clone(&store) as _,
            format: Arc::clone(&self.format) as _,
            metrics: String::new,
        };
        let node = node::SidecarNode::start(settings, adapter).await.unwrap();
        worker.report_to(node.addresses.reports);
        self.hosts.push(Host { node, worker, store });
    }

    /// Limits the requests to cold workers of `name`, from the next version of the configuration.
    pub(crate) fn limit_cold_workers(&self, name: &str, rule: warm_up::WarmUpRule) {
        let mut config = self.format.config.lock().unwrap();
        let service = config.services.iter_mut().find(|service| &*service.name == name).unwrap();
        service.warm_up = Some(rule);
        service.health_path = Some(Arc::from(worker::HEALTH_PATH));
    }

    /// Writes a version of the configuration to the store.
    pub(crate) fn configure(&self, version: u64) {
        self.store.put("config", &version.to_string());
    }

    /// Writes a version of the configuration that is padded to `length` bytes.
    pub(crate) fn configure_padded(&self, version: u64, length: usize) {
        let version = version.to_string();
        self.store.put("config", &(version.clone() + &" ".repeat(length - version.len())));
    }

    /// Waits until a request for the path and key is served at each node.
    pub(crate) async fn wait_until_served(&self, path: &'static str, key: Option<u16>) {
        for index in 0..self.hosts.len() {
            let mut attempt = 0;
            wait_until("a request is served", || {
                attempt += 1;
                let id = format!("settle-{index}-{attempt}");
                async move { self.call(index, &id, path, key).await.status == StatusCode::OK }
            })
            .await;
        }
    }

    /// Sends a request to the node of a host and returns the response.
    pub(crate) async fn call(
        &self,
        host: usize,
        id: &str,
        path: &'static str,
        key: Option<u16>,
    ) -> CallResponse {
        let address = self.hosts[host].node.addresses.callers;
        call_at(address, id.to_owned(), path, key).await
    }

    /// Returns how often workers have exited.
    pub(crate) fn exit_count(&self) -> usize {
        self.hosts.iter().map(|host| host.worker.exit_count()).sum()
    }

    /// Returns how often workers have run a request.
    pub(crate) fn runs(&self, id: &str) -> usize {
        self.hosts.iter().map(|host| host.worker.runs(id)).sum()
    }
}

/// Sends a request to the callers' address of a node and returns the response.
pub(crate) async fn call_at(
    address: SocketAddr,
    id: String,
    path: &'static str,
    key: Option<u16>,
) -> CallResponse {
    let mut request = Request::get(path).header("host", "shop.example").header("x-request", id);
    if let Some(key) = key {
        request = request.header("x-key", key);
    }
    let request = request.header("x-deadline", "15000").body(Full::new(Bytes::new())).unwrap();
    send(address, request).await.unwrap()
}

/// Sends a request over a new connection and reads the whole response.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<CallResponse, String> {
    let text = |error: &dyn std::error::Error| error.to_string();
    let stream = smol::net::TcpStream::connect(address).await.map_err(|error| text(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|e| text(&e))?;
    let task = smol::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| text(&error))?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| text(&error))?.to_bytes();
    drop(task);
    let body = String::from_utf8(body.to_vec()).unwrap();
    Ok(CallResponse { status: parts.status, headers: parts.headers, body })
}

/// Waits until a condition holds; panics after [`WAIT_LIMIT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let wait = async {
        while !holds().await {
            smol::Timer::after(StdDuration::from_millis(20)).await;
        }
        true
    };
    let late = async {
        smol::Timer::after(WAIT_LIMIT).await;
        false
    };
    assert!(future::or(wait, late).await, "waited {WAIT_LIMIT:?} until {what}");
}
