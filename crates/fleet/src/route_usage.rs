//! Where the room of a worker went, and how the requests of callers ended, by route.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelridge_model::time;
use derive_more::Display;

/// What the requests of one route made of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteUsage {
    /// Requests that were offered to the worker.
    pub offered: u32,
    /// Requests that got a slot.
    pub started: u32,
    /// Requests that were refused because of the link.
    pub refused_link: u32,
    /// Requests that were refused for another reason.
    pub refused_other: u32,
    /// Requests that the worker served.
    pub served: u32,
    /// Time that requests held slots.
    pub slot_time: time::Duration,
}

/// How the request of a caller ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its response left this node before the target.
    #[display("in-time")]
    InTime,
    /// Its response left this node after the target.
    #[display("late")]
    Late,
    /// It wasn't run.
    #[display("refused")]
    Refused,
    /// It failed in another way.
    #[display("failed")]
    Failed,
    /// Its caller left first.
    #[display("left")]
    Left,
}

/// How the requests of one route ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteEnds {
    /// Requests by `RequestEnd`.
    counts: [u32; 5],
    /// Time from the arrival of the served requests to the start of their responses.
    pub waiting_time: time::Duration,
    /// Time from there to the end of their responses.
    pub sending_time: time::Duration,
}

impl RouteEnds {
    /// Returns the number of requests that ended in this way.
    pub fn count(&self, end: RequestEnd) -> u32 {
        self.counts[end as usize]
    }

    /// Records the end of a request, with the time to the start of its response and the time for
    /// which that was sent.
    pub fn record(&mut self, end: RequestEnd, waiting: time::Duration, sending: time::Duration) {
        self.counts[end as usize] += 1;
        if matches!(end, RequestEnd::InTime | RequestEnd::Late) {
            self.waiting_time = self.waiting_time + waiting;
            self.sending_time = self.sending_time + sending;
        }
    }
}

/// Figures by route since they were last taken.
#[derive(Clone, Debug)]
pub struct RouteRecord<T> {
    routes: BTreeMap<Arc<str>, T>,
}

impl<T> Default for RouteRecord<T> {
    fn default() -> RouteRecord<T> {
        RouteRecord { routes: BTreeMap::new() }
    }
}

impl<T: Default> RouteRecord<T> {
    /// Returns the figures of a route.
    pub fn route(&mut self, route: &Arc<str>) -> &mut T {
        self.routes.entry(Arc::clone(route)).or_default()
    }

    /// Returns the figures of all routes and starts again.
    pub fn take(&mut self) -> BTreeMap<Arc<str>, T> {
        std::mem::take(&mut self.routes)
    }
}
