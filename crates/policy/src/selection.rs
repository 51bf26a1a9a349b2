//! Selection of a worker for classes that any worker may serve.

use std::collections::HashMap;

use cornelridge_model::ident;
use cornelridge_model::time;

use crate::ejection;

/// Age from which a load hint is ignored.
const MAX_HINT_AGE: time::Duration = time::Duration::from_secs(1);
/// Minimum silence timeout, after which a worker with requests in flight but without a response is
/// ejected.
const MIN_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Minimum silence timeout in latency targets of the class, for classes that are slow by nature.
const SILENCE_TIMEOUT_TARGETS: u64 = 4;
/// Time over which the share of a new or returned worker grows.
const SLOW_START: time::Duration = time::Duration::from_secs(5);
/// Factor on the score of a worker at the beginning of its slow start.
const SLOW_START_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the average latency of a worker.
const LATENCY_GAIN: f64 = 0.2;
/// Weight of the newest sample in the average latency of all workers.
const MEAN_GAIN: f64 = 0.05;
/// Time constant in microseconds with which the latency of an unused worker decays to the mean, so
/// that the worker is chosen again.
const LATENCY_TIME_CONSTANT_US: f64 = 5e6;
/// Weight of the newest result in the error rate of a worker.
const ERROR_RATE_GAIN: f64 = 0.2;
/// Time constant of the decay of the error rate, in microseconds.
const ERROR_RATE_TIME_CONSTANT_US: f64 = 1e6;
/// The score of a worker is multiplied by 1 plus this value times its error rate.
const ERROR_RATE_PENALTY: f64 = 8.0;
/// Factor on the score of a worker that reports that it accepts no work.
const NOT_ACCEPTING_FACTOR: f64 = 16.0;
/// Relative difference up to which two scores are a tie, which the zone decides.
const TIE_SHARE: f64 = 0.1;
/// Number of mean latencies after which a cancelled trial counts as failed.
const SLOW_TRIAL_FACTOR: f64 = 4.0;
/// Maximum number of random draws before the workers are scanned in order.
const MAX_DRAWS: usize = 8;

/// Index of an availability zone at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub u16);

/// Load that the egress node of a worker reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Expected wait for a slot.
    pub queue_delay: time::Duration,
    /// Whether the worker accepts new requests.
    pub accepting: bool,
}

/// A chosen worker. The request counts as in flight there until `finish` is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerChoice {
    /// The worker.
    pub worker: ident::IncarnationId,
    /// Whether the request is the trial of an ejected worker.
    pub trial: bool,
}

/// How a request ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerResult {
    /// The worker responded.
    Success,
    /// The worker or its egress node refused the request because of load.
    Refused,
    /// The worker failed or didn't respond.
    Failed,
    /// This node cancelled the request before its end.
    Cancelled,
}

/// A load hint and the number of this node's requests in flight when the hint was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedHint {
    hint: LoadHint,
    received: time::Instant,
    in_flight_at_receipt: u32,
}

/// State of one worker at this node.
#[derive(Clone, Debug)]
struct WorkerRecord {
    id: ident::IncarnationId,
    zone: ZoneIndex,
    serving_since: time::Instant,
    in_flight: u32,
    latency_us: Option<f64>,
    latency_updated: time::Instant,
    error_rate: f64,
    error_rate_updated: time::Instant,
    last_progress: time::Instant,
    hint: Option<ReceivedHint>,
    health: ejection::WorkerHealth,
}

impl WorkerRecord {
    fn new(now: time::Instant, id: ident::IncarnationId, zone: ZoneIndex) -> WorkerRecord {
        WorkerRecord {
            id,
            zone,
            serving_since: now,
            in_flight: 0,
            latency_us: None,
            latency_updated: now,
            error_rate: 0.0,
            error_rate_updated: now,
            last_progress: now,
            hint: None,
            health: ejection::WorkerHealth::new(now),
        }
    }

    fn is_ejected_for_failures(&self) -> bool {
        self.health.ejection_cause() == Some(ejection::EjectionCause::Failures)
    }

    fn record_latency(&mut self, now: time::Instant, sample_us: f64) {
        let previous_us = self.latency_us.unwrap_or(sample_us);
        self.latency_us = Some(previous_us + (sample_us - previous_us) * LATENCY_GAIN);
        self.latency_updated = now;
    }

    fn record_error(&mut self, now: time::Instant, is_error: bool) {
        let previous = self.error_rate_at(now);
        let sample = if is_error { 1.0 } else { 0.0 };
        self.error_rate = previous + (sample - previous) * ERROR_RATE_GAIN;
        self.error_rate_updated = now;
    }

    /// Returns the decayed share of failures and refusals in the results, from 0 to 1.
    fn error_rate_at(&self, now: time::Instant) -> f64 {
        if self.error_rate == 0.0 {
            return 0.0;
        }
        self.error_rate * decay(now.since(self.error_rate_updated), ERROR_RATE_TIME_CONSTANT_US)
    }

    fn latency_at(&self, now: time::Instant, mean_us: f64) -> f64 {
        let Some(latency_us) = self.latency_us else { return mean_us };
        let weight = decay(now.since(self.latency_updated), LATENCY_TIME_CONSTANT_US);
        mean_us + (latency_us - mean_us) * weight
    }

    /// Returns the estimated number of requests at the worker. Requests of this node count in full;
    /// a hint can only add to them, and adds less with age.
    fn load(&self, now: time::Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(received) = self.fresh_hint(now) else { return own };
        let added = self.in_flight.saturating_sub(received.in_flight_at_receipt);
        let hinted = f64::from(received.hint.in_flight + received.hint.queued + added);
        let age = now.since(received.received).0 as f64 / MAX_HINT_AGE.0 as f64;
        own + (hinted - own).max(0.0) * (1.0 - age)
    }

    fn fresh_hint(&self, now: time::Instant) -> Option<&ReceivedHint> {
        self.hint.as_ref().filter(|received| now.since(received.received) < MAX_HINT_AGE)
    }

    /// Returns the expected time to a response in microseconds, with penalties. Lower is better.
    fn score(&self, now: time::Instant, mean_us: f64) -> f64 {
        let mut score = (self.load(now) + 1.0) * self.latency_at(now, mean_us).max(1.0);
        score *= 1.0 + self.error_rate_at(now) * ERROR_RATE_PENALTY;
        let age = now.since(self.serving_since);
        if age < SLOW_START {
            let remaining = 1.0 - age.0 as f64 / SLOW_START.0 as f64;
            score *= 1.0 + (SLOW_START_FACTOR - 1.0) * remaining;
        }
        if let Some(received) = self.fresh_hint(now) {
            score += received.hint.queue_delay.0 as f64;
            if !received.hint.accepting {
                score *= NOT_ACCEPTING_FACTOR;
            }
        }
        score
    }
}

/// Returns the weight that an exponential average gives to a value of this age.
fn decay(age: time::Duration, time_constant_us: f64) -> f64 {
    (-(age.0 as f64) / time_constant_us).exp()
}

/// Selects workers for the requests of one class.
#[derive(Debug)]
pub struct WorkerSelector {
    zone: ZoneIndex,
    silence_timeout: time::Duration,
    workers: Vec<WorkerRecord>,
    indices: HashMap<ident::IncarnationId, usize>,
    mean_us: f64,
    samples: u32,
}

impl WorkerSelector {
    /// Creates a selector without workers for a node in `zone` and a class with latency `target`.
    pub fn new(zone: ZoneIndex, target: time::Duration) -> WorkerSelector {
        WorkerSelector {
            zone,
            silence_timeout: MIN_SILENCE_TIMEOUT
                .max(target.saturating_mul(SILENCE_TIMEOUT_TARGETS)),
            workers: Vec::new(),
            indices: HashMap::new(),
            mean_us: target.0.max(1) as f64 / 2.0,
            samples: 0,
        }
    }

    /// Adds a worker with a slow start, or updates the zone of a known one.
    pub fn insert(&mut self, now: time::Instant, worker: ident::IncarnationId, zone: ZoneIndex) {
        if let Some(record) = self.record_mut(worker) {
            record.zone = zone;
            return;
        }
        self.indices.insert(worker, self.workers.len());
        self.workers.push(WorkerRecord::new(now, worker, zone));
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: ident::IncarnationId) {
        let Some(index) = self.indices.remove(&worker) else { return };
        self.workers.swap_remove(index);
        if let Some(moved) = self.workers.get(index) {
            self.indices.insert(moved.id, index);
        }
        while self.count_ejected_for_failures() * 2 > self.workers.len() {
            self.reinstate_one();
        }
    }

    /// Records the load that the egress node of a worker reports.
    pub fn record_load(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
        hint: LoadHint,
    ) {
        if let Some(record) = self.record_mut(worker) {
            record.hint =
                Some(ReceivedHint { hint, received: now, in_flight_at_receipt: record.in_flight });
        }
    }

    /// Selects the better of two random workers that aren't in `tried`, or returns `None` if all
    /// workers were tried.
    pub fn select(
        &mut self,
        now: time::Instant,
        tried: &[ident::IncarnationId],
        rng: &mut fastrand::Rng,
    ) -> Option<WorkerChoice> {
        let index = match self.draw(now, tried, None, rng) {
            None => self.any_untried(tried, rng)?,
            Some(first) => match self.draw(now, tried, Some(first), rng) {
                None => first,
                Some(second) => self.pick_better(now, first, second),
            },
        };
        Some(self.start(now, index))
    }

    /// Assigns a request to a given worker, such as a suspect to its worker. Returns `None` if the
    /// worker is unknown.
    pub fn assign(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
    ) -> Option<WorkerChoice> {
        let index = *self.indices.get(&worker)?;
        Some(self.start(now, index))
    }

    /// Returns the workers in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = ident::IncarnationId> + '_ {
        self.workers.iter().map(|record| record.id)
    }

    /// Records that the worker responds before the end of a request, such as with a response head.
    pub fn record_progress(&mut self, now: time::Instant, worker: ident::IncarnationId) {
        if let Some(record) = self.record_mut(worker) {
            record.last_progress = now;
        }
    }

    /// Records the end of a request at the worker that was chosen for it.
    pub fn finish(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
        latency: time::Duration,
        result: WorkerResult,
    ) {
        let sample_us = latency.0 as f64;
        let Some(&index) = self.indices.get(&worker) else { return };
        let record = &mut self.workers[index];
        record.in_flight = record.in_flight.saturating_sub(1);
        match result {
            WorkerResult::Success => {
                record.last_progress = now;
                record.record_latency(now, sample_us);
                record.record_error(now, false);
                if record.health.record_success(now) {
                    record.serving_since = now;
                }
                self.samples = self.samples.saturating_add(1);
                let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples));
                self.mean_us += (sample_us - self.mean_us) * gain;
            }
            WorkerResult::Refused => {
                record.last_progress = now;
                record.record_error(now, true);
                record.health.abandon_trial(now, false);
            }
            WorkerResult::Failed => self.record_failure(now, index, sample_us),
            WorkerResult::Cancelled => {
                record_latency_if_longer(record, now, sample_us);
                record.health.abandon_trial(now, sample_us > self.mean_us * SLOW_TRIAL_FACTOR);
            }
        }
    }

    /// Ejects workers that have stopped responding. Call this about every 100 ms.
    pub fn tick(&mut self, now: time::Instant) {
        for record in &mut self.workers {
            let silent =
                record.in_flight > 0 && now.since(record.last_progress) >= self.silence_timeout;
            if silent && record.health.ejection_cause().is_none() {
                record.health.eject(now, ejection::EjectionCause::Silence);
            }
        }
    }

    /// Returns the number of ejected workers.
    pub fn ejected(&self) -> usize {
        self.workers.iter().filter(|record| record.health.ejection_cause().is_some()).count()
    }

    /// Returns the number of this node's requests in flight at a worker.
    pub fn in_flight(&self, worker: ident::IncarnationId) -> u32 {
        self.indices.get(&worker).map_or(0, |&index| self.workers[index].in_flight)
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    fn start(&mut self, now: time::Instant, index: usize) -> WorkerChoice {
        let record = &mut self.workers[index];
        let trial = record.health.availability(now) != ejection::WorkerAvailability::Serving;
        if trial {
            record.health.start_trial();
        }
        if record.in_flight == 0 {
            record.last_progress = now;
        }
        record.in_flight += 1;
        WorkerChoice { worker: record.id, trial }
    }

    fn record_mut(&mut self, worker: ident::IncarnationId) -> Option<&mut WorkerRecord> {
        let index = *self.indices.get(&worker)?;
        self.workers.get_mut(index)
    }

    fn count_ejected_for_failures(&self) -> usize {
        self.workers.iter().filter(|record| record.is_ejected_for_failures()).count()
    }

    /// Reinstates the worker with the most recent progress among those ejected for failures.
    fn reinstate_one(&mut self) {
        let failed = self.workers.iter_mut().filter(|record| record.is_ejected_for_failures());
        if let Some(record) = failed.max_by_key(|record| (record.last_progress, record.id)) {
            record.health.reinstate(record.last_progress);
        }
    }

    fn record_failure(&mut self, now: time::Instant, index: usize, sample_us: f64) {
        let may_eject = (self.count_ejected_for_failures() + 1) * 2 <= self.workers.len();
        let record = &mut self.workers[index];
        record.record_error(now, true);
        record_latency_if_longer(record, now, sample_us);
        if record.health.record_failure(now) && may_eject {
            record.health.eject(now, ejection::EjectionCause::Failures);
        }
    }

    /// Draws a random worker, except `excluded`, that may be given the request. A retry is never
    /// used as a trial.
    fn draw(
        &self,
        now: time::Instant,
        tried: &[ident::IncarnationId],
        excluded: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let len = self.workers.len();
        if len == 0 {
            return None;
        }
        let usable = |&index: &usize| {
            let record = &self.workers[index];
            let available = match record.health.availability(now) {
                ejection::WorkerAvailability::Serving => true,
                ejection::WorkerAvailability::TrialDue => tried.is_empty(),
                ejection::WorkerAvailability::Unavailable => false,
            };
            available && Some(index) != excluded && !tried.contains(&record.id)
        };
        let drawn = (0..MAX_DRAWS).map(|_| rng.usize(..len)).find(usable);
        drawn.or_else(|| {
            let start = rng.usize(..len);
            (start..len).chain(0..start).find(usable)
        })
    }

    /// Draws a random worker that hasn't been tried, whether ejected or not. If every worker is
    /// ejected, requests go to any of them rather than to none.
    fn any_untried(
        &self,
        tried: &[ident::IncarnationId],
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let len = self.workers.len();
        let start = rng.usize(..len.max(1));
        let untried = |&index: &usize| !tried.contains(&self.workers[index].id);
        (start..len).chain(0..start).find(untried)
    }

    fn pick_better(&self, now: time::Instant, first: usize, second: usize) -> usize {
        let (one, two) = (&self.workers[first], &self.workers[second]);
        let trial_due = |record: &WorkerRecord| {
            record.health.availability(now) == ejection::WorkerAvailability::TrialDue
        };
        if trial_due(one) {
            return first;
        }
        if trial_due(two) {
            return second;
        }
        let (score, other) = (one.score(now, self.mean_us), two.score(now, self.mean_us));
        let tied = (score - other).abs() <= score.min(other) * TIE_SHARE;
        match (one.zone == self.zone, two.zone == self.zone) {
            (false, true) if tied => second,
            // Both workers were drawn at random, so ties are distributed evenly.
            _ if tied || score <= other => first,
            _ => second,
        }
    }
}

/// Records the age of a request that didn't complete, which is a lower bound of its latency, if it
/// exceeds the average.
fn record_latency_if_longer(record: &mut WorkerRecord, now: time::Instant, sample_us: f64) {
    if record.latency_us.is_none_or(|latency_us| sample_us > latency_us) {
        record.record_latency(now, sample_us);
    }
}
