//! Event loop of the model.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cornelridge_model::{ident, outcome, time};
use cornelridge_policy::{admission, hedge, limit, quarantine, retry, selection};

use super::report::{ClassTally, ModelReport};
use super::upstream::{AcceptOutcome, ModelUpstream};
use super::{FaultKind, LoadModel, ModelClass, RoutingScheme, SLOTS};

/// Number of ingress nodes.
const INGRESS_NODES: usize = 10;
/// One-way delay between two nodes.
const HOP_DELAY: time::Duration = time::Duration(500);
/// Interval between hints of a worker's load.
const HINT_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Interval between ticks of queues and selectors.
const TICK: time::Duration = time::Duration::from_millis(10);
/// Time after which the node of a frozen worker releases its slices.
const FROZEN_RELEASE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time from the crash of a worker to its restart.
const RESTART_TIME: time::Duration = time::Duration::from_secs(2);
/// Time from the start of the request that crashes its worker to the crash.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(5);
/// Interval at which a caller sends the request that crashes its worker, and the number of times.
const POISON_INTERVAL: time::Duration = time::Duration::from_millis(250);
const POISON_REPEATS: u32 = 40;
/// Fingerprint of the request that crashes its worker; no other request has it.
const POISON: quarantine::RequestFingerprint = quarantine::RequestFingerprint(u64::MAX);
/// Maximum number of attempts of the baseline that retries without a budget.
const BASELINE_MAX_ATTEMPTS: u32 = 3;
/// Number of distinct keys of a class; a few are hot.
const KEY_COUNT: f64 = 5_000.0;
/// Standard deviation of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Poison(u32),
    Send(usize),
    Reach(usize),
    Done(usize),
    Deadline(usize),
    Hedge(usize),
    Crash(usize),
    Restart(usize),
    Notice(usize),
    Hint,
    Tick,
}

/// One request of a caller.
#[derive(Clone, Debug)]
struct ModelJob {
    class: usize,
    ingress: usize,
    key: u64,
    fingerprint: quarantine::RequestFingerprint,
    arrived: time::Instant,
    deadline: time::Instant,
    work: time::Duration,
    attempts: u32,
    open: u32,
    tried: Vec<usize>,
    done: bool,
}

/// One attempt of a request on a worker.
#[derive(Clone, Copy, Debug)]
struct ModelAttempt {
    job: usize,
    worker: usize,
    sent: time::Instant,
    dispatched: Option<time::Instant>,
    open: bool,
    first: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    Answered,
    Shed,
    Refused { everywhere: bool },
    Unreachable,
    Crashed,
    TimedOut,
    Cancelled,
}

/// State of one ingress node for one class.
#[derive(Debug)]
struct IngressState {
    selector: selection::WorkerSelector,
    budget: retry::RetryBudget,
    hedge: hedge::HedgePolicy,
    connections: Vec<u32>,
}

/// A run in progress.
pub(super) struct ModelRun<'a> {
    model: &'a LoadModel,
    scheme: RoutingScheme,
    /// Generates the offered load, which is the same for every scheme.
    load_rng: fastrand::Rng,
    choice_rng: fastrand::Rng,
    now: time::Instant,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    jobs: Vec<ModelJob>,
    attempts: Vec<ModelAttempt>,
    upstreams: Vec<ModelUpstream>,
    queues: Vec<admission::AdmissionQueue>,
    registries: Vec<quarantine::SuspectRegistry>,
    notices: Vec<quarantine::SuspectNotice>,
    ingress: Vec<Vec<IngressState>>,
    tallies: Vec<ClassTally>,
    extra_attempts: u64,
    crashes: u32,
}

impl<'a> ModelRun<'a> {
    pub(super) fn new(model: &'a LoadModel, scheme: RoutingScheme, seed: u64) -> ModelRun<'a> {
        let start = time::Instant(0);
        let workers = model.groups.iter().sum();
        let queue = |_| {
            let limit = limit::ConcurrencyLimit::warm(start, SLOTS);
            admission::AdmissionQueue::with_limit(start, limit)
        };
        let ingress = |_| model.classes.iter().map(|class| ingress_state(model, class)).collect();
        let tally = |class: &ModelClass| ClassTally::new(class.name, class.target);
        ModelRun {
            model,
            scheme,
            load_rng: fastrand::Rng::with_seed(seed),
            choice_rng: fastrand::Rng::with_seed(!seed),
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: Vec::new(),
            attempts: Vec::new(),
            upstreams: (0..workers)
                .map(|worker| ModelUpstream::new(worker, &model.faults))
                .collect(),
            queues: (0..workers).map(queue).collect(),
            registries: (0..workers).map(|_| quarantine::SuspectRegistry::new()).collect(),
            notices: Vec::new(),
            ingress: (0..INGRESS_NODES).map(ingress).collect(),
            tallies: model.classes.iter().map(tally).collect(),
            extra_attempts: 0,
            crashes: 0,
        }
    }

    pub(super) fn run(mut self) -> ModelReport {
        (0..self.model.classes.len())
            .for_each(|class| self.schedule(time::Instant(0), Event::Arrive(class)));
        self.schedule(time::Instant(0), Event::Tick);
        self.schedule(time::Instant(0), Event::Hint);
        if let Some(from) = self.model.poison_from {
            self.schedule(from, Event::Poison(0));
        }
        for fault in self.model.faults.iter().filter(|fault| fault.kind == FaultKind::Down) {
            self.schedule(fault.from, Event::Crash(fault.worker));
            self.schedule(fault.until, Event::Restart(fault.worker));
        }
        // Arrivals end with the run; requests in flight at that time may still be answered.
        let longest = self.model.classes.iter().map(|class| class.deadline).max();
        let end = self.end_of_run() + longest.unwrap_or_default();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = time::Instant(at);
            if self.now >= end {
                break;
            }
            self.handle(event);
        }
        self.report()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Poison(count) => self.send_poison(count),
            Event::Send(job) => self.send(job),
            Event::Reach(attempt) => self.receive(attempt),
            Event::Done(attempt) => self.complete(attempt),
            Event::Deadline(job) => self.time_out(job),
            Event::Hedge(job) => self.hedge(job),
            Event::Crash(worker) => self.crash(worker),
            Event::Restart(worker) => self.restart(worker),
            Event::Notice(notice) => {
                let notice = self.notices[notice];
                self.registries.iter_mut().for_each(|registry| {
                    registry.merge(self.now, notice);
                });
            }
            Event::Hint => self.send_hints(),
            Event::Tick => self.tick(),
        }
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at.0, self.sequence, event)));
    }

    fn end_of_run(&self) -> time::Instant {
        time::Instant(0) + self.model.length
    }

    fn arrive(&mut self, class: usize) {
        if self.now >= self.end_of_run() {
            return;
        }
        let config = self.model.classes[class];
        let slots = self.model.groups[config.group] as f64 * f64::from(SLOTS);
        let per_us = self.model.load * config.share * slots / config.service.0 as f64;
        let gap = -(1.0 - self.load_rng.f64()).ln() / per_us;
        self.schedule(self.now + time::Duration(gap as u64 + 1), Event::Arrive(class));
        // Squaring a uniform number makes low key numbers more frequent.
        let key = (self.load_rng.f64().powi(2) * KEY_COUNT) as u64;
        let work = self.service_time(config.service);
        let fingerprint = quarantine::RequestFingerprint(self.jobs.len() as u64);
        self.open_job(class, key, work, fingerprint);
        self.tallies[class].record_offered(self.now);
    }

    fn service_time(&mut self, mean: time::Duration) -> time::Duration {
        let radius = (-2.0 * (1.0 - self.load_rng.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.load_rng.f64()).cos();
        let factor = (SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
        time::Duration((mean.0 as f64 * factor) as u64 + 1)
    }

    fn send_poison(&mut self, count: u32) {
        if count + 1 < POISON_REPEATS {
            self.schedule(self.now + POISON_INTERVAL, Event::Poison(count + 1));
        }
        let class = self.model.classes.iter().position(|class| !class.sliced).unwrap_or(0);
        self.open_job(class, 7, time::Duration::from_secs(1), POISON);
    }

    fn open_job(
        &mut self,
        class: usize,
        key: u64,
        work: time::Duration,
        fingerprint: quarantine::RequestFingerprint,
    ) {
        let (ingress, arrived) = (self.load_rng.usize(..INGRESS_NODES), self.now);
        let deadline = arrived + self.model.classes[class].deadline;
        let job = self.jobs.len();
        self.jobs.push(ModelJob {
            class,
            ingress,
            key,
            fingerprint,
            arrived,
            deadline,
            work,
            attempts: 0,
            open: 0,
            tried: Vec::new(),
            done: false,
        });
        self.ingress[ingress][class].budget.request_started(arrived);
        self.schedule(deadline, Event::Deadline(job));
        self.send(job);
    }

    fn first_worker(&self, group: usize) -> usize {
        self.model.groups[..group].iter().sum()
    }

    /// Selects a worker and sends the request to it.
    fn send(&mut self, job: usize) {
        if self.jobs[job].done {
            return;
        }
        let first = self.jobs[job].attempts == 0;
        let Some(worker) = self.select_worker(job) else { return self.give_up(job) };
        let attempt = self.attempts.len();
        let (now, dispatched) = (self.now, None);
        self.attempts.push(ModelAttempt { job, worker, sent: now, dispatched, open: true, first });
        let record = &mut self.jobs[job];
        record.attempts += 1;
        record.open += 1;
        record.tried.push(worker);
        let (ingress, class) = (record.ingress, record.class);
        self.extra_attempts += u64::from(!first);
        let index = worker - self.first_worker(self.model.classes[class].group);
        self.ingress[ingress][class].connections[index] += 1;
        self.schedule(now + HOP_DELAY, Event::Reach(attempt));
        if first && self.scheme == RoutingScheme::Policy && !self.model.classes[class].sliced {
            let delay = self.ingress[ingress][class].hedge.delay(now);
            if let Some(delay) = delay {
                self.schedule(now + delay, Event::Hedge(job));
            }
        }
    }

    fn select_worker(&mut self, job: usize) -> Option<usize> {
        let record = &self.jobs[job];
        let config = self.model.classes[record.class];
        let (base, count) = (self.first_worker(config.group), self.model.groups[config.group]);
        let owner = (record.key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % count;
        let state = &mut self.ingress[record.ingress][record.class];
        match self.scheme {
            RoutingScheme::Policy if config.sliced => {
                // Successors differ between slices, so the slices of a lost worker are distributed.
                let second = (owner + 1 + record.key as usize % (count - 1)) % count;
                let rest = (0..count).filter(|index| *index != owner && *index != second);
                let chain = [owner, second].into_iter().chain(rest).map(|index| base + index);
                let serving: Vec<_> = chain.filter(|worker| self.is_serving(*worker)).collect();
                serving.first().copied()
            }
            RoutingScheme::Policy => {
                let id = |worker: &usize| ident::IncarnationId(*worker as u64);
                let tried: Vec<_> = record.tried.iter().map(id).collect();
                // Each node is the ingress of its callers and the egress of its worker.
                let suspicion =
                    self.registries[record.ingress].decide(self.now, record.fingerprint);
                let choice = match suspicion {
                    quarantine::SuspectDecision::RunAlone => {
                        let untried = state.selector.workers().filter(|id| !tried.contains(id));
                        let worker = quarantine::worker_for_suspect(record.fingerprint, untried)?;
                        state.selector.assign(self.now, worker)
                    }
                    _ => state.selector.select(self.now, &tried, &mut self.choice_rng),
                };
                choice.map(|choice| choice.worker.0 as usize)
            }
            RoutingScheme::LeastConnections if !config.sliced => {
                let least = (0..count).min_by_key(|index| state.connections[*index]);
                least.map(|index| base + index)
            }
            RoutingScheme::StaticHash | RoutingScheme::LeastConnections => Some(base + owner),
        }
    }

    /// Returns whether a worker's node owns its slices. After a restart they return when the worker
    /// is warm.
    fn is_serving(&self, worker: usize) -> bool {
        let upstream = &self.upstreams[worker];
        if upstream.is_cold(self.now) {
            return false;
        }
        let frozen_for = match upstream.fault(self.now) {
            Some(fault) if fault.kind == FaultKind::Frozen => self.now.since(fault.from),
            _ => time::Duration::ZERO,
        };
        upstream.up && frozen_for < FROZEN_RELEASE_DELAY
    }

    fn receive(&mut self, attempt: usize) {
        let ModelAttempt { job, worker, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        if self.scheme != RoutingScheme::Policy {
            return self.dispatch(attempt);
        }
        if !self.upstreams[worker].up {
            return self.finish_attempt(attempt, AttemptEnd::Unreachable);
        }
        let record = &self.jobs[job];
        let alone = match self.registries[worker].decide(self.now, record.fingerprint) {
            quarantine::SuspectDecision::Pass => false,
            quarantine::SuspectDecision::RunAlone => true,
            quarantine::SuspectDecision::Refuse { .. } => {
                return self.finish_attempt(attempt, AttemptEnd::Refused { everywhere: true });
            }
        };
        let config = self.model.classes[record.class];
        let request = admission::AdmissionRequest {
            id: admission::RequestId(attempt as u64),
            class: admission::ClassIndex(record.class as u16),
            yield_rank: config.yield_rank,
            caller: admission::CallerHash(record.key % 50),
            target: config.target,
            deadline: record.deadline,
            bulk: config.bulk,
            alone,
        };
        match self.queues[worker].offer(self.now, request) {
            admission::AdmissionDecision::Dispatch => self.dispatch(attempt),
            admission::AdmissionDecision::Queued { evicted } => {
                if let Some(evicted) = evicted {
                    let end = AttemptEnd::Refused { everywhere: false };
                    self.finish_attempt(evicted.id.0 as usize, end);
                }
            }
            admission::AdmissionDecision::Refused(refusal) => self.refuse(attempt, refusal),
        }
    }

    fn dispatch(&mut self, attempt: usize) {
        let ModelAttempt { job, worker, .. } = self.attempts[attempt];
        self.attempts[attempt].dispatched = Some(self.now);
        let work = self.jobs[job].work;
        match self.upstreams[worker].accept(self.now, attempt, work) {
            AcceptOutcome::Runs(service_time) => self.start_running(attempt, service_time),
            AcceptOutcome::Waits => {}
            AcceptOutcome::Sheds => self.finish_attempt(attempt, AttemptEnd::Shed),
            AcceptOutcome::Down => self.finish_attempt(attempt, AttemptEnd::Unreachable),
        }
    }

    fn start_running(&mut self, attempt: usize, service_time: time::Duration) {
        let ModelAttempt { job, worker, .. } = self.attempts[attempt];
        if self.jobs[job].fingerprint == POISON {
            self.schedule(self.now + CRASH_DELAY, Event::Crash(worker));
            self.schedule(self.now + CRASH_DELAY + RESTART_TIME, Event::Restart(worker));
            self.crashes += 1;
        }
        self.schedule(self.now + service_time, Event::Done(attempt));
    }

    fn complete(&mut self, attempt: usize) {
        let ModelAttempt { worker, open, .. } = self.attempts[attempt];
        if !open {
            return;
        }
        if let Some(fault) = self.upstreams[worker].fault(self.now)
            && self.upstreams[worker].is_frozen(self.now)
        {
            let rest = self.now.since(fault.from);
            return self
                .schedule(fault.until + time::Duration(rest.0 % 20_000), Event::Done(attempt));
        }
        self.finish_attempt(attempt, AttemptEnd::Answered);
    }

    fn time_out(&mut self, job: usize) {
        if !self.jobs[job].done {
            self.close_attempts(job, AttemptEnd::TimedOut);
            self.jobs[job].done = true;
        }
    }

    fn close_attempts(&mut self, job: usize, end: AttemptEnd) {
        let attempt_count = self.attempts.len();
        let open: Vec<_> = (0..attempt_count)
            .rev()
            .take_while(|_| self.jobs[job].open > 0)
            .filter(|attempt| self.attempts[*attempt].job == job && self.attempts[*attempt].open)
            .take(self.jobs[job].open as usize)
            .collect();
        open.into_iter().for_each(|attempt| self.finish_attempt(attempt, end));
    }

    fn hedge(&mut self, job: usize) {
        let record = &self.jobs[job];
        if record.done || record.attempts > 1 {
            return;
        }
        let suspicion = self.registries[record.ingress].decide(self.now, record.fingerprint);
        let state = &mut self.ingress[record.ingress][record.class];
        if state.hedge.try_hedge(self.now, record.deadline, suspicion, &mut state.budget) {
            self.send(job);
        }
    }

    /// Ends an attempt on the worker, the ingress and the egress, and completes or retries its
    /// request.
    fn finish_attempt(&mut self, attempt: usize, end: AttemptEnd) {
        let ModelAttempt { job, worker, sent, dispatched, .. } = self.attempts[attempt];
        self.attempts[attempt].open = false;
        self.jobs[job].open -= 1;
        if let Some(next) = self.upstreams[worker].end(attempt) {
            let work = self.jobs[self.attempts[next].job].work;
            let service_time = self.upstreams[worker].begin(self.now, next, work);
            self.start_running(next, service_time);
        }
        if let Some(dispatched) = dispatched {
            self.upstreams[worker].busy_us += self.now.since(dispatched).0;
        }
        self.record_ingress_result(attempt, end, self.now.since(sent));
        if self.scheme == RoutingScheme::Policy {
            self.record_egress_result(attempt, end);
        }
        let done = self.jobs[job].done;
        match end {
            AttemptEnd::Answered if !done => {
                let (class, arrived) = (self.jobs[job].class, self.jobs[job].arrived);
                self.tallies[class].record_answered(arrived, self.now);
                self.jobs[job].done = true;
                self.close_attempts(job, AttemptEnd::Cancelled);
            }
            AttemptEnd::Answered | AttemptEnd::TimedOut | AttemptEnd::Cancelled => {}
            _ if done || self.jobs[job].open > 0 => {}
            _ => self.retry(job, end),
        }
    }

    fn record_ingress_result(&mut self, attempt: usize, end: AttemptEnd, latency: time::Duration) {
        let ModelAttempt { job, worker, first, dispatched, .. } = self.attempts[attempt];
        let (ingress, class) = (self.jobs[job].ingress, self.jobs[job].class);
        let config = self.model.classes[class];
        let index = worker - self.first_worker(config.group);
        let state = &mut self.ingress[ingress][class];
        state.connections[index] -= 1;
        if self.scheme != RoutingScheme::Policy || config.sliced {
            return;
        }
        let result = match end {
            AttemptEnd::Answered => selection::WorkerResult::Success,
            AttemptEnd::Shed | AttemptEnd::Refused { .. } => selection::WorkerResult::Refused,
            AttemptEnd::TimedOut if dispatched.is_none() => selection::WorkerResult::Refused,
            AttemptEnd::Unreachable | AttemptEnd::Crashed | AttemptEnd::TimedOut => {
                selection::WorkerResult::Failed
            }
            AttemptEnd::Cancelled => selection::WorkerResult::Cancelled,
        };
        let id = ident::IncarnationId(worker as u64);
        state.selector.finish(self.now, id, latency, result);
        let timed =
            matches!(end, AttemptEnd::Answered | AttemptEnd::TimedOut | AttemptEnd::Cancelled);
        if first && timed {
            state.hedge.record(self.now, latency);
        }
    }

    fn record_egress_result(&mut self, attempt: usize, end: AttemptEnd) {
        let ModelAttempt { job, worker, dispatched, .. } = self.attempts[attempt];
        let id = admission::RequestId(attempt as u64);
        let Some(dispatched) = dispatched else {
            let actions = self.queues[worker].cancel(self.now, id);
            return self.apply_actions(actions);
        };
        if end == AttemptEnd::Answered {
            let fingerprint = self.jobs[job].fingerprint;
            let cleared = self.registries[worker].record_completion(dispatched, fingerprint);
            self.send_notices(cleared.into_iter().collect());
        }
        let report = admission::FinishReport {
            latency: self.now.since(dispatched),
            shed: end == AttemptEnd::Shed,
            failed: matches!(end, AttemptEnd::Unreachable | AttemptEnd::Crashed),
            crashed: end == AttemptEnd::Crashed,
        };
        let actions = match end {
            AttemptEnd::TimedOut | AttemptEnd::Cancelled => {
                self.queues[worker].cancel(self.now, id)
            }
            _ => self.queues[worker].finish(self.now, id, report),
        };
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<admission::AdmissionAction>) {
        for action in actions {
            match action {
                admission::AdmissionAction::Dispatch(id) => self.dispatch_queued(id.0 as usize),
                admission::AdmissionAction::Refuse(id, refusal) => {
                    self.refuse(id.0 as usize, refusal);
                }
            }
        }
    }

    /// Refuses an attempt. A suspect isn't retried on a second worker, where a copy of it could run
    /// at the same time.
    fn refuse(&mut self, attempt: usize, refusal: admission::AdmissionRefusal) {
        let everywhere = refusal.reason == admission::RefusalReason::CannotRunAlone;
        self.finish_attempt(attempt, AttemptEnd::Refused { everywhere });
    }

    fn dispatch_queued(&mut self, attempt: usize) {
        let ModelAttempt { job, worker, .. } = self.attempts[attempt];
        let decision = self.registries[worker].decide(self.now, self.jobs[job].fingerprint);
        if matches!(decision, quarantine::SuspectDecision::Refuse { .. }) {
            return self.finish_attempt(attempt, AttemptEnd::Refused { everywhere: true });
        }
        self.dispatch(attempt);
    }

    fn send_notices(&mut self, notices: Vec<quarantine::SuspectNotice>) {
        for notice in notices {
            self.notices.push(notice);
            self.schedule(self.now + HOP_DELAY, Event::Notice(self.notices.len() - 1));
        }
    }

    fn retry(&mut self, job: usize, end: AttemptEnd) {
        let record = &self.jobs[job];
        let config = self.model.classes[record.class];
        let outcome = match end {
            AttemptEnd::Crashed => outcome::RequestOutcome::Unknown,
            _ => outcome::RequestOutcome::NotRun,
        };
        match self.scheme {
            RoutingScheme::StaticHash => self.give_up(job),
            RoutingScheme::LeastConnections => {
                let safe = config.idempotent || outcome.is_safe_to_retry();
                if safe && record.attempts < BASELINE_MAX_ATTEMPTS {
                    self.send(job);
                } else {
                    self.give_up(job);
                }
            }
            RoutingScheme::Policy => {
                let untried = record.tried.len() < self.model.groups[config.group];
                let attempt = retry::FailedAttempt {
                    idempotent: config.idempotent,
                    outcome,
                    attempts: record.attempts,
                    deadline: record.deadline,
                    expected_latency: config.service,
                    other_worker: !config.sliced && untried,
                    refused_for_load: matches!(
                        end,
                        AttemptEnd::Shed | AttemptEnd::Refused { everywhere: false }
                    ),
                    refused_everywhere: end == AttemptEnd::Refused { everywhere: true },
                    response_started: false,
                };
                let budget = &mut self.ingress[record.ingress][record.class].budget;
                let policy = retry::RetryPolicy;
                match policy.decide(self.now, &attempt, budget, &mut self.choice_rng) {
                    retry::RetryDecision::Retry { delay } => {
                        self.schedule(self.now + HOP_DELAY + delay, Event::Send(job));
                    }
                    retry::RetryDecision::GiveUp(_) => self.give_up(job),
                }
            }
        }
    }

    fn give_up(&mut self, job: usize) {
        self.jobs[job].done = true;
    }

    fn crash(&mut self, worker: usize) {
        if !self.upstreams[worker].up {
            return;
        }
        let running = self.upstreams[worker].running.clone();
        let lost = self.upstreams[worker].crash();
        if self.scheme == RoutingScheme::Policy {
            let fingerprint = |attempt: &usize| self.jobs[self.attempts[*attempt].job].fingerprint;
            let in_flight: Vec<_> = running.iter().map(fingerprint).collect();
            let node = ident::IncarnationId(worker as u64);
            let crash = quarantine::CrashId { node, sequence: self.now.0 };
            let notices = self.registries[worker].record_crash(self.now, crash, &in_flight);
            self.send_notices(notices);
            let actions = self.queues[worker].upstream_lost(self.now);
            self.apply_actions(actions);
        }
        lost.into_iter().for_each(|attempt| self.finish_attempt(attempt, AttemptEnd::Crashed));
    }

    fn restart(&mut self, worker: usize) {
        self.upstreams[worker].restart(self.now);
        let actions = self.queues[worker].upstream_started(self.now, SLOTS);
        self.apply_actions(actions);
    }

    /// Sends each ingress node the load of each worker, as it applies to each class.
    fn send_hints(&mut self) {
        self.schedule(self.now + HINT_PERIOD, Event::Hint);
        for (worker, queue) in self.queues.iter().enumerate() {
            let upstream = &self.upstreams[worker];
            let fault = upstream.fault(self.now).map(|fault| fault.kind);
            let id = ident::IncarnationId(worker as u64);
            for (index, config) in self.model.classes.iter().enumerate() {
                let rank = config.yield_rank;
                let actual = selection::LoadHint {
                    in_flight: queue.running() as u32,
                    queued: queue.queued_before(rank) as u32,
                    limit: queue.limit(self.now),
                    queue_delay: queue.expected_wait(self.now, rank),
                    accepting: upstream.up,
                };
                let idle = selection::LoadHint { accepting: true, ..Default::default() };
                let hint = if fault == Some(FaultKind::FalseHints) { idle } else { actual };
                for states in &mut self.ingress {
                    states[index].selector.record_load(self.now, id, hint);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(self.now + TICK, Event::Tick);
        for worker in 0..self.queues.len() {
            let actions = self.queues[worker].tick(self.now);
            self.apply_actions(actions);
        }
        for state in self.ingress.iter_mut().flatten() {
            state.selector.tick(self.now);
        }
    }

    fn report(&self) -> ModelReport {
        let classes: Vec<_> = self.tallies.iter().map(ClassTally::report).collect();
        let good: u64 = classes.iter().map(|class| class.good).sum();
        let offered: u64 = classes.iter().map(|class| class.offered).sum();
        let imbalance = |group: usize| {
            let base = self.first_worker(group);
            let workers = &self.upstreams[base..base + self.model.groups[group]];
            let most = workers.iter().map(|upstream| upstream.busy_us).max().unwrap_or(0);
            let sum: u64 = workers.iter().map(|upstream| upstream.busy_us).sum();
            most as f64 * workers.len() as f64 / sum.max(1) as f64
        };
        ModelReport {
            classes,
            goodput: good as f64 / self.model.length.as_secs_f64(),
            imbalance: (0..self.model.groups.len()).map(imbalance).fold(1.0, f64::max),
            extra_attempts: self.extra_attempts as f64 / offered.max(1) as f64,
            crashes: self.crashes,
        }
    }
}

fn ingress_state(model: &LoadModel, class: &ModelClass) -> IngressState {
    let start = time::Instant(0);
    let zone = selection::ZoneIndex(0);
    let mut selector = selection::WorkerSelector::new(zone, class.target);
    let base = model.groups[..class.group].iter().sum::<usize>() as u64;
    let count = model.groups[class.group];
    (base..base + count as u64)
        .for_each(|worker| selector.insert(start, ident::IncarnationId(worker), zone));
    IngressState {
        selector,
        budget: retry::RetryBudget::new(start),
        hedge: hedge::HedgePolicy::new(class.idempotent, class.target, 99.0),
        connections: vec![0; count],
    }
}
