//! Large answers and the link of the worker's machine, behind a relay with the rate of the link.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::standin::relay::LinkRelay;
use crate::standin::worker::{Behaviour, FILE_BYTES};
use crate::standin::{Deployment, call_at, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

/// Rate of the link of the worker's machine, in bytes a second: 10 Mbit/s.
const RATE: u64 = 1_250_000;
/// Rate of a link that is busy with files for seconds: 2 Mbit/s.
const SLOW_RATE: u64 = 250_000;
/// Nodes that ask for files, and files that each of them asks for at once.
const CALLERS: usize = 10;
const FILES_PER_CALLER: usize = 2;
/// Short answers have 500 ms; a queue in the link may take half of that.
const MAX_QUEUE: u64 = RATE / 4;

/// A worker with files behind a link, and nodes without such a worker.
async fn files_behind_a_link(rate: u64) -> (Deployment, LinkRelay) {
    let mut services = vec!["desk"; CALLERS];
    services.push("files");
    let set_rate = |settings: &mut cornelridge_sidecar::settings::SidecarSettings| {
        settings.link_bytes_per_second = rate;
    };
    let deployment = Deployment::start_with_settings(Arc::default(), &services, set_rate).await;
    let node = deployment.hosts[CALLERS].node.addresses.peers;
    let relay = LinkRelay::start(node, rate).await;
    deployment.store.redirect(node, relay.address);
    deployment.configure(1);
    deployment.wait_until_served("/stock/x", None).await;
    // Until a file was sent, its size isn't known.
    deployment.wait_until_served("/file/x", None).await;
    (deployment, relay)
}

/// Asks for files at all nodes at once; counts those that are there.
async fn ask_for_files(deployment: &Deployment, received: &Arc<AtomicUsize>) {
    let worker = &deployment.hosts[CALLERS].worker;
    worker.set_behaviour(Behaviour::Hold);
    for (index, host) in deployment.hosts[..CALLERS].iter().enumerate() {
        for file in 0..FILES_PER_CALLER {
            let (address, received) = (host.node.addresses.callers, Arc::clone(received));
            smol::spawn(async move {
                let answer =
                    call_at(address, format!("file-{index}-{file}"), "/file/x", None).await;
                assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
                assert_eq!(answer.body.len(), FILE_BYTES);
                received.fetch_add(1, Ordering::SeqCst);
            })
            .detach();
        }
    }
    // All slots are taken: the others follow when the first ones are answered.
    wait_until("all slots are taken", || async {
        let files = (0..CALLERS).flat_map(|index| (0..FILES_PER_CALLER).map(move |f| (index, f)));
        files.filter(|(index, file)| worker.runs(&format!("file-{index}-{file}")) > 0).count() == 8
    })
    .await;
    smol::Timer::after(Duration::from_millis(200)).await;
    worker.release();
}

/// Guards against answers to many nodes that fill the queue of the link at once, so that all of
/// them are late and everything else waits behind them.
#[test]
fn large_answers_to_many_nodes_do_not_fill_the_link() {
    block_on(async {
        let (deployment, relay) = files_behind_a_link(RATE).await;
        let received = Arc::new(AtomicUsize::new(0));
        ask_for_files(&deployment, &received).await;
        wait_until("all files are there", || async {
            received.load(Ordering::SeqCst) == CALLERS * FILES_PER_CALLER
        })
        .await;
        let longest = relay.max_queued_bytes();
        assert!(longest <= MAX_QUEUE, "{longest} bytes waited in the link, {MAX_QUEUE} may");
    });
}

/// Guards against short answers that wait for large ones to other nodes.
#[test]
fn short_answers_pass_large_ones_that_wait_for_the_link() {
    block_on(async {
        let (deployment, _relay) = files_behind_a_link(SLOW_RATE).await;
        let received = Arc::new(AtomicUsize::new(0));
        ask_for_files(&deployment, &received).await;
        wait_until("the first file is there", || async { received.load(Ordering::SeqCst) > 0 })
            .await;
        let mut passed = Vec::new();
        for call in 0..30 {
            let before = received.load(Ordering::SeqCst);
            let id = format!("stock-{call}");
            let answer = deployment.call(call % CALLERS, &id, "/stock/x", None).await;
            assert_eq!(answer.status, StatusCode::OK);
            passed.push(received.load(Ordering::SeqCst) - before);
        }
        // Two files take 0.7 s, which one short answer may take on a busy machine.
        assert!(passed.iter().all(|count| *count <= 2), "{passed:?}");
    });
}

/// Guards against a node that stops while answers that are ready wait for its link.
#[test]
fn a_stopping_node_sends_the_answers_that_wait_for_the_link() {
    block_on(async {
        let (deployment, _relay) = files_behind_a_link(SLOW_RATE).await;
        let received = Arc::new(AtomicUsize::new(0));
        ask_for_files(&deployment, &received).await;
        wait_until("the first file is there", || async { received.load(Ordering::SeqCst) > 0 })
            .await;
        deployment.hosts[CALLERS].node.shut_down().await;
        let all = CALLERS * FILES_PER_CALLER;
        // The last bytes are on their way when the node ends.
        smol::Timer::after(Duration::from_secs(1)).await;
        assert_eq!(received.load(Ordering::SeqCst), all);
    });
}
