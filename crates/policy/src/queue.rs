//! State machine of the admission queue of one upstream.

mod wait;

use std::collections::{BTreeMap, HashMap};

use cornelridge_model::time;

use crate::admission;
use crate::backlog;
use crate::estimates;
use crate::limit;
use crate::suspects;

/// Maximum number of queued requests.
pub const MAX_QUEUED: usize = 256;
/// Share of the mean service time that must be left before the deadline when a request is
/// dispatched.
const MIN_REMAINING_SHARE: f64 = 0.5;
/// The slots divided by this number are kept free of bulk requests.
const BULK_RESERVE_DIVISOR: usize = 4;
/// Bulk requests leave free this multiple of the average slots that lower ranks need.
const DEMAND_MARGIN: f64 = 1.25;
/// Time after a crash at which dispatch resumes without a new announcement.
const CRASH_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Concurrency limit of a stalled upstream, whose requests show when the upstream continues.
const STALLED_LIMIT: u32 = 2;

/// A request that runs at the upstream.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: admission::AdmissionRequest,
    dispatched: time::Instant,
}

/// Orders and limits the requests to one upstream.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: limit::ConcurrencyLimit,
    running: HashMap<admission::RequestId, RunningRequest>,
    running_bulk: usize,
    running_classes: BTreeMap<admission::ClassIndex, u32>,
    running_alone: bool,
    suspects: suspects::SuspectQueue,
    paused_until: time::Instant,
    last_start: time::Instant,
    backlog: backlog::Backlog,
    busy_since: Option<time::Instant>,
    last_progress: time::Instant,
    service_times: estimates::ServiceTimes,
    demand: estimates::DemandTable,
}

impl AdmissionQueue {
    /// Creates the queue of a cold upstream that was announced at `now` with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> AdmissionQueue {
        AdmissionQueue::with_limit(now, limit::ConcurrencyLimit::new(now, slots))
    }

    /// Creates the queue of an upstream with the given limit.
    pub fn with_limit(now: time::Instant, limit: limit::ConcurrencyLimit) -> AdmissionQueue {
        AdmissionQueue {
            limit,
            running: HashMap::new(),
            running_bulk: 0,
            running_classes: BTreeMap::new(),
            running_alone: false,
            suspects: suspects::SuspectQueue::new(now),
            paused_until: now,
            last_start: now,
            backlog: backlog::Backlog::new(),
            busy_since: None,
            last_progress: now,
            service_times: estimates::ServiceTimes::default(),
            demand: estimates::DemandTable::default(),
        }
    }

    /// Decides on a new request, which counts as running if the decision is `Dispatch`.
    pub fn offer(
        &mut self,
        now: time::Instant,
        request: admission::AdmissionRequest,
    ) -> admission::AdmissionDecision {
        if let Some(refusal) = self.refuse_immediately(now, &request) {
            return admission::AdmissionDecision::Refused(refusal);
        }
        let service = self.service_times.estimate(request.class, request.target);
        self.demand.record(now, request.yield_rank, service.mean_us);
        if self.can_dispatch(now, &request) {
            self.start(now, request);
            return admission::AdmissionDecision::Dispatch;
        }
        let expected_wait = self.estimate_wait(now, &request);
        if expected_wait > self.max_wait(now, &request) {
            let reason = long_wait_reason(&request);
            return admission::AdmissionDecision::Refused(admission::AdmissionRefusal {
                reason,
                expected_wait,
            });
        }
        if request.alone {
            self.suspects.push(request);
            if !self.backlog.has_eligible(request.yield_rank, |_| true) {
                self.suspects.start_drain(now);
            }
            return admission::AdmissionDecision::Queued { evicted: None };
        }
        let mut evicted = None;
        if self.backlog.len() >= MAX_QUEUED {
            let Some(removed) = self.backlog.evict(request.yield_rank) else {
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
            evicted = Some(admission::EvictedRequest { id: removed.id, refusal });
        }
        self.backlog.push(now, request);
        self.busy_since.get_or_insert(now);
        admission::AdmissionDecision::Queued { evicted }
    }

    /// Records the end of a running request and gives its slot to queued ones.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
        report: admission::FinishReport,
    ) -> Vec<admission::AdmissionAction> {
        let in_flight = self.running_count();
        let Some(ended) = self.remove_running(now, id) else { return self.dispatch_queued(now) };
        // Requests to an earlier process of the upstream say nothing about the current one.
        if ended.dispatched < self.last_start {
            return self.dispatch_queued(now);
        }
        if report.crashed {
            self.paused_until = now + CRASH_PAUSE;
            self.limit = limit::ConcurrencyLimit::new(self.paused_until, self.limit.slots());
            return self.dispatch_queued(now);
        }
        if !report.failed {
            if self.is_stalled(now) {
                self.restart_busy_period(now);
            }
            self.last_progress = now;
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
            self.service_times.record(ended.request.class, report.latency);
        }
        self.dispatch_queued(now)
    }

    /// Refuses queued requests that can't be answered in time. Call this about every 10 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
        let service_times = &self.service_times;
        let late = self.backlog.select(|request| would_miss_deadline(now, request, service_times));
        let mut actions = Vec::new();
        for id in late {
            if let Some(request) = self.backlog.remove(id) {
                actions.push(self.refuse_late(now, &request));
            }
        }
        actions.append(&mut self.dispatch_queued(now));
        actions
    }

    /// Removes a request whose caller has disconnected or whose deadline has passed.
    pub fn cancel(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
    ) -> Vec<admission::AdmissionAction> {
        if self.suspects.remove(id).or_else(|| self.backlog.remove(id)).is_none() {
            self.remove_running(now, id);
        }
        self.dispatch_queued(now)
    }

    /// Lets a queued suspect that was cleared run concurrently with other requests.
    pub fn clear_suspect(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
    ) -> Vec<admission::AdmissionAction> {
        if let Some(request) = self.suspects.remove(id) {
            self.backlog.push(now, admission::AdmissionRequest { alone: false, ..request });
        }
        self.dispatch_queued(now)
    }

    /// Sets the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) -> Vec<admission::AdmissionAction> {
        self.limit.set_slots(now, slots);
        self.dispatch_queued(now)
    }

    /// Records the load that the upstream reports. A report can delay increases of the limit, but
    /// never lowers it.
    pub fn record_load(&mut self, now: time::Instant, load: limit::ReportedLoad) {
        self.limit.record_load(now, load);
    }

    /// Records that the upstream has restarted and is cold.
    pub fn upstream_started(
        &mut self,
        now: time::Instant,
        slots: u32,
    ) -> Vec<admission::AdmissionAction> {
        self.limit = limit::ConcurrencyLimit::new(now, slots);
        self.paused_until = now;
        self.last_start = now;
        self.last_progress = now;
        self.restart_busy_period(now);
        self.dispatch_queued(now)
    }

    /// Refuses all queued requests because the upstream is gone or leaving.
    pub fn upstream_lost(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
        let suspects = self.suspects.extract(|_| true);
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

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.backlog.len() + self.suspects.len()
    }

    /// Returns the number of queued requests that go before a new one of this rank, for load hints.
    pub fn queued_before(&self, yield_rank: u8) -> usize {
        self.backlog.len_up_to(yield_rank)
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self, now: time::Instant) -> u32 {
        let limit = self.limit.current(now);
        if self.is_stalled(now) { limit.min(STALLED_LIMIT) } else { limit }
    }

    /// Returns the expected wait for a slot of a request of this rank from a new caller.
    pub fn expected_wait(&self, now: time::Instant, yield_rank: u8) -> time::Duration {
        self.estimate_wait(
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

    fn refuse_immediately(
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
        } else if request.alone && self.cannot_drain(now) {
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

    /// Returns whether a new suspect can't be given an idle upstream soon enough.
    fn cannot_drain(&self, now: time::Instant) -> bool {
        let blocked = self.running_bulk > 0 || !self.suspects.may_drain(now);
        self.suspects.is_full() || (blocked && !self.running.is_empty())
    }

    fn has_slot(&self, now: time::Instant) -> bool {
        now >= self.paused_until
            && !self.running_alone
            && self.running.len() < self.limit(now) as usize
    }

    /// Returns the number of slots that bulk requests of this rank may occupy. Bulk requests never
    /// occupy the last quarter of the slots, but may use a single slot. They also leave free the
    /// slots that lower ranks need, because a running bulk request holds its slot for a long time.
    fn bulk_slots(&self, now: time::Instant, yield_rank: u8) -> usize {
        let limit = self.limit(now) as usize;
        let allowed = (limit - limit.div_ceil(BULK_RESERVE_DIVISOR)).max(1);
        let needed = (self.demand.slots_below(now, yield_rank) * DEMAND_MARGIN).ceil() as usize;
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
            self.last_progress = self.last_progress.max(now);
        }
        self.running_bulk += usize::from(request.bulk);
        *self.running_classes.entry(request.class).or_default() += 1;
        self.running_alone |= request.alone;
        self.running.insert(request.id, RunningRequest { request, dispatched: now });
    }

    fn remove_running(
        &mut self,
        now: time::Instant,
        id: admission::RequestId,
    ) -> Option<RunningRequest> {
        let ended = self.running.remove(&id)?;
        self.running_bulk -= usize::from(ended.request.bulk);
        self.running_classes.entry(ended.request.class).and_modify(|count| *count -= 1);
        if ended.request.alone {
            self.running_alone = false;
            self.restart_busy_period(now);
        }
        Some(ended)
    }

    /// Gives free slots to queued requests.
    fn dispatch_queued(&mut self, now: time::Instant) -> Vec<admission::AdmissionAction> {
        let mut actions = Vec::new();
        while self.dispatch_suspects(now, &mut actions) && self.has_slot(now) {
            let Some(waiting) = self.pop(now) else { break };
            let request = waiting.request;
            let waited = now.since(waiting.queued);
            if would_miss_deadline(now, &request, &self.service_times)
                || (self.is_standing(now) && waited > self.max_wait_for_target(&request))
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

    /// Starts or refuses queued suspects. Returns `true` if no suspect holds other requests back.
    fn dispatch_suspects(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<admission::AdmissionAction>,
    ) -> bool {
        if self.running_alone {
            return false;
        }
        let late =
            self.suspects.extract(|request| would_miss_deadline(now, request, &self.service_times));
        actions.extend(late.iter().map(|request| self.refuse_late(now, request)));
        while now >= self.paused_until && !self.has_work_before_suspects() {
            match self.suspects.step(now, self.running.len(), self.running_bulk) {
                suspects::SuspectStep::Continue => return true,
                suspects::SuspectStep::Hold => return false,
                suspects::SuspectStep::Start(request) => {
                    self.start(now, request);
                    actions.push(admission::AdmissionAction::Dispatch(request.id));
                    return false;
                }
                suspects::SuspectStep::Refuse(request) => {
                    self.restart_busy_period(now);
                    actions.push(refuse_suspect(&request));
                }
            }
        }
        true
    }

    /// Returns whether a queued request of a lower rank goes before the next suspect. Once other
    /// requests are held back for a suspect, none goes before it.
    fn has_work_before_suspects(&self) -> bool {
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
        let reason = if passed {
            admission::RefusalReason::DeadlinePassed
        } else {
            long_wait_reason(request)
        };
        let expected_wait = self.estimate_wait(now, request);
        admission::AdmissionAction::Refuse(
            request.id,
            admission::AdmissionRefusal { reason, expected_wait },
        )
    }
}

/// Returns whether a request that is dispatched at `now` would most likely miss its deadline.
fn would_miss_deadline(
    now: time::Instant,
    request: &admission::AdmissionRequest,
    service_times: &estimates::ServiceTimes,
) -> bool {
    let mean_us = service_times.estimate(request.class, request.target).mean_us;
    request.deadline.since(now).0 as f64 <= mean_us * MIN_REMAINING_SHARE
}

/// Returns the reason for refusing a request that waits too long. A suspect isn't sent to another
/// worker.
fn long_wait_reason(request: &admission::AdmissionRequest) -> admission::RefusalReason {
    if request.alone {
        admission::RefusalReason::CannotRunAlone
    } else {
        admission::RefusalReason::WaitTooLong
    }
}

fn refuse_suspect(request: &admission::AdmissionRequest) -> admission::AdmissionAction {
    let reason = admission::RefusalReason::CannotRunAlone;
    let refusal = admission::AdmissionRefusal { reason, expected_wait: suspects::DRAIN_COOLDOWN };
    admission::AdmissionAction::Refuse(request.id, refusal)
}
