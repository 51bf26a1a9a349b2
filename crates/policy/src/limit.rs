//! Concurrency limit of one upstream.

use cornelridge_model::time;

/// Time over which a cold upstream is given all of its slots.
pub const WARM_UP: time::Duration = time::Duration::from_secs(5);
/// A cold upstream starts with one slot in this many.
const WARM_UP_DIVISOR: u32 = 4;
/// Latency alone never lowers the limit below one slot in this many.
const LATENCY_FLOOR_SHARE: u32 = 4;
/// Samples that are judged together; fewer made the comparison of two means too noisy.
const WINDOW_SAMPLES: u32 = 64;
/// A window of a slow upstream ends after this time with at least `SLOW_SAMPLES`.
const SLOW_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Samples needed in a window that ends by time.
const SLOW_SAMPLES: u32 = 16;
/// Share of responses after the target above which a window counts as missing it.
const MISS_SHARE: f64 = 0.05;
/// Shortest and longest time between a rejected change and the next test of one.
const MIN_HOLD: time::Duration = time::Duration::from_secs(1);
const MAX_HOLD: time::Duration = time::Duration::from_secs(60);
/// Shortest and longest time between raises after an upstream has shed load.
const MIN_RAISE: time::Duration = time::Duration::from_millis(100);
const MAX_RAISE: time::Duration = time::Duration::from_secs(2);
/// Reports older than this are ignored.
const REPORT_AGE: time::Duration = time::Duration::from_secs(1);

/// How one request that used the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSample {
    /// Time from dispatch to the end of the response.
    pub latency: time::Duration,
    /// Latency target of its class.
    pub target: time::Duration,
    /// When it was dispatched.
    pub dispatched: time::Instant,
    /// Running requests when it ended, itself included.
    pub in_flight: u32,
    /// Whether the upstream refused it for load.
    pub shed: bool,
    /// Whether its latency says nothing about load, as with bulk work and failures.
    pub ignore_latency: bool,
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Whether the upstream calls itself overloaded.
    pub overloaded: bool,
}

/// A change of the limit that is kept only if the latency confirms it.
#[derive(Clone, Copy, Debug)]
struct LimitTest {
    /// Limit before the change.
    from: u32,
    /// Mean of latency over target before the change.
    ratio: f64,
}

/// Responses that are judged together.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    started: time::Instant,
    samples: u32,
    misses: u32,
    ratio_sum: f64,
    peak: u32,
}

impl SampleWindow {
    fn new(started: time::Instant) -> SampleWindow {
        SampleWindow { started, samples: 0, misses: 0, ratio_sum: 0.0, peak: 0 }
    }

    fn add(&mut self, sample: &LimitSample) {
        self.samples += 1;
        self.misses += u32::from(sample.latency > sample.target);
        self.ratio_sum += sample.latency.0 as f64 / sample.target.0.max(1) as f64;
        self.peak = self.peak.max(sample.in_flight);
    }

    fn is_complete(&self, now: time::Instant) -> bool {
        let slow = now.since(self.started) >= SLOW_WINDOW && self.samples >= SLOW_SAMPLES;
        slow || self.samples >= WINDOW_SAMPLES
    }

    fn ratio(&self) -> f64 {
        self.ratio_sum / f64::from(self.samples.max(1))
    }

    fn misses_target(&self) -> bool {
        f64::from(self.misses) > f64::from(self.samples) * MISS_SHARE
    }
}

/// How many requests an upstream may run at once.
///
/// Two ceilings below the announced slots are kept apart: one follows sheds, the other latency.
/// A change for latency is a test: it is reverted unless latency follows concurrency, so an
/// upstream that is slow for another reason keeps its slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    cold_since: Option<time::Instant>,
    shed_ceiling: u32,
    shed_lowered: time::Instant,
    raise_hold: time::Duration,
    next_raise: time::Instant,
    latency_ceiling: u32,
    window: SampleWindow,
    test: Option<LimitTest>,
    test_hold: time::Duration,
    next_test: time::Instant,
    overloaded: Option<time::Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a cold upstream that was announced now with `slots`.
    pub fn new(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        let limit = ConcurrencyLimit::warm(now, slots);
        ConcurrencyLimit { cold_since: Some(now), ..limit }
    }

    /// Creates the limit of an upstream that has been running for long.
    pub fn warm(now: time::Instant, slots: u32) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            cold_since: None,
            shed_ceiling: slots,
            shed_lowered: now,
            raise_hold: MIN_RAISE,
            next_raise: now,
            latency_ceiling: slots,
            window: SampleWindow::new(now),
            test: None,
            test_hold: MIN_HOLD,
            next_test: now,
            overloaded: None,
        }
    }

    /// The limit in force, from 1 to the announced slots.
    pub fn current(&self, now: time::Instant) -> u32 {
        self.ramp(now).min(self.shed_ceiling).min(self.latency_ceiling).clamp(1, self.slots)
    }

    /// The announced slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes over the number of slots from a repeated announcement.
    pub fn set_slots(&mut self, now: time::Instant, slots: u32) {
        let slots = slots.max(1);
        if slots == self.slots {
            return;
        }
        let cold_since = self.cold_since;
        *self = ConcurrencyLimit { cold_since, ..ConcurrencyLimit::warm(now, slots) };
    }

    /// Learns from the end of a request.
    pub fn record(&mut self, now: time::Instant, sample: LimitSample) {
        if sample.shed {
            self.lower_after_shed(now, &sample);
            return;
        }
        self.raise_after_sheds(now);
        if sample.ignore_latency || self.is_ramping(now) || sample.dispatched < self.window.started
        {
            return;
        }
        self.window.add(&sample);
        if self.window.is_complete(now) {
            self.judge(now);
        }
    }

    /// Learns what the upstream reports; a report alone never lowers the limit.
    pub fn report(&mut self, now: time::Instant, load: ReportedLoad) {
        self.overloaded = load.overloaded.then_some(now);
    }

    fn ramp(&self, now: time::Instant) -> u32 {
        let Some(since) = self.cold_since else { return self.slots };
        let elapsed = now.since(since).0.min(WARM_UP.0);
        let base = self.slots.div_ceil(WARM_UP_DIVISOR);
        let rest = u64::from(self.slots - base) * elapsed / WARM_UP.0;
        base + u32::try_from(rest).unwrap_or(0)
    }

    fn is_ramping(&self, now: time::Instant) -> bool {
        self.cold_since.is_some_and(|since| now.since(since) < WARM_UP)
    }

    fn may_raise(&self, now: time::Instant) -> bool {
        self.overloaded.is_none_or(|reported| now.since(reported) >= REPORT_AGE)
    }

    /// Requests dispatched before the last decrease were refused under the old limit.
    fn lower_after_shed(&mut self, now: time::Instant, sample: &LimitSample) {
        if sample.dispatched < self.shed_lowered {
            return;
        }
        let limit = self.current(now);
        let lowered = sample.in_flight.saturating_sub(1).max(limit * 3 / 4);
        self.shed_ceiling = lowered.clamp(1, limit);
        self.shed_lowered = now;
        self.next_raise = now + self.raise_hold;
        self.raise_hold = time::Duration((self.raise_hold.0 * 2).min(MAX_RAISE.0));
    }

    fn raise_after_sheds(&mut self, now: time::Instant) {
        if self.shed_ceiling >= self.slots || now < self.next_raise || !self.may_raise(now) {
            return;
        }
        self.shed_ceiling += 1;
        self.raise_hold = time::Duration((self.raise_hold.0 / 2).max(MIN_RAISE.0));
        self.next_raise = now + self.raise_hold;
    }

    fn judge(&mut self, now: time::Instant) {
        let window = std::mem::replace(&mut self.window, SampleWindow::new(now));
        match self.test.take() {
            Some(test) => self.end_test(now, test, window.ratio()),
            None if now >= self.next_test => self.start_test(now, &window),
            None => {}
        }
    }

    fn start_test(&mut self, now: time::Instant, window: &SampleWindow) {
        let limit = self.latency_ceiling;
        // A limit that wasn't reached can't be the reason for the latency.
        if window.peak < self.current(now) {
            return;
        }
        let floor = self.slots.div_ceil(LATENCY_FLOOR_SHARE);
        let lower = (limit * 4 / 5).min(limit.saturating_sub(1)).max(floor);
        let (missing, may_raise) = (window.misses_target(), self.may_raise(now));
        self.latency_ceiling = match missing {
            true if lower < limit => lower,
            false if limit < self.slots && may_raise => limit + 1,
            _ => return,
        };
        self.test = Some(LimitTest { from: limit, ratio: window.ratio() });
    }

    /// Keeps a decrease if latency followed it at least by half, and an increase unless it did.
    fn end_test(&mut self, now: time::Instant, test: LimitTest, ratio: f64) {
        let change = f64::from(self.latency_ceiling) / f64::from(test.from.max(1));
        let halfway = test.ratio * (1.0 + change) / 2.0;
        let lowered = self.latency_ceiling < test.from;
        if (lowered && ratio <= halfway) || (!lowered && ratio < halfway) {
            self.test_hold = MIN_HOLD;
            self.next_test = now;
            return;
        }
        self.latency_ceiling = test.from;
        self.next_test = now + self.test_hold;
        self.test_hold = time::Duration((self.test_hold.0 * 2).min(MAX_HOLD.0));
    }
}
