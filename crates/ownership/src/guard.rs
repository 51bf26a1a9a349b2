//! The guard's side of a lease.

use cornelridge_model::time;

use crate::timing;

/// A lease guarded by this node, which acknowledges renewals until it has vouched for the expiry.
///
/// Renewals are acknowledged whether or not the guard holds a lease of its own: if guards had to
/// hold one, no lease could be renewed after a pause of the whole fleet.
#[derive(Debug)]
pub struct GuardedLease {
    renewed_at: time::Instant,
    sequence: u64,
    has_vouched: bool,
}

impl GuardedLease {
    /// Creates the state for a lease that this guard learns of now. Silence counts from now, as the
    /// holder may have sent a renewal just before.
    pub fn new(active: time::Instant) -> GuardedLease {
        GuardedLease { renewed_at: active, sequence: 0, has_vouched: false }
    }

    /// Records a renewal at its receipt. Returns whether to acknowledge it.
    pub fn renew(&mut self, active: time::Instant, sequence: u64) -> bool {
        if self.has_vouched {
            return false;
        }
        // A late duplicate doesn't show that the holder is alive. Acknowledging it is harmless: the
        // holder counts from the sending, which is before the receipt counted here.
        if sequence > self.sequence {
            self.sequence = sequence;
            self.renewed_at = self.renewed_at.max(active);
        }
        true
    }

    /// Vouches for the expiry if the holder has been silent for longer than `GUARD_TIMEOUT`.
    /// Returns whether this guard has vouched; from then on it refuses all renewals.
    pub fn vouch(&mut self, active: time::Instant) -> bool {
        self.has_vouched |= self.silence(active) > timing::GUARD_TIMEOUT;
        self.has_vouched
    }

    /// Refuses renewals from now on without a query, for a lease that has ended otherwise.
    pub fn refuse_renewals(&mut self) {
        self.has_vouched = true;
    }

    /// Returns whether this guard has vouched, or refuses renewals for another reason.
    pub fn has_vouched(&self) -> bool {
        self.has_vouched
    }

    /// Returns the active time since the latest renewal.
    pub fn silence(&self, active: time::Instant) -> time::Duration {
        active.since(self.renewed_at)
    }
}
