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
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Longest pause between attempts. An attempt sends up to 3.6 KB, so a lost peer that is probed
/// all the time costs about 1.2 KB/s.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Life of a connection below which its loss counts as a failed attempt. A peer that refuses this
/// node's certificate does so only after this side has taken the connection for established.
const MIN_CONNECTION_LIFETIME: time::Duration = time::Duration::from_secs(1);
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
        retry_at: time::Instant,
        reason: Arc<str>,
    },
}

#[derive(Debug, Default)]
struct PeerEntry {
    outgoing: Option<Arc<PeerConnection>>,
    incoming: Option<Arc<PeerConnection>>,
    /// The one made last is used: a peer that restarted has made a new one.
    newest: Option<Direction>,
    attempt: Attempt,
    /// Failed attempts since a connection last held.
    failures: u32,
}

impl PeerEntry {
    fn start_backoff(&mut self, now: time::Instant, reason: Arc<str>) {
        self.failures = self.failures.saturating_add(1);
        self.attempt = Attempt::Failed { retry_at: now + backoff(self.failures), reason };
    }

    fn connection(&self) -> Option<&Arc<PeerConnection>> {
        let by_preference = match self.newest {
            Some(Direction::Incoming) => [&self.incoming, &self.outgoing],
            _ => [&self.outgoing, &self.incoming],
        };
        by_preference.into_iter().flatten().find(|connection| connection.is_usable())
    }

    fn connection_mut(&mut self, direction: Direction) -> &mut Option<Arc<PeerConnection>> {
        match direction {
            Direction::Outgoing => &mut self.outgoing,
            Direction::Incoming => &mut self.incoming,
        }
    }
}

/// How a peer can be reached now.
pub(crate) enum ConnectionLookup {
    /// Over this connection.
    Connected(Arc<PeerConnection>),
    /// The caller must make the attempt and report its end.
    Connect,
    /// An attempt is running; the channel closes when it is over.
    Wait(channel::Receiver<Infallible>),
    /// Not before the pause after a failed attempt.
    BackOff(Arc<str>),
}

/// The peers of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    entries: HashMap<net::SocketAddr, PeerEntry>,
}

impl PeerTable {
    /// Finds the way to `peer`. `done` becomes the sign of the attempt if one must start.
    pub(crate) fn look_up(
        &mut self,
        peer: net::SocketAddr,
        now: time::Instant,
        done: impl FnOnce() -> channel::Receiver<Infallible>,
    ) -> ConnectionLookup {
        let entry = self.entries.entry(peer).or_default();
        if let Some(connection) = entry.connection() {
            return ConnectionLookup::Connected(Arc::clone(connection));
        }
        match &entry.attempt {
            Attempt::Running { done, .. } => return ConnectionLookup::Wait(done.clone()),
            Attempt::Failed { retry_at, reason } if now < *retry_at => {
                return ConnectionLookup::BackOff(Arc::clone(reason));
            }
            Attempt::Failed { .. } | Attempt::None => {}
        }
        entry.attempt = Attempt::Running { done: done(), queued: Vec::new() };
        ConnectionLookup::Connect
    }

    /// Keeps a datagram until the running attempt is over.
    pub(crate) fn queue_datagram(&mut self, peer: net::SocketAddr, datagram: Bytes) {
        let attempt = self.entries.get_mut(&peer).map(|entry| &mut entry.attempt);
        let Some(Attempt::Running { queued, .. }) = attempt else { return };
        if queued.len() == MAX_QUEUED_DATAGRAMS {
            queued.remove(0);
        }
        queued.push(datagram);
    }

    /// Enters a new connection; returns the datagrams that waited for it.
    pub(crate) fn add_connection(
        &mut self,
        peer: net::SocketAddr,
        direction: Direction,
        connection: &Arc<PeerConnection>,
    ) -> Vec<Bytes> {
        // A peer that was forgotten during the attempt stays forgotten.
        if direction == Direction::Outgoing && !self.entries.contains_key(&peer) {
            connection.close_when_idle();
            return Vec::new();
        }
        let entry = self.entries.entry(peer).or_default();
        let replaced = entry.connection_mut(direction).replace(Arc::clone(connection));
        entry.newest = Some(direction);
        if let Some(replaced) = replaced {
            replaced.close_when_idle();
        }
        match (&mut entry.attempt, direction) {
            // The attempt goes on, but what it would have carried needn't wait for it.
            (Attempt::Running { queued, .. }, Direction::Incoming) => std::mem::take(queued),
            (Attempt::Running { queued, .. }, Direction::Outgoing) => {
                let queued = std::mem::take(queued);
                entry.attempt = Attempt::None;
                queued
            }
            _ => {
                entry.attempt = Attempt::None;
                Vec::new()
            }
        }
    }

    /// Notes that the running attempt failed.
    pub(crate) fn record_failure(
        &mut self,
        peer: net::SocketAddr,
        now: time::Instant,
        reason: Arc<str>,
    ) {
        let Some(entry) = self.entries.get_mut(&peer) else { return };
        if matches!(entry.attempt, Attempt::Running { .. }) {
            entry.start_backoff(now, reason);
        }
    }

    /// Takes out a connection that was lost after `lifetime`.
    pub(crate) fn remove_connection(
        &mut self,
        peer: net::SocketAddr,
        connection: &Arc<PeerConnection>,
        lifetime: time::Duration,
    ) {
        let Some(entry) = self.entries.get_mut(&peer) else { return };
        let is_lost = |candidate: &Option<Arc<PeerConnection>>| {
            candidate.as_ref().is_some_and(|found| Arc::ptr_eq(found, connection))
        };
        if is_lost(&entry.incoming) {
            entry.incoming = None;
        }
        if is_lost(&entry.outgoing) {
            entry.outgoing = None;
            if lifetime >= MIN_CONNECTION_LIFETIME {
                entry.failures = 0;
            } else if matches!(entry.attempt, Attempt::None) {
                entry.start_backoff(
                    time::Instant::now(),
                    Arc::from("the peer closed the connection at once"),
                );
            }
        }
        let is_unused = entry.outgoing.is_none() && entry.incoming.is_none();
        if is_unused && matches!(entry.attempt, Attempt::None) {
            self.entries.remove(&peer);
        }
    }

    /// Takes out a peer; its connections close when their last stream is over.
    pub(crate) fn remove_peer(&mut self, peer: net::SocketAddr) {
        let Some(entry) = self.entries.remove(&peer) else { return };
        entry
            .outgoing
            .iter()
            .chain(&entry.incoming)
            .for_each(|connection| connection.close_when_idle());
    }

    /// Figures of the paths of all connections.
    pub(crate) fn path_stats(&self) -> impl Iterator<Item = quinn::PathStats> {
        let connections =
            self.entries.values().flat_map(|entry| entry.outgoing.iter().chain(&entry.incoming));
        connections.map(|connection| connection.path_stats())
    }

    /// Number of established connections.
    pub(crate) fn connection_count(&self) -> usize {
        let count = |entry: &PeerEntry| entry.outgoing.iter().chain(&entry.incoming).count();
        self.entries.values().map(count).sum()
    }
}

/// Doubles with each failure; the upper half is random so that peers don't retry in step.
fn backoff(failures: u32) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(8);
    let max_delay = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    max_delay.mul_f64(0.5 + 0.5 * fastrand::f64())
}
