//! Stand-in workers, and what all of them ran and held.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json;
use crate::record::Record;

/// Interval of status reports, as `heartbeat` in the settings.
const REPORT_INTERVAL: Duration = Duration::from_millis(870);
/// Interval of status reports while keys are being released.
const RELEASE_INTERVAL: Duration = Duration::from_millis(90);
/// Time and size up to which the answer to a status report counts.
const ACK_TIME: Duration = Duration::from_secs(1);
const ACK_BYTES: usize = 4 * 1024;
const SLOTS: usize = 12;
/// Time for which two workers may both hold keys.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub service: String,
    pub worker: String,
}

#[derive(Clone, Debug)]
struct Hold {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
    is_releasing: bool,
}

impl Hold {
    fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

#[derive(Default)]
struct WorkerState {
    id: String,
    sequence: u64,
    state: &'static str,
    holds: Vec<Hold>,
    freed: Vec<(u16, u16, String)>,
    /// Highest fence numbers that were seen, by range.
    seen: Vec<(u16, u16, u64)>,
    /// Keys of the running requests.
    running: Vec<u16>,
    has_exited: bool,
}

/// The states of all workers under one lock, so that they can be compared.
#[derive(Default)]
pub struct World {
    workers: Mutex<Vec<WorkerState>>,
    pub runs: Mutex<Vec<Run>>,
    pub violations: Mutex<Vec<String>>,
}

impl World {
    fn violate(&self, record: &Record, text: String) {
        record.line(&format!("VIOLATION {text}"));
        self.violations.lock().unwrap().push(text);
    }

    /// Checks until the end of the process that no two workers hold the same keys for too long.
    pub fn watch_holds(self: &Arc<World>, record: &Arc<Record>) {
        let (world, record) = (Arc::clone(self), Arc::clone(record));
        thread::spawn(move || {
            let mut since: Option<Instant> = None;
            let mut is_recorded = false;
            loop {
                thread::sleep(Duration::from_millis(10));
                let overlap = world.find_overlap();
                let Some((one, other, first, last)) = overlap else {
                    if let Some(start) = since.filter(|_| is_recorded) {
                        let time = start.elapsed().as_secs_f64();
                        record.line(&format!("two workers held the same keys for {time:.1} s"));
                    }
                    (since, is_recorded) = (None, false);
                    continue;
                };
                let start = *since.get_or_insert(Instant::now());
                if start.elapsed() > MAX_OVERLAP && !is_recorded {
                    is_recorded = true;
                    let text = format!(
                        "OWNER {one} and {other} hold keys {first} to {last} for over 0.5 s"
                    );
                    world.violate(&record, text);
                }
            }
        });
    }

    fn find_overlap(&self) -> Option<(String, String, u16, u16)> {
        let (workers, now) = (self.workers.lock().unwrap(), Instant::now());
        let held = |state: &WorkerState| -> Vec<Hold> {
            state
                .holds
                .iter()
                .filter(|hold| hold.until > now && !state.has_exited)
                .cloned()
                .collect()
        };
        let held: Vec<(String, Vec<Hold>)> =
            workers.iter().map(|state| (state.id.clone(), held(state))).collect();
        for (index, (one, mine)) in held.iter().enumerate() {
            for (other, theirs) in &held[index + 1..] {
                for a in mine {
                    let b = theirs.iter().find(|b| a.first <= b.last && b.first <= a.last);
                    if let Some(b) = b {
                        let (first, last) = (a.first.max(b.first), a.last.min(b.last));
                        return Some((one.clone(), other.clone(), first, last));
                    }
                }
            }
        }
        None
    }
}

/// A worker beside a node.
#[derive(Clone)]
pub struct Worker {
    index: usize,
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    reports: SocketAddr,
    is_sharded: bool,
    born: u64,
    /// Whether the worker sends status reports.
    is_reporting: Arc<AtomicBool>,
    /// When a `draining` report or a deregistration was acknowledged, in ms after `started`.
    pub left_at_ms: Arc<AtomicU64>,
    started: Instant,
    world: Arc<World>,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(
        listener: TcpListener,
        name: &str,
        service: &str,
        is_sharded: bool,
        reports: SocketAddr,
        world: &Arc<World>,
        record: &Arc<Record>,
    ) -> Worker {
        let index = {
            let mut workers = world.workers.lock().unwrap();
            let id = name.to_owned();
            workers.push(WorkerState { id, state: "ready", ..WorkerState::default() });
            workers.len() - 1
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Worker {
            index,
            id: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            reports,
            is_sharded,
            born,
            is_reporting: Arc::new(AtomicBool::new(true)),
            left_at_ms: Arc::default(),
            started: Instant::now(),
            world: Arc::clone(world),
            record: Arc::clone(record),
        };
        let served = worker.clone();
        http::serve(listener, move |_, request, stream| served.answer(request, stream));
        let reporting = worker.clone();
        thread::spawn(move || {
            loop {
                let pause = reporting.report();
                thread::sleep(pause);
            }
        });
        worker
    }

    /// Returns when the worker's leaving was acknowledged.
    pub fn left_at(&self) -> Option<Instant> {
        let millis = self.left_at_ms.load(Ordering::SeqCst);
        (millis > 0).then(|| self.started + Duration::from_millis(millis))
    }

    fn record_left(&self) {
        let millis = self.started.elapsed().as_millis() as u64;
        let known = self.left_at_ms.compare_exchange(0, millis, Ordering::SeqCst, Ordering::SeqCst);
        if known.is_ok() {
            self.record.line(&format!("worker {} was acknowledged as leaving", self.id));
        }
    }

    fn answer(&self, request: &http::Message, stream: &mut TcpStream) -> Option<()> {
        let id = request.header("request-id").to_owned();
        if request.path() == "/health" {
            let headers = format!("instance-id: {}\r\n", self.id);
            return http::respond(stream, 200, &headers, b"");
        }
        let key = request.header("shard-key").parse().unwrap_or(0);
        let refuse = |stream: &mut TcpStream, status: u16| {
            let headers = format!("request-id: {id}\r\nnot-executed: 1\r\n");
            http::respond(stream, status, &headers, b"")
        };
        {
            let mut workers = self.world.workers.lock().unwrap();
            let state = &mut workers[self.index];
            if state.has_exited {
                return None;
            }
            let now = Instant::now();
            let holds = |hold: &Hold| hold.contains(key) && hold.until > now && !hold.is_releasing;
            let is_held = !self.is_sharded || state.holds.iter().any(holds);
            if request.header("expected-instance") != self.id || !is_held {
                drop(workers);
                return refuse(stream, 421);
            }
            if state.running.len() >= SLOTS {
                drop(workers);
                return refuse(stream, 503);
            }
            state.running.push(key);
        }
        let (worker, service) = (self.id.clone(), self.service.clone());
        self.record.line(&format!(
            "run {id} at {worker} ({service}), caller service {}",
            request.header("caller-service")
        ));
        let run = Run { at: Instant::now(), request: id.clone(), service, worker };
        self.world.runs.lock().unwrap().push(run);
        let work = request.path().rsplit('/').next().and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_millis(work.unwrap_or(20)));
        let is_lapsed = {
            let mut workers = self.world.workers.lock().unwrap();
            let state = &mut workers[self.index];
            let index = state.running.iter().position(|running| *running == key)?;
            state.running.swap_remove(index);
            let now = Instant::now();
            let is_held = |hold: &Hold| hold.contains(key) && hold.until > now;
            self.is_sharded && !state.holds.iter().any(is_held)
        };
        let status = if is_lapsed { 500 } else { 200 };
        let headers = format!(
            "request-id: {id}\r\nresponse-signature: {}.{id}\r\nserver-load: 1,0,{SLOTS}\r\n",
            self.id
        );
        http::respond(stream, status, &headers, format!("answer to {id}").as_bytes())
    }

    fn body(&self, state: &WorkerState) -> String {
        let (service, address, born) = (&self.service, self.address, self.born);
        let sequence = state.sequence;
        let mut lists = String::new();
        if self.is_sharded {
            let held = state.holds.iter();
            let held: Vec<String> =
                held.map(|hold| format!("[{},{},{}]", hold.first, hold.last, hold.fence)).collect();
            let freed = state.freed.iter();
            let freed: Vec<String> = freed
                .map(|(first, last, token)| format!(r#"[{first},{last},"{token}"]"#))
                .collect();
            lists = format!(r#","holds":[{}],"freed":[{}]"#, held.join(","), freed.join(","));
        }
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z1","version":"v1","slots":{SLOTS},"state":"{}","warmupLeft":"0ms","seq":{sequence},"born":{born}{lists}}}"#,
            state.state
        )
    }

    fn post(&self, call: &str, body: &str) -> Option<http::Message> {
        let target = format!("/v1/rpc?call={call}&of={}", self.id);
        let headers = "host: node\r\ncontent-type: application/json\r\n";
        http::call(self.reports, "POST", &target, headers, body.as_bytes(), ACK_TIME)
    }

    /// Sends one status report; returns the pause until the next one.
    fn report(&self) -> Duration {
        if !self.is_reporting.load(Ordering::SeqCst) {
            return Duration::from_millis(50);
        }
        let sent = Instant::now();
        let (body, freed_count, is_leaving) = {
            let mut workers = self.world.workers.lock().unwrap();
            let state = &mut workers[self.index];
            release(state, sent);
            state.sequence += 1;
            let body = self.body(state);
            (body, state.freed.len(), state.state == "draining")
        };
        let answer = self.post("instances.heartbeat", &body);
        let is_in_time = sent.elapsed() <= ACK_TIME;
        let answer = answer.filter(|answer| {
            is_in_time && (200..300).contains(&answer.status()) && answer.body.len() <= ACK_BYTES
        });
        let Some(answer) = answer else { return Duration::from_millis(200) };
        if is_leaving {
            self.record_left();
        }
        let reply = json::parse(&answer.text());
        let mut workers = self.world.workers.lock().unwrap();
        let freed = &mut workers[self.index].freed;
        freed.drain(..freed_count.min(freed.len()));
        if let json::Json::List(rows) = reply.get("holds") {
            let text = reply.get("hold_time").text();
            let millis = text.strip_suffix("ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            self.apply(&mut workers, rows, sent + Duration::from_millis(millis));
        }
        let is_releasing = workers[self.index].holds.iter().any(|hold| hold.is_releasing);
        if is_releasing { RELEASE_INTERVAL } else { REPORT_INTERVAL }
    }

    /// Takes over the rows of an answer, and checks them against what the other workers hold.
    fn apply(&self, workers: &mut [WorkerState], rows: &[json::Json], until: Instant) {
        let now = Instant::now();
        let mut granted = Vec::new();
        for row in rows {
            let row = row.list();
            let number = |index: usize| row.get(index).map_or(0, json::Json::number);
            let (first, last, fence) = (number(0) as u16, number(1) as u16, number(2));
            let overlaps = |a: u16, b: u16| a <= last && first <= b;
            let state = &mut workers[self.index];
            if state.seen.iter().any(|seen| overlaps(seen.0, seen.1) && seen.2 > fence) {
                self.record.line(&format!("{} doesn't accept {first} to {last}", self.id));
                continue;
            }
            let is_new =
                !state.holds.iter().any(|hold| hold.contains(first) && hold.contains(last));
            state.seen.retain(|seen| (seen.0, seen.1) != (first, last));
            state.seen.push((first, last, fence));
            granted.push(Hold { first, last, fence, until, is_releasing: false });
            if !is_new {
                continue;
            }
            self.record.line(&format!("grant {first} to {last}, fence {fence}, to {}", self.id));
            for (index, other) in workers.iter().enumerate() {
                if index == self.index || other.has_exited {
                    continue;
                }
                let busy = other.running.iter().find(|key| {
                    let holds = |hold: &Hold| hold.contains(**key) && hold.until > now;
                    (first..=last).contains(*key) && other.holds.iter().any(holds)
                });
                if let Some(key) = busy {
                    let text = format!(
                        "OWNER {} is given key {key} while {} is still at work on it and its hold has not run out",
                        self.id, other.id
                    );
                    self.world.violate(&self.record, text);
                }
                if other.seen.iter().any(|seen| overlaps(seen.0, seen.1) && seen.2 >= fence) {
                    let text = format!(
                        "OWNER {} takes {first} to {last} with fence {fence}, not above that of {}",
                        self.id, other.id
                    );
                    self.world.violate(&self.record, text);
                }
            }
        }
        let state = &mut workers[self.index];
        let is_granted = |hold: &Hold| {
            granted.iter().any(|new| new.first <= hold.first && hold.last <= new.last)
        };
        state.holds.retain(|hold| !is_granted(hold));
        for hold in &mut state.holds {
            if !hold.is_releasing {
                let (first, last) = (hold.first, hold.last);
                self.record.line(&format!("{} is to release {first} to {last}", self.id));
            }
            hold.is_releasing = true;
        }
        state.holds.extend(granted);
    }

    /// Stops the status reports.
    pub fn stop_reports(&self) {
        self.is_reporting.store(false, Ordering::SeqCst);
    }

    /// Sends one status report that takes `delay` on its way.
    pub fn report_late(&self, delay: Duration) {
        let body = {
            let mut workers = self.world.workers.lock().unwrap();
            let state = &mut workers[self.index];
            state.sequence += 1;
            self.body(state)
        };
        self.record.line(&format!("worker {} sends a status report that is held up", self.id));
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let answer = worker.post("instances.heartbeat", &body);
            let status = answer.map_or(0, |answer| answer.status());
            worker.record.line(&format!(
                "the status report of {} arrives {} s late, status {status}",
                worker.id,
                delay.as_secs_f64()
            ));
        });
    }

    /// Deregisters; returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let answer = self.post("instances.deregister", &body);
        let is_acknowledged = answer.is_some_and(|answer| answer.status() == 200);
        if is_acknowledged {
            self.record_left();
        }
        is_acknowledged
    }

    /// Ends the worker.
    pub fn exit(&self) {
        self.stop_reports();
        self.world.workers.lock().unwrap()[self.index].has_exited = true;
        self.record.line(&format!("worker {} exits", self.id));
    }

    /// Sends a status report as another writer does that leaves out fields: `zone`, `version`,
    /// `warmupLeft`, `holds` and `freed` are missing.
    pub fn report_of_another_writer(&self) {
        let (service, address) = (&self.service, self.address);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","slots":{SLOTS},"state":"draining","seq":1,"born":{born}}}"#
        );
        let target = "/v1/rpc?call=instances.heartbeat&of=i-other";
        let headers = "host: node\r\ncontent-type: application/json\r\n";
        let time = ACK_TIME;
        let answer = http::call(self.reports, "POST", target, headers, body.as_bytes(), time);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!("another writer sends {body}, status {status}"));
    }
}

/// Gives up what has lapsed, and what is to be released and idle.
fn release(state: &mut WorkerState, now: Instant) {
    let running = std::mem::take(&mut state.running);
    for hold in std::mem::take(&mut state.holds) {
        let is_busy = running.iter().any(|key| hold.contains(*key));
        if hold.until <= now {
            continue;
        }
        if hold.is_releasing && !is_busy {
            let token = format!("{:08x}{:08x}", hold.first, hold.fence);
            state.freed.push((hold.first, hold.last, token));
            continue;
        }
        state.holds.push(hold);
    }
    state.running = running;
}
