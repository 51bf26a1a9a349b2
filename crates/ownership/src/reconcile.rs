//! Updates reports, work and the confirmed epoch after a change.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::time;

use crate::action;
use crate::machine;
use crate::report;
use crate::slices;
use crate::timing;

impl machine::OwnershipMachine {
    /// Reports every change of leases and slices, and cancels work that must not continue.
    pub(crate) fn reconcile(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        self.reconcile_leases(now, actions);
        self.reconcile_work(now, actions);
        self.reconcile_slices(now, actions);
    }

    fn reconcile_leases(&mut self, now: time::Instant, actions: &mut Vec<action::OwnershipAction>) {
        let active = self.clock.active();
        for own_lease in self.leases.values_mut() {
            let lease = own_lease.holder.lease();
            let is_held = own_lease.holder.is_valid(now);
            let is_ended = own_lease.holder.is_ended();
            if is_held && !own_lease.is_reported_held {
                own_lease.lapsed_at = None;
                actions.push(action::OwnershipAction::LeaseGained { lease });
            }
            let is_lapse = !is_held && own_lease.is_reported_held;
            if is_lapse {
                own_lease.lapsed_at = Some(active);
            }
            if is_lapse || (is_ended && !own_lease.is_reported_ended) {
                actions.push(action::OwnershipAction::LeaseLost { lease, permanent: is_ended });
            }
            own_lease.is_reported_held = is_held;
            own_lease.is_reported_ended = is_ended;
        }
        self.end_lapsed_leases();
    }

    fn reconcile_work(&mut self, now: time::Instant, actions: &mut Vec<action::OwnershipAction>) {
        let leases = &self.leases;
        let is_held =
            |lease| leases.get(&lease).is_some_and(|own_lease| own_lease.holder.is_valid(now));
        let lost = self.work.entries.values_mut().filter(|entry| entry.lost_at.is_some());
        for entry in lost.filter(|entry| !entry.is_cancelled && is_held(entry.lease)) {
            // Both leases are held at this moment, so no other node served in between: a new
            // generation of this node takes over its own work.
            if let Some(lease) = self.slices.serving_lease(now, entry)
                && is_held(lease)
            {
                entry.lease = lease;
                entry.lost_at = None;
            }
        }
        let is_late = |lost_at: time::Instant| now.since(lost_at) >= timing::CANCEL_TIMEOUT;
        let moved = action::CancelReason::MoveBound;
        self.work.cancel(moved, |entry| entry.lost_at.is_some_and(is_late), actions);
        let lease_lost = action::CancelReason::LeaseLost;
        self.work.cancel(lease_lost, |entry| !is_held(entry.lease), actions);
        self.confirm();
    }

    /// Confirms the epoch in force once all work for lost slices has ended.
    pub(crate) fn confirm(&mut self) {
        let epoch = self.slices.document().epoch;
        if self.confirmed < epoch && self.work.lost_count() == 0 {
            self.confirmed = epoch;
        }
    }

    fn reconcile_slices(&mut self, now: time::Instant, actions: &mut Vec<action::OwnershipAction>) {
        let mut serving = BTreeMap::new();
        for key in self.slices.own_slices() {
            let slices::SliceRole::Serves { lease, fence } = self.slices.role(now, *key) else {
                continue;
            };
            if !self.is_held(now, lease) {
                continue;
            }
            if let Some((class, slice)) = self.slices.class(*key).zip(self.slices.slice(*key)) {
                let served = machine::ServedSlice { lease, fence };
                serving.insert((Arc::clone(class), slice.start), served);
            }
        }
        let served_before = std::mem::replace(&mut self.serving, serving);
        for slice in served_before.keys().filter(|slice| !self.serving.contains_key(slice)) {
            let (class, start) = (Arc::clone(&slice.0), slice.1);
            actions.push(action::OwnershipAction::StoppedServing { class, start });
        }
        let is_new = |(slice, served): &(&_, &_)| served_before.get(*slice) != Some(*served);
        for ((class, start), served) in self.serving.iter().filter(is_new) {
            actions.push(action::OwnershipAction::StartedServing {
                class: Arc::clone(class),
                start: *start,
                lease: served.lease,
                fence: served.fence,
            });
        }
    }

    /// Checks the invariants of the machine. Returns a description of the first that doesn't hold.
    pub fn check_invariants(&self, now: time::Instant) -> Result<(), &'static str> {
        let is_expired = |lease| self.slices.expiries().is_expired(lease);
        if self.leases.keys().any(|lease| self.is_held(now, *lease) && is_expired(*lease)) {
            return Err("a lease is held although it is known to have expired");
        }
        if self.confirmed > self.slices.document().epoch {
            return Err("an epoch above the document in force is confirmed");
        }
        if self.work.lost_count() > 0 && self.confirmed == self.slices.document().epoch {
            return Err("an epoch is confirmed before the work for lost slices has ended");
        }
        let is_kept =
            |lease| self.guarded_leases.get(&lease).is_some_and(|guarded| guarded.has_vouched());
        let has_vouched = |lease| self.slices.expiries().vouching_guards(lease).contains(&self.own);
        let mut leases = self.slices.leases().map(|(lease, _)| lease);
        if leases.any(|lease| has_vouched(lease) && !is_kept(lease)) {
            return Err("a vouch of this guard isn't recorded with its lease");
        }
        Ok(())
    }

    /// Returns the state for dumps.
    pub fn state(&self) -> report::OwnershipReport {
        let now = self.clock.now();
        let active = self.clock.active();
        let guarded_leases =
            self.guarded_leases.iter().map(|(lease, guarded)| report::GuardedLeaseReport {
                lease: *lease,
                silence: guarded.silence(active),
                vouched: guarded.has_vouched(),
            });
        let expired = self.slices.expiries().expired();
        report::OwnershipReport {
            epoch: self.slices.document().epoch,
            confirmed: self.confirmed,
            leases: self.leases.values().map(|own_lease| lease_report(now, own_lease)).collect(),
            guarded_leases: guarded_leases.collect(),
            expired: expired
                .map(|(lease, known_at)| report::ExpiryReport { lease, known_at })
                .collect(),
            unsettled: self.unsettled(now),
            serving: self.serving.len(),
            in_flight: self.work.entries.len(),
            work_ending: self.work.lost_count(),
            isolated: self.clock.is_isolated(),
        }
    }

    fn unsettled(&self, now: time::Instant) -> Vec<report::UnsettledReport> {
        let keys = self.slices.own_slices().iter();
        let report = |key| {
            let (slice, class) = self.slices.slice(key).zip(self.slices.class(key))?;
            let position = self.slices.position(key)?;
            let waiting = self.slices.waiting_for(now, key, slice, position);
            let waiting_for: Vec<_> =
                waiting.map(|lease| self.slices.document().lease_id(lease)).collect();
            let is_unsettled = !waiting_for.is_empty();
            is_unsettled.then(|| report::UnsettledReport {
                class: Arc::clone(class),
                start: slice.start,
                since: slice.since,
                waiting_for,
            })
        };
        keys.filter_map(|key| report(*key)).collect()
    }
}

fn lease_report(now: time::Instant, own_lease: &machine::OwnLease) -> report::LeaseReport {
    let guards = own_lease.holder.guards().iter().map(|contact| report::GuardReport {
        guard: contact.guard,
        acknowledgement_age: contact.acknowledged.map(|sent| now.since(sent)),
        refused: contact.refused,
    });
    report::LeaseReport {
        lease: own_lease.holder.lease(),
        held: own_lease.holder.is_valid(now),
        ended: own_lease.holder.is_ended(),
        valid_until: own_lease.holder.valid_until(),
        guards: guards.collect(),
    }
}
