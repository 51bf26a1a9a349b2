//! Nodes that stop while requests still arrive.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::leaving::{DEADLINE, send_pipelined};
use crate::standin::Deployment;
use crate::standin::worker::Behaviour;
use cornelridge_model::time;
use cornelridge_sidecar::settings;
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, future};
use http::StatusCode;

/// Grace period of a stopping node, far shorter than the deadlines of the requests.
const GRACE_PERIOD: time::Duration = time::Duration::from_secs(4);

/// Sends a request through the second node while the node at `stopping_index` stops, and checks
/// that the request is refused at once as not run.
fn check_late_request(stopping_index: usize, service: &str, path: &'static str, key: Option<u16>) {
    block_on(async {
        let services = [service, "office"];
        let set_grace = |settings: &mut settings::SidecarSettings| settings.grace = GRACE_PERIOD;
        let deployment =
            Deployment::start_with_settings(Arc::default(), &services, set_grace).await;
        deployment.configure(1);
        deployment.wait_until_served(path, key).await;
        let worker = &deployment.hosts[0].worker;
        worker.set_behaviour(Behaviour::Hold);
        let late = async {
            smol::Timer::after(Duration::from_millis(500)).await;
            let sent = Instant::now();
            let response = deployment.call(1, "late", path, key).await;
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
            assert!(
                sent.elapsed() < GRACE_PERIOD.to_std() / 2,
                "refused after {:?}",
                sent.elapsed()
            );
            assert_eq!(worker.runs("late"), 0);
        };
        future::zip(deployment.hosts[stopping_index].node.shut_down(), late).await;
    });
}

/// Guards against a stopping node of the caller that forwards a request which may take longer than
/// its grace period, and aborts the request at the end.
#[test]
fn a_stopping_node_refuses_what_it_could_not_answer_in_time() {
    check_late_request(1, "desk", "/read/x", None);
}

/// Guards against a stopping node of the worker that accepts such a request for one of its keys.
#[test]
fn a_stopping_node_takes_no_request_of_others_that_it_could_not_answer_in_time() {
    check_late_request(0, "prices", "/deal/x", Some(7));
}

/// Guards against a stopping node that refuses requests although it can answer them in time.
#[test]
fn a_stopping_node_answers_what_comes_before_its_end() {
    block_on(async {
        let deployment = Deployment::start(&["desk", "office"]).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        let node = &deployment.hosts[1].node;
        let address = node.addresses.callers;
        let soon = async {
            smol::Timer::after(Duration::from_millis(500)).await;
            let mut stream = send_pipelined(address, &["soon"]).await;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.unwrap();
            assert!(text.contains("answer to soon"), "{text:?}");
        };
        let sent = Instant::now();
        future::zip(node.shut_down(), soon).await;
        assert!(
            sent.elapsed() < DEADLINE,
            "the node waited although it had answered every request"
        );
    });
}
