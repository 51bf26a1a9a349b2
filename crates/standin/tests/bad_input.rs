//! Bad input over real sockets: each kind is refused, and the requests of other callers are
//! unaffected.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::net;

use bytes::Bytes;
use cornelridge_standin::caller::CallOutcome;
use cornelridge_standin::mesh::Mesh;
use cornelridge_standin::payload;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use smol_hyper::rt::FuturesIo;
use support::{KEYED, NON_IDEMPOTENT};

const SEED: u64 = 41;

/// Runs a steady load while bad input is sent, and asserts that each request of the load is
/// answered completely.
async fn assert_load_unaffected(
    mesh: &Mesh,
    class: &str,
    send_bad_input: impl Future<Output = ()>,
) {
    let mut load = support::steady_load(mesh, class);
    load.idempotency_keys = class == NON_IDEMPOTENT;
    let scenario = async {
        let before = support::executed_count(mesh);
        send_bad_input.await;
        let enough_executions = || support::executed_count(mesh) > before + 50;
        support::wait_until("other requests are executed", enough_executions).await;
    };
    let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
    assert_eq!(report.count(CallOutcome::Whole), report.total(), "{:?}", report.outcomes);
}

fn caller_addresses(mesh: &Mesh) -> Vec<net::SocketAddr> {
    mesh.caller_addresses()
}

/// Class, headers, expected status and expected error.
type BadRequestCase<'a> = (&'a str, Vec<(&'a str, &'a str)>, u16, &'a str);

/// Guards against a wrong status, or a missing outcome or remedy, in the answer to each kind of bad
/// request.
#[test]
fn bad_requests_are_refused_with_an_outcome_and_a_remedy() {
    support::run(async {
        let mut deployment = support::single_class(KEYED, 3);
        deployment.classes.extend(support::single_class(NON_IDEMPOTENT, 3).classes);
        deployment.classes.sort_by(|a, b| a.config.name.cmp(&b.config.name));
        let mesh = support::start(deployment).await;
        let long_key = "k".repeat(257);
        let long_path = format!("{KEYED}/{}", "p".repeat(9_000));
        let key = ("cornelridge-key", "key-0");
        let cases: [BadRequestCase<'_>; 12] = [
            ("no-such-class", vec![key], 404, "unknown-class"),
            ("", vec![key], 404, "unknown-class"),
            (KEYED, vec![], 400, "missing-key"),
            (KEYED, vec![("cornelridge-key", "")], 400, "missing-key"),
            (KEYED, vec![("cornelridge-key", &long_key)], 400, "bad-request"),
            (NON_IDEMPOTENT, vec![], 400, "missing-idempotency-key"),
            (NON_IDEMPOTENT, vec![("idempotency-key", &long_key)], 400, "bad-request"),
            (KEYED, vec![key, ("cornelridge-deadline-ms", "soon")], 400, "bad-request"),
            (KEYED, vec![key, ("cornelridge-deadline-ms", "0")], 400, "bad-request"),
            (KEYED, vec![key, ("cornelridge-deadline-ms", "-5")], 400, "bad-request"),
            (KEYED, vec![key, ("cornelridge-deadline-ms", "99999999999999")], 400, "bad-request"),
            (&long_path, vec![key], 400, "bad-request"),
        ];
        let before = support::executed_count(&mesh);
        for target in caller_addresses(&mesh).into_iter().take(2) {
            for (class, headers, status, error) in &cases {
                let reply = support::call(target, support::get(class, headers)).await.unwrap();
                let seen = (reply.status, reply.error());
                assert_eq!(seen, (*status, (*error).to_owned()), "{class:.20} {reply:?}");
                assert_eq!(reply.outcome(), "not-run", "{reply:?}");
                let body = reply.json();
                assert_eq!(body["outcome"], "not-run", "{body}");
                assert!(!body["remedy"].as_str().unwrap().is_empty(), "{body}");
            }
        }
        assert_eq!(support::executed_count(&mesh), before);
    });
}

/// Sends bytes and closes the sending side; returns what is received until the peer closes.
async fn send_raw(target: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = smol::net::TcpStream::connect(target).await.unwrap();
    // The node may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown(net::Shutdown::Write);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    received
}

/// Guards against malformed input that is accepted as a request, affects other callers or ends the
/// process.
#[test]
fn malformed_bytes_disturb_nobody() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let target = caller_addresses(&mesh)[0];
        let head = format!("/{KEYED}/x HTTP/1.1\r\nhost: a\r\ncornelridge-key: key-0\r\n");
        let long_header = format!("GET {head}x: {}\r\n\r\n", "a".repeat(40_000));
        let long_path = format!("GET /{KEYED}/{} HTTP/1.1\r\n\r\n", "p".repeat(70_000));
        let refused = [
            long_header.clone(),
            long_path,
            format!("POST {head}content-length: -1\r\n\r\nabc"),
            format!("POST {head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
            format!("POST {head}content-length: 99999999999999999999999\r\n\r\n"),
            "\u{0}\u{1}\u{2}garbage\r\n\r\n".to_owned(),
        ];
        let send_bad_input = async {
            for bytes in &refused {
                let answer = send_raw(target, bytes.as_bytes()).await;
                let text = String::from_utf8_lossy(&answer);
                let is_refused = text.is_empty() || text.starts_with("HTTP/1.1 4");
                assert!(is_refused, "{bytes:.60}: {text}");
            }
            // A body shorter than its length, and malformed bytes after a complete request.
            send_raw(target, format!("POST {head}content-length: 900\r\n\r\nabc").as_bytes()).await;
            let pipelined =
                send_raw(target, format!("GET {head}\r\n\u{1}\u{2} / \r\n\r\n").as_bytes()).await;
            assert!(!String::from_utf8_lossy(&pipelined).contains("HTTP/1.1 5"), "{pipelined:?}");
            let mut random = fastrand::Rng::with_seed(SEED);
            for _ in 0..50 {
                let bytes: Vec<u8> = (0..random.usize(1..2_000)).map(|_| random.u8(..)).collect();
                send_raw(target, &bytes).await;
            }
        };
        assert_load_unaffected(&mesh, KEYED, send_bad_input).await;
    });
}

/// Guards against callers that send no or only part of a request and, by holding their connections
/// open, keep others from being served.
#[test]
fn half_open_callers_disturb_nobody() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let target = caller_addresses(&mesh)[0];
        let send_bad_input = async {
            let mut open = Vec::new();
            for number in 0..200 {
                let mut stream = smol::net::TcpStream::connect(target).await.unwrap();
                if number % 2 == 0 {
                    let head = format!("GET /{KEYED}/x HTTP/1.1\r\nhost: a\r\ncornelridge");
                    stream.write_all(head.as_bytes()).await.unwrap();
                }
                open.push(stream);
            }
            // The header timeout closes each connection.
            for mut stream in open {
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
            }
        };
        assert_load_unaffected(&mesh, KEYED, send_bad_input).await;
    });
}

/// Guards against refusing an HTTP/2 caller or mixing up the answers of its streams.
#[test]
fn http2_callers_get_their_own_answers() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        for target in caller_addresses(&mesh) {
            let stream = smol::net::TcpStream::connect(target).await.unwrap();
            let executor = SpawnExecutor;
            let (sender, connection) =
                http2::handshake(executor, FuturesIo::new(stream)).await.unwrap();
            let driver = smol::spawn(async move { drop(connection.await) });
            let calls = (1..=40_u64).map(|echo| {
                let mut sender = sender.clone();
                smol::spawn(async move {
                    let request = http::Request::get(format!("http://node/{KEYED}/item"))
                        .header("cornelridge-key", format!("key-{}", echo % 7))
                        .header(payload::ECHO_HEADER, echo)
                        .body(Full::new(Bytes::new()))
                        .unwrap();
                    let response = sender.send_request(request).await.unwrap();
                    assert_eq!(response.status(), 200);
                    let body = response.into_body().collect().await.unwrap().to_bytes();
                    assert!(!body.is_empty() && payload::is_content(echo, 0, &body));
                })
            });
            for call in calls.collect::<Vec<_>>() {
                call.await;
            }
            drop(driver);
        }
    });
}

/// Runs the tasks of an HTTP/2 connection on the global executor.
#[derive(Clone, Copy)]
struct SpawnExecutor;

impl<F: Future + Send + 'static> hyper::rt::Executor<F> for SpawnExecutor {
    fn execute(&self, task: F) {
        smol::spawn(async move { drop(task.await) }).detach();
    }
}

/// Guards against invalid datagrams on the QUIC port that affect leases or requests between nodes.
#[test]
fn garbage_datagrams_disturb_nobody() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let addresses: Vec<_> = mesh.nodes().map(|node| node.peer_address).collect();
        let send_bad_input = async {
            let local = net::SocketAddr::new(addresses[0].ip(), 0);
            let socket = smol::net::UdpSocket::bind(local).await.unwrap();
            let mut random = fastrand::Rng::with_seed(SEED);
            for _ in 0..300 {
                let mut bytes: Vec<u8> =
                    (0..random.usize(1..1_300)).map(|_| random.u8(..)).collect();
                if random.bool() {
                    // The first byte of a QUIC packet with a long header.
                    bytes[0] |= 0xc0;
                }
                for address in &addresses {
                    let _ = socket.send_to(&bytes, address).await;
                }
                future::yield_now().await;
            }
        };
        assert_load_unaffected(&mesh, KEYED, send_bad_input).await;
        support::assert_one_owner(&support::executions(&mesh, &[]));
    });
}
