//! Requests that a worker runs, and those that it ran when it ended.
//!
//! A connection closes when the worker ends, but also when the worker loses a response and
//! continues. An interrupted run may therefore have been running at the end of the worker until the
//! worker responds to a request that was sent later, or is found to have ended.

use std::collections::{HashMap, VecDeque};

use cornelridge_model::ident;
use cornelridge_model::time;

use crate::quarantine;

/// Age from which an interrupted run isn't counted as running at the end of the worker. Workers
/// restart within seconds, but the report of the next incarnation may be late.
const INTERRUPTED_TTL: time::Duration = time::Duration::from_secs(10);
/// Maximum number of interrupted runs that are kept.
pub const MAX_INTERRUPTED: usize = 256;

/// Identifies a run at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(pub u64);

/// A request that was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRun {
    /// Fingerprint of the request.
    pub fingerprint: quarantine::RequestFingerprint,
    /// Incarnation of the worker.
    pub worker: ident::IncarnationId,
    /// Time at which the request was sent.
    pub sent: time::Instant,
}

#[derive(Clone, Copy, Debug)]
struct InterruptedRun {
    run: SentRun,
    at: time::Instant,
}

/// Tracks the requests that were sent to the worker beside a node.
#[derive(Debug, Default)]
pub struct RunTracker {
    running: HashMap<RunKey, SentRun>,
    interrupted: VecDeque<InterruptedRun>,
    /// The last incarnation that was found to have ended, and when.
    ended: Option<(ident::IncarnationId, time::Instant)>,
}

impl RunTracker {
    /// Creates an empty tracker.
    pub fn new() -> RunTracker {
        RunTracker::default()
    }

    /// Records that a request is being sent.
    pub fn record_sent(&mut self, key: RunKey, run: SentRun) {
        self.running.insert(key, run);
    }

    /// Records that the worker did not run the request.
    pub fn record_not_run(&mut self, key: RunKey) {
        self.running.remove(&key);
    }

    /// Records a complete response and returns the run, if it is known.
    ///
    /// Runs that were interrupted before that request was sent did not end the worker, even if it
    /// was recorded as ended.
    pub fn record_response(&mut self, key: RunKey) -> Option<SentRun> {
        let run = self.running.remove(&key)?;
        self.ended.take_if(|(worker, at)| *worker == run.worker && *at < run.sent);
        self.interrupted.retain(|other| other.run.worker != run.worker || other.at >= run.sent);
        Some(run)
    }

    /// Records that a run ended without a complete response.
    pub fn record_interrupted(&mut self, now: time::Instant, key: RunKey) {
        let Some(run) = self.running.remove(&key) else { return };
        if self.interrupted.len() >= MAX_INTERRUPTED {
            self.interrupted.pop_front();
        }
        self.interrupted.push_back(InterruptedRun { run, at: now });
    }

    /// Returns whether this incarnation was found to have ended.
    pub fn has_ended(&self, worker: ident::IncarnationId) -> bool {
        self.ended.is_some_and(|(ended, _)| ended == worker)
    }

    /// Records that an incarnation has ended.
    ///
    /// Returns the requests that it may have run at its end, each once, or `None` if the end was
    /// already known.
    pub fn record_worker_end(
        &mut self,
        now: time::Instant,
        worker: ident::IncarnationId,
    ) -> Option<Vec<quarantine::RequestFingerprint>> {
        if self.has_ended(worker) {
            return None;
        }
        self.ended = Some((worker, now));
        let running = self.running.extract_if(|_, run| run.worker == worker).map(|(_, run)| run);
        let mut runs: Vec<_> = running.map(|run| run.fingerprint).collect();
        let interrupted = std::mem::take(&mut self.interrupted).into_iter();
        let recent = interrupted
            .filter(|other| other.run.worker == worker && now.since(other.at) < INTERRUPTED_TTL);
        runs.extend(recent.map(|other| other.run.fingerprint));
        runs.sort_unstable();
        runs.dedup();
        Some(runs)
    }

    /// Removes all runs, because the worker ends as planned.
    pub fn clear(&mut self) {
        self.running.clear();
        self.interrupted.clear();
    }
}
