//! When peers last answered.

use std::collections::BTreeMap;

use cornelridge_model::{ident, time};

use crate::timing;

#[derive(Debug)]
struct PeerContact {
    silent_since: time::Instant,
    has_responded: bool,
}

/// When each member last answered, in active time.
#[derive(Debug, Default)]
pub(crate) struct PeerContacts {
    peers: BTreeMap<ident::IncarnationId, PeerContact>,
}

impl PeerContacts {
    /// Starts to count the silence of new members, and forgets members that have gone.
    pub(crate) fn adopt(
        &mut self,
        active: time::Instant,
        members: impl Iterator<Item = ident::IncarnationId>,
    ) {
        let mut known = std::mem::take(&mut self.peers);
        let contact = |member| {
            let new_contact = PeerContact { silent_since: active, has_responded: false };
            (member, known.remove(&member).unwrap_or(new_contact))
        };
        self.peers = members.map(contact).collect();
    }

    /// Notes an answer.
    pub(crate) fn record_response(&mut self, active: time::Instant, member: ident::IncarnationId) {
        if let Some(contact) = self.peers.get_mut(&member) {
            contact.silent_since = active;
            contact.has_responded = true;
        }
    }

    /// Counts silence anew for a member of whom no question is unanswered.
    pub(crate) fn reset_silence(&mut self, active: time::Instant, member: ident::IncarnationId) {
        if let Some(contact) = self.peers.get_mut(&member) {
            contact.silent_since = active;
        }
    }

    /// Time since the latest answer.
    pub(crate) fn silence(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> time::Duration {
        self.peers
            .get(&member)
            .map_or(time::Duration::ZERO, |contact| active.since(contact.silent_since))
    }

    /// Whether a member is silent for long enough to ask its guards.
    pub(crate) fn is_silent(&self, active: time::Instant, member: ident::IncarnationId) -> bool {
        self.silence(active, member) >= timing::PEER_SILENCE_TIMEOUT
    }

    /// Whether a member that used to answer is silent; most members are never probed by this node.
    pub(crate) fn has_stopped_responding(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let has_responded = self.peers.get(&member).is_some_and(|contact| contact.has_responded);
        has_responded && self.is_silent(active, member)
    }

    /// Whether a member has answered lately.
    pub(crate) fn is_responding(
        &self,
        active: time::Instant,
        member: ident::IncarnationId,
    ) -> bool {
        let has_responded = self.peers.get(&member).is_some_and(|contact| contact.has_responded);
        has_responded && !self.is_silent(active, member)
    }
}
