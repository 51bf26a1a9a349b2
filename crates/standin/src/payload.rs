//! Bodies whose content depends on the request, to detect mixed-up or incomplete responses.

use bytes::Bytes;

/// Request header with the identifier that the response must repeat.
pub const ECHO_HEADER: &str = "standin-echo";
/// Request header with the length of the response body, in bytes.
pub const LENGTH_HEADER: &str = "standin-length";
/// Request header that replaces the service time of the upstream, in milliseconds.
pub const SERVICE_HEADER: &str = "standin-service-ms";
/// Request header that crashes the upstream as soon as it runs the request.
pub const CRASH_HEADER: &str = "standin-crash";
/// Response header with the name of the upstream that ran the request.
pub const SERVED_BY_HEADER: &str = "standin-served-by";
/// Response header with the number of requests that the upstream ran for this key since it
/// started.
pub const COUNT_HEADER: &str = "standin-count";

/// Returns `length` bytes of the body of request `id`, starting at `offset`.
pub fn content(id: u64, offset: u64, length: usize) -> Bytes {
    (offset..offset + length as u64).map(|at| byte_at(id, at)).collect()
}

/// Returns whether `bytes` equal the body of request `id`, starting at `offset`.
pub fn is_content(id: u64, offset: u64, bytes: &[u8]) -> bool {
    (offset..).zip(bytes).all(|(at, byte)| *byte == byte_at(id, at))
}

fn byte_at(id: u64, at: u64) -> u8 {
    // The multiplier distributes neighbouring identifiers over all bits.
    let mixed = (id ^ (at / 8)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.to_le_bytes()[(at % 8) as usize]
}
