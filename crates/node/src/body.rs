//! Bodies of requests and answers, pulled one chunk at a time so that memory stays bounded.

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

/// A body that did not arrive whole.
#[derive(Clone, Debug, Error)]
#[error("body was cut off: {detail}; send the request again if its outcome allows it")]
pub(crate) struct BodyCutError {
    /// What ended it.
    pub(crate) detail: String,
}

/// Where the chunks of a body come from.
pub(crate) enum BodySource {
    /// No body, or its clean end.
    Empty,
    /// The rest was lost.
    Cut,
    /// A whole body in memory.
    Whole(Bytes),
    /// An HTTP connection.
    Http(body::Incoming),
    /// Chunks that were read already, then an HTTP connection.
    Prefixed(Bytes, body::Incoming),
    /// A stream from another node.
    Frames(transport::FrameReader),
}

impl BodySource {
    /// The next chunk; `None` at the clean end only. Dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyCutError> {
        match self {
            BodySource::Empty => Ok(None),
            BodySource::Cut => {
                let detail = "an earlier part was lost".to_owned();
                Err(BodyCutError { detail })
            }
            BodySource::Whole(_) | BodySource::Prefixed(..) => Ok(self.take_ready()),
            BodySource::Http(incoming) => {
                let chunk = next_http(incoming).await;
                let is_over = matches!(chunk, Ok(None)) || incoming.is_end_stream();
                self.settle(chunk.is_err(), is_over);
                chunk
            }
            BodySource::Frames(reader) => {
                let chunk = next_frame(reader).await;
                let is_over = matches!(chunk, Ok((_, true)));
                self.settle(chunk.is_err(), is_over);
                let (data, _) = chunk?;
                Ok(Some(data).filter(|data| !data.is_empty()))
            }
        }
    }

    fn settle(&mut self, is_cut: bool, is_over: bool) {
        if is_cut {
            *self = BodySource::Cut;
        } else if is_over {
            *self = BodySource::Empty;
        }
    }

    fn take_ready(&mut self) -> Option<Bytes> {
        match mem::replace(self, BodySource::Empty) {
            BodySource::Whole(data) => Some(data).filter(|data| !data.is_empty()),
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

    /// A second source with the same bytes, if the body is in memory.
    pub(crate) fn try_clone(&self) -> Option<BodySource> {
        match self {
            BodySource::Empty => Some(BodySource::Empty),
            BodySource::Whole(data) => Some(BodySource::Whole(data.clone())),
            BodySource::Cut
            | BodySource::Http(_)
            | BodySource::Prefixed(..)
            | BodySource::Frames(_) => None,
        }
    }
}

async fn next_http(incoming: &mut body::Incoming) -> Result<Option<Bytes>, BodyCutError> {
    loop {
        let Some(frame) = incoming.frame().await else { return Ok(None) };
        let frame = frame.map_err(|error| BodyCutError { detail: error.to_string() })?;
        // Trailers carry nothing that the system passes on.
        let Ok(data) = frame.into_data() else { continue };
        if !data.is_empty() {
            return Ok(Some(data));
        }
    }
}

async fn next_frame(reader: &mut transport::FrameReader) -> Result<(Bytes, bool), BodyCutError> {
    loop {
        match reader.receive::<generated::BodyChunk>().await {
            Ok(Some(chunk)) if chunk.data.is_empty() && !chunk.last => continue,
            Ok(Some(chunk)) => return Ok((chunk.data, chunk.last)),
            Ok(None) => {
                let detail = "the other node ended the stream early".to_owned();
                return Err(BodyCutError { detail });
            }
            Err(error) => return Err(BodyCutError { detail: error.to_string() }),
        }
    }
}

/// Reads a body of at most `limit` bytes into memory; a longer one stays a stream.
pub(crate) async fn buffer_up_to(
    mut incoming: body::Incoming,
    limit: usize,
) -> Result<BodySource, BodyCutError> {
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
    Ok(BodySource::Whole(data.freeze()))
}

/// Sends a body as frames, marks the last one and ends the stream. What is at hand leaves at once
/// with what was queued before.
pub(crate) async fn send_frames(
    chunks: &mut (impl BodyChunks + ?Sized),
    writer: &mut transport::FrameWriter,
) -> Result<(), BodyCutError> {
    loop {
        let next = match future::poll_once(chunks.next_chunk()).await {
            Some(next) => next?,
            None => {
                writer.flush().await.map_err(cut)?;
                chunks.next_chunk().await?
            }
        };
        let Some(mut data) = next else { break };
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(codec::MAX_CHUNK_BYTES));
            let chunk = generated::BodyChunk { data: piece, last: false };
            writer.queue(&chunk).map_err(cut)?;
            if chunk.data.len() == codec::MAX_CHUNK_BYTES {
                writer.flush().await.map_err(cut)?;
            }
        }
    }
    writer.queue(&generated::BodyChunk { data: Bytes::new(), last: true }).map_err(cut)?;
    writer.finish().await.map_err(cut)
}

#[allow(clippy::needless_pass_by_value)]
pub(crate) fn cut(error: transport::TransportError) -> BodyCutError {
    BodyCutError { detail: error.to_string() }
}

/// A body that is pulled chunk by chunk.
pub(crate) trait BodyChunks: Send {
    /// The next chunk; `None` at the clean end only.
    fn next_chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, BodyCutError>> + Send;
}

impl BodyChunks for BodySource {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyCutError> {
        self.next().await
    }
}

/// The body type given to `hyper`.
pub(crate) type HttpBody = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyCutError>;

/// Adapts a pulled body to `hyper`; an error ends the HTTP message visibly.
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
