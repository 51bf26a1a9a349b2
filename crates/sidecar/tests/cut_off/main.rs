//! Nodes that are cut off from the store while other nodes reach them. A program of its own, as the
//! tests of a program share one executor thread, and leases that run out for lack of it would be
//! taken for cuts.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The program of the other tests uses other parts of the stand-ins.
#[allow(dead_code)]
#[path = "../nodes/standin/mod.rs"]
mod standin;

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

/// Guards against nodes without news: those that are cut off from the store together with all nodes
/// that fed them know only an old list of members.
#[test]
fn nodes_that_are_cut_off_with_their_sources_find_other_feeds() {
    block_on(async {
        let deployment = Deployment::start(&["desk"; 8]).await;
        deployment.configure(1);
        deployment.wait_until_served("/v1/x", None).await;
        wait_until("three nodes watch the store", || async { deployment.store.watch_count() <= 3 })
            .await;
        let cut_off = [0, 1, 2, 7];
        cut_off.iter().for_each(|host| deployment.hosts[*host].store.set_cut(true));
        for host in cut_off {
            wait_until("the entry has ended", || async {
                !is_registered(&deployment, &format!("node-{host}")).await
            })
            .await;
        }
        deployment.configure(2);
        for host in cut_off {
            let mut attempt = 0;
            wait_until("the new configuration is in force", || {
                attempt += 1;
                let (id, deployment) = (format!("news-{host}-{attempt}"), &deployment);
                async move { deployment.call(host, &id, "/v2/x", None).await.status.is_success() }
            })
            .await;
        }
    });
}
