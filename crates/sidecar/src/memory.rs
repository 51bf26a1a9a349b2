//! Memory and connections of the process, accounted in one budget for all servers of the node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use cornelridge_fleet::memory_budget;
use cornelridge_model::time;
use event_listener::Event;
use futures_lite::future;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::meter;
use crate::view::lock;

/// Interval between two checks for holders that must be closed.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Longest wait of a new connection for a descriptor or memory. A connection that is closed
/// for it frees them within a few steps of the executor.
const OPEN_WAIT: time::Duration = time::Duration::from_millis(20);
/// Longest time until a holder that waits for memory checks again. A release wakes only a few.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of waiting holders that are woken by a release.
const WOKEN_HOLDERS: usize = 4;
/// Memory of an idle connection: its task and the read buffer.
const CONNECTION_BYTES: u64 = 12 * 1024;

/// The budget of the process; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ProcessMemory {
    shared: Arc<SharedBudget>,
}

#[derive(Debug)]
struct SharedBudget {
    budget: Mutex<memory_budget::MemoryBudget>,
    /// Tokens that tell holders to close.
    closing: Mutex<HashMap<memory_budget::HolderKey, CancellationToken>>,
    /// Notified when memory is released or a connection ends.
    released: Event,
    is_limited: bool,
}

/// A connection or a request of another node that holds memory.
#[derive(Clone, Debug)]
pub(crate) struct MemoryHolder {
    shared: Arc<SharedBudget>,
    key: memory_budget::HolderKey,
    closing: CancellationToken,
}

/// Removes a holder when dropped.
#[derive(Debug)]
pub(crate) struct HolderGuard {
    pub(crate) holder: MemoryHolder,
}

/// Reserved memory, which is released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    shared: Arc<SharedBudget>,
    key: memory_budget::HolderKey,
    bytes: u64,
}

/// The holder was told to close while it waited for memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderClosed;

impl ProcessMemory {
    pub(crate) fn new(limits: memory_budget::ProcessLimits) -> ProcessMemory {
        let shared = SharedBudget {
            budget: Mutex::new(memory_budget::MemoryBudget::new(limits)),
            closing: Mutex::default(),
            released: Event::new(),
            is_limited: limits.memory_bytes.is_some(),
        };
        ProcessMemory { shared: Arc::new(shared) }
    }

    /// Returns whether the memory of the process is limited.
    pub(crate) fn is_limited(&self) -> bool {
        self.shared.is_limited
    }

    /// Adds a request of another node.
    pub(crate) fn open_request(&self) -> HolderGuard {
        let key = self.budget().open_request(clock::now());
        self.guard(key)
    }

    /// Adds a connection. If all descriptors or all memory are in use, an idle or stuck connection
    /// is closed for it; returns `None` if there is none.
    pub(crate) async fn open_connection(&self) -> Option<HolderGuard> {
        loop {
            let opened = self.budget().open_connection(clock::now(), CONNECTION_BYTES);
            if let Some(key) = opened {
                return Some(self.guard(key));
            }
            let released = self.shared.released.listen();
            let worst = self.budget().connection_to_close(clock::now())?;
            self.close(worst, memory_budget::CloseReason::Descriptors);
            clock::timeout(OPEN_WAIT, released).await;
        }
    }

    fn guard(&self, key: memory_budget::HolderKey) -> HolderGuard {
        let closing = CancellationToken::new();
        lock(&self.shared.closing).insert(key, closing.clone());
        HolderGuard { holder: MemoryHolder { shared: Arc::clone(&self.shared), key, closing } }
    }

    fn close(&self, key: memory_budget::HolderKey, reason: memory_budget::CloseReason) {
        meter::count_closed_client(reason);
        if let Some(token) = lock(&self.shared.closing).get(&key) {
            token.cancel();
        }
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, memory_budget::MemoryBudget> {
        lock(&self.shared.budget)
    }

    /// Closes holders that are overdue and records the state, until the process ends.
    pub(crate) async fn watch(self) {
        loop {
            clock::sleep(CHECK_INTERVAL).await;
            let now = clock::now();
            let (change, overdue, used, connections) = {
                let mut budget = self.budget();
                let change = budget.update_pressure(now);
                let overdue = budget.overdue(now);
                (change, overdue, budget.used_bytes(), budget.connections())
            };
            meter::record_memory(used, connections);
            match change {
                Some(memory_budget::PressureChange::Begins) => log::warn!(
                    used_bytes = used, connections; "memory is used up: clients have to wait"
                ),
                Some(memory_budget::PressureChange::Ends) => log::info!(
                    used_bytes = used, connections; "memory is available again: no client waits"
                ),
                None => {}
            }
            for (key, reason) in overdue {
                log::debug!(reason:? = reason, used_bytes = used; "closing a client");
                self.close(key, reason);
            }
        }
    }
}

impl MemoryHolder {
    fn budget(&self) -> std::sync::MutexGuard<'_, memory_budget::MemoryBudget> {
        lock(&self.shared.budget)
    }

    /// Completes when the holder must close.
    pub(crate) async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Reserves memory if it is available.
    pub(crate) fn try_reserve(&self, bytes: u64) -> Option<Reservation> {
        let is_reserved = self.budget().try_reserve(self.key, bytes);
        is_reserved.then(|| Reservation { shared: Arc::clone(&self.shared), key: self.key, bytes })
    }

    /// Waits for memory; fails if the holder must close meanwhile.
    pub(crate) async fn reserve(&self, bytes: u64) -> Result<Reservation, HolderClosed> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Ok(reservation);
        }
        self.budget().set_waiting(clock::now(), self.key, true);
        let _waiting = WaitGuard(self);
        loop {
            let released = self.shared.released.listen();
            if let Some(reservation) = self.try_reserve(bytes) {
                return Ok(reservation);
            }
            let is_closing = async {
                self.closing().await;
                true
            };
            let freed = async {
                clock::timeout(RECHECK_INTERVAL, released).await;
                false
            };
            if future::or(is_closing, freed).await {
                return Err(HolderClosed);
            }
        }
    }

    /// Records received bytes; returns whether a header section begins, which must end in time.
    pub(crate) fn record_received(&self, header_timeout: time::Duration) -> bool {
        let now = clock::now();
        self.budget().record_received(now, self.key, now + header_timeout)
    }

    /// Records that a request was refused for lack of memory.
    pub(crate) fn record_refused(&self) {
        self.budget().record_refused(clock::now());
    }

    /// Returns whether a request is being received, runs or is answered.
    pub(crate) fn is_in_request(&self) -> bool {
        self.budget().is_in_request(self.key)
    }

    /// Records that a header section is complete.
    pub(crate) fn begin_request(&self) {
        self.budget().begin_request(clock::now(), self.key);
    }

    /// Records that the request waits for a worker until the returned guard is dropped.
    pub(crate) fn run(&self) -> RunGuard {
        self.budget().begin_run(clock::now(), self.key);
        RunGuard { holder: self.clone() }
    }

    /// Records that a response keeps a slot of the worker until the returned guard is dropped.
    pub(crate) fn keep_slot(&self) -> SlotGuard {
        self.budget().keep_slot(self.key);
        SlotGuard { holder: self.clone() }
    }

    /// Records that a request waits for a slot of the worker until the returned guard is dropped.
    pub(crate) fn wait_for_slot(&self) -> SlotWaitGuard {
        self.budget().begin_slot_wait();
        SlotWaitGuard { holder: self.clone(), is_admitted: false }
    }

    /// Records that the response is sent.
    pub(crate) fn end_request(&self) {
        self.budget().end_request(clock::now(), self.key);
    }

    /// Records that the peer sent or took bytes.
    pub(crate) fn record_progress(&self) {
        self.budget().record_progress(clock::now(), self.key);
    }
}

/// A request that waits for a worker, until dropped.
pub(crate) struct RunGuard {
    holder: MemoryHolder,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.holder.begin_request();
    }
}

/// A response that keeps a slot of the worker, until dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    holder: MemoryHolder,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.holder.budget().release_slot(self.holder.key);
    }
}

/// A request that waits for a slot, until dropped.
pub(crate) struct SlotWaitGuard {
    holder: MemoryHolder,
    pub(crate) is_admitted: bool,
}

impl Drop for SlotWaitGuard {
    fn drop(&mut self) {
        self.holder.budget().end_slot_wait(clock::now(), self.is_admitted);
    }
}

/// Records that a holder no longer waits when dropped.
struct WaitGuard<'a>(&'a MemoryHolder);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.budget().set_waiting(clock::now(), self.0.key, false);
    }
}

impl Drop for HolderGuard {
    fn drop(&mut self) {
        let MemoryHolder { shared, key, .. } = &self.holder;
        lock(&shared.closing).remove(key);
        let mut budget = lock(&shared.budget);
        budget.close(*key);
        drop(budget);
        shared.released.notify(WOKEN_HOLDERS);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.shared.budget).release(self.key, self.bytes);
        self.shared.released.notify(WOKEN_HOLDERS);
    }
}
