//! At-most-once execution records and their replication.
//!
//! The owner of a slice makes a record before it dispatches a non-idempotent request, and has the
//! record copied to the other members of the chain. A retry, even at the next owner, finds the
//! record and gets the stored outcome instead of a second execution.
//!
//! ```
//! use cornelridge_model::{ident, key, time};
//! use cornelridge_records::{CopyPeer, CopyProgress, ExecutionId, RecordDecision};
//! use cornelridge_records::{RecordRange, RecordRequest, RecordTable};
//!
//! let now = time::Instant(0);
//! let successor = ident::IncarnationId(2);
//! let mut table = RecordTable::new();
//! let (first, last) = (key::KeyHash(0), key::KeyHash(u64::MAX));
//! table.mark_new(&RecordRange { class: "payout-hub".into(), first, last });
//! let request = RecordRequest {
//!     class: "payout-hub".into(),
//!     hash: key::KeyHash::of("payout-hub", b"order-1"),
//!     idempotency_key: "order-1".into(),
//!     execution: ExecutionId(7),
//!     window: time::Duration::from_secs(600),
//!     peers: vec![CopyPeer { incarnation: successor, in_other_zone: true }],
//! };
//! let decision = table.begin(now, &request);
//! assert!(matches!(decision, RecordDecision::Replicate { .. }));
//! assert_eq!(table.acknowledge_copy(now, ExecutionId(7), successor), CopyProgress::Dispatch);
//! assert!(matches!(table.begin(now, &request), RecordDecision::InFlight));
//! ```

mod entry;
mod record;
mod sync;
mod table;
mod transfer;

pub use record::{
    CopyPeer, CopyProgress, CopyRefusal, CopyReply, ExecutionId, MAX_IDEMPOTENCY_KEY_BYTES,
    MAX_STORED_RESPONSE_BYTES, Record, RecordBatch, RecordCursor, RecordDecision, RecordRange,
    RecordRequest, RecordState, RecordUpdate, RefusalReason, StoredResponse, record_window,
};
pub use sync::SyncState;
pub use table::{MAX_RECORDS, MAX_TOTAL_RESPONSE_BYTES, RecordTable};
pub use transfer::{BatchError, TakeoverChanges};
