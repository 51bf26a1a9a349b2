//! An answer of a worker, whole or still arriving.

use bytes::{Bytes, BytesMut};
use cornelridge_fleet::admission;
use cornelridge_model::time;
use cornelridge_wire::{generated, transport};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body;

use crate::clock;
use crate::failure::RequestFailure;
use crate::worker;

/// Part of an answer that is read before its head is passed on, in bytes. A shorter answer that
/// breaks off can still become a failure.
const READ_AHEAD_BYTES: usize = 768 * 1024;

/// The body ended before it was complete.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the answer broke off: {reason}")]
pub struct BodyError {
    /// What happened.
    pub reason: String,
}

/// Where the rest of a body comes from.
pub(crate) enum BodySource {
    /// Nothing follows.
    Complete,
    /// A connection to the worker; its slot is given back at the end.
    Worker(Box<WorkerBody>),
    /// Another node.
    Peer(Box<transport::FrameReader>),
}

/// A body that arrives from a worker.
pub(crate) struct WorkerBody {
    pub(crate) incoming: body::Incoming,
    pub(crate) permit: worker::SlotPermit,
    pub(crate) connection: Option<crate::connections::PooledConnection>,
}

/// The body of an answer.
pub struct ResponseBody {
    buffered: Bytes,
    source: BodySource,
    deadline: time::Instant,
}

/// The answer of a worker.
pub struct WorkerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
    /// Load of the worker's gate when the answer began.
    pub load: admission::QueueLoad,
    /// Time that the worker's node spent on it.
    pub spent: time::Duration,
}

impl ResponseBody {
    /// A body that is there as a whole.
    pub fn complete(data: Bytes) -> ResponseBody {
        ResponseBody {
            buffered: data,
            source: BodySource::Complete,
            deadline: time::Instant(u64::MAX),
        }
    }

    /// A body that may take until `until` to arrive.
    pub(crate) fn streaming(source: BodySource, deadline: time::Instant) -> ResponseBody {
        ResponseBody { buffered: Bytes::new(), source, deadline }
    }

    /// Whether nothing follows what is there.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.source, BodySource::Complete)
    }

    /// Reads a part of the body ahead; a shorter one is whole afterwards.
    pub(crate) async fn read_ahead(&mut self) -> Result<(), BodyError> {
        let mut data = BytesMut::from(&self.buffered[..]);
        self.buffered = Bytes::new();
        while data.len() < READ_AHEAD_BYTES && !self.is_complete() {
            match self.read_next().await? {
                Some(chunk) => data.extend_from_slice(&chunk),
                None => break,
            }
        }
        self.buffered = data.freeze();
        Ok(())
    }

    /// Number of bytes that were read ahead.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// What has been read ahead of a whole body.
    pub(crate) fn into_buffered(self) -> Bytes {
        self.buffered
    }

    /// The next piece of at most so many bytes; `None` at the complete end only.
    pub(crate) async fn next_chunk(&mut self, bytes: usize) -> Result<Option<Bytes>, BodyError> {
        let mut data = self.read_next().await?;
        if let Some(data) = data.as_mut().filter(|data| data.len() > bytes) {
            self.buffered = data.split_off(bytes);
        }
        Ok(data)
    }

    /// The next piece; `None` at the complete end only.
    pub(crate) async fn read_next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        if matches!(self.source, BodySource::Complete) {
            return Ok(None);
        }
        let source = &mut self.source;
        let read = async {
            match source {
                BodySource::Complete => Ok(None),
                BodySource::Worker(body) => read_worker(&mut body.incoming).await,
                BodySource::Peer(reader) => read_peer(reader).await,
            }
        };
        let late = || Err(BodyError { reason: "the time was up".to_owned() });
        let next = clock::timeout_at(self.deadline, read).await.unwrap_or_else(late);
        match &next {
            Ok(Some(_)) => {}
            Ok(None) => self.finish(true),
            Err(_) => self.finish(false),
        }
        next
    }

    fn finish(&mut self, is_complete: bool) {
        let source = std::mem::replace(&mut self.source, BodySource::Complete);
        if let BodySource::Worker(body) = source {
            let WorkerBody { permit, connection, .. } = *body;
            permit.finish(is_complete);
            if let Some(connection) = connection.filter(|_| is_complete) {
                connection.put_back();
            }
        }
    }
}

/// The end of an attempt, for logs.
pub(crate) fn describe(result: &Result<WorkerResponse, RequestFailure>) -> String {
    match result {
        Ok(answer) => format!("status {}", answer.status.as_u16()),
        Err(failure) => format!("{} ({:?})", failure.cause, failure.state),
    }
}

async fn read_worker(incoming: &mut body::Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        let Some(frame) = incoming.frame().await else { return Ok(None) };
        let frame = frame.map_err(|error| BodyError { reason: error.to_string() })?;
        // Trailers carry nothing that is passed on.
        let Ok(data) = frame.into_data() else { continue };
        if !data.is_empty() {
            return Ok(Some(data));
        }
    }
}

async fn read_peer(reader: &mut transport::FrameReader) -> Result<Option<Bytes>, BodyError> {
    loop {
        let received = reader.receive::<generated::BodyChunk>().await;
        match received.map_err(|error| BodyError { reason: error.to_string() })? {
            Some(chunk) if chunk.last => return Ok(None),
            Some(chunk) if chunk.data.is_empty() => {}
            Some(chunk) => return Ok(Some(chunk.data)),
            None => {
                let reason = "the other node ended its stream early".to_owned();
                return Err(BodyError { reason });
            }
        }
    }
}
