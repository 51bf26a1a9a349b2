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
    Nothing,
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
    ready: Bytes,
    rest: BodySource,
    until: time::Instant,
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
    pub fn whole(data: Bytes) -> ResponseBody {
        ResponseBody { ready: data, rest: BodySource::Nothing, until: time::Instant(u64::MAX) }
    }

    /// A body that may take until `until` to arrive.
    pub(crate) fn arriving(rest: BodySource, until: time::Instant) -> ResponseBody {
        ResponseBody { ready: Bytes::new(), rest, until }
    }

    /// Whether nothing follows what is there.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self.rest, BodySource::Nothing)
    }

    /// Reads a part of the body ahead; a shorter one is whole afterwards.
    pub(crate) async fn read_ahead(&mut self) -> Result<(), BodyError> {
        let mut data = BytesMut::from(&self.ready[..]);
        self.ready = Bytes::new();
        while data.len() < READ_AHEAD_BYTES && !self.is_whole() {
            match self.next().await? {
                Some(chunk) => data.extend_from_slice(&chunk),
                None => break,
            }
        }
        self.ready = data.freeze();
        Ok(())
    }

    /// Number of bytes that were read ahead.
    pub(crate) fn ready_bytes(&self) -> usize {
        self.ready.len()
    }

    /// What has been read ahead of a whole body.
    pub(crate) fn into_whole(self) -> Bytes {
        self.ready
    }

    /// The next piece of at most so many bytes; `None` at the complete end only.
    pub(crate) async fn next_piece(&mut self, bytes: usize) -> Result<Option<Bytes>, BodyError> {
        let mut data = self.next().await?;
        if let Some(data) = data.as_mut().filter(|data| data.len() > bytes) {
            self.ready = data.split_off(bytes);
        }
        Ok(data)
    }

    /// The next piece; `None` at the complete end only.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if !self.ready.is_empty() {
            return Ok(Some(std::mem::take(&mut self.ready)));
        }
        if matches!(self.rest, BodySource::Nothing) {
            return Ok(None);
        }
        let rest = &mut self.rest;
        let read = async {
            match rest {
                BodySource::Nothing => Ok(None),
                BodySource::Worker(source) => read_worker(&mut source.incoming).await,
                BodySource::Peer(reader) => read_peer(reader).await,
            }
        };
        let late = || Err(BodyError { reason: "the time was up".to_owned() });
        let next = clock::timeout_at(self.until, read).await.unwrap_or_else(late);
        match &next {
            Ok(Some(_)) => {}
            Ok(None) => self.end(true),
            Err(_) => self.end(false),
        }
        next
    }

    fn end(&mut self, is_whole: bool) {
        let rest = std::mem::replace(&mut self.rest, BodySource::Nothing);
        if let BodySource::Worker(source) = rest {
            let WorkerBody { permit, connection, .. } = *source;
            permit.finish(is_whole);
            if let Some(connection) = connection.filter(|_| is_whole) {
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
