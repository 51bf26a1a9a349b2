//! Detection of peers that are silent while streams are open.
//!
//! Within a second of silence, the connection gets no more streams, so that new requests can go to
//! other nodes. Open streams fail later, as a peer that is short of CPU time may still serve them.

use std::sync::Arc;
use std::time;

use smol::channel;

use crate::connection;

/// Time between two checks of the connections that have open streams.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Number of checks without a frame from the peer after which the peer is asked for one. Most
/// responses come before.
const PING_AFTER_CHECKS: u32 = 2;
/// Number of checks without a frame from the peer after which the connection gets no more streams.
/// Including the first check, this takes at most 0.9 s. Checks are counted instead of time, so that
/// a pause of this process, after which received packets are still unread in the socket, isn't
/// taken for silence of the peer.
const SILENT_AFTER_CHECKS: u32 = 5;
/// Number of checks without a frame from the peer after which the connection is closed. This takes
/// at most 2.4 s, slightly longer than the registration of a lost node lasts.
const CLOSE_AFTER_CHECKS: u32 = 15;

struct WatchedConnection {
    connection: Arc<connection::PeerConnection>,
    /// Frames received from the peer up to the last check.
    frames: u64,
    silent_checks: u32,
}

impl WatchedConnection {
    fn new(connection: Arc<connection::PeerConnection>) -> WatchedConnection {
        let frames = connection.received_frames();
        WatchedConnection { connection, frames, silent_checks: 0 }
    }

    /// Checks the connection once; returns `false` if the watch has ended.
    fn check(&mut self) -> bool {
        if self.connection.is_closed() {
            return false;
        }
        if self.connection.unwatch_if_idle() {
            return false;
        }
        let frames = self.connection.received_frames();
        if frames != self.frames {
            self.frames = frames;
            self.silent_checks = 0;
            self.connection.set_silent(false);
            return true;
        }
        self.silent_checks += 1;
        if self.silent_checks >= CLOSE_AFTER_CHECKS {
            self.connection.close_unresponsive();
            return false;
        }
        if self.silent_checks == SILENT_AFTER_CHECKS {
            self.connection.set_silent(true);
        }
        if self.silent_checks >= PING_AFTER_CHECKS {
            self.connection.ping();
        }
        true
    }
}

/// Watches the connections received from `added` until the endpoint is closed.
pub(crate) async fn watch(added: channel::Receiver<Arc<connection::PeerConnection>>) {
    let mut watched = Vec::new();
    loop {
        if watched.is_empty() {
            let Ok(connection) = added.recv().await else { return };
            watched.push(WatchedConnection::new(connection));
        }
        while let Ok(connection) = added.try_recv() {
            watched.push(WatchedConnection::new(connection));
        }
        smol::Timer::after(CHECK_INTERVAL).await;
        watched.retain_mut(WatchedConnection::check);
    }
}
