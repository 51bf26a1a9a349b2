//! Nodes that are cut off from the store while other nodes reach them.

use std::time::{Duration, Instant};

use cornelridge_store::items::ItemStore;
use futures_lite::future::block_on;
use http::StatusCode;

use crate::standin::{Deployment, wait_until};

/// Time for which requests are sent after the entry has ended, and that after which all of them
/// must be served: other nodes learn of the end and probe the node.
const WATCH_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(2);

async fn is_registered(deployment: &Deployment, node: &str) -> bool {
    let members = deployment.store.list("cornelridge/nodes/").await.unwrap();
    members.items.iter().any(|item| item.key.ends_with(node))
}

/// Guards against workers that are taken out of use because the node beside them can't renew its
/// entry in the store, although it serves requests.
#[test]
fn a_node_that_is_cut_off_from_the_store_serves_requests_of_others() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "desk"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        deployment.hosts[1].store.set_cut(true);
        wait_until("the entry has ended", || async { !is_registered(&deployment, "node-1").await })
            .await;
        let ended = Instant::now();
        let mut served = 0;
        while ended.elapsed() < WATCH_TIME {
            let elapsed = ended.elapsed();
            let id = format!("cut-{}", elapsed.as_micros());
            let response = deployment.call(0, &id, "/read/x", None).await;
            if elapsed > SETTLE_TIME {
                assert_eq!(response.status, StatusCode::OK, "after {elapsed:?}: {response:?}");
                served += 1;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert!(served > 0);
    });
}

/// Guards against the use of a node that has ended: its entry ends as that of a node that is cut
/// off, and requests to it would wait in vain.
#[test]
fn a_node_that_has_ended_gets_no_requests() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "desk", "desk"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        deployment.hosts[1].store.set_cut(true);
        deployment.hosts[1].node.shut_down().await;
        wait_until("the entry has ended", || async { !is_registered(&deployment, "node-1").await })
            .await;
        let ended = Instant::now();
        while ended.elapsed() < WATCH_TIME {
            let started = Instant::now();
            let id = format!("ended-{}", ended.elapsed().as_micros());
            let response = deployment.call(0, &id, "/read/x", None).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
            assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
            assert_eq!(deployment.hosts[2].worker.runs(&id), 1);
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    });
}
