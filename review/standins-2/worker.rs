//! A sound worker: it runs requests in its slots, reports to the node beside it and holds the keys
//! that the answers to its reports grant.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};
use crate::record::Record;

/// Interval between two reports.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Interval between two reports while keys are being released.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: usize = 12;
const QUEUE: usize = 48;

#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: i64,
    pub until: Instant,
    pub is_releasing: bool,
}

impl Hold {
    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

pub struct WorkerState {
    pub sequence: i64,
    pub holds: Vec<Hold>,
    /// Rows of released keys: first key, last key, handover token.
    freed: Vec<(u16, u16, String)>,
    /// Keys of the running requests.
    running: Vec<Option<u16>>,
    waiting: usize,
    /// Requests that have run.
    runs: Vec<String>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub born: u64,
    pub service: String,
    pub address: SocketAddr,
    /// Address to which the worker reports.
    pub control: SocketAddr,
    pub is_sharded: bool,
    pub state: Arc<Mutex<WorkerState>>,
    /// Whether the worker doesn't report.
    pub is_silent: Arc<AtomicBool>,
    pub record: Record,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time of day").as_millis() as u64
}

impl Worker {
    /// Starts a worker at `address`.
    pub fn start(
        id: &str,
        service: &str,
        is_sharded: bool,
        address: SocketAddr,
        control: SocketAddr,
        record: &Record,
    ) -> Worker {
        let listener = TcpListener::bind(address).expect("a free port");
        let (sequence, waiting) = (0, 0);
        let (holds, freed, running) = (Vec::new(), Vec::new(), Vec::new());
        let worker = Worker {
            id: id.to_owned(),
            born: unix_ms(),
            service: service.to_owned(),
            address,
            control,
            is_sharded,
            state: Arc::new(Mutex::new(WorkerState {
                sequence,
                holds,
                freed,
                running,
                waiting,
                runs: Vec::new(),
            })),
            is_silent: Arc::default(),
            record: record.clone(),
        };
        let serving = worker.clone();
        http::serve(listener, move |request, stream| serving.respond(request, stream));
        worker
    }

    /// Reports until the process ends.
    pub fn start_reports(&self) {
        let worker = self.clone();
        std::thread::spawn(move || {
            let mut next = Instant::now();
            loop {
                if !worker.is_silent.load(Ordering::Relaxed) {
                    worker.report();
                }
                let is_releasing =
                    worker.state.lock().unwrap().holds.iter().any(|hold| hold.is_releasing);
                next += if is_releasing { RELEASE_INTERVAL } else { HEARTBEAT };
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next = next.max(Instant::now() - HEARTBEAT);
            }
        });
    }

    /// Returns the path of a report.
    pub fn report_path(&self) -> String {
        format!("/v1/rpc?call=instances.heartbeat&of={}", self.id)
    }

    /// Returns the body of the next report, and the number of released rows in it.
    pub fn next_report(&self) -> (Json, usize) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let WorkerState { holds, freed, running, sequence, .. } = &mut *state;
        let is_busy = |hold: &Hold| running.iter().flatten().any(|key| hold.contains(*key));
        let ended: Vec<Hold> = holds
            .iter()
            .filter(|hold| hold.until <= now || (hold.is_releasing && !is_busy(hold)))
            .cloned()
            .collect();
        holds.retain(|hold| hold.until > now && (!hold.is_releasing || is_busy(hold)));
        for hold in ended.iter().filter(|hold| hold.until > now) {
            freed.push((hold.first, hold.last, format!("{:016x}", hold.fence)));
        }
        *sequence += 1;
        let number = |number: u16| Json::Int(i64::from(number));
        let held = holds.iter();
        let held = held.map(|hold| {
            Json::List(vec![number(hold.first), number(hold.last), Json::Int(hold.fence)])
        });
        let released = freed.iter();
        let released = released.map(|(first, last, token)| {
            Json::List(vec![number(*first), number(*last), json::text(token)])
        });
        let mut fields = vec![
            ("service", json::text(&self.service)),
            ("address", json::text(self.address.to_string())),
            ("zone", json::text("zone-a")),
            ("version", json::text("v1")),
            ("slots", Json::Int(SLOTS as i64)),
            ("state", json::text("ready")),
            ("warmupLeft", json::text("0ms")),
            ("seq", Json::Int(*sequence)),
            ("born", Json::Int(self.born as i64)),
        ];
        if self.is_sharded {
            fields.push(("holds", Json::List(held.collect())));
            fields.push(("freed", Json::List(released.collect())));
        }
        (json::map(fields), freed.len())
    }

    pub fn report(&self) {
        let sent = Instant::now();
        let (body, freed) = self.next_report();
        let request = Request::new("POST", &self.report_path())
            .header("Host", self.control)
            .header("Content-Type", "application/json")
            .body(body.to_string());
        let Ok(response) = http::call(self.control, &request, REPORT_TIMEOUT) else { return };
        if !(200..300).contains(&response.status) || sent.elapsed() > REPORT_TIMEOUT {
            return;
        }
        let reply = Json::parse(&response.text()).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.freed.drain(..freed);
        if reply.get("holds").is_some() {
            self.apply(&mut state, &reply, sent);
        }
    }

    fn apply(&self, state: &mut WorkerState, reply: &Json, sent: Instant) {
        let millis = reply.str("hold_time").trim_end_matches("ms").parse().unwrap_or_default();
        let until = sent + Duration::from_millis(millis);
        let rows = reply.list("holds").iter().map(|row| Hold {
            first: row.at(0).as_int() as u16,
            last: row.at(1).as_int() as u16,
            fence: row.at(2).as_int(),
            until,
            is_releasing: false,
        });
        let rows: Vec<Hold> = rows.collect();
        let is_kept =
            |hold: &Hold| rows.iter().any(|row| row.first <= hold.first && hold.last <= row.last);
        let mut left_out: Vec<Hold> =
            state.holds.iter().filter(|hold| !is_kept(hold)).cloned().collect();
        for hold in left_out.iter_mut().filter(|hold| !hold.is_releasing) {
            hold.is_releasing = true;
            self.record.add(format!(
                "worker {} is to release {}-{} fence {}",
                self.id, hold.first, hold.last, hold.fence
            ));
        }
        for row in &rows {
            let is_new = !state.holds.iter().any(|hold| {
                !hold.is_releasing
                    && (hold.first, hold.last, hold.fence) == (row.first, row.last, row.fence)
            });
            if is_new {
                self.record.add(format!(
                    "worker {} gets {}-{} fence {} for {millis} ms",
                    self.id, row.first, row.last, row.fence
                ));
            }
        }
        state.holds = left_out.into_iter().chain(rows).collect();
    }

    /// Returns the keys that the worker holds now, with those on which it is still at work.
    pub fn held(&self) -> Vec<(u16, u16)> {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_busy = |hold: &Hold| state.running.iter().flatten().any(|key| hold.contains(*key));
        let held = state.holds.iter().filter(|hold| hold.until > now);
        let held = held.filter(|hold| !hold.is_releasing || is_busy(hold));
        held.map(|hold| (hold.first, hold.last)).collect()
    }

    /// Returns the requests that have run.
    pub fn runs(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    fn refuse(&self, id: &str, status: u16) -> Response {
        Response::new(status, "")
            .header("Request-Id", id)
            .header("Instance-Id", &self.id)
            .header("Not-Executed", "1")
    }

    fn respond(&self, request: &Request, stream: &TcpStream) -> Option<Response> {
        if request.path() == "/health" {
            return Some(Response::new(200, "").header("Instance-Id", &self.id));
        }
        let id = request.get("Request-Id").to_owned();
        if id.is_empty() {
            return Some(self.refuse("", 400));
        }
        let expected = request.get("Expected-Instance");
        if !expected.is_empty() && expected != self.id {
            return Some(self.refuse(&id, 421));
        }
        let key = request.get("Shard-Key").parse::<u16>().ok().filter(|_| self.is_sharded);
        if let Err(status) = self.enter(key) {
            return Some(self.refuse(&id, status));
        }
        self.state.lock().unwrap().runs.push(id.clone());
        let allowed = request.get("Deadline-Ms").parse().unwrap_or(1_500);
        let end = Instant::now() + Duration::from_millis(allowed);
        self.record.add(format!(
            "worker {} runs {id} {} {} from {} body {}",
            self.id,
            request.method,
            request.target,
            request.get("Caller-Service"),
            request.body.len()
        ));
        let done = Instant::now() + work_time(request);
        let mut is_dropped = false;
        while Instant::now() < done.min(end) && !is_dropped {
            let left = done.min(end).saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(Duration::from_millis(20)));
            is_dropped = http::is_closed(stream);
        }
        self.leave(key);
        let load = format!("{},0,{SLOTS}", self.state.lock().unwrap().running.len());
        if is_dropped {
            self.record.add(format!("worker {} drops {id}", self.id));
            return None;
        }
        let status = if done <= end { 200 } else { 504 };
        let body = format!("answer to {id} {}", request.target);
        self.record.add(format!("worker {} ends {id} with {status}", self.id));
        let response = Response::new(status, body)
            .header("Request-Id", &id)
            .header("Keep-Alive", "timeout=10")
            .header("Server-Load", load);
        Some(if status == 200 {
            response.header("Response-Signature", signature(&id))
        } else {
            response
        })
    }

    /// Takes a slot, after a wait if all are in use; returns the status of a rejection.
    fn enter(&self, key: Option<u16>) -> Result<(), u16> {
        let end = Instant::now() + Duration::from_secs(2);
        let mut is_queued = false;
        loop {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let holds = |key: &u16| {
                let mut holds = state.holds.iter();
                holds.any(|hold| hold.contains(*key) && hold.until > now && !hold.is_releasing)
            };
            let is_held = !self.is_sharded || key.as_ref().is_some_and(holds);
            let has_room = state.running.len() < SLOTS;
            if !is_held || has_room || now >= end || (!is_queued && state.waiting >= QUEUE) {
                if is_queued {
                    state.waiting -= 1;
                }
                if is_held && has_room {
                    state.running.push(key);
                    return Ok(());
                }
                return Err(if is_held { 503 } else { 421 });
            }
            if !is_queued {
                state.waiting += 1;
                is_queued = true;
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn leave(&self, key: Option<u16>) {
        let mut state = self.state.lock().unwrap();
        if let Some(index) = state.running.iter().position(|running| *running == key) {
            state.running.swap_remove(index);
        }
    }
}

/// Returns the signature of the answer to a request, which the client checks.
pub fn signature(id: &str) -> String {
    let sum =
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    format!("{sum:x}")
}

/// Returns the time that a request takes, which its path may name: `/price/work-300/7`.
fn work_time(request: &Request) -> Duration {
    let named = request.target.split('/').find_map(|part| part.strip_prefix("work-")?.parse().ok());
    Duration::from_millis(named.unwrap_or(60))
}
