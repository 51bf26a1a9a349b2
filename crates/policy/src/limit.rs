//! Adaptive concurrency limit of one upstream.

use cornelridge_model::time;

/// Time over which the limit of a cold upstream rises to all of its slots.
pub const WARM_UP: time::Duration = time::Duration::from_secs(5);
/// A cold upstream starts with its slots divided by this number.
const WARM_UP_DIVISOR: u32 = 4;
/// Latency alone never lowers the limit below the slots divided by this number.
const LATENCY_FLOOR_DIVISOR: u32 = 4;
/// Number of samples that complete a window. With fewer, the comparison of two means is too noisy.
const WINDOW_SAMPLES: u32 = 64;
/// Time after which the window of a slow upstream is complete with `MIN_WINDOW_SAMPLES`.
const MAX_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Number of samples that a window needs to be completed by time.
const MIN_WINDOW_SAMPLES: u32 = 16;
/// Largest share of responses later than the target in a window that meets the target.
const MAX_MISS_SHARE: f64 = 0.05;
/// Shortest and longest delay between a reverted change and the next test.
const MIN_TEST_BACKOFF: time::Duration = time::Duration::from_secs(1);
const MAX_TEST_BACKOFF: time::Duration = time::Duration::from_secs(60);
/// Shortest and longest interval between increases after the upstream has shed load.
const MIN_RAISE_INTERVAL: time::Duration = time::Duration::from_millis(100);
const MAX_RAISE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Age from which a load report is ignored.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(1);

/// Outcome of one request at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSample {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Latency target of the request's class.
    pub target: time::Duration,
    /// Time of dispatch.
    pub dispatched: time::Instant,
    /// Number of running requests when this one ended, including itself.
    pub in_flight: u32,
    /// Whether the upstream refused the request because of load.
    pub shed: bool,
    /// Whether the latency is unrelated to load, as for bulk requests and failures.
    pub ignore_latency: bool,
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Whether the upstream reports that it is overloaded.
    pub overloaded: bool,
}

/// A change of the latency ceiling that is reverted unless the latency confirms it.
#[derive(Clone, Copy, Debug)]
struct LimitTest {
    /// Ceiling before the change.
    previous: u32,
    /// Mean ratio of latency to target before the change.
    latency_ratio: f64,
}

/// Statistics of the responses that are evaluated together.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    started: time::Instant,
    samples: u32,
    misses: u32,
    ratio_sum: f64,
    max_in_flight: u32,
}

impl SampleWindow {
    fn new(started: time::Instant) -> SampleWindow {
        SampleWindow { started, samples: 0, misses: 0, ratio_sum: 0.0, max_in_flight: 0 }
    }

    fn add(&mut self, sample: &LimitSample) {
        self.samples += 1;
        self.misses += u32::from(sample.latency > sample.target);
        self.ratio_sum += sample.latency.0 as f64 / sample.target.0.max(1) as f64;
        self.max_in_flight = self.max_in_flight.max(sample.in_flight);
    }

    fn is_complete(&self, now: time::Instant) -> bool {
        let timed_out = now.since(self.started) >= MAX_WINDOW && self.samples >= MIN_WINDOW_SAMPLES;
        timed_out || self.samples >= WINDOW_SAMPLES
    }

    fn latency_ratio(&self) -> f64 {
        self.ratio_sum / f64::from(self.samples.max(1))
    }

    fn misses_target(&self) -> bool {
        f64::from(self.misses) > f64::from(self.samples) * MAX_MISS_SHARE
    }
}

/// Maximum number of requests that an upstream runs at once.
///
/// Two separate ceilings can hold the limit below the announced slots: one follows load shedding,
/// the other latency. A change of the latency ceiling is a test: it is reverted unless the latency
/// follows the concurrency, so an upstream that is slow for another reason keeps its slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    cold_since: Option<time::Instant>,
    shed_ceiling: u32,
    shed_lowered: time::Instant,
    raise_interval: time::Duration,
    next_raise: time::Instant,
    latency_ceiling: u32,
    window: SampleWindow,
    test: Option<LimitTest>,
    test_backoff: time::Duration,
    next_test: time::Instant,
    overloaded: Option<time::Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a cold upstream that was announced at `now` with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        let limit = ConcurrencyLimit::warm(now, slots);
        ConcurrencyLimit { cold_since: Some(now), ..limit }
    }

    /// Creates the limit of an upstream that is warmed up.
    pub fn warm(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            cold_since: None,
            shed_ceiling: slots,
            shed_lowered: now,
            raise_interval: MIN_RAISE_INTERVAL,
            next_raise: now,
            latency_ceiling: slots,
            window: SampleWindow::new(now),
            test: None,
            test_backoff: MIN_TEST_BACKOFF,
            next_test: now,
            overloaded: None,
        }
    }

    /// Returns the limit at `now`, from 1 to the announced slots.
    pub fn current(&self, now: time::Instant) -> u32 {
        self.warm_up_limit(now)
            .min(self.shed_ceiling)
            .min(self.latency_ceiling)
            .clamp(1, self.slots)
    }

    /// Returns the number of announced slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the number of slots from a repeated announcement. A changed number resets the limit.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        let cold_since = self.cold_since;
        *self = ConcurrencyLimit { cold_since, ..ConcurrencyLimit::warm(now, slots) };
    }

    /// Records the end of a request and adjusts the limit.
    pub fn record(&mut self, now: time::Instant, sample: LimitSample) {
        if sample.shed {
            self.lower_after_shed(now, &sample);
            return;
        }
        self.raise_after_sheds(now);
        if sample.ignore_latency
            || self.is_warming_up(now)
            || sample.dispatched < self.window.started
        {
            return;
        }
        self.window.add(&sample);
        if self.window.is_complete(now) {
            self.evaluate_window(now);
        }
    }

    /// Records the load that the upstream reports. A report can delay increases, but never lowers
    /// the limit.
    pub fn record_load(&mut self, now: time::Instant, load: ReportedLoad) {
        self.overloaded = load.overloaded.then_some(now);
    }

    fn warm_up_limit(&self, now: time::Instant) -> u32 {
        let Some(since) = self.cold_since else { return self.slots };
        let elapsed = now.since(since).0.min(WARM_UP.0);
        let base = self.slots.div_ceil(WARM_UP_DIVISOR);
        let added = u64::from(self.slots - base) * elapsed / WARM_UP.0;
        base + u32::try_from(added).unwrap_or(0)
    }

    fn is_warming_up(&self, now: time::Instant) -> bool {
        self.cold_since.is_some_and(|since| now.since(since) < WARM_UP)
    }

    fn may_raise(&self, now: time::Instant) -> bool {
        self.overloaded.is_none_or(|reported| now.since(reported) >= MAX_REPORT_AGE)
    }

    /// Lowers the shed ceiling after a refusal because of load. A request that was dispatched
    /// before the last decrease is ignored, as it was refused under the old limit.
    fn lower_after_shed(&mut self, now: time::Instant, sample: &LimitSample) {
        if sample.dispatched < self.shed_lowered {
            return;
        }
        let limit = self.current(now);
        let lowered = sample.in_flight.saturating_sub(1).max(limit * 3 / 4);
        self.shed_ceiling = lowered.clamp(1, limit);
        self.shed_lowered = now;
        self.next_raise = now + self.raise_interval;
        self.raise_interval = time::Duration((self.raise_interval.0 * 2).min(MAX_RAISE_INTERVAL.0));
    }

    fn raise_after_sheds(&mut self, now: time::Instant) {
        if self.shed_ceiling >= self.slots || now < self.next_raise || !self.may_raise(now) {
            return;
        }
        self.shed_ceiling += 1;
        self.raise_interval = time::Duration((self.raise_interval.0 / 2).max(MIN_RAISE_INTERVAL.0));
        self.next_raise = now + self.raise_interval;
    }

    fn evaluate_window(&mut self, now: time::Instant) {
        let window = std::mem::replace(&mut self.window, SampleWindow::new(now));
        match self.test.take() {
            Some(test) => self.end_test(now, test, window.latency_ratio()),
            None if now >= self.next_test => self.start_test(now, &window),
            None => {}
        }
    }

    fn start_test(&mut self, now: time::Instant, window: &SampleWindow) {
        let limit = self.latency_ceiling;
        // A limit that wasn't reached can't have caused the latency.
        if window.max_in_flight < self.current(now) {
            return;
        }
        let floor = self.slots.div_ceil(LATENCY_FLOOR_DIVISOR);
        let lower = (limit * 4 / 5).min(limit.saturating_sub(1)).max(floor);
        let (misses_target, may_raise) = (window.misses_target(), self.may_raise(now));
        self.latency_ceiling = match misses_target {
            true if lower < limit => lower,
            false if limit < self.slots && may_raise => limit + 1,
            _ => return,
        };
        self.test = Some(LimitTest { previous: limit, latency_ratio: window.latency_ratio() });
    }

    /// Keeps a decrease if the latency ratio fell by at least half of the relative change, and an
    /// increase if the ratio rose by less than half of it.
    fn end_test(&mut self, now: time::Instant, test: LimitTest, latency_ratio: f64) {
        let change = f64::from(self.latency_ceiling) / f64::from(test.previous.max(1));
        let halfway = test.latency_ratio * (1.0 + change) / 2.0;
        let lowered = self.latency_ceiling < test.previous;
        if (lowered && latency_ratio <= halfway) || (!lowered && latency_ratio < halfway) {
            self.test_backoff = MIN_TEST_BACKOFF;
            self.next_test = now;
            return;
        }
        self.latency_ceiling = test.previous;
        self.next_test = now + self.test_backoff;
        self.test_backoff = time::Duration((self.test_backoff.0 * 2).min(MAX_TEST_BACKOFF.0));
    }
}
