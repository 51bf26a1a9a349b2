//! State machine of the queue in front of one upstream.

mod wait;

use std::collections::{BTreeMap, HashMap};

use cornelridge_model::time;

use crate::admission;
use crate::backlog;
use crate::limit;
use crate::service;
use crate::suspects;

/// Most queued requests.
pub const MAX_QUEUED: usize = 256;
/// Share of the mean service time below which the rest of the deadline is hopeless.
const HOPELESS_SHARE: f64 = 0.5;
/// One slot in this many is kept free of bulk work.
const BULK_RESERVE: usize = 4;
/// Bulk work leaves this many times the slots that lower ranks need on average.
const DEMAND_MARGIN: f64 = 1.25;
/// Without an announcement, dispatch resumes this long after a crash.
const CRASH_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Requests that a stalled upstream is given at once, to notice when it continues.
const STALLED_LIMIT: u32 = 2;

/// A dispatched request.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: admission::AdmissionRequest,
    dispatched: time::Instant,
}

/// Orders and bounds the work of one upstream.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: limit::ConcurrencyLimit,
    running: HashMap<admission::RequestId, RunningRequest>,
    running_bulk: usize,
    running_classes: BTreeMap<admission::ClassIndex, u32>,
    running_alone: bool,
    suspects: suspects::SuspectLane,
    paused_until: time::Instant,
    started: time::Instant,
    backlog: backlog::Backlog,
    busy_since: Option<time::Instant>,
    progress: time::Instant,
    services: service::ServiceTable,
    demand: service::DemandTable,
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
            running_classes: BTreeMap::new(),
            running_alone: false,
            suspects: suspects::SuspectLane::new(now),
            paused_until: now,
            started: now,
            backlog: backlog::Backlog::new(),
            busy_since: None,
            progress: now,
            services: service::ServiceTable::default(),
            demand: service::DemandTable::default(),
        }
    }

    /// Decides on a request; it counts as running when the answer is `Dispatch`.
    pub fn offer(
        &mut self,
        now: time::Instant,
        request: admission::AdmissionRequest,
    ) -> admission::AdmissionDecision {
        if let Some(refusal) = self.refuse_at_once(now, &request) {
            return admission::AdmissionDecision::Refused(refusal);
        }
        let service = self.services.of(request.class, request.target);
        self.demand.offered(now, request.yield_rank, service.mean_us);
        if self.can_dispatch(now, &request) {
            self.start(now, request);
            return admission::AdmissionDecision::Dispatch;
        }
        let expected_wait = self.wait_of(now, &request);
        if expected_wait > self.longest_wait(now, &request) {
            let reason = too_long(&request);
            return admission::AdmissionDecision::Refused(admission::AdmissionRefusal {
                reason,
                expected_wait,
            });
        }
        if request.alone {
            self.suspects.push(request);
            if !self.backlog.has_eligible(request.yield_rank, |_| true) {
                self.suspects.hold(now);
            }
            return admission::AdmissionDecision::Queued { evicted: None };
        }
        let mut evicted = None;
        if self.backlog.len() >= MAX_QUEUED {
            let Some(other) = self.backlog.evict(request.yield_rank) else {
                let reason = admission::RefusalReason::QueueFull;
                return admission::AdmissionDecision::Refused(admission::AdmissionRefusal {
                    reason,
                    expected_wait,
                });
            };
            let refusal = admission::AdmissionRefusal {
                reason: admission::RefusalReason::Yielded,
                expected_wait,
            };
            evicted = Some(admission::EvictedRequest { id: other.id, refusal });
        }
        self.backlog.push(now, request);
        self.busy_since.get_or_insert(now);
        admission::AdmissionDecision::Queued { evicted }
    }

    /// Records the end of a running request and gives its slot to others.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
        report: admission::FinishReport,
    ) -> Vec<admission::AdmissionAction> {
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
                ignore_latency: report.failed || ended.request.bulk || ended.request.alone,
            },
        );
        if !report.failed && !report.shed {
            self.services.learn(ended.request.class, report.latency);
        }
        self.pump(now)
    }

    /// Refuses queued requests that can't be answered in time; call it about every 10 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
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
    pub fn cancel(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
    ) -> Vec<admission::AdmissionAction> {
        if self.suspects.remove(id).or_else(|| self.backlog.remove(id)).is_none() {
            self.end(now, id);
        }
        self.pump(now)
    }

    /// Lets a queued suspect that was cleared run beside others.
    pub fn clear_suspect(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
    ) -> Vec<admission::AdmissionAction> {
        if let Some(request) = self.suspects.remove(id) {
            self.backlog.push(now, admission::AdmissionRequest { alone: false, ..request });
        }
        self.pump(now)
    }

    /// Takes over the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<admission::AdmissionAction> {
        self.limit.set_slots(now, slots);
        self.pump(now)
    }

    /// Learns what the upstream reports about its load; it is a hint only.
    pub fn report(&mut self, now: time::Instant, load: limit::ReportedLoad) {
        self.limit.report(now, load);
    }

    /// Records that the upstream has started again and is cold.
    pub fn upstream_started(
        &mut self,
        now: time::Instant,
        slots: u32,
    ) -> Vec<admission::AdmissionAction> {
        self.limit = limit::ConcurrencyLimit::new(now, slots);
        self.paused_until = now;
        self.started = now;
        self.progress = now;
        self.forgive_wait(now);
        self.pump(now)
    }

    /// Refuses everything that is queued because the upstream is gone or leaving.
    pub fn upstream_lost(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
        let suspects = self.suspects.take(|_| true);
        let queued = self.backlog.select(|_| true);
        self.backlog = backlog::Backlog::new();
        self.busy_since = None;
        let expected_wait = time::Duration::ZERO;
        let refusal = admission::AdmissionRefusal {
            reason: admission::RefusalReason::UpstreamLost,
            expected_wait,
        };
        self.paused_until = now + CRASH_PAUSE;
        let suspects = suspects.into_iter().map(|request| request.id);
        suspects.chain(queued).map(|id| admission::AdmissionAction::Refuse(id, refusal)).collect()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.backlog.len() + self.suspects.len()
    }

    /// Number of queued requests that go before a new one of this rank, for load hints.
    pub fn queued_before(&self, yield_rank: u8) -> usize {
        self.backlog.len_up_to(yield_rank)
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
            &admission::AdmissionRequest {
                id: admission::RequestId(u64::MAX),
                class: admission::ClassIndex(u16::MAX),
                yield_rank,
                caller: admission::CallerHash(u64::MAX),
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
        request: &admission::AdmissionRequest,
    ) -> Option<admission::AdmissionRefusal> {
        let id = request.id;
        let queued = self.backlog.contains(id) || self.suspects.contains(id);
        let reason = if queued || self.running.contains_key(&id) {
            admission::RefusalReason::DuplicateId
        } else if request.deadline <= now {
            admission::RefusalReason::DeadlinePassed
        } else if request.alone && self.can_not_empty(now) {
            admission::RefusalReason::CannotRunAlone
        } else {
            return None;
        };
        Some(admission::AdmissionRefusal { reason, expected_wait: time::Duration::ZERO })
    }

    fn can_dispatch(&self, now: time::Instant, request: &admission::AdmissionRequest) -> bool {
        if request.alone && !self.running.is_empty() {
            return false;
        }
        let bulk_slot = |rank| self.has_bulk_slot(now, rank);
        self.has_slot(now)
            && !self.suspects.is_draining()
            && (!request.bulk || bulk_slot(request.yield_rank))
            && !self.backlog.has_eligible(request.yield_rank, bulk_slot)
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

    /// Bulk work never occupies the last quarter of the slots, but may use an only slot. It also
    /// leaves the slots that lower ranks need, because it holds a slot for long once it runs.
    fn bulk_slots(&self, now: time::Instant, yield_rank: u8) -> usize {
        let limit = self.limit(now) as usize;
        let allowed = (limit - limit.div_ceil(BULK_RESERVE)).max(1);
        let needed = (self.demand.below(now, yield_rank) * DEMAND_MARGIN).ceil() as usize;
        allowed.min(limit.saturating_sub(needed))
    }

    fn has_bulk_slot(&self, now: time::Instant, yield_rank: u8) -> bool {
        self.running_bulk < self.bulk_slots(now, yield_rank)
    }

    fn pop(&mut self, now: time::Instant) -> Option<backlog::QueuedRequest> {
        let mut backlog = std::mem::take(&mut self.backlog);
        let waiting = backlog.pop(|rank| self.has_bulk_slot(now, rank));
        self.backlog = backlog;
        waiting
    }

    fn start(&mut self, now: time::Instant, request: admission::AdmissionRequest) {
        if self.running.is_empty() {
            self.progress = self.progress.max(now);
        }
        self.running_bulk += usize::from(request.bulk);
        *self.running_classes.entry(request.class).or_default() += 1;
        self.running_alone |= request.alone;
        self.running.insert(request.id, RunningRequest { request, dispatched: now });
    }

    fn end(&mut self, now: time::Instant, id: admission::RequestId) -> Option<RunningRequest> {
        let ended = self.running.remove(&id)?;
        self.running_bulk -= usize::from(ended.request.bulk);
        self.running_classes.entry(ended.request.class).and_modify(|count| *count -= 1);
        if ended.request.alone {
            self.running_alone = false;
            self.forgive_wait(now);
        }
        Some(ended)
    }

    /// Gives free slots to queued requests.
    fn pump(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
        let mut actions = Vec::new();
        while self.serve_suspects(now, &mut actions) && self.has_slot(now) {
            let Some(waiting) = self.pop(now) else { break };
            let request = waiting.request;
            let waited = now.since(waiting.queued);
            if is_hopeless(now, &request, &self.services)
                || (self.is_standing(now) && waited > self.useful_wait(&request))
            {
                actions.push(self.refuse_late(now, &request));
            } else {
                self.start(now, request);
                actions.push(admission::AdmissionAction::Dispatch(request.id));
            }
        }
        if self.backlog.is_empty() {
            self.busy_since = None;
        }
        actions
    }

    /// Returns `true` if no suspect holds other work back.
    fn serve_suspects(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<admission::AdmissionAction>,
    ) -> bool {
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
                    actions.push(admission::AdmissionAction::Dispatch(request.id));
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
        let waiting = lower.is_some_and(|rank| self.backlog.has_eligible(rank, |_| false));
        waiting && !self.suspects.is_draining()
    }

    fn refuse_late(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> admission::AdmissionAction {
        let passed = request.deadline <= now;
        let reason =
            if passed { admission::RefusalReason::DeadlinePassed } else { too_long(request) };
        let expected_wait = self.wait_of(now, request);
        admission::AdmissionAction::Refuse(
            request.id,
            admission::AdmissionRefusal { reason, expected_wait },
        )
    }
}

/// Whether a request that is dispatched now would most likely miss its deadline.
fn is_hopeless(
    now: time::Instant,
    request: &admission::AdmissionRequest,
    services: &service::ServiceTable,
) -> bool {
    let mean_us = services.of(request.class, request.target).mean_us;
    request.deadline.since(now).0 as f64 <= mean_us * HOPELESS_SHARE
}

/// A suspect that waits too long isn't sent to another worker.
fn too_long(request: &admission::AdmissionRequest) -> admission::RefusalReason {
    if request.alone {
        admission::RefusalReason::CannotRunAlone
    } else {
        admission::RefusalReason::WaitTooLong
    }
}

fn refuse_alone(request: &admission::AdmissionRequest) -> admission::AdmissionAction {
    let reason = admission::RefusalReason::CannotRunAlone;
    let refusal = admission::AdmissionRefusal { reason, expected_wait: suspects::PAUSE };
    admission::AdmissionAction::Refuse(request.id, refusal)
}
