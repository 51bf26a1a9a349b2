//! A QUIC connection to a peer, used for streams and datagrams in both directions.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time;

use bytes::Bytes;
use futures_lite::future;
use prost::Message;
use smol::channel;

use crate::generated;
use crate::stream;
use crate::transport::{PeerEvent, TransportError};

/// Time within which the first frame of a stream must arrive.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Number of streams that a peer may have open on a new connection. QUIC reserves about 80 bytes
/// for each allowed stream on both ends, so `MAX_STREAMS` would cost more memory than the rest of
/// the connection. Stream credit takes a ninth more packets on quiet connections; with half as many
/// streams, it would take a fifth more.
pub(crate) const INITIAL_STREAMS: u32 = 64;
/// Maximum number of streams that a peer may have open. The limit is doubled up to this number
/// while more than half of it is in use.
pub(crate) const MAX_STREAMS: u32 = 1_024;
/// Error code for closing a connection whose peer stopped responding.
const CODE_UNRESPONSIVE: quinn::VarInt = quinn::VarInt::from_u32(3);
/// Error code for closing a connection that was replaced by a newer one with the same address, or
/// whose peer was removed.
const CODE_RETIRED: quinn::VarInt = quinn::VarInt::from_u32(4);

/// Byte counters of control messages and document frames on all connections of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct ControlBytes {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
}

/// An established connection.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    connection: quinn::Connection,
    peer: net::SocketAddr,
    /// Stream halves that are open; a bidirectional stream has two.
    halves: AtomicUsize,
    /// Whether the watchdog checks this connection.
    is_watched: AtomicBool,
    /// Whether the connection closes when its last stream ends.
    closes_when_idle: AtomicBool,
    /// Whether the peer has sent nothing for some time although streams are open.
    is_silent: AtomicBool,
    watchdog: channel::Sender<Arc<PeerConnection>>,
    control: Arc<ControlBytes>,
}

impl PeerConnection {
    pub(crate) fn new(
        connection: quinn::Connection,
        watchdog: channel::Sender<Arc<PeerConnection>>,
        control: Arc<ControlBytes>,
    ) -> Arc<PeerConnection> {
        let peer = connection.remote_address();
        let (halves, is_watched) = (AtomicUsize::new(0), AtomicBool::new(false));
        let (closes_when_idle, is_silent) = (AtomicBool::new(false), AtomicBool::new(false));
        Arc::new(PeerConnection {
            connection,
            peer,
            halves,
            is_watched,
            closes_when_idle,
            is_silent,
            watchdog,
            control,
        })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Returns whether further streams can be opened.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_closed() && !self.is_silent.load(Ordering::Relaxed)
    }

    /// Records whether the peer is silent, and logs a change.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        if self.is_silent.swap(is_silent, Ordering::Relaxed) == is_silent {
            return;
        }
        let (path, halves) = (self.path_stats(), self.halves.load(Ordering::Relaxed));
        log::info!(
            peer:% = self.peer, is_silent, round_trip_us = path.rtt.as_micros() as u64,
            lost_packets = path.lost_packets, halves;
            "peer with open streams became silent or responds again"
        );
    }

    /// Closes the connection as soon as no stream is open on it.
    pub(crate) fn close_when_idle(&self) {
        self.closes_when_idle.store(true, Ordering::SeqCst);
        if self.halves.load(Ordering::SeqCst) == 0 {
            self.connection.close(CODE_RETIRED, b"retired");
        }
    }

    /// Returns the round-trip time, packet losses and other statistics of the path.
    pub(crate) fn path_stats(&self) -> quinn::PathStats {
        self.connection.stats().path
    }

    /// Closes the connection because the peer stopped responding.
    pub(crate) fn close_unresponsive(&self) {
        let path = self.path_stats();
        log::info!(
            peer:% = self.peer, round_trip_us = path.rtt.as_micros() as u64,
            lost_packets = path.lost_packets, sent_packets = path.sent_packets,
            window_bytes = path.cwnd; "peer stopped responding; connection closed"
        );
        self.connection.close(CODE_UNRESPONSIVE, b"no answer");
    }

    /// Returns the number of received frames that show that the peer is alive.
    pub(crate) fn received_frames(&self) -> u64 {
        let frames = self.connection.stats().frame_rx;
        frames.acks + frames.stream + frames.datagram
    }

    /// Sends an empty datagram, which the peer acknowledges and drops.
    pub(crate) fn ping(&self) {
        let _ = self.connection.send_datagram(Bytes::new());
    }

    /// Sends a control message; returns `false` if the connection doesn't accept the datagram.
    pub(crate) fn send_datagram(&self, datagram: Bytes) -> bool {
        let length = datagram.len() as u64;
        let is_sent = self.connection.send_datagram(datagram).is_ok();
        if is_sent {
            self.control.sent.fetch_add(length, Ordering::Relaxed);
        }
        is_sent
    }

    /// Ends the watch if no stream is open. Returns whether the watch has ended.
    pub(crate) fn unwatch_if_idle(&self) -> bool {
        if self.halves.load(Ordering::SeqCst) > 0 {
            return false;
        }
        self.is_watched.store(false, Ordering::SeqCst);
        // A stream that was opened before `is_watched` was cleared requested no watch, so this one
        // must continue. If `is_watched` is set again, a later stream has requested a new watch.
        let is_idle = self.halves.load(Ordering::SeqCst) == 0;
        is_idle || self.is_watched.swap(true, Ordering::SeqCst)
    }

    /// Opens a stream. If this fails, nothing was sent.
    pub(crate) async fn open(
        self: &Arc<PeerConnection>,
    ) -> Result<(stream::FrameWriter, stream::FrameReader), TransportError> {
        let guard = StreamGuard::new(self);
        let opened = self.connection.open_bi().await;
        let (send, receive) = opened.map_err(|error| TransportError::ConnectionLost {
            peer: self.peer,
            sent: false,
            reason: error.to_string(),
        })?;
        let writer = stream::FrameWriter::new(send, StreamGuard::new(self));
        Ok((writer, stream::FrameReader::new(receive, guard)))
    }

    /// Forwards received streams and datagrams as events until the connection is lost.
    pub(crate) async fn serve(
        self: &Arc<PeerConnection>,
        events: &channel::Sender<PeerEvent>,
        dropped_datagrams: &AtomicU64,
    ) {
        future::zip(self.serve_streams(events), self.serve_datagrams(events, dropped_datagrams))
            .await;
    }

    async fn serve_streams(self: &Arc<PeerConnection>, events: &channel::Sender<PeerEvent>) {
        let mut stream_limit = INITIAL_STREAMS;
        while let Ok((send, receive)) = self.connection.accept_bi().await {
            // Each stream has two halves, so this holds when more than half of the limit is in use.
            if stream_limit < MAX_STREAMS
                && self.halves.load(Ordering::Relaxed) > stream_limit as usize
            {
                stream_limit *= 2;
                self.connection.set_max_concurrent_bi_streams(stream_limit.into());
            }
            let writer = stream::FrameWriter::new(send, StreamGuard::new(self));
            let reader = stream::FrameReader::new(receive, StreamGuard::new(self));
            let mut head = Box::pin(receive_head(writer, reader));
            // The head usually arrives in the packet that opens the stream, and needs no task then.
            let event = match future::poll_once(&mut head).await {
                Some(event) => event,
                None => {
                    let events = events.clone();
                    smol::spawn(async move {
                        if let Some(event) = future::or(head, head_timeout()).await {
                            let _ = events.send(event).await;
                        }
                    })
                    .detach();
                    continue;
                }
            };
            // Waiting here applies backpressure: no further streams are accepted meanwhile.
            if let Some(event) = event
                && events.send(event).await.is_err()
            {
                return;
            }
        }
    }

    async fn serve_datagrams(
        &self,
        events: &channel::Sender<PeerEvent>,
        dropped_datagrams: &AtomicU64,
    ) {
        while let Ok(datagram) = self.connection.read_datagram().await {
            if datagram.is_empty() {
                continue;
            }
            self.control.received.fetch_add(datagram.len() as u64, Ordering::Relaxed);
            let from = self.peer;
            let Ok(message) = generated::ControlMessage::decode(datagram) else {
                log::debug!(peer:% = from; "datagram dropped: not a control message");
                continue;
            };
            if events.try_send(PeerEvent::Datagram { from, message }).is_err() {
                dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

async fn receive_head(
    mut writer: stream::FrameWriter,
    mut reader: stream::FrameReader,
) -> Option<PeerEvent> {
    let from = reader.peer();
    match reader.receive::<generated::StreamHead>().await {
        Ok(Some(head)) => Some(PeerEvent::Stream { from, head, writer, reader }),
        Ok(None) => None,
        Err(error) => {
            log::debug!(peer:% = from, error:% = error; "stream rejected: no valid first frame");
            writer.reset_with(stream::CODE_INVALID);
            None
        }
    }
}

async fn head_timeout() -> Option<PeerEvent> {
    smol::Timer::after(HEAD_TIMEOUT).await;
    None
}

/// Counts one open stream half on its connection until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard {
    connection: Arc<PeerConnection>,
}

impl StreamGuard {
    fn new(connection: &Arc<PeerConnection>) -> StreamGuard {
        connection.halves.fetch_add(1, Ordering::SeqCst);
        if !connection.is_watched.swap(true, Ordering::SeqCst) {
            let _ = connection.watchdog.try_send(Arc::clone(connection));
        }
        StreamGuard { connection: Arc::clone(connection) }
    }

    pub(crate) fn peer(&self) -> net::SocketAddr {
        self.connection.peer
    }

    /// Counts the bytes of a sent frame that carries a document.
    pub(crate) fn count_document_sent(&self, bytes: usize) {
        self.connection.control.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts the bytes of a received frame that carries a document.
    pub(crate) fn count_document_received(&self, bytes: usize) {
        self.connection.control.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let halves = self.connection.halves.fetch_sub(1, Ordering::SeqCst) - 1;
        if halves == 0 && self.connection.closes_when_idle.load(Ordering::SeqCst) {
            self.connection.connection.close(CODE_RETIRED, b"retired");
        }
    }
}
