//! Hedged requests for idempotent classes that miss their latency target.

use cornelridge_model::time;

use crate::meter;
use crate::quarantine;
use crate::retry;

/// Time window of the latencies that are evaluated.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Minimum number of samples before a class can count as missing its target.
const MIN_SAMPLES: u64 = 50;
/// Percentile of the observed latency that is the delay of a hedge.
const DELAY_PERCENTILE: f64 = 90.0;
/// Share of the target at which hedging stops. The gap to the target provides hysteresis.
const STOP_SHARE: f64 = 0.8;

/// Decides for one class whether and when a hedge, a second concurrent attempt, is sent.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    idempotent: bool,
    target: time::Duration,
    percentile: f64,
    meter: meter::LatencyMeter,
    active: bool,
}

impl HedgePolicy {
    /// Creates the policy of a class whose latency at `percentile` should be within `target`.
    pub fn new(idempotent: bool, target: time::Duration, percentile: f64) -> HedgePolicy {
        let meter = meter::LatencyMeter::new(WINDOW);
        HedgePolicy { idempotent, target, percentile, meter, active: false }
    }

    /// Records the latency of a first attempt, or its age when it was abandoned.
    pub fn record(&mut self, now: time::Instant, latency: time::Duration) {
        self.meter.record(now, latency);
    }

    /// Returns the time after the start of the first attempt at which a hedge is sent, or `None`
    /// for no hedge.
    pub fn delay(&mut self, now: time::Instant) -> Option<time::Duration> {
        if !self.idempotent || self.meter.count(now) < MIN_SAMPLES {
            self.active = false;
            return None;
        }
        let observed = self.meter.percentile(now, self.percentile)?;
        let stop = time::Duration((self.target.0 as f64 * STOP_SHARE) as u64);
        self.active = observed > if self.active { stop } else { self.target };
        if !self.active {
            return None;
        }
        let median = self.meter.percentile(now, 50.0)?;
        let delay = self.meter.percentile(now, DELAY_PERCENTILE)?;
        // A later hedge wouldn't be answered within the target.
        let latest = self.target.saturating_sub(median);
        Some(delay.min(latest).max(median.min(time::Duration(self.target.0 / 2))))
    }

    /// Takes a token for a hedge whose delay has passed. Returns `false` if no hedge may be sent.
    ///
    /// A suspect isn't hedged, because two copies could crash two upstreams at once.
    pub fn try_hedge(
        &self,
        now: time::Instant,
        deadline: time::Instant,
        decision: quarantine::SuspectDecision,
        budget: &mut retry::RetryBudget,
    ) -> bool {
        let passes = decision == quarantine::SuspectDecision::Pass;
        self.idempotent && passes && now < deadline && budget.try_spend(now)
    }
}
