//! Requests that end each worker that begins to run them.

use std::time::Duration;

use crate::standin::worker::Behaviour;
use crate::standin::{CallResponse, Deployment, Host, call_at, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

const PATH: &str = "/read/ends-workers";
const PAUSE: Duration = Duration::from_millis(100);

async fn three_desks() -> Deployment {
    let deployment = Deployment::start(&["desk", "desk", "desk"]).await;
    deployment.configure(1);
    settle_pairs(&deployment).await;
    deployment
}

/// Waits until each node has reached each worker, so that all nodes know one another.
async fn settle_pairs(deployment: &Deployment) {
    settle_pairs_with(deployment, deployment.hosts.len(), "/read/x").await;
}

/// The same for the first workers and a path. The other workers refuse meanwhile.
async fn settle_pairs_with(deployment: &Deployment, workers: usize, path: &'static str) {
    let hosts = 0..deployment.hosts.len();
    for worker in 0..workers {
        for (index, host) in deployment.hosts.iter().enumerate() {
            let is_chosen = index == worker;
            host.worker.set_behaviour(if is_chosen {
                Behaviour::Respond
            } else {
                Behaviour::Refuse
            });
        }
        for host in hosts.clone() {
            let mut attempt = 0;
            wait_until("the node reaches the worker", || {
                attempt += 1;
                let id = format!("pair-{host}-{worker}-{attempt}");
                async move { deployment.call(host, &id, path, None).await.status == StatusCode::OK }
            })
            .await;
        }
    }
    deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Respond));
}

/// Asks at each node in turn; returns the last answer.
async fn ask_again(deployment: &Deployment, name: &str, attempts: usize) -> CallResponse {
    let mut last = None;
    for attempt in 0..attempts {
        let host = attempt % deployment.hosts.len();
        last = Some(deployment.call(host, &format!("{name}-{attempt}"), PATH, None).await);
        smol::Timer::after(PAUSE).await;
    }
    last.unwrap()
}

fn assert_refused(answer: &CallResponse) {
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert!(answer.body.contains("crashes-workers"), "{answer:?}");
}

/// Guards against one request that takes a whole service away, as each worker that runs it ends and
/// its caller sends it again.
#[test]
fn a_request_that_ends_workers_is_refused_after_the_second_one() {
    block_on(async {
        let deployment = three_desks().await;
        let last = ask_again(&deployment, "again", 40).await;
        assert!(
            deployment.exit_count() <= 2,
            "{} workers ended, {last:?}",
            deployment.exit_count()
        );
        assert_refused(&last);
        wait_until("other requests are served", || async {
            deployment.call(0, "other", "/read/x", None).await.status == StatusCode::OK
        })
        .await;
    });
}

/// Guards against copies of such a request that reach workers at the same time and later.
#[test]
fn copies_that_arrive_together_end_each_worker_once() {
    block_on(async {
        let deployment = three_desks().await;
        let copies: Vec<_> = (0..9)
            .map(|copy| {
                let address = deployment.hosts[copy % 3].node.addresses.callers;
                smol::spawn(call_at(address, format!("copy-{copy}"), PATH, None))
            })
            .collect();
        for copy in copies {
            copy.await;
        }
        let last = ask_again(&deployment, "later", 30).await;
        assert!(
            deployment.exit_count() <= 3,
            "{} workers ended, {last:?}",
            deployment.exit_count()
        );
        assert_refused(&last);
    });
}

/// Guards against a service divided by key that loses each holder of the key in turn.
#[test]
fn a_request_for_a_key_that_ends_holders_is_refused_after_the_second_one() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "prices", "prices"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
        let mut last = None;
        for attempt in 0..80 {
            let id = format!("key-{attempt}");
            let path = "/price/ends-workers";
            last = Some(deployment.call(attempt % 3, &id, path, Some(7)).await);
            smol::Timer::after(PAUSE).await;
        }
        let last = last.unwrap();
        assert!(
            deployment.exit_count() <= 2,
            "{} workers ended, {last:?}",
            deployment.exit_count()
        );
        assert_refused(&last);
    });
}

/// Guards against nodes that learn it anew: one that starts later, and one of another service.
#[test]
fn nodes_that_start_later_refuse_it_too() {
    block_on(async {
        let mut deployment = three_desks().await;
        ask_again(&deployment, "before", 12).await;
        let ends = deployment.exit_count();
        for service in ["desk", "files"] {
            deployment.add_host(service, |_| {}).await;
        }
        for host in [3, 4] {
            wait_until("the node serves", || async {
                deployment.call(host, "first", "/read/x", None).await.status == StatusCode::OK
            })
            .await;
            wait_until("the node knows of it", || async {
                let answer = deployment.call(host, "known", PATH, None).await;
                answer.body.contains("crashes-workers")
            })
            .await;
        }
        assert_eq!(deployment.exit_count(), ends, "it was sent to a worker again");
    });
}

/// Guards against forgetting what was learned while the store was down.
#[test]
fn what_was_learned_in_an_outage_of_the_store_lasts() {
    block_on(async {
        let mut deployment = three_desks().await;
        deployment.store.set_down(true);
        let last = ask_again(&deployment, "outage", 12).await;
        assert_refused(&last);
        let ends = deployment.exit_count();
        deployment.store.set_down(false);
        wait_until("the refusal is in the store", || async {
            deployment.store.count_items("cornelridge/refusals/") == 1
        })
        .await;
        deployment.add_host("files", |_| {}).await;
        wait_until("a node that starts later serves", || async {
            deployment.call(3, "first", "/read/x", None).await.status == StatusCode::OK
        })
        .await;
        assert_refused(&deployment.call(3, "later", PATH, None).await);
        assert_eq!(deployment.exit_count(), ends, "it was sent to a worker again");
    });
}

/// Answers to requests that end no worker.
#[derive(Debug, Default)]
struct Bystanders {
    served: usize,
    failed: usize,
    /// Answers that blame the request.
    blamed: usize,
}

impl Bystanders {
    fn share(&self) -> f64 {
        self.served as f64 / (self.served + self.failed) as f64
    }
}

/// Asks at all nodes, half of the time for one popular path, while one worker of three ends twice
/// by itself, and another request ends workers if `has_culprit`.
async fn ask_beside(has_culprit: bool) -> Bystanders {
    let deployment = three_desks().await;
    let mut seen = Bystanders::default();
    for round in 0..100_usize {
        if round == 30 || round == 70 {
            deployment.hosts[0].worker.exit();
        }
        let address = |host: usize| deployment.hosts[host % 3].node.addresses.callers;
        let mut calls: Vec<_> = (0..6)
            .map(|call| {
                let path = match call % 2 {
                    0 => "/read/popular",
                    _ => RARE[round % RARE.len()],
                };
                smol::spawn(call_at(address(call), format!("{round}-{call}"), path, None))
            })
            .collect();
        if has_culprit && round % 5 == 0 {
            let culprit = call_at(address(round / 5), format!("culprit-{round}"), PATH, None);
            smol::spawn(culprit).detach();
        }
        for call in calls.drain(..) {
            let answer = call.await;
            match answer.status == StatusCode::OK {
                true => seen.served += 1,
                false => seen.failed += 1,
            }
            seen.blamed += usize::from(answer.body.contains("crashes-workers"));
        }
        smol::Timer::after(Duration::from_millis(30)).await;
    }
    seen
}

const RARE: [&str; 5] = ["/read/a", "/read/b", "/read/c", "/read/d", "/read/e"];

/// Guards against refusing what ran beside a request that ends workers, or beside ends that no
/// request caused.
#[test]
fn requests_beside_the_ends_of_workers_are_served() {
    block_on(async {
        let (without, with) = (ask_beside(false).await, ask_beside(true).await);
        assert_eq!((without.blamed, with.blamed), (0, 0), "{without:?}, {with:?}");
        assert!(with.share() >= 0.9 * without.share(), "{without:?}, {with:?}");
    });
}

/// Guards against a popular request that is refused for ten minutes at nodes beside other services:
/// they saw it end two workers, and don't know that it ends well all the time.
#[test]
fn a_popular_request_is_not_refused_by_nodes_of_other_services() {
    block_on(async {
        let deployment = Deployment::start(&["desk", "desk", "files"]).await;
        deployment.configure(1);
        settle_pairs_with(&deployment, 2, "/read/popular").await;
        let desks = &deployment.hosts[..2];
        desks.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Hold));
        let address = deployment.hosts[2].node.addresses.callers;
        let call = smol::spawn(call_at(address, "held".to_owned(), "/read/popular", None));
        for attempt in 1..=2 {
            wait_until("the request runs", || async { deployment.runs("held") == attempt }).await;
            let runs =
                |host: &&Host| host.worker.runs("held") == 1 && host.worker.exit_count() == 0;
            desks.iter().find(runs).unwrap().worker.exit();
        }
        call.await;
        desks.iter().for_each(|host| host.worker.set_behaviour(Behaviour::Respond));
        wait_until("a worker is back", || async {
            deployment.call(0, "back", "/read/x", None).await.status == StatusCode::OK
        })
        .await;
        for host in 0..3 {
            let answer = deployment.call(host, "after", "/read/popular", None).await;
            assert!(!answer.body.contains("crashes-workers"), "{host}: {answer:?}");
        }
    });
}

/// Guards against suspecting requests whose answers are lost by workers that go on.
#[test]
fn lost_answers_make_no_suspects() {
    block_on(async {
        let deployment = three_desks().await;
        let behave = |behaviour| {
            deployment.hosts.iter().for_each(|host| host.worker.set_behaviour(behaviour));
        };
        behave(Behaviour::Reset);
        for attempt in 0..6 {
            let id = format!("lost-{attempt}");
            let answer = deployment.call(attempt % 3, &id, "/read/lost", None).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
        }
        behave(Behaviour::Respond);
        for host in 0..3 {
            let answer = deployment.call(host, "found", "/read/lost", None).await;
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
    });
}

/// Guards against suspecting requests that a worker cuts off when it ends as planned.
#[test]
fn planned_ends_make_no_suspects() {
    block_on(async {
        let deployment = Deployment::start(&["desk", "files"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        let worker = &deployment.hosts[0].worker;
        let address = deployment.hosts[1].node.addresses.callers;
        for end in 1..=2 {
            worker.set_behaviour(Behaviour::Hold);
            let call = smol::spawn(call_at(address, format!("held-{end}"), "/read/held", None));
            wait_until("the request runs", || async { worker.runs(&format!("held-{end}")) == 1 })
                .await;
            worker.leave();
            wait_until("its leaving is known", || async {
                deployment.store.item_contains("cornelridge/nodes/node-0", "Draining")
            })
            .await;
            worker.exit();
            call.await;
            worker.set_behaviour(Behaviour::Respond);
            wait_until("the next incarnation serves", || async {
                deployment.call(1, "served", "/read/x", None).await.status == StatusCode::OK
            })
            .await;
        }
        let answer = deployment.call(1, "after", "/read/held", None).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    });
}
