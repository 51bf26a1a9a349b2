//! Expected waits, and how long a wait is still useful.

use cornelridge_model::time;

use crate::admission;
use crate::queue;

/// A queue that hasn't been empty for this long is standing: it holds requests only as long as
/// they can still meet their target, while a shorter burst may use the whole deadline.
const STANDING: time::Duration = time::Duration::from_millis(100);
/// A standing queue may always use one part in this many of the target.
const MIN_WAIT_SHARE: f64 = 4.0;
/// Mean deviations above the mean service time that a response usually stays below.
const DEVIATIONS: f64 = 4.0;
/// An upstream with running requests that ends none for this long counts as stalled.
const MIN_STALL: time::Duration = time::Duration::from_secs(1);
/// A stall is also measured in mean service times, for slow classes.
const STALL_FACTOR: f64 = 8.0;

impl queue::AdmissionQueue {
    /// Expected wait for a slot, from the work ahead and the slots left by lower ranks.
    pub(super) fn wait_of(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> time::Duration {
        if self.backlog.is_empty() && self.has_slot(now) {
            return time::Duration::ZERO;
        }
        let service = self.services.of(request.class, request.target);
        let overall_us = self.services.overall_us().unwrap_or(service.mean_us);
        let service_us = |class| match self.services.of(class, time::Duration::ZERO).mean_us {
            0.0 => overall_us,
            mean_us => mean_us,
        };
        let ahead_us = self.backlog.work_ahead_us(request, service_us);
        let next_us = self.next_slot_us(service_us);
        let wait_us = ahead_us / self.open_slots(now, request) + next_us;
        let held_back = self.paused_until.since(now) + self.stalled_for(now);
        time::Duration(wait_us.round() as u64) + held_back
    }

    /// Mean time until one of the running requests ends.
    pub(super) fn next_slot_us(&self, service_us: impl Fn(admission::ClassIndex) -> f64) -> f64 {
        let ends = |(class, count): (&admission::ClassIndex, &u32)| {
            f64::from(*count) / service_us(*class).max(1.0)
        };
        let rate: f64 = self.running_classes.iter().map(ends).sum();
        if rate > 0.0 { 1.0 / rate } else { 0.0 }
    }

    /// Slots that serve the work ahead of a request.
    pub(super) fn open_slots(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> f64 {
        if request.bulk {
            return self.bulk_slots(now, request.yield_rank).max(1) as f64;
        }
        let held = self.demand.below(now, request.yield_rank) + self.running_bulk as f64;
        (f64::from(self.limit(now)) - held).max(1.0)
    }

    pub(super) fn stalled_for(&self, now: time::Instant) -> time::Duration {
        if self.is_stalled(now) { now.since(self.progress) } else { time::Duration::ZERO }
    }

    pub(super) fn is_stalled(&self, now: time::Instant) -> bool {
        let quiet = now.since(self.progress);
        if self.running.is_empty() || quiet < MIN_STALL || self.running_bulk > 0 {
            return false;
        }
        let usual = self.services.overall_us().unwrap_or(0.0) * STALL_FACTOR;
        quiet.0 as f64 > usual
    }

    /// Longest wait after which a response is still useful.
    pub(super) fn longest_wait(
        &self,
        now: time::Instant,
        request: &admission::AdmissionRequest,
    ) -> time::Duration {
        let service = self.services.of(request.class, request.target);
        let left = request.deadline.since(now).0 as f64 - service.mean_us;
        let left = time::Duration(left.max(0.0) as u64);
        if self.is_standing(now) { left.min(self.useful_wait(request)) } else { left }
    }

    pub(super) fn is_standing(&self, now: time::Instant) -> bool {
        self.busy_since.is_some_and(|since| now.since(since) >= STANDING)
    }

    /// A queue that was held back, rather than overloaded, counts as standing only from now on.
    pub(super) fn forgive_wait(&mut self, now: time::Instant) {
        self.busy_since = self.busy_since.map(|_| now);
    }

    /// Longest wait after which a response usually still meets the target.
    pub(super) fn useful_wait(&self, request: &admission::AdmissionRequest) -> time::Duration {
        let service = self.services.of(request.class, request.target);
        let target_us = request.target.0 as f64;
        let usual_us = service.mean_us + DEVIATIONS * service.deviation_us;
        time::Duration((target_us - usual_us).max(target_us / MIN_WAIT_SHARE) as u64)
    }
}
