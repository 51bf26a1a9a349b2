//! Admission of requests to the upstream: waits for a slot and reports the outcome of its use to
//! the queue.

use std::collections::{HashMap, VecDeque};
use std::sync;
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::time;
use cornelridge_policy::admission;
use cornelridge_policy::quarantine;
use smol::channel;
use xxhash_rust::xxh3;

use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::meter;
use crate::peers;
use crate::request;

/// Longest time from the end of a connection until the crash of the upstream is detected.
const CRASH_DETECTION_WINDOW: time::Duration = time::Duration::from_millis(2_000);
/// Most requests kept whose connection ended early.
const MAX_INTERRUPTED: usize = 256;

/// Result of the wait of a queued request.
type QueueResult = Result<(), admission::AdmissionRefusal>;

/// Admission queue of the upstream, with its waiting and running requests.
#[derive(Debug)]
pub(crate) struct UpstreamQueue {
    admission: admission::AdmissionQueue,
    waiting: HashMap<admission::RequestId, channel::Sender<QueueResult>>,
    running: HashMap<admission::RequestId, quarantine::RequestFingerprint>,
    /// Requests whose connection ended early; suspects if the upstream turns out to have crashed.
    interrupted: VecDeque<(time::Instant, quarantine::RequestFingerprint)>,
    next_id: u64,
}

impl UpstreamQueue {
    /// Creates an empty queue for an upstream with `slots` slots.
    pub(crate) fn new(now: time::Instant, slots: u32) -> UpstreamQueue {
        UpstreamQueue {
            admission: admission::AdmissionQueue::new(now, slots),
            waiting: HashMap::new(),
            running: HashMap::new(),
            interrupted: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Returns the policy that decides about admission.
    pub(crate) fn admission(&self) -> &admission::AdmissionQueue {
        &self.admission
    }

    /// Returns the fingerprints of the requests that may have crashed the upstream: those that were
    /// running when the crash was detected at `now`, and those interrupted shortly before.
    pub(crate) fn take_crash_suspects(
        &mut self,
        now: time::Instant,
    ) -> Vec<quarantine::RequestFingerprint> {
        let interrupted = std::mem::take(&mut self.interrupted).into_iter();
        let recent = interrupted.filter(|(at, _)| now.since(*at) < CRASH_DETECTION_WINDOW);
        let recent = recent.map(|(_, fingerprint)| fingerprint);
        let mut suspects: Vec<_> = self.running.values().copied().chain(recent).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    fn record_interrupted(
        &mut self,
        now: time::Instant,
        fingerprint: quarantine::RequestFingerprint,
    ) {
        if self.interrupted.len() >= MAX_INTERRUPTED {
            self.interrupted.pop_front();
        }
        self.interrupted.push_back((now, fingerprint));
    }

    /// Refuses queued requests that would miss their deadline.
    pub(crate) fn tick(&mut self, now: time::Instant) {
        let actions = self.admission.tick(now);
        self.apply(actions);
    }

    /// Refuses all queued requests because the upstream is lost.
    pub(crate) fn upstream_lost(&mut self, now: time::Instant) {
        let actions = self.admission.upstream_lost(now);
        self.apply(actions);
    }

    /// Starts the warm-up of a new upstream with `slots` slots.
    pub(crate) fn upstream_started(&mut self, now: time::Instant, slots: u32) {
        let actions = self.admission.upstream_started(now, slots);
        self.apply(actions);
    }

    /// Updates the number of slots after a further announcement.
    pub(crate) fn set_slots(&mut self, now: time::Instant, slots: u32) {
        let actions = self.admission.set_slots(now, slots);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<admission::AdmissionAction>) {
        for action in actions {
            let (id, result) = match action {
                admission::AdmissionAction::Dispatch(id) => (id, Ok(())),
                admission::AdmissionAction::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(sender) = self.waiting.remove(&id) else { continue };
            // If the receiver was dropped, its permit releases the slot.
            let _ = sender.try_send(result);
        }
    }
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotOutcome {
    Finished,
    Failed,
    Shed,
    Interrupted,
    Cancelled,
}

/// A slot of the upstream, or a place in its queue; released when it is dropped.
pub(crate) struct SlotPermit {
    context: Arc<context::NodeContext>,
    id: admission::RequestId,
    fingerprint: quarantine::RequestFingerprint,
    dispatched_at: sync::OnceLock<time::Instant>,
    outcome: sync::Mutex<SlotOutcome>,
    meter: Arc<meter::UpstreamMeter>,
}

impl SlotPermit {
    /// Records that the request is sent to the upstream now.
    pub(crate) fn record_dispatch(&self) {
        let now = self.context.clock.now();
        if self.dispatched_at.set(now).is_ok() {
            let mut queue = self.context.upstream_queue();
            queue.running.insert(self.id, self.fingerprint);
        }
    }

    /// Releases the slot after the complete response was read.
    pub(crate) fn complete(self) {
        if let Some(dispatched_at) = self.dispatched_at.get() {
            let cleared =
                self.context.suspects().record_completion(*dispatched_at, self.fingerprint);
            peers::send_suspects(&self.context, cleared.as_slice());
        }
        self.set_outcome(SlotOutcome::Finished);
    }

    /// Releases the slot of a failed request; `Failed` is the outcome unless another was recorded.
    pub(crate) fn fail(self) {}

    /// Records that the upstream refused the request because of its load.
    pub(crate) fn record_shed(&self) {
        self.set_outcome(SlotOutcome::Shed);
    }

    /// Records that the connection to the upstream ended early. This alone doesn't show a crash:
    /// only a refused connection does.
    pub(crate) fn record_interruption(&self) {
        self.set_outcome(SlotOutcome::Interrupted);
    }

    /// Releases the slot after the caller closed its connection.
    pub(crate) fn cancel(self) {
        self.set_outcome(SlotOutcome::Cancelled);
    }

    /// Releases a slot that wasn't needed.
    pub(crate) fn release_unused(self) {
        self.set_outcome(SlotOutcome::Cancelled);
    }

    fn set_outcome(&self, outcome: SlotOutcome) {
        *self.outcome.lock().unwrap_or_else(sync::PoisonError::into_inner) = outcome;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let outcome = *self.outcome.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut queue = self.context.upstream_queue();
        queue.running.remove(&self.id);
        queue.waiting.remove(&self.id);
        if outcome == SlotOutcome::Interrupted {
            queue.record_interrupted(now, self.fingerprint);
        }
        let actions = match (self.dispatched_at.get(), outcome) {
            (None, _) => queue.admission.cancel(now, self.id),
            (Some(dispatched_at), SlotOutcome::Cancelled) => {
                self.meter.record_upstream_time(now.since(*dispatched_at));
                queue.admission.cancel(now, self.id)
            }
            (Some(dispatched_at), outcome) => {
                self.meter.record_upstream_time(now.since(*dispatched_at));
                let report = admission::FinishReport {
                    latency: now.since(*dispatched_at),
                    shed: outcome == SlotOutcome::Shed,
                    failed: matches!(outcome, SlotOutcome::Failed | SlotOutcome::Interrupted),
                    crashed: false,
                };
                queue.admission.finish(now, self.id, report)
            }
        };
        queue.apply(actions);
    }
}

/// Waits for a slot of the upstream.
///
/// Fails if the request is quarantined or the queue refuses it.
pub(crate) async fn acquire(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    fingerprint: quarantine::RequestFingerprint,
) -> Result<SlotPermit, RequestFailure> {
    let now = context.clock.now();
    let run_alone = check_suspect(context, now, fingerprint)?;
    let (permit, queued) = enqueue(context, head, class, fingerprint, run_alone)?;
    if let Some(receiver) = queued {
        match receiver.recv().await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => return Err(refusal_failure(refusal)),
            Err(channel::RecvError) => {
                let message = "the queue was closed";
                return Err(RequestFailure::not_run(FailureKind::UpstreamLost, message));
            }
        }
    }
    // The request may have been identified as one that crashes upstreams while it waited.
    let admitted = context.clock.now();
    check_suspect(context, admitted, fingerprint)?;
    permit.meter.record_queue_wait(admitted.since(now));
    Ok(permit)
}

/// Returns whether a request has to run alone; refuses a request that crashed two upstreams.
fn check_suspect(
    context: &context::NodeContext,
    now: time::Instant,
    fingerprint: quarantine::RequestFingerprint,
) -> Result<bool, RequestFailure> {
    match context.suspect_decision(now, fingerprint) {
        quarantine::SuspectDecision::Pass => Ok(false),
        quarantine::SuspectDecision::RunAlone => Ok(true),
        quarantine::SuspectDecision::Refuse { remaining } => {
            let secs = remaining.as_millis().div_ceil(1_000);
            let message =
                format!("requests like this one crashed two upstreams; refused for {secs} s");
            Err(RequestFailure::not_run(FailureKind::Quarantined, message))
        }
    }
}

fn enqueue(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    fingerprint: quarantine::RequestFingerprint,
    run_alone: bool,
) -> Result<(SlotPermit, Option<channel::Receiver<QueueResult>>), RequestFailure> {
    let now = context.clock.now();
    let mut queue = context.upstream_queue();
    let id = admission::RequestId(queue.next_id);
    queue.next_id += 1;
    let offered = admission::AdmissionRequest {
        id,
        class: context.class_index(&class.name),
        yield_rank: class.yield_rank,
        caller: admission::CallerHash(xxh3::xxh3_64(head.caller.as_bytes())),
        target: class.target(),
        deadline: head.deadline,
        bulk: class.bulk,
        alone: run_alone,
    };
    let decision = queue.admission.offer(now, offered);
    let permit = SlotPermit {
        context: Arc::clone(context),
        id,
        fingerprint,
        dispatched_at: sync::OnceLock::new(),
        outcome: sync::Mutex::new(SlotOutcome::Failed),
        meter: context.meter.upstream(&class.name),
    };
    match decision {
        admission::AdmissionDecision::Dispatch => Ok((permit, None)),
        admission::AdmissionDecision::Queued { evicted } => {
            let (sender, receiver) = channel::bounded(1);
            queue.waiting.insert(id, sender);
            if let Some(evicted) = evicted {
                let refuse = admission::AdmissionAction::Refuse(evicted.id, evicted.refusal);
                queue.apply(vec![refuse]);
            }
            Ok((permit, Some(receiver)))
        }
        admission::AdmissionDecision::Refused(refusal) => {
            drop(queue);
            Err(refusal_failure(refusal))
        }
    }
}

fn refusal_failure(refusal: admission::AdmissionRefusal) -> RequestFailure {
    let wait = refusal.expected_wait.as_millis();
    let (kind, message) = match refusal.reason {
        admission::RefusalReason::DeadlinePassed => {
            (FailureKind::DeadlinePassed, "the deadline passed in the queue".to_owned())
        }
        admission::RefusalReason::WaitTooLong => {
            (FailureKind::Overloaded, format!("the expected wait of {wait} ms passes the deadline"))
        }
        admission::RefusalReason::QueueFull => {
            (FailureKind::Overloaded, "the queue of the upstream is full".to_owned())
        }
        admission::RefusalReason::Yielded => {
            (FailureKind::Overloaded, "the class yielded to one of lower rank".to_owned())
        }
        admission::RefusalReason::CannotRunAlone => {
            let message = "a request that may crash the upstream can't run alone soon enough";
            (FailureKind::Quarantined, message.to_owned())
        }
        admission::RefusalReason::UpstreamLost => {
            (FailureKind::UpstreamLost, "the upstream is gone".to_owned())
        }
        admission::RefusalReason::DuplicateId => {
            (FailureKind::Overloaded, "request number is in use".to_owned())
        }
    };
    RequestFailure::not_run(kind, message)
}
