//! Stand-in store, upstreams, callers and deployments for demo, bench and tests.
//!
//! This crate is not part of a release. Servers bind loopback addresses and stop when dropped.
//!
//! ```
//! use cornelridge_standin::{host, store};
//!
//! let server = store::StoreServer::start(&host::StandinHost::thread()?)?;
//! assert!(server.address().ip().is_loopback());
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod balance_model;
pub mod caller;
pub mod deployment;
pub mod host;
pub mod load_model;
pub mod mesh;
pub mod payload;
pub mod soak;
pub mod store;
pub mod upstream;
