//! What the node knows of the deployment: configuration, members and ranges.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cornelridge_fleet::config;
use cornelridge_fleet::member;
use cornelridge_fleet::range;
use cornelridge_fleet::route;
use cornelridge_wire::identity;
use event_listener::{Event, EventListener};

use crate::feed;
use crate::meter;
use crate::suspects;

/// Locks a mutex; a panic elsewhere doesn't make the state unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The configuration that is in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: config::FleetConfig,
    /// Its routes.
    pub(crate) routes: route::RouteTable,
}

/// What the node knows of the deployment.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    config: Mutex<Option<Arc<ActiveConfig>>>,
    directory: Mutex<member::MemberDirectory>,
    ranges: Mutex<range::RangeTable>,
    changed: Event,
    /// Told when the store answers this node again after a failed call.
    pub(crate) store_recovered: Event,
    /// Items as they were read, to be passed on to other nodes.
    pub(crate) items: Mutex<feed::ItemLog>,
    /// Revision up to which the store has been followed.
    revision: AtomicU64,
    /// Highest version of the configuration that any node has in force.
    pub(crate) newest_config_version: AtomicU64,
    /// Whether the members and ranges have been read at least once.
    pub(crate) is_loaded: AtomicBool,
    /// Whether the members and ranges come from another node at present, not from the store.
    pub(crate) is_following: AtomicBool,
    /// Requests that may end workers.
    pub(crate) suspects: Arc<suspects::SuspectTracker>,
    /// Certificates of the members.
    pub(crate) pins: identity::PinSet,
}

impl FleetView {
    /// The configuration in force, if one is known.
    pub(crate) fn config(&self) -> Option<Arc<ActiveConfig>> {
        lock(&self.config).clone()
    }

    /// Puts a configuration in force unless a newer one is; returns the version that it replaces.
    pub(crate) fn set_config(&self, config: config::FleetConfig) -> Option<u64> {
        let mut current = lock(&self.config);
        let before = current.as_ref().map_or(0, |current| current.config.version);
        if config.version <= before {
            return None;
        }
        let routes = route::RouteTable::new(&config.routes);
        *current = Some(Arc::new(ActiveConfig { config, routes }));
        drop(current);
        self.notify();
        Some(before)
    }

    /// The members.
    pub(crate) fn directory(&self) -> MutexGuard<'_, member::MemberDirectory> {
        lock(&self.directory)
    }

    /// The ranges.
    pub(crate) fn ranges(&self) -> MutexGuard<'_, range::RangeTable> {
        lock(&self.ranges)
    }

    /// Who is to hold a key, or to release it to another one.
    pub(crate) fn owner_of(&self, service: &str, key: u16) -> Option<range::RangeHolder> {
        let ranges = self.ranges();
        ranges.service(service)?.find(key)?.row.owner.clone()
    }

    /// Wakes those who wait for a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Completes at the next change.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Accepts the certificates of the present members.
    pub(crate) fn refresh_pins(&self) {
        let pins: Vec<Arc<str>> =
            self.directory().iter().map(|entry| Arc::clone(&entry.pin)).collect();
        self.pins.replace(pins);
    }

    /// Notes a version that another node has in force.
    pub(crate) fn observe_config_version(&self, version: u64) {
        self.newest_config_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Notes that the store is known up to a revision.
    pub(crate) fn advance_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::Relaxed);
        meter::known_revision(self.revision());
    }

    /// The highest revision that this node has followed.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }
}
