//! Descriptions of the Bogotá and Nairobi deployments.

use std::sync::Arc;
use std::time;

use cornelridge_model::{class, ident};

/// Number of slots of each worker.
pub const WORKER_SLOTS: u32 = 12;
/// Number of connections that each worker accepts.
pub const WORKER_CONNECTIONS: u32 = 110;
/// Time that a new connection to a worker takes.
pub const CONNECT_TIME: time::Duration = time::Duration::from_millis(1);

/// A site with its zones, classes and workers.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the region.
    pub region: &'static str,
    /// Names of the availability zones.
    pub zones: [&'static str; 3],
    /// One-way delay between two zones.
    pub zone_delay: time::Duration,
    /// One-way delay between callers and the site.
    pub caller_delay: time::Duration,
    /// Classes with their workers, sorted by name.
    pub classes: Vec<ClassDeployment>,
}

/// A class and the workers that serve it.
#[derive(Clone, Debug)]
pub struct ClassDeployment {
    /// Configuration of the class.
    pub config: class::ClassConfig,
    /// Number of workers.
    pub workers: u32,
    /// Service time of a typical request.
    pub service_time: time::Duration,
    /// Additional time of the first request for a key.
    pub cold_start: time::Duration,
    /// Whether the workers check fences.
    pub checks_fences: bool,
    /// Length of a typical response body, in bytes.
    pub answer_bytes: u64,
}

/// One host with a node and a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlan {
    /// Name of the host.
    pub name: Arc<str>,
    /// Class that the worker serves.
    pub class: Arc<str>,
    /// Availability zone.
    pub zone: &'static str,
    /// Whether the worker checks fences.
    pub checks_fences: bool,
}

impl Deployment {
    /// Returns the Bogotá deployment: quotes, payouts and downloads of lots. It prefers few moves,
    /// as each move of a hot key costs a cold start while a seller waits.
    pub fn bogota() -> Deployment {
        let prefer = class::BalancePreference::FewestMoves;
        Deployment {
            region: "bogota",
            zones: ["bog-norte", "bog-centro", "bog-sur"],
            zone_delay: time::Duration::from_micros(500),
            caller_delay: time::Duration::from_millis(8),
            classes: vec![bulk("lot-vault", prefer), at_most_once("payout-hub", prefer), {
                let mut quotes = keyed("quote-desk", prefer);
                quotes.cold_start = time::Duration::from_millis(200);
                quotes
            }],
        }
    }

    /// Returns the Nairobi deployment: prices, orders and drawings. It prefers little downtime, as
    /// unavailable time costs most.
    pub fn nairobi() -> Deployment {
        let prefer = class::BalancePreference::LeastDowntime;
        Deployment {
            region: "nairobi",
            zones: ["ruaraka", "kasarani", "thika-road"],
            zone_delay: time::Duration::from_micros(500),
            caller_delay: time::Duration::from_millis(3),
            classes: vec![
                bulk("catalogue", prefer),
                at_most_once("orderdesk", prefer),
                keyed("pricebook", prefer),
            ],
        }
    }

    /// Returns the class configuration of this site, as its first revision.
    pub fn class_document(&self) -> class::ClassDocument {
        class::ClassDocument {
            revision: ident::RevisionNumber(1),
            change_id: 1,
            classes: self.classes.iter().map(|entry| entry.config.clone()).collect(),
        }
    }

    /// Returns the hosts of the site. The workers of each class are assigned to the zones in
    /// round-robin order.
    pub fn workers(&self) -> Vec<WorkerPlan> {
        let plan = |(index, entry): (usize, &ClassDeployment)| {
            let plan = |number: u32| WorkerPlan {
                name: Arc::from(format!("{}-{}", entry.config.name, number + 1)),
                class: Arc::clone(&entry.config.name),
                zone: self.zones[(index + number as usize) % self.zones.len()],
                checks_fences: entry.checks_fences,
            };
            (0..entry.workers).map(plan).collect::<Vec<_>>()
        };
        self.classes.iter().enumerate().flat_map(plan).collect()
    }
}

/// Returns a class whose keys have one owner each.
fn keyed(name: &str, prefer: class::BalancePreference) -> ClassDeployment {
    ClassDeployment {
        config: class::ClassConfig { division: class::KeyDivision::ByKey, ..config(name, prefer) },
        workers: 4,
        service_time: time::Duration::from_millis(2),
        cold_start: time::Duration::from_millis(50),
        checks_fences: true,
        answer_bytes: 300,
    }
}

/// Returns a class whose requests must not be executed more than once.
fn at_most_once(name: &str, prefer: class::BalancePreference) -> ClassDeployment {
    ClassDeployment {
        config: class::ClassConfig {
            idempotent: false,
            target_ms: 100,
            deadline_ms: 5_000,
            yield_rank: 0,
            ..config(name, prefer)
        },
        workers: 3,
        service_time: time::Duration::from_millis(5),
        cold_start: time::Duration::ZERO,
        checks_fences: true,
        answer_bytes: 300,
    }
}

/// Returns a class of large downloads.
fn bulk(name: &str, prefer: class::BalancePreference) -> ClassDeployment {
    ClassDeployment {
        config: class::ClassConfig {
            target_ms: 1_000,
            deadline_ms: 60_000,
            yield_rank: 2,
            bulk: true,
            ..config(name, prefer)
        },
        workers: 3,
        service_time: time::Duration::from_millis(10),
        cold_start: time::Duration::ZERO,
        checks_fences: false,
        answer_bytes: 4 * 1024 * 1024,
    }
}

fn config(name: &str, prefer: class::BalancePreference) -> class::ClassConfig {
    class::ClassConfig {
        name: Arc::from(name),
        division: class::KeyDivision::AnyWorker,
        idempotent: true,
        target_ms: 40,
        target_percentile: 99.0,
        deadline_ms: 2_000,
        yield_rank: 1,
        bulk: false,
        record_window_s: 600,
        prefer,
    }
}
