//! Takeover of ranges and transfer of their records between members of a chain.

use std::ops::Bound;
use std::sync::Arc;

use cornelridge_model::{ident, outcome, time};
use thiserror::Error;

use crate::entry::{Entry, Phase, RequestKey};
use crate::record::{
    CopyRefusal, ExecutionId, Record, RecordBatch, RecordCursor, RecordRange, RecordState,
    RecordUpdate,
};
use crate::sync::{SyncState, settled};
use crate::table::{RecordKey, RecordTable};

/// Bytes after which a batch ends; a response of 16 KiB more still fits a frame of 64 KiB.
const BATCH_TARGET_BYTES: usize = 40 * 1_024;
/// Bytes of a record on the wire apart from its texts.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// What a takeover changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeoverChanges {
    /// Executions of earlier owners that are now unknown.
    pub unknown_executions: usize,
    /// Executions of this node that were waiting for copies and have been given up.
    pub given_up: Vec<RecordUpdate>,
}

/// Why a batch wasn't taken; the range doesn't become synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The table is full.
    #[error("the table of at-most-once records is full: retry after records have expired")]
    TableFull,
    /// The sender lacks records of the range.
    #[error("the sender lacks records of the range: ask another member of the chain")]
    Incomplete,
    /// The batch has a record that is invalid or outside the range.
    #[error("the batch has an invalid record: ask another member of the chain")]
    Invalid,
}

impl RecordTable {
    /// Declares a range that no node has served before, so that there are no records of it.
    pub fn mark_new(&mut self, range: &RecordRange) {
        self.sync.update(range, |_| SyncState::Synced);
    }

    /// This node has joined a chain and fetches the records from `from`. The sender must reply
    /// from a document that names this node in the chain, so that later records are copied here.
    pub fn begin_sync(&mut self, range: &RecordRange, from: ident::IncarnationId) {
        self.sync.update(range, |state| match state {
            SyncState::Missing | SyncState::Syncing(_) => SyncState::Syncing(from),
            held => held,
        });
    }

    /// This node begins to serve a range after the earlier owners. Executions that were started
    /// and not finished become unknown. Without the records, non-idempotent requests are refused
    /// until `window` has passed, after which no missing record could matter.
    pub fn take_over(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        window: time::Duration,
    ) -> TakeoverChanges {
        self.expire(now);
        let given_up = self.stop_serving(now, range);
        let mut unknown_executions = 0;
        for at in self.keys(range, None) {
            self.change(at, |entry| unknown_executions += make_unknown(entry));
        }
        self.sync.update(range, |state| match settled(now, state) {
            SyncState::Missing | SyncState::Syncing(_) => SyncState::UnsyncedUntil(now + window),
            held => held,
        });
        TakeoverChanges { unknown_executions, given_up }
    }

    /// This node no longer serves a range: executions that wait for copies are given up. Those in
    /// flight are reported through `finish` as before.
    pub fn stop_serving(&mut self, now: time::Instant, range: &RecordRange) -> Vec<RecordUpdate> {
        let keys = self.keys(range, None);
        let entries = keys.iter().filter_map(|at| self.entry(*at));
        let waiting = entries.flat_map(waiting_executions).collect::<Vec<_>>();
        let free = |id| self.finish(now, id, outcome::RequestOutcome::NotRun, None);
        waiting.into_iter().filter_map(free).collect()
    }

    /// This node has left the chain of a range and no move of it is unsettled. Records of
    /// executions that it has in flight are kept.
    pub fn remove_range(&mut self, range: &RecordRange) {
        for at in self.keys(range, None) {
            if self.entry(at).is_some_and(|entry| !entry.has_local()) {
                self.remove(at);
            }
        }
        self.sync.update(range, |_| SyncState::Missing);
    }

    /// Later records of a range no longer reach this node, because its lease has ended. The records
    /// that it has are kept, but they have to be fetched again before they count as complete.
    pub fn mark_incomplete(&mut self, range: &RecordRange) {
        self.sync.update(range, |_| SyncState::Missing);
    }

    /// Records of a range for `to`, which is then also told how executions in flight end.
    pub fn read_batch(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        after: Option<&RecordCursor>,
        to: ident::IncarnationId,
    ) -> RecordBatch {
        self.expire(now);
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut next = None;
        for at in self.keys(range, after) {
            if bytes >= BATCH_TARGET_BYTES {
                next = records.last().map(cursor);
                break;
            }
            let added = self.change(at, |entry| {
                add_listener(entry, to);
                entry.records(now)
            });
            let added = added.unwrap_or_default();
            bytes += added.iter().map(wire_size).sum::<usize>();
            records.extend(added);
        }
        let complete = self.sync.is_synced(now, range);
        RecordBatch { records, next, complete }
    }

    /// Takes a batch of a range; after a complete last batch the range is synced.
    pub fn apply_batch(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        from: ident::IncarnationId,
        batch: &RecordBatch,
        window: time::Duration,
    ) -> Result<(), BatchError> {
        self.expire(now);
        let taken = self.apply_records(now, range, batch, window);
        if taken.is_ok() && batch.next.is_some() {
            return Ok(());
        }
        let reached = if taken.is_ok() { SyncState::Synced } else { SyncState::Missing };
        self.sync.update(range, |state| match state {
            SyncState::Syncing(sender) if sender == from => reached,
            SyncState::UnsyncedUntil(_) if taken.is_ok() => SyncState::Synced,
            held => held,
        });
        taken
    }

    fn apply_records(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        batch: &RecordBatch,
        window: time::Duration,
    ) -> Result<(), BatchError> {
        for record in &batch.records {
            if !range.contains(&record.class, record.hash) {
                return Err(BatchError::Invalid);
            }
            self.merge(now, record, window).map_err(|refusal| match refusal {
                CopyRefusal::TableFull => BatchError::TableFull,
                _ => BatchError::Invalid,
            })?;
        }
        if batch.complete { Ok(()) } else { Err(BatchError::Incomplete) }
    }

    /// Records of a range in order, after the cursor if there is one.
    fn keys(&self, range: &RecordRange, after: Option<&RecordCursor>) -> Vec<RecordKey> {
        let bound = |hash, idempotency_key| RequestKey {
            class: Arc::clone(&range.class),
            hash,
            idempotency_key,
        };
        let start = match after {
            Some(cursor) => {
                Bound::Excluded(bound(cursor.hash, Arc::clone(&cursor.idempotency_key)))
            }
            None => Bound::Included(bound(range.first, "".into())),
        };
        let from_start = self.index.range((start, Bound::Unbounded));
        let in_range = from_start.take_while(|(key, _)| range.contains(&key.class, key.hash));
        in_range.map(|(_, at)| *at).collect()
    }
}

fn make_unknown(entry: &mut Entry) -> usize {
    let mut changed = 0;
    for execution in &mut entry.executions {
        if matches!(execution.phase, Phase::Started) {
            execution.phase = Phase::Unknown;
            changed += 1;
        }
    }
    changed
}

fn waiting_executions(entry: &Entry) -> impl Iterator<Item = ExecutionId> + '_ {
    let is_waiting = |phase: &Phase| matches!(phase, Phase::Replicating(_));
    entry.executions.iter().filter(move |e| is_waiting(&e.phase)).map(|e| e.id)
}

fn add_listener(entry: &mut Entry, to: ident::IncarnationId) {
    for execution in entry.executions.iter_mut().filter(|e| e.phase.is_local()) {
        if !execution.notify.contains(&to) {
            execution.notify.push(to);
        }
    }
}

fn cursor(record: &Record) -> RecordCursor {
    RecordCursor { hash: record.hash, idempotency_key: Arc::clone(&record.idempotency_key) }
}

fn wire_size(record: &Record) -> usize {
    let response = match (&record.response, record.state) {
        (Some(response), RecordState::Finished) => response.size(),
        _ => 0,
    };
    RECORD_OVERHEAD_BYTES + record.class.len() + record.idempotency_key.len() + response
}
