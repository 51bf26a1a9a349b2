//! Runs the Bogotá deployment in one process, sends requests before and after the loss of a host,
//! and checks the results.
//!
//! With `--serve` the deployment runs until Ctrl-C.

use std::env;
use std::process;
use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use tokio_util::sync::CancellationToken;

/// Time within which the deployment must be ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Requests of each class in each phase.
const REQUESTS: u64 = 600;
/// Downloads in each phase; each has 4 MiB.
const DOWNLOADS: u64 = 60;

fn main() -> process::ExitCode {
    let result = match env::args().nth(1).as_deref() {
        None => smol::block_on(run()),
        Some("--serve") => smol::block_on(serve()),
        Some(other) => Err(format!("unknown argument {other:?}; use --serve or none")),
    };
    match result {
        Ok(()) => {
            println!("demo: ok");
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            println!("demo: failed: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn start() -> Result<mesh::Mesh, String> {
    let bogota = deployment::Deployment::bogota();
    let mesh = mesh::Mesh::start(bogota, |_| {}).await.map_err(|error| error.to_string())?;
    mesh.wait_until_ready(READY_TIMEOUT).await.map_err(|error| error.to_string())?;
    Ok(mesh)
}

async fn serve() -> Result<(), String> {
    let mesh = start().await?;
    for line in mesh.describe() {
        println!("{line}");
    }
    println!("store {}", mesh.store.address());
    let mut signals = async_signal::Signals::new([async_signal::Signal::Int])
        .map_err(|error| error.to_string())?;
    futures_lite::StreamExt::next(&mut signals).await;
    Ok(())
}

async fn run() -> Result<(), String> {
    let started = time::Instant::now();
    let mut mesh = start().await?;
    println!("{} nodes ready after {:.1} s", mesh.hosts.len(), started.elapsed().as_secs_f64());
    for line in mesh.describe() {
        println!("{line}");
    }
    run_phase(&mesh, "all hosts up", 0).await?;
    let lost_host = mesh.hosts_of("quote-desk")[0];
    println!("losing host {}", mesh.hosts[lost_host].plan.name);
    let lost_at = time::Instant::now();
    mesh.kill_host(lost_host);
    wait_until_served(&mesh, lost_at).await?;
    run_phase(&mesh, "one host lost", 1_000_000).await?;
    check_executions(&mesh)
}

/// Sends requests of every class and checks that each one is answered completely.
async fn run_phase(mesh: &mesh::Mesh, name: &str, first_id: u64) -> Result<(), String> {
    for (index, class) in mesh.deployment.classes.iter().enumerate() {
        let config = &class.config;
        let total = if config.bulk { DOWNLOADS } else { REQUESTS };
        let settings = caller::LoadSettings {
            total,
            connections: 8,
            idempotency_keys: !config.idempotent,
            answer_bytes: class.answer_bytes,
            first_id: first_id + index as u64 * REQUESTS + 1,
            ..caller::LoadSettings::new(mesh.caller_addresses(), &config.name)
        };
        let cancel = CancellationToken::new();
        let report = caller::run(&mesh.standins, settings, &cancel).await;
        let report = report.ok_or("no caller could be started")?;
        println!(
            "{name}: {} {} of {} answered whole, p50 {:.2} ms, p99 {:.2} ms (target {} ms)",
            config.name,
            report.count(caller::CallOutcome::Whole),
            report.total(),
            report.percentile(50.0).as_secs_f64() * 1e3,
            report.percentile(99.0).as_secs_f64() * 1e3,
            config.target_ms,
        );
        if report.count(caller::CallOutcome::Wrong) > 0 {
            return Err(format!("class {}: a caller received a wrong answer", config.name));
        }
        if report.count(caller::CallOutcome::Whole) < total {
            return Err(format!("class {}: outcomes {:?}", config.name, report.outcomes));
        }
    }
    Ok(())
}

/// Waits until every sampled key has an owner again.
async fn wait_until_served(mesh: &mesh::Mesh, lost_at: time::Instant) -> Result<(), String> {
    mesh.wait_until_served(READY_TIMEOUT).await.map_err(|error| error.to_string())?;
    println!("every key is served again after {:.3} s", lost_at.elapsed().as_secs_f64());
    Ok(())
}

/// Checks that no idempotency key was executed twice.
fn check_executions(mesh: &mesh::Mesh) -> Result<(), String> {
    let mut keys = std::collections::HashSet::new();
    for execution in mesh.hosts.iter().flat_map(|host| host.upstream.executions()) {
        if let Some(key) = execution.idempotency_key
            && !keys.insert(std::sync::Arc::clone(&key))
        {
            return Err(format!("idempotency key {key} was executed twice"));
        }
    }
    println!("{} idempotency keys, none executed twice", keys.len());
    Ok(())
}
