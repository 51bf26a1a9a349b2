//! At most once over real sockets: callers that resend cause no second execution, and `not-run` is
//! true, whatever is lost at whatever moment.

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

/// Idempotency keys of one run.
const CALL_COUNT: u64 = 160;
/// Callers at the same time.
const CALLER_COUNT: u64 = 8;
/// Executions that have begun when the fault comes.
const EXECUTIONS_BEFORE_FAULT: [u64; 4] = [1, 20, 47, 90];
/// Pause of a caller before it resends.
const RESEND_DELAY: time::Duration = time::Duration::from_millis(20);

/// What one attempt of a caller was told.
#[derive(Debug)]
struct Attempt {
    echo: u64,
    outcome: String,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    /// With the answer of the execution of this echo.
    Answered(u64),
    /// With the status of an execution whose answer was lost with its owner.
    StatusOnly,
    /// Known for good that the outcome can't be known.
    Unknown,
}

#[derive(Default)]
struct CallLog {
    attempts: Mutex<Vec<Attempt>>,
    /// Last reply to each call that hasn't ended.
    unfinished: Mutex<HashMap<u64, String>>,
    results: Mutex<HashMap<u64, CallResult>>,
    next_call: AtomicU64,
    next_echo: AtomicU64,
}

/// What a reply settles; nothing if the caller has to resend.
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
        // Answers are kept at the owner only; its successor knows the status.
        let is_empty = reply.body.is_empty() && reply.outcome() == "run";
        assert!(is_empty, "a part of an answer to {name}: {reply:?}");
        return Some(CallResult::StatusOnly);
    }
    let echo = echo.parse().unwrap();
    assert!(reply.is_response_to(echo), "wrong answer to {name}: {reply:?}");
    Some(CallResult::Answered(echo))
}

/// Sends one call again and again until it has an answer, or until it is known for good that the
/// outcome can't be known.
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

/// Runs all callers, and `fault` when some executions have begun.
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
    support::wait_until("enough requests were executed", enough_executions).await;
    fault(mesh);
    let all = async {
        for task in callers {
            task.await;
        }
    };
    let timeout = async {
        smol::Timer::after(WAIT_TIMEOUT).await;
        panic!("calls not ended within {WAIT_TIMEOUT:?}: {:#?}", log.unfinished.lock().unwrap());
    };
    future::or(all, timeout).await;
    log
}

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
                assert_eq!(echoes.get(echo), Some(&name), "an answer of another call");
            }
            CallResult::StatusOnly => {
                assert!(executed_keys.contains(&*name), "{name} was never executed")
            }
            CallResult::Unknown => {}
        }
    }
}

fn check_with_fault(checks_fences: bool, fault: impl Fn(&mut Mesh)) {
    check_with_workers(4, checks_fences, fault);
}

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

/// Guards against a second execution or a lost answer while nothing fails.
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

/// Guards against a successor that doesn't know what the lost owner has executed.
#[test]
fn the_loss_of_an_owner_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a second execution while the lost node's upstream, which checks no fences, still
/// works.
#[test]
fn the_loss_of_an_owner_without_fences_causes_no_second_execution() {
    check_with_fault(false, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a repetition of requests that ran when their upstream crashed.
#[test]
fn the_crash_of_an_upstream_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.crash();
    });
}

/// Guards against records that are lost with their owner when a copy was lost before. Six workers,
/// so that whichever two are lost, replicas in other zones are left.
#[test]
fn the_loss_of_two_hosts_causes_no_second_execution() {
    check_with_workers(6, true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_host(owner);
        mesh.kill_host((owner + 1) % mesh.hosts.len());
    });
}

/// Guards against records that need the store.
#[test]
fn the_loss_of_an_owner_without_the_store_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        mesh.store.set_outage(cornelridge_standin::store::StoreOutage::Down).unwrap();
        let owner = owner(mesh);
        mesh.kill_host(owner);
    });
}

/// Guards against a repetition of requests whose upstream froze and goes on later.
#[test]
fn a_frozen_upstream_causes_no_second_execution() {
    check_with_fault(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.freeze();
    });
}

/// Guards against a repetition of requests whose answer was cut in the middle.
#[test]
fn cut_answers_cause_no_second_execution() {
    check_with_fault(true, |mesh| {
        for host in &mesh.hosts {
            host.upstream.set_truncate_after(Some(100));
        }
    });
}
