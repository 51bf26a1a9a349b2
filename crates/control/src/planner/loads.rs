//! Measured loads of the slices of one class, smoothed.

use std::collections::{BTreeMap, HashMap};

use cornelridge_model::{assignment, ident, key, time};

use super::input::{HotKey, MemberReport};

/// Time constant of the smoothing: shorter than the changes of hot keys, which take minutes, and
/// long enough that a few seconds of chance move nothing.
pub(crate) const SMOOTHING: time::Duration = time::Duration::from_secs(20);
/// Most keys of one class whose rate is followed.
const MAX_HOT_KEYS: usize = 512;
/// A key that no report has named for this long is forgotten.
const HOT_KEY_SPAN: time::Duration = time::Duration::from_secs(60);

/// Smoothed rate.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    rate: f64,
    at: time::Instant,
}

impl Smoothed {
    fn add(&mut self, now: time::Instant, sample: f64) {
        let passed = now.since(self.at).as_secs_f64();
        let weight = 1.0 - (-passed / SMOOTHING.as_secs_f64()).exp();
        self.rate += weight * (sample - self.rate);
        self.at = now;
    }
}

/// Loads of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassLoads {
    slices: HashMap<key::KeyHash, Smoothed>,
    hot: BTreeMap<key::KeyHash, Smoothed>,
    /// Reports by older documents describe slices that don't exist any more.
    pub(crate) shaped_in: ident::EpochNumber,
}

impl ClassLoads {
    /// The rate of a slice, 0 while nothing has been measured.
    pub(crate) fn rate(&self, start: key::KeyHash) -> f64 {
        self.slices.get(&start).map_or(0.0, |smoothed| smoothed.rate)
    }

    /// Rates of the keys that were reported as hot, the highest first.
    pub(crate) fn hot_keys(&self) -> Vec<(key::KeyHash, f64)> {
        let keys = self.hot.iter().map(|(hash, smoothed)| (*hash, smoothed.rate));
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys
    }

    /// Takes the newest reports. `owners` says for each slice whether its owner is among them, so
    /// that a slice which the owner doesn't mention counts as idle.
    pub(crate) fn observe(
        &mut self,
        now: time::Instant,
        slices: &assignment::ClassSlices,
        reports: &[&MemberReport],
        is_reported: impl Fn(&assignment::SliceRecord) -> bool,
    ) {
        let reports = reports.iter().filter(|report| report.epoch >= self.shaped_in);
        let reports = reports.collect::<Vec<_>>();
        let mut samples = HashMap::<key::KeyHash, f64>::new();
        for load in reports.iter().flat_map(|report| &report.loads) {
            if load.class == slices.class && load.rate.is_finite() && load.rate >= 0.0 {
                let sample = samples.entry(load.start).or_default();
                *sample = sample.max(load.rate);
            }
        }
        for slice in &slices.slices {
            let sample = samples.get(&slice.start).copied();
            let Some(sample) = sample.or(is_reported(slice).then_some(0.0)) else { continue };
            let first = Smoothed { rate: sample, at: now };
            self.slices.entry(slice.start).or_insert(first).add(now, sample);
        }
        let hot = reports.iter().flat_map(|report| &report.hot_keys);
        hot.filter(|hot| hot.class == slices.class).for_each(|hot| self.observe_hot(now, hot));
        self.forget_hot(now);
    }

    fn observe_hot(&mut self, now: time::Instant, hot: &HotKey) {
        if !hot.rate.is_finite() || hot.rate < 0.0 {
            return;
        }
        let first = Smoothed { rate: 0.0, at: time::Instant(now.0.saturating_sub(1_000_000)) };
        self.hot.entry(hot.hash).or_insert(first).add(now, hot.rate);
    }

    /// Keys that are no longer reported lose their rate with time.
    fn forget_hot(&mut self, now: time::Instant) {
        self.hot.retain(|_, smoothed| now.since(smoothed.at) < HOT_KEY_SPAN);
        if self.hot.len() <= MAX_HOT_KEYS {
            return;
        }
        let kept = self.hot_keys().into_iter().take(MAX_HOT_KEYS);
        let kept = kept.map(|(hash, _)| hash).collect::<std::collections::BTreeSet<_>>();
        self.hot.retain(|hash, _| kept.contains(hash));
    }

    /// Sets the expected rate of a slice that was cut from, or merged of, others.
    pub(crate) fn expect(&mut self, now: time::Instant, start: key::KeyHash, rate: f64) {
        self.slices.insert(start, Smoothed { rate, at: now });
    }

    /// Forgets slices that don't exist any more.
    pub(crate) fn prune(&mut self, slices: &assignment::ClassSlices) {
        if self.slices.len() <= slices.slices.len() {
            return;
        }
        let exists = |start: &key::KeyHash| {
            slices.slices.binary_search_by_key(start, |slice| slice.start).is_ok()
        };
        self.slices.retain(|start, _| exists(start));
    }
}
