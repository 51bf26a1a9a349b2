//! Guards against two servers of a key, and against keys that stay unserved after faults end.

use crate::soak;

/// 64 seconds of fake time: two rounds with faults and two without.
const STEPS: u64 = 12_800;

fn run_seeds(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let report = soak::run(seed, STEPS);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        // The run means nothing if hardly anything was served or disturbed.
        assert!(report.served > report.unserved, "seed {seed}: {report:?}");
        assert!(report.works > 1_000 && report.faults > 10, "seed {seed}: {report:?}");
    }
}

// Four tests, so that they run at the same time.
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
