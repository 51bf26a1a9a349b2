//! Share of requests that a worker leaves unanswered, as the node beside it sees them.
//!
//! A worker that breaks off every request at once looks idle. Each node would find out by its own
//! failures; the one beside the worker sees all of them, and tells the others with its load.

use cornelridge_model::time;

/// Weight of one request in the share.
const WEIGHT: f64 = 0.2;
/// Share of unanswered requests from which a worker counts as failing. Four in a row reach it, and
/// half of all on average.
const MAX_SHARE: f64 = 0.5;
/// Time between two requests that are sent to a failing worker although others could serve them.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after the last unanswered request from which the share counts no more.
const RETENTION: time::Duration = time::Duration::from_secs(2);

/// Share of the latest requests without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerShare {
    unanswered: f64,
    broken_at: time::Instant,
    /// When the last request was sent to the failing worker as a probe.
    probed_at: time::Instant,
}

impl AnswerShare {
    /// Records a request that the worker answered, with whatever status.
    pub fn record_answered(&mut self) {
        self.unanswered *= 1.0 - WEIGHT;
    }

    /// Records a request whose connection the worker closed without a complete answer. Requests
    /// that were sent before the previous one broke say nothing new: connections may break together
    /// for one cause.
    pub fn record_broken(&mut self, now: time::Instant, sent: time::Instant) {
        if sent < self.broken_at {
            return;
        }
        self.broken_at = now;
        self.unanswered += (1.0 - self.unanswered) * WEIGHT;
    }

    /// Returns whether a request that other workers could serve is sent to this one: each one unless
    /// the worker is failing, and then one in an interval, which shows when that ends.
    pub fn admits(&mut self, now: time::Instant) -> bool {
        if !self.is_failing(now) {
            return true;
        }
        let is_due = now.since(self.probed_at) >= PROBE_INTERVAL;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Returns whether the worker leaves most requests unanswered.
    pub fn is_failing(&self, now: time::Instant) -> bool {
        self.unanswered > MAX_SHARE && now.since(self.broken_at) < RETENTION
    }
}
