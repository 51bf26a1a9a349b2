//! A node is killed while a machine is added, and starts again; the first status report that it
//! gets is a late one, which its worker sent before it had keys.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::other_writer::watch_holders;
use super::{CONFIG, Verdict, traffic};
use crate::deployment::Deployment;
use crate::http::{self, Request};
use crate::record::Record;
use crate::worker::{HEARTBEAT, Worker};

/// Longest time for which two workers may hold the same keys.
const BOUND: Duration = Duration::from_millis(500);
/// Index of the machine that is added.
const ADDED: usize = 5;
/// Time from the start of the added node to the kill of another one.
const ADDED_TIME: Duration = Duration::from_millis(300);
/// Shortest time from the kill to the next start.
const MIN_DOWN: Duration = Duration::from_millis(1_100);

/// Reports of one worker.
#[derive(Default)]
struct WorkerReports {
    /// Number of attempts to report.
    attempts: AtomicU64,
    /// The newest report that is held up, with the time at which it was sent.
    held_up: Mutex<Option<(String, f64)>>,
}

/// Reports as a worker does. Until the worker has keys, every second report is held up on its way.
fn report(worker: Worker, reports: Arc<WorkerReports>) {
    thread::spawn(move || {
        let mut number = 0_u64;
        loop {
            let start = Instant::now();
            number += 1;
            if number.is_multiple_of(2) && worker.held().is_empty() {
                let body = worker.next_report().0.to_string();
                let newest = Some((body, worker.record.now()));
                let earlier = std::mem::replace(&mut *reports.held_up.lock().unwrap(), newest);
                if let Some(earlier) = earlier {
                    deliver(&worker, earlier);
                }
            } else {
                worker.report();
            }
            reports.attempts.fetch_add(1, Ordering::Relaxed);
            let is_releasing =
                worker.state.lock().unwrap().holds.iter().any(|hold| hold.is_releasing);
            let pause = if is_releasing { Duration::from_millis(100) } else { HEARTBEAT };
            thread::sleep(pause.saturating_sub(start.elapsed()));
        }
    });
}

/// Delivers a report that was held up as soon as the node accepts a connection.
fn deliver(worker: &Worker, (body, sent): (String, f64)) {
    let worker = worker.clone();
    thread::spawn(move || {
        let request = Request::new("POST", &worker.report_path())
            .header("Host", worker.control)
            .header("Content-Type", "application/json")
            .body(body.as_str());
        let end = Instant::now() + Duration::from_secs(4);
        while Instant::now() < end {
            if let Ok(response) = http::call(worker.control, &request, Duration::from_secs(1)) {
                worker.record.add(format!(
                    "the report of {sent:.3} arrives late, answer {}: {body}",
                    response.status
                ));
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    // The first two nodes plan; they are beside workers of another service.
    let services = [
        ("lots", false),
        ("lots", false),
        ("quote", true),
        ("quote", true),
        ("quote", true),
        ("quote", true),
    ];
    let mut deployment = Deployment::new(&services, record);
    let reports: Vec<Arc<WorkerReports>> = (0..ADDED).map(|_| Arc::default()).collect();
    for index in 0..ADDED {
        deployment.nodes[index].start();
        report(deployment.workers[index].clone(), Arc::clone(&reports[index]));
    }
    // The first configuration is written before traffic starts.
    thread::sleep(Duration::from_secs(2));
    deployment.store.put("op/config", CONFIG);
    if !deployment.wait_until_held() {
        return Verdict::Unplayed("the deployment doesn't start".to_owned());
    }
    // Of the workers with the most keys, the planner moves keys of the last one.
    let width = |index: &usize| {
        let held = deployment.workers[*index].held();
        held.iter().map(|(first, last)| u32::from(*last) - u32::from(*first) + 1).sum::<u32>()
    };
    let victim = (2..ADDED).max_by_key(width).unwrap_or(2);
    let stop = Arc::<AtomicBool>::default();
    for node in 0..2 {
        traffic(&deployment, node, &stop);
    }
    // Planned: a machine with an empty worker is added.
    deployment.nodes[ADDED].start();
    thread::sleep(Duration::from_millis(100));
    deployment.workers[ADDED].start_reports();
    let (before, _) = watch_holders(&deployment, ADDED_TIME - Duration::from_millis(100));
    // TROUBLE=kill leaves the late report out, TROUBLE=0 also the kill.
    let is_late = std::env::var("TROUBLE").map_or(true, |variant| variant != "kill");
    if has_trouble {
        deployment.nodes[victim].kill();
        thread::sleep(MIN_DOWN);
        // The start comes after an attempt of the worker to report, and not just before one.
        let attempts = reports[victim].attempts.load(Ordering::Relaxed);
        while reports[victim].attempts.load(Ordering::Relaxed) == attempts {
            thread::sleep(Duration::from_millis(1));
        }
        match reports[victim].held_up.lock().unwrap().take() {
            Some(late) if is_late => deliver(&deployment.workers[victim], late),
            Some(_) => {}
            None => return Verdict::Unplayed("no report was held up".to_owned()),
        }
        deployment.nodes[victim].start();
    }
    // The late reports of the other workers arrive, too.
    for index in (0..ADDED).filter(|index| *index != victim) {
        if let Some(late) = reports[index].held_up.lock().unwrap().take() {
            deliver(&deployment.workers[index], late);
        }
    }
    let (after, what) = watch_holders(&deployment, Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    let longest = before.max(after);
    let millis = longest.as_millis();
    match longest > BOUND {
        true => Verdict::Broken(format!("{what} at the same time for {millis} ms")),
        false => Verdict::Held(format!("two workers held the same keys for {millis} ms at most")),
    }
}
