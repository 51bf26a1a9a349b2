//! Estimates of the service time of classes and of the slot demand of ranks.

use std::collections::{BTreeMap, HashMap};

use cornelridge_model::time;

use crate::admission;

/// Weight of the newest sample in the moving averages.
const GAIN: f64 = 1.0 / 16.0;
/// Largest multiple of the mean that a sample counts as, so that one pause of the upstream doesn't
/// distort the estimate.
const OUTLIER_FACTOR: f64 = 4.0;
/// Number of initial samples that aren't clamped.
const UNCLAMPED_SAMPLES: u32 = 8;
/// Estimated service time of a class without samples, as a share of its target.
const INITIAL_TARGET_SHARE: f64 = 0.25;
/// Time constant of the demand average of a rank, in microseconds.
const DEMAND_TIME_CONSTANT_US: f64 = 2e6;

/// Moving averages of the service time of one class and of its deviation from the mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    pub(crate) mean_us: f64,
    pub(crate) deviation_us: f64,
    samples: u32,
}

impl ServiceTime {
    fn initial(target: time::Duration) -> ServiceTime {
        ServiceTime {
            mean_us: target.0 as f64 * INITIAL_TARGET_SHARE,
            deviation_us: 0.0,
            samples: 0,
        }
    }

    fn record(&mut self, sample_us: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2.0;
            return;
        }
        let clamped = match self.samples > UNCLAMPED_SAMPLES {
            true => sample_us.min(self.mean_us * OUTLIER_FACTOR),
            false => sample_us,
        };
        self.deviation_us += ((clamped - self.mean_us).abs() - self.deviation_us) * GAIN;
        self.mean_us += (clamped - self.mean_us) * GAIN;
    }
}

/// Service times by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    classes: HashMap<admission::ClassIndex, ServiceTime>,
    overall: ServiceTime,
}

impl ServiceTimes {
    pub(crate) fn record(&mut self, class: admission::ClassIndex, latency: time::Duration) {
        let sample_us = latency.0.max(1) as f64;
        self.classes.entry(class).or_default().record(sample_us);
        self.overall.record(sample_us);
    }

    /// Returns the estimate of a class, which is derived from `target` before the first response.
    pub(crate) fn estimate(
        &self,
        class: admission::ClassIndex,
        target: time::Duration,
    ) -> ServiceTime {
        self.classes.get(&class).copied().unwrap_or_else(|| ServiceTime::initial(target))
    }

    /// Returns the mean over all classes in microseconds, or `None` before the first response.
    pub(crate) fn overall_mean_us(&self) -> Option<f64> {
        (self.overall.samples > 0).then_some(self.overall.mean_us)
    }
}

/// Exponentially weighted average of the slots that the offered requests of a rank need.
#[derive(Clone, Copy, Debug)]
struct RankDemand {
    slots: f64,
    updated: time::Instant,
}

impl RankDemand {
    fn slots_at(&self, now: time::Instant) -> f64 {
        self.slots * (-(now.since(self.updated).0 as f64) / DEMAND_TIME_CONSTANT_US).exp()
    }
}

/// Slots that each rank needs for its offered requests, including those that are refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    ranks: BTreeMap<u8, RankDemand>,
}

impl DemandTable {
    /// Records an offered request and the mean service time of its class.
    pub(crate) fn record(&mut self, now: time::Instant, rank: u8, service_us: f64) {
        let demand = self.ranks.entry(rank).or_insert(RankDemand { slots: 0.0, updated: now });
        demand.slots = demand.slots_at(now) + service_us / DEMAND_TIME_CONSTANT_US;
        demand.updated = now;
    }

    /// Returns the slots that the ranks below `rank` need. These ranks are served first.
    pub(crate) fn slots_below(&self, now: time::Instant, rank: u8) -> f64 {
        self.ranks.range(..rank).map(|(_, demand)| demand.slots_at(now)).sum()
    }
}
