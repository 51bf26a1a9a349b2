//! Headers of requests and answers that pass between nodes.

use bytes::Bytes;
use http::header;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::generated;

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

/// Removes the headers that belong to one connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
    ["keep-alive", "proxy-connection"].iter().for_each(|name| drop(headers.remove(*name)));
}

/// The message form of headers that were stripped.
pub fn to_wire(headers: &HeaderMap) -> Vec<generated::Header> {
    headers
        .iter()
        .map(|(name, value)| generated::Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Headers from another node; malformed ones are left out.
pub fn from_wire(headers: &[generated::Header]) -> HeaderMap {
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
