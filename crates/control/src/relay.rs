//! Selection of the nodes that watch the store; the others pull documents from peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::{ident, time};

/// Number of relays per zone. With two, the zone still has a relay after the loss of one host.
pub const RELAYS_PER_ZONE: usize = 2;
/// Mean interval between polls of a node that isn't in the document in force.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Time without any version from a peer after which a node polls the store itself.
pub const RELAY_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Mean interval between polls of a node that hears from no peer; 157 such nodes make 16 reads per
/// second.
pub const FALLBACK_POLL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A member as seen from this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The member.
    pub incarnation: ident::IncarnationId,
    /// Zone of the member.
    pub zone: Arc<str>,
    /// Whether this node considers the member alive.
    pub is_alive: bool,
}

/// Way in which a node learns of new documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// The node watches the store and is a candidate for the role of the planner.
    Watch,
    /// The node polls the store.
    Poll {
        /// Delay before the next read.
        after: time::Duration,
    },
    /// The node learns of documents from peers only.
    Peers,
}

/// Returns the relays: the live members with the lowest incarnations in each zone.
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

/// Returns how the node `local` learns of new documents. `members` is empty before the first
/// document; `last_heard` is the time at which a peer last sent its versions.
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

/// Returns between 0.5 and 1.5 times the interval, so that nodes don't poll at the same time.
fn with_jitter(interval: time::Duration, rng: &mut fastrand::Rng) -> time::Duration {
    time::Duration(rng.u64(interval.0 / 2..=interval.0 / 2 * 3))
}
