//! Background tasks of a node, which are dropped when the node stops.

use futures_lite::FutureExt;
use hyper::rt;
use tokio_util::sync::CancellationToken;

/// Spawns tasks on the global executor of `smol`, which has one thread unless `SMOL_THREADS` sets
/// another number. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct NodeExecutor {
    stop: CancellationToken,
}

impl NodeExecutor {
    /// Creates an executor whose tasks run until `stop` is cancelled.
    pub(crate) fn new(stop: CancellationToken) -> NodeExecutor {
        NodeExecutor { stop }
    }

    /// Returns the token that stops all tasks.
    pub(crate) fn stop(&self) -> &CancellationToken {
        &self.stop
    }

    /// Runs a task in the background until the task ends or the node stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        smol::spawn(task.or(async move { stop.cancelled().await })).detach();
    }
}

impl<F> rt::Executor<F> for NodeExecutor
where
    F: Future<Output = ()> + Send + 'static,
{
    fn execute(&self, task: F) {
        self.spawn(task);
    }
}
