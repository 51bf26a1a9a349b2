//! The guard's side of a lease.

use cornelridge_model::time;

use crate::timing;

/// Acknowledges the renewals of one lease until it has vouched that the lease expired.
///
/// It knows nothing of the guard's own lease: guards that renew only while they hold a lease
/// themselves would never recover from a pause of the whole fleet.
#[derive(Debug)]
pub struct GuardedLease {
    renewed_at: time::Instant,
    sequence: u64,
    has_vouched: bool,
}

impl GuardedLease {
    /// A duty that this guard learns of now. The holder may have sent a renewal just before, so
    /// silence counts from now.
    pub fn new(active: time::Instant) -> GuardedLease {
        GuardedLease { renewed_at: active, sequence: 0, has_vouched: false }
    }

    /// Counts a renewal from its receipt; tells whether to acknowledge it.
    pub fn renew(&mut self, active: time::Instant, sequence: u64) -> bool {
        if self.has_vouched {
            return false;
        }
        // A late duplicate doesn't show that the holder is alive. Its acknowledgement is harmless:
        // it counts from its sending, which is before the receipt counted here.
        if sequence > self.sequence {
            self.sequence = sequence;
            self.renewed_at = self.renewed_at.max(active);
        }
        true
    }

    /// Answers a successor; once it has vouched it never renews again.
    pub fn vouch(&mut self, active: time::Instant) -> bool {
        self.has_vouched |= self.silence(active) > timing::GUARD_TIMEOUT;
        self.has_vouched
    }

    /// Refuses renewals from now on without a question, for a lease that has ended otherwise.
    pub fn refuse_renewals(&mut self) {
        self.has_vouched = true;
    }

    /// Whether it has vouched.
    pub fn has_vouched(&self) -> bool {
        self.has_vouched
    }

    /// Active time since the latest renewal.
    pub fn silence(&self, active: time::Instant) -> time::Duration {
        active.since(self.renewed_at)
    }
}
