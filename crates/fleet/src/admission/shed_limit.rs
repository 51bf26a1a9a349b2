//! Limit of an admission queue on running requests after its worker shed load.

use cornelridge_model::time;

use super::AdmissionQueue;

/// Time after which a limit that was lowered for a shedding worker grows by one slot.
const LIMIT_RECOVERY_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Time for which a served request proves how many requests the worker can run at once; a few
/// service times.
const MAX_CONCURRENCY_AGE: time::Duration = time::Duration::from_millis(1_500);

/// Number of requests that the worker is known to run at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProvenConcurrency {
    concurrency: u32,
    at: time::Instant,
}

impl ProvenConcurrency {
    /// Returns the number, or 0 if it is too old.
    fn current(self, now: time::Instant) -> u32 {
        if now.since(self.at) > MAX_CONCURRENCY_AGE { 0 } else { self.concurrency }
    }
}

impl AdmissionQueue {
    /// Records that a request was served that started at this concurrency.
    pub(super) fn record_concurrency(&mut self, now: time::Instant, concurrency: u32) {
        if concurrency >= self.proven.current(now) {
            self.proven = ProvenConcurrency { concurrency, at: now };
        }
    }

    /// Lowers the limit after the worker refused a request although it has slots. The requests that
    /// run are then the most that it can run, unless it recently served at a higher concurrency, in
    /// which case the refusal doesn't mean that it is full.
    pub(super) fn record_shed(&mut self, now: time::Instant) {
        let limit = (self.running.len() as u32).max(self.proven.current(now));
        if limit < self.limit {
            self.limit = limit.clamp(1, self.slots.max(1));
            self.limit_changed_at = now;
        }
    }

    /// Raises a lowered limit by one slot per interval.
    pub(super) fn recover_limit(&mut self, now: time::Instant) {
        while self.limit < self.slots && now.since(self.limit_changed_at) >= LIMIT_RECOVERY_INTERVAL
        {
            self.limit += 1;
            self.limit_changed_at = self.limit_changed_at + LIMIT_RECOVERY_INTERVAL;
        }
    }
}
