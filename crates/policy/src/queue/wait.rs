//! Expected waits, and how long a wait is still useful.

use cornelridge_model::time;

use crate::admission;
use crate::queue;

/// A queue that hasn't been empty for this long is standing: it holds requests only as long as
/// they can still meet their target, while a shorter burst may use the whole deadline.
const STANDING_QUEUE_AFTER: time::Duration = time::Duration::from_millis(100);
/// A standing queue may always use one part in this many of the target.
const MIN_WAIT_DIVISOR: f64 = 4.0;
/// Mean deviations above the mean service time that a response usually stays below.
const DEVIATIONS: f64 = 4.0;
/// An upstream with running requests that ends none for this long counts as stalled.
const MIN_STALL: time::Duration = time::Duration::from_secs(1);
/// A stall is also measured in mean service times, for slow classes.
const STALL_FACTOR: f64 = 8.0;

impl queue::AdmissionQueue {
    /// Expected wait for a slot, from the work ahead and the slots left by lower ranks.
    pub(super) fn estimate_wait(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> time::Duration {
        if self.backlog.is_empty() && self.has_slot(now) {
            return time::Duration::ZERO;
        }
        let service = self.service_times.estimate(request.class, request.target);
        let overall_us = self.service_times.overall_mean_us().unwrap_or(service.mean_us);
        let service_us =
            |class| match self.service_times.estimate(class, time::Duration::ZERO).mean_us {
                0.0 => overall_us,
                mean_us => mean_us,
            };
        let ahead_us = self.backlog.work_ahead_us(request, service_us);
        let next_us = self.next_slot_us(service_us);
        let wait_us = ahead_us / self.available_slots(now, request) + next_us;
        let blocked = self.paused_until.since(now) + self.stalled_for(now);
        time::Duration(wait_us.round() as u64) + blocked
    }

    /// Mean time until one of the running requests ends.
    pub(super) fn next_slot_us(&self, service_us: impl Fn(admission::ClassIndex) -> f64) -> f64 {
        let end_rate = |(class, count): (&admission::ClassIndex, &u32)| {
            f64::from(*count) / service_us(*class).max(1.0)
        };
        let rate: f64 = self.running_classes.iter().map(end_rate).sum();
        if rate > 0.0 { 1.0 / rate } else { 0.0 }
    }

    /// Slots that serve the work ahead of a request.
    pub(super) fn available_slots(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> f64 {
        if request.bulk {
            return self.bulk_slots(now, request.yield_rank).max(1) as f64;
        }
        let occupied = self.demand.slots_below(now, request.yield_rank) + self.running_bulk as f64;
        (f64::from(self.limit(now)) - occupied).max(1.0)
    }

    pub(super) fn stalled_for(&self, now: time::Instant) -> time::Duration {
        if self.is_stalled(now) { now.since(self.last_progress) } else { time::Duration::ZERO }
    }

    pub(super) fn is_stalled(&self, now: time::Instant) -> bool {
        let elapsed = now.since(self.last_progress);
        if self.running.is_empty() || elapsed < MIN_STALL || self.running_bulk > 0 {
            return false;
        }
        let threshold_us = self.service_times.overall_mean_us().unwrap_or(0.0) * STALL_FACTOR;
        elapsed.0 as f64 > threshold_us
    }

    /// Longest wait after which a response is still useful.
    pub(super) fn max_wait(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> time::Duration {
        let service = self.service_times.estimate(request.class, request.target);
        let slack = request.deadline.since(now).0 as f64 - service.mean_us;
        let slack = time::Duration(slack.max(0.0) as u64);
        if self.is_standing(now) { slack.min(self.max_wait_for_target(request)) } else { slack }
    }

    pub(super) fn is_standing(&self, now: time::Instant) -> bool {
        self.busy_since.is_some_and(|since| now.since(since) >= STANDING_QUEUE_AFTER)
    }

    /// A queue that was held back, rather than overloaded, counts as standing only from now on.
    pub(super) fn restart_busy_period(&mut self, now: time::Instant) {
        self.busy_since = self.busy_since.map(|_| now);
    }

    /// Longest wait after which a response usually still meets the target.
    pub(super) fn max_wait_for_target(
        &self,
        request: &admission::AdmissionRequest,
    ) -> time::Duration {
        let service = self.service_times.estimate(request.class, request.target);
        let target_us = request.target.0 as f64;
        let typical_max_us = service.mean_us + DEVIATIONS * service.deviation_us;
        time::Duration((target_us - typical_max_us).max(target_us / MIN_WAIT_DIVISOR) as u64)
    }
}
