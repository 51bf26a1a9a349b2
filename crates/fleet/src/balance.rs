//! Balancing of the workers of a divided service with few moves of rows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::member;
use crate::plan;
use crate::range;

/// Ratio of the highest load of a worker to the mean above which a row is moved. Below it, a move
/// costs more than the better balance gains, as the keys have no holder for up to a report
/// interval.
const MAX_IMBALANCE: f64 = 1.35;
/// Share of a worker's capacity below which its load does no harm and isn't reduced.
const LOW_UTILIZATION: f64 = 0.65;
/// Share of a worker's capacity above which even recently moved rows are moved again.
const HIGH_UTILIZATION: f64 = 0.95;
/// Share of the mean load by which a move must reduce the highest load.
const MIN_GAIN: f64 = 0.1;
/// Share of its worker's load from which a row is split if it can't be moved as a whole.
const MIN_SPLIT_SHARE: f64 = 0.3;
/// Number of rows that may be moved at once by few workers.
const MIN_CONCURRENT_MOVES: usize = 2;
/// Number of workers per row that may be moved at once; the more workers, the more are uneven.
const WORKERS_PER_MOVE: usize = 3;
/// Preference for fast workers beyond their capacity while the service has spare capacity: the
/// response of a slow worker is late even if it is idle.
const FAST_WORKER_BIAS: f64 = 0.7;
/// Share of the total load that is attributed to rows by their width, so that idle rows are
/// distributed as well.
const WIDTH_SHARE: f64 = 0.05;

/// Load of a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RowLoad {
    /// Requests per second.
    pub rate: f64,
    /// Last key of the lower part if the row is split.
    pub split_after: Option<u16>,
}

/// Measured load of rows and capacity of workers.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Load of each row, by service and first key.
    pub rows: HashMap<(Arc<str>, u16), RowLoad>,
    /// Requests per second that each worker can serve.
    pub capacities: HashMap<member::WorkerName, f64>,
    /// Rows that moved recently, by service and first key. They stay unless their worker is
    /// overloaded, as measured rates vary at random.
    pub recently_moved: HashSet<(Arc<str>, u16)>,
}

/// Load of one worker.
#[derive(Clone, Debug)]
struct WorkerLoad {
    holder: range::RangeHolder,
    /// Number of rows.
    rows: usize,
    /// Number of rows among them that were assigned by room.
    received: usize,
    /// Load of its rows, in requests per second.
    load: f64,
    /// Requests per second that the worker can serve.
    capacity: f64,
    /// Capacity with the preference for fast workers.
    weight: f64,
}

impl WorkerLoad {
    /// Returns the load relative to the weight of the worker.
    fn weighted_load(&self) -> f64 {
        self.load / self.weight
    }
}

/// Load of each ready worker of one service, updated with each row that is assigned or moved.
pub struct WorkerLoads<'a> {
    service: &'a Arc<str>,
    view: &'a LoadView,
    workers: Vec<WorkerLoad>,
    /// Index of each worker in `workers`.
    indices: HashMap<member::WorkerName, usize>,
    /// Load that is attributed to each key of a row.
    load_per_key: f64,
    /// Mean capacity of the workers, or infinity if no capacity is known. Requests of a row in
    /// excess of it are refused by any worker.
    max_row_load: f64,
    /// Whether any row has a measured rate.
    is_measured: bool,
    /// Whether the capacity of any worker is known.
    is_capacity_known: bool,
}

impl<'a> WorkerLoads<'a> {
    /// Sums the load of the rows that each worker holds or is about to get.
    pub fn new(
        service: &'a Arc<str>,
        ranges: &range::ServiceRanges,
        workers: Vec<range::RangeHolder>,
        view: &'a LoadView,
    ) -> WorkerLoads<'a> {
        let capacities: Vec<f64> = workers
            .iter()
            .filter_map(|holder| view.capacities.get(&holder.worker).copied())
            .filter(|capacity| *capacity > 0.0)
            .collect();
        let mean = (!capacities.is_empty())
            .then(|| capacities.iter().sum::<f64>() / capacities.len() as f64);
        let is_capacity_known = mean.is_some();
        let (mean, max_row_load) = (mean.unwrap_or(1.0), mean.unwrap_or(f64::INFINITY));
        let rate = |stored: &range::StoredRow| {
            let load = view.rows.get(&(Arc::clone(service), stored.row.first));
            load.map(|load| load.rate.min(max_row_load))
        };
        let measured: f64 = ranges.rows().filter_map(rate).sum();
        let is_measured = measured > 0.0;
        let load_per_key = if is_measured { measured * WIDTH_SHARE / 65_536.0 } else { 1.0 };
        let utilization = measured / (mean * workers.len().max(1) as f64);
        let exponent = 1.0 + (1.0 - utilization).clamp(0.0, 1.0) * FAST_WORKER_BIAS;
        let workers = workers.into_iter().map(|holder| {
            let capacity = view.capacities.get(&holder.worker).copied().unwrap_or(mean);
            let weight = mean * (capacity / mean).powf(exponent);
            WorkerLoad { holder, rows: 0, received: 0, load: 0.0, capacity, weight }
        });
        let workers: Vec<WorkerLoad> = workers.collect();
        let names = workers.iter().map(|worker| worker.holder.worker.clone());
        let indices = names.zip(0..).collect();
        let mut loads = WorkerLoads {
            service,
            view,
            workers,
            indices,
            load_per_key,
            max_row_load,
            is_measured,
            is_capacity_known,
        };
        for stored in ranges.rows() {
            let load = loads.row_load(&stored.row);
            let holder = stored.row.successor.as_ref().or(stored.row.owner.as_ref());
            if let Some(holder) = holder
                && let Some(worker) = loads.worker_mut(&holder.worker)
            {
                worker.load += load;
                worker.rows += 1;
            }
        }
        loads
    }

    fn worker_mut(&mut self, worker: &member::WorkerName) -> Option<&mut WorkerLoad> {
        self.indices.get(worker).map(|index| &mut self.workers[*index])
    }

    fn measured_load(&self, row: &range::RangeRow) -> RowLoad {
        let key = (Arc::clone(self.service), row.first);
        self.view.rows.get(&key).copied().unwrap_or_default()
    }

    /// Returns the load of a row, up to the capacity of a worker.
    pub fn row_load(&self, row: &range::RangeRow) -> f64 {
        self.measured_load(row).rate.min(self.max_row_load)
            + f64::from(row.width()) * self.load_per_key
    }

    /// Returns whether a row uses the whole capacity of a worker. Such a row is split or left where
    /// it is, as it would only displace the rows of another worker.
    fn saturates_worker(&self, row: &range::RangeRow) -> bool {
        self.measured_load(row).rate >= self.max_row_load
    }

    /// Returns the workers that have a row which can be moved or split, by their index.
    fn relievable(&self, ranges: &range::ServiceRanges) -> HashSet<usize> {
        let movable = ranges.rows().filter(|stored| {
            stored.row.successor.is_none()
                && (!self.saturates_worker(&stored.row) || self.split_point(&stored.row).is_some())
        });
        let owners = movable.filter_map(|stored| stored.row.owner.as_ref());
        owners.filter_map(|owner| self.indices.get(&owner.worker).copied()).collect()
    }

    /// Returns the last key of the lower part if the row can be split.
    fn split_point(&self, row: &range::RangeRow) -> Option<u16> {
        self.measured_load(row).split_after.filter(|key| (row.first..row.last).contains(key))
    }

    fn has_recently_moved(&self, row: &range::RangeRow) -> bool {
        self.view.recently_moved.contains(&(Arc::clone(self.service), row.first))
    }

    /// Returns the number of ready workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the number of rows that may be moving at the same time.
    pub fn max_concurrent_moves(&self) -> usize {
        (self.workers.len() / WORKERS_PER_MOVE).max(MIN_CONCURRENT_MOVES)
    }

    /// Returns whether a worker takes new requests.
    pub fn is_ready(&self, worker: &member::WorkerName) -> bool {
        self.indices.contains_key(worker)
    }

    /// Returns the worker that is least loaded after it gets `load`, and adds the load to it.
    pub fn assign_least_loaded(&mut self, load: f64) -> Option<range::RangeHolder> {
        let after = |worker: &WorkerLoad| (worker.load + load) / worker.weight;
        let least_loaded = self.workers.iter_mut().min_by(|a, b| after(a).total_cmp(&after(b)))?;
        least_loaded.load += load;
        least_loaded.rows += 1;
        Some(least_loaded.holder.clone())
    }

    /// Returns the worker with the most room, the capacity left over its load, among those that got
    /// fewer than `max_rows` rows in this way, and adds `load` to it.
    pub fn assign_most_room(&mut self, load: f64, max_rows: usize) -> Option<range::RangeHolder> {
        let room = |worker: &WorkerLoad| worker.capacity - worker.load;
        let receivers = self.workers.iter_mut().filter(|worker| worker.received < max_rows);
        let roomiest = receivers.max_by(|a, b| room(a).total_cmp(&room(b)))?;
        roomiest.load += load;
        roomiest.rows += 1;
        roomiest.received += 1;
        Some(roomiest.holder.clone())
    }

    /// Returns whether a worker has so much more load than the mean weighted load that a row should
    /// be moved or split. Without any known capacity, no load is known to do harm: the capacity that
    /// the weights are based on is then one request per second.
    fn is_uneven(&self, worker: &WorkerLoad, mean: f64) -> bool {
        self.is_measured
            && self.is_capacity_known
            && worker.load > worker.capacity * LOW_UTILIZATION
            && worker.weighted_load() > mean * MAX_IMBALANCE
    }

    /// Moves the load of a row from one worker to another.
    fn move_load(&mut self, load: f64, from: &member::WorkerName, to: &member::WorkerName) {
        if let Some(worker) = self.worker_mut(from) {
            worker.load -= load;
            worker.rows -= 1;
        }
        if let Some(worker) = self.worker_mut(to) {
            worker.load += load;
            worker.rows += 1;
        }
    }
}

/// Returns the changes that move or split a few rows of the workers with the highest weighted load.
pub fn rebalance(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    loads: &mut WorkerLoads<'_>,
) -> Vec<plan::RangeChange> {
    let mut changes = Vec::new();
    let mut moved: Vec<u16> = Vec::new();
    // The worker whose row is split keeps both parts until their rates are measured.
    let mut split_holder = None;
    for _ in 0..loads.max_concurrent_moves() {
        let change = next_move(service, ranges, loads, &moved, split_holder.as_ref());
        let Some(change) = change else { break };
        moved.extend(change.expected.iter().map(|(first, _)| *first));
        if change.layout.is_some() {
            split_holder = change.writes.first().and_then(|row| row.owner.clone());
        }
        changes.push(change);
    }
    changes
}

/// Returns the next move or split; `moved` lists the first keys of the rows that were changed
/// before it.
fn next_move(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    loads: &mut WorkerLoads<'_>,
    moved: &[u16],
    split_holder: Option<&range::RangeHolder>,
) -> Option<plan::RangeChange> {
    let by_weighted_load =
        |a: &&WorkerLoad, b: &&WorkerLoad| a.weighted_load().total_cmp(&b.weighted_load());
    let relievable = loads.relievable(ranges);
    let others = loads.workers.iter().enumerate();
    let others = others.filter(|(index, worker)| {
        Some(&worker.holder) != split_holder && relievable.contains(index)
    });
    let most_loaded = others.map(|(_, worker)| worker).max_by(by_weighted_load)?.clone();
    let least_loaded = loads.workers.iter().min_by(by_weighted_load)?.clone();
    if most_loaded.holder == least_loaded.holder {
        return None;
    }
    // A new worker gets some keys even if the load is low, so that it takes part.
    let has_idle_worker = least_loaded.rows == 0 && most_loaded.rows > 1;
    let load: f64 = loads.workers.iter().map(|worker| worker.load).sum();
    let weight: f64 = loads.workers.iter().map(|worker| worker.weight).sum();
    let mean = load / weight;
    if !has_idle_worker && !loads.is_uneven(&most_loaded, mean) {
        return None;
    }
    let is_overloaded = most_loaded.load > most_loaded.capacity * HIGH_UTILIZATION;
    let is_movable = |stored: &&range::StoredRow| {
        stored.row.is_held_by(&most_loaded.holder.worker)
            && !moved.contains(&stored.row.first)
            && (is_overloaded || has_idle_worker || !loads.has_recently_moved(&stored.row))
    };
    let rows: Vec<&range::StoredRow> = ranges.rows().filter(is_movable).collect();
    // The best row to move minimizes the higher weighted load of the two workers.
    let after = |stored: &range::StoredRow| {
        let load = loads.row_load(&stored.row);
        let left = (most_loaded.load - load) / most_loaded.weight;
        left.max((least_loaded.load + load) / least_loaded.weight)
    };
    let movable = rows.iter().filter(|stored| !loads.saturates_worker(&stored.row));
    let best = movable.min_by(|a, b| after(a).total_cmp(&after(b))).copied();
    let best = best.filter(|best| {
        has_idle_worker || most_loaded.weighted_load() - after(best) >= mean * MIN_GAIN
    });
    if let Some(best) = best {
        let load = loads.row_load(&best.row);
        loads.move_load(load, &most_loaded.holder.worker, &least_loaded.holder.worker);
        let row = range::RangeRow { successor: Some(least_loaded.holder), ..best.row.clone() };
        return Some(plan::RangeChange::replace_row(
            service,
            plan::ChangeReason::Balance,
            best,
            row,
        ));
    }
    if split_holder.is_some() {
        // A second split would expect the layout revision from before the first one.
        return None;
    }
    split(service, ranges, loads, &rows, most_loaded.load)
}

/// Splits the row with the highest load of a worker if it has a large share of the worker's load.
/// Both parts keep their owner.
fn split(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    loads: &WorkerLoads<'_>,
    rows: &[&range::StoredRow],
    load: f64,
) -> Option<plan::RangeChange> {
    let heaviest =
        rows.iter().max_by(|a, b| loads.row_load(&a.row).total_cmp(&loads.row_load(&b.row)))?;
    let row = &heaviest.row;
    let is_hot = loads.row_load(row) >= load * MIN_SPLIT_SHARE;
    let split_after = loads.split_point(row).filter(|_| is_hot)?;
    let lower = range::RangeRow { last: split_after, ..row.clone() };
    let upper = range::RangeRow { first: split_after + 1, ..row.clone() };
    Some(plan::RangeChange {
        service: Arc::clone(service),
        reason: plan::ChangeReason::Balance,
        layout: Some(ranges.layout_revision),
        expected: vec![(row.first, heaviest.revision), (split_after + 1, 0)],
        absent: Vec::new(),
        records: Vec::new(),
        writes: vec![lower, upper],
    })
}
