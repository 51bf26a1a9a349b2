//! Permissions of requests to run at the worker.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use cornelridge_fleet::admission;
use cornelridge_model::time;
use cornelridge_policy::runs;
use smol::lock::MutexGuardArc;

use super::LocalWorker;
use crate::clock;
use crate::request;
use crate::view::lock;

/// A slot of the worker, released when dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    pub(super) local_worker: Arc<LocalWorker>,
    pub(super) key: admission::AdmissionKey,
    request: Arc<str>,
    /// Key of the request, if its service is divided.
    divided_key: Option<u16>,
    started: time::Instant,
    is_finished: bool,
}

/// A request that is at the worker or waits for it.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    /// Number of attempts with its identifier.
    count: usize,
    pub(super) route: Arc<str>,
    pub(super) priority: u8,
}

impl RunningRequest {
    fn new(request: &request::FleetRequest) -> RunningRequest {
        RunningRequest { count: 0, route: Arc::clone(&request.route), priority: request.priority }
    }
}

/// Permission of a suspect request to run, released when dropped.
#[derive(Debug)]
pub(crate) struct SuspectPermit {
    local_worker: Arc<LocalWorker>,
    guard: Option<MutexGuardArc<()>>,
}

impl SuspectPermit {
    pub(super) fn new(local_worker: &Arc<LocalWorker>) -> SuspectPermit {
        SuspectPermit { local_worker: Arc::clone(local_worker), guard: None }
    }

    pub(super) fn set_guard(&mut self, guard: MutexGuardArc<()>) {
        self.guard = Some(guard);
    }
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.guard = None;
        self.local_worker.suspect_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotPermit {
    pub(super) fn new(
        local_worker: &Arc<LocalWorker>,
        key: admission::AdmissionKey,
        request: &request::FleetRequest,
        now: time::Instant,
    ) -> SlotPermit {
        lock(&local_worker.running)
            .entry(Arc::clone(&request.id))
            .or_insert_with(|| RunningRequest::new(request))
            .count += 1;
        if let Some(divided_key) = request.key {
            *lock(&local_worker.running_keys).entry(divided_key).or_default() += 1;
        }
        let (local_worker, divided_key) = (Arc::clone(local_worker), request.key);
        let request = Arc::clone(&request.id);
        SlotPermit { local_worker, key, request, divided_key, started: now, is_finished: false }
    }

    /// Records that the request has got the slot.
    pub(super) fn start(&mut self) {
        self.started = clock::now();
    }

    /// Returns the time at which the request got the slot.
    pub(crate) fn started(&self) -> time::Instant {
        self.started
    }

    pub(super) fn run_key(&self) -> runs::RunKey {
        runs::RunKey(self.key.0)
    }

    /// Records that the worker did not run the request.
    pub(crate) fn record_not_run(&self) {
        lock(&self.local_worker.runs).record_not_run(self.run_key());
    }

    /// Releases the slot; `is_complete` tells whether the worker sent a complete response.
    pub(crate) fn finish(mut self, is_complete: bool) {
        self.is_finished = true;
        let run = if is_complete {
            lock(&self.local_worker.runs).record_response(self.run_key())
        } else {
            None
        };
        if let Some(run) = run {
            self.local_worker.suspects.record_completion(run);
        }
        let end = match is_complete {
            true => admission::FinishOutcome::Served(clock::now().since(self.started)),
            false => admission::FinishOutcome::Failed,
        };
        self.local_worker.finish(self.key, end);
    }

    /// Releases the slot of a request that the worker refused for lack of capacity.
    pub(crate) fn shed(mut self) {
        self.is_finished = true;
        self.local_worker.finish(self.key, admission::FinishOutcome::Shed);
    }
}

/// Decrements the count of a key, which is removed at zero.
fn decrement<K: Ord, V>(
    counts: &mut BTreeMap<K, V>,
    key: &K,
    count: impl Fn(&mut V) -> &mut usize,
) {
    if let Some(count) = counts.get_mut(key).map(count) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        decrement(&mut lock(&self.local_worker.running), &self.request, |known| &mut known.count);
        if let Some(divided_key) = &self.divided_key {
            decrement(&mut lock(&self.local_worker.running_keys), divided_key, |count| count);
        }
        lock(&self.local_worker.runs).record_interrupted(clock::now(), self.run_key());
        if self.is_finished {
            return;
        }
        lock(&self.local_worker.waiting).remove(&self.key);
        let actions = lock(&self.local_worker.queue).cancel(clock::now(), self.key);
        self.local_worker.apply(actions);
    }
}
