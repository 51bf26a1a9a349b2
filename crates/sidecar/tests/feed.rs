//! Frames of a feed, and when there is none to send.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_sidecar::feed::{FeedCursor, ItemLog};
use cornelridge_store::items::{ItemEvent, ItemEvents, ItemList, LeaseNumber, StoredItem};

fn item(key: &str, revision: u64) -> StoredItem {
    let value = Bytes::from_static(b"{}");
    StoredItem { key: Arc::from(key), value, revision, lease: LeaseNumber::default() }
}

/// Returns a log that was read at `revision` and has one item of that revision.
fn log(revision: u64) -> ItemLog {
    let mut log = ItemLog::default();
    log.replace(&ItemList { items: vec![item("a", revision)], revision });
    log
}

fn written(key: &str, revision: u64) -> ItemEvents {
    ItemEvents { events: vec![ItemEvent::Written(item(key, revision))], revision }
}

#[test]
fn a_log_that_is_behind_sends_nothing_and_has_no_news_until_it_changes() {
    let mut log = log(19);
    let mut cursor = FeedCursor::new(20);
    assert!(cursor.next(&log).is_none());
    assert!(!cursor.has_changes(&log), "the log hasn't changed since the last call");
    log.apply(&written("b", 20));
    assert!(cursor.has_changes(&log));
    let frame = cursor.next(&log).map(|frame| (frame.is_complete, frame.items.len()));
    assert_eq!(frame, Some((true, 2)));
    assert!(!cursor.has_changes(&log));
}

#[test]
fn after_the_first_frame_only_changes_are_sent() {
    let mut log = log(19);
    let mut cursor = FeedCursor::new(0);
    assert_eq!(cursor.next(&log).map(|frame| frame.is_complete), Some(true));
    log.apply(&written("b", 20));
    let events = vec![ItemEvent::Removed { key: Arc::from("a"), revision: 21 }];
    log.apply(&ItemEvents { events, revision: 21 });
    let frame = cursor.next(&log);
    let items = frame.iter().flat_map(|frame| &frame.items);
    let items: Vec<(&str, bool)> = items.map(|item| (&*item.key, item.is_removed)).collect();
    assert_eq!(items, [("b", false), ("a", true)]);
}

#[test]
fn a_complete_read_starts_the_feed_again() {
    let mut log = log(19);
    let mut cursor = FeedCursor::new(0);
    assert!(cursor.next(&log).is_some());
    log.replace(&ItemList { items: vec![item("c", 30)], revision: 30 });
    assert!(cursor.has_changes(&log));
    assert_eq!(cursor.next(&log).map(|frame| frame.is_complete), Some(true));
}

#[test]
fn a_wait_without_changes_moves_the_log_on() {
    let mut log = log(19);
    let mut cursor = FeedCursor::new(20);
    log.apply(&ItemEvents { events: Vec::new(), revision: 20 });
    assert!(cursor.next(&log).is_some());
}
