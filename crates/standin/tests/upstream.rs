//! The stand-in upstream and the stand-in caller against each other: if a stand-in injected other
//! faults than requested or missed a wrong answer, tests that use it would prove nothing.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::HashSet;
use std::net;
use std::sync::Arc;
use std::time;

use cornelridge_model::class::KeyDivision;
use cornelridge_standin::caller::{ArrivalMode, CallOutcome, LoadReport, LoadSettings};
use cornelridge_standin::upstream::{ExecutionEnd, UpstreamServer, UpstreamSettings};
use cornelridge_standin::{caller, deployment, host, payload};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tokio_util::sync::CancellationToken;

/// Limit of a test, far above any expected wait; a test that reaches it has hung.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

fn run<T>(test: impl Future<Output = T>) -> T {
    let limit = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test waited {TEST_TIMEOUT:?} for an event");
    };
    smol::block_on(future::or(test, limit))
}

fn settings() -> UpstreamSettings {
    let unused_address = ([127, 0, 0, 1], 1).into();
    let mut settings = UpstreamSettings::new("quote-desk-1", "quote-desk", unused_address);
    settings.service_time = time::Duration::ZERO;
    settings
}

fn start(settings: UpstreamSettings) -> (host::StandinHost, UpstreamServer) {
    let host = host::StandinHost::thread().unwrap();
    let server = UpstreamServer::start(&host, settings).unwrap();
    (host, server)
}

fn calls(target: net::SocketAddr, total: u64) -> LoadSettings {
    LoadSettings { total, timeout: TEST_TIMEOUT, ..LoadSettings::new(vec![target], "quote-desk") }
}

async fn send(host: &host::StandinHost, settings: LoadSettings) -> LoadReport {
    caller::run(host, settings, &CancellationToken::new()).await.unwrap()
}

/// Waits until another thread makes a condition true.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        future::yield_now().await;
    }
}

/// Guards against a request that is run twice or never, or answered with the content of another
/// request, in both arrival modes.
#[test]
fn answers_belong_to_their_requests() {
    run(async {
        let (host, server) = start(settings());
        for arrival in [ArrivalMode::Closed, ArrivalMode::Open(5_000.0)] {
            let report =
                send(&host, LoadSettings { arrival, ..calls(server.address(), 500) }).await;
            assert_eq!(report.count(CallOutcome::Whole), 500, "{:?}", report.outcomes);
            assert_eq!(report.latency.len(), 500);
        }
        let executions = server.executions();
        assert_eq!(executions.len(), 1_000);
        let echoes: HashSet<_> = executions.iter().map(|execution| execution.echo).collect();
        assert_eq!(echoes.len(), 500);
        assert!(executions.iter().all(|entry| entry.end == ExecutionEnd::Finished));
    });
}

/// Guards against a large answer that arrives incomplete, and against a truncated answer that looks
/// complete to the caller.
#[test]
fn large_answers_are_whole_or_visibly_cut() {
    run(async {
        let (host, server) = start(settings());
        let large = LoadSettings { answer_bytes: 8 << 20, ..calls(server.address(), 4) };
        let report = send(&host, large.clone()).await;
        assert_eq!((report.count(CallOutcome::Whole), report.bytes), (4, 32 << 20));
        server.set_truncate_after(Some(100_000));
        assert_eq!(send(&host, large).await.count(CallOutcome::Cut), 4);
        let small = calls(server.address(), 4);
        assert_eq!(send(&host, small).await.count(CallOutcome::Whole), 4);
    });
}

/// Guards against an upstream that compares fences across keys: a fence covers one slice, so a
/// lower one is valid for another key, also where the idempotency key takes the place of the key.
#[test]
fn lower_fences_of_other_keys_are_accepted() {
    run(async {
        let (host, server) = start(settings());
        for (keys, idempotency_keys) in [(1_000, false), (0, true)] {
            for (first_id, fence) in [(1, "9.0"), (2, "8.0")] {
                let headers = vec![("cornelridge-fence", fence.to_owned())];
                let seed = first_id;
                let load = LoadSettings {
                    keys,
                    idempotency_keys,
                    headers,
                    first_id,
                    seed,
                    ..calls(server.address(), 1)
                };
                assert_eq!(send(&host, load).await.count(CallOutcome::Whole), 1);
            }
        }
        assert_eq!(server.counts().refused_fence, 0);
    });
}

/// Guards against executing a request with an older fence, and against refusing one at an upstream
/// that doesn't check fences.
#[test]
fn older_fences_are_refused() {
    run(async {
        for checks_fences in [true, false] {
            let (host, server) = start(UpstreamSettings { checks_fences, ..settings() });
            let fenced = |fence: &str| {
                let headers = vec![("cornelridge-fence", fence.to_owned())];
                LoadSettings { headers, keys: 1, ..calls(server.address(), 1) }
            };
            let newer = send(&host, fenced("9.0")).await;
            assert_eq!(newer.count(CallOutcome::Whole), 1);
            let older = send(&host, fenced("8.2")).await;
            assert_eq!(older.statuses.contains_key(&412), checks_fences);
            assert_eq!(server.counts().refused_fence, u64::from(checks_fences));
            assert_eq!(server.counts().executed, 2 - u64::from(checks_fences));
            let same = send(&host, fenced("9.0")).await;
            assert_eq!(same.count(CallOutcome::Whole), 1);
        }
    });
}

/// Guards against a frozen upstream that executes requests, or that doesn't finish them once it is
/// unfrozen.
#[test]
fn a_frozen_upstream_finishes_later() {
    run(async {
        let (host, server) = start(settings());
        server.freeze();
        let load = send(&host, calls(server.address(), 4));
        let unfreeze = async {
            for _ in 0..1_000 {
                future::yield_now().await;
            }
            assert_eq!(server.counts().executed, 0);
            server.unfreeze();
        };
        let (report, ()) = future::zip(load, unfreeze).await;
        assert_eq!(report.count(CallOutcome::Whole), 4);
    });
}

/// Guards against a simulated crash that leaves requests in flight running, the port open, or the
/// state per key in place.
#[test]
fn a_crash_loses_connections_and_state() {
    run(async {
        let (host, server) = start(settings());
        let slow = vec![(payload::SERVICE_HEADER, "600000".to_owned())];
        let load = LoadSettings { headers: slow, ..calls(server.address(), 4) };
        let crash = async {
            wait_until(|| server.counts().executed == 4).await;
            server.crash();
        };
        let (report, ()) = future::zip(send(&host, load), crash).await;
        assert_eq!(report.count(CallOutcome::NoAnswer), 4);
        wait_until(|| server.executions().iter().all(|e| e.end == ExecutionEnd::Abandoned)).await;
        assert_eq!(send(&host, calls(server.address(), 1)).await.count(CallOutcome::NoAnswer), 1);
        server.restart().unwrap();
        let first = LoadSettings { keys: 1, ..calls(server.address(), 1) };
        assert_eq!(send(&host, first).await.count(CallOutcome::Whole), 1);
        assert_eq!(server.counts().starts, 2);
        let crashing = vec![(payload::CRASH_HEADER, "1".to_owned())];
        let load = LoadSettings { headers: crashing, ..calls(server.address(), 1) };
        assert_eq!(send(&host, load).await.count(CallOutcome::NoAnswer), 1);
        assert!(!server.is_running());
    });
}

/// Guards against running a request that is refused because of load.
#[test]
fn shed_load_is_not_run() {
    run(async {
        let (host, server) = start(settings());
        server.set_sheds_load(true);
        let report = send(&host, calls(server.address(), 10)).await;
        assert_eq!(report.statuses.get(&503), Some(&10));
        assert_eq!((server.counts().executed, server.counts().refused_load), (0, 10));
    });
}

/// Guards against an upstream that doesn't announce its start and its departure to the node at
/// once. The upstream repeats its announcement each second.
#[test]
fn announcements_reach_the_node() {
    run(async {
        let node = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let announce_to = node.local_addr().unwrap();
        let (_host, server) = start(UpstreamSettings { announce_to, ..settings() });
        let announcement = announced(&node).await;
        let address = server.address().to_string();
        assert_eq!(announcement["address"].as_str(), Some(address.as_str()));
        assert_eq!(announcement["class"], "quote-desk");
        assert_eq!(
            (&announcement["slots"], &announcement["connections"]),
            (&12.into(), &110.into())
        );
        assert_eq!(
            (&announcement["checks_fences"], &announcement["leaving"]),
            (&true.into(), &false.into())
        );
        server.start_leaving();
        while announced(&node).await["leaving"] != true {}
        wait_until(|| server.counts().announced > 0).await;
    });
}

async fn announced(node: &smol::net::TcpListener) -> serde_json::Value {
    let (mut stream, _) = node.accept().await.unwrap();
    let mut received = Vec::new();
    loop {
        let mut chunk = [0; 1_024];
        let length = stream.read(&mut chunk).await.unwrap();
        received.extend_from_slice(&chunk[..length]);
        let text = String::from_utf8(received.clone()).unwrap();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        assert!(head.starts_with("POST /announce HTTP/1.1"), "{head}");
        if let Ok(announcement) = serde_json::from_str(body) {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await.unwrap();
            return announcement;
        }
    }
}

/// Guards against a stand-in that keeps its port open after it was cancelled or dropped, also on a
/// given executor: later runs would connect to it.
#[test]
fn stand_ins_stop() {
    run(async {
        let executor = Arc::new(smol::Executor::new());
        let host = host::StandinHost::executor(Arc::clone(&executor));
        let cancel = CancellationToken::new();
        let stopping = async {
            let server = UpstreamServer::start_with(&host, settings(), cancel.clone()).unwrap();
            let address = server.address();
            assert_eq!(send(&host, calls(address, 4)).await.count(CallOutcome::Whole), 4);
            cancel.cancel();
            while smol::net::TcpStream::connect(address).await.is_ok() {}
            let server = UpstreamServer::start(&host, settings()).unwrap();
            let address = server.address();
            assert_eq!(send(&host, calls(address, 4)).await.count(CallOutcome::Whole), 4);
            drop(server);
            while smol::net::TcpStream::connect(address).await.is_ok() {}
        };
        executor.run(stopping).await;
    });
}

/// Guards against a caller that accepts an answer to another request, one with wrong content or one
/// that is too short.
#[test]
fn the_caller_sees_wrong_answers() {
    run(async {
        for answer in [
            "HTTP/1.1 200 OK\r\nstandin-echo: 2\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nstandin-echo: 1\r\ncontent-length: 3\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nstandin-echo: 1\r\ncontent-length: 0\r\n\r\n",
        ] {
            let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let load = LoadSettings {
                connections: 1,
                answer_bytes: 3,
                ..calls(listener.local_addr().unwrap(), 1)
            };
            let host = host::StandinHost::thread().unwrap();
            let answering = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 4_096]).await;
                stream.write_all(answer.as_bytes()).await.unwrap();
                stream
            };
            let (report, _stream) = future::zip(send(&host, load), answering).await;
            assert_eq!(report.count(CallOutcome::Wrong), 1, "{answer}: {:?}", report.outcomes);
        }
    });
}

/// Guards against deployments that are invalid as configuration or differ from the design page in
/// their workers.
#[test]
fn deployments_are_valid() {
    for site in [deployment::Deployment::bogota(), deployment::Deployment::nairobi()] {
        assert_eq!(site.class_document().validate(), Ok(()));
        let workers = site.workers();
        assert_eq!(workers.len(), 10);
        let names: HashSet<_> = workers.iter().map(|worker| &worker.name).collect();
        assert_eq!(names.len(), 10);
        for entry in &site.classes {
            let of_class = workers.iter().filter(|worker| worker.class == entry.config.name);
            let zones: HashSet<_> = of_class.clone().map(|worker| worker.zone).collect();
            let is_keyed = entry.config.division == KeyDivision::ByKey;
            assert_eq!((of_class.count(), zones.len()), (if is_keyed { 4 } else { 3 }, 3));
        }
    }
}
