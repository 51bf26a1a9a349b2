//! Requests through real nodes: responses, refusals, retries, disconnecting callers and leaving
//! workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::standin;
use crate::standin::store::MemoryStore;
use crate::standin::worker::Behaviour;
use crate::standin::{Deployment, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

async fn start_two_workers() -> Deployment {
    let deployment = Deployment::start(&["desk", "desk"]).await;
    deployment.configure(1);
    deployment.wait_until_served("/read/x", None).await;
    wait_until("both workers are known", || async {
        let mut is_known = [false, false];
        for attempt in 0..20 {
            let id = format!("probe-{attempt}");
            deployment.call(0, &id, "/read/x", None).await;
            for (index, host) in deployment.hosts.iter().enumerate() {
                is_known[index] |= host.worker.runs(&id) > 0;
            }
        }
        is_known == [true, true]
    })
    .await;
    deployment
}

#[test]
fn without_a_configuration_requests_are_refused_and_not_denied() {
    block_on(async {
        let deployment = Deployment::start(&["desk"]).await;
        let response = deployment.call(0, "early", "/read/x", None).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        assert_eq!(
            deployment.call(0, "none", "/nowhere/x", None).await.status,
            StatusCode::NOT_FOUND
        );
    });
}

#[test]
fn a_configuration_is_in_force_soon_after_the_store_was_away() {
    block_on(async {
        let deployment = Deployment::start(&["desk"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/v1/x", None).await;
        // Watches that start at the end of the outage simulate connections that died unnoticed.
        deployment.store.set_down(true);
        deployment.store.set_watches_stalled(true);
        smol::Timer::after(Duration::from_millis(1_500)).await;
        deployment.configure(2);
        deployment.store.set_watches_stalled(false);
        deployment.store.set_down(false);
        let recovered = Instant::now();
        deployment.wait_until_served("/v2/x", None).await;
        let in_force_after = recovered.elapsed();
        assert!(in_force_after < Duration::from_secs(6), "in force after {in_force_after:?}");
    });
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    block_on(async {
        let deployment = Deployment::start(&["desk"]).await;
        deployment.configure(5);
        deployment.wait_until_served("/read/x", None).await;
        deployment.store.put("config", "no version");
        deployment.configure(4);
        assert_eq!(deployment.call(0, "a", "/read/x", None).await.status, StatusCode::OK);
    });
}

#[test]
fn a_request_reaches_the_worker_with_the_headers_of_the_system() {
    block_on(async {
        let deployment = start_two_workers().await;
        let response = deployment.call(0, "one", "/read/x?q=1", None).await;
        assert_eq!((response.status, &*response.body), (StatusCode::OK, "answer to one"));
        assert_eq!(response.headers["x-signature"], "abc");
        let index = deployment.hosts.iter().position(|host| host.worker.runs("one") == 1).unwrap();
        let headers = deployment.hosts[index].worker.headers("one").unwrap();
        assert_eq!(headers["x-worker"], format!("w{index}").as_str());
        assert_eq!(headers["x-caller"], "desk");
        assert_eq!(headers["host"], "shop.example");
        let remaining_ms: u64 = headers["x-deadline"].to_str().unwrap().parse().unwrap();
        assert!(remaining_ms <= 15_000);
    });
}

#[test]
fn a_request_that_must_not_be_repeated_runs_once_when_its_answer_is_lost() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Reset));
        let response = deployment.call(0, "once", "/order/x", None).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(deployment.runs("once"), 1);
        let response = deployment.call(0, "twice", "/read/x", None).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(deployment.runs("twice"), 2, "an idempotent request is tried at both workers");
    });
}

#[test]
fn a_refused_request_goes_to_another_worker() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts[0].worker.set_behaviour(Behaviour::Refuse);
        for attempt in 0..10 {
            let id = format!("order-{attempt}");
            assert_eq!(deployment.call(0, &id, "/order/x", None).await.status, StatusCode::OK);
            assert_eq!(deployment.runs(&id), 1);
        }
        deployment.hosts[1].worker.set_behaviour(Behaviour::Refuse);
        let response = deployment.call(0, "full", "/order/x", None).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(deployment.runs("full"), 0);
    });
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts[0].worker.set_behaviour(Behaviour::Reset);
        deployment.hosts[1].worker.set_behaviour(Behaviour::Refuse);
        let mut has_run = false;
        for attempt in 0..20 {
            let id = format!("lost-{attempt}");
            let response = deployment.call(0, &id, "/read/x", None).await;
            if deployment.runs(&id) > 0 {
                has_run = true;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY);
            }
        }
        assert!(has_run);
    });
}

#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment
            .hosts
            .iter()
            .for_each(|host| host.worker.set_behaviour(Behaviour::RespondToOther));
        let response = deployment.call(0, "mine", "/order/x", None).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert!(!response.headers.contains_key("x-signature"));
    });
}

#[test]
fn a_failure_of_the_worker_is_returned_unchanged() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Fail));
        let response = deployment.call(0, "bad", "/order/x", None).await;
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(response.headers["x-signature"], "abc");
        assert_eq!(deployment.runs("bad"), 1);
    });
}

#[test]
fn work_stops_when_the_caller_leaves() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Hold));
        let call = deployment.call(0, "left", "/read/x", None);
        let started = wait_until("the request runs", || async { deployment.runs("left") == 1 });
        futures_lite::future::or(async { drop(call.await) }, started).await;
        wait_until("the request is aborted", || async {
            deployment.hosts.iter().any(|host| host.worker.is_aborted("left"))
        })
        .await;
    });
}

#[test]
fn a_call_of_a_running_request_waits_where_another_request_is_refused() {
    block_on(async {
        let deployment = Deployment::start(&["desk"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/quick/x", None).await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(Behaviour::Hold);
        let address = deployment.hosts[0].node.addresses.callers;
        let slots = (0..8).map(|index| format!("parent-{index}"));
        let parents: Vec<String> = slots.collect();
        let calls: Vec<_> = parents
            .iter()
            .map(|id| smol::spawn(standin::call_at(address, id.clone(), "/read/x", None)))
            .collect();
        wait_until("all slots are taken", || async {
            parents.iter().all(|id| worker.runs(id) == 1)
        })
        .await;
        let other = deployment.call(0, "stranger.1", "/quick/x", None);
        let call = deployment.call(0, "parent-3.1", "/quick/x", None);
        let release = async {
            smol::Timer::after(Duration::from_millis(1_500)).await;
            worker.release();
        };
        let results = futures_lite::future::zip(other, futures_lite::future::zip(call, release));
        let (other, (call, ())) = results.await;
        assert_eq!(other.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(
            call.status,
            StatusCode::OK,
            "refusing the call would waste the run of its parent"
        );
        for call in calls {
            assert_eq!(call.await.status, StatusCode::OK);
        }
    });
}

#[test]
fn a_key_is_served_by_its_holder_from_every_node() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
        deployment.wait_until_served("/price/x", Some(60_000)).await;
        for (index, key) in [3_u16, 9_000, 20_000, 40_000, 65_535].into_iter().enumerate() {
            let id = format!("key-{index}");
            let response = deployment.call(index % 2, &id, "/price/x", Some(key)).await;
            assert_eq!(response.status, StatusCode::OK, "key {key}");
            assert_eq!(deployment.runs(&id), 1);
        }
        let response = deployment.call(0, "no-key", "/price/x", None).await;
        assert_eq!(response.status, StatusCode::BAD_REQUEST);
    });
}

#[test]
fn keys_are_served_while_the_store_is_down() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
        deployment.wait_until_served("/price/x", Some(60_000)).await;
        deployment.store.set_down(true);
        for (index, key) in [3_u16, 40_000].into_iter().enumerate() {
            let response =
                deployment.call(0, &format!("down-{index}"), "/price/x", Some(key)).await;
            assert_eq!(response.status, StatusCode::OK, "key {key}");
        }
        deployment.store.set_down(false);
        deployment.wait_until_served("/price/x", Some(7)).await;
    });
}

#[test]
fn the_keys_of_a_leaving_worker_move() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
        deployment.wait_until_served("/price/x", Some(60_000)).await;
        deployment.hosts[0].worker.leave();
        let mut attempt = 0;
        wait_until("the other worker serves both keys", || {
            attempt += 1;
            let ids = [format!("low-{attempt}"), format!("high-{attempt}")];
            let deployment = &deployment;
            async move {
                deployment.call(1, &ids[0], "/price/x", Some(7)).await;
                deployment.call(1, &ids[1], "/price/x", Some(60_000)).await;
                ids.iter().all(|id| deployment.hosts[1].worker.runs(id) == 1)
            }
        })
        .await;
    });
}

#[test]
fn a_stopping_node_answers_what_it_has_accepted() {
    block_on(async {
        let deployment = start_two_workers().await;
        deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Hold));
        let call = deployment.call(0, "last", "/order/x", None);
        let leave = async {
            wait_until("the request runs", || async { deployment.runs("last") == 1 }).await;
            let release = async {
                smol::Timer::after(std::time::Duration::from_millis(300)).await;
                deployment.hosts.iter().for_each(|host| host.worker.release());
            };
            futures_lite::future::zip(deployment.hosts[0].node.shut_down(), release).await;
        };
        let (response, ()) = futures_lite::future::zip(call, leave).await;
        assert_eq!((response.status, &*response.body), (StatusCode::OK, "answer to last"));
    });
}

#[test]
fn most_nodes_follow_another_one_in_place_of_the_store() {
    block_on(async {
        let services = ["desk", "desk", "desk", "desk", "prices", "prices", "prices"];
        let deployment = Deployment::start(&services).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        deployment.wait_until_served("/price/x", Some(7)).await;
        wait_until("at most three nodes watch the store", || async {
            deployment.store.watch_count() <= 3
        })
        .await;
        // Changes still reach all nodes: here, the worker of a following node leaves.
        deployment.hosts[6].worker.leave();
        let mut attempt = 0;
        wait_until("the leaving worker serves no key", || {
            attempt += 1;
            let (deployment, attempt) = (&deployment, attempt);
            async move {
                let mut has_left = true;
                for part in 0..16_u16 {
                    let id = format!("key-{attempt}-{part}");
                    let key = Some(part * 4_096);
                    let response = deployment.call(5, &id, "/price/x", key).await;
                    let runs = deployment.hosts[6].worker.runs(&id);
                    has_left &= response.status == StatusCode::OK && runs == 0;
                }
                has_left
            }
        })
        .await;
    });
}

#[test]
fn keys_are_granted_although_the_answer_to_the_first_entry_was_lost() {
    block_on(async {
        let store = Arc::new(MemoryStore::default());
        store.lose_commits(1);
        let deployment = Deployment::start_with_store(store, &["prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
    });
}

#[test]
fn keys_are_granted_although_the_first_reads_failed() {
    block_on(async {
        let store = Arc::new(MemoryStore::default());
        store.fail_lists(3);
        let deployment = Deployment::start_with_store(store, &["prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
    });
}
