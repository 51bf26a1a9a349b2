//! Interface to a key-value service with compare-and-swap, watches and leases.

use std::pin::Pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum length of a key or of the name of a lease holder, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Future of a store call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Version of a value in the store; 0 means that the key doesn't exist.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct StoreRevision(pub u64);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreValue {
    /// Version of the value.
    pub revision: StoreRevision,
    /// The value.
    pub value: Bytes,
}

/// A key in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: Arc<str>,
    /// Version of its value.
    pub revision: StoreRevision,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key has this value, whose version differs from the one that the caller had seen.
    Changed(StoreValue),
    /// The wait ended without a change.
    Unchanged,
}

/// Result of an attempt to take or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The caller holds the lease for the requested time, counted from before the call was made.
    Held,
    /// Another holder has the lease.
    HeldByOther {
        /// Name of the holder.
        holder: Arc<str>,
        /// Time until the lease of that holder expires.
        remaining: time::Duration,
    },
}

/// Key-value service with compare-and-swap, watches and leases.
pub trait ConfigStore: Send + Sync {
    /// Reads a value; `None` if the key doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoreValue>>;

    /// Writes a value if the key still has the version `expected`, and returns the new version; 0
    /// creates the key.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
        value: Bytes,
    ) -> StoreFuture<'a, StoreRevision>;

    /// Waits until the version of the key differs from `seen`, for at most `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: StoreRevision,
        wait: time::Duration,
    ) -> StoreFuture<'a, WatchEvent>;

    /// Lists the keys that start with `prefix`, without values.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<StoreEntry>>;

    /// Takes or renews a lease for `ttl`, counted from before this call.
    fn acquire_lease<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        ttl: time::Duration,
    ) -> StoreFuture<'a, LeaseOutcome>;

    /// Releases a lease; succeeds if the holder no longer has the lease.
    fn release_lease<'a>(&'a self, key: &'a str, holder: &'a str) -> StoreFuture<'a, ()>;
}

/// Reason why a call failed; `may_have_taken_effect` returns whether the call can have changed the
/// store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was sent.
    #[error("store is not reachable ({reason}): check its address; the call had no effect")]
    Unreachable {
        /// Why nothing was sent.
        reason: String,
    },
    /// The request was sent, but no complete response arrived.
    #[error("answer of the store was lost ({reason}): read the value back before writing again")]
    ResponseLost {
        /// Why there is no response.
        reason: String,
    },
    /// The key has another version than the expected one.
    #[error("key {key} has been changed by another writer: read it and apply the change again")]
    Conflict {
        /// The key.
        key: Arc<str>,
    },
    /// The value is longer than the store accepts.
    #[error("value of key {key} exceeds 1000000 bytes: shorten it")]
    TooLong {
        /// The key.
        key: Arc<str>,
    },
    /// A key or holder is empty, too long, or has characters that need escaping in a path.
    #[error(
        "name {name:?} is not valid: use 1 to 256 letters, digits and any of '/', '-', '_', '.'"
    )]
    Name {
        /// The rejected name.
        name: Arc<str>,
    },
    /// The response doesn't follow the interface.
    #[error("answer of the store is malformed ({reason}): check that the address is the store's")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The response is longer than the client accepts.
    #[error("answer of the store exceeds {limit} bytes: ask for fewer items")]
    ResponseTooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The store refused the call.
    #[error("store refused the call with status {status}: try again later")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
}

impl StoreError {
    /// Returns whether the call can have changed the store.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            StoreError::ResponseLost { .. }
            | StoreError::Malformed { .. }
            | StoreError::ResponseTooLong { .. } => true,
            // A server can fail after it has stored the value.
            StoreError::Refused { status } => *status >= 500,
            StoreError::Unreachable { .. }
            | StoreError::Conflict { .. }
            | StoreError::TooLong { .. }
            | StoreError::Name { .. } => false,
        }
    }
}
