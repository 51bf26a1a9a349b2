//! Retries within a budget.

use cornelridge_model::outcome;
use cornelridge_model::time;

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retries and hedges per request that was started.
const BUDGET_SHARE: f64 = 0.1;
/// Tokens added per second whatever the traffic, so that a quiet class can retry.
const FLOOR_PER_SEC: f64 = 1.0;
/// Tokens that can be saved up: the largest burst of retries.
const MAX_TOKENS: f64 = 20.0;
/// Shortest pause before a retry on the same worker.
const BASE_DELAY: time::Duration = time::Duration::from_millis(5);

/// Limits retries and hedges together to a share of the traffic plus a small floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled: time::Instant,
}

impl RetryBudget {
    /// Creates a budget that is full.
    pub fn new(now: time::Instant) -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS, refilled: now }
    }

    /// Counts a request that was started for the first time.
    pub fn request_started(&mut self, now: time::Instant) {
        self.refill(now);
        self.tokens = (self.tokens + BUDGET_SHARE).min(MAX_TOKENS);
    }

    /// Takes one token for a retry or hedge; `false` if the budget is used up.
    pub fn try_spend(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens that are left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: time::Instant) {
        let earned = now.since(self.refilled).as_secs_f64() * FLOOR_PER_SEC;
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
        self.refilled = self.refilled.max(now);
    }
}

/// What is known when an attempt ends without a response that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedAttempt {
    /// Whether the class may execute a request more than once.
    pub idempotent: bool,
    /// Whether the upstream executed the attempt.
    pub outcome: outcome::RequestOutcome,
    /// Attempts made, this one included.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: time::Instant,
    /// Typical latency of the class.
    pub expected_latency: time::Duration,
    /// Whether a worker that hasn't been tried yet can serve the request.
    pub other_worker: bool,
    /// Whether the worker or its queue refused the request for load.
    pub refused_for_load: bool,
    /// Whether the request was refused for a reason that holds on every worker.
    pub refused_everywhere: bool,
    /// Whether any byte of a response was passed on to the caller.
    pub response_started: bool,
}

/// Whether to repeat a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it again after `delay`.
    Retry {
        /// Pause before the attempt.
        delay: time::Duration,
    },
    /// Give the caller the failure.
    GiveUp(GiveUpReason),
}

/// Why a failed request isn't repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have been executed and its class isn't idempotent.
    NotRepeatable,
    /// The response was already partly passed on.
    ResponseStarted,
    /// Every worker would refuse the request.
    RefusedEverywhere,
    /// The only worker that can serve the request is overloaded.
    Overloaded,
    /// The attempts are used up.
    AttemptsExhausted,
    /// No attempt would end before the deadline.
    DeadlineTooClose,
    /// The retry budget is used up.
    BudgetExhausted,
}

/// Decides whether a failed attempt is repeated.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides on one failed attempt and takes a token from `budget` for a retry.
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
        if !attempt.idempotent && !attempt.outcome.is_safe_to_repeat() {
            return RetryDecision::GiveUp(GiveUpReason::NotRepeatable);
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

/// Another worker is tried at once; the same worker after a pause that doubles and is spread.
fn delay(attempt: &FailedAttempt, rng: &mut fastrand::Rng) -> time::Duration {
    if attempt.other_worker {
        return time::Duration::ZERO;
    }
    let longest = BASE_DELAY.0 << attempt.attempts.min(MAX_ATTEMPTS);
    time::Duration(rng.u64(longest / 2..=longest))
}
