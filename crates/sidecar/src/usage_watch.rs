//! Figures of each second on where the room of the worker went and how requests ended.

use std::sync::{Arc, Mutex};

use cornelridge_fleet::route_usage::{self, RequestEnd};
use cornelridge_model::time;

use crate::clock;
use crate::meter;
use crate::view::lock;
use crate::worker;

/// Time between two samples, and thus between two log lines of a route.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Ends of the requests of callers at this node.
pub(crate) type SharedEnds = Arc<Mutex<route_usage::RouteRecord<route_usage::RouteEnds>>>;

/// Records the figures until the process ends.
pub(crate) async fn watch(local_worker: Arc<worker::LocalWorker>, ends: SharedEnds) {
    loop {
        clock::sleep(SAMPLE_INTERVAL).await;
        let load = local_worker.load("");
        for (route, usage) in local_worker.take_usage() {
            meter::add_slot_time(&route, usage.slot_time);
            log::info!(
                route:% = route, offered = usage.offered, started = usage.started,
                refused_link = usage.refused_link, refused_other = usage.refused_other,
                served = usage.served, slot_ms = usage.slot_time.as_millis(),
                running = load.running, queued = load.queued, slots = load.slots;
                "use of the worker"
            );
        }
        let ended = lock(&ends).take();
        for (route, ends) in ended {
            log::info!(
                route:% = route, in_time = ends.count(RequestEnd::InTime),
                late = ends.count(RequestEnd::Late), refused = ends.count(RequestEnd::Refused),
                failed = ends.count(RequestEnd::Failed), left = ends.count(RequestEnd::Left),
                waiting_ms = ends.waiting_time.as_millis(),
                sending_ms = ends.sending_time.as_millis();
                "ends of callers' requests"
            );
        }
    }
}
