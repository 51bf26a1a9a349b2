//! Expected and longest useful waits for a slot.

use cornelridge_model::time;

use crate::admission;
use crate::queue;

/// Time after which a queue that hasn't been empty is a standing queue: its requests wait only as
/// long as they can still meet their target, while those of a shorter burst may use the whole
/// deadline.
const STANDING_QUEUE_AFTER: time::Duration = time::Duration::from_millis(100);
/// A request may always wait in a standing queue for its target divided by this number.
const MIN_WAIT_DIVISOR: f64 = 4.0;
/// Number of deviations above the mean service time within which most responses arrive.
const DEVIATIONS: f64 = 4.0;
/// Shortest time without a completed request after which an upstream with running requests counts
/// as stalled.
const MIN_STALL_TIME: time::Duration = time::Duration::from_secs(1);
/// Minimum duration of a stall in mean service times, for slow classes.
const STALL_FACTOR: f64 = 8.0;

impl queue::AdmissionQueue {
    /// Returns the expected wait for a slot, from the requests ahead and the slots that lower ranks
    /// leave free.
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

    /// Returns the mean time until one of the running requests ends, in microseconds.
    pub(super) fn next_slot_us(&self, service_us: impl Fn(admission::ClassIndex) -> f64) -> f64 {
        let end_rate = |(class, count): (&admission::ClassIndex, &u32)| {
            f64::from(*count) / service_us(*class).max(1.0)
        };
        let rate: f64 = self.running_classes.iter().map(end_rate).sum();
        if rate > 0.0 { 1.0 / rate } else { 0.0 }
    }

    /// Returns the number of slots that serve the requests ahead of `request`.
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
        if self.running.is_empty() || elapsed < MIN_STALL_TIME || self.running_bulk > 0 {
            return false;
        }
        let threshold_us = self.service_times.overall_mean_us().unwrap_or(0.0) * STALL_FACTOR;
        elapsed.0 as f64 > threshold_us
    }

    /// Returns the longest wait after which a response is still useful.
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

    /// Restarts the busy period of a queue that was blocked rather than overloaded, so that the
    /// time until `now` doesn't make it a standing queue.
    pub(super) fn restart_busy_period(&mut self, now: time::Instant) {
        self.busy_since = self.busy_since.map(|_| now);
    }

    /// Returns the longest wait after which a response usually still meets the target.
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
