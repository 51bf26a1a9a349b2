//! Shared types of cornelridge: identifiers, classes, key hashes, slices and outcomes.
//!
//! Nothing in this crate reads a clock, a socket or a source of randomness.
//!
//! ```
//! use cornelridge_model::key;
//!
//! let hash = key::KeyHash::of("quote-desk", b"SN-4711");
//! assert_eq!(hash, key::KeyHash::of("quote-desk", b"SN-4711"));
//! assert_ne!(hash, key::KeyHash::of("pricebook", b"SN-4711"));
//! ```

pub mod assignment;
pub mod class;
pub mod ident;
pub mod key;
pub mod outcome;
pub mod report;
pub mod time;
