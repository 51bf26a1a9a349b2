//! Tests three nodes in separate processes: requests, a node that drains, and one that is killed.

#![allow(clippy::unwrap_used, clippy::panic)]

mod node_process;

use cornelridge_standin::{host, payload, store, upstream};
use futures_lite::future;
use http_body_util::Full;

use node_process::{NodeProcess, POLL_INTERVAL, REGION, Reply, TEST_TIMEOUT, TrialFolder, send};

const CLASS: &str = "quote-desk";
const ZONES: [&str; 3] = ["bog-norte", "bog-centro", "bog-sur"];
/// Number of keys in each check, high enough that each node owns some.
const KEYS: u64 = 48;
/// Service time of requests that must be in flight while their node drains, in milliseconds.
const SLOW_MS: u64 = 1_000;

/// Number of slow requests, lower than the slots of an upstream.
const SLOW_REQUESTS: u64 = 8;

/// Nodes and the upstreams beside them, with their store and files.
struct Site {
    nodes: Vec<NodeProcess>,
    upstreams: Vec<upstream::UpstreamServer>,
    standins: host::StandinHost,
    store: store::StoreServer,
    folder: TrialFolder,
}

impl Site {
    async fn start() -> Site {
        let standins = host::StandinHost::thread().unwrap();
        let store = store::StoreServer::start(&standins).unwrap();
        let folder = TrialFolder::new();
        let (nodes, upstreams) = (Vec::new(), Vec::new());
        let mut site = Site { nodes, upstreams, standins, store, folder };
        for number in 0..ZONES.len() {
            let (node, upstream) = site.start_host(number).await;
            site.nodes.push(node);
            site.upstreams.push(upstream);
        }
        site
    }

    async fn start_host(&self, number: usize) -> (NodeProcess, upstream::UpstreamServer) {
        let name = format!("n{number}");
        let address = self.store.address();
        let node = NodeProcess::start(&self.folder, &name, ZONES[number], address).await;
        let settings = upstream::UpstreamSettings::new(&name, CLASS, node.announcements);
        let upstream = upstream::UpstreamServer::start(&self.standins, settings).unwrap();
        (node, upstream)
    }

    /// Returns the name of a key's owner, as reported by one of the nodes.
    async fn owner(&self, node_index: usize, key: u64) -> Option<String> {
        let path = format!("/owner?class={CLASS}&key=key-{key}");
        let (_, report) = self.nodes[node_index].operator_request("GET", &path, &[], "").await;
        report["owner"].as_str().map(str::to_owned)
    }

    /// Waits until a request for every key succeeds at each of these nodes.
    async fn wait_until_keys_served(&self, entry_nodes: &[usize], first_echo: u64) {
        for key in 0..KEYS {
            for (at, node) in entry_nodes.iter().enumerate() {
                let echo = first_echo + key * 10 + at as u64;
                loop {
                    let reply = request(&self.nodes[*node], key, echo, 0).await;
                    if reply.as_ref().is_ok_and(|reply| is_complete_response(reply, echo)) {
                        break;
                    }
                    let status = reply.as_ref().map_or(503, |reply| reply.status);
                    assert_ne!(status, 200, "key-{key} got another answer: {reply:?}");
                    smol::Timer::after(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Waits until all moves are settled, all hosts own keys, and the guards of every lease are
    /// nodes that currently run.
    async fn wait_until_settled(&self) {
        loop {
            if self.is_settled().await {
                return;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn is_settled(&self) -> bool {
        let (_, status) = self.nodes[0].operator_request("GET", "/status", &[], "").await;
        let class = &status["classes"][0];
        let is_spread = class["owners"].as_array().is_some_and(|all| all.len() == ZONES.len());
        if class["unsettled"] != 0 || !is_spread {
            return false;
        }
        let mut incarnations = Vec::new();
        let mut leases = Vec::new();
        for node in &self.nodes {
            let (_, dump) = node.operator_request("GET", "/dump", &[], "").await;
            incarnations.push(dump["incarnation"].clone());
            let own = dump["ownership"]["leases"].as_array().cloned().unwrap_or_default();
            leases.push(own);
        }
        leases.iter().all(|own| {
            own.len() == 1 && {
                let guards = own[0]["guards"].as_array().cloned().unwrap_or_default();
                own[0]["held"] == true
                    && guards.iter().all(|guard| incarnations.contains(&guard["guard"]))
            }
        })
    }
}

async fn request(node: &NodeProcess, key: u64, echo: u64, ms: u64) -> Result<Reply, String> {
    let request = http::Request::get(format!("/{CLASS}/price"))
        .header("host", "site")
        .header("cornelridge-key", format!("key-{key}"))
        .header(payload::ECHO_HEADER, echo.to_string())
        .header(payload::SERVICE_HEADER, ms.to_string());
    send(node.callers, request.body(Full::default()).unwrap()).await
}

/// Returns whether this is the complete response to the request with this identifier.
fn is_complete_response(reply: &Reply, echo: u64) -> bool {
    reply.status == 200
        && reply.header(payload::ECHO_HEADER) == echo.to_string()
        && payload::is_content(echo, 0, &reply.body)
}

async fn create_class(node: &NodeProcess) {
    let class = serde_json::json!({
        "name": CLASS, "division": "by-key", "idempotent": true,
        "target_ms": 10_000, "deadline_ms": 60_000, "yield_rank": 1,
    });
    let path = format!("/classes/{CLASS}");
    let (status, report) =
        node.operator_request("PUT", &path, &[("if-match", "0")], &class.to_string()).await;
    assert!((200..300).contains(&status), "{status} {report}");
}

/// Checks that a request received by another node runs beside the owner of its key.
async fn check_owner_serves(site: &Site) {
    for key in 0..KEYS {
        let owner = site.owner(0, key).await.unwrap();
        let ingress = site.nodes.iter().position(|node| node.name != owner).unwrap();
        let echo = 500_000 + key;
        let reply = request(&site.nodes[ingress], key, echo, 0).await.unwrap();
        assert!(is_complete_response(&reply, echo), "{reply:?}");
        assert_eq!(reply.header(payload::SERVED_BY_HEADER), owner, "key-{key}");
    }
}

/// Checks that a node that is terminated finishes its requests and ends with exit code 0.
async fn drain_one_node(site: &mut Site) {
    let leaving = 0;
    let mut own = Vec::new();
    for key in 0..KEYS {
        if site.owner(1, key).await.as_deref() == Some("n0") {
            own.push(key);
        }
    }
    assert!(!own.is_empty());
    let before = site.upstreams[leaving].counts().executed;
    // Half of the requests are sent to the leaving node itself, half to another one.
    let slow: Vec<_> = (0..SLOW_REQUESTS)
        .map(|number| {
            let key = own[number as usize % own.len()];
            let node = &site.nodes[if number % 2 == 0 { leaving } else { 1 }];
            async move { request(node, key, 600_000 + number, SLOW_MS).await }
        })
        .collect();
    let started = async {
        while site.upstreams[leaving].counts().executed < before + SLOW_REQUESTS {
            smol::Timer::after(POLL_INTERVAL).await;
        }
        site.nodes[leaving].terminate();
    };
    let (replies, ()) = future::zip(join_all(slow), started).await;
    for (number, reply) in replies.into_iter().enumerate() {
        let reply = reply.unwrap();
        assert!(
            is_complete_response(&reply, 600_000 + number as u64),
            "request {number}: {reply:?}"
        );
    }
    // The other nodes must serve all requests while the slices are handed over.
    for key in 0..KEYS {
        let echo = 700_000 + key;
        let reply = request(&site.nodes[1 + key as usize % 2], key, echo, 0).await.unwrap();
        assert!(is_complete_response(&reply, echo), "key-{key}: {reply:?}");
    }
    assert_eq!(site.nodes[leaving].wait_for_exit().await.code(), Some(0));
}

/// Runs futures concurrently and returns their results in order.
async fn join_all<T>(futures: Vec<impl Future<Output = T>>) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.into_iter().map(|future| executor.spawn(future)).collect();
    let collected = async {
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(collected).await
}

/// Guards against faults that only show in separate processes: reading files, addresses reachable
/// by others, signals, and connections that end with a process.
#[test]
fn processes_serve_through_leaving_and_loss() {
    let scenario = async {
        let mut site = Site::start().await;
        create_class(&site.nodes[2]).await;
        site.wait_until_keys_served(&[0, 1, 2], 0).await;
        site.wait_until_settled().await;
        assert!(site.store.value(&format!("assignment/{REGION}")).is_some());
        check_owner_serves(&site).await;

        drain_one_node(&mut site).await;
        site.wait_until_keys_served(&[1, 2], 100_000).await;

        // The first host is restarted, so that one of three zones is lost and not one of two.
        let (node, upstream) = site.start_host(0).await;
        site.nodes[0] = node;
        site.upstreams[0] = upstream;
        site.wait_until_settled().await;
        site.nodes[1].kill();
        site.wait_until_keys_served(&[0, 2], 200_000).await;
    };
    let limit = async {
        smol::Timer::after(3 * TEST_TIMEOUT).await;
        panic!("the test waited {:?} for an event", 3 * TEST_TIMEOUT);
    };
    smol::block_on(future::or(scenario, limit));
}
