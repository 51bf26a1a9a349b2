//! State of the worker beside the node: its reports, grants, slots and connections.

mod admit;
mod calls;
mod permit;
mod warm_up;

use std::collections::{BTreeMap, HashMap};
use std::net;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use cornelridge_fleet::admission;
use cornelridge_fleet::answer_share;
use cornelridge_fleet::call_load;
use cornelridge_fleet::grant;
use cornelridge_fleet::link;
use cornelridge_fleet::member;
use cornelridge_fleet::rates;
use cornelridge_fleet::registration;
use cornelridge_fleet::route_usage;
use cornelridge_fleet::worker_speed;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::runs;
use cornelridge_wire::generated;
use event_listener::{Event, EventListener};
use smol::channel;
use smol::lock::Mutex as AsyncMutex;

use crate::clock;
use crate::connections;
use crate::failure::{FailureCause, RequestFailure};
use crate::meter;
use crate::pacing;
use crate::request;
use crate::settings;
use crate::shutdown;
use crate::suspects;
use crate::view;
use crate::view::lock;

pub(crate) use admit::cancelled_before_send;
pub(crate) use permit::{SlotPermit, SuspectPermit};
pub(crate) use warm_up::CheckResult;

/// Time between two checks of the queue while requests wait.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time between two checks for a worker that has stopped reporting.
const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without a report after which the node probes whether the worker listens; one missed report.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(1_000);

/// Interval between two probes of a worker that closed a connection without a response. A process
/// that exits may close its connections shortly before its listening socket.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Number of successful probes after which such a worker counts as running.
const PROBE_COUNT: u32 = 3;

/// Result for a request that waits for admission.
type AdmissionResult = Result<(), admission::AdmissionRefusal>;

/// State of the worker beside the node.
#[derive(Debug)]
pub(crate) struct LocalWorker {
    /// Name of the node.
    node: Arc<str>,
    /// Address of the worker.
    pub(crate) address: net::SocketAddr,
    /// Connections to the worker.
    pub(crate) pool: Arc<connections::ConnectionPool>,
    /// Connections for grant calls. One of them stays open, so that its end shows the end of the
    /// worker.
    pub(crate) call_pool: Arc<connections::ConnectionPool>,
    drain: time::Duration,
    grants: Mutex<grant::WorkerGrants>,
    registration: Mutex<registration::EntryRegistration>,
    queue: Mutex<admission::AdmissionQueue>,
    /// Whether scarce room is shared between requests and calls.
    pub(crate) shares_room: bool,
    warm_up: warm_up::WarmUpControl,
    /// Paces large responses that leave this machine.
    pub(crate) pacer: Arc<pacing::ResponsePacer>,
    /// Share of requests that the worker leaves unanswered.
    answers: Mutex<answer_share::AnswerShare>,
    /// Number of requests that were refused because of the link.
    link_refusals: AtomicU64,
    rates: Mutex<rates::KeyRates>,
    waiting: Mutex<HashMap<admission::AdmissionKey, channel::Sender<AdmissionResult>>>,
    /// Admitted or queued requests by request identifier.
    running: Mutex<BTreeMap<Arc<str>, permit::RunningRequest>>,
    /// Calls that the worker makes for its requests.
    call_load: Mutex<call_load::CallLoad>,
    /// Number of admitted or queued requests by key.
    running_keys: Mutex<BTreeMap<u16, usize>>,
    /// Requests that were sent to the worker, from which those that ran at a crash are determined.
    runs: Mutex<runs::RunTracker>,
    /// Requests that may crash workers.
    suspects: Arc<suspects::SuspectTracker>,
    /// Held by the suspect request that runs.
    suspect_lock: Arc<AsyncMutex<()>>,
    /// Number of requests that hold `suspect_lock` or wait for it.
    suspect_count: AtomicUsize,
    /// Start of the last probes after a lost connection; locked while they run.
    last_probe: AsyncMutex<time::Instant>,
    next_key: AtomicU64,
    /// Whether the node accepts no more requests for the worker.
    is_closed: AtomicBool,
    /// Time at which a stopping node ends.
    shutdown_deadline: shutdown::ShutdownDeadline,
    changed: Event,
}

impl LocalWorker {
    pub(crate) fn new(
        settings: &settings::SidecarSettings,
        shutdown_deadline: shutdown::ShutdownDeadline,
        pacer: Arc<pacing::ResponsePacer>,
        suspects: Arc<suspects::SuspectTracker>,
    ) -> LocalWorker {
        let now = clock::now();
        let address = settings.worker;
        let node = Arc::clone(&settings.node);
        let grants = grant::WorkerGrants::new(Arc::clone(&node), settings.grant_delivery, now);
        let mut queue = admission::AdmissionQueue::new(now);
        queue.set_room_sharing(settings.shares_room);
        LocalWorker {
            node,
            address,
            pool: connections::ConnectionPool::new(address, settings.memory_bytes.is_some()),
            call_pool: connections::ConnectionPool::new(address, settings.memory_bytes.is_some()),
            drain: settings.drain,
            grants: Mutex::new(grants),
            pacer,
            answers: Mutex::default(),
            link_refusals: AtomicU64::new(0),
            registration: Mutex::default(),
            queue: Mutex::new(queue),
            shares_room: settings.shares_room,
            warm_up: warm_up::WarmUpControl::new(settings),
            rates: Mutex::new(rates::KeyRates::new(now)),
            waiting: Mutex::default(),
            running: Mutex::default(),
            call_load: Mutex::default(),
            running_keys: Mutex::default(),
            runs: Mutex::new(runs::RunTracker::new()),
            suspects,
            suspect_lock: Arc::default(),
            suspect_count: AtomicUsize::new(0),
            last_probe: AsyncMutex::new(time::Instant(0)),
            next_key: AtomicU64::new(1),
            is_closed: AtomicBool::new(false),
            shutdown_deadline,
            changed: Event::new(),
        }
    }

    /// Returns the reports of the worker and its grants.
    pub(crate) fn grants(&self) -> MutexGuard<'_, grant::WorkerGrants> {
        lock(&self.grants)
    }

    /// Applies the record of the host and the rows of the worker once the items of the store have
    /// been read.
    pub(crate) fn restore(&self, view: &view::FleetView) {
        if view.is_loaded.load(Ordering::Relaxed) {
            let record = view.directory().record(&self.node);
            let ranges = view.ranges();
            let mut grants = self.grants();
            grants.restore_ranges(clock::now(), &ranges);
            grants.restore_departure(record.departed);
        }
    }

    /// Returns the registration of the node in the store, which limits the term of grants.
    pub(crate) fn registration(&self) -> MutexGuard<'_, registration::EntryRegistration> {
        lock(&self.registration)
    }

    /// Returns a listener for the start or end of a worker and for changes of its grants.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Notifies all listeners of a change.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Stops accepting requests, because the node stops.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests that run or wait, plus that of large responses being sent.
    pub(crate) fn in_flight(&self) -> usize {
        let load = self.load("");
        (load.running + load.queued) as usize + self.pacer.with_queue(link::LinkQueue::unfinished)
    }

    /// Returns the load of the worker and the expected latency for a route, as sent to other nodes.
    pub(crate) fn load(&self, route: &str) -> admission::QueueLoad {
        let queue = lock(&self.queue);
        let load = queue.load(clock::now(), route);
        let sending =
            self.pacer.with_queue(|link| link.large_delay(queue.routes(), load.expected_latency));
        let is_failing = lock(&self.answers).is_failing(clock::now());
        admission::QueueLoad { sending_time: sending, is_failing, ..load }
    }

    /// Returns whether a request that other workers could serve may be sent to this one, which may
    /// leave most requests unanswered.
    pub(crate) fn admits_probe(&self) -> bool {
        lock(&self.answers).admits(clock::now())
    }

    /// Records that the worker answered a request.
    pub(crate) fn record_answered(&self) {
        lock(&self.answers).record_answered();
    }

    /// Records that the worker closed the connection of a request that was sent at `sent` without a
    /// complete answer.
    pub(crate) fn record_broken(&self, sent: time::Instant) {
        let now = clock::now();
        let mut answers = lock(&self.answers);
        let was_failing = answers.is_failing(now);
        answers.record_broken(now, sent);
        if !was_failing && answers.is_failing(now) {
            log::warn!("the worker leaves most requests unanswered");
        }
    }

    /// Returns the use of the worker by route since the last call.
    pub(crate) fn take_usage(&self) -> BTreeMap<Arc<str>, route_usage::RouteUsage> {
        lock(&self.queue).take_usage()
    }

    /// Returns the number of requests refused because of the link since the start.
    pub(crate) fn link_refusals(&self) -> u64 {
        self.link_refusals.load(Ordering::Relaxed)
    }

    /// Returns whether requests for keys of a range, given by its first and last keys, run or wait.
    pub(crate) fn is_busy(&self, first: u16, last: u16) -> bool {
        lock(&self.running_keys).range(first..=last).next().is_some()
    }

    /// Records a request in the request rate of its key.
    pub(crate) fn record_key_request(&self, key: u16) {
        lock(&self.rates).record(clock::now(), key);
    }

    /// Returns the load of the ranges that the worker holds, for the planning node.
    pub(crate) fn load_reply(&self) -> generated::LoadAnswer {
        let now = clock::now();
        let grants = self.grants();
        let Some(report) = grants.current_report() else { return generated::LoadAnswer::default() };
        let (service, worker) = (report.service.to_string(), report.name.0.to_string());
        let range_rates = lock(&self.rates).range_rates(now, grants.granted().into_iter());
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

    /// Resets the connections and the queue for a new incarnation of the worker.
    pub(crate) fn handle_restart(&self, slots: u32) {
        self.pool.clear();
        self.call_pool.clear();
        *lock(&self.answers) = answer_share::AnswerShare::default();
        let actions = lock(&self.queue).restart(clock::now(), slots);
        self.reset_warm_up_rule();
        self.apply(actions);
        self.notify();
    }

    /// Sets the number of requests that the worker runs at once, as it reported.
    pub(crate) fn set_slots(&self, slots: u32) {
        let actions = lock(&self.queue).set_slots(clock::now(), slots);
        self.apply(actions);
    }

    /// Records the load that the worker states in a response.
    pub(crate) fn record_stated_load(&self, load: worker_speed::StatedLoad) {
        let now = clock::now();
        let mut queue = lock(&self.queue);
        let before = queue.unknown_requests(now);
        let actions = queue.record_stated_load(now, load);
        let unknown = queue.unknown_requests(now);
        drop(queue);
        self.apply(actions);
        meter::record_worker_speed(load.slowdown, unknown);
        if before != unknown {
            log::debug!(
                unknown, before, running = load.running, waiting = load.waiting;
                "number of requests that the worker runs unknown to the node changed"
            );
        }
    }

    /// Closes the idle connections and refuses all waiting requests, because the worker has ended.
    pub(crate) fn handle_end(&self) {
        self.pool.clear();
        self.call_pool.clear();
        let actions = lock(&self.queue).clear();
        self.apply(actions);
        self.notify();
    }

    /// Checks that a request may be sent to this incarnation of the worker.
    pub(crate) fn check(
        &self,
        worker: &member::WorkerName,
        request: &request::FleetRequest,
    ) -> Result<(), RequestFailure> {
        self.shutdown_deadline.check(request.deadline)?;
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
        // The other half of the drain time is left for requests that have passed this check to
        // reach the worker.
        let limit = time::Duration(self.drain.0 / 2);
        let is_past_limit = leaving_since.is_some_and(|since| clock::now().since(since) > limit);
        match is_past_limit {
            true => Err(RequestFailure::not_run(FailureCause::WorkerLeaving)),
            false => Ok(()),
        }
    }

    fn apply(&self, actions: Vec<admission::AdmissionAction>) {
        let mut waiting = lock(&self.waiting);
        for action in actions {
            let (key, result) = match action {
                admission::AdmissionAction::Run(key) => (key, Ok(())),
                admission::AdmissionAction::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(sender) = waiting.remove(&key) {
                // If the receiver is gone, the drop of its permit releases the slot.
                let _ = sender.try_send(result);
            }
        }
    }

    fn finish(&self, key: admission::AdmissionKey, end: admission::FinishOutcome) {
        let actions = lock(&self.queue).finish(clock::now(), key, end);
        self.apply(actions);
    }

    /// Periodically refuses queued requests that can no longer be served in time.
    pub(crate) async fn watch_queue(self: Arc<LocalWorker>) {
        let mut was_reserving = false;
        loop {
            let reserved = lock(&self.queue).reserved_slots(clock::now());
            meter::record_reserved_slots(reserved);
            if was_reserving != (reserved > 0) {
                was_reserving = reserved > 0;
                log::debug!(reserved; "reservation of slots for calls changed");
            }
            let is_idle = lock(&self.waiting).is_empty();
            clock::sleep(if is_idle { time::Duration(TICK_INTERVAL.0 * 3) } else { TICK_INTERVAL })
                .await;
            if !is_idle {
                let actions = lock(&self.queue).tick(clock::now());
                self.apply(actions);
                self.request_check();
            }
        }
    }

    /// Periodically probes a worker that has stopped reporting, to detect its end.
    pub(crate) async fn watch_silence(self: Arc<LocalWorker>) {
        loop {
            clock::sleep(SILENCE_CHECK_INTERVAL).await;
            let is_silent = {
                let grants = self.grants();
                grants.current_report().is_some() && grants.silence(clock::now()) > MAX_SILENCE
            };
            if is_silent {
                self.probe().await;
            }
        }
    }

    /// Probes the worker with one connection; returns `false` if the worker refuses it.
    async fn probe(&self) -> bool {
        let is_listening = connections::is_listening(self.address).await;
        match is_listening {
            true => self.grants().connection_accepted(),
            false => self.record_refused_connection(),
        }
        is_listening
    }

    /// Returns whether an incarnation that closed a connection without a complete response has
    /// ended. Requests that lost their connections together share the probes.
    pub(crate) async fn check_ended(&self, worker: &member::WorkerName) -> bool {
        let disconnected_at = clock::now();
        let incarnation = suspects::incarnation_id(worker);
        let mut last_probe = self.last_probe.lock().await;
        if lock(&self.runs).has_ended(incarnation) {
            return true;
        }
        if *last_probe > disconnected_at {
            return false;
        }
        *last_probe = clock::now();
        for attempt in 0..PROBE_COUNT {
            if attempt > 0 {
                clock::sleep(PROBE_INTERVAL).await;
            }
            if !self.probe().await {
                let is_leaving = self.grants().leaving_since().is_some();
                self.record_end(worker, is_leaving, "connections refused");
                self.suspects.await_delivery().await;
                return lock(&self.runs).has_ended(incarnation);
            }
        }
        false
    }

    /// Records the end of an incarnation, with the requests that it ran unless it was leaving.
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
            .record_worker_end(clock::now(), suspects::incarnation_id(worker))
            .unwrap_or_default();
        drop(tracker);
        if runs.is_empty() {
            return;
        }
        meter::count_worker_end();
        let fingerprints: Vec<String> = runs.iter().map(ToString::to_string).collect();
        log::warn!(
            worker:% = worker, evidence, requests = runs.len(),
            fingerprints:% = fingerprints.join(" "); "the worker ended while it ran requests"
        );
        self.suspects.record_crash(suspects::incarnation_id(worker), &runs);
    }

    /// Records that a request is being sent.
    pub(crate) fn record_sent(
        &self,
        permit: &SlotPermit,
        worker: &member::WorkerName,
        fingerprint: quarantine::RequestFingerprint,
    ) {
        let (worker, sent) = (suspects::incarnation_id(worker), clock::now());
        lock(&self.runs).record_sent(permit.run_key(), runs::SentRun { fingerprint, worker, sent });
    }

    /// Returns whether a connection was closed after `at`, and all that were open then, too. Those
    /// that were opened later may be to the next incarnation.
    pub(crate) fn is_disconnected_since(&self, at: time::Instant) -> bool {
        let pools = [&self.pool, &self.call_pool];
        let first_close = pools.iter().filter_map(|pool| pool.first_close_after(at)).min();
        first_close.is_some_and(|close| !pools.iter().any(|pool| pool.has_open_before(close)))
    }

    /// Records that the worker refused a connection, which may show that it has ended.
    pub(crate) fn record_refused_connection(&self) {
        if self.grants().connection_refused(clock::now()) {
            log::warn!(address:% = self.address; "the worker has ended: connections are refused");
            self.handle_end();
        }
    }
}
