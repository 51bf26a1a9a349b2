//! Limits how often requests are sent to a worker a second time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use cornelridge_model::time;

/// Part of the permitted share that is used: what the other nodes see differs by a little, and
/// calls made by a repeated request count as repeats too.
const USED_SHARE: f64 = 0.5;
/// Length of one step of the sliding window.
const STEP: time::Duration = time::Duration::from_millis(500);

/// What all nodes together may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats per request of the same service.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Repeats in a window that are permitted without any request.
    pub slack: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    steps: VecDeque<(time::Instant, u32, u32)>,
}

impl ServiceWindow {
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

/// This node's part of the budget that all nodes share, for each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    services: HashMap<Arc<str>, ServiceWindow>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(allowance: RetryAllowance) -> RetryBudget {
        RetryBudget { allowance, services: HashMap::new() }
    }

    /// Counts a request of a caller.
    pub fn request_started(&mut self, now: time::Instant, service: &Arc<str>) {
        let window = self.allowance.window;
        self.services.entry(Arc::clone(service)).or_default().step(now, window).1 += 1;
    }

    /// Takes one repeat if this node's part of the budget allows it. `members` share the slack.
    pub fn try_spend(&mut self, now: time::Instant, service: &Arc<str>, members: usize) -> bool {
        let RetryAllowance { ratio, window, slack } = self.allowance;
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.step(now, window);
        let (requests, retries) = service
            .steps
            .iter()
            .fold((0, 0), |(requests, retries), step| (requests + step.1, retries + step.2));
        let part = slack / members.max(1) as f64;
        let allowed = USED_SHARE * (ratio * f64::from(requests) + part);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        service.step(now, window).2 += 1;
        true
    }
}
