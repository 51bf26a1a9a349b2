//! Keeps the view up to date with the members and the ranges in the store.

pub(crate) mod operator_items;

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use cornelridge_fleet::era;
use cornelridge_fleet::member;
use cornelridge_fleet::range;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_store::items;
use futures_lite::future;
use thiserror::Error;

use crate::backoff;
use crate::clock;
use crate::feed;
use crate::view;
use crate::view::lock;

/// Prefix of all keys that the nodes write.
pub(crate) const KEY_PREFIX: &str = "cornelridge/";
/// Longest wait of one watch call for members and ranges. A connection that has silently failed
/// while others work is only noticed when its watch ends, so this bounds the undetected age of the
/// view.
const FLEET_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(3_000);
/// Delay after received changes, so that changes in quick succession are fetched by one call.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(50);
/// The same delay for a node that watches the store only until it follows another node. When many
/// nodes start, each new entry would otherwise wake all of them.
const FOLLOWER_BATCH_DELAY: time::Duration = time::Duration::from_millis(400);

/// Sorts before `MEMBER_PREFIX`: pages of a listing aren't a snapshot, and an entry must not be
/// read before the record that was written with it.
const RECORD_PREFIX: &str = "hosts/";
const MEMBER_PREFIX: &str = "nodes/";
const RANGE_PREFIX: &str = "ranges/";
const LAYOUT_PREFIX: &str = "layouts/";
const REFUSAL_PREFIX: &str = "refusals/";
/// Items with which the client of the store marks eras.
const ERA_PREFIX: &str = "eras/";

/// Returns the key of a member's entry.
pub(crate) fn member_key(node: &str) -> Arc<str> {
    format!("{KEY_PREFIX}{MEMBER_PREFIX}{node}").into()
}

/// Returns the key of the record of a node's host, which outlasts the entry of the node.
pub(crate) fn record_key(node: &str) -> Arc<str> {
    format!("{KEY_PREFIX}{RECORD_PREFIX}{node}").into()
}

/// Returns the key of a row. The number has a fixed width so that rows are listed in order.
pub(crate) fn range_key(service: &str, first: u16) -> Arc<str> {
    format!("{KEY_PREFIX}{RANGE_PREFIX}{service}/{first:05}").into()
}

/// Returns the key of the item that guards the layout of a service's rows.
pub(crate) fn layout_key(service: &str) -> Arc<str> {
    format!("{KEY_PREFIX}{LAYOUT_PREFIX}{service}").into()
}

/// Returns the key of the refusal of a request.
pub(crate) fn refusal_key(fingerprint: quarantine::RequestFingerprint) -> Arc<str> {
    format!("{KEY_PREFIX}{REFUSAL_PREFIX}{fingerprint}").into()
}

/// The kind of item that a key names.
enum KeyKind<'a> {
    Record(&'a str),
    Member(&'a str),
    Range(&'a str, u16),
    Layout(&'a str),
    Refusal(quarantine::RequestFingerprint),
    Era,
}

fn parse_key(key: &str) -> Option<KeyKind<'_>> {
    let rest = key.strip_prefix(KEY_PREFIX)?;
    if let Some(node) = rest.strip_prefix(RECORD_PREFIX) {
        return Some(KeyKind::Record(node));
    }
    if let Some(node) = rest.strip_prefix(MEMBER_PREFIX) {
        return Some(KeyKind::Member(node));
    }
    if let Some(service) = rest.strip_prefix(LAYOUT_PREFIX) {
        return Some(KeyKind::Layout(service));
    }
    if rest.starts_with(ERA_PREFIX) {
        return Some(KeyKind::Era);
    }
    if let Some(digits) = rest.strip_prefix(REFUSAL_PREFIX) {
        let fingerprint = u64::from_str_radix(digits, 16).ok()?;
        return Some(KeyKind::Refusal(quarantine::RequestFingerprint(fingerprint)));
    }
    let (service, first) = rest.strip_prefix(RANGE_PREFIX)?.rsplit_once('/')?;
    Some(KeyKind::Range(service, first.parse().ok()?))
}

/// Applies one item to the view, unless it is of another era than the view: all items are read
/// again when an era begins.
pub(crate) fn apply_item(view: &view::FleetView, item: &items::StoredItem) {
    let era = era::of_revision(item.revision);
    if era != view.ranges().era() {
        return;
    }
    let log_ignored = |error: &dyn fmt::Display| {
        log::warn!(key:% = item.key, revision = item.revision, error:% = error; "item ignored");
    };
    match parse_key(&item.key) {
        Some(KeyKind::Record(node)) => match serde_json::from_slice(&item.value) {
            Ok(record) => {
                view.directory().set_record(clock::now(), node, record, item.revision);
            }
            Err(error) => {
                log_ignored(&error);
                // Takeovers depend on the revision, whatever the value is.
                let record = member::HostRecord::default();
                view.directory().set_record(clock::now(), node, record, item.revision);
            }
        },
        Some(KeyKind::Member(node)) => match decode_member(node, &item.value) {
            Ok(entry) => set_member(view, entry, item.revision),
            Err(error) => {
                log_ignored(&error);
                // The previous entry isn't in the store any more.
                remove_item(view, &item.key, item.revision);
            }
        },
        // The previous row is kept: its keys may still be held, and a fencing token must not be
        // reused.
        Some(KeyKind::Range(service, first)) => match decode_row(first, &item.value) {
            Ok(row) => {
                view.ranges().service_mut(service).set(row.read_in(era), item.revision);
            }
            Err(error) => log_ignored(&error),
        },
        Some(KeyKind::Layout(service)) => {
            let mut ranges = view.ranges();
            let ranges = ranges.service_mut(service);
            ranges.layout_revision = ranges.layout_revision.max(item.revision);
        }
        Some(KeyKind::Refusal(fingerprint)) => {
            if let Err(error) = view.suspects.merge_refusal(fingerprint, &item.value) {
                log_ignored(&error);
            }
        }
        Some(KeyKind::Era) => {}
        None => log::warn!(key:% = item.key; "item ignored: unknown kind of key"),
    }
}

/// The reason why an item of the nodes is ignored.
#[derive(Debug, Error)]
enum InvalidItem {
    #[error("the value can't be decoded: {0}; another program may write to the keys of the nodes")]
    Malformed(#[from] serde_json::Error),
    #[error("the value is for {0}; another program may write to the keys of the nodes")]
    KeyMismatch(String),
    #[error(transparent)]
    Entry(#[from] member::EntryError),
    #[error(transparent)]
    Row(#[from] range::RowError),
}

fn decode_member(node: &str, value: &[u8]) -> Result<member::MemberEntry, InvalidItem> {
    let entry: member::MemberEntry = serde_json::from_slice(value)?;
    if *entry.node != *node {
        return Err(InvalidItem::KeyMismatch(format!("the node {}", entry.node)));
    }
    entry.check()?;
    Ok(entry)
}

fn decode_row(first: u16, value: &[u8]) -> Result<range::RangeRow, InvalidItem> {
    let row: range::RangeRow = serde_json::from_slice(value)?;
    if row.first != first {
        return Err(InvalidItem::KeyMismatch(format!("the range at {}", row.first)));
    }
    row.check()?;
    Ok(row)
}

fn set_member(view: &view::FleetView, entry: member::MemberEntry, revision: u64) {
    let before = view.directory().get(&entry.node).map(|known| Arc::clone(&known.entry));
    if before.as_deref() != Some(&entry) {
        log::info!(
            node:% = entry.node, revision, state:? = entry.state,
            worker = entry.worker.as_ref().map_or("none", |worker| &*worker.name.0);
            "member changed"
        );
    }
    view.directory().set(entry, revision);
}

fn remove_item(view: &view::FleetView, key: &str, revision: u64) {
    match parse_key(key) {
        Some(KeyKind::Record(node)) => view.directory().remove_record(node, revision),
        Some(KeyKind::Member(node)) => {
            log::info!(node, revision; "member removed");
            view.directory().remove(clock::now(), node, revision);
        }
        Some(KeyKind::Range(service, first)) => {
            view.ranges().service_mut(service).remove(first, revision);
        }
        // A refusal stays in force until the time given in it, since leases may expire during an
        // outage of the store.
        Some(KeyKind::Layout(_) | KeyKind::Refusal(_) | KeyKind::Era) | None => {}
    }
}

/// Reads all items of the nodes and replaces the view by them; returns the revision to watch from.
pub(crate) async fn read_all(
    store: &dyn items::ItemStore,
    view: &view::FleetView,
) -> Result<u64, items::ItemError> {
    let list = store.list(KEY_PREFIX).await;
    view.observe_era(store);
    let list = list?;
    replace_all(view, &list);
    Ok(list.revision)
}

/// Replaces the view by a complete list.
pub(crate) fn replace_all(view: &view::FleetView, list: &items::ItemList) {
    let era = era::of_revision(list.revision);
    {
        let mut ranges = view.ranges();
        if era < ranges.era() {
            return;
        }
        // Before any row is replaced, as rows of another era aren't granted.
        ranges.set_era(era);
    }
    list.items.iter().for_each(|item| apply_item(view, item));
    let (mut records, mut members, mut rows) = (HashSet::new(), HashSet::new(), HashSet::new());
    let mut layouts = HashSet::new();
    for item in &list.items {
        match parse_key(&item.key) {
            Some(KeyKind::Record(node)) => {
                records.insert(node);
            }
            Some(KeyKind::Member(node)) => {
                members.insert(node);
            }
            Some(KeyKind::Range(service, first)) => {
                rows.insert((service, first));
            }
            Some(KeyKind::Layout(service)) => {
                layouts.insert(service);
            }
            Some(KeyKind::Refusal(_) | KeyKind::Era) | None => {}
        }
    }
    view.directory().retain(clock::now(), list.revision, |node| members.contains(node));
    view.directory().retain_records(clock::now(), list.revision, |node| records.contains(node));
    for (service, ranges) in view.ranges().services_mut() {
        ranges.retain(list.revision, |first| rows.contains(&(&**service, first)));
        if !layouts.contains(&**service) {
            ranges.forget_layout(era);
        }
    }
    lock(&view.items).replace(list);
    finish_batch(view, list.revision);
}

/// Applies changes to the view in their order.
pub(crate) fn apply_events(view: &view::FleetView, events: &items::ItemEvents) {
    if era::of_revision(events.revision) != view.ranges().era() {
        return;
    }
    for event in &events.events {
        match event {
            items::ItemEvent::Written(item) => apply_item(view, item),
            items::ItemEvent::Removed { key, revision } => remove_item(view, key, *revision),
        }
    }
    lock(&view.items).apply(events);
    finish_batch(view, events.revision);
}

fn finish_batch(view: &view::FleetView, revision: u64) {
    view.advance_revision(revision);
    view.is_loaded.store(true, Ordering::Relaxed);
    view.refresh_pins();
    view.notify();
}

/// Follows the members and ranges until the process ends, through the feed of another node where
/// possible.
pub(crate) async fn follow_fleet(
    store: Arc<dyn items::ItemStore>,
    view: Arc<view::FleetView>,
    feed: feed::FeedReader,
) {
    let mut revision = None;
    let mut has_failed = false;
    let mut backoff = backoff::StoreBackoff::default();
    loop {
        if revision.is_some() {
            feed.follow().await;
            // Without a feed, the store is watched from the revision of the view.
            revision = Some(view.revision());
        }
        let result = match revision {
            None => read_all(&*store, &view).await,
            Some(revision) => {
                let batch_delay = if feed.is_source() { BATCH_DELAY } else { FOLLOWER_BATCH_DELAY };
                watch_fleet(&*store, &view, revision, batch_delay).await
            }
        };
        match result {
            Ok(next) => {
                if has_failed {
                    log::info!(revision = next; "store recovered");
                }
                has_failed = false;
                backoff.reset();
                revision = Some(next);
            }
            Err(items::ItemError::Compacted) => {
                log::info!(
                    revision;
                    "the store has compacted its history; reading all items again"
                );
                revision = None;
            }
            Err(error) => {
                if !has_failed {
                    log::warn!(
                        error:% = error, revision;
                        "store unavailable; the view stays unchanged"
                    );
                }
                has_failed = true;
                backoff.wait_for_store(&view).await;
            }
        }
    }
}

/// Waits for changes. Returns no changes when the store has recovered from an outage, since the
/// connection of a watch that began during the outage may be dead.
async fn watch(
    store: &dyn items::ItemStore,
    view: &view::FleetView,
    prefix: &str,
    revision: u64,
    wait: time::Duration,
) -> Result<items::ItemEvents, items::ItemError> {
    let recovered = view.store_recovered.listen();
    let retry = async {
        recovered.await;
        Ok(items::ItemEvents { events: Vec::new(), revision })
    };
    future::or(store.watch(prefix, revision, wait.to_std()), retry).await
}

async fn watch_fleet(
    store: &dyn items::ItemStore,
    view: &view::FleetView,
    revision: u64,
    batch_delay: time::Duration,
) -> Result<u64, items::ItemError> {
    let events = watch(store, view, KEY_PREFIX, revision, FLEET_WATCH_TIMEOUT).await;
    view.observe_era(store);
    let events = events?;
    if events.events.is_empty() {
        view.advance_revision(events.revision);
        // Nodes that follow this one may already know that revision.
        lock(&view.items).apply(&events);
    } else {
        apply_events(view, &events);
        clock::sleep(batch_delay).await;
    }
    Ok(events.revision.max(revision))
}
