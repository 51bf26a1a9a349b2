//! Queue in front of one upstream.

use std::collections::HashMap;

use cornelridge_model::time;

use crate::backlog;
use crate::limit;
use crate::service;
use crate::suspects;

/// Most queued requests.
pub const MAX_QUEUED: usize = 256;
/// A queue that hasn't been empty for this long is standing: it holds requests only as long as
/// they can still meet their target, while a shorter burst may use the whole deadline.
const STANDING: time::Duration = time::Duration::from_millis(100);
/// A standing queue may always use one part in this many of the target.
const MIN_WAIT_SHARE: f64 = 4.0;
/// Mean deviations above the mean service time that a response usually stays below.
const DEVIATIONS: f64 = 4.0;
/// Share of the mean service time below which the rest of the deadline is hopeless.
const HOPELESS_SHARE: f64 = 0.5;
/// One slot in this many is kept free of bulk work.
const BULK_RESERVE: usize = 4;
/// Without an announcement, dispatch resumes this long after a crash.
const CRASH_PAUSE: time::Duration = time::Duration::from_secs(1);
/// An upstream with running requests that ends none for this long counts as stalled.
const MIN_STALL: time::Duration = time::Duration::from_secs(1);
/// A stall is also measured in mean service times, for slow classes.
const STALL_FACTOR: f64 = 8.0;
/// Requests that a stalled upstream is given at once, to notice when it continues.
const STALLED_LIMIT: u32 = 2;

/// Number of a request at its node, unique while the request is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of a class at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub u16);

/// Hash of the caller, for fair sharing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerHash(pub u64);

/// One request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIndex,
    /// Place of the class in the order of yielding: the highest rank yields first.
    pub yield_rank: u8,
    /// Its caller.
    pub caller: CallerHash,
    /// Latency target of the class.
    pub target: time::Duration,
    /// Time after which a response is useless.
    pub deadline: time::Instant,
    /// Whether the response is a large download.
    pub bulk: bool,
    /// Whether the request is suspected of crashing upstreams and runs alone.
    pub alone: bool,
}

/// Answer to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the upstream now.
    Dispatch,
    /// It waits; an action names it later.
    Queued {
        /// A queued request of a higher rank that is refused to make room.
        evicted: Option<EvictedRequest>,
    },
    /// It isn't run.
    Refused(AdmissionRefusal),
}

/// A queued request that is refused in favour of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedRequest {
    /// The request.
    pub id: RequestId,
    /// Why it is refused.
    pub refusal: AdmissionRefusal,
}

/// Why a request isn't run, with the wait that was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Expected wait for a slot.
    pub expected_wait: time::Duration,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The deadline has passed.
    DeadlinePassed,
    /// The request would not be answered in time.
    WaitTooLong,
    /// The queue holds as many requests as it may.
    QueueFull,
    /// Work of a lower rank took its place.
    Yielded,
    /// A suspect can't run alone soon enough.
    AloneUnavailable,
    /// The upstream is gone.
    UpstreamLost,
    /// A request with this number is already known.
    DuplicateId,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinishReport {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Whether the upstream refused it for load.
    pub shed: bool,
    /// Whether it failed in any other way.
    pub failed: bool,
    /// Whether the upstream ended while it ran.
    pub crashed: bool,
}

/// What to do with a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send it to the upstream now.
    Dispatch(RequestId),
    /// Tell the caller that it wasn't run.
    Refuse(RequestId, AdmissionRefusal),
}

/// A dispatched request.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: AdmissionRequest,
    dispatched: time::Instant,
}

/// Orders and bounds the work of one upstream.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: limit::ConcurrencyLimit,
    running: HashMap<RequestId, RunningRequest>,
    running_bulk: usize,
    running_alone: bool,
    suspects: suspects::SuspectLane,
    paused_until: time::Instant,
    started: time::Instant,
    backlog: backlog::Backlog,
    busy_since: Option<time::Instant>,
    progress: time::Instant,
    services: service::ServiceTable,
    occupancy: service::OccupancyTable,
}

impl AdmissionQueue {
    /// Creates the queue of a cold upstream that was announced now with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> AdmissionQueue {
        AdmissionQueue::with_limit(now, limit::ConcurrencyLimit::new(now, slots))
    }

    /// Creates the queue of an upstream with a given limit.
    pub fn with_limit(now: time::Instant, limit: limit::ConcurrencyLimit) -> AdmissionQueue {
        AdmissionQueue {
            limit,
            running: HashMap::new(),
            running_bulk: 0,
            running_alone: false,
            suspects: suspects::SuspectLane::new(now),
            paused_until: now,
            started: now,
            backlog: backlog::Backlog::new(),
            busy_since: None,
            progress: now,
            services: service::ServiceTable::default(),
            occupancy: service::OccupancyTable::default(),
        }
    }

    /// Decides on a request; it counts as running when the answer is `Dispatch`.
    pub fn offer(&mut self, now: time::Instant, request: AdmissionRequest) -> AdmissionDecision {
        if let Some(refusal) = self.refuse_at_once(now, &request) {
            return AdmissionDecision::Refused(refusal);
        }
        if self.can_dispatch(now, &request) {
            self.start(now, request);
            return AdmissionDecision::Dispatch;
        }
        let expected_wait = self.wait_of(now, &request);
        if expected_wait > self.longest_wait(now, &request) {
            let reason = RefusalReason::WaitTooLong;
            return AdmissionDecision::Refused(AdmissionRefusal { reason, expected_wait });
        }
        if request.alone {
            self.suspects.push(request);
            if !self.backlog.has_eligible(request.yield_rank, true) {
                self.suspects.hold(now);
            }
            return AdmissionDecision::Queued { evicted: None };
        }
        let mut evicted = None;
        if self.backlog.len() >= MAX_QUEUED {
            let Some(other) = self.backlog.evict(request.yield_rank) else {
                let reason = RefusalReason::QueueFull;
                return AdmissionDecision::Refused(AdmissionRefusal { reason, expected_wait });
            };
            let refusal = AdmissionRefusal { reason: RefusalReason::Yielded, expected_wait };
            evicted = Some(EvictedRequest { id: other.id, refusal });
        }
        self.backlog.push(now, request);
        self.busy_since.get_or_insert(now);
        AdmissionDecision::Queued { evicted }
    }

    /// Records the end of a running request and gives its slot to others.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: RequestId,
        report: FinishReport,
    ) -> Vec<AdmissionAction> {
        let in_flight = self.running_count();
        let Some(ended) = self.end(now, id) else { return self.pump(now) };
        // Work of the process before the last start says nothing about the present one.
        if ended.dispatched < self.started {
            return self.pump(now);
        }
        if report.crashed {
            self.paused_until = now + CRASH_PAUSE;
            self.limit = limit::ConcurrencyLimit::new(self.paused_until, self.limit.slots());
            return self.pump(now);
        }
        if !report.failed {
            if self.is_stalled(now) {
                self.forgive_wait(now);
            }
            self.progress = now;
        }
        self.limit.record(
            now,
            limit::LimitSample {
                latency: report.latency,
                target: ended.request.target,
                dispatched: ended.dispatched,
                in_flight,
                shed: report.shed,
                untimed: report.failed || ended.request.bulk || ended.request.alone,
            },
        );
        if !report.failed && !report.shed {
            self.services.learn(ended.request.class, report.latency);
        }
        self.pump(now)
    }

    /// Refuses queued requests that can't be answered in time; call it about every 10 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        let services = &self.services;
        let late = self.backlog.select(|request| is_hopeless(now, request, services));
        let mut actions = Vec::new();
        for id in late {
            if let Some(request) = self.backlog.remove(id) {
                actions.push(self.refuse_late(now, &request));
            }
        }
        actions.append(&mut self.pump(now));
        actions
    }

    /// Forgets a request whose caller has gone or whose deadline has passed.
    pub fn cancel(&mut self, now: time::Instant, id: RequestId) -> Vec<AdmissionAction> {
        if self.suspects.remove(id).or_else(|| self.backlog.remove(id)).is_none() {
            self.end(now, id);
        }
        self.pump(now)
    }

    /// Lets a queued suspect that was cleared run beside others.
    pub fn clear_alone(&mut self, now: time::Instant, id: RequestId) -> Vec<AdmissionAction> {
        if let Some(request) = self.suspects.remove(id) {
            self.backlog.push(now, AdmissionRequest { alone: false, ..request });
        }
        self.pump(now)
    }

    /// Takes over the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.limit.set_slots(now, slots);
        self.pump(now)
    }

    /// Learns what the upstream reports about its load; it is a hint only.
    pub fn report(&mut self, now: time::Instant, load: limit::ReportedLoad) {
        self.limit.report(now, load);
    }

    /// Records that the upstream has started again and is cold.
    pub fn upstream_started(&mut self, now: time::Instant, slots: u32) -> Vec<AdmissionAction> {
        self.limit = limit::ConcurrencyLimit::new(now, slots);
        self.paused_until = now;
        self.started = now;
        self.progress = now;
        self.forgive_wait(now);
        self.pump(now)
    }

    /// Refuses everything that is queued because the upstream is gone or leaving.
    pub fn upstream_lost(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        let suspects = self.suspects.take(|_| true);
        let queued = self.backlog.select(|_| true);
        self.backlog = backlog::Backlog::new();
        self.busy_since = None;
        let expected_wait = time::Duration::ZERO;
        let refusal = AdmissionRefusal { reason: RefusalReason::UpstreamLost, expected_wait };
        self.paused_until = now + CRASH_PAUSE;
        let suspects = suspects.into_iter().map(|request| request.id);
        suspects.chain(queued).map(|id| AdmissionAction::Refuse(id, refusal)).collect()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.backlog.len() + self.suspects.len()
    }

    /// Concurrency limit in force.
    pub fn limit(&self, now: time::Instant) -> u32 {
        let limit = self.limit.current(now);
        if self.is_stalled(now) { limit.min(STALLED_LIMIT) } else { limit }
    }

    /// Wait that a request of this rank from a new caller would expect.
    pub fn expected_wait(&self, now: time::Instant, yield_rank: u8) -> time::Duration {
        self.wait_of(
            now,
            &AdmissionRequest {
                id: RequestId(u64::MAX),
                class: ClassIndex(u16::MAX),
                yield_rank,
                caller: CallerHash(u64::MAX),
                target: time::Duration::ZERO,
                deadline: now,
                bulk: false,
                alone: false,
            },
        )
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn refuse_at_once(
        &self,
        now: time::Instant,
        request: &AdmissionRequest,
    ) -> Option<AdmissionRefusal> {
        let id = request.id;
        let queued = self.backlog.contains(id) || self.suspects.contains(id);
        let reason = if queued || self.running.contains_key(&id) {
            RefusalReason::DuplicateId
        } else if request.deadline <= now {
            RefusalReason::DeadlinePassed
        } else if request.alone && self.can_not_empty(now) {
            RefusalReason::AloneUnavailable
        } else {
            return None;
        };
        Some(AdmissionRefusal { reason, expected_wait: time::Duration::ZERO })
    }

    fn can_dispatch(&self, now: time::Instant, request: &AdmissionRequest) -> bool {
        if request.alone && !self.running.is_empty() {
            return false;
        }
        let allow_bulk = self.has_bulk_slot(now);
        self.has_slot(now)
            && !self.suspects.is_draining()
            && (allow_bulk || !request.bulk)
            && !self.backlog.has_eligible(request.yield_rank, allow_bulk)
    }

    /// Whether the upstream won't become empty for a suspect that comes now.
    fn can_not_empty(&self, now: time::Instant) -> bool {
        let blocked = self.running_bulk > 0 || !self.suspects.may_drain(now);
        self.suspects.is_full() || (blocked && !self.running.is_empty())
    }

    fn has_slot(&self, now: time::Instant) -> bool {
        now >= self.paused_until
            && !self.running_alone
            && self.running.len() < self.limit(now) as usize
    }

    /// Bulk work never occupies the last quarter of the slots, but may use an only slot.
    fn has_bulk_slot(&self, now: time::Instant) -> bool {
        let limit = self.limit(now) as usize;
        let allowed = limit - limit.div_ceil(BULK_RESERVE);
        self.running_bulk < allowed.max(1)
    }

    fn is_stalled(&self, now: time::Instant) -> bool {
        let quiet = now.since(self.progress);
        if self.running.is_empty() || quiet < MIN_STALL || self.running_bulk > 0 {
            return false;
        }
        let usual = self.services.overall_us().unwrap_or(0.0) * STALL_FACTOR;
        quiet.0 as f64 > usual
    }

    fn start(&mut self, now: time::Instant, request: AdmissionRequest) {
        if self.running.is_empty() {
            self.progress = self.progress.max(now);
        }
        self.running_bulk += usize::from(request.bulk);
        self.running_alone |= request.alone;
        self.occupancy.started(now, request.yield_rank);
        self.running.insert(request.id, RunningRequest { request, dispatched: now });
    }

    fn end(&mut self, now: time::Instant, id: RequestId) -> Option<RunningRequest> {
        let ended = self.running.remove(&id)?;
        self.running_bulk -= usize::from(ended.request.bulk);
        if ended.request.alone {
            self.running_alone = false;
            self.forgive_wait(now);
        }
        self.occupancy.ended(now, ended.request.yield_rank);
        Some(ended)
    }

    /// Gives free slots to queued requests.
    fn pump(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.serve_suspects(now, &mut actions) && self.has_slot(now) {
            let Some(waiting) = self.backlog.pop(self.has_bulk_slot(now)) else { break };
            let request = waiting.request;
            let waited = now.since(waiting.queued);
            if is_hopeless(now, &request, &self.services)
                || (self.is_standing(now) && waited > self.useful_wait(&request))
            {
                actions.push(self.refuse_late(now, &request));
            } else {
                self.start(now, request);
                actions.push(AdmissionAction::Dispatch(request.id));
            }
        }
        if self.backlog.is_empty() {
            self.busy_since = None;
        }
        actions
    }

    /// Returns `true` if no suspect holds other work back.
    fn serve_suspects(&mut self, now: time::Instant, actions: &mut Vec<AdmissionAction>) -> bool {
        if self.running_alone {
            return false;
        }
        let late = self.suspects.take(|request| is_hopeless(now, request, &self.services));
        actions.extend(late.iter().map(|request| self.refuse_late(now, request)));
        while now >= self.paused_until && !self.goes_before_suspects() {
            match self.suspects.step(now, self.running.len(), self.running_bulk) {
                suspects::SuspectStep::Idle => return true,
                suspects::SuspectStep::Hold => return false,
                suspects::SuspectStep::Start(request) => {
                    self.start(now, request);
                    actions.push(AdmissionAction::Dispatch(request.id));
                    return false;
                }
                suspects::SuspectStep::GiveUp(request) => {
                    self.forgive_wait(now);
                    actions.push(refuse_alone(&request));
                }
            }
        }
        true
    }

    /// Whether queued work has a lower rank than the next suspect, which isn't prepared for yet.
    fn goes_before_suspects(&self) -> bool {
        let lower = self.suspects.next_rank().and_then(|rank| rank.checked_sub(1));
        let waiting = lower.is_some_and(|rank| self.backlog.has_eligible(rank, false));
        waiting && !self.suspects.is_draining()
    }

    fn refuse_late(&self, now: time::Instant, request: &AdmissionRequest) -> AdmissionAction {
        let passed = request.deadline <= now;
        let reason =
            if passed { RefusalReason::DeadlinePassed } else { RefusalReason::WaitTooLong };
        let expected_wait = self.wait_of(now, request);
        AdmissionAction::Refuse(request.id, AdmissionRefusal { reason, expected_wait })
    }

    /// Expected wait for a slot, from the work ahead and the slots left by lower ranks.
    fn wait_of(&self, now: time::Instant, request: &AdmissionRequest) -> time::Duration {
        if self.backlog.is_empty() && self.has_slot(now) {
            return time::Duration::ZERO;
        }
        let service = self.services.of(request.class, request.target);
        let overall_us = self.services.overall_us().unwrap_or(service.mean_us);
        let service_us = |class| match self.services.of(class, time::Duration::ZERO).mean_us {
            0.0 => overall_us,
            mean_us => mean_us,
        };
        let slots = f64::from(self.limit(now));
        let left = (slots - self.occupancy.below(now, request.yield_rank)).max(1.0);
        let ahead_us = self.backlog.work_ahead_us(request, service_us) + overall_us;
        let paused = self.paused_until.since(now);
        time::Duration((ahead_us / left) as u64) + paused + self.stalled_for(now)
    }

    fn stalled_for(&self, now: time::Instant) -> time::Duration {
        if self.is_stalled(now) { now.since(self.progress) } else { time::Duration::ZERO }
    }

    /// Longest wait after which a response is still useful.
    fn longest_wait(&self, now: time::Instant, request: &AdmissionRequest) -> time::Duration {
        let service = self.services.of(request.class, request.target);
        let left = request.deadline.since(now).0 as f64 - service.mean_us;
        let left = time::Duration(left.max(0.0) as u64);
        if self.is_standing(now) { left.min(self.useful_wait(request)) } else { left }
    }

    fn is_standing(&self, now: time::Instant) -> bool {
        self.busy_since.is_some_and(|since| now.since(since) >= STANDING)
    }

    /// A queue that was held back, rather than overloaded, counts as standing only from now on.
    fn forgive_wait(&mut self, now: time::Instant) {
        self.busy_since = self.busy_since.map(|_| now);
    }

    /// Longest wait after which a response usually still meets the target.
    fn useful_wait(&self, request: &AdmissionRequest) -> time::Duration {
        let service = self.services.of(request.class, request.target);
        let target_us = request.target.0 as f64;
        let usual_us = service.mean_us + DEVIATIONS * service.deviation_us;
        time::Duration((target_us - usual_us).max(target_us / MIN_WAIT_SHARE) as u64)
    }
}

/// Whether a request that is dispatched now would most likely miss its deadline.
fn is_hopeless(
    now: time::Instant,
    request: &AdmissionRequest,
    services: &service::ServiceTable,
) -> bool {
    let mean_us = services.of(request.class, request.target).mean_us;
    request.deadline.since(now).0 as f64 <= mean_us * HOPELESS_SHARE
}

fn refuse_alone(request: &AdmissionRequest) -> AdmissionAction {
    let reason = RefusalReason::AloneUnavailable;
    let refusal = AdmissionRefusal { reason, expected_wait: suspects::PAUSE };
    AdmissionAction::Refuse(request.id, refusal)
}
