//! Interface to a key-value service with revisions, transactions, watches and leases.

use std::pin::Pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;

/// Future of a store call.
pub type ItemFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, ItemError>> + Send + 'a>>;

/// Identifies a lease; 0 means no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseNumber(pub u64);

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// Key of the item.
    pub key: Arc<str>,
    /// Value of the item.
    pub value: Bytes,
    /// Revision of the last change of the item.
    pub revision: u64,
    /// Lease with whose end the item is removed.
    pub lease: LeaseNumber,
}

/// Items whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemList {
    /// The items, sorted by key.
    pub items: Vec<StoredItem>,
    /// Revision of the store before the first item was read; later changes may be included.
    pub revision: u64,
}

/// A change of an item under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEvent {
    /// The item was written.
    Written(StoredItem),
    /// The item was removed.
    Removed {
        /// Key of the item.
        key: Arc<str>,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Changes of the items under a watched prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemEvents {
    /// The changes in order; empty if the wait ended without a change.
    pub events: Vec<ItemEvent>,
    /// Revision after which to continue the watch.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWrite {
    /// Key of the item.
    pub key: Arc<str>,
    /// New value of the item.
    pub value: Bytes,
    /// Lease with whose end the item is removed; 0 for an item without a lease.
    pub lease: LeaseNumber,
}

/// Changes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemTransaction {
    /// Conditions: the revision that each item must have; 0 for an item that must not exist.
    pub expected: Vec<(Arc<str>, u64)>,
    /// Items to write.
    pub writes: Vec<ItemWrite>,
    /// Items to remove.
    pub removals: Vec<Arc<str>>,
}

/// Result of a transaction to which the store responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The changes were applied at this revision.
    Committed(u64),
    /// A condition didn't hold; contains those items of the conditions that exist, as they are now.
    Conflict(Vec<StoredItem>),
}

/// Reason why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ItemError {
    /// Nothing was sent, or the store refused the call; the call had no effect.
    #[error("the store call had no effect ({reason}): it is retried after a delay")]
    NotApplied {
        /// Why the call failed.
        reason: String,
    },
    /// No response arrived; the call may have been executed, or may be executed later.
    #[error(
        "the response of the store was lost ({reason}): the state is read before the next attempt"
    )]
    ResponseLost {
        /// Why the call failed.
        reason: String,
    },
    /// The store no longer keeps the changes after the given revision.
    #[error("the store no longer keeps the requested revision: the prefix is read again")]
    Compacted,
    /// The response is longer than any that the store should send.
    #[error("the response of the store exceeds {limit} bytes: check its limit for values")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The lease has ended.
    #[error("the lease has ended: a new one is opened")]
    LeaseEnded,
    /// A value can't be serialised, or a response can't be parsed.
    #[error("a value or response is malformed ({reason}): check the version of the store")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// Serialises the value of an item as JSON.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, ItemError> {
    let malformed = |error: serde_json::Error| ItemError::Malformed { reason: error.to_string() };
    serde_json::to_vec(value).map(Bytes::from).map_err(malformed)
}

/// Key-value service with revisions, transactions, watches and leases.
///
/// A store that is restored from an older copy of its items begins a new era. Revisions of a later
/// era are higher than all earlier ones, and conditions on revisions of other eras never hold.
pub trait ItemStore: Send + Sync {
    /// Returns the latest era that the store has named, or `None` if it names none.
    fn era(&self) -> Option<u64> {
        None
    }

    /// Applies a transaction as `commit` does, but only in `era`, in which it was decided.
    fn commit_in<'a>(
        &'a self,
        _era: u64,
        transaction: &'a ItemTransaction,
    ) -> ItemFuture<'a, CommitOutcome> {
        self.commit(transaction)
    }

    /// Reads the items whose keys start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> ItemFuture<'a, ItemList>;

    /// Waits for changes after `revision`, for at most `wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: time::Duration,
    ) -> ItemFuture<'a, ItemEvents>;

    /// Applies all changes of a transaction or none.
    fn commit<'a>(&'a self, transaction: &'a ItemTransaction) -> ItemFuture<'a, CommitOutcome>;

    /// Opens a lease that ends `ttl` after the arrival of the call, unless the lease is renewed.
    fn open_lease(&self, ttl: time::Duration) -> ItemFuture<'_, LeaseNumber>;

    /// Renews a lease for its ttl, counted from the arrival of the call.
    fn renew_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()>;

    /// Ends a lease and removes its items.
    fn end_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()>;
}
