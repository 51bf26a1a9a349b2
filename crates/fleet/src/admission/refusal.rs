//! Refusals of an admission queue and the times after which refused requests may return.

use cornelridge_model::time;

use super::{
    AdmissionKey, AdmissionQueue, AdmissionRefusal, AdmissionRequest, LAST_RANK, QueueRank,
};
use crate::room;

/// Lowest time that is reserved for the service of a request, as a multiple of the mean. Of the
/// requests that would end just at the target every second one is late.
const RESERVE_FACTOR: f64 = 1.3;
/// Number of mean deviations above the mean that are reserved. Nine of ten service times with a
/// normal distribution are shorter.
const RESERVED_DEVIATIONS: f64 = 1.6;

/// Queued requests that go before another one.
#[derive(Clone, Copy, Debug, Default)]
struct RequestsAhead {
    count: usize,
    /// Sum of their service times, in microseconds.
    service_us: f64,
}

impl AdmissionQueue {
    /// Returns the refusal of a request for lack of a slot.
    pub(super) fn refusal(
        &mut self,
        now: time::Instant,
        request: &AdmissionRequest,
    ) -> AdmissionRefusal {
        let (expected_wait, reason) = self.expected_wait(now, request.rank());
        let retry_after = self.retry_after(now, request);
        AdmissionRefusal { reason, expected_wait, retry_after }
    }

    /// Returns the time after which a request that wasn't admitted may return, and assigns it a
    /// share of the room. A request that came too early keeps the share that it was told before.
    pub fn retry_after(
        &mut self,
        now: time::Instant,
        request: &AdmissionRequest,
    ) -> time::Duration {
        if !self.shares_room {
            let (wait, _) = self.expected_wait(now, request.rank());
            return time::Duration(wait.0.max(room::MIN_RETRY_AFTER.0));
        }
        let wait = self.room_in(now, request);
        if request.is_early {
            return time::Duration(wait.0.max(room::MIN_RETRY_AFTER.0));
        }
        let interval = self.interval(now, request);
        let left = request.deadline.since(now);
        self.forecast.refuse(now, request.priority, interval, wait, left)
    }

    /// Returns the latest time at which the response may arrive for a request to get a slot.
    pub(super) fn cutoff(&self, request: &AdmissionRequest) -> time::Instant {
        request.cutoff(self.shares_room)
    }

    /// Returns the time that is reserved for the service of a request: the mean for calls, and more
    /// for requests whose target decides, the more their service times differ. For large responses,
    /// the reserve for the link includes these differences.
    pub(super) fn reserved_time(&self, request: &AdmissionRequest) -> time::Duration {
        let mean = self.service_time(&request.route).0 as f64;
        if request.is_call {
            return time::Duration(mean as u64);
        }
        let least = mean * RESERVE_FACTOR;
        if request.sending_time > time::Duration::ZERO {
            return time::Duration(least as u64);
        }
        let known = self.service_times.get(&request.route);
        let deviation = known.map_or(0.0, |known| known.deviation_us);
        time::Duration(least.max(mean + deviation * RESERVED_DEVIATIONS) as u64)
    }

    /// Returns the time in which room for one more request like this one becomes free.
    fn interval(&self, now: time::Instant, request: &AdmissionRequest) -> time::Duration {
        let service_time = self.service_time(&request.route).0;
        let by_slots = time::Duration(service_time / u64::from(self.limit.max(1)));
        let Some(limiter) = &self.warm_up else { return by_slots };
        // A cold worker takes fewer requests than its slots would.
        let ahead = self.queued_before(request.rank());
        let by_limit = limiter.send_at(now, ahead + 1).since(limiter.send_at(now, ahead));
        by_slots.max(by_limit)
    }

    /// Returns the queued requests that aren't expected to start in time behind the others, which
    /// may be more urgent ones that came after them.
    pub(super) fn late_requests(&self, now: time::Instant) -> Vec<(QueueRank, AdmissionKey)> {
        let mut late = Vec::new();
        let mut ahead = RequestsAhead::default();
        let first_end_us = self.first_end_us(now);
        let mut slots = (LAST_RANK, self.limit_for(now, LAST_RANK));
        for (key, request) in &self.queue {
            // The number of slots is the same for all requests of a rank.
            if slots.0 != key.0 {
                slots = (key.0, self.limit_for(now, key.0));
            }
            let start = self.expected_start(now, slots.1, first_end_us, ahead);
            if start > self.cutoff(request) || self.would_miss_deadline(start, request) {
                late.push(*key);
            } else {
                ahead.count += 1;
                ahead.service_us += self.service_time(&request.route).0 as f64;
            }
        }
        late
    }

    /// Returns when a queued request that may use this number of slots is expected to start.
    fn expected_start(
        &self,
        now: time::Instant,
        slots: usize,
        first_end_us: f64,
        ahead: RequestsAhead,
    ) -> time::Instant {
        let limiter = self.warm_up.as_ref();
        let by_limit = limiter.map_or(now, |limiter| limiter.send_at(now, ahead.count));
        if !self.shares_room || ahead.count < slots.saturating_sub(self.running.len()) {
            return by_limit;
        }
        let wait = ahead.service_us / slots.max(1) as f64 + first_end_us;
        by_limit.max(now + time::Duration(wait as u64))
    }

    /// Returns the time until a request like this one, with as much time to its cutoff, would be
    /// admitted if no others came: its expected wait less the wait that it could bear.
    fn room_in(&self, now: time::Instant, request: &AdmissionRequest) -> time::Duration {
        let (wait, _) = self.expected_wait(now, request.rank());
        let needed = self.reserved_time(request) + request.sending_time;
        wait.saturating_sub(self.cutoff(request).since(now).saturating_sub(needed))
    }
}
