//! Service times of the routes of an admission queue.

use std::sync::Arc;

use cornelridge_model::time;

use super::AdmissionQueue;

/// Weight of one measurement in the mean service time of a route.
const SERVICE_TIME_WEIGHT: f64 = 0.08;
/// Weight of one measurement in the mean service time of all routes, which is compared between
/// workers and has to be steady.
const CAPACITY_WEIGHT: f64 = 0.03;

/// Service time of a route, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTime {
    pub(super) mean_us: f64,
    /// Mean deviation from the mean.
    pub(super) deviation_us: f64,
}

impl AdmissionQueue {
    /// Records how long the worker took for a request.
    pub(super) fn record_service_time(&mut self, route: Arc<str>, time: time::Duration) {
        let sample = time.0 as f64;
        self.samples = self.samples.saturating_add(1);
        // The first requests have equal weights, so that the very first one doesn't dominate.
        let weight = (1.0 / f64::from(self.samples)).max(CAPACITY_WEIGHT);
        self.mean_service_us += (sample - self.mean_service_us) * weight;
        let new = ServiceTime { mean_us: sample, deviation_us: 0.0 };
        let known = self.service_times.entry(route).or_insert(new);
        let error = sample - known.mean_us;
        known.mean_us += error * SERVICE_TIME_WEIGHT;
        known.deviation_us += (error.abs() - known.deviation_us) * SERVICE_TIME_WEIGHT;
    }
}
