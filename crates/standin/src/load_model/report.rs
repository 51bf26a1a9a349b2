//! Results of a run.

use std::fmt;

use cornelridge_model::time;
use hdrhistogram::Histogram;

/// Length of the intervals; a class with requests but no good response in an interval counts as
/// unavailable for it.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results of one class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Name of the class.
    pub name: &'static str,
    /// Latency target of 99% of the responses.
    pub target: time::Duration,
    /// Requests offered.
    pub offered: u64,
    /// Requests answered before their deadline.
    pub good: u64,
    /// Requests answered within the target.
    pub in_target: u64,
    /// 99th percentile of the latency of good responses.
    pub p99: time::Duration,
    /// Total length of the intervals with requests of which none was answered before its deadline.
    pub unavailable: time::Duration,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct ModelReport {
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Good responses per second.
    pub goodput: f64,
    /// Ratio of the busy time of the busiest worker to the mean, in the group where it is highest.
    pub imbalance: f64,
    /// Ratio of attempts beyond the first to requests offered.
    pub extra_attempts: f64,
    /// Number of crashes caused by the crashing request.
    pub crashes: u32,
}

impl fmt::Display for ModelReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "goodput {:7.1}/s imbalance {:.2} extra {:.3} crashes {}",
            self.goodput, self.imbalance, self.extra_attempts, self.crashes
        )?;
        for class in &self.classes {
            let offered = class.offered.max(1) as f64;
            write!(
                f,
                "\n    {:12} good {:5.1}% in target {:5.1}% p99 {:6} ms (target {}) unavailable {:.1} s",
                class.name,
                class.good as f64 / offered * 100.0,
                class.in_target as f64 / offered * 100.0,
                class.p99.as_millis(),
                class.target.as_millis(),
                class.unavailable.as_secs_f64(),
            )?;
        }
        Ok(())
    }
}

/// Counts the requests of one class.
#[derive(Debug)]
pub(super) struct ClassTally {
    name: &'static str,
    target: time::Duration,
    offered: u64,
    good: u64,
    in_target: u64,
    latencies: Option<Histogram<u64>>,
    intervals: Vec<(u32, u32)>,
}

impl ClassTally {
    pub(super) fn new(name: &'static str, target: time::Duration) -> ClassTally {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok();
        let intervals = Vec::new();
        ClassTally { name, target, offered: 0, good: 0, in_target: 0, latencies, intervals }
    }

    pub(super) fn record_offered(&mut self, arrived: time::Instant) {
        self.offered += 1;
        self.interval(arrived).0 += 1;
    }

    pub(super) fn record_answered(&mut self, arrived: time::Instant, now: time::Instant) {
        let latency = now.since(arrived);
        self.good += 1;
        self.in_target += u64::from(latency <= self.target);
        self.interval(arrived).1 += 1;
        if let Some(latencies) = &mut self.latencies {
            latencies.saturating_record(latency.0.max(1));
        }
    }

    pub(super) fn report(&self) -> ClassReport {
        let unavailable =
            self.intervals.iter().filter(|(offered, good)| *offered > 0 && *good == 0);
        let p99 = self.latencies.as_ref().map_or(0, |all| all.value_at_quantile(0.99));
        ClassReport {
            name: self.name,
            target: self.target,
            offered: self.offered,
            good: self.good,
            in_target: self.in_target,
            p99: time::Duration(p99),
            unavailable: INTERVAL.saturating_mul(unavailable.count() as u64),
        }
    }

    fn interval(&mut self, arrived: time::Instant) -> &mut (u32, u32) {
        let index = (arrived.0 / INTERVAL.0) as usize;
        if self.intervals.len() <= index {
            self.intervals.resize(index + 1, (0, 0));
        }
        &mut self.intervals[index]
    }
}
