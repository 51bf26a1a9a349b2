//! Ownership of keys over real sockets: each key has one owner at a time while nodes, upstreams and
//! hosts are lost and return.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use cornelridge_standin::caller::CallOutcome;
use cornelridge_standin::store::StoreOutage;
use cornelridge_standin::upstream::UpstreamServer;
use support::{KEYED, WAIT_TIMEOUT};

/// Executions that a scenario waits for before and after each step.
const EXECUTIONS_PER_STEP: u64 = 100;

#[derive(Clone, Copy)]
enum LossKind {
    Node,
    Upstream,
    Host,
}

async fn wait_for_executions(mesh: &cornelridge_standin::mesh::Mesh) {
    let target_count = support::executed_count(mesh) + EXECUTIONS_PER_STEP;
    support::wait_until("more requests are executed", || {
        support::executed_count(mesh) >= target_count
    })
    .await;
}

fn check_owners(
    mesh: &cornelridge_standin::mesh::Mesh,
    replaced_upstreams: &[(usize, UpstreamServer)],
) {
    support::assert_one_owner(&support::executions(mesh, replaced_upstreams));
}

/// Kills a part of the host that owns `key-0` under load, optionally during a store outage, and
/// checks that every key is served again by one owner at a time.
fn check_takeover(loss: LossKind, outage: StoreOutage, checks_fences: bool) {
    support::run(async {
        let deployment = support::single_class(KEYED, 4);
        let deployment =
            support::change_classes(deployment, |class| class.checks_fences = checks_fences);
        let mut mesh = support::start(deployment).await;
        let (standins, load) = (mesh.standins.clone(), support::steady_load(&mesh, KEYED));
        let scenario = async {
            wait_for_executions(&mesh).await;
            mesh.store.set_outage(outage).unwrap();
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            match loss {
                LossKind::Node => mesh.kill_node(owner),
                LossKind::Upstream => mesh.hosts[owner].upstream.crash(),
                LossKind::Host => mesh.kill_host(owner),
            }
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
            wait_for_executions(&mesh).await;
            mesh.store.set_outage(StoreOutage::None).unwrap();
        };
        let (report, ()) = support::under_load(&standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        check_owners(&mesh, &[]);
    });
}

/// Guards against two owners of a key and against errors in the absence of faults.
#[test]
fn steady_load_has_one_owner_for_each_key() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let load = support::steady_load(&mesh, KEYED);
        let scenario = async {
            for _ in 0..4 {
                wait_for_executions(&mesh).await;
            }
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        assert_eq!(report.count(CallOutcome::Cut), 0);
        assert_eq!(report.count(CallOutcome::NoAnswer), 0);
        check_owners(&mesh, &[]);
    });
}

/// Guards against keys that stay unowned after the loss of a node.
#[test]
fn a_lost_node_is_succeeded() {
    check_takeover(LossKind::Node, StoreOutage::None, true);
}

/// Guards against a takeover that depends on the store, which is down.
#[test]
fn a_lost_node_is_succeeded_without_the_store() {
    check_takeover(LossKind::Node, StoreOutage::Down, true);
}

/// Guards against a takeover that waits for a store that accepts calls but never answers.
#[test]
fn a_lost_node_is_succeeded_while_the_store_is_silent() {
    check_takeover(LossKind::Node, StoreOutage::Silent, true);
}

/// Guards against a successor that starts while the upstream of the lost node, which checks no
/// fences, still works.
#[test]
fn a_lost_node_whose_upstream_checks_no_fences_is_succeeded() {
    check_takeover(LossKind::Node, StoreOutage::None, false);
}

/// Guards against a node that keeps its keys after its upstream has crashed.
#[test]
fn a_crashed_upstream_is_succeeded() {
    check_takeover(LossKind::Upstream, StoreOutage::None, true);
}

/// Guards against a release of keys after an upstream crash that depends on the store, which is
/// down.
#[test]
fn a_crashed_upstream_is_succeeded_without_the_store() {
    check_takeover(LossKind::Upstream, StoreOutage::Down, true);
}

/// Guards against a takeover that depends on an answer of the lost node or its upstream.
#[test]
fn a_lost_host_is_succeeded() {
    check_takeover(LossKind::Host, StoreOutage::None, true);
}

/// Guards against a takeover that depends on the store when a node and its upstream are lost
/// together.
#[test]
fn a_lost_host_is_succeeded_without_the_store() {
    check_takeover(LossKind::Host, StoreOutage::Down, true);
}

/// Guards against a frozen upstream that executes outdated requests once it runs again, and against
/// a node that is never assigned slices again afterwards.
#[test]
fn a_frozen_upstream_is_succeeded_and_returns() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let load = support::steady_load(&mesh, KEYED);
        let scenario = async {
            wait_for_executions(&mesh).await;
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            let upstream = &mesh.hosts[owner].upstream;
            upstream.freeze();
            let has_moved = || mesh.owner(KEYED, b"key-0").is_some_and(|now| now != owner);
            support::wait_until("another node owns the key", has_moved).await;
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
            upstream.unfreeze();
            let serves_again = || support::serves_any(&mesh, owner, KEYED);
            support::wait_until("the node serves keys again", serves_again).await;
            support::wait_until_keys_answered(&mesh, KEYED, 6_000_000).await;
            wait_for_executions(&mesh).await;
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        check_owners(&mesh, &[]);
    });
}

/// Guards against a node that opens no new lease generation after its upstream has restarted.
#[test]
fn a_restarted_upstream_gets_slices_again() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let load = support::steady_load(&mesh, KEYED);
        let scenario = async {
            wait_for_executions(&mesh).await;
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            let upstream = &mesh.hosts[owner].upstream;
            upstream.crash();
            let serves_none = || !support::serves_any(&mesh, owner, KEYED);
            support::wait_until("the node serves no key", serves_none).await;
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            upstream.restart().unwrap();
            let serves_again = || support::serves_any(&mesh, owner, KEYED);
            support::wait_until("the node serves keys again", serves_again).await;
            support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
            wait_for_executions(&mesh).await;
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        check_owners(&mesh, &[]);
    });
}

/// Guards against a lease that survives the restart of an upstream: when the restart comes before
/// the crash is detected, the work under that lease is lost unnoticed.
#[test]
fn an_upstream_that_restarts_at_once_is_served() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 4)).await;
        let load = support::steady_load(&mesh, KEYED);
        let scenario = async {
            wait_for_executions(&mesh).await;
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            let upstream = &mesh.hosts[owner].upstream;
            for _ in 0..3 {
                upstream.crash();
                support::wait_until("the upstream can bind its port again", || {
                    upstream.restart().is_ok()
                })
                .await;
                wait_for_executions(&mesh).await;
            }
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
            let serves_again = || support::serves_any(&mesh, owner, KEYED);
            support::wait_until("the node serves keys", serves_again).await;
        };
        let (report, ()) = support::under_load(&mesh.standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        check_owners(&mesh, &[]);
    });
}

/// Guards against a restarted node that is mistaken for its lost incarnation of the same name, or
/// that is never assigned slices.
#[test]
fn a_node_that_returns_under_its_name_gets_slices_again() {
    support::run(async {
        let mut mesh = support::start(support::single_class(KEYED, 4)).await;
        let (standins, load) = (mesh.standins.clone(), support::steady_load(&mesh, KEYED));
        let mut replaced_upstreams = Vec::new();
        let scenario = async {
            wait_for_executions(&mesh).await;
            let owner = mesh.owner(KEYED, b"key-0").unwrap();
            mesh.kill_host(owner);
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            replaced_upstreams.push(support::replace_host(&mut mesh, owner).await);
            let serves_again = || support::serves_any(&mesh, owner, KEYED);
            support::wait_until("the node serves keys again", serves_again).await;
            mesh.wait_until_served(WAIT_TIMEOUT).await.unwrap();
            support::wait_until_keys_answered(&mesh, KEYED, 5_000_000).await;
            wait_for_executions(&mesh).await;
        };
        let (report, ()) = support::under_load(&standins, load, scenario).await;
        support::assert_valid_outcomes(&report);
        check_owners(&mesh, &replaced_upstreams);
    });
}
