//! Rules that decide who may serve a slice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cornelridge_model::{assignment, ident, key, time};

use crate::expiry;
use crate::timing;
use crate::work;

/// Role of this node in a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliceRole {
    /// This node may serve while it holds the lease.
    Serves {
        /// The lease.
        lease: ident::LeaseId,
        /// Token for the upstream.
        fence: ident::FenceToken,
    },
    /// This node is to serve once the move is settled and every takeover delay has passed.
    Pending {
        /// The lease.
        lease: ident::LeaseId,
    },
    /// Another node is to serve.
    Other {
        /// The node that probably serves the slice, if known.
        holder: Option<ident::IncarnationId>,
    },
}

/// Queries to send so that this node may serve its slices.
#[derive(Debug, Default)]
pub(crate) struct SliceQueries {
    /// Leases that may have expired, with the peers to query.
    pub(crate) leases: BTreeSet<(assignment::LeaseKey, ident::IncarnationId)>,
    /// Epochs that may have been confirmed, by member and peer to query.
    pub(crate) confirms: BTreeMap<(ident::IncarnationId, ident::IncarnationId), ident::EpochNumber>,
}

/// Applies the rules of succession and settlement to the document in force.
#[derive(Debug)]
pub struct SliceOwnership {
    own: ident::IncarnationId,
    own_key: Option<assignment::MemberKey>,
    document: Arc<assignment::AssignmentDocument>,
    leases: BTreeMap<ident::LeaseId, assignment::LeaseKey>,
    members: BTreeMap<ident::IncarnationId, assignment::MemberKey>,
    own_slices: Vec<assignment::SliceKey>,
    confirmed: BTreeMap<ident::IncarnationId, ident::EpochNumber>,
    pub(crate) expiries: expiry::ExpiryTracker,
}

impl SliceOwnership {
    /// Creates the state without a document.
    pub fn new(own: ident::IncarnationId) -> SliceOwnership {
        SliceOwnership {
            own,
            own_key: None,
            document: Arc::default(),
            leases: BTreeMap::new(),
            members: BTreeMap::new(),
            own_slices: Vec::new(),
            confirmed: BTreeMap::new(),
            expiries: expiry::ExpiryTracker::default(),
        }
    }

    /// Puts a validated document in force.
    pub fn adopt(&mut self, now: time::Instant, document: Arc<assignment::AssignmentDocument>) {
        self.leases = index_leases(&document);
        self.members = index_members(&document);
        self.own_key = self.members.get(&self.own).copied();
        self.confirmed.retain(|member, _| self.members.contains_key(member));
        self.expiries.retain(|lease| self.leases.contains_key(lease));
        for (lease, key) in &self.leases {
            if document.lease(*key).retired {
                self.expiries.record_retirement(now, *lease);
            }
        }
        self.document = document;
        self.own_slices = self.slice_keys().filter(|key| self.position(*key).is_some()).collect();
    }

    /// Returns the document in force.
    pub fn document(&self) -> &assignment::AssignmentDocument {
        &self.document
    }

    /// Returns the evidence of expiry.
    pub fn expiries(&self) -> &expiry::ExpiryTracker {
        &self.expiries
    }

    /// Records a confirmation if it is the member's highest. Returns whether it is.
    pub fn record_confirmation(
        &mut self,
        member: ident::IncarnationId,
        epoch: ident::EpochNumber,
    ) -> bool {
        let is_new = self.members.contains_key(&member) && epoch > self.confirmed_epoch(member);
        if is_new {
            self.confirmed.insert(member, epoch);
        }
        is_new
    }

    /// Returns the highest epoch that a member is known to have confirmed.
    pub fn confirmed_epoch(&self, member: ident::IncarnationId) -> ident::EpochNumber {
        self.confirmed.get(&member).copied().unwrap_or_default()
    }

    /// Returns the key of a lease in the document in force.
    pub(crate) fn lease_key(&self, lease: ident::LeaseId) -> Option<assignment::LeaseKey> {
        self.leases.get(&lease).copied()
    }

    /// Returns whether the document in force names a member.
    pub(crate) fn has_member(&self, member: ident::IncarnationId) -> bool {
        self.members.contains_key(&member)
    }

    /// Returns all leases of the document in force.
    pub(crate) fn leases(
        &self,
    ) -> impl Iterator<Item = (ident::LeaseId, &assignment::LeaseRecord)> {
        self.leases.iter().map(|(lease, key)| (*lease, self.document.lease(*key)))
    }

    /// Returns all members of the document in force.
    pub(crate) fn members(&self) -> impl Iterator<Item = ident::IncarnationId> + '_ {
        self.members.keys().copied()
    }

    /// Returns the guards of a lease.
    pub(crate) fn guards(&self, lease: assignment::LeaseKey) -> Vec<ident::IncarnationId> {
        let guards = &self.document.lease(lease).guards;
        guards.iter().map(|guard| self.document.member(*guard).incarnation).collect()
    }

    /// Returns the slices with this node in their chain.
    pub(crate) fn own_slices(&self) -> &[assignment::SliceKey] {
        &self.own_slices
    }

    /// Returns the slice at a key, which may come from another document.
    pub(crate) fn slice(&self, key: assignment::SliceKey) -> Option<&assignment::SliceRecord> {
        self.document.classes.get(usize::from(key.class))?.slices.get(key.slice as usize)
    }

    /// Returns the first and the last hash of a slice.
    pub(crate) fn range(&self, key: assignment::SliceKey) -> Option<(key::KeyHash, key::KeyHash)> {
        let slices = &self.document.classes.get(usize::from(key.class))?.slices;
        let start = slices.get(key.slice as usize)?.start;
        let next = slices.get(key.slice as usize + 1);
        Some((start, next.map_or(key::KeyHash(u64::MAX), |next| key::KeyHash(next.start.0 - 1))))
    }

    /// Returns the name of the class of a slice.
    pub(crate) fn class(&self, key: assignment::SliceKey) -> Option<&Arc<str>> {
        self.document.classes.get(usize::from(key.class)).map(|slices| &slices.class)
    }

    /// Returns the role of this node in a slice.
    pub fn role(&self, now: time::Instant, key: assignment::SliceKey) -> SliceRole {
        let Some(slice) = self.slice(key) else {
            return SliceRole::Other { holder: None };
        };
        let holder = || self.likely_holder(slice);
        let Some(position) = self.position(key) else {
            return SliceRole::Other { holder: holder() };
        };
        let earlier = &slice.chain[..position];
        if !earlier.iter().all(|lease| self.is_expired(key, slice, *lease)) {
            return SliceRole::Other { holder: holder() };
        }
        let lease = self.document.lease_id(slice.chain[position]);
        let is_settled =
            earlier.iter().all(|lease| self.is_safely_expired(now, key, slice, *lease))
                && self.waiting_for(now, key, slice, position).next().is_none();
        if !is_settled {
            return SliceRole::Pending { lease };
        }
        let fence = ident::FenceToken { since: slice.since, position: position as u32 };
        SliceRole::Serves { lease, fence }
    }

    /// Returns the leases of the previous chain that have neither confirmed nor expired.
    pub(crate) fn waiting_for<'a>(
        &'a self,
        now: time::Instant,
        key: assignment::SliceKey,
        slice: &'a assignment::SliceRecord,
        position: usize,
    ) -> impl Iterator<Item = assignment::LeaseKey> + 'a {
        let lease = slice.chain[position];
        let end = slice.previous.iter().position(|previous| *previous == lease);
        let earlier = &slice.previous[..end.unwrap_or(slice.previous.len())];
        earlier.iter().copied().filter(move |previous| {
            let holder = self.document.holder(*previous).incarnation;
            // Both leases of this node are served by one process, which has adopted the document.
            let is_done = holder == self.own || self.confirmed_epoch(holder) >= slice.since;
            !is_done && !self.is_safely_expired(now, key, slice, *previous)
        })
    }

    /// Returns the members of a chain in the order in which to try them.
    pub(crate) fn route(
        &self,
        key: assignment::SliceKey,
        is_silent: impl Fn(ident::IncarnationId) -> bool,
    ) -> Vec<ident::IncarnationId> {
        let Some(slice) = self.slice(key) else {
            return Vec::new();
        };
        let unexpired = slice.chain.iter().filter(|lease| !self.is_expired(key, slice, **lease));
        let mut members: Vec<_> =
            unexpired.map(|lease| self.document.holder(*lease).incarnation).collect();
        members.sort_by_key(|member| is_silent(*member));
        members
    }

    /// Returns the member, other than this node, that probably serves a slice.
    pub(crate) fn other_holder(&self, key: assignment::SliceKey) -> Option<ident::IncarnationId> {
        self.likely_holder(self.slice(key)?)
    }

    /// Records that an upstream refuses the earlier fences of a lease for a slice.
    pub(crate) fn record_refusal(&mut self, key: assignment::SliceKey, lease: ident::LeaseId) {
        let location = self.slice(key).zip(self.class(key)).zip(self.range(key));
        let Some(((slice, class), (start, last))) = location else {
            return;
        };
        let (class, since) = (Arc::clone(class), slice.since);
        self.expiries.record_refusal(expiry::FenceRefusal { lease, class, start, last, since });
    }

    /// Returns whether this node may serve the range of the entry now, under the lease of the
    /// entry.
    pub(crate) fn serves_range(&self, now: time::Instant, entry: &work::WorkEntry) -> bool {
        self.serving_lease(now, entry) == Some(entry.lease)
    }

    /// Returns the lease under which this node may serve the whole range of the entry now.
    pub(crate) fn serving_lease(
        &self,
        now: time::Instant,
        entry: &work::WorkEntry,
    ) -> Option<ident::LeaseId> {
        let (class, slices) = self.document.class(&entry.class)?;
        let first = slices.find(entry.start)?;
        let last = slices.find(entry.last)?;
        let mut leases = (first..=last).map(|slice| {
            let key = assignment::SliceKey { class, slice: slice as u32 };
            match self.role(now, key) {
                SliceRole::Serves { lease, .. } => Some(lease),
                SliceRole::Pending { .. } | SliceRole::Other { .. } => None,
            }
        });
        let lease = leases.next()??;
        leases.all(|other| other == Some(lease)).then_some(lease)
    }

    /// Returns the queries to send so that this node may serve its slices.
    pub(crate) fn pending_queries(
        &self,
        now: time::Instant,
        is_silent: impl Fn(ident::IncarnationId) -> bool,
    ) -> SliceQueries {
        let mut queries = SliceQueries::default();
        for key in &self.own_slices {
            let Some((slice, position)) = self.slice(*key).zip(self.position(*key)) else {
                continue;
            };
            let holder = |lease: &assignment::LeaseKey| self.document.holder(*lease).incarnation;
            if self.expiries.is_expired(self.document.lease_id(slice.chain[position])) {
                continue;
            }
            let is_unexpired =
                |lease: &&assignment::LeaseKey| !self.is_expired(*key, slice, **lease);
            let unexpired: Vec<_> = slice.chain[..position].iter().filter(is_unexpired).collect();
            for lease in unexpired.iter().filter(|lease| is_silent(holder(lease))) {
                self.query_expiry(slice, **lease, &mut queries);
            }
            if !unexpired.iter().all(|lease| is_silent(holder(lease))) {
                continue;
            }
            for lease in self.waiting_for(now, *key, slice, position).collect::<Vec<_>>() {
                self.query_settlement(slice, lease, is_silent(holder(&lease)), &mut queries);
            }
        }
        queries
    }

    fn query_expiry(
        &self,
        slice: &assignment::SliceRecord,
        lease: assignment::LeaseKey,
        queries: &mut SliceQueries,
    ) {
        if self.expiries.is_expired(self.document.lease_id(lease)) {
            return;
        }
        let peers = self.peers(slice).chain(self.guards(lease));
        queries.leases.extend(peers.map(|peer| (lease, peer)));
    }

    fn query_settlement(
        &self,
        slice: &assignment::SliceRecord,
        lease: assignment::LeaseKey,
        is_silent: bool,
        queries: &mut SliceQueries,
    ) {
        let member = self.document.holder(lease).incarnation;
        if is_silent {
            self.query_expiry(slice, lease, queries);
        }
        // The other members of the chain relay the confirmation of a member that is silent.
        let relays = self.peers(slice).filter(|_| is_silent);
        for peer in relays.chain([member]).filter(|peer| *peer != self.own) {
            let epoch = queries.confirms.entry((member, peer)).or_default();
            *epoch = slice.since.max(*epoch);
        }
    }

    /// Returns the other holders of both chains of a slice.
    fn peers<'a>(
        &'a self,
        slice: &'a assignment::SliceRecord,
    ) -> impl Iterator<Item = ident::IncarnationId> + 'a {
        let leases = slice.chain.iter().chain(&slice.previous);
        leases
            .map(|lease| self.document.holder(*lease).incarnation)
            .filter(|holder| *holder != self.own)
    }

    /// Returns the members that share a slice with a lease of this node, and the guards of the
    /// lease.
    pub(crate) fn lease_peers(&self, lease: ident::LeaseId) -> BTreeSet<ident::IncarnationId> {
        let Some(key) = self.lease_key(lease) else {
            return BTreeSet::new();
        };
        let slices = self.document.classes.iter().flat_map(|class| &class.slices);
        let shared =
            slices.filter(|slice| slice.chain.contains(&key) || slice.previous.contains(&key));
        let mut peers: BTreeSet<_> = shared.flat_map(|slice| self.peers(slice)).collect();
        peers.extend(self.guards(key).into_iter().filter(|guard| *guard != self.own));
        peers
    }

    /// Returns whether a later member that satisfies `is_ready` could succeed this node in at least
    /// half of the slices that this node is to serve under a lease.
    pub(crate) fn has_ready_successors(
        &self,
        lease: ident::LeaseId,
        is_ready: impl Fn(ident::IncarnationId) -> bool,
    ) -> bool {
        let Some(lease_key) = self.lease_key(lease) else {
            return false;
        };
        let is_unexpired = |key, slice: &_, lease: &_| !self.is_expired(key, slice, *lease);
        let served = self.own_slices.iter().filter_map(|key| {
            let slice = self.slice(*key)?;
            let position = slice.chain.iter().position(|other| *other == lease_key)?;
            let is_next =
                !slice.chain[..position].iter().any(|earlier| is_unexpired(*key, slice, earlier));
            is_next.then_some((*key, slice, position))
        });
        let has_successor = |(key, slice, position): (_, &assignment::SliceRecord, usize)| {
            slice.chain[position + 1..].iter().any(|later| {
                is_unexpired(key, slice, later)
                    && is_ready(self.document.holder(*later).incarnation)
            })
        };
        let results: Vec<_> = served.map(has_successor).collect();
        let count = results.iter().filter(|has_successor| **has_successor).count();
        count > 0 && 2 * count >= results.len()
    }

    fn slice_keys(&self) -> impl Iterator<Item = assignment::SliceKey> + '_ {
        self.document.classes.iter().enumerate().flat_map(|(class, slices)| {
            let class = class as u16;
            (0..slices.slices.len() as u32).map(move |slice| assignment::SliceKey { class, slice })
        })
    }

    /// Returns this node's first position in the chain of a slice.
    pub(crate) fn position(&self, key: assignment::SliceKey) -> Option<usize> {
        let own = self.own_key?;
        self.slice(key)?.chain.iter().position(|lease| self.document.lease(*lease).holder == own)
    }

    fn likely_holder(&self, slice: &assignment::SliceRecord) -> Option<ident::IncarnationId> {
        let is_unexpired = |lease: &&assignment::LeaseKey| {
            let is_own = Some(self.document.lease(**lease).holder) == self.own_key;
            !is_own && !self.expiries.is_expired(self.document.lease_id(**lease))
        };
        let lease = slice.chain.iter().find(is_unexpired)?;
        Some(self.document.holder(*lease).incarnation)
    }

    fn is_expired(
        &self,
        key: assignment::SliceKey,
        slice: &assignment::SliceRecord,
        lease: assignment::LeaseKey,
    ) -> bool {
        let id = self.document.lease_id(lease);
        self.expiries.is_expired(id) || self.is_refused(key, slice, id)
    }

    /// Returns whether a lease has expired and the takeover delay for its upstream has passed.
    fn is_safely_expired(
        &self,
        now: time::Instant,
        key: assignment::SliceKey,
        slice: &assignment::SliceRecord,
        lease: assignment::LeaseKey,
    ) -> bool {
        let id = self.document.lease_id(lease);
        let takeover_delay = match self.document.holder(lease).checks_fences {
            true => time::Duration::ZERO,
            false => timing::UNFENCED_TAKEOVER_DELAY,
        };
        let is_past = |known_at: time::Instant| now >= known_at + takeover_delay;
        self.expiries.known_at(id).is_some_and(is_past) || self.is_refused(key, slice, id)
    }

    fn is_refused(
        &self,
        key: assignment::SliceKey,
        slice: &assignment::SliceRecord,
        lease: ident::LeaseId,
    ) -> bool {
        let location = self.class(key).zip(self.range(key));
        location.is_some_and(|(class, range)| {
            self.expiries.is_refused(lease, slice.since, class, range)
        })
    }
}

fn index_leases(
    document: &assignment::AssignmentDocument,
) -> BTreeMap<ident::LeaseId, assignment::LeaseKey> {
    let keys = (0..document.leases.len() as u16).map(assignment::LeaseKey);
    keys.map(|key| (document.lease_id(key), key)).collect()
}

fn index_members(
    document: &assignment::AssignmentDocument,
) -> BTreeMap<ident::IncarnationId, assignment::MemberKey> {
    let members = document.members.iter().enumerate();
    members.map(|(at, member)| (member.incarnation, assignment::MemberKey(at as u16))).collect()
}
