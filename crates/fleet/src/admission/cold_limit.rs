//! Limit of an admission queue on the requests to a worker that may be cold.

use cornelridge_model::time;

use super::{
    AdmissionAction, AdmissionKey, AdmissionQueue, AdmissionRefusal, QueueRank, RefusalReason,
};
use crate::room;
use crate::warm_up;

impl AdmissionQueue {
    /// Sets the limit on requests while the worker may be cold; `None` removes it.
    pub fn set_warm_up(&mut self, mut limiter: Option<warm_up::WarmUpLimiter>) {
        if let Some(limiter) = &mut limiter {
            self.running.values().filter(|known| known.is_reserved).for_each(|_| limiter.reserve());
        }
        self.warm_up = limiter;
    }

    /// Returns the limiter of requests to a worker that may be cold.
    pub fn warm_up(&mut self) -> Option<&mut warm_up::WarmUpLimiter> {
        self.warm_up.as_mut()
    }

    /// Counts a request that is about to be sent; fails with the time until one may be sent if the
    /// limit has changed since the request was started. A repeat needs another call.
    pub fn begin_send(
        &mut self,
        now: time::Instant,
        key: AdmissionKey,
    ) -> Result<(), AdmissionRefusal> {
        let is_reserved = self.take_reservation(key);
        let Some(limiter) = &mut self.warm_up else { return Ok(()) };
        if is_reserved {
            limiter.release();
        }
        if !limiter.has_token(now) {
            let wait = limiter.next_send_at(now).since(now);
            return Err(AdmissionRefusal {
                reason: RefusalReason::WarmUp,
                expected_wait: wait,
                retry_after: time::Duration(wait.0.max(room::MIN_RETRY_AFTER.0)),
            });
        }
        limiter.record_sent(now);
        Ok(())
    }

    /// Records that a request doesn't count: the worker answered 421, or it wasn't written.
    pub fn record_refused(&mut self, now: time::Instant) {
        if let Some(limiter) = &mut self.warm_up {
            limiter.record_refused(now);
        }
    }

    fn take_reservation(&mut self, key: AdmissionKey) -> bool {
        let running = self.running.get_mut(&key);
        running.is_some_and(|running| std::mem::take(&mut running.is_reserved))
    }

    /// Releases the reservation of a request that won't be sent.
    pub(super) fn release_reservation(&mut self, key: AdmissionKey) {
        let is_reserved = self.take_reservation(key);
        if let Some(limiter) = self.warm_up.as_mut().filter(|_| is_reserved) {
            limiter.release();
        }
    }

    /// Starts the queued requests that may run now, for example after a check of a cold worker.
    pub fn resume(&mut self, now: time::Instant) -> Vec<AdmissionAction> {
        self.start_queued(now)
    }

    /// Returns whether the limit for cold workers allows another request.
    pub(super) fn may_send(&self, now: time::Instant) -> bool {
        self.warm_up.as_ref().is_none_or(|limiter| limiter.may_send(now))
    }

    /// Returns the expected time until another request of this priority is started, or `None`
    /// without a limit for cold workers.
    pub fn next_start(&self, now: time::Instant, priority: u8) -> Option<time::Duration> {
        let rank = QueueRank { priority, is_request: true, is_early: false };
        self.warm_up.as_ref().map(|_| self.expected_wait(now, rank).0)
    }
}
