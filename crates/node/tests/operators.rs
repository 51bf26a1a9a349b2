//! Tests of the operators' endpoint over loopback sockets.

// clippy.toml allows these in tests, but clippy doesn't count helpers of test files as tests.
#![allow(clippy::unwrap_used, clippy::panic)]

mod fake_admin;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use cornelridge::metering;
use cornelridge_model::report::{ConflictBase, DifferenceKind, ErrorReport};
use cornelridge_model::{class, report};
use fake_admin::{FakeAdmin, FakeNode, StoreMode, TOKEN, class_named};
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use serde::de::DeserializeOwned;
use smol_hyper::rt::FuturesIo;

struct Reply {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

impl Reply {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns status and kind of an error, which must have a message and a remedy.
    fn error(&self) -> (u16, String) {
        let report: ErrorReport = self.json();
        assert!(!report.message.is_empty() && !report.remedy.is_empty(), "{report:?}");
        (self.status, report.error)
    }
}

fn send(node: &FakeNode, request: http::request::Builder, body: impl Into<Bytes>) -> Reply {
    let request = request.header("host", "n1").body(Full::new(body.into())).unwrap();
    smol::block_on(async {
        let stream = smol::net::TcpStream::connect(node.address).await.unwrap();
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.unwrap();
        let drive = async {
            let _ = connection.await;
            smol::future::pending().await
        };
        let exchange = async {
            let response = sender.send_request(request).await.unwrap();
            let (head, body) = response.into_parts();
            let body = body.collect().await.unwrap().to_bytes();
            Reply { status: head.status.as_u16(), headers: head.headers, body }
        };
        smol::future::or(exchange, drive).await
    })
}

fn authorized(method: Method, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(path).header("authorization", format!("Bearer {TOKEN}"))
}

fn get(node: &FakeNode, path: &str) -> Reply {
    send(node, authorized(Method::GET, path), "")
}

fn post(node: &FakeNode, path: &str, body: &str) -> Reply {
    send(node, authorized(Method::POST, path), body.to_owned())
}

fn put(node: &FakeNode, class: &class::ClassConfig, expected: u64) -> Reply {
    let request = authorized(Method::PUT, &format!("/classes/{}", class.name));
    let body = serde_json::to_vec(class).unwrap();
    send(node, request.header("if-match", expected.to_string()), body)
}

#[test]
fn wrong_tokens_reach_nothing() {
    // Guards against a path without a token check, and against a check that accepts a prefix.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    let paths = [
        (Method::GET, "/status"),
        (Method::GET, "/dump"),
        (Method::GET, "/metrics"),
        (Method::GET, "/livez"),
        (Method::GET, "/readyz"),
        (Method::GET, "/classes"),
        (Method::GET, "/classes/quote-desk"),
        (Method::PUT, "/classes/quote-desk"),
        (Method::DELETE, "/classes/quote-desk"),
        (Method::POST, "/drain"),
        (Method::GET, "/owner?class=quote-desk&key=a"),
        (Method::POST, "/retire"),
        (Method::GET, "/unknown"),
    ];
    let prefix = &TOKEN[..TOKEN.len() - 1];
    let values = [
        String::new(),
        "Bearer ".to_owned(),
        format!("Bearer {prefix}"),
        format!("Bearer {TOKEN}x"),
        format!("Basic {TOKEN}"),
        TOKEN.to_owned(),
    ];
    for (method, path) in &paths {
        for value in &values {
            let request = Request::builder().method(method).uri(*path);
            let reply = send(&node, request.header("authorization", value), "{}");
            assert_eq!(reply.error(), (401, "unauthorized".to_owned()), "{path} {value}");
        }
        let reply = send(&node, Request::builder().method(method).uri(*path), "");
        assert_eq!(reply.status, 401, "{path}");
        assert_eq!(reply.headers["www-authenticate"], "Bearer");
        assert!(!String::from_utf8_lossy(&reply.body).contains(TOKEN));
    }
    assert_eq!(admin.with(|state| (state.call_count, state.drain_count)), (0, 0));
}

#[test]
fn reads_report_the_node() {
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    assert_eq!(get(&node, "/status").json::<report::StatusReport>().revision.0, 4);
    assert_eq!(get(&node, "/dump?node=n1").json::<serde_json::Value>()["node"], "n1");
    let classes = get(&node, "/classes");
    assert_eq!(classes.headers["etag"], "\"4\"");
    assert_eq!(classes.json::<class::ClassDocument>().classes.len(), 2);
    let shown = get(&node, "/classes/quote-desk").json::<report::ClassReport>();
    assert_eq!((shown.revision.0, shown.class), (4, class_named("quote-desk")));
    assert_eq!(get(&node, "/livez").status, 200);
    assert_eq!(get(&node, "/readyz").status, 200);
    admin.with(|state| (state.live, state.ready) = (false, false));
    assert_eq!(get(&node, "/livez").error(), (503, "not-live".to_owned()));
    assert_eq!(get(&node, "/readyz").error(), (503, "not-ready".to_owned()));
}

#[test]
fn owner_needs_a_text_key_of_a_class_with_owners() {
    // Guards against returning the owner of another key: lossy decoding would change the hash.
    let node = FakeNode::start(&FakeAdmin::new());
    let owner = get(&node, "/owner?class=quote-desk&key=SN%204711%26%C3%B1");
    assert_eq!(owner.json::<report::OwnerReport>().key, "SN 4711&ñ");
    let long = format!("/owner?class=quote-desk&key={}", "k".repeat(257));
    let cases = [
        ("/owner?class=quote-desk", 400, "bad-request"),
        ("/owner?class=quote-desk&key=", 400, "bad-request"),
        ("/owner?class=quote-desk&key=%FF", 400, "bad-request"),
        (&long, 400, "bad-request"),
        ("/owner?class=lookup&key=a", 400, "no-owner"),
        ("/owner?class=none&key=a", 404, "unknown-class"),
    ];
    for (path, status, kind) in cases {
        assert_eq!(get(&node, path).error(), (status, kind.to_owned()), "{path}");
    }
}

#[test]
fn concurrent_changes_lose_no_update() {
    // Guards against lost updates when several operators read revision 4 and change it.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    let change = |target_ms| class::ClassConfig { target_ms, ..class_named("quote-desk") };
    let replies: Vec<(u64, Reply)> = thread::scope(|scope| {
        let node = &node;
        let put = |target| scope.spawn(move || (target, put(node, &change(target), 4)));
        let tasks: Vec<_> = (30..38).map(put).collect();
        tasks.into_iter().map(|task| task.join().unwrap()).collect()
    });
    let (winners, losers): (Vec<_>, Vec<_>) =
        replies.iter().partition(|(_, reply)| reply.status == 200);
    assert_eq!((winners.len(), losers.len()), (1, 7));
    let (target, winner) = winners[0];
    assert_eq!(winner.json::<report::ChangeReport>().revision.0, 5);
    for (_, loser) in &losers {
        assert_eq!(loser.error(), (409, "revision-conflict".to_owned()));
        let conflict = loser.json::<ErrorReport>().conflict.unwrap();
        assert_eq!((conflict.expected.0, conflict.current.0), (4, 5));
        assert_eq!(conflict.compared, ConflictBase::ExpectedRevision);
        let [difference] = &conflict.differences[..] else { panic!("{conflict:?}") };
        assert_eq!((&*difference.class, difference.kind), ("quote-desk", DifferenceKind::Changed));
        let [field] = &difference.fields[..] else { panic!("{difference:?}") };
        assert_eq!(field.field, "target_ms");
        assert_eq!((&*field.before, field.current.parse()), ("20", Ok(*target)));
    }
    assert_eq!(admin.with(|state| state.document.clone().classes[1].target_ms), *target);
    assert_eq!(put(&node, &change(40), 5).json::<report::ChangeReport>().revision.0, 6);
}

#[test]
fn conflict_without_history_compares_the_rejected_change() {
    // Guards against a conflict without differences after a restart, when older revisions are
    // unknown.
    let node = FakeNode::start(&FakeAdmin::new());
    let wanted = class::ClassConfig { yield_rank: 7, ..class_named("quote-desk") };
    let conflict = put(&node, &wanted, 2).json::<ErrorReport>().conflict.unwrap();
    assert_eq!(conflict.compared, ConflictBase::RejectedChange);
    let field = &conflict.differences[0].fields[0];
    assert_eq!((&*field.field, &*field.before, &*field.current), ("yield_rank", "7", "1"));
    let added = put(&node, &class_named("new"), 2).json::<ErrorReport>().conflict.unwrap();
    assert_eq!(added.differences[0].kind, DifferenceKind::Deleted);
}

#[test]
fn changes_are_checked_before_they_reach_the_store() {
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    let class = class_named("quote-desk");
    let body = serde_json::to_string(&class).unwrap();
    let request = || authorized(Method::PUT, "/classes/quote-desk");
    let broken = class::ClassConfig { target_ms: 0, ..class };
    let unknown_field = body.replacen('{', "{\"weight\":3,", 1);
    let match_4 = || request().header("if-match", "4");
    let cases = [
        (send(&node, request(), body.clone()), 428, "revision-missing"),
        (send(&node, request().header("if-match", "x"), body.clone()), 400, "bad-request"),
        (send(&node, match_4(), "{"), 400, "bad-request"),
        (send(&node, match_4(), unknown_field), 400, "bad-request"),
        (put(&node, &broken, 4), 400, "invalid-class"),
        (send(&node, match_4(), body.replace("quote-desk", "other")), 400, "name-mismatch"),
        (delete(&node, "none", 4), 404, "unknown-class"),
        (get(&node, "/classes/none"), 404, "unknown-class"),
    ];
    for (reply, status, kind) in cases {
        assert_eq!(reply.error(), (status, kind.to_owned()));
    }
    assert_eq!(admin.with(|state| state.document.revision.0), 4);
    assert_eq!(delete(&node, "lookup", 4).status, 200);
    assert_eq!(admin.with(|state| state.document.classes.len()), 1);
}

fn delete(node: &FakeNode, name: &str, expected: u64) -> Reply {
    let request = authorized(Method::DELETE, &format!("/classes/{name}"));
    send(node, request.header("if-match", expected), "")
}

#[test]
fn store_failures_tell_whether_the_change_is_known() {
    // Guards against reporting a lost response as a failure, after which an operator would repeat
    // the change.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    admin.with(|state| state.store = StoreMode::Down);
    let class = class_named("quote-desk");
    assert_eq!(put(&node, &class, 4).error(), (503, "store-unavailable".to_owned()));
    admin.with(|state| state.store = StoreMode::LosesResponses);
    assert_eq!(put(&node, &class, 4).error(), (504, "outcome-unknown".to_owned()));
}

#[test]
fn drain_and_retire_act_only_on_the_named_node() {
    // Guards against draining the wrong node because of a wrong address.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    assert_eq!(post(&node, "/drain?node=n2", "").error(), (409, "wrong-node".to_owned()));
    assert_eq!(get(&node, "/dump?node=n2").error(), (409, "wrong-node".to_owned()));
    assert_eq!(admin.with(|state| state.drain_count), 0);
    let reply = post(&node, "/drain?node=n1", "");
    assert_eq!((reply.status, reply.json::<report::DrainReport>().slices), (202, 64));
    let retire = |name, dead| {
        post(&node, "/retire", &format!(r#"{{"node":"{name}","confirmed_dead":{dead}}}"#))
    };
    assert_eq!(retire("n2", false).error(), (400, "not-confirmed".to_owned()));
    assert_eq!(retire("n1", true).error(), (409, "still-alive".to_owned()));
    assert_eq!(retire("n9", true).error(), (404, "unknown-node".to_owned()));
    assert!(admin.with(|state| state.retired.is_empty()));
    assert_eq!(retire("n2", true).json::<report::RetireReport>().epoch.0, 10);
    assert_eq!(admin.with(|state| state.retired.clone()), ["n2"]);
}

#[test]
fn unknown_paths_and_methods_state_what_exists() {
    let node = FakeNode::start(&FakeAdmin::new());
    assert_eq!(get(&node, "/nothing").error(), (404, "unknown-path".to_owned()));
    for path in ["/status", "/classes", "/livez", "/classes/quote-desk"] {
        assert_eq!(post(&node, path, "").error(), (405, "wrong-method".to_owned()), "{path}");
    }
    for path in ["/drain", "/retire"] {
        assert_eq!(get(&node, path).error(), (405, "wrong-method".to_owned()), "{path}");
    }
}

#[test]
fn oversized_and_malformed_requests_leave_the_endpoint_working() {
    // Guards against unbounded memory use, and against a connection reset that hides the error
    // from the operator.
    let admin = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    for bytes in [64 * 1_024 + 1, 700 * 1_024] {
        let request = authorized(Method::PUT, "/classes/quote-desk").header("if-match", "4");
        let reply = send(&node, request, vec![b' '; bytes]);
        assert_eq!(reply.error(), (413, "too-large".to_owned()), "{bytes}");
    }
    let header = "x".repeat(20 * 1_024);
    assert_eq!(send(&node, authorized(Method::GET, "/status").header("x", header), "").status, 431);
    for garbage in [&b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"[..], b"PRI * HTTP/2.0\r\n\r\n"]
    {
        let mut stream = TcpStream::connect(node.address).unwrap();
        stream.write_all(garbage).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        // Reads until the endpoint closes the connection; a reset counts as closed.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    // The endpoint must stop reading an endless body.
    let mut stream = TcpStream::connect(node.address).unwrap();
    let head = format!(
        "PUT /classes/quote-desk HTTP/1.1\r\nhost: n1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 1000000000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = [b' '; 64 * 1_024];
    let sent = (0..1_024).take_while(|_| stream.write_all(&chunk).is_ok()).count();
    assert!(sent < 1_024, "the endpoint read 64 MiB of one body");
    assert_eq!(get(&node, "/status").status, 200);
    assert_eq!(admin.with(|state| state.document.revision.0), 4);
}

#[test]
fn open_connections_do_not_delay_the_stop() {
    // Guards against an idle connection of an operator that keeps the process from exiting.
    let node = FakeNode::start(&FakeAdmin::new());
    let mut stream = TcpStream::connect(node.address).unwrap();
    let request =
        format!("GET /livez HTTP/1.1\r\nhost: n1\r\nauthorization: Bearer {TOKEN}\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut first = [0; 12];
    stream.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    drop(node);
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
}

#[test]
fn metrics_have_help_and_the_label_of_their_node() {
    // Guards against a second installation of the recorder that replaces or breaks the first.
    metering::install().unwrap();
    let node = FakeNode::start(&FakeAdmin::new());
    assert_eq!(get(&node, "/status").status, 200);
    metering::install().unwrap();
    let labels = [("node", "n7"), ("class", "quote-desk")];
    metrics::histogram!(metering::REQUEST_SECONDS, &labels).record(0.003);
    metering::upkeep();
    let reply = get(&node, "/metrics");
    assert_eq!(reply.headers["content-type"], "text/plain; version=0.0.4");
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    let has = |part: &str| assert!(text.contains(part), "{part} is not in:\n{text}");
    has("cornelridge_operator_requests_total{node=\"n1\",status=\"200\"}");
    has("# TYPE cornelridge_operator_requests_total counter");
    has("# HELP cornelridge_request_seconds time of callers' requests");
    has("cornelridge_request_seconds_bucket{node=\"n7\",class=\"quote-desk\",le=\"0.002\"} 0");
    has("cornelridge_request_seconds_bucket{node=\"n7\",class=\"quote-desk\",le=\"0.004\"} 1");
    assert!(metering::METRICS.iter().all(|meter| meter.name.starts_with("cornelridge_")));
    assert!(!text.contains(TOKEN));
}

#[test]
fn history_keeps_the_latest_revisions_only() {
    // Guards against memory use that grows with each change.
    let admin: Arc<FakeAdmin> = FakeAdmin::new();
    let node = FakeNode::start(&admin);
    for revision in 4..20 {
        assert_eq!(put(&node, &class_named("quote-desk"), revision).status, 200);
    }
    let compared = |expected| {
        let reply = put(&node, &class_named("quote-desk"), expected);
        reply.json::<ErrorReport>().conflict.unwrap().compared
    };
    assert_eq!(compared(13), ConflictBase::ExpectedRevision);
    assert_eq!(compared(12), ConflictBase::RejectedChange);
}
