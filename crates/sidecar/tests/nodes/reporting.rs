//! Reports that another program sends in the name of a worker.

use bytes::Bytes;
use futures_lite::future::block_on;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::standin::{Deployment, StandInReport, send, wait_until};

/// Reports to the node of the first host as a worker that started later, and returns the status.
async fn report_of_other(
    deployment: &Deployment,
    holds: Option<Vec<(u16, u16, u64)>>,
) -> StatusCode {
    report_of_service(deployment, "prices", holds).await
}

async fn report_of_service(
    deployment: &Deployment,
    service: &str,
    holds: Option<Vec<(u16, u16, u64)>>,
) -> StatusCode {
    let host = &deployment.hosts[0];
    let report = StandInReport {
        id: "other".to_owned(),
        born: 1_700_000_000_000,
        sequence: 1,
        service: service.to_owned(),
        address: host.worker.address,
        slots: 8,
        is_leaving: true,
        holds,
    };
    let body = Bytes::from(serde_json::to_vec(&report).unwrap());
    let request = Request::post("/report").header("host", "node").body(Full::new(body)).unwrap();
    send(host.node.addresses.reports, request).await.unwrap().status
}

/// Guards against two holders of a key, and against a worker that is granted no key any more, after
/// one report of another program.
#[test]
fn a_report_of_another_program_ends_no_holder() {
    block_on(async {
        let deployment = Deployment::start(&["prices", "prices"]).await;
        deployment.configure(1);
        wait_until("both workers hold keys", || async {
            let holds = |host: usize| deployment.hosts[host].worker.holds();
            !holds(0).is_empty() && !holds(1).is_empty()
        })
        .await;
        let held = deployment.hosts[0].worker.holds();
        let key = held[0].0;
        assert_eq!(report_of_other(&deployment, None).await, StatusCode::BAD_REQUEST);
        assert_eq!(report_of_other(&deployment, Some(Vec::new())).await, StatusCode::OK);
        for attempt in 0..40 {
            let id = format!("key-{attempt}");
            let response = deployment.call(attempt % 2, &id, "/price/x", Some(key)).await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(deployment.hosts[0].worker.runs(&id), 1, "{id} ran at another worker");
            smol::Timer::after(std::time::Duration::from_millis(25)).await;
        }
    });
}

/// Guards against a worker that is never granted keys when another program's report is the first
/// one that its node gets, before it knows which services exist.
#[test]
fn a_report_before_the_configuration_is_known_takes_no_place() {
    block_on(async {
        let deployment = Deployment::start(&["prices"]).await;
        let status = report_of_service(&deployment, "unknown", Some(Vec::new())).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "nothing is acknowledged yet");
        deployment.configure(1);
        deployment.wait_until_served("/price/x", Some(7)).await;
        let status = report_of_service(&deployment, "unknown", Some(Vec::new())).await;
        assert_eq!(status, StatusCode::OK);
        let response = deployment.call(0, "after", "/price/x", Some(7)).await;
        assert_eq!(response.status, StatusCode::OK);
    });
}
