//! Length-prefixed frames with size limits.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Most bytes in a frame of a request, a response or a record.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Most bytes in a frame that carries a document.
pub const MAX_DOCUMENT_FRAME_BYTES: usize = 1024 * 1024;
/// Most bytes of body data in one chunk; leaves room in a frame for the other fields.
pub const MAX_CHUNK_BYTES: usize = 48 * 1024;
/// Bytes of the length in front of each frame, a big-endian `u32`.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Appends `message` to `buffer` as one frame of at most `limit` bytes.
pub fn encode_frame<M: prost::Message>(
    message: &M,
    limit: usize,
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    let length = message.encoded_len();
    if length > limit {
        return Err(FrameError::TooLong { length, limit });
    }
    // A buffer without spare room becomes `Bytes` without another allocation.
    buffer.reserve_exact(LENGTH_PREFIX_BYTES + length);
    buffer.put_u32(length as u32);
    message.encode_raw(buffer);
    Ok(())
}

/// Decodes the payload of one frame.
pub fn decode_payload<M: prost::Message + Default>(payload: Bytes) -> Result<M, FrameError> {
    M::decode(payload).map_err(|error| FrameError::Malformed { reason: error.to_string() })
}

/// Cuts a sequence of bytes, in pieces of any size, into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// The piece received last, as far as it isn't consumed.
    current: Bytes,
    /// Start of a frame that is longer than the pieces received so far.
    partial: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes. Frames that are available already must be taken out first.
    pub fn push(&mut self, chunk: Bytes) {
        if self.partial.is_empty() && self.current.is_empty() {
            self.current = chunk;
            return;
        }
        let rest = std::mem::take(&mut self.current);
        self.partial.extend_from_slice(&rest);
        self.partial.extend_from_slice(&chunk);
    }

    /// The next whole frame, or `None` while bytes are missing.
    pub fn next_frame(&mut self, limit: usize) -> Result<Option<Bytes>, FrameError> {
        if self.partial.is_empty() {
            return split_current(&mut self.current, limit);
        }
        let Some(length) = frame_length(&self.partial, limit)? else {
            return Ok(None);
        };
        if self.partial.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.partial.advance(LENGTH_PREFIX_BYTES);
        let payload = self.partial.split_to(length).freeze();
        self.current = std::mem::take(&mut self.partial).freeze();
        Ok(Some(payload))
    }

    /// Whether the bytes so far end between two frames.
    pub fn is_at_boundary(&self) -> bool {
        self.current.is_empty() && self.partial.is_empty()
    }
}

fn split_current(current: &mut Bytes, limit: usize) -> Result<Option<Bytes>, FrameError> {
    let Some(length) = frame_length(current, limit)? else {
        return Ok(None);
    };
    if current.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    current.advance(LENGTH_PREFIX_BYTES);
    Ok(Some(current.split_to(length)))
}

fn frame_length(bytes: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > limit {
        return Err(FrameError::TooLong { length, limit });
    }
    Ok(Some(length))
}

/// A frame that can't be sent or used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is longer than its kind may be.
    #[error("frame of {length} bytes exceeds the limit of {limit}: send the body in chunks")]
    TooLong {
        /// Length that the frame has or announces.
        length: usize,
        /// The limit for its kind.
        limit: usize,
    },
    /// The payload isn't the expected message.
    #[error("frame is not a valid message ({reason}): check that both nodes run this version")]
    Malformed {
        /// The decoder's reason.
        reason: String,
    },
    /// The stream ended inside a frame.
    #[error("stream ended inside a frame: treat the message as not received")]
    Truncated,
}
