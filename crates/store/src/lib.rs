//! Client of the platform's key-value service.
//!
//! [`api::ConfigStore`] is the interface to the store; [`client::StoreClient`] implements it over
//! HTTP/1.1. [`items::ItemStore`] is the interface to a store with transactions.
//!
//! ```
//! use cornelridge_store::{api, client};
//! use cornelridge_store::api::ConfigStore;
//!
//! let settings = client::StoreSettings::new("127.0.0.1:1".parse()?);
//! let store = client::StoreClient::new(settings);
//! let result = futures_lite::future::block_on(store.get("classes"));
//! assert!(matches!(result, Err(api::StoreError::Unreachable { .. })));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

pub mod api;
pub mod client;
pub mod items;

mod parse;
pub mod pool;
