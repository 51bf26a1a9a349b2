//! Retries within a budget.

use cornelridge_model::outcome;
use cornelridge_model::time;

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Tokens added per started request: the share of retries and hedges in the traffic.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tokens added per second regardless of the traffic, so that a class with few requests can retry.
const BASE_TOKENS_PER_SEC: f64 = 1.0;
/// Capacity of the budget in tokens: the largest burst of retries.
const MAX_TOKENS: f64 = 20.0;
/// Shortest delay before a retry on the same worker.
const BASE_DELAY: time::Duration = time::Duration::from_millis(5);

/// Token bucket that limits the sum of retries and hedges to a share of the traffic plus a small
/// constant rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled: time::Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: time::Instant) -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS, refilled: now }
    }

    /// Adds tokens for the first attempt of a request.
    pub fn request_started(&mut self, now: time::Instant) {
        self.refill(now);
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one token for a retry or hedge. Returns `false` if the budget is exhausted.
    pub fn try_spend(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of remaining tokens as of the last update.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: time::Instant) {
        let added = now.since(self.refilled).as_secs_f64() * BASE_TOKENS_PER_SEC;
        self.tokens = (self.tokens + added).min(MAX_TOKENS);
        self.refilled = self.refilled.max(now);
    }
}

/// State of a request after an attempt without a response that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedAttempt {
    /// Whether a request of the class may be executed more than once.
    pub idempotent: bool,
    /// Whether the upstream executed the attempt.
    pub outcome: outcome::RequestOutcome,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: time::Instant,
    /// Typical latency of the class.
    pub expected_latency: time::Duration,
    /// Whether another worker that hasn't been tried can serve the request.
    pub other_worker: bool,
    /// Whether the worker or its queue refused the request because of load.
    pub refused_for_load: bool,
    /// Whether the request was refused for a reason that applies to every worker.
    pub refused_everywhere: bool,
    /// Whether any part of a response was passed on to the caller.
    pub response_started: bool,
}

/// Decision on a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is sent again after `delay`.
    Retry {
        /// Delay before the next attempt.
        delay: time::Duration,
    },
    /// The failure is returned to the caller.
    GiveUp(GiveUpReason),
}

/// Why a failed request isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have been executed and its class isn't idempotent.
    NotIdempotent,
    /// Part of the response was already passed on.
    ResponseStarted,
    /// Every worker would refuse the request.
    RefusedEverywhere,
    /// The only worker that can serve the request is overloaded.
    Overloaded,
    /// The maximum number of attempts was made.
    AttemptsExhausted,
    /// Another attempt wouldn't end before the deadline.
    DeadlineTooClose,
    /// The retry budget is exhausted.
    BudgetExhausted,
}

/// Decides whether a failed attempt is retried.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides on a failed attempt and takes a token from `budget` for a retry.
    pub fn decide(
        self,
        now: time::Instant,
        attempt: &FailedAttempt,
        budget: &mut RetryBudget,
        rng: &mut fastrand::Rng,
    ) -> RetryDecision {
        if attempt.response_started {
            return RetryDecision::GiveUp(GiveUpReason::ResponseStarted);
        }
        if !attempt.idempotent && !attempt.outcome.is_safe_to_retry() {
            return RetryDecision::GiveUp(GiveUpReason::NotIdempotent);
        }
        if attempt.refused_everywhere {
            return RetryDecision::GiveUp(GiveUpReason::RefusedEverywhere);
        }
        if attempt.refused_for_load && !attempt.other_worker {
            return RetryDecision::GiveUp(GiveUpReason::Overloaded);
        }
        if attempt.attempts >= MAX_ATTEMPTS {
            return RetryDecision::GiveUp(GiveUpReason::AttemptsExhausted);
        }
        let delay = delay(attempt, rng);
        if now + delay + attempt.expected_latency >= attempt.deadline {
            return RetryDecision::GiveUp(GiveUpReason::DeadlineTooClose);
        }
        if !budget.try_spend(now) {
            return RetryDecision::GiveUp(GiveUpReason::BudgetExhausted);
        }
        RetryDecision::Retry { delay }
    }
}

/// Returns the delay before the next attempt: zero for another worker, or an exponential backoff
/// with jitter for the same one.
fn delay(attempt: &FailedAttempt, rng: &mut fastrand::Rng) -> time::Duration {
    if attempt.other_worker {
        return time::Duration::ZERO;
    }
    let max_us = BASE_DELAY.0 << attempt.attempts.min(MAX_ATTEMPTS);
    time::Duration(rng.u64(max_us / 2..=max_us))
}
