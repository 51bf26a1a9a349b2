//! Request rates of the keys that the worker beside the node holds.

use std::collections::HashMap;

use cornelridge_model::time;

/// Time in which the weight of a request halves: long enough to see a few requests for a key of
/// medium rate, short enough to follow a key that becomes hot.
const HALF_LIFE: time::Duration = time::Duration::from_millis(3_000);
/// Time between two steps of the decay.
const DECAY_STEP: time::Duration = time::Duration::from_millis(500);
/// Time for which a range must have been observed before its rate is meaningful.
const MIN_AGE: time::Duration = time::Duration::from_millis(700);
/// Number of keys.
const KEYS: usize = 65_536;

/// Request rate of one range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RangeRate {
    /// First key.
    pub first: u16,
    /// Requests per second.
    pub rate: f64,
    /// Last key of the lower part if the range is split into two parts of about the same rate;
    /// `None` for a range of a single key.
    pub split_after: Option<u16>,
}

/// Request counts by key, with exponential decay.
#[derive(Debug)]
pub struct KeyRates {
    counts: Vec<f32>,
    /// When the decay was last applied.
    decayed_at: time::Instant,
    /// When each range was first seen, by its first key.
    observed: HashMap<u16, time::Instant>,
}

impl KeyRates {
    /// Creates counts without requests.
    pub fn new(now: time::Instant) -> KeyRates {
        KeyRates { counts: vec![0.0; KEYS], decayed_at: now, observed: HashMap::new() }
    }

    /// Counts a request for `key`.
    pub fn record(&mut self, now: time::Instant, key: u16) {
        self.decay(now);
        self.counts[usize::from(key)] += 1.0;
    }

    fn decay(&mut self, now: time::Instant) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_STEP {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()) as f32;
        self.counts.iter_mut().filter(|count| **count > 0.0).for_each(|count| *count *= factor);
    }

    /// Returns the rates of `ranges`, the first and last keys of the ranges that the worker holds
    /// now. A range that the worker hasn't held for long is left out.
    pub fn range_rates(
        &mut self,
        now: time::Instant,
        ranges: impl Iterator<Item = (u16, u16)>,
    ) -> Vec<RangeRate> {
        self.decay(now);
        let ranges: Vec<(u16, u16)> = ranges.collect();
        self.observed.retain(|first, _| ranges.iter().any(|(known, _)| known == first));
        ranges.iter().filter_map(|(first, last)| self.range_rate(now, *first, *last)).collect()
    }

    fn range_rate(&mut self, now: time::Instant, first: u16, last: u16) -> Option<RangeRate> {
        let age = now.since(*self.observed.entry(first).or_insert(now));
        if age < MIN_AGE {
            return None;
        }
        let counts = &self.counts[usize::from(first)..=usize::from(last)];
        let total: f64 = counts.iter().map(|count| f64::from(*count)).sum();
        let half_life = HALF_LIFE.as_secs_f64();
        // The count that a rate of one request per second has reached after this time of decay.
        let seen = 1.0 - 0.5_f64.powf(age.as_secs_f64() / half_life);
        let per_rate = seen * half_life / std::f64::consts::LN_2;
        Some(RangeRate {
            first,
            rate: total / per_rate,
            split_after: split_after(counts, first, total),
        })
    }
}

/// Returns the last key of the lower half by rate; both halves have at least one key. Of several
/// equally good keys the last one is taken, so that a single hot key gets a range of its own after
/// few splits.
fn split_after(counts: &[f32], first: u16, total: f64) -> Option<u16> {
    if counts.len() < 2 {
        return None;
    }
    let mut sum = 0.0;
    let mut best = (f64::INFINITY, 0);
    for (index, count) in counts[..counts.len() - 1].iter().enumerate() {
        sum += f64::from(*count);
        let distance = (sum - total / 2.0).abs();
        if distance < best.0 || (distance <= best.0 && sum < total / 2.0) {
            best = (distance, index);
        }
    }
    u16::try_from(usize::from(first) + best.1).ok()
}
