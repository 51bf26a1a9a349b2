//! Load of an admission queue and of its worker.

use cornelridge_model::time;

use super::{AdmissionAction, AdmissionQueue, LAST_RANK};
use crate::worker_speed;

/// Load of an admission queue, as it is shared with other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Requests that run at the worker.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Highest number of requests that may run at once.
    pub slots: u32,
    /// Expected time from the arrival of a request to its response.
    pub expected_latency: time::Duration,
    /// Time by which a response is later while the machine of the worker is slowed down.
    pub slowdown: time::Duration,
    /// Expected time that a large response takes to reach its caller after that.
    pub sending_time: time::Duration,
    /// Expected time until the worker takes another request of the same priority, if its service
    /// limits the requests to cold workers.
    pub next_start: Option<time::Duration>,
    /// Whether the worker leaves most requests unanswered.
    pub is_failing: bool,
}

impl AdmissionQueue {
    /// Returns the load for requests of `route`, without the sending time, the next start and
    /// whether the worker is failing.
    pub fn load(&self, now: time::Instant, route: &str) -> QueueLoad {
        let (wait, _) = self.expected_wait(now, LAST_RANK);
        let expected_latency = wait + self.service_time(route);
        QueueLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.limit,
            expected_latency,
            slowdown: self.slowdown(now, expected_latency),
            sending_time: time::Duration::ZERO,
            next_start: None,
            is_failing: false,
        }
    }

    /// Records the load that the worker states and returns the queued requests that may run now.
    pub fn record_stated_load(
        &mut self,
        now: time::Instant,
        load: worker_speed::StatedLoad,
    ) -> Vec<AdmissionAction> {
        self.speed.record(now, load, self.running.len());
        self.start_queued(now)
    }

    /// Returns the number of requests that the worker runs unknown to the node; they take slots.
    pub fn unknown_requests(&self, now: time::Instant) -> u32 {
        self.speed.unknown_requests(now)
    }

    /// Returns the requests that may run at once, without the slots of unknown requests. One is
    /// left, so that its response shows when they end.
    pub(super) fn free_limit(&self, now: time::Instant) -> u32 {
        self.limit.saturating_sub(self.unknown_requests(now)).max(self.limit.min(1))
    }

    /// Returns by how much longer than usual work of this length takes now.
    pub(super) fn slowdown(&self, now: time::Instant, work: time::Duration) -> time::Duration {
        self.speed.delay(now, work)
    }
}
