//! Routes by host and longest prefix, and distribution over weighted services.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::HashMap;
use std::sync::Arc;

use cornelridge_fleet::config::{RetryRule, RouteConfig, RoutePart};
use cornelridge_fleet::route::{PartSelector, RouteTable};
use cornelridge_model::time::Duration;

fn route(name: &str, host: &str, prefix: &str, parts: &[(&str, u32)]) -> RouteConfig {
    let part = |(service, weight): &(&str, u32)| RoutePart {
        service: Arc::from(*service),
        weight: *weight,
    };
    RouteConfig {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        retry: RetryRule::Idempotent,
        is_bulk: false,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(500),
        max_attempts: 2,
        priority: 1,
        parts: parts.iter().map(part).collect(),
    }
}

#[test]
fn the_longest_prefix_wins() {
    let table = RouteTable::new(&[
        route("short", "shop.example", "/a/", &[("s", 1)]),
        route("long", "shop.example", "/a/b/", &[("s", 1)]),
        route("other", "yard.example", "/a/b/c/", &[("s", 1)]),
    ]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("shop.example", "/a/b/c/x").as_deref(), Some("long"));
    assert_eq!(found("SHOP.example:8080", "/a/x").as_deref(), Some("short"));
    assert_eq!(found("shop.example", "/a"), None);
    assert_eq!(found("unknown.example", "/a/x"), None);
}

#[test]
fn shares_follow_the_weights_within_a_few_requests() {
    let route = route("r", "h", "/", &[("big", 90), ("small", 10)]);
    let mut selector = PartSelector::default();
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..100 {
        let service = Arc::clone(selector.select(&route).unwrap());
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!((counts["big"], counts["small"]), (90, 10));
}

/// Guards against requests that go to a part which the configuration in force gives no share, for
/// lack of a share that it had before.
#[test]
fn a_part_without_weight_gets_no_request() {
    let mut selector = PartSelector::default();
    let before = route("r", "h", "/", &[("new", 90), ("old", 10)]);
    let after = route("r", "h", "/", &[("new", 100), ("old", 0)]);
    for selections in 1..10 {
        for _ in 0..selections {
            selector.select(&before);
        }
        for _ in 0..20 {
            assert_eq!(selector.select(&after).map(|service| &**service), Some("new"));
        }
    }
    let none = route("r", "h", "/", &[("old", 0), ("new", 0)]);
    assert_eq!(selector.select(&none), None);
}
