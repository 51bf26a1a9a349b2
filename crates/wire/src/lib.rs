//! Messages and QUIC transport between nodes.
//!
//! A [`transport::NodeEndpoint`] sends lossy datagrams and opens one bidirectional stream per
//! request. Both sides present a certificate; a peer without a valid one is refused.
//!
//! ```
//! use cornelridge_wire::{generated, identity, transport};
//! use futures_lite::future::block_on;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let authority = identity::TrialAuthority::new()?;
//! let listen = "127.0.0.1:0".parse()?;
//! let settings = |name| -> Result<_, identity::IdentityError> {
//!     Ok(transport::EndpointSettings::new(listen, authority.issue(name)?))
//! };
//! let ingress = transport::NodeEndpoint::bind(settings("ingress")?)?;
//! let egress = transport::NodeEndpoint::bind(settings("egress")?)?;
//! let head = generated::StreamHead::default();
//! let opened = block_on(ingress.open_stream(egress.local_address(), &head));
//! assert!(opened.is_ok());
//! # Ok(())
//! # }
//! ```

pub mod close_watch;
pub mod codec;
pub mod document;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod generated;
pub mod headers;
pub mod identity;
pub mod suspects;
pub mod transport;

mod connection;
mod peers;
mod socket;
mod stream;
mod verifier;
mod watchdog;
