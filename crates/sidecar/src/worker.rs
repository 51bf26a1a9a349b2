//! The worker beside the node: what it reported, what it holds, its slots and connections.

use std::collections::HashMap;
use std::net;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use cornelridge_fleet::admission;
use cornelridge_fleet::grant;
use cornelridge_fleet::link;
use cornelridge_fleet::member;
use cornelridge_fleet::rates;
use cornelridge_fleet::registration;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::runs;
use cornelridge_wire::generated;
use event_listener::{Event, EventListener};
use futures_lite::future;
use smol::channel;
use smol::lock::{Mutex as AsyncMutex, MutexGuardArc};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::connections;
use crate::failure::{FailureCause, RequestFailure};
use crate::meter;
use crate::request;
use crate::sending;
use crate::settings;
use crate::shutdown;
use crate::suspects;
use crate::view::lock;

/// Time between two looks at the queue.
const QUEUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time between two looks at a worker that doesn't report.
const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Silence after which a worker is looked at: one missed report.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(1_000);

/// Pause between two looks whether a worker that broke off still listens: a process that ends may
/// close its connections a moment before its port.
const LISTEN_CHECK_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Looks before a worker that broke off counts as going on.
const LISTEN_CHECKS: u32 = 3;

/// What a waiting request is told.
type AdmissionResult = Result<(), admission::AdmissionRefusal>;

/// The worker beside the node.
#[derive(Debug)]
pub(crate) struct LocalWorker {
    /// Address of the worker.
    pub(crate) address: net::SocketAddr,
    /// Connections to it.
    pub(crate) pool: Arc<connections::ConnectionPool>,
    drain: time::Duration,
    grants: Mutex<grant::WorkerGrants>,
    registration: Mutex<registration::EntryRegistration>,
    queue: Mutex<admission::AdmissionQueue>,
    /// The way of large answers out of this machine.
    pub(crate) pacer: Arc<sending::ResponsePacer>,
    /// Requests that were refused because of the link.
    link_refusals: AtomicU64,
    rates: Mutex<rates::KeyRates>,
    waiting: Mutex<HashMap<admission::AdmissionKey, channel::Sender<AdmissionResult>>>,
    /// Identifiers of the requests at the worker, and how many there are of each.
    running: Mutex<HashMap<Arc<str>, usize>>,
    /// What the worker runs, for the case that it ends.
    runs: Mutex<runs::RunTracker>,
    /// Requests that may end workers.
    suspects: Arc<suspects::SuspectTracker>,
    /// Held by the request that may end the worker and runs now.
    suspect_lock: Arc<AsyncMutex<()>>,
    /// Requests that hold it or wait for it.
    suspect_count: AtomicUsize,
    /// When the last looks whether the worker had ended began; held during them.
    last_listen_check: AsyncMutex<time::Instant>,
    next_key: AtomicU64,
    /// Whether the node takes no more requests for the worker.
    is_closed: AtomicBool,
    /// When the node ends.
    end: shutdown::ShutdownDeadline,
    changed: Event,
}

/// A slot of the worker, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    local_worker: Arc<LocalWorker>,
    key: admission::AdmissionKey,
    request: Arc<str>,
    started: time::Instant,
    is_finished: bool,
}

impl LocalWorker {
    pub(crate) fn new(
        settings: &settings::SidecarSettings,
        end: shutdown::ShutdownDeadline,
        pacer: Arc<sending::ResponsePacer>,
        suspects: Arc<suspects::SuspectTracker>,
    ) -> LocalWorker {
        let now = clock::now();
        let address = settings.worker;
        LocalWorker {
            address,
            pool: connections::ConnectionPool::new(address),
            drain: settings.drain,
            grants: Mutex::new(grant::WorkerGrants::new(Arc::clone(&settings.node), now)),
            pacer,
            link_refusals: AtomicU64::new(0),
            registration: Mutex::default(),
            queue: Mutex::new(admission::AdmissionQueue::new(now)),
            rates: Mutex::new(rates::KeyRates::new(now)),
            waiting: Mutex::default(),
            running: Mutex::default(),
            runs: Mutex::new(runs::RunTracker::new()),
            suspects,
            suspect_lock: Arc::default(),
            suspect_count: AtomicUsize::new(0),
            last_listen_check: AsyncMutex::new(time::Instant(0)),
            next_key: AtomicU64::new(1),
            is_closed: AtomicBool::new(false),
            end,
            changed: Event::new(),
        }
    }

    /// Grants and reports.
    pub(crate) fn grants(&self) -> MutexGuard<'_, grant::WorkerGrants> {
        lock(&self.grants)
    }

    /// How long grants may run.
    pub(crate) fn registration(&self) -> MutexGuard<'_, registration::EntryRegistration> {
        lock(&self.registration)
    }

    /// Completes when a worker has come or gone, or grants have changed.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes those who wait for a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Takes no more requests, because the node stops.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Requests that run or wait, and answers that wait for the link.
    pub(crate) fn in_flight(&self) -> usize {
        let load = self.load("");
        (load.running + load.queued) as usize + self.pacer.with_queue(link::LinkQueue::unfinished)
    }

    /// Load as others may know it.
    pub(crate) fn load(&self, route: &str) -> admission::QueueLoad {
        let queue = lock(&self.queue);
        let load = queue.load(clock::now(), route);
        let sending =
            self.pacer.with_queue(|link| link.large_delay(queue.routes(), load.expected_latency));
        admission::QueueLoad { sending_time: sending, ..load }
    }

    /// Time that the answer to a request will take to reach its caller once it is ready.
    fn sending_time(&self, request: &request::FleetRequest) -> time::Duration {
        // Most answers are short, and the gate goes through its queue to tell when one is ready.
        let route = &request.route;
        if !self.pacer.with_queue(|link| link.expects_large(route)) {
            return time::Duration::ZERO;
        }
        let queue = lock(&self.queue);
        let ready = queue.load(clock::now(), route).expected_latency;
        let links = if request.is_local { 1 } else { 2 };
        self.pacer.with_queue(|link| link.delay(route, links, queue.routes(), ready))
    }

    /// Requests that were refused since the start because of the link.
    pub(crate) fn link_refusals(&self) -> u64 {
        self.link_refusals.load(Ordering::Relaxed)
    }

    /// Whether the worker runs a request with this identifier.
    pub(crate) fn is_running(&self, id: &str) -> bool {
        lock(&self.running).contains_key(id)
    }

    /// Counts a request for a key.
    pub(crate) fn record_key_request(&self, key: u16) {
        lock(&self.rates).record(clock::now(), key);
    }

    /// Load of the ranges that the worker holds, for the node that plans.
    pub(crate) fn load_answer(&self) -> generated::LoadAnswer {
        let now = clock::now();
        let grants = self.grants();
        let Some(report) = grants.current_report() else { return generated::LoadAnswer::default() };
        let (service, worker) = (report.service.to_string(), report.name.0.to_string());
        let range_rates = lock(&self.rates).range_rates(now, grants.granted());
        let ranges = range_rates.into_iter().map(|rate| generated::RangeLoad {
            first: u32::from(rate.first),
            rate: rate.rate,
            middle: rate.split_after.map(u32::from),
        });
        let ranges = ranges.collect();
        drop(grants);
        let capacity = lock(&self.queue).capacity();
        generated::LoadAnswer { service, worker, capacity, ranges }
    }

    /// Another incarnation of the worker runs.
    pub(crate) fn handle_restart(&self, slots: u32) {
        self.pool.clear();
        let actions = lock(&self.queue).restart(clock::now(), slots);
        self.apply(actions);
        self.notify();
    }

    /// The worker says how many requests it runs at once.
    pub(crate) fn set_slots(&self, slots: u32) {
        let actions = lock(&self.queue).set_slots(clock::now(), slots);
        self.apply(actions);
    }

    /// The worker has ended: what waits for it is refused.
    pub(crate) fn handle_end(&self) {
        self.pool.clear();
        let actions = lock(&self.queue).clear();
        self.apply(actions);
        self.notify();
    }

    /// Checks that a request may go to this incarnation of the worker.
    pub(crate) fn check(
        &self,
        worker: &member::WorkerName,
        request: &request::FleetRequest,
    ) -> Result<(), RequestFailure> {
        self.end.check(request.deadline)?;
        let grants = self.grants();
        let known = grants.current_report().filter(|report| report.name == *worker);
        if known.is_none_or(|report| report.service != request.service) {
            return Err(RequestFailure::not_run(FailureCause::WorkerGone));
        }
        let leaving_since = grants.leaving_since();
        drop(grants);
        if self.is_closed.load(Ordering::Relaxed) {
            return Err(RequestFailure::not_run(FailureCause::WorkerLeaving));
        }
        // Half of the time is left for what has passed this check to reach the worker.
        let limit = time::Duration(self.drain.0 / 2);
        let is_past_limit = leaving_since.is_some_and(|since| clock::now().since(since) > limit);
        match is_past_limit {
            true => Err(RequestFailure::not_run(FailureCause::WorkerLeaving)),
            false => Ok(()),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn admit(
        self: &Arc<LocalWorker>,
        request: &request::FleetRequest,
        cancellation: &CancellationToken,
    ) -> Result<SlotPermit, RequestFailure> {
        let arrived = clock::now();
        let key = admission::AdmissionKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        let admission = request.to_admission(self.sending_time(request));
        let (sender, receiver) = channel::bounded(1);
        lock(&self.waiting).insert(key, sender);
        // Dropped early, it takes the request out of the queue.
        let mut permit = SlotPermit::new(self, key, &request.id, arrived);
        let decision = lock(&self.queue).offer(arrived, key, admission);
        let result = match decision {
            admission::AdmissionDecision::Run => Ok(()),
            admission::AdmissionDecision::Refuse(refusal) => Err(refusal),
            admission::AdmissionDecision::Wait => {
                let wait = async { Ok(receiver.recv().await) };
                let wait = future::or(cancelled_before_send(cancellation), wait).await?;
                wait.unwrap_or(Err(admission::AdmissionRefusal {
                    reason: admission::RefusalReason::Slots,
                    expected_wait: time::Duration::ZERO,
                    retry_after: time::Duration::ZERO,
                }))
            }
        };
        lock(&self.waiting).remove(&key);
        permit.started = clock::now();
        meter::queued(&request.service, permit.started.since(arrived));
        result.map(|()| permit).map_err(|refusal| {
            meter::refused(&request.route, refusal.reason);
            if refusal.reason == admission::RefusalReason::Link {
                self.link_refusals.fetch_add(1, Ordering::Relaxed);
            }
            log::info!(
                request:% = request.id, wait_us = refusal.expected_wait.0, route:% = request.route,
                reason:% = refusal.reason,
                key:? = request.key, target_us = request.target.since(clock::now()).0,
                deadline_us = request.deadline.since(clock::now()).0,
                priority = request.priority;
                "refused: no slot in time"
            );
            RequestFailure::not_run(FailureCause::Overloaded).with_retry_after(refusal.retry_after)
        })
    }

    fn apply(&self, actions: Vec<admission::AdmissionAction>) {
        let mut waiting = lock(&self.waiting);
        for action in actions {
            let (key, result) = match action {
                admission::AdmissionAction::Run(key) => (key, Ok(())),
                admission::AdmissionAction::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(sender) = waiting.remove(&key) {
                // A receiver that has left gives its slot back by itself.
                let _ = sender.try_send(result);
            }
        }
    }

    fn finish(&self, key: admission::AdmissionKey, end: admission::FinishOutcome) {
        let actions = lock(&self.queue).finish(clock::now(), key, end);
        self.apply(actions);
    }

    /// Refuses what waits in vain.
    pub(crate) async fn watch_queue(self: Arc<LocalWorker>) {
        loop {
            let is_idle = lock(&self.waiting).is_empty();
            clock::sleep(if is_idle {
                time::Duration(QUEUE_CHECK_INTERVAL.0 * 3)
            } else {
                QUEUE_CHECK_INTERVAL
            })
            .await;
            if !is_idle {
                let actions = lock(&self.queue).tick(clock::now());
                self.apply(actions);
            }
        }
    }

    /// Notices the end of a worker that doesn't report any more.
    pub(crate) async fn watch_silence(self: Arc<LocalWorker>) {
        loop {
            clock::sleep(SILENCE_CHECK_INTERVAL).await;
            let is_silent = {
                let grants = self.grants();
                grants.current_report().is_some() && grants.silence(clock::now()) > MAX_SILENCE
            };
            if is_silent {
                self.check_listening().await;
            }
        }
    }

    /// Connects to the worker once to see whether it has ended; `false` if it refuses connections.
    async fn check_listening(&self) -> bool {
        let is_listening = connections::is_listening(self.address).await;
        match is_listening {
            true => self.grants().connection_accepted(),
            false => self.record_refused_connection(),
        }
        is_listening
    }

    /// Whether an incarnation that broke off a request has ended. Requests that broke off together
    /// share the looks.
    pub(crate) async fn check_ended(&self, worker: &member::WorkerName) -> bool {
        let disconnected_at = clock::now();
        let incarnation = suspects::incarnation_id(worker);
        let mut last_listen_check = self.last_listen_check.lock().await;
        if lock(&self.runs).has_ended(incarnation) {
            return true;
        }
        if *last_listen_check > disconnected_at {
            return false;
        }
        *last_listen_check = clock::now();
        for attempt in 0..LISTEN_CHECKS {
            if attempt > 0 {
                clock::sleep(LISTEN_CHECK_PAUSE).await;
            }
            if !self.check_listening().await {
                let is_leaving = self.grants().leaving_since().is_some();
                self.record_end(worker, is_leaving, "it refuses connections");
                self.suspects.await_delivery().await;
                return lock(&self.runs).has_ended(incarnation);
            }
        }
        false
    }

    /// An incarnation has ended; notes what it ran unless it was leaving.
    pub(crate) fn record_end(
        &self,
        worker: &member::WorkerName,
        was_leaving: bool,
        evidence: &str,
    ) {
        let mut tracker = lock(&self.runs);
        if was_leaving {
            return tracker.clear();
        }
        let runs = tracker
            .worker_ended(clock::now(), suspects::incarnation_id(worker))
            .unwrap_or_default();
        drop(tracker);
        if runs.is_empty() {
            return;
        }
        meter::worker_ended();
        let fingerprints: Vec<String> = runs.iter().map(ToString::to_string).collect();
        log::warn!(
            worker:% = worker, evidence, requests = runs.len(),
            fingerprints:% = fingerprints.join(" "); "the worker ended while it ran requests"
        );
        self.suspects.record_crash(suspects::incarnation_id(worker), &runs);
    }

    /// Waits until a request that may end the worker is the only such one that runs; `None` if it is
    /// cleared by then.
    pub(crate) async fn admit_suspect(
        self: &Arc<LocalWorker>,
        request: &request::FleetRequest,
        cancellation: &CancellationToken,
    ) -> Result<Option<SuspectPermit>, RequestFailure> {
        let not_admitted = || RequestFailure::not_run(FailureCause::Suspect);
        let others = self.suspect_count.fetch_add(1, Ordering::Relaxed);
        let mut permit = SuspectPermit { local_worker: Arc::clone(self), guard: None };
        let expected = self.load(&request.route).expected_latency;
        let end = clock::now() + expected.saturating_mul(others as u64 + 1);
        if others > 0 && end > request.target {
            return Err(not_admitted().with_retry_after(expected));
        }
        let guard =
            async { Ok(clock::timeout_at(request.target, self.suspect_lock.lock_arc()).await) };
        let guard = future::or(cancelled_before_send(cancellation), guard).await?;
        permit.guard = Some(guard.ok_or_else(not_admitted)?);
        Ok(self.suspects.check(request)?.map(|_| permit))
    }

    /// Notes that a request is being sent.
    pub(crate) fn record_sent(
        &self,
        permit: &SlotPermit,
        worker: &member::WorkerName,
        fingerprint: quarantine::RequestFingerprint,
    ) {
        let (worker, sent) = (suspects::incarnation_id(worker), clock::now());
        lock(&self.runs).sent(permit.run_key(), runs::SentRun { fingerprint, worker, sent });
    }

    /// The worker refused a connection, which may show that it has ended.
    pub(crate) fn record_refused_connection(&self) {
        if self.grants().connection_refused(clock::now()) {
            log::warn!(address:% = self.address; "the worker has ended: it refuses connections");
            self.handle_end();
        }
    }
}

/// Completes with a failure when the caller has left.
pub(crate) async fn cancelled_before_send<T>(
    cancellation: &CancellationToken,
) -> Result<T, RequestFailure> {
    cancellation.cancelled().await;
    Err(RequestFailure::not_run(FailureCause::CallerLeft))
}

/// The turn of a request that may end the worker, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct SuspectPermit {
    local_worker: Arc<LocalWorker>,
    guard: Option<MutexGuardArc<()>>,
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.guard = None;
        self.local_worker.suspect_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotPermit {
    fn new(
        local_worker: &Arc<LocalWorker>,
        key: admission::AdmissionKey,
        request: &Arc<str>,
        now: time::Instant,
    ) -> SlotPermit {
        *lock(&local_worker.running).entry(Arc::clone(request)).or_default() += 1;
        let (local_worker, request) = (Arc::clone(local_worker), Arc::clone(request));
        SlotPermit { local_worker, key, request, started: now, is_finished: false }
    }

    /// When the request got the slot.
    pub(crate) fn started(&self) -> time::Instant {
        self.started
    }

    fn run_key(&self) -> runs::RunKey {
        runs::RunKey(self.key.0)
    }

    /// The worker did not run the request.
    pub(crate) fn mark_not_run(&self) {
        lock(&self.local_worker.runs).not_run(self.run_key());
    }

    /// The worker has answered.
    pub(crate) fn finish(mut self, is_complete: bool) {
        self.is_finished = true;
        let run =
            if is_complete { lock(&self.local_worker.runs).answered(self.run_key()) } else { None };
        if let Some(run) = run {
            self.local_worker.suspects.record_success(run);
        }
        let end = match is_complete {
            true => admission::FinishOutcome::Served(clock::now().since(self.started)),
            false => admission::FinishOutcome::Failed,
        };
        self.local_worker.finish(self.key, end);
    }

    /// The worker had no room.
    pub(crate) fn shed(mut self) {
        self.is_finished = true;
        self.local_worker.finish(self.key, admission::FinishOutcome::Shed);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let mut running = lock(&self.local_worker.running);
        if let Some(count) = running.get_mut(&self.request) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.request);
            }
        }
        drop(running);
        lock(&self.local_worker.runs).interrupted(clock::now(), self.run_key());
        if self.is_finished {
            return;
        }
        lock(&self.local_worker.waiting).remove(&self.key);
        let actions = lock(&self.local_worker.queue).cancel(clock::now(), self.key);
        self.local_worker.apply(actions);
    }
}
