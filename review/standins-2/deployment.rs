//! A small deployment: a store, workers, and a node beside each worker.

use std::time::{Duration, Instant};

use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub record: Record,
}

/// Memory of a node's machine in the users' deployments.
const MEMORY_MB: u64 = 260;

impl Deployment {
    /// Prepares nodes and starts workers of these services; the keys of some services are divided.
    pub fn new(services: &[(&str, bool)], record: &Record) -> Deployment {
        Deployment::with_memory(services, MEMORY_MB, record)
    }

    /// Does the same with other machines.
    pub fn with_memory(services: &[(&str, bool)], memory_mb: u64, record: &Record) -> Deployment {
        let folder = std::env::temp_dir();
        let store = Store::start();
        let mut deployment =
            Deployment { store, nodes: Vec::new(), workers: Vec::new(), record: record.clone() };
        for (index, (service, is_sharded)) in services.iter().enumerate() {
            let store = deployment.store.address;
            let node = Node::new(&folder, index, service, store, memory_mb, record);
            let id = format!("i-{:04x}", 0xa100 + index);
            let worker = Worker::start(&id, service, *is_sharded, node.app, node.control, record);
            deployment.nodes.push(node);
            deployment.workers.push(worker);
        }
        deployment
    }

    pub fn start_reports(&self) {
        self.workers.iter().for_each(Worker::start_reports);
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.nodes.iter().all(Node::is_ready) {
                self.record.add("all nodes are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until each divided service's keys are all held.
    pub fn wait_until_held(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            let sharded = self.workers.iter().filter(|worker| worker.is_sharded);
            let mut held: Vec<(u16, u16)> = sharded.flat_map(Worker::held).collect();
            held.sort_unstable();
            let keys: u32 =
                held.iter().map(|(first, last)| u32::from(*last) - u32::from(*first) + 1).sum();
            if keys == 65_536 {
                self.record.add("all keys are held");
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
