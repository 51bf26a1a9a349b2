//! Retry budget that all nodes share.

use std::sync::Arc;

use cornelridge_fleet::budget::{RetryAllowance, RetryBudget};
use cornelridge_model::time::{Duration, Instant};

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };

#[test]
fn all_nodes_together_stay_within_the_budget_in_every_window() {
    const NODES: usize = 10;
    let service: Arc<str> = Arc::from("desk");
    let mut random = fastrand::Rng::with_seed(7);
    let mut budgets: Vec<RetryBudget> = (0..NODES).map(|_| RetryBudget::new(ALLOWANCE)).collect();
    let mut events = Vec::new();
    let mut now = Instant(1_000_000);
    for step in 0..6_000 {
        now = now + Duration::from_millis(10);
        let node = random.usize(0..NODES);
        // A node that restarts loses the count of its retries.
        if step % 500 == 0 {
            budgets[node] = RetryBudget::new(ALLOWANCE);
        }
        budgets[node].request_started(now, &service);
        let is_retry = budgets[node].try_spend(now, &service, NODES);
        events.push((now, is_retry));
    }
    for (index, (start, _)) in events.iter().enumerate() {
        let window: Vec<bool> = events[index..]
            .iter()
            .take_while(|(at, _)| at.since(*start) <= ALLOWANCE.window)
            .map(|(_, is_retry)| *is_retry)
            .collect();
        let retries = window.iter().filter(|is_retry| **is_retry).count() as f64;
        let allowed = ALLOWANCE.ratio * window.len() as f64 + ALLOWANCE.slack;
        assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
    }
    assert!(events.iter().any(|(_, is_retry)| *is_retry));
}

#[test]
fn services_have_budgets_of_their_own() {
    let (desk, hub): (Arc<str>, Arc<str>) = (Arc::from("desk"), Arc::from("hub"));
    let mut budget = RetryBudget::new(RetryAllowance { slack: 4.0, ..ALLOWANCE });
    let now = Instant(1_000_000);
    assert!(budget.try_spend(now, &desk, 1));
    assert!(budget.try_spend(now, &desk, 1));
    assert!(!budget.try_spend(now, &desk, 1));
    assert!(budget.try_spend(now, &hub, 1));
}
