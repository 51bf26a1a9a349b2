//! Workers that send heads or bodies of unlimited size.

use std::time::Instant;

use futures_lite::AsyncReadExt;
use futures_lite::future::block_on;

use crate::leaving::{DEADLINE, send_pipelined, start_one_worker};
use crate::standin::wait_until;
use crate::standin::worker::Behaviour;

/// Reads from a caller's connection until it ends or carries a 50x status; returns the first bytes
/// and the total number of bytes.
async fn read_to_end(mut stream: smol::net::TcpStream) -> (String, usize) {
    let (mut start, mut total) = (String::new(), 0);
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        if total == 0 {
            start = String::from_utf8_lossy(&buffer[..count.min(64)]).into_owned();
        }
        total += count;
        if start.starts_with("HTTP/1.1 50") {
            break;
        }
    }
    (start, total)
}

/// Sends requests until the worker has flooded a connection instead of responding, and checks that
/// the flood is cut off because of its size.
fn check_flood(behaviour: Behaviour) {
    block_on(async {
        let deployment = start_one_worker().await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(behaviour);
        let address = deployment.hosts[0].node.addresses.callers;
        let sent = Instant::now();
        let mut attempt = 0;
        while worker.started_floods() == 0 {
            attempt += 1;
            let stream = send_pipelined(address, &[&format!("flooded-{attempt}")]).await;
            let (start, _) = read_to_end(stream).await;
            assert!(start.starts_with("HTTP/1.1 502"), "{start}");
        }
        wait_until("the worker is cut off", || async { worker.active_floods() == 0 }).await;
        assert!(
            sent.elapsed() < DEADLINE,
            "the flood ended at the deadline, not because of its size"
        );
        worker.release();
        deployment.wait_until_served("/read/x", None).await;
    });
}

/// Guards against a worker that exhausts the memory of its node with one response head.
#[test]
fn a_head_without_end_is_broken_off() {
    check_flood(Behaviour::FloodHead);
}

/// Guards against a worker that keeps its node busy with interim responses.
#[test]
fn interim_answers_without_end_are_broken_off() {
    check_flood(Behaviour::FloodInterim);
}

/// Guards against a worker that sends a body until the request's deadline.
#[test]
fn a_body_without_end_is_broken_off() {
    block_on(async {
        let deployment = start_one_worker().await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(Behaviour::FloodBody);
        let sent = Instant::now();
        let address = deployment.hosts[0].node.addresses.callers;
        let (start, total) = read_to_end(send_pipelined(address, &["endless"]).await).await;
        assert!(start.starts_with("HTTP/1.1 200"), "{start}");
        assert!(sent.elapsed() < DEADLINE, "the flood ended at the deadline after {total} bytes");
        wait_until("the worker is cut off", || async { worker.is_aborted("endless") }).await;
        worker.release();
        deployment.wait_until_served("/read/x", None).await;
    });
}
