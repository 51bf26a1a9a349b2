//! Table of peers with their connections and connection attempts.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use smol::channel;

use crate::connection::PeerConnection;

/// Delay after the first failed attempt; doubled with each further failure.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Maximum delay between attempts. An attempt sends up to 3.6 KB, so a lost peer that is probed
/// continuously costs about 1.2 KB/s.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Lifetime of a connection below which its loss counts as a failed attempt. A peer that rejects
/// this node's certificate closes the connection only after this side considers it established.
const MIN_CONNECTION_LIFETIME: time::Duration = time::Duration::from_secs(1);
/// Maximum number of datagrams queued during a connection attempt; the oldest are dropped first.
const MAX_QUEUED_DATAGRAMS: usize = 8;

/// The side that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// This node.
    Outgoing,
    /// The peer.
    Incoming,
}

/// State of the connection attempts to a peer.
#[derive(Debug, Default)]
enum Attempt {
    #[default]
    None,
    Running {
        /// Closed when the attempt ends.
        done: channel::Receiver<Infallible>,
        /// Datagrams to send over the connection.
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
    /// Direction of the newest connection, which is preferred because a peer that restarted has
    /// opened a new one.
    newest: Option<Direction>,
    attempt: Attempt,
    /// Failed attempts since the last connection that reached `MIN_CONNECTION_LIFETIME`.
    failures: u32,
}

impl PeerEntry {
    fn start_backoff(&mut self, now: time::Instant, reason: Arc<str>) {
        self.failures = self.failures.saturating_add(1);
        self.attempt = Attempt::Failed { retry_at: now + backoff(self.failures), reason };
    }

    /// Returns the preferred usable connection.
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

/// Result of looking up a connection to a peer.
pub(crate) enum ConnectionLookup {
    /// A usable connection.
    Connected(Arc<PeerConnection>),
    /// There is none: the caller of the lookup must make an attempt and report its result.
    Connect,
    /// An attempt is running; the channel closes when the attempt ends.
    Wait(channel::Receiver<Infallible>),
    /// The delay after a failed attempt hasn't passed; the reason of that failure.
    BackOff(Arc<str>),
}

/// The peers of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    entries: HashMap<net::SocketAddr, PeerEntry>,
}

impl PeerTable {
    /// Looks up a connection to `peer`.
    ///
    /// If an attempt must start, `done` supplies the channel that closes when the attempt ends.
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

    /// Returns the preferred usable connection to `peer`.
    pub(crate) fn connection(&self, peer: net::SocketAddr) -> Option<Arc<PeerConnection>> {
        self.entries.get(&peer)?.connection().map(Arc::clone)
    }

    /// Queues a datagram until the running attempt ends.
    pub(crate) fn queue_datagram(&mut self, peer: net::SocketAddr, datagram: Bytes) {
        let attempt = self.entries.get_mut(&peer).map(|entry| &mut entry.attempt);
        let Some(Attempt::Running { queued, .. }) = attempt else { return };
        if queued.len() == MAX_QUEUED_DATAGRAMS {
            queued.remove(0);
        }
        queued.push(datagram);
    }

    /// Adds a new connection and returns the datagrams that were queued for it.
    pub(crate) fn add_connection(
        &mut self,
        peer: net::SocketAddr,
        direction: Direction,
        connection: &Arc<PeerConnection>,
    ) -> Vec<Bytes> {
        // A peer that was removed during the attempt stays removed.
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
            // The attempt continues, but the queued datagrams can use this connection.
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

    /// Records that the running attempt failed.
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

    /// Removes a connection that was lost after `lifetime`.
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

    /// Removes a peer. Its connections close when their last stream ends.
    pub(crate) fn remove_peer(&mut self, peer: net::SocketAddr) {
        let Some(entry) = self.entries.remove(&peer) else { return };
        entry
            .outgoing
            .iter()
            .chain(&entry.incoming)
            .for_each(|connection| connection.close_when_idle());
    }

    /// Returns the path statistics of all connections.
    pub(crate) fn path_stats(&self) -> impl Iterator<Item = quinn::PathStats> {
        let connections =
            self.entries.values().flat_map(|entry| entry.outgoing.iter().chain(&entry.incoming));
        connections.map(|connection| connection.path_stats())
    }

    /// Returns the number of established connections.
    pub(crate) fn connection_count(&self) -> usize {
        let count = |entry: &PeerEntry| entry.outgoing.iter().chain(&entry.incoming).count();
        self.entries.values().map(count).sum()
    }
}

/// Returns the delay after `failures` failed attempts. The delay doubles with each failure, and its
/// upper half is random so that peers don't retry in step.
fn backoff(failures: u32) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(8);
    let max_delay = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    max_delay.mul_f64(0.5 + 0.5 * fastrand::f64())
}
