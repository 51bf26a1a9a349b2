//! What a worker runs, and what it ran when it ended.
//!
//! A worker that ends breaks its connections, and so does one that loses an answer and goes on. A
//! run that broke off stays in question until the worker answers a request that was sent later, or
//! is found to have ended.

use std::collections::{HashMap, VecDeque};

use cornelridge_model::ident;
use cornelridge_model::time;

use crate::quarantine;

/// Time for which a run that broke off stays in question: workers that end start again within
/// seconds, and the report of the next incarnation may be late.
const BROKEN_TERM: time::Duration = time::Duration::from_secs(10);
/// Most runs in question that are remembered.
pub const MAX_INTERRUPTED: usize = 256;

/// Identifies a run at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(pub u64);

/// A request that was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRun {
    /// The request.
    pub fingerprint: quarantine::RequestFingerprint,
    /// The incarnation of the worker.
    pub worker: ident::IncarnationId,
    /// When it was sent.
    pub sent: time::Instant,
}

#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    run: SentRun,
    at: time::Instant,
}

/// Requests at the worker beside a node.
#[derive(Debug, Default)]
pub struct RunTracker {
    running: HashMap<RunKey, SentRun>,
    broken: VecDeque<BrokenRun>,
    /// The incarnation that was found to have ended last, and when.
    ended: Option<(ident::IncarnationId, time::Instant)>,
}

impl RunTracker {
    /// Creates an empty ledger.
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

    /// Records a whole answer; what broke off before that request was sent did not end the worker,
    /// even if it seemed to have ended.
    pub fn record_response(&mut self, key: RunKey) -> Option<SentRun> {
        let run = self.running.remove(&key)?;
        self.ended.take_if(|(worker, at)| *worker == run.worker && *at < run.sent);
        self.broken.retain(|broken| broken.run.worker != run.worker || broken.at >= run.sent);
        Some(run)
    }

    /// Records that a run has no whole answer and won't get one.
    pub fn record_interrupted(&mut self, now: time::Instant, key: RunKey) {
        let Some(run) = self.running.remove(&key) else { return };
        if self.broken.len() >= MAX_INTERRUPTED {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenRun { run, at: now });
    }

    /// Whether this incarnation was found to have ended.
    pub fn has_ended(&self, worker: ident::IncarnationId) -> bool {
        self.ended.is_some_and(|(ended, _)| ended == worker)
    }

    /// Records that an incarnation has ended; returns what it may have run then, each request once,
    /// or `None` if its end was known.
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
        let broken = std::mem::take(&mut self.broken).into_iter();
        let in_question = broken
            .filter(|broken| broken.run.worker == worker && now.since(broken.at) < BROKEN_TERM);
        runs.extend(in_question.map(|broken| broken.run.fingerprint));
        runs.sort_unstable();
        runs.dedup();
        Some(runs)
    }

    /// Forgets what runs, because the worker ends as planned.
    pub fn clear(&mut self) {
        self.running.clear();
        self.broken.clear();
    }
}
