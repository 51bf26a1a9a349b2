//! The store client against the stand-in store and the faults that it injects.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use cornelridge_standin::{host, store};
use cornelridge_store::api::{
    ConfigStore, LeaseOutcome, MAX_VALUE_BYTES, StoreError, StoreRevision, WatchEvent,
};
use cornelridge_store::client;
use futures_lite::future;

/// Limit of a test, far above any expected wait; a test that reaches it has hung.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

fn run<T>(test: impl Future<Output = T>) -> T {
    let limit = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test waited {TEST_TIMEOUT:?} for an event");
    };
    smol::block_on(future::or(test, limit))
}

fn start_store() -> (store::StoreServer, Arc<client::StoreClient>) {
    let server = store::StoreServer::start(&host::StandinHost::thread().unwrap()).unwrap();
    let mut settings = client::StoreSettings::new(server.address());
    settings.call_timeout = TEST_TIMEOUT;
    (server, Arc::new(client::StoreClient::new(settings)))
}

fn client_with_short_timeout(server: &store::StoreServer) -> client::StoreClient {
    let mut settings = client::StoreSettings::new(server.address());
    settings.call_timeout = time::Duration::from_millis(50);
    client::StoreClient::new(settings)
}

/// Leaves an open connection in the pool, so that the next call is sent without connecting first.
async fn open_pooled_connection(store: &client::StoreClient) {
    while store.get("classes").await.is_err() {}
}

/// Guards against a value that is read back other than written, and against a listing that ignores
/// its prefix.
#[test]
fn values_are_kept() {
    run(async {
        let (_server, store) = start_store();
        assert_eq!(store.get("classes").await.unwrap(), None);
        let first = store.put("nodes/bog/a", StoreRevision(0), Bytes::from("x")).await.unwrap();
        let value = store.get("nodes/bog/a").await.unwrap().unwrap();
        assert_eq!((value.revision, value.value), (first, Bytes::from("x")));
        let second = store.put("nodes/bog/a", first, Bytes::from("y")).await.unwrap();
        store.put("nodes/nbo/b", StoreRevision(0), Bytes::from("z")).await.unwrap();
        let listed = store.list("nodes/bog/").await.unwrap();
        let listed: Vec<_> = listed.iter().map(|entry| (&*entry.key, entry.revision)).collect();
        assert_eq!(listed, [("nodes/bog/a", second)]);
    });
}

/// Guards against a lost update: of writers that start from the same revision, only one may
/// succeed.
#[test]
fn one_of_concurrent_writers_wins() {
    run(async {
        let (server, store) = start_store();
        let writes: Vec<_> = (0..16)
            .map(|writer| {
                let store = Arc::clone(&store);
                smol::spawn(async move {
                    store.put("classes", StoreRevision(0), Bytes::from(vec![writer])).await
                })
            })
            .collect();
        let mut winners = Vec::new();
        for (writer, write) in writes.into_iter().enumerate() {
            match write.await {
                Ok(revision) => winners.push((revision, Bytes::from(vec![writer as u8]))),
                Err(error) => assert!(matches!(error, StoreError::Conflict { .. }), "{error}"),
            }
        }
        assert_eq!(winners.len(), 1);
        assert_eq!(server.value("classes"), winners.pop());
        assert_eq!(server.counts().puts, 16);
    });
}

/// Guards against reporting a write whose response was lost as failed: it may have taken effect,
/// while a call that never reached the store has not.
#[test]
fn a_lost_answer_is_told_from_a_failed_call() {
    run(async {
        let (server, store) = start_store();
        server.drop_responses(1);
        let lost = store.put("classes", StoreRevision(0), Bytes::from("id-7")).await.unwrap_err();
        assert!(matches!(lost, StoreError::ResponseLost { .. }), "{lost}");
        assert!(lost.may_have_taken_effect());
        assert_eq!(store.get("classes").await.unwrap().unwrap().value, "id-7");
        server.set_outage(store::StoreOutage::Down).unwrap();
        let down = loop {
            let error = store.get("classes").await.unwrap_err();
            // A pooled connection may turn out to be closed only after the request was written.
            if matches!(error, StoreError::Unreachable { .. }) {
                break error;
            }
        };
        assert!(!down.may_have_taken_effect());
        server.set_outage(store::StoreOutage::None).unwrap();
        assert_eq!(store.get("classes").await.unwrap().unwrap().value, "id-7");
    });
}

/// Guards against a call that blocks forever on a store that accepts connections but doesn't
/// answer.
#[test]
fn a_silent_store_times_out() {
    run(async {
        let (server, _store) = start_store();
        let store = client_with_short_timeout(&server);
        open_pooled_connection(&store).await;
        server.set_outage(store::StoreOutage::Silent).unwrap();
        let write = store.put("classes", StoreRevision(0), Bytes::new()).await.unwrap_err();
        assert!(matches!(write, StoreError::ResponseLost { .. }), "{write}");
        server.set_outage(store::StoreOutage::None).unwrap();
        open_pooled_connection(&store).await;
        server.set_delay(TEST_TIMEOUT);
        let read = store.get("classes").await.unwrap_err();
        assert!(matches!(read, StoreError::ResponseLost { .. }), "{read}");
    });
}

/// Guards against a watch that misses a change of its key, reports a change of another key, or
/// doesn't end after its wait time.
#[test]
fn a_watch_wakes_on_its_key() {
    run(async {
        let (server, store) = start_store();
        let watching = Arc::clone(&store);
        let watch =
            smol::spawn(
                async move { watching.watch("classes", StoreRevision(0), TEST_TIMEOUT).await },
            );
        while server.counts().pending_watches == 0 {
            future::yield_now().await;
        }
        store.put("other", StoreRevision(0), Bytes::from("x")).await.unwrap();
        let revision = store.put("classes", StoreRevision(0), Bytes::from("y")).await.unwrap();
        let WatchEvent::Changed(value) = watch.await.unwrap() else { panic!("no change seen") };
        assert_eq!((value.revision, value.value), (revision, Bytes::from("y")));
        let unchanged = store.watch("classes", revision, time::Duration::from_millis(1)).await;
        assert_eq!(unchanged.unwrap(), WatchEvent::Unchanged);
        let missed = store.watch("classes", StoreRevision(0), TEST_TIMEOUT).await.unwrap();
        assert!(matches!(missed, WatchEvent::Changed(value) if value.revision == revision));
    });
}

/// Guards against two holders of a lease, a release by another than the holder, and an expired
/// lease that can't be acquired.
#[test]
fn a_lease_has_one_holder() {
    run(async {
        let (server, store) = start_store();
        let key = "planner/bog";
        assert_eq!(store.acquire_lease(key, "a", TEST_TIMEOUT).await.unwrap(), LeaseOutcome::Held);
        assert_eq!(store.acquire_lease(key, "a", TEST_TIMEOUT).await.unwrap(), LeaseOutcome::Held);
        let refused = store.acquire_lease(key, "b", TEST_TIMEOUT).await.unwrap();
        let LeaseOutcome::HeldByOther { holder, remaining } = refused else {
            panic!("two holders")
        };
        assert_eq!(&*holder, "a");
        assert!(remaining <= TEST_TIMEOUT);
        store.release_lease(key, "b").await.unwrap();
        assert_eq!(server.lease_holder(key).as_deref(), Some("a"));
        assert!(server.expire_lease(key));
        assert_eq!(store.acquire_lease(key, "b", TEST_TIMEOUT).await.unwrap(), LeaseOutcome::Held);
        store.release_lease(key, "b").await.unwrap();
        assert_eq!(server.lease_holder(key), None);
    });
}

/// Guards against values above 1 MB that are written or read, and against a corrupt value that is
/// changed or hidden instead of being returned as stored.
#[test]
fn unusable_values_are_refused() {
    run(async {
        let (server, store) = start_store();
        let large = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);
        let refused = store.put("classes", StoreRevision(0), large.clone()).await.unwrap_err();
        assert!(matches!(refused, StoreError::TooLong { .. }), "{refused}");
        server.overwrite("classes", large);
        let refused = store.get("classes").await.unwrap_err();
        assert!(matches!(refused, StoreError::Malformed { .. }), "{refused}");
        let whole = Bytes::from(vec![7; MAX_VALUE_BYTES]);
        server.overwrite("classes", whole.clone());
        assert_eq!(store.get("classes").await.unwrap().unwrap().value, whole);
        server.set_corrupt("classes", true);
        assert_ne!(store.get("classes").await.unwrap().unwrap().value, whole);
        server.set_corrupt("classes", false);
        assert_eq!(store.get("classes").await.unwrap().unwrap().value, whole);
    });
}

/// Guards against a key or holder name that changes the path or the parameters of a call, and
/// against sending such a call at all.
#[test]
fn names_that_need_escaping_are_refused() {
    run(async {
        let (server, store) = start_store();
        for name in ["", "a b", "a?watch=1", "a%2f", "a#b", &"x".repeat(257)] {
            let refused = store.get(name).await.unwrap_err();
            assert!(matches!(refused, StoreError::Name { .. }), "{name}: {refused}");
            let refused = store.acquire_lease("planner/bog", name, TEST_TIMEOUT).await.unwrap_err();
            assert!(matches!(refused, StoreError::Name { .. }), "{name}: {refused}");
        }
        assert_eq!(server.counts(), store::CallCounts::default());
    });
}
