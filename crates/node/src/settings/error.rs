//! Errors in the settings.

use std::fmt;

use thiserror::Error;

use crate::settings;

/// All errors in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} problem(s) with the settings:", self.0.len())?;
        self.0.iter().try_for_each(|error| writeln!(formatter, "  {error}"))?;
        write!(formatter, "Run cornelridge --help for all settings.")
    }
}

/// One error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A required setting isn't set.
    #[error("--{flag} is missing: set --{flag} {value} or {}, {help}", variable_of(flag))]
    Missing {
        /// Flag of the setting.
        flag: &'static str,
        /// Placeholder for the value.
        value: &'static str,
        /// What the setting does.
        help: &'static str,
    },
    /// A value is invalid.
    #[error("--{flag} ({}) has the value {value:?}: {remedy}", variable_of(flag))]
    Invalid {
        /// Flag of the setting.
        flag: &'static str,
        /// The value as given.
        value: String,
        /// What the operator can do.
        remedy: String,
    },
    /// The last flag has no value.
    #[error("--{flag} has no value: put one after the flag")]
    MissingValue {
        /// The flag.
        flag: &'static str,
    },
    /// A flag is given more than once.
    #[error("--{flag} is given more than once: keep one")]
    RepeatedFlag {
        /// The flag.
        flag: &'static str,
    },
    /// A flag is unknown; its value isn't shown, because it could be a secret.
    #[error("{name} is not a flag: remove it or correct its name")]
    UnknownFlag {
        /// The flag as given.
        name: String,
    },
    /// A variable with the prefix is unknown; its value isn't shown.
    #[error("{name} is not a setting: unset it or correct its name")]
    UnknownVariable {
        /// The variable.
        name: String,
    },
    /// An argument isn't a flag; it isn't shown, because it could be a secret.
    #[error("an argument is not a flag: put a flag before each value")]
    UnexpectedArgument,
}

fn variable_of(flag: &str) -> String {
    settings::VARIABLE_PREFIX.to_owned() + &flag.replace('-', "_").to_uppercase()
}
