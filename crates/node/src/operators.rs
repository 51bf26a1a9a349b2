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

/// A boxed future of an operation.
pub type AdminFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What the endpoint asks of its node.
pub trait NodeAdmin: Send + Sync {
    /// What the node knows about itself and its peers.
    fn status(&self) -> report::StatusReport;

    /// The whole state of the node, without secrets.
    fn dump(&self) -> serde_json::Value;

    /// Whether the node's tasks make progress.
    fn is_live(&self) -> bool;

    /// Whether the node takes requests from callers.
    fn readiness(&self) -> Result<(), NotReady>;

    /// The class configuration in force on this node.
    fn classes(&self) -> class::ClassDocument;

    /// Writes a change to the store; returns the revision that holds it.
    fn change_class(
        &self,
        change: ClassChange,
    ) -> AdminFuture<'_, Result<ident::RevisionNumber, ChangeError>>;

    /// Begins to leave: stops new work and returns what is left to do.
    fn drain(&self) -> AdminFuture<'_, report::DrainReport>;

    /// Who serves a key; the class exists and its requests go to owners.
    fn owner(&self, class: &str, key: &[u8]) -> Result<report::OwnerReport, NotReady>;

    /// Declares the leases of a node expired; `confirmed` states that its process no longer runs.
    fn retire(
        &self,
        node: &str,
        confirmed: bool,
    ) -> AdminFuture<'_, Result<report::RetireReport, RetireError>>;
}

/// A change of one class, made for the revision that its author has read.
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
    /// Revision that the author has read.
    pub fn expected(&self) -> ident::RevisionNumber {
        match self {
            ClassChange::Put { expected, .. } | ClassChange::Delete { expected, .. } => *expected,
        }
    }

    /// Name of the class.
    pub fn name(&self) -> &Arc<str> {
        match self {
            ClassChange::Put { class, .. } => &class.name,
            ClassChange::Delete { name, .. } => name,
        }
    }
}

/// Why a node can't serve yet, or no longer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}: {remedy}")]
pub struct NotReady {
    /// What is missing.
    pub reason: String,
    /// What to do.
    pub remedy: String,
}

/// Why a node wasn't retired.
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
    /// The store didn't take the change.
    #[error("the store did not take the change: {reason}")]
    StoreUnavailable {
        /// What failed.
        reason: String,
    },
    /// The store didn't answer; the change may be in force.
    #[error("it is not known whether the store took the change: {reason}")]
    OutcomeUnknown {
        /// What failed.
        reason: String,
    },
}
