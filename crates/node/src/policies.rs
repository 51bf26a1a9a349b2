//! Retry budgets, hedging and latency of each class at this node.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::time;
use cornelridge_policy::hedge;
use cornelridge_policy::meter;
use cornelridge_policy::retry;

use crate::context::lock;
use crate::failure;

/// Span over which the typical latency of a class is judged.
const LATENCY_WINDOW: time::Duration = time::Duration::from_secs(10);

#[derive(Debug)]
struct ClassPolicy {
    budget: retry::RetryBudget,
    hedge: hedge::HedgePolicy,
    latency: meter::LatencyMeter,
    target_ms: u64,
}

impl ClassPolicy {
    fn new(now: time::Instant, class: &class::ClassConfig) -> ClassPolicy {
        let percentile = class.target_percentile;
        ClassPolicy {
            budget: retry::RetryBudget::new(now),
            hedge: hedge::HedgePolicy::new(class.idempotent, class.target(), percentile),
            latency: meter::LatencyMeter::new(LATENCY_WINDOW),
            target_ms: class.target_ms,
        }
    }
}

/// The policies of all classes.
#[derive(Debug, Default)]
pub(crate) struct PolicyTable {
    classes: sync::Mutex<HashMap<Arc<str>, ClassPolicy>>,
}

/// A failed attempt, as the ingress node sees it.
pub(crate) struct AttemptFailure<'a> {
    pub(crate) class: &'a class::ClassConfig,
    pub(crate) failure: &'a failure::RequestFailure,
    pub(crate) attempts: u32,
    pub(crate) deadline: time::Instant,
    pub(crate) other_worker: bool,
}

impl PolicyTable {
    fn with<T>(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        run: impl FnOnce(&mut ClassPolicy) -> T,
    ) -> T {
        let mut classes = lock(&self.classes);
        let entry = classes.entry(Arc::clone(&class.name));
        let policy = entry.or_insert_with(|| ClassPolicy::new(now, class));
        if policy.target_ms != class.target_ms {
            *policy = ClassPolicy::new(now, class);
        }
        run(policy)
    }

    /// Counts a request for the budget and returns when a hedge is due.
    pub(crate) fn started(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
    ) -> Option<time::Duration> {
        self.with(now, class, |policy| {
            policy.budget.request_started(now);
            policy.hedge.delay(now)
        })
    }

    /// Records the latency of a first attempt.
    pub(crate) fn answered(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        latency: time::Duration,
    ) {
        self.with(now, class, |policy| {
            policy.hedge.record(now, latency);
            policy.latency.record(now, latency);
        });
    }

    /// Takes a token for a hedge.
    pub(crate) fn try_hedge(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        deadline: time::Instant,
    ) -> bool {
        self.with(now, class, |policy| policy.hedge.try_hedge(now, deadline, &mut policy.budget))
    }

    /// Decides whether a failed attempt is repeated.
    pub(crate) fn decide(
        &self,
        now: time::Instant,
        attempt: &AttemptFailure<'_>,
        rng: &mut fastrand::Rng,
    ) -> retry::RetryDecision {
        self.with(now, attempt.class, |policy| {
            let expected = policy.latency.percentile(now, 50.0).unwrap_or(time::Duration::ZERO);
            let failed = retry::FailedAttempt {
                idempotent: attempt.class.idempotent,
                outcome: attempt.failure.result,
                attempts: attempt.attempts,
                deadline: attempt.deadline,
                expected_latency: expected,
                other_worker: attempt.other_worker,
                refused_for_load: attempt.failure.kind == failure::FailureKind::Overloaded,
                refused_everywhere: !attempt.failure.is_local_to_node(),
                response_started: false,
            };
            retry::RetryPolicy.decide(now, &failed, &mut policy.budget, rng)
        })
    }

    /// Retry tokens left by class, for the state dump.
    pub(crate) fn budgets(&self) -> Vec<(Arc<str>, f64)> {
        let classes = lock(&self.classes);
        let mut budgets: Vec<_> = classes
            .iter()
            .map(|(name, policy)| (Arc::clone(name), policy.budget.remaining()))
            .collect();
        budgets.sort_by(|a, b| a.0.cmp(&b.0));
        budgets
    }
}
