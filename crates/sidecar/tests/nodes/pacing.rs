//! Pacing of large responses to the link of the worker's host, which a relay limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::standin::relay::LinkRelay;
use crate::standin::worker::{Behaviour, FILE_BYTES};
use crate::standin::{Deployment, call_at, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

/// Rate of the link of the worker's host: 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// Rate of a link that takes seconds to send the files: 2 Mbit/s.
const SLOW_LINK_BYTES_PER_SECOND: u64 = 250_000;
/// Number of nodes that request files.
const CALLING_NODES: usize = 10;
/// Number of files that each node requests at once.
const FILES_PER_NODE: usize = 2;
/// Limit of the queue of the link: 250 ms, half of the 500 ms that a short response may take.
const MAX_QUEUED_BYTES: u64 = LINK_BYTES_PER_SECOND / 4;

/// Starts a host whose worker serves files through a relay, and hosts without such a worker.
async fn start_behind_relay(rate: u64) -> (Deployment, LinkRelay) {
    let mut services = vec!["desk"; CALLING_NODES];
    services.push("files");
    let set_link_rate = |settings: &mut cornelridge_sidecar::settings::SidecarSettings| {
        settings.link_bytes_per_second = rate;
    };
    let deployment =
        Deployment::start_with_settings(Arc::default(), &services, set_link_rate).await;
    let node = deployment.hosts[CALLING_NODES].node.addresses.peers;
    let relay = LinkRelay::start(node, rate).await;
    deployment.store.redirect(node, relay.address);
    deployment.configure(1);
    deployment.wait_until_served("/stock/x", None).await;
    // The size of responses is known only after the first one.
    deployment.wait_until_served("/file/x", None).await;
    (deployment, relay)
}

/// Requests files at all nodes at once and counts the received ones in `received`. Returns once the
/// worker responds.
async fn request_files(deployment: &Deployment, received: &Arc<AtomicUsize>) {
    let worker = &deployment.hosts[CALLING_NODES].worker;
    worker.set_behaviour(Behaviour::Hold);
    for (index, host) in deployment.hosts[..CALLING_NODES].iter().enumerate() {
        for file in 0..FILES_PER_NODE {
            let (address, received) = (host.node.addresses.callers, Arc::clone(received));
            smol::spawn(async move {
                let response =
                    call_at(address, format!("file-{index}-{file}"), "/file/x", None).await;
                assert_eq!(response.status, StatusCode::OK, "{response:?}");
                assert_eq!(response.body.len(), FILE_BYTES);
                received.fetch_add(1, Ordering::SeqCst);
            })
            .detach();
        }
    }
    // The worker has 8 slots; the other requests run when the first ones are answered.
    wait_until("all slots are taken", || async {
        let files =
            (0..CALLING_NODES).flat_map(|index| (0..FILES_PER_NODE).map(move |file| (index, file)));
        files.filter(|(index, file)| worker.runs(&format!("file-{index}-{file}")) > 0).count() == 8
    })
    .await;
    smol::Timer::after(Duration::from_millis(200)).await;
    worker.release();
}

/// Guards against large responses to many nodes that fill the queue of the link at once, so that
/// all of them are late and delay all other traffic.
#[test]
fn large_answers_to_many_nodes_do_not_fill_the_link() {
    block_on(async {
        let (deployment, relay) = start_behind_relay(LINK_BYTES_PER_SECOND).await;
        let received = Arc::new(AtomicUsize::new(0));
        request_files(&deployment, &received).await;
        wait_until("all files are received", || async {
            received.load(Ordering::SeqCst) == CALLING_NODES * FILES_PER_NODE
        })
        .await;
        let queued_bytes = relay.max_queued_bytes();
        assert!(
            queued_bytes <= MAX_QUEUED_BYTES,
            "{queued_bytes} bytes were queued in the link, at most {MAX_QUEUED_BYTES} may be"
        );
    });
}

/// Guards against short responses that wait behind large ones to other nodes.
#[test]
fn short_answers_pass_large_ones_that_wait_for_the_link() {
    block_on(async {
        let (deployment, _relay) = start_behind_relay(SLOW_LINK_BYTES_PER_SECOND).await;
        let received = Arc::new(AtomicUsize::new(0));
        request_files(&deployment, &received).await;
        wait_until("a file is received", || async { received.load(Ordering::SeqCst) > 0 }).await;
        let mut file_counts = Vec::new();
        for call in 0..30 {
            let before = received.load(Ordering::SeqCst);
            let id = format!("stock-{call}");
            let response = deployment.call(call % CALLING_NODES, &id, "/stock/x", None).await;
            assert_eq!(response.status, StatusCode::OK);
            file_counts.push(received.load(Ordering::SeqCst) - before);
        }
        // Two files take 0.7 s, which a short response may take on a busy host.
        assert!(file_counts.iter().all(|count| *count <= 2), "{file_counts:?}");
    });
}

/// Guards against a node that stops while complete responses still wait for its link.
#[test]
fn a_stopping_node_sends_the_answers_that_wait_for_the_link() {
    block_on(async {
        let (deployment, _relay) = start_behind_relay(SLOW_LINK_BYTES_PER_SECOND).await;
        let received = Arc::new(AtomicUsize::new(0));
        request_files(&deployment, &received).await;
        wait_until("a file is received", || async { received.load(Ordering::SeqCst) > 0 }).await;
        deployment.hosts[CALLING_NODES].node.shut_down().await;
        let all = CALLING_NODES * FILES_PER_NODE;
        // The last bytes may still be in transit when the node has stopped.
        smol::Timer::after(Duration::from_secs(1)).await;
        assert_eq!(received.load(Ordering::SeqCst), all);
    });
}
