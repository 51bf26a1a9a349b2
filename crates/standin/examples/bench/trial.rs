//! Helpers that several scenarios share.

use std::fs;
use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use tokio_util::sync::CancellationToken;

/// Time within which a mesh must be ready.
const READY_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Clock ticks of `/proc` in a second on Linux.
const TICKS_PER_SEC: f64 = 100.0;

/// Starts a mesh and waits until it serves.
pub(crate) async fn start(
    deployment: deployment::Deployment,
    tune: mesh::UpstreamTuning,
) -> Result<mesh::Mesh, String> {
    let mesh = mesh::Mesh::start(deployment, tune).await.map_err(|error| error.to_string())?;
    mesh.ready(READY_LIMIT).await.map_err(|error| error.to_string())?;
    Ok(mesh)
}

/// Sends load and waits for its report.
pub(crate) async fn load(
    mesh: &mesh::Mesh,
    settings: caller::LoadSettings,
) -> Result<caller::LoadReport, String> {
    let cancel = CancellationToken::new();
    let report = caller::run(&mesh.standins, settings, &cancel).await;
    report.ok_or_else(|| "no caller could be started".to_owned())
}

/// Sends load in the background.
pub(crate) fn background_load(
    mesh: &mesh::Mesh,
    settings: caller::LoadSettings,
) -> smol::Task<Option<caller::LoadReport>> {
    let host = mesh.standins.clone();
    smol::spawn(async move { caller::run(&host, settings, &CancellationToken::new()).await })
}

/// CPU time of the threads that run nodes; stand-ins and callers run on threads of their own.
pub(crate) fn node_cpu() -> time::Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return time::Duration::ZERO };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|stat| thread_ticks(&stat)).sum();
    time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_SEC)
}

fn thread_ticks(stat: &str) -> Option<u64> {
    let (head, fields) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with("smol") && !name.starts_with("async-io") {
        return None;
    }
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
