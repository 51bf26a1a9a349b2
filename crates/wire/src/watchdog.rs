//! Notices that a peer is silent while streams wait on it: within a second for further streams, which
//! go elsewhere, and later for those that are open, as a peer that is short of processor time may
//! still serve them.

use std::sync::Arc;
use std::time;

use smol::channel;

use crate::connection;

/// Time between two looks at the connections that have open streams.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Looks without any frame from the peer after which it gets no more streams on the connection.
/// With the first look this gives at most 0.9 s. Looks are counted instead of time, so that a pause
/// of this process, after which the answers are still unread in the socket, isn't taken for silence
/// of the peer.
const SILENT_AFTER_CHECKS: u32 = 5;
/// Looks without any frame from the peer after which it counts as dead, in the same way: 2.4 s, a
/// little longer than the entry of a lost node lasts.
const CLOSE_AFTER_CHECKS: u32 = 15;

struct WatchedConnection {
    connection: Arc<connection::PeerConnection>,
    frames: u64,
    silent_checks: u32,
}

impl WatchedConnection {
    fn new(connection: Arc<connection::PeerConnection>) -> WatchedConnection {
        let frames = connection.received_frames();
        WatchedConnection { connection, frames, silent_checks: 0 }
    }

    /// Looks once; `false` if the connection needs no more watching.
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
        self.connection.ping();
        true
    }
}

/// Watches the connections that are sent to `added` until the endpoint is dropped.
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
