//! Memory that a node holds for its peers, by connection and request.
//!
//! A holder is a connection of a client or a request of another node. Holders wait when the budget
//! is used up; if that lasts, the holder that holds the most for the longest without progress is
//! closed. The same table bounds the number of connections and the time of a header section.

use std::collections::HashMap;

use cornelridge_model::time;

/// Bytes up to which a holder may use the reserve, so that ordinary requests are served while
/// others use up the rest.
pub const SMALL_HOLDER_BYTES: u64 = 320 * 1024;
/// Time that a holder keeps its memory without progress while others wait for memory.
pub const STALL_TIME: time::Duration = time::Duration::from_millis(400);
/// Time without progress after which a client that keeps a slot of the worker, because it doesn't
/// read its response, is closed if other requests want a slot.
pub const SLOT_STALL_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Time without progress after which a connection in the middle of a request is closed for a new
/// one if all descriptors are in use.
pub const CONNECTION_STALL_TIME: time::Duration = time::Duration::from_millis(500);

/// Memory of a process that isn't available for clients: its code, tables and connections to other
/// nodes. A debug build uses 27 MB at rest.
const PROCESS_BYTES: u64 = 28_000_000;
/// Divisor of the memory that gives the part kept for unaccounted buffers and for fragmentation.
const UNACCOUNTED_DIVISOR: u64 = 6;
/// Smallest budget, which a limit below the needs of the process still leaves.
const MIN_BUDGET_BYTES: u64 = 4_000_000;
/// Divisor of the budget that gives the part that only small holders may use.
const RESERVE_DIVISOR: u64 = 6;
/// Number of waiting holders for each one that is closed, so that many holders are closed
/// within seconds.
const WAITING_PER_CLOSE: usize = 16;
/// Largest number of descriptors that are kept for files, workers, nodes and the store.
const MAX_RESERVED_DESCRIPTORS: u64 = 512;

/// Limits of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory of the process, in bytes, if it is limited.
    pub memory_bytes: Option<u64>,
    /// Open descriptors of the process, if they are limited.
    pub descriptors: Option<u64>,
}

/// Key of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderKey(pub u64);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// A header section has begun and must end within the time limit.
    Header { until: time::Instant },
    /// A request is being received or answered.
    Request,
    /// A request waits for a worker or runs; its peer isn't expected to make progress.
    Running,
}

#[derive(Debug)]
struct Holder {
    /// Bytes reserved for its requests.
    bytes: u64,
    /// Bytes of the connection itself.
    own_bytes: u64,
    phase: Phase,
    /// When the peer last sent or took bytes.
    progress: time::Instant,
    /// Number of slots of the worker that its responses keep.
    slots: u32,
    /// Whether the holder waits for memory, so that its peer can't make progress.
    is_waiting: bool,
    /// Whether the holder occupies a descriptor.
    is_connection: bool,
    /// Whether the holder has ended or was told to close; its memory is released by its requests.
    is_closing: bool,
}

/// Reason for closing a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Others wait for its memory.
    Memory,
    /// Others want the slot of the worker that it keeps.
    Slot,
    /// A new connection needs its descriptor.
    Descriptors,
    /// Its header section didn't end in time.
    HeaderTimeout,
}

/// Change of the pressure on the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureChange {
    /// A holder waits for memory.
    Begins,
    /// No holder waits any more.
    Ends,
}

/// Memory and connections of a process.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    limit_bytes: Option<u64>,
    max_connections: Option<u64>,
    used_bytes: u64,
    connections: u64,
    holders: HashMap<HolderKey, Holder>,
    next_key: u64,
    /// When a request was last refused for lack of memory.
    refused_at: Option<time::Instant>,
    /// Number of requests that wait for a slot of the worker.
    slot_waiters: u32,
    /// When a request was last refused for lack of a slot.
    slot_refused_at: Option<time::Instant>,
    /// When the first of the holders that wait began to wait.
    pressure_since: Option<time::Instant>,
}

impl MemoryBudget {
    /// Returns the budget of a process with these limits; without limits everything is granted.
    pub fn new(limits: ProcessLimits) -> MemoryBudget {
        let budget = |bytes: u64| {
            let rest = bytes.saturating_sub(PROCESS_BYTES + bytes / UNACCOUNTED_DIVISOR);
            rest.max(MIN_BUDGET_BYTES)
        };
        let connections = |count: u64| count - (count / 4).min(MAX_RESERVED_DESCRIPTORS);
        MemoryBudget {
            limit_bytes: limits.memory_bytes.map(budget),
            max_connections: limits.descriptors.map(connections),
            ..MemoryBudget::default()
        }
    }

    /// Returns the bytes in use.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Returns the bytes that may be in use, if they are limited.
    pub fn limit_bytes(&self) -> Option<u64> {
        self.limit_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u64 {
        self.connections
    }

    /// Returns whether holders wait for memory.
    pub fn is_under_pressure(&self) -> bool {
        self.pressure_since.is_some()
    }

    /// Adds a connection, which uses `bytes` until it is closed; returns `None` if all descriptors
    /// or all memory are in use.
    pub fn open_connection(&mut self, now: time::Instant, bytes: u64) -> Option<HolderKey> {
        let is_full = self.max_connections.is_some_and(|limit| self.connections >= limit);
        if is_full || self.limit_bytes.is_some_and(|limit| self.used_bytes + bytes > limit) {
            return None;
        }
        self.connections += 1;
        self.used_bytes += bytes;
        let key = self.insert(now, Phase::Idle, true);
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.own_bytes = bytes;
        }
        Some(key)
    }

    /// Adds a request of another node.
    pub fn open_request(&mut self, now: time::Instant) -> HolderKey {
        self.insert(now, Phase::Request, false)
    }

    fn insert(&mut self, now: time::Instant, phase: Phase, is_connection: bool) -> HolderKey {
        self.next_key += 1;
        let key = HolderKey(self.next_key);
        let holder = Holder {
            bytes: 0,
            own_bytes: 0,
            phase,
            progress: now,
            slots: 0,
            is_waiting: false,
            is_connection,
            is_closing: false,
        };
        self.holders.insert(key, holder);
        key
    }

    /// Returns the connection to close for a new one, if any: the one that is idle for the
    /// longest time, or else the one that is stuck for the longest time.
    pub fn connection_to_close(&mut self, now: time::Instant) -> Option<HolderKey> {
        let open = self.holders.iter().filter(|(_, holder)| {
            let is_stuck = holder.phase != Phase::Running
                && now.since(holder.progress) >= CONNECTION_STALL_TIME;
            holder.is_connection && !holder.is_closing && (holder.phase == Phase::Idle || is_stuck)
        });
        let rank = |holder: &Holder| (holder.phase == Phase::Idle, now.since(holder.progress).0);
        let (key, _) = open.max_by_key(|(key, holder)| (rank(holder), std::cmp::Reverse(key.0)))?;
        let key = *key;
        self.holders.get_mut(&key)?.is_closing = true;
        Some(key)
    }

    /// Records received bytes. If they begin a header section, it must end by `until`; returns
    /// whether they do.
    pub fn record_received(
        &mut self,
        now: time::Instant,
        key: HolderKey,
        until: time::Instant,
    ) -> bool {
        let Some(holder) = self.holders.get_mut(&key) else { return false };
        holder.progress = now;
        let begins = holder.phase == Phase::Idle;
        if begins {
            holder.phase = Phase::Header { until };
        }
        begins
    }

    /// Records that a header section is complete.
    pub fn begin_request(&mut self, now: time::Instant, key: HolderKey) {
        self.set_phase(now, key, Phase::Request);
    }

    /// Records that a request is complete and waits for the response of a worker.
    pub fn begin_run(&mut self, now: time::Instant, key: HolderKey) {
        self.set_phase(now, key, Phase::Running);
    }

    /// Records that the response of a connection's request is sent.
    pub fn end_request(&mut self, now: time::Instant, key: HolderKey) {
        self.set_phase(now, key, Phase::Idle);
    }

    fn set_phase(&mut self, now: time::Instant, key: HolderKey, phase: Phase) {
        if let Some(holder) = self.holders.get_mut(&key) {
            (holder.phase, holder.progress) = (phase, now);
        }
    }

    /// Records that the peer of a holder sent or took bytes.
    pub fn record_progress(&mut self, now: time::Instant, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.progress = now;
        }
    }

    /// Reserves memory for a holder; returns `false` if it has to wait.
    ///
    /// A holder that is being closed gets memory only for what is left to do for a small one.
    pub fn try_reserve(&mut self, key: HolderKey, bytes: u64) -> bool {
        let Some(holder) = self.holders.get_mut(&key) else { return false };
        if let Some(limit) = self.limit_bytes {
            let is_small = holder.bytes + bytes <= SMALL_HOLDER_BYTES;
            let limit = if is_small { limit } else { limit - limit / RESERVE_DIVISOR };
            if self.used_bytes + bytes > limit || (holder.is_closing && !is_small) {
                return false;
            }
        }
        holder.bytes += bytes;
        self.used_bytes += bytes;
        true
    }

    /// Records that a holder waits for memory, or no longer waits.
    pub fn set_waiting(&mut self, now: time::Instant, key: HolderKey, is_waiting: bool) {
        if let Some(holder) = self.holders.get_mut(&key) {
            (holder.is_waiting, holder.progress) = (is_waiting, now);
        }
    }

    /// Records that a request was refused for lack of memory, which counts as waiting.
    pub fn record_refused(&mut self, now: time::Instant) {
        self.refused_at = Some(now);
    }

    /// Records that a response of a holder keeps a slot of the worker until it is read.
    pub fn keep_slot(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.slots += 1;
        }
    }

    /// Records that a response of a holder no longer keeps a slot.
    pub fn release_slot(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.slots = holder.slots.saturating_sub(1);
        }
    }

    /// Records that a request waits for a slot.
    pub fn begin_slot_wait(&mut self) {
        self.slot_waiters += 1;
    }

    /// Records that a request got a slot, was refused or left.
    pub fn end_slot_wait(&mut self, now: time::Instant, is_admitted: bool) {
        self.slot_waiters = self.slot_waiters.saturating_sub(1);
        if !is_admitted {
            self.slot_refused_at = Some(now);
        }
    }

    /// Returns whether a request of a holder is being received, runs or is answered.
    pub fn is_in_request(&self, key: HolderKey) -> bool {
        let phase = self.holders.get(&key).map(|holder| holder.phase);
        matches!(phase, Some(Phase::Request | Phase::Running))
    }

    /// Updates the state of the pressure; returns its change, if it has changed.
    pub fn update_pressure(&mut self, now: time::Instant) -> Option<PressureChange> {
        let is_waiting = self.holders.values().any(|holder| holder.is_waiting)
            || is_recent(now, self.refused_at);
        match (self.pressure_since, is_waiting) {
            (None, true) => {
                self.pressure_since = Some(now);
                Some(PressureChange::Begins)
            }
            (Some(_), false) => {
                self.pressure_since = None;
                Some(PressureChange::Ends)
            }
            _ => None,
        }
    }

    /// Returns reserved memory to the budget.
    pub fn release(&mut self, key: HolderKey, bytes: u64) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        if let Some(holder) = self.holders.get_mut(&key) {
            holder.bytes = holder.bytes.saturating_sub(bytes);
        }
    }

    /// Removes a holder. Memory that it still holds stays in use until it is released.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(&key) {
            self.connections -= u64::from(holder.is_connection);
            self.used_bytes = self.used_bytes.saturating_sub(holder.own_bytes);
        }
    }

    /// Returns the holders that must be closed now.
    pub fn overdue(&mut self, now: time::Instant) -> Vec<(HolderKey, CloseReason)> {
        let mut overdue = Vec::new();
        let are_slots_wanted = self.limit_bytes.is_some()
            && (self.slot_waiters > 0 || is_recent(now, self.slot_refused_at));
        for (key, holder) in self.holders.iter_mut().filter(|(_, holder)| !holder.is_closing) {
            let is_late = matches!(holder.phase, Phase::Header { until } if now >= until);
            let keeps_slot = holder.slots > 0
                && holder.phase == Phase::Request
                && now.since(holder.progress) >= SLOT_STALL_TIME;
            let reason = match (is_late, keeps_slot && are_slots_wanted) {
                (true, _) => CloseReason::HeaderTimeout,
                (false, true) => CloseReason::Slot,
                (false, false) => continue,
            };
            holder.is_closing = true;
            overdue.push((*key, reason));
        }
        let has_waited = |since: time::Instant| now.since(since) >= STALL_TIME;
        if self.pressure_since.is_some_and(has_waited) {
            // The next ones are closed only if the memory of these isn't enough.
            self.pressure_since = Some(now);
            let waiting = self.holders.values().filter(|holder| holder.is_waiting).count();
            for _ in 0..=waiting / WAITING_PER_CLOSE {
                let Some(key) = self.largest_stalled(now) else { break };
                if let Some(holder) = self.holders.get_mut(&key) {
                    holder.is_closing = true;
                }
                overdue.push((key, CloseReason::Memory));
            }
        }
        overdue
    }

    /// Returns the holder with the most memory for the longest time without progress. Those that
    /// wait for memory themselves come after all others.
    fn largest_stalled(&self, now: time::Instant) -> Option<HolderKey> {
        let candidates = self.holders.iter().filter(|(_, holder)| {
            let is_stalled =
                holder.phase != Phase::Running && now.since(holder.progress) >= STALL_TIME;
            holder.bytes > 0 && !holder.is_closing && is_stalled
        });
        let rank = |holder: &Holder| {
            let stalled = u128::from(now.since(holder.progress).0);
            (!holder.is_waiting, u128::from(holder.bytes) * stalled)
        };
        let worst = candidates.max_by_key(|(key, holder)| (rank(holder), key.0));
        worst.map(|(key, _)| *key)
    }
}

/// Returns whether a refusal is recent enough to count as waiting.
fn is_recent(now: time::Instant, refused_at: Option<time::Instant>) -> bool {
    refused_at.is_some_and(|at| now.since(at) < STALL_TIME.saturating_mul(2))
}
