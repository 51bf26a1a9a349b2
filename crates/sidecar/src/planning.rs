//! Commits due changes of ranges: those of the node's own worker, and those planned for all.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cornelridge_fleet::era;
use cornelridge_fleet::plan;
use cornelridge_model::time;
use cornelridge_store::items;

use crate::clock;
use crate::follow;
use crate::loads;
use crate::meter;
use crate::view;
use crate::worker;

/// Longest time between two checks of the ranges.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time for which keys must have had no owner before they are assigned one, since the entries of
/// nodes that start together arrive one after the other.
const UNOWNED_DELAY: time::Duration = time::Duration::from_millis(600);
/// The same time for keys that never had an owner. Slow hosts take about a second to start, and
/// their workers' first reports another second.
const LAYOUT_DELAY: time::Duration = time::Duration::from_millis(2_500);
/// Additional delay per member ranked before this one, so that usually only the first member
/// commits a change, and the next one does if the first doesn't.
const RANK_DELAY: time::Duration = time::Duration::from_millis(1_200);
/// Number of members that plan; the others commit only the changes that are theirs alone. When all
/// of these are lost, their entries end and others take their places.
const PLANNER_COUNT: usize = 4;
/// Number of ranks added for a node that reaches few others, since its plans may be wrong for the
/// rest of the deployment.
const ISOLATED_RANK_OFFSET: u64 = 3;
/// Time after a change until polled loads reflect it.
const LOAD_LAG: time::Duration = time::Duration::from_millis(700);
/// Time for which a node may write the lost record of its host again before another one does: it
/// registers within about a second.
const RECORD_DELAY: time::Duration = time::Duration::from_millis(2_000);
/// Delay after a change that was not committed.
const CONFLICT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Plans and commits changes of ranges.
pub(crate) struct RangePlanner {
    pub(crate) node: Arc<str>,
    pub(crate) store: Arc<dyn items::ItemStore>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) loads: Arc<Mutex<loads::LoadSnapshot>>,
}

impl RangePlanner {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let (mut evacuation_since, mut due_since) = (None, None);
        let mut changed_at = clock::now();
        loop {
            let changed = self.view.changed();
            // Changes aren't decided before the items of a new era have been read.
            if self.view.observe_era(&*self.store) != self.view.ranges().era() {
                (evacuation_since, due_since) = (None, None);
                clock::timeout(CHECK_INTERVAL, changed).await;
                continue;
            }
            self.commit_local_changes().await;
            self.remove_abandoned_records().await;
            self.restore_records().await;
            let era = self.view.ranges().era();
            let changes = self.plan(changed_at).into_iter();
            // The delays of other changes don't hold up the evacuation of a zone.
            let (evacuations, others): (Vec<_>, Vec<_>) =
                changes.partition(|change| change.reason == plan::ChangeReason::Evacuation);
            let has_evacuated = self.commit_due(era, evacuations, &mut evacuation_since).await;
            if self.commit_due(era, others, &mut due_since).await || has_evacuated {
                changed_at = clock::now();
                continue;
            }
            clock::timeout(CHECK_INTERVAL, changed).await;
        }
    }

    /// Commits changes that were decided in `era` and have been due for long enough; `since` is the
    /// time from which any have been due. Returns whether they were committed.
    async fn commit_due(
        &self,
        era: u64,
        changes: Vec<plan::RangeChange>,
        since: &mut Option<time::Instant>,
    ) -> bool {
        if changes.is_empty() {
            *since = None;
            return false;
        }
        let due = *since.get_or_insert(clock::now());
        if clock::now().since(due) < self.delay(&changes) {
            return false;
        }
        for change in changes {
            self.commit(era, &change).await;
        }
        true
    }

    /// Returns how long changes must have been due before this node commits them.
    fn delay(&self, changes: &[plan::RangeChange]) -> time::Duration {
        let rank = self.rank();
        let delays = changes.iter().map(|change| match change.reason {
            // A layout that has been started is completed without delay.
            plan::ChangeReason::Layout if change.layout == Some(0) => LAYOUT_DELAY,
            plan::ChangeReason::Unowned => UNOWNED_DELAY,
            _ => time::Duration::ZERO,
        });
        delays.max().unwrap_or_default() + RANK_DELAY.saturating_mul(rank)
    }

    /// Returns the number of nodes that commit changes before this one.
    fn rank(&self) -> u64 {
        let snapshot = view::lock(&self.loads).clone();
        let rank = self.view.directory().rank_excluding(&self.node, &snapshot.unreachable) as u64;
        if snapshot.is_isolated { rank + ISOLATED_RANK_OFFSET } else { rank }
    }

    /// Commits the changes that only this node may make.
    async fn commit_local_changes(&self) {
        self.local_worker.restore(&self.view);
        let (era, eras) = (self.view.ranges().era(), self.view.eras());
        let changes: Vec<plan::RangeChange> = {
            let record = self.view.directory().record_revision(&self.node);
            let ranges = self.view.ranges();
            let mut grants = self.local_worker.grants();
            let services = ranges.services();
            services
                .flat_map(|(service, rows)| {
                    grants.settle(clock::now(), service, rows, record, &eras)
                })
                .collect()
        };
        for change in changes {
            self.commit(era, &change).await;
        }
    }

    /// Removes the records of hosts that are gone, at the first member.
    async fn remove_abandoned_records(&self) {
        if self.rank() > 0 {
            return;
        }
        let era = self.view.ranges().era();
        let abandoned = self.view.directory().abandoned_records(clock::now());
        for (node, revision) in abandoned {
            let key = follow::record_key(&node);
            let transaction = items::ItemTransaction {
                expected: vec![(follow::member_key(&node), 0), (Arc::clone(&key), revision)],
                writes: Vec::new(),
                removals: vec![key],
            };
            match self.store.commit_in(era, &transaction).await {
                Ok(items::CommitOutcome::Committed(revision)) => {
                    self.view.directory().remove_record(&node, revision);
                    log::info!(node:% = node, revision; "record of a host that is gone removed");
                }
                Ok(items::CommitOutcome::Conflict(items)) => {
                    items.iter().for_each(|item| follow::apply_item(&self.view, item));
                }
                Err(error) => {
                    log::warn!(node:% = node, error:% = error; "record of a host not removed");
                    return clock::sleep(CONFLICT_DELAY).await;
                }
            }
        }
    }

    /// Writes the records of hosts again that the store has lost, for nodes that don't do so
    /// themselves: they may have restarted meanwhile, and know nothing of a departure.
    async fn restore_records(&self) {
        let era = self.view.ranges().era();
        let delay = RECORD_DELAY + RANK_DELAY.saturating_mul(self.rank());
        let lost = self.view.directory().lost_records(clock::now(), delay);
        for (node, record, known) in lost {
            let key = follow::record_key(&node);
            let Ok(value) = items::encode(&record) else { return };
            let lease = items::LeaseNumber::default();
            let transaction = items::ItemTransaction {
                expected: vec![(Arc::clone(&key), known)],
                writes: vec![items::ItemWrite { key, value, lease }],
                removals: Vec::new(),
            };
            match self.store.commit_in(era, &transaction).await {
                Ok(items::CommitOutcome::Committed(revision)) => {
                    self.view.directory().set_record(clock::now(), &node, record, revision);
                    log::info!(node:% = node, revision; "lost record of a host written again");
                }
                Ok(items::CommitOutcome::Conflict(items)) => {
                    items.iter().for_each(|item| follow::apply_item(&self.view, item));
                }
                Err(error) => {
                    log::warn!(node:% = node, error:% = error; "lost record of a host not written");
                    return clock::sleep(CONFLICT_DELAY).await;
                }
            }
        }
    }

    fn plan(&self, changed_at: time::Instant) -> Vec<plan::RangeChange> {
        let is_planner = self.view.directory().is_among_first(&self.node, PLANNER_COUNT);
        let Some(config) = self.view.config().filter(|_| is_planner) else { return Vec::new() };
        let services = config.config.services.iter();
        let divided: Vec<Arc<str>> = services
            .filter(|service| config.config.is_divided(&service.name))
            .map(|service| Arc::clone(&service.name))
            .collect();
        let is_first = self.rank() == 0;
        let ranges = self.view.ranges();
        let snapshot = view::lock(&self.loads).clone();
        let mut input = plan::PlanInput {
            divided: &divided,
            directory: &mut self.view.directory(),
            table: &ranges,
            loads: &snapshot.view,
            evacuations: &self.view.evacuations().clone(),
            unreachable: &snapshot.unreachable,
            // Loads from before the last change don't apply to the current ranges.
            may_balance: is_first && snapshot.polled_at > changed_at + LOAD_LAG,
            era: self.view.eras(),
        };
        plan::plan(clock::now(), &mut input)
    }

    /// Commits a change that was decided in `era`.
    async fn commit(&self, era: u64, change: &plan::RangeChange) {
        let result = match transaction_of(change) {
            Ok(transaction) => self.store.commit_in(era, &transaction).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(items::CommitOutcome::Committed(revision)) => {
                record_change(&self.view, change, revision);
            }
            Ok(items::CommitOutcome::Conflict(items)) => {
                log::info!(
                    service:% = change.service, reason:% = change.reason, conflicts = items.len();
                    "range not changed: conflict with a change by another node"
                );
                items.iter().for_each(|item| follow::apply_item(&self.view, item));
                clock::sleep(CONFLICT_DELAY).await;
            }
            Err(error) => {
                log::warn!(
                    service:% = change.service, reason:% = change.reason, error:% = error;
                    "range not changed"
                );
                clock::sleep(CONFLICT_DELAY).await;
            }
        }
    }
}

/// Applies a change that is in the store to the view, counts and logs it.
pub(crate) fn record_change(view: &view::FleetView, change: &plan::RangeChange, revision: u64) {
    let mut ranges = view.ranges();
    if era::of_revision(revision) == ranges.era() {
        let ranges = ranges.service_mut(&change.service);
        for row in &change.writes {
            ranges.set(row.clone(), revision);
        }
        if change.layout.is_some() {
            ranges.layout_revision = ranges.layout_revision.max(revision);
        }
    }
    drop(ranges);
    view.notify();
    let reason = change.reason.to_string();
    metrics::counter!(meter::RANGE_CHANGES, "reason" => reason).increment(1);
    for row in &change.writes {
        log::info!(
            service:% = change.service, first = row.first, last = row.last,
            fence = row.fence, revision, reason:% = change.reason,
            owner = row.owner.as_ref().map_or("none", |owner| &*owner.worker.0),
            successor = row.successor.as_ref().map_or("none", |to| &*to.worker.0),
            is_warm = !row.handover.is_empty();
            "range changed"
        );
    }
}

/// Returns the transaction that commits a change.
pub(crate) fn transaction_of(
    change: &plan::RangeChange,
) -> Result<items::ItemTransaction, items::ItemError> {
    let service = &change.service;
    let rows = change.expected.iter();
    let mut expected: Vec<(Arc<str>, u64)> =
        rows.map(|(first, revision)| (follow::range_key(service, *first), *revision)).collect();
    expected.extend(change.absent.iter().map(|node| (follow::member_key(node), 0)));
    let records = change.records.iter();
    expected.extend(records.map(|(node, revision)| (follow::record_key(node), *revision)));
    let mut writes = Vec::new();
    for row in &change.writes {
        writes.push(items::ItemWrite {
            key: follow::range_key(service, row.first),
            value: items::encode(row)?,
            lease: items::LeaseNumber::default(),
        });
    }
    if let Some(layout) = change.layout {
        let key = follow::layout_key(service);
        expected.push((Arc::clone(&key), layout));
        let value = Bytes::from_static(b"{}");
        writes.push(items::ItemWrite { key, value, lease: items::LeaseNumber::default() });
    }
    Ok(items::ItemTransaction { expected, writes, removals: Vec::new() })
}
