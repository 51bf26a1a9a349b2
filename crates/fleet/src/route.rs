//! Routes of requests, and distribution of a route's requests over its services.

use std::collections::HashMap;
use std::sync::Arc;

use crate::config;

/// Routes by host, ordered from the longest to the shortest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, Vec<Arc<config::RouteConfig>>>,
}

impl RouteTable {
    /// Creates a table of the routes of a configuration.
    pub fn new(routes: &[config::RouteConfig]) -> RouteTable {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<config::RouteConfig>>> = HashMap::new();
        for route in routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable { hosts }
    }

    /// Returns the route on `host` with the longest prefix of `path`; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<config::RouteConfig>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&*name)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// Distributes the requests of each route over its parts by weight.
///
/// Uses smooth weighted round robin: the share of each part is exact within a few requests, whereas
/// random selection reaches it only over many requests.
#[derive(Clone, Debug, Default)]
pub struct PartSelector {
    credits: HashMap<Arc<str>, Vec<i64>>,
}

impl PartSelector {
    /// Returns the service for the next request of `route`, or `None` if the route has no parts.
    pub fn select<'a>(&mut self, route: &'a config::RouteConfig) -> Option<&'a Arc<str>> {
        if let [part] = &route.parts[..] {
            return Some(&part.service);
        }
        let credits = self.credits.entry(Arc::clone(&route.name)).or_default();
        credits.resize(route.parts.len(), 0);
        let total: i64 = route.parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += i64::from(part.weight);
        }
        let best = (0..credits.len()).max_by_key(|&index| credits[index])?;
        credits[best] -= total;
        route.parts.get(best).map(|part| &part.service)
    }

    /// Keeps the state of the routes for whose names `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
