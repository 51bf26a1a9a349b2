//! A node is killed and starts again; the first status report that it gets comes from another
//! writer and names a service that doesn't exist.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{CONFIG, Verdict, traffic};
use crate::deployment::Deployment;
use crate::http::{self, Request};
use crate::json::{self, Json};
use crate::record::Record;
use crate::worker::unix_ms;

/// Longest time for which two workers may hold the same keys.
const BOUND: Duration = Duration::from_millis(500);
/// Index of the node that is killed.
const KILLED: usize = 3;
/// Time from the kill to the next start.
const DOWN: Duration = Duration::from_millis(500);

/// Delivers the report as soon as the node accepts a connection: it was sent while the node was
/// down, and is late.
fn deliver_late_report(deployment: &Deployment) {
    let (control, record) = (deployment.nodes[KILLED].control, deployment.record.clone());
    let worker = &deployment.workers[KILLED];
    let body = json::map(vec![
        ("service", json::text("no-such-service")),
        ("address", json::text(worker.address.to_string())),
        ("zone", json::text("zone-a")),
        ("version", json::text("v1")),
        ("slots", Json::Int(12)),
        ("state", json::text("draining")),
        ("warmupLeft", json::text("0ms")),
        ("seq", Json::Int(1)),
        ("born", Json::Int(unix_ms() as i64)),
    ]);
    let request = Request::new("POST", "/v1/rpc?call=instances.heartbeat&of=i-other")
        .header("Host", control)
        .header("Content-Type", "application/json")
        .body(body.to_string());
    thread::spawn(move || {
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            let sent = record.now();
            if let Ok(response) = http::call(control, &request, Duration::from_secs(1)) {
                record.add(format!(
                    "the other writer's report of {sent:.3} is answered {} {}",
                    response.status,
                    response.text()
                ));
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

/// Watches the workers for a time; returns the longest time for which two held the same keys.
pub fn watch_holders(deployment: &Deployment, time: Duration) -> (Duration, String) {
    let end = Instant::now() + time;
    let mut since: HashMap<(usize, usize), Instant> = HashMap::new();
    let mut longest = (Duration::ZERO, String::new());
    while Instant::now() < end {
        let held: Vec<Vec<(u16, u16)>> = deployment
            .workers
            .iter()
            .filter(|worker| worker.is_sharded)
            .map(|w| w.held())
            .collect();
        let now = Instant::now();
        for first in 0..held.len() {
            for second in first + 1..held.len() {
                let common = held[first].iter().find_map(|a| {
                    let common = held[second].iter().find(|b| a.0 <= b.1 && b.0 <= a.1)?;
                    Some((a.0.max(common.0), a.1.min(common.1)))
                });
                let Some(keys) = common else {
                    since.remove(&(first, second));
                    continue;
                };
                let start = *since.entry((first, second)).or_insert_with(|| {
                    deployment.record.add(format!(
                        "workers {} and {} both hold keys {}-{}",
                        deployment.workers[first].id, deployment.workers[second].id, keys.0, keys.1
                    ));
                    now
                });
                if now - start > longest.0 {
                    let (a, b) = (&deployment.workers[first].id, &deployment.workers[second].id);
                    longest = (now - start, format!("{a} and {b} held keys {}-{}", keys.0, keys.1));
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    longest
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let services =
        [("quote", true), ("quote", true), ("quote", true), ("quote", true), ("lots", false)];
    let mut deployment = Deployment::new(&services, record);
    deployment.store.put("op/config", CONFIG);
    deployment.nodes.iter_mut().for_each(|node| node.start());
    deployment.start_reports();
    if !deployment.wait_until_ready() || !deployment.wait_until_held() {
        return Verdict::Unplayed("the deployment doesn't start".to_owned());
    }
    let stop = Arc::<AtomicBool>::default();
    for index in [0, 1, 2, 4] {
        traffic(&deployment, index, &stop);
    }
    let (before, _) = watch_holders(&deployment, Duration::from_secs(8));
    if has_trouble {
        // TROUBLE=kill leaves only the report out, TROUBLE=stop stops the node in place of killing it.
        let variant = std::env::var("TROUBLE").unwrap_or_default();
        match variant.as_str() {
            "stop" => {
                deployment.nodes[KILLED].signal("TERM");
                deployment.nodes[KILLED].wait(Duration::from_secs(6));
            }
            _ => deployment.nodes[KILLED].kill(),
        }
        if variant != "kill" {
            deliver_late_report(&deployment);
        }
        thread::sleep(DOWN);
        deployment.nodes[KILLED].start();
    }
    let (after, what) = watch_holders(&deployment, Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let text = format!("{what} at the same time for {} ms", before.max(after).as_millis());
    match before.max(after) > BOUND {
        true => Verdict::Broken(text),
        false => {
            Verdict::Held(format!("no two workers held the same keys for {} ms", BOUND.as_millis()))
        }
    }
}
