//! Callers that close their connections before their requests are answered.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::standin::worker::Behaviour;
use crate::standin::{Deployment, wait_until};
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

/// Deadline of the requests. A request that ends earlier wasn't ended by its deadline.
pub(crate) const DEADLINE: Duration = Duration::from_secs(15);

pub(crate) async fn start_one_worker() -> Deployment {
    let deployment = Deployment::start(&["desk"]).await;
    deployment.configure(1);
    deployment.wait_until_served("/read/x", None).await;
    deployment
}

fn get_request(id: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!(
        "GET /read/x HTTP/1.1\r\nhost: shop.example\r\nx-request: {id}\r\nx-deadline: {deadline}\r\n\r\n"
    )
}

/// Opens a connection and sends requests without waiting for responses.
pub(crate) async fn send_pipelined(address: SocketAddr, ids: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let requests: String = ids.iter().map(|id| get_request(id)).collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    stream
}

/// Guards against running requests for a caller that closed its connection while further pipelined
/// requests were waiting.
#[test]
fn pipelined_requests_end_when_their_caller_leaves() {
    block_on(async {
        let deployment = start_one_worker().await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(Behaviour::Hold);
        let sent = Instant::now();
        let address = deployment.hosts[0].node.addresses.callers;
        let stream = send_pipelined(address, &["first", "second", "third"]).await;
        wait_until("the first request runs", || async { worker.runs("first") == 1 }).await;
        drop(stream);
        wait_until("the first request is cut off", || async { worker.is_aborted("first") }).await;
        assert!(sent.elapsed() < DEADLINE, "the request ended at its deadline");
        worker.release();
        deployment.wait_until_served("/read/x", None).await;
        assert_eq!(worker.runs("second") + worker.runs("third"), 0);
    });
}

/// Guards against losing requests that a caller pipelines and waits for.
#[test]
fn pipelined_requests_are_answered_in_order() {
    block_on(async {
        let deployment = start_one_worker().await;
        let address = deployment.hosts[0].node.addresses.callers;
        let mut stream = send_pipelined(address, &["first", "second"]).await;
        let mut text = String::new();
        let mut buffer = [0; 1_024];
        while !text.contains("answer to second") {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "the connection ended after {text:?}");
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
        assert!(text.find("answer to first").unwrap() < text.find("answer to second").unwrap());
    });
}

/// Guards against a worker that keeps sending the body of a response whose caller has left.
#[test]
fn an_answer_that_arrives_slowly_ends_when_its_caller_leaves() {
    block_on(async {
        let deployment = Deployment::start(&["desk", "office"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(Behaviour::Trickle);
        // At the node beside the worker, and at another one.
        for (host, id) in [(0, "near"), (1, "far")] {
            let sent = Instant::now();
            let address = deployment.hosts[host].node.addresses.callers;
            let stream = send_pipelined(address, &[id]).await;
            wait_until("the request runs", || async { worker.runs(id) == 1 }).await;
            drop(stream);
            wait_until("the request is cut off", || async { worker.is_aborted(id) }).await;
            assert!(sent.elapsed() < DEADLINE, "the request ended at its deadline");
        }
    });
}
