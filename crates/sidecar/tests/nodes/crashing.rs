//! Requests that end each worker that begins to run them.

use std::time::Duration;

use crate::standin::{Answer, Deployment, call_at, until};
use futures_lite::future::block_on;
use http::StatusCode;

const PATH: &str = "/read/ends-workers";
const PAUSE: Duration = Duration::from_millis(100);

async fn three_desks() -> Deployment {
    let deployment = Deployment::start(&["desk", "desk", "desk"]).await;
    deployment.configure(1);
    deployment.settle("/read/x", None).await;
    deployment
}

/// Asks at each node in turn; returns the last answer.
async fn ask_again(deployment: &Deployment, name: &str, attempts: usize) -> Answer {
    let mut last = None;
    for attempt in 0..attempts {
        let host = attempt % deployment.hosts.len();
        last = Some(deployment.call(host, &format!("{name}-{attempt}"), PATH, None).await);
        smol::Timer::after(PAUSE).await;
    }
    last.unwrap()
}

fn assert_refused(answer: &Answer) {
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
        assert!(deployment.ends() <= 2, "{} workers ended, {last:?}", deployment.ends());
        assert_refused(&last);
        until("other requests are served", || async {
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
        assert!(deployment.ends() <= 3, "{} workers ended, {last:?}", deployment.ends());
        assert_refused(&last);
    });
}
