//! Time without an owner after a host or only its node is lost.

use std::sync::Arc;
use std::time;

use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use cornelridge_standin::store;
use cornelridge_store::api::{ConfigStore, LeaseOutcome};
use cornelridge_store::client;
use futures_lite::future;

use crate::figure;
use crate::owners;
use crate::trial;

/// Losses with the store up, and as many with the store down.
const LOSSES: usize = 10;
/// Longest time without an owner that the specification allows.
const LIMIT: time::Duration = time::Duration::from_secs(1);
/// Pause between two samples.
const SAMPLE_PAUSE: time::Duration = time::Duration::from_millis(1);
/// Time of watching after a loss; the planner replaces the lost member meanwhile.
const WATCH: time::Duration = time::Duration::from_millis(1_500);
/// Time after which a key without an owner is given up.
const GIVE_UP: time::Duration = time::Duration::from_secs(10);
/// Time in which a mesh must be whole again after a loss.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Time to live of the lease of the baseline.
const LEASE_TTL: time::Duration = time::Duration::from_secs(3);
/// Losses of the baseline; all run at the same time.
const BASELINE_LOSSES: u32 = 10;
/// Interval at which the successor of the baseline asks for the lease.
const BASELINE_POLL: time::Duration = time::Duration::from_millis(200);

/// Loses hosts and nodes one after the other, with the store up and with the store down.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    smol::block_on(measure())
}

async fn measure() -> Result<(), String> {
    let mut mesh = trial::start(deployment::Deployment::bogota(), |_| {}).await?;
    mesh.wait_until_settled(SETTLE_LIMIT).await.map_err(|error| error.to_string())?;
    let mut sampler = owners::OwnerSampler::new(&mesh);
    let mut up = Vec::new();
    let mut down = Vec::new();
    for number in 0..2 * LOSSES {
        let host = sampler.owner(&mesh, number).ok_or("no owner")?;
        let is_down = number % 2 == 1;
        let whole_host = number / 2 % 2 == 0;
        let lost = lose(&mut mesh, &mut sampler, host, whole_host, is_down).await?;
        let (kind, store) =
            (["node", "host"][usize::from(whole_host)], ["up", "down"][usize::from(is_down)]);
        println!(
            "# lost {kind} {} with the store {store}: {:.3} s",
            mesh.hosts[host].plan.name,
            lost.as_secs_f64()
        );
        if is_down {
            down.push(lost)
        } else {
            up.push(lost)
        }
        recover(&mut mesh, &mut sampler, host).await?;
    }
    figure::print_span("takeover.max", figure::longest(&up));
    figure::print_span("takeover.median", figure::median(&up));
    figure::print_span("takeover.store_down.max", figure::longest(&down));
    figure::print_span("takeover.store_down.median", figure::median(&down));
    figure::print_count("takeover.two_owners", sampler.doubles);
    figure::print_span("takeover.longest_sample_interval", sampler.coarsest);
    figure::print_count("takeover.losses", (up.len() + down.len()) as u64);
    let baseline = baseline(&mesh).await?;
    figure::print_span("takeover.max.store_lease", figure::longest(&baseline));
    figure::print_span("takeover.median.store_lease", figure::median(&baseline));
    let late = up.iter().chain(&down).filter(|lost| **lost > LIMIT).count();
    match (late, sampler.doubles) {
        (0, 0) => Ok(()),
        (late, doubles) => {
            Err(format!("{late} losses over 1 s, {doubles} moments with two owners"))
        }
    }
}

/// Loses a host or its node and returns the longest time that a key had no owner.
async fn lose(
    mesh: &mut mesh::Mesh,
    sampler: &mut owners::OwnerSampler,
    host: usize,
    whole_host: bool,
    is_down: bool,
) -> Result<time::Duration, String> {
    if is_down {
        mesh.store.set_outage(store::StoreOutage::Down).map_err(|error| error.to_string())?;
    }
    sampler.restart();
    sampler.sample(mesh);
    let lost_at = time::Instant::now();
    if whole_host {
        mesh.kill_host(host)
    } else {
        mesh.kill_node(host)
    }
    loop {
        sampler.sample(mesh);
        let watched = lost_at.elapsed();
        if watched >= GIVE_UP || watched >= WATCH && sampler.is_owned() {
            break;
        }
        smol::Timer::after(SAMPLE_PAUSE).await;
    }
    Ok(sampler.longest())
}

/// Replaces the lost host, and samples until the mesh is whole again.
async fn recover(
    mesh: &mut mesh::Mesh,
    sampler: &mut owners::OwnerSampler,
    host: usize,
) -> Result<(), String> {
    mesh.store.set_outage(store::StoreOutage::None).map_err(|error| error.to_string())?;
    mesh.replace_host(host).await.map_err(|error| error.to_string())?;
    sampler.restart();
    let settled = mesh.wait_until_settled(SETTLE_LIMIT);
    let sampling = async {
        loop {
            sampler.sample(mesh);
            smol::Timer::after(SAMPLE_PAUSE).await;
        }
    };
    let begun = time::Instant::now();
    future::or(settled, sampling).await.map_err(|error| error.to_string())?;
    println!("# whole again after {:.1} s", begun.elapsed().as_secs_f64());
    Ok(())
}

/// Time until a successor gets a lease of 3 s in the store whose holder renewed it once a second.
async fn baseline(mesh: &mesh::Mesh) -> Result<Vec<time::Duration>, String> {
    let address = mesh.store.address();
    let losses: Vec<_> =
        (0..BASELINE_LOSSES).map(|number| smol::spawn(baseline_loss(address, number))).collect();
    let mut spans = Vec::new();
    for loss in losses {
        spans.push(loss.await?);
    }
    Ok(spans)
}

async fn baseline_loss(
    address: std::net::SocketAddr,
    number: u32,
) -> Result<time::Duration, String> {
    let store = client::StoreClient::new(client::StoreSettings::new(address));
    let key: Arc<str> = Arc::from(format!("baseline/{number}"));
    store.acquire_lease(&key, "holder", LEASE_TTL).await.map_err(|error| error.to_string())?;
    // The losses are spread over the second between two renewals.
    let since_renewal = time::Duration::from_secs(1) * number / BASELINE_LOSSES;
    smol::Timer::after(since_renewal).await;
    let lost_at = time::Instant::now();
    loop {
        let answer = store.acquire_lease(&key, "successor", LEASE_TTL).await;
        if matches!(answer, Ok(LeaseOutcome::Held)) {
            return Ok(lost_at.elapsed());
        }
        smol::Timer::after(BASELINE_POLL).await;
    }
}
