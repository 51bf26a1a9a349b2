//! The reader of one node's standard output pauses while many callers come at once.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::deployment::Deployment;
use crate::http::{self, Request};
use crate::record::Record;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-lots","host":"shop.example","prefix":"/lots/","kind":"safe","timeout":"800ms",
  "targetLatency":"300ms","priority":1,"service":"lots","maxAttempts":2}],
 "services":[{"name":"lots","maxConnections":110,"healthCheckPath":"/health"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
  "idleTimeout":"15000ms"}}"#;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after the timeout within which half of these requests must have an answer.
const LATE: Duration = Duration::from_millis(500);
/// Time of a request at the worker.
const WORK_MS: u64 = 90;
/// Requests a second of the callers beside each node in calm: 80% of what a worker serves.
const CALM_RATE: u64 = 105;
/// Requests a second of the callers beside each node in the burst, 1.7 times as many.
const BURST_RATE: u64 = 178;

/// Requests of the callers beside the first node.
#[derive(Default)]
struct Tally {
    sent: u32,
    /// Requests without an answer at the timeout of the route.
    unanswered: u32,
    /// Those without an answer half a second later.
    late: u32,
    served: u32,
    refused: u32,
}

fn send_one(deployment: &Deployment, node: usize, number: u64, tally: Arc<Mutex<Tally>>) {
    let (address, record) = (deployment.nodes[node].outbound, deployment.record.clone());
    thread::spawn(move || {
        let id = format!("c{node}-{number}");
        let request = Request::new("GET", &format!("/lots/work-{WORK_MS}/{number}"))
            .header("Host", "shop.example")
            .header("Request-Id", &id)
            .header("Deadline-Ms", 5_000);
        let sent = Instant::now();
        let result = http::call(address, &request, ROUTE_TIMEOUT + LATE);
        let took = sent.elapsed();
        let status = match &result {
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.add(format!(
            "request {id} at node {}: {status} after {} ms",
            node + 1,
            took.as_millis()
        ));
        if node > 0 {
            return;
        }
        let mut tally = tally.lock().unwrap();
        tally.sent += 1;
        tally.served += u32::from(status == "200");
        tally.refused += u32::from(status == "503");
        tally.unanswered += u32::from(took >= ROUTE_TIMEOUT);
        tally.late += u32::from(took >= ROUTE_TIMEOUT && result.is_err());
    });
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(&[("lots", false); 3], record);
    deployment.store.put("op/config", CONFIG);
    let is_paused = Arc::<AtomicBool>::default();
    for index in 0..deployment.nodes.len() {
        let mut output = deployment.nodes[index].start_piped();
        let is_paused = Arc::clone(&is_paused);
        thread::spawn(move || {
            let mut data = vec![0; 64 * 1024];
            loop {
                if index == 0 && is_paused.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                } else if !matches!(output.read(&mut data), Ok(1..)) {
                    return;
                }
            }
        });
    }
    deployment.start_reports();
    if !deployment.wait_until_ready() {
        return Verdict::Unplayed("the nodes don't get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let phases: [(&str, u64, u64, bool); 5] = [
        ("calm", 6, CALM_RATE, false),
        ("burst", 3, BURST_RATE, true),
        ("the 5 s after the burst", 5, CALM_RATE, true),
        ("calm later, the reader still paused", 5, CALM_RATE, true),
        ("calm, the reader reads again", 6, CALM_RATE, false),
    ];
    let (mut number, mut tallies) = (0, Vec::new());
    for (name, seconds, rate, is_pause) in phases {
        is_paused.store(is_pause && has_trouble, Ordering::Relaxed);
        record.add(format!("phase: {name}; the reader is paused: {}", is_pause && has_trouble));
        let (tally, start) = (Arc::<Mutex<Tally>>::default(), Instant::now());
        for index in 0..seconds * rate {
            for node in 0..deployment.nodes.len() {
                send_one(&deployment, node, number, Arc::clone(&tally));
            }
            number += 1;
            let due = start + Duration::from_millis(1_000 * (index + 1) / rate);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        thread::sleep(ROUTE_TIMEOUT + LATE + Duration::from_millis(200));
        let ready = deployment.nodes[0].is_ready();
        let seen = tally.lock().unwrap();
        let Tally { sent, unanswered, late, served, refused } = *seen;
        let line = format!(
            "{name}: {sent} sent at node 1, {served} served, {refused} refused with 503, \
             {unanswered} unanswered at 800 ms, {late} of them at 1300 ms; ready afterwards: {ready}"
        );
        record.add(&line);
        println!("{line}");
        tallies.push((unanswered, late));
    }
    if deployment.nodes.iter_mut().any(|node| node.has_ended()) {
        return Verdict::Broken("a node ended by itself".to_owned());
    }
    // Later than 5 s after the burst, nothing but its log reader differs from before.
    let (unanswered, late) = tallies[3];
    let text = format!(
        "of {unanswered} requests without an answer at the timeout, {late} have none 0.5 s later"
    );
    match late * 2 > unanswered {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
