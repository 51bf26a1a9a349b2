//! Lost hosts, frozen upstreams and requests that crash upstreams, on a mesh of real nodes.

use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use cornelridge_standin::payload;

use crate::figure;
use crate::setup;

/// Requests per second of a class.
const REQUEST_RATE: f64 = 60.0;
/// Time of the load before the fault.
const LOAD_BEFORE: time::Duration = time::Duration::from_secs(2);
/// Time of the load from the fault on.
const LOAD_AFTER: time::Duration = time::Duration::from_secs(6);
/// Time within which a mesh must settle.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Attempts of the caller whose request crashes upstreams.
const CRASH_ATTEMPTS: u64 = 5;
/// Delay between two attempts, in which a crashed upstream restarts.
const CRASH_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// Upstreams that one request may crash.
const MAX_LOST_UPSTREAMS: u64 = 2;
/// First request identifier of the requests that crash upstreams.
const FIRST_CRASH_ID: u64 = 9_000_000;
/// Bytes of a download.
const BULK_BYTES: u64 = 1024 * 1024;

async fn start(deployment: deployment::Deployment) -> Result<mesh::Mesh, String> {
    let mesh = setup::start(deployment, |upstream| upstream.cold_start = time::Duration::ZERO);
    let mesh = mesh.await?;
    mesh.wait_until_settled(SETTLE_TIMEOUT).await.map_err(|error| error.to_string())?;
    Ok(mesh)
}

/// Returns the settings of a load on a class through nodes of other classes, which have no faults.
fn load(mesh: &mesh::Mesh, class: usize) -> caller::LoadSettings {
    let entry = &mesh.deployment.classes[class];
    let config = &entry.config;
    let others = mesh.hosts.iter().filter(|host| host.plan.class != config.name);
    let targets = others.filter_map(|host| host.node.as_ref()).map(|node| node.caller_address);
    let duration = LOAD_BEFORE + LOAD_AFTER;
    caller::LoadSettings {
        arrival: caller::ArrivalMode::Open(REQUEST_RATE),
        total: (REQUEST_RATE * duration.as_secs_f64()) as u64,
        duration,
        connections: 60,
        idempotency_keys: !config.idempotent,
        answer_bytes: if config.bulk { BULK_BYTES } else { entry.answer_bytes },
        ..caller::LoadSettings::new(targets.collect(), &config.name)
    }
}

fn deployments() -> [deployment::Deployment; 2] {
    [deployment::Deployment::bogota(), deployment::Deployment::nairobi()]
}

/// Kills a host of each class in turn under load and measures how long the class is unavailable.
pub(crate) fn unavailable(_args: &[String]) -> Result<(), String> {
    for deployment in deployments() {
        smol::block_on(lose_hosts(deployment))?;
    }
    Ok(())
}

async fn lose_hosts(deployment: deployment::Deployment) -> Result<(), String> {
    for class in 0..deployment.classes.len() {
        let mut mesh = start(deployment.clone()).await?;
        let report = setup::background_load(&mesh, load(&mesh, class));
        smol::Timer::after(LOAD_BEFORE).await;
        let name = mesh.deployment.classes[class].config.name.to_string();
        let host = mesh.owner(&name, b"key-0").or(mesh.hosts_of(&name).first().copied());
        mesh.kill_host(host.ok_or("no host")?);
        let report = report.await.ok_or("no caller could be started")?;
        println!("# {name}: {:?}", report.outcomes);
        figure::print_duration(&format!("unavailable.{name}"), report.unavailable());
        figure::print_duration(&format!("unavailable.{name}.partly"), report.partly_unavailable());
    }
    Ok(())
}

/// Freezes the upstream that owns the only key under load and measures how long the key is
/// unavailable.
pub(crate) fn frozen(_args: &[String]) -> Result<(), String> {
    let mut longest = time::Duration::ZERO;
    for deployment in deployments() {
        longest = longest.max(smol::block_on(measure_freeze(deployment))?);
    }
    figure::print_duration("frozen.unavailable", longest);
    Ok(())
}

async fn measure_freeze(deployment: deployment::Deployment) -> Result<time::Duration, String> {
    let mesh = start(deployment).await?;
    let keyed = mesh
        .deployment
        .classes
        .iter()
        .position(|class| class.config.is_sliced() && class.config.idempotent);
    let class = keyed.ok_or("no class with keys")?;
    let name = mesh.deployment.classes[class].config.name.to_string();
    let load = caller::LoadSettings { keys: 1, ..load(&mesh, class) };
    let report = setup::background_load(&mesh, load);
    smol::Timer::after(LOAD_BEFORE).await;
    let owner = mesh.owner(&name, b"key-0").ok_or("key-0 has no owner")?;
    mesh.hosts[owner].upstream.freeze();
    let report = report.await.ok_or("no caller could be started")?;
    println!("# {name}: {:?}", report.outcomes);
    figure::print_duration(&format!("frozen.{name}.unavailable"), report.unavailable());
    Ok(report.unavailable())
}

/// Repeats a request that crashes each upstream that runs it, and counts the upstreams lost.
pub(crate) fn crashing_request(_args: &[String]) -> Result<(), String> {
    let mut max_lost = 0;
    for deployment in deployments() {
        for class in 0..deployment.classes.len() {
            max_lost = max_lost.max(smol::block_on(measure_crashes(deployment.clone(), class))?);
        }
    }
    figure::print_count("poison.upstreams_lost", max_lost);
    if max_lost > MAX_LOST_UPSTREAMS {
        return Err(format!("{max_lost} upstreams were lost to one request"));
    }
    Ok(())
}

async fn measure_crashes(deployment: deployment::Deployment, class: usize) -> Result<u64, String> {
    let mesh = start(deployment).await?;
    let name = mesh.deployment.classes[class].config.name.to_string();
    for attempt in 0..CRASH_ATTEMPTS {
        let request = caller::LoadSettings {
            arrival: caller::ArrivalMode::Closed,
            total: 1,
            connections: 1,
            keys: 1,
            first_id: FIRST_CRASH_ID + attempt,
            headers: vec![(payload::CRASH_HEADER, "1".to_owned())],
            ..load(&mesh, class)
        };
        let report = setup::background_load(&mesh, request).await;
        let report = report.ok_or("no caller could be started")?;
        println!("# {name} attempt {attempt}: {:?}", report.outcomes);
        let pause = smol::Timer::after(CRASH_RETRY_DELAY);
        for host in &mesh.hosts {
            host.upstream.restart().map_err(|error| error.to_string())?;
        }
        if crash_count(&mesh) > MAX_LOST_UPSTREAMS {
            break;
        }
        pause.await;
    }
    figure::print_count(&format!("poison.{name}.upstreams_lost"), crash_count(&mesh));
    Ok(crash_count(&mesh))
}

/// Returns how often an upstream started a request that crashes it.
fn crash_count(mesh: &mesh::Mesh) -> u64 {
    let executions = mesh.hosts.iter().flat_map(|host| host.upstream.executions());
    executions.filter(|execution| execution.echo.is_some_and(|id| id >= FIRST_CRASH_ID)).count()
        as u64
}
