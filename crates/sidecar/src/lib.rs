//! The node beside one worker: a sidecar that serves the callers on its host and through which all
//! requests to its worker pass. Routes, other nodes and the owners of keys are read from a store.
//!
//! [`node::SidecarNode::start`] starts two paths: requests pass through `ingress`, `forward`,
//! `peers` and `dispatch`; control passes through `follow`, `session`, `reports`, `grant_calls` and
//! `planning`.
//!
//! ```
//! use cornelridge_sidecar::clock;
//!
//! let before = clock::now();
//! assert!(clock::now() >= before);
//! ```

pub mod adapter;
pub mod clock;
pub mod failure;
pub mod feed;
pub mod node;
pub mod request;
pub mod response;
pub mod settings;

mod backoff;
mod bounded;
mod connections;
mod dispatch;
mod follow;
mod forward;
mod grant_calls;
mod health;
mod http_server;
mod in_flight;
mod ingress;
mod lapse_watch;
mod link_watch;
mod loads;
mod memory;
mod meter;
mod metered;
mod pacing;
mod peers;
mod planning;
mod reports;
mod segments;
mod send_state;
mod session;
mod shutdown;
mod suspects;
mod usage_watch;
mod view;
mod worker;
