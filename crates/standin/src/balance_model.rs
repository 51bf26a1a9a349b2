//! Simulation of the planner and of two baselines under load, deterministic for a seed.
//!
//! Rates of keys follow a Zipf distribution and change with time. Each second every worker reports
//! the rates of its slices with the noise of a Poisson process. Imbalance is computed from the
//! actual rates.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::time as std_time;

use cornelridge_control::planner::{
    HotKey, MemberRegistration, MemberReport, Planner, PlannerInput, SliceLoad,
};
use cornelridge_model::{assignment, class, ident, key, time};

/// Class of the simulated requests.
const CLASS: &str = "quote-desk";
/// Slices of each worker of the baselines.
const SLICES_PER_WORKER: usize = 64;
/// Interval at which the greedy baseline moves slices.
const GREEDY_INTERVAL_S: u64 = 5;
/// Ratio of maximum to mean load at which the greedy baseline stops.
const GREEDY_LIMIT: f64 = 1.02;
/// Maximum number of hot keys in one report.
const REPORTED_HOT_KEYS: usize = 60;
/// Number of hot keys that are replaced together.
const CHANGING_HOT_KEYS: usize = 60;

/// How the load changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// The rate of each key is constant, apart from noise.
    Imbalance,
    /// Rates of groups of keys rise and fall within ten minutes.
    Churn,
    /// The hottest 60 keys are replaced every three minutes.
    HotKey,
}

/// How keys are assigned to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Slices stay at the worker given by their hash.
    StaticHash,
    /// Slices move from the busiest to the least loaded worker until the loads are balanced, by
    /// the latest sample and without a limit on moves.
    Greedy,
    /// The planner of the control crate.
    Planner(class::BalancePreference),
}

/// Size of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelConfig {
    /// Number of workers of the class.
    pub workers: usize,
    /// Number of zones of the workers.
    pub zones: usize,
    /// Number of keys in use.
    pub keys: usize,
    /// Exponent of the Zipf distribution.
    pub exponent: f64,
    /// Mean requests per second for each worker.
    pub rate: f64,
    /// Duration of the measurement in minutes, after the warm-up.
    pub minutes: u64,
    /// Duration of the warm-up in minutes.
    pub warm_up_minutes: u64,
    /// Seed of keys and noise.
    pub seed: u64,
}

impl Default for ModelConfig {
    fn default() -> ModelConfig {
        ModelConfig {
            workers: 12,
            zones: 3,
            keys: 50_000,
            exponent: 0.9,
            rate: 1_000.0,
            minutes: 30,
            warm_up_minutes: 5,
            seed: 1,
        }
    }
}

/// Results of one simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelResult {
    /// Mean ratio of maximum to mean load, with one sample per second.
    pub mean_imbalance: f64,
    /// 99th percentile of the ratio of maximum to mean load.
    pub p99_imbalance: f64,
    /// Mean lower bound of the imbalance for any assignment of whole keys.
    pub floor: f64,
    /// Changes of owner per minute of keys with at least one request a minute.
    pub key_moves_per_minute: f64,
    /// Share of the load that changed its owner, per minute.
    pub moved_load_per_minute: f64,
    /// Documents written per minute.
    pub documents_per_minute: f64,
    /// Number of slices at the end.
    pub slices: usize,
    /// Longest call of the planner; this and the mean depend on the machine.
    pub longest_plan: std_time::Duration,
    /// Mean time of a call of the planner.
    pub mean_plan: std_time::Duration,
}

/// Runs one simulation.
pub fn run(scenario: Scenario, strategy: Strategy, config: &ModelConfig) -> ModelResult {
    let mut model = BalanceModel::new(scenario, *config);
    match strategy {
        Strategy::StaticHash => model.run_fixed(false),
        Strategy::Greedy => model.run_fixed(true),
        Strategy::Planner(prefer) => model.run_planner(prefer),
    }
}

/// A key with its rates, in requests per second.
#[derive(Clone, Copy, Debug)]
struct ModelKey {
    hash: key::KeyHash,
    /// Rate before the changes of the scenario.
    base: f64,
    /// Phase of the group of the key.
    phase: f64,
    rate: f64,
}

/// Start of each slice and the index of the worker that owns it.
type Owners = Vec<(key::KeyHash, usize)>;

struct BalanceModel {
    scenario: Scenario,
    config: ModelConfig,
    rng: fastrand::Rng,
    /// Sorted by hash.
    keys: Vec<ModelKey>,
    weights: Vec<f64>,
    owner_of_key: Vec<usize>,
    imbalances: Vec<f64>,
    floors: Vec<f64>,
    moved_keys: u64,
    moved_load: f64,
    documents: u64,
    second: u64,
}

impl BalanceModel {
    fn new(scenario: Scenario, config: ModelConfig) -> BalanceModel {
        let mut rng = fastrand::Rng::with_seed(config.seed);
        let weights = (1..=config.keys).map(|rank| (rank as f64).powf(-config.exponent));
        let weights = weights.collect::<Vec<_>>();
        let total = weights.iter().sum::<f64>();
        let scale = config.rate * config.workers as f64 / total;
        let key = |weight: &f64| ModelKey {
            hash: key::KeyHash(rng.u64(..)),
            base: weight * scale,
            phase: f64::from(rng.u8(0..16)) / 16.0,
            rate: weight * scale,
        };
        let mut keys = weights.iter().map(key).collect::<Vec<_>>();
        keys.sort_by_key(|key| key.hash);
        keys.dedup_by_key(|key| key.hash);
        BalanceModel {
            scenario,
            config,
            rng,
            keys,
            weights: weights.iter().map(|weight| weight * scale).collect(),
            owner_of_key: Vec::new(),
            imbalances: Vec::new(),
            floors: Vec::new(),
            moved_keys: 0,
            moved_load: 0.0,
            documents: 0,
            second: 0,
        }
    }

    fn seconds(&self) -> u64 {
        (self.config.minutes + self.config.warm_up_minutes) * 60
    }

    fn is_measured(&self) -> bool {
        self.second >= self.config.warm_up_minutes * 60
    }

    /// Sets the rates of this second.
    fn change_load(&mut self) {
        match self.scenario {
            Scenario::Imbalance => {}
            Scenario::Churn => {
                let cycles = self.second as f64 / 600.0;
                for key in &mut self.keys {
                    let wave = ((cycles + key.phase) * std::f64::consts::TAU).sin();
                    key.rate = key.base * (1.0 + 0.8 * wave);
                }
            }
            Scenario::HotKey if self.second.is_multiple_of(180) => {
                let hottest = self.weights.iter().take(CHANGING_HOT_KEYS).copied();
                let hottest = hottest.collect::<Vec<_>>();
                let limit = hottest.last().copied().unwrap_or(f64::INFINITY);
                let lowest_rate = self.weights.last().copied().unwrap_or(0.0);
                for key in self.keys.iter_mut().filter(|key| key.rate >= limit) {
                    key.rate = lowest_rate;
                }
                for rate in hottest {
                    let chosen = self.rng.usize(0..self.keys.len());
                    self.keys[chosen].rate = rate;
                }
            }
            Scenario::HotKey => {}
        }
    }

    /// Returns a sample of a rate with the noise of a Poisson process over one second.
    fn sample(&mut self, rate: f64) -> f64 {
        let uniform = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        (rate + uniform * rate.sqrt()).max(0.0)
    }

    /// Returns the index of the slice of each key.
    fn slices_of_keys(&self, owners: &Owners) -> Vec<usize> {
        let mut slice = 0;
        let mut slices = Vec::with_capacity(self.keys.len());
        for key in &self.keys {
            while slice + 1 < owners.len() && owners[slice + 1].0 <= key.hash {
                slice += 1;
            }
            slices.push(slice);
        }
        slices
    }

    /// Adopts an assignment and counts the moves since the previous one. Returns the index of the
    /// slice of each key.
    fn record_assignment(&mut self, owners: &Owners) -> Vec<usize> {
        let slices = self.slices_of_keys(owners);
        let owner_of_key = slices.iter().map(|slice| owners[*slice].1).collect::<Vec<_>>();
        let is_counted = self.is_measured() && !self.owner_of_key.is_empty();
        if is_counted {
            let moved = self.owner_of_key.iter().zip(&owner_of_key).zip(&self.keys);
            for (_, key) in moved.filter(|((before, after), _)| before != after) {
                self.moved_keys += u64::from(key.rate >= 1.0 / 60.0);
                self.moved_load += key.rate;
            }
            self.documents += 1;
        }
        self.owner_of_key = owner_of_key;
        slices
    }

    fn measure(&mut self) {
        if !self.is_measured() {
            return;
        }
        let mut loads = vec![0.0; self.config.workers];
        for (key, owner) in self.keys.iter().zip(&self.owner_of_key) {
            loads[*owner] += key.rate;
        }
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let hottest = self.keys.iter().map(|key| key.rate).fold(0.0, f64::max);
        self.imbalances.push(loads.iter().copied().fold(0.0, f64::max) / mean);
        self.floors.push((hottest / mean).max(1.0));
    }

    fn result(&mut self, slices: usize, plans: &[std_time::Duration]) -> ModelResult {
        let count = self.imbalances.len().max(1) as f64;
        let mean = self.imbalances.iter().sum::<f64>() / count;
        self.imbalances.sort_by(f64::total_cmp);
        let p99 = self.imbalances.get(self.imbalances.len() * 99 / 100).copied();
        let minutes = self.config.minutes as f64;
        let total = self.keys.iter().map(|key| key.rate).sum::<f64>();
        let plan_count = plans.len().max(1) as u32;
        ModelResult {
            mean_imbalance: mean,
            p99_imbalance: p99.unwrap_or(0.0),
            floor: self.floors.iter().sum::<f64>() / count,
            key_moves_per_minute: self.moved_keys as f64 / minutes,
            moved_load_per_minute: self.moved_load / total / minutes,
            documents_per_minute: self.documents as f64 / minutes,
            slices,
            longest_plan: plans.iter().max().copied().unwrap_or_default(),
            mean_plan: plans.iter().sum::<std_time::Duration>() / plan_count,
        }
    }

    /// Runs a baseline with fixed slices, which stay or are balanced greedily.
    fn run_fixed(&mut self, is_greedy: bool) -> ModelResult {
        let count = self.config.workers * SLICES_PER_WORKER;
        let step = u64::MAX / count as u64 + 1;
        let owner = |index: usize| (key::KeyHash(step * index as u64), index % self.config.workers);
        let mut owners = (0..count).map(owner).collect::<Owners>();
        let mut slices = self.record_assignment(&owners);
        self.documents = 0;
        while self.second < self.seconds() {
            self.change_load();
            if is_greedy && self.second.is_multiple_of(GREEDY_INTERVAL_S) {
                let mut loads = vec![0.0; count];
                for (key, slice) in self.keys.iter().zip(&slices) {
                    loads[*slice] += key.rate;
                }
                let loads = loads.into_iter().map(|load| self.sample(load)).collect::<Vec<_>>();
                if balance_greedily(&mut owners, &loads, self.config.workers) {
                    slices = self.record_assignment(&owners);
                }
            }
            self.measure();
            self.second += 1;
        }
        self.result(count, &[])
    }

    fn run_planner(&mut self, prefer: class::BalancePreference) -> ModelResult {
        let mut planner = Planner::new();
        let registrations = registrations(&self.config);
        let classes = classes(prefer);
        let mut current = None::<Arc<assignment::AssignmentDocument>>;
        let mut owners = Owners::new();
        let mut slices = Vec::new();
        let mut plans = Vec::new();
        while self.second < self.seconds() {
            self.change_load();
            let epoch = current.as_ref().map_or(0, |document| document.epoch.0);
            let input = PlannerInput {
                reports: self.reports(&registrations, epoch, &owners, &slices),
                current: current.clone(),
                change_id: self.second,
                registrations: registrations.clone(),
                classes: classes.clone(),
                ..PlannerInput::default()
            };
            let now = time::Instant((self.second + 1_000) * 1_000_000);
            let started = std_time::Instant::now();
            let next = planner.plan(now, &input);
            plans.push(started.elapsed());
            if let Some(next) = next {
                owners = owners_of(&next, &registrations);
                slices = self.record_assignment(&owners);
                current = Some(Arc::new(next));
            }
            self.measure();
            self.second += 1;
        }
        self.result(owners.len(), &plans)
    }

    /// Returns the reports of all workers.
    fn reports(
        &mut self,
        registrations: &[MemberRegistration],
        epoch: u64,
        owners: &Owners,
        slices: &[usize],
    ) -> Vec<MemberReport> {
        let mut loads = vec![0.0; owners.len()];
        for (key, slice) in self.keys.iter().zip(slices) {
            loads[*slice] += key.rate;
        }
        let mut reports = registrations.iter().map(|member| report(member, epoch));
        let mut reports = reports.by_ref().collect::<Vec<_>>();
        for ((start, owner), load) in owners.iter().zip(loads) {
            let rate = self.sample(load);
            let class = CLASS.into();
            reports[*owner].loads.push(SliceLoad { class, start: *start, rate });
        }
        let mut hot = vec![Vec::new(); registrations.len()];
        for (key, owner) in self.keys.iter().zip(&self.owner_of_key) {
            if key.rate >= 1.0 {
                hot[*owner].push((key.rate, key.hash));
            }
        }
        for (report, mut hot) in reports.iter_mut().zip(hot) {
            hot.sort_by(|a, b| b.0.total_cmp(&a.0));
            hot.truncate(REPORTED_HOT_KEYS);
            for (rate, hash) in hot {
                let rate = self.sample(rate);
                report.hot_keys.push(HotKey { class: CLASS.into(), hash, rate });
            }
        }
        reports
    }
}

fn report(member: &MemberRegistration, epoch: u64) -> MemberReport {
    MemberReport {
        incarnation: member.incarnation,
        age: time::Duration::ZERO,
        epoch: ident::EpochNumber(epoch),
        confirmed_epoch: ident::EpochNumber(epoch),
        has_upstream: true,
        draining: false,
        silent_guards: Vec::new(),
        loads: Vec::new(),
        hot_keys: Vec::new(),
    }
}

fn registrations(config: &ModelConfig) -> Vec<MemberRegistration> {
    let registration = |number: usize| MemberRegistration {
        name: format!("worker-{number}").into(),
        incarnation: ident::IncarnationId(number as u64 + 1),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: format!("zone-{}", number % config.zones.max(1)).into(),
        class: CLASS.into(),
        checks_fences: true,
    };
    (0..config.workers).map(registration).collect()
}

fn classes(prefer: class::BalancePreference) -> class::ClassDocument {
    let class = class::ClassConfig {
        name: CLASS.into(),
        division: class::KeyDivision::ByKey,
        idempotent: true,
        target_ms: 50,
        target_percentile: 99.0,
        deadline_ms: 1_000,
        yield_rank: 1,
        bulk: false,
        record_window_s: 600,
        prefer,
    };
    let revision = ident::RevisionNumber(1);
    class::ClassDocument { revision, change_id: 1, classes: vec![class] }
}

fn owners_of(
    document: &assignment::AssignmentDocument,
    registrations: &[MemberRegistration],
) -> Owners {
    let numbers = registrations.iter().enumerate();
    let numbers = numbers.map(|(number, member)| (member.incarnation, number));
    let numbers = numbers.collect::<BTreeMap<_, _>>();
    let Some((_, slices)) = document.class(CLASS) else { return Owners::new() };
    let owner = |slice: &assignment::SliceRecord| {
        let owner = slice.chain.first().map(|lease| document.holder(*lease).incarnation);
        let number = owner.and_then(|owner| numbers.get(&owner).copied());
        (slice.start, number.unwrap_or(0))
    };
    slices.slices.iter().map(owner).collect()
}

/// Repeatedly moves the best-fitting slice from the busiest to the least loaded worker until the
/// loads are balanced. Returns whether a slice moved.
fn balance_greedily(owners: &mut Owners, loads: &[f64], workers: usize) -> bool {
    let mut totals = vec![0.0; workers];
    for ((_, owner), load) in owners.iter().zip(loads) {
        totals[*owner] += load;
    }
    let mean = totals.iter().sum::<f64>() / workers as f64;
    let mut is_changed = false;
    for _ in 0..owners.len() {
        let by_load = |a: &usize, b: &usize| totals[*a].total_cmp(&totals[*b]);
        let (Some(from), Some(to)) = ((0..workers).max_by(by_load), (0..workers).min_by(by_load))
        else {
            break;
        };
        if totals[from] <= mean * GREEDY_LIMIT {
            break;
        }
        let target = (totals[from] - totals[to]) / 2.0;
        let own = owners.iter().enumerate().filter(|(_, (_, owner))| *owner == from);
        let candidates =
            own.filter(|(slice, _)| loads[*slice] > 0.0 && loads[*slice] < target * 2.0);
        let distance = |slice: usize| (loads[slice] - target).abs();
        let best = candidates.min_by(|a, b| distance(a.0).total_cmp(&distance(b.0)));
        let Some((slice, _)) = best else { break };
        totals[from] -= loads[slice];
        totals[to] += loads[slice];
        owners[slice].1 = to;
        is_changed = true;
    }
    is_changed
}
