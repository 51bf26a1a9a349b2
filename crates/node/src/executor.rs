//! The executor of a process; tasks end with the cancellation token that they are given.

use std::sync::Arc;

use futures_lite::FutureExt;
use smol::Executor;
use tokio_util::sync::CancellationToken;

/// Spawns tasks that stop when the node stops; cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeExecutor {
    inner: Arc<Executor<'static>>,
    stop: CancellationToken,
}

impl NodeExecutor {
    /// Tasks run on `inner` until `stop` is cancelled.
    pub fn new(inner: Arc<Executor<'static>>, stop: CancellationToken) -> NodeExecutor {
        NodeExecutor { inner, stop }
    }

    /// The executor itself, for libraries that spawn by themselves.
    pub fn inner(&self) -> &Arc<Executor<'static>> {
        &self.inner
    }

    /// The token that ends all tasks.
    pub fn stop(&self) -> &CancellationToken {
        &self.stop
    }

    /// Runs a task in the background until it ends or the node stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.inner.spawn(task.or(async move { stop.cancelled().await })).detach();
    }
}
