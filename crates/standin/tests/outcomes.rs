//! Outcomes over real sockets: for each kind of failure, the outcome that a caller receives agrees
//! with what was executed.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::net;
use std::time;

use cornelridge_standin::mesh::Mesh;
use cornelridge_standin::payload;
use cornelridge_standin::upstream::Execution;
use futures_lite::future;
use support::{BULK, KEYED, NON_IDEMPOTENT, Reply};

const ECHO: u64 = 77;

fn headers<'a>(class: &str, extra_headers: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let mut headers = vec![(payload::ECHO_HEADER, "77"), ("cornelridge-key", "key-0")];
    if class == NON_IDEMPOTENT {
        headers.push(("idempotency-key", "call-77"));
    }
    headers.extend(extra_headers);
    headers
}

async fn call(target: net::SocketAddr, class: &str, extra_headers: &[(&str, &str)]) -> Reply {
    let request = support::get(class, &headers(class, extra_headers));
    support::call(target, request).await.unwrap()
}

fn executions_of(mesh: &Mesh, echo: u64) -> usize {
    let executions = support::executions(mesh, &[]);
    executions.iter().filter(|(_, execution)| execution.echo == Some(echo)).count()
}

/// Returns the address of a node other than the owner, so that a request crosses two nodes.
fn other_address(mesh: &Mesh, owner: usize) -> net::SocketAddr {
    let host = (owner + 1) % mesh.hosts.len();
    mesh.hosts[host].node.as_ref().unwrap().caller_address
}

fn owner(mesh: &Mesh, class: &str) -> usize {
    let key: &[u8] = if class == NON_IDEMPOTENT { b"call-77" } else { b"key-0" };
    mesh.owner(class, key).unwrap()
}

/// Returns the addresses of the owner's node and of another one; both paths must report the same
/// outcome.
fn ingress_addresses(mesh: &Mesh, class: &str) -> [net::SocketAddr; 2] {
    let owner = owner(mesh, class);
    let node = mesh.hosts[owner].node.as_ref().unwrap();
    [node.caller_address, other_address(mesh, owner)]
}

async fn wait_until_running(mesh: &Mesh) {
    support::wait_until("the request runs", || executions_of(mesh, ECHO) > 0).await;
}

/// Guards against `run`, `unknown` or a success for requests that an overloaded upstream refuses
/// without running them.
#[test]
fn shed_load_is_not_run() {
    for class in [KEYED, NON_IDEMPOTENT, BULK] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            mesh.hosts.iter().for_each(|host| host.upstream.set_sheds_load(true));
            let targets = match class {
                BULK => mesh.caller_addresses(),
                _ => ingress_addresses(&mesh, class).to_vec(),
            };
            for target in targets {
                let reply = call(target, class, &[("cornelridge-deadline-ms", "3000")]).await;
                assert_eq!((reply.status, reply.outcome()), (503, "not-run"), "{reply:?}");
                assert!(!reply.json()["remedy"].as_str().unwrap().is_empty(), "{reply:?}");
            }
            assert_eq!(executions_of(&mesh, ECHO), 0);
            mesh.hosts.iter().for_each(|host| host.upstream.set_sheds_load(false));
            let answered = async {
                loop {
                    let target = mesh.caller_addresses()[0];
                    let reply = call(target, class, &[]).await;
                    if reply.is_response_to(ECHO) {
                        return;
                    }
                    assert_eq!(reply.outcome(), "not-run", "{reply:?}");
                }
            };
            answered.await;
            assert_eq!(executions_of(&mesh, ECHO), 1);
        });
    }
}

/// Guards against reporting a request as executed when the upstream refused it for the outdated
/// fence of a former owner.
#[test]
fn an_older_fence_is_not_run() {
    support::run(async {
        let mesh = support::start(support::single_class(KEYED, 3)).await;
        let owner = owner(&mesh, KEYED);
        // Gives the upstream a far higher fence for this key than its node holds.
        let upstream = mesh.hosts[owner].upstream.address();
        let headers = [("cornelridge-key", "key-0"), ("cornelridge-fence", "999999.0")];
        let primed = support::call(upstream, support::get(KEYED, &headers)).await.unwrap();
        assert_eq!(primed.status, 200);
        for target in ingress_addresses(&mesh, KEYED) {
            let reply = call(target, KEYED, &[("cornelridge-deadline-ms", "2000")]).await;
            assert_eq!(reply.outcome(), "not-run", "{reply:?}");
            assert!(reply.status >= 500, "{reply:?}");
        }
        assert_eq!(executions_of(&mesh, ECHO), 0);
    });
}

/// Guards against an answer that looks complete to the caller although the upstream closed its
/// connection partway through the body.
#[test]
fn a_cut_answer_is_visibly_cut() {
    for (class, length) in [(KEYED, "3000"), (NON_IDEMPOTENT, "3000"), (BULK, "1000000")] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            mesh.hosts.iter().for_each(|host| host.upstream.set_truncate_after(Some(1_000)));
            let targets = match class {
                BULK => mesh.caller_addresses(),
                _ => ingress_addresses(&mesh, class).to_vec(),
            };
            for target in targets {
                let reply = call(target, class, &[(payload::LENGTH_HEADER, length)]).await;
                let is_success = reply.status == 200 && reply.is_complete;
                assert!(!is_success, "a truncated answer looks complete: {:?}", reply.headers);
                if reply.status != 200 {
                    assert_ne!(reply.outcome(), "not-run", "{reply:?}");
                }
            }
        });
    }
}

/// Guards against `not-run`, or no answer at all, for a request that still runs when its deadline
/// passes.
#[test]
fn a_request_beyond_its_deadline_is_unknown() {
    for class in [KEYED, NON_IDEMPOTENT] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            let extra_headers =
                [(payload::SERVICE_HEADER, "60000"), ("cornelridge-deadline-ms", "1500")];
            let [_, target] = ingress_addresses(&mesh, class);
            let reply = call(target, class, &extra_headers).await;
            let executed = executions_of(&mesh, ECHO);
            if executed > 0 {
                assert_eq!((reply.status, reply.outcome()), (504, "unknown"), "{reply:?}");
            }
            // Only an idempotent request may be retried.
            assert!(class != NON_IDEMPOTENT || executed <= 1);
        });
    }
}

/// Guards against `not-run` for a request that was running when its upstream crashed.
#[test]
fn a_crash_in_the_middle_is_unknown() {
    for class in [KEYED, NON_IDEMPOTENT] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            let owner = owner(&mesh, class);
            for target in ingress_addresses(&mesh, class).into_iter().rev().take(1) {
                let extra_headers = [(payload::SERVICE_HEADER, "60000")];
                let crash = async {
                    wait_until_running(&mesh).await;
                    mesh.hosts[owner].upstream.crash();
                    // An idempotent request may be retried on another upstream, which crashes too.
                    let hosts = mesh.hosts.iter();
                    let idle = || hosts.clone().all(|host| !host.upstream.is_running());
                    future::or(crash_running_upstreams(&mesh, idle), future::pending()).await;
                };
                let reply = async { call(target, class, &extra_headers).await };
                let reply = future::or(reply, async {
                    crash.await;
                    future::pending().await
                })
                .await;
                assert_eq!(reply.outcome(), "unknown", "{reply:?}");
                assert_eq!(reply.status, 502, "{reply:?}");
            }
            if class == NON_IDEMPOTENT {
                assert_eq!(executions_of(&mesh, ECHO), 1);
            }
        });
    }
}

/// Crashes each upstream that has started the request, until `is_done`.
async fn crash_running_upstreams(mesh: &Mesh, is_done: impl Fn() -> bool) {
    while !is_done() {
        for host in &mesh.hosts {
            let has_run = host.upstream.executions().iter().any(|entry| entry.echo == Some(ECHO));
            if has_run && host.upstream.is_running() {
                host.upstream.crash();
            }
        }
        smol::Timer::after(time::Duration::from_millis(5)).await;
    }
}

/// Guards against `not-run`, or no answer at all, for a request that was running when the owner's
/// node was lost.
#[test]
fn a_lost_node_in_the_middle_is_unknown() {
    support::run(async {
        let mut mesh = support::start(support::single_class(NON_IDEMPOTENT, 4)).await;
        let owner = owner(&mesh, NON_IDEMPOTENT);
        let target = other_address(&mesh, owner);
        let call = smol::spawn(async move {
            call(target, NON_IDEMPOTENT, &[(payload::SERVICE_HEADER, "60000")]).await
        });
        wait_until_running(&mesh).await;
        mesh.kill_node(owner);
        let reply = call.await;
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"), "{reply:?}");
        assert_eq!(executions_of(&mesh, ECHO), 1);
    });
}

/// Guards against failing a request in flight between two nodes when a third host is lost.
#[test]
fn the_loss_of_another_node_disturbs_no_request_in_flight() {
    support::run(async {
        let mut mesh = support::start(support::single_class(NON_IDEMPOTENT, 4)).await;
        let owner = owner(&mesh, NON_IDEMPOTENT);
        let target = other_address(&mesh, owner);
        let call = smol::spawn(async move {
            call(target, NON_IDEMPOTENT, &[(payload::SERVICE_HEADER, "1500")]).await
        });
        wait_until_running(&mesh).await;
        let uninvolved = (owner + 2) % mesh.hosts.len();
        mesh.kill_host(uninvolved);
        let reply = call.await;
        assert!(reply.is_response_to(ECHO), "{reply:?}");
        assert_eq!(executions_of(&mesh, ECHO), 1);
    });
}

/// Guards against `run` or `unknown` for a request that was never sent because no upstream accepts
/// a connection.
#[test]
fn refused_connections_are_not_run() {
    for class in [KEYED, NON_IDEMPOTENT, BULK] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            mesh.hosts.iter().for_each(|host| host.upstream.crash());
            for target in mesh.caller_addresses() {
                let reply = call(target, class, &[("cornelridge-deadline-ms", "1500")]).await;
                assert_eq!(reply.outcome(), "not-run", "{reply:?}");
            }
            assert_eq!(executions_of(&mesh, ECHO), 0);
        });
    }
}

/// Guards against `not-run` for an idempotent request whose first attempt ran and whose retry was
/// refused: the outcome must cover all attempts, not just the last one.
#[test]
fn a_refused_repetition_does_not_hide_an_execution() {
    for class in [KEYED, BULK] {
        support::run(async {
            let mesh = support::start(support::single_class(class, 3)).await;
            let target = mesh.caller_addresses()[0];
            let extra_headers =
                [(payload::SERVICE_HEADER, "60000"), ("cornelridge-deadline-ms", "4000")];
            let reply = async { call(target, class, &extra_headers).await };
            let crash = async {
                wait_until_running(&mesh).await;
                let has_run = |execution: &Execution| execution.echo == Some(ECHO);
                for host in &mesh.hosts {
                    match host.upstream.executions().iter().any(has_run) {
                        true => host.upstream.crash(),
                        false => host.upstream.set_sheds_load(true),
                    }
                }
                future::pending().await
            };
            let reply = future::or(reply, crash).await;
            assert_ne!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.outcome(), "unknown", "{reply:?}");
        });
    }
}
