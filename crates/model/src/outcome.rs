//! What the system knows about the execution of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream executed a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// No byte reached an upstream, or the upstream refused at its gate.
    #[display("not-run")]
    NotRun,
    /// An upstream executed the request and answered.
    #[display("run")]
    Run,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}

impl RequestOutcome {
    /// Whether sending the request again can not execute it a second time.
    pub fn is_safe_to_retry(self) -> bool {
        self == RequestOutcome::NotRun
    }
}
