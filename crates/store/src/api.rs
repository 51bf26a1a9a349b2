//! What the process needs of a key-value service.

use std::pin::Pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most bytes in a value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Most bytes in a key or in the name of a lease holder.
pub const MAX_KEY_BYTES: usize = 256;

/// A call in progress.
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

/// One key of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: Arc<str>,
    /// Version of its value.
    pub revision: StoreRevision,
}

/// End of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key has this newer value.
    Changed(StoreValue),
    /// The time is up without a change.
    Unchanged,
}

/// Answer to an attempt to take or renew a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The caller holds the lease for the requested time, counted from before the call was made.
    Held,
    /// Another holder has it.
    HeldByOther {
        /// Name of the holder.
        holder: Arc<str>,
        /// Time left to that holder.
        remaining: time::Duration,
    },
}

/// Key-value service with compare-and-swap, watches and leases.
pub trait ConfigStore: Send + Sync {
    /// Reads a value; `None` if the key doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoreValue>>;

    /// Writes a value if the key still has the version `expected`; 0 creates the key.
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

    /// Takes or renews a lease. Count its time from before this call.
    fn acquire_lease<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        ttl: time::Duration,
    ) -> StoreFuture<'a, LeaseOutcome>;

    /// Gives a lease back; no error if the holder doesn't have it any more.
    fn release_lease<'a>(&'a self, key: &'a str, holder: &'a str) -> StoreFuture<'a, ()>;
}

/// A call that failed; `may_have_taken_effect` tells whether it can have changed the store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was sent.
    #[error("store is not reachable ({reason}): check its address; the call had no effect")]
    Unreachable {
        /// Why nothing was sent.
        reason: String,
    },
    /// The request was sent, but no whole answer came.
    #[error("answer of the store was lost ({reason}): read the value back before writing again")]
    ResponseLost {
        /// Why there is no answer.
        reason: String,
    },
    /// The key has another version than the expected one.
    #[error("key {key} has been changed by another writer: read it and apply the change again")]
    Conflict {
        /// The key.
        key: Arc<str>,
    },
    /// A value is longer than the store takes.
    #[error("value of key {key} exceeds 1000000 bytes: shorten it")]
    TooLong {
        /// The key.
        key: Arc<str>,
    },
    /// A key or holder has characters that a path can't carry.
    #[error(
        "name {name:?} is not valid: use 1 to 256 letters, digits and any of '/', '-', '_', '.'"
    )]
    Name {
        /// The name as given.
        name: Arc<str>,
    },
    /// The answer doesn't follow the interface.
    #[error("answer of the store is malformed ({reason}): check that the address is the store's")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The store refused the call.
    #[error("store refused the call with status {status}: try again later")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}

impl StoreError {
    /// Whether the call can have changed the store.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            StoreError::ResponseLost { .. } | StoreError::Malformed { .. } => true,
            // A server can fail after it has stored the value.
            StoreError::Refused { status } => *status >= 500,
            StoreError::Unreachable { .. }
            | StoreError::Conflict { .. }
            | StoreError::TooLong { .. }
            | StoreError::Name { .. } => false,
        }
    }
}
