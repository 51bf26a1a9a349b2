//! Selection of a worker for a request that any worker of a service may run.

mod candidates;
mod stated_start;
mod zone;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cornelridge_model::time;

use crate::member;
use crate::worker_speed;

pub use candidates::CandidateSet;

/// Half-life of the load that a worker's node reported; a worker that was slow is tried again as
/// the report loses weight.
const LOAD_HALF_LIFE: time::Duration = time::Duration::from_millis(1_500);
/// Expected latency while the load of no worker of a service is known.
const DEFAULT_LATENCY: time::Duration = time::Duration::from_millis(100);
/// Weight of one response in the mean transit time.
const TRANSIT_WEIGHT: f64 = 0.25;
/// Half-life of the mean transit time without responses; a node whose link was slow is tried again.
const TRANSIT_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// Weight of one result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Half-life of the share of failures without results.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Cost of a failure, as latency: a failed request is worthless, and the next attempt takes another
/// service time.
const FAILURE_COST: time::Duration = time::Duration::from_millis(1_500);
/// Cost of another availability zone, as latency, where nothing else decides on leaving the zone
/// (see [`crate::zone_choice`]).
const ZONE_COST: time::Duration = time::Duration::from_millis(12);
/// Cost of another availability zone for large responses, as latency: their traffic between zones
/// costs about half the value of a response in time, so a worker in the same zone is preferred
/// while it can still respond in time.
const BULK_ZONE_COST: time::Duration = time::Duration::from_millis(220);
/// Share by which scores are raised at random, so that nodes with the same load hints don't all
/// choose the same worker.
const SCORE_JITTER: f64 = 0.3;
/// Latency of a worker that was never heard of over the mean of the known ones, where workers start
/// cold. Above 1, so that it isn't the first choice, and low enough that it is tried before a third
/// of the slots of the known ones are taken.
const UNKNOWN_FACTOR: f64 = 1.3;
/// Pause after a first failure to reach a node; doubles with each further one.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Longest pause.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_600);

/// Worker that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCandidate {
    /// The worker.
    pub worker: member::WorkerName,
    /// The node beside it.
    pub node: Arc<str>,
    /// Whether the worker is in the availability zone of this node.
    pub is_same_zone: bool,
    /// Highest number of requests that the worker runs at the same time.
    pub slots: u32,
}

/// Result of a request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerResult {
    /// The response is usable.
    Success,
    /// The worker failed the request or closed its connection.
    Failed,
    /// The request was refused for load.
    Refused,
    /// The node can't be reached, or its worker is gone.
    Unreachable,
    /// The caller left, so the result says nothing about the worker.
    Cancelled,
}

/// Mean transit time, which decays without measurements.
#[derive(Clone, Copy, Debug, Default)]
struct TransitMean {
    micros: f64,
    measured_at: time::Instant,
}

impl TransitMean {
    fn current(&self, now: time::Instant) -> f64 {
        self.micros * decay(now.since(self.measured_at), TRANSIT_HALF_LIFE)
    }

    fn measure(&mut self, now: time::Instant, sample: time::Duration) {
        // The older the mean, the higher the weight of the new sample.
        let weight =
            TRANSIT_WEIGHT.max(1.0 - decay(now.since(self.measured_at), TRANSIT_HALF_LIFE));
        self.micros += (sample.0 as f64 - self.micros) * weight;
        self.measured_at = now;
    }
}

/// Returns the factor by which a value decays in `age`.
fn decay(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Load of a worker that the node beside it has reported.
#[derive(Clone, Copy, Debug)]
struct LoadHint {
    at: time::Instant,
    /// Expected time from the arrival of a request to its response.
    expected_latency: time::Duration,
    /// Expected time that a large response takes to reach its caller after that.
    sending_time: time::Duration,
    /// Time by which the response is later while the machine is slowed down.
    slowdown: time::Duration,
}

impl LoadHint {
    /// Returns the weight of the hint, which decays from 1 to 0 with its age.
    fn weight(self, now: time::Instant) -> f64 {
        decay(now.since(self.at), LOAD_HALF_LIFE)
    }

    /// Returns the time in microseconds by which a response is later, which ends with the slowdown.
    fn slowdown(self, now: time::Instant) -> f64 {
        let duration = worker_speed::SLOWDOWN_DURATION;
        let left = duration.saturating_sub(now.since(self.at));
        self.slowdown.0 as f64 * left.0 as f64 / duration.0 as f64
    }
}

/// Request that a worker is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionRequest {
    /// Whether the response is large.
    pub is_bulk: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latest time at which the request may start.
    pub latest_start: time::Instant,
    /// Whether workers of the service may be cold, so that a worker that was never heard of isn't
    /// taken for the fastest one.
    pub has_warm_up: bool,
}

/// State of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// Requests without a result.
    outstanding: u32,
    /// Requests sent since the last hint.
    sent_since_hint: u32,
    /// Latest load hint.
    hint: Option<LoadHint>,
    /// Transit time to and from the worker's node, for small and for large responses.
    transit: [TransitMean; 2],
    /// Share of failures when it was last updated.
    failures: f64,
    judged_at: time::Instant,
    paused_until: time::Instant,
    /// Consecutive failures to reach the node.
    pauses: u32,
    /// What the worker's node stated, by priority. More urgent requests go first, so that each
    /// entry also holds for all less urgent requests.
    starts: BTreeMap<u8, stated_start::StatedStart>,
}

impl WorkerRecord {
    /// Returns the number of requests without a result if the worker's node has sent no hint for a
    /// while and may be lost, or 0.
    fn unanswered(&self, now: time::Instant) -> u32 {
        match self.hint {
            Some(hint) if now.since(hint.at) < LOAD_HALF_LIFE => 0,
            _ => self.outstanding,
        }
    }

    /// Returns the number of requests that the hint doesn't include, per slot.
    fn in_flight(&self, now: time::Instant, slots: u32) -> f64 {
        f64::from(self.sent_since_hint.max(self.unanswered(now))) / f64::from(slots.max(1))
    }

    /// Returns the transit time and, for large responses, the time in the queue of the link, in
    /// microseconds.
    fn delivery_time(&self, now: time::Instant, is_bulk: bool) -> f64 {
        let sending_time = match self.hint {
            Some(hint) if is_bulk => hint.sending_time.0 as f64 * hint.weight(now),
            _ => 0.0,
        };
        sending_time + self.transit[usize::from(is_bulk)].current(now)
    }

    fn failure_share(&self, now: time::Instant) -> f64 {
        self.failures * decay(now.since(self.judged_at), FAILURE_HALF_LIFE)
    }

    fn record_outcome(&mut self, now: time::Instant, sample: f64) {
        let share = self.failure_share(now);
        self.failures = share + (sample - share) * FAILURE_WEIGHT;
        self.judged_at = now;
    }
}

/// Latencies from which costs are computed, in microseconds.
#[derive(Clone, Copy, Debug)]
struct BaseCosts {
    /// Lowest known latency of the candidates.
    best: f64,
    /// Latency that is assumed for a worker that was never heard of.
    unknown: f64,
}

impl BaseCosts {
    /// Computes the latencies from the known ones. An unknown worker counts as fast as the fastest
    /// known one, as it may have just started, and only a request shows its load. Where workers
    /// start cold it counts as slower than the mean, so that requests don't all go to cold ones.
    fn new(known: impl Iterator<Item = f64>, has_warm_up: bool) -> BaseCosts {
        let known: Vec<f64> = known.collect();
        let best = known.iter().copied().min_by(f64::total_cmp);
        let best = best.unwrap_or(DEFAULT_LATENCY.0 as f64);
        let unknown = match has_warm_up && !known.is_empty() {
            true => known.iter().sum::<f64>() / known.len() as f64 * UNKNOWN_FACTOR,
            false => best,
        };
        BaseCosts { best, unknown }
    }
}

/// Chooses workers by their reported load and by the results of requests.
#[derive(Clone, Debug, Default)]
pub struct WorkerSelector {
    records: HashMap<member::WorkerName, WorkerRecord>,
}

impl WorkerSelector {
    /// Returns the candidate with the lowest expected cost, or `None` if there are no candidates or
    /// no candidate takes the request in time. A paused candidate is chosen only if all are paused.
    /// `draw` returns random numbers from 0 to 1.
    pub fn select<'a>(
        &self,
        now: time::Instant,
        candidates: &'a [WorkerCandidate],
        request: SelectionRequest,
        draw: impl FnMut() -> f64,
    ) -> Option<&'a WorkerCandidate> {
        self.select_among(now, candidates, request, |_| true, draw)
    }

    /// Does the same for the candidates for which `is_eligible` returns `true`.
    fn select_among<'a>(
        &self,
        now: time::Instant,
        candidates: &'a [WorkerCandidate],
        request: SelectionRequest,
        is_eligible: impl Fn(&WorkerCandidate) -> bool,
        mut draw: impl FnMut() -> f64,
    ) -> Option<&'a WorkerCandidate> {
        let eligible = || candidates.iter().filter(|candidate| is_eligible(candidate));
        let is_paused = |candidate: &&WorkerCandidate| {
            let record = self.records.get(&candidate.worker);
            record.is_some_and(|record| now < record.paused_until)
        };
        let known = eligible().filter_map(|candidate| {
            let record = self.records.get(&candidate.worker)?;
            record.hint.map(|hint| hint.expected_latency.0 as f64)
        });
        let costs = BaseCosts::new(known, request.has_warm_up);
        let open = eligible().filter(|candidate| {
            self.closed_until(now, &candidate.worker, request.priority, request.latest_start)
                .is_none()
        });
        let scored = open.map(|candidate| {
            let cost = self.cost(now, candidate, request.is_bulk, costs);
            (is_paused(&candidate), cost * (1.0 + SCORE_JITTER * draw()), candidate)
        });
        let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, candidate)| candidate)
    }

    /// Returns whether any candidate may respond before the latest start of the request, as far as
    /// is known.
    pub fn may_respond(
        &self,
        now: time::Instant,
        candidates: &[WorkerCandidate],
        request: SelectionRequest,
    ) -> bool {
        let remaining = request.latest_start.since(now);
        candidates.iter().any(|candidate| {
            let Some(record) = self.records.get(&candidate.worker) else { return true };
            if record.closed_until(now, request.priority, request.latest_start).is_some() {
                return false;
            }
            let Some(hint) = record.hint else { return true };
            let expected = hint.expected_latency.0 as f64 * hint.weight(now) + hint.slowdown(now);
            now >= record.paused_until
                && expected + record.delivery_time(now, request.is_bulk) <= remaining.0 as f64
        })
    }

    /// Returns whether the worker is paused because its node couldn't be reached.
    pub fn is_paused(&self, now: time::Instant, worker: &member::WorkerName) -> bool {
        self.records.get(worker).is_some_and(|record| now < record.paused_until)
    }

    /// Returns the expected cost of a candidate, as latency in microseconds.
    fn cost(
        &self,
        now: time::Instant,
        candidate: &WorkerCandidate,
        is_bulk: bool,
        costs: BaseCosts,
    ) -> f64 {
        let BaseCosts { best, unknown } = costs;
        let zone_cost = match (candidate.is_same_zone, is_bulk) {
            (true, _) => time::Duration::ZERO,
            (false, false) => ZONE_COST,
            (false, true) => BULK_ZONE_COST,
        };
        let Some(record) = self.records.get(&candidate.worker) else {
            return unknown + zone_cost.0 as f64;
        };
        let expected = match record.hint {
            Some(hint) => {
                best + (hint.expected_latency.0 as f64 - best).max(0.0) * hint.weight(now)
                    + hint.slowdown(now)
            }
            None => unknown,
        };
        expected * (1.0 + record.in_flight(now, candidate.slots))
            + record.delivery_time(now, is_bulk)
            + zone_cost.0 as f64
            + record.failure_share(now) * FAILURE_COST.0 as f64
    }

    /// Records that a request was sent to a worker.
    pub fn record_sent(&mut self, worker: &member::WorkerName) {
        let record = self.records.entry(worker.clone()).or_default();
        record.outstanding += 1;
        record.sent_since_hint += 1;
    }

    /// Records the load that the node beside a worker reports.
    pub fn record_load(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        expected_latency: time::Duration,
        sending_time: time::Duration,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        let slowdown = time::Duration::ZERO;
        record.hint = Some(LoadHint { at: now, expected_latency, sending_time, slowdown });
        record.sent_since_hint = 0;
    }

    /// Records by how much later than the latest load says the responses of a worker are while its
    /// machine is slowed down.
    pub fn record_slowdown(&mut self, worker: &member::WorkerName, slowdown: time::Duration) {
        let hint = self.records.get_mut(worker).and_then(|record| record.hint.as_mut());
        if let Some(hint) = hint {
            hint.slowdown = slowdown;
        }
    }

    /// Records the transit time of a response: its latency without the time that the worker's node
    /// spent on it.
    pub fn record_transit(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        is_bulk: bool,
        transit: time::Duration,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        record.transit[usize::from(is_bulk)].measure(now, transit);
    }

    /// Records the result of a request.
    pub fn record_result(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        result: WorkerResult,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        record.outstanding = record.outstanding.saturating_sub(1);
        match result {
            WorkerResult::Success => {
                record.record_outcome(now, 0.0);
                record.pauses = 0;
                record.paused_until = now;
            }
            WorkerResult::Failed => record.record_outcome(now, 1.0),
            WorkerResult::Unreachable => {
                let pause = MIN_PAUSE.saturating_mul(1 << record.pauses.min(3));
                record.paused_until = now + time::Duration(pause.0.min(MAX_PAUSE.0));
                record.pauses += 1;
            }
            WorkerResult::Refused | WorkerResult::Cancelled => {}
        }
    }

    /// Keeps the workers for which `keep` returns `true` and those with outstanding requests.
    pub fn retain(&mut self, keep: impl Fn(&member::WorkerName) -> bool) {
        self.records.retain(|worker, record| record.outstanding > 0 || keep(worker));
    }
}
