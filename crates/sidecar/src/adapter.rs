//! What the surroundings of a node provide: names, formats and the store.

use std::net;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::config;
use cornelridge_fleet::grant;
use cornelridge_store::items;
use http::{HeaderName, Method, StatusCode};

/// Names of the headers that the node reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Time that the caller waits, or that is left for the worker, in milliseconds.
    pub deadline: HeaderName,
    /// Key of a service divided by key.
    pub key: HeaderName,
    /// Service beside the node where a request began.
    pub caller_service: HeaderName,
    /// Worker that may run a request; any other one refuses it.
    pub expected_worker: HeaderName,
    /// Set by a worker that did not run a request.
    pub not_executed: HeaderName,
    /// Set by a worker on each success.
    pub signature: HeaderName,
}

/// A call of the worker at the report address.
#[derive(Clone, Debug)]
pub enum ReportCall {
    /// It says how it is.
    Report(Box<grant::WorkerReport>),
    /// The worker with this identifier is about to end.
    Deregister(Arc<str>),
}

/// A call that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedCall {
    /// Answer to it.
    pub status: StatusCode,
    /// What is wrong.
    pub reason: String,
}

/// Formats of the surroundings.
pub trait FormatAdapter: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Identifier of the request for which a worker made the request `id`, if that shows in it.
    fn parent_of<'a>(&self, id: &'a str) -> Option<&'a str>;

    /// Path at which readiness is asked for.
    fn readiness_path(&self) -> &str;

    /// Key of the configuration in the store.
    fn config_key(&self) -> &str;

    /// Decodes the configuration; an error says what is wrong.
    fn decode_config(&self, value: &[u8]) -> Result<config::FleetConfig, String>;

    /// Decodes a call of the worker.
    fn decode_report(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Result<ReportCall, MalformedCall>;

    /// Encodes the answer to a report; `None` grants and renews nothing.
    fn encode_reply(&self, reply: Option<&grant::GrantReply>) -> Bytes;
}

/// Text of the metrics.
pub type MetricsText = fn() -> String;

/// Everything that a node gets from its surroundings.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// The store.
    pub store: Arc<dyn items::ItemStore>,
    /// Formats.
    pub format: Arc<dyn FormatAdapter>,
    /// Text of the metrics.
    pub metrics: MetricsText,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For the other nodes.
    pub peers: net::SocketAddr,
    /// For readiness.
    pub readiness: net::SocketAddr,
    /// For the worker's reports.
    pub reports: net::SocketAddr,
}
