//! Ejection of workers that fail or stop responding, and their return.

use cornelridge_model::time;

/// Number of consecutive failures after which a worker is ejected.
const FAILURE_THRESHOLD: u32 = 3;
/// Shortest and longest time for which a worker is ejected.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(500);
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(30);
/// Time in service after which the next ejection of a worker has the shortest backoff again.
const BACKOFF_RESET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Why a worker is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    Failures,
    Silence,
}

/// State of a worker in the ejection cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    Serving { since: time::Instant },
    Ejected { cause: EjectionCause, until: time::Instant },
    Trial { cause: EjectionCause },
}

/// Whether a selector may choose a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerAvailability {
    Serving,
    TrialDue,
    Unavailable,
}

/// Failures and ejections of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
}

impl WorkerHealth {
    pub(crate) fn new(now: time::Instant) -> WorkerHealth {
        WorkerHealth { state: HealthState::Serving { since: now }, failures: 0, ejections: 0 }
    }

    pub(crate) fn availability(&self, now: time::Instant) -> WorkerAvailability {
        match self.state {
            HealthState::Serving { .. } => WorkerAvailability::Serving,
            HealthState::Ejected { until, .. } if until <= now => WorkerAvailability::TrialDue,
            HealthState::Ejected { .. } | HealthState::Trial { .. } => {
                WorkerAvailability::Unavailable
            }
        }
    }

    pub(crate) fn ejection_cause(&self) -> Option<EjectionCause> {
        match self.state {
            HealthState::Serving { .. } => None,
            HealthState::Ejected { cause, .. } | HealthState::Trial { cause } => Some(cause),
        }
    }

    pub(crate) fn start_trial(&mut self) {
        if let HealthState::Ejected { cause, .. } = self.state {
            self.state = HealthState::Trial { cause };
        }
    }

    /// Records a response. Returns `true` if it ended an ejection.
    pub(crate) fn record_success(&mut self, now: time::Instant) -> bool {
        self.failures = 0;
        match self.state {
            HealthState::Serving { .. } => false,
            // A response to an earlier request shows that the worker is alive, so a trial is due.
            HealthState::Ejected { cause, .. } => {
                self.state = HealthState::Ejected { cause, until: now };
                false
            }
            HealthState::Trial { .. } => {
                self.state = HealthState::Serving { since: now };
                true
            }
        }
    }

    /// Records a failure. Returns `true` if the worker has failed often enough to be ejected.
    pub(crate) fn record_failure(&mut self, now: time::Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            HealthState::Serving { .. } => self.failures >= FAILURE_THRESHOLD,
            HealthState::Ejected { .. } => false,
            HealthState::Trial { cause } => {
                self.eject(now, cause);
                false
            }
        }
    }

    /// Ends a trial without a result, so that another one can start. A slow trial counts as failed.
    pub(crate) fn abandon_trial(&mut self, now: time::Instant, slow: bool) {
        match self.state {
            HealthState::Trial { cause } if slow => self.eject(now, cause),
            HealthState::Trial { cause } => {
                self.state = HealthState::Ejected { cause, until: now + MIN_BACKOFF };
            }
            HealthState::Serving { .. } | HealthState::Ejected { .. } => {}
        }
    }

    /// Ends an ejection without a trial.
    pub(crate) fn reinstate(&mut self, since: time::Instant) {
        self.state = HealthState::Serving { since };
    }

    pub(crate) fn eject(&mut self, now: time::Instant, cause: EjectionCause) {
        if let HealthState::Serving { since } = self.state
            && now.since(since) >= BACKOFF_RESET_AFTER
        {
            self.ejections = 0;
        }
        let backoff = MIN_BACKOFF.0.saturating_mul(1 << self.ejections.min(10));
        let until = now + time::Duration(backoff.min(MAX_BACKOFF.0));
        self.state = HealthState::Ejected { cause, until };
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
    }
}
