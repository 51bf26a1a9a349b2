//! Certificates at the addresses of other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelridge_fleet::peer_pins::PeerPins;
use cornelridge_model::time::{Duration, Instant};

const START: Instant = Instant(1_000_000);

fn address(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

/// Guards against dead connections to a former process, and against memory that grows with each
/// host that was ever replaced.
#[test]
fn another_process_is_noticed_and_unused_addresses_are_forgotten() {
    let mut pins = PeerPins::default();
    assert!(!pins.record(START, address(1), &Arc::from("one")));
    assert!(!pins.record(START, address(1), &Arc::from("one")));
    assert!(pins.record(START, address(1), &Arc::from("two")));
    for number in 2..1_000 {
        let now = START + Duration::from_secs(u64::from(number));
        pins.record(now, address(number), &Arc::from("one"));
        pins.record(now, address(1), &Arc::from("two"));
        pins.remove_unused(now);
        assert!(pins.len() <= 601, "{} addresses", pins.len());
    }
    let later = START + Duration::from_secs(1_100);
    assert!(pins.record(later, address(1), &Arc::from("three")), "it was in use all the time");
}
