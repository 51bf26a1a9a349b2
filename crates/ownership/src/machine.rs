//! The state machine that the node process drives.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{assignment, ident, key, time};

use crate::action;
use crate::active_clock;
use crate::contact;
use crate::error;
use crate::guard;
use crate::holder;
use crate::message;
use crate::slices;
use crate::work;

/// Interval at which a newer document of a peer is reported again.
const FETCH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A lease of this node and what was reported about it.
#[derive(Debug)]
pub(crate) struct OwnLease {
    pub(crate) holder: holder::LeaseHolder,
    /// Active time at which a lease that had been held lapsed.
    pub(crate) lapsed_at: Option<time::Instant>,
    pub(crate) is_reported_held: bool,
    pub(crate) is_reported_ended: bool,
    /// Times of the first and the latest announcement that the lease has ended.
    pub(crate) announced: Option<(time::Instant, time::Instant)>,
}

/// A slice that this node reported as served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServedSlice {
    pub(crate) lease: ident::LeaseId,
    pub(crate) fence: ident::FenceToken,
}

/// Decides which slices this process may serve.
#[derive(Debug)]
pub struct OwnershipMachine {
    pub(crate) own: ident::IncarnationId,
    pub(crate) clock: active_clock::ActiveClock,
    pub(crate) contacts: contact::PeerContacts,
    pub(crate) slices: slices::SliceOwnership,
    pub(crate) leases: BTreeMap<ident::LeaseId, OwnLease>,
    pub(crate) guarded_leases: BTreeMap<ident::LeaseId, guard::GuardedLease>,
    pub(crate) work: work::WorkTracker,
    pub(crate) serving: BTreeMap<(Arc<str>, key::KeyHash), ServedSlice>,
    pub(crate) confirmed: ident::EpochNumber,
    pub(crate) last_query: Option<time::Instant>,
    pub(crate) query_rounds: u64,
    last_fetch: Option<(ident::EpochNumber, time::Instant)>,
}

impl OwnershipMachine {
    /// Creates a machine without a document, for one run of a process.
    pub fn new(incarnation: ident::IncarnationId) -> OwnershipMachine {
        OwnershipMachine {
            own: incarnation,
            clock: active_clock::ActiveClock::default(),
            contacts: contact::PeerContacts::default(),
            slices: slices::SliceOwnership::new(incarnation),
            leases: BTreeMap::new(),
            guarded_leases: BTreeMap::new(),
            work: work::WorkTracker::default(),
            serving: BTreeMap::new(),
            confirmed: ident::EpochNumber::default(),
            last_query: None,
            query_rounds: 0,
            last_fetch: None,
        }
    }

    /// Puts a document of a higher epoch in force.
    pub fn adopt(
        &mut self,
        now: time::Instant,
        document: Arc<assignment::AssignmentDocument>,
    ) -> Result<Vec<action::OwnershipAction>, error::AdoptError> {
        error::validate(self.slices.document(), &document)?;
        let mut actions = Vec::new();
        self.clock.observe(now);
        self.clock.adopt(self.own, &document);
        self.slices.adopt(now, document);
        self.contacts.adopt(self.clock.active(), self.slices.members());
        self.adopt_guarded_leases();
        self.adopt_leases(now);
        self.mark_lost_work(now);
        self.renew(now, &mut actions);
        self.reconcile(now, &mut actions);
        Ok(actions)
    }

    /// Advances timers; call it every 20 to 50 ms.
    pub fn tick(&mut self, now: time::Instant) -> Vec<action::OwnershipAction> {
        let mut actions = Vec::new();
        self.clock.observe(now);
        self.renew(now, &mut actions);
        self.send_queries(now, &mut actions);
        self.reconcile(now, &mut actions);
        self.announce_releases(now, &mut actions);
        actions
    }

    /// Handles a datagram from a peer. Read `now` after the datagram was received: a guard counts
    /// from receipt, and an older time would let it vouch too early.
    pub fn receive(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        message: message::OwnershipMessage,
    ) -> Vec<action::OwnershipAction> {
        let mut actions = Vec::new();
        self.clock.observe(now);
        if from == self.own {
            return actions;
        }
        self.record_contact(now, from, &mut actions);
        if self.handle_message(now, from, message, &mut actions) {
            self.reconcile(now, &mut actions);
        }
        actions
    }

    /// Records a response of a peer to a message of this node, such as a `ProbeAck`. Unsolicited
    /// messages don't count, as they don't show that the peer receives anything.
    pub fn record_peer_response(
        &mut self,
        now: time::Instant,
        peer: ident::IncarnationId,
    ) -> Vec<action::OwnershipAction> {
        let mut actions = Vec::new();
        self.clock.observe(now);
        self.record_contact(now, peer, &mut actions);
        self.contacts.record_response(self.clock.active(), peer);
        actions
    }

    /// Restarts the silence of a peer that has no unanswered probe. A node probes only some of its
    /// peers often, and querying the guards of all others would cause far more traffic than the
    /// probes. Unlike a response, this doesn't end an isolation.
    pub fn reset_peer_silence(&mut self, peer: ident::IncarnationId) {
        self.contacts.reset_silence(self.clock.active(), peer);
    }

    /// Returns the members to try for a request, in order: the probable server, then the other
    /// members of the chain. Members known to have expired are left out, and members that stopped
    /// responding come last.
    pub fn route(&self, slice: assignment::SliceKey) -> Vec<ident::IncarnationId> {
        let active = self.clock.active();
        self.slices.route(slice, |member| self.contacts.has_stopped_responding(active, member))
    }

    /// Returns whether this node may serve a slice of the document in force.
    pub fn grant(&self, now: time::Instant, slice: assignment::SliceKey) -> action::GrantDecision {
        let (lease, fence) = match self.slices.role(now, slice) {
            slices::SliceRole::Serves { lease, fence } => (lease, Some(fence)),
            slices::SliceRole::Pending { lease } => (lease, None),
            slices::SliceRole::Other { holder } => {
                return action::GrantDecision::NotOwner { holder };
            }
        };
        let Some(own_lease) =
            self.leases.get(&lease).filter(|own_lease| !own_lease.holder.is_ended())
        else {
            return action::GrantDecision::NotOwner { holder: self.slices.other_holder(slice) };
        };
        match (fence, own_lease.holder.valid_until()) {
            (Some(fence), Some(valid_until)) if own_lease.holder.is_valid(now) => {
                action::GrantDecision::Granted { lease, fence, valid_until }
            }
            _ => action::GrantDecision::Wait,
        }
    }

    /// Begins work on a request for any key of a slice. Fails with the decision if this node may
    /// not serve the slice.
    pub fn begin(
        &mut self,
        now: time::Instant,
        slice: assignment::SliceKey,
    ) -> Result<action::WorkTicket, action::GrantDecision> {
        let range = self.slices.range(slice);
        self.begin_range(now, slice, range)
    }

    /// Begins work on a request for one key. Fails with the decision if this node may not serve its
    /// slice. A later split of the slice affects the request only if its own key is moved, so
    /// prefer this to `begin`.
    pub fn begin_key(
        &mut self,
        now: time::Instant,
        class: &str,
        hash: key::KeyHash,
    ) -> Result<action::WorkTicket, action::GrantDecision> {
        let Some(slice) = self.slices.document().locate(class, hash) else {
            return Err(action::GrantDecision::NotOwner { holder: None });
        };
        self.begin_range(now, slice, Some((hash, hash)))
    }

    /// Ends a piece of work. An epoch is confirmed only after the work for lost slices has ended.
    #[expect(clippy::needless_pass_by_value, reason = "a ticket is ended once")]
    pub fn end(&mut self, ticket: action::WorkTicket) {
        let action::WorkTicket { work, .. } = ticket;
        self.work.end(work);
        self.confirm();
    }

    /// Returns whether work may be dispatched now, or its response may be passed on now.
    pub fn check(&self, now: time::Instant, ticket: &action::WorkTicket) -> bool {
        let entry = self.work.entries.get(&ticket.work);
        entry.is_some_and(|entry| !entry.is_cancelled && self.is_held(now, entry.lease))
    }

    /// Returns the end of the lease of a piece of work, including renewals since the work began.
    pub fn lease_end(&self, ticket: &action::WorkTicket) -> time::Instant {
        let own_lease = self.leases.get(&ticket.lease);
        own_lease.and_then(|own_lease| own_lease.holder.valid_until()).unwrap_or(ticket.valid_until)
    }

    /// Gives up all leases for good. Cancels work in flight and tells peers once it has ended. A
    /// later document may name a new generation: call this again if that lease must not be used.
    pub fn release(&mut self, now: time::Instant) -> Vec<action::OwnershipAction> {
        let mut actions = Vec::new();
        self.clock.observe(now);
        self.leases.values_mut().for_each(|own_lease| own_lease.holder.end());
        self.reconcile(now, &mut actions);
        self.announce_releases(now, &mut actions);
        actions
    }

    /// Records that an upstream, queried directly, now refuses every fence of `lease` below the
    /// fence of this node for a slice. The evidence holds for this slice and this chain only.
    pub fn record_fence_refusal(
        &mut self,
        now: time::Instant,
        slice: assignment::SliceKey,
        lease: ident::LeaseId,
    ) -> Vec<action::OwnershipAction> {
        let mut actions = Vec::new();
        self.clock.observe(now);
        self.slices.record_refusal(slice, lease);
        self.reconcile(now, &mut actions);
        actions
    }

    /// Returns the messages that prove the expiry of a lease to a peer; empty unless the lease is
    /// known to have expired by vouches or by release.
    pub fn evidence(&self, lease: ident::LeaseId) -> Vec<message::OwnershipMessage> {
        let expiries = self.slices.expiries();
        if expiries.is_released(lease) {
            return vec![message::OwnershipMessage::Released { lease }];
        }
        let guards = expiries.vouching_guards(lease).to_vec();
        if guards.is_empty() || !expiries.is_expired(lease) {
            return Vec::new();
        }
        vec![message::OwnershipMessage::Vouch { lease, guards }]
    }

    /// Returns the number of pieces of work that have begun and not ended.
    pub fn work_in_flight(&self) -> usize {
        self.work.entries.len()
    }

    /// Returns the highest epoch that this process has confirmed.
    pub fn confirmed_epoch(&self) -> ident::EpochNumber {
        self.confirmed
    }

    /// Returns whether a lease of this node is held.
    pub(crate) fn is_held(&self, now: time::Instant, lease: ident::LeaseId) -> bool {
        self.leases.get(&lease).is_some_and(|own_lease| own_lease.holder.is_valid(now))
    }

    fn begin_range(
        &mut self,
        now: time::Instant,
        slice: assignment::SliceKey,
        range: Option<(key::KeyHash, key::KeyHash)>,
    ) -> Result<action::WorkTicket, action::GrantDecision> {
        let decision = self.grant(now, slice);
        let action::GrantDecision::Granted { lease, fence, valid_until } = decision else {
            return Err(decision);
        };
        let Some(((start, last), class)) = range.zip(self.slices.class(slice).cloned()) else {
            return Err(action::GrantDecision::NotOwner { holder: None });
        };
        let entry =
            work::WorkEntry { class, start, last, lease, lost_at: None, is_cancelled: false };
        let work = self.work.begin(entry);
        Ok(action::WorkTicket { work, lease, fence, valid_until })
    }

    fn adopt_guarded_leases(&mut self) {
        let active = self.clock.active();
        let is_guard = |record: &assignment::LeaseRecord| {
            let document = self.slices.document();
            record.guards.iter().any(|guard| document.member(*guard).incarnation == self.own)
        };
        let retired_by_lease: BTreeMap<_, _> = self
            .slices
            .leases()
            .filter(|(_, record)| is_guard(record))
            .map(|(lease, record)| (lease, record.retired))
            .collect();
        // A vouch is permanent, even if a document stops naming the lease.
        self.guarded_leases
            .retain(|lease, guarded| guarded.has_vouched() || retired_by_lease.contains_key(lease));
        for (lease, is_retired) in retired_by_lease {
            let guarded = self
                .guarded_leases
                .entry(lease)
                .or_insert_with(|| guard::GuardedLease::new(active));
            if is_retired {
                guarded.refuse_renewals();
            }
        }
    }

    fn adopt_leases(&mut self, now: time::Instant) {
        let own_leases: Vec<_> = self
            .slices
            .leases()
            .map(|(lease, _)| lease)
            .filter(|lease| lease.incarnation == self.own)
            .collect();
        for lease in own_leases {
            let guards = self.slices.lease_key(lease).map(|key| self.slices.guards(key));
            let own_lease = self.leases.entry(lease).or_insert_with(|| OwnLease {
                holder: holder::LeaseHolder::new(now, lease, guards.unwrap_or_default()),
                lapsed_at: None,
                is_reported_held: false,
                is_reported_ended: false,
                announced: None,
            });
            if self.slices.expiries().is_expired(lease) {
                own_lease.holder.end();
            }
        }
        let (slices, work) = (&self.slices, &self.work);
        self.leases.retain(|lease, own_lease| {
            own_lease.holder.is_ended()
                || slices.lease_key(*lease).is_some()
                || work.uses_lease(*lease)
        });
    }

    fn mark_lost_work(&mut self, now: time::Instant) {
        for entry in self.work.entries.values_mut() {
            if entry.lost_at.is_none() && !self.slices.serves_range(now, entry) {
                entry.lost_at = Some(now);
            }
        }
    }

    fn record_contact(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        if self.clock.record_datagram(from) {
            // Guards count no silence while they are isolated; renew before they resume.
            self.leases.values_mut().for_each(|own_lease| own_lease.holder.force_renewal());
            self.renew(now, actions);
        }
    }

    /// Reports a newer document of a peer, unless one of this epoch or a later one was reported
    /// within `FETCH_INTERVAL`.
    pub(crate) fn report_newer_epoch(
        &mut self,
        now: time::Instant,
        from: ident::IncarnationId,
        epoch: ident::EpochNumber,
        actions: &mut Vec<action::OwnershipAction>,
    ) {
        let is_repeated = self
            .last_fetch
            .is_some_and(|(reported, at)| epoch <= reported && now.since(at) < FETCH_INTERVAL);
        if epoch <= self.slices.document().epoch || is_repeated {
            return;
        }
        self.last_fetch = Some((epoch, now));
        actions.push(action::OwnershipAction::FetchDocument { from, epoch });
    }
}
