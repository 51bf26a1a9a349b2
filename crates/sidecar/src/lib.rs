//! The node beside one worker: it serves the callers of its machine and is the only way to its
//! worker. Routes, other nodes and the owners of keys are found in a store.
//!
//! The two paths from [`node::SidecarNode::start`]: requests pass `ingress`, `forward`, `peers` and
//! `dispatch`; control passes `follow`, `session`, `reports` and `planning`.
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

mod bounded;
mod connections;
mod dispatch;
mod follow;
mod forward;
mod http_server;
mod in_flight;
mod ingress;
mod link_watch;
mod loads;
mod meter;
mod peers;
mod planning;
mod reports;
mod sending;
mod session;
mod shutdown;
mod suspects;
mod view;
mod worker;
