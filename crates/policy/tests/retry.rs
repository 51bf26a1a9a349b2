//! Retries and hedges: limits by budget, deadline and class.

use cornelridge_model::outcome;
use cornelridge_model::time;
use cornelridge_policy::hedge;
use cornelridge_policy::quarantine;
use cornelridge_policy::retry;

const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

fn failed(now: time::Instant) -> retry::FailedAttempt {
    retry::FailedAttempt {
        idempotent: true,
        outcome: outcome::RequestOutcome::Unknown,
        attempts: 1,
        deadline: now + time::Duration::from_secs(1),
        expected_latency: time::Duration::from_millis(10),
        other_worker: true,
        refused_for_load: false,
        refused_everywhere: false,
        response_started: false,
    }
}

fn decide(attempt: &retry::FailedAttempt, budget: &mut retry::RetryBudget) -> retry::RetryDecision {
    let mut rng = fastrand::Rng::with_seed(1);
    retry::RetryPolicy.decide(time::Instant(0), attempt, budget, &mut rng)
}

/// Guards against a retry storm: when all requests fail, the traffic grows by a tenth plus the
/// constant rate of the budget.
#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
            let mut budget = retry::RetryBudget::new(time::Instant(0));
            let gap = rng.u64(100..20_000);
            let (mut now, mut requests, mut retries) = (time::Instant(0), 0_u64, 0_u64);
            for _ in 0..20_000 {
                now = now + time::Duration(rng.u64(0..gap));
                budget.request_started(now);
                requests += 1;
                let mut attempt = failed(now);
                while let retry::RetryDecision::Retry { .. } =
                    retry::RetryPolicy.decide(now, &attempt, &mut budget, &mut rng)
                {
                    retries += 1;
                    attempt.attempts += 1;
                }
                assert!(attempt.attempts <= retry::MAX_ATTEMPTS);
                let allowed = 20.0 + requests as f64 * 0.1 + now.0 as f64 / 1e6;
                assert!(retries as f64 <= allowed, "{retries} retries of {requests} requests");
            }
            Ok(())
        })
        .seed(seed << 32 | 64);
    }
}

/// Guards against a second execution of a request in a class that isn't idempotent.
#[test]
fn only_repeatable_work_is_repeated() {
    let mut budget = retry::RetryBudget::new(time::Instant(0));
    let attempt = retry::FailedAttempt { idempotent: false, ..failed(time::Instant(0)) };
    for outcome in [outcome::RequestOutcome::Unknown, outcome::RequestOutcome::Run] {
        let decision = decide(&retry::FailedAttempt { outcome, ..attempt }, &mut budget);
        let reason = retry::GiveUpReason::NotIdempotent;
        assert_eq!(decision, retry::RetryDecision::GiveUp(reason));
    }
    let outcome = outcome::RequestOutcome::NotRun;
    let decision = decide(&retry::FailedAttempt { outcome, ..attempt }, &mut budget);
    assert_eq!(decision, retry::RetryDecision::Retry { delay: time::Duration::ZERO });
}

/// Guards against retries that can't succeed: after the deadline, after the start of a response, of
/// requests that every worker refuses, or at an overloaded worker that is the only one.
#[test]
fn hopeless_retries_are_answered_without_a_token() {
    let mut budget = retry::RetryBudget::new(time::Instant(0));
    let base = failed(time::Instant(0));
    let cases = [
        (
            retry::FailedAttempt { deadline: time::Instant(9_000), ..base },
            retry::GiveUpReason::DeadlineTooClose,
        ),
        (
            retry::FailedAttempt { response_started: true, ..base },
            retry::GiveUpReason::ResponseStarted,
        ),
        (
            retry::FailedAttempt { refused_everywhere: true, ..base },
            retry::GiveUpReason::RefusedEverywhere,
        ),
        (
            retry::FailedAttempt { refused_for_load: true, other_worker: false, ..base },
            retry::GiveUpReason::Overloaded,
        ),
        (
            retry::FailedAttempt { attempts: retry::MAX_ATTEMPTS, ..base },
            retry::GiveUpReason::AttemptsExhausted,
        ),
    ];
    let before = budget.remaining();
    for (attempt, reason) in cases {
        assert_eq!(decide(&attempt, &mut budget), retry::RetryDecision::GiveUp(reason));
    }
    assert_eq!(budget.remaining(), before);
}

/// Guards against immediate retries at the only worker of a key.
#[test]
fn retry_on_the_same_worker_waits() {
    let mut budget = retry::RetryBudget::new(time::Instant(0));
    let attempt = retry::FailedAttempt { other_worker: false, ..failed(time::Instant(0)) };
    let retry::RetryDecision::Retry { delay } = decide(&attempt, &mut budget) else {
        panic!("there is budget and time");
    };
    assert!(delay >= time::Duration::from_millis(5) && delay <= time::Duration::from_millis(10));
}

fn record(policy: &mut hedge::HedgePolicy, from_ms: u64, slow_percent: u64) {
    for step in 0..1_000 {
        let slow = step % 100 < slow_percent;
        let latency = time::Duration::from_millis(if slow { 400 } else { 10 });
        policy.record(time::Instant((from_ms + step) * 1_000), latency);
    }
}

/// Guards against hedging classes that meet their target or that aren't idempotent.
#[test]
fn only_idempotent_classes_that_miss_their_target_are_hedged() {
    let target = time::Duration::from_millis(50);
    let now = time::Instant(1_000_000);
    let mut meeting = hedge::HedgePolicy::new(true, target, 99.0);
    record(&mut meeting, 0, 0);
    assert_eq!(meeting.delay(now), None);
    let mut not_idempotent = hedge::HedgePolicy::new(false, target, 99.0);
    record(&mut not_idempotent, 0, 5);
    assert_eq!(not_idempotent.delay(now), None);
    let mut missing = hedge::HedgePolicy::new(true, target, 99.0);
    record(&mut missing, 0, 5);
    let delay = missing.delay(now).expect("5% take 400 ms");
    assert!(delay >= time::Duration::from_millis(10) && delay <= target, "{delay:?}");
    record(&mut missing, 30_000, 0);
    assert_eq!(
        missing.delay(time::Instant(31_000_000)),
        None,
        "hedging ends when the target is met"
    );
}

/// Guards against hedges beyond the budget that they share with retries, and against hedges of
/// suspects: in the load model, two copies of a suspect ran on two workers at once.
#[test]
fn hedges_draw_on_the_budget() {
    let policy = hedge::HedgePolicy::new(true, time::Duration::from_millis(50), 99.0);
    let mut budget = retry::RetryBudget::new(time::Instant(0));
    let deadline = time::Instant(1_000_000);
    let pass = quarantine::SuspectDecision::Pass;
    let mut try_hedge = |now, decision| policy.try_hedge(now, deadline, decision, &mut budget);
    assert!(!try_hedge(time::Instant(0), quarantine::SuspectDecision::RunAlone));
    assert!(!try_hedge(deadline, pass), "no hedge after the deadline");
    let sent = (0..1_000).filter(|_| try_hedge(time::Instant(0), pass)).count();
    assert_eq!(sent, 20);
}
