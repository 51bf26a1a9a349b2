//! Choice of a worker for classes that any worker may serve.

use std::collections::HashMap;

use cornelridge_model::ident;
use cornelridge_model::time;

use crate::ejection;

/// Hints older than this are ignored.
const HINT_AGE: time::Duration = time::Duration::from_secs(1);
/// A worker with requests in flight that gives no response for this long is ejected.
const MIN_SILENCE: time::Duration = time::Duration::from_secs(1);
/// Silence is also measured in targets of the class, for classes that are slow by nature.
const SILENCE_TARGETS: u64 = 4;
/// A new or returned worker is given a growing share for this long.
const SLOW_START: time::Duration = time::Duration::from_secs(5);
/// Factor on the score of a worker that has just joined.
const SLOW_START_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the latency of a worker.
const LATENCY_GAIN: f64 = 0.2;
/// Weight of the newest sample in the mean latency of all workers.
const MEAN_GAIN: f64 = 0.05;
/// Time constant with which an old latency returns to the mean, so that the worker is tried again.
const LATENCY_MEMORY_US: f64 = 5e6;
/// Weight of the newest result in the share of failures and refusals.
const TROUBLE_GAIN: f64 = 0.2;
/// Time constant with which that share is forgotten.
const TROUBLE_MEMORY_US: f64 = 1e6;
/// Factor on the score of a worker that only fails or refuses.
const TROUBLE_FACTOR: f64 = 8.0;
/// Factor on the score of a worker that says it takes no work.
const CLOSED_FACTOR: f64 = 16.0;
/// Scores closer than this share are a tie, which the zone decides.
const TIE_SHARE: f64 = 0.1;
/// A trial that is given up after this many mean latencies counts as failed.
const SLOW_TRIAL: f64 = 4.0;
/// Random draws before the workers are scanned in order.
const MAX_DRAWS: usize = 8;

/// Number of an availability zone at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub u16);

/// Load that the egress node of a worker has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Running requests.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Expected wait for a slot.
    pub queue_delay: time::Duration,
    /// Whether the worker takes new work.
    pub accepting: bool,
}

/// A chosen worker; the request counts as in flight there until `finish`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerChoice {
    /// The worker.
    pub worker: ident::IncarnationId,
    /// Whether the request tests a worker that was ejected.
    pub trial: bool,
}

/// How a request ended at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerResult {
    /// The worker responded.
    Success,
    /// The worker or its egress node refused for load.
    Refused,
    /// The worker failed or didn't respond.
    Failed,
    /// This node gave the request up before it ended.
    Cancelled,
}

/// A hint with what this node had in flight when it came.
#[derive(Clone, Copy, Debug)]
struct ReceivedHint {
    hint: LoadHint,
    received: time::Instant,
    own: u32,
}

/// What this node knows of one worker.
#[derive(Clone, Debug)]
struct WorkerRecord {
    id: ident::IncarnationId,
    zone: ZoneIndex,
    started: time::Instant,
    in_flight: u32,
    latency_us: Option<f64>,
    latency_updated: time::Instant,
    trouble: f64,
    trouble_updated: time::Instant,
    progress: time::Instant,
    hint: Option<ReceivedHint>,
    health: ejection::WorkerHealth,
}

impl WorkerRecord {
    fn new(now: time::Instant, id: ident::IncarnationId, zone: ZoneIndex) -> WorkerRecord {
        WorkerRecord {
            id,
            zone,
            started: now,
            in_flight: 0,
            latency_us: None,
            latency_updated: now,
            trouble: 0.0,
            trouble_updated: now,
            progress: now,
            hint: None,
            health: ejection::WorkerHealth::new(now),
        }
    }

    fn has_failed_out(&self) -> bool {
        self.health.ejected_for() == Some(ejection::EjectionCause::Failures)
    }

    fn learn_latency(&mut self, now: time::Instant, sample_us: f64) {
        let known = self.latency_us.unwrap_or(sample_us);
        self.latency_us = Some(known + (sample_us - known) * LATENCY_GAIN);
        self.latency_updated = now;
    }

    fn learn_trouble(&mut self, now: time::Instant, troubled: bool) {
        let known = self.trouble_at(now);
        let sample = if troubled { 1.0 } else { 0.0 };
        self.trouble = known + (sample - known) * TROUBLE_GAIN;
        self.trouble_updated = now;
    }

    fn trouble_at(&self, now: time::Instant) -> f64 {
        if self.trouble == 0.0 {
            return 0.0;
        }
        self.trouble * decay(now.since(self.trouble_updated), TROUBLE_MEMORY_US)
    }

    fn latency_at(&self, now: time::Instant, mean_us: f64) -> f64 {
        let Some(known) = self.latency_us else { return mean_us };
        let weight = decay(now.since(self.latency_updated), LATENCY_MEMORY_US);
        mean_us + (known - mean_us) * weight
    }

    /// Own work counts at once; a hint can only add to it, and less so the older it is.
    fn load(&self, now: time::Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(received) = self.fresh_hint(now) else { return own };
        let since = self.in_flight.saturating_sub(received.own);
        let hinted = f64::from(received.hint.in_flight + received.hint.queued + since);
        let age = now.since(received.received).0 as f64 / HINT_AGE.0 as f64;
        own + (hinted - own).max(0.0) * (1.0 - age)
    }

    fn fresh_hint(&self, now: time::Instant) -> Option<&ReceivedHint> {
        self.hint.as_ref().filter(|received| now.since(received.received) < HINT_AGE)
    }

    /// Expected time to a response, with penalties; lower is better.
    fn score(&self, now: time::Instant, mean_us: f64) -> f64 {
        let mut score = (self.load(now) + 1.0) * self.latency_at(now, mean_us).max(1.0);
        score *= 1.0 + self.trouble_at(now) * TROUBLE_FACTOR;
        let age = now.since(self.started);
        if age < SLOW_START {
            let rest = 1.0 - age.0 as f64 / SLOW_START.0 as f64;
            score *= 1.0 + (SLOW_START_FACTOR - 1.0) * rest;
        }
        if let Some(received) = self.fresh_hint(now) {
            score += received.hint.queue_delay.0 as f64;
            if !received.hint.accepting {
                score *= CLOSED_FACTOR;
            }
        }
        score
    }
}

fn decay(age: time::Duration, memory_us: f64) -> f64 {
    (-(age.0 as f64) / memory_us).exp()
}

/// Chooses workers of one class.
#[derive(Debug)]
pub struct WorkerSelector {
    zone: ZoneIndex,
    silence: time::Duration,
    workers: Vec<WorkerRecord>,
    places: HashMap<ident::IncarnationId, usize>,
    mean_us: f64,
    samples: u32,
}

impl WorkerSelector {
    /// Creates a selector without workers for a node in `zone` and a class with `target`.
    pub fn new(zone: ZoneIndex, target: time::Duration) -> WorkerSelector {
        WorkerSelector {
            zone,
            silence: MIN_SILENCE.max(target.saturating_mul(SILENCE_TARGETS)),
            workers: Vec::new(),
            places: HashMap::new(),
            mean_us: target.0.max(1) as f64 / 2.0,
            samples: 0,
        }
    }

    /// Adds a worker that may be cold, or changes the zone of a known one.
    pub fn insert(&mut self, now: time::Instant, worker: ident::IncarnationId, zone: ZoneIndex) {
        if let Some(record) = self.record(worker) {
            record.zone = zone;
            return;
        }
        self.places.insert(worker, self.workers.len());
        self.workers.push(WorkerRecord::new(now, worker, zone));
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: ident::IncarnationId) {
        let Some(place) = self.places.remove(&worker) else { return };
        self.workers.swap_remove(place);
        if let Some(moved) = self.workers.get(place) {
            self.places.insert(moved.id, place);
        }
        while self.ejected_for_failures() * 2 > self.workers.len() {
            self.reinstate_one();
        }
    }

    /// Records the load that an egress node has sent.
    pub fn record_load(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
        hint: LoadHint,
    ) {
        if let Some(record) = self.record(worker) {
            record.hint = Some(ReceivedHint { hint, received: now, own: record.in_flight });
        }
    }

    /// Chooses a worker that isn't in `tried`, or `None` if there is no other.
    pub fn select(
        &mut self,
        now: time::Instant,
        tried: &[ident::IncarnationId],
        rng: &mut fastrand::Rng,
    ) -> Option<WorkerChoice> {
        let place = match self.draw(now, tried, None, rng) {
            None => self.last_resort(tried, rng)?,
            Some(first) => match self.draw(now, tried, Some(first), rng) {
                None => first,
                Some(second) => self.better(now, first, second),
            },
        };
        Some(self.start(now, place))
    }

    /// Counts a request for a worker that was chosen otherwise, such as a suspect's.
    pub fn assign(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
    ) -> Option<WorkerChoice> {
        let place = *self.places.get(&worker)?;
        Some(self.start(now, place))
    }

    /// The workers, in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = ident::IncarnationId> + '_ {
        self.workers.iter().map(|record| record.id)
    }

    /// Records a sign of life before the end of a request, such as the head of a response.
    pub fn record_progress(&mut self, now: time::Instant, worker: ident::IncarnationId) {
        if let Some(record) = self.record(worker) {
            record.progress = now;
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
        let Some(&place) = self.places.get(&worker) else { return };
        let record = &mut self.workers[place];
        record.in_flight = record.in_flight.saturating_sub(1);
        match result {
            WorkerResult::Success => {
                record.progress = now;
                record.learn_latency(now, sample_us);
                record.learn_trouble(now, false);
                if record.health.succeeded(now) {
                    record.started = now;
                }
                self.samples = self.samples.saturating_add(1);
                let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples));
                self.mean_us += (sample_us - self.mean_us) * gain;
            }
            WorkerResult::Refused => {
                record.progress = now;
                record.learn_trouble(now, true);
                record.health.trial_given_up(now, false);
            }
            WorkerResult::Failed => self.fail(now, place, sample_us),
            WorkerResult::Cancelled => {
                learn_if_longer(record, now, sample_us);
                record.health.trial_given_up(now, sample_us > self.mean_us * SLOW_TRIAL);
            }
        }
    }

    /// Ejects workers that have gone silent; call it about every 100 ms.
    pub fn tick(&mut self, now: time::Instant) {
        for record in &mut self.workers {
            let silent = record.in_flight > 0 && now.since(record.progress) >= self.silence;
            if silent && record.health.ejected_for().is_none() {
                record.health.eject(now, ejection::EjectionCause::Silence);
            }
        }
    }

    /// Number of workers that are ejected now.
    pub fn ejected(&self) -> usize {
        self.workers.iter().filter(|record| record.health.ejected_for().is_some()).count()
    }

    /// Requests of this node in flight at a worker.
    pub fn in_flight(&self, worker: ident::IncarnationId) -> u32 {
        self.places.get(&worker).map_or(0, |&place| self.workers[place].in_flight)
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    fn start(&mut self, now: time::Instant, place: usize) -> WorkerChoice {
        let record = &mut self.workers[place];
        let trial = record.health.availability(now) != ejection::WorkerAvailability::Serving;
        if trial {
            record.health.start_trial();
        }
        if record.in_flight == 0 {
            record.progress = now;
        }
        record.in_flight += 1;
        WorkerChoice { worker: record.id, trial }
    }

    fn record(&mut self, worker: ident::IncarnationId) -> Option<&mut WorkerRecord> {
        let place = *self.places.get(&worker)?;
        self.workers.get_mut(place)
    }

    fn ejected_for_failures(&self) -> usize {
        self.workers.iter().filter(|record| record.has_failed_out()).count()
    }

    /// The worker that gave the latest sign of life returns first.
    fn reinstate_one(&mut self) {
        let failed = self.workers.iter_mut().filter(|record| record.has_failed_out());
        if let Some(record) = failed.max_by_key(|record| (record.progress, record.id)) {
            record.health.reinstate(record.progress);
        }
    }

    fn fail(&mut self, now: time::Instant, place: usize, sample_us: f64) {
        let may_eject = (self.ejected_for_failures() + 1) * 2 <= self.workers.len();
        let record = &mut self.workers[place];
        record.learn_trouble(now, true);
        learn_if_longer(record, now, sample_us);
        if record.health.failed(now) && may_eject {
            record.health.eject(now, ejection::EjectionCause::Failures);
        }
    }

    /// Draws a worker that can be given the request; a retry is never used as a trial.
    fn draw(
        &self,
        now: time::Instant,
        tried: &[ident::IncarnationId],
        other: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let len = self.workers.len();
        if len == 0 {
            return None;
        }
        let usable = |&place: &usize| {
            let record = &self.workers[place];
            let available = match record.health.availability(now) {
                ejection::WorkerAvailability::Serving => true,
                ejection::WorkerAvailability::TrialDue => tried.is_empty(),
                ejection::WorkerAvailability::Unavailable => false,
            };
            available && Some(place) != other && !tried.contains(&record.id)
        };
        let drawn = (0..MAX_DRAWS).map(|_| rng.usize(..len)).find(usable);
        drawn.or_else(|| {
            let start = rng.usize(..len);
            (start..len).chain(0..start).find(usable)
        })
    }

    /// When every worker is ejected, requests go to any of them rather than to none.
    fn last_resort(
        &self,
        tried: &[ident::IncarnationId],
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let len = self.workers.len();
        let start = rng.usize(..len.max(1));
        let untried = |&place: &usize| !tried.contains(&self.workers[place].id);
        (start..len).chain(0..start).find(untried)
    }

    fn better(&self, now: time::Instant, first: usize, second: usize) -> usize {
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
            // Both were drawn at random, so ties are spread.
            _ if tied || score <= other => first,
            _ => second,
        }
    }
}

/// The age of a request that didn't complete is a lower bound of its latency.
fn learn_if_longer(record: &mut WorkerRecord, now: time::Instant, sample_us: f64) {
    if record.latency_us.is_none_or(|known| sample_us > known) {
        record.learn_latency(now, sample_us);
    }
}
