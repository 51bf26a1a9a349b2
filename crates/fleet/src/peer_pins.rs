//! Certificates that were expected at the addresses of other nodes.

use std::collections::HashMap;
use std::net;
use std::sync::Arc;

use cornelridge_model::time;

/// Time without a stream to an address after which its certificate is forgotten. Connections close
/// when they have been idle for some seconds.
const RETENTION: time::Duration = time::Duration::from_secs(600);

/// Certificates by address, as of the last stream that was opened there.
#[derive(Debug, Default)]
pub struct PeerPins {
    pins: HashMap<net::SocketAddr, (Arc<str>, time::Instant)>,
}

impl PeerPins {
    /// Records a stream to `address`, where the certificate with the digest `pin` is expected.
    /// Returns whether it was another one before: another process runs there, and connections to
    /// the former one are dead.
    pub fn record(&mut self, now: time::Instant, address: net::SocketAddr, pin: &Arc<str>) -> bool {
        let before = self.pins.insert(address, (Arc::clone(pin), now));
        before.is_some_and(|(before, _)| before != *pin)
    }

    /// Forgets addresses that aren't used any more, which hosts that were replaced leave behind.
    pub fn remove_unused(&mut self, now: time::Instant) {
        self.pins.retain(|_, (_, used)| now.since(*used) < RETENTION);
    }

    /// Returns the number of known addresses.
    pub fn len(&self) -> usize {
        self.pins.len()
    }

    /// Returns whether no address is known.
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }
}
