//! At-most-once execution over real sockets: while nodes, upstreams or hosts fail at several points
//! of a load, callers that resend a request cause no second execution, and a request that was
//! reported as `not-run` was never executed.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::collections::{HashMap, HashSet};
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use cornelridge_standin::mesh::Mesh;
use cornelridge_standin::payload;
use futures_lite::future;
use support::{NON_IDEMPOTENT, WAIT_TIMEOUT};

/// Calls of one run, each with an idempotency key of its own.
const CALL_COUNT: u64 = 160;
/// Concurrent callers.
const CALLER_COUNT: u64 = 8;
/// Numbers of started executions at which the fault is injected.
const EXECUTIONS_BEFORE_FAULT: [u64; 4] = [1, 20, 47, 90];
/// Delay before a caller resends.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(20);

/// Outcome that a caller received for one attempt.
#[derive(Debug)]
struct Attempt {
    echo: u64,
    outcome: String,
}

/// Final result of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    /// The answer of the execution with this echo.
    Answered(u64),
    /// The status of an execution whose answer was lost with its owner.
    StatusOnly,
    /// The final reply that the outcome can't be determined.
    Unknown,
}

/// Attempts and results of all callers.
#[derive(Default)]
struct CallLog {
    attempts: Mutex<Vec<Attempt>>,
    /// Last reply to each unfinished call.
    unfinished: Mutex<HashMap<u64, String>>,
    results: Mutex<HashMap<u64, CallResult>>,
    next_call: AtomicU64,
    next_echo: AtomicU64,
}

/// Returns the final result of a call; `None` if the caller has to resend.
fn call_result(name: &str, reply: &support::Reply) -> Option<CallResult> {
    if reply.status != 200 {
        assert!(!reply.outcome().is_empty(), "no outcome for {name}: {reply:?}");
        return (reply.error() == "execution-unknown").then_some(CallResult::Unknown);
    }
    if !reply.is_complete {
        return None;
    }
    let echo = reply.header(payload::ECHO_HEADER);
    if echo.is_empty() {
        // Only the owner stores the answer; its successor has a copy of the status.
        let is_empty = reply.body.is_empty() && reply.outcome() == "run";
        assert!(is_empty, "truncated answer to {name}: {reply:?}");
        return Some(CallResult::StatusOnly);
    }
    let echo = echo.parse().unwrap();
    assert!(reply.is_response_to(echo), "wrong answer to {name}: {reply:?}");
    Some(CallResult::Answered(echo))
}

/// Resends one call until it is answered or its outcome is reported as unknown for good.
async fn call(log: &CallLog, targets: &[net::SocketAddr], number: u64) {
    let name = format!("call-{number}");
    for resend in 0.. {
        let echo = log.next_echo.fetch_add(1, Ordering::Relaxed) + 1;
        let target = targets[(number as usize + resend) % targets.len()];
        let text = echo.to_string();
        let headers = [("idempotency-key", &*name), (payload::ECHO_HEADER, &*text)];
        let reply = support::call(target, support::get(NON_IDEMPOTENT, &headers)).await;
        let outcome = reply.as_ref().map_or("", |reply| reply.outcome()).to_owned();
        log.attempts.lock().unwrap().push(Attempt { echo, outcome });
        let last_reply =
            reply.as_ref().map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        log.unfinished.lock().unwrap().insert(number, format!("at {target}: {last_reply:?}"));
        if let Some(call_result) = reply.and_then(|reply| call_result(&name, &reply)) {
            log.unfinished.lock().unwrap().remove(&number);
            log.results.lock().unwrap().insert(number, call_result);
            return;
        }
        smol::Timer::after(RESEND_DELAY).await;
    }
}

async fn caller(log: &CallLog, targets: &[net::SocketAddr]) {
    loop {
        let number = log.next_call.fetch_add(1, Ordering::Relaxed);
        if number >= CALL_COUNT {
            return;
        }
        call(log, targets, number).await;
    }
}

/// Runs all callers and injects `fault` once enough executions have started.
async fn run(
    mesh: &mut Mesh,
    executions_before_fault: u64,
    fault: impl FnOnce(&mut Mesh),
) -> Arc<CallLog> {
    let log = Arc::new(CallLog::default());
    let targets = mesh.caller_addresses();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            let (log, targets) = (Arc::clone(&log), targets.clone());
            smol::spawn(async move { caller(&log, &targets).await })
        })
        .collect();
    let enough_executions = || support::executed_count(mesh) >= executions_before_fault;
    support::wait_until("enough executions have started", enough_executions).await;
    fault(mesh);
    let all = async {
        for task in callers {
            task.await;
        }
    };
    let timeout = async {
        smol::Timer::after(WAIT_TIMEOUT).await;
        panic!("calls unfinished after {WAIT_TIMEOUT:?}: {:#?}", log.unfinished.lock().unwrap());
    };
    future::or(all, timeout).await;
    log
}

/// Asserts that no call was executed twice, that no executed attempt was reported as `not-run`, and
/// that each answer belongs to its call.
fn check_calls(mesh: &Mesh, log: &CallLog) {
    let executions = support::executions(mesh, &[]);
    let mut executed_keys = HashSet::new();
    for (host, execution) in &executions {
        let name = execution.idempotency_key.clone().unwrap();
        assert!(
            executed_keys.insert(Arc::clone(&name)),
            "{name} was executed twice, last at host {host}"
        );
    }
    let echoes: HashMap<u64, String> = executions
        .iter()
        .map(|(_, entry)| (entry.echo.unwrap(), entry.idempotency_key.clone().unwrap().to_string()))
        .collect();
    for attempt in log.attempts.lock().unwrap().iter() {
        let is_executed = echoes.contains_key(&attempt.echo);
        assert!(!(is_executed && attempt.outcome == "not-run"), "{attempt:?} was executed");
    }
    let results = log.results.lock().unwrap();
    assert_eq!(results.len() as u64, CALL_COUNT);
    for (number, call_result) in results.iter() {
        let name = format!("call-{number}");
        match call_result {
            CallResult::Answered(echo) => {
                assert_eq!(echoes.get(echo), Some(&name), "answer belongs to another call");
            }
            CallResult::StatusOnly => {
                assert!(executed_keys.contains(&*name), "{name} was never executed")
            }
            CallResult::Unknown => {}
        }
    }
}

/// Injects a fault at several points of a load and checks all calls, with four workers.
fn check_with_fault(checks_fences: bool, fault: impl Fn(&mut Mesh)) {
    check_with_workers(4, checks_fences, fault);
}

/// Injects a fault at several points of a load and checks all calls.
fn check_with_workers(workers: u32, checks_fences: bool, fault: impl Fn(&mut Mesh)) {
    for executions_before_fault in EXECUTIONS_BEFORE_FAULT {
        support::run(async {
            let deployment = support::single_class(NON_IDEMPOTENT, workers);
            let deployment =
                support::change_classes(deployment, |class| class.checks_fences = checks_fences);
            let mut mesh = support::start(deployment).await;
            let log = run(&mut mesh, executions_before_fault, &fault).await;
            check_calls(&mesh, &log);
        });
    }
}

fn owner(mesh: &Mesh) -> usize {
    mesh.owner(NON_IDEMPOTENT, b"call-100").unwrap()
}

/// Guards against a second execution or a lost answer in the absence of faults.
#[test]
fn without_a_fault_each_call_is_executed_once_and_answered() {
    support::run(async {
        let mut mesh = support::start(support::single_class(NON_IDEMPOTENT, 4)).await;
        let log = run(&mut mesh, 1, |_| {}).await;
        check_calls(&mesh, &log);
        assert_eq!(support::executions(&mesh, &[]).len() as u64, CALL_COUNT);
        let results = log.results.lock().unwrap();
        assert!(
            results.values().all(|call_result| matches!(call_result, CallResult::Answered(_))),
            "{results:?}"
        );
    });
}

/// Guards against a successor that lacks the records of the lost owner and executes its requests
/// again.
#[test]
fn the_loss_of_an_owner_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a second execution at a successor while the upstream of the lost node, which
/// checks no fences, still runs the first.
#[test]
fn the_loss_of_an_owner_without_fences_causes_no_second_execution() {
    check_with_fault(false, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a retry of requests that were running when their upstream crashed.
#[test]
fn the_crash_of_an_upstream_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.crash();
    });
}

/// Guards against the loss of records when an owner and a replica are lost together, which would
/// let a successor execute requests again. With six workers, replicas in other zones are left
/// whichever two hosts are lost.
#[test]
fn the_loss_of_two_hosts_causes_no_second_execution() {
    check_with_workers(6, true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_host(owner);
        mesh.kill_host((owner + 1) % mesh.hosts.len());
    });
}

/// Guards against a takeover that can't restore the records while the store is down.
#[test]
fn the_loss_of_an_owner_without_the_store_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        mesh.store.set_outage(cornelridge_standin::store::StoreOutage::Down).unwrap();
        let owner = owner(mesh);
        mesh.kill_host(owner);
    });
}

/// Guards against a retry of requests that a frozen upstream may still finish.
#[test]
fn a_frozen_upstream_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.freeze();
    });
}

/// Guards against a retry of requests whose answers were truncated.
#[test]
fn cut_answers_cause_no_second_execution() {
    check_with_fault(true, |mesh| {
        for host in &mesh.hosts {
            host.upstream.set_truncate_after(Some(100));
        }
    });
}
