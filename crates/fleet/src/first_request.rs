//! Requests that come again after a refusal, and the time that their callers have already waited.
//!
//! The time to the target counts from the first request of a caller: a response that is in time for
//! the repeated one may be late for the caller. A caller keeps its deadline, so that a request for
//! the same work with the same deadline is of the same caller.

use std::collections::{HashMap, VecDeque};

use cornelridge_model::time;

/// Largest difference between the deadlines of two requests of a caller: the time on the way to the
/// node and the rounding of the time that is left differ.
const DEADLINE_TOLERANCE: time::Duration = time::Duration::from_millis(15);
/// Highest number of refused requests that are remembered, about 300 kB.
const MAX_ENTRIES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    deadline: time::Instant,
    target: time::Instant,
}

/// Refused requests by the identity of their work.
#[derive(Clone, Debug, Default)]
pub struct FirstRequests {
    refused: HashMap<u64, Vec<RefusedRequest>>,
    /// Deadlines and identities in the order of the refusals.
    order: VecDeque<(time::Instant, u64)>,
}

impl FirstRequests {
    /// Records that a request with this deadline and target was refused. A request that came again
    /// is recorded with the target of the first one.
    pub fn record(
        &mut self,
        now: time::Instant,
        identity: u64,
        deadline: time::Instant,
        target: time::Instant,
    ) {
        while let Some((oldest, identity)) = self.order.front().copied() {
            if oldest > now && self.order.len() < MAX_ENTRIES {
                break;
            }
            self.order.pop_front();
            if let Some(known) = self.refused.get_mut(&identity) {
                known.retain(|refused| refused.deadline != oldest);
                if known.is_empty() {
                    self.refused.remove(&identity);
                }
            }
        }
        self.refused.entry(identity).or_default().push(RefusedRequest { deadline, target });
        self.order.push_back((deadline, identity));
    }

    /// Returns the target of the first request of the caller of an arriving one, or `None` if the
    /// arriving one is the first.
    pub fn target_of(&mut self, identity: u64, deadline: time::Instant) -> Option<time::Instant> {
        let known = self.refused.get_mut(&identity)?;
        let is_same = |refused: &RefusedRequest| {
            let (earlier, later) = (refused.deadline.min(deadline), refused.deadline.max(deadline));
            later.since(earlier) <= DEADLINE_TOLERANCE
        };
        let index = known.iter().position(is_same)?;
        Some(known.swap_remove(index).target)
    }
}
