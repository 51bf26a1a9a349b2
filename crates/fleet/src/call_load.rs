//! Calls that requests make while they run, and whether a request may start although calls of such
//! requests were refused recently.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::decaying_count::DecayingCount;
use crate::room;

/// Half-life of the counts; several service times, so that they follow the callee.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Mean age of what a count with this half-life contains, `HALF_LIFE / ln 2`.
const WINDOW: time::Duration = time::Duration::from_millis(721);
/// Requests that start for each one whose calls were served recently. The excess probes whether the
/// callee has more room; it is about the share of calls that a full callee refuses.
const EXCESS: f64 = 1.15;
/// Exponent of the probability of success that gives the lowest share of requests that start. If
/// calls are refused for another reason than load, such as a part of the callee that is full,
/// starting less doesn't help, and the share would go to zero.
const FLOOR_EXPONENT: i32 = 3;
/// Time without a refusal after which requests start freely again.
const CLEAR_AFTER: time::Duration = time::Duration::from_millis(500);
/// Calls served since the last refusal from which requests start freely again.
const CLEAR_COUNT: u32 = 3;
/// Time without calls after which single requests start as probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Highest number of calls that a request is assumed to make to one route. Right after a start,
/// calls of requests are counted whose start wasn't.
const MAX_CALLS: f64 = 8.0;
/// Count of refusals below which they have no effect.
const NEGLIGIBLE: f64 = 0.001;
/// Time after which the calls of a route are forgotten.
const MAX_AGE: time::Duration = time::Duration::from_secs(60);
/// Remaining time that is assumed for refused requests; the node of the caller knows the real one.
const ASSUMED_TIME_LEFT: time::Duration = time::Duration::from_secs(3);

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call got an answer.
    Served,
    /// The call was refused; it may be repeated after this time.
    Refused(time::Duration),
}

/// Calls on one route.
#[derive(Clone, Debug, Default)]
struct CalleeLoad {
    served: DecayingCount,
    refused: DecayingCount,
    last_call: time::Instant,
    last_refusal: time::Instant,
    served_since_refusal: u32,
}

impl CalleeLoad {
    fn record(&mut self, now: time::Instant, outcome: CallOutcome) {
        // The first call after a pause is a probe. If it is served, its weight equals that of the
        // refusals before it.
        if self.is_refusing(now) && now.since(self.last_call) >= PROBE_INTERVAL {
            self.served = DecayingCount::default();
            self.refused = DecayingCount::default();
            self.refused.add(now, HALF_LIFE, 1.0);
            self.last_refusal = now;
            self.served_since_refusal = 0;
        }
        self.last_call = now;
        match outcome {
            CallOutcome::Served => {
                self.served.add(now, HALF_LIFE, 1.0);
                self.served_since_refusal = self.served_since_refusal.saturating_add(1);
            }
            CallOutcome::Refused(_) => {
                self.refused.add(now, HALF_LIFE, 1.0);
                self.last_refusal = now;
                self.served_since_refusal = 0;
            }
        }
    }

    fn is_refusing(&self, now: time::Instant) -> bool {
        let is_clear =
            now.since(self.last_refusal) >= CLEAR_AFTER && self.served_since_refusal >= CLEAR_COUNT;
        self.refused.get(now, HALF_LIFE) > NEGLIGIBLE && !is_clear
    }

    /// Returns the probability that all calls of one request on this route are served.
    fn success(&self, now: time::Instant, starts: f64) -> f64 {
        if !self.is_refusing(now) {
            return 1.0;
        }
        let served = self.served.get(now, HALF_LIFE);
        let calls = served + self.refused.get(now, HALF_LIFE);
        let calls_per_request = (calls / starts.max(1.0)).min(MAX_CALLS);
        (served / calls).powf(calls_per_request)
    }
}

/// Calls of the requests of one route.
#[derive(Clone, Debug, Default)]
struct ParentLoad {
    callees: HashMap<Arc<str>, CalleeLoad>,
    offered: DecayingCount,
    started: DecayingCount,
    /// Accumulated shares of offered requests; a request that starts uses 1.
    credit: f64,
    last_call: time::Instant,
    last_probe: time::Instant,
    /// Time at which the callees that refused are expected to have room.
    room_at: time::Instant,
    forecast: room::RoomForecast,
    is_limited: bool,
}

impl ParentLoad {
    /// Returns the share of the offered requests that may start, at most 1.
    fn share(&self, now: time::Instant) -> f64 {
        let started = self.started.get(now, HALF_LIFE);
        let successes = self.callees.values().map(|callee| callee.success(now, started));
        let success: f64 = successes.product();
        if success >= 1.0 {
            return 1.0;
        }
        let offered = self.offered.get(now, HALF_LIFE).max(1.0);
        (EXCESS * started * success / offered).max(success.powi(FLOOR_EXPONENT)).min(1.0)
    }

    fn is_probe_due(&self, now: time::Instant) -> bool {
        now.since(self.last_call.max(self.last_probe)) >= PROBE_INTERVAL
    }

    fn may_start(&mut self, now: time::Instant) -> Result<(), time::Duration> {
        self.offered.add(now, HALF_LIFE, 1.0);
        let share = self.share(now);
        self.is_limited = share < 1.0;
        self.credit = (self.credit + share).min(2.0);
        let is_probe = self.credit < 1.0 && self.is_probe_due(now);
        if is_probe {
            self.last_probe = now;
        } else if self.credit < 1.0 {
            let started = self.started.get(now, HALF_LIFE).max(1.0);
            self.forecast.set_interval(time::Duration((WINDOW.0 as f64 / started) as u64));
            return Err(self.forecast.refuse(now, self.room_at.since(now), ASSUMED_TIME_LEFT));
        } else {
            self.credit -= 1.0;
        }
        self.started.add(now, HALF_LIFE, 1.0);
        Ok(())
    }
}

/// Calls by the route of the request that makes them.
#[derive(Clone, Debug, Default)]
pub struct CallLoad {
    parents: HashMap<Arc<str>, ParentLoad>,
}

impl CallLoad {
    /// Records a call of a request of `parent_route` on `route`.
    pub fn record_call(
        &mut self,
        now: time::Instant,
        parent_route: &Arc<str>,
        route: &Arc<str>,
        outcome: CallOutcome,
    ) {
        if !self.parents.contains_key(parent_route) {
            self.parents.retain(|_, parent| now.since(parent.last_call) < MAX_AGE);
        }
        let parent = self.parents.entry(Arc::clone(parent_route)).or_default();
        parent.callees.retain(|_, callee| now.since(callee.last_call) < MAX_AGE);
        let callee = parent.callees.entry(Arc::clone(route)).or_default();
        if now.since(callee.last_call) >= PROBE_INTERVAL && callee.is_refusing(now) {
            parent.offered = DecayingCount::default();
            parent.started = DecayingCount::default();
            parent.offered.add(now, HALF_LIFE, 1.0);
            parent.started.add(now, HALF_LIFE, 1.0);
        }
        callee.record(now, outcome);
        parent.last_call = now;
        if let CallOutcome::Refused(wait) = outcome {
            parent.room_at = parent.room_at.max(now + wait);
        }
    }

    /// Decides whether a request of `route` may start. If its calls probably can't be served now,
    /// returns the time after which it may return.
    pub fn may_start(&mut self, now: time::Instant, route: &str) -> Result<(), time::Duration> {
        self.parents.get_mut(route).map_or(Ok(()), |parent| parent.may_start(now))
    }

    /// Takes back the count of a request that was allowed to start at `at`, because the worker
    /// didn't run it: it made no calls, and would make those of the others seem fewer.
    pub fn record_not_started(&mut self, now: time::Instant, route: &str, at: time::Instant) {
        if let Some(parent) = self.parents.get_mut(route) {
            parent.offered.take_back(now, HALF_LIFE, 1.0, at);
            parent.started.take_back(now, HALF_LIFE, 1.0, at);
        }
    }

    /// Returns whether only a part of the requests of `route` may start.
    pub fn is_limited(&self, route: &str) -> bool {
        self.parents.get(route).is_some_and(|parent| parent.is_limited)
    }
}
