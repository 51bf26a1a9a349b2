//! Requests of callers and the responses of upstreams, as the request path passes them on.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_model::class;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_wire::generated;
use http::{HeaderMap, Method, StatusCode};
use xxhash_rust::xxh3;

use crate::body;
use crate::dispatch;
use crate::failure::{FailureKind, RequestFailure};
use crate::headers;

/// Longest key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Longest path with query, in bytes.
pub(crate) const MAX_PATH_BYTES: usize = 8 * 1024;
/// Largest body that is included in the fingerprint of a request, in bytes.
const MAX_FINGERPRINT_BODY_BYTES: usize = 64 * 1024;

/// A request without its body.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Random identifier, drawn by the node that received the request from the caller.
    pub(crate) id: u64,
    /// Name of the class.
    pub(crate) class: Arc<str>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query for the upstream.
    pub(crate) path: String,
    /// Headers for the upstream.
    pub(crate) headers: HeaderMap,
    /// Key, for classes that are divided by key.
    pub(crate) key: Bytes,
    /// Identifies the execution of a non-idempotent request; empty for other requests.
    pub(crate) idempotency_key: Arc<str>,
    /// Name under which the load of the caller is counted.
    pub(crate) caller: Arc<str>,
    /// Time at which the caller stops waiting, on the local clock.
    pub(crate) deadline: time::Instant,
    /// Attempts made before this one.
    pub(crate) attempt: u32,
}

impl RequestHead {
    /// Returns the position of the request in the hash space of its class: by its key, or by its
    /// idempotency key if any worker may serve the class.
    pub(crate) fn slice_hash(&self, class: &class::ClassConfig) -> key::KeyHash {
        match class.division {
            class::KeyDivision::ByKey => key::KeyHash::of(&self.class, &self.key),
            class::KeyDivision::AnyWorker => {
                key::KeyHash::of(&self.class, self.idempotency_key.as_bytes())
            }
        }
    }

    /// Returns a hash that is equal for requests with the same content. Used to detect requests
    /// that crash upstreams.
    pub(crate) fn fingerprint(&self, source: &body::BodySource) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        let parts = [
            self.class.as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.key,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        if let body::BodySource::Buffered(data) = source
            && data.len() <= MAX_FINGERPRINT_BODY_BYTES
        {
            hasher.update(data);
        }
        hasher.digest()
    }

    /// Converts the request to the message for another node. The deadline is sent as the remaining
    /// time.
    pub(crate) fn to_wire(
        &self,
        now: time::Instant,
        epoch: u64,
        has_body: bool,
    ) -> generated::RequestHead {
        generated::RequestHead {
            request_id: self.id,
            class: self.class.to_string(),
            method: self.method.as_str().to_owned(),
            path: self.path.clone(),
            headers: headers::to_wire(&self.headers),
            key: self.key.clone(),
            idempotency_key: self.idempotency_key.to_string(),
            caller: self.caller.to_string(),
            deadline_us: self.deadline.since(now).as_micros(),
            epoch,
            has_body,
            attempt: self.attempt,
        }
    }

    /// Reads a request from the message of another node.
    ///
    /// Fails if the method, a key or the path is invalid. The deadline is limited to the longest
    /// that a class may have.
    pub(crate) fn from_wire(
        head: generated::RequestHead,
        now: time::Instant,
    ) -> Result<RequestHead, RequestFailure> {
        let bad = |detail: &str| RequestFailure::not_run(FailureKind::BadRequest, detail);
        let method =
            Method::from_bytes(head.method.as_bytes()).map_err(|_| bad("unknown method"))?;
        if head.key.len() > MAX_KEY_BYTES || head.idempotency_key.len() > MAX_KEY_BYTES {
            return Err(bad("key is longer than 256 bytes"));
        }
        if head.path.len() > MAX_PATH_BYTES || !head.path.starts_with('/') {
            return Err(bad("path doesn't start with / or is longer than 8 KiB"));
        }
        let limit = class::MAX_DEADLINE_MS * 1_000;
        Ok(RequestHead {
            id: head.request_id,
            class: head.class.into(),
            method,
            path: head.path,
            headers: headers::from_wire(&head.headers),
            key: head.key,
            idempotency_key: head.idempotency_key.into(),
            caller: head.caller.into(),
            deadline: now + time::Duration(head.deadline_us.min(limit)),
            attempt: head.attempt,
        })
    }
}

/// The response of an upstream to a request, with its body as a stream.
pub(crate) struct UpstreamResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers for the caller.
    pub(crate) headers: HeaderMap,
    /// Body, read from the upstream as the caller reads it.
    pub(crate) body: ResponseBody,
}

/// The body of a response, with the resources to release at its end.
pub(crate) struct ResponseBody {
    /// Source of the chunks: the upstream, or the node beside it.
    pub(crate) source: body::BodySource,
    /// Slot, ticket, record and connection, if the upstream is beside this node.
    pub(crate) completion: Option<dispatch::ResponseCompletion>,
}

impl ResponseBody {
    /// Creates a body without resources to release.
    pub(crate) fn new(source: body::BodySource) -> ResponseBody {
        ResponseBody { source, completion: None }
    }
}

impl body::BodyChunks for ResponseBody {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        let Some(completion) = self.completion.as_mut() else {
            return self.source.next().await;
        };
        let next = completion.next_chunk(&mut self.source).await;
        if !matches!(next, Ok(Some(_)))
            && let Some(completion) = self.completion.take()
        {
            completion.finish(next.is_ok());
        }
        next
    }
}
