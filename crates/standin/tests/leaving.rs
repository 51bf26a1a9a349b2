//! Graceful shutdown over real sockets: slices are handed over, requests in flight finish, and no
//! new requests start at a leaving host.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use cornelridge_standin::caller::{CallOutcome, LoadReport};
use cornelridge_standin::mesh::Mesh;
use cornelridge_standin::payload;
use cornelridge_standin::upstream::ExecutionEnd;
use futures_lite::AsyncWriteExt;
use support::{KEYED, NON_IDEMPOTENT, Reply, WAIT_TIMEOUT};

/// Executions on other hosts during which a host that has left must execute nothing.
const EXECUTIONS_PER_STEP: u64 = 400;

async fn wait_for_executions(mesh: &Mesh, wanted: u64) {
    let wanted = support::executed_count(mesh) + wanted;
    support::wait_until("more requests are executed", || support::executed_count(mesh) >= wanted)
        .await;
}

fn is_idle(mesh: &Mesh, host: usize) -> bool {
    let executions = mesh.hosts[host].upstream.executions();
    executions.iter().all(|execution| execution.end != ExecutionEnd::Running)
}

/// Asserts that every request was answered completely.
fn assert_all_answered(report: &LoadReport) {
    support::assert_valid_outcomes(report);
    assert_eq!(report.count(CallOutcome::Whole), report.total(), "{:?}", report.outcomes);
}

/// Waits until a host has handed over its slices, and checks that no request starts there
/// afterwards.
async fn check_hand_over(mesh: &Mesh, host: usize, class: &str) {
    let serves_none = || !support::serves_any(mesh, host, class);
    support::wait_until("the host serves no key", serves_none).await;
    support::wait_until("the requests of the host have finished", || is_idle(mesh, host)).await;
    mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
    let before = mesh.hosts[host].upstream.counts().executed;
    wait_for_executions(mesh, EXECUTIONS_PER_STEP).await;
    assert_eq!(
        mesh.hosts[host].upstream.counts().executed,
        before,
        "a host that has left executed a request"
    );
}

/// Guards against failed or truncated answers and new executions while an upstream leaves.
#[test]
fn a_leaving_upstream_hands_over_without_errors() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let load = support::steady_load(&mesh, KEYED);
        let scenario = async {
            wait_for_executions(&mesh, EXECUTIONS_PER_STEP).await;
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            mesh.hosts[owner].upstream.start_leaving();
            check_hand_over(&mesh, owner, KEYED).await;
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        assert_all_answered(&report);
        support::assert_one_owner(&support::executions(&mesh, &[]));
    });
}

/// Guards against failed or truncated answers and new executions while a node leaves.
#[test]
fn a_leaving_node_hands_over_without_errors() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let owner = mesh.owner(KEYED, b"key-0").unwrap();
        let mut load = support::steady_load(&mesh, KEYED);
        let leaving = mesh.hosts[owner].node.as_ref().unwrap();
        load.targets.retain(|target| *target != leaving.caller_address);
        let scenario = async {
            wait_for_executions(&mesh, EXECUTIONS_PER_STEP).await;
            leaving.shut_down().await;
            check_hand_over(&mesh, owner, KEYED).await;
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        assert_all_answered(&report);
        support::assert_one_owner(&support::executions(&mesh, &[]));
    });
}

/// Guards against an upstream that is assigned no slices after it has withdrawn its announcement to
/// leave.
#[test]
fn an_upstream_that_stays_after_all_gets_slices_again() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let owner = mesh.owner(KEYED, b"key-0").unwrap();
        mesh.hosts[owner].upstream.start_leaving();
        let serves_none = || !support::serves_any(&mesh, owner, KEYED);
        support::wait_until("the host serves no key", serves_none).await;
        mesh.hosts[owner].upstream.cancel_leaving();
        let serves_again = || support::serves_any(&mesh, owner, KEYED);
        support::wait_until("the host serves keys again", serves_again).await;
        support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
    });
}

/// Sends a request through another node; it runs for `service_ms` at the owner.
fn long_call(mesh: &Mesh, owner: usize, service_ms: &'static str) -> smol::Task<Option<Reply>> {
    let ingress = (owner + 1) % mesh.hosts.len();
    let target = mesh.hosts[ingress].node.as_ref().unwrap().caller_address;
    smol::spawn(async move {
        let headers = [
            ("idempotency-key", "call-77"),
            (payload::ECHO_HEADER, "77"),
            (payload::SERVICE_HEADER, service_ms),
        ];
        support::call(target, support::get(NON_IDEMPOTENT, &headers)).await
    })
}

async fn wait_until_running(mesh: &Mesh, owner: usize) {
    let running = || mesh.hosts[owner].upstream.counts().executed > 0;
    support::wait_until("the request runs", running).await;
}

/// Checks that a request in flight finishes when the owner's node or upstream leaves.
fn check_request_finishes(service_ms: &'static str, node_leaves: bool) {
    support::run(async {
        let mesh = support::start(support::single_class(NON_IDEMPOTENT, 4)).await;
        let owner = mesh.owner(NON_IDEMPOTENT, b"call-77").unwrap();
        let call = long_call(&mesh, owner, service_ms);
        wait_until_running(&mesh, owner).await;
        if node_leaves {
            mesh.hosts[owner].node.as_ref().unwrap().shut_down().await;
        } else {
            mesh.hosts[owner].upstream.start_leaving();
        }
        let reply = call.await.unwrap();
        assert!(reply.is_response_to(77), "{reply:?}");
        assert_eq!(support::executed_count(&mesh), 1);
    });
}

/// Guards against a node that interrupts a request in flight when its upstream leaves.
#[test]
fn a_leaving_upstream_finishes_a_request_in_flight() {
    check_request_finishes("1000", false);
}

/// Guards against a leaving node that interrupts a request in flight.
#[test]
fn a_leaving_node_finishes_a_request_in_flight() {
    check_request_finishes("1000", true);
}

/// Guards against a node that interrupts a request that runs longer than the hand-over when its
/// upstream leaves.
#[test]
fn a_leaving_upstream_finishes_a_long_request_in_flight() {
    check_request_finishes("5000", false);
}

/// Guards against a leaving node that interrupts a request that runs longer than the hand-over.
#[test]
fn a_leaving_node_finishes_a_long_request_in_flight() {
    check_request_finishes("5000", true);
}

/// Guards against executing pipelined requests after their caller has closed the connection.
#[test]
fn pipelined_requests_of_a_caller_that_left_are_not_executed() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let owner = mesh.owner(KEYED, b"key-0").unwrap();
        let target = mesh.hosts[owner].node.as_ref().unwrap().caller_address;
        let service = payload::SERVICE_HEADER;
        let request = format!(
            "GET /{KEYED}/x HTTP/1.1\r\nhost: a\r\ncornelridge-key: key-0\r\n{service}: 3000\r\n\r\n"
        );
        let before = mesh.hosts[owner].upstream.counts().executed;
        let mut stream = smol::net::TcpStream::connect(target).await.unwrap();
        stream.write_all(request.repeat(3).as_bytes()).await.unwrap();
        let executed = || mesh.hosts[owner].upstream.counts().executed - before;
        support::wait_until("the first request runs", || executed() > 0).await;
        drop(stream);
        support::wait_until("the first request has finished", || is_idle(&mesh, owner)).await;
        let headers = [("cornelridge-key", "key-0")];
        let reply = support::call(target, support::get(KEYED, &headers)).await;
        assert!(reply.is_some());
        assert_eq!(
            executed(),
            2,
            "only the started request and the one of the second caller may run"
        );
    });
}
