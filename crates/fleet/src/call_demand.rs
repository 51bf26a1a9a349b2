//! Slots of a worker that the calls of other workers use.

use std::collections::BTreeMap;

use cornelridge_model::time;

use crate::decaying_count::DecayingCount;

/// Half-life of the slot time that calls used; a few service times.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);
/// Time in which the decaying sum of the slot time becomes a mean number of slots,
/// `HALF_LIFE / ln 2`.
const WINDOW: time::Duration = time::Duration::from_millis(721);
/// Time without calls after which they count as ended.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Slot time that calls use, by their priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallDemand {
    priorities: BTreeMap<u8, PriorityDemand>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PriorityDemand {
    /// Service time of the calls that arrived lately, in microseconds.
    service_us: DecayingCount,
    last_call: time::Instant,
}

impl CallDemand {
    /// Records a call that arrived and the time that it is expected to use a slot.
    pub(crate) fn record(
        &mut self,
        now: time::Instant,
        priority: u8,
        service_time: time::Duration,
    ) {
        let demand = self.priorities.entry(priority).or_default();
        demand.service_us.add(now, HALF_LIFE, service_time.0 as f64);
        demand.last_call = now;
    }

    /// Returns the mean number of slots, rounded, that calls use that are at least as urgent as
    /// `priority`.
    pub(crate) fn slots(&self, now: time::Instant, priority: u8) -> usize {
        let current = self
            .priorities
            .range(..=priority)
            .filter(|(_, demand)| now.since(demand.last_call) < MAX_PAUSE);
        let used: f64 = current.map(|(_, demand)| demand.service_us.get(now, HALF_LIFE)).sum();
        (used / WINDOW.0 as f64).round() as usize
    }
}
