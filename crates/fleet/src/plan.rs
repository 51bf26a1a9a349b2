//! Planning of key ranges: first layout, takeover, draining and balance.

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelridge_model::time;

use crate::balance;
use crate::era;
use crate::evacuation;
use crate::member;
use crate::range;
use crate::registration;

/// Rows per worker in the first layout: enough to balance the load by moving rows.
const ROWS_PER_WORKER: usize = 6;
/// Highest number of rows in the first layout of a service.
const MAX_LAYOUT_ROWS: usize = 256;
/// Rows written in one change; each takes two operations, see `MAX_TRANSACTION_OPS`.
const ROWS_PER_CHANGE: usize = 14;
/// Highest number of conditions, writes and deletions that the store allows in one transaction.
pub const MAX_TRANSACTION_OPS: usize = 32;
/// Highest number of rows of evacuated zones that one worker gets at once, relative to an even
/// distribution. Each row is a grant call or a part of a reply, so a worker with much room must not
/// get nearly all rows just because most of them are idle.
const MAX_RECEIVED_SHARE: usize = 2;
/// Number of keys of a divided service.
const KEYS: u32 = 65_536;

/// Reason of a change of ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ChangeReason {
    /// Keys get their first ranges.
    #[display("layout")]
    Layout,
    /// A range has no owner.
    #[display("unowned")]
    Unowned,
    /// The node of the owner is lost.
    #[display("takeover")]
    Takeover,
    /// The owner is leaving, or the successor can't take the range.
    #[display("leaving")]
    Leaving,
    /// The zone of the owner is evacuated.
    #[display("evacuation")]
    Evacuation,
    /// The load of the workers is uneven.
    #[display("balance")]
    Balance,
    /// The owner has released the range or has ended.
    #[display("settled")]
    Settled,
    /// The store has lost the row of a range that a worker holds.
    #[display("restored")]
    Restored,
}

/// Atomic change of the ranges of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeChange {
    /// Service of the ranges.
    pub service: Arc<str>,
    /// Reason of the change.
    pub reason: ChangeReason,
    /// Revision that the layout must have. The layout is then written again, so that only one of
    /// several nodes that split ranges at the same time succeeds.
    pub layout: Option<u64>,
    /// Rows that must be unchanged, by first key and revision; the revision is 0 if the row must
    /// not exist.
    pub expected: Vec<(u16, u64)>,
    /// Nodes that must have no entry.
    pub absent: Vec<Arc<str>>,
    /// Host records that must be unchanged, by node and revision. Each registration of a node
    /// whose worker may hold keys changes the record, so a change that was decided before the
    /// registration fails, also when the store applies it late.
    pub records: Vec<(Arc<str>, u64)>,
    /// Rows to write.
    pub writes: Vec<range::RangeRow>,
}

impl RangeChange {
    /// Creates a change that replaces one row.
    pub fn replace_row(
        service: &Arc<str>,
        reason: ChangeReason,
        stored: &range::StoredRow,
        row: range::RangeRow,
    ) -> RangeChange {
        RangeChange {
            service: Arc::clone(service),
            reason,
            layout: None,
            expected: vec![(stored.row.first, stored.revision)],
            absent: Vec::new(),
            records: Vec::new(),
            writes: vec![row],
        }
    }

    /// Returns the number of conditions and writes of the change.
    fn op_count(&self) -> usize {
        let layout = if self.layout.is_some() { 2 } else { 0 };
        let conditions = self.expected.len() + self.absent.len() + self.records.len();
        conditions + self.writes.len() + layout
    }
}

/// Merges consecutive changes with the same reason, as each write triggers the watches of all
/// nodes. A change has at most `max_ops` conditions and writes.
pub fn merge(changes: Vec<RangeChange>, max_ops: usize) -> Vec<RangeChange> {
    let mut merged: Vec<RangeChange> = Vec::new();
    for change in changes {
        let fits = |last: &&mut RangeChange| {
            last.service == change.service
                && last.reason == change.reason
                && last.layout.is_none()
                && change.layout.is_none()
                && last.op_count() + change.op_count() <= max_ops
        };
        match merged.last_mut().filter(fits) {
            Some(last) => {
                last.expected.extend(change.expected);
                last.writes.extend(change.writes);
                for node in change.absent {
                    if !last.absent.contains(&node) {
                        last.absent.push(node);
                    }
                }
                for record in change.records {
                    if !last.records.contains(&record) {
                        last.records.push(record);
                    }
                }
            }
            None => merged.push(change),
        }
    }
    merged
}

/// State on which ranges are planned.
pub struct PlanInput<'a> {
    /// Services whose keys have owners.
    pub divided: &'a [Arc<str>],
    /// Nodes of the deployment.
    pub directory: &'a mut member::MemberDirectory,
    /// Current ranges.
    pub table: &'a range::RangeTable,
    /// Load of rows and capacity of workers.
    pub loads: &'a balance::LoadView,
    /// Zones whose workers give their rows to workers elsewhere.
    pub evacuations: &'a evacuation::EvacuationSet,
    /// Nodes that have an entry but can't be reached by other nodes.
    pub unreachable: &'a BTreeSet<Arc<str>>,
    /// Whether rows may be moved or split to balance the load.
    pub may_balance: bool,
    /// Era of the store. While grants of an earlier one may be in force, keys that have no row of
    /// the current one are left alone.
    pub era: era::EraTracker,
}

/// Returns the changes that are due now.
pub fn plan(now: time::Instant, input: &mut PlanInput<'_>) -> Vec<RangeChange> {
    let mut changes = Vec::new();
    let is_settling = input.era.is_settling(now);
    let is_blocked = |stored: &range::StoredRow| is_settling && era::is_inherited(stored.row.fence);
    for service in input.divided {
        let empty = range::ServiceRanges::default();
        let ranges = input.table.service(service).unwrap_or(&empty);
        let ready = ready_workers(input, service, false);
        // While no worker is elsewhere, rows stay in the evacuated zones.
        let has_receivers = !ready.is_empty();
        let workers = if has_receivers { ready } else { ready_workers(input, service, true) };
        if workers.is_empty() {
            continue;
        }
        let mut loads = balance::WorkerLoads::new(service, ranges, workers, input.loads);
        if ranges.first_gap().is_some() {
            if !is_settling {
                let gap = GapRule {
                    fence: era::min_fence(input.table.era()),
                    max_rows: ROWS_PER_CHANGE.min((input.era.max_change_ops() - 2) / 2),
                };
                changes.push(fill_gap(service, ranges, gap, &mut loads));
            }
            continue;
        }
        let before = changes.len();
        let leaving = match has_receivers {
            true => evacuated_rows(ranges, input),
            false => Vec::new(),
        };
        let leaving: Vec<&range::StoredRow> =
            leaving.into_iter().filter(|stored| !is_blocked(stored)).collect();
        changes.extend(evacuate_rows(service, &leaving, &mut loads));
        let leaves = |first: u16| leaving.binary_search_by_key(&first, |row| row.row.first).is_ok();
        let is_due = |stored: &&range::StoredRow| !leaves(stored.row.first) && !is_blocked(stored);
        for stored in ranges.rows().filter(is_due) {
            changes.extend(reassign_row(now, service, stored, input, &mut loads));
        }
        let moving = ranges.rows().filter(|stored| stored.row.successor.is_some()).count();
        let is_settled = changes.len() == before && moving <= loads.max_concurrent_moves();
        let is_complete = !ranges.rows().any(is_blocked);
        if is_settled && is_complete && has_receivers && input.may_balance {
            changes.extend(balance::rebalance(service, ranges, &mut loads));
        }
    }
    merge(changes, input.era.max_change_ops())
}

/// Returns the workers that take new requests, with the nodes beside them: those in evacuated zones
/// or the others.
fn ready_workers(
    input: &PlanInput<'_>,
    service: &str,
    is_evacuated: bool,
) -> Vec<range::RangeHolder> {
    let members = input.directory.by_service(service);
    members
        .filter(|(entry, worker)| {
            input.evacuations.contains(&entry.zone) == is_evacuated
                && !input.unreachable.contains(&entry.node)
                && entry.state == member::MemberState::Serving
                && worker.state == member::WorkerState::Ready
                && worker.is_reporting
        })
        .map(|(entry, worker)| range::RangeHolder {
            worker: worker.name.clone(),
            node: Arc::clone(&entry.node),
        })
        .collect()
}

/// How rows are added.
#[derive(Clone, Copy)]
struct GapRule {
    /// Fencing token below their first one.
    fence: u64,
    /// Highest number of rows in one change.
    max_rows: usize,
}

/// Returns a change that adds rows from the first key without a row up to the next row, limited as
/// `rule` says.
fn fill_gap(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    rule: GapRule,
    loads: &mut balance::WorkerLoads<'_>,
) -> RangeChange {
    let first = u32::from(ranges.first_gap().unwrap_or_default());
    let end = ranges.rows().map(|stored| u32::from(stored.row.first)).find(|next| *next > first);
    let end = end.unwrap_or(KEYS);
    let rows = (loads.worker_count() * ROWS_PER_WORKER).clamp(1, MAX_LAYOUT_ROWS) as u32;
    let width = KEYS.div_ceil(rows);
    let mut writes = Vec::new();
    let mut next = first;
    while next < end && writes.len() < rule.max_rows {
        let last = (next + width).min(end) - 1;
        let row = range::RangeRow {
            first: next as u16,
            last: last as u16,
            fence: rule.fence,
            owner: None,
            successor: None,
            handover: Arc::default(),
        };
        let owner = loads.assign_least_loaded(f64::from(row.width()));
        writes.push(match owner {
            Some(owner) => row.with_owner(owner, Arc::default()),
            None => row,
        });
        next = last + 1;
    }
    RangeChange {
        service: Arc::clone(service),
        reason: ChangeReason::Layout,
        layout: Some(ranges.layout_revision),
        expected: writes.iter().map(|row| (row.first, 0)).collect(),
        absent: Vec::new(),
        records: Vec::new(),
        writes,
    }
}

/// Returns the changes that give successors elsewhere to the rows of workers in evacuated zones,
/// the rows with the highest load first and each to the worker with the most room. All rows move at
/// once, as their keys are refused when the time for the handover is over.
fn evacuate_rows(
    service: &Arc<str>,
    leaving: &[&range::StoredRow],
    loads: &mut balance::WorkerLoads<'_>,
) -> Vec<RangeChange> {
    let mut rows = leaving.to_vec();
    rows.retain(|stored| {
        let successor = stored.row.successor.as_ref();
        successor.is_none_or(|successor| !loads.is_ready(&successor.worker))
    });
    rows.sort_by(|a, b| loads.row_load(&b.row).total_cmp(&loads.row_load(&a.row)));
    let max_rows = MAX_RECEIVED_SHARE * rows.len().div_ceil(loads.worker_count().max(1));
    let changes = rows.into_iter().filter_map(|stored| {
        let successor = loads.assign_most_room(loads.row_load(&stored.row), max_rows);
        let row = range::RangeRow { successor: Some(successor?), ..stored.row.clone() };
        Some(RangeChange::replace_row(service, ChangeReason::Evacuation, stored, row))
    });
    changes.collect()
}

/// Returns the rows whose owners are in evacuated zones and have a node with an entry. Other rows
/// of these zones are taken over.
fn evacuated_rows<'a>(
    ranges: &'a range::ServiceRanges,
    input: &PlanInput<'_>,
) -> Vec<&'a range::StoredRow> {
    let is_evacuated = |stored: &&range::StoredRow| {
        let owner = stored.row.owner.as_ref();
        let known = owner.and_then(|owner| input.directory.get(&owner.node));
        known.is_some_and(|known| input.evacuations.contains(&known.entry.zone))
    };
    ranges.rows().filter(is_evacuated).collect()
}

/// Returns the change that a row needs because of the state of its owner or successor, if any.
fn reassign_row(
    now: time::Instant,
    service: &Arc<str>,
    stored: &range::StoredRow,
    input: &mut PlanInput<'_>,
    loads: &mut balance::WorkerLoads<'_>,
) -> Option<RangeChange> {
    let row = &stored.row;
    let directory = &mut *input.directory;
    let Some(owner) = &row.owner else {
        let owner = loads.assign_least_loaded(loads.row_load(row))?;
        let handover = Arc::clone(&row.handover);
        let row = row.with_owner(owner, handover);
        return Some(RangeChange::replace_row(service, ChangeReason::Unowned, stored, row));
    };
    if let Some(since) = directory.missing_since(now, &owner.node) {
        if now.since(since) < registration::takeover_delay() {
            return None;
        }
        let successor = row.successor.clone().filter(|holder| loads.is_ready(&holder.worker));
        let successor = successor.or_else(|| loads.assign_least_loaded(loads.row_load(row)))?;
        let row = row.with_owner(successor, Arc::default());
        let mut change = RangeChange::replace_row(service, ChangeReason::Takeover, stored, row);
        change.absent.push(Arc::clone(&owner.node));
        change.records.push((Arc::clone(&owner.node), directory.record_revision(&owner.node)));
        return Some(change);
    }
    if let Some(successor) = &row.successor {
        if loads.is_ready(&successor.worker) {
            return None;
        }
        let successor = match loads.is_ready(&owner.worker) {
            true => None,
            false => Some(loads.assign_least_loaded(loads.row_load(row))?),
        };
        let row = range::RangeRow { successor, ..row.clone() };
        return Some(RangeChange::replace_row(service, ChangeReason::Leaving, stored, row));
    }
    let entry = &directory.get(&owner.node)?.entry;
    let worker = entry.worker.as_ref().filter(|worker| worker.name == owner.worker)?;
    let is_unreachable = input.unreachable.contains(&owner.node);
    if worker.state == member::WorkerState::Draining || is_unreachable {
        let successor = loads.assign_least_loaded(loads.row_load(row))?;
        let row = range::RangeRow { successor: Some(successor), ..row.clone() };
        return Some(RangeChange::replace_row(service, ChangeReason::Leaving, stored, row));
    }
    None
}
