//! Documents in force at this node, which are replaced only by higher versions.

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

/// Document versions that a peer last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerVersions {
    /// Epoch of its assignment.
    pub(crate) epoch: ident::EpochNumber,
    /// Revision of its class configuration.
    pub(crate) revision: ident::RevisionNumber,
}

/// Holds the documents in force and their encoded form, which peers fetch.
#[derive(Debug, Default)]
pub(crate) struct DocumentCache {
    state: sync::Mutex<DocumentState>,
}

impl DocumentCache {
    /// Returns the class configuration in force.
    pub(crate) fn classes(&self) -> Arc<class::ClassDocument> {
        Arc::clone(&lock(&self.state).classes)
    }

    /// Returns the assignment in force.
    pub(crate) fn assignment(&self) -> Arc<assignment::AssignmentDocument> {
        Arc::clone(&lock(&self.state).assignment)
    }

    /// Returns the address of a member.
    pub(crate) fn address_of(&self, member: ident::IncarnationId) -> Option<net::SocketAddr> {
        lock(&self.state).addresses.get(&member).copied()
    }

    /// Returns the encoded class configuration.
    pub(crate) fn classes_bytes(&self) -> Bytes {
        lock(&self.state).classes_bytes.clone()
    }

    /// Returns the encoded assignment.
    pub(crate) fn assignment_bytes(&self) -> Bytes {
        lock(&self.state).assignment_bytes.clone()
    }

    /// Returns the epoch and the configuration revision in force.
    pub(crate) fn versions(&self) -> (ident::EpochNumber, ident::RevisionNumber) {
        let state = lock(&self.state);
        (state.assignment.epoch, state.classes.revision)
    }

    /// Records the versions that a peer reports.
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

    /// Returns the last time at which any peer reported its versions.
    pub(crate) fn last_peer_message(&self) -> time::Instant {
        lock(&self.state).last_peer_message
    }

    /// Returns the versions that a peer last reported.
    pub(crate) fn peer_versions(&self, peer: ident::IncarnationId) -> Option<PeerVersions> {
        lock(&self.state).peers.get(&peer).copied()
    }

    /// Puts a class configuration in force; returns `false` if its revision isn't higher.
    pub(crate) fn replace_classes(&self, classes: Arc<class::ClassDocument>, bytes: Bytes) -> bool {
        let mut state = lock(&self.state);
        if classes.revision <= state.classes.revision {
            return false;
        }
        state.classes = classes;
        state.classes_bytes = bytes;
        true
    }

    /// Puts an assignment in force; returns `false` if its epoch isn't higher.
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
