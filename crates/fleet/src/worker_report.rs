//! Reports of a worker about itself.

use std::net;
use std::sync::Arc;

use cornelridge_model::time;

use crate::member;

/// Range that a worker reports as held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token under which the worker holds the keys.
    pub fence: u64,
}

/// Range that a worker reports as released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Handover token, with which the next holder takes over the worker's warm state.
    pub handover: Arc<str>,
}

/// Report of a worker about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Name of its incarnation.
    pub name: member::WorkerName,
    /// Time of its start, in Unix milliseconds; orders the incarnations beside one node.
    pub started_unix_ms: u64,
    /// Sequence number, which increases with each report of an incarnation.
    pub sequence: u64,
    /// Service that the worker runs.
    pub service: Arc<str>,
    /// Address at which the worker accepts requests.
    pub address: net::SocketAddr,
    /// Highest number of requests that the worker runs at the same time.
    pub slots: u32,
    /// Whether the worker takes new requests.
    pub state: member::WorkerState,
    /// Remaining time of its warm-up, in which the worker is slow.
    pub warm_up: time::Duration,
    /// Whether the report has both lists of ranges. Reports of workers of services that aren't
    /// divided by key have none.
    pub lists_ranges: bool,
    /// Ranges that the worker holds or still works on.
    pub holds: Vec<HeldRange>,
    /// Ranges that the worker has released since its last report that got a reply.
    pub freed: Vec<FreedRange>,
}
