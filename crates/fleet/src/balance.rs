//! Evens out the load of the workers of a divided service with few moves of rows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::member;
use crate::plan;
use crate::range;

/// Load of the fullest worker over the mean above which a row moves. Below it a move costs more
/// than the better balance gains: its keys have no holder for up to a report interval.
const MAX_IMBALANCE: f64 = 1.35;
/// Part of a worker's capacity below which its load does no harm.
const LOW_UTILIZATION: f64 = 0.65;
/// Part of its capacity from which a worker's rows move although they moved a moment ago.
const HIGH_UTILIZATION: f64 = 0.95;
/// A move must bring the fullest worker down by this share of the mean.
const MIN_GAIN: f64 = 0.1;
/// A row with this share of its worker's load is divided when it can't move as a whole.
const MIN_SPLIT_SHARE: f64 = 0.3;
/// Fewest rows moved at once.
const MIN_CONCURRENT_MOVES: usize = 2;
/// Workers for each row that is moved at once: with many of them, many are uneven.
const WORKERS_PER_MOVE: usize = 3;
/// How much more than their capacity says fast workers get while the service has room: an answer
/// of a slow worker is late even when it is idle.
const FAST_WORKER_BIAS: f64 = 0.7;
/// Part of the load that a row has by its width, so that idle rows spread as well.
const WIDTH_SHARE: f64 = 0.05;

/// Load of a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RowLoad {
    /// Requests a second.
    pub rate: f64,
    /// Last key of the lower part if the row is divided.
    pub split_after: Option<u16>,
}

/// What was measured: load by service and first key of a row, capacity by worker.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Load of each row.
    pub rows: HashMap<(Arc<str>, u16), RowLoad>,
    /// Requests a second that each worker can serve.
    pub capacities: HashMap<member::WorkerName, f64>,
    /// First keys of rows that moved a moment ago. They stay unless their worker is overloaded, as
    /// a measured rate varies by chance.
    pub recently_moved: HashSet<(Arc<str>, u16)>,
}

#[derive(Clone, Debug)]
struct WorkerLoad {
    holder: range::RangeHolder,
    rows: usize,
    load: f64,
    capacity: f64,
    /// Capacity with the bias towards fast workers.
    weight: f64,
}

impl WorkerLoad {
    fn weighted_load(&self) -> f64 {
        self.load / self.weight
    }
}

/// Load of each ready worker of one service, kept up to date while rows are given out.
pub struct WorkerLoads<'a> {
    service: &'a Arc<str>,
    view: &'a LoadView,
    workers: Vec<WorkerLoad>,
    /// Load by key that a row has by its width.
    load_per_key: f64,
    /// Mean capacity of the workers; infinite as long as none is known. What a row is asked for
    /// beyond it is refused wherever the row is.
    max_row_load: f64,
    is_measured: bool,
}

impl<'a> WorkerLoads<'a> {
    /// Adds up what each worker has, or is about to get.
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
            WorkerLoad { holder, rows: 0, load: 0.0, capacity, weight }
        });
        let workers = workers.collect();
        let mut loads =
            WorkerLoads { service, view, workers, load_per_key, max_row_load, is_measured };
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
        self.workers.iter_mut().find(|known| known.holder.worker == *worker)
    }

    fn measured_load(&self, row: &range::RangeRow) -> RowLoad {
        let key = (Arc::clone(self.service), row.first);
        self.view.rows.get(&key).copied().unwrap_or_default()
    }

    /// Load of a row, as far as a worker can serve it.
    pub fn row_load(&self, row: &range::RangeRow) -> f64 {
        self.measured_load(row).rate.min(self.max_row_load)
            + f64::from(row.width()) * self.load_per_key
    }

    /// Whether a row fills a worker by itself. It isn't moved but divided, or left alone: elsewhere
    /// it would only displace the rows of another worker.
    fn saturates_worker(&self, row: &range::RangeRow) -> bool {
        self.measured_load(row).rate >= self.max_row_load
    }

    /// Whether a worker has a row that can be moved or divided.
    fn can_be_relieved(&self, ranges: &range::ServiceRanges, worker: &member::WorkerName) -> bool {
        let mut rows = ranges.rows().filter(|stored| stored.row.is_held_by(worker));
        rows.any(|stored| {
            !self.saturates_worker(&stored.row) || self.split_point(&stored.row).is_some()
        })
    }

    /// Last key of the lower part if the row can be divided.
    fn split_point(&self, row: &range::RangeRow) -> Option<u16> {
        self.measured_load(row).split_after.filter(|key| (row.first..row.last).contains(key))
    }

    fn has_recently_moved(&self, row: &range::RangeRow) -> bool {
        self.view.recently_moved.contains(&(Arc::clone(self.service), row.first))
    }

    /// Number of ready workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Rows that may be on their way at the same time.
    pub fn max_concurrent_moves(&self) -> usize {
        (self.workers.len() / WORKERS_PER_MOVE).max(MIN_CONCURRENT_MOVES)
    }

    /// Whether a worker takes new work.
    pub fn is_ready(&self, worker: &member::WorkerName) -> bool {
        self.workers.iter().any(|known| known.holder.worker == *worker)
    }

    /// The worker that is least loaded after it gets `load` more, which is then counted.
    pub fn assign_least_loaded(&mut self, load: f64) -> Option<range::RangeHolder> {
        let after = |worker: &WorkerLoad| (worker.load + load) / worker.weight;
        let least_loaded = self.workers.iter_mut().min_by(|a, b| after(a).total_cmp(&after(b)))?;
        least_loaded.load += load;
        least_loaded.rows += 1;
        Some(least_loaded.holder.clone())
    }

    /// Counts a row as moved.
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

/// Moves or divides a few rows of the worker with the highest load for its speed.
pub fn rebalance(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    loads: &mut WorkerLoads<'_>,
) -> Vec<plan::RangeChange> {
    let mut changes = Vec::new();
    let mut moved: Vec<u16> = Vec::new();
    // The worker one of whose rows is divided; it keeps both parts until they are measured.
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

fn next_move(
    service: &Arc<str>,
    ranges: &range::ServiceRanges,
    loads: &mut WorkerLoads<'_>,
    moved: &[u16],
    split_holder: Option<&range::RangeHolder>,
) -> Option<plan::RangeChange> {
    let by_weighted_load =
        |a: &&WorkerLoad, b: &&WorkerLoad| a.weighted_load().total_cmp(&b.weighted_load());
    let others = loads.workers.iter().filter(|worker| {
        Some(&worker.holder) != split_holder && loads.can_be_relieved(ranges, &worker.holder.worker)
    });
    let most_loaded = others.max_by(by_weighted_load)?.clone();
    let least_loaded = loads.workers.iter().min_by(by_weighted_load)?.clone();
    if most_loaded.holder == least_loaded.holder {
        return None;
    }
    // A worker that has just come gets some keys, so that it helps at all.
    let has_idle_worker = least_loaded.rows == 0 && most_loaded.rows > 1;
    let load: f64 = loads.workers.iter().map(|worker| worker.load).sum();
    let weight: f64 = loads.workers.iter().map(|worker| worker.weight).sum();
    let mean = load / weight;
    let is_uneven = loads.is_measured
        && most_loaded.load > most_loaded.capacity * LOW_UTILIZATION
        && most_loaded.weighted_load() > mean * MAX_IMBALANCE;
    if !has_idle_worker && !is_uneven {
        return None;
    }
    let is_overloaded = most_loaded.load > most_loaded.capacity * HIGH_UTILIZATION;
    let is_movable = |stored: &&range::StoredRow| {
        stored.row.is_held_by(&most_loaded.holder.worker)
            && !moved.contains(&stored.row.first)
            && (is_overloaded || has_idle_worker || !loads.has_recently_moved(&stored.row))
    };
    let rows: Vec<&range::StoredRow> = ranges.rows().filter(is_movable).collect();
    // The best row leaves the higher of the two pressures as low as possible.
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
        // A second division would expect the layout as it was before the first one.
        return None;
    }
    split(service, ranges, loads, &rows, most_loaded.load)
}

/// Divides the heaviest of a worker's rows if it has a large part of the worker's load; both parts
/// stay with their owner.
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
        writes: vec![lower, upper],
    })
}
