//! Long randomised runs over the ownership machines with lost datagrams, pauses and moves.

use std::collections::BTreeSet;

use cornelridge_model::{assignment, ident};

// Tests of the ownership crate include this file by path, so nested modules name their path too.
#[path = "soak/world.rs"]
mod world;

pub use world::{CLASS, Host, Plan, PlanSlice, STEP_US, SoakReport, World};

const ZONES: usize = 3;
const HOSTS: usize = 9;
const SLICES: u64 = 6;
/// Fewest living hosts; below it nothing could be served.
const MIN_HOSTS: usize = 6;
const MAX_SLICES: usize = 12;
/// Steps of a round with faults.
const CHAOS_STEPS: u64 = 4_000;
/// Steps of a round without faults; afterwards every key must be served.
const CALM_STEPS: u64 = 2_400;
const PLAN_STEPS: u64 = 60;
/// Time after which an operator retires a host that is gone.
const RETIRE_US: u64 = 4_000_000;

/// Runs the machines for some steps of 5 ms.
pub fn run(seed: u64, steps: u64) -> SoakReport {
    let mut world = World::new(seed, ZONES, HOSTS, SLICES);
    world.plan.checks_fences = world.rng.bool();
    for step in 0..steps {
        let round = step % (CHAOS_STEPS + CALM_STEPS);
        match round {
            CHAOS_STEPS => calm(&mut world),
            _ if round < CHAOS_STEPS => disturb(&mut world),
            _ => {}
        }
        if step.is_multiple_of(PLAN_STEPS) && world.is_store_up {
            plan(&mut world, round < CHAOS_STEPS);
        }
        request(&mut world);
        world.step();
        if round == CHAOS_STEPS + CALM_STEPS - 1 {
            let unserved = world.unserved();
            if !unserved.is_empty() {
                world.violate(&format!("keys {unserved:x?} aren't served after faults ended"));
            }
        }
    }
    world.report
}

fn request(world: &mut World) {
    let keys = world.keys();
    let hash = keys[world.rng.usize(0..keys.len())];
    // Mostly at a server; at other hosts it has to be refused.
    let any = world.rng.usize(0..world.hosts.len());
    let host = world.servers(hash).first().copied().unwrap_or(any);
    let millis = if world.rng.u8(0..20) == 0 { 4_000 } else { world.rng.u64(5..200) };
    world.request(host, hash, millis);
}

fn calm(world: &mut World) {
    world.is_store_up = true;
    world.loss_percent = 0;
    world.max_delay_us = 1_000;
    world.cuts.clear();
    let now = world.now;
    world.hosts.iter_mut().for_each(|host| host.paused_until = host.paused_until.min(now));
}

fn disturb(world: &mut World) {
    if world.rng.u32(0..100) != 0 {
        return;
    }
    world.report.faults += 1;
    let until = world.now + world.rng.u64(10_000..3_000_000);
    let host = world.rng.usize(0..world.hosts.len());
    let other = world.rng.usize(0..world.hosts.len());
    match world.rng.u32(0..13) {
        0 => {
            let alive = world.hosts.iter().filter(|host| host.is_alive).count();
            if alive > MIN_HOSTS && world.hosts[host].is_alive {
                world.kill(host);
            }
        }
        1 if world.is_store_up => {
            let alive = world.hosts.iter().filter(|host| host.is_alive).count();
            if alive < HOSTS {
                world.start_host(host % ZONES);
            }
        }
        2 | 3 => world.hosts[host].paused_until = until,
        4 => world.hosts.iter_mut().for_each(|host| host.paused_until = until),
        5 | 6 => drop(world.cuts.insert((host, other), until)),
        7 => cut_zone(world, host % ZONES, until),
        8 => world.loss_percent = world.rng.u64(0..30),
        9 => world.max_delay_us = [1_000, 20_000, 400_000][world.rng.usize(0..3)],
        10 => world.is_store_up = !world.is_store_up,
        11 if world.is_running(host) => world.release(host),
        _ => world.is_store_up = true,
    }
}

/// Cuts a zone off in one direction or both.
fn cut_zone(world: &mut World, zone: usize, until: u64) {
    let directions = world.rng.u8(1..=3);
    for from in 0..world.hosts.len() {
        for to in 0..world.hosts.len() {
            let leaves = world.hosts[from].zone == zone && directions & 1 != 0;
            let enters = world.hosts[to].zone == zone && directions & 2 != 0;
            if world.hosts[from].zone != world.hosts[to].zone && (leaves || enters) {
                world.cuts.insert((from, to), until);
            }
        }
    }
}

/// Writes a document that follows the rules of settlement.
pub fn plan(world: &mut World, moves_freely: bool) {
    retire(world);
    drop_settled(world);
    replace_leases(world);
    replace_chains(world);
    if moves_freely {
        change_slices(world);
    }
    prune(world);
    let max_late_us = if world.rng.u8(0..10) == 0 { 3_000_000 } else { 50_000 };
    world.publish(max_late_us);
}

fn retire(world: &mut World) {
    let plan = &mut world.plan;
    for host in &world.hosts {
        let is_gone = host.dead_since.is_some_and(|at| world.now - at > RETIRE_US);
        let leases = plan.leases.keys().filter(|lease| lease.incarnation == host.incarnation);
        plan.retired.extend(leases.filter(|_| is_gone));
    }
}

fn expired(world: &World) -> BTreeSet<ident::LeaseId> {
    let hosts = world.hosts.iter().filter(|host| host.is_alive);
    let known = hosts.flat_map(|host| host.machine.state().expired);
    known.map(|report| report.lease).chain(world.plan.retired.iter().copied()).collect()
}

fn drop_settled(world: &mut World) {
    let expired = expired(world);
    let hosts = &world.hosts;
    for slice in world.plan.slices.values_mut() {
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

/// Gives new generations to members that lost their lease or a guard of it.
fn replace_leases(world: &mut World) {
    let expired = expired(world);
    let members: Vec<_> = world.plan.members.keys().copied().collect();
    for member in members {
        let Some(host) = world.host_of(member) else {
            continue;
        };
        let is_worn = world.plan.latest(member).is_none_or(|lease| {
            let guards = world.plan.leases.get(&lease).into_iter().flatten();
            let report = world.hosts[host].machine.state().leases;
            let own = report.iter().find(|own| own.lease == lease);
            let has_refusal = own.is_some_and(|own| own.guards.iter().any(|one| one.refused));
            expired.contains(&lease)
                || has_refusal
                || guards.into_iter().any(|guard| world.host_of(*guard).is_none())
        });
        // A generation is replaced only when every slice that uses it may be moved.
        let in_use = |lease: &ident::LeaseId| lease.incarnation == member;
        let unsettled = world.plan.slices.values().filter(|slice| !slice.previous.is_empty());
        let is_moving = unsettled.flat_map(|slice| &slice.chain).any(in_use);
        if is_worn && !is_moving {
            world.new_generation(member);
        }
    }
}

/// Replaces leases of dead members and earlier generations in chains.
fn replace_chains(world: &mut World) {
    let starts: Vec<_> = world.plan.slices.keys().copied().collect();
    for start in starts {
        let spare = world.pick_chain();
        let chain = world.plan.slices[&start].chain.clone();
        let alive = chain.iter().filter(|lease| world.host_of(lease.incarnation).is_some());
        let mut next: Vec<_> =
            alive.filter_map(|lease| world.plan.latest(lease.incarnation)).collect();
        let zone = |lease: &ident::LeaseId| world.plan.members.get(&lease.incarnation);
        for lease in spare {
            if next.len() < assignment::MAX_CHAIN_LENGTH
                && next.iter().all(|one| zone(one) != zone(&lease))
            {
                next.push(lease);
            }
        }
        world.move_slice(start, next);
    }
}

/// Moves, splits or merges slices at random.
fn change_slices(world: &mut World) {
    let starts: Vec<_> = world.plan.slices.keys().copied().collect();
    let at = world.rng.usize(0..starts.len());
    let chain = world.pick_chain();
    match world.rng.u8(0..4) {
        0 if starts.len() < MAX_SLICES => {
            let end = starts.get(at + 1).map_or(u64::MAX, |next| *next);
            let middle = starts[at] + (end - starts[at]) / 2;
            let slice = world.plan.slices[&starts[at]].clone();
            world.plan.slices.insert(middle, slice);
        }
        1 if at > 0 => {
            let (left, right) =
                (&world.plan.slices[&starts[at - 1]], &world.plan.slices[&starts[at]]);
            let is_settled = left.previous.is_empty() && right.previous.is_empty();
            if is_settled && left.chain == right.chain {
                let since = left.since.max(right.since);
                world.plan.slices.remove(&starts[at]);
                if let Some(left) = world.plan.slices.get_mut(&starts[at - 1]) {
                    left.since = since;
                }
            }
        }
        2 => drop(world.move_slice(starts[at], chain)),
        _ => {}
    }
}

/// Forgets leases and members that no slice names.
fn prune(world: &mut World) {
    let slices = world.plan.slices.values();
    let named: BTreeSet<_> =
        slices.flat_map(|slice| slice.chain.iter().chain(&slice.previous)).copied().collect();
    let members = world.plan.members.keys();
    let latest: BTreeSet<_> = members
        .filter(|member| world.host_of(**member).is_some())
        .filter_map(|member| world.plan.latest(*member))
        .collect();
    world.plan.leases.retain(|lease, _| named.contains(lease) || latest.contains(lease));
    let leases = world.plan.leases.iter();
    let in_leases: BTreeSet<_> = leases
        .flat_map(|(lease, guards)| guards.iter().copied().chain([lease.incarnation]))
        .collect();
    let living: BTreeSet<_> =
        world.hosts.iter().filter(|host| host.is_alive).map(|host| host.incarnation).collect();
    let is_named =
        |member: &ident::IncarnationId| in_leases.contains(member) || living.contains(member);
    world.plan.members.retain(|member, _| is_named(member));
}
