//! Statistics of the link between this machine and others, for logs and metrics.

use std::sync::Arc;

use cornelridge_fleet::link;
use cornelridge_model::time;
use cornelridge_wire::transport;

use crate::clock;
use crate::meter;
use crate::worker;

/// Time between two samples, and thus between two log lines.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default)]
struct LinkTotals {
    answer_bytes: u64,
    sent_bytes: u64,
    lost_packets: u64,
    refusals: u64,
}

/// Records the statistics, with a log line for each interval in which large responses were sent,
/// waited or were refused.
pub(crate) async fn watch(
    local_worker: Arc<worker::LocalWorker>,
    endpoint: transport::NodeEndpoint,
) {
    let mut previous = LinkTotals::default();
    loop {
        clock::sleep(SAMPLE_INTERVAL).await;
        let counts = endpoint.stats();
        let bytes = |link: &link::LinkQueue| (link.released_bytes(), link.waiting_bytes());
        let (answer_bytes, waiting_bytes) = local_worker.pacer.with_queue(bytes);
        let totals = LinkTotals {
            answer_bytes,
            sent_bytes: counts.sent_bytes,
            lost_packets: counts.lost_packets,
            refusals: local_worker.link_refusals(),
        };
        metrics::counter!(meter::LARGE_RESPONSE_BYTES).absolute(totals.answer_bytes);
        metrics::gauge!(meter::LARGE_RESPONSE_WAITING_BYTES).set(waiting_bytes as f64);
        metrics::counter!(meter::PEER_SENT_BYTES).absolute(totals.sent_bytes);
        metrics::counter!(meter::PEER_LOST_PACKETS).absolute(totals.lost_packets);
        let round_trip = counts.max_round_trip;
        metrics::gauge!(meter::PEER_ROUND_TRIP_SECONDS).set(round_trip.as_secs_f64());
        let is_used = totals.answer_bytes > previous.answer_bytes
            || totals.refusals > previous.refusals
            || waiting_bytes > 0;
        if is_used {
            let load = local_worker.load("");
            log::info!(
                answer_bytes = totals.answer_bytes - previous.answer_bytes, waiting_bytes,
                sent_bytes = totals.sent_bytes - previous.sent_bytes,
                lost_packets = totals.lost_packets.saturating_sub(previous.lost_packets),
                round_trip_us = round_trip.as_micros() as u64,
                refused = totals.refusals - previous.refusals,
                running = load.running, queued = load.queued, slots = load.slots;
                "link statistics"
            );
        }
        previous = totals;
    }
}
