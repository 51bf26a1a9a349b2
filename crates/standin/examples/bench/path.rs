//! What two nodes on the path add to a request, against the upstream called directly.

use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;

use crate::figure;
use crate::trial;

/// Requests of a measured run.
const REQUESTS: u64 = 30_000;
/// Requests that warm connections and the cold upstream up.
const WARM_UP: u64 = 10_000;
/// Connections of the closed loop that finds the rate at full load.
const CONNECTIONS: u32 = 12;

/// Measures full load in a closed loop, then half of that rate in an open loop.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    smol::block_on(measure())
}

async fn measure() -> Result<(), String> {
    let mesh = trial::start(deployment::Deployment::bogota(), |upstream| {
        upstream.service_time = time::Duration::ZERO;
        upstream.cold_start = time::Duration::ZERO;
    })
    .await?;
    let owner = mesh.owner("quote-desk", b"key-0").ok_or("key-0 has no owner")?;
    let other = mesh.hosts.iter().position(|host| host.plan.zone != mesh.hosts[owner].plan.zone);
    let ingress = other.and_then(|host| mesh.hosts[host].node.as_ref()).ok_or("no other node")?;
    let direct = mesh.hosts[owner].upstream.address();
    let settings = |target, total, first_id| caller::LoadSettings {
        total,
        connections: CONNECTIONS,
        keys: 1,
        first_id,
        ..caller::LoadSettings::new(vec![target], "quote-desk")
    };
    trial::load(&mesh, settings(ingress.caller_address, WARM_UP, 1)).await?;
    let full = trial::load(&mesh, settings(ingress.caller_address, REQUESTS, 100_000)).await?;
    check(&full)?;
    let rate = full.total() as f64 / full.elapsed.as_secs_f64();
    figure::print_number("path.rate", rate, "requests/s");
    let direct_full = trial::load(&mesh, settings(direct, REQUESTS, 200_000)).await?;
    let direct_rate = direct_full.total() as f64 / direct_full.elapsed.as_secs_f64();
    figure::print_number("path.rate.direct", direct_rate, "requests/s");
    let half = |target, first_id| caller::LoadSettings {
        arrival: caller::ArrivalMode::Open(rate / 2.0),
        connections: 64,
        ..settings(target, REQUESTS, first_id)
    };
    let before = trial::node_cpu();
    let through = trial::load(&mesh, half(ingress.caller_address, 300_000)).await?;
    let cpu = trial::node_cpu().saturating_sub(before);
    check(&through)?;
    let bare = trial::load(&mesh, half(direct, 400_000)).await?;
    report(&through, &bare, cpu);
    Ok(())
}

fn check(report: &caller::LoadReport) -> Result<(), String> {
    if report.count(caller::CallOutcome::Whole) == report.total() {
        return Ok(());
    }
    Err(format!("requests failed: {:?}", report.outcomes))
}

fn report(through: &caller::LoadReport, bare: &caller::LoadReport, cpu: time::Duration) {
    for (name, percentile) in [("p50", 50.0), ("p99", 99.0)] {
        let millis =
            |report: &caller::LoadReport| report.percentile(percentile).as_secs_f64() * 1e3;
        let added = millis(through) - millis(bare);
        figure::print_number(&format!("path.added_{name}"), added, "ms");
        figure::print_number(&format!("path.added_{name}.direct"), millis(bare), "ms");
    }
    let micros = cpu.as_secs_f64() * 1e6 / through.total() as f64;
    figure::print_number("path.node_cpu", micros, "us/request");
}
