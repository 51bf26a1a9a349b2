//! Errors of commands and their exit codes.

use std::io::Write;
use std::net;

use cornelridge_model::class;
use cornelridge_model::report;
use cornelridge_platform::config_item;
use thiserror::Error;

use crate::command;
use crate::table;

/// Reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandFailure {
    #[error("{problem}\n{remedy}\nRun cornelctl --help for usage.")]
    Usage { problem: String, remedy: String },
    #[error("the class is not valid: {0}")]
    Class(#[from] class::ClassError),
    #[error(
        "no connection to {address} ({problem})\nCheck that the node runs and that --address is \
         its operator address."
    )]
    Connect { address: net::SocketAddr, problem: String },
    #[error("the request to {address} failed ({problem})\nRepeat the command.")]
    ReadFailed { address: net::SocketAddr, problem: String },
    #[error(
        "the request to {address} was sent, but no answer came ({problem})\nRead the current \
         state, and repeat the command only if the change isn't in force."
    )]
    ResponseLost { address: net::SocketAddr, problem: String },
    #[error(
        "{address} sent an answer that can't be read ({problem})\nUse the same version of cornelctl and the node."
    )]
    InvalidResponse { address: net::SocketAddr, problem: String },
    #[error(
        "no configuration to compare with from the store at {address}: {error}\nCheck --store and \
         --against, or compare with a file."
    )]
    ConfigInForce { address: net::SocketAddr, error: config_item::ReadError },
    #[error("{}", table::error(_0))]
    Refused(Box<report::ErrorReport>),
}

impl CommandFailure {
    pub(crate) fn usage(problem: impl Into<String>, remedy: impl Into<String>) -> CommandFailure {
        CommandFailure::Usage { problem: problem.into(), remedy: remedy.into() }
    }

    /// Writes the failure to `err` and returns the exit code.
    pub(crate) fn report(&self, output: command::OutputFormat, err: &mut dyn Write) -> u8 {
        let text = match (self, output) {
            (CommandFailure::Refused(report), command::OutputFormat::Json) => table::json(report),
            _ => format!("cornelctl: {self}\n"),
        };
        // If stderr is closed, the exit code still reports the failure.
        let _ = err.write_all(text.as_bytes());
        self.exit_code()
    }

    fn exit_code(&self) -> u8 {
        match self {
            CommandFailure::Usage { .. } | CommandFailure::Class(_) => crate::EXIT_USAGE,
            CommandFailure::ResponseLost { .. } => crate::EXIT_UNKNOWN,
            CommandFailure::ConfigInForce {
                error: config_item::ReadError::OtherVersion { .. },
                ..
            } => crate::EXIT_CONFLICT,
            CommandFailure::Refused(report) if report.error == "revision-conflict" => {
                crate::EXIT_CONFLICT
            }
            CommandFailure::Refused(report) if report.error == "outcome-unknown" => {
                crate::EXIT_UNKNOWN
            }
            _ => crate::EXIT_FAILURE,
        }
    }
}
