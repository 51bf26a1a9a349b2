//! Slots of the upstream: waits for one, counts its use and tells the queue how it ended.

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

/// Time between the end of a connection and the finding that the upstream has crashed.
const BROKEN_SPAN: time::Duration = time::Duration::from_millis(2_000);
/// Broken connections that are remembered.
const MAX_BROKEN: usize = 256;

/// What a queued request is told.
type Verdict = Result<(), admission::AdmissionRefusal>;

/// The queue of the upstream and the requests that wait in it.
#[derive(Debug)]
pub(crate) struct GateQueue {
    queue: admission::AdmissionQueue,
    waiting: HashMap<admission::RequestId, channel::Sender<Verdict>>,
    running: HashMap<admission::RequestId, quarantine::RequestFingerprint>,
    /// Requests whose connection broke, for the case that the upstream turns out to have crashed.
    broken: VecDeque<(time::Instant, quarantine::RequestFingerprint)>,
    next_id: u64,
}

impl GateQueue {
    /// An empty queue for an upstream with `slots`.
    pub(crate) fn new(now: time::Instant, slots: u32) -> GateQueue {
        GateQueue {
            queue: admission::AdmissionQueue::new(now, slots),
            waiting: HashMap::new(),
            running: HashMap::new(),
            broken: VecDeque::new(),
            next_id: 0,
        }
    }

    /// The decisions.
    pub(crate) fn queue(&self) -> &admission::AdmissionQueue {
        &self.queue
    }

    /// Fingerprints of the requests that an upstream ran when it was found crashed at `now`.
    pub(crate) fn take_crash_suspects(
        &mut self,
        now: time::Instant,
    ) -> Vec<quarantine::RequestFingerprint> {
        let broken = std::mem::take(&mut self.broken).into_iter();
        let recent = broken.filter(|(at, _)| now.since(*at) < BROKEN_SPAN);
        let recent = recent.map(|(_, fingerprint)| fingerprint);
        let mut suspects: Vec<_> = self.running.values().copied().chain(recent).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    fn note_broken(&mut self, now: time::Instant, fingerprint: quarantine::RequestFingerprint) {
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((now, fingerprint));
    }

    /// Refuses what can't be answered in time.
    pub(crate) fn tick(&mut self, now: time::Instant) {
        let actions = self.queue.tick(now);
        self.apply(actions);
    }

    /// Refuses everything that waits because the upstream is gone.
    pub(crate) fn upstream_lost(&mut self, now: time::Instant) {
        let actions = self.queue.upstream_lost(now);
        self.apply(actions);
    }

    /// Starts again with a cold upstream.
    pub(crate) fn upstream_started(&mut self, now: time::Instant, slots: u32) {
        let actions = self.queue.upstream_started(now, slots);
        self.apply(actions);
    }

    /// Takes over the number of slots of a repeated announcement.
    pub(crate) fn set_slots(&mut self, now: time::Instant, slots: u32) {
        let actions = self.queue.set_slots(now, slots);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<admission::AdmissionAction>) {
        for action in actions {
            let (id, verdict) = match action {
                admission::AdmissionAction::Dispatch(id) => (id, Ok(())),
                admission::AdmissionAction::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let Some(sender) = self.waiting.remove(&id) else { continue };
            // A receiver that is gone gives its slot back through its permit.
            let _ = sender.try_send(verdict);
        }
    }
}

/// How a request left its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotEnd {
    Finished,
    Failed,
    Shed,
    Broken,
    Cancelled,
}

/// One slot of the upstream, or a place in its queue.
pub(crate) struct SlotPermit {
    context: Arc<context::NodeContext>,
    id: admission::RequestId,
    fingerprint: quarantine::RequestFingerprint,
    dispatched: sync::OnceLock<time::Instant>,
    end: sync::Mutex<SlotEnd>,
    meter: Arc<meter::UpstreamMeter>,
}

impl SlotPermit {
    /// Notes that the request leaves for the upstream now.
    pub(crate) fn dispatched(&self) {
        let now = self.context.clock.now();
        if self.dispatched.set(now).is_ok() {
            let mut gate = self.context.admission_queue();
            gate.running.insert(self.id, self.fingerprint);
        }
    }

    /// The whole answer was read.
    pub(crate) fn finished(self) {
        if let Some(dispatched) = self.dispatched.get() {
            let cleared = self.context.suspects().record_completion(*dispatched, self.fingerprint);
            peers::send_suspects(&self.context, cleared.as_slice());
        }
        self.set_end(SlotEnd::Finished);
    }

    /// The request failed.
    pub(crate) fn failed(self) {}

    /// The upstream refused for load.
    pub(crate) fn shed(&self) {
        self.set_end(SlotEnd::Shed);
    }

    /// The connection to the upstream broke; only a refused connection tells whether it crashed.
    pub(crate) fn broken(&self) {
        self.set_end(SlotEnd::Broken);
    }

    /// The caller left.
    pub(crate) fn cancelled(self) {
        self.set_end(SlotEnd::Cancelled);
    }

    /// The slot wasn't needed.
    pub(crate) fn release_unused(self) {
        self.set_end(SlotEnd::Cancelled);
    }

    fn set_end(&self, end: SlotEnd) {
        *self.end.lock().unwrap_or_else(sync::PoisonError::into_inner) = end;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let end = *self.end.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut gate = self.context.admission_queue();
        gate.running.remove(&self.id);
        gate.waiting.remove(&self.id);
        if end == SlotEnd::Broken {
            gate.note_broken(now, self.fingerprint);
        }
        let actions = match (self.dispatched.get(), end) {
            (None, _) => gate.queue.cancel(now, self.id),
            (Some(dispatched), SlotEnd::Cancelled) => {
                self.meter.ended(now.since(*dispatched));
                gate.queue.cancel(now, self.id)
            }
            (Some(dispatched), end) => {
                self.meter.ended(now.since(*dispatched));
                let report = admission::FinishReport {
                    latency: now.since(*dispatched),
                    shed: end == SlotEnd::Shed,
                    failed: matches!(end, SlotEnd::Failed | SlotEnd::Broken),
                    crashed: false,
                };
                gate.queue.finish(now, self.id, report)
            }
        };
        gate.apply(actions);
    }
}

/// Waits for a slot.
pub(crate) async fn acquire(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    fingerprint: quarantine::RequestFingerprint,
) -> Result<SlotPermit, RequestFailure> {
    let now = context.clock.now();
    let alone = is_suspect(context, now, fingerprint)?;
    let (permit, verdict) = offer(context, head, class, fingerprint, alone)?;
    if let Some(verdict) = verdict {
        match verdict.recv().await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => return Err(refused(refusal)),
            Err(channel::RecvError) => {
                let message = "the queue was closed";
                return Err(RequestFailure::not_run(FailureKind::UpstreamLost, message));
            }
        }
    }
    // The request may have become known as one that crashes upstreams while it waited.
    let admitted = context.clock.now();
    is_suspect(context, admitted, fingerprint)?;
    permit.meter.waited(admitted.since(now));
    Ok(permit)
}

/// Whether a request has to run alone; refuses one that crashed two upstreams.
fn is_suspect(
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

fn offer(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    fingerprint: quarantine::RequestFingerprint,
    alone: bool,
) -> Result<(SlotPermit, Option<channel::Receiver<Verdict>>), RequestFailure> {
    let now = context.clock.now();
    let mut gate = context.admission_queue();
    let id = admission::RequestId(gate.next_id);
    gate.next_id += 1;
    let offered = admission::AdmissionRequest {
        id,
        class: context.class_index(&class.name),
        yield_rank: class.yield_rank,
        caller: admission::CallerHash(xxh3::xxh3_64(head.caller.as_bytes())),
        target: class.target(),
        deadline: head.deadline,
        bulk: class.bulk,
        alone,
    };
    let decision = gate.queue.offer(now, offered);
    let permit = SlotPermit {
        context: Arc::clone(context),
        id,
        fingerprint,
        dispatched: sync::OnceLock::new(),
        end: sync::Mutex::new(SlotEnd::Failed),
        meter: context.meter.upstream(&class.name),
    };
    match decision {
        admission::AdmissionDecision::Dispatch => Ok((permit, None)),
        admission::AdmissionDecision::Queued { evicted } => {
            let (sender, receiver) = channel::bounded(1);
            gate.waiting.insert(id, sender);
            if let Some(evicted) = evicted {
                let refuse = admission::AdmissionAction::Refuse(evicted.id, evicted.refusal);
                gate.apply(vec![refuse]);
            }
            Ok((permit, Some(receiver)))
        }
        admission::AdmissionDecision::Refused(refusal) => {
            drop(gate);
            Err(refused(refusal))
        }
    }
}

fn refused(refusal: admission::AdmissionRefusal) -> RequestFailure {
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
