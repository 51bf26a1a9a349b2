//! Chooses a worker for a request that any worker of a service may run.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::member;

/// Time in which half of what a worker's node said about its load is forgotten, so that a worker
/// that was slow is tried again.
const LOAD_HALF_LIFE: time::Duration = time::Duration::from_millis(1_500);
/// Expected time where nothing is known of any worker of a service.
const DEFAULT_LATENCY: time::Duration = time::Duration::from_millis(100);
/// Weight of one answer in the mean time on the way.
const TRANSIT_WEIGHT: f64 = 0.25;
/// Time in which half of the mean time on the way is forgotten without any answer, so that a node
/// whose link was slow is tried again.
const TRANSIT_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// Weight of one result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time in which the share of failures halves without any result.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// What a failure costs, as expected time: a failed request is worth nothing, and the next attempt
/// takes a whole service time more.
const FAILURE_COST: time::Duration = time::Duration::from_millis(1_500);
/// What another zone costs, as expected time.
const ZONE_COST: time::Duration = time::Duration::from_millis(12);
/// The same for large answers: their bytes between zones cost about half of what an answer in time
/// is worth, so that a near worker is preferred while it can still answer in time.
const BULK_ZONE_COST: time::Duration = time::Duration::from_millis(220);
/// Scores differ by up to this part at random, so that nodes with the same hints don't all choose
/// the same worker.
const SCORE_JITTER: f64 = 0.3;
/// Pause after a first failure to reach a node; doubles with each further one.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Longest pause.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_600);

/// A worker that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCandidate {
    /// The worker.
    pub worker: member::WorkerName,
    /// The node beside it.
    pub node: Arc<str>,
    /// Whether it is in the zone of this node.
    pub is_same_zone: bool,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// How an attempt ended, as far as the choice is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerResult {
    /// With a usable answer.
    Success,
    /// The worker failed the request or broke off.
    Failed,
    /// The request was refused for lack of room.
    Refused,
    /// The node can't be reached, or its worker has gone.
    Unreachable,
    /// The caller left, so that nothing was learned.
    Cancelled,
}

/// Mean time on the way, forgotten slowly.
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
        // The older the mean, the more one answer counts.
        let weight =
            TRANSIT_WEIGHT.max(1.0 - decay(now.since(self.measured_at), TRANSIT_HALF_LIFE));
        self.micros += (sample.0 as f64 - self.micros) * weight;
        self.measured_at = now;
    }
}

/// What is left of 1 after `age`.
fn decay(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// What the node beside a worker said about its load.
#[derive(Clone, Copy, Debug)]
struct LoadHint {
    at: time::Instant,
    /// Time from the arrival of a request to its answer.
    expected_latency: time::Duration,
    /// Time that a large answer takes to reach its caller after that.
    sending_time: time::Duration,
}

impl LoadHint {
    /// What is left of it, from 1 to 0.
    fn weight(self, now: time::Instant) -> f64 {
        decay(now.since(self.at), LOAD_HALF_LIFE)
    }
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    outstanding: u32,
    /// Requests sent since the last hint.
    sent_since_hint: u32,
    /// What the node beside the worker stated last.
    hint: Option<LoadHint>,
    /// Time on the way to and from the worker's node, for small and for large answers.
    transit: [TransitMean; 2],
    failures: f64,
    judged_at: time::Instant,
    paused_until: time::Instant,
    pauses: u32,
}

impl WorkerRecord {
    /// Requests without an answer, if the worker's node has been silent for a while: it may be
    /// lost.
    fn unanswered(&self, now: time::Instant) -> u32 {
        match self.hint {
            Some(hint) if now.since(hint.at) < LOAD_HALF_LIFE => 0,
            _ => self.outstanding,
        }
    }

    /// Time on the way and, for large answers, in the queue of the link, in microseconds.
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

/// What this node has learned about workers elsewhere.
#[derive(Clone, Debug, Default)]
pub struct WorkerSelector {
    records: HashMap<member::WorkerName, WorkerRecord>,
}

impl WorkerSelector {
    /// The candidate with the lowest expected cost; `draw` is random in 0 to 1. A paused candidate
    /// is chosen only when all are.
    pub fn select<'a>(
        &self,
        now: time::Instant,
        candidates: &'a [WorkerCandidate],
        is_bulk: bool,
        mut draw: impl FnMut() -> f64,
    ) -> Option<&'a WorkerCandidate> {
        let is_paused = |candidate: &&WorkerCandidate| {
            let record = self.records.get(&candidate.worker);
            record.is_some_and(|record| now < record.paused_until)
        };
        let known = candidates.iter().filter_map(|candidate| {
            let record = self.records.get(&candidate.worker)?;
            record.hint.map(|hint| hint.expected_latency.0 as f64)
        });
        // A worker of which nothing is known counts as the best of the others: it may have just
        // come, and only a request shows how it is.
        let best = known.min_by(f64::total_cmp).unwrap_or(DEFAULT_LATENCY.0 as f64);
        let scored = candidates.iter().map(|candidate| {
            let cost = self.cost(now, candidate, is_bulk, best);
            (is_paused(&candidate), cost * (1.0 + SCORE_JITTER * draw()), candidate)
        });
        let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, candidate)| candidate)
    }

    /// Whether any candidate may answer within `left`, as far as is known.
    pub fn may_respond(
        &self,
        now: time::Instant,
        candidates: &[WorkerCandidate],
        is_bulk: bool,
        remaining: time::Duration,
    ) -> bool {
        candidates.iter().any(|candidate| {
            let Some(record) = self.records.get(&candidate.worker) else { return true };
            let Some(hint) = record.hint else { return true };
            let expected = hint.expected_latency.0 as f64 * hint.weight(now);
            now >= record.paused_until
                && expected + record.delivery_time(now, is_bulk) <= remaining.0 as f64
        })
    }

    /// Whether a worker's node couldn't be reached a moment ago.
    pub fn is_paused(&self, now: time::Instant, worker: &member::WorkerName) -> bool {
        self.records.get(worker).is_some_and(|record| now < record.paused_until)
    }

    fn cost(
        &self,
        now: time::Instant,
        candidate: &WorkerCandidate,
        is_bulk: bool,
        best: f64,
    ) -> f64 {
        let zone_cost = match (candidate.is_same_zone, is_bulk) {
            (true, _) => time::Duration::ZERO,
            (false, false) => ZONE_COST,
            (false, true) => BULK_ZONE_COST,
        };
        let Some(record) = self.records.get(&candidate.worker) else {
            return best + zone_cost.0 as f64;
        };
        let slots = f64::from(candidate.slots.max(1));
        let expected = match record.hint {
            Some(hint) => {
                best + (hint.expected_latency.0 as f64 - best).max(0.0) * hint.weight(now)
            }
            None => best,
        };
        let in_flight = f64::from(record.sent_since_hint.max(record.unanswered(now)));
        expected * (1.0 + in_flight / slots)
            + record.delivery_time(now, is_bulk)
            + zone_cost.0 as f64
            + record.failure_share(now) * FAILURE_COST.0 as f64
    }

    /// Notes that a request is on its way.
    pub fn record_sent(&mut self, worker: &member::WorkerName) {
        let record = self.records.entry(worker.clone()).or_default();
        record.outstanding += 1;
        record.sent_since_hint += 1;
    }

    /// Takes over what the node beside a worker says about its load.
    pub fn record_load(
        &mut self,
        now: time::Instant,
        worker: &member::WorkerName,
        expected_latency: time::Duration,
        sending_time: time::Duration,
    ) {
        let record = self.records.entry(worker.clone()).or_default();
        record.hint = Some(LoadHint { at: now, expected_latency, sending_time });
        record.sent_since_hint = 0;
    }

    /// Notes the time that an answer took apart from what the worker's node spent on it.
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

    /// Notes how a request ended.
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

    /// Forgets the workers that `keep` doesn't name.
    pub fn retain(&mut self, keep: impl Fn(&member::WorkerName) -> bool) {
        self.records.retain(|worker, record| record.outstanding > 0 || keep(worker));
    }
}
