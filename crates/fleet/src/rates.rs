//! Which keys of the worker beside the node are asked for, and how often.

use std::collections::HashMap;

use cornelridge_model::time;

/// Time in which the weight of a request halves: long enough for a few requests of a warm key,
/// short enough to follow a key that becomes hot.
const HALF_LIFE: time::Duration = time::Duration::from_millis(3_000);
/// Time between two steps of the decay.
const DECAY_STEP: time::Duration = time::Duration::from_millis(500);
/// Time that a range must have been observed before its rate means anything.
const LEAST_AGE: time::Duration = time::Duration::from_millis(700);
/// Number of keys.
const KEYS: usize = 65_536;

/// Requests for one range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RangeRate {
    /// First key.
    pub first: u16,
    /// Requests a second.
    pub rate: f64,
    /// Last key of the lower part if the range is divided into halves of about the same heat.
    pub split_after: Option<u16>,
}

/// Counts requests by key, with decay.
#[derive(Debug)]
pub struct KeyRates {
    counts: Vec<f32>,
    decayed: time::Instant,
    observed: HashMap<u16, time::Instant>,
}

impl KeyRates {
    /// No requests so far.
    pub fn new(now: time::Instant) -> KeyRates {
        KeyRates { counts: vec![0.0; KEYS], decayed: now, observed: HashMap::new() }
    }

    /// Counts a request.
    pub fn record(&mut self, now: time::Instant, key: u16) {
        self.decay(now);
        self.counts[usize::from(key)] += 1.0;
    }

    fn decay(&mut self, now: time::Instant) {
        let elapsed = now.since(self.decayed);
        if elapsed < DECAY_STEP {
            return;
        }
        self.decayed = now;
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()) as f32;
        self.counts.iter_mut().filter(|count| **count > 0.0).for_each(|count| *count *= factor);
    }

    /// Heat of the ranges, first and last keys, that the worker holds now. A range that it has not
    /// held for long is left out.
    pub fn range_rates(
        &mut self,
        now: time::Instant,
        ranges: impl Iterator<Item = (u16, u16)>,
    ) -> Vec<RangeRate> {
        self.decay(now);
        let ranges: Vec<(u16, u16)> = ranges.collect();
        self.observed.retain(|first, _| ranges.iter().any(|(known, _)| known == first));
        ranges.iter().filter_map(|(first, last)| self.range(now, *first, *last)).collect()
    }

    fn range(&mut self, now: time::Instant, first: u16, last: u16) -> Option<RangeRate> {
        let age = now.since(*self.observed.entry(first).or_insert(now));
        if age < LEAST_AGE {
            return None;
        }
        let counts = &self.counts[usize::from(first)..=usize::from(last)];
        let total: f64 = counts.iter().map(|count| f64::from(*count)).sum();
        let half_life = HALF_LIFE.as_secs_f64();
        // What a rate of one a second would have left after this time of decay.
        let seen = 1.0 - 0.5_f64.powf(age.as_secs_f64() / half_life);
        let per_rate = seen * half_life / std::f64::consts::LN_2;
        Some(RangeRate {
            first,
            rate: total / per_rate,
            split_after: split_after(counts, first, total),
        })
    }
}

/// The last key of the lower half by heat; both halves have at least one key. Of several that divide
/// it alike the last one is taken, so that a single hot key is soon alone.
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
