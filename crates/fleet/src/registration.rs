//! Time for which a node may grant keys after the last renewal of its entry in the store.

use cornelridge_model::time;

/// Longest time that grants last after the last successful renewal, counted from when the renewal
/// was sent. A worker keeps its keys for this long during an outage of the store. After the loss of
/// its node, no other worker gets them earlier. Section 10.3 of docs/design.md weighs the two.
pub const GRANT_TTL: time::Duration = time::Duration::from_millis(6_000);
/// Lifetime of an entry in the store without renewal; two renewals may be lost in it.
pub const ENTRY_TTL: time::Duration = time::Duration::from_millis(2_000);
/// Time between renewals, a third of `ENTRY_TTL`.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(650);
/// Share by which the clock of a worker may run slow, in percent.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 2;
/// Allowance for rounding and for the time from a decision to its effect.
const SAFETY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// Returns the time from when an entry was seen to be missing until no grant of its node can be in
/// force.
pub fn takeover_delay() -> time::Duration {
    GRANT_TTL + SAFETY_MARGIN
}

/// Returns how long a worker may hold its keys if it was granted them for `hold`, as its clock may
/// run slow.
pub fn longest_hold(hold: time::Duration) -> time::Duration {
    time::Duration(hold.0 * (100 + MAX_CLOCK_DRIFT_PERCENT) / 100)
}

/// State of this node's own entry in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryRegistration {
    /// When the last successful renewal was sent.
    renewed_at: Option<time::Instant>,
    ranges_loaded: bool,
    /// Era of the store in which the ranges were read.
    era: u64,
}

impl EntryRegistration {
    /// Records that the entry was written by a call sent at `sent`. What other nodes changed in the
    /// meantime isn't known before the ranges are read.
    pub fn registered(&mut self, sent: time::Instant) {
        *self = EntryRegistration { renewed_at: Some(sent), ..EntryRegistration::default() };
    }

    /// Records that all ranges were read after the entry was written.
    pub fn ranges_loaded(&mut self) {
        self.ranges_loaded = true;
    }

    /// Records that all ranges were read after the entry was written in `era`, and that those that
    /// the worker holds by grants of earlier eras were written again.
    pub fn ranges_loaded_in(&mut self, era: u64) {
        self.era = era;
        self.ranges_loaded();
    }

    /// Returns whether ranges that were read in `era` may be granted.
    pub fn covers(&self, era: u64) -> bool {
        self.era == era
    }

    /// Records that a renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: time::Instant) {
        if let Some(renewed_at) = &mut self.renewed_at {
            *renewed_at = (*renewed_at).max(sent);
        }
    }

    /// Records the loss of the entry. Current grants still end as given by the last renewal; no new
    /// ones are made until the entry is written again and the ranges are read.
    pub fn lost(&mut self) {
        self.ranges_loaded = false;
    }

    /// Returns whether the entry was renewed less than `span` ago.
    pub fn is_renewed_within(&self, now: time::Instant, span: time::Duration) -> bool {
        self.renewed_at.is_some_and(|renewed| now.since(renewed) < span)
    }

    /// Returns whether an entry that was written hasn't been renewed for `span`.
    pub fn is_overdue(&self, now: time::Instant, span: time::Duration) -> bool {
        self.renewed_at.is_some_and(|renewed| now.since(renewed) >= span)
    }

    /// Returns how long a worker may still hold its keys by its own clock, which may run slow, or
    /// `None` before the ranges were read.
    pub fn remaining_hold(&self, now: time::Instant) -> Option<time::Duration> {
        let renewed = self.renewed_at.filter(|_| self.ranges_loaded)?;
        let left = (renewed + GRANT_TTL).since(now + SAFETY_MARGIN);
        Some(time::Duration(left.0 * 100 / (100 + MAX_CLOCK_DRIFT_PERCENT)))
    }
}
