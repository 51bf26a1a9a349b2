//! Smoothed loads of the slices of a class.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, ident, key, time};

use super::input::{HotKey, MemberReport, SliceLoad};

/// Time constant of the smoothing: shorter than the changes of hot keys, which take minutes, and
/// long enough that random variation over a few seconds moves no slices.
pub(crate) const SMOOTHING_TIME_CONSTANT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of keys of a class whose rate is tracked.
const MAX_HOT_KEYS: usize = 512;
/// Time after which a key that is no longer reported is removed.
const MAX_HOT_KEY_AGE: time::Duration = time::Duration::from_secs(60);

/// A smoothed rate, in requests per second.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    rate: f64,
    at: time::Instant,
}

impl Smoothed {
    fn add_sample(&mut self, now: time::Instant, sample: f64, weight: &mut SmoothingWeight) {
        self.rate += weight.for_elapsed(now.since(self.at)) * (sample - self.rate);
        self.at = now;
    }
}

/// Weight of a sample by the time since the last one. Most slices have the same, so the weight is
/// cached.
#[derive(Clone, Copy, Debug, Default)]
struct SmoothingWeight {
    elapsed: time::Duration,
    weight: f64,
}

impl SmoothingWeight {
    fn for_elapsed(&mut self, elapsed: time::Duration) -> f64 {
        if self.elapsed != elapsed {
            self.elapsed = elapsed;
            self.weight =
                1.0 - (-elapsed.as_secs_f64() / SMOOTHING_TIME_CONSTANT.as_secs_f64()).exp();
        }
        self.weight
    }
}

/// Loads of the slices and hot keys of a class.
#[derive(Debug, Default)]
pub(crate) struct ClassLoads {
    /// Rates sorted by the start of the slice. With 10,000 slices, a hash map took 4 ms per call.
    slices: Vec<(key::KeyHash, Smoothed)>,
    hot: BTreeMap<key::KeyHash, Smoothed>,
    /// Epoch in which slices were last split or merged. Reports of older epochs describe slices
    /// that don't exist any more.
    pub(crate) layout_epoch: ident::EpochNumber,
}

impl ClassLoads {
    /// Returns the rate of a slice, or 0 if it hasn't been measured.
    pub(crate) fn rate(&self, start: key::KeyHash) -> f64 {
        match self.find(start) {
            Ok(at) => self.slices[at].1.rate,
            Err(_) => 0.0,
        }
    }

    fn find(&self, start: key::KeyHash) -> Result<usize, usize> {
        self.slices.binary_search_by_key(&start, |(start, _)| *start)
    }

    /// Returns the rates of all slices, in their order.
    pub(crate) fn rates(&self, slices: &assignment::ClassSlices) -> Vec<f64> {
        let mut known = self.slices.iter().peekable();
        let rate = |slice: &assignment::SliceRecord| {
            while known.next_if(|(start, _)| *start < slice.start).is_some() {}
            let found = known.next_if(|(start, _)| *start == slice.start);
            found.map_or(0.0, |(_, smoothed)| smoothed.rate)
        };
        slices.slices.iter().map(rate).collect()
    }

    /// Returns the keys that were reported as hot and their rates, the highest rate first.
    pub(crate) fn hot_keys(&self) -> Vec<(key::KeyHash, f64)> {
        let keys = self.hot.iter().map(|(hash, smoothed)| (*hash, smoothed.rate));
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys
    }

    /// Adds the samples of the newest reports. `is_reported` returns whether the owner of a slice
    /// is among the reporting members; a slice that such an owner doesn't mention is idle.
    pub(crate) fn observe(
        &mut self,
        now: time::Instant,
        slices: &assignment::ClassSlices,
        reports: &[&MemberReport],
        is_reported: impl Fn(&assignment::SliceRecord) -> bool,
    ) {
        let reports = reports.iter().filter(|report| report.epoch >= self.layout_epoch);
        let reports = reports.collect::<Vec<_>>();
        let loads = reports.iter().flat_map(|report| &report.loads);
        let is_valid = |load: &&SliceLoad| {
            load.class == slices.class && load.rate.is_finite() && load.rate >= 0.0
        };
        let samples = loads.filter(is_valid).map(|load| (load.start, load.rate));
        let mut samples = samples.collect::<Vec<_>>();
        samples.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        self.add_samples(now, slices, &samples, is_reported);
        let hot = reports.iter().flat_map(|report| &report.hot_keys);
        let is_valid =
            |hot: &&HotKey| hot.class == slices.class && hot.rate.is_finite() && hot.rate >= 0.0;
        let mut hot = hot.filter(is_valid).collect::<Vec<_>>();
        if hot.len() > MAX_HOT_KEYS {
            let order =
                |a: &&HotKey, b: &&HotKey| b.rate.total_cmp(&a.rate).then(a.hash.cmp(&b.hash));
            hot.select_nth_unstable_by(MAX_HOT_KEYS - 1, order);
            hot.truncate(MAX_HOT_KEYS);
        }
        hot.into_iter().for_each(|hot| self.observe_hot_key(now, hot));
        self.remove_stale_hot_keys(now);
    }

    /// Adds the samples of all slices, sorted by start. Of two samples of a slice, the first and
    /// higher one counts.
    fn add_samples(
        &mut self,
        now: time::Instant,
        slices: &assignment::ClassSlices,
        samples: &[(key::KeyHash, f64)],
        is_reported: impl Fn(&assignment::SliceRecord) -> bool,
    ) {
        let mut samples = samples.iter().copied().peekable();
        let mut known = self.slices.iter().copied().peekable();
        let mut updated = Vec::with_capacity(slices.slices.len());
        let mut weight = SmoothingWeight::default();
        for slice in &slices.slices {
            while samples.next_if(|(start, _)| *start < slice.start).is_some() {}
            while known.next_if(|(start, _)| *start < slice.start).is_some() {}
            let sample = samples.next_if(|(start, _)| *start == slice.start);
            let sample = sample.map(|(_, rate)| rate);
            let sample = sample.or_else(|| is_reported(slice).then_some(0.0));
            let previous = known.next_if(|(start, _)| *start == slice.start);
            let previous = previous.map(|(_, smoothed)| smoothed);
            let Some(mut smoothed) = previous.or(sample.map(|rate| Smoothed { rate, at: now }))
            else {
                continue;
            };
            if let Some(sample) = sample {
                smoothed.add_sample(now, sample, &mut weight);
            }
            updated.push((slice.start, smoothed));
        }
        self.slices = updated;
    }

    fn observe_hot_key(&mut self, now: time::Instant, hot: &HotKey) {
        let first = Smoothed { rate: 0.0, at: time::Instant(now.0.saturating_sub(1_000_000)) };
        let mut weight = SmoothingWeight::default();
        self.hot.entry(hot.hash).or_insert(first).add_sample(now, hot.rate, &mut weight);
    }

    /// Removes keys that haven't been reported for `MAX_HOT_KEY_AGE`, and the coolest ones beyond
    /// `MAX_HOT_KEYS`.
    fn remove_stale_hot_keys(&mut self, now: time::Instant) {
        self.hot.retain(|_, smoothed| now.since(smoothed.at) < MAX_HOT_KEY_AGE);
        if self.hot.len() <= MAX_HOT_KEYS {
            return;
        }
        let kept = self.hot_keys().into_iter().take(MAX_HOT_KEYS);
        let kept = kept.map(|(hash, _)| hash).collect::<std::collections::BTreeSet<_>>();
        self.hot.retain(|hash, _| kept.contains(hash));
    }

    /// Sets the expected rate of a slice that was split from another one or merged from others.
    pub(crate) fn set_rate(&mut self, now: time::Instant, start: key::KeyHash, rate: f64) {
        let smoothed = Smoothed { rate, at: now };
        match self.find(start) {
            Ok(at) => self.slices[at].1 = smoothed,
            Err(at) => self.slices.insert(at, (start, smoothed)),
        }
    }
}
