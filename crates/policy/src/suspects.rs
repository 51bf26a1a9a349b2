//! Queue of suspects, which run alone at the upstream.

use cornelridge_model::time;

use crate::admission;

/// Longest time for which other requests are held back so that a suspect can run alone.
const MAX_DRAIN_TIME: time::Duration = time::Duration::from_millis(250);
/// Time after the first of several suspects from which no further one starts and other requests
/// continue.
const MAX_BATCH_TIME: time::Duration = time::Duration::from_millis(250);
/// Delay after a failed drain or a batch before suspects may run again, so that suspects can't keep
/// the upstream idle.
pub(crate) const DRAIN_COOLDOWN: time::Duration = time::Duration::from_secs(2);
/// Maximum number of queued suspects. A crash leaves about as many as an upstream has slots.
const MAX_SUSPECTS: usize = 64;

/// Next step for the queued suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspectStep {
    /// No suspect is queued, so other requests may start.
    Continue,
    /// Other requests wait until the running ones have ended.
    Hold,
    /// The upstream is idle, so this suspect starts.
    Start(admission::AdmissionRequest),
    /// The upstream doesn't become idle soon enough for this suspect, which is refused.
    Refuse(admission::AdmissionRequest),
}

/// Suspects that wait for one upstream.
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

    /// Removes and returns the suspects that match `predicate`.
    pub(crate) fn extract(
        &mut self,
        predicate: impl Fn(&admission::AdmissionRequest) -> bool,
    ) -> Vec<admission::AdmissionRequest> {
        let (extracted, kept) = self.waiting.iter().partition(|request| predicate(request));
        self.waiting = kept;
        extracted
    }

    /// Returns whether other requests may be held back for a suspect at `now`.
    pub(crate) fn may_drain(&self, now: time::Instant) -> bool {
        now >= self.next_drain
    }

    /// Starts to hold other requests back.
    pub(crate) fn start_drain(&mut self, now: time::Instant) {
        self.drain_until.get_or_insert(now + MAX_DRAIN_TIME);
    }

    /// Returns whether other requests are held back.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_until.is_some()
    }

    /// Returns the rank of the next suspect.
    pub(crate) fn next_rank(&self) -> Option<u8> {
        self.next().map(|request| request.yield_rank)
    }

    /// Decides on the next suspect while the upstream runs `running` requests, `bulk` of them bulk.
    pub(crate) fn step(&mut self, now: time::Instant, running: usize, bulk: usize) -> SuspectStep {
        let Some(next) = self.next() else {
            (self.drain_until, self.batch_until) = (None, None);
            return SuspectStep::Continue;
        };
        let may_start = self.batch_until.map_or(self.may_drain(now), |until| now < until);
        if running == 0 && may_start {
            self.drain_until = None;
            self.batch_until.get_or_insert(now + MAX_BATCH_TIME);
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
        // Bulk requests don't end within a drain.
        let until = *self.drain_until.get_or_insert(now + MAX_DRAIN_TIME);
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

    /// Returns the suspect with the lowest rank and, within the rank, the earliest deadline.
    fn next(&self) -> Option<admission::AdmissionRequest> {
        let order = |request: &&admission::AdmissionRequest| {
            (request.yield_rank, request.deadline, request.id)
        };
        self.waiting.iter().min_by_key(order).copied()
    }
}
