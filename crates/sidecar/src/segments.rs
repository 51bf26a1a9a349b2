//! Bodies in segments, so that a body grows without being copied.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body;

use crate::memory;

/// Smallest size of a segment whose body has no known length.
const MIN_SEGMENT_BYTES: usize = 2 * 1024;
/// Largest size of a segment. A slow peer leaves at most one of them partly used.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;
/// Largest piece that the HTTP library gets at once, because it copies each one into its buffer.
pub(crate) const MAX_FRAME_BYTES: usize = 32 * 1024;
/// Memory of a segment in addition to its data.
const SEGMENT_OVERHEAD_BYTES: usize = 128;

/// A complete body or the first part of one; clones share the segments.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: VecDeque<Segment>,
    length: usize,
}

#[derive(Clone, Debug)]
struct Segment {
    data: Bytes,
    /// Reservation of the memory, which clones share.
    _memory: Option<Arc<memory::Reservation>>,
}

/// Reason why a body wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The body is longer than the limit.
    TooLarge,
    /// The body is malformed or cut off.
    Malformed,
    /// Its memory is needed for others.
    NoMemory,
}

/// Reads a body of at most `limit` bytes. A body that is declared to be longer isn't read at all.
pub(crate) async fn read(
    mut incoming: body::Incoming,
    limit: usize,
    memory: &memory::MemoryHolder,
) -> Result<SegmentedBody, ReadError> {
    let size = body::Body::size_hint(&incoming);
    if size.lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let expected = size.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut collector = BodyCollector::new(memory.clone(), expected);
    let read = async {
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame.map_err(|_| ReadError::Malformed)?.into_data() else { continue };
            if collector.len() + data.len() > limit {
                return Err(ReadError::TooLarge);
            }
            collector.push(data).await.map_err(|memory::HolderClosed| ReadError::NoMemory)?;
        }
        Ok(())
    };
    let closing = async {
        memory.closing().await;
        Err(ReadError::NoMemory)
    };
    future::or(read, closing).await?;
    Ok(collector.finish())
}

/// Collects a body, whose memory is reserved as it grows.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    holder: memory::MemoryHolder,
    body: SegmentedBody,
    current: BytesMut,
    reservation: Option<memory::Reservation>,
    /// Number of bytes that are expected to follow, if known.
    expected: Option<usize>,
}

impl SegmentedBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the data of each segment.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter().map(|segment| &segment.data)
    }

    /// Returns the body in one piece.
    pub(crate) fn to_bytes(&self) -> Bytes {
        let mut data = BytesMut::with_capacity(self.length);
        self.iter().for_each(|segment| data.extend_from_slice(segment));
        data.freeze()
    }

    /// Appends the segments of another body.
    pub(crate) fn append(&mut self, other: SegmentedBody) {
        self.length += other.length;
        self.segments.extend(other.segments);
    }

    /// Removes at most `bytes` from the start; returns `None` if nothing is left.
    pub(crate) fn take_first(&mut self, bytes: usize) -> Option<Bytes> {
        let segment = self.segments.front_mut()?;
        let data = match segment.data.len() > bytes {
            true => segment.data.split_to(bytes),
            false => self.segments.pop_front()?.data,
        };
        self.length -= data.len();
        Some(data)
    }

    fn push(&mut self, data: Bytes, reservation: Option<memory::Reservation>) {
        if !data.is_empty() {
            self.length += data.len();
            self.segments.push_back(Segment { data, _memory: reservation.map(Arc::new) });
        }
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(data: Bytes) -> SegmentedBody {
        let mut body = SegmentedBody::default();
        body.push(data, None);
        body
    }
}

impl body::Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.take_first(MAX_FRAME_BYTES).map(|data| Ok(body::Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.length as u64)
    }
}

impl BodyCollector {
    /// Returns a collector for a body of `expected` bytes, if that is known.
    pub(crate) fn new(holder: memory::MemoryHolder, expected: Option<usize>) -> BodyCollector {
        BodyCollector {
            holder,
            body: SegmentedBody::default(),
            current: BytesMut::new(),
            reservation: None,
            expected,
        }
    }

    /// Returns the number of collected bytes.
    pub(crate) fn len(&self) -> usize {
        self.body.len() + self.current.len()
    }

    /// Appends data once memory is available.
    pub(crate) async fn push(&mut self, mut data: Bytes) -> Result<(), memory::HolderClosed> {
        loop {
            self.fill(&mut data);
            if data.is_empty() {
                return Ok(());
            }
            let bytes = self.next_segment(data.len());
            let reservation = self.holder.reserve((bytes + SEGMENT_OVERHEAD_BYTES) as u64).await?;
            self.start_segment(bytes, reservation);
        }
    }

    /// Appends data if memory is available; returns the rest.
    pub(crate) fn try_push(&mut self, mut data: Bytes) -> Bytes {
        loop {
            self.fill(&mut data);
            let bytes = self.next_segment(data.len());
            if data.is_empty() {
                return data;
            }
            match self.holder.try_reserve((bytes + SEGMENT_OVERHEAD_BYTES) as u64) {
                Some(reservation) => self.start_segment(bytes, reservation),
                None => return data,
            }
        }
    }

    /// Returns the collected body.
    pub(crate) fn finish(mut self) -> SegmentedBody {
        self.seal();
        self.body
    }

    fn fill(&mut self, data: &mut Bytes) {
        let count = data.len().min(self.current.capacity() - self.current.len());
        self.current.extend_from_slice(&data.split_to(count));
    }

    fn next_segment(&self, pending: usize) -> usize {
        let left = self.expected.map(|expected| expected.saturating_sub(self.len()));
        let wanted = left.filter(|left| *left >= pending).unwrap_or(self.len().max(pending));
        wanted.clamp(pending.min(MIN_SEGMENT_BYTES), MAX_SEGMENT_BYTES)
    }

    fn start_segment(&mut self, bytes: usize, reservation: memory::Reservation) {
        self.seal();
        self.current = BytesMut::with_capacity(bytes);
        self.reservation = Some(reservation);
    }

    fn seal(&mut self) {
        let data = std::mem::take(&mut self.current).freeze();
        self.body.push(data, self.reservation.take());
    }
}
