//! Probes nodes whose entry in the store has ended.

use std::sync::Arc;

use cornelridge_fleet::lapse;
use cornelridge_wire::transport;

use crate::clock;
use crate::meter;
use crate::view;

/// Probes the nodes whose entry has ended until the process ends, so that those that still answer
/// stay in use. `node` is this node, which always answers itself.
pub(crate) async fn watch(
    node: Arc<str>,
    view: Arc<view::FleetView>,
    endpoint: transport::NodeEndpoint,
) {
    loop {
        let changed = view.changed();
        let lapsed: Vec<_> = {
            let directory = view.directory();
            let entries = directory.lapsed().iter();
            entries.map(|(node, entry)| (Arc::clone(node), entry.peer)).collect()
        };
        if lapsed.is_empty() {
            meter::record_lapsed_members(0, 0);
            changed.await;
            continue;
        }
        let mut reachable_count = 0;
        for (name, peer) in &lapsed {
            let now = clock::now();
            let frames = if *name == node { Some(now.0) } else { endpoint.probe(*peer) };
            let mut directory = view.directory();
            let has_changed = directory.record_frames(now, name, frames);
            let is_reachable = directory.lapsed().reachable(now, name).is_some();
            drop(directory);
            reachable_count += usize::from(is_reachable);
            if has_changed {
                log::info!(
                    node:% = name, is_reachable;
                    "member without an entry answers or has stopped answering"
                );
            }
        }
        meter::record_lapsed_members(lapsed.len(), reachable_count);
        view.directory().remove_lost(clock::now());
        clock::sleep(lapse::CHECK_INTERVAL).await;
    }
}
