//! What the process needs of a key-value service with revisions, transactions, watches and leases.

use std::pin::Pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;

/// A call in progress.
pub type ItemFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, ItemError>> + Send + 'a>>;

/// Identifies a lease; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseNumber(pub u64);

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// Its key.
    pub key: Arc<str>,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Lease with which it ends.
    pub lease: LeaseNumber,
}

/// Items of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemList {
    /// The items by key.
    pub items: Vec<StoredItem>,
    /// Revision of the store before the first item was read; later changes may be included.
    pub revision: u64,
}

/// One change of a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEvent {
    /// The item was written.
    Written(StoredItem),
    /// The item was removed.
    Removed {
        /// Its key.
        key: Arc<str>,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Changes of a watched prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemEvents {
    /// The changes in order; empty if the time was up.
    pub events: Vec<ItemEvent>,
    /// Revision after which to go on.
    pub revision: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWrite {
    /// Key of the item.
    pub key: Arc<str>,
    /// Its new value.
    pub value: Bytes,
    /// Lease with which it ends; none if it stays.
    pub lease: LeaseNumber,
}

/// Changes that are made together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemTransaction {
    /// Revisions that items must have; 0 for an item that must not exist.
    pub expected: Vec<(Arc<str>, u64)>,
    /// Items to write.
    pub writes: Vec<ItemWrite>,
    /// Items to remove.
    pub removals: Vec<Arc<str>>,
}

/// End of a transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was made at this revision.
    Committed(u64),
    /// A condition didn't hold; the items of the conditions that exist, as they are now.
    Conflict(Vec<StoredItem>),
}

/// A call that gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ItemError {
    /// Nothing was sent, or the store refused the call; nothing was done.
    #[error("the store did nothing ({reason}): it is called again after a pause")]
    NotApplied {
        /// What happened.
        reason: String,
    },
    /// The answer is missing; the call may have been executed, or may be executed later.
    #[error("the answer of the store was lost ({reason}): the state is read before the next try")]
    ResponseLost {
        /// What happened.
        reason: String,
    },
    /// The changes after the given revision aren't kept any more.
    #[error("the store has dropped the history that was asked for: the prefix is read again")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended: a new one is opened")]
    LeaseEnded,
    /// A value can't be written, or an answer can't be read.
    #[error("a value or answer is not valid ({reason}): check the version of the store")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// The value of an item.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, ItemError> {
    let malformed = |error: serde_json::Error| ItemError::Malformed { reason: error.to_string() };
    serde_json::to_vec(value).map(Bytes::from).map_err(malformed)
}

/// Key-value service with revisions, transactions, watches and leases.
pub trait ItemStore: Send + Sync {
    /// Reads the items whose keys begin with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> ItemFuture<'a, ItemList>;

    /// Waits up to `wait` for changes after `revision`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: time::Duration,
    ) -> ItemFuture<'a, ItemEvents>;

    /// Makes all changes of a transaction or none.
    fn commit<'a>(&'a self, transaction: &'a ItemTransaction) -> ItemFuture<'a, CommitOutcome>;

    /// Opens a lease that ends `ttl` after the call arrived unless it is renewed.
    fn open_lease(&self, ttl: time::Duration) -> ItemFuture<'_, LeaseNumber>;

    /// Renews a lease for its term, counted from the arrival of the call.
    fn renew_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()>;

    /// Ends a lease and removes its items.
    fn end_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()>;
}
