//! The response of a worker, with a body that is complete or still being received.

use bytes::Bytes;
use cornelridge_fleet::admission;
use cornelridge_model::time;
use cornelridge_wire::{generated, transport};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body;

use crate::clock;
use crate::failure::{FailureCause, RequestFailure};
use crate::memory;
use crate::request;
use crate::segments;
use crate::worker;

/// Bytes of a body that are read before the head of the response is passed on. If a shorter body
/// is cut off, the request can still fail with a proper status.
const READ_AHEAD_BYTES: usize = 768 * 1024;

/// A body that ended before it was complete.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the response was cut off: {reason}")]
pub struct BodyError {
    /// Reason for the end.
    pub reason: String,
}

/// Source of the rest of a body.
pub(crate) enum BodySource {
    /// No data follows.
    Complete,
    /// A connection to the worker, whose slot is released at the end.
    Worker(Box<WorkerBody>),
    /// A stream from another node.
    Peer(Box<PeerBody>),
}

/// A body that is received from another node.
pub(crate) struct PeerBody {
    pub(crate) reader: transport::FrameReader,
    /// Memory of the stream, which is in use until the body ends.
    pub(crate) _reservation: memory::Reservation,
}

/// A body that is received from the worker.
pub(crate) struct WorkerBody {
    pub(crate) incoming: body::Incoming,
    pub(crate) permit: worker::SlotPermit,
    pub(crate) connection: Option<crate::connections::PooledConnection>,
    pub(crate) slot: memory::SlotGuard,
}

/// The body of a response.
pub struct ResponseBody {
    buffered: segments::SegmentedBody,
    source: BodySource,
    deadline: time::Instant,
}

/// The response of a worker.
pub struct WorkerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: ResponseBody,
    /// Load of the worker's admission queue when the response began.
    pub load: admission::QueueLoad,
    /// Time that the request spent at the worker's node.
    pub spent: time::Duration,
}

impl ResponseBody {
    /// Returns a complete body.
    pub fn complete(data: Bytes) -> ResponseBody {
        ResponseBody {
            buffered: data.into(),
            source: BodySource::Complete,
            deadline: time::Instant(u64::MAX),
        }
    }

    /// Returns a body that is read from `source` and fails at `deadline`.
    pub(crate) fn streaming(source: BodySource, deadline: time::Instant) -> ResponseBody {
        ResponseBody { buffered: segments::SegmentedBody::default(), source, deadline }
    }

    /// Returns whether the whole body is buffered.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self.source, BodySource::Complete)
    }

    /// Returns whether all data of a complete body has been taken.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_complete() && self.buffered.is_empty()
    }

    /// Buffers the body up to about `READ_AHEAD_BYTES`, as far as memory is available; a shorter
    /// body is complete afterwards.
    pub(crate) async fn read_ahead(
        &mut self,
        memory: &memory::MemoryHolder,
    ) -> Result<(), BodyError> {
        let mut collector = segments::BodyCollector::new(memory.clone(), None);
        while collector.len() < READ_AHEAD_BYTES && !self.is_complete() {
            let Some(chunk) = self.read_next().await? else { break };
            let rest = collector.try_push(chunk);
            if !rest.is_empty() {
                let mut buffered = collector.finish();
                buffered.append(rest.into());
                self.buffered = buffered;
                return Ok(());
            }
        }
        self.buffered = collector.finish();
        Ok(())
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the buffered data, which is the whole body if it is complete.
    pub(crate) fn into_buffered(self) -> segments::SegmentedBody {
        self.buffered
    }

    /// Returns the next chunk of at most `bytes`, or `None` at the end of a complete body.
    pub(crate) async fn next_chunk(&mut self, bytes: usize) -> Result<Option<Bytes>, BodyError> {
        if self.buffered.is_empty()
            && let Some(data) = self.read_next().await?
        {
            self.buffered = data.into();
        }
        Ok(self.buffered.take_first(bytes))
    }

    /// Returns the next data, or `None` at the end of a complete body.
    pub(crate) async fn read_next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(data) = self.buffered.take_first(usize::MAX) {
            return Ok(Some(data));
        }
        if matches!(self.source, BodySource::Complete) {
            return Ok(None);
        }
        let source = &mut self.source;
        let read = async {
            match source {
                BodySource::Complete => Ok(None),
                BodySource::Worker(body) => read_worker(&mut body.incoming).await,
                BodySource::Peer(body) => read_peer(&mut body.reader).await,
            }
        };
        let late = || Err(BodyError { reason: "the deadline has passed".to_owned() });
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
            let WorkerBody { permit, connection, slot, .. } = *body;
            drop(slot);
            permit.finish(is_complete);
            if let Some(connection) = connection.filter(|_| is_complete) {
                connection.put_back();
            }
        }
    }
}

/// Returns whether a status ends a request: HTTP defines those from 200 to 599, but faulty
/// workers have sent others.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a status of a worker that has run a request may be passed on: callers take some
/// statuses as the statement that their request hasn't run.
pub(crate) fn is_passed_on(status: StatusCode) -> bool {
    let means_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    is_final(status) && !means_not_run
}

/// Checks that a status other than that of a refusal may be passed on to the caller.
pub(crate) fn check_passed_on(
    request: &request::FleetRequest,
    status: StatusCode,
) -> Result<(), RequestFailure> {
    if is_passed_on(status) {
        return Ok(());
    }
    log::warn!(
        request:% = request.id, status = status.as_u16();
        "the worker sent a status that means not run without the header of a refusal"
    );
    Err(RequestFailure::unknown(FailureCause::WrongAnswer))
}

/// Returns a text for logs about the outcome of an attempt.
pub(crate) fn describe(result: &Result<WorkerResponse, RequestFailure>) -> String {
    match result {
        Ok(response) => format!("status {}", response.status.as_u16()),
        Err(failure) => format!("{} ({:?})", failure.cause, failure.state),
    }
}

async fn read_worker(incoming: &mut body::Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        let Some(frame) = incoming.frame().await else { return Ok(None) };
        let frame = frame.map_err(|error| BodyError { reason: error.to_string() })?;
        // Trailers aren't passed on.
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
                let reason =
                    "the other node ended its stream before the end of the body".to_owned();
                return Err(BodyError { reason });
            }
        }
    }
}
