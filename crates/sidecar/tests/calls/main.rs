//! Keys that are granted to workers by calls: real nodes with stand-in workers and a store in
//! memory. A program of its own, as the tests of a program share one executor thread.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The program of the other tests uses other parts of the stand-ins.
#[allow(dead_code)]
#[path = "../nodes/standin/mod.rs"]
mod standin;

use std::sync::Arc;

use crate::standin::worker::CallBehaviour;
use crate::standin::{Deployment, call_at, wait_until};
use cornelridge_fleet::grant::GrantDelivery;
use futures_lite::future::block_on;
use http::StatusCode;

/// A key of each sixteenth of all keys.
const KEYS: [u16; 16] = [
    1, 4_097, 8_193, 12_289, 16_385, 20_481, 24_577, 28_673, 32_769, 36_865, 40_961, 45_057,
    49_153, 53_249, 57_345, 61_441,
];

async fn start_deployment(services: &[&str]) -> Deployment {
    let deployment = Deployment::start_with_settings(Arc::default(), services, |settings| {
        settings.grant_delivery = GrantDelivery::Calls;
    })
    .await;
    deployment.configure(1);
    deployment
}

/// Returns the number of keys that a node serves.
async fn served_keys(deployment: &Deployment, host: usize) -> usize {
    let address = deployment.hosts[host].node.addresses.callers;
    let call = |key| smol::spawn(call_at(address, "probe".to_owned(), "/price/x", Some(key)));
    let mut served = 0;
    for call in KEYS.map(call) {
        served += usize::from(call.await.status == StatusCode::OK);
    }
    served
}

async fn wait_until_all_served(deployment: &Deployment) {
    for host in 0..deployment.hosts.len() {
        wait_until("all keys are served", || async move {
            served_keys(deployment, host).await == KEYS.len()
        })
        .await;
    }
}

/// Guards against keys that nobody serves because their worker reads no grants in the replies to
/// its reports.
#[test]
fn keys_granted_by_calls_are_served_by_all_nodes() {
    block_on(async {
        let deployment = start_deployment(&["prices", "prices", "desk"]).await;
        wait_until_all_served(&deployment).await;
    });
}

/// Guards against keys that stay with a leaving worker, or move without its handover token.
#[test]
fn the_keys_of_a_leaving_worker_move_with_their_handovers() {
    block_on(async {
        let deployment = start_deployment(&["prices", "prices"]).await;
        wait_until_all_served(&deployment).await;
        deployment.hosts[0].worker.leave();
        let successor = &deployment.hosts[1].worker;
        wait_until("the successor gets keys with a handover", || async {
            successor.grants().iter().any(|(_, call)| call.handover.starts_with("w0-"))
        })
        .await;
        wait_until("all keys are served by the successor", || async {
            let before = deployment.hosts[0].worker.runs("probe");
            served_keys(&deployment, 1).await == KEYS.len()
                && deployment.hosts[0].worker.runs("probe") == before
        })
        .await;
    });
}

/// Checks that a fault in the answers of one worker to its grants costs no keys of the other one,
/// and no keys at all once it has ended.
fn check_fault(fault: CallBehaviour) {
    block_on(async {
        let deployment = start_deployment(&["prices", "prices"]).await;
        deployment.hosts[0].worker.set_call_behaviour(fault);
        wait_until("keys of the other worker are served", || async {
            let served = [served_keys(&deployment, 0).await, served_keys(&deployment, 1).await];
            served.iter().all(|served| *served >= KEYS.len() / 4)
        })
        .await;
        deployment.hosts[0].worker.set_call_behaviour(CallBehaviour::Apply);
        wait_until_all_served(&deployment).await;
    });
}

/// Guards against an endless answer to a grant that costs more than this grant.
#[test]
fn an_endless_answer_to_a_grant_costs_that_grant_alone() {
    check_fault(CallBehaviour::FloodBody);
}

/// Guards against an answer to a grant that breaks off and costs more than this grant.
#[test]
fn a_cut_answer_to_a_grant_costs_that_grant_alone() {
    check_fault(CallBehaviour::Reset);
}

/// Guards against a status without a meaning that costs more than this grant.
#[test]
fn an_odd_status_of_a_grant_costs_that_grant_alone() {
    check_fault(CallBehaviour::OddStatus);
}

/// Guards against a false conflict that costs more than this grant.
#[test]
fn a_false_conflict_of_a_grant_costs_that_grant_alone() {
    check_fault(CallBehaviour::Conflict);
}

/// Guards against granting keys of an incarnation that has exited to the next one at its address
/// under the same fencing token.
#[test]
fn the_next_incarnation_gets_keys_with_higher_fencing_tokens_only() {
    block_on(async {
        let deployment = start_deployment(&["prices", "desk"]).await;
        wait_until_all_served(&deployment).await;
        let worker = &deployment.hosts[0].worker;
        worker.exit();
        wait_until("the next incarnation gets keys", || async {
            worker.grants().iter().any(|(incarnation, _)| *incarnation == 2)
        })
        .await;
        wait_until_all_served(&deployment).await;
        let grants = worker.grants();
        let (first, next): (Vec<_>, Vec<_>) =
            grants.iter().partition(|(incarnation, _)| *incarnation == 1);
        for (_, call) in next {
            let earlier = first.iter().map(|(_, call)| call);
            let overlapping =
                earlier.filter(|known| known.first <= call.last && known.last >= call.first);
            let highest = overlapping.map(|known| known.fence).max();
            assert!(highest.is_none_or(|fence| call.fence > fence), "{call:?}");
        }
    });
}
