//! Takeover of ranges and transfer of their records between members of a chain.

use std::ops::Bound;
use std::sync::Arc;

use cornelridge_model::{ident, outcome, time};
use thiserror::Error;

use crate::entry::{Phase, RequestEntry, RequestKey};
use crate::record::{
    CopyRefusal, ExecutionId, Record, RecordBatch, RecordCursor, RecordRange, RecordState,
    RecordUpdate,
};
use crate::sync::{SyncState, effective_state};
use crate::table::{EntryIndex, RecordTable};

/// Size in bytes after which a batch ends; another response of 16 KiB still fits a frame of 64 KiB.
const BATCH_TARGET_BYTES: usize = 40 * 1_024;
/// Size in bytes of a record on the wire apart from its strings and its response.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Changes made by a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeoverChanges {
    /// Number of executions of earlier owners that became unknown.
    pub unknown_executions: usize,
    /// Executions of this node that were waiting for copies and have been given up.
    pub given_up: Vec<RecordUpdate>,
}

/// Why a batch wasn't applied; the range doesn't become synced.
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
    /// Marks a range that no node has served before as synced, since there are no records of it.
    pub fn mark_new(&mut self, range: &RecordRange) {
        self.sync.update(range, |_| SyncState::Synced);
    }

    /// Starts to fetch the records of a range from `from`, after this node has joined the chain.
    /// The sender must reply under a document that names this node in the chain, so that later
    /// records are copied here.
    pub fn begin_sync(&mut self, range: &RecordRange, from: ident::IncarnationId) {
        self.sync.update(range, |state| match state {
            SyncState::Missing | SyncState::Syncing(_) => SyncState::Syncing(from),
            other => other,
        });
    }

    /// Takes over a range from earlier owners. Executions that were started and not finished become
    /// unknown. Without the records, non-idempotent requests are refused until `window` has passed;
    /// after that, no missing record can still be valid.
    pub fn take_over(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        window: time::Duration,
    ) -> TakeoverChanges {
        self.expire(now);
        let given_up = self.stop_serving(now, range);
        let mut unknown_executions = 0;
        for index in self.indices_in(range, None) {
            self.update_entry(index, |entry| unknown_executions += mark_started_unknown(entry));
        }
        self.sync.update(range, |state| match effective_state(now, state) {
            SyncState::Missing | SyncState::Syncing(_) => SyncState::UnsyncedUntil(now + window),
            other => other,
        });
        TakeoverChanges { unknown_executions, given_up }
    }

    /// Ends the service of a range. Executions that wait for copies are given up; those in flight
    /// still end through `finish`.
    pub fn stop_serving(&mut self, now: time::Instant, range: &RecordRange) -> Vec<RecordUpdate> {
        let indices = self.indices_in(range, None);
        let entries = indices.iter().filter_map(|index| self.entry(*index));
        let replicating = entries.flat_map(replicating_executions).collect::<Vec<_>>();
        let give_up = |id| self.finish(now, id, outcome::RequestOutcome::NotRun, None);
        replicating.into_iter().filter_map(give_up).collect()
    }

    /// Removes the records of a range after this node has left its chain and all its moves are
    /// settled. Records of executions that this node has in flight are kept.
    pub fn remove_range(&mut self, range: &RecordRange) {
        for index in self.indices_in(range, None) {
            if self.entry(index).is_some_and(|entry| !entry.has_pending()) {
                self.remove(index);
            }
        }
        self.sync.update(range, |_| SyncState::Missing);
    }

    /// Marks a range whose later records no longer reach this node, because its lease has ended.
    /// The known records are kept, but have to be fetched again before they count as complete.
    pub fn mark_incomplete(&mut self, range: &RecordRange) {
        self.sync.update(range, |_| SyncState::Missing);
    }

    /// Returns records of a range for `to`, which is also notified when executions in flight end.
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
        for index in self.indices_in(range, after) {
            if bytes >= BATCH_TARGET_BYTES {
                next = records.last().map(cursor);
                break;
            }
            let added = self.update_entry(index, |entry| {
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

    /// Applies a batch of records of a range. After a complete last batch, the range is synced.
    pub fn apply_batch(
        &mut self,
        now: time::Instant,
        range: &RecordRange,
        from: ident::IncarnationId,
        batch: &RecordBatch,
        window: time::Duration,
    ) -> Result<(), BatchError> {
        self.expire(now);
        let applied = self.apply_records(now, range, batch, window);
        if applied.is_ok() && batch.next.is_some() {
            return Ok(());
        }
        let next_state = if applied.is_ok() { SyncState::Synced } else { SyncState::Missing };
        self.sync.update(range, |state| match state {
            SyncState::Syncing(sender) if sender == from => next_state,
            SyncState::UnsyncedUntil(_) if applied.is_ok() => SyncState::Synced,
            other => other,
        });
        applied
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

    /// Returns the indices of the entries of a range in order, after the cursor if there is one.
    fn indices_in(&self, range: &RecordRange, after: Option<&RecordCursor>) -> Vec<EntryIndex> {
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
        let from_start = self.by_key.range((start, Bound::Unbounded));
        let in_range = from_start.take_while(|(key, _)| range.contains(&key.class, key.hash));
        in_range.map(|(_, index)| *index).collect()
    }
}

fn mark_started_unknown(entry: &mut RequestEntry) -> usize {
    let mut changed = 0;
    for execution in &mut entry.executions {
        if matches!(execution.phase, Phase::Started) {
            execution.phase = Phase::Unknown;
            changed += 1;
        }
    }
    changed
}

fn replicating_executions(entry: &RequestEntry) -> impl Iterator<Item = ExecutionId> + '_ {
    let is_replicating = |phase: &Phase| matches!(phase, Phase::Replicating(_));
    entry
        .executions
        .iter()
        .filter(move |execution| is_replicating(&execution.phase))
        .map(|execution| execution.id)
}

fn add_listener(entry: &mut RequestEntry, to: ident::IncarnationId) {
    for execution in entry.executions.iter_mut().filter(|execution| execution.phase.is_pending()) {
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
