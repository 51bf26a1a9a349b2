//! The records of one node, as owner and as replica.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cornelridge_model::{ident, key, outcome, time};

use crate::entry::{Entry, Execution, PendingCopies, Phase, RequestKey};
use crate::record::{
    CopyProgress, CopyRefusal, CopyReply, ExecutionId, MAX_IDEMPOTENCY_KEY_BYTES,
    MAX_STORED_RESPONSE_BYTES, Record, RecordDecision, RecordRequest, RecordState, RecordUpdate,
    RefusalReason, StoredResponse,
};
use crate::sync::{SyncRanges, SyncState};

/// Most records of one node; further requests are refused with `not-run`.
pub const MAX_RECORDS: usize = 65_536;
/// Most bytes of stored responses; beyond that the oldest ones are reduced to their status, so that
/// the records stay within the 32 MB that the control plane of a node may use.
pub const MAX_TOTAL_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// How long a freed execution is remembered to recognise copies that arrive late; a forgotten one
/// only makes a replica more cautious.
const FREED_RETENTION: time::Duration = time::Duration::from_secs(10);
/// How long an expired record that is still in flight is kept before it is looked at again.
const IN_FLIGHT_EXTENSION: time::Duration = time::Duration::from_secs(10);

/// Index of a record in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordKey(u32);

/// The at-most-once records of one node.
#[derive(Debug)]
pub struct RecordTable {
    entries: Vec<Option<Entry>>,
    vacant: Vec<RecordKey>,
    pub(crate) index: BTreeMap<RequestKey, RecordKey>,
    /// Executions that this node issued.
    issued: HashMap<ExecutionId, RecordKey>,
    expiries: BTreeSet<(time::Instant, RecordKey)>,
    /// Records that only remember freed executions and make room when the table is full.
    freed: BTreeSet<RecordKey>,
    responses: BTreeMap<u64, RecordKey>,
    response_bytes: usize,
    next_response: u64,
    capacity: usize,
    pub(crate) sync: SyncRanges,
}

impl Default for RecordTable {
    fn default() -> RecordTable {
        RecordTable::new()
    }
}

impl RecordTable {
    /// An empty table that holds up to [`MAX_RECORDS`] records.
    pub fn new() -> RecordTable {
        RecordTable::with_capacity(MAX_RECORDS)
    }

    /// An empty table that holds up to `capacity` records, at most [`MAX_RECORDS`].
    pub fn with_capacity(capacity: usize) -> RecordTable {
        RecordTable {
            entries: Vec::new(),
            vacant: Vec::new(),
            index: BTreeMap::new(),
            issued: HashMap::new(),
            expiries: BTreeSet::new(),
            freed: BTreeSet::new(),
            responses: BTreeMap::new(),
            response_bytes: 0,
            next_response: 0,
            capacity: capacity.min(MAX_RECORDS),
            sync: SyncRanges::default(),
        }
    }

    /// Number of records, including those that only remember freed executions.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Bytes of stored responses.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Whether this node has every record of the slice that contains `hash`.
    pub fn sync_state(&self, now: time::Instant, class: &str, hash: key::KeyHash) -> SyncState {
        self.sync.at(now, class, hash)
    }

    /// What an earlier execution of this request decides, if there was one.
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
        let known = self.index.get(&key).copied()?;
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
        let known = self.index.get(&key).copied();
        let held = known.and_then(|known| self.entry(known)).and_then(decide);
        if let Some(decision) = held {
            return decision;
        }
        match self.refusal(now, request, known) {
            Some(reason) => RecordDecision::Refused(reason),
            None => self.start(now, key, request),
        }
    }

    /// Why no new execution may start, if so; makes room for its record.
    fn refusal(
        &mut self,
        now: time::Instant,
        request: &RecordRequest,
        known: Option<RecordKey>,
    ) -> Option<RefusalReason> {
        if self.sync.at(now, &request.class, request.hash) != SyncState::Synced {
            return Some(RefusalReason::NotSynced);
        }
        if !request.peers.iter().any(|peer| peer.in_other_zone) {
            return Some(RefusalReason::NoReplica);
        }
        if self.issued.contains_key(&request.execution) {
            return Some(RefusalReason::ExecutionInUse);
        }
        if known.is_none() && !self.make_room() {
            return Some(RefusalReason::TableFull);
        }
        None
    }

    fn start(
        &mut self,
        now: time::Instant,
        key: RequestKey,
        request: &RecordRequest,
    ) -> RecordDecision {
        let peers = request.peers.iter().map(|peer| peer.incarnation).collect::<Vec<_>>();
        let copies = PendingCopies { waiting: request.peers.clone(), has_other_zone: false };
        let execution = Execution {
            id: request.execution,
            phase: Phase::Replicating(copies),
            notify: peers.clone(),
            issuer: None,
        };
        let at = self.insert(key, now, now + request.window);
        self.issued.insert(request.execution, at);
        let record = self.change(at, |entry| {
            entry.begun = now;
            entry.expires = now + request.window;
            entry.push(execution.clone());
            entry.record(now, &execution)
        });
        match record {
            Some(record) => RecordDecision::Replicate { record, to: peers },
            None => RecordDecision::Refused(RefusalReason::TableFull),
        }
    }

    /// A peer has acknowledged its copy.
    pub fn acknowledge_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        from: ident::IncarnationId,
    ) -> CopyProgress {
        self.settle_copy(now, id, from, true)
    }

    /// A peer's lease is known to have expired, so its copy is no longer required.
    pub fn waive_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        peer: ident::IncarnationId,
    ) -> CopyProgress {
        self.settle_copy(now, id, peer, false)
    }

    fn settle_copy(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        from: ident::IncarnationId,
        has_copy: bool,
    ) -> CopyProgress {
        self.expire(now);
        let Some(at) = self.issued.get(&id).copied() else { return CopyProgress::Ignored };
        let execution = self.entry_mut(at).and_then(|entry| entry.execution_mut(id));
        let Some(execution) = execution else { return CopyProgress::Ignored };
        let Phase::Replicating(copies) = &mut execution.phase else {
            return CopyProgress::Ignored;
        };
        let position = copies.waiting.iter().position(|peer| peer.incarnation == from);
        let Some(position) = position else { return CopyProgress::Ignored };
        let peer = copies.waiting.remove(position);
        copies.has_other_zone |= has_copy && peer.in_other_zone;
        if !copies.waiting.is_empty() {
            return CopyProgress::Waiting;
        }
        if !copies.has_other_zone {
            return CopyProgress::NoReplica;
        }
        execution.phase = Phase::InFlight;
        CopyProgress::Dispatch
    }

    /// A required copy can't be made: the execution is given up and the request is `not-run`.
    /// `None` if the execution has already been dispatched or given up.
    pub fn abort_replication(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
    ) -> Option<RecordUpdate> {
        let at = self.issued.get(&id).copied()?;
        let execution = self.entry(at)?.execution(id)?;
        if !matches!(execution.phase, Phase::Replicating(_)) {
            return None;
        }
        self.finish(now, id, outcome::RequestOutcome::NotRun, None)
    }

    /// The request was not executed; a retry may run.
    pub fn free(&mut self, now: time::Instant, id: ExecutionId) -> Option<RecordUpdate> {
        self.finish(now, id, outcome::RequestOutcome::NotRun, None)
    }

    /// Records the outcome of an execution. The update goes to the peers that may hold a copy; it
    /// carries only the status, since whole responses are kept at the owner.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: ExecutionId,
        outcome: outcome::RequestOutcome,
        response: Option<StoredResponse>,
    ) -> Option<RecordUpdate> {
        let at = self.issued.get(&id).copied()?;
        let concluded = match outcome {
            outcome::RequestOutcome::NotRun => Phase::Freed,
            outcome::RequestOutcome::Unknown => Phase::Unknown,
            outcome::RequestOutcome::Run => Phase::Finished(bounded(response)),
        };
        self.change(at, |entry| {
            let execution = entry.execution_mut(id)?;
            if !execution.conclude(concluded) {
                return None;
            }
            if entry.is_free() {
                entry.expires = entry.expires.min(now + FREED_RETENTION);
            }
            let execution = entry.execution(id)?;
            Some(RecordUpdate {
                record: status_record(entry.record(now, execution)),
                to: execution.notify.clone(),
            })
        })?
    }

    /// Takes a record that another member of the chain has sent. The caller has checked that
    /// `from` may be the owner: it isn't known to have expired and its epoch isn't older.
    /// `window` is [`crate::record_window`] of the class.
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
        let at = self.index.get(&request_key(record)).copied();
        let entry = at.and_then(|at| self.entry_mut(at));
        if let Some(execution) = entry.and_then(|entry| entry.execution_mut(record.execution)) {
            execution.issuer = Some(from);
        }
        CopyReply::Stored
    }

    /// Why the owner must not dispatch this execution, if so.
    fn copy_refusal(&self, from: ident::IncarnationId, record: &Record) -> Option<CopyRefusal> {
        let at = self.index.get(&request_key(record))?;
        let entry = self.entry(*at)?;
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
        let begun = time::Instant(now.0.saturating_sub(record.age.0));
        let expires = begun + window;
        if expires <= now {
            return Ok(());
        }
        let key = request_key(record);
        let known = self.index.get(&key).copied();
        if known.is_none() && !self.make_room() {
            // A freed execution that isn't remembered only makes this node more cautious.
            let is_needed = record.state != RecordState::Freed;
            return if is_needed { Err(CopyRefusal::TableFull) } else { Ok(()) };
        }
        let at = known.unwrap_or_else(|| self.insert(key, begun, now));
        self.change(at, |entry| {
            if record.state != RecordState::Freed {
                entry.begun = entry.begun.max(begun);
            }
            entry.merge(record.execution, Phase::from_record(record));
            let end = if entry.is_free() { expires.min(now + FREED_RETENTION) } else { expires };
            entry.expires = entry.expires.max(end);
        });
        Ok(())
    }

    /// Removes records whose window has passed.
    pub fn expire(&mut self, now: time::Instant) {
        while let Some((expires, at)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            if self.entry(at).is_some_and(Entry::is_in_flight) {
                self.change(at, |entry| entry.expires = now + IN_FLIGHT_EXTENSION);
            } else {
                self.remove(at);
            }
        }
    }

    pub(crate) fn entry(&self, at: RecordKey) -> Option<&Entry> {
        self.entries.get(at.0 as usize)?.as_ref()
    }

    fn entry_mut(&mut self, at: RecordKey) -> Option<&mut Entry> {
        self.entries.get_mut(at.0 as usize)?.as_mut()
    }

    /// The entry for `key`, new if there is none.
    fn insert(
        &mut self,
        key: RequestKey,
        begun: time::Instant,
        expires: time::Instant,
    ) -> RecordKey {
        if let Some(at) = self.index.get(&key) {
            return *at;
        }
        let entry = Some(Entry::new(key.clone(), begun, expires));
        let at = match self.vacant.pop() {
            Some(at) => {
                self.entries[at.0 as usize] = entry;
                at
            }
            None => {
                self.entries.push(entry);
                RecordKey(self.entries.len() as u32 - 1)
            }
        };
        self.index.insert(key, at);
        self.expiries.insert((expires, at));
        at
    }

    /// Changes an entry and keeps the indexes by expiry, freed state and response in step.
    pub(crate) fn change<T>(
        &mut self,
        at: RecordKey,
        change: impl FnOnce(&mut Entry) -> T,
    ) -> Option<T> {
        let entry = self.entries.get_mut(at.0 as usize)?.as_mut()?;
        let expires = entry.expires;
        let bytes = entry.response_bytes();
        let changed = change(entry);
        if entry.expires != expires {
            self.expiries.remove(&(expires, at));
            self.expiries.insert((entry.expires, at));
        }
        if entry.is_free() {
            self.freed.insert(at);
        } else {
            self.freed.remove(&at);
        }
        self.response_bytes = self.response_bytes + entry.response_bytes() - bytes;
        if entry.response_bytes() > 0 && entry.response_order.is_none() {
            entry.response_order = Some(self.next_response);
            self.responses.insert(self.next_response, at);
            self.next_response += 1;
        }
        self.reduce_responses();
        Some(changed)
    }

    fn reduce_responses(&mut self) {
        while self.response_bytes > MAX_TOTAL_RESPONSE_BYTES {
            let Some((_, at)) = self.responses.pop_first() else { return };
            let Some(entry) = self.entry_mut(at) else { continue };
            let bytes = entry.response_bytes();
            entry.response_order = None;
            entry.reduce_responses();
            self.response_bytes -= bytes;
        }
    }

    pub(crate) fn remove(&mut self, at: RecordKey) {
        let Some(entry) = self.entries.get_mut(at.0 as usize).and_then(Option::take) else {
            return;
        };
        self.vacant.push(at);
        self.index.remove(&entry.key);
        self.expiries.remove(&(entry.expires, at));
        self.freed.remove(&at);
        self.response_bytes -= entry.response_bytes();
        if let Some(order) = entry.response_order {
            self.responses.remove(&order);
        }
        for execution in &entry.executions {
            self.issued.remove(&execution.id);
        }
    }

    /// Whether there is room for one more record, if need be by forgetting a freed one.
    fn make_room(&mut self) -> bool {
        if self.index.len() < self.capacity {
            return true;
        }
        let Some(at) = self.freed.first().copied() else { return false };
        self.remove(at);
        true
    }
}

/// What the records already decide about a request.
fn decide(entry: &Entry) -> Option<RecordDecision> {
    if let Some(response) = entry.response() {
        return Some(RecordDecision::Stored(response.clone()));
    }
    if entry.has_local() {
        return Some(RecordDecision::InFlight);
    }
    (!entry.is_free()).then_some(RecordDecision::Unknown)
}

fn request_key(record: &Record) -> RequestKey {
    RequestKey {
        class: Arc::clone(&record.class),
        hash: record.hash,
        idempotency_key: Arc::clone(&record.idempotency_key),
    }
}

/// The response, or only its status if it is too large to keep.
fn bounded(response: Option<StoredResponse>) -> StoredResponse {
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
