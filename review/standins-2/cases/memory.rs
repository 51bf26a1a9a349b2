//! Nobody fetches the metrics of a node while a crowd of clients asks for paths without a route.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{CONFIG, Verdict};
use crate::deployment::Deployment;
use crate::http::{self, Connection, Request};
use crate::record::Record;

/// Memory of the first machine, in megabytes.
const MEMORY_MB: u64 = 40;
/// Connections of the crowd.
const CROWD: usize = 4;
/// Requests that a client of the crowd sends before it reads their answers.
const BATCH: usize = 64;
/// Largest number of requests of the crowd.
const MAX_REQUESTS: u64 = 6_000_000;
/// Longest time for which the crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(92);
/// Ordinary callers, each with one connection that it keeps.
const CALLERS: usize = 8;
/// Requests that a machine in touch may leave without an answer (LOST).
const MAX_LOST: usize = 3;
/// Interval at which metrics are fetched while an incident is examined.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

/// Sends requests to paths without a route and reads the answers, until told to stop.
fn start_crowd(deployment: &Deployment, stop: &Arc<AtomicBool>, sent: &Arc<AtomicU64>) {
    for _ in 0..CROWD {
        let (address, stop, sent) =
            (deployment.nodes[0].outbound, Arc::clone(stop), Arc::clone(sent));
        thread::spawn(move || {
            let request = Request::new("GET", "/nowhere/1")
                .header("Host", "shop.example")
                .header("Request-Id", "crowd");
            let batch = request.encode().repeat(BATCH);
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut connection) = Connection::open(address, Duration::from_secs(3)) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                while !stop.load(Ordering::Relaxed) && connection.send(&batch).is_ok() {
                    if (0..BATCH).any(|_| connection.receive().is_err()) {
                        break;
                    }
                    let all = sent.fetch_add(BATCH as u64, Ordering::Relaxed);
                    if all > MAX_REQUESTS {
                        return;
                    }
                }
            }
        });
    }
}

/// What an ordinary caller got: the status, or `None` if its connection ended without an answer.
type Answers = Arc<Mutex<HashMap<String, Option<u16>>>>;

fn start_callers(deployment: &Deployment, stop: &Arc<AtomicBool>, answers: &Answers) {
    for caller in 0..CALLERS {
        let (address, stop, answers) =
            (deployment.nodes[0].outbound, Arc::clone(stop), Arc::clone(answers));
        let record = deployment.record.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut connection) = Connection::open(address, Duration::from_secs(3)) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{caller}-{number}");
                    let request = Request::new("GET", &format!("/lots/work-300/{number}"))
                        .header("Host", "shop.example")
                        .header("Request-Id", &id)
                        .header("Deadline-Ms", 1_500);
                    if connection.send(&request.encode()).is_err() {
                        break;
                    }
                    let answer = connection.receive();
                    let status = answer.as_ref().ok().map(|answer| answer.status);
                    record.add(match &answer {
                        Ok(answer) => format!("request {id}: {}", answer.status),
                        Err(error) => format!("request {id}: no answer ({error})"),
                    });
                    answers.lock().unwrap().insert(id, status);
                    if status.is_none() {
                        break;
                    }
                }
            }
        });
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let services = [("lots", false), ("lots", false)];
    let mut deployment = Deployment::with_memory(&services, MEMORY_MB, record);
    deployment.store.put("op/config", CONFIG);
    deployment.nodes.iter_mut().for_each(|node| node.start());
    deployment.start_reports();
    if !deployment.wait_until_ready() {
        return Verdict::Unplayed("the deployment doesn't start".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    // TROUBLE=fetch leaves the crowd as it is, and fetches the metrics.
    let fetches = std::env::var("TROUBLE").is_ok_and(|value| value == "fetch");
    let (stop, sent) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
    let answers = Answers::default();
    start_callers(&deployment, &stop, &answers);
    if has_trouble {
        start_crowd(&deployment, &stop, &sent);
    }
    let start = Instant::now();
    let (mut noted, mut fetched) = (start, start);
    let mut peak = 0;
    let mut is_killed = false;
    while start.elapsed() < CROWD_TIME && !is_killed {
        thread::sleep(Duration::from_millis(20));
        let used = deployment.nodes[0].memory_bytes();
        peak = peak.max(used);
        if noted.elapsed() > Duration::from_secs(2) {
            noted = Instant::now();
            let sent = sent.load(Ordering::Relaxed);
            record
                .add(format!("node 1 uses {} kB after {sent} requests of the crowd", used / 1_000));
        }
        if fetches && fetched.elapsed() > FETCH_INTERVAL {
            fetched = Instant::now();
            let request = Request::new("GET", "/metrics").header("Host", "node");
            let answer =
                http::call(deployment.nodes[0].metrics(), &request, Duration::from_secs(2));
            record.add(format!("metrics: {} bytes", answer.map_or(0, |answer| answer.body.len())));
        }
        if used > MEMORY_MB * 1_000_000 {
            // As the platform does with a process that exceeds its memory.
            record.add(format!("node 1 exceeds its memory: {} kB", used / 1_000));
            deployment.nodes[0].kill();
            is_killed = true;
        }
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let runs: Vec<String> = deployment.workers.iter().flat_map(|worker| worker.runs()).collect();
    let answers = answers.lock().unwrap();
    let lost = runs.iter().filter(|id| answers.get(*id) == Some(&None)).count();
    let text = format!(
        "{lost} requests of kept connections were passed on to a worker and got no answer; node 1 \
         used {} kB of {MEMORY_MB} MB at most after {} requests of the crowd and {} others, and {}",
        peak / 1_000,
        sent.load(Ordering::Relaxed),
        answers.len(),
        if is_killed { "was killed for it" } else { "lived" }
    );
    match lost > MAX_LOST {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
