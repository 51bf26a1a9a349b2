//! Use of the worker behind an admission queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::time;

use super::{AdmissionQueue, RefusalReason, RunningRequest};
use crate::route_usage;

impl AdmissionQueue {
    pub(super) fn count_refusal(&mut self, route: &Arc<str>, reason: RefusalReason) {
        let usage = self.usage.route(route);
        match reason {
            RefusalReason::Link => usage.refused_link += 1,
            RefusalReason::Slots | RefusalReason::WarmUp | RefusalReason::Calls => {
                usage.refused_other += 1;
            }
        }
    }

    pub(super) fn count_slot_time(&mut self, now: time::Instant, ended: &RunningRequest) {
        let usage = self.usage.route(&ended.route);
        usage.slot_time = usage.slot_time + now.since(ended.since);
    }

    /// Returns the use of the worker by route since the last call.
    pub fn take_usage(&mut self) -> BTreeMap<Arc<str>, route_usage::RouteUsage> {
        self.usage.take()
    }
}
