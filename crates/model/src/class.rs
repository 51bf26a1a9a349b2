//! Classes of requests and the targets that operators set for them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ident;
use crate::time;

/// Maximum length of a class name, in bytes.
pub const MAX_CLASS_NAME_BYTES: usize = 64;
/// Maximum number of classes in a configuration.
pub const MAX_CLASSES: usize = 256;
/// Maximum deadline of a class, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum retention time of at-most-once records, in seconds.
pub const MAX_RECORD_WINDOW_S: u64 = 86_400;

/// How the requests of a class are routed to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyDivision {
    /// Each key has one owner; requests must have a key.
    ByKey,
    /// Any worker of the class may serve a request.
    AnyWorker,
}

/// What the planner gives priority to when it moves slices of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancePreference {
    /// Moves keys only when the imbalance is large, because each move costs a cold start.
    FewestMoves,
    /// Spreads load early, because idle time costs most.
    #[default]
    LeastDowntime,
}

/// Configuration of a class of requests, with its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Name of the class; the first path segment of a request.
    pub name: Arc<str>,
    /// How requests are routed to a worker.
    pub division: KeyDivision,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Latency that `target_percentile` percent of the responses must meet, in milliseconds.
    pub target_ms: u64,
    /// Percentile to which `target_ms` applies, for example 99.
    #[serde(default = "default_percentile")]
    pub target_percentile: f64,
    /// Time after which a request without its own deadline ends, in milliseconds.
    pub deadline_ms: u64,
    /// Rank of the class under overload: the highest rank yields first.
    pub yield_rank: u8,
    /// Whether responses are large downloads that occupy a slot for a long time.
    #[serde(default)]
    pub bulk: bool,
    /// How long at-most-once records are kept, in seconds.
    #[serde(default = "default_record_window")]
    pub record_window_s: u64,
    /// What the planner gives priority to.
    #[serde(default)]
    pub prefer: BalancePreference,
}

fn default_percentile() -> f64 {
    99.0
}

fn default_record_window() -> u64 {
    600
}

impl ClassConfig {
    /// Returns the latency target.
    pub fn target(&self) -> time::Duration {
        time::Duration::from_millis(self.target_ms)
    }

    /// Returns the default deadline, as a time from the start of a request.
    pub fn deadline(&self) -> time::Duration {
        time::Duration::from_millis(self.deadline_ms)
    }

    /// Returns how long at-most-once records are kept.
    pub fn record_window(&self) -> time::Duration {
        time::Duration::from_secs(self.record_window_s)
    }

    /// Returns whether requests of this class go to the owner of a slice.
    pub fn is_sliced(&self) -> bool {
        self.division == KeyDivision::ByKey || !self.idempotent
    }

    /// Checks the name and the ranges of the values.
    pub fn validate(&self) -> Result<(), ClassError> {
        let name = || Arc::clone(&self.name);
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if self.name.is_empty()
            || self.name.len() > MAX_CLASS_NAME_BYTES
            || !self.name.chars().all(is_name_char)
        {
            return Err(ClassError::Name { name: name() });
        }
        if self.deadline_ms == 0 || self.deadline_ms > MAX_DEADLINE_MS {
            return Err(ClassError::Deadline { name: name(), deadline_ms: self.deadline_ms });
        }
        if self.target_ms == 0 || self.target_ms > self.deadline_ms {
            return Err(ClassError::Target { name: name(), target_ms: self.target_ms });
        }
        if !(self.target_percentile >= 1.0 && self.target_percentile < 100.0) {
            let percentile = self.target_percentile;
            return Err(ClassError::Percentile { name: name(), percentile });
        }
        if self.record_window_s == 0 || self.record_window_s > MAX_RECORD_WINDOW_S {
            let window_s = self.record_window_s;
            return Err(ClassError::RecordWindow { name: name(), window_s });
        }
        Ok(())
    }
}

/// Configuration of all classes, as last accepted from an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDocument {
    /// Version of the configuration; each accepted change increases it.
    pub revision: ident::RevisionNumber,
    /// Random number of the change that wrote this version.
    pub change_id: u64,
    /// The classes, sorted by name.
    pub classes: Vec<ClassConfig>,
}

impl ClassDocument {
    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassConfig> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    /// Checks every class, and that the classes are sorted by name without duplicates.
    pub fn validate(&self) -> Result<(), ClassError> {
        if self.classes.len() > MAX_CLASSES {
            return Err(ClassError::TooMany { count: self.classes.len() });
        }
        self.classes.iter().try_for_each(ClassConfig::validate)?;
        match self.classes.windows(2).find(|pair| pair[0].name >= pair[1].name) {
            Some(pair) => Err(ClassError::Order { name: Arc::clone(&pair[1].name) }),
            None => Ok(()),
        }
    }
}

/// Reason why a class configuration is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ClassError {
    /// The name is empty, too long, or has characters that aren't allowed.
    #[error("class name {name:?} is not valid: use 1 to 64 lower-case letters, digits and hyphens")]
    Name {
        /// The rejected name.
        name: Arc<str>,
    },
    /// The deadline is zero or too long.
    #[error("class {name}: deadline_ms {deadline_ms} is out of range: use 1 to 3600000")]
    Deadline {
        /// The class.
        name: Arc<str>,
        /// The rejected value.
        deadline_ms: u64,
    },
    /// The target is zero or longer than the deadline.
    #[error(
        "class {name}: target_ms {target_ms} is out of range: use 1 to the class's deadline_ms"
    )]
    Target {
        /// The class.
        name: Arc<str>,
        /// The rejected value.
        target_ms: u64,
    },
    /// The percentile is out of range.
    #[error("class {name}: target_percentile {percentile} is out of range: use 1 to below 100")]
    Percentile {
        /// The class.
        name: Arc<str>,
        /// The rejected value.
        percentile: f64,
    },
    /// The retention time of records is zero or too long.
    #[error("class {name}: record_window_s {window_s} is out of range: use 1 to 86400")]
    RecordWindow {
        /// The class.
        name: Arc<str>,
        /// The rejected value.
        window_s: u64,
    },
    /// There are too many classes.
    #[error("{count} classes are more than 256: delete classes that are no longer used")]
    TooMany {
        /// Number of classes.
        count: usize,
    },
    /// The classes aren't sorted, or a name appears twice.
    #[error("class {name} stands twice or out of order: list each class once, sorted by name")]
    Order {
        /// The second of the two classes.
        name: Arc<str>,
    },
}
