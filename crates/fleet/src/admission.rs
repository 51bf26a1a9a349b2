//! Slots of the worker beside the node, and the queue in front of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cornelridge_model::time;
use derive_more::Display;

/// Service time that is assumed before any was measured.
const DEFAULT_SERVICE_TIME: time::Duration = time::Duration::from_millis(100);
/// Weight of one measurement in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.08;
/// Weight of one measurement in the mean of all routes, which is compared between workers and has
/// to be steady.
const CAPACITY_WEIGHT: f64 = 0.03;
/// Requests from which their mean says something about the worker: service times differ by a
/// factor of ten from request to request.
const MIN_SAMPLES: u32 = 24;
/// Part of the mean service time that must fit before the deadline, as many requests are shorter
/// than the mean.
const MIN_SERVICE_SHARE: f64 = 0.5;
/// Most queued requests; more could not be served within any target.
const MAX_QUEUED: usize = 512;
/// Time after which a limit that was lowered by a shedding worker grows by one slot.
const LIMIT_RECOVERY_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Time for which a served request shows how many the worker can run at once; a few service times.
const MAX_CONCURRENCY_AGE: time::Duration = time::Duration::from_millis(1_500);
/// Shortest time after which a refused request may come again.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(40);

/// Number of a request at this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionKey(pub u64);

/// What the gate needs to know of a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Kind of work, by which service times are learned.
    pub route: Arc<str>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether a worker made it for a request that it runs.
    pub is_call: bool,
    /// When an answer is worth less.
    pub target: time::Instant,
    /// When an answer is worth nothing.
    pub deadline: time::Instant,
    /// Time that the answer will take to reach its caller once it is ready.
    pub sending_time: time::Duration,
}

impl AdmissionRequest {
    /// When the answer must be there at the latest to be worth a slot. A call that is refused wastes the work of the
    /// request that waits for it; one that is late only delays it. The most urgent rank is taken
    /// for calls too, as not every call can be told from other requests.
    pub fn cutoff(&self) -> time::Instant {
        if self.is_call || self.priority == 0 { self.deadline } else { self.target }
    }

    /// Place in the queue: by priority, and calls before other requests.
    fn rank(&self) -> QueueRank {
        QueueRank { priority: self.priority, is_request: !self.is_call }
    }
}

/// Place of a request in the queue, apart from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    priority: u8,
    /// Whether it isn't a call.
    is_request: bool,
}

/// The place behind all others.
const LAST_RANK: QueueRank = QueueRank { priority: u8::MAX, is_request: true };

/// Answer to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It has a slot.
    Run,
    /// It waits for one.
    Wait,
    /// It can't be served in time.
    Refuse(AdmissionRefusal),
}

/// What a refused request would have waited for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// The link of the machine.
    #[display("link")]
    Link,
    /// A slot of the worker.
    #[display("slots")]
    Slots,
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// What it would have waited for.
    pub reason: RefusalReason,
    /// Time that it would have waited.
    pub expected_wait: time::Duration,
    /// Time after which it may come again.
    pub retry_after: time::Duration,
}

/// What to tell a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// It has a slot now.
    Run(AdmissionKey),
    /// It can't be served in time any more.
    Refuse(AdmissionKey, AdmissionRefusal),
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// With an answer, after this time at the worker.
    Served(time::Duration),
    /// The worker had no room for it.
    Shed,
    /// In another way.
    Failed,
}

/// What others may know about the gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Requests at the worker.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Expected time from arrival to answer.
    pub expected_latency: time::Duration,
    /// Time that a large answer takes to reach its caller after that.
    pub sending_time: time::Duration,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    route: Arc<str>,
    since: time::Instant,
    /// Requests that ran when it started, itself included.
    concurrency: u32,
}

/// How many requests the worker was seen to run at once.
#[derive(Clone, Copy, Debug, Default)]
struct ProvenConcurrency {
    concurrency: u32,
    at: time::Instant,
}

impl ProvenConcurrency {
    /// The level, or 0 when it was seen too long ago.
    fn current(self, now: time::Instant) -> u32 {
        if now.since(self.at) > MAX_CONCURRENCY_AGE { 0 } else { self.concurrency }
    }
}

/// Orders and bounds the work of one worker.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    limit: u32,
    limit_changed_at: time::Instant,
    /// The worker served a request that started beside so many others.
    proven: ProvenConcurrency,
    running: HashMap<AdmissionKey, RunningRequest>,
    queue: BTreeMap<(QueueRank, AdmissionKey), AdmissionRequest>,
    service_times: HashMap<Arc<str>, f64>,
    /// Mean service time of all routes, in microseconds.
    mean_service_us: f64,
    /// Requests that the mean is made of.
    samples: u32,
}

impl AdmissionQueue {
    /// A gate without slots.
    pub fn new(now: time::Instant) -> AdmissionQueue {
        AdmissionQueue {
            slots: 0,
            limit: 0,
            limit_changed_at: now,
            proven: ProvenConcurrency::default(),
            running: HashMap::new(),
            queue: BTreeMap::new(),
            service_times: HashMap::new(),
            mean_service_us: 0.0,
            samples: 0,
        }
    }

    /// Takes over the slots of the worker; what waits may run.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
        self.start_queued(now)
    }

    /// Another incarnation of the worker runs: what was learned and what ran are over.
    pub fn restart(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.running.clear();
        self.proven = ProvenConcurrency::default();
        self.samples = 0;
        self.slots = slots;
        self.limit = slots;
        self.start_queued(now)
    }

    /// Mean service time of a route.
    pub fn service_time(&self, route: &str) -> time::Duration {
        match self.service_times.get(route) {
            Some(micros) => time::Duration(*micros as u64),
            None => DEFAULT_SERVICE_TIME,
        }
    }

    /// Requests a second that the worker can serve; 0 if that isn't known yet.
    pub fn capacity(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        f64::from(self.slots) * 1e6 / self.mean_service_us
    }

    /// Decides on a request; with `Run` it holds a slot.
    pub fn offer(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        self.recover_limit(now);
        let has_free_slot = self.running.len() < self.limit as usize;
        if let Some(lateness) = self.link_lateness(now, &request) {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: RefusalReason::Link,
                expected_wait: request.sending_time,
                retry_after: time::Duration(lateness.0.max(MIN_RETRY_AFTER.0)),
            });
        }
        if has_free_slot && !self.has_queued_before(request.rank()) {
            self.start(now, key, request.route);
            return AdmissionDecision::Run;
        }
        let wait = self.expected_wait(now, request.rank());
        let service_time = self.service_time(&request.route);
        let is_in_time = now + wait + service_time + request.sending_time <= request.cutoff();
        if self.queue.len() >= MAX_QUEUED
            || !is_in_time
            || self.would_miss_deadline(now + wait, &request)
        {
            return AdmissionDecision::Refuse(refusal(wait));
        }
        self.queue.insert((request.rank(), key), request);
        AdmissionDecision::Wait
    }

    /// By how much the answer would reach its caller too late even if the request ran at once, if so:
    /// the time after which the link has room for it, if nothing else comes.
    fn link_lateness(
        &self,
        now: time::Instant,
        request: &AdmissionRequest,
    ) -> Option<time::Duration> {
        let received = now + self.service_time(&request.route) + request.sending_time;
        let is_late = request.sending_time > time::Duration::ZERO && received > request.cutoff();
        is_late.then(|| received.since(request.cutoff()))
    }

    /// Whether a request that starts at `start` would miss its deadline.
    fn would_miss_deadline(&self, start: time::Instant, request: &AdmissionRequest) -> bool {
        let service_time = self.service_time(&request.route).0 as f64 * MIN_SERVICE_SHARE;
        start + time::Duration(service_time as u64) > request.deadline
    }

    fn has_queued_before(&self, rank: QueueRank) -> bool {
        self.queue.first_key_value().is_some_and(|((first, _), _)| *first <= rank)
    }

    /// Expected time until a new request of this rank has a slot.
    fn expected_wait(&self, now: time::Instant, rank: QueueRank) -> time::Duration {
        let limit = f64::from(self.limit.max(1));
        if self.running.len() < self.limit as usize && !self.has_queued_before(rank) {
            return time::Duration::ZERO;
        }
        let ahead: f64 = self
            .queue
            .range(..(rank, AdmissionKey(u64::MAX)))
            .map(|(_, request)| self.service_time(&request.route).0 as f64)
            .sum();
        let mut remaining = f64::INFINITY;
        for running in self.running.values() {
            let service_time = self.service_time(&running.route).0 as f64;
            let age = now.since(running.since).0 as f64;
            // A request that is past the mean is likely to take a while longer.
            remaining = remaining.min((service_time - age).max(service_time * 0.1));
        }
        if !remaining.is_finite() {
            remaining = 0.0;
        }
        time::Duration((ahead / limit + remaining) as u64)
    }

    fn start(&mut self, now: time::Instant, key: AdmissionKey, route: Arc<str>) {
        let concurrency = self.running.len() as u32 + 1;
        self.running.insert(key, RunningRequest { route, since: now, concurrency });
    }

    /// Gives the slot of a request back.
    pub fn finish(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
        outcome: FinishOutcome,
    ) -> Vec<AdmissionAction> {
        if let Some(ended) = self.running.remove(&key) {
            match outcome {
                FinishOutcome::Served(time) => {
                    self.record_concurrency(now, ended.concurrency);
                    self.record_service_time(ended.route, time);
                }
                FinishOutcome::Shed => self.record_shed(now),
                FinishOutcome::Failed => {}
            }
        }
        self.start_queued(now)
    }

    /// Notes that a request was served which started beside so many others.
    fn record_concurrency(&mut self, now: time::Instant, concurrency: u32) {
        if concurrency >= self.proven.current(now) {
            self.proven = ProvenConcurrency { concurrency, at: now };
        }
    }

    /// The worker refused a request although it has slots: it is full with those that it runs,
    /// unless it was seen to run more, in which case it refuses without need.
    fn record_shed(&mut self, now: time::Instant) {
        let limit = (self.running.len() as u32).max(self.proven.current(now));
        if limit < self.limit {
            self.limit = limit.clamp(1, self.slots.max(1));
            self.limit_changed_at = now;
        }
    }

    fn record_service_time(&mut self, route: Arc<str>, time: time::Duration) {
        let sample = time.0 as f64;
        self.samples = self.samples.saturating_add(1);
        // The first requests count alike, so that the very first one has no weight of its own.
        let weight = (1.0 / f64::from(self.samples)).max(CAPACITY_WEIGHT);
        self.mean_service_us += (sample - self.mean_service_us) * weight;
        let mean = self.service_times.entry(route).or_insert(sample);
        *mean += (sample - *mean) * SERVICE_TIME_WEIGHT;
    }

    /// Takes a request out whose caller has left.
    pub fn cancel(&mut self, now: time::Instant, key: AdmissionKey) -> Vec<AdmissionAction> {
        if self.running.remove(&key).is_none() {
            self.queue.retain(|(_, queued), _| *queued != key);
        }
        self.start_queued(now)
    }

    fn recover_limit(&mut self, now: time::Instant) {
        while self.limit < self.slots && now.since(self.limit_changed_at) >= LIMIT_RECOVERY_INTERVAL
        {
            self.limit += 1;
            self.limit_changed_at = self.limit_changed_at + LIMIT_RECOVERY_INTERVAL;
        }
    }

    /// Refuses what can't be served in time any more; call it about every 20 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        self.recover_limit(now);
        let late: Vec<(QueueRank, AdmissionKey)> = self
            .queue
            .iter()
            .filter(|(_, request)| now > request.cutoff() || self.would_miss_deadline(now, request))
            .map(|(key, _)| *key)
            .collect();
        let mut actions = Vec::new();
        for key in late {
            let wait = self.expected_wait(now, key.0);
            self.queue.remove(&key);
            actions.push(AdmissionAction::Refuse(key.1, refusal(wait)));
        }
        actions.append(&mut self.start_queued(now));
        actions
    }

    /// Refuses everything that waits, because the worker is gone.
    pub fn clear(&mut self) -> Vec<AdmissionAction> {
        let queue = std::mem::take(&mut self.queue);
        let refused = refusal(time::Duration::ZERO);
        queue.into_keys().map(|(_, key)| AdmissionAction::Refuse(key, refused)).collect()
    }

    fn start_queued(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        self.recover_limit(now);
        let mut actions = Vec::new();
        while self.running.len() < self.limit as usize {
            let Some(((_, key), request)) = self.queue.pop_first() else { break };
            self.start(now, key, request.route);
            actions.push(AdmissionAction::Run(key));
        }
        actions
    }

    /// Routes of the requests that run or wait.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<str>> {
        let running = self.running.values().map(|running| &running.route);
        running.chain(self.queue.values().map(|queued| &queued.route))
    }

    /// What others may know.
    pub fn load(&self, now: time::Instant, route: &str) -> QueueLoad {
        let wait = self.expected_wait(now, LAST_RANK);
        QueueLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.limit,
            expected_latency: wait + self.service_time(route),
            sending_time: time::Duration::ZERO,
        }
    }
}

/// A refusal for lack of a slot.
fn refusal(wait: time::Duration) -> AdmissionRefusal {
    let reason = RefusalReason::Slots;
    AdmissionRefusal {
        reason,
        expected_wait: wait,
        retry_after: time::Duration(wait.0.max(MIN_RETRY_AFTER.0)),
    }
}
