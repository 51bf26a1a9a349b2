//! Retry budget, hedging policy and latency of each class at this node.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::time;
use cornelridge_policy::hedge;
use cornelridge_policy::meter;
use cornelridge_policy::quarantine;
use cornelridge_policy::retry;

use crate::context::lock;
use crate::failure;

/// Time window over which the typical latency of a class is measured.
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

/// Retry and hedging policies of all classes.
#[derive(Debug, Default)]
pub(crate) struct PolicyTable {
    classes: sync::Mutex<HashMap<Arc<str>, ClassPolicy>>,
}

/// A failed attempt, as known to the ingress node.
pub(crate) struct AttemptFailure<'a> {
    pub(crate) class: &'a class::ClassConfig,
    pub(crate) failure: &'a failure::RequestFailure,
    pub(crate) attempts: u32,
    pub(crate) deadline: time::Instant,
    pub(crate) other_worker: bool,
}

impl PolicyTable {
    fn with_policy<T>(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        action: impl FnOnce(&mut ClassPolicy) -> T,
    ) -> T {
        let mut classes = lock(&self.classes);
        let entry = classes.entry(Arc::clone(&class.name));
        let policy = entry.or_insert_with(|| ClassPolicy::new(now, class));
        if policy.target_ms != class.target_ms {
            *policy = ClassPolicy::new(now, class);
        }
        action(policy)
    }

    /// Counts a request for the retry budget and returns the delay of its hedged attempt, if any.
    pub(crate) fn record_request(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
    ) -> Option<time::Duration> {
        self.with_policy(now, class, |policy| {
            policy.budget.request_started(now);
            policy.hedge.delay(now)
        })
    }

    /// Records the latency of a successful attempt.
    pub(crate) fn record_latency(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        latency: time::Duration,
    ) {
        self.with_policy(now, class, |policy| {
            policy.hedge.record(now, latency);
            policy.latency.record(now, latency);
        });
    }

    /// Takes a token from the retry budget for a hedged attempt; returns whether it is allowed.
    pub(crate) fn try_hedge(
        &self,
        now: time::Instant,
        class: &class::ClassConfig,
        deadline: time::Instant,
        suspicion: quarantine::SuspectDecision,
    ) -> bool {
        self.with_policy(now, class, |policy| {
            policy.hedge.try_hedge(now, deadline, suspicion, &mut policy.budget)
        })
    }

    /// Decides whether a failed attempt is retried.
    pub(crate) fn decide(
        &self,
        now: time::Instant,
        attempt: &AttemptFailure<'_>,
        rng: &mut fastrand::Rng,
    ) -> retry::RetryDecision {
        self.with_policy(now, attempt.class, |policy| {
            let expected = policy.latency.percentile(now, 50.0).unwrap_or(time::Duration::ZERO);
            let failed = retry::FailedAttempt {
                idempotent: attempt.class.idempotent,
                outcome: attempt.failure.result,
                attempts: attempt.attempts,
                deadline: attempt.deadline,
                expected_latency: expected,
                other_worker: attempt.other_worker,
                refused_for_load: attempt.failure.kind == failure::FailureKind::Overloaded,
                refused_everywhere: !attempt.failure.may_succeed_elsewhere(),
                response_started: false,
            };
            retry::RetryPolicy.decide(now, &failed, &mut policy.budget, rng)
        })
    }

    /// Returns the remaining retry tokens by class, for the state dump.
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
