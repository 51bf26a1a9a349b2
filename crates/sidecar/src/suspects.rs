//! Requests that end the workers that run them: what this node knows of them, and how it reaches
//! the others.
//!
//! Nodes beside workers of one service tell one another which requests ran when a worker ended, as
//! only they pass requests on to these workers. Requests that are refused also stand in the store,
//! for nodes that start later and for other services.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time as std_time;

use cornelridge_fleet::member;
use cornelridge_model::ident;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::runs;
use cornelridge_store::items;
use event_listener::Event;
use serde::{Deserialize, Serialize};
use smol::channel;
use xxhash_rust::xxh3;

use crate::clock;
use crate::failure::{FailureCause, RequestFailure};
use crate::follow;
use crate::meter;
use crate::peers;
use crate::request;
use crate::view;
use crate::view::lock;

/// Time that the other nodes get to hear of an end before the requests that ran come again.
const TELL_PATIENCE: time::Duration = time::Duration::from_millis(350);
/// Further attempts to tell a node that couldn't be reached, and the pause before each: a node that
/// starts is refused until its certificate is known, and a short cut heals.
const MORE_TELLS: u32 = 4;
const TELL_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Longest time between two looks for members that have just started.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between two looks for refusals that aren't in the store. The first one comes late enough
/// for the objections of other nodes.
const STORE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Refusals that end sooner aren't written; the others outlast the next looks.
const LEAST_REFUSAL: time::Duration = time::Duration::from_secs(10);
/// Looks after which each member in turn writes a refusal that isn't in the store.
const LOOKS_PER_RANK: u32 = 2;
/// Members that tell what they know to one that has just started.
const TELLING: usize = 2;
/// Most notices in one message; they take about 35 bytes each of a frame of 64 KiB.
const MAX_NOTICES: usize = 1_000;

/// The number of an incarnation, the same at every node.
pub(crate) fn incarnation_id(worker: &member::WorkerName) -> ident::IncarnationId {
    ident::IncarnationId(xxh3::xxh3_64(worker.0.as_bytes()))
}

/// The end of an incarnation.
pub(crate) fn crash_id(worker: ident::IncarnationId) -> quarantine::CrashId {
    quarantine::CrashId { node: worker, sequence: 0 }
}

/// A refusal in the store.
#[derive(Debug, Serialize, Deserialize)]
struct RefusalItem {
    /// Unix time of its end, in milliseconds.
    until_ms: u64,
}

fn unix_millis() -> u64 {
    let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// What this node knows of requests that end workers.
#[derive(Debug)]
pub(crate) struct SuspectTracker {
    registry: Mutex<quarantine::SuspectRegistry>,
    /// What the other nodes are still to be told.
    outbox: channel::Sender<quarantine::SuspectNotice>,
    untold: channel::Receiver<quarantine::SuspectNotice>,
    /// Number of notices for the other nodes, and of those that they were told.
    noted: AtomicU64,
    told: AtomicU64,
    /// Told when they were told of more.
    telling: Event,
}

impl Default for SuspectTracker {
    fn default() -> SuspectTracker {
        let (outbox, untold) = channel::unbounded();
        SuspectTracker {
            registry: Mutex::default(),
            outbox,
            untold,
            noted: AtomicU64::new(0),
            told: AtomicU64::new(0),
            telling: Event::new(),
        }
    }
}

impl SuspectTracker {
    /// The end of a worker under a request, if it may have been the cause, so that it runs at one
    /// worker at a time; a failure if two workers have ended under it.
    pub(crate) fn check(
        &self,
        request: &request::FleetRequest,
    ) -> Result<Option<quarantine::CrashId>, RequestFailure> {
        let fingerprint = request.fingerprint;
        let registry = lock(&self.registry);
        let decision = registry.decide(clock::now(), fingerprint);
        match decision {
            quarantine::SuspectDecision::Pass => Ok(None),
            quarantine::SuspectDecision::RunAlone => Ok(registry.crash_of(fingerprint)),
            quarantine::SuspectDecision::Refuse { remaining } => {
                drop(registry);
                log::info!(
                    request:% = request.id, fingerprint:% = fingerprint, left_us = remaining.0;
                    "refused: workers ended under requests like it"
                );
                let failure = RequestFailure::not_run(FailureCause::CrashesWorkers);
                Err(failure.with_retry_after(remaining))
            }
        }
    }

    /// Whether a request is suspected or refused.
    pub(crate) fn is_suspected(&self, fingerprint: quarantine::RequestFingerprint) -> bool {
        let decision = lock(&self.registry).decide(clock::now(), fingerprint);
        decision != quarantine::SuspectDecision::Pass
    }

    /// Records what ran when an incarnation ended.
    pub(crate) fn record_crash(
        &self,
        worker: ident::IncarnationId,
        runs: &[quarantine::RequestFingerprint],
    ) {
        let crash = crash_id(worker);
        let notices = lock(&self.registry).crashed(clock::now(), crash, runs);
        for notice in notices {
            note("here", notice);
            self.tell(notice);
        }
    }

    /// Completes when the other nodes have been told what was known when it was called, as far as
    /// they can be reached.
    pub(crate) async fn await_delivery(&self) {
        let end = clock::now() + TELL_PATIENCE;
        let known = self.noted.load(Ordering::Relaxed);
        while self.told.load(Ordering::Relaxed) < known {
            let changed = self.telling.listen();
            if self.told.load(Ordering::Relaxed) < known
                && clock::timeout_at(end, changed).await.is_none()
            {
                return;
            }
        }
    }

    /// Records a whole answer of a worker.
    pub(crate) fn record_success(&self, run: runs::SentRun) {
        let cleared = lock(&self.registry).completed(run.sent, run.fingerprint);
        if let Some(cleared) = cleared {
            note("here", cleared);
            self.tell(cleared);
        }
    }

    /// Takes over a fact from elsewhere; returns what this node knows against it.
    pub(crate) fn merge(
        &self,
        source: &str,
        notice: quarantine::SuspectNotice,
    ) -> Option<quarantine::SuspectNotice> {
        let now = clock::now();
        let mut registry = lock(&self.registry);
        let is_new = registry.merge(now, notice);
        let objection = registry.refute(now, notice);
        drop(registry);
        if is_new {
            note(source, notice);
        }
        objection
    }

    /// Takes over what another node knows against a notice of this one; the others hear of it, too.
    fn take_objection(&self, source: &str, objection: quarantine::SuspectNotice) {
        let is_new = lock(&self.registry).merge(clock::now(), objection);
        if is_new {
            note(source, objection);
            self.tell(objection);
        }
    }

    /// Takes over a refusal that stands in the store.
    pub(crate) fn take_item(
        &self,
        fingerprint: quarantine::RequestFingerprint,
        value: &[u8],
    ) -> Result<(), serde_json::Error> {
        let item: RefusalItem = serde_json::from_slice(value)?;
        let left = item.until_ms.saturating_sub(unix_millis());
        let left = left.min(quarantine::QUARANTINE_DURATION.as_millis());
        let remaining = time::Duration::from_millis(left);
        self.merge("store", quarantine::SuspectNotice::Refused { fingerprint, remaining });
        Ok(())
    }

    fn tell(&self, notice: quarantine::SuspectNotice) {
        self.noted.fetch_add(1, Ordering::Relaxed);
        // The receiver lives as long as the board, and the channel has no bound.
        let _ = self.outbox.try_send(notice);
    }

    async fn note_told(self: Arc<SuspectTracker>, count: u64, tasks: Vec<smol::Task<()>>) {
        for task in tasks {
            task.await;
        }
        self.told.fetch_add(count, Ordering::Relaxed);
        self.telling.notify(usize::MAX);
    }

    fn known(&self) -> Vec<quarantine::SuspectNotice> {
        lock(&self.registry).notices(clock::now())
    }

    fn refusals(&self) -> Vec<(quarantine::RequestFingerprint, time::Duration)> {
        lock(&self.registry).refusals(clock::now()).collect()
    }

    fn forget(&self) {
        for fingerprint in lock(&self.registry).tick(clock::now()) {
            meter::suspect("forgotten");
            log::info!(fingerprint:% = fingerprint; "request that may end workers forgotten");
        }
    }
}

/// Logs and counts a fact that is new to this node.
fn note(source: &str, notice: quarantine::SuspectNotice) {
    match notice {
        quarantine::SuspectNotice::InFlight { fingerprint, crash } => {
            meter::suspect("suspected");
            log::info!(
                fingerprint:% = fingerprint, incarnation:% = crash.node, source;
                "request may end workers: it ran when one ended"
            );
        }
        quarantine::SuspectNotice::Refused { fingerprint, remaining } => {
            meter::suspect("refused");
            log::warn!(
                fingerprint:% = fingerprint, refused_us = remaining.0, source;
                "request is refused: workers ended under it"
            );
        }
        quarantine::SuspectNotice::Cleared { fingerprint, crash } => {
            meter::suspect("cleared");
            log::info!(
                fingerprint:% = fingerprint, incarnation:% = crash.node, source;
                "request cleared: it ended well since"
            );
        }
        quarantine::SuspectNotice::Served { fingerprint } => {
            meter::suspect("cleared");
            log::info!(
                fingerprint:% = fingerprint, source; "request cleared: it ends well elsewhere"
            );
        }
    }
}

/// Tells the other nodes and the store.
#[derive(Clone)]
pub(crate) struct SuspectKeeper {
    pub(crate) node: Arc<str>,
    /// Service of the worker beside the node.
    pub(crate) service: Arc<str>,
    pub(crate) store: Arc<dyn items::ItemStore>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) links: peers::PeerLinks,
}

impl SuspectKeeper {
    /// Tells the other nodes until the process ends.
    pub(crate) async fn tell_members(self) {
        let mut runs: HashMap<Arc<str>, u64> = HashMap::new();
        loop {
            let untold = &self.view.suspects.untold;
            let first = clock::timeout(LOOK_INTERVAL, untold.recv()).await;
            let mut notices: Vec<_> = first.and_then(Result::ok).into_iter().collect();
            notices.extend(std::iter::from_fn(|| untold.try_recv().ok()));
            let members = self.members();
            if !notices.is_empty() {
                let tasks = members.iter().flat_map(|member| self.tell(member, &notices));
                let (tasks, board) = (tasks.collect(), Arc::clone(&self.view.suspects));
                smol::spawn(board.note_told(notices.len() as u64, tasks)).detach();
            }
            self.tell_newcomers(&members, &mut runs);
            self.view.suspects.forget();
        }
    }

    /// The other members beside workers of the service.
    fn members(&self) -> Vec<Arc<member::MemberEntry>> {
        let directory = self.view.directory();
        let members = directory.of_service(&self.service).map(|(entry, _)| entry);
        members.filter(|entry| entry.node != self.node).map(Arc::clone).collect()
    }

    /// Members of the service that come before this one.
    fn rank(&self, members: &[Arc<member::MemberEntry>]) -> usize {
        members.iter().filter(|entry| entry.node < self.node).count()
    }

    /// Tells all that is known to members that have started since the last look.
    fn tell_newcomers(
        &self,
        members: &[Arc<member::MemberEntry>],
        runs: &mut HashMap<Arc<str>, u64>,
    ) {
        let is_new = |entry: &&Arc<member::MemberEntry>| runs.get(&entry.node) != Some(&entry.run);
        let newcomers: Vec<_> = members.iter().filter(is_new).cloned().collect();
        runs.extend(newcomers.iter().map(|entry| (Arc::clone(&entry.node), entry.run)));
        runs.retain(|node, _| members.iter().any(|entry| entry.node == *node));
        if newcomers.is_empty() || self.rank(members) >= TELLING {
            return;
        }
        let known = self.view.suspects.known();
        if !known.is_empty() {
            let tasks = newcomers.iter().flat_map(|member| self.tell(member, &known));
            tasks.for_each(smol::Task::detach);
        }
    }

    fn tell(
        &self,
        member: &Arc<member::MemberEntry>,
        notices: &[quarantine::SuspectNotice],
    ) -> Vec<smol::Task<()>> {
        let messages = notices.chunks(MAX_NOTICES).map(|notices| {
            let (keeper, member, notices) = (self.clone(), Arc::clone(member), notices.to_vec());
            smol::spawn(async move {
                if !keeper.tell_once(&member, &notices).await {
                    smol::spawn(keeper.tell_again(member, notices)).detach();
                }
            })
        });
        messages.collect()
    }

    /// `false` if the member can't be reached.
    async fn tell_once(
        &self,
        member: &member::MemberEntry,
        notices: &[quarantine::SuspectNotice],
    ) -> bool {
        let Some(objections) = self.links.send_suspects(member, notices).await else {
            return false;
        };
        objections.into_iter().for_each(|objection| {
            self.view.suspects.take_objection(&member.node, objection);
        });
        true
    }

    async fn tell_again(
        self,
        member: Arc<member::MemberEntry>,
        notices: Vec<quarantine::SuspectNotice>,
    ) {
        for _ in 0..MORE_TELLS {
            clock::sleep(TELL_PAUSE).await;
            if self.tell_once(&member, &notices).await {
                return;
            }
        }
        log::info!(
            peer:% = member.node, notices = notices.len();
            "a node was not told of requests that may end workers"
        );
    }

    /// Keeps the refusals in the store until the process ends.
    pub(crate) async fn keep_items(self) {
        let mut missing: HashMap<quarantine::RequestFingerprint, u32> = HashMap::new();
        loop {
            clock::sleep(STORE_INTERVAL).await;
            let refusals = self.view.suspects.refusals();
            missing.retain(|fingerprint, _| refusals.iter().any(|(known, _)| known == fingerprint));
            let rank = self.rank(&self.members()) as u32;
            for (fingerprint, remaining) in refusals {
                let key = follow::refusal_key(fingerprint);
                if remaining < LEAST_REFUSAL || lock(&self.view.items).contains(&key) {
                    missing.remove(&fingerprint);
                    continue;
                }
                let looks = missing.entry(fingerprint).or_default();
                *looks += 1;
                if *looks <= rank.saturating_mul(LOOKS_PER_RANK) {
                    continue;
                }
                if let Err(error) = self.write(key, remaining).await {
                    log::warn!(
                        fingerprint:% = fingerprint, error:% = error;
                        "refusal of a request not kept in the store"
                    );
                }
            }
        }
    }

    async fn write(
        &self,
        key: Arc<str>,
        remaining: time::Duration,
    ) -> Result<(), items::ItemError> {
        let lease = self.store.open_lease(remaining.to_std()).await?;
        let until_ms = unix_millis() + remaining.as_millis();
        let value = items::encode(&RefusalItem { until_ms })?;
        let transaction = items::ItemTransaction {
            expected: vec![(Arc::clone(&key), 0)],
            writes: vec![items::ItemWrite { key: Arc::clone(&key), value, lease }],
            removals: Vec::new(),
        };
        let commit = self.store.commit(&transaction).await?;
        log::info!(
            key:% = key, was_first = matches!(commit, items::ItemCommit::Done(_));
            "refusal of a request kept in the store"
        );
        Ok(())
    }
}
