//! Datagrams between machines: renewals, vouches, confirmations and releases.

use std::collections::BTreeSet;

use cornelridge_model::{ident, time};

use crate::action;
use crate::guard;
use crate::machine;
use crate::message;
use crate::timing;

/// Only one in so many rounds queries about a member that has been silent for `SLOW_QUERY_AFTER`.
const SLOW_QUERY_ROUNDS: u64 = 4;

impl machine::OwnershipMachine {
    /// Sends due renewals.
    pub(crate) fn renew(&mut self, now: time::Instant, actions: &mut Vec<action::OwnershipAction>) {
        let epoch = self.slices.document().epoch;
        let slices = &self.slices;
        // A lease that the document in force doesn't name is kept only until its work has ended.
        let named = self
            .leases
            .values_mut()
            .filter(|own_lease| slices.lease_key(own_lease.holder.lease()).is_some());
        let renewals: Vec<_> = named
            .filter_map(|own_lease| {
                let (sequence, guards) = own_lease.holder.renew(now)?;
                Some((own_lease.holder.lease(), sequence, guards))
            })
            .collect();
        for (lease, sequence, guards) in renewals {
            for guard in guards {
                let message = message::OwnershipMessage::Renew { lease, sequence, epoch };
                self.send(now, guard, message, actions);
            }
        }
    }

    /// Queries the expiries and confirmations that this node waits for.
    pub(crate) fn send_queries(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        // Ticks come every 20 to 50 ms. With half an interval, an early tick still starts its
        // round.
        let min_interval = time::Duration(timing::QUERY_INTERVAL.0 / 2);
        if self.last_query.is_some_and(|last_query| now.since(last_query) < min_interval) {
            return;
        }
        self.last_query = Some(now);
        self.query_rounds += 1;
        let active = self.clock.active();
        let queries =
            self.slices.pending_queries(now, |member| self.contacts.is_silent(active, member));
        for (lease, peer) in queries.leases {
            let lease = self.slices.document().lease_id(lease);
            let silence = self.contacts.silence(active, lease.incarnation);
            if silence < timing::SLOW_QUERY_AFTER
                || self.query_rounds.is_multiple_of(SLOW_QUERY_ROUNDS)
            {
                self.send(now, peer, message::OwnershipMessage::VouchQuery { lease }, actions);
            }
        }
        for ((member, peer), epoch) in queries.confirms {
            let message = message::OwnershipMessage::ConfirmQuery { epoch, member };
            self.send(now, peer, message, actions);
        }
    }

    /// Announces to peers which leases of this node have ended, repeatedly since datagrams are
    /// lost.
    pub(crate) fn announce_releases(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        let due: Vec<_> = self
            .leases
            .values()
            .filter(|own_lease| self.is_announcement_due(now, own_lease))
            .map(|own_lease| own_lease.holder.lease())
            .collect();
        for lease in due {
            let Some(own_lease) = self.leases.get_mut(&lease) else {
                continue;
            };
            let first = own_lease.announced.map_or(now, |(first, _)| first);
            own_lease.announced = Some((first, now));
            self.slices.expiries.record_release(now, lease);
            for peer in self.slices.lease_peers(lease) {
                self.send(now, peer, message::OwnershipMessage::Released { lease }, actions);
            }
        }
    }

    fn is_announcement_due(&self, now: time::Instant, own_lease: &machine::OwnLease) -> bool {
        let lease = own_lease.holder.lease();
        if !own_lease.holder.is_ended() || self.slices.lease_key(lease).is_none() {
            return false;
        }
        if let Some((first, latest)) = own_lease.announced {
            let is_new = now.since(first) < time::Duration::from_secs(1);
            let interval =
                if is_new { timing::RENEW_INTERVAL } else { timing::SLOW_ANNOUNCE_INTERVAL };
            return now.since(latest) >= interval;
        }
        // A successor may serve as soon as it learns of a release, so the work has to end first.
        // Once the lease has expired, the successor could serve anyway.
        let has_expired = own_lease.holder.valid_until().is_none_or(|until| until <= now);
        has_expired || !self.work.uses_lease(lease)
    }

    /// Handles a message. Returns whether the role of this node in a slice may have changed.
    pub(crate) fn handle_message(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        message: message::OwnershipMessage,
        actions: &mut Vec<action::OwnershipAction>,
    ) -> bool {
        match message {
            message::OwnershipMessage::Renew { lease, sequence, epoch } => {
                self.report_newer_epoch(now, from, epoch, actions);
                self.handle_renewal(now, from, (lease, sequence, epoch), actions);
                false
            }
            message::OwnershipMessage::RenewAck { lease, sequence, epoch } => {
                self.report_newer_epoch(now, from, epoch, actions);
                self.contacts.record_response(self.clock.active(), from);
                let was_held = self.is_held(now, lease);
                if let Some(own_lease) = self.leases.get_mut(&lease) {
                    own_lease.holder.record_ack(from, sequence);
                }
                !was_held && self.is_held(now, lease)
            }
            message::OwnershipMessage::RenewRefused { lease, epoch } => {
                self.report_newer_epoch(now, from, epoch, actions);
                self.contacts.record_response(self.clock.active(), from);
                let Some(own_lease) = self.leases.get_mut(&lease) else {
                    return false;
                };
                own_lease.holder.record_refusal(from);
                own_lease.holder.is_ended()
            }
            message::OwnershipMessage::VouchQuery { lease } => {
                self.handle_vouch_query(now, from, lease, actions)
            }
            message::OwnershipMessage::Vouch { lease, guards } => {
                self.record_vouches(now, lease, &guards)
            }
            message::OwnershipMessage::ConfirmQuery { epoch, member } => {
                self.report_newer_epoch(now, from, epoch, actions);
                self.handle_confirm_query(now, from, epoch, member, actions);
                false
            }
            message::OwnershipMessage::Confirm { member, epoch } => {
                if member == self.own {
                    return false;
                }
                if member == from {
                    self.contacts.record_response(self.clock.active(), from);
                }
                self.slices.record_confirmation(member, epoch)
            }
            message::OwnershipMessage::Released { lease } => self.record_release(now, lease),
        }
    }

    fn handle_renewal(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        (lease, sequence, offered): (ident::LeaseId, u64, ident::EpochNumber),
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        if from != lease.incarnation {
            return;
        }
        let epoch = self.slices.document().epoch;
        let active = self.clock.active();
        let is_renewed = match self.guarded_leases.get_mut(&lease) {
            Some(guarded) => guarded.renew(active, sequence),
            // The document in force is later than the holder's and has dropped the lease. If it is
            // earlier, it may just not name the lease yet.
            None if self.slices.lease_key(lease).is_none() && offered < epoch => false,
            None => return,
        };
        let message = match is_renewed {
            true => message::OwnershipMessage::RenewAck { lease, sequence, epoch },
            false => message::OwnershipMessage::RenewRefused { lease, epoch },
        };
        self.send(now, from, message, actions);
    }

    fn handle_vouch_query(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        lease: ident::LeaseId,
        actions: &mut Vec<action::OwnershipAction>,
    ) -> bool {
        if self.slices.lease_key(lease).is_none() || !self.slices.has_member(from) {
            return false;
        }
        if self.slices.expiries().is_released(lease) {
            self.send(now, from, message::OwnershipMessage::Released { lease }, actions);
            return false;
        }
        let active = self.clock.active();
        let guarded: Option<&mut guard::GuardedLease> = self.guarded_leases.get_mut(&lease);
        let has_vouched = guarded.is_some_and(|guarded| guarded.vouch(active));
        let own = self.own;
        let is_changed = has_vouched && self.record_vouches(now, lease, &[own]);
        let guards = self.slices.expiries().vouching_guards(lease).to_vec();
        if !guards.is_empty() {
            self.send(now, from, message::OwnershipMessage::Vouch { lease, guards }, actions);
        }
        is_changed
    }

    fn record_vouches(
        &mut self,
        now: time::Instant,
        lease: ident::LeaseId,
        guards: &[ident::IncarnationId],
    ) -> bool {
        let Some(key) = self.slices.lease_key(lease) else {
            return false;
        };
        let guard_set = self.slices.guards(key);
        let is_expired = self.slices.expiries.record_vouches(now, lease, &guard_set, guards);
        self.end_expired(lease);
        is_expired
    }

    fn record_release(&mut self, now: time::Instant, lease: ident::LeaseId) -> bool {
        if self.slices.lease_key(lease).is_none() {
            return false;
        }
        let is_expired = self.slices.expiries.record_release(now, lease);
        self.end_expired(lease);
        is_expired
    }

    fn end_expired(&mut self, lease: ident::LeaseId) {
        if self.slices.expiries().is_expired(lease)
            && let Some(own_lease) = self.leases.get_mut(&lease)
        {
            own_lease.holder.end();
        }
    }

    fn handle_confirm_query(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        epoch: ident::EpochNumber,
        member: ident::IncarnationId,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        let known = match member == self.own {
            true => self.confirmed,
            false => self.slices.confirmed_epoch(member),
        };
        if member == self.own || known >= epoch {
            let message = message::OwnershipMessage::Confirm { member, epoch: known };
            self.send(now, from, message, actions);
        }
    }

    /// Sends a message. A message to this node itself is handled at once.
    fn send(
        &mut self,
        now: time::Instant,
        to: ident::IncarnationId,
        message: message::OwnershipMessage,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        if to != self.own {
            actions.push(action::OwnershipAction::Send { to, message });
            return;
        }
        // A node may guard its own lease or one that it succeeds. The next tick reconciles the
        // rest.
        self.handle_message(now, to, message, actions);
    }

    /// Gives up leases that this node has failed to renew for `LAPSE_TIMEOUT` although successors
    /// respond. With one guard that has vouched and one that is lost, the holder can't renew and
    /// the guards can't vouch, so nobody could serve.
    pub(crate) fn end_lapsed_leases(&mut self) {
        let active = self.clock.active();
        let is_due = |own_lease: &&machine::OwnLease| {
            let is_long = |lapsed| active.since(lapsed) >= timing::LAPSE_TIMEOUT;
            !own_lease.holder.is_ended() && own_lease.lapsed_at.is_some_and(is_long)
        };
        let lapsed = self.leases.values().filter(is_due).map(|own_lease| own_lease.holder.lease());
        let abandoned: BTreeSet<_> = lapsed
            .filter(|lease| {
                let is_responding = |member| self.contacts.is_responding(active, member);
                self.slices.has_ready_successors(*lease, is_responding)
            })
            .collect();
        for lease in abandoned {
            if let Some(own_lease) = self.leases.get_mut(&lease) {
                own_lease.holder.end();
            }
        }
    }
}
