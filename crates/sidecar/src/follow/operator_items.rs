//! Keeps the view up to date with the operator's items in the store: the configuration and the
//! evacuations.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use cornelridge_model::time;
use cornelridge_store::items;
use futures_lite::future;

use crate::adapter;
use crate::backoff;
use crate::clock;
use crate::follow;
use crate::view;

/// Longest wait of one watch call for the operator's items at the first member, which bounds the
/// time for which a change is unknown to all nodes. The others learn of it from answers of other
/// nodes.
const FIRST_CONFIG_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The same wait at the other members. Each call has a price, also one that waits.
const CONFIG_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(6_000);
/// Interval between two checks for a newer configuration at another node. Two checks in a row must
/// find one before the configuration is read again, so that the watch has time to deliver it.
const CONFIG_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Follows the operator's items, which are the configuration and the evacuations, until the process
/// ends. While the node follows the feed of another node, that feed contains them, and the store
/// isn't asked.
pub(crate) async fn follow_config(
    store: Arc<dyn items::ItemStore>,
    view: Arc<view::FleetView>,
    format: Arc<dyn adapter::FormatAdapter>,
    node: Arc<str>,
) {
    let mut revision = None;
    let mut backoff = backoff::StoreBackoff::default();
    loop {
        let result = match revision {
            None => read_operator_items(&*store, &view, &*format).await,
            Some(revision) => {
                let watch = async {
                    if view.is_operator_fed.load(Ordering::Relaxed) {
                        await_feed_end(&view).await;
                    }
                    let followed = async {
                        await_feed(&view).await;
                        Ok(revision)
                    };
                    let watch = watch_operator_items(&*store, &view, &*format, &node, revision);
                    future::or(watch, followed).await
                };
                let outdated = async {
                    await_newer_config(&view, revision).await;
                    log::info!(
                        newest = view.newest_config_version.load(Ordering::Relaxed), revision;
                        "another node has a newer configuration; reading it from the store"
                    );
                    Err(items::ItemError::Compacted)
                };
                future::or(watch, outdated).await
            }
        };
        match result {
            Ok(next) => {
                backoff.reset();
                revision = Some(next);
            }
            Err(items::ItemError::Compacted) => revision = None,
            Err(error) => {
                log::warn!(
                    error:% = error;
                    "operator's items not read; those known stay in force"
                );
                backoff.wait_for_store(&view).await;
            }
        }
    }
}

/// Completes when the node gets the operator's items from the feed of another node.
async fn await_feed(view: &view::FleetView) {
    while !view.is_operator_fed.load(Ordering::Relaxed) {
        clock::sleep(CONFIG_CHECK_INTERVAL).await;
    }
}

/// Completes when the node gets the operator's items from no feed any more.
async fn await_feed_end(view: &view::FleetView) {
    while view.is_operator_fed.load(Ordering::Relaxed) {
        clock::sleep(CONFIG_CHECK_INTERVAL).await;
    }
}

/// Completes when two checks in a row have found that another node has a newer configuration, or
/// when the feed has announced one that this node hasn't read up to `revision`.
async fn await_newer_config(view: &view::FleetView, revision: u64) {
    loop {
        clock::sleep(CONFIG_CHECK_INTERVAL).await;
        if view.is_config_announced_after(revision) {
            return;
        }
        if is_config_outdated(view) {
            clock::sleep(CONFIG_CHECK_INTERVAL).await;
            if is_config_outdated(view) {
                return;
            }
        }
    }
}

fn is_config_outdated(view: &view::FleetView) -> bool {
    let version = view.config().map_or(0, |config| config.config.version);
    version < view.newest_config_version.load(Ordering::Relaxed)
}

async fn read_operator_items(
    store: &dyn items::ItemStore,
    view: &view::FleetView,
    format: &dyn adapter::FormatAdapter,
) -> Result<u64, items::ItemError> {
    let list = store.list(format.operator_prefix()).await?;
    // Requests are sent as soon as the configuration is known, so the evacuations come first.
    let zones = list.items.iter().filter_map(|item| evacuated_zone(format, &item.key));
    let zones: Vec<Arc<str>> = zones.collect();
    zones.iter().for_each(|zone| view.evacuations().confirm(zone));
    view.set_evacuations(list.revision, zones, "store");
    list.items
        .iter()
        .filter(|item| &*item.key == format.config_key())
        .for_each(|item| apply_config(view, format, item));
    Ok(list.revision)
}

/// Returns the zone whose evacuation an item requests. The value of the item has no meaning: a zone
/// is evacuated as long as the item exists.
fn evacuated_zone(format: &dyn adapter::FormatAdapter, key: &str) -> Option<Arc<str>> {
    let zone = key.strip_prefix(format.evacuation_prefix())?;
    (!zone.is_empty()).then(|| Arc::from(zone))
}

async fn watch_operator_items(
    store: &dyn items::ItemStore,
    view: &view::FleetView,
    format: &dyn adapter::FormatAdapter,
    node: &str,
    revision: u64,
) -> Result<u64, items::ItemError> {
    let wait = match view.directory().rank(node) {
        0 => FIRST_CONFIG_WATCH_TIMEOUT,
        _ => CONFIG_WATCH_TIMEOUT,
    };
    let events = follow::watch(store, view, format.operator_prefix(), revision, wait).await?;
    apply_evacuations(view, format, &events);
    for event in &events.events {
        if let items::ItemEvent::Written(item) = event
            && &*item.key == format.config_key()
        {
            apply_config(view, format, item);
        }
    }
    Ok(events.revision.max(revision))
}

fn apply_evacuations(
    view: &view::FleetView,
    format: &dyn adapter::FormatAdapter,
    events: &items::ItemEvents,
) {
    let mut zones: BTreeSet<Arc<str>> = view.evacuations().zones().map(Arc::clone).collect();
    for event in &events.events {
        let (key, is_written) = match event {
            items::ItemEvent::Written(item) => (&item.key, true),
            items::ItemEvent::Removed { key, .. } => (key, false),
        };
        let Some(zone) = evacuated_zone(format, key) else { continue };
        view.evacuations().confirm(&zone);
        match is_written {
            true => zones.insert(zone),
            false => zones.remove(&zone),
        };
    }
    view.set_evacuations(events.revision, zones.into_iter().collect(), "store");
}

/// Puts a configuration in force if it is valid and newer than the current one.
pub(crate) fn apply_config(
    view: &view::FleetView,
    format: &dyn adapter::FormatAdapter,
    item: &items::StoredItem,
) {
    match format.decode_config(&item.value) {
        Ok(config) => {
            let version = config.version;
            if let Some(before) = view.set_config(config, item) {
                view.observe_config_version(version);
                log::info!(version, before, revision = item.revision; "configuration in force");
            }
        }
        Err(error) => log::error!(
            revision = item.revision, error:% = error;
            "invalid configuration; the current one stays in force"
        ),
    }
}
