//! Bodies of requests and answers, pulled one chunk at a time so that memory stays bounded.

use std::mem;
use std::pin;

use bytes::{Bytes, BytesMut};
use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body;
use thiserror::Error;

/// Largest chunk sent to another node in one frame, in bytes; a frame holds 64 KiB with its head.
const MAX_CHUNK_BYTES: usize = 60 * 1024;

/// A body that did not arrive whole.
#[derive(Clone, Debug, Error)]
#[error("body was cut off: {detail}; send the request again if its outcome allows it")]
pub(crate) struct BodyCutError {
    /// What ended it.
    pub(crate) detail: String,
}

/// Where the chunks of a body come from.
pub(crate) enum BodySource {
    /// No body.
    Empty,
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
    /// The next chunk; `None` at the clean end only.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyCutError> {
        match mem::replace(self, BodySource::Empty) {
            BodySource::Empty => Ok(None),
            BodySource::Whole(data) => Ok(Some(data).filter(|data| !data.is_empty())),
            BodySource::Prefixed(data, incoming) => {
                *self = BodySource::Http(incoming);
                Ok(Some(data))
            }
            BodySource::Http(mut incoming) => {
                let chunk = next_http(&mut incoming).await?;
                if chunk.is_some() {
                    *self = BodySource::Http(incoming);
                }
                Ok(chunk)
            }
            BodySource::Frames(mut reader) => {
                let (chunk, last) = next_frame(&mut reader).await?;
                if !last {
                    *self = BodySource::Frames(reader);
                }
                Ok(Some(chunk).filter(|chunk| !(last && chunk.is_empty())))
            }
        }
    }

    /// A second source with the same bytes, if the body is in memory.
    pub(crate) fn try_clone(&self) -> Option<BodySource> {
        match self {
            BodySource::Empty => Some(BodySource::Empty),
            BodySource::Whole(data) => Some(BodySource::Whole(data.clone())),
            BodySource::Http(_) | BodySource::Prefixed(..) | BodySource::Frames(_) => None,
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
            Ok(Some(chunk)) => return Ok((Bytes::from(chunk.data), chunk.last)),
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

/// Sends a body as frames and ends with a frame marked as the last one.
pub(crate) async fn send_frames(
    chunks: &mut (impl BodyChunks + ?Sized),
    writer: &mut transport::FrameWriter,
) -> Result<(), BodyCutError> {
    while let Some(mut data) = chunks.next_chunk().await? {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
            let chunk = generated::BodyChunk { data: piece.to_vec(), last: false };
            send(writer, &chunk).await?;
        }
    }
    send(writer, &generated::BodyChunk { data: Vec::new(), last: true }).await
}

async fn send(
    writer: &mut transport::FrameWriter,
    chunk: &generated::BodyChunk,
) -> Result<(), BodyCutError> {
    writer.send(chunk).await.map_err(|error| BodyCutError { detail: error.to_string() })
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
