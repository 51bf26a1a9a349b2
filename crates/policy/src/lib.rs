//! Decisions of a node on requests: admission, worker selection, retries and quarantine.
//!
//! Every type is a state machine that takes the time as an argument; nothing in this crate reads
//! a clock, a socket or a random source.
//!
//! ```
//! use cornelridge_model::time;
//! use cornelridge_policy::admission;
//!
//! let start = time::Instant(0);
//! let mut queue = admission::AdmissionQueue::new(start, 12);
//! let request = admission::AdmissionRequest {
//!     id: admission::RequestId(1),
//!     class: admission::ClassIndex(0),
//!     yield_rank: 0,
//!     caller: admission::CallerHash(7),
//!     target: time::Duration::from_millis(50),
//!     deadline: start + time::Duration::from_millis(500),
//!     bulk: false,
//!     alone: false,
//! };
//! assert_eq!(queue.offer(start, request), admission::AdmissionDecision::Dispatch);
//! ```

pub mod admission;
mod backlog;
mod ejection;
mod estimates;
pub mod hedge;
pub mod limit;
pub mod meter;
pub mod quarantine;
mod queue;
pub mod retry;
pub mod runs;
pub mod selection;
mod suspects;
