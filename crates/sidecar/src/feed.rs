//! What a few nodes see of the store, passed on to all others.
//!
//! Every watch of the store is paid for and wakes with each change, so that the calls would grow
//! with the square of the nodes. The first members watch; the others follow one of them, and watch
//! themselves as long as none can be followed. What was received from another node isn't passed on.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_store::items;
use cornelridge_wire::{generated, transport};
use xxhash_rust::xxh3;

use crate::clock;
use crate::follow;
use crate::peers;
use crate::view;
use crate::view::lock;
use crate::worker;

/// Members that watch the store and feed the others; the loss of one or two leaves a feed.
const SOURCES: usize = 3;
/// Deployments up to this size watch by themselves: their watches cost less than the feeds.
const LEAST_MEMBERS: usize = 6;
/// Time between two frames of a feed without changes.
const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
/// Silence after which a feed is given up: two heartbeats and a slow one.
const SILENCE: time::Duration = time::Duration::from_millis(1_400);
/// Age of its last renewal from which a node feeds nobody: it may be cut off from the store.
const STALE_AFTER: time::Duration = time::Duration::from_millis(2_000);
/// Removals that are remembered; a feed that is further behind starts again.
const MAX_REMOVALS: usize = 1_024;
/// Bytes of items in one frame; far below the limit of a frame that carries a document.
const FRAME_BYTES: usize = 256 * 1024;

/// Items as they were read.
#[derive(Debug, Default)]
pub struct ItemLog {
    items: BTreeMap<Arc<str>, items::StoredItem>,
    removals: VecDeque<(u64, Arc<str>)>,
    revision: u64,
    /// Counts complete reads, after which feeds start again.
    epoch: u64,
}

impl ItemLog {
    /// Takes over a complete list.
    pub fn replace(&mut self, list: &items::ItemList) {
        if list.revision < self.revision {
            return;
        }
        self.items = list.items.iter().map(|item| (Arc::clone(&item.key), item.clone())).collect();
        self.removals.clear();
        self.revision = list.revision;
        self.epoch += 1;
    }

    /// Takes over changes.
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

    /// Whether there is an item with this key.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Revision and epoch.
    fn position(&self) -> (u64, u64) {
        (self.revision, self.epoch)
    }

    /// The changes after a position, or all items if that is of another epoch.
    fn frame(&self, sent: Option<(u64, u64)>) -> generated::FeedFrame {
        let after = sent.filter(|(_, epoch)| *epoch == self.epoch);
        let is_complete = after.is_none();
        let (revision, _) = after.unwrap_or_default();
        let written = self.items.values().filter(|item| item.revision > revision);
        let written = written.map(|item| generated::FeedItem {
            key: item.key.to_string(),
            value: item.value.to_vec(),
            revision: item.revision,
            is_removed: false,
        });
        let removed = self.removals.iter().filter(|(at, _)| !is_complete && *at > revision);
        let removed = removed.map(|(at, key)| generated::FeedItem {
            key: key.to_string(),
            revision: *at,
            is_removed: true,
            ..generated::FeedItem::default()
        });
        let mut items: Vec<generated::FeedItem> = written.chain(removed).collect();
        items.sort_by_key(|item| item.revision);
        generated::FeedFrame { revision: self.revision, is_complete, items }
    }
}

/// What one other node has been sent.
#[derive(Debug)]
pub struct FeedCursor {
    /// Revision up to which the other node knows the store. A frame of an earlier one would take
    /// things away that are newer.
    from: u64,
    /// Revision and epoch of the last frame; `None` before the first one.
    sent: Option<(u64, u64)>,
    /// Revision and epoch at which the log was looked at last.
    seen: Option<(u64, u64)>,
}

impl FeedCursor {
    /// The cursor of a node that knows the store up to `from`.
    pub fn new(from: u64) -> FeedCursor {
        FeedCursor { from, sent: None, seen: None }
    }

    /// The next frame; `None` as long as the log is behind the other node.
    pub fn next(&mut self, log: &ItemLog) -> Option<generated::FeedFrame> {
        self.seen = Some(log.position());
        if log.revision < self.from {
            return None;
        }
        let frame = log.frame(self.sent);
        self.sent = self.seen;
        Some(frame)
    }

    /// Whether the log has changed since the last call of `next`.
    pub fn has_news(&self, log: &ItemLog) -> bool {
        self.seen != Some(log.position())
    }
}

/// Feeds one other node until the connection ends, this node follows another one itself, or it may
/// be cut off from the store. If followers fed others, nodes with different views could follow one
/// another in a cycle in which nobody reads the store.
pub(crate) async fn serve(
    view: Arc<view::FleetView>,
    local_worker: Arc<worker::LocalWorker>,
    from: u64,
    mut writer: transport::FrameWriter,
) {
    let mut cursor = FeedCursor::new(from);
    let is_from_store = || !view.is_following.load(Ordering::Relaxed);
    while is_from_store()
        && local_worker.registration().is_renewed_within(clock::now(), STALE_AFTER)
    {
        let frame = cursor.next(&lock(&view.items));
        if let Some(frame) = frame {
            let size: usize =
                frame.items.iter().map(|item| item.key.len() + item.value.len()).sum();
            if size > FRAME_BYTES {
                log::warn!(bytes = size; "feed refused: the items don't fit into a frame");
                return;
            }
            if let Err(error) = writer.send_document(&frame).await {
                log::debug!(error:% = error; "a node no longer follows this one");
                return;
            }
        }
        let until = clock::now() + HEARTBEAT;
        loop {
            let changed = view.changed();
            if cursor.has_news(&lock(&view.items)) || clock::now() >= until {
                break;
            }
            clock::timeout_at(until, changed).await;
        }
    }
}

/// Follows another node in place of the store.
pub(crate) struct FeedReader {
    pub(crate) node: Arc<str>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) links: peers::PeerLinks,
}

impl FeedReader {
    /// Follows other nodes as long as that works; returns when the store has to be watched.
    pub(crate) async fn follow(&self) {
        for source in self.sources() {
            let from = self.view.revision();
            let Some(reader) = self.links.open_feed(&source, from).await else { continue };
            let frames = self.read(&source, reader).await;
            self.view.is_following.store(false, Ordering::Relaxed);
            if frames > 0 {
                log::info!(source:% = source.node, frames; "feed ended");
                return;
            }
        }
    }

    /// Whether this node is one of those that watch the store for good.
    pub(crate) fn is_source(&self) -> bool {
        self.sources().is_empty()
    }

    /// The nodes to follow, in the order of this node; none if this node is one of them.
    fn sources(&self) -> Vec<Arc<member::MemberEntry>> {
        let directory = self.view.directory();
        let serving: Vec<Arc<member::MemberEntry>> = directory
            .iter()
            .filter(|entry| entry.state == member::MemberState::Serving)
            .map(Arc::clone)
            .collect();
        if serving.len() < LEAST_MEMBERS || directory.rank(&self.node) < SOURCES {
            return Vec::new();
        }
        let mut sources: Vec<Arc<member::MemberEntry>> =
            serving.into_iter().take(SOURCES).collect();
        let start = xxh3::xxh3_64(self.node.as_bytes()) as usize % sources.len();
        sources.rotate_left(start);
        sources
    }

    /// Reads frames until the feed ends; returns how many came.
    async fn read(&self, source: &member::MemberEntry, mut reader: transport::FrameReader) -> u64 {
        let mut frames = 0;
        loop {
            let next = reader.receive_document::<generated::FeedFrame>();
            let Some(Ok(Some(frame))) = clock::timeout(SILENCE, next).await else { return frames };
            if frames == 0 {
                self.view.is_following.store(true, Ordering::Relaxed);
                log::info!(
                    source:% = source.node, revision = frame.revision, known = self.view.revision();
                    "following another node"
                );
            }
            frames += 1;
            self.take(frame);
            if self.is_source() {
                return frames;
            }
        }
    }

    fn take(&self, frame: generated::FeedFrame) {
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
        if frame.items.is_empty() {
            return;
        }
        let event = |feed: generated::FeedItem| match feed.is_removed {
            true => {
                let (key, revision) = (Arc::from(feed.key), feed.revision);
                items::ItemEvent::Removed { key, revision }
            }
            false => items::ItemEvent::Written(item(feed)),
        };
        let events = frame.items.into_iter().map(event).collect();
        follow::apply_events(&self.view, &items::ItemEvents { events, revision });
    }
}
