//! Exclusive holders of keys, with increasing fencing tokens, under faults of all kinds.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The tests of eras use other parts of the simulation.
#[allow(dead_code)]
mod simulation;

use cornelridge_fleet::grant::GrantDelivery;
use cornelridge_fleet::member;
use cornelridge_model::time::Duration;

/// Both ways in which grants reach a worker.
const DELIVERIES: [GrantDelivery; 2] = [GrantDelivery::Replies, GrantDelivery::Calls];
/// Simulated steps with faults.
const FAULT_STEPS: u64 = 6_000;
/// Steps without faults after which all keys must have a holder again.
const RECOVERY_STEPS: u64 = 2_500;

fn run(simulation: &mut simulation::Simulation, steps: u64) {
    (0..steps).for_each(|_| simulation.step());
}

fn run_seed(seed: u64, delivery: GrantDelivery, has_odd_reports: bool) {
    let mut simulation = simulation::Simulation::new(seed, 4, delivery);
    run(&mut simulation, 400);
    simulation.has_prompt_calls = false;
    simulation.has_odd_reports = has_odd_reports;
    for step in 0..FAULT_STEPS {
        simulation.step();
        if step % 25 == 0 {
            inject_fault(&mut simulation);
        }
    }
    clear_faults(&mut simulation);
    run(&mut simulation, RECOVERY_STEPS);
    assert_eq!(
        simulation.held_keys(),
        65_536,
        "keys without a holder after recovery, seed {seed}, grants by {delivery}"
    );
}

fn inject_fault(simulation: &mut simulation::Simulation) {
    let index = simulation.random_index();
    match simulation.random_in(0..40) {
        0 => simulation.nodes[index].is_up = false,
        1 | 2 => simulation.restart_node(index),
        3 => simulation.workers[index].is_up = false,
        4 | 5 => simulation.restart_worker(index),
        6 => simulation.nodes[index].is_partitioned = true,
        7 | 8 => simulation.nodes[index].is_partitioned = false,
        9 => simulation.workers[index].is_partitioned = true,
        10 | 11 => simulation.workers[index].is_partitioned = false,
        12 => {
            simulation.store.is_down = true;
            simulation.store.leases_expire_while_down = simulation.random_in(0..2) == 0;
        }
        13..=15 => simulation.store.is_down = false,
        16 => {
            let name = simulation.nodes[index].name.clone();
            simulation.store.revoke(&name);
        }
        17 => simulation.workers[index].state = member::WorkerState::Draining,
        18 => {
            simulation.nodes[index].read_delay =
                Duration::from_millis(simulation.random_in(0..2_500))
        }
        19 => simulation.nodes[index].read_delay = Duration::ZERO,
        20 => simulation.evacuate(&[&format!("zone-{}", index / 2)]),
        21 => simulation.evacuate(&[]),
        _ => {}
    }
}

fn clear_faults(simulation: &mut simulation::Simulation) {
    simulation.store.is_down = false;
    simulation.has_prompt_calls = true;
    simulation.has_odd_reports = false;
    simulation.evacuate(&[]);
    for index in 0..simulation.nodes.len() {
        simulation.nodes[index].is_partitioned = false;
        simulation.nodes[index].read_delay = Duration::ZERO;
        simulation.workers[index].is_partitioned = false;
        if !simulation.nodes[index].is_up {
            simulation.restart_node(index);
        }
        let worker = &simulation.workers[index];
        if !worker.is_up || worker.state == member::WorkerState::Draining {
            simulation.restart_worker(index);
        }
    }
}

#[test]
fn no_key_has_two_holders() {
    (0..60).for_each(|seed| {
        eprintln!("seed {seed}");
        run_seed(seed, GrantDelivery::Replies, false);
    });
}

/// Guards against granting keys elsewhere while a call without an answer may still be applied, or
/// while the former holder works on them.
#[test]
fn no_key_has_two_holders_when_grants_are_calls() {
    (0..60).for_each(|seed| {
        eprintln!("seed {seed}");
        run_seed(seed, GrantDelivery::Calls, false);
    });
}

/// Guards against giving away keys that the worker holds when a node believes a late report or that
/// of another program, in particular as the first one after its start.
#[test]
fn no_key_has_two_holders_when_reports_are_late_or_of_other_programs() {
    for delivery in DELIVERIES {
        (100..140).for_each(|seed| {
            eprintln!("seed {seed}, grants by {delivery}");
            run_seed(seed, delivery, true);
        });
    }
}

#[test]
fn keys_are_held_soon_after_the_start() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(1, 4, delivery);
        run(&mut simulation, 400);
        assert_eq!(simulation.held_keys(), 65_536);
    }
}

#[test]
fn a_restarted_node_moves_no_keys() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(2, 4, delivery);
        run(&mut simulation, 600);
        let before = simulation.moves;
        simulation.nodes[1].is_up = false;
        run(&mut simulation, 100);
        simulation.restart_node(1);
        run(&mut simulation, 600);
        assert_eq!(simulation.moves, before);
        assert_eq!(simulation.held_keys(), 65_536);
    }
}

#[test]
fn an_outage_shorter_than_the_grants_moves_no_keys() {
    for delivery in DELIVERIES {
        for leases_expire_while_down in [false, true] {
            let mut simulation = simulation::Simulation::new(3, 4, delivery);
            run(&mut simulation, 600);
            let before = simulation.moves;
            simulation.store.is_down = true;
            simulation.store.leases_expire_while_down = leases_expire_while_down;
            run(&mut simulation, 450);
            assert_eq!(simulation.held_keys(), 65_536);
            simulation.store.is_down = false;
            run(&mut simulation, 600);
            assert_eq!(simulation.moves, before);
            assert_eq!(simulation.held_keys(), 65_536);
        }
    }
}

#[test]
fn an_outage_longer_than_the_grants_moves_no_keys_of_workers_that_report() {
    for delivery in DELIVERIES {
        for leases_expire_while_down in [false, true] {
            let mut simulation = simulation::Simulation::new(6, 4, delivery);
            run(&mut simulation, 600);
            let before = simulation.highest_fence();
            simulation.store.is_down = true;
            simulation.store.leases_expire_while_down = leases_expire_while_down;
            run(&mut simulation, 1_400);
            assert_eq!(simulation.held_keys(), 0);
            simulation.store.is_down = false;
            run(&mut simulation, 600);
            assert_eq!(simulation.highest_fence(), before);
            assert_eq!(simulation.held_keys(), 65_536);
        }
    }
}

#[test]
fn the_keys_of_a_lost_machine_are_held_again_within_ten_seconds() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(4, 4, delivery);
        run(&mut simulation, 600);
        simulation.nodes[2].is_up = false;
        simulation.workers[2].is_up = false;
        run(&mut simulation, 1_000);
        assert_eq!(simulation.held_keys(), 65_536);
    }
}

#[test]
fn a_draining_worker_gives_its_keys_away() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(5, 4, delivery);
        run(&mut simulation, 600);
        simulation.workers[0].state = member::WorkerState::Draining;
        run(&mut simulation, 500);
        simulation.workers[0].is_up = false;
        run(&mut simulation, 10);
        assert_eq!(simulation.held_keys(), 65_536);
    }
}

/// Guards against keys that stay in an evacuated zone because the node that plans is lost, and
/// against a second holder when a second zone is evacuated during the handovers.
#[test]
fn keys_leave_evacuated_zones_when_the_planner_is_lost() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(11, 6, delivery);
        run(&mut simulation, 600);
        simulation.evacuate(&["zone-1"]);
        run(&mut simulation, 5);
        simulation.nodes[0].is_up = false;
        run(&mut simulation, 495);
        assert_eq!(simulation.keys_held_by(2..4), 0, "5 s later, grants by {delivery}");
        simulation.nodes[0].is_up = true;
        run(&mut simulation, 1_000);
        simulation.evacuate(&["zone-1", "zone-2"]);
        run(&mut simulation, 500);
        assert_eq!(simulation.keys_held_by(2..6), 0, "grants by {delivery}");
        assert_eq!(simulation.held_keys(), 65_536);
        simulation.evacuate(&["zone-0", "zone-1", "zone-2"]);
        let moves = simulation.moves;
        run(&mut simulation, 1_000);
        assert_eq!((simulation.held_keys(), simulation.moves), (65_536, moves), "keys stay");
        simulation.evacuate(&[]);
        run(&mut simulation, 1_000);
        assert!(simulation.keys_held_by(2..6) > 0, "the zones take part again");
    }
}

/// Guards against a takeover that is decided on an old view: the planner has seen an entry vanish,
/// and the node has registered again, granted its keys and vanished once more since then.
#[test]
fn a_planner_with_an_old_view_takes_no_keys_that_were_granted_again() {
    for delivery in DELIVERIES {
        let mut simulation = simulation::Simulation::new(7, 4, delivery);
        run(&mut simulation, 600);
        simulation.nodes[3].is_partitioned = true;
        run_until_entry(&mut simulation, 3, false);
        run(&mut simulation, 2);
        simulation.nodes[0].read_delay = Duration::from_secs(9);
        run(&mut simulation, 30);
        simulation.nodes[3].is_partitioned = false;
        run_until_entry(&mut simulation, 3, true);
        run(&mut simulation, 300);
        simulation.nodes[3].is_partitioned = true;
        run(&mut simulation, 1_500);
        assert_eq!(simulation.held_keys(), 65_536, "grants by {delivery}");
    }
}

/// Runs until the entry of a node is in the store, or isn't.
fn run_until_entry(simulation: &mut simulation::Simulation, index: usize, is_there: bool) {
    let name = simulation.nodes[index].name.clone();
    let mut steps = 0;
    while simulation.store.has_entry(&name) != is_there {
        simulation.step();
        steps += 1;
        assert!(steps < 500, "the entry of {name}: {is_there} not reached");
    }
}
