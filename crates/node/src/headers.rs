//! Headers that the system reads, adds and removes.

use bytes::Bytes;
use cornelridge_wire::generated;
use http::header;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Key of a request of a class that is divided by key.
pub(crate) const KEY: &str = "cornelridge-key";
/// Names one execution of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time that the caller allows, or that is left for the upstream, in milliseconds.
pub(crate) const DEADLINE: &str = "cornelridge-deadline-ms";
/// Name by which the load of a caller is counted.
pub(crate) const CALLER: &str = "cornelridge-caller";
/// Outcome of a request that failed.
pub(crate) const OUTCOME: &str = "cornelridge-outcome";
/// Identifies one request to an upstream.
pub(crate) const REQUEST_ID: &str = "cornelridge-request-id";
/// Fence token of the grant under which a request is sent to an upstream.
pub(crate) const FENCE: &str = "cornelridge-fence";
/// Time left of the lease, in milliseconds.
pub(crate) const LEASE: &str = "cornelridge-lease-ms";
/// Set by an upstream that refuses a request without running it.
pub(crate) const REFUSED: &str = "cornelridge-refused";
/// Node that served the request.
pub(crate) const SERVED_BY: &str = "cornelridge-served-by";

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::EXPECT,
];

/// Headers that only this system may set towards an upstream.
const RESERVED: [&str; 7] = [REQUEST_ID, FENCE, LEASE, DEADLINE, OUTCOME, REFUSED, SERVED_BY];

/// Removes the headers that belong to one connection, and those that only this system may set.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect();
    let named = options.iter().filter_map(|option| HeaderName::from_bytes(option.as_bytes()).ok());
    named.for_each(|name| drop(headers.remove(name)));
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(name)));
    RESERVED.iter().for_each(|name| drop(headers.remove(*name)));
    ["keep-alive", "proxy-connection"].iter().for_each(|name| drop(headers.remove(*name)));
}

/// The message form of headers that were stripped.
pub(crate) fn to_wire(headers: &HeaderMap) -> Vec<generated::Header> {
    headers
        .iter()
        .map(|(name, value)| generated::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Headers from another node; malformed ones are left out.
pub(crate) fn from_wire(headers: &[generated::Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for entry in headers {
        let name = HeaderName::from_bytes(entry.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(entry.value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_BY_HOP.contains(&name)
        {
            map.append(name, value);
        }
    }
    map
}

/// Sets a header to a number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
}

/// Sets a header to a text; text that isn't valid in a header is left out.
pub(crate) fn set_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
