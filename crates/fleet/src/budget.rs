//! Retry budget, which limits how often requests are sent to a further worker.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use cornelridge_model::time;

/// Share of the permitted retries that is used: what the nodes see differs slightly, and the
/// calls that a retried request makes count as retries too.
const USED_SHARE: f64 = 0.5;
/// Length of one step of the sliding window.
const STEP: time::Duration = time::Duration::from_millis(500);

/// Retries that all nodes together may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request of the same service.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Retries in a window that are permitted regardless of the number of requests.
    pub slack: f64,
}

/// Requests and retries of one service in the sliding window.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    /// Start, requests and retries of each step.
    steps: VecDeque<(time::Instant, u32, u32)>,
}

impl ServiceWindow {
    /// Drops steps outside the window and returns the current one.
    fn step(
        &mut self,
        now: time::Instant,
        window: time::Duration,
    ) -> &mut (time::Instant, u32, u32) {
        while self.steps.front().is_some_and(|(start, ..)| now.since(*start) > window + STEP) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|(start, ..)| now.since(*start) >= STEP) {
            self.steps.push_back((now, 0, 0));
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// This node's share of the retry budget of all nodes, for each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    services: HashMap<Arc<str>, ServiceWindow>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget { allowance, services: HashMap::new() }
    }

    /// Records a request of a caller.
    pub fn request_started(&mut self, now: time::Instant, service: &Arc<str>) {
        let window = self.allowance.window;
        self.services.entry(Arc::clone(service)).or_default().step(now, window).1 += 1;
    }

    /// Spends one retry if this node's share of the budget allows it; the slack is divided evenly
    /// among `members` nodes. Returns whether the retry was spent.
    pub fn try_spend(&mut self, now: time::Instant, service: &Arc<str>, members: usize) -> bool {
        let RetryAllowance { ratio, window, slack } = self.allowance;
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.step(now, window);
        let (requests, retries) = service
            .steps
            .iter()
            .fold((0, 0), |(requests, retries), step| (requests + step.1, retries + step.2));
        let own_slack = slack / members.max(1) as f64;
        let allowed = USED_SHARE * (ratio * f64::from(requests) + own_slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        service.step(now, window).2 += 1;
        true
    }
}
