//! After a fault, keys are served again within the bound of the design without the store.

use cornelridge_model::{ident, time};
use cornelridge_ownership as ownership;
use ownership::timing;

use crate::soak;

const SEEDS: [u64; 6] = [
    0x11_0000_0100,
    0x12_0000_0100,
    0x13_0000_0100,
    0x14_0000_0100,
    0x15_0000_0100,
    0x16_0000_0100,
];
/// Longest time without an owner (section 4.4 of the design).
const BOUND_MS: u64 = 800;
/// Longest time without an owner if the upstream doesn't check fences (section 4.4 of the design).
const UNFENCED_BOUND_MS: u64 = 1_000;

/// Runs a scenario on clusters of random size, clock rates and phase. The scenario gets the bound
/// in milliseconds, which depends on whether upstreams check fences.
fn for_clusters(scenario: impl Fn(&mut soak::SimulatedCluster, u64)) {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let checks_fences = u.arbitrary()?;
            let hosts = u.int_in_range(6..=12)?;
            let mut cluster = soak::SimulatedCluster::new(u.arbitrary()?, 3, hosts, 8);
            cluster.plan.checks_fences = checks_fences;
            cluster.publish(0);
            cluster.run_for(2_000 + u.int_in_range(0..=400)?);
            assert_eq!(cluster.unserved(), Vec::<u64>::new(), "before the fault");
            cluster.is_store_up = false;
            let bound = if checks_fences { BOUND_MS } else { UNFENCED_BOUND_MS };
            scenario(&mut cluster, bound);
            assert_eq!(cluster.report.violations, Vec::<String>::new());
            Ok(())
        })
        .seed(seed);
    }
}

fn assert_served(cluster: &mut soak::SimulatedCluster, millis: u64) {
    cluster.run_for(millis);
    assert_eq!(cluster.unserved(), Vec::<u64>::new(), "{millis} ms after the fault");
}

/// Returns the indices of the holders of the first slice's chain.
fn first_chain(cluster: &soak::SimulatedCluster) -> Vec<usize> {
    let chain = &cluster.plan.slices[&0].chain;
    chain.iter().filter_map(|lease| cluster.host_of(lease.incarnation)).collect()
}

fn guards(cluster: &soak::SimulatedCluster, lease: ident::LeaseId) -> Vec<usize> {
    cluster.plan.leases[&lease].iter().filter_map(|guard| cluster.host_of(*guard)).collect()
}

#[test]
fn any_one_host_may_be_lost() {
    for_clusters(|cluster, bound| {
        let host = cluster.rng.usize(0..cluster.hosts.len());
        cluster.kill(host);
        assert_served(cluster, bound);
    });
}

#[test]
fn any_one_zone_may_be_lost() {
    for_clusters(|cluster, bound| {
        let zone = cluster.rng.usize(0..3);
        for host in 0..cluster.hosts.len() {
            if cluster.hosts[host].zone == zone {
                cluster.kill(host);
            }
        }
        assert_served(cluster, bound);
    });
}

#[test]
fn one_zone_may_be_cut_off() {
    for_clusters(|cluster, bound| {
        let zone = cluster.rng.usize(0..3);
        block_links(cluster, |from, to| (from == zone) != (to == zone));
        assert_served(cluster, bound);
    });
}

/// All slices move, by a document that reaches each host within 50 ms, and one host is lost within
/// 100 ms. Whether this is an old or a new owner, the other members must not wait for it.
#[test]
fn a_host_may_be_lost_during_a_move() {
    for_clusters(|cluster, bound| {
        for start in cluster.plan.slices.keys().copied().collect::<Vec<_>>() {
            let chain = cluster.pick_chain();
            cluster.move_slice(start, chain);
        }
        cluster.publish(50_000);
        let delay = cluster.rng.u64(0..100);
        cluster.run_for(delay);
        let host = cluster.rng.usize(0..cluster.hosts.len());
        cluster.kill(host);
        assert_served(cluster, bound);
    });
}

/// A pause of 3 s costs the first member of a chain its lease. Later the second member is lost: the
/// third must learn that the first has expired, although the first answers its probes.
#[test]
fn a_paused_owner_that_lost_its_lease_blocks_nobody() {
    for_clusters(|cluster, bound| {
        let chain = first_chain(cluster);
        cluster.hosts[chain[0]].paused_until = cluster.now + 3_000_000;
        cluster.run_for(4_000);
        assert_eq!(cluster.servers(0), [chain[1]]);
        cluster.kill(chain[1]);
        assert_served(cluster, bound);
        assert_eq!(cluster.servers(0), [chain[2]]);
    });
}

/// The first release is lost: the link to the successor is cut for 100 ms. The holder still answers
/// probes, so the successor doesn't query the guards and depends on a repeated release.
#[test]
fn a_lost_release_is_repeated() {
    for_clusters(|cluster, bound| {
        let chain = first_chain(cluster);
        cluster.blocked_links.insert((chain[0], chain[1]), cluster.now + 100_000);
        cluster.release(chain[0]);
        assert_served(cluster, bound);
    });
}

#[test]
fn a_release_doesnt_wait_for_the_lease() {
    for_clusters(|cluster, _| {
        let chain = first_chain(cluster);
        cluster.release(chain[0]);
        // One datagram, and the takeover delay if upstreams don't check fences.
        let takeover_delay = if cluster.plan.checks_fences {
            0
        } else {
            timing::UNFENCED_TAKEOVER_DELAY.as_millis()
        };
        cluster.run_for(15 + takeover_delay);
        assert_eq!(cluster.servers(0), [chain[1]]);
    });
}

/// All hosts pause for 0.7 to 5 s. Guards that counted the pause as silence would vouch for every
/// lease, and without the store nothing would ever be served again.
#[test]
fn the_fleet_survives_a_pause_longer_than_the_lease() {
    for_clusters(|cluster, _| {
        let until = cluster.now + cluster.rng.u64(700_000..5_000_000);
        cluster.hosts.iter_mut().for_each(|host| host.paused_until = until);
        cluster.run_for((until - cluster.now) / 1_000);
        assert_served(cluster, 1_000);
        assert_no_vouch(cluster);
    });
}

/// As above, for an interruption of the network between the zones of 0.2 to 5 s.
#[test]
fn the_fleet_survives_an_interruption_between_zones() {
    for_clusters(|cluster, _| {
        block_links(cluster, |from, to| from != to);
        let millis = cluster.rng.u64(200..5_000);
        cluster.run_for(millis);
        cluster.blocked_links.clear();
        // The next slow renewal is acknowledged at the latest.
        assert_served(cluster, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch(cluster);
    });
}

/// As above, for an interruption between all hosts.
#[test]
fn the_fleet_survives_an_interruption_of_all_links() {
    for_clusters(|cluster, _| {
        let millis = cluster.rng.u64(200..5_000);
        let until = cluster.now + millis * 1_000;
        for from in 0..cluster.hosts.len() {
            cluster.blocked_links.extend((0..cluster.hosts.len()).map(|to| ((from, to), until)));
        }
        cluster.run_for(millis);
        assert_served(cluster, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch(cluster);
    });
}

/// As above, but afterwards an owner and its successor can't reach each other. The successor
/// queries the guards as soon as it hears them again.
#[test]
fn the_fleet_survives_an_interruption_that_ends_unevenly() {
    for_clusters(|cluster, _| {
        block_links(cluster, |from, to| from != to);
        let millis = cluster.rng.u64(200..5_000);
        cluster.run_for(millis);
        cluster.blocked_links.clear();
        let until = cluster.now + 60_000_000;
        let chain = first_chain(cluster);
        cluster
            .blocked_links
            .extend([((chain[0], chain[1]), until), ((chain[1], chain[0]), until)]);
        assert_served(cluster, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch_except(cluster, &chain[..2]);
    });
}

/// The owner sends but receives nothing. Its renewals reach the guards, which therefore don't
/// vouch, but no acknowledgement reaches the owner.
#[test]
fn a_host_that_receives_nothing_is_succeeded() {
    for_clusters(|cluster, bound| {
        let owner = first_chain(cluster)[0];
        let until = cluster.now + 60_000_000;
        cluster.blocked_links.extend((0..cluster.hosts.len()).map(|from| ((from, owner), until)));
        // Until its lease lapses, the owner renews too often for guards to vouch between renewals.
        assert_served(cluster, bound + timing::LEASE_TTL.as_millis());
    });
}

/// With one guard that has vouched and one that is lost, the holder can't renew and the guards
/// can't vouch, so the holder has to give the lease up.
#[test]
fn an_owner_without_a_majority_hands_over() {
    for_clusters(|cluster, bound| {
        let chain = first_chain(cluster);
        let lease = cluster.plan.slices[&0].chain[0];
        let guards = guards(cluster, lease);
        let is_in_chain = |host| chain.contains(&host);
        // The guard that is lost must not be a successor, or two members would be lost.
        let Some(lost) = guards.iter().copied().find(|guard| !is_in_chain(*guard)) else {
            return;
        };
        // The successor's link is cut too; as a guard it would be the one that vouches.
        let others: Vec<_> = guards.iter().copied().filter(|guard| *guard != lost).collect();
        let successor = others.iter().copied().find(|guard| *guard == chain[1]);
        let vouching = successor.unwrap_or(others[0]);
        let until = cluster.now + 1_500_000;
        cluster.blocked_links.insert((chain[0], vouching), until);
        cluster.blocked_links.insert((chain[0], chain[1]), until);
        cluster.run_for(1_500);
        assert_eq!(cluster.servers(0), [chain[0]]);
        assert!(
            cluster.hosts[vouching]
                .machine
                .state()
                .guarded_leases
                .iter()
                .any(|guarded| guarded.vouched)
        );
        cluster.kill(lost);
        let lapse = timing::LEASE_TTL + timing::LAPSE_TIMEOUT;
        assert_served(cluster, bound + lapse.as_millis());
    });
}

/// Without the store, a member that missed a document gets it from a peer.
#[test]
fn a_late_document_is_fetched_from_a_peer() {
    for_clusters(|cluster, bound| {
        let epoch = cluster.plan.epoch;
        let chain = cluster.pick_chain();
        cluster.move_slice(0, chain);
        let late = cluster.rng.usize(0..cluster.hosts.len());
        let hosts = cluster.hosts.len();
        cluster.publish_to((0..hosts).filter(|host| *host != late), 0);
        assert_served(cluster, bound);
        let known = cluster.hosts[late].document.epoch;
        assert_eq!(known, ident::EpochNumber(epoch + 1));
        assert_eq!(cluster.hosts[late].machine.confirmed_epoch(), known);
    });
}

fn block_links(cluster: &mut soak::SimulatedCluster, is_blocked: impl Fn(usize, usize) -> bool) {
    let until = cluster.now + 60_000_000;
    for from in 0..cluster.hosts.len() {
        for to in 0..cluster.hosts.len() {
            if is_blocked(cluster.hosts[from].zone, cluster.hosts[to].zone) {
                cluster.blocked_links.insert((from, to), until);
            }
        }
    }
}

fn assert_no_vouch(cluster: &soak::SimulatedCluster) {
    assert_no_vouch_except(cluster, &[]);
}

/// `pair` are hosts that can't reach each other and may vouch for each other's leases.
fn assert_no_vouch_except(cluster: &soak::SimulatedCluster, pair: &[usize]) {
    for (index, host) in cluster.hosts.iter().enumerate() {
        let state = host.machine.state();
        let is_excepted = |guarded: &&ownership::GuardedLeaseReport| {
            let holder = cluster.host_of(guarded.lease.incarnation);
            pair.contains(&index) && holder.is_some_and(|holder| pair.contains(&holder))
        };
        let mut guarded_leases =
            state.guarded_leases.iter().filter(|guarded| !is_excepted(guarded));
        assert!(guarded_leases.all(|guarded| !guarded.vouched), "{:?}", state.guarded_leases);
        assert!(state.leases.iter().all(|lease| lease.held), "{:?}", state.leases);
    }
}

#[test]
fn the_bounds_follow_from_the_intervals() {
    let with_slow_clock = |span: time::Duration| span.as_micros() * 101 / 100;
    let vouch_time = timing::GUARD_TIMEOUT + timing::QUERY_INTERVAL.saturating_mul(2);
    assert!(with_slow_clock(vouch_time) < BOUND_MS * 1_000);
    assert!(
        with_slow_clock(vouch_time + timing::UNFENCED_TAKEOVER_DELAY) < UNFENCED_BOUND_MS * 1_000
    );
    // An isolated guard stops counting silence before it may vouch.
    assert!(timing::ISOLATION_TIMEOUT + timing::RENEW_INTERVAL < timing::GUARD_TIMEOUT);
    // A guard may vouch between two slow renewals.
    assert!(timing::SLOW_RENEW_INTERVAL > timing::GUARD_TIMEOUT + timing::QUERY_INTERVAL);
}
