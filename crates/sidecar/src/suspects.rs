//! Tracking and replication of requests that crash the workers that run them.
//!
//! The nodes beside the workers of a service notify one another of the requests that ran when a
//! worker crashed, since only these nodes dispatch requests to the workers. Refusals are also
//! written to the store, for nodes that start later and for nodes of other services.

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

/// Longest wait for the delivery of crash notices before the affected requests are retried.
const NOTICE_DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(350);
/// Further attempts to send notices to an unreachable node. Connections to a node that has just
/// started fail until its certificate is known, and short network failures end by themselves.
const NOTICE_RETRIES: u32 = 4;
/// Delay before each further attempt.
const NOTICE_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Longest time between two checks for members that have just started.
const MEMBER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between two checks for refusals that aren't in the store. The first check is late enough
/// for refutations from other nodes to arrive before it.
const STORE_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Shortest remaining time of a refusal that is written to the store. Longer ones are still in
/// force at the following checks.
const MIN_STORED_REFUSAL: time::Duration = time::Duration::from_secs(10);
/// Number of checks that each member waits per member ranked before it, so that the members take
/// turns at writing a missing refusal.
const CHECKS_PER_RANK: u32 = 2;
/// Number of members that send all active notices to one that has just started.
const NEW_MEMBER_SENDERS: usize = 2;
/// Largest number of notices in one message. A notice takes about 35 bytes, and a frame has 64 KiB.
const MAX_NOTICES_PER_MESSAGE: usize = 1_000;

/// Returns the identifier of a worker incarnation, which is the same at every node.
pub(crate) fn incarnation_id(worker: &member::WorkerName) -> ident::IncarnationId {
    ident::IncarnationId(xxh3::xxh3_64(worker.0.as_bytes()))
}

/// Returns the identifier of the crash of an incarnation.
pub(crate) fn crash_id(worker: ident::IncarnationId) -> quarantine::CrashId {
    quarantine::CrashId { node: worker, sequence: 0 }
}

/// A refusal as stored.
#[derive(Debug, Serialize, Deserialize)]
struct RefusalItem {
    /// End of the refusal, as Unix time in milliseconds.
    until_ms: u64,
}

fn unix_millis() -> u64 {
    let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The requests that may crash workers, as known to this node.
#[derive(Debug)]
pub(crate) struct SuspectTracker {
    registry: Mutex<quarantine::SuspectRegistry>,
    /// Notices that are queued for the other nodes.
    notice_sender: channel::Sender<quarantine::SuspectNotice>,
    notice_receiver: channel::Receiver<quarantine::SuspectNotice>,
    /// Number of notices queued so far.
    queued_notices: AtomicU64,
    /// Number of notices whose delivery has been attempted at every member.
    delivered_notices: AtomicU64,
    /// Notified when `delivered_notices` grows.
    delivery: Event,
}

impl Default for SuspectTracker {
    fn default() -> SuspectTracker {
        let (notice_sender, notice_receiver) = channel::unbounded();
        SuspectTracker {
            registry: Mutex::default(),
            notice_sender,
            notice_receiver,
            queued_notices: AtomicU64::new(0),
            delivered_notices: AtomicU64::new(0),
            delivery: Event::new(),
        }
    }
}

impl SuspectTracker {
    /// Returns the crash that a request may have caused, if any; such a suspect runs on one worker
    /// at a time. Fails if the request is refused because two workers crashed while running it.
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
                    "request refused: workers crashed while running requests like it"
                );
                let failure = RequestFailure::not_run(FailureCause::CrashesWorkers);
                Err(failure.with_retry_after(remaining))
            }
        }
    }

    /// Returns whether a request is suspected or refused.
    pub(crate) fn is_suspected(&self, fingerprint: quarantine::RequestFingerprint) -> bool {
        let decision = lock(&self.registry).decide(clock::now(), fingerprint);
        decision != quarantine::SuspectDecision::Pass
    }

    /// Records the requests that ran when an incarnation crashed.
    pub(crate) fn record_crash(
        &self,
        worker: ident::IncarnationId,
        runs: &[quarantine::RequestFingerprint],
    ) {
        let crash = crash_id(worker);
        let notices = lock(&self.registry).record_crash(clock::now(), crash, runs);
        for notice in notices {
            record_notice("here", notice);
            self.queue_notice(notice);
        }
    }

    /// Waits until the notices queued before the call have been sent to all reachable members, for
    /// at most `NOTICE_DELIVERY_TIMEOUT`.
    pub(crate) async fn await_delivery(&self) {
        let end = clock::now() + NOTICE_DELIVERY_TIMEOUT;
        let queued = self.queued_notices.load(Ordering::Relaxed);
        while self.delivered_notices.load(Ordering::Relaxed) < queued {
            let changed = self.delivery.listen();
            if self.delivered_notices.load(Ordering::Relaxed) < queued
                && clock::timeout_at(end, changed).await.is_none()
            {
                return;
            }
        }
    }

    /// Records a complete response of a worker.
    pub(crate) fn record_completion(&self, run: runs::SentRun) {
        let cleared = lock(&self.registry).record_completion(run.sent, run.fingerprint);
        if let Some(cleared) = cleared {
            record_notice("here", cleared);
            self.queue_notice(cleared);
        }
    }

    /// Merges a notice from `source`; returns a notice that refutes it, if this node has one.
    pub(crate) fn merge(
        &self,
        source: &str,
        notice: quarantine::SuspectNotice,
    ) -> Option<quarantine::SuspectNotice> {
        let now = clock::now();
        let mut registry = lock(&self.registry);
        let is_new = registry.merge(now, notice);
        let refutation = registry.refute(now, notice);
        drop(registry);
        if is_new {
            record_notice(source, notice);
        }
        refutation
    }

    /// Merges another node's refutation of a notice, and forwards it to the other members if it is
    /// new.
    fn merge_refutation(&self, source: &str, refutation: quarantine::SuspectNotice) {
        let is_new = lock(&self.registry).merge(clock::now(), refutation);
        if is_new {
            record_notice(source, refutation);
            self.queue_notice(refutation);
        }
    }

    /// Merges a refusal read from the store.
    pub(crate) fn merge_refusal(
        &self,
        fingerprint: quarantine::RequestFingerprint,
        value: &[u8],
    ) -> Result<(), serde_json::Error> {
        let item: RefusalItem = serde_json::from_slice(value)?;
        let remaining_ms = item.until_ms.saturating_sub(unix_millis());
        let remaining_ms = remaining_ms.min(quarantine::QUARANTINE_DURATION.as_millis());
        let remaining = time::Duration::from_millis(remaining_ms);
        self.merge("store", quarantine::SuspectNotice::Refused { fingerprint, remaining });
        Ok(())
    }

    fn queue_notice(&self, notice: quarantine::SuspectNotice) {
        self.queued_notices.fetch_add(1, Ordering::Relaxed);
        // Can't fail: the receiver lives as long as the tracker, and the channel is unbounded.
        let _ = self.notice_sender.try_send(notice);
    }

    async fn record_delivery(self: Arc<SuspectTracker>, count: u64, tasks: Vec<smol::Task<()>>) {
        for task in tasks {
            task.await;
        }
        self.delivered_notices.fetch_add(count, Ordering::Relaxed);
        self.delivery.notify(usize::MAX);
    }

    fn active_notices(&self) -> Vec<quarantine::SuspectNotice> {
        lock(&self.registry).notices(clock::now())
    }

    fn refusals(&self) -> Vec<(quarantine::RequestFingerprint, time::Duration)> {
        lock(&self.registry).refusals(clock::now()).collect()
    }

    fn remove_expired(&self) {
        for fingerprint in lock(&self.registry).tick(clock::now()) {
            meter::count_suspect_event("forgotten");
            log::info!(fingerprint:% = fingerprint; "suspect or refused request expired");
        }
    }
}

/// Logs and counts a notice that is new to this node.
fn record_notice(source: &str, notice: quarantine::SuspectNotice) {
    match notice {
        quarantine::SuspectNotice::InFlight { fingerprint, crash } => {
            meter::count_suspect_event("suspected");
            log::info!(
                fingerprint:% = fingerprint, incarnation:% = crash.node, source;
                "request suspected: it ran when a worker crashed"
            );
        }
        quarantine::SuspectNotice::Refused { fingerprint, remaining } => {
            meter::count_suspect_event("refused");
            log::warn!(
                fingerprint:% = fingerprint, refused_us = remaining.0, source;
                "request refused from now on: workers crashed while running it"
            );
        }
        quarantine::SuspectNotice::Cleared { fingerprint, crash } => {
            meter::count_suspect_event("cleared");
            log::info!(
                fingerprint:% = fingerprint, incarnation:% = crash.node, source;
                "request cleared: it has completed since the crash"
            );
        }
        quarantine::SuspectNotice::Served { fingerprint } => {
            meter::count_suspect_event("cleared");
            log::info!(
                fingerprint:% = fingerprint, source; "request cleared: it completes at another node"
            );
        }
    }
}

/// Sends notices to the other members and writes refusals to the store.
#[derive(Clone)]
pub(crate) struct SuspectReplicator {
    pub(crate) node: Arc<str>,
    /// Service of the worker beside the node.
    pub(crate) service: Arc<str>,
    pub(crate) store: Arc<dyn items::ItemStore>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) links: peers::PeerLinks,
}

impl SuspectReplicator {
    /// Sends queued notices to the other members until the process ends.
    pub(crate) async fn send_notices_to_members(self) {
        let mut runs: HashMap<Arc<str>, u64> = HashMap::new();
        loop {
            let receiver = &self.view.suspects.notice_receiver;
            let first = clock::timeout(MEMBER_CHECK_INTERVAL, receiver.recv()).await;
            let mut notices: Vec<_> = first.and_then(Result::ok).into_iter().collect();
            notices.extend(std::iter::from_fn(|| receiver.try_recv().ok()));
            let members = self.members();
            if !notices.is_empty() {
                let tasks = members.iter().flat_map(|member| self.send_notices(member, &notices));
                let (tasks, tracker) = (tasks.collect(), Arc::clone(&self.view.suspects));
                smol::spawn(tracker.record_delivery(notices.len() as u64, tasks)).detach();
            }
            self.send_notices_to_new_members(&members, &mut runs);
            self.view.suspects.remove_expired();
        }
    }

    /// Returns the other members beside workers of the service.
    fn members(&self) -> Vec<Arc<member::MemberEntry>> {
        let directory = self.view.directory();
        let members = directory.by_service(&self.service).map(|(entry, _)| entry);
        members.filter(|entry| entry.node != self.node).map(Arc::clone).collect()
    }

    /// Returns the number of members of the service that come before this one.
    fn rank(&self, members: &[Arc<member::MemberEntry>]) -> usize {
        members.iter().filter(|entry| entry.node < self.node).count()
    }

    /// Sends all active notices to members that have started since the last check.
    fn send_notices_to_new_members(
        &self,
        members: &[Arc<member::MemberEntry>],
        runs: &mut HashMap<Arc<str>, u64>,
    ) {
        let has_started =
            |entry: &&Arc<member::MemberEntry>| runs.get(&entry.node) != Some(&entry.run);
        let new_members: Vec<_> = members.iter().filter(has_started).cloned().collect();
        runs.extend(new_members.iter().map(|entry| (Arc::clone(&entry.node), entry.run)));
        runs.retain(|node, _| members.iter().any(|entry| entry.node == *node));
        if new_members.is_empty() || self.rank(members) >= NEW_MEMBER_SENDERS {
            return;
        }
        let notices = self.view.suspects.active_notices();
        if !notices.is_empty() {
            let tasks = new_members.iter().flat_map(|member| self.send_notices(member, &notices));
            tasks.for_each(smol::Task::detach);
        }
    }

    fn send_notices(
        &self,
        member: &Arc<member::MemberEntry>,
        notices: &[quarantine::SuspectNotice],
    ) -> Vec<smol::Task<()>> {
        let messages = notices.chunks(MAX_NOTICES_PER_MESSAGE).map(|notices| {
            let (replicator, member, notices) =
                (self.clone(), Arc::clone(member), notices.to_vec());
            smol::spawn(async move {
                if !replicator.send_once(&member, &notices).await {
                    smol::spawn(replicator.retry_send(member, notices)).detach();
                }
            })
        });
        messages.collect()
    }

    /// Sends notices once and merges the refutations in the reply; returns `false` if the member
    /// can't be reached.
    async fn send_once(
        &self,
        member: &member::MemberEntry,
        notices: &[quarantine::SuspectNotice],
    ) -> bool {
        let Some(refutations) = self.links.send_suspects(member, notices).await else {
            return false;
        };
        refutations.into_iter().for_each(|refutation| {
            self.view.suspects.merge_refutation(&member.node, refutation);
        });
        true
    }

    async fn retry_send(
        self,
        member: Arc<member::MemberEntry>,
        notices: Vec<quarantine::SuspectNotice>,
    ) {
        for _ in 0..NOTICE_RETRIES {
            clock::sleep(NOTICE_RETRY_DELAY).await;
            if self.send_once(&member, &notices).await {
                return;
            }
        }
        log::info!(
            peer:% = member.node, notices = notices.len();
            "suspect notices not delivered to a node"
        );
    }

    /// Writes refusals that are missing from the store, until the process ends.
    pub(crate) async fn store_refusals(self) {
        let mut missing: HashMap<quarantine::RequestFingerprint, u32> = HashMap::new();
        loop {
            clock::sleep(STORE_CHECK_INTERVAL).await;
            let refusals = self.view.suspects.refusals();
            missing.retain(|fingerprint, _| refusals.iter().any(|(known, _)| known == fingerprint));
            let rank = self.rank(&self.members()) as u32;
            for (fingerprint, remaining) in refusals {
                let key = follow::refusal_key(fingerprint);
                if remaining < MIN_STORED_REFUSAL || lock(&self.view.items).contains(&key) {
                    missing.remove(&fingerprint);
                    continue;
                }
                let checks = missing.entry(fingerprint).or_default();
                *checks += 1;
                if *checks <= rank.saturating_mul(CHECKS_PER_RANK) {
                    continue;
                }
                if let Err(error) = self.write_refusal(key, remaining).await {
                    log::warn!(
                        fingerprint:% = fingerprint, error:% = error;
                        "refusal of a request not written to the store"
                    );
                }
            }
        }
    }

    async fn write_refusal(
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
            key:% = key, was_first = matches!(commit, items::CommitOutcome::Committed(_));
            "refusal of a request is in the store"
        );
        Ok(())
    }
}
