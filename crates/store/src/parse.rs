//! Validation of names and parsing of responses.

use std::sync::Arc;
use std::time;

use http::header;
use serde::Deserialize;

use crate::api::{LeaseOutcome, MAX_KEY_BYTES, StoreEntry, StoreError, StoreRevision, StoreValue};
use crate::pool::StoreResponse;

/// Checks that a key or the name of a holder is valid and needs no escaping in a path.
pub(crate) fn check_name(name: &str) -> Result<(), StoreError> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "/-_.".contains(c);
    if name.is_empty() || name.len() > MAX_KEY_BYTES || !name.chars().all(is_name_char) {
        return Err(StoreError::Name { name: Arc::from(name) });
    }
    Ok(())
}

/// Returns the value in a response with status 200.
pub(crate) fn value(response: StoreResponse) -> Result<StoreValue, StoreError> {
    let revision = revision(&response)?;
    Ok(StoreValue { revision, value: response.into_body() })
}

/// Returns the version in a response. Zero is an error: it would mean that the key doesn't exist.
pub(crate) fn revision(response: &StoreResponse) -> Result<StoreRevision, StoreError> {
    let tag = response.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
    let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    match revision {
        Some(revision) if revision > 0 => Ok(StoreRevision(revision)),
        _ => Err(malformed("etag is not a revision")),
    }
}

/// Returns the keys in the response to a listing.
pub(crate) fn entries(response: &StoreResponse) -> Result<Vec<StoreEntry>, StoreError> {
    serde_json::from_slice(response.body()).map_err(|error| malformed(&error.to_string()))
}

#[derive(Deserialize)]
struct LeaseBody {
    holder: Arc<str>,
    remaining_ms: u64,
}

/// Returns the other holder, which the response to a refused lease names.
pub(crate) fn other_holder(response: &StoreResponse) -> Result<LeaseOutcome, StoreError> {
    let body: LeaseBody =
        serde_json::from_slice(response.body()).map_err(|error| malformed(&error.to_string()))?;
    let remaining = time::Duration::from_millis(body.remaining_ms);
    Ok(LeaseOutcome::HeldByOther { holder: body.holder, remaining })
}

fn malformed(reason: &str) -> StoreError {
    StoreError::Malformed { reason: reason.to_owned() }
}
