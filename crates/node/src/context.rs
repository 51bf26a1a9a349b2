//! State shared by the tasks of one node.

use std::collections::{HashMap, HashSet};
use std::net;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use cornelridge_control::liveness;
use cornelridge_model::assignment;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use cornelridge_policy::admission;
use cornelridge_policy::quarantine;
use cornelridge_records as records;
use cornelridge_store::api as store;
use cornelridge_wire::transport;
use smol::channel;
use tokio_util::sync::CancellationToken;

use crate::admission as node_admission;
use crate::clock;
use crate::configuration;
use crate::deadline;
use crate::documents;
use crate::executor;
use crate::failure::{FailureKind, RequestFailure};
use crate::loads;
use crate::meter;
use crate::operators;
use crate::policies;
use crate::upstream;
use crate::workers;

/// Maximum number of leases whose announced expiry is recorded.
const MAX_ANNOUNCED_EXPIRIES: usize = 4_096;

/// Identity of this node.
#[derive(Clone, Debug)]
pub(crate) struct NodeIdentity {
    /// Name from the settings.
    pub(crate) name: Arc<str>,
    /// Region from the settings.
    pub(crate) region: Arc<str>,
    /// Availability zone from the settings.
    pub(crate) zone: Arc<str>,
    /// Identifies this run of the process.
    pub(crate) incarnation: ident::IncarnationId,
}

/// The upstream beside this node, while it is announced and responds.
#[derive(Debug)]
pub(crate) struct UpstreamLink {
    /// Its latest announcement.
    pub(crate) announcement: upstream::UpstreamAnnouncement,
    /// Connections to it.
    pub(crate) pool: upstream::ConnectionPool,
    /// Instance number, unique in this process; an upstream gets a new one after each loss.
    pub(crate) instance: u64,
}

/// State shared by the tasks of one node.
pub(crate) struct NodeContext {
    /// Identity of this node.
    pub(crate) identity: NodeIdentity,
    /// Monotonic clock of the process.
    pub(crate) clock: clock::MonotonicClock,
    /// Runs the tasks of the node.
    pub(crate) executor: executor::NodeExecutor,
    /// Cancelled when the node stops accepting callers.
    pub(crate) closing: CancellationToken,
    /// QUIC endpoint for the other nodes.
    pub(crate) endpoint: transport::NodeEndpoint,
    /// The store of the platform.
    pub(crate) store: Arc<dyn store::ConfigStore>,
    /// Documents in force at this node.
    pub(crate) documents: documents::DocumentCache,
    /// Deadlines of requests.
    pub(crate) deadlines: Arc<deadline::DeadlineTable>,
    /// Requests in flight at this node.
    pub(crate) requests: InFlightCounter,
    /// Cancelled when an operator drains the node.
    pub(crate) drain_requested: CancellationToken,
    /// Maximum number of open connections from callers.
    pub(crate) max_caller_connections: usize,
    /// Open connections from callers.
    pub(crate) caller_connections: InFlightCounter,
    /// Retry budgets, hedging and latency by class.
    pub(crate) policies: policies::PolicyTable,
    /// Workers by class.
    pub(crate) workers: workers::WorkerTable,
    /// Request rates of slices and keys.
    pub(crate) loads: loads::LoadCounter,
    /// Address at which other nodes reach this one.
    pub(crate) advertised_address: net::SocketAddr,
    /// Wakes the task that registers this node.
    pub(crate) registration_requests: (channel::Sender<()>, channel::Receiver<()>),
    /// Earlier revisions of the class configuration, for explaining conflicts.
    pub(crate) history: sync::Mutex<operators::ClassHistory>,
    /// Metrics.
    pub(crate) meter: meter::NodeMeter,
    ownership: sync::Mutex<ownership::OwnershipMachine>,
    records: sync::Mutex<records::RecordTable>,
    upstream_queue: sync::Mutex<node_admission::UpstreamQueue>,
    suspects: sync::Mutex<quarantine::SuspectRegistry>,
    upstream: sync::Mutex<Option<Arc<UpstreamLink>>>,
    upstream_checks: (channel::Sender<()>, channel::Receiver<()>),
    leaving: atomic::AtomicBool,
    handing_over: atomic::AtomicBool,
    last_announcement_us: atomic::AtomicU64,
    upstream_instances: atomic::AtomicU64,
    liveness: sync::Mutex<liveness::PeerLiveness>,
    acceptors: sync::Mutex<configuration::DocumentAcceptors>,
    announced_expiries: sync::Mutex<HashSet<ident::LeaseId>>,
    /// Holder and end of the planner's lease, from the last response of the store.
    planner: sync::Mutex<Option<(ident::IncarnationId, time::Instant)>>,
    work_tokens: sync::Mutex<HashMap<ownership::WorkId, CancellationToken>>,
    fetches: sync::Mutex<HashSet<FetchKey>>,
    random: sync::Mutex<fastrand::Rng>,
}

/// Locks a mutex and ignores poisoning, so that a panicked task doesn't disable the node.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Arguments of [`NodeContext::new`].
pub(crate) struct ContextParts {
    pub(crate) identity: NodeIdentity,
    pub(crate) executor: executor::NodeExecutor,
    pub(crate) endpoint: transport::NodeEndpoint,
    pub(crate) store: Arc<dyn store::ConfigStore>,
    pub(crate) max_records: usize,
    pub(crate) max_caller_connections: usize,
    pub(crate) advertised_address: net::SocketAddr,
    pub(crate) seed: u64,
}

impl NodeContext {
    pub(crate) fn new(parts: ContextParts) -> NodeContext {
        let clock = clock::MonotonicClock::new();
        let now = clock.now();
        let incarnation = parts.identity.incarnation;
        NodeContext {
            clock,
            closing: CancellationToken::new(),
            drain_requested: CancellationToken::new(),
            max_caller_connections: parts.max_caller_connections,
            documents: documents::DocumentCache::default(),
            deadlines: Arc::new(deadline::DeadlineTable::new()),
            requests: InFlightCounter::default(),
            caller_connections: InFlightCounter::default(),
            policies: policies::PolicyTable::default(),
            workers: workers::WorkerTable::default(),
            loads: loads::LoadCounter::default(),
            advertised_address: parts.advertised_address,
            registration_requests: channel::bounded(1),
            history: sync::Mutex::default(),
            meter: meter::NodeMeter::new(&parts.identity.name, clock),
            ownership: sync::Mutex::new(ownership::OwnershipMachine::new(incarnation)),
            records: sync::Mutex::new(records::RecordTable::with_capacity(parts.max_records)),
            upstream_queue: sync::Mutex::new(node_admission::UpstreamQueue::new(now, 1)),
            suspects: sync::Mutex::default(),
            upstream: sync::Mutex::default(),
            upstream_checks: channel::bounded(1),
            leaving: atomic::AtomicBool::new(false),
            handing_over: atomic::AtomicBool::new(false),
            last_announcement_us: atomic::AtomicU64::new(0),
            upstream_instances: atomic::AtomicU64::new(0),
            liveness: sync::Mutex::new(liveness::PeerLiveness::new(
                liveness::LivenessConfig::default(),
                parts.seed,
            )),
            acceptors: sync::Mutex::default(),
            announced_expiries: sync::Mutex::default(),
            planner: sync::Mutex::default(),
            work_tokens: sync::Mutex::default(),
            fetches: sync::Mutex::default(),
            random: sync::Mutex::new(fastrand::Rng::with_seed(parts.seed)),
            identity: parts.identity,
            executor: parts.executor,
            endpoint: parts.endpoint,
            store: parts.store,
        }
    }

    /// Locks the ownership state machine.
    pub(crate) fn ownership(&self) -> sync::MutexGuard<'_, ownership::OwnershipMachine> {
        lock(&self.ownership)
    }

    /// Locks the at-most-once records.
    pub(crate) fn records(&self) -> sync::MutexGuard<'_, records::RecordTable> {
        lock(&self.records)
    }

    /// Locks the queue in front of the upstream.
    pub(crate) fn upstream_queue(&self) -> sync::MutexGuard<'_, node_admission::UpstreamQueue> {
        lock(&self.upstream_queue)
    }

    /// Locks the registry of requests that crashed upstreams.
    pub(crate) fn suspects(&self) -> sync::MutexGuard<'_, quarantine::SuspectRegistry> {
        lock(&self.suspects)
    }

    /// Locks the random number generator of the node.
    pub(crate) fn random(&self) -> sync::MutexGuard<'_, fastrand::Rng> {
        lock(&self.random)
    }

    /// Returns a random number.
    pub(crate) fn random_u64(&self) -> u64 {
        self.random().u64(..)
    }

    /// Returns the class configuration in force.
    pub(crate) fn classes(&self) -> Arc<class::ClassDocument> {
        self.documents.classes()
    }

    /// Returns the assignment in force.
    pub(crate) fn assignment(&self) -> Arc<assignment::AssignmentDocument> {
        self.documents.assignment()
    }

    /// Returns the epoch of the assignment in force.
    pub(crate) fn epoch(&self) -> ident::EpochNumber {
        self.documents.assignment().epoch
    }

    /// Returns the slice that contains a key.
    pub(crate) fn locate(&self, class: &str, hash: key::KeyHash) -> Option<assignment::SliceKey> {
        self.documents.assignment().locate(class, hash)
    }

    /// Returns the nodes to try for a key, the most likely owner first.
    pub(crate) fn route(&self, class: &str, hash: key::KeyHash) -> Vec<ident::IncarnationId> {
        match self.locate(class, hash) {
            Some(slice) => self.ownership().route(slice),
            None => Vec::new(),
        }
    }

    /// Returns the address of a member of the region.
    pub(crate) fn address_of(&self, member: ident::IncarnationId) -> Option<net::SocketAddr> {
        self.documents.address_of(member)
    }

    /// Returns the index of a class in the configuration in force, or 0 if it is unknown.
    pub(crate) fn class_index(&self, name: &str) -> admission::ClassIndex {
        let classes = self.classes();
        let index = classes.classes.iter().position(|class| &*class.name == name);
        admission::ClassIndex(index.unwrap_or_default() as u16)
    }

    /// Returns the upstream beside this node.
    ///
    /// Fails if there is none or it serves another class.
    pub(crate) fn upstream(&self, class: &str) -> Result<Arc<UpstreamLink>, RequestFailure> {
        let link = lock(&self.upstream).clone();
        link.filter(|link| &*link.announcement.class == class).ok_or_else(|| {
            let message = format!("no upstream of class {class} is beside this node");
            RequestFailure::not_run(FailureKind::UpstreamLost, message)
        })
    }

    /// Returns the upstream beside this node, whatever its class.
    pub(crate) fn any_upstream(&self) -> Option<Arc<UpstreamLink>> {
        lock(&self.upstream).clone()
    }

    /// Sets or removes the upstream.
    pub(crate) fn set_upstream(&self, link: Option<Arc<UpstreamLink>>) {
        *lock(&self.upstream) = link;
    }

    /// Returns a new instance number for an upstream, unique in this process.
    pub(crate) fn next_upstream_instance(&self) -> u64 {
        self.upstream_instances.fetch_add(1, atomic::Ordering::Relaxed) + 1
    }

    /// Requests an immediate check of the upstream.
    pub(crate) fn request_upstream_check(&self) {
        // A full channel already holds a request.
        let _ = self.upstream_checks.0.try_send(());
    }

    /// Waits until a check of the upstream is requested.
    pub(crate) async fn upstream_check_requested(&self) {
        let _ = self.upstream_checks.1.recv().await;
    }

    /// Decides what to do with a request of this fingerprint.
    pub(crate) fn suspect_decision(
        &self,
        now: time::Instant,
        fingerprint: quarantine::RequestFingerprint,
    ) -> quarantine::SuspectDecision {
        self.suspects().decide(now, fingerprint)
    }

    /// Returns whether the node or its upstream is leaving.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_leaving() || self.any_upstream().is_some_and(|link| link.announcement.leaving)
    }

    /// Marks the node as leaving; returns `false` if it already was.
    pub(crate) fn start_leaving(&self) -> bool {
        !self.leaving.swap(true, atomic::Ordering::Relaxed)
    }

    /// Returns whether the node is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether the node is in the last part of a handover, in which no new work starts.
    pub(crate) fn set_handing_over(&self, is_handing_over: bool) {
        self.handing_over.store(is_handing_over, atomic::Ordering::Relaxed);
    }

    /// Returns whether no new work on slices may start because of a handover.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over.load(atomic::Ordering::Relaxed)
    }

    /// Returns the time of the upstream's last announcement.
    pub(crate) fn last_announcement(&self) -> time::Instant {
        time::Instant(self.last_announcement_us.load(atomic::Ordering::Relaxed))
    }

    /// Records the time of an announcement.
    pub(crate) fn record_announcement(&self, now: time::Instant) {
        self.last_announcement_us.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Locks the liveness state of the other nodes.
    pub(crate) fn liveness(&self) -> sync::MutexGuard<'_, liveness::PeerLiveness> {
        lock(&self.liveness)
    }

    /// Locks the state that decides which versions of the documents are accepted.
    pub(crate) fn acceptors(&self) -> sync::MutexGuard<'_, configuration::DocumentAcceptors> {
        lock(&self.acceptors)
    }

    /// Records that this node announces the expiry of a lease; returns `false` if it already has.
    pub(crate) fn mark_expiry_announced(&self, lease: ident::LeaseId) -> bool {
        let mut announced = lock(&self.announced_expiries);
        if announced.len() >= MAX_ANNOUNCED_EXPIRIES {
            announced.clear();
        }
        announced.insert(lease)
    }

    /// Records the holder and the end of the planner's lease.
    pub(crate) fn set_planner(&self, planner: Option<(ident::IncarnationId, time::Instant)>) {
        *lock(&self.planner) = planner;
    }

    /// Returns the holder of the planner's lease, if it is known and the lease hasn't expired.
    pub(crate) fn planner(&self) -> Option<ident::IncarnationId> {
        let now = self.clock.now();
        let known = *lock(&self.planner);
        known.filter(|(_, until)| now < *until).map(|(planner, _)| planner)
    }

    /// Marks a fetch of records as running; returns `None` if it already is.
    pub(crate) fn start_fetch(
        self: &Arc<NodeContext>,
        range: &records::RecordRange,
    ) -> Option<FetchGuard> {
        let key = (Arc::clone(&range.class), range.first, range.last);
        let is_new = lock(&self.fetches).insert(key.clone());
        is_new.then(|| FetchGuard { context: Arc::clone(self), key })
    }

    /// Returns a token that is cancelled when this work has to end.
    pub(crate) fn track_work(&self, work: ownership::WorkId) -> CancellationToken {
        let token = CancellationToken::new();
        lock(&self.work_tokens).insert(work, token.clone());
        token
    }

    /// Removes the token of work that has ended.
    pub(crate) fn untrack_work(&self, work: ownership::WorkId) {
        lock(&self.work_tokens).remove(&work);
    }

    /// Cancels work that must not continue.
    pub(crate) fn cancel_work(&self, work: ownership::WorkId) {
        if let Some(token) = lock(&self.work_tokens).get(&work) {
            token.cancel();
        }
    }

    /// Sleeps for a duration.
    pub(crate) async fn sleep(&self, duration: time::Duration) {
        smol::Timer::after(duration.to_std()).await;
    }

    /// Sleeps until a point in time or a few milliseconds later.
    pub(crate) async fn sleep_until(&self, at: time::Instant) {
        self.deadlines.wait(self.clock, at).await;
    }
}

/// Class, first and last hash of records that are being fetched.
type FetchKey = (Arc<str>, key::KeyHash, key::KeyHash);

/// Marks a fetch of records as running until dropped.
pub(crate) struct FetchGuard {
    context: Arc<NodeContext>,
    key: FetchKey,
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        lock(&self.context.fetches).remove(&self.key);
    }
}

/// Number of requests or connections that are open; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounter {
    count: Arc<atomic::AtomicUsize>,
}

/// One request or connection, counted until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<atomic::AtomicUsize>,
}

impl InFlightCounter {
    /// Counts one more until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Counts one more unless `limit` are already counted.
    pub(crate) fn try_acquire(&self, limit: usize) -> Option<InFlightGuard> {
        let permit = self.enter();
        (self.current() <= limit).then_some(permit)
    }

    /// Returns the current count.
    pub(crate) fn current(&self) -> usize {
        self.count.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
