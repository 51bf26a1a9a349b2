//! The documents in force at this node; a lower version is never put in force.

use std::collections::HashMap;
use std::net;
use std::sync;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::assignment;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_wire::generated;

use crate::context::lock;

#[derive(Debug, Default)]
struct DocumentState {
    classes: Arc<class::ClassDocument>,
    classes_bytes: Bytes,
    assignment: Arc<assignment::AssignmentDocument>,
    assignment_bytes: Bytes,
    addresses: HashMap<ident::IncarnationId, net::SocketAddr>,
    peers: HashMap<ident::IncarnationId, PeerVersions>,
    last_peer_message: time::Instant,
}

/// The versions that a peer last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerVersions {
    /// Its epoch.
    pub(crate) epoch: ident::EpochNumber,
    /// Its configuration revision.
    pub(crate) revision: ident::RevisionNumber,
}

/// Keeps the highest versions with their encoded form, which peers fetch.
#[derive(Debug, Default)]
pub(crate) struct DocumentCache {
    state: sync::Mutex<DocumentState>,
}

impl DocumentCache {
    /// The classes in force.
    pub(crate) fn classes(&self) -> Arc<class::ClassDocument> {
        Arc::clone(&lock(&self.state).classes)
    }

    /// The assignment in force.
    pub(crate) fn assignment(&self) -> Arc<assignment::AssignmentDocument> {
        Arc::clone(&lock(&self.state).assignment)
    }

    /// Address of a member.
    pub(crate) fn address_of(&self, member: ident::IncarnationId) -> Option<net::SocketAddr> {
        lock(&self.state).addresses.get(&member).copied()
    }

    /// The encoded classes.
    pub(crate) fn classes_bytes(&self) -> Bytes {
        lock(&self.state).classes_bytes.clone()
    }

    /// The encoded assignment.
    pub(crate) fn assignment_bytes(&self) -> Bytes {
        lock(&self.state).assignment_bytes.clone()
    }

    /// Versions in force.
    pub(crate) fn versions(&self) -> (ident::EpochNumber, ident::RevisionNumber) {
        let state = lock(&self.state);
        (state.assignment.epoch, state.classes.revision)
    }

    /// Notes the versions that a peer tells.
    pub(crate) fn record_peer_versions(
        &self,
        now: time::Instant,
        peer: ident::IncarnationId,
        versions: generated::Versions,
    ) {
        let mut state = lock(&self.state);
        state.last_peer_message = now;
        if state.addresses.contains_key(&peer) {
            let epoch = ident::EpochNumber(versions.epoch);
            let revision = ident::RevisionNumber(versions.revision);
            state.peers.insert(peer, PeerVersions { epoch, revision });
        }
    }

    /// When a peer last told its versions.
    pub(crate) fn last_peer_message(&self) -> time::Instant {
        lock(&self.state).last_peer_message
    }

    /// The versions that a peer last told.
    pub(crate) fn peer_versions(&self, peer: ident::IncarnationId) -> Option<PeerVersions> {
        lock(&self.state).peers.get(&peer).copied()
    }

    /// Puts classes in force; `false` if their revision isn't higher.
    pub(crate) fn replace_classes(&self, classes: Arc<class::ClassDocument>, bytes: Bytes) -> bool {
        let mut state = lock(&self.state);
        if classes.revision <= state.classes.revision {
            return false;
        }
        state.classes = classes;
        state.classes_bytes = bytes;
        true
    }

    /// Puts an assignment in force; `false` if its epoch isn't higher.
    pub(crate) fn replace_assignment(
        &self,
        document: Arc<assignment::AssignmentDocument>,
        bytes: Bytes,
    ) -> bool {
        let mut state = lock(&self.state);
        if document.epoch <= state.assignment.epoch {
            return false;
        }
        let addresses = document.members.iter().map(|member| (member.incarnation, member.address));
        state.addresses = addresses.collect();
        let DocumentState { addresses, peers, .. } = &mut *state;
        peers.retain(|peer, _| addresses.contains_key(peer));
        state.assignment = document;
        state.assignment_bytes = bytes;
        true
    }
}
