//! Second attempts for idempotent requests of classes that miss their target.

use cornelridge_model::time;

use crate::meter;
use crate::quarantine;
use crate::retry;

/// Span over which latencies are judged.
const WINDOW: time::Duration = time::Duration::from_secs(10);
/// Samples needed before a class counts as missing its target.
const MIN_SAMPLES: u64 = 50;
/// Percentile of the observed latency after which a hedge is sent.
const DELAY_PERCENTILE: f64 = 90.0;
/// Hedging ends below this share of the target, so that it doesn't switch on and off.
const STOP_SHARE: f64 = 0.8;

/// Decides for one class when a second attempt is sent.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    idempotent: bool,
    target: time::Duration,
    percentile: f64,
    meter: meter::LatencyMeter,
    active: bool,
}

impl HedgePolicy {
    /// Creates the policy of a class with its target.
    pub fn new(idempotent: bool, target: time::Duration, percentile: f64) -> HedgePolicy {
        let meter = meter::LatencyMeter::new(WINDOW);
        HedgePolicy { idempotent, target, percentile, meter, active: false }
    }

    /// Records the latency of a first attempt, or its age when it was given up.
    pub fn record(&mut self, now: time::Instant, latency: time::Duration) {
        self.meter.record(now, latency);
    }

    /// How long to wait for the first attempt before a hedge is sent, or `None` for no hedge.
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
        // A hedge sent later than this can't be answered within the target any more.
        let latest = self.target.saturating_sub(median);
        Some(delay.min(latest).max(median.min(time::Duration(self.target.0 / 2))))
    }

    /// Takes a token for a hedge when its delay has passed; `false` if none may be sent.
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
