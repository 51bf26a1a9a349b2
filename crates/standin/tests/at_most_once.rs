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
use support::{LIMIT, ONCE};

/// Idempotency keys of one run.
const CALLS: u64 = 160;
/// Callers at the same time.
const CALLERS: u64 = 8;
/// Executions that have begun when the fault comes.
const MOMENTS: [u64; 4] = [1, 20, 47, 90];
/// Pause of a caller before it resends.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(20);

/// What one attempt of a caller was told.
#[derive(Debug)]
struct Attempt {
    echo: u64,
    outcome: String,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    /// With the answer of the execution of this echo.
    Answered(u64),
    /// With the status of an execution whose answer was lost with its owner.
    StatusOnly,
    /// Known for good that the outcome can't be known.
    Unknown,
}

#[derive(Default)]
struct Book {
    attempts: Mutex<Vec<Attempt>>,
    /// Last reply to each call that hasn't ended.
    open: Mutex<HashMap<u64, String>>,
    ended: Mutex<HashMap<u64, CallEnd>>,
    next_call: AtomicU64,
    next_echo: AtomicU64,
}

/// What a reply settles; nothing if the caller has to resend.
fn end(name: &str, reply: &support::Reply) -> Option<CallEnd> {
    if reply.status != 200 {
        assert!(!reply.outcome().is_empty(), "no outcome for {name}: {reply:?}");
        return (reply.error() == "execution-unknown").then_some(CallEnd::Unknown);
    }
    if !reply.is_whole {
        return None;
    }
    let echo = reply.header(payload::ECHO_HEADER);
    if echo.is_empty() {
        // Answers are kept at the owner only; its successor knows the status.
        let is_empty = reply.body.is_empty() && reply.outcome() == "run";
        assert!(is_empty, "a part of an answer to {name}: {reply:?}");
        return Some(CallEnd::StatusOnly);
    }
    let echo = echo.parse().unwrap();
    assert!(reply.is_answer_to(echo), "wrong answer to {name}: {reply:?}");
    Some(CallEnd::Answered(echo))
}

/// Sends one call again and again until it has an answer, or until it is known for good that the
/// outcome can't be known.
async fn call(book: &Book, targets: &[net::SocketAddr], number: u64) {
    let name = format!("call-{number}");
    for resend in 0.. {
        let echo = book.next_echo.fetch_add(1, Ordering::Relaxed) + 1;
        let target = targets[(number as usize + resend) % targets.len()];
        let text = echo.to_string();
        let headers = [("idempotency-key", &*name), (payload::ECHO_HEADER, &*text)];
        let reply = support::call(target, support::get(ONCE, &headers)).await;
        let outcome = reply.as_ref().map_or("", |reply| reply.outcome()).to_owned();
        book.attempts.lock().unwrap().push(Attempt { echo, outcome });
        let last = reply.as_ref().map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
        book.open.lock().unwrap().insert(number, format!("at {target}: {last:?}"));
        if let Some(end) = reply.and_then(|reply| end(&name, &reply)) {
            book.open.lock().unwrap().remove(&number);
            book.ended.lock().unwrap().insert(number, end);
            return;
        }
        smol::Timer::after(RESEND_PAUSE).await;
    }
}

async fn caller(book: &Book, targets: &[net::SocketAddr]) {
    loop {
        let number = book.next_call.fetch_add(1, Ordering::Relaxed);
        if number >= CALLS {
            return;
        }
        call(book, targets, number).await;
    }
}

/// Runs all callers, and `fault` when some executions have begun.
async fn run(mesh: &mut Mesh, moment: u64, fault: impl FnOnce(&mut Mesh)) -> Arc<Book> {
    let book = Arc::new(Book::default());
    let targets = mesh.caller_addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (book, targets) = (Arc::clone(&book), targets.clone());
            smol::spawn(async move { caller(&book, &targets).await })
        })
        .collect();
    let reached = || support::executed(mesh) >= moment;
    support::until("enough requests were executed", reached).await;
    fault(mesh);
    let all = async {
        for task in callers {
            task.await;
        }
    };
    let limit = async {
        smol::Timer::after(LIMIT).await;
        panic!("calls not ended within {LIMIT:?}: {:#?}", book.open.lock().unwrap());
    };
    future::or(all, limit).await;
    book
}

fn check(mesh: &Mesh, book: &Book) {
    let executions = support::executions(mesh, &[]);
    let mut names = HashSet::new();
    for (host, execution) in &executions {
        let name = execution.idempotency_key.clone().unwrap();
        assert!(names.insert(Arc::clone(&name)), "{name} was executed twice, last at host {host}");
    }
    let echoes: HashMap<u64, String> = executions
        .iter()
        .map(|(_, entry)| (entry.echo.unwrap(), entry.idempotency_key.clone().unwrap().to_string()))
        .collect();
    for attempt in book.attempts.lock().unwrap().iter() {
        let is_executed = echoes.contains_key(&attempt.echo);
        assert!(!(is_executed && attempt.outcome == "not-run"), "{attempt:?} was executed");
    }
    let ended = book.ended.lock().unwrap();
    assert_eq!(ended.len() as u64, CALLS);
    for (number, end) in ended.iter() {
        let name = format!("call-{number}");
        match end {
            CallEnd::Answered(echo) => {
                assert_eq!(echoes.get(echo), Some(&name), "an answer of another call");
            }
            CallEnd::StatusOnly => assert!(names.contains(&*name), "{name} was never executed"),
            CallEnd::Unknown => {}
        }
    }
}

fn survives(checks_fences: bool, fault: impl Fn(&mut Mesh)) {
    survives_with(4, checks_fences, fault);
}

fn survives_with(workers: u32, checks_fences: bool, fault: impl Fn(&mut Mesh)) {
    for moment in MOMENTS {
        support::run(async {
            let deployment = support::single(ONCE, workers);
            let deployment = support::with(deployment, |class| class.checks_fences = checks_fences);
            let mut mesh = support::start(deployment).await;
            let book = run(&mut mesh, moment, &fault).await;
            check(&mesh, &book);
        });
    }
}

fn owner(mesh: &Mesh) -> usize {
    mesh.owner(ONCE, b"call-100").unwrap()
}

/// Guards against a second execution or a lost answer while nothing fails.
#[test]
fn without_a_fault_each_call_is_executed_once_and_answered() {
    support::run(async {
        let mut mesh = support::start(support::single(ONCE, 4)).await;
        let book = run(&mut mesh, 1, |_| {}).await;
        check(&mesh, &book);
        assert_eq!(support::executions(&mesh, &[]).len() as u64, CALLS);
        let ended = book.ended.lock().unwrap();
        assert!(ended.values().all(|end| matches!(end, CallEnd::Answered(_))), "{ended:?}");
    });
}

/// Guards against a successor that doesn't know what the lost owner has executed.
#[test]
fn the_loss_of_an_owner_causes_no_second_execution() {
    survives(true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a second execution while the lost node's upstream, which checks no fences, still
/// works.
#[test]
fn the_loss_of_an_owner_without_fences_causes_no_second_execution() {
    survives(false, |mesh| {
        let owner = owner(mesh);
        mesh.kill_node(owner);
    });
}

/// Guards against a repetition of requests that ran when their upstream crashed.
#[test]
fn the_crash_of_an_upstream_causes_no_second_execution() {
    survives(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.crash();
    });
}

/// Guards against records that are lost with their owner when a copy was lost before. Six workers,
/// so that whichever two are lost, replicas in other zones are left.
#[test]
fn the_loss_of_two_hosts_causes_no_second_execution() {
    survives_with(6, true, |mesh| {
        let owner = owner(mesh);
        mesh.kill_host(owner);
        mesh.kill_host((owner + 1) % mesh.hosts.len());
    });
}

/// Guards against records that need the store.
#[test]
fn the_loss_of_an_owner_without_the_store_causes_no_second_execution() {
    survives(true, |mesh| {
        mesh.store.set_outage(cornelridge_standin::store::StoreOutage::Down).unwrap();
        let owner = owner(mesh);
        mesh.kill_host(owner);
    });
}

/// Guards against a repetition of requests whose upstream froze and goes on later.
#[test]
fn a_frozen_upstream_causes_no_second_execution() {
    survives(true, |mesh| {
        let owner = owner(mesh);
        mesh.hosts[owner].upstream.freeze();
    });
}

/// Guards against a repetition of requests whose answer was cut in the middle.
#[test]
fn cut_answers_cause_no_second_execution() {
    survives(true, |mesh| {
        for host in &mesh.hosts {
            host.upstream.set_truncate_after(Some(100));
        }
    });
}
