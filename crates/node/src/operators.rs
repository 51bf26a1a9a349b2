//! HTTP endpoint for operators: status, classes, drain, metrics.
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use cornelridge::operators;
//! use cornelridge::settings;
//! use tokio_util::sync::CancellationToken;
//!
//! async fn run(admin: Arc<dyn operators::NodeAdmin>) -> std::io::Result<()> {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:7071").await?;
//!     let token = settings::OperatorToken::new("an-operator-token").expect("valid token");
//!     let endpoint = operators::OperatorEndpoint::new("n1", token, admin);
//!     endpoint.serve(listener, CancellationToken::new()).await;
//!     Ok(())
//! }
//! ```

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::report;
use thiserror::Error;

pub use change::{ChangeError, ClassHistory, apply_change};
pub use server::OperatorEndpoint;

mod answer;
mod change;
mod route;
mod server;

/// Boxed future of an operation on the node.
pub type AdminFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Operations that the operators' endpoint performs on its node.
pub trait NodeAdmin: Send + Sync {
    /// Returns what the node knows about itself and its peers.
    fn status(&self) -> report::StatusReport;

    /// Returns the whole state of the node, without secrets.
    fn dump(&self) -> serde_json::Value;

    /// Returns whether the node's tasks make progress.
    fn is_live(&self) -> bool;

    /// Checks whether the node accepts requests from callers.
    fn readiness(&self) -> Result<(), NotReady>;

    /// Returns the class configuration in force on this node.
    fn classes(&self) -> class::ClassDocument;

    /// Writes a change to the store; returns the revision that holds it.
    fn change_class(
        &self,
        change: ClassChange,
    ) -> AdminFuture<'_, Result<ident::RevisionNumber, ChangeError>>;

    /// Starts to drain the node and returns the slices and requests that remain.
    fn drain(&self) -> AdminFuture<'_, report::DrainReport>;

    /// Returns the owner of a key. The class must exist and its requests must go to owners.
    fn owner(&self, class: &str, key: &[u8]) -> Result<report::OwnerReport, NotReady>;

    /// Declares the leases of a node expired; `confirmed` states that its process no longer runs.
    fn retire(
        &self,
        node: &str,
        confirmed: bool,
    ) -> AdminFuture<'_, Result<report::RetireReport, RetireError>>;
}

/// Change of one class, based on the revision that its author has read.
#[derive(Clone, Debug, PartialEq)]
pub enum ClassChange {
    /// Adds the class or replaces it.
    Put {
        /// The class.
        class: class::ClassConfig,
        /// Revision that the author has read.
        expected: ident::RevisionNumber,
    },
    /// Deletes a class.
    Delete {
        /// Name of the class.
        name: Arc<str>,
        /// Revision that the author has read.
        expected: ident::RevisionNumber,
    },
}

impl ClassChange {
    /// Returns the revision that the author has read.
    pub fn expected(&self) -> ident::RevisionNumber {
        match self {
            ClassChange::Put { expected, .. } | ClassChange::Delete { expected, .. } => *expected,
        }
    }

    /// Returns the name of the class.
    pub fn name(&self) -> &Arc<str> {
        match self {
            ClassChange::Put { class, .. } => &class.name,
            ClassChange::Delete { name, .. } => name,
        }
    }
}

/// Reason why a node isn't ready to serve callers.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}: {remedy}")]
pub struct NotReady {
    /// Missing condition.
    pub reason: String,
    /// What the operator can do.
    pub remedy: String,
}

/// Reason why a node wasn't retired.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RetireError {
    /// The assignment has no such node.
    #[error("node {node} is not in the assignment of this region")]
    UnknownNode {
        /// Name as given.
        node: Arc<str>,
    },
    /// The node answers probes.
    #[error("node {node} answers probes, so its process runs")]
    StillAlive {
        /// Name of the node.
        node: Arc<str>,
    },
    /// The operator hasn't confirmed that the process no longer runs.
    #[error("node {node} was not confirmed dead")]
    NotConfirmed {
        /// Name of the node.
        node: Arc<str>,
    },
    /// The store didn't accept the change.
    #[error("the store did not take the change: {reason}")]
    StoreUnavailable {
        /// What failed.
        reason: String,
    },
    /// The store didn't respond, so the change may be in force.
    #[error("it is not known whether the store took the change: {reason}")]
    OutcomeUnknown {
        /// What failed.
        reason: String,
    },
}
