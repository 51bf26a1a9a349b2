//! Estimates of service times and of the slots that other ranks take.

use std::collections::{BTreeMap, HashMap};

use cornelridge_model::time;

use crate::admission;

/// Weight of the newest sample.
const GAIN: f64 = 1.0 / 16.0;
/// Samples above this multiple of the mean are cut, so that one pause doesn't move the estimate.
const OUTLIER_FACTOR: f64 = 4.0;
/// Samples that are taken as they are before outliers are cut.
const UNCUT_SAMPLES: u32 = 8;
/// Share of the target taken as service time of a class without samples.
const FIRST_GUESS: f64 = 0.25;
/// Time constant of the mean occupancy of a rank.
const OCCUPANCY_MEMORY_US: f64 = 1e6;

/// Mean and mean deviation of the service time of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    pub(crate) mean_us: f64,
    pub(crate) deviation_us: f64,
    samples: u32,
}

impl ServiceTime {
    fn guess(target: time::Duration) -> ServiceTime {
        ServiceTime { mean_us: target.0 as f64 * FIRST_GUESS, deviation_us: 0.0, samples: 0 }
    }

    fn learn(&mut self, sample_us: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2.0;
            return;
        }
        let cut = match self.samples > UNCUT_SAMPLES {
            true => sample_us.min(self.mean_us * OUTLIER_FACTOR),
            false => sample_us,
        };
        self.deviation_us += ((cut - self.mean_us).abs() - self.deviation_us) * GAIN;
        self.mean_us += (cut - self.mean_us) * GAIN;
    }
}

/// Service times by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTable {
    classes: HashMap<admission::ClassIndex, ServiceTime>,
    overall: ServiceTime,
}

impl ServiceTable {
    pub(crate) fn learn(&mut self, class: admission::ClassIndex, latency: time::Duration) {
        let sample_us = latency.0.max(1) as f64;
        self.classes.entry(class).or_default().learn(sample_us);
        self.overall.learn(sample_us);
    }

    /// The estimate of a class, or a guess from its target before its first response.
    pub(crate) fn of(&self, class: admission::ClassIndex, target: time::Duration) -> ServiceTime {
        self.classes.get(&class).copied().unwrap_or_else(|| ServiceTime::guess(target))
    }

    /// The mean over all classes, or `None` before the first response.
    pub(crate) fn overall_us(&self) -> Option<f64> {
        (self.overall.samples > 0).then_some(self.overall.mean_us)
    }
}

/// Slots that a rank has taken, now and on average.
#[derive(Clone, Copy, Debug)]
struct RankOccupancy {
    busy: u32,
    average: f64,
    updated: time::Instant,
}

impl RankOccupancy {
    fn average_at(&self, now: time::Instant) -> f64 {
        let age = now.since(self.updated).0 as f64;
        let busy = f64::from(self.busy);
        busy + (self.average - busy) * (-age / OCCUPANCY_MEMORY_US).exp()
    }
}

/// Slots taken by each rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct OccupancyTable {
    ranks: BTreeMap<u8, RankOccupancy>,
}

impl OccupancyTable {
    pub(crate) fn started(&mut self, now: time::Instant, rank: u8) {
        self.change(now, rank, |busy| busy.saturating_add(1));
    }

    pub(crate) fn ended(&mut self, now: time::Instant, rank: u8) {
        self.change(now, rank, |busy| busy.saturating_sub(1));
    }

    /// Mean number of slots taken by ranks below `rank`, which are served first.
    pub(crate) fn below(&self, now: time::Instant, rank: u8) -> f64 {
        self.ranks.range(..rank).map(|(_, occupancy)| occupancy.average_at(now)).sum()
    }

    fn change(&mut self, now: time::Instant, rank: u8, next: impl Fn(u32) -> u32) {
        let first = RankOccupancy { busy: 0, average: 0.0, updated: now };
        let occupancy = self.ranks.entry(rank).or_insert(first);
        occupancy.average = occupancy.average_at(now);
        occupancy.busy = next(occupancy.busy);
        occupancy.updated = now;
    }
}
