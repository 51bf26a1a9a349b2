//! How long a node may grant keys after it last renewed its entry in the store.

use cornelridge_model::time;

/// Time for which grants may run after the last renewal that succeeded, counted from when it was
/// sent. A worker holds its keys that long through an outage of the store, and after the loss of
/// its node nobody else gets them before; weighed in docs/design.md, section 10.3.
pub const GRANT_TTL: time::Duration = time::Duration::from_millis(6_000);
/// Time that an entry lasts in the store without renewal; two renewals may be lost in it.
pub const ENTRY_TTL: time::Duration = time::Duration::from_millis(2_000);
/// Time between renewals, a third of `ENTRY_TTL`.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(650);
/// Worst slowness of the clock by which a worker measures its hold, in hundredths.
const CLOCK_SLOWNESS_PERCENT: u64 = 2;
/// Allowance for rounding and for the time from a decision to its effect.
const SAFETY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// Time from when an entry was seen to be missing until no grant of its node can be in force.
pub fn takeover_delay() -> time::Duration {
    GRANT_TTL + SAFETY_MARGIN
}

/// What the node knows of its own entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryRegistration {
    renewed: Option<time::Instant>,
    ranges_loaded: bool,
}

impl EntryRegistration {
    /// The entry was written by a call sent at `sent`; what others did meanwhile isn't known yet.
    pub fn registered(&mut self, sent: time::Instant) {
        *self = EntryRegistration { renewed: Some(sent), ranges_loaded: false };
    }

    /// All ranges were read after the entry was written.
    pub fn ranges_loaded(&mut self) {
        self.ranges_loaded = true;
    }

    /// A renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: time::Instant) {
        if let Some(renewed) = &mut self.renewed {
            *renewed = (*renewed).max(sent);
        }
    }

    /// The entry is gone: grants end as if it had been renewed last at that time, and no new ones
    /// are given until it is written again and the ranges have been read.
    pub fn lost(&mut self) {
        self.ranges_loaded = false;
    }

    /// Whether the entry was renewed within `span`.
    pub fn is_renewed_within(&self, now: time::Instant, span: time::Duration) -> bool {
        self.ranges_loaded && self.renewed.is_some_and(|renewed| now.since(renewed) < span)
    }

    /// How long a worker may hold its keys from now on, on its own slow clock; `None` before the
    /// ranges were read.
    pub fn remaining_hold(&self, now: time::Instant) -> Option<time::Duration> {
        let renewed = self.renewed.filter(|_| self.ranges_loaded)?;
        let left = (renewed + GRANT_TTL).since(now + SAFETY_MARGIN);
        Some(time::Duration(left.0 * 100 / (100 + CLOCK_SLOWNESS_PERCENT)))
    }
}
