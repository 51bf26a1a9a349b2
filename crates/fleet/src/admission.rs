//! Admission of requests to the worker beside the node: its slots and the queue in front of them.

mod cold_limit;
mod load;
mod refusal;
mod reserved_slots;
mod service_time;
mod shed_limit;
mod usage;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cornelridge_model::time;
use derive_more::Display;

use crate::call_demand;
use crate::room;
use crate::route_usage;
use crate::warm_up;
use crate::worker_speed;

pub use load::QueueLoad;

/// Service time that is assumed for a route before the first measurement.
const DEFAULT_SERVICE_TIME: time::Duration = time::Duration::from_millis(100);
/// Number of requests from which their mean service time is meaningful: service times of single
/// requests differ by a factor of ten.
const MIN_SAMPLES: u32 = 24;
/// Share of the mean service time that must fit before the deadline, as many requests take less
/// than the mean.
const MIN_SERVICE_SHARE: f64 = 0.5;
/// Highest number of queued requests; more could not be served within any target.
const MAX_QUEUED: usize = 512;

/// Number of a request in an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionKey(pub u64);

/// Request that is offered to an admission queue.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Route; service times are measured for each route.
    pub route: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether a worker made the request while it runs another one.
    pub is_call: bool,
    /// Whether the caller was told to return later.
    pub is_early: bool,
    /// Time after which a response loses value.
    pub target: time::Instant,
    /// Time after which a response is worthless.
    pub deadline: time::Instant,
    /// Expected time that the response takes to reach its caller once it is ready.
    pub sending_time: time::Duration,
}

impl AdmissionRequest {
    /// Returns the latest time at which the response may arrive for the request to get a slot: the
    /// deadline for calls, the target for other requests. Refusing a call wastes the work of the
    /// request that waits for it, whereas a late one only delays that request.
    ///
    /// Where callers don't compete for room, requests of the highest priority are treated as calls,
    /// as not every call can be recognized. Where they do, requests of callers that wait beyond
    /// their target make all that follow them late as well.
    pub fn cutoff(&self, shares_room: bool) -> time::Instant {
        let is_call = self.is_call || (self.priority == 0 && !shares_room);
        if is_call { self.deadline } else { self.target }
    }

    /// Returns the position in the queue: by priority, calls before other requests, and those that
    /// came too early last.
    fn rank(&self) -> QueueRank {
        let (priority, is_early) = (self.priority, self.is_early);
        QueueRank { priority, is_request: !self.is_call, is_early }
    }
}

/// Order of requests in the queue; equal ones are ordered by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    priority: u8,
    /// Whether the request isn't a call.
    is_request: bool,
    /// Whether the caller was told to return later.
    is_early: bool,
}

/// The last position in the queue.
const LAST_RANK: QueueRank = QueueRank { priority: u8::MAX, is_request: true, is_early: true };

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has a slot.
    Run,
    /// The request waits for a slot.
    Wait,
    /// The request can't be served in time.
    Refuse(AdmissionRefusal),
}

/// Resource for which a refused request would have waited.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// The link of the machine.
    #[display("link")]
    Link,
    /// A slot of the worker.
    #[display("slots")]
    Slots,
    /// The rate that a cold worker tolerates.
    #[display("warm-up")]
    WarmUp,
    /// Room for the calls that the request would make.
    #[display("calls")]
    Calls,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Resource for which the request would have waited.
    pub reason: RefusalReason,
    /// Time for which the request would have waited.
    pub expected_wait: time::Duration,
    /// Time after which the request may be retried.
    pub retry_after: time::Duration,
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request has a slot now.
    Run(AdmissionKey),
    /// The request can no longer be served in time.
    Refuse(AdmissionKey, AdmissionRefusal),
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The worker responded after this time.
    Served(time::Duration),
    /// The worker refused the request for load.
    Shed,
    /// The request ended in another way.
    Failed,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    route: Arc<str>,
    since: time::Instant,
    /// Requests that ran when this one started, including itself.
    concurrency: u32,
    /// Whether the request holds a reservation of the limiter, because it hasn't been sent.
    is_reserved: bool,
    is_call: bool,
}

/// Priority queue in front of one worker with a limit on running requests.
#[derive(Debug)]
pub struct AdmissionQueue {
    /// Requests that the worker says it can run at once.
    slots: u32,
    /// Requests that may run at once; below the slots after the worker shed load.
    limit: u32,
    limit_changed_at: time::Instant,
    /// Concurrency at which the worker served a request.
    proven: shed_limit::ProvenConcurrency,
    running: HashMap<AdmissionKey, RunningRequest>,
    queue: BTreeMap<(QueueRank, AdmissionKey), AdmissionRequest>,
    /// Service time of each route.
    service_times: HashMap<Arc<str>, service_time::ServiceTime>,
    /// Mean service time of all routes, in microseconds.
    mean_service_us: f64,
    /// Number of requests in the mean.
    samples: u32,
    /// Limits the requests while the worker may be cold, if its service has such a limit.
    warm_up: Option<warm_up::WarmUpLimiter>,
    /// Room that was assigned to refused requests.
    forecast: room::PriorityForecast,
    /// Slots that calls use.
    call_demand: call_demand::CallDemand,
    /// Speed of the worker and its unknown requests, as it states them.
    speed: worker_speed::WorkerSpeed,
    /// Whether slots are reserved for calls and refused requests get shares of the room.
    shares_room: bool,
    /// Use of the worker by route.
    usage: route_usage::RouteRecord<route_usage::RouteUsage>,
}

impl AdmissionQueue {
    /// Creates a queue for a worker without slots.
    pub fn new(now: time::Instant) -> AdmissionQueue {
        AdmissionQueue {
            slots: 0,
            limit: 0,
            limit_changed_at: now,
            proven: shed_limit::ProvenConcurrency::default(),
            running: HashMap::new(),
            queue: BTreeMap::new(),
            service_times: HashMap::new(),
            mean_service_us: 0.0,
            samples: 0,
            warm_up: None,
            forecast: room::PriorityForecast::default(),
            call_demand: call_demand::CallDemand::default(),
            speed: worker_speed::WorkerSpeed::default(),
            shares_room: true,
            usage: route_usage::RouteRecord::default(),
        }
    }

    /// Sets the slots of the worker and returns the queued requests that may run now.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        if slots != self.slots {
            self.slots = slots;
            self.limit = slots;
        }
        self.start_queued(now)
    }

    /// Resets the queue for another incarnation of the worker, which runs none of the requests of
    /// the previous one. Returns the queued requests that may run now.
    pub fn restart(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.running.clear();
        if let Some(limiter) = &mut self.warm_up {
            limiter.forget_worker(now);
        }
        self.proven = shed_limit::ProvenConcurrency::default();
        self.samples = 0;
        self.speed = worker_speed::WorkerSpeed::default();
        self.forecast = room::PriorityForecast::default();
        self.slots = slots;
        self.limit = slots;
        self.start_queued(now)
    }

    /// Returns the mean service time of a route.
    pub fn service_time(&self, route: &str) -> time::Duration {
        match self.service_times.get(route) {
            Some(known) => time::Duration(known.mean_us as u64),
            None => DEFAULT_SERVICE_TIME,
        }
    }

    /// Returns the requests per second that the worker can serve, or 0 if that isn't known yet.
    pub fn capacity(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        f64::from(self.slots) * 1e6 / self.mean_service_us
    }

    /// Decides on an arriving request; with `Run`, the request takes a slot until `finish`.
    pub fn offer(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        let route = Arc::clone(&request.route);
        self.usage.route(&route).offered += 1;
        let decision = self.decide(now, key, request);
        if let AdmissionDecision::Refuse(refusal) = &decision {
            self.count_refusal(&route, refusal.reason);
        }
        decision
    }

    fn decide(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        self.recover_limit(now);
        if request.is_call {
            let service_time = self.service_time(&request.route);
            self.call_demand.record(now, request.priority, service_time);
        }
        let has_free_slot = self.running.len() < self.limit_for(now, request.rank());
        if let Some(lateness) = self.link_lateness(now, &request) {
            return AdmissionDecision::Refuse(AdmissionRefusal {
                reason: RefusalReason::Link,
                expected_wait: request.sending_time,
                retry_after: time::Duration(lateness.0.max(room::MIN_RETRY_AFTER.0)),
            });
        }
        if has_free_slot && self.may_send(now) && !self.has_queued_before(request.rank()) {
            self.start(now, key, &request);
            return AdmissionDecision::Run;
        }
        if let Some(limiter) = &mut self.warm_up {
            limiter.record_waiting();
        }
        let (wait, _) = self.expected_wait(now, request.rank());
        let served = wait + self.reserved_time(&request);
        let needed = served + self.slowdown(now, served) + request.sending_time;
        let is_in_time = now + needed <= self.cutoff(&request);
        if self.queue.len() >= MAX_QUEUED
            || !is_in_time
            || self.would_miss_deadline(now + wait, &request)
            || (request.is_early && self.has_queued_before(request.rank()))
        {
            return AdmissionDecision::Refuse(self.refusal(now, &request));
        }
        self.queue.insert((request.rank(), key), request);
        AdmissionDecision::Wait
    }

    /// Returns by how much the response would be late because of the link if the request ran at
    /// once, or `None` if it would be in time. After that time the link has room for the response,
    /// unless other responses come.
    fn link_lateness(
        &self,
        now: time::Instant,
        request: &AdmissionRequest,
    ) -> Option<time::Duration> {
        let received = now + self.service_time(&request.route) + request.sending_time;
        let is_late =
            request.sending_time > time::Duration::ZERO && received > self.cutoff(request);
        is_late.then(|| received.since(self.cutoff(request)))
    }

    /// Returns whether a request that starts at `start` would miss its deadline.
    fn would_miss_deadline(&self, start: time::Instant, request: &AdmissionRequest) -> bool {
        let service_time = self.service_time(&request.route).0 as f64 * MIN_SERVICE_SHARE;
        start + time::Duration(service_time as u64) > request.deadline
    }

    /// Returns whether a queued request goes before a new one of this rank.
    fn has_queued_before(&self, rank: QueueRank) -> bool {
        self.queue.first_key_value().is_some_and(|((first, _), _)| *first <= rank)
    }

    /// Returns how many queued requests go before a new one of this rank.
    fn queued_before(&self, rank: QueueRank) -> usize {
        self.queue.range(..(rank, AdmissionKey(u64::MAX))).count()
    }

    /// Returns the expected time until a new request of this rank is started, and what it waits
    /// for.
    fn expected_wait(
        &self,
        now: time::Instant,
        rank: QueueRank,
    ) -> (time::Duration, RefusalReason) {
        let slot_wait = self.slot_wait(now, rank);
        let Some(limiter) = &self.warm_up else { return (slot_wait, RefusalReason::Slots) };
        let limit_wait = limiter.send_at(now, self.queued_before(rank)).since(now);
        match limit_wait > slot_wait {
            true => (limit_wait, RefusalReason::WarmUp),
            false => (slot_wait, RefusalReason::Slots),
        }
    }

    /// Returns the expected time until a new request of this rank has a slot.
    fn slot_wait(&self, now: time::Instant, rank: QueueRank) -> time::Duration {
        let slots = self.limit_for(now, rank);
        let limit = slots.max(1) as f64;
        let free = slots.saturating_sub(self.running.len());
        // Without a limit for cold workers, requests are queued only while no slot is free.
        let is_free = match self.warm_up {
            Some(_) => self.queued_before(rank) < free,
            None => free > 0 && !self.has_queued_before(rank),
        };
        if is_free {
            return time::Duration::ZERO;
        }
        let ahead: f64 = self
            .queue
            .range(..(rank, AdmissionKey(u64::MAX)))
            .map(|(_, request)| self.service_time(&request.route).0 as f64)
            .sum();
        time::Duration((ahead / limit + self.first_end_us(now)) as u64)
    }

    /// Returns the expected time until the first running request ends, in microseconds.
    fn first_end_us(&self, now: time::Instant) -> f64 {
        let mut remaining = f64::INFINITY;
        for running in self.running.values() {
            let service_time = self.service_time(&running.route).0 as f64;
            let age = now.since(running.since).0 as f64;
            // A request that has run longer than the mean is expected to take another tenth of it.
            remaining = remaining.min((service_time - age).max(service_time * 0.1));
        }
        if remaining.is_finite() { remaining } else { 0.0 }
    }

    fn start(&mut self, now: time::Instant, key: AdmissionKey, request: &AdmissionRequest) {
        let concurrency = self.running.len() as u32 + 1;
        let is_reserved = self.warm_up.is_some();
        if let Some(limiter) = &mut self.warm_up {
            limiter.reserve();
        }
        self.usage.route(&request.route).started += 1;
        let (route, is_call) = (Arc::clone(&request.route), request.is_call);
        let running = RunningRequest { route, since: now, concurrency, is_reserved, is_call };
        self.running.insert(key, running);
    }

    /// Releases the slot of a request and returns the queued requests that may run now.
    pub fn finish(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
        outcome: FinishOutcome,
    ) -> Vec<AdmissionAction> {
        self.release_reservation(key);
        if let Some(ended) = self.running.remove(&key) {
            self.count_slot_time(now, &ended);
            match outcome {
                FinishOutcome::Served(time) => {
                    self.usage.route(&ended.route).served += 1;
                    self.record_concurrency(now, ended.concurrency);
                    self.record_service_time(ended.route, time);
                }
                FinishOutcome::Shed => self.record_shed(now),
                FinishOutcome::Failed => {}
            }
        }
        self.start_queued(now)
    }

    /// Removes a request whose caller has left and returns the queued requests that may run now.
    pub fn cancel(&mut self, now: time::Instant, key: AdmissionKey) -> Vec<AdmissionAction> {
        self.release_reservation(key);
        match self.running.remove(&key) {
            Some(ended) => self.count_slot_time(now, &ended),
            None => self.queue.retain(|(_, queued), _| *queued != key),
        }
        self.start_queued(now)
    }

    /// Returns the queued requests that can no longer be served in time and those that may run now.
    /// Must be called about every 20 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        self.recover_limit(now);
        let mut actions = Vec::new();
        for key in self.late_requests(now) {
            let Some(request) = self.queue.remove(&key) else { continue };
            let refusal = self.refusal(now, &request);
            self.count_refusal(&request.route, refusal.reason);
            actions.push(AdmissionAction::Refuse(key.1, refusal));
        }
        actions.append(&mut self.start_queued(now));
        actions
    }

    /// Refuses all queued requests, because the worker is gone.
    pub fn clear(&mut self) -> Vec<AdmissionAction> {
        let queue = std::mem::take(&mut self.queue);
        // Nothing is known of the next worker.
        let refused = AdmissionRefusal {
            reason: RefusalReason::Slots,
            expected_wait: time::Duration::ZERO,
            retry_after: time::Duration::ZERO,
        };
        queue.into_keys().map(|(_, key)| AdmissionAction::Refuse(key, refused)).collect()
    }

    /// Starts queued requests as far as the limit allows.
    fn start_queued(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        self.recover_limit(now);
        let mut actions = Vec::new();
        while let Some(((rank, _), _)) = self.queue.first_key_value() {
            if self.running.len() >= self.limit_for(now, *rank) || !self.may_send(now) {
                break;
            }
            let Some(((_, key), request)) = self.queue.pop_first() else { break };
            self.start(now, key, &request);
            actions.push(AdmissionAction::Run(key));
        }
        actions
    }

    /// Returns the routes of the requests that run or wait.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<str>> {
        let running = self.running.values().map(|running| &running.route);
        running.chain(self.queue.values().map(|queued| &queued.route))
    }
}
