//! The records of one node, as owner and as replica.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cornelridge_model::{ident, key, outcome, time};

use crate::entry::{Execution, PendingCopies, Phase, RequestEntry, RequestKey};
use crate::record::{
    CopyProgress, CopyRefusal, CopyReply, ExecutionId, MAX_IDEMPOTENCY_KEY_BYTES,
    MAX_STORED_RESPONSE_BYTES, Record, RecordDecision, RecordRequest, RecordState, RecordUpdate,
    RefusalReason, StoredResponse,
};
use crate::sync::{SyncRanges, SyncState};

/// Maximum number of records of one node; further requests are refused with `not-run`.
pub const MAX_RECORDS: usize = 65_536;
/// Maximum total size of stored responses in bytes. Beyond it the oldest ones are reduced to their
/// status, so that records stay within the 32 MB that the control plane of a node may use.
pub const MAX_TOTAL_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Time for which a freed execution is kept to recognise copies that arrive late. Once it is
/// removed, a replica treats late copies as executions that may have happened.
const FREED_RETENTION: time::Duration = time::Duration::from_secs(10);
/// Time by which the expiry of a record is extended while its execution is in flight.
const IN_FLIGHT_EXTENSION: time::Duration = time::Duration::from_secs(10);

/// Index of an entry in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EntryIndex(u32);

/// The at-most-once records of one node.
#[derive(Debug)]
pub struct RecordTable {
    entries: Vec<Option<RequestEntry>>,
    free_indices: Vec<EntryIndex>,
    pub(crate) by_key: BTreeMap<RequestKey, EntryIndex>,
    /// Executions that this node issued.
    issued: HashMap<ExecutionId, EntryIndex>,
    expiries: BTreeSet<(time::Instant, EntryIndex)>,
    /// Entries with only freed executions, which are removed to make room when the table is full.
    freed: BTreeSet<EntryIndex>,
    responses_by_age: BTreeMap<u64, EntryIndex>,
    response_bytes: usize,
    next_response_order: u64,
    capacity: usize,
    pub(crate) sync: SyncRanges,
}

impl Default for RecordTable {
    fn default() -> RecordTable {
        RecordTable::new()
    }
}

impl RecordTable {
    /// Creates an empty table for up to [`MAX_RECORDS`] records.
    pub fn new() -> RecordTable {
        RecordTable::with_capacity(MAX_RECORDS)
    }

    /// Creates an empty table for up to `capacity` records, but at most [`MAX_RECORDS`].
    pub fn with_capacity(capacity: usize) -> RecordTable {
        RecordTable {
            entries: Vec::new(),
            free_indices: Vec::new(),
            by_key: BTreeMap::new(),
            issued: HashMap::new(),
            expiries: BTreeSet::new(),
            freed: BTreeSet::new(),
            responses_by_age: BTreeMap::new(),
            response_bytes: 0,
            next_response_order: 0,
            capacity: capacity.min(MAX_RECORDS),
            sync: SyncRanges::default(),
        }
    }

    /// Returns the number of records, including those with only freed executions.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the total size of stored responses in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns whether this node has every record of the slice that contains `hash`, as a sync
    /// state.
    pub fn sync_state(&self, now: time::Instant, class: &str, hash: key::KeyHash) -> SyncState {
        self.sync.state_at(now, class, hash)
    }

    /// Returns the decision that follows from earlier executions of this request, if any.
    pub fn find(
        &mut self,
        now: time::Instant,
        class: &Arc<str>,
        hash: key::KeyHash,
        idempotency_key: &Arc<str>,
    ) -> Option<RecordDecision> {
        self.expire(now);
        let key = RequestKey {
            class: Arc::clone(class),
            hash,
            idempotency_key: Arc::clone(idempotency_key),
        };
        let known = self.by_key.get(&key).copied()?;
        self.entry(known).and_then(decide)
    }

    /// Decides what the owner does with a request. The caller has checked that this node owns the
    /// slice, and checks it again immediately before it dispatches.
    pub fn begin(&mut self, now: time::Instant, request: &RecordRequest) -> RecordDecision {
        self.expire(now);
        if !is_valid_key(&request.idempotency_key) {
            return RecordDecision::Refused(RefusalReason::InvalidKey);
        }
        let key = RequestKey {
            class: Arc::clone(&request.class),
            hash: request.hash,
            idempotency_key: Arc::clone(&request.idempotency_key),
        };
        let known = self.by_key.get(&key).copied();
        let decided = known.and_then(|known| self.entry(known)).and_then(decide);
        if let Some(decision) = decided {
            return decision;
        }
        match self.refusal(now, request, known) {
            Some(reason) => RecordDecision::Refused(reason),
            None => self.start_execution(now, key, request),
        }
    }

    /// Returns why no new execution may start, if so. Makes room for its record otherwise.
    fn refusal(
        &mut self,
        now: time::Instant,
        request: &RecordRequest,
        known: Option<EntryIndex>,
    ) -> Option<RefusalReason> {
        if self.sync.state_at(now, &request.class, request.hash) != SyncState::Synced {
            return Some(RefusalReason::NotSynced);
        }
        if !request.peers.iter().any(|peer| peer.in_other_zone) {
            return Some(RefusalReason::NoReplica);
        }
        if self.issued.contains_key(&request.execution) {
            return Some(RefusalReason::ExecutionInUse);
        }
        if known.is_none() && !self.ensure_capacity() {
            return Some(RefusalReason::TableFull);
        }
        None
    }

    fn start_execution(
        &mut self,
        now: time::Instant,
        key: RequestKey,
        request: &RecordRequest,
    ) -> RecordDecision {
        let peers = request.peers.iter().map(|peer| peer.incarnation).collect::<Vec<_>>();
        let copies =
            PendingCopies { unacknowledged: request.peers.clone(), has_copy_in_other_zone: false };
        let execution = Execution {
            id: request.execution,
            phase: Phase::Replicating(copies),
            notify: peers.clone(),
            issuer: None,
        };
        let index = self.insert(key, now, now + request.window);
        self.issued.insert(request.execution, index);
        let record = self.update_entry(index, |entry| {
            entry.started_at = now;
            entry.expires_at = now + request.window;
            entry.push(execution.clone());
            entry.record(now, &execution)
        });
        match record {
            Some(record) => RecordDecision::Replicate { record, to: peers },
            None => RecordDecision::Refused(RefusalReason::TableFull),
        }
    }

    /// Records that a peer has acknowledged its copy.
    pub fn acknowledge_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        from: ident::IncarnationId,
    ) -> CopyProgress {
        self.resolve_copy(now, id, from, true)
    }

    /// Waives the copy of a peer whose lease is known to have expired.
    pub fn waive_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        peer: ident::IncarnationId,
    ) -> CopyProgress {
        self.resolve_copy(now, id, peer, false)
    }

    fn resolve_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        from: ident::IncarnationId,
        has_copy: bool,
    ) -> CopyProgress {
        self.expire(now);
        let Some(index) = self.issued.get(&id).copied() else { return CopyProgress::Ignored };
        let execution = self.entry_mut(index).and_then(|entry| entry.execution_mut(id));
        let Some(execution) = execution else { return CopyProgress::Ignored };
        let Phase::Replicating(copies) = &mut execution.phase else {
            return CopyProgress::Ignored;
        };
        let position = copies.unacknowledged.iter().position(|peer| peer.incarnation == from);
        let Some(position) = position else { return CopyProgress::Ignored };
        let peer = copies.unacknowledged.remove(position);
        copies.has_copy_in_other_zone |= has_copy && peer.in_other_zone;
        if !copies.unacknowledged.is_empty() {
            return CopyProgress::Waiting;
        }
        if !copies.has_copy_in_other_zone {
            return CopyProgress::NoReplica;
        }
        execution.phase = Phase::InFlight;
        CopyProgress::Dispatch
    }

    /// Gives up an execution for which a required copy can't be made; the request is `not-run`.
    /// Returns `None` if the execution has already been dispatched or given up.
    pub fn abort_replication(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
    ) -> Option<RecordUpdate> {
        let index = self.issued.get(&id).copied()?;
        let execution = self.entry(index)?.execution(id)?;
        if !matches!(execution.phase, Phase::Replicating(_)) {
            return None;
        }
        self.finish(now, id, outcome::RequestOutcome::NotRun, None)
    }

    /// Records that the request was not executed, so that a retry may run.
    pub fn free(&mut self, now: time::Instant, id: ExecutionId) -> Option<RecordUpdate> {
        self.finish(now, id, outcome::RequestOutcome::NotRun, None)
    }

    /// Records the outcome of an execution. The returned update is for the peers that may hold a
    /// copy; it carries only the status, since whole responses are kept at the owner.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        outcome: outcome::RequestOutcome,
        response: Option<StoredResponse>,
    ) -> Option<RecordUpdate> {
        let index = self.issued.get(&id).copied()?;
        let final_phase = match outcome {
            outcome::RequestOutcome::NotRun => Phase::Freed,
            outcome::RequestOutcome::Unknown => Phase::Unknown,
            outcome::RequestOutcome::Run => Phase::Finished(limit_size(response)),
        };
        self.update_entry(index, |entry| {
            let execution = entry.execution_mut(id)?;
            if !execution.record_outcome(final_phase) {
                return None;
            }
            if entry.is_unexecuted() {
                entry.expires_at = entry.expires_at.min(now + FREED_RETENTION);
            }
            let execution = entry.execution(id)?;
            Some(RecordUpdate {
                record: status_record(entry.record(now, execution)),
                to: execution.notify.clone(),
            })
        })?
    }

    /// Stores a record that another member of the chain has sent. The caller has checked that
    /// `from` may be the owner: it isn't known to have expired and its epoch isn't older. `window`
    /// is [`crate::record_window`] of the class.
    pub fn store_copy(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        record: &Record,
        window: time::Duration,
    ) -> CopyReply {
        self.expire(now);
        if record.state != RecordState::Started {
            return match self.merge(now, record, window) {
                Ok(()) => CopyReply::Stored,
                Err(refusal) => CopyReply::Refused(refusal),
            };
        }
        if let Some(refusal) = self.copy_refusal(from, record) {
            return CopyReply::Refused(refusal);
        }
        if let Err(refusal) = self.merge(now, record, window) {
            return CopyReply::Refused(refusal);
        }
        let index = self.by_key.get(&request_key(record)).copied();
        let entry = index.and_then(|index| self.entry_mut(index));
        if let Some(execution) = entry.and_then(|entry| entry.execution_mut(record.execution)) {
            execution.issuer = Some(from);
        }
        CopyReply::Stored
    }

    /// Returns why the owner must not dispatch this execution, if so.
    fn copy_refusal(&self, from: ident::IncarnationId, record: &Record) -> Option<CopyRefusal> {
        let index = self.by_key.get(&request_key(record))?;
        let entry = self.entry(*index)?;
        if entry.conflicts(record.execution, from) {
            return Some(CopyRefusal::Conflict);
        }
        match &entry.execution(record.execution)?.phase {
            Phase::Started => None,
            Phase::Freed => Some(CopyRefusal::GivenUp),
            _ => Some(CopyRefusal::Conflict),
        }
    }

    /// Merges a record of another node.
    pub(crate) fn merge(
        &mut self,
        now: time::Instant,
        record: &Record,
        window: time::Duration,
    ) -> Result<(), CopyRefusal> {
        let response_size = record.response.as_ref().map_or(0, StoredResponse::size);
        if !is_valid_key(&record.idempotency_key) || response_size > MAX_STORED_RESPONSE_BYTES {
            return Err(CopyRefusal::Invalid);
        }
        let started_at = time::Instant(now.0.saturating_sub(record.age.0));
        let expires_at = started_at + window;
        if expires_at <= now {
            return Ok(());
        }
        let key = request_key(record);
        let known = self.by_key.get(&key).copied();
        if known.is_none() && !self.ensure_capacity() {
            // If a freed execution isn't kept, this node treats late copies of it as possible
            // executions.
            let is_needed = record.state != RecordState::Freed;
            return if is_needed { Err(CopyRefusal::TableFull) } else { Ok(()) };
        }
        let index = known.unwrap_or_else(|| self.insert(key, started_at, now));
        self.update_entry(index, |entry| {
            if record.state != RecordState::Freed {
                entry.started_at = entry.started_at.max(started_at);
            }
            entry.merge(record.execution, Phase::from_record(record));
            let end = if entry.is_unexecuted() {
                expires_at.min(now + FREED_RETENTION)
            } else {
                expires_at
            };
            entry.expires_at = entry.expires_at.max(end);
        });
        Ok(())
    }

    /// Removes records whose window has passed.
    pub fn expire(&mut self, now: time::Instant) {
        while let Some((expires_at, index)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            if self.entry(index).is_some_and(RequestEntry::is_in_flight) {
                self.update_entry(index, |entry| entry.expires_at = now + IN_FLIGHT_EXTENSION);
            } else {
                self.remove(index);
            }
        }
    }

    pub(crate) fn entry(&self, index: EntryIndex) -> Option<&RequestEntry> {
        self.entries.get(index.0 as usize)?.as_ref()
    }

    fn entry_mut(&mut self, index: EntryIndex) -> Option<&mut RequestEntry> {
        self.entries.get_mut(index.0 as usize)?.as_mut()
    }

    /// Returns the index of the entry for `key`, which is created if there is none.
    fn insert(
        &mut self,
        key: RequestKey,
        started_at: time::Instant,
        expires_at: time::Instant,
    ) -> EntryIndex {
        if let Some(index) = self.by_key.get(&key) {
            return *index;
        }
        let entry = Some(RequestEntry::new(key.clone(), started_at, expires_at));
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.entries[index.0 as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                EntryIndex(self.entries.len() as u32 - 1)
            }
        };
        self.by_key.insert(key, index);
        self.expiries.insert((expires_at, index));
        index
    }

    /// Changes an entry and updates the indexes by expiry, freed state and response.
    pub(crate) fn update_entry<T>(
        &mut self,
        index: EntryIndex,
        change: impl FnOnce(&mut RequestEntry) -> T,
    ) -> Option<T> {
        let entry = self.entries.get_mut(index.0 as usize)?.as_mut()?;
        let expires_at = entry.expires_at;
        let bytes = entry.response_bytes();
        let changed = change(entry);
        if entry.expires_at != expires_at {
            self.expiries.remove(&(expires_at, index));
            self.expiries.insert((entry.expires_at, index));
        }
        if entry.is_unexecuted() {
            self.freed.insert(index);
        } else {
            self.freed.remove(&index);
        }
        self.response_bytes = self.response_bytes + entry.response_bytes() - bytes;
        if entry.response_bytes() > 0 && entry.response_order.is_none() {
            entry.response_order = Some(self.next_response_order);
            self.responses_by_age.insert(self.next_response_order, index);
            self.next_response_order += 1;
        }
        self.reduce_responses();
        Some(changed)
    }

    fn reduce_responses(&mut self) {
        while self.response_bytes > MAX_TOTAL_RESPONSE_BYTES {
            let Some((_, index)) = self.responses_by_age.pop_first() else { return };
            let Some(entry) = self.entry_mut(index) else { continue };
            let bytes = entry.response_bytes();
            entry.response_order = None;
            entry.reduce_responses();
            self.response_bytes -= bytes;
        }
    }

    pub(crate) fn remove(&mut self, index: EntryIndex) {
        let Some(entry) = self.entries.get_mut(index.0 as usize).and_then(Option::take) else {
            return;
        };
        self.free_indices.push(index);
        self.by_key.remove(&entry.key);
        self.expiries.remove(&(entry.expires_at, index));
        self.freed.remove(&index);
        self.response_bytes -= entry.response_bytes();
        if let Some(order) = entry.response_order {
            self.responses_by_age.remove(&order);
        }
        for execution in &entry.executions {
            self.issued.remove(&execution.id);
        }
    }

    /// Returns whether there is room for one more record, after removing a freed one if necessary.
    fn ensure_capacity(&mut self) -> bool {
        if self.by_key.len() < self.capacity {
            return true;
        }
        let Some(index) = self.freed.first().copied() else { return false };
        self.remove(index);
        true
    }
}

/// Returns the decision that follows from the known executions of a request, if any.
fn decide(entry: &RequestEntry) -> Option<RecordDecision> {
    if let Some(response) = entry.response() {
        return Some(RecordDecision::Stored(response.clone()));
    }
    if entry.has_pending() {
        return Some(RecordDecision::InFlight);
    }
    (!entry.is_unexecuted()).then_some(RecordDecision::Unknown)
}

fn request_key(record: &Record) -> RequestKey {
    RequestKey {
        class: Arc::clone(&record.class),
        hash: record.hash,
        idempotency_key: Arc::clone(&record.idempotency_key),
    }
}

/// Returns the response, or only its status if the response is too large to keep.
fn limit_size(response: Option<StoredResponse>) -> StoredResponse {
    match response {
        Some(response) if response.size() <= MAX_STORED_RESPONSE_BYTES => response,
        Some(response) => response.status_only(),
        None => StoredResponse { status: 0, headers: Vec::new(), body: None },
    }
}

fn status_record(record: Record) -> Record {
    let response = record.response.as_ref().map(StoredResponse::status_only);
    Record { response, ..record }
}

fn is_valid_key(idempotency_key: &str) -> bool {
    (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&idempotency_key.len())
}
