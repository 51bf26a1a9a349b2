//! Bodies of requests and responses, read one chunk at a time so that memory stays bounded.

use std::mem;
use std::pin;

use bytes::{Bytes, BytesMut};
use cornelridge_wire::codec;
use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{self, Body};
use thiserror::Error;

/// Error for a body that wasn't received completely.
#[derive(Clone, Debug, Error)]
#[error("body was cut off: {detail}; send the request again if its outcome allows it")]
pub(crate) struct BodyError {
    /// Reason why the body ended early.
    pub(crate) detail: String,
}

/// Source of the chunks of a body.
pub(crate) enum BodySource {
    /// No body, or the end of a complete one.
    Empty,
    /// The rest of the body is lost.
    Incomplete,
    /// A complete body in memory.
    Buffered(Bytes),
    /// A body that is read from an HTTP connection.
    Http(body::Incoming),
    /// A body whose first bytes are in memory; the rest is read from an HTTP connection.
    Prefixed(Bytes, body::Incoming),
    /// A body that is read from a stream of another node.
    Frames(transport::FrameReader),
}

impl BodySource {
    /// Returns the next chunk, or `None` at the end of a complete body. Cancel-safe: dropping the
    /// future loses no data.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        match self {
            BodySource::Empty => Ok(None),
            BodySource::Incomplete => {
                let detail = "an earlier part was lost".to_owned();
                Err(BodyError { detail })
            }
            BodySource::Buffered(_) | BodySource::Prefixed(..) => Ok(self.take_buffered()),
            BodySource::Http(incoming) => {
                let chunk = next_http(incoming).await;
                let is_over = matches!(chunk, Ok(None)) || incoming.is_end_stream();
                self.mark_end(chunk.is_err(), is_over);
                chunk
            }
            BodySource::Frames(reader) => {
                let chunk = next_frame(reader).await;
                let is_over = matches!(chunk, Ok((_, true)));
                self.mark_end(chunk.is_err(), is_over);
                let (data, _) = chunk?;
                Ok(Some(data).filter(|data| !data.is_empty()))
            }
        }
    }

    fn mark_end(&mut self, is_failed: bool, is_over: bool) {
        if is_failed {
            *self = BodySource::Incomplete;
        } else if is_over {
            *self = BodySource::Empty;
        }
    }

    fn take_buffered(&mut self) -> Option<Bytes> {
        match mem::replace(self, BodySource::Empty) {
            BodySource::Buffered(data) => Some(data).filter(|data| !data.is_empty()),
            BodySource::Prefixed(data, incoming) => {
                *self = BodySource::Http(incoming);
                Some(data)
            }
            other => {
                *self = other;
                None
            }
        }
    }

    /// Returns a copy of the source if the body is in memory, otherwise `None`.
    pub(crate) fn try_clone(&self) -> Option<BodySource> {
        match self {
            BodySource::Empty => Some(BodySource::Empty),
            BodySource::Buffered(data) => Some(BodySource::Buffered(data.clone())),
            BodySource::Incomplete
            | BodySource::Http(_)
            | BodySource::Prefixed(..)
            | BodySource::Frames(_) => None,
        }
    }
}

async fn next_http(incoming: &mut body::Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        let Some(frame) = incoming.frame().await else { return Ok(None) };
        let frame = frame.map_err(|error| BodyError { detail: error.to_string() })?;
        // Trailers aren't forwarded.
        let Ok(data) = frame.into_data() else { continue };
        if !data.is_empty() {
            return Ok(Some(data));
        }
    }
}

async fn next_frame(reader: &mut transport::FrameReader) -> Result<(Bytes, bool), BodyError> {
    loop {
        match reader.receive::<generated::BodyChunk>().await {
            Ok(Some(chunk)) if chunk.data.is_empty() && !chunk.last => continue,
            Ok(Some(chunk)) => return Ok((chunk.data, chunk.last)),
            Ok(None) => {
                let detail = "the other node ended the stream early".to_owned();
                return Err(BodyError { detail });
            }
            Err(error) => return Err(BodyError { detail: error.to_string() }),
        }
    }
}

/// Reads a body of at most `limit` bytes into memory; the rest of a longer one stays a stream.
pub(crate) async fn buffer_up_to(
    mut incoming: body::Incoming,
    limit: usize,
) -> Result<BodySource, BodyError> {
    let mut data = BytesMut::new();
    while let Some(chunk) = next_http(&mut incoming).await? {
        data.extend_from_slice(&chunk);
        if data.len() > limit {
            return Ok(BodySource::Prefixed(data.freeze(), incoming));
        }
    }
    if data.is_empty() {
        return Ok(BodySource::Empty);
    }
    Ok(BodySource::Buffered(data.freeze()))
}

/// Sends a body as frames, marks the last one and ends the stream. Chunks that are available
/// without waiting are sent together with the frames queued before.
pub(crate) async fn send_frames(
    chunks: &mut (impl BodyChunks + ?Sized),
    writer: &mut transport::FrameWriter,
) -> Result<(), BodyError> {
    loop {
        let next = match future::poll_once(chunks.next_chunk()).await {
            Some(next) => next?,
            None => {
                writer.flush().await.map_err(transport_failure)?;
                chunks.next_chunk().await?
            }
        };
        let Some(mut data) = next else { break };
        while !data.is_empty() {
            let part = data.split_to(data.len().min(codec::MAX_CHUNK_BYTES));
            let chunk = generated::BodyChunk { data: part, last: false };
            writer.queue(&chunk).map_err(transport_failure)?;
            if chunk.data.len() == codec::MAX_CHUNK_BYTES {
                writer.flush().await.map_err(transport_failure)?;
            }
        }
    }
    writer
        .queue(&generated::BodyChunk { data: Bytes::new(), last: true })
        .map_err(transport_failure)?;
    writer.finish().await.map_err(transport_failure)
}

#[allow(clippy::needless_pass_by_value)]
pub(crate) fn transport_failure(error: transport::TransportError) -> BodyError {
    BodyError { detail: error.to_string() }
}

/// A body that is read chunk by chunk.
pub(crate) trait BodyChunks: Send {
    /// Returns the next chunk, or `None` at the end of a complete body.
    fn next_chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, BodyError>> + Send;
}

impl BodyChunks for BodySource {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        self.next().await
    }
}

/// The body type given to `hyper`.
pub(crate) type HttpBody = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Adapts a body to `hyper`. An error aborts the HTTP message, so the receiver sees that it is
/// incomplete.
pub(crate) fn to_http(chunks: impl BodyChunks + 'static) -> HttpBody {
    let frames = stream::unfold(Some(chunks), |state| async {
        let mut chunks = state?;
        match chunks.next_chunk().await {
            Ok(Some(data)) => Some((Ok(body::Frame::data(data)), Some(chunks))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let frames: pin::Pin<Box<dyn stream::Stream<Item = _> + Send>> = Box::pin(frames);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
