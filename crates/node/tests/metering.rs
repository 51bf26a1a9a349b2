//! Metrics whose labels aren't used any more.

#![allow(clippy::unwrap_used)]

use std::thread;
use std::time::{Duration, Instant};

use cornelridge::metering;

/// Guards against memory that grows with each name that a configuration ever had.
#[test]
fn metrics_that_are_not_recorded_any_more_are_removed() {
    let recorder = metering::recorder(Duration::from_millis(200));
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        metrics::counter!("requests_total", "route" => "old").increment(1);
        metrics::histogram!("request_seconds", "route" => "old").record(0.1);
        metrics::gauge!("queued").set(3.0);
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            metrics::counter!("requests_total", "route" => "new").increment(1);
            let text = handle.render();
            assert!(text.contains("requests_total{route=\"new\"}"), "{text}");
            assert!(text.contains("queued 3"), "the state of the node stays: {text}");
            if !text.contains("old") {
                return;
            }
            assert!(Instant::now() < end, "still there: {text}");
            thread::sleep(Duration::from_millis(20));
        }
    });
}
