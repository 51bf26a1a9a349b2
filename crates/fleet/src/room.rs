//! Times at which refused requests may return, as room becomes free.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cornelridge_model::time;

/// Divisor of the remaining time of a request that gives the longest wait of its caller.
const MAX_WAIT_DIVISOR: u64 = 3;
/// Shortest time after which a refused request may return; a caller that returns earlier mostly
/// finds the same queue.
pub const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(40);
/// Steps of the golden ratio spread any number of successive values evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Share of their time over which requests that get no share of the room are spread.
const SPREAD: f64 = 0.25;
/// Highest number of refused requests that are remembered, about 300 kB; at 1,000 refusals a second
/// they cover 4 s, longer than callers wait.
const MAX_ENTRIES: usize = 4_096;
/// Time for which a request is remembered after it may return, so that an identical one that was
/// told a later time isn't taken for it.
const RETENTION: time::Duration = time::Duration::from_secs(2);

/// Returns the longest time that a caller waits before it returns.
pub fn longest_wait(time_left: time::Duration) -> time::Duration {
    time::Duration(time_left.0 / MAX_WAIT_DIVISOR)
}

/// Assigns the room that becomes free to the requests that were refused.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    /// Time up to which room has been assigned.
    assigned_until: time::Instant,
    /// Time in which room for one more request becomes free.
    interval: time::Duration,
    /// Position in the sequence that spreads requests that get no room.
    spread: f64,
}

impl RoomForecast {
    /// Sets the time in which room for one more request becomes free.
    pub fn set_interval(&mut self, interval: time::Duration) {
        self.interval = interval;
    }

    /// Returns the time until which all room has been assigned.
    pub fn assigned_until(&self) -> time::Instant {
        self.assigned_until
    }

    /// Returns the time after which a refused request may return. `wait` is the time until there is
    /// room, and `time_left` that until the deadline of the request.
    ///
    /// Each request gets its own share of the room. One whose share would come too late for its
    /// caller gets none and returns near the end of its useful time, when room may have been given
    /// up by others.
    pub fn refuse(
        &mut self,
        now: time::Instant,
        wait: time::Duration,
        time_left: time::Duration,
    ) -> time::Duration {
        let longest = longest_wait(time_left);
        let earliest = now + time::Duration(wait.0.max(MIN_RETRY_AFTER.0));
        let start = earliest.max(self.assigned_until);
        if start.since(now) <= longest {
            self.assigned_until = start + self.interval;
            return start.since(now);
        }
        self.spread = (self.spread + GOLDEN_RATIO).fract();
        time::Duration((longest.0 as f64 * (1.0 - SPREAD * self.spread)) as u64)
    }
}

/// Room assigned to requests of each priority. Room for a request follows that of all requests that
/// are at least as urgent.
#[derive(Clone, Debug, Default)]
pub struct PriorityForecast {
    forecasts: BTreeMap<u8, RoomForecast>,
}

impl PriorityForecast {
    /// Returns the time after which a refused request of this priority may return (see
    /// [`RoomForecast::refuse`]). `interval` is the time in which room for one more becomes free.
    pub fn refuse(
        &mut self,
        now: time::Instant,
        priority: u8,
        interval: time::Duration,
        wait: time::Duration,
        time_left: time::Duration,
    ) -> time::Duration {
        let urgent = self.forecasts.range(..priority);
        let assigned = urgent.map(|(_, forecast)| forecast.assigned_until().since(now)).max();
        let wait = wait.max(assigned.unwrap_or_default());
        let forecast = self.forecasts.entry(priority).or_default();
        forecast.set_interval(interval);
        forecast.refuse(now, wait, time_left)
    }
}

/// Times at which refused requests were told to return.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    /// Times by the identity of the request, the earliest first.
    times: HashMap<u64, VecDeque<time::Instant>>,
    /// Position in the sequence that spreads early returns.
    spread: f64,
    /// All remembered requests in the order of their refusal.
    order: VecDeque<(time::Instant, u64)>,
}

impl ReturnTimes {
    /// Records that a request was told to return at `at`.
    pub fn record(&mut self, now: time::Instant, identity: u64, at: time::Instant) {
        while let Some((oldest, identity)) = self.order.front().copied() {
            if oldest + RETENTION > now && self.order.len() < MAX_ENTRIES {
                break;
            }
            self.order.pop_front();
            self.forget(identity, oldest);
        }
        let times = self.times.entry(identity).or_default();
        let index = times.partition_point(|known| *known <= at);
        times.insert(index, at);
        self.order.push_back((at, identity));
    }

    fn forget(&mut self, identity: u64, at: time::Instant) {
        let Some(times) = self.times.get_mut(&identity) else { return };
        if let Some(index) = times.iter().position(|known| *known == at) {
            times.remove(index);
        }
        if times.is_empty() {
            self.times.remove(&identity);
        }
    }

    /// Returns the time after which a request that came early by `left` may return: no earlier than
    /// it was told, and not together with identical ones, which may be of other callers. `room` is
    /// the time until there is room, which counts if the request waited past the time it was told.
    pub fn repeat(&mut self, left: time::Duration, room: time::Duration) -> time::Duration {
        self.spread = (self.spread + GOLDEN_RATIO).fract();
        let left = if left > time::Duration::ZERO { left } else { room };
        let spread = time::Duration((left.0 as f64 * SPREAD * self.spread) as u64);
        time::Duration((left + spread).0.max(MIN_RETRY_AFTER.0))
    }

    /// Returns the time that is left until an arriving request was told to return, or `None` if it
    /// wasn't refused or has waited. Of identical requests, each one that has waited counts once.
    pub fn early_by(&mut self, now: time::Instant, identity: u64) -> Option<time::Duration> {
        let first = *self.times.get(&identity)?.front()?;
        if first > now {
            return Some(first.since(now));
        }
        self.forget(identity, first);
        None
    }
}
