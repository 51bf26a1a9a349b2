//! Choice between the workers of the node's own availability zone and those of other zones.
//!
//! A request leaves its zone with a probability that grows as the workers of the zone come near to
//! missing its target. Many nodes decide independently on similar hints; a threshold would move
//! all their requests at once, back and forth.

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::decaying_count::DecayingCount;

/// Value of an answer in time, as latency in microseconds: the traffic of an answer of 100 kB
/// between zones costs about half of it.
const ANSWER_VALUE: f64 = 450_000.0;
/// Price of traffic between zones, as latency in microseconds per byte (2.2 ms per kB). It gives
/// about the fixed costs of `selection`: 12 ms for answers of 5 kB, 220 ms for those of 100 kB.
const PRICE_PER_BYTE: f64 = 2.2;
/// Highest cost of an answer's traffic relative to `ANSWER_VALUE`. Below 1, so that a request that
/// is certain to be late in its zone leaves it whatever its size.
const MAX_COST_SHARE: f64 = 0.8;
/// Value of saved time relative to that time, where a request would miss its target in its own
/// zone.
const TIME_VALUE: f64 = 0.05;
/// Expected time over the time to the target up to which a request counts as certain to be in
/// time. The rest of the time to the target allows for differences between requests and for the
/// age of the hints. With less, the share that leaves would rise faster than hints arrive.
const MARGIN: f64 = 0.5;
/// Half-life of the hint of a worker, after which the level of its zone counts.
const HINT_HALF_LIFE: time::Duration = time::Duration::from_millis(1_500);
/// Half-life of the level of a zone of which nothing is heard. In the model of the tests, 1.5 s let
/// a sixth of the requests of an overloaded zone go to another one that had no room either.
const LEVEL_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Share of reachable workers in other zones below which the share of requests that leave falls in
/// proportion.
const REACHABLE_SHARE: f64 = 0.25;
/// Part of the requests that leave nevertheless if none could be reached, as probes.
const PROBE_SHARE: f64 = 0.05;
/// Mean size of answers of a route of which none is known, in bytes.
const DEFAULT_BYTES: f64 = 5_000.0;
/// The same for routes with large answers.
const DEFAULT_BULK_BYTES: f64 = 100_000.0;
/// Weight of one answer in the mean size.
const SIZE_WEIGHT: f64 = 0.05;
/// Half-life of the counts from which it is known whether requests leave.
const TRAFFIC_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// Share of requests to other zones from which they count as leaving.
const BEGIN_SHARE: f64 = 0.1;
/// Count of requests to other zones from which they count as leaving; single ones leave while
/// nothing is known.
const BEGIN_COUNT: f64 = 4.0;
/// Share of requests to other zones below which they no longer count as leaving.
const END_SHARE: f64 = 0.02;
/// Count of requests to other zones below which they no longer count as leaving.
const END_COUNT: f64 = 0.5;

/// What the choice for a request depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneTerms {
    /// Time that is left until the target.
    pub time_left: time::Duration,
    /// Mean size of the answers of the route, in bytes.
    pub answer_bytes: f64,
}

/// What is expected of the best worker of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerOutlook {
    /// Expected time to the answer, in microseconds.
    pub expected: f64,
    /// Share of failed requests.
    pub failure_share: f64,
}

impl WorkerOutlook {
    /// Returns the probability that an answer doesn't arrive in time. It is 1 from the time at
    /// which the worker's node refuses the request.
    pub fn miss_probability(self, time_left: time::Duration) -> f64 {
        let used = self.expected / (time_left.0.max(1) as f64);
        let late = ((used - MARGIN) / (1.0 - MARGIN)).clamp(0.0, 1.0);
        1.0 - (1.0 - late) * (1.0 - self.failure_share)
    }
}

/// What is known of the workers of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneOutlook {
    /// No worker can take the request.
    Closed,
    /// Workers may take the request, but the load of none is known.
    Unknown,
    /// The outlook of the best worker.
    Known(WorkerOutlook),
}

/// Returns the probability with which a request leaves its zone; `None` if there is no choice or
/// nothing is known of the own zone. Another zone of which nothing is known is assumed to have
/// room, as its first answers show its load.
/// `reachable` is the share of its workers whose nodes answered last time.
pub fn choose(
    terms: ZoneTerms,
    own: ZoneOutlook,
    other: ZoneOutlook,
    reachable: f64,
) -> Option<f64> {
    let ZoneOutlook::Known(own) = own else { return None };
    let other = match other {
        ZoneOutlook::Closed => return None,
        ZoneOutlook::Unknown => WorkerOutlook::default(),
        ZoneOutlook::Known(other) => other,
    };
    let trusted = (reachable / REACHABLE_SHARE).clamp(PROBE_SHARE, 1.0);
    Some(leave_probability(terms, own, other) * trusted)
}

/// Returns the probability with which a request leaves its zone for another one.
///
/// It is 0 where the traffic costs more than is gained, rises with the gain, and is 1 for a request
/// that is late in its own zone and in time elsewhere.
pub fn leave_probability(terms: ZoneTerms, own: WorkerOutlook, other: WorkerOutlook) -> f64 {
    let own_miss = own.miss_probability(terms.time_left);
    let other_miss = other.miss_probability(terms.time_left);
    if own_miss <= other_miss {
        return 0.0;
    }
    // A request whose own zone is fast enough stays, however fast another zone is.
    let saved = (own.expected - other.expected).max(0.0) * TIME_VALUE * own_miss;
    let gain = ANSWER_VALUE * (own_miss - other_miss) + saved;
    let cost = (terms.answer_bytes * PRICE_PER_BYTE).min(ANSWER_VALUE * MAX_COST_SHARE);
    let share = ((gain - cost) / (ANSWER_VALUE - cost)).clamp(0.0, 1.0);
    // The less room the other zone has, the less is sent to it by each of the nodes.
    share * (1.0 - other_miss)
}

/// Load hint of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerHint {
    /// Expected time to the answer, in microseconds.
    pub expected: f64,
    /// Age of the hint.
    pub age: time::Duration,
}

impl WorkerHint {
    /// Returns the weight of the hint in a mean that follows it with a half-life.
    fn weight(self, half_life: time::Duration) -> f64 {
        0.5_f64.powf(self.age.as_secs_f64() / half_life.as_secs_f64())
    }
}

/// Load level of a zone, from the hints of its workers.
///
/// A node hears of each single worker rarely, but of any of them often. The hint of a worker
/// therefore decays towards the level of the zone, and the level more slowly towards 0, so that a
/// full zone of which nothing was heard for a while is tried again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLevel {
    /// Weighted mean of the hints, which has decayed since the latest one.
    current: f64,
}

impl ZoneLevel {
    /// Computes the level; returns `None` without hints.
    pub fn new(hints: impl Iterator<Item = WorkerHint>) -> Option<ZoneLevel> {
        let (mut sum, mut weights, mut freshness) = (0.0, 0.0, 0.0_f64);
        for hint in hints {
            // A weight above 0 also for very old hints, so that the mean is defined.
            let weight = hint.weight(HINT_HALF_LIFE).max(f64::MIN_POSITIVE);
            sum += hint.expected * weight;
            weights += weight;
            freshness = freshness.max(hint.weight(LEVEL_HALF_LIFE));
        }
        (weights > 0.0).then(|| ZoneLevel { current: sum / weights * freshness })
    }

    /// Returns the expected time at a worker of the zone, by its hint if it has one.
    pub fn expected(self, hint: Option<WorkerHint>) -> f64 {
        let Some(hint) = hint else { return self.current };
        self.current + (hint.expected - self.current) * hint.weight(HINT_HALF_LIFE)
    }
}

/// Change of whether requests leave the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficChange {
    /// Service that the requests are for.
    pub service: Arc<str>,
    /// Whether requests leave the zone from now on.
    pub is_leaving: bool,
    /// Share of requests that left lately.
    pub share: f64,
}

/// Requests of one service by zone.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTraffic {
    all: DecayingCount,
    left: DecayingCount,
    is_leaving: bool,
}

impl ServiceTraffic {
    fn share(&self, now: time::Instant) -> f64 {
        let left = self.left.get(now, TRAFFIC_HALF_LIFE);
        left / self.all.get(now, TRAFFIC_HALF_LIFE).max(f64::MIN_POSITIVE)
    }

    /// Updates whether requests leave; returns whether this has changed.
    fn update(&mut self, now: time::Instant) -> bool {
        let (share, left) = (self.share(now), self.left.get(now, TRAFFIC_HALF_LIFE));
        let is_leaving = match self.is_leaving {
            true => share >= END_SHARE && left >= END_COUNT,
            false => share >= BEGIN_SHARE && left >= BEGIN_COUNT,
        };
        std::mem::replace(&mut self.is_leaving, is_leaving) != is_leaving
    }
}

/// Sizes of answers and requests that left the zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTraffic {
    /// Mean sizes of answers in bytes, by route.
    sizes: HashMap<Arc<str>, f64>,
    services: HashMap<Arc<str>, ServiceTraffic>,
}

impl ZoneTraffic {
    /// Returns the mean size of the answers of a route, in bytes.
    pub fn answer_bytes(&self, route: &str, is_bulk: bool) -> f64 {
        let default = if is_bulk { DEFAULT_BULK_BYTES } else { DEFAULT_BYTES };
        self.sizes.get(route).copied().unwrap_or(default)
    }

    /// Records the size of an answer.
    pub fn record_answer(&mut self, route: &Arc<str>, is_bulk: bool, bytes: u64) {
        let mean = self.answer_bytes(route, is_bulk);
        let mean = mean + (bytes as f64 - mean) * SIZE_WEIGHT;
        self.sizes.insert(Arc::clone(route), mean);
    }

    /// Records the zone that was chosen for a request; returns a change that follows from it.
    pub fn record_choice(
        &mut self,
        now: time::Instant,
        service: &Arc<str>,
        is_same_zone: bool,
    ) -> Option<TrafficChange> {
        let traffic = self.services.entry(Arc::clone(service)).or_default();
        traffic.all.add(now, TRAFFIC_HALF_LIFE, 1.0);
        if !is_same_zone {
            traffic.left.add(now, TRAFFIC_HALF_LIFE, 1.0);
        }
        traffic.update(now).then(|| TrafficChange {
            service: Arc::clone(service),
            is_leaving: traffic.is_leaving,
            share: traffic.share(now),
        })
    }

    /// Returns the changes that follow from requests that no longer come.
    pub fn poll(&mut self, now: time::Instant) -> Vec<TrafficChange> {
        let mut changes = Vec::new();
        for (service, traffic) in &mut self.services {
            if traffic.update(now) {
                let (service, is_leaving) = (Arc::clone(service), traffic.is_leaving);
                changes.push(TrafficChange { service, is_leaving, share: traffic.share(now) });
            }
        }
        changes
    }

    /// Keeps the sizes of the routes and the requests of the services for which the functions
    /// return `true`.
    pub fn retain(
        &mut self,
        keep_route: impl Fn(&str) -> bool,
        keep_service: impl Fn(&str) -> bool,
    ) {
        self.sizes.retain(|route, _| keep_route(route));
        self.services.retain(|service, _| keep_service(service));
    }
}
