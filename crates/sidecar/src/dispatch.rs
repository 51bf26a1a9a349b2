//! Dispatches requests to the worker beside the node.

mod refusal;

use std::sync::Arc;

use cornelridge_fleet::member;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_wire::headers;
use futures_lite::future;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::body;
use tokio_util::sync::CancellationToken;

use crate::adapter;
use crate::clock;
use crate::connections;
use crate::failure::{FailureCause, RequestFailure, RunState};
use crate::meter;
use crate::request;
use crate::response;
use crate::segments;
use crate::send_state;
use crate::suspects;
use crate::view;
use crate::worker;

/// Time after the deadline in which a worker may still respond that the deadline has passed.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(150);
/// Largest number of attempts to send a request. An attempt fails if the worker has closed the idle
/// connection before the request is written.
const MAX_SEND_ATTEMPTS: u32 = 4;

/// Time for which a request waits at a node that, by its own view, doesn't own the key. The sending
/// node may have learned of a change of ownership earlier.
const OWNERSHIP_TIMEOUT: time::Duration = time::Duration::from_millis(120);

/// Dispatches requests to the local worker.
#[derive(Clone)]
pub(crate) struct WorkerDispatch {
    /// Zone of the worker.
    pub(crate) zone: Arc<str>,
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
}

/// Waits for the cancellation of a request that was sent, then fails with an unknown outcome.
async fn cancelled_after_send<T>(cancellation: &CancellationToken) -> Result<T, RequestFailure> {
    cancellation.cancelled().await;
    Err(RequestFailure::unknown(FailureCause::CallerLeft))
}

impl WorkerDispatch {
    /// Runs a request in a separate task.
    ///
    /// Dropping the returned future cancels an idempotent request at any time, and any other
    /// request only until it is sent to the worker.
    pub(crate) async fn run(
        &self,
        request: request::FleetRequest,
        worker: request::SelectedWorker,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let state = Arc::new(send_state::SendState::default());
        let _cancel_on_drop = state.cancellation.clone().drop_guard();
        let (dispatch, task_state) = (self.clone(), Arc::clone(&state));
        let deadline = request.deadline;
        let (sender, result) = smol::channel::bounded(1);
        smol::spawn(async move {
            let result = dispatch.run_request(&request, worker, &task_state).await;
            if task_state.cancellation.is_cancelled() {
                log_abandoned(&request, &result);
            }
            // The receiver is gone if the caller has left.
            let _ = sender.send(result).await;
        })
        .detach();
        let result = match clock::timeout_at(deadline, result.recv()).await {
            Some(result) => result,
            None if state.abandon() => {
                return Err(RequestFailure::not_run(FailureCause::DeadlinePassed));
            }
            None => result.recv().await,
        };
        let task_lost = |_| match state.abandon() {
            true => Err(RequestFailure::not_run(FailureCause::WorkerGone)),
            false => Err(RequestFailure::unknown(FailureCause::WorkerBrokeOff)),
        };
        result.unwrap_or_else(task_lost)
    }

    async fn run_request(
        &self,
        request: &request::FleetRequest,
        worker: request::SelectedWorker,
        state: &send_state::SendState,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let arrived = clock::now();
        let request::SelectedWorker { name: worker, suspect_crash, has_alternatives } = worker;
        if let Some(crash) = suspect_crash {
            self.view.suspects.merge("request", in_flight_notice(request, crash));
        }
        self.local_worker.check(&worker, request)?;
        self.check_evacuation(request)?;
        let is_avoided = has_alternatives && !self.local_worker.admits_probe();
        if is_avoided || !self.local_worker.apply_warm_up_rule(&self.view) {
            return Err(RequestFailure::not_run(FailureCause::WorkerRefuses));
        }
        self.local_worker.check_calls(request)?;
        self.local_worker.pacer.expect(&request.route, || self.view.is_bulk(&request.route));
        let started = clock::now();
        let result = self.admit_and_send(request, &worker, suspect_crash.is_some(), state).await;
        if result.as_ref().is_err_and(|failure| failure.state == RunState::NotRun) {
            self.local_worker.record_not_started(request, started);
        }
        let spent = clock::now().since(arrived);
        Ok(response::WorkerResponse { spent, ..result? })
    }

    async fn admit_and_send(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
        is_designated: bool,
        state: &send_state::SendState,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let cancellation = &state.cancellation;
        if let Some(key) = request.key {
            self.local_worker.record_key_request(key);
        }
        let admitted = self.admit(request, worker, is_designated, cancellation);
        let (_suspect_permit, permit) = future::or(self.evacuated(request), admitted).await?;
        if request.key.is_some_and(|key| !self.local_worker.grants().serves(clock::now(), key)) {
            return Err(RequestFailure::not_run(FailureCause::KeyNotHeld));
        }
        let sent = self.send(request, worker, permit, state);
        match request.is_idempotent {
            true => future::or(sent, cancelled_after_send(cancellation)).await,
            false => sent.await,
        }
    }

    /// Waits until a request may be sent to the worker.
    async fn admit(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
        is_designated: bool,
        cancellation: &CancellationToken,
    ) -> Result<(Option<worker::SuspectPermit>, worker::SlotPermit), RequestFailure> {
        loop {
            let suspect_permit = self.admit_suspect(request, is_designated, cancellation).await?;
            if let Some(key) = request.key {
                self.wait_for_grant(key, request, worker, cancellation).await?;
            }
            let mut slot_wait = request.memory.wait_for_slot();
            let permit = self.local_worker.admit(request, cancellation).await?;
            slot_wait.is_admitted = true;
            drop(slot_wait);
            self.local_worker.check(worker, request)?;
            // An identical request may have crashed a worker while this one waited.
            let crash = self.view.suspects.check(request)?;
            if suspect_permit.is_some() || crash.is_none() {
                return Ok((suspect_permit, permit));
            }
        }
    }

    /// Fails if the zone of the worker is evacuated, or if that isn't known yet.
    fn check_evacuation(&self, request: &request::FleetRequest) -> Result<(), RequestFailure> {
        let evacuations = self.view.evacuations();
        if !evacuations.is_known() {
            return Err(RequestFailure::not_run(FailureCause::NoConfiguration));
        }
        if !evacuations.refuses_local(clock::now(), &self.zone, request.key.is_some()) {
            return Ok(());
        }
        drop(evacuations);
        meter::count_evacuation_refusal(&request.route);
        log::info!(
            request:% = request.id, route:% = request.route, key:? = request.key;
            "request refused: the zone is evacuated"
        );
        Err(RequestFailure::not_run(FailureCause::ZoneEvacuated))
    }

    /// Waits until a request must not be sent any more because of an evacuation, then fails.
    async fn evacuated<T>(&self, request: &request::FleetRequest) -> Result<T, RequestFailure> {
        loop {
            let changed = self.view.evacuations_changed();
            self.check_evacuation(request)?;
            let refused_from = self.view.evacuations().keys_refused_from(&self.zone);
            match refused_from {
                Some(from) => {
                    clock::timeout_at(from, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Waits until a suspect request may run; returns `None` if the request isn't a suspect.
    ///
    /// Only the holder of its key or the worker designated for the suspect runs it.
    async fn admit_suspect(
        &self,
        request: &request::FleetRequest,
        is_designated: bool,
        cancellation: &CancellationToken,
    ) -> Result<Option<worker::SuspectPermit>, RequestFailure> {
        let Some(crash) = self.view.suspects.check(request)? else { return Ok(None) };
        if is_designated || request.key.is_some() {
            return self.local_worker.admit_suspect(request, cancellation).await;
        }
        Err(RequestFailure::not_run(FailureCause::Suspect).with_crash(crash))
    }

    /// Waits until the worker holds a key: up to the target of the request if the worker owns the
    /// key, and up to `OWNERSHIP_TIMEOUT` otherwise.
    async fn wait_for_grant(
        &self,
        key: u16,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
        cancellation: &CancellationToken,
    ) -> Result<(), RequestFailure> {
        let ownership_end = clock::now() + OWNERSHIP_TIMEOUT;
        loop {
            let (granted, changed) = (self.local_worker.changed(), self.view.changed());
            let now = clock::now();
            if self.local_worker.grants().serves(now, key) {
                return Ok(());
            }
            let owner = self.view.owner_of(&request.service, key);
            let is_owner = owner.is_some_and(|owner| owner.worker == *worker);
            let end = if is_owner { request.target } else { ownership_end.min(request.target) };
            if now >= end {
                return Err(RequestFailure::not_run(FailureCause::KeyNotHeld));
            }
            let wait = async {
                clock::timeout_at(end, future::or(granted, changed)).await;
                Ok(())
            };
            future::or(worker::cancelled_before_send(cancellation), wait).await?;
        }
    }

    async fn send(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
        permit: worker::SlotPermit,
        state: &send_state::SendState,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        for _ in 0..MAX_SEND_ATTEMPTS {
            let mut connection = self.connect(request).await?;
            let http = self.http_request(request, worker)?;
            let allowed = self
                .check_evacuation(request)
                .and_then(|()| permit.begin_send(&request.route))
                // The state changes last, so that all other failures come before it.
                .and_then(|()| {
                    start_sending(request, state).inspect_err(|_| permit.record_uncounted())
                });
            if let Err(failure) = allowed {
                connection.put_back();
                return Err(failure);
            }
            self.local_worker.record_sent(&permit, worker, request.fingerprint);
            let end = request.deadline + RESPONSE_GRACE;
            match clock::timeout_at(end, connection.send(http)).await {
                Some(Ok(response)) => {
                    return self.read_response(request, worker, permit, connection, response).await;
                }
                Some(Err(connections::ExchangeError::NotSent)) => {
                    permit.record_not_run();
                    permit.record_uncounted();
                    state.record_not_sent();
                }
                Some(Err(connections::ExchangeError::Broken(reason))) => {
                    log::warn!(
                        request:% = request.id, worker:% = worker, reason:% = reason,
                        is_reused = connection.is_reused, fingerprint:% = request.fingerprint,
                        age_us = clock::now().since(permit.started()).0;
                        "the worker closed the connection before its response"
                    );
                    self.local_worker.record_broken(permit.started());
                    drop(permit);
                    return Err(self.disconnect_failure(request, worker).await);
                }
                None => {
                    return Err(RequestFailure::unknown(FailureCause::DeadlinePassed));
                }
            }
        }
        Err(RequestFailure::not_run(FailureCause::WorkerRefuses))
    }

    /// Returns the failure of a request whose connection the worker closed without a complete
    /// response.
    async fn disconnect_failure(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
    ) -> RequestFailure {
        if !self.local_worker.check_ended(worker).await {
            return RequestFailure::unknown(FailureCause::WorkerBrokeOff);
        }
        let failure = RequestFailure::unknown(FailureCause::WorkerEnded);
        // The crash is reported to the sending node only for suspects: a node beside another
        // service doesn't know which requests succeed all the time, and would suspect these as
        // well.
        match self.view.suspects.is_suspected(request.fingerprint) {
            true => failure.with_crash(suspects::crash_id(suspects::incarnation_id(worker))),
            false => failure,
        }
    }

    async fn connect(
        &self,
        request: &request::FleetRequest,
    ) -> Result<connections::PooledConnection, RequestFailure> {
        match self.local_worker.pool.take(&request.id, request.is_idempotent).await {
            Ok(connection) => Ok(connection),
            Err(error) => {
                log::warn!(
                    request:% = request.id, error:% = error; "connecting to the worker failed"
                );
                if matches!(error, connections::ConnectError::Refused) {
                    self.local_worker.record_refused_connection();
                }
                Err(RequestFailure::not_run(FailureCause::WorkerRefuses))
            }
        }
    }

    fn http_request(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
    ) -> Result<Request<segments::SegmentedBody>, RequestFailure> {
        let bad = || RequestFailure::not_run(FailureCause::BadRequest);
        let uri: Uri = request.path.parse().map_err(|_| bad())?;
        let names = self.format.headers();
        let mut http = Request::new(request.body.clone());
        *http.method_mut() = request.method.clone();
        *http.uri_mut() = uri;
        let map = http.headers_mut();
        *map = request.headers.clone();
        let left = request.deadline.since(clock::now()).as_millis();
        set_header(map, &header::HOST, &request.host).ok_or_else(bad)?;
        set_header(map, &names.request_id, &request.id).ok_or_else(bad)?;
        set_header(map, &names.deadline, &left.to_string()).ok_or_else(bad)?;
        set_header(map, &names.expected_worker, worker.id()).ok_or_else(bad)?;
        set_header(map, &names.caller_service, &request.caller_service).ok_or_else(bad)?;
        Ok(http)
    }

    /// Records the load that the worker states in a response.
    fn record_stated_load(&self, headers: &HeaderMap) {
        let Some(value) = headers.get(&self.format.headers().load) else { return };
        match self.format.decode_load(value.as_bytes()) {
            Some(load) => self.local_worker.record_stated_load(load),
            None => log::debug!(value:? = value; "the worker states a malformed load"),
        }
    }

    async fn read_response(
        &self,
        request: &request::FleetRequest,
        worker: &member::WorkerName,
        permit: worker::SlotPermit,
        connection: connections::PooledConnection,
        response: Response<body::Incoming>,
    ) -> Result<response::WorkerResponse, RequestFailure> {
        let names = self.format.headers();
        let (mut parts, incoming) = response.into_parts();
        let echoed = parts.headers.get(&names.request_id);
        // A response without a request identifier may belong to an earlier request.
        if echoed.map_or(&b""[..], HeaderValue::as_bytes) != request.id.as_bytes() {
            log::warn!(
                request:% = request.id, echoed:? = echoed;
                "the worker sent a response to another request"
            );
            self.local_worker.pool.restrict_reuse();
            return Err(RequestFailure::unknown(FailureCause::WrongAnswer));
        }
        if !response::is_final(parts.status) {
            log::warn!(
                request:% = request.id, status = parts.status.as_u16();
                "the worker sent a status that ends no request"
            );
            self.local_worker.pool.restrict_reuse();
            return Err(RequestFailure::unknown(FailureCause::WrongAnswer));
        }
        let is_signed = parts.headers.contains_key(&names.signature);
        if parts.status.is_success() && !is_signed {
            log::warn!(
                request:% = request.id, status = parts.status.as_u16();
                "the worker sent a successful response without a signature"
            );
            self.local_worker.pool.restrict_reuse();
            return Err(RequestFailure::unknown(FailureCause::WrongAnswer));
        }
        self.record_stated_load(&parts.headers);
        self.local_worker.record_answered();
        let is_refusal = parts.headers.contains_key(&names.not_executed)
            || parts.status == StatusCode::MISDIRECTED_REQUEST;
        if is_refusal {
            let failure = refusal::read(request, permit, connection, parts.status, incoming).await;
            return Err(match failure.cause {
                FailureCause::WorkerFull if self.local_worker.shares_room => {
                    failure.with_retry_after(self.local_worker.retry_after(request))
                }
                _ => failure,
            });
        }
        response::check_passed_on(request, parts.status)?;
        headers::strip_hop_by_hop(&mut parts.headers);
        let load = self.local_worker.load_for(&request.route, request.priority);
        let slot = request.memory.keep_slot();
        let body = response::WorkerBody { incoming, permit, connection: Some(connection), slot };
        let source = response::BodySource::Worker(Box::new(body));
        let mut body = response::ResponseBody::streaming(source, request.deadline + RESPONSE_GRACE);
        if let Err(error) = body.read_ahead(&request.memory).await {
            log::warn!(
                request:% = request.id, error:% = error; "the response of the worker was cut off"
            );
            self.local_worker.pool.restrict_reuse();
            return Err(self.disconnect_failure(request, worker).await);
        }
        let spent = time::Duration::ZERO;
        Ok(response::WorkerResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            load,
            spent,
        })
    }
}

/// Checks that a request may still be sent; it then counts as sent.
fn start_sending(
    request: &request::FleetRequest,
    state: &send_state::SendState,
) -> Result<(), RequestFailure> {
    if state.cancellation.is_cancelled() {
        return Err(RequestFailure::not_run(FailureCause::CallerLeft));
    }
    if clock::now() >= request.deadline || !state.start_sending() {
        return Err(RequestFailure::not_run(FailureCause::DeadlinePassed));
    }
    Ok(())
}

/// Returns the notice that a request was in flight when a worker crashed.
pub(crate) fn in_flight_notice(
    request: &request::FleetRequest,
    crash: quarantine::CrashId,
) -> quarantine::SuspectNotice {
    quarantine::SuspectNotice::InFlight { fingerprint: request.fingerprint, crash }
}

/// Counts and logs the outcome of a request whose caller has left.
fn log_abandoned(
    request: &request::FleetRequest,
    result: &Result<response::WorkerResponse, RequestFailure>,
) {
    meter::count_left_request(&request.route, result.is_ok());
    log::info!(
        request:% = request.id, route:% = request.route, outcome:% = response::describe(result),
        is_idempotent = request.is_idempotent,
        left_us = request.deadline.since(clock::now()).0;
        "request ended after its caller had left"
    );
}

fn set_header(map: &mut HeaderMap, name: &HeaderName, value: &str) -> Option<()> {
    map.insert(name, HeaderValue::from_str(value).ok()?);
    Some(())
}
