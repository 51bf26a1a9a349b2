//! Table of peers: their connections and attempts to connect.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use smol::channel;

use crate::connection::PeerConnection;

/// Pause after the first failed attempt; doubles with each further one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Longest pause between attempts. An attempt sends up to 3.6 KB, so a lost peer that is probed
/// all the time costs about 1.2 KB/s.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Life of a connection below which its loss counts as a failed attempt. A peer that refuses this
/// node's certificate does so only after this side has taken the connection for established.
const MIN_LIFE: time::Duration = time::Duration::from_secs(1);
/// Datagrams kept while a connection is being made; the newest are kept.
const MAX_QUEUED_DATAGRAMS: usize = 8;

/// Which side made a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// This node.
    Outgoing,
    /// The peer.
    Incoming,
}

#[derive(Debug, Default)]
enum Attempt {
    #[default]
    None,
    Running {
        /// Closed when the attempt is over.
        done: channel::Receiver<Infallible>,
        queued: Vec<Bytes>,
    },
    Failed {
        until: time::Instant,
        reason: Arc<str>,
    },
}

#[derive(Debug, Default)]
struct PeerSlot {
    outgoing: Option<Arc<PeerConnection>>,
    incoming: Option<Arc<PeerConnection>>,
    /// The one made last is used: a peer that restarted has made a new one.
    newest: Option<Direction>,
    attempt: Attempt,
    /// Failed attempts since a connection last held.
    failures: u32,
}

impl PeerSlot {
    fn fail(&mut self, now: time::Instant, reason: Arc<str>) {
        self.failures = self.failures.saturating_add(1);
        self.attempt = Attempt::Failed { until: now + backoff(self.failures), reason };
    }

    fn connection(&self) -> Option<&Arc<PeerConnection>> {
        let order = match self.newest {
            Some(Direction::Incoming) => [&self.incoming, &self.outgoing],
            _ => [&self.outgoing, &self.incoming],
        };
        order.into_iter().flatten().find(|connection| connection.is_usable())
    }

    fn side(&mut self, direction: Direction) -> &mut Option<Arc<PeerConnection>> {
        match direction {
            Direction::Outgoing => &mut self.outgoing,
            Direction::Incoming => &mut self.incoming,
        }
    }
}

/// How a peer can be reached now.
pub(crate) enum Route {
    /// Over this connection.
    Connected(Arc<PeerConnection>),
    /// The caller must make the attempt and report its end.
    Start,
    /// An attempt is running; the channel closes when it is over.
    Wait(channel::Receiver<Infallible>),
    /// Not before the pause after a failed attempt.
    Failed(Arc<str>),
}

/// The peers of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    slots: HashMap<net::SocketAddr, PeerSlot>,
}

impl PeerTable {
    /// Finds the way to `peer`. `done` becomes the sign of the attempt if one must start.
    pub(crate) fn route(
        &mut self,
        peer: net::SocketAddr,
        now: time::Instant,
        done: impl FnOnce() -> channel::Receiver<Infallible>,
    ) -> Route {
        let slot = self.slots.entry(peer).or_default();
        if let Some(connection) = slot.connection() {
            return Route::Connected(Arc::clone(connection));
        }
        match &slot.attempt {
            Attempt::Running { done, .. } => return Route::Wait(done.clone()),
            Attempt::Failed { until, reason } if now < *until => {
                return Route::Failed(Arc::clone(reason));
            }
            Attempt::Failed { .. } | Attempt::None => {}
        }
        slot.attempt = Attempt::Running { done: done(), queued: Vec::new() };
        Route::Start
    }

    /// Keeps a datagram until the running attempt is over.
    pub(crate) fn queue(&mut self, peer: net::SocketAddr, datagram: Bytes) {
        let attempt = self.slots.get_mut(&peer).map(|slot| &mut slot.attempt);
        let Some(Attempt::Running { queued, .. }) = attempt else { return };
        if queued.len() == MAX_QUEUED_DATAGRAMS {
            queued.remove(0);
        }
        queued.push(datagram);
    }

    /// Enters a new connection; returns the datagrams that waited for it.
    pub(crate) fn connected(
        &mut self,
        peer: net::SocketAddr,
        direction: Direction,
        connection: &Arc<PeerConnection>,
    ) -> Vec<Bytes> {
        // A peer that was forgotten during the attempt stays forgotten.
        if direction == Direction::Outgoing && !self.slots.contains_key(&peer) {
            connection.retire();
            return Vec::new();
        }
        let slot = self.slots.entry(peer).or_default();
        let replaced = slot.side(direction).replace(Arc::clone(connection));
        slot.newest = Some(direction);
        if let Some(replaced) = replaced {
            replaced.retire();
        }
        match (&mut slot.attempt, direction) {
            // The attempt goes on, but what it would have carried needn't wait for it.
            (Attempt::Running { queued, .. }, Direction::Incoming) => std::mem::take(queued),
            (Attempt::Running { queued, .. }, Direction::Outgoing) => {
                let queued = std::mem::take(queued);
                slot.attempt = Attempt::None;
                queued
            }
            _ => {
                slot.attempt = Attempt::None;
                Vec::new()
            }
        }
    }

    /// Notes that the running attempt failed.
    pub(crate) fn failed(&mut self, peer: net::SocketAddr, now: time::Instant, reason: Arc<str>) {
        let Some(slot) = self.slots.get_mut(&peer) else { return };
        if matches!(slot.attempt, Attempt::Running { .. }) {
            slot.fail(now, reason);
        }
    }

    /// Takes out a connection that was lost after `life`.
    pub(crate) fn lost(
        &mut self,
        peer: net::SocketAddr,
        connection: &Arc<PeerConnection>,
        life: time::Duration,
    ) {
        let Some(slot) = self.slots.get_mut(&peer) else { return };
        let is_lost = |side: &Option<Arc<PeerConnection>>| {
            side.as_ref().is_some_and(|entry| Arc::ptr_eq(entry, connection))
        };
        if is_lost(&slot.incoming) {
            slot.incoming = None;
        }
        if is_lost(&slot.outgoing) {
            slot.outgoing = None;
            if life >= MIN_LIFE {
                slot.failures = 0;
            } else if matches!(slot.attempt, Attempt::None) {
                slot.fail(
                    time::Instant::now(),
                    Arc::from("the peer closed the connection at once"),
                );
            }
        }
        let is_unused = slot.outgoing.is_none() && slot.incoming.is_none();
        if is_unused && matches!(slot.attempt, Attempt::None) {
            self.slots.remove(&peer);
        }
    }

    /// Takes out a peer; its connections close when their last stream is over.
    pub(crate) fn remove_peer(&mut self, peer: net::SocketAddr) {
        let Some(slot) = self.slots.remove(&peer) else { return };
        slot.outgoing.iter().chain(&slot.incoming).for_each(|connection| connection.retire());
    }

    /// Figures of the paths of all connections.
    pub(crate) fn paths(&self) -> impl Iterator<Item = quinn::PathStats> {
        let connections =
            self.slots.values().flat_map(|slot| slot.outgoing.iter().chain(&slot.incoming));
        connections.map(|connection| connection.path())
    }

    /// Number of established connections.
    pub(crate) fn connection_count(&self) -> usize {
        let count = |slot: &PeerSlot| slot.outgoing.iter().chain(&slot.incoming).count();
        self.slots.values().map(count).sum()
    }
}

/// Doubles with each failure; the upper half is random so that peers don't retry in step.
fn backoff(failures: u32) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(8);
    let longest = (FIRST_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    longest.mul_f64(0.5 + 0.5 * fastrand::f64())
}
