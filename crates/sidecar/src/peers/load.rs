//! Loads of workers in messages between nodes.

use cornelridge_fleet::admission;
use cornelridge_model::time;
use cornelridge_wire::generated;

use super::PeerLinks;

impl PeerLinks {
    pub(super) fn read_load(&self, load: &generated::WorkerLoad) -> admission::QueueLoad {
        self.view.observe_config_version(load.config_version);
        admission::QueueLoad {
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            expected_latency: time::Duration(load.expected_us),
            sending_time: time::Duration(load.sending_us),
            slowdown: time::Duration(load.slowdown_us),
            next_start: load.next_start_us.map(time::Duration),
            is_failing: load.is_failing,
        }
    }

    pub(super) fn load_to_wire(&self, load: admission::QueueLoad) -> generated::WorkerLoad {
        generated::WorkerLoad {
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            expected_us: load.expected_latency.0,
            sending_us: load.sending_time.0,
            slowdown_us: load.slowdown.0,
            next_start_us: load.next_start.map(|next| next.0),
            is_failing: load.is_failing,
            config_version: self.view.config().map_or(0, |config| config.config.version),
        }
    }
}
