//! Length-prefixed frames with size limits.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Maximum payload of a frame of a request, a response or a record, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Maximum payload of a frame that carries a document, in bytes.
pub const MAX_DOCUMENT_FRAME_BYTES: usize = 1024 * 1024;
/// Maximum body data in one chunk, in bytes; leaves room in a frame for the other fields.
pub const MAX_CHUNK_BYTES: usize = 48 * 1024;
/// Size of the length prefix of each frame, a big-endian `u32`.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Appends `message` to `buffer` as one frame.
///
/// Returns [`FrameError::TooLong`] and leaves `buffer` unchanged if the payload exceeds `limit`
/// bytes.
pub fn encode_frame<M: prost::Message>(
    message: &M,
    limit: usize,
    buffer: &mut Vec<u8>,
) -> Result<(), FrameError> {
    let length = message.encoded_len();
    if length > limit {
        return Err(FrameError::TooLong { length, limit });
    }
    // A buffer without spare capacity converts to `Bytes` without another allocation.
    buffer.reserve_exact(LENGTH_PREFIX_BYTES + length);
    buffer.put_u32(length as u32);
    message.encode_raw(buffer);
    Ok(())
}

/// Decodes the payload of one frame.
///
/// Returns [`FrameError::Malformed`] if the payload isn't a valid message.
pub fn decode_payload<M: prost::Message + Default>(payload: Bytes) -> Result<M, FrameError> {
    M::decode(payload).map_err(|error| FrameError::Malformed { reason: error.to_string() })
}

/// Splits a byte sequence, received in chunks of any size, into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// The unconsumed rest of the last chunk.
    current: Bytes,
    /// Start of a frame that is longer than the chunks received so far.
    partial: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes. The caller must first take the frames that are already complete.
    pub fn push(&mut self, chunk: Bytes) {
        if self.partial.is_empty() && self.current.is_empty() {
            self.current = chunk;
            return;
        }
        let rest = std::mem::take(&mut self.current);
        self.partial.extend_from_slice(&rest);
        self.partial.extend_from_slice(&chunk);
    }

    /// Returns the payload of the next complete frame, or `None` while bytes are missing.
    ///
    /// Fails if the announced length exceeds `limit` bytes.
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

    /// Returns whether the received bytes end at a frame boundary and all frames were taken.
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

/// A frame that can't be sent or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame exceeds the size limit of its kind.
    #[error("frame of {length} bytes exceeds the limit of {limit}: send the body in chunks")]
    TooLong {
        /// Actual or announced length of the payload, in bytes.
        length: usize,
        /// Limit for this kind of frame, in bytes.
        limit: usize,
    },
    /// The payload isn't the expected message.
    #[error("frame is not a valid message ({reason}): check that both nodes run this version")]
    Malformed {
        /// Error message of the decoder.
        reason: String,
    },
    /// The stream ended inside a frame.
    #[error("stream ended inside a frame: treat the message as not received")]
    Truncated,
}
