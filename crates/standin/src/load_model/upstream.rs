//! A worker of the model.

use std::collections::VecDeque;

use cornelridge_model::time;

use super::{CONNECTIONS, FaultKind, SLOTS, WorkerFault};

/// Factor on service times of a worker that has just started.
const COLD_FACTOR: f64 = 4.0;
/// Time after a start until a worker is warm.
const WARM_AFTER: time::Duration = time::Duration::from_secs(5);

/// What a worker does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptOutcome {
    /// The request runs for this time.
    Runs(time::Duration),
    /// The request waits inside the worker.
    Waits,
    /// The request is refused because of load.
    Sheds,
    /// The worker accepts no connections.
    Down,
}

/// A simulated worker process.
#[derive(Debug)]
pub(super) struct ModelUpstream {
    pub(super) running: Vec<usize>,
    waiting: VecDeque<usize>,
    pub(super) up: bool,
    started: Option<time::Instant>,
    faults: Vec<WorkerFault>,
    pub(super) busy_us: u64,
}

impl ModelUpstream {
    pub(super) fn new(worker: usize, faults: &[WorkerFault]) -> ModelUpstream {
        let faults = faults.iter().filter(|fault| fault.worker == worker).copied().collect();
        ModelUpstream {
            running: Vec::new(),
            waiting: VecDeque::new(),
            up: true,
            started: None,
            faults,
            busy_us: 0,
        }
    }

    pub(super) fn fault(&self, now: time::Instant) -> Option<WorkerFault> {
        self.faults.iter().find(|fault| fault.from <= now && now < fault.until).copied()
    }

    pub(super) fn accept(
        &mut self,
        now: time::Instant,
        attempt: usize,
        work: time::Duration,
    ) -> AcceptOutcome {
        if !self.up {
            return AcceptOutcome::Down;
        }
        let fault = self.fault(now).map(|fault| fault.kind);
        let running = self.running.len();
        if let Some(FaultKind::Shedding(above)) = fault
            && running >= above as usize
        {
            return AcceptOutcome::Sheds;
        }
        if running < SLOTS as usize {
            return AcceptOutcome::Runs(self.begin(now, attempt, work));
        }
        if running + self.waiting.len() >= CONNECTIONS {
            return AcceptOutcome::Sheds;
        }
        self.waiting.push_back(attempt);
        AcceptOutcome::Waits
    }

    pub(super) fn begin(
        &mut self,
        now: time::Instant,
        attempt: usize,
        work: time::Duration,
    ) -> time::Duration {
        self.running.push(attempt);
        let mut factor = match self.started.map(|started| now.since(started)) {
            Some(age) if age < WARM_AFTER => {
                COLD_FACTOR - (COLD_FACTOR - 1.0) * age.0 as f64 / WARM_AFTER.0 as f64
            }
            _ => 1.0,
        };
        factor *= match self.fault(now).map(|fault| fault.kind) {
            Some(FaultKind::Slow(times)) => f64::from(times),
            Some(FaultKind::Contended(above)) => {
                (self.running.len() as f64 / f64::from(above)).max(1.0)
            }
            _ => 1.0,
        };
        time::Duration((work.0 as f64 * factor) as u64)
    }

    /// Ends a request and returns the one that takes its slot.
    pub(super) fn end(&mut self, attempt: usize) -> Option<usize> {
        self.waiting.retain(|other| *other != attempt);
        let index = self.running.iter().position(|other| *other == attempt)?;
        self.running.swap_remove(index);
        self.waiting.pop_front()
    }

    /// Ends the process and returns its running and waiting requests.
    pub(super) fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    pub(super) fn restart(&mut self, now: time::Instant) {
        self.up = true;
        self.started = Some(now);
    }

    pub(super) fn is_cold(&self, now: time::Instant) -> bool {
        self.started.is_some_and(|started| now.since(started) < WARM_AFTER)
    }

    pub(super) fn is_frozen(&self, now: time::Instant) -> bool {
        self.fault(now).is_some_and(|fault| fault.kind == FaultKind::Frozen)
    }
}
