//! Guards against two servers of a key, and against keys that stay unserved after faults end.

use crate::soak;

/// 64 seconds of fake time: two rounds with faults and two without.
const STEPS: u64 = 12_800;

#[test]
fn no_key_has_two_servers_under_faults() {
    for seed in 1..=24 {
        let report = soak::run(seed, STEPS);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(report.served > report.unserved, "seed {seed}: {report:?}");
        assert!(report.works > 100 && report.faults > 10, "seed {seed}: {report:?}");
    }
}
