//! Records, the decisions about them, and the messages that carry them.

use std::sync::Arc;

use cornelridge_model::{class, ident, key, time};
use derive_more::Display;
use thiserror::Error;

/// Maximum length of an idempotency key, so that a full table fits the memory of a node.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Maximum size of a response, headers included, that is kept whole for retries.
pub const MAX_STORED_RESPONSE_BYTES: usize = 16 * 1_024;

/// Identifies one attempt to execute a request: a random number that the owner draws before
/// `begin`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct ExecutionId(pub u64);

/// State of one execution in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordState {
    /// Announced by the owner, and possibly dispatched.
    Started,
    /// Executed, with a response.
    Finished,
    /// Possibly executed; the outcome can no longer be determined.
    Unknown,
    /// Known not to have been executed.
    Freed,
}

/// The response of the upstream, kept for retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers; empty when only the status is kept.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// Body; absent when only the status is kept.
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    /// Returns the size of the headers and the body in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Returns the response reduced to its status.
    pub fn status_only(&self) -> StoredResponse {
        StoredResponse { status: self.status, headers: Vec::new(), body: None }
    }
}

/// One execution as it is sent to another member of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Class of the request.
    pub class: Arc<str>,
    /// Hash that determines the slice.
    pub hash: key::KeyHash,
    /// Key by which the caller identifies the request.
    pub idempotency_key: Arc<str>,
    /// The execution that `state` refers to.
    pub execution: ExecutionId,
    /// What is known about the execution.
    pub state: RecordState,
    /// Response of a finished execution.
    pub response: Option<StoredResponse>,
    /// Time since the record was made. An age is sent because clocks of two nodes are never
    /// compared.
    pub age: time::Duration,
}

/// A member of the chain that must hold a copy before dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyPeer {
    /// The member.
    pub incarnation: ident::IncarnationId,
    /// Whether the member is in another zone than the owner; at least one copy must be.
    pub in_other_zone: bool,
}

/// A request of a non-idempotent class that has arrived at the owner of its slice.
#[derive(Clone, Debug)]
pub struct RecordRequest {
    /// Class of the request.
    pub class: Arc<str>,
    /// Hash that determines the slice.
    pub hash: key::KeyHash,
    /// Key by which the caller identifies the request.
    pub idempotency_key: Arc<str>,
    /// Fresh random number of this attempt.
    pub execution: ExecutionId,
    /// Time for which the record is kept, from [`record_window`].
    pub window: time::Duration,
    /// Every unexpired member of the chain except the owner.
    pub peers: Vec<CopyPeer>,
}

/// Decision of the owner about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Send the record to these peers and report each reply to the table.
    Replicate {
        /// The record to copy.
        record: Record,
        /// The peers that must acknowledge it.
        to: Vec<ident::IncarnationId>,
    },
    /// The request was executed before, with this response.
    Stored(StoredResponse),
    /// The first execution is in flight.
    InFlight,
    /// An earlier execution may have happened.
    Unknown,
    /// The request is not executed, and no record was made.
    Refused(RefusalReason),
}

/// Why a request is refused with `not-run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The table is full of records that are still needed.
    #[error("the table of at-most-once records is full: retry after records have expired")]
    TableFull,
    /// No member of the chain in another zone can hold a copy.
    #[error("no replica in another zone is available: retry after a replica has returned")]
    NoReplica,
    /// The records of the slice haven't arrived, or were lost with their holders.
    #[error("records of this slice are missing here: retry after the record window has passed")]
    NotSynced,
    /// The idempotency key is empty or too long.
    #[error("the idempotency key is not valid: use 1 to 256 bytes")]
    InvalidKey,
    /// Another record has the same execution number.
    #[error("the execution number is in use: draw another one")]
    ExecutionInUse,
}

/// Progress of replication after one reply to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyProgress {
    /// Every required peer holds the record: dispatch now. Returned once for each execution.
    Dispatch,
    /// Other peers haven't acknowledged yet.
    Waiting,
    /// The reply is a duplicate, or the execution has been given up or dispatched.
    Ignored,
    /// The last possible copy in another zone is gone: call `free` and refuse with `not-run`.
    NoReplica,
}

/// A record whose new state should reach the peers that may hold a copy; delivery may fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordUpdate {
    /// The record in its new state.
    pub record: Record,
    /// Recipients of the record.
    pub to: Vec<ident::IncarnationId>,
}

/// Reply of a replica to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReply {
    /// The replica has stored the execution.
    Stored,
    /// The replica hasn't stored the execution; the owner must not dispatch it.
    Refused(CopyRefusal),
}

/// Why a replica refuses a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CopyRefusal {
    /// The table is full.
    #[error("the table of at-most-once records is full")]
    TableFull,
    /// Another execution of the same request may have happened.
    #[error("another execution of this request may have happened")]
    Conflict,
    /// The execution is already known to be freed.
    #[error("this execution has been given up")]
    GivenUp,
    /// The record exceeds a limit.
    #[error("the record exceeds a size limit")]
    Invalid,
}

/// Part of the hash space of a class, both ends included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordRange {
    /// The class.
    pub class: Arc<str>,
    /// First hash.
    pub first: key::KeyHash,
    /// Last hash.
    pub last: key::KeyHash,
}

impl RecordRange {
    /// Returns whether the range contains a hash of a class.
    pub fn contains(&self, class: &str, hash: key::KeyHash) -> bool {
        *self.class == *class && self.first <= hash && hash <= self.last
    }
}

/// Position after which the next batch of a transfer begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordCursor {
    /// Hash of the last record that was sent.
    pub hash: key::KeyHash,
    /// Idempotency key of the last record that was sent.
    pub idempotency_key: Arc<str>,
}

/// A batch of the records of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// The records.
    pub records: Vec<Record>,
    /// Position after which the next batch begins; absent in the last batch.
    pub next: Option<RecordCursor>,
    /// Whether the sender has every record of the range.
    pub complete: bool,
}

/// Returns how long a record must be kept: at least as long as its request may be in flight.
pub fn record_window(config: &class::ClassConfig) -> time::Duration {
    config.record_window().max(config.deadline())
}
