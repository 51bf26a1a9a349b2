//! Slots of an admission queue that are reserved for calls.

use cornelridge_model::time;

use super::{AdmissionQueue, QueueRank};

/// Divisor of the slots that gives the most that may be reserved for calls. The others are left to
/// requests of callers, which are therefore served at any rate of calls.
const MAX_RESERVED_DIVISOR: u32 = 2;

impl AdmissionQueue {
    /// Sets whether slots are reserved for calls and refused requests get shares of the room, which
    /// they do at first.
    pub fn set_room_sharing(&mut self, shares_room: bool) {
        self.shares_room = shares_room;
    }

    /// Returns the number of requests up to which one of this rank may start.
    ///
    /// While there are calls, the slots that they use on average are kept free of other requests
    /// that aren't more urgent: a call that is refused wastes the work of the request that made it.
    pub(super) fn limit_for(&self, now: time::Instant, rank: QueueRank) -> usize {
        let limit = self.free_limit(now) as usize;
        if !rank.is_request || !self.shares_room {
            return limit;
        }
        let reserved = self.call_demand.slots(now, rank.priority);
        let reserved = reserved.min((self.limit / MAX_RESERVED_DIVISOR) as usize);
        let used = self.running.values().filter(|running| running.is_call).count();
        limit.saturating_sub(reserved.saturating_sub(used))
    }

    /// Returns the number of slots that are reserved for calls against all other requests.
    pub fn reserved_slots(&self, now: time::Instant) -> u32 {
        if !self.shares_room {
            return 0;
        }
        let slots = self.call_demand.slots(now, u8::MAX) as u32;
        slots.min(self.limit / MAX_RESERVED_DIVISOR)
    }
}
