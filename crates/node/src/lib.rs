//! Node process: router and admission queue beside one upstream.
//!
//! A node accepts callers' requests, forwards each one to the node that may serve it, and is the
//! only access to the upstream on its own host.
//!
//! ```
//! use cornelridge::settings;
//!
//! let flags = ["--help"].map(std::ffi::OsString::from);
//! let outcome = settings::NodeSettings::load(flags, []);
//! assert!(matches!(outcome, Ok(settings::SettingsOutcome::Print(_))));
//! ```

mod admin;
mod admission;
mod announce;
mod body;
mod clock;
mod configuration;
mod context;
mod deadline;
mod dispatch;
mod documents;
mod drain;
mod dump;
mod egress;
mod execution;
mod executor;
mod failure;
mod forward;
mod headers;
mod ingress;
mod loads;
pub mod log_queue;
pub mod logs;
mod membership;
mod meter;
pub mod metering;
pub mod node;
pub mod operators;
mod peers;
mod planning;
mod policies;
mod replication;
mod report;
mod request;
mod sampling;
mod serving;
pub mod settings;
mod ticket;
mod upstream;
mod workers;
