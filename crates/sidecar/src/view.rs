//! The node's view of the deployment: configuration, members and ranges.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cornelridge_fleet::config;
use cornelridge_fleet::era;
use cornelridge_fleet::evacuation;
use cornelridge_fleet::member;
use cornelridge_fleet::range;
use cornelridge_fleet::route;
use cornelridge_store::items;
use cornelridge_wire::identity;
use event_listener::{Event, EventListener};

use crate::clock;
use crate::feed;
use crate::meter;
use crate::suspects;

/// Locks a mutex and ignores poisoning, since the state stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: config::FleetConfig,
    /// Its routes.
    pub(crate) routes: route::RouteTable,
}

/// The node's view of the deployment.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    config: Mutex<Option<Arc<ActiveConfig>>>,
    /// The item of the configuration in force, for the feeds to other nodes.
    config_item: Mutex<Option<items::StoredItem>>,
    directory: Mutex<member::MemberDirectory>,
    ranges: Mutex<range::RangeTable>,
    evacuations: Mutex<evacuation::EvacuationSet>,
    /// Notified when the evacuated zones change, as all waiting requests listen.
    evacuations_changed: Event,
    changed: Event,
    /// Notified when the store answers this node again after a failed call.
    pub(crate) store_recovered: Event,
    /// Items as read, for the feeds to other nodes.
    pub(crate) items: Mutex<feed::ItemLog>,
    /// Revision up to which the store has been followed.
    revision: AtomicU64,
    /// Eras of the store.
    eras: Mutex<era::EraTracker>,
    /// Highest configuration version that any node is known to have in force.
    pub(crate) newest_config_version: AtomicU64,
    /// Revision of the newest configuration that a feed has announced without its value.
    announced_config: AtomicU64,
    /// Whether the members and ranges have been loaded at least once.
    pub(crate) is_loaded: AtomicBool,
    /// Whether the members and ranges currently come from another node and not from the store.
    pub(crate) is_following: AtomicBool,
    /// Whether the operator's items currently come from another node and not from the store. Nodes
    /// of earlier versions pass no evacuated zones on.
    pub(crate) is_operator_fed: AtomicBool,
    /// Requests that may crash workers.
    pub(crate) suspects: Arc<suspects::SuspectTracker>,
    /// Certificates of the members.
    pub(crate) pins: identity::PinSet,
}

impl FleetView {
    /// Returns the configuration in force, if one is known.
    pub(crate) fn config(&self) -> Option<Arc<ActiveConfig>> {
        lock(&self.config).clone()
    }

    /// Returns whether the configuration says that the responses of a route are large.
    pub(crate) fn is_bulk(&self, route: &str) -> bool {
        let Some(active) = self.config() else { return false };
        active.config.routes.iter().any(|known| known.is_bulk && *known.name == *route)
    }

    /// Returns the item of the configuration in force if it is newer than `revision`.
    pub(crate) fn config_item_after(&self, revision: u64) -> Option<items::StoredItem> {
        lock(&self.config_item).clone().filter(|item| item.revision > revision)
    }

    /// Puts a configuration in force if its version is higher; returns the version that it
    /// replaces. `item` is the item that it was decoded from.
    pub(crate) fn set_config(
        &self,
        config: config::FleetConfig,
        item: &items::StoredItem,
    ) -> Option<u64> {
        let mut current = lock(&self.config);
        let before = current.as_ref().map_or(0, |current| current.config.version);
        if config.version <= before {
            return None;
        }
        let routes = route::RouteTable::new(&config.routes);
        *current = Some(Arc::new(ActiveConfig { config, routes }));
        drop(current);
        *lock(&self.config_item) = Some(item.clone());
        self.notify();
        Some(before)
    }

    /// Locks and returns the members.
    pub(crate) fn directory(&self) -> MutexGuard<'_, member::MemberDirectory> {
        lock(&self.directory)
    }

    /// Locks and returns the ranges.
    pub(crate) fn ranges(&self) -> MutexGuard<'_, range::RangeTable> {
        lock(&self.ranges)
    }

    /// Locks and returns the evacuated zones.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, evacuation::EvacuationSet> {
        lock(&self.evacuations)
    }

    /// Replaces the evacuated zones by all that exist as of a revision of the store.
    pub(crate) fn set_evacuations(&self, revision: u64, zones: Vec<Arc<str>>, source: &str) {
        let mut evacuations = self.evacuations();
        let before = evacuations.version();
        let change = evacuations.replace(clock::now(), revision, zones);
        let (has_changed, count) = (evacuations.version() != before, evacuations.zones().count());
        drop(evacuations);
        for zone in &change.started {
            log::warn!(zone:% = zone, revision, source; "evacuation of a zone started");
            meter::count_evacuation("started");
        }
        for zone in &change.ended {
            log::info!(zone:% = zone, revision, source; "evacuation of a zone ended");
            meter::count_evacuation("ended");
        }
        if has_changed {
            meter::record_evacuated_zones(count);
            self.evacuations_changed.notify(usize::MAX);
            self.notify();
        }
    }

    /// Ends the evacuations that the store has lost and the operator hasn't written again.
    pub(crate) fn expire_evacuations(&self) {
        let evacuations = self.evacuations();
        let (revision, kept) = (evacuations.revision(), evacuations.expired(clock::now()));
        drop(evacuations);
        if let Some(zones) = kept {
            self.set_evacuations(revision, zones, "store");
        }
    }

    /// Returns a listener that completes at the next change of the evacuated zones.
    pub(crate) fn evacuations_changed(&self) -> EventListener {
        self.evacuations_changed.listen()
    }

    /// Returns the row that contains a key.
    pub(crate) fn row_of(&self, service: &str, key: u16) -> Option<range::RangeRow> {
        let ranges = self.ranges();
        Some(ranges.service(service)?.find(key)?.row.clone())
    }

    /// Returns the owner of a key, which may have to release the key to a successor.
    pub(crate) fn owner_of(&self, service: &str, key: u16) -> Option<range::RangeHolder> {
        self.row_of(service, key)?.owner
    }

    /// Records the era that the store has named last; returns that era.
    pub(crate) fn observe_era(&self, store: &dyn items::ItemStore) -> u64 {
        let Some(era) = store.era() else { return 0 };
        let change = lock(&self.eras).observe(clock::now(), era);
        meter::record_era(era);
        if let Some(change) = change {
            log::warn!(
                before = change.before, era = change.era;
                "the store went back to an older copy of its items; registering again"
            );
            meter::count_era_change();
            // Pending watches and waits of the era before are given up.
            self.store_recovered.notify(usize::MAX);
            self.notify();
        }
        era
    }

    /// Returns the eras of the store.
    pub(crate) fn eras(&self) -> era::EraTracker {
        *lock(&self.eras)
    }

    /// Wakes all tasks that wait for a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Returns a listener that completes at the next change.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Accepts exactly the certificates of the members and of nodes whose entry has just ended.
    pub(crate) fn refresh_pins(&self) {
        let directory = self.directory();
        let lapsed = directory.lapsed().iter().map(|(_, entry)| entry);
        let pins = directory.iter().chain(lapsed).map(|entry| Arc::clone(&entry.pin));
        let pins: Vec<Arc<str>> = pins.collect();
        drop(directory);
        self.pins.replace(pins);
    }

    /// Records a configuration version that another node has in force.
    pub(crate) fn observe_config_version(&self, version: u64) {
        self.newest_config_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records that the configuration was changed at `revision`, without its value.
    pub(crate) fn announce_config(&self, revision: u64) {
        self.announced_config.fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns whether a configuration newer than `revision` has been announced.
    pub(crate) fn is_config_announced_after(&self, revision: u64) -> bool {
        self.announced_config.load(Ordering::Relaxed) > revision
    }

    /// Records that the store has been followed up to a revision.
    pub(crate) fn advance_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::Relaxed);
        meter::record_known_revision(self.revision());
    }

    /// Returns the revision up to which the store has been followed.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }
}
