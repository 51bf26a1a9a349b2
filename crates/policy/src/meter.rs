//! Latency percentiles over a sliding window.

use cornelridge_model::time;
use hdrhistogram::Histogram;

/// Highest latency that a histogram resolves, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of a histogram in significant digits; two digits need about 10 KB per histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Time for which a computed percentile is cached, because computing one scans the histogram.
const CACHE_TTL: time::Duration = time::Duration::from_millis(50);

/// Percentiles of the latencies that were recorded within the last one to two half-windows.
#[derive(Clone, Debug)]
pub struct LatencyMeter {
    half_window: time::Duration,
    rotated: time::Instant,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    cached: Vec<CachedPercentile>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPercentile {
    percentile: f64,
    computed: time::Instant,
    value: time::Duration,
}

impl LatencyMeter {
    /// Creates a meter whose samples expire after `window`.
    pub fn new(window: time::Duration) -> LatencyMeter {
        LatencyMeter {
            half_window: time::Duration((window.0 / 2).max(1)),
            rotated: time::Instant(0),
            current: histogram(),
            previous: histogram(),
            cached: Vec::new(),
        }
    }

    /// Records a latency. Values above one minute count as one minute.
    pub fn record(&mut self, now: time::Instant, latency: time::Duration) {
        self.rotate(now);
        if let Some(current) = &mut self.current {
            current.saturating_record(latency.0.clamp(1, MAX_LATENCY_US));
        }
    }

    /// Returns the number of samples in the window.
    pub fn count(&mut self, now: time::Instant) -> u64 {
        self.rotate(now);
        let len = |histogram: &Option<Histogram<u32>>| histogram.as_ref().map_or(0, |h| h.len());
        len(&self.current) + len(&self.previous)
    }

    /// Returns a percentile (0 to 100) of the latencies in the window, or `None` without samples.
    pub fn percentile(&mut self, now: time::Instant, percentile: f64) -> Option<time::Duration> {
        self.rotate(now);
        let index = self.cached.iter().position(|cached| cached.percentile == percentile);
        if let Some(cached) = index.map(|index| self.cached[index])
            && now.since(cached.computed) < CACHE_TTL
        {
            return Some(cached.value);
        }
        let value = self.compute(percentile)?;
        let entry = CachedPercentile { percentile, computed: now, value };
        match index {
            Some(index) => self.cached[index] = entry,
            None => self.cached.push(entry),
        }
        Some(value)
    }

    fn compute(&self, percentile: f64) -> Option<time::Duration> {
        let (current, previous) = (self.current.as_ref()?, self.previous.as_ref()?);
        if current.is_empty() && previous.is_empty() {
            return None;
        }
        let mut merged = current.clone();
        merged.add(previous).ok()?;
        Some(time::Duration(merged.value_at_quantile(percentile / 100.0)))
    }

    /// Starts a new half-window if the current one has ended.
    fn rotate(&mut self, now: time::Instant) {
        let elapsed = now.since(self.rotated);
        if elapsed < self.half_window {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        clear(&mut self.current);
        if elapsed.0 >= self.half_window.0.saturating_mul(2) {
            clear(&mut self.previous);
        }
        self.rotated = now;
        self.cached.clear();
    }
}

fn histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

fn clear(histogram: &mut Option<Histogram<u32>>) {
    if let Some(histogram) = histogram {
        histogram.reset();
    }
}
