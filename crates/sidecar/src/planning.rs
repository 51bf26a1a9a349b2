//! Makes the changes of ranges that are due: those of the own worker, and those of all.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cornelridge_fleet::plan;
use cornelridge_model::time;
use cornelridge_store::items;

use crate::clock;
use crate::follow;
use crate::loads;
use crate::meter;
use crate::view;
use crate::worker;

/// Longest time between two looks at the ranges.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time that keys must have been without an owner before they get one: entries of nodes that start
/// together arrive one after the other.
const SETTLING: time::Duration = time::Duration::from_millis(600);
/// The same for keys that never had an owner: slow machines take about a second to start, and their
/// workers' first reports another one.
const LAYOUT_SETTLING: time::Duration = time::Duration::from_millis(2_500);
/// Additional time for each member that comes first, so that usually only one node makes a change
/// and the next one steps in when it doesn't.
const RANK_DELAY: time::Duration = time::Duration::from_millis(1_200);
/// Ranks by which a node that reaches few others comes later: what it plans may suit nobody.
const ISOLATED_RANKS: u64 = 3;
/// Age of the last change from which new loads reflect it.
const LOAD_DELAY: time::Duration = time::Duration::from_millis(700);
/// Pause after a change that was not made.
const CONFLICT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Makes changes of ranges.
pub(crate) struct RangePlanner {
    pub(crate) node: Arc<str>,
    pub(crate) store: Arc<dyn items::ItemStore>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) loads: Arc<Mutex<loads::KnownLoads>>,
}

impl RangePlanner {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut due_since = None;
        let mut changed_at = clock::now();
        loop {
            let changed = self.view.changed();
            self.settle().await;
            let changes = self.plan(changed_at);
            if changes.is_empty() {
                due_since = None;
            } else {
                let since = *due_since.get_or_insert(clock::now());
                let delay = self.delay(&changes);
                if clock::now().since(since) >= delay {
                    for change in changes {
                        self.commit(&change).await;
                    }
                    changed_at = clock::now();
                    continue;
                }
            }
            clock::timeout(LOOK_INTERVAL, changed).await;
        }
    }

    /// How long changes must have been due before this node makes them.
    fn delay(&self, changes: &[plan::RangeChange]) -> time::Duration {
        let rank = self.rank();
        let settling = changes.iter().map(|change| match change.reason {
            // Once begun, the layout is completed at once.
            plan::ChangeReason::Layout if change.layout == Some(0) => LAYOUT_SETTLING,
            plan::ChangeReason::Unowned => SETTLING,
            _ => time::Duration::ZERO,
        });
        settling.max().unwrap_or_default() + RANK_DELAY.saturating_mul(rank)
    }

    /// Nodes that make changes before this one.
    fn rank(&self) -> u64 {
        let known = view::lock(&self.loads).clone();
        let rank = self.view.directory().rank_without(&self.node, &known.unreachable) as u64;
        if known.is_isolated { rank + ISOLATED_RANKS } else { rank }
    }

    /// Changes that only this node may make.
    async fn settle(&self) {
        let changes: Vec<plan::RangeChange> = {
            let ranges = self.view.ranges();
            let mut desk = self.local_worker.grants();
            let services = ranges.services();
            services.flat_map(|(service, rows)| desk.settle(clock::now(), service, rows)).collect()
        };
        for change in changes {
            self.commit(&change).await;
        }
    }

    fn plan(&self, changed_at: time::Instant) -> Vec<plan::RangeChange> {
        let Some(config) = self.view.config() else { return Vec::new() };
        let services = config.config.services.iter();
        let divided: Vec<Arc<str>> = services
            .filter(|service| config.config.is_divided(&service.name))
            .map(|service| Arc::clone(&service.name))
            .collect();
        let is_first = self.rank() == 0;
        let ranges = self.view.ranges();
        let known = view::lock(&self.loads).clone();
        let mut input = plan::PlanInput {
            divided: &divided,
            directory: &mut self.view.directory(),
            table: &ranges,
            loads: &known.view,
            unreachable: &known.unreachable,
            // Loads from before the last change say nothing about the present ranges.
            may_balance: is_first && known.asked > changed_at + LOAD_DELAY,
        };
        plan::plan(clock::now(), &mut input)
    }

    async fn commit(&self, change: &plan::RangeChange) {
        let result = match transaction_of(change) {
            Ok(transaction) => self.store.commit(&transaction).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(items::ItemCommit::Done(revision)) => {
                self.apply(change, revision);
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
            Ok(items::ItemCommit::Conflict(items)) => {
                log::info!(
                    service:% = change.service, reason:% = change.reason, conflicts = items.len();
                    "range not changed: another node was first"
                );
                items.iter().for_each(|item| follow::apply_item(&self.view, item));
                clock::sleep(CONFLICT_PAUSE).await;
            }
            Err(error) => {
                log::warn!(service:% = change.service, reason:% = change.reason, error:% = error; "range not changed");
                clock::sleep(CONFLICT_PAUSE).await;
            }
        }
    }

    fn apply(&self, change: &plan::RangeChange, revision: u64) {
        let mut ranges = self.view.ranges();
        let ranges = ranges.service_mut(&change.service);
        for row in &change.writes {
            ranges.set(row.clone(), revision);
        }
        if change.layout.is_some() {
            ranges.layout_revision = ranges.layout_revision.max(revision);
        }
        self.view.notify();
    }
}

fn transaction_of(change: &plan::RangeChange) -> Result<items::ItemTransaction, items::ItemError> {
    let service = &change.service;
    let rows = change.expected.iter();
    let mut expected: Vec<(Arc<str>, u64)> =
        rows.map(|(first, revision)| (follow::range_key(service, *first), *revision)).collect();
    expected.extend(change.absent.iter().map(|node| (follow::member_key(node), 0)));
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
