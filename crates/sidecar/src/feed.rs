//! Feeds of store items from the few nodes that watch the store to all others.
//!
//! Each watch call of the store has a price and returns at each change, so that the number of calls
//! would grow with the square of the number of nodes. Only the first members watch the store. The
//! others follow one of them, and watch the store only while none can be followed. So does a first
//! member that is cut off from the store. Items received
//! from another node aren't passed on. A feed contains the evacuated zones, always all of them, and
//! the configuration, unless that is too long for a frame: it is announced then, and the followers
//! read it from the store.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use cornelridge_fleet::evacuation;
use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_store::items;
use cornelridge_wire::{generated, transport};
use xxhash_rust::xxh3;

use crate::adapter;
use crate::clock;
use crate::follow;
use crate::follow::operator_items;
use crate::peers;
use crate::view;
use crate::view::lock;
use crate::worker;

/// Number of members that watch the store and feed the others. After the loss of one or two of them
/// there is still a feed.
const SOURCE_COUNT: usize = 3;
/// Number of members that are asked for a feed. A node that was without news for a while asks by an
/// old list, of which the first members may have left.
const MAX_ASKED: usize = 12;
/// Delay before another feed is looked for after one has ended.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Number of serving members from which feeds are used. In smaller deployments all members watch
/// the store, which costs less than the feeds.
const MIN_MEMBERS: usize = 6;
/// Interval between two frames of a feed without changes.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without a frame after which a feed is abandoned: two heartbeats and the delay of a slow
/// one.
const FEED_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);
/// Age of the last renewal of a node's registration from which the node serves no feeds, since it
/// may be cut off from the store.
const MAX_RENEWAL_AGE: time::Duration = time::Duration::from_millis(2_000);
/// Number of removals that are kept. A feed that is further behind restarts with a complete frame.
const MAX_REMOVALS: usize = 1_024;
/// Largest size of the items in one frame, in bytes; three quarters of the limit of a frame that
/// carries a document.
const MAX_FRAME_BYTES: usize = 768 * 1024;

/// The current items of the store and the latest removals.
#[derive(Debug, Default)]
pub struct ItemLog {
    items: BTreeMap<Arc<str>, items::StoredItem>,
    removals: VecDeque<(u64, Arc<str>)>,
    revision: u64,
    /// Number of complete reads and of dropped removals, after each of which feeds restart.
    epoch: u64,
}

impl ItemLog {
    /// Replaces all items by a complete list.
    pub fn replace(&mut self, list: &items::ItemList) {
        if list.revision < self.revision {
            return;
        }
        self.items = list.items.iter().map(|item| (Arc::clone(&item.key), item.clone())).collect();
        self.removals.clear();
        self.revision = list.revision;
        self.epoch += 1;
    }

    /// Applies changes.
    pub fn apply(&mut self, events: &items::ItemEvents) {
        for event in &events.events {
            match event {
                items::ItemEvent::Written(item) => {
                    self.items.insert(Arc::clone(&item.key), item.clone());
                }
                items::ItemEvent::Removed { key, revision } => {
                    self.items.remove(key);
                    self.removals.push_back((*revision, Arc::clone(key)));
                }
            }
        }
        while self.removals.len() > MAX_REMOVALS {
            self.removals.pop_front();
            self.epoch += 1;
        }
        self.revision = self.revision.max(events.revision);
    }

    /// Returns whether there is an item with this key.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Returns the revision and the epoch.
    fn position(&self) -> (u64, u64) {
        (self.revision, self.epoch)
    }

    /// Returns the changes after a position, or all items if the position is of another epoch.
    fn frame(&self, sent_position: Option<(u64, u64)>) -> generated::FeedFrame {
        let after = sent_position.filter(|(_, epoch)| *epoch == self.epoch);
        let is_complete = after.is_none();
        let (revision, _) = after.unwrap_or_default();
        let written = self.items.values().filter(|item| item.revision > revision);
        let written = written.map(feed_item);
        let removed = self.removals.iter().filter(|(at, _)| !is_complete && *at > revision);
        let removed = removed.map(|(at, key)| generated::FeedItem {
            key: key.to_string(),
            revision: *at,
            is_removed: true,
            ..generated::FeedItem::default()
        });
        let mut items: Vec<generated::FeedItem> = written.chain(removed).collect();
        items.sort_by_key(|item| item.revision);
        generated::FeedFrame { revision: self.revision, is_complete, items, evacuated: None }
    }
}

/// The position of one other node in the feed.
#[derive(Debug)]
pub struct FeedCursor {
    /// Revision up to which the other node knows the store. A frame of an earlier revision would
    /// remove newer items there.
    min_revision: u64,
    /// Revision and epoch of the last frame; `None` before the first one.
    sent_position: Option<(u64, u64)>,
    /// Revision and epoch of the log at the last call of `next`.
    seen_position: Option<(u64, u64)>,
}

impl FeedCursor {
    /// Returns the cursor of a node that knows the store up to `min_revision`.
    pub fn new(min_revision: u64) -> FeedCursor {
        FeedCursor { min_revision, sent_position: None, seen_position: None }
    }

    /// Returns the next frame, or `None` while the log is behind the other node.
    pub fn next(&mut self, log: &ItemLog) -> Option<generated::FeedFrame> {
        self.seen_position = Some(log.position());
        if log.revision < self.min_revision {
            return None;
        }
        let frame = log.frame(self.sent_position);
        self.sent_position = self.seen_position;
        Some(frame)
    }

    /// Returns whether the log has changed since the last call of `next`.
    pub fn has_changes(&self, log: &ItemLog) -> bool {
        self.seen_position != Some(log.position())
    }
}

/// Feeds one other node until the connection ends, this node itself follows another one, or this
/// node may be cut off from the store. If followers served feeds, nodes with different views could
/// follow one another in a cycle in which no node reads the store.
pub(crate) async fn serve(
    view: Arc<view::FleetView>,
    local_worker: Arc<worker::LocalWorker>,
    min_revision: u64,
    mut writer: transport::FrameWriter,
) {
    let mut cursor = FeedCursor::new(min_revision);
    // Revision of the configuration that was sent; `None` before the first frame of items.
    let mut config_revision: Option<u64> = None;
    // Revision and version of the evacuated zones that were sent.
    let mut sent_evacuations: Option<(u64, u64)> = None;
    let new_config = |sent: Option<u64>| sent.and_then(|revision| view.config_item_after(revision));
    let reads_store = || !view.is_following.load(Ordering::Relaxed);
    while reads_store()
        && local_worker.registration().is_renewed_within(clock::now(), MAX_RENEWAL_AGE)
    {
        let frame = cursor.next(&lock(&view.items));
        if let Some(frame) = frame {
            if !send_frame(&mut writer, &frame).await {
                return;
            }
            config_revision.get_or_insert(0);
        }
        // Followers dispatch nothing before they know the evacuated zones, which therefore come
        // before the configuration.
        let evacuations = view.evacuations().clone();
        if config_revision.is_some() && has_new_evacuations(&evacuations, sent_evacuations) {
            sent_evacuations = Some((evacuations.revision(), evacuations.version()));
            let (revision, _) = lock(&view.items).position();
            let evacuated = Some(evacuated_zones(&evacuations));
            let frame = generated::FeedFrame { revision, evacuated, ..Default::default() };
            if !send_frame(&mut writer, &frame).await {
                return;
            }
        }
        if let Some(config) = new_config(config_revision) {
            config_revision = Some(config.revision);
            let (revision, _) = lock(&view.items).position();
            let items = vec![config_feed_item(&config)];
            let frame = generated::FeedFrame { revision, items, ..Default::default() };
            if !send_frame(&mut writer, &frame).await {
                return;
            }
        }
        let until = clock::now() + HEARTBEAT_INTERVAL;
        loop {
            let changed = view.changed();
            let has_changes = cursor.has_changes(&lock(&view.items))
                || new_config(config_revision).is_some()
                || (config_revision.is_some()
                    && has_new_evacuations(&view.evacuations(), sent_evacuations));
            if has_changes || clock::now() >= until {
                break;
            }
            clock::timeout_at(until, changed).await;
        }
    }
}

/// Sends a frame; returns whether the feed can go on.
async fn send_frame(writer: &mut transport::FrameWriter, frame: &generated::FeedFrame) -> bool {
    let size: usize = frame.items.iter().map(|item| item.key.len() + item.value.len()).sum();
    if size > MAX_FRAME_BYTES {
        log::warn!(bytes = size; "feed refused: the items exceed the size of a frame");
        return false;
    }
    if let Err(error) = writer.send_document(frame).await {
        log::debug!(error:% = error; "feed to a follower ended");
        return false;
    }
    true
}

/// Returns whether a follower has to get the evacuated zones again. A later revision of the same
/// zones counts, as the follower ignores zones of an older revision than it knows.
fn has_new_evacuations(evacuations: &evacuation::EvacuationSet, sent: Option<(u64, u64)>) -> bool {
    evacuations.is_known() && sent != Some((evacuations.revision(), evacuations.version()))
}

fn evacuated_zones(evacuations: &evacuation::EvacuationSet) -> generated::EvacuatedZones {
    let zones = evacuations.zones().map(ToString::to_string).collect();
    generated::EvacuatedZones { revision: evacuations.revision(), zones }
}

/// Returns the item of the configuration, without its value if that is too long for a frame.
fn config_feed_item(config: &items::StoredItem) -> generated::FeedItem {
    if config.key.len() + config.value.len() <= MAX_FRAME_BYTES {
        return feed_item(config);
    }
    let value = Bytes::new();
    let item = feed_item(&items::StoredItem { value, ..config.clone() });
    generated::FeedItem { is_withheld: true, ..item }
}

fn feed_item(item: &items::StoredItem) -> generated::FeedItem {
    generated::FeedItem {
        key: item.key.to_string(),
        value: item.value.to_vec(),
        revision: item.revision,
        is_removed: false,
        is_withheld: false,
    }
}

/// Receives the feed of another node in place of watching the store.
pub(crate) struct FeedReader {
    pub(crate) node: Arc<str>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) links: peers::PeerLinks,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
}

impl FeedReader {
    /// Follows other nodes while possible; returns when the store has to be watched.
    pub(crate) async fn follow(&self) {
        while self.follow_any().await {
            clock::sleep(RETRY_DELAY).await;
        }
    }

    /// Follows the first node that serves a feed until it ends; returns whether there was one.
    async fn follow_any(&self) -> bool {
        for source in self.sources() {
            let from = self.view.revision();
            let Some(reader) = self.links.open_feed(&source, from).await else { continue };
            let frames = self.read_frames(&source, reader).await;
            self.view.is_following.store(false, Ordering::Relaxed);
            self.view.is_operator_fed.store(false, Ordering::Relaxed);
            if frames > 0 {
                log::info!(source:% = source.node, frames; "feed ended");
                return true;
            }
        }
        false
    }

    /// Returns whether this node permanently watches the store.
    pub(crate) fn is_source(&self) -> bool {
        self.sources().is_empty()
    }

    /// Returns the nodes to follow, in the order in which this node tries them; none if this node
    /// watches the store itself.
    fn sources(&self) -> Vec<Arc<member::MemberEntry>> {
        let first: Vec<Arc<member::MemberEntry>> =
            self.view.directory().serving().take(MAX_ASKED).cloned().collect();
        if first.len() < MIN_MEMBERS {
            return Vec::new();
        }
        let is_source = first.iter().take(SOURCE_COUNT).any(|entry| entry.node == self.node);
        if is_source && !self.local_worker.registration().is_overdue(clock::now(), MAX_RENEWAL_AGE)
        {
            return Vec::new();
        }
        let (mut sources, others) = (first[..SOURCE_COUNT].to_vec(), &first[SOURCE_COUNT..]);
        let start = xxh3::xxh3_64(self.node.as_bytes()) as usize % sources.len();
        sources.rotate_left(start);
        sources.extend_from_slice(others);
        sources.retain(|entry| entry.node != self.node);
        sources
    }

    /// Reads frames until the feed ends; returns the number of frames received.
    async fn read_frames(
        &self,
        source: &member::MemberEntry,
        mut reader: transport::FrameReader,
    ) -> u64 {
        let mut frames = 0;
        loop {
            let next = reader.receive_document::<generated::FeedFrame>();
            let Some(Ok(Some(frame))) = clock::timeout(FEED_TIMEOUT, next).await else {
                return frames;
            };
            if frames == 0 {
                self.view.is_following.store(true, Ordering::Relaxed);
                log::info!(
                    source:% = source.node, revision = frame.revision, known = self.view.revision();
                    "following the feed of another node"
                );
            }
            frames += 1;
            self.apply_frame(frame);
            if self.is_source() {
                return frames;
            }
        }
    }

    fn apply_frame(&self, frame: generated::FeedFrame) {
        let (revision, is_complete) = (frame.revision, frame.is_complete);
        let item = |item: generated::FeedItem| items::StoredItem {
            key: item.key.into(),
            value: Bytes::from(item.value),
            revision: item.revision,
            lease: items::LeaseNumber::default(),
        };
        if is_complete {
            let items = frame.items.into_iter().map(item).collect();
            follow::replace_all(&self.view, &items::ItemList { items, revision });
            return;
        }
        if let Some(evacuated) = frame.evacuated {
            let zones: Vec<Arc<str>> = evacuated.zones.into_iter().map(Arc::from).collect();
            zones.iter().for_each(|zone| self.view.evacuations().confirm(zone));
            self.view.set_evacuations(evacuated.revision, zones, "feed");
            self.view.is_operator_fed.store(true, Ordering::Relaxed);
        }
        let config_key = self.format.config_key();
        let (configs, others): (Vec<_>, Vec<_>) =
            frame.items.into_iter().partition(|item| item.key == config_key);
        for config in configs {
            if config.is_withheld {
                self.view.announce_config(config.revision);
                continue;
            }
            operator_items::apply_config(&self.view, &*self.format, &item(config));
        }
        if others.is_empty() {
            return;
        }
        let event = |feed: generated::FeedItem| match feed.is_removed {
            true => {
                let (key, revision) = (Arc::from(feed.key), feed.revision);
                items::ItemEvent::Removed { key, revision }
            }
            false => items::ItemEvent::Written(item(feed)),
        };
        let events = others.into_iter().map(event).collect();
        follow::apply_events(&self.view, &items::ItemEvents { events, revision });
    }
}
