//! Malformed items in the store, left by another writer among those of the nodes.

use std::sync::Arc;

use crate::standin::store::MemoryStore;
use crate::standin::{Deployment, wait_until};
use futures_lite::future::block_on;
use http::StatusCode;

/// Returns the entry of a node that doesn't exist, with a worker of `desk`.
fn member_entry(node: &str, peer: &str, slots: &str) -> String {
    format!(
        r#"{{"node":"{node}","run":1,"zone":"zone","peer":"{peer}","pin":"no digest",
            "state":"Serving","worker":{{"name":"odd@1","service":"desk","slots":{slots},
            "state":"Ready","is_reporting":true}}}}"#
    )
}

/// Returns a range row that may be inconsistent, which no node would write.
fn range_row(first: u16, last: &str, fence: &str) -> String {
    format!(
        r#"{{"first":{first},"last":{last},"fence":{fence},"owner":null,"successor":null,"handover":""}}"#
    )
}

fn put_malformed_items(store: &MemoryStore) {
    let nested = format!("{}{}", "[".repeat(2_000), "]".repeat(2_000));
    let maximum = u64::MAX.to_string();
    let malformed = [
        ("nodes/odd-1", member_entry("odd-1", "127.0.0.1:0", "8")),
        ("nodes/odd-2", member_entry("odd-2", "127.0.0.1:80800", "8")),
        ("nodes/odd-3", member_entry("odd-3", "127.0.0.1:9", "4294967295")),
        ("nodes/odd-4", member_entry("odd-4", "127.0.0.1:9", "1e999")),
        ("nodes/odd-5", member_entry("odd-5", "127.0.0.1:9", &nested)),
        ("nodes/odd-6", member_entry("node-0", "127.0.0.1:9", "8")),
        ("nodes/odd-7", nested.clone()),
        ("nodes/odd-8", "\u{fffd}\u{0}".to_owned()),
        ("nodes/", "7".to_owned()),
        ("ranges/prices/60000", range_row(60_000, "59999", "1")),
        ("ranges/prices/61000", range_row(61_000, "61999", &maximum)),
        ("ranges/prices/62000", range_row(62_000, "99999", "1")),
        ("ranges/prices/63000", range_row(63_001, "63999", "1")),
        ("ranges/prices/99999", range_row(1, "2", "1")),
        ("ranges/prices/64000", nested.clone()),
        ("ranges/", "{}".to_owned()),
        ("layouts/", "{}".to_owned()),
        ("refusals/zz", "{}".to_owned()),
        ("refusals/0000000000000001", format!(r#"{{"until_ms":{maximum}}}"#)),
        ("refusals/0000000000000002", nested),
        ("", "{}".to_owned()),
    ];
    malformed.iter().for_each(|(key, value)| store.put(&format!("cornelridge/{key}"), value));
}

async fn is_serving(deployment: &Deployment, host: usize, version: u64) -> bool {
    let path = if version == 1 { "/v1/x" } else { "/v2/x" };
    let config_response = deployment.call(host, "followed", path, None).await;
    let mut is_served = config_response.status == StatusCode::OK;
    for key in [7, 30_000, 60_000, 61_500] {
        let response = deployment.call(host, "held", "/price/x", Some(key)).await;
        is_served &= response.status == StatusCode::OK;
    }
    is_served
}

/// Guards against running or starting nodes that crash or stop following the store because of one
/// malformed item in it.
#[test]
fn odd_items_cost_themselves_alone() {
    block_on(async {
        let mut deployment = Deployment::start(&["desk", "prices", "prices"]).await;
        deployment.configure(1);
        wait_until("the configuration and all keys are served", || is_serving(&deployment, 0, 1))
            .await;
        put_malformed_items(&deployment.store);
        deployment.configure(2);
        for host in 0..3 {
            wait_until("the new configuration and all keys are served", || {
                is_serving(&deployment, host, 2)
            })
            .await;
        }
        deployment.add_host("prices", |_| {}).await;
        wait_until("a new node serves the configuration and all keys", || {
            is_serving(&deployment, 3, 2)
        })
        .await;
    });
}

/// Guards against keys that are never granted because malformed items were in the store first.
#[test]
fn nodes_start_on_a_store_with_odd_items() {
    block_on(async {
        let store: Arc<MemoryStore> = Arc::default();
        put_malformed_items(&store);
        let deployment = Deployment::start_with_store(store, &["desk", "prices"]).await;
        deployment.configure(1);
        wait_until("the configuration and a key are served", || async {
            let config_response = deployment.call(0, "followed", "/v1/x", None).await;
            let key_response = deployment.call(0, "held", "/price/x", Some(7)).await;
            config_response.status == StatusCode::OK && key_response.status == StatusCode::OK
        })
        .await;
    });
}
