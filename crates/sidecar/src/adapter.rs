//! Interfaces between a node and its platform: header names, formats and the store.

use std::net;
use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::config;
use cornelridge_fleet::grant;
use cornelridge_fleet::ledger;
use cornelridge_fleet::worker_report;
use cornelridge_fleet::worker_speed;
use cornelridge_store::items;
use http::{HeaderName, Method, StatusCode};

/// Names of the headers that the node reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller.
    pub request_id: HeaderName,
    /// Time for which the caller waits, or that is left for the worker, in milliseconds.
    pub deadline: HeaderName,
    /// Key of a service divided by key.
    pub key: HeaderName,
    /// Service beside the node that received the request from its caller.
    pub caller_service: HeaderName,
    /// Worker that may run the request; any other worker refuses it.
    pub expected_worker: HeaderName,
    /// Set by a worker that did not run the request.
    pub not_executed: HeaderName,
    /// Set by a worker on each successful response.
    pub signature: HeaderName,
    /// Handover token that a worker sets on the answer to a release.
    pub handover: HeaderName,
    /// Identifier of the worker, which it sets on the answer to a health check.
    pub worker: HeaderName,
    /// Time for which the worker stays cold, in milliseconds, on the answer to a health check.
    pub warm_up: HeaderName,
    /// Load that the worker states in its answers.
    pub load: HeaderName,
}

/// A call to the worker in the format of the platform.
#[derive(Clone, Debug)]
pub struct EncodedCall {
    /// Path of the call.
    pub path: &'static str,
    /// Body of the call.
    pub body: Bytes,
}

/// A call of the worker to the report address.
#[derive(Clone, Debug)]
pub enum ReportCall {
    /// A report of the worker's state.
    Report(Box<worker_report::WorkerReport>),
    /// The worker with this identifier is about to exit.
    Deregister(Arc<str>),
}

/// A call that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedCall {
    /// Status of the response to the call.
    pub status: StatusCode,
    /// Why the call can't be decoded.
    pub reason: String,
}

/// Header names and formats of the platform.
pub trait FormatAdapter: Send + Sync {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the identifier of the request for which a worker made the request `id`, if `id`
    /// contains it.
    fn parent_of<'a>(&self, id: &'a str) -> Option<&'a str>;

    /// Returns the path of the readiness check.
    fn readiness_path(&self) -> &str;

    /// Returns the key of the configuration in the store.
    fn config_key(&self) -> &str;

    /// Returns the prefix of all items that operators write.
    fn operator_prefix(&self) -> &str;

    /// Returns the prefix of the items that ask for the evacuation of a zone; the zone's name
    /// follows.
    fn evacuation_prefix(&self) -> &str;

    /// Decodes the configuration; the error describes what is invalid.
    fn decode_config(&self, value: &[u8]) -> Result<config::FleetConfig, String>;

    /// Decodes the load that a worker states in a response; `None` if it is malformed.
    fn decode_load(&self, value: &[u8]) -> Option<worker_speed::StatedLoad>;

    /// Decodes a call of the worker.
    fn decode_report(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Result<ReportCall, MalformedCall>;

    /// Encodes the reply to a report; `None` grants and renews nothing.
    fn encode_reply(&self, reply: Option<&grant::GrantReply>) -> Bytes;

    /// Encodes a call to the worker.
    fn encode_call(&self, order: &ledger::CallOrder) -> EncodedCall;
}

/// A function that returns the text of the metrics.
pub type MetricsText = fn() -> String;

/// The interfaces of the platform that a node uses.
#[derive(Clone)]
pub struct PlatformAdapter {
    /// The store.
    pub store: Arc<dyn items::ItemStore>,
    /// Header names and formats.
    pub format: Arc<dyn FormatAdapter>,
    /// Returns the text of the metrics.
    pub metrics: MetricsText,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for the other nodes.
    pub peers: net::SocketAddr,
    /// Address for readiness checks.
    pub readiness: net::SocketAddr,
    /// Address for the worker's reports.
    pub reports: net::SocketAddr,
}
