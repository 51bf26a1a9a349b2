//! The platform's store, as PROTOCOL.md describes it: items, watches, transactions and leases.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};

/// Time of an answer, as in the users' deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Revision up to which the history is gone.
    compacted: u64,
    leases: HashMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn to_json(key: &str, item: &Item) -> Json {
    json::map(vec![
        ("key", json::text(key)),
        ("value", json::text(&item.value)),
        ("rev", Json::Int(item.revision as i64)),
        ("createRev", Json::Int(item.created as i64)),
        ("lease", Json::Int(item.lease as i64)),
    ])
}

fn answer(status: u16, body: &Json) -> Response {
    Response::new(status, body.to_string()).header("content-type", "application/json")
}

impl State {
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        let old = self.events.iter().take_while(|event| now - event.at > HISTORY).count();
        if let Some(last) = self.events.drain(..old).next_back() {
            self.compacted = last.revision;
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let items = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (at, revision) = (Instant::now(), self.revision);
            self.events.push(Event { at, revision, key: key.to_owned(), item: None });
        }
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let (at, revision) = (Instant::now(), self.revision);
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { at, revision, key: key.to_owned(), item: Some(item) });
    }

    fn transact(&mut self, body: &Json) -> Response {
        let rows = body.list("expected");
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if rows.iter().any(|row| row.int("rev") as u64 != revision_of(row.str("key"))) {
            let found = rows.iter().map(|row| row.str("key"));
            let items = found.filter_map(|key| Some(to_json(key, self.items.get(key)?)));
            let body = json::map(vec![("items", Json::List(items.collect()))]);
            return answer(412, &body);
        }
        let writes = body.list("writes");
        let is_gone = |row: &Json| {
            let lease = row.int("lease") as u64;
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if writes.iter().any(is_gone) {
            return answer(404, &json::map(Vec::new()));
        }
        self.revision += 1;
        for row in writes {
            self.put(row.str("key"), row.str("value"), row.int("lease") as u64);
        }
        for key in body.list("deletes") {
            self.remove(key.as_str());
        }
        answer(200, &json::map(vec![("rev", Json::Int(self.revision as i64))]))
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let page: Vec<Json> =
            items.by_ref().take(500).map(|(key, item)| to_json(key, item)).collect();
        let truncated = items.next().is_some();
        answer(
            200,
            &json::map(vec![
                ("items", Json::List(page)),
                ("truncated", Json::Bool(truncated)),
                ("storeRevision", Json::Int(self.revision as i64)),
            ]),
        )
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<Json> {
        let events = self.events.iter();
        let events = events.filter(|event| event.revision > after && event.key.starts_with(prefix));
        let events = events.map(|event| match &event.item {
            Some(item) => to_json(&event.key, item),
            None => json::map(vec![
                ("key", json::text(&event.key)),
                ("rev", Json::Int(event.revision as i64)),
                ("tombstone", Json::Bool(true)),
            ]),
        });
        events.collect()
    }
}

impl Store {
    pub fn start() -> Store {
        let state = State {
            items: BTreeMap::new(),
            events: Vec::new(),
            compacted: 0,
            leases: HashMap::new(),
            revision: 1,
            next_lease: 70_000,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        http::serve(listener, move |request, _| serving.respond(request));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let has_ended = expiring.state.0.lock().unwrap().expire();
                if has_ended {
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item, as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &json::to_base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    fn respond(&self, request: &Request) -> Option<Response> {
        std::thread::sleep(ANSWER_TIME);
        let body = String::from_utf8_lossy(&request.body);
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let path = request.path().to_owned();
        if path == "/v1/kv-watch" {
            return Some(self.watch(request));
        }
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or_default();
        let response = match (request.method.as_str(), path.as_str()) {
            ("GET", "/v1/kv-range") => {
                state.range(&request.query("prefix"), &request.query("after"))
            }
            ("GET", "/v1/kv-key") => match state.items.get(&request.query("key")) {
                Some(item) => answer(200, &to_json(&request.query("key"), item)),
                None => answer(404, &json::map(Vec::new())),
            },
            ("POST", "/v1/kv-txn") => state.transact(&body),
            ("POST", "/v1/kv-lease") => {
                let text = body.str("ttl_time");
                let millis = match text.strip_suffix("ms") {
                    Some(number) => number.parse::<f64>().unwrap_or(1_000.0),
                    None => text.trim_end_matches('s').parse::<f64>().unwrap_or(1.0) * 1_000.0,
                };
                let ttl = Duration::from_millis(millis.clamp(1_000.0, 600_000.0) as u64);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                let ttl = json::text(format!("{}ms", ttl.as_millis()));
                answer(200, &json::map(vec![("lease", Json::Int(id as i64)), ("ttl_time", ttl)]))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    let ttl = json::text(format!("{}ms", lease.ttl.as_millis()));
                    answer(200, &json::map(vec![("ttl_time", ttl)]))
                }
                None => answer(404, &json::map(Vec::new())),
            },
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                state.end_lease(id);
                answer(200, &json::map(Vec::new()))
            }
            _ => answer(404, &json::map(Vec::new())),
        };
        drop(state);
        self.state.1.notify_all();
        Some(response)
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or_default();
        let wait: u64 = request.query("waitMs").parse().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after < state.compacted || after > state.revision {
                return answer(410, &json::map(Vec::new()));
            }
            let events = state.events_after(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json::map(vec![
                    ("events", Json::List(events)),
                    ("storeRevision", Json::Int(state.revision as i64)),
                ]);
                return answer(200, &body);
            }
            let waited = self.state.1.wait_timeout(state, left.min(Duration::from_millis(200)));
            state = waited.unwrap().0;
        }
    }
}
