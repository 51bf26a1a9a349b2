//! Selection of a worker for classes that any worker may serve.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;

use cornelridge_model::assignment;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::outcome;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::selection;

use crate::context;
use crate::context::lock;
use crate::failure::RequestFailure;
use crate::request;

/// Latency target of a class whose configuration this node doesn't have yet.
const DEFAULT_TARGET: time::Duration = time::Duration::from_secs(1);

#[derive(Debug)]
struct ClassWorkers {
    selector: selection::WorkerSelector,
    members: Vec<ident::IncarnationId>,
}

/// Members and worker selector of each class.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    classes: sync::Mutex<HashMap<Arc<str>, ClassWorkers>>,
}

impl WorkerTable {
    /// Updates the workers from the members of a new assignment.
    pub(crate) fn update_members(
        &self,
        now: time::Instant,
        own_zone: &str,
        document: &assignment::AssignmentDocument,
        config: &class::ClassDocument,
    ) {
        let mut zones: Vec<&str> = document.members.iter().map(|member| &*member.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone_index = |zone: &str| {
            let index = zones.binary_search(&zone).unwrap_or(usize::from(u16::MAX));
            selection::ZoneIndex(index as u16)
        };
        let mut classes = lock(&self.classes);
        for workers in classes.values_mut() {
            let (selector, members) = (&mut workers.selector, &mut workers.members);
            members.retain(|worker| {
                let key = document.member_key(*worker);
                let is_kept = key.is_some_and(|key| is_serving(document.member(key)));
                if !is_kept {
                    selector.remove(*worker);
                }
                is_kept
            });
        }
        for member in document.members.iter().filter(|member| is_serving(member)) {
            let workers = classes.entry(Arc::clone(&member.class)).or_insert_with(|| {
                let target = config.class(&member.class).map_or(DEFAULT_TARGET, |c| c.target());
                let selector = selection::WorkerSelector::new(zone_index(own_zone), target);
                ClassWorkers { selector, members: Vec::new() }
            });
            if !workers.members.contains(&member.incarnation) {
                workers.members.push(member.incarnation);
                workers.selector.insert(now, member.incarnation, zone_index(&member.zone));
            }
        }
    }

    /// Records the load that a worker's node reports.
    pub(crate) fn record_load(
        &self,
        now: time::Instant,
        class: &str,
        worker: ident::IncarnationId,
        load: selection::LoadHint,
    ) {
        if let Some(workers) = lock(&self.classes).get_mut(class) {
            workers.selector.record_load(now, worker, load);
        }
    }

    /// Ejects workers that exceeded the silence timeout.
    pub(crate) fn tick(&self, now: time::Instant) {
        lock(&self.classes).values_mut().for_each(|workers| workers.selector.tick(now));
    }

    /// Selects a worker that hasn't been tried. For a suspect request, every node selects the same
    /// worker.
    pub(crate) fn select(
        &self,
        now: time::Instant,
        class: &str,
        tried: &[ident::IncarnationId],
        suspect: Option<quarantine::RequestFingerprint>,
        rng: &mut fastrand::Rng,
    ) -> Option<ident::IncarnationId> {
        let mut classes = lock(&self.classes);
        let selector = &mut classes.get_mut(class)?.selector;
        let selected = match suspect {
            None => selector.select(now, tried, rng)?,
            Some(fingerprint) => {
                let untried = selector.workers().filter(|worker| !tried.contains(worker));
                let worker = quarantine::worker_for_suspect(fingerprint, untried)?;
                selector.assign(now, worker)?
            }
        };
        Some(selected.worker)
    }

    /// Returns the number of workers by class.
    pub(crate) fn counts(&self) -> Vec<(Arc<str>, usize)> {
        let classes = lock(&self.classes);
        classes.iter().map(|(name, workers)| (Arc::clone(name), workers.members.len())).collect()
    }

    /// Returns the number of ejected workers by class, for the state dump.
    pub(crate) fn ejected(&self) -> Vec<(Arc<str>, usize)> {
        let classes = lock(&self.classes);
        classes.iter().map(|(name, w)| (Arc::clone(name), w.selector.ejected())).collect()
    }

    fn finish(
        &self,
        now: time::Instant,
        class: &str,
        worker: ident::IncarnationId,
        latency: time::Duration,
        result: selection::WorkerResult,
    ) {
        if let Some(workers) = lock(&self.classes).get_mut(class) {
            workers.selector.finish(now, worker, latency, result);
        }
    }
}

fn is_serving(member: &assignment::MemberRecord) -> bool {
    member.state == assignment::MemberState::Active && !member.class.is_empty()
}

/// One attempt on a worker; counted as cancelled if it is dropped before its end.
pub(crate) struct WorkerAttempt<'a> {
    context: &'a context::NodeContext,
    class: &'a str,
    worker: ident::IncarnationId,
    started: time::Instant,
    is_open: bool,
}

impl<'a> WorkerAttempt<'a> {
    /// Starts an attempt; the selector doesn't count attempts on the owners of slices.
    pub(crate) fn start(
        context: &'a context::NodeContext,
        class: &'a str,
        worker: ident::IncarnationId,
        is_sliced: bool,
    ) -> WorkerAttempt<'a> {
        let started = context.clock.now();
        WorkerAttempt { context, class, worker, started, is_open: !is_sliced }
    }

    /// Records the result of the attempt.
    pub(crate) fn finish(mut self, result: &Result<request::UpstreamResponse, RequestFailure>) {
        let result = match result {
            Ok(_) => selection::WorkerResult::Success,
            Err(failure) if failure.result == outcome::RequestOutcome::NotRun => {
                selection::WorkerResult::Refused
            }
            Err(_) => selection::WorkerResult::Failed,
        };
        self.close(result);
    }

    fn close(&mut self, result: selection::WorkerResult) {
        if !self.is_open {
            return;
        }
        self.is_open = false;
        let now = self.context.clock.now();
        let latency = now.since(self.started);
        self.context.workers.finish(now, self.class, self.worker, latency, result);
    }
}

impl Drop for WorkerAttempt<'_> {
    fn drop(&mut self) {
        self.close(selection::WorkerResult::Cancelled);
    }
}
