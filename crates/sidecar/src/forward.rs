//! Selects a worker for each request, sends the request and decides on retries.

mod history;
mod opening;
mod result;
mod zone;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use cornelridge_fleet::budget;
use cornelridge_fleet::config;
use cornelridge_fleet::member;
use cornelridge_fleet::route;
use cornelridge_fleet::selection;
use cornelridge_fleet::zone_choice;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::runs;

use crate::clock;
use crate::dispatch;
use crate::failure::{FailureCause, RequestFailure, RunState};
use crate::meter;
use crate::peers;
use crate::request;
use crate::response;
use crate::suspects::incarnation_id;
use crate::view;
use crate::view::lock;
use result::{is_zone_evacuated, worker_result};

/// Number of attempts that reached no worker, above which a request isn't retried.
const MAX_REFUSALS: u32 = 5;
/// Longest pause before the holder of a key is looked up again; a change ends it early.
const HOLDER_POLL_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Retry delay for the caller when the key of a request has no reachable holder.
const HOLDER_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);
/// Shortest time before the deadline in which another attempt is made.
const MIN_ATTEMPT_TIME: time::Duration = time::Duration::from_millis(30);

/// The worker of an attempt and the member beside it.
#[derive(Clone, Debug)]
struct AttemptTarget {
    worker: request::SelectedWorker,
    member: Arc<member::MemberEntry>,
}

/// Forwards the requests of callers to workers.
pub(crate) struct RequestForwarder {
    pub(crate) node: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) dispatch: dispatch::WorkerDispatch,
    pub(crate) links: peers::PeerLinks,
    pub(crate) selector: Mutex<selection::WorkerSelector>,
    pub(crate) budget: Mutex<budget::RetryBudget>,
    pub(crate) part_selector: Mutex<route::PartSelector>,
    pub(crate) random: Mutex<fastrand::Rng>,
    /// Candidates by service.
    pub(crate) candidate_sets: Mutex<HashMap<Arc<str>, selection::CandidateSet>>,
    /// Traffic between zones, if its cost is weighed against delays.
    pub(crate) zone_traffic: Option<Mutex<zone_choice::ZoneTraffic>>,
}

impl RequestForwarder {
    /// Returns the service for the next request of a route.
    pub(crate) fn next_service(&self, route: &config::RouteConfig) -> Option<Arc<str>> {
        lock(&self.part_selector).select(route).map(Arc::clone)
    }

    /// Sends a request to workers until one responds or no attempt is left.
    ///
    /// A failure is that of the last attempt; its state covers all attempts.
    pub(crate) async fn forward(
        &self,
        request: &request::FleetRequest,
        max_attempts: u32,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        lock(&self.budget).request_started(clock::now(), &request.service);
        let mut history = history::AttemptHistory::default();
        let result = self.run_attempts(request, max_attempts, &mut history).await;
        result.map_err(|failure| match history.runs {
            // The share of the room that a worker assigned is later than its next start.
            0 if history.has_room_time() && self.dispatch.local_worker.shares_room => {
                history.with_earliest_room(failure)
            }
            0 => self.spread_opening(request, self.with_first_opening(request, failure)),
            _ => RequestFailure { state: RunState::Unknown, ..failure },
        })
    }

    async fn run_attempts(
        &self,
        request: &request::FleetRequest,
        max_attempts: u32,
        history: &mut history::AttemptHistory,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let mut last = None;
        loop {
            history.suspect_crash = self.view.suspects.check(request)?;
            let target = match self.find_target(request, history).await {
                Ok(target) => target,
                Err(failure) => return last.unwrap_or(Err(failure)),
            };
            if history.arrivals > 0 && !self.consume_retry_budget(request) {
                return last
                    .unwrap_or_else(|| Err(RequestFailure::not_run(FailureCause::Overloaded)));
            }
            let result = self.attempt(request, &target).await;
            history.record(&target.worker.name, &result);
            if is_zone_evacuated(&result) {
                self.exclude_zone(&target.member.zone, request, history);
            }
            let crash = result.as_ref().err().and_then(|failure| failure.crash);
            if let Some(crash) = crash {
                self.view.suspects.merge("attempt", dispatch::in_flight_notice(request, crash));
            }
            if !self.should_retry(request, history, &result, max_attempts) {
                return result;
            }
            log::info!(
                request:% = request.id, worker:% = target.worker.name, service:% = request.service,
                outcome:% = response::describe(&result), arrivals = history.arrivals,
                runs = history.runs,
                left_us = request.deadline.since(clock::now()).0;
                "attempt failed; retrying"
            );
            last = Some(result);
        }
    }

    fn consume_retry_budget(&self, request: &request::FleetRequest) -> bool {
        let members = self.view.directory().iter().count();
        let is_allowed = lock(&self.budget).try_spend(clock::now(), &request.service, members);
        match is_allowed {
            true => {
                let service = Arc::clone(&request.service);
                metrics::counter!(meter::RETRIES, "service" => service).increment(1);
            }
            false => log::info!(request:% = request.id; "no retry: the retry budget is used up"),
        }
        is_allowed
    }

    fn should_retry(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
        result: &Result<response::WorkerResponse, RequestFailure>,
        max_attempts: u32,
    ) -> bool {
        let has_time = clock::now() + MIN_ATTEMPT_TIME < request.deadline;
        let failure = match result {
            Ok(response) => {
                // Another worker may succeed where one fails some of its requests.
                return response.status.is_server_error()
                    && request.is_idempotent
                    && has_time
                    && history.runs < max_attempts
                    && self.has_other_worker(request, history);
            }
            Err(failure) => failure,
        };
        if !has_time {
            return false;
        }
        match failure.cause {
            FailureCause::CallerLeft
            | FailureCause::CrashesWorkers
            | FailureCause::BadRequest
            | FailureCause::DeadlinePassed => return false,
            // Each attempt waits for the holder, so the target bounds the number of attempts.
            FailureCause::KeyNotHeld => {
                return clock::now() < request.target;
            }
            FailureCause::ZoneEvacuated | FailureCause::NoConfiguration
                if request.key.is_some() =>
            {
                return clock::now() < request.target;
            }
            _ if history.refusals > MAX_REFUSALS => return false,
            // A worker that isn't designated for a suspect refuses it, and the next attempt goes to
            // the designated one. If that one can't run it alone in time, no other worker may.
            FailureCause::Suspect => {
                return request.key.is_none() && history.suspect_crash.is_none();
            }
            _ => {}
        }
        match failure.state {
            RunState::Unknown if !request.is_idempotent => false,
            RunState::Unknown => history.runs < max_attempts,
            RunState::NotRun if request.key.is_some() => {
                failure.cause == FailureCause::WorkerGone && clock::now() < request.target
            }
            RunState::NotRun if failure.cause == FailureCause::Overloaded => {
                self.has_other_worker_in_time(request, history)
            }
            RunState::NotRun => self.has_other_worker(request, history),
        }
    }

    fn has_other_worker(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
    ) -> bool {
        request.key.is_none() && !self.candidates(request, history).is_empty()
    }

    /// Returns whether another worker may still respond in time. If all workers are full, an
    /// immediate refusal serves the caller better than further attempts.
    fn has_other_worker_in_time(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
    ) -> bool {
        let candidates = self.candidates(request, history);
        let now = clock::now();
        lock(&self.selector).may_respond(now, &candidates, self.selection_request(request))
    }

    /// Returns the worker for the next attempt. Waits up to the target for a key without a holder.
    async fn find_target(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
    ) -> Result<AttemptTarget, RequestFailure> {
        let Some(key) = request.key else { return self.select_worker(request, history) };
        let since = clock::now();
        if history.refusals > 0 {
            self.wait_for_change(request).await;
        }
        loop {
            match self.find_holder(request, history, key) {
                Ok(Some(target)) => {
                    let waited = clock::now().since(since).as_secs_f64();
                    metrics::histogram!(meter::KEY_WAIT_SECONDS).record(waited);
                    return self.check_opening(request, target);
                }
                Ok(None) if clock::now() < request.target => self.wait_for_change(request).await,
                Ok(None) => {
                    let failure = RequestFailure::not_run(FailureCause::KeyNotHeld);
                    return Err(failure.with_retry_after(HOLDER_RETRY_AFTER));
                }
                Err(failure) => return Err(failure.with_retry_after(HOLDER_RETRY_AFTER)),
            }
        }
    }

    /// Excludes the workers of a zone that another node knows to be evacuated from further
    /// attempts.
    fn exclude_zone(
        &self,
        zone: &str,
        request: &request::FleetRequest,
        history: &mut history::AttemptHistory,
    ) {
        let directory = self.view.directory();
        let workers = directory.by_service(&request.service);
        let excluded = workers.filter(|(entry, _)| *entry.zone == *zone);
        history.tried.extend(excluded.map(|(_, worker)| worker.name.clone()));
    }

    async fn wait_for_change(&self, request: &request::FleetRequest) {
        let changed = self.view.changed();
        let until = request.target.min(clock::now() + HOLDER_POLL_INTERVAL);
        clock::timeout_at(until, changed).await;
    }

    /// Returns the holder of a key, or `None` if the key has none yet or is about to leave a holder
    /// that refuses requests because its zone is evacuated.
    fn find_holder(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
        key: u16,
    ) -> Result<Option<AttemptTarget>, RequestFailure> {
        let Some(row) = self.view.row_of(&request.service, key) else { return Ok(None) };
        let Some(owner) = row.owner else { return Ok(None) };
        let directory = self.view.directory();
        let Some(member) = directory.reachable(clock::now(), &owner.node) else {
            return Err(RequestFailure::not_run(FailureCause::NodeUnreachable));
        };
        if lock(&self.selector).is_paused(clock::now(), &owner.worker) {
            return Err(RequestFailure::not_run(FailureCause::NodeUnreachable));
        }
        let member = Arc::clone(member);
        if self.view.evacuations().refuses_local(clock::now(), &member.zone, true) {
            return match row.successor {
                Some(_) => Ok(None),
                None => Err(RequestFailure::not_run(FailureCause::ZoneEvacuated)),
            };
        }
        let worker = request::SelectedWorker {
            name: owner.worker,
            suspect_crash: history.suspect_crash,
            has_alternatives: false,
        };
        Ok(Some(AttemptTarget { worker, member }))
    }

    /// Returns the workers that haven't been tried: for the first attempt the preferred ones.
    fn candidates(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
    ) -> Arc<[selection::WorkerCandidate]> {
        let set = self.candidate_set(&request.service);
        if history.tried.is_empty() && history.suspect_crash.is_none() {
            return set.with_lapsed(clock::now(), &self.view.directory(), set.preferred());
        }
        let is_left =
            |candidate: &&selection::WorkerCandidate| !history.tried.contains(&candidate.worker);
        self.all_candidates(&request.service).iter().filter(is_left).cloned().collect()
    }

    /// Returns all workers of a service that can be asked.
    fn all_candidates(&self, service: &Arc<str>) -> Arc<[selection::WorkerCandidate]> {
        let set = self.candidate_set(service);
        set.with_lapsed(clock::now(), &self.view.directory(), set.all())
    }

    /// Returns the workers of a service, which are collected again when the members or the
    /// evacuated zones have changed.
    fn candidate_set(&self, service: &Arc<str>) -> selection::CandidateSet {
        let directory = self.view.directory();
        let evacuations = self.view.evacuations();
        let mut sets = lock(&self.candidate_sets);
        let known = sets.get(service);
        if let Some(known) = known.filter(|known| known.is_current(&directory, &evacuations)) {
            return known.clone();
        }
        let (node, zone) = (&self.node, &self.zone);
        let set = selection::CandidateSet::new(&directory, &evacuations, service, node, zone);
        sets.insert(Arc::clone(service), set.clone());
        set
    }

    fn select_worker(
        &self,
        request: &request::FleetRequest,
        history: &history::AttemptHistory,
    ) -> Result<AttemptTarget, RequestFailure> {
        let candidates = self.candidates(request, history);
        let selected = if history.suspect_crash.is_some() {
            self.select_for_suspect(request, &candidates)
        } else {
            self.select_open(request, history, &candidates)?
        };
        let none = || RequestFailure::not_run(self.no_worker_cause(&request.service));
        let selected = selected.ok_or_else(none)?;
        let directory = self.view.directory();
        let member = directory.reachable(clock::now(), &selected.node).cloned();
        drop(directory);
        let worker = request::SelectedWorker {
            name: selected.worker,
            suspect_crash: history.suspect_crash,
            has_alternatives: candidates.len() > 1 && history.suspect_crash.is_none(),
        };
        Ok(AttemptTarget { worker, member: member.ok_or_else(none)? })
    }

    /// Returns why no worker of a service can be selected.
    fn no_worker_cause(&self, service: &str) -> FailureCause {
        let directory = self.view.directory();
        let evacuations = self.view.evacuations();
        match directory.by_service(service).any(|(entry, _)| evacuations.contains(&entry.zone)) {
            true => FailureCause::ZoneEvacuated,
            false => FailureCause::NoWorker,
        }
    }

    /// Returns the worker designated for a suspect. Identical requests get the same worker, as long
    /// as it can be reached.
    fn select_for_suspect(
        &self,
        request: &request::FleetRequest,
        candidates: &[selection::WorkerCandidate],
    ) -> Option<selection::WorkerCandidate> {
        let (now, selector) = (clock::now(), lock(&self.selector));
        let reachable = || candidates.iter().filter(|c| !selector.is_paused(now, &c.worker));
        let incarnation =
            |candidate: &selection::WorkerCandidate| incarnation_id(&candidate.worker);
        let worker =
            quarantine::worker_for_suspect(request.fingerprint, reachable().map(incarnation))?;
        reachable().find(|candidate| incarnation(candidate) == worker).cloned()
    }

    async fn attempt(
        &self,
        request: &request::FleetRequest,
        target: &AttemptTarget,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let sent = clock::now();
        self.count_zone(request, target);
        let worker = &target.worker.name;
        lock(&self.selector).record_sent(worker);
        let mut guard = AttemptGuard { forwarder: self, worker, is_finished: false };
        let is_local = target.member.node == self.node;
        let (result, load) = match is_local {
            true => {
                let result = self.dispatch.run(request.clone(), target.worker.clone()).await;
                let local_worker = &self.dispatch.local_worker;
                (result, Some(local_worker.load_for(&request.route, request.priority)))
            }
            false => {
                let call = self.links.call(&target.member, request, &target.worker).await;
                (call.result, call.load)
            }
        };
        guard.is_finished = true;
        if let Ok(response) = &result {
            self.record_answer_size(request, response);
        }
        let mut selector = lock(&self.selector);
        let now = clock::now();
        if let Some(load) = load {
            selector.record_load(now, worker, load.expected_latency, load.sending_time);
            selector.record_slowdown(worker, load.slowdown);
            if let Some(next_start) = load.next_start {
                let priority = request.priority;
                selector.record_next_start(now, worker, priority, next_start);
                let shares_room = self.dispatch.local_worker.shares_room;
                let refused_for = opening::refused_for(&result, next_start, shares_room);
                if let Some(refused_for) = refused_for {
                    selector.record_refused_for(now, worker, priority, refused_for);
                }
            }
        }
        if let Ok(response) = &result {
            // A node beside another service learns that a suspect is cleared only from the
            // responses that it receives itself.
            let (fingerprint, ran_at) = (request.fingerprint, incarnation_id(worker));
            self.view.suspects.record_completion(runs::SentRun {
                fingerprint,
                worker: ran_at,
                sent,
            });
            let mut transit = now.since(sent).saturating_sub(response.spent);
            if request.is_bulk {
                transit = transit.saturating_sub(response.load.sending_time);
            }
            selector.record_transit(now, worker, request.is_bulk, transit);
        }
        let is_failing = load.is_some_and(|load| load.is_failing);
        selector.record_result(now, worker, worker_result(&result, is_failing));
        drop(selector);
        result
    }

    /// Removes the state of workers, routes and hosts that no longer exist.
    pub(crate) fn remove_stale(&self) {
        let now = clock::now();
        lock(&self.links.pins).remove_unused(now);
        let mut directory = self.view.directory();
        directory.remove_gone(now);
        lock(&self.selector).retain(|worker| directory.knows_worker(worker));
        drop(directory);
        lock(&self.candidate_sets).clear();
        self.refresh_zone_traffic();
        if let Some(config) = self.view.config() {
            lock(&self.part_selector)
                .retain(|name| config.config.routes.iter().any(|route| &*route.name == name));
        }
    }
}

/// Records the attempt as cancelled when dropped before it finishes.
struct AttemptGuard<'a> {
    forwarder: &'a RequestForwarder,
    worker: &'a member::WorkerName,
    is_finished: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let end = selection::WorkerResult::Cancelled;
            lock(&self.forwarder.selector).record_result(clock::now(), self.worker, end);
        }
    }
}
