//! Frames over one bidirectional QUIC stream.

use std::net;

use bytes::Bytes;

use crate::codec;
use crate::connection;
use crate::transport::TransportError;

/// Maximum number of bytes read from a stream at once.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Error code for a stream that was cancelled before its end.
pub(crate) const CODE_CANCELLED: quinn::VarInt = quinn::VarInt::from_u32(1);
/// Error code for a stream on which an invalid frame arrived.
pub(crate) const CODE_INVALID: quinn::VarInt = quinn::VarInt::from_u32(2);
/// TLS alerts with which a peer rejects a certificate or its signature: handshake failure, bad,
/// unsupported, revoked, expired and unknown certificate, unknown authority, access denied,
/// decryption error and certificate required. None of them is sent after the handshake.
const CERTIFICATE_ALERTS: [u8; 10] = [40, 42, 43, 44, 45, 46, 48, 49, 51, 116];

/// Sends frames. If the writer is dropped before `finish`, the stream is reset and the peer gets an
/// error.
#[derive(Debug)]
pub struct FrameWriter {
    stream: quinn::SendStream,
    guard: connection::StreamGuard,
    /// Encoded frames that haven't been passed to QUIC.
    queued: Vec<u8>,
    /// Frames being passed to QUIC; kept here so that a cancelled `send` loses none of their bytes.
    unsent: [Bytes; 1],
    /// Whether QUIC has accepted any byte.
    sent: bool,
    /// Whether the stream was finished or reset.
    ended: bool,
}

impl FrameWriter {
    pub(crate) fn new(stream: quinn::SendStream, guard: connection::StreamGuard) -> FrameWriter {
        let (queued, unsent) = (Vec::new(), [Bytes::new()]);
        FrameWriter { stream, guard, queued, unsent, sent: false, ended: false }
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> net::SocketAddr {
        self.guard.peer()
    }

    /// Returns whether any byte of this stream may have reached the peer.
    pub fn may_have_reached_peer(&self) -> bool {
        self.sent
    }

    /// Returns whether some of the queued data wasn't passed on for sending. The peer can't receive
    /// the last message then, unless `flush` is called again.
    pub fn has_unsent(&self) -> bool {
        !self.queued.is_empty() || !self.unsent[0].is_empty()
    }

    /// Queues a message, which is sent with the next message or with the end of the stream.
    pub fn queue<M: prost::Message>(&mut self, message: &M) -> Result<(), TransportError> {
        Ok(codec::encode_frame(message, codec::MAX_FRAME_BYTES, &mut self.queued)?)
    }

    /// Sends a message. Waits while the peer's flow control allows no more data.
    pub async fn send<M: prost::Message>(&mut self, message: &M) -> Result<(), TransportError> {
        self.queue(message)?;
        self.flush().await
    }

    /// Sends a message that carries a document.
    pub async fn send_document<M: prost::Message>(
        &mut self,
        message: &M,
    ) -> Result<(), TransportError> {
        let before = self.queued.len();
        codec::encode_frame(message, codec::MAX_DOCUMENT_FRAME_BYTES, &mut self.queued)?;
        self.guard.count_document_sent(self.queued.len() - before);
        self.flush().await
    }

    /// Sends the queued messages.
    pub async fn flush(&mut self) -> Result<(), TransportError> {
        loop {
            if self.unsent[0].is_empty() {
                if self.queued.is_empty() {
                    return Ok(());
                }
                self.unsent = [Bytes::from(std::mem::take(&mut self.queued))];
            }
            // QUIC removes from `unsent` only what it accepts, even if this call is cancelled.
            let written = self.stream.write_chunks(&mut self.unsent).await;
            let written = written.map_err(|error| self.write_error(error))?;
            self.sent |= written.bytes > 0;
        }
    }

    /// Sends the queued messages and ends the stream cleanly.
    pub async fn finish(&mut self) -> Result<(), TransportError> {
        self.flush().await?;
        self.ended = true;
        self.stream.finish().map_err(|_| TransportError::StreamEnded { sent: self.sent })
    }

    /// Resets the stream; the peer gets an error.
    pub fn reset(&mut self) {
        self.reset_with(CODE_CANCELLED);
    }

    pub(crate) fn reset_with(&mut self, code: quinn::VarInt) {
        self.ended = true;
        let _ = self.stream.reset(code);
    }

    /// Completes when the peer stops reading, or has received everything after `finish`.
    ///
    /// The result is `true` if everything was received.
    pub fn delivered(&self) -> impl Future<Output = bool> + Send + 'static {
        let stopped = self.stream.stopped();
        async move { matches!(stopped.await, Ok(None)) }
    }

    fn write_error(&self, error: quinn::WriteError) -> TransportError {
        let (peer, sent) = (self.peer(), self.sent);
        match error {
            quinn::WriteError::Stopped(_) => TransportError::Stopped { peer, sent },
            quinn::WriteError::ConnectionLost(error) => connection_lost(peer, sent, &error),
            quinn::WriteError::ClosedStream | quinn::WriteError::ZeroRttRejected => {
                TransportError::StreamEnded { sent }
            }
        }
    }
}

impl Drop for FrameWriter {
    fn drop(&mut self) {
        if !self.ended {
            self.reset();
        }
    }
}

/// Receives frames. If the reader is dropped before the end, the peer is told to stop sending.
#[derive(Debug)]
pub struct FrameReader {
    stream: quinn::RecvStream,
    /// Absent once the stream has ended.
    guard: Option<connection::StreamGuard>,
    peer: net::SocketAddr,
    decoder: codec::FrameDecoder,
    /// Whether reading or decoding failed; all further reads fail as well.
    failed: bool,
}

impl FrameReader {
    pub(crate) fn new(stream: quinn::RecvStream, guard: connection::StreamGuard) -> FrameReader {
        let peer = guard.peer();
        let decoder = codec::FrameDecoder::default();
        FrameReader { stream, guard: Some(guard), peer, decoder, failed: false }
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> net::SocketAddr {
        self.peer
    }

    /// Receives the next message, or `None` at the clean end of the stream.
    ///
    /// Cancelling the call loses no data.
    pub async fn receive<M>(&mut self) -> Result<Option<M>, TransportError>
    where
        M: prost::Message + Default,
    {
        match self.receive_frame(codec::MAX_FRAME_BYTES).await? {
            Some(frame) => self.decode(frame).map(Some),
            None => Ok(None),
        }
    }

    /// Receives the next message, which may carry a document and be as long as one.
    pub async fn receive_document<M>(&mut self) -> Result<Option<M>, TransportError>
    where
        M: prost::Message + Default,
    {
        let Some(frame) = self.receive_frame(codec::MAX_DOCUMENT_FRAME_BYTES).await? else {
            return Ok(None);
        };
        if let Some(guard) = &self.guard {
            guard.count_document_received(codec::LENGTH_PREFIX_BYTES + frame.len());
        }
        self.decode(frame).map(Some)
    }

    /// Tells the peer to stop sending.
    pub fn stop(&mut self) {
        self.stop_with(CODE_CANCELLED);
    }

    /// Receives the payload of the next frame, or `None` at the clean end of the stream.
    async fn receive_frame(&mut self, limit: usize) -> Result<Option<Bytes>, TransportError> {
        if self.failed {
            // QUIC reports a reset only once, and a clean end afterwards.
            return Err(TransportError::StreamEnded { sent: true });
        }
        match self.next_frame(limit).await {
            Ok(Some(frame)) => Ok(Some(frame)),
            Ok(None) => {
                self.guard = None;
                Ok(None)
            }
            Err(error) => Err(self.fail(error)),
        }
    }

    fn decode<M: prost::Message + Default>(&mut self, frame: Bytes) -> Result<M, TransportError> {
        codec::decode_payload(frame).map_err(|error| self.fail(error.into()))
    }

    async fn next_frame(&mut self, limit: usize) -> Result<Option<Bytes>, TransportError> {
        loop {
            if let Some(frame) = self.decoder.next_frame(limit)? {
                return Ok(Some(frame));
            }
            match self.stream.read_chunk(MAX_READ_BYTES, true).await {
                Ok(Some(chunk)) => self.decoder.push(chunk.bytes),
                Ok(None) if self.decoder.is_at_boundary() => return Ok(None),
                Ok(None) => return Err(codec::FrameError::Truncated.into()),
                Err(error) => return Err(self.read_error(error)),
            }
        }
    }

    fn fail(&mut self, error: TransportError) -> TransportError {
        if matches!(error, TransportError::Frame(_)) {
            self.stop_with(CODE_INVALID);
        }
        self.guard = None;
        self.failed = true;
        error
    }

    fn stop_with(&mut self, code: quinn::VarInt) {
        let _ = self.stream.stop(code);
    }

    fn read_error(&self, error: quinn::ReadError) -> TransportError {
        let peer = self.peer;
        match error {
            quinn::ReadError::Reset(_) => TransportError::Reset { peer },
            quinn::ReadError::ConnectionLost(error) => connection_lost(peer, true, &error),
            quinn::ReadError::ClosedStream
            | quinn::ReadError::IllegalOrderedRead
            | quinn::ReadError::ZeroRttRejected => TransportError::StreamEnded { sent: true },
        }
    }
}

/// Returns the error of a stream whose connection was lost; `sent` tells whether any byte of the
/// stream was passed to the connection.
fn connection_lost(
    peer: net::SocketAddr,
    sent: bool,
    error: &quinn::ConnectionError,
) -> TransportError {
    let sent = sent && !is_rejected_certificate(error);
    TransportError::ConnectionLost { peer, sent, reason: error.to_string() }
}

/// Returns whether the peer rejected the certificate of this node. The peer then never completed
/// the handshake, before which it passes no stream on, although this side may have completed it and
/// sent data.
fn is_rejected_certificate(error: &quinn::ConnectionError) -> bool {
    let quinn::ConnectionError::ConnectionClosed(close) = error else { return false };
    CERTIFICATE_ALERTS
        .into_iter()
        .any(|alert| close.error_code == quinn::TransportErrorCode::crypto(alert))
}
