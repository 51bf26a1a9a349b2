//! Registration of the node: maintains its entry in the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cornelridge_fleet::era;
use cornelridge_fleet::member;
use cornelridge_fleet::registration;
use cornelridge_model::time;
use cornelridge_store::items;
use event_listener::Event;

use crate::backoff;
use crate::clock;
use crate::follow;
use crate::planning;
use crate::view;
use crate::worker;

/// Longest wait for the worker's first report before the entry is written: a report interval and
/// the start of a slow host.
const MAX_WORKER_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Interval between two checks for the configuration and the worker's first report.
const WORKER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Highest number of changes that write the ranges of the worker again. Each has about four ranges
/// at least, and conflicts with those of other nodes cost one each.
const MAX_RESTORE_COMMITS: u32 = 100;
/// Delay after a conflict with another node that writes its worker's ranges again.
const RESTORE_CONFLICT_DELAY: time::Duration = time::Duration::from_millis(10);

/// Writes and renews the node's entry in the store.
pub(crate) struct EntrySession {
    pub(crate) store: Arc<dyn items::ItemStore>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    /// Service of the worker beside the node.
    pub(crate) service: Arc<str>,
    /// The entry as at the start of the node; only its worker and state change later.
    pub(crate) base: member::MemberEntry,
    /// Notified when the entry may have to change.
    pub(crate) changed: Arc<Event>,
    /// Whether the node is shutting down.
    pub(crate) is_leaving: Arc<AtomicBool>,
}

/// State of the entry in the store, as known to the node.
#[derive(Clone, Debug, Default)]
struct EntryState {
    lease: items::LeaseNumber,
    renew_at: time::Instant,
    revision: u64,
    written: Option<member::MemberEntry>,
    /// Whether the record of the host was written with the entry, which comes before any grant.
    is_recorded: bool,
    /// Whether the record in the store doesn't name the worker that left last.
    is_departure_due: bool,
    /// Whether all ranges were read after the entry was written.
    is_view_read: bool,
    /// Era of the store in which the entry is registered.
    era: u64,
}

/// The next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionStep {
    OpenLease,
    WriteEntry,
    RenewLease,
    ReadView,
}

impl EntryState {
    /// Returns whether the record of the host has to be written with the entry.
    fn is_record_due(&self, may_hold_keys: bool) -> bool {
        self.is_departure_due || (may_hold_keys && !self.is_recorded)
    }

    /// Returns the next call that is due; `may_hold_keys` tells whether the worker may be granted
    /// keys.
    fn next_step(
        &self,
        now: time::Instant,
        entry: &member::MemberEntry,
        may_hold_keys: bool,
    ) -> Option<SessionStep> {
        if self.lease.0 == 0 {
            return Some(SessionStep::OpenLease);
        }
        if self.written.as_ref() != Some(entry) || self.is_record_due(may_hold_keys) {
            return Some(SessionStep::WriteEntry);
        }
        if now >= self.renew_at {
            return Some(SessionStep::RenewLease);
        }
        (may_hold_keys && !self.is_view_read).then_some(SessionStep::ReadView)
    }
}

impl EntrySession {
    /// Maintains the entry until the process ends.
    pub(crate) async fn run(self) {
        let started = clock::now();
        let mut state = EntryState::default();
        let mut has_failed = false;
        let mut backoff = backoff::StoreBackoff::default();
        loop {
            let changed = self.changed.listen();
            let era = self.view.observe_era(&*self.store);
            if era != state.era {
                self.reset(&mut state);
                state.era = era;
            }
            if self.is_removed(&state) {
                log::warn!(
                    revision = state.revision;
                    "this node's entry was removed; writing it again"
                );
                self.reset(&mut state);
            }
            self.local_worker.restore(&self.view);
            let entry = self.entry();
            state.is_departure_due = !self.local_worker.grants().is_departure_recorded();
            if state.lease.0 == 0 && self.should_await_worker(started) {
                clock::timeout(WORKER_CHECK_INTERVAL, changed).await;
                continue;
            }
            let may_hold_keys = self.may_hold_keys().unwrap_or(true);
            let Some(step) = state.next_step(clock::now(), &entry, may_hold_keys) else {
                clock::timeout_at(state.renew_at, changed).await;
                continue;
            };
            let result = match step {
                SessionStep::OpenLease => self.open_lease(&mut state).await,
                SessionStep::WriteEntry => {
                    let is_record_due = state.is_record_due(may_hold_keys);
                    self.write_entry(&mut state, entry, is_record_due).await
                }
                SessionStep::RenewLease => self.renew_lease(&mut state).await,
                SessionStep::ReadView => self.read_view(&mut state).await,
            };
            let Err(error) = result else {
                if has_failed {
                    log::info!(
                        node:% = self.base.node;
                        "store recovered: this node's calls succeed again"
                    );
                    self.view.store_recovered.notify(usize::MAX);
                }
                has_failed = false;
                backoff.reset();
                continue;
            };
            log::warn!(
                error:% = error, step:? = step, node:% = self.base.node;
                "failed to write or renew this node's entry; retrying"
            );
            has_failed = true;
            if self.view.observe_era(&*self.store) != state.era {
                continue;
            }
            if error == items::ItemError::LeaseEnded {
                self.reset(&mut state);
            }
            backoff.wait().await;
        }
    }

    /// Returns whether the worker beside the node may be granted keys, or `None` before a
    /// configuration is known.
    fn may_hold_keys(&self) -> Option<bool> {
        let config = self.view.config()?;
        Some(config.config.is_divided(&self.service))
    }

    /// Returns whether the first write of the entry should wait. Without a configuration the node
    /// serves nobody, and before the record of the host is read its worker may be one that left.
    /// Without keys the entry waits for the worker's first report, so that it is written once; the
    /// keys of a worker depend on the entry, and don't wait.
    fn should_await_worker(&self, started: time::Instant) -> bool {
        let age = clock::now().since(started);
        match self.may_hold_keys() {
            None => true,
            Some(_) if !self.view.is_loaded.load(Ordering::Relaxed) => true,
            Some(true) => false,
            Some(false) => {
                age < MAX_WORKER_WAIT && self.local_worker.grants().reported_at().is_none()
            }
        }
    }

    /// Resets the state after the entry was lost, so that registration starts over.
    fn reset(&self, state: &mut EntryState) {
        self.local_worker.registration().lost();
        *state = EntryState { era: state.era, ..EntryState::default() };
    }

    /// Returns the entry that the store should hold.
    fn entry(&self) -> member::MemberEntry {
        let worker = {
            let grants = self.local_worker.grants();
            let is_reporting = grants.is_reporting(clock::now());
            grants.current_report().map(|report| member::MemberWorker {
                name: report.name.clone(),
                service: Arc::clone(&report.service),
                slots: report.slots,
                state: report.state,
                is_reporting,
            })
        };
        let state = match self.is_leaving.load(Ordering::Relaxed) {
            true => member::MemberState::Leaving,
            false => member::MemberState::Serving,
        };
        member::MemberEntry { worker, state, ..self.base.clone() }
    }

    /// Returns whether the view shows that the entry was removed after it was written.
    fn is_removed(&self, state: &EntryState) -> bool {
        state.revision > 0
            && self.view.revision() > state.revision
            && self.view.directory().get(&self.base.node).is_none()
    }

    async fn open_lease(&self, state: &mut EntryState) -> Result<(), items::ItemError> {
        state.lease = self.store.open_lease(registration::ENTRY_TTL.to_std()).await?;
        state.renew_at = clock::now() + registration::RENEW_INTERVAL;
        self.check_era(state)
    }

    /// Reads all items. Changes that other nodes made while this node had no entry must be known
    /// before keys are granted.
    async fn read_view(&self, state: &mut EntryState) -> Result<(), items::ItemError> {
        let revision = follow::read_all(&*self.store, &self.view).await?;
        self.check_era(state)?;
        if era::of_revision(revision) > 0 {
            self.restore_ranges(state.era).await?;
        }
        self.local_worker.registration().ranges_loaded_in(state.era);
        state.is_view_read = true;
        log::info!(
            node:% = self.base.node, run = self.base.run, lease = state.lease.0,
            revision = state.revision; "this node's entry is in the store"
        );
        Ok(())
    }

    /// Fails if an era has begun after the one in which the node registers.
    fn check_era(&self, state: &EntryState) -> Result<(), items::ItemError> {
        match self.view.observe_era(&*self.store) == state.era {
            true => Ok(()),
            false => Err(items::ItemError::LeaseEnded),
        }
    }

    /// Writes the ranges again that the worker holds by grants of earlier eras. What another node
    /// has written meanwhile is read with the conflict.
    async fn restore_ranges(&self, era: u64) -> Result<(), items::ItemError> {
        for attempt in 0..MAX_RESTORE_COMMITS {
            let change = {
                let record = self.view.directory().record_revision(&self.base.node);
                let (ranges, max_ops) = (self.view.ranges(), self.view.eras().max_change_ops());
                self.local_worker.grants().restore(clock::now(), &ranges, record, max_ops)
            };
            let Some(change) = change else { return Ok(()) };
            let transaction = planning::transaction_of(&change)?;
            match self.store.commit_in(era, &transaction).await? {
                items::CommitOutcome::Committed(revision) => {
                    planning::record_change(&self.view, &change, revision);
                }
                items::CommitOutcome::Conflict(items) => {
                    log::info!(
                        service:% = change.service, attempt, conflicts = items.len();
                        "range not written again: conflict with a change by another node"
                    );
                    items.iter().for_each(|item| follow::apply_item(&self.view, item));
                    clock::sleep(RESTORE_CONFLICT_DELAY).await;
                }
            }
        }
        log::warn!(node:% = self.base.node; "not all ranges of the worker written again");
        Ok(())
    }

    /// Writes the entry and, if it is due, the record of the host. The record then has a new
    /// revision, so that takeovers of this worker's keys that were decided before fail.
    async fn write_entry(
        &self,
        state: &mut EntryState,
        entry: member::MemberEntry,
        is_record_due: bool,
    ) -> Result<(), items::ItemError> {
        let node = &self.base.node;
        let (key, record_key) = (follow::member_key(node), follow::record_key(node));
        let value = items::encode(&entry)?;
        let record = member::HostRecord { departed: self.local_worker.grants().departure() };
        let record_value = items::encode(&record)?;
        let mut record_revision = self.view.directory().record_revision(node);
        loop {
            let mut transaction = items::ItemTransaction {
                expected: vec![(Arc::clone(&key), state.revision)],
                writes: vec![items::ItemWrite {
                    key: Arc::clone(&key),
                    value: value.clone(),
                    lease: state.lease,
                }],
                removals: Vec::new(),
            };
            if is_record_due {
                transaction.expected.push((Arc::clone(&record_key), record_revision));
                transaction.writes.push(items::ItemWrite {
                    key: Arc::clone(&record_key),
                    value: record_value.clone(),
                    lease: items::LeaseNumber::default(),
                });
            }
            let sent = clock::now();
            match self.store.commit_in(state.era, &transaction).await? {
                items::CommitOutcome::Committed(revision) => {
                    if state.written.is_none() {
                        self.local_worker.registration().registered(sent);
                    }
                    state.revision = revision;
                    state.written = Some(entry.clone());
                    if is_record_due {
                        state.is_recorded = true;
                        self.record_written(state, &record, revision);
                    }
                    self.view.directory().set(entry, revision);
                    self.view.refresh_pins();
                    self.view.notify();
                    return Ok(());
                }
                // The entry of an earlier run, or a write of this run whose reply was lost.
                items::CommitOutcome::Conflict(items) => {
                    self.check_era(state)?;
                    let revision_of = |key: &Arc<str>| {
                        let item = items.iter().find(|item| item.key == *key);
                        item.map_or(0, |item| item.revision)
                    };
                    state.revision = revision_of(&key);
                    record_revision = revision_of(&record_key);
                }
            }
        }
    }

    /// Applies the record that was written, and wakes the calls of the worker that wait for it.
    fn record_written(&self, state: &EntryState, record: &member::HostRecord, revision: u64) {
        let node = &self.base.node;
        self.view.directory().set_record(clock::now(), node, record.clone(), revision);
        self.local_worker.restore(&self.view);
        if let Some(departed) = record.departed.as_ref().filter(|_| state.is_departure_due) {
            log::info!(worker:% = departed.id, revision; "departure recorded in the store");
        }
        self.local_worker.notify();
    }

    async fn renew_lease(&self, state: &mut EntryState) -> Result<(), items::ItemError> {
        let sent = clock::now();
        state.renew_at = sent + registration::RENEW_INTERVAL;
        self.store.renew_lease(state.lease).await?;
        // A lease of an earlier era may have the number of another one.
        self.check_era(state)?;
        self.local_worker.registration().renewed(sent);
        Ok(())
    }
}
