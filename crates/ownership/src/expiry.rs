//! Evidence that leases have expired.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{ident, key, time};

use crate::holder;

#[derive(Debug, Default)]
struct LeaseEvidence {
    vouching_guards: Vec<ident::IncarnationId>,
    is_released: bool,
    known_at: Option<time::Instant>,
}

/// Evidence that an upstream refuses the fences of a lease below `since` for a range of keys.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct FenceRefusal {
    pub(crate) lease: ident::LeaseId,
    pub(crate) class: Arc<str>,
    pub(crate) start: key::KeyHash,
    pub(crate) last: key::KeyHash,
    pub(crate) since: ident::EpochNumber,
}

/// Collects evidence of expiry; an expiry is permanent.
#[derive(Debug, Default)]
pub struct ExpiryTracker {
    leases: BTreeMap<ident::LeaseId, LeaseEvidence>,
    refusals: Vec<FenceRefusal>,
}

impl ExpiryTracker {
    /// Records vouches by guards of the lease and ignores vouches by other members. Returns whether
    /// the lease is newly known to have expired.
    pub fn record_vouches(
        &mut self,
        now: time::Instant,
        lease: ident::LeaseId,
        guard_set: &[ident::IncarnationId],
        vouching_guards: &[ident::IncarnationId],
    ) -> bool {
        let evidence = self.leases.entry(lease).or_default();
        for guard in vouching_guards.iter().filter(|guard| guard_set.contains(guard)) {
            if !evidence.vouching_guards.contains(guard) {
                evidence.vouching_guards.push(*guard);
            }
        }
        let is_majority = evidence.vouching_guards.len() >= holder::majority(guard_set.len());
        is_majority && evidence.mark_expired(now)
    }

    /// Records that the holder gave the lease up. Returns whether the lease is newly known to have
    /// expired.
    pub fn record_release(&mut self, now: time::Instant, lease: ident::LeaseId) -> bool {
        let evidence = self.leases.entry(lease).or_default();
        evidence.is_released = true;
        evidence.mark_expired(now)
    }

    /// Records that an operator declared the holder dead. Returns whether the lease is newly known
    /// to have expired.
    pub fn record_retirement(&mut self, now: time::Instant, lease: ident::LeaseId) -> bool {
        self.leases.entry(lease).or_default().mark_expired(now)
    }

    /// Records the refusal of an upstream that checks fences and was queried directly.
    pub(crate) fn record_refusal(&mut self, refusal: FenceRefusal) {
        if !self.refusals.contains(&refusal) {
            self.refusals.push(refusal);
        }
    }

    /// Returns whether an upstream's refusal covers a range under a chain that began at `since`.
    pub(crate) fn is_refused(
        &self,
        lease: ident::LeaseId,
        since: ident::EpochNumber,
        class: &str,
        range: (key::KeyHash, key::KeyHash),
    ) -> bool {
        self.refusals.iter().any(|refusal| {
            refusal.lease == lease
                && refusal.since == since
                && *refusal.class == *class
                && refusal.start <= range.0
                && range.1 <= refusal.last
        })
    }

    /// Returns the time at which this process learnt that the lease expired.
    pub fn known_at(&self, lease: ident::LeaseId) -> Option<time::Instant> {
        self.leases.get(&lease)?.known_at
    }

    /// Returns whether the lease is known to have expired.
    pub fn is_expired(&self, lease: ident::LeaseId) -> bool {
        self.known_at(lease).is_some()
    }

    /// Returns whether the holder is known to have given the lease up.
    pub fn is_released(&self, lease: ident::LeaseId) -> bool {
        self.leases.get(&lease).is_some_and(|evidence| evidence.is_released)
    }

    /// Returns the guards that are known to have vouched; they are relayed to any peer that
    /// queries.
    pub fn vouching_guards(&self, lease: ident::LeaseId) -> &[ident::IncarnationId] {
        self.leases.get(&lease).map_or(&[], |evidence| &evidence.vouching_guards)
    }

    /// Returns all leases known to have expired, with the time at which this process learnt it.
    pub fn expired(&self) -> impl Iterator<Item = (ident::LeaseId, time::Instant)> + '_ {
        self.leases.iter().filter_map(|(lease, evidence)| Some((*lease, evidence.known_at?)))
    }

    /// Removes the evidence and the refusals of leases that are no longer named.
    pub(crate) fn retain(&mut self, is_named: impl Fn(&ident::LeaseId) -> bool) {
        self.leases.retain(|lease, _| is_named(lease));
        self.refusals.retain(|refusal| is_named(&refusal.lease));
    }
}

impl LeaseEvidence {
    fn mark_expired(&mut self, now: time::Instant) -> bool {
        let is_new = self.known_at.is_none();
        self.known_at.get_or_insert(now);
        is_new
    }
}
