//! HTTP headers that a node reads, adds and removes.

use cornelridge_wire::headers as wire_headers;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Key of a request of a class that is divided by key.
pub(crate) const KEY: &str = "cornelridge-key";
/// Identifies one execution of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time that the caller allows, or the remaining time sent to the upstream, in milliseconds.
pub(crate) const DEADLINE: &str = "cornelridge-deadline-ms";
/// Name under which the load of a caller is counted.
pub(crate) const CALLER: &str = "cornelridge-caller";
/// Outcome of a request that failed.
pub(crate) const OUTCOME: &str = "cornelridge-outcome";
/// Identifies one request to an upstream.
pub(crate) const REQUEST_ID: &str = "cornelridge-request-id";
/// Fence token of the grant under which a request is sent to an upstream.
pub(crate) const FENCE: &str = "cornelridge-fence";
/// Remaining time of the lease, in milliseconds.
pub(crate) const LEASE: &str = "cornelridge-lease-ms";
/// Set by an upstream that refuses a request without running it.
pub(crate) const REFUSED: &str = "cornelridge-refused";
/// Node that served the request.
pub(crate) const SERVED_BY: &str = "cornelridge-served-by";

/// Headers that only a node may set in requests to an upstream and in responses to a caller.
const RESERVED: [&str; 7] = [REQUEST_ID, FENCE, LEASE, DEADLINE, OUTCOME, REFUSED, SERVED_BY];

pub(crate) use wire_headers::{from_wire, to_wire};

/// Removes hop-by-hop headers and reserved headers.
pub(crate) fn strip(headers: &mut HeaderMap) {
    wire_headers::strip_hop_by_hop(headers);
    RESERVED.iter().for_each(|name| drop(headers.remove(*name)));
}

/// Sets a header to a number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
}

/// Sets a header to a text; does nothing if the text isn't a valid header value.
pub(crate) fn set_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
