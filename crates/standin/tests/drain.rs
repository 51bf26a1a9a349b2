//! An upstream that leaves under load, on real nodes.

#![allow(clippy::unwrap_used)]

use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use cornelridge_standin::payload;
use tokio_util::sync::CancellationToken;

const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const REQUESTS: u64 = 6;

/// Guards against releasing a lease as soon as its slices are handed over, which cancels requests
/// that still run under the lease.
#[test]
fn a_leaving_upstream_finishes_its_requests_after_the_hand_over() {
    smol::block_on(async {
        let deployment = deployment::Deployment::bogota();
        let mesh = mesh::Mesh::start(deployment, |_| {}).await.unwrap();
        mesh.wait_until_settled(SETTLE_TIMEOUT).await.unwrap();
        let executed =
            || -> u64 { mesh.hosts.iter().map(|host| host.upstream.counts().executed).sum() };
        let load = caller::LoadSettings {
            total: REQUESTS,
            connections: REQUESTS as u32,
            idempotency_keys: true,
            headers: vec![(payload::SERVICE_HEADER, "1500".to_owned())],
            ..caller::LoadSettings::new(mesh.caller_addresses(), "payout-hub")
        };
        let host = mesh.standins.clone();
        let report = smol::spawn(async move {
            caller::run(&host, load, &CancellationToken::new()).await.unwrap()
        });
        while executed() == 0 && !report.is_finished() {
            smol::Timer::after(time::Duration::from_millis(5)).await;
        }
        let leaving = mesh
            .hosts_of("payout-hub")
            .into_iter()
            .find(|host| mesh.hosts[*host].upstream.counts().executed > 0);
        mesh.hosts[leaving.unwrap()].upstream.start_leaving();
        let report = report.await;
        // Requests that wait for a slot may be refused; running ones must finish.
        let whole = report.count(caller::CallOutcome::Whole);
        let refused = report.count(caller::CallOutcome::NotRun);
        assert_eq!((whole > 0, whole + refused), (true, REQUESTS), "{:?}", report.outcomes);
    });
}
