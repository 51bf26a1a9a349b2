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
use crate::setup;

/// Losses with the store up, and as many with the store down.
const LOSSES: usize = 10;
/// Longest time without an owner that the specification allows.
const MAX_UNOWNED_TIME: time::Duration = time::Duration::from_secs(1);
/// Interval between two samples.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(1);
/// Minimum time of observation after a loss, in which the planner replaces the lost member.
const OBSERVATION_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time of observation after a loss at which it ends even if keys have no owner.
const UNOWNED_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time within which a mesh must settle.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time to live of the baseline's lease.
const LEASE_TTL: time::Duration = time::Duration::from_secs(3);
/// Losses of the baseline; all run at the same time.
const BASELINE_LOSSES: u32 = 10;
/// Interval at which the successor in the baseline tries to acquire the lease.
const BASELINE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Kills hosts and nodes one after the other, with the store up and with the store down.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    smol::block_on(measure())
}

async fn measure() -> Result<(), String> {
    let mut mesh = setup::start(deployment::Deployment::bogota(), |_| {}).await?;
    mesh.wait_until_settled(SETTLE_TIMEOUT).await.map_err(|error| error.to_string())?;
    let mut sampler = owners::OwnerSampler::new(&mesh);
    let mut store_up_times = Vec::new();
    let mut store_down_times = Vec::new();
    for number in 0..2 * LOSSES {
        let host = sampler.owner(&mesh, number).ok_or("no owner")?;
        let is_store_down = number % 2 == 1;
        let whole_host = number / 2 % 2 == 0;
        let unowned_time =
            measure_loss(&mut mesh, &mut sampler, host, whole_host, is_store_down).await?;
        let (kind, store) =
            (["node", "host"][usize::from(whole_host)], ["up", "down"][usize::from(is_store_down)]);
        println!(
            "# lost {kind} {} with the store {store}: {:.3} s",
            mesh.hosts[host].plan.name,
            unowned_time.as_secs_f64()
        );
        if is_store_down {
            store_down_times.push(unowned_time)
        } else {
            store_up_times.push(unowned_time)
        }
        recover(&mut mesh, &mut sampler, host).await?;
    }
    figure::print_duration("takeover.max", figure::longest(&store_up_times));
    figure::print_duration("takeover.median", figure::median(&store_up_times));
    figure::print_duration("takeover.store_down.max", figure::longest(&store_down_times));
    figure::print_duration("takeover.store_down.median", figure::median(&store_down_times));
    figure::print_count("takeover.two_owners", sampler.double_owners);
    figure::print_duration("takeover.longest_sample_interval", sampler.max_sample_interval);
    figure::print_count("takeover.losses", (store_up_times.len() + store_down_times.len()) as u64);
    let baseline = baseline(&mesh).await?;
    figure::print_duration("takeover.max.store_lease", figure::longest(&baseline));
    figure::print_duration("takeover.median.store_lease", figure::median(&baseline));
    let late = store_up_times
        .iter()
        .chain(&store_down_times)
        .filter(|unowned_time| **unowned_time > MAX_UNOWNED_TIME)
        .count();
    match (late, sampler.double_owners) {
        (0, 0) => Ok(()),
        (late, double_owners) => {
            Err(format!("{late} losses over 1 s, {double_owners} moments with two owners"))
        }
    }
}

/// Kills a host or its node and returns the longest time that a key had no owner.
async fn measure_loss(
    mesh: &mut mesh::Mesh,
    sampler: &mut owners::OwnerSampler,
    host: usize,
    whole_host: bool,
    is_store_down: bool,
) -> Result<time::Duration, String> {
    if is_store_down {
        mesh.store.set_outage(store::StoreOutage::Down).map_err(|error| error.to_string())?;
    }
    sampler.reset();
    sampler.sample(mesh);
    let lost_at = time::Instant::now();
    if whole_host {
        mesh.kill_host(host)
    } else {
        mesh.kill_node(host)
    }
    loop {
        sampler.sample(mesh);
        let elapsed = lost_at.elapsed();
        if elapsed >= UNOWNED_TIMEOUT || elapsed >= OBSERVATION_TIME && sampler.is_owned() {
            break;
        }
        smol::Timer::after(SAMPLE_INTERVAL).await;
    }
    Ok(sampler.longest_unowned())
}

/// Replaces the lost host and samples until the mesh has settled.
async fn recover(
    mesh: &mut mesh::Mesh,
    sampler: &mut owners::OwnerSampler,
    host: usize,
) -> Result<(), String> {
    mesh.store.set_outage(store::StoreOutage::None).map_err(|error| error.to_string())?;
    mesh.replace_host(host).await.map_err(|error| error.to_string())?;
    sampler.reset();
    let settled = mesh.wait_until_settled(SETTLE_TIMEOUT);
    let sampling = async {
        loop {
            sampler.sample(mesh);
            smol::Timer::after(SAMPLE_INTERVAL).await;
        }
    };
    let started = time::Instant::now();
    future::or(settled, sampling).await.map_err(|error| error.to_string())?;
    println!("# whole again after {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// Measures the baseline: the time until a successor acquires a lease of 3 s in the store that its
/// lost holder renewed once a second.
async fn baseline(mesh: &mesh::Mesh) -> Result<Vec<time::Duration>, String> {
    let address = mesh.store.address();
    let losses: Vec<_> =
        (0..BASELINE_LOSSES).map(|number| smol::spawn(baseline_loss(address, number))).collect();
    let mut times = Vec::new();
    for loss in losses {
        times.push(loss.await?);
    }
    Ok(times)
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
        smol::Timer::after(BASELINE_POLL_INTERVAL).await;
    }
}
