//! Hashes of caller keys.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Position of a key in the 64-bit hash space of its class.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes `key` within `class`; a zero byte separates class and key in the hashed input.
    pub fn of(class: &str, key: &[u8]) -> KeyHash {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(class.as_bytes());
        hasher.update(&[0]);
        hasher.update(key);
        KeyHash(hasher.digest())
    }
}
