//! Tests of the metrics and the status of a running deployment.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use bytes::Bytes;
use cornelridge::{metering, node};
use cornelridge_standin::{mesh, payload};
use http_body_util::Full;

use support::{KEYED, POLL, call, get, run, single_class, start, wait_until};

/// Returns the samples of a metric as pairs of labels and value.
fn samples(text: &str, name: &str) -> Vec<(String, f64)> {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name)?.rsplit_once(' '));
    let own = lines.filter(|(labels, _)| labels.starts_with('{'));
    own.map(|(labels, value)| (labels.to_owned(), value.parse().unwrap())).collect()
}

/// Returns the name of the series that shows whether a metric was recorded.
fn series(spec: &metering::MetricSpec) -> String {
    match spec.kind {
        metering::MetricKind::Histogram => format!("{}_count", spec.name),
        metering::MetricKind::Counter | metering::MetricKind::Gauge => spec.name.to_owned(),
    }
}

/// Returns the documented labels of a metric, without `node` and the `le` of histograms.
fn declared_labels(name: &str) -> &'static [&'static str] {
    match name {
        metering::REQUESTS => &["class", "outcome"],
        metering::REFUSALS => &["class", "reason"],
        metering::CONTROL_BYTES => &["direction"],
        metering::OPERATOR_REQUESTS => &["status"],
        metering::REQUEST_SECONDS
        | metering::RETRIES
        | metering::HEDGES
        | metering::IN_FLIGHT
        | metering::QUEUED
        | metering::QUEUE_SECONDS
        | metering::UPSTREAM_SECONDS
        | metering::CONCURRENCY_LIMIT => &["class"],
        _ => &[],
    }
}

/// Returns the label names in text such as `{node="n1",class="c"}`; no value in this test contains
/// a comma.
fn label_names(labels: &str) -> Vec<&str> {
    let pairs = labels.trim_matches(['{', '}']).split(',');
    let mut names: Vec<_> = pairs.filter_map(|pair| Some(pair.split_once('=')?.0)).collect();
    names.sort_unstable();
    names
}

fn operator_get(path: &str, headers: &[(&str, &str)]) -> http::Request<Full<Bytes>> {
    let mut request = get("", headers);
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// Guards against a metric that is declared but never recorded, or has other labels than
/// documented: operators would see no data and no error.
#[test]
fn every_declared_metric_is_recorded_with_its_labels() {
    run(async {
        let mesh = start(single_class(KEYED, 3)).await;
        let caller = mesh.caller_addresses()[0];
        let headers = [("cornelridge-key", "key-1"), (payload::ECHO_HEADER, "7")];
        let reply = call(caller, get(KEYED, &headers)).await.unwrap();
        assert!(reply.is_response_to(7), "{reply:?}");
        let refused = call(caller, get("no-class", &[])).await.unwrap();
        assert_eq!(refused.status, 404);
        let operator = mesh.hosts[0].node.as_ref().unwrap().operator_address;
        let unauthorized = call(operator, get("status", &[])).await.unwrap();
        assert_eq!(unauthorized.status, 401);

        let value = |name: &str| {
            samples(&metering::render(), name).iter().map(|(_, value)| value).sum::<f64>()
        };
        // The gauges are sampled once a second.
        wait_until("the gauges show the deployment", || {
            value(metering::CONCURRENCY_LIMIT) > 0.0
                && value(metering::EPOCH) > 0.0
                && value(metering::REVISION) >= 3.0
                && value(metering::CONTROL_BYTES) > 0.0
        })
        .await;
        let text = metering::render();
        for spec in metering::METRICS {
            let found = samples(&text, &series(spec));
            assert!(!found.is_empty(), "{} is not recorded:\n{text}", spec.name);
            let mut expected = declared_labels(spec.name).to_vec();
            expected.push("node");
            expected.sort_unstable();
            for (labels, _) in found {
                assert_eq!(label_names(&labels), expected, "{}{labels}", spec.name);
            }
        }
        // A slow machine may add hedged attempts, so only the minimum is certain.
        assert!(value("cornelridge_queue_seconds_count") >= 1.0);
        assert!(value("cornelridge_upstream_seconds_count") >= 1.0);
        wait_until("no request is shown in flight", || value(metering::IN_FLIGHT) == 0.0).await;
        wait_until("all leases are shown", || value(metering::LEASE_HELD) == 3.0).await;
        for direction in ["sent", "received"] {
            let bytes = samples(&text, metering::CONTROL_BYTES);
            let label = format!("direction=\"{direction}\"");
            let moved = bytes.iter().filter(|(labels, _)| labels.contains(&label));
            assert!(moved.clone().count() == 3 && moved.clone().all(|(_, value)| *value > 0.0));
        }
        mesh.nodes().for_each(node::NodeHandle::stop);
    });
}

/// Guards against a relay whose status names another planner than the holder of the lease. The
/// lease may change hands on a slow machine, so each answer is compared with the holder at that
/// moment.
#[test]
fn status_names_the_holder_of_the_planners_lease() {
    run(async {
        let mesh = start(single_class(KEYED, 3)).await;
        let key = format!("planner/{}", mesh.deployment.region);
        let bearer = format!("Bearer {}", mesh::OPERATOR_TOKEN);
        let headers = [("authorization", &*bearer)];
        // With one node in each zone, all nodes are relays and bid for the lease.
        for node in mesh.nodes() {
            loop {
                let holder = mesh.store.lease_holder(&key);
                let is_planner = |node: &&node::NodeHandle| {
                    holder.as_ref().is_some_and(|name| *name == node.incarnation().to_string())
                };
                let planner = mesh.nodes().find(is_planner).map(|node| node.name().to_string());
                let reply = call(node.operator_address, operator_get("/status", &headers)).await;
                let named = reply.unwrap().json()["planner"].as_str().map(str::to_owned);
                if planner.is_some() && named == planner {
                    break;
                }
                smol::Timer::after(POLL).await;
            }
        }
        mesh.nodes().for_each(node::NodeHandle::stop);
    });
}
