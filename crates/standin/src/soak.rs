//! Long randomised runs of the ownership machines with lost datagrams, pauses and moves.

use std::collections::BTreeSet;

use cornelridge_model::{assignment, ident};

// Tests of the ownership crate include this file by path, so nested modules state their path.
#[path = "soak/cluster.rs"]
mod cluster;

pub use cluster::{CLASS, Host, Plan, PlanSlice, STEP_US, SimulatedCluster, SoakReport};

const ZONES: usize = 3;
const HOSTS: usize = 9;
const SLICES: u64 = 6;
/// Minimum number of living hosts; with fewer, nothing could be served.
const MIN_HOSTS: usize = 6;
const MAX_SLICES: usize = 12;
/// Number of steps of a round during which faults are injected.
const FAULT_STEPS: u64 = 4_000;
/// Number of steps without faults at the end of a round; afterwards every key must be served.
const RECOVERY_STEPS: u64 = 2_400;
const PLAN_STEPS: u64 = 60;
/// Time after which the operator retires a host whose process has ended.
const RETIRE_US: u64 = 4_000_000;

/// Runs the machines for `steps` steps of 5 ms.
pub fn run(seed: u64, steps: u64) -> SoakReport {
    let mut cluster = SimulatedCluster::new(seed, ZONES, HOSTS, SLICES);
    cluster.plan.checks_fences = cluster.rng.bool();
    for step in 0..steps {
        let round = step % (FAULT_STEPS + RECOVERY_STEPS);
        match round {
            FAULT_STEPS => end_faults(&mut cluster),
            _ if round < FAULT_STEPS => inject_fault(&mut cluster),
            _ => {}
        }
        if step.is_multiple_of(PLAN_STEPS) && cluster.is_store_up {
            plan(&mut cluster, round < FAULT_STEPS);
        }
        start_request(&mut cluster);
        cluster.step();
        if round == FAULT_STEPS + RECOVERY_STEPS - 1 {
            let unserved = cluster.unserved();
            if !unserved.is_empty() {
                cluster.record_violation(&format!(
                    "keys {unserved:x?} aren't served after faults ended"
                ));
            }
        }
    }
    cluster.report
}

fn start_request(cluster: &mut SimulatedCluster) {
    let keys = cluster.keys();
    let hash = keys[cluster.rng.usize(0..keys.len())];
    // A host that serves the key, if there is one; any other host must refuse the request.
    let any = cluster.rng.usize(0..cluster.hosts.len());
    let host = cluster.servers(hash).first().copied().unwrap_or(any);
    let millis = if cluster.rng.u8(0..20) == 0 { 4_000 } else { cluster.rng.u64(5..200) };
    cluster.request(host, hash, millis);
}

fn end_faults(cluster: &mut SimulatedCluster) {
    cluster.is_store_up = true;
    cluster.loss_percent = 0;
    cluster.max_delay_us = 1_000;
    cluster.blocked_links.clear();
    let now = cluster.now;
    cluster.hosts.iter_mut().for_each(|host| host.paused_until = host.paused_until.min(now));
}

fn inject_fault(cluster: &mut SimulatedCluster) {
    if cluster.rng.u32(0..100) != 0 {
        return;
    }
    cluster.report.faults += 1;
    let until = cluster.now + cluster.rng.u64(10_000..3_000_000);
    let host = cluster.rng.usize(0..cluster.hosts.len());
    let other = cluster.rng.usize(0..cluster.hosts.len());
    match cluster.rng.u32(0..13) {
        0 => {
            let alive = cluster.hosts.iter().filter(|host| host.is_alive).count();
            if alive > MIN_HOSTS && cluster.hosts[host].is_alive {
                cluster.kill(host);
            }
        }
        1 if cluster.is_store_up => {
            let alive = cluster.hosts.iter().filter(|host| host.is_alive).count();
            if alive < HOSTS {
                cluster.start_host(host % ZONES);
            }
        }
        2 | 3 => cluster.hosts[host].paused_until = until,
        4 => cluster.hosts.iter_mut().for_each(|host| host.paused_until = until),
        5 | 6 => drop(cluster.blocked_links.insert((host, other), until)),
        7 => block_zone(cluster, host % ZONES, until),
        8 => cluster.loss_percent = cluster.rng.u64(0..30),
        9 => cluster.max_delay_us = [1_000, 20_000, 400_000][cluster.rng.usize(0..3)],
        10 => cluster.is_store_up = !cluster.is_store_up,
        11 if cluster.is_running(host) => cluster.release(host),
        _ => cluster.is_store_up = true,
    }
}

/// Blocks the links between a zone and the others, in one direction or both.
fn block_zone(cluster: &mut SimulatedCluster, zone: usize, until: u64) {
    let directions = cluster.rng.u8(1..=3);
    for from in 0..cluster.hosts.len() {
        for to in 0..cluster.hosts.len() {
            let leaves = cluster.hosts[from].zone == zone && directions & 1 != 0;
            let enters = cluster.hosts[to].zone == zone && directions & 2 != 0;
            if cluster.hosts[from].zone != cluster.hosts[to].zone && (leaves || enters) {
                cluster.blocked_links.insert((from, to), until);
            }
        }
    }
}

/// Writes the next document, following the rules for settling moves.
pub fn plan(cluster: &mut SimulatedCluster, moves_freely: bool) {
    retire(cluster);
    drop_settled(cluster);
    replace_leases(cluster);
    replace_chains(cluster);
    if moves_freely {
        change_slices(cluster);
    }
    prune(cluster);
    let max_publish_delay_us = if cluster.rng.u8(0..10) == 0 { 3_000_000 } else { 50_000 };
    cluster.publish(max_publish_delay_us);
}

fn retire(cluster: &mut SimulatedCluster) {
    let plan = &mut cluster.plan;
    for host in &cluster.hosts {
        let is_gone = host.dead_since.is_some_and(|at| cluster.now - at > RETIRE_US);
        let leases = plan.leases.keys().filter(|lease| lease.incarnation == host.incarnation);
        plan.retired.extend(leases.filter(|_| is_gone));
    }
}

fn expired(cluster: &SimulatedCluster) -> BTreeSet<ident::LeaseId> {
    let hosts = cluster.hosts.iter().filter(|host| host.is_alive);
    let known = hosts.flat_map(|host| host.machine.state().expired);
    known.map(|report| report.lease).chain(cluster.plan.retired.iter().copied()).collect()
}

fn drop_settled(cluster: &mut SimulatedCluster) {
    let expired = expired(cluster);
    let hosts = &cluster.hosts;
    for slice in cluster.plan.slices.values_mut() {
        let since = ident::EpochNumber(slice.since);
        let is_done = |lease: &ident::LeaseId| {
            let host = hosts.iter().find(|host| host.incarnation == lease.incarnation);
            let has_confirmed =
                |host: &Host| host.is_alive && host.machine.confirmed_epoch() >= since;
            expired.contains(lease) || host.is_some_and(has_confirmed)
        };
        if slice.previous.iter().all(is_done) {
            slice.previous.clear();
        }
    }
}

/// Gives a new generation to each member whose lease is missing or expired, was refused by a guard
/// or has a guard that is gone.
fn replace_leases(cluster: &mut SimulatedCluster) {
    let expired = expired(cluster);
    let members: Vec<_> = cluster.plan.members.keys().copied().collect();
    for member in members {
        let Some(host) = cluster.host_of(member) else {
            continue;
        };
        let needs_replacement = cluster.plan.latest(member).is_none_or(|lease| {
            let guards = cluster.plan.leases.get(&lease).into_iter().flatten();
            let report = cluster.hosts[host].machine.state().leases;
            let own = report.iter().find(|own| own.lease == lease);
            let has_refusal = own.is_some_and(|own| own.guards.iter().any(|one| one.refused));
            expired.contains(&lease)
                || has_refusal
                || guards.into_iter().any(|guard| cluster.host_of(*guard).is_none())
        });
        // A generation is replaced only when no slice that uses it has an unsettled move.
        let in_use = |lease: &ident::LeaseId| lease.incarnation == member;
        let unsettled = cluster.plan.slices.values().filter(|slice| !slice.previous.is_empty());
        let is_moving = unsettled.flat_map(|slice| &slice.chain).any(in_use);
        if needs_replacement && !is_moving {
            cluster.new_generation(member);
        }
    }
}

/// Replaces leases of ended members and of earlier generations in chains.
fn replace_chains(cluster: &mut SimulatedCluster) {
    let starts: Vec<_> = cluster.plan.slices.keys().copied().collect();
    for start in starts {
        let candidates = cluster.pick_chain();
        let chain = cluster.plan.slices[&start].chain.clone();
        let alive = chain.iter().filter(|lease| cluster.host_of(lease.incarnation).is_some());
        let mut next: Vec<_> =
            alive.filter_map(|lease| cluster.plan.latest(lease.incarnation)).collect();
        let zone = |lease: &ident::LeaseId| cluster.plan.members.get(&lease.incarnation);
        for lease in candidates {
            if next.len() < assignment::MAX_CHAIN_LENGTH
                && next.iter().all(|one| zone(one) != zone(&lease))
            {
                next.push(lease);
            }
        }
        cluster.move_slice(start, next);
    }
}

/// Moves, splits or merges slices at random.
fn change_slices(cluster: &mut SimulatedCluster) {
    let starts: Vec<_> = cluster.plan.slices.keys().copied().collect();
    let at = cluster.rng.usize(0..starts.len());
    let chain = cluster.pick_chain();
    match cluster.rng.u8(0..4) {
        0 if starts.len() < MAX_SLICES => {
            let end = starts.get(at + 1).map_or(u64::MAX, |next| *next);
            let middle = starts[at] + (end - starts[at]) / 2;
            let slice = cluster.plan.slices[&starts[at]].clone();
            cluster.plan.slices.insert(middle, slice);
        }
        1 if at > 0 => {
            let (left, right) =
                (&cluster.plan.slices[&starts[at - 1]], &cluster.plan.slices[&starts[at]]);
            let is_settled = left.previous.is_empty() && right.previous.is_empty();
            if is_settled && left.chain == right.chain {
                let since = left.since.max(right.since);
                cluster.plan.slices.remove(&starts[at]);
                if let Some(left) = cluster.plan.slices.get_mut(&starts[at - 1]) {
                    left.since = since;
                }
            }
        }
        2 => drop(cluster.move_slice(starts[at], chain)),
        _ => {}
    }
}

/// Removes leases and members that are no longer referenced.
fn prune(cluster: &mut SimulatedCluster) {
    let slices = cluster.plan.slices.values();
    let named: BTreeSet<_> =
        slices.flat_map(|slice| slice.chain.iter().chain(&slice.previous)).copied().collect();
    let members = cluster.plan.members.keys();
    let latest: BTreeSet<_> = members
        .filter(|member| cluster.host_of(**member).is_some())
        .filter_map(|member| cluster.plan.latest(*member))
        .collect();
    cluster.plan.leases.retain(|lease, _| named.contains(lease) || latest.contains(lease));
    let leases = cluster.plan.leases.iter();
    let in_leases: BTreeSet<_> = leases
        .flat_map(|(lease, guards)| guards.iter().copied().chain([lease.incarnation]))
        .collect();
    let living: BTreeSet<_> =
        cluster.hosts.iter().filter(|host| host.is_alive).map(|host| host.incarnation).collect();
    let is_named =
        |member: &ident::IncarnationId| in_leases.contains(member) || living.contains(member);
    cluster.plan.members.retain(|member, _| is_named(member));
}
