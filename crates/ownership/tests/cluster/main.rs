//! Several machines with simulated clocks and lossy links.

// The stand-in crate depends on this one, so its driver is included instead of linked.
#[path = "../../../standin/src/soak.rs"]
#[allow(dead_code, unreachable_pub, unused_imports)]
mod soak;

mod chaos;
mod recovery;
