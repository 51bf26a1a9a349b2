//! Workers whose responses are repeated, cut off or unsigned.

use std::time::{Duration, Instant};

use crate::crashing;
use crate::standin::script::complete_response;
use crate::standin::worker::Behaviour;
use crate::standin::{Deployment, call_at, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

/// Starts a scripted worker of `service`, and a node beside a worker of another service.
async fn start_scripted(service: &str, path: &'static str, key: Option<u16>) -> Deployment {
    let deployment = Deployment::start(&[service, "office"]).await;
    deployment.hosts[0].worker.set_behaviour(Behaviour::Script);
    deployment.configure(1);
    deployment.wait_until_served(path, key).await;
    deployment
}

/// Guards against running a request twice, or reporting it as not run, when the worker writes an
/// earlier refusal of the request again while it runs the request.
#[test]
fn a_refusal_that_comes_again_is_not_taken_for_the_next_attempt() {
    block_on(async {
        let deployment = start_scripted("prices", "/price/x", Some(7)).await;
        for (host, id) in [(0, "twice-near"), (1, "twice-far")] {
            let response = deployment.call(host, id, "/deal/x", Some(7)).await;
            assert!(deployment.runs(id) <= 1, "{} runs, {response:?}", deployment.runs(id));
            let has_run = deployment.runs(id) > 0;
            assert!(response.status != StatusCode::SERVICE_UNAVAILABLE || !has_run, "{response:?}");
        }
    });
}

/// Guards against accepting a refusal without a request identifier: the refusal may be of an
/// earlier request, written again while the worker runs the current one.
#[test]
fn a_refusal_without_a_request_is_not_believed() {
    block_on(async {
        let deployment = start_scripted("desk", "/read/x", None).await;
        for attempt in 0..3 {
            let id = format!("unnamed-{attempt}");
            let address = deployment.hosts[1].node.addresses.callers;
            let response = call_at(address, id.clone(), "/order/x", None).await;
            let has_run = deployment.runs(&id) > 0;
            assert!(response.status != StatusCode::SERVICE_UNAVAILABLE || !has_run, "{response:?}");
        }
    });
}

/// Guards against passing on a response as complete when its head or body was cut off.
#[test]
fn an_answer_that_stops_anywhere_is_never_whole() {
    block_on(async {
        let deployment = start_scripted("desk", "/read/x", None).await;
        for fault in ["cut", "reset"] {
            for length in 0..complete_response(&format!("{fault}-100")).len() {
                let id = format!("{fault}-{length}");
                if length >= complete_response(&id).len() {
                    continue;
                }
                // Beside the worker, and through a second node.
                let address = deployment.hosts[length % 2].node.addresses.callers;
                let response = call_at(address, id.clone(), "/order/x", None).await;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{id}: {response:?}");
                assert_eq!(deployment.runs(&id), 1, "{id}");
            }
        }
    });
}

/// Guards against passing on a successful response that the worker hasn't signed.
#[test]
fn a_success_without_a_signature_is_not_passed_on() {
    block_on(async {
        let deployment = start_scripted("desk", "/read/x", None).await;
        for (host, id) in [(0, "unsigned-near"), (1, "unsigned-far")] {
            let response = deployment.call(host, id, "/order/x", None).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{response:?}");
            assert_eq!(deployment.runs(id), 1);
        }
    });
}

/// Statuses that no final response has.
const ODD_STATUSES: [&str; 7] = ["000", "099", "101", "102", "199", "600", "999"];

/// Guards against passing on a response whose status isn't that of a final response.
#[test]
fn a_status_that_ends_no_request_is_not_passed_on() {
    block_on(async {
        let deployment = start_scripted("desk", "/read/x", None).await;
        for status in ODD_STATUSES {
            for host in [0, 1] {
                let id = format!("status-{status}-{host}");
                let address = deployment.hosts[host].node.addresses.callers;
                let response = call_at(address, id.clone(), "/order/x", None).await;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{id}: {response:?}");
                assert_eq!(deployment.runs(&id), 1, "{id}");
            }
        }
    });
}

/// Guards against passing on a status by which callers take a request as not run, although the
/// worker didn't say so and has run it.
#[test]
fn a_status_that_means_not_run_is_believed_with_its_header_only() {
    block_on(async {
        let deployment = start_scripted("desk", "/read/x", None).await;
        for status in ["408", "429", "503"] {
            for host in [0, 1] {
                let id = format!("status-{status}-{host}");
                let address = deployment.hosts[host].node.addresses.callers;
                let response = call_at(address, id.clone(), "/order/x", None).await;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{id}: {response:?}");
                assert_eq!(deployment.runs(&id), 1, "{id}");
            }
        }
    });
}

/// Guards against failing an idempotent request for such a response while another worker serves it.
#[test]
fn a_request_with_an_odd_status_is_tried_elsewhere_if_it_may_be_repeated() {
    block_on(async {
        let deployment = Deployment::start(&["desk", "desk", "office"]).await;
        deployment.configure(1);
        crashing::wait_until_connected_with(&deployment, 2, "/read/x").await;
        deployment.hosts[0].worker.set_behaviour(Behaviour::Script);
        for status in ODD_STATUSES {
            for host in [0, 2] {
                let address = deployment.hosts[host].node.addresses.callers;
                // A worker that fails is avoided for a time.
                let mut attempt = 0;
                wait_until("the worker with the odd status gets a request", || {
                    attempt += 1;
                    let id = format!("status-{status}-{host}-{attempt}");
                    let worker = &deployment.hosts[0].worker;
                    async move {
                        let response = call_at(address, id.clone(), "/read/x", None).await;
                        assert_eq!(response.status, StatusCode::OK, "{id}: {response:?}");
                        worker.runs(&id) > 0
                    }
                })
                .await;
            }
        }
    });
}

/// Guards against a worker that breaks off every request and is taken for an idle one by each node
/// until that has failed there itself: the node beside the worker knows, and others can serve.
#[test]
fn a_worker_that_answers_nothing_gets_no_requests_of_nodes_that_never_failed_there() {
    const LEARNERS: usize = 8;
    const CALLERS: usize = 20;
    const PROBE_INTERVAL: Duration = Duration::from_millis(200);
    block_on(async {
        let mut services = vec!["prices"; CALLERS];
        services.extend(["desk", "desk"]);
        let deployment = Deployment::start(&services).await;
        deployment.configure(1);
        deployment.wait_until_served("/read/x", None).await;
        let failing = &deployment.hosts[CALLERS].worker;
        failing.set_behaviour(Behaviour::Reset);
        let mut broken_off = 0;
        let mut number = 0;
        // A node that failed there tries the other worker for a while.
        while broken_off < 4 && number < 4_000 {
            let id = format!("learn-{number}");
            deployment.call(number % LEARNERS, &id, "/read/x", None).await;
            broken_off += failing.runs(&id);
            number += 1;
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(broken_off, 4, "the worker breaks off requests");
        let started = Instant::now();
        let mut broken_off = 0;
        for host in LEARNERS..CALLERS {
            let id = format!("fresh-{host}");
            let response = deployment.call(host, &id, "/read/x", None).await;
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
            broken_off += failing.runs(&id);
        }
        let probes = started.elapsed().as_millis() / PROBE_INTERVAL.as_millis() + 1;
        assert!(broken_off <= probes as usize, "{broken_off} with {probes} probes");
    });
}
