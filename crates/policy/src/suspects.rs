//! Queued suspects, which run alone.

use cornelridge_model::time;

use crate::admission;

/// How long other work is held back so that a suspect can run alone.
const MAX_DRAIN: time::Duration = time::Duration::from_millis(250);
/// How long suspects may follow each other before other work continues.
const MAX_BATCH: time::Duration = time::Duration::from_millis(250);
/// Pause after a drain that failed or a batch, so that suspects can't keep the upstream idle.
pub(crate) const DRAIN_COOLDOWN: time::Duration = time::Duration::from_secs(2);
/// Most queued suspects; a crash leaves about as many as an upstream has slots.
const MAX_SUSPECTS: usize = 64;

/// What the queue does next for its suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspectStep {
    /// Nothing holds other work back.
    Continue,
    /// Other work waits until the running requests have ended.
    Hold,
    /// The upstream is empty, so this suspect starts.
    Start(admission::AdmissionRequest),
    /// The upstream doesn't become empty soon enough for this suspect.
    Refuse(admission::AdmissionRequest),
}

/// Suspects in front of one upstream.
#[derive(Debug)]
pub(crate) struct SuspectQueue {
    waiting: Vec<admission::AdmissionRequest>,
    drain_until: Option<time::Instant>,
    batch_until: Option<time::Instant>,
    next_drain: time::Instant,
}

impl SuspectQueue {
    pub(crate) fn new(now: time::Instant) -> SuspectQueue {
        let waiting = Vec::new();
        SuspectQueue { waiting, drain_until: None, batch_until: None, next_drain: now }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_SUSPECTS
    }

    pub(crate) fn contains(&self, id: admission::RequestId) -> bool {
        self.waiting.iter().any(|request| request.id == id)
    }

    pub(crate) fn push(&mut self, request: admission::AdmissionRequest) {
        self.waiting.push(request);
    }

    pub(crate) fn remove(
        &mut self,
        id: admission::RequestId,
    ) -> Option<admission::AdmissionRequest> {
        let index = self.waiting.iter().position(|request| request.id == id)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Takes every suspect for which `hopeless` holds.
    pub(crate) fn extract(
        &mut self,
        predicate: impl Fn(&admission::AdmissionRequest) -> bool,
    ) -> Vec<admission::AdmissionRequest> {
        let (extracted, kept) = self.waiting.iter().partition(|request| predicate(request));
        self.waiting = kept;
        extracted
    }

    /// Whether a suspect could be started at `now` by holding other work back.
    pub(crate) fn may_drain(&self, now: time::Instant) -> bool {
        now >= self.next_drain
    }

    /// Begins to hold other work back.
    pub(crate) fn start_drain(&mut self, now: time::Instant) {
        self.drain_until.get_or_insert(now + MAX_DRAIN);
    }

    /// Whether other work is held back.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_until.is_some()
    }

    /// Rank of the suspect that is next.
    pub(crate) fn next_rank(&self) -> Option<u8> {
        self.next().map(|request| request.yield_rank)
    }

    /// Decides on the next suspect; `running` is what the upstream runs now.
    pub(crate) fn step(&mut self, now: time::Instant, running: usize, bulk: usize) -> SuspectStep {
        let Some(next) = self.next() else {
            (self.drain_until, self.batch_until) = (None, None);
            return SuspectStep::Continue;
        };
        let may_start = self.batch_until.map_or(self.may_drain(now), |until| now < until);
        if running == 0 && may_start {
            self.drain_until = None;
            self.batch_until.get_or_insert(now + MAX_BATCH);
            self.remove(next.id);
            return SuspectStep::Start(next);
        }
        if self.batch_until.take_if(|until| now >= *until).is_some() {
            self.next_drain = now + DRAIN_COOLDOWN;
            self.drain_until = None;
        }
        if !self.may_drain(now) {
            self.remove(next.id);
            return SuspectStep::Refuse(next);
        }
        // Bulk work doesn't end within a drain.
        let until = *self.drain_until.get_or_insert(now + MAX_DRAIN);
        if bulk == 0 && now < until {
            return SuspectStep::Hold;
        }
        if bulk == 0 {
            self.next_drain = now + DRAIN_COOLDOWN;
        }
        self.drain_until = None;
        self.remove(next.id);
        SuspectStep::Refuse(next)
    }

    /// The lowest rank, then the earliest deadline.
    fn next(&self) -> Option<admission::AdmissionRequest> {
        let order = |request: &&admission::AdmissionRequest| {
            (request.yield_rank, request.deadline, request.id)
        };
        self.waiting.iter().min_by_key(order).copied()
    }
}
