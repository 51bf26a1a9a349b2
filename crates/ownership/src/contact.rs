//! Silence of the members of the region.

use std::collections::BTreeMap;

use cornelridge_model::{ident, time};

use crate::timing;

#[derive(Debug)]
struct PeerContact {
    silent_since: time::Instant,
    has_responded: bool,
}

/// Tracks when each member last responded, in active time.
#[derive(Debug, Default)]
pub(crate) struct PeerContacts {
    peers: BTreeMap<ident::IncarnationId, PeerContact>,
}

impl PeerContacts {
    /// Starts to count the silence of new members and removes members that have gone.
    pub(crate) fn adopt(
        &mut self,
        active: time::Instant,
        members: impl Iterator<Item = ident::IncarnationId>,
    ) {
        let mut previous = std::mem::take(&mut self.peers);
        let contact = |member| {
            let new_contact = PeerContact { silent_since: active, has_responded: false };
            (member, previous.remove(&member).unwrap_or(new_contact))
        };
        self.peers = members.map(contact).collect();
    }

    /// Records a response of a member.
    pub(crate) fn record_response(&mut self, active: time::Instant, member: ident::IncarnationId) {
        if let Some(contact) = self.peers.get_mut(&member) {
            contact.silent_since = active;
            contact.has_responded = true;
        }
    }

    /// Restarts the silence of a member that has no unanswered message.
    pub(crate) fn reset_silence(&mut self, active: time::Instant, member: ident::IncarnationId) {
        if let Some(contact) = self.peers.get_mut(&member) {
            contact.silent_since = active;
        }
    }

    /// Returns the active time since the latest response.
    pub(crate) fn silence(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> time::Duration {
        self.peers
            .get(&member)
            .map_or(time::Duration::ZERO, |contact| active.since(contact.silent_since))
    }

    /// Returns whether a member has been silent for long enough to query its guards.
    pub(crate) fn is_silent(&self, active: time::Instant, member: ident::IncarnationId) -> bool {
        self.silence(active, member) >= timing::PEER_SILENCE_TIMEOUT
    }

    /// Returns whether a member that used to respond is silent. This node never probes most
    /// members, so members that never responded don't count.
    pub(crate) fn has_stopped_responding(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let has_responded = self.peers.get(&member).is_some_and(|contact| contact.has_responded);
        has_responded && self.is_silent(active, member)
    }

    /// Returns whether a member has responded and isn't silent.
    pub(crate) fn is_responding(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let has_responded = self.peers.get(&member).is_some_and(|contact| contact.has_responded);
        has_responded && !self.is_silent(active, member)
    }
}
