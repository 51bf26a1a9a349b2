//! The cases.

mod late_report;
mod log_reader;
mod memory;
mod other_writer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::http::{self, Request};
use crate::record::Record;

pub enum Verdict {
    Held(String),
    Broken(String),
    /// The case couldn't run.
    Unplayed(String),
}

pub fn play(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "late-report" => late_report::play(record, has_trouble),
        "other-writer" => other_writer::play(record, has_trouble),
        "memory" => memory::play(record, has_trouble),
        "log-reader" => log_reader::play(record, has_trouble),
        _ => Verdict::Unplayed(format!("no case {case}")),
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-price","host":"shop.example","prefix":"/price/","kind":"safe","timeout":"1500ms","targetLatency":"600ms","priority":2,"service":"quote","maxAttempts":2},
 {"name":"r-lots","host":"shop.example","prefix":"/lots/","kind":"safe","timeout":"1500ms","targetLatency":"600ms","priority":1,"service":"lots","maxAttempts":2},
 {"name":"r-pay","host":"shop.example","prefix":"/pay/","kind":"unsafe","timeout":"2000ms","targetLatency":"800ms","priority":1,"service":"pay","maxAttempts":2}],
 "services":[{"name":"quote","sharded":true,"maxConnections":110,"healthCheckPath":"/health"},{"name":"lots","maxConnections":110,"healthCheckPath":"/health"},{"name":"pay","maxConnections":110,"healthCheckPath":"/health"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#;

/// Sends lookups for all keys to one node, ten a second, until `stop` is set.
fn traffic(deployment: &Deployment, node: usize, stop: &Arc<AtomicBool>) {
    let (address, record, stop) =
        (deployment.nodes[node].outbound, deployment.record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        for number in 0_u32.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            lookup(address, &record, node, number, (number.wrapping_mul(40_503) % 65_536) as u16);
            thread::sleep(Duration::from_millis(100));
        }
    });
}

/// Sends a lookup for a key to a node, without waiting for the answer.
fn lookup(address: SocketAddr, record: &Record, node: usize, number: u32, key: u16) {
    let record = record.clone();
    thread::spawn(move || {
        let id = format!("c{}-{number}", node + 1);
        let request = Request::new("GET", &format!("/price/work-80/{number}"))
            .header("Host", "shop.example")
            .header("Request-Id", &id)
            .header("Shard-Key", key)
            .header("Deadline-Ms", 1_500);
        let answer = match http::call(address, &request, Duration::from_millis(2_000)) {
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.add(format!("request {id} key {key} at node {}: {answer}", node + 1));
    });
}
