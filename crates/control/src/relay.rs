//! Which nodes watch the store; the others pull documents from peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{ident, time};

/// Relays of each zone: with two, the loss of one host leaves the zone a watcher.
pub const RELAYS_PER_ZONE: usize = 2;
/// Mean interval between polls before the first document exists.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// A node that no relay has told anything for this long polls the store itself.
pub const RELAY_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Interval between the polls of such a node; 157 nodes make 16 reads a second.
pub const FALLBACK_POLL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A member as seen from this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The member.
    pub incarnation: ident::IncarnationId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether this node holds it alive.
    pub is_alive: bool,
}

/// How this node learns of new documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// Watches the store; also a candidate for the planner's role.
    Watch,
    /// Reads the store after this pause.
    Poll {
        /// Pause before the next read.
        after: time::Duration,
    },
    /// Learns from peers only.
    Peers,
}

/// The relays: in each zone the living members with the lowest incarnations.
pub fn select_relays(members: &[RelayCandidate]) -> Vec<ident::IncarnationId> {
    let mut zones = BTreeMap::<&str, Vec<ident::IncarnationId>>::new();
    for member in members.iter().filter(|member| member.is_alive) {
        zones.entry(&member.zone).or_default().push(member.incarnation);
    }
    let lowest = zones.into_values().flat_map(|mut zone| {
        zone.sort_unstable();
        zone.truncate(RELAYS_PER_ZONE);
        zone
    });
    lowest.collect()
}

/// How the node `local` learns of new documents. `members` is empty before the first document;
/// `last_heard` is when a peer last told the node its versions.
pub fn store_access(
    now: time::Instant,
    local: ident::IncarnationId,
    members: &[RelayCandidate],
    last_heard: time::Instant,
    rng: &mut fastrand::Rng,
) -> StoreAccess {
    let is_member = members.iter().any(|member| member.incarnation == local);
    if !is_member {
        return StoreAccess::Poll { after: with_jitter(POLL_INTERVAL, rng) };
    }
    if select_relays(members).contains(&local) {
        return StoreAccess::Watch;
    }
    if now.since(last_heard) > RELAY_SILENCE_TIMEOUT {
        return StoreAccess::Poll { after: with_jitter(FALLBACK_POLL_INTERVAL, rng) };
    }
    StoreAccess::Peers
}

/// Between half and one and a half times the interval, so that nodes don't poll in step.
fn with_jitter(interval: time::Duration, rng: &mut fastrand::Rng) -> time::Duration {
    time::Duration(rng.u64(interval.0 / 2..=interval.0 / 2 * 3))
}
