//! Random faults: no key may have two servers, and all keys must be served after the faults end.

use crate::soak;

/// 64 seconds of simulated time: two rounds with faults and two without.
const STEPS: u64 = 12_800;

fn run_seeds(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let report = soak::run(seed, STEPS);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        // A run in which few keys were served or few faults occurred shows nothing.
        assert!(report.served > report.unserved, "seed {seed}: {report:?}");
        assert!(report.requests > 1_000 && report.faults > 10, "seed {seed}: {report:?}");
    }
}

// Split into four tests that run in parallel.
#[test]
fn no_key_has_two_servers_1() {
    run_seeds(1..=4);
}

#[test]
fn no_key_has_two_servers_2() {
    run_seeds(5..=8);
}

#[test]
fn no_key_has_two_servers_3() {
    run_seeds(9..=12);
}

#[test]
fn no_key_has_two_servers_4() {
    run_seeds(13..=16);
}
