//! A host's way to the store, which can be cut.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cornelridge_store::items::{
    CommitOutcome, ItemError, ItemEvents, ItemFuture, ItemList, ItemStore, ItemTransaction,
    LeaseNumber,
};
use futures_lite::future;

use super::store::MemoryStore;

/// Time after which a call over a cut way fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The store as one host reaches it.
#[derive(Debug)]
pub(crate) struct CutStore {
    store: Arc<MemoryStore>,
    is_cut: AtomicBool,
}

impl CutStore {
    pub(crate) fn new(store: &Arc<MemoryStore>) -> CutStore {
        CutStore { store: Arc::clone(store), is_cut: AtomicBool::new(false) }
    }

    /// Sets whether the way to the store is cut.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    /// Makes a call that fails if the way is cut before it ends.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, ItemError>>,
    ) -> Result<T, ItemError> {
        let cut = async {
            while !self.is_cut() {
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            smol::Timer::after(CALL_TIMEOUT).await;
            Err(ItemError::NotApplied { reason: "cut off".to_owned() })
        };
        match self.is_cut() {
            true => cut.await,
            false => future::or(call, cut).await,
        }
    }
}

impl ItemStore for CutStore {
    fn era(&self) -> Option<u64> {
        self.store.era()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> ItemFuture<'a, ItemList> {
        Box::pin(self.call(self.store.list(prefix)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> ItemFuture<'a, ItemEvents> {
        Box::pin(self.call(self.store.watch(prefix, revision, wait)))
    }

    fn commit<'a>(&'a self, transaction: &'a ItemTransaction) -> ItemFuture<'a, CommitOutcome> {
        Box::pin(self.call(self.store.commit(transaction)))
    }

    fn commit_in<'a>(
        &'a self,
        era: u64,
        transaction: &'a ItemTransaction,
    ) -> ItemFuture<'a, CommitOutcome> {
        Box::pin(self.call(self.store.commit_in(era, transaction)))
    }

    fn open_lease(&self, term: Duration) -> ItemFuture<'_, LeaseNumber> {
        Box::pin(self.call(self.store.open_lease(term)))
    }

    fn renew_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()> {
        Box::pin(self.call(self.store.renew_lease(lease)))
    }

    fn end_lease(&self, lease: LeaseNumber) -> ItemFuture<'_, ()> {
        Box::pin(self.call(self.store.end_lease(lease)))
    }
}
