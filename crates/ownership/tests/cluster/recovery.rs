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

/// Runs a scenario on worlds of random size, clock rates and phase. The scenario gets the bound in
/// milliseconds, which depends on whether upstreams check fences.
fn for_worlds(scenario: impl Fn(&mut soak::SimulatedCluster, u64)) {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let checks_fences = u.arbitrary()?;
            let hosts = u.int_in_range(6..=12)?;
            let mut world = soak::SimulatedCluster::new(u.arbitrary()?, 3, hosts, 8);
            world.plan.checks_fences = checks_fences;
            world.publish(0);
            world.run_for(2_000 + u.int_in_range(0..=400)?);
            assert_eq!(world.unserved(), Vec::<u64>::new(), "before the fault");
            world.is_store_up = false;
            let bound = if checks_fences { BOUND_MS } else { UNFENCED_BOUND_MS };
            scenario(&mut world, bound);
            assert_eq!(world.report.violations, Vec::<String>::new());
            Ok(())
        })
        .seed(seed);
    }
}

fn assert_served(world: &mut soak::SimulatedCluster, millis: u64) {
    world.run_for(millis);
    assert_eq!(world.unserved(), Vec::<u64>::new(), "{millis} ms after the fault");
}

/// Returns the indices of the holders of the first slice's chain.
fn first_chain(world: &soak::SimulatedCluster) -> Vec<usize> {
    let chain = &world.plan.slices[&0].chain;
    chain.iter().filter_map(|lease| world.host_of(lease.incarnation)).collect()
}

fn guards(world: &soak::SimulatedCluster, lease: ident::LeaseId) -> Vec<usize> {
    world.plan.leases[&lease].iter().filter_map(|guard| world.host_of(*guard)).collect()
}

#[test]
fn any_one_host_may_be_lost() {
    for_worlds(|world, bound| {
        let host = world.rng.usize(0..world.hosts.len());
        world.kill(host);
        assert_served(world, bound);
    });
}

#[test]
fn any_one_zone_may_be_lost() {
    for_worlds(|world, bound| {
        let zone = world.rng.usize(0..3);
        for host in 0..world.hosts.len() {
            if world.hosts[host].zone == zone {
                world.kill(host);
            }
        }
        assert_served(world, bound);
    });
}

#[test]
fn one_zone_may_be_cut_off() {
    for_worlds(|world, bound| {
        let zone = world.rng.usize(0..3);
        cut_links(world, |from, to| (from == zone) != (to == zone));
        assert_served(world, bound);
    });
}

/// All slices move, by a document that reaches each host within 50 ms, and one host is lost within
/// 100 ms. Whether this is an old or a new owner, the other members must not wait for it.
#[test]
fn a_host_may_be_lost_during_a_move() {
    for_worlds(|world, bound| {
        for start in world.plan.slices.keys().copied().collect::<Vec<_>>() {
            let chain = world.pick_chain();
            world.move_slice(start, chain);
        }
        world.publish(50_000);
        let delay = world.rng.u64(0..100);
        world.run_for(delay);
        let host = world.rng.usize(0..world.hosts.len());
        world.kill(host);
        assert_served(world, bound);
    });
}

/// A pause of 3 s costs the first member of a chain its lease. Later the second member is lost: the
/// third must learn that the first has expired, although the first answers its probes.
#[test]
fn a_paused_owner_that_lost_its_lease_blocks_nobody() {
    for_worlds(|world, bound| {
        let chain = first_chain(world);
        world.hosts[chain[0]].paused_until = world.now + 3_000_000;
        world.run_for(4_000);
        assert_eq!(world.servers(0), [chain[1]]);
        world.kill(chain[1]);
        assert_served(world, bound);
        assert_eq!(world.servers(0), [chain[2]]);
    });
}

/// The first release is lost: the link to the successor is cut for 100 ms. The holder still answers
/// probes, so the successor doesn't query the guards and depends on a repeated release.
#[test]
fn a_lost_release_is_repeated() {
    for_worlds(|world, bound| {
        let chain = first_chain(world);
        world.blocked_links.insert((chain[0], chain[1]), world.now + 100_000);
        world.release(chain[0]);
        assert_served(world, bound);
    });
}

#[test]
fn a_release_doesnt_wait_for_the_lease() {
    for_worlds(|world, _| {
        let chain = first_chain(world);
        world.release(chain[0]);
        // One datagram, and the takeover delay if upstreams don't check fences.
        let takeover_delay =
            if world.plan.checks_fences { 0 } else { timing::UNFENCED_TAKEOVER_DELAY.as_millis() };
        world.run_for(15 + takeover_delay);
        assert_eq!(world.servers(0), [chain[1]]);
    });
}

/// All hosts pause for 0.7 to 5 s. Guards that counted the pause as silence would vouch for every
/// lease, and without the store nothing would ever be served again.
#[test]
fn the_fleet_survives_a_pause_longer_than_the_lease() {
    for_worlds(|world, _| {
        let until = world.now + world.rng.u64(700_000..5_000_000);
        world.hosts.iter_mut().for_each(|host| host.paused_until = until);
        world.run_for((until - world.now) / 1_000);
        assert_served(world, 1_000);
        assert_no_vouch(world);
    });
}

/// As above, for an interruption of the network between the zones of 0.2 to 5 s.
#[test]
fn the_fleet_survives_an_interruption_between_zones() {
    for_worlds(|world, _| {
        cut_links(world, |from, to| from != to);
        let millis = world.rng.u64(200..5_000);
        world.run_for(millis);
        world.blocked_links.clear();
        // The next slow renewal is acknowledged at the latest.
        assert_served(world, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch(world);
    });
}

/// As above, for an interruption between all hosts.
#[test]
fn the_fleet_survives_an_interruption_of_all_links() {
    for_worlds(|world, _| {
        let millis = world.rng.u64(200..5_000);
        let until = world.now + millis * 1_000;
        for from in 0..world.hosts.len() {
            world.blocked_links.extend((0..world.hosts.len()).map(|to| ((from, to), until)));
        }
        world.run_for(millis);
        assert_served(world, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch(world);
    });
}

/// As above, but afterwards an owner and its successor can't reach each other. The successor
/// queries the guards as soon as it hears them again.
#[test]
fn the_fleet_survives_an_interruption_that_ends_unevenly() {
    for_worlds(|world, _| {
        cut_links(world, |from, to| from != to);
        let millis = world.rng.u64(200..5_000);
        world.run_for(millis);
        world.blocked_links.clear();
        let until = world.now + 60_000_000;
        let chain = first_chain(world);
        world.blocked_links.extend([((chain[0], chain[1]), until), ((chain[1], chain[0]), until)]);
        assert_served(world, timing::SLOW_RENEW_INTERVAL.as_millis() + 200);
        assert_no_vouch_except(world, &chain[..2]);
    });
}

/// The owner sends but receives nothing. Its renewals reach the guards, which therefore don't
/// vouch, but no acknowledgement reaches the owner.
#[test]
fn a_host_that_receives_nothing_is_succeeded() {
    for_worlds(|world, bound| {
        let owner = first_chain(world)[0];
        let until = world.now + 60_000_000;
        world.blocked_links.extend((0..world.hosts.len()).map(|from| ((from, owner), until)));
        // Until its lease lapses, the owner renews too often for guards to vouch between renewals.
        assert_served(world, bound + timing::LEASE_TTL.as_millis());
    });
}

/// With one guard that has vouched and one that is lost, the holder can't renew and the guards
/// can't vouch, so the holder has to give the lease up.
#[test]
fn an_owner_without_a_majority_hands_over() {
    for_worlds(|world, bound| {
        let chain = first_chain(world);
        let lease = world.plan.slices[&0].chain[0];
        let guards = guards(world, lease);
        let is_in_chain = |host| chain.contains(&host);
        // The guard that is lost must not be a successor, or two members would be lost.
        let Some(lost) = guards.iter().copied().find(|guard| !is_in_chain(*guard)) else {
            return;
        };
        // The successor's link is cut too; as a guard it would be the one that vouches.
        let others: Vec<_> = guards.iter().copied().filter(|guard| *guard != lost).collect();
        let successor = others.iter().copied().find(|guard| *guard == chain[1]);
        let vouching = successor.unwrap_or(others[0]);
        let until = world.now + 1_500_000;
        world.blocked_links.insert((chain[0], vouching), until);
        world.blocked_links.insert((chain[0], chain[1]), until);
        world.run_for(1_500);
        assert_eq!(world.servers(0), [chain[0]]);
        assert!(
            world.hosts[vouching]
                .machine
                .state()
                .guarded_leases
                .iter()
                .any(|guarded| guarded.vouched)
        );
        world.kill(lost);
        let lapse = timing::LEASE_TTL + timing::LAPSE_TIMEOUT;
        assert_served(world, bound + lapse.as_millis());
    });
}

/// Without the store, a member that missed a document gets it from a peer.
#[test]
fn a_late_document_is_fetched_from_a_peer() {
    for_worlds(|world, bound| {
        let epoch = world.plan.epoch;
        let chain = world.pick_chain();
        world.move_slice(0, chain);
        let late = world.rng.usize(0..world.hosts.len());
        let hosts = world.hosts.len();
        world.publish_to((0..hosts).filter(|host| *host != late), 0);
        assert_served(world, bound);
        let known = world.hosts[late].document.epoch;
        assert_eq!(known, ident::EpochNumber(epoch + 1));
        assert_eq!(world.hosts[late].machine.confirmed_epoch(), known);
    });
}

fn cut_links(world: &mut soak::SimulatedCluster, is_cut: impl Fn(usize, usize) -> bool) {
    let until = world.now + 60_000_000;
    for from in 0..world.hosts.len() {
        for to in 0..world.hosts.len() {
            if is_cut(world.hosts[from].zone, world.hosts[to].zone) {
                world.blocked_links.insert((from, to), until);
            }
        }
    }
}

fn assert_no_vouch(world: &soak::SimulatedCluster) {
    assert_no_vouch_except(world, &[]);
}

/// `pair` are hosts that can't reach each other and may vouch for each other's leases.
fn assert_no_vouch_except(world: &soak::SimulatedCluster, pair: &[usize]) {
    for (index, host) in world.hosts.iter().enumerate() {
        let state = host.machine.state();
        let is_excepted = |guarded: &&ownership::GuardedLeaseReport| {
            let holder = world.host_of(guarded.lease.incarnation);
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
