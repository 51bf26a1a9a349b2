//! A stand-in for the platform's store.

use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
struct Item {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    at: Instant,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    compacted: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Connections on which a watch waits, with its prefix.
    watching: BTreeMap<u64, String>,
    /// Connections that have been used.
    seen: HashSet<u64>,
    /// Connections that have gone silent.
    silent: HashSet<u64>,
    /// Machines that are turned away with 503, which means that nothing was done.
    rejected: HashSet<usize>,
}

/// A store in memory.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","rev":{},"createRev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.record(key, Some(item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        let (revision, at) = (self.revision, Instant::now());
        self.history.push(Change { revision, at, key: key.to_owned(), item });
    }

    fn tick(&mut self) {
        let now = Instant::now();
        while self.history.first().is_some_and(|change| now - change.at > HISTORY) {
            self.compacted = self.history.remove(0).revision;
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected").list();
        let is_as_expected = |row: &Json| {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("rev").number()
        };
        if !expected.iter().all(is_as_expected) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let rows: Vec<String> = keys
                .map(|key| match self.items.get(key) {
                    Some(item) => item_text(key, item),
                    None => format!(r#"{{"key":"{key}","rev":0}}"#),
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, rows.join(",")));
        }
        let leases = body.get("writes").list().iter().map(|row| row.get("lease").number());
        if leases.into_iter().any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for row in body.get("writes").list() {
            let value = row.get("value").text().to_owned();
            self.put(row.get("key").text(), value, row.get("lease").number());
        }
        body.get("deletes").list().iter().for_each(|key| self.remove(key.text()));
        (200, format!(r#"{{"rev":{}}}"#, self.revision))
    }
}

impl Store {
    pub fn start() -> Store {
        let state = State { revision: 1, ..State::default() };
        let store = Store { state: Arc::new(Mutex::new(state)), changed: Arc::default() };
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.state.lock().unwrap().tick();
                ticking.changed.notify_all();
            }
        });
        store
    }

    /// Serves the store to one machine.
    pub fn listen(&self, listener: TcpListener, machine: usize) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        http::serve(listener, move |connection, request, stream| {
            let connection = connection + machine as u64 * 1_000_000;
            store.answer(machine, connection, request, stream)
        });
        address
    }

    /// Turns a machine away, or serves it again.
    pub fn set_rejected(&self, machine: usize, is_rejected: bool) {
        let mut state = self.state.lock().unwrap();
        match is_rejected {
            true => state.rejected.insert(machine),
            false => state.rejected.remove(&machine),
        };
        drop(state);
        self.changed.notify_all();
    }

    /// Returns whether there is an item with this key.
    pub fn contains(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        state.tick();
        state.items.contains_key(key)
    }

    /// Writes an item as the operator does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, json::base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Makes the connections go silent on which a watch of `prefix` waits; returns their number, and
    /// that of the connections that have been opened so far.
    pub fn silence_watches(&self, prefix: &str) -> (usize, usize) {
        let mut state = self.state.lock().unwrap();
        let waiting = state.watching.iter().filter(|(_, known)| *known == prefix);
        let waiting: Vec<u64> = waiting.map(|(connection, _)| *connection).collect();
        state.silent.extend(&waiting);
        (waiting.len(), state.seen.len())
    }

    fn answer(
        &self,
        machine: usize,
        connection: u64,
        request: &http::Message,
        stream: &mut TcpStream,
    ) -> Option<()> {
        let is_rejected = {
            let mut state = self.state.lock().unwrap();
            state.seen.insert(connection);
            state.rejected.contains(&machine)
        };
        let path = request.path();
        let (status, text) = match path {
            _ if is_rejected => (503, "{}".to_owned()),
            "/v1/kv-watch" => self.watch(machine, connection, request),
            _ => self.change(path, request),
        };
        self.changed.notify_all();
        if self.state.lock().unwrap().silent.contains(&connection) {
            // Nothing arrives on this connection any more, in either direction.
            loop {
                thread::sleep(Duration::from_secs(1));
            }
        }
        http::respond(stream, status, "content-type: application/json\r\n", text.as_bytes())
    }

    fn change(&self, path: &str, request: &http::Message) -> (u16, String) {
        let body = json::parse(&request.text());
        let mut state = self.state.lock().unwrap();
        state.tick();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let method = request.start[0].as_str();
        match (method, path) {
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let is_in = |key: &&String| key.starts_with(&prefix) && **key > after;
                let found = state.items.iter().filter(|(key, _)| is_in(key)).take(501);
                let mut rows: Vec<String> = found.map(|(key, item)| item_text(key, item)).collect();
                let is_truncated = rows.len() > 500;
                rows.truncate(500);
                let text = format!(
                    r#"{{"items":[{}],"truncated":{is_truncated},"storeRevision":{}}}"#,
                    rows.join(","),
                    state.revision
                );
                (200, text)
            }
            ("POST", "/v1/kv-txn") => state.transact(&body),
            ("POST", "/v1/kv-lease") => {
                let text = body.get("ttl_time").text().to_owned();
                let ttl = text.strip_suffix("ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let ttl = Duration::from_millis(ttl);
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_time":"{text}"}}"#))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&id) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                state.end_lease(id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, machine: usize, connection: u64, request: &http::Message) -> (u16, String) {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let after: u64 = after.parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        state.watching.insert(connection, prefix.clone());
        let answer = loop {
            if state.rejected.contains(&machine) {
                break (503, "{}".to_owned());
            }
            if after < state.compacted {
                break (410, "{}".to_owned());
            }
            let is_new =
                |change: &&Change| change.revision > after && change.key.starts_with(&prefix);
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(is_new)
                .map(|change| match &change.item {
                    Some(item) => item_text(&change.key, item),
                    None => format!(
                        r#"{{"key":"{}","rev":{},"tombstone":true}}"#,
                        change.key, change.revision
                    ),
                })
                .collect();
            if !rows.is_empty() || Instant::now() >= end {
                let revision = state.revision;
                let rows = rows.join(",");
                break (200, format!(r#"{{"events":[{rows}],"storeRevision":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        };
        state.watching.remove(&connection);
        answer
    }
}
