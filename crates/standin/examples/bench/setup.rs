//! Starts meshes and loads for the scenarios.

use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use tokio_util::sync::CancellationToken;

/// Time within which a mesh must be ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Starts a mesh and waits until it is ready.
pub(crate) async fn start(
    deployment: deployment::Deployment,
    tune: mesh::UpstreamTuning,
) -> Result<mesh::Mesh, String> {
    let mesh = mesh::Mesh::start(deployment, tune).await.map_err(|error| error.to_string())?;
    mesh.wait_until_ready(READY_TIMEOUT).await.map_err(|error| error.to_string())?;
    Ok(mesh)
}

/// Sends load in the background.
pub(crate) fn background_load(
    mesh: &mesh::Mesh,
    settings: caller::LoadSettings,
) -> smol::Task<Option<caller::LoadReport>> {
    let host = mesh.standins.clone();
    smol::spawn(async move { caller::run(&host, settings, &CancellationToken::new()).await })
}
