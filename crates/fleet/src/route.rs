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
    credits: HashMap<Arc<str>, Vec<PartCredit>>,
}

/// Credit of a part under its weight.
#[derive(Clone, Copy, Debug)]
struct PartCredit {
    weight: u32,
    credit: i64,
}

impl PartSelector {
    /// Returns the service for the next request of `route`, or `None` if no part has a weight. The
    /// credits start over when the weights change.
    pub fn select<'a>(&mut self, route: &'a config::RouteConfig) -> Option<&'a Arc<str>> {
        if let [part] = &route.parts[..] {
            return Some(&part.service);
        }
        let credits = self.credits.entry(Arc::clone(&route.name)).or_default();
        let weights = route.parts.iter().map(|part| part.weight);
        if !credits.iter().map(|known| known.weight).eq(weights.clone()) {
            *credits = weights.map(|weight| PartCredit { weight, credit: 0 }).collect();
        }
        let total: i64 = credits.iter().map(|part| i64::from(part.weight)).sum();
        credits.iter_mut().for_each(|part| part.credit += i64::from(part.weight));
        let weighted = (0..credits.len()).filter(|&index| credits[index].weight > 0);
        let best = weighted.max_by_key(|&index| credits[index].credit)?;
        credits[best].credit -= total;
        route.parts.get(best).map(|part| &part.service)
    }

    /// Keeps the state of the routes for whose names `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
