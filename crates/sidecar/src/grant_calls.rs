//! Delivery of grants and releases to the worker by calls.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::ledger;
use cornelridge_fleet::member;
use cornelridge_model::time;
use futures_lite::future;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};

use crate::adapter;
use crate::clock;
use crate::connections;
use crate::meter;
use crate::view;
use crate::worker;

/// Longest wait for the answer to a grant. The answer to a release takes as long as the work that
/// runs on its keys, up to the longest hold.
const GRANT_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Shortest and longest time between two checks for calls that are due.
const MIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
const MAX_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Sends the grant calls of the node to its worker.
#[derive(Clone)]
pub(crate) struct GrantCaller {
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
    pub(crate) max_hold: time::Duration,
}

impl GrantCaller {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        loop {
            let (assigned, answered) = (self.view.changed(), self.local_worker.changed());
            while let Some((worker, call)) = self.next_call() {
                let caller = self.clone();
                smol::spawn(async move { caller.deliver(worker, call).await }).detach();
            }
            let now = clock::now();
            let next =
                self.local_worker.grants().next_call_at().unwrap_or(now + MAX_CHECK_INTERVAL);
            let next = next.clamp(now + MIN_CHECK_INTERVAL, now + MAX_CHECK_INTERVAL);
            clock::timeout_at(next, future::or(assigned, answered)).await;
        }
    }

    fn next_call(&self) -> Option<(member::WorkerName, ledger::WorkerCall)> {
        let ranges = self.view.ranges();
        let registration = *self.local_worker.registration();
        if !registration.covers(ranges.era()) {
            return None;
        }
        let mut grants = self.local_worker.grants();
        let report = grants.current_report()?;
        let (worker, ranges) = (report.name.clone(), ranges.service(&report.service)?);
        let is_busy = |first, last| self.local_worker.is_busy(first, last);
        let now = clock::now();
        let call = grants.next_call(now, &registration, ranges, self.max_hold, is_busy)?;
        Some((worker, call))
    }

    async fn deliver(&self, worker: member::WorkerName, call: ledger::WorkerCall) {
        let outcome = self.call(&worker, &call).await;
        let has_changed = self.local_worker.grants().apply_call(&worker, call.number, &outcome);
        log_call(&worker, &call, &outcome, has_changed);
        if has_changed {
            // Wakes requests that wait for a grant, and the planner, which commits released ranges.
            self.local_worker.notify();
            self.view.notify();
        }
    }

    async fn call(
        &self,
        worker: &member::WorkerName,
        call: &ledger::WorkerCall,
    ) -> ledger::CallOutcome {
        let order = &call.order;
        let connection = clock::timeout_at(call.send_by(), self.connection(order)).await.flatten();
        let (Some(mut connection), Some(request)) = (connection, self.request(worker, order))
        else {
            return ledger::CallOutcome::NotApplied;
        };
        if !call.may_be_sent(clock::now()) {
            return ledger::CallOutcome::NotApplied;
        }
        let (answer_timeout, is_grant) = match order {
            ledger::CallOrder::Grant(..) => (GRANT_ANSWER_TIMEOUT, true),
            ledger::CallOrder::Release(_) => (self.max_hold, false),
        };
        let exchange = async {
            let response = connection.send(request).await?;
            let (parts, incoming) = response.into_parts();
            let body = Limited::new(incoming, MAX_ANSWER_BYTES).collect().await;
            body.map_err(|error| connections::ExchangeError::Broken(error.to_string()))?;
            Ok(parts)
        };
        let parts = match clock::timeout_at(call.issued + answer_timeout, exchange).await {
            Some(Ok(parts)) => parts,
            Some(Err(connections::ExchangeError::NotSent)) => {
                return ledger::CallOutcome::NotApplied;
            }
            Some(Err(connections::ExchangeError::Broken(reason))) => {
                log::warn!(worker:% = worker, reason:% = reason; "grant call failed");
                return ledger::CallOutcome::Unanswered;
            }
            None => return ledger::CallOutcome::Unanswered,
        };
        // A second answer to a release must not be taken for that to another one.
        if is_grant {
            connection.put_back();
        }
        self.outcome(is_grant, &Response::from_parts(parts, ()))
    }

    fn outcome(&self, is_grant: bool, response: &Response<()>) -> ledger::CallOutcome {
        match (response.status(), is_grant) {
            (StatusCode::OK, true) => ledger::CallOutcome::Granted,
            (StatusCode::OK, false) => {
                let token = response.headers().get(&self.format.headers().handover);
                let token = token.and_then(|token| token.to_str().ok()).unwrap_or_default();
                ledger::CallOutcome::Released(token.into())
            }
            (StatusCode::CONFLICT, true) => ledger::CallOutcome::Outdated,
            (status, _) => {
                log::warn!(status = status.as_u16(), is_grant; "the worker refused a grant call");
                ledger::CallOutcome::NotApplied
            }
        }
    }

    /// Returns a connection for a call. A grant is sent on a new connection only if the worker has
    /// reported since one was closed: another incarnation may listen at its address, which must not
    /// get grants of this one.
    async fn connection(&self, order: &ledger::CallOrder) -> Option<connections::PooledConnection> {
        let pool = &self.local_worker.call_pool;
        if matches!(order, ledger::CallOrder::Grant(..)) {
            if let Some(connection) = pool.take_open().await {
                return Some(connection);
            }
            if self.local_worker.grants().reported_at()? <= pool.closed_at() {
                return None;
            }
        }
        match pool.open().await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::warn!(error:% = error; "connecting to the worker for a grant call failed");
                if matches!(error, connections::ConnectError::Refused) {
                    self.local_worker.record_refused_connection();
                }
                None
            }
        }
    }

    fn request(
        &self,
        worker: &member::WorkerName,
        order: &ledger::CallOrder,
    ) -> Option<Request<Full<Bytes>>> {
        let call = self.format.encode_call(order);
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = call.path.parse().ok()?;
        let headers = request.headers_mut();
        let host = self.local_worker.address.to_string();
        headers.insert(header::HOST, HeaderValue::from_str(&host).ok()?);
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let expected = HeaderValue::from_str(worker.id()).ok()?;
        headers.insert(self.format.headers().expected_worker.clone(), expected);
        Some(request)
    }
}

/// Counts and logs a call; renewals are only counted.
fn log_call(
    worker: &member::WorkerName,
    call: &ledger::WorkerCall,
    outcome: &ledger::CallOutcome,
    has_changed: bool,
) {
    let (order, first, last, fence) = match &call.order {
        ledger::CallOrder::Grant(range, _) => ("grant", range.first, range.last, range.fence),
        ledger::CallOrder::Release(range) => ("release", range.first, range.last, range.fence),
    };
    let (result, is_warm) = match outcome {
        ledger::CallOutcome::Granted => ("granted", false),
        ledger::CallOutcome::Released(handover) => ("released", !handover.is_empty()),
        ledger::CallOutcome::Outdated => ("outdated", false),
        ledger::CallOutcome::NotApplied => ("not-applied", false),
        ledger::CallOutcome::Unanswered => ("unanswered", false),
    };
    metrics::counter!(meter::GRANT_CALLS, "order" => order, "outcome" => result).increment(1);
    if has_changed || *outcome != ledger::CallOutcome::Granted {
        log::info!(
            worker:% = worker, order, first, last, fence, outcome = result, is_warm,
            age_us = clock::now().since(call.issued).0; "grant call ended"
        );
    }
}
