//! What the system knows about the execution of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream executed a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// No byte reached an upstream, or the upstream refused the request before executing it.
    #[display("not-run")]
    NotRun,
    /// An upstream executed the request and responded.
    #[display("run")]
    Run,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}

impl RequestOutcome {
    /// Returns whether a retry can't execute the request a second time.
    pub fn is_safe_to_retry(self) -> bool {
        self == RequestOutcome::NotRun
    }
}
