//! Handling of the reports of the worker beside the node.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use cornelridge_fleet::grant;
use cornelridge_fleet::member;
use cornelridge_fleet::worker_report;
use cornelridge_model::time;
use event_listener::Event;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body;

use crate::adapter;
use crate::clock;
use crate::health;
use crate::http_server;
use crate::memory;
use crate::segments;
use crate::view;
use crate::worker;

/// Longest delay of the reply to a report while waiting for the items of the store at the start of
/// the node, or for a change of the worker's assigned ranges, so that keys are granted and released
/// at once and not with the next report. A worker accepts a reply within a second.
const MAX_REPLY_DELAY: time::Duration = time::Duration::from_millis(600);
/// Longest delay of an acknowledgement while the departure of the worker is written to the store.
const MAX_RECORD_DELAY: time::Duration = time::Duration::from_millis(700);
/// Time within which a report must be received. Workers send one in milliseconds and wait a second
/// for the reply.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Handles the reports of the worker.
pub(crate) struct ReportHandler {
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
    pub(crate) max_hold: time::Duration,
    pub(crate) delivery: grant::GrantDelivery,
    /// Notified when the node's entry in the store may have to change.
    pub(crate) entry_changed: Arc<Event>,
}

impl ReportHandler {
    /// Handles one call.
    pub(crate) async fn handle(
        &self,
        memory: &memory::MemoryHolder,
        http: Request<body::Incoming>,
    ) -> Response<http_server::ServerBody> {
        let (parts, incoming) = http.into_parts();
        let body = segments::read(incoming, MAX_REPORT_BYTES, memory);
        let late = Err(segments::ReadError::Malformed);
        let body = match clock::timeout(RECEIVE_TIMEOUT, body).await.unwrap_or(late) {
            Ok(body) => body.to_bytes(),
            Err(segments::ReadError::NoMemory) => {
                return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
            }
            Err(error) => {
                log::warn!(error:? = error; "failed to receive the body of a report");
                return http_server::plain(StatusCode::BAD_REQUEST, "unreadable body");
            }
        };
        let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
        match self.format.decode_report(&parts.method, path, query, &body) {
            Ok(adapter::ReportCall::Report(report)) => self.report(*report).await,
            Ok(adapter::ReportCall::Deregister(id)) => self.deregister(&id).await,
            Err(malformed) => malformed_response(&malformed),
        }
    }

    async fn report(
        &self,
        report: worker_report::WorkerReport,
    ) -> Response<http_server::ServerBody> {
        if report.address != self.local_worker.address {
            log::warn!(
                worker:% = report.name, address:% = report.address;
                "report ignored: its address is of another worker"
            );
            return json_response(self.format.encode_reply(None));
        }
        let end = clock::now() + MAX_REPLY_DELAY;
        let Some(config) = self.await_view(end).await else {
            log::warn!(
                worker:% = report.name;
                "report not acknowledged: the items of the store aren't known yet"
            );
            return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        };
        if let Some(response) = self.reject(&config, &report) {
            return response;
        }
        self.local_worker.restore(&self.view);
        let before = self.local_worker.grants().current_report().map(|known| known.state);
        let mut status = self.apply_report(report.clone());
        if status == grant::ReportStatus::Unconfirmed && self.identify(&config, &report, end).await
        {
            status = self.apply_report(report.clone());
        }
        if !self.record_status(status, &report) {
            return json_response(self.format.encode_reply(None));
        }
        let state = self.local_worker.grants().current_report().map(|known| known.state);
        if let Some(state) = state.filter(|state| before != Some(*state)) {
            log::info!(worker:% = report.name, state:? = state; "worker state changed");
            self.entry_changed.notify(usize::MAX);
        }
        let is_leaving = self.local_worker.grants().leaving_since().is_some();
        if is_leaving && !self.await_record(grant::WorkerGrants::is_departure_recorded).await {
            return unacknowledged(&report.name.0);
        }
        if !config.config.is_divided(&report.service) {
            return json_response(self.format.encode_reply(None));
        }
        self.await_change(&report.service, &report.name, report.sequence, end).await;
        self.reply(&report.service, &report.name, report.sequence)
    }

    /// Returns the response to a report that is of no use with this configuration.
    fn reject(
        &self,
        config: &view::ActiveConfig,
        report: &worker_report::WorkerReport,
    ) -> Option<Response<http_server::ServerBody>> {
        if config.config.service(&report.service).is_none() {
            log::warn!(
                worker:% = report.name, service:% = report.service;
                "report ignored: its service isn't configured"
            );
            return Some(json_response(self.format.encode_reply(None)));
        }
        // Workers that are granted keys by calls are released from them by calls, too.
        let needs_ranges = config.config.is_divided(&report.service)
            && self.delivery == grant::GrantDelivery::Replies;
        let is_malformed = needs_ranges && !report.lists_ranges;
        is_malformed.then(|| {
            malformed_response(&adapter::MalformedCall {
                status: StatusCode::BAD_REQUEST,
                reason: format!("report of {}: lists of ranges are missing", report.name),
            })
        })
    }

    /// Records a report that has been applied; returns `false` if it was ignored.
    fn record_status(
        &self,
        status: grant::ReportStatus,
        report: &worker_report::WorkerReport,
    ) -> bool {
        match status {
            grant::ReportStatus::Stale => {
                log::info!(worker:% = report.name; "report ignored: a newer one has been received");
                return false;
            }
            grant::ReportStatus::Unconfirmed => {
                log::warn!(
                    worker:% = report.name, service:% = report.service;
                    "report of another incarnation ignored: the known one may hold keys and isn't \
                     known to have ended"
                );
                return false;
            }
            grant::ReportStatus::NewWorker => {
                log::info!(
                    worker:% = report.name, service:% = report.service, slots = report.slots;
                    "new incarnation of the worker reported"
                );
                self.local_worker.handle_restart(report.slots);
                self.entry_changed.notify(usize::MAX);
            }
            grant::ReportStatus::Current => self.local_worker.set_slots(report.slots),
        }
        self.local_worker.record_reported_warm_up(report.warm_up);
        true
    }

    /// Applies a report. If the report of another incarnation is believed, the previous one has
    /// ended.
    fn apply_report(&self, report: worker_report::WorkerReport) -> grant::ReportStatus {
        let mut grants = self.local_worker.grants();
        if grants.reported_at().is_some_and(|at| self.local_worker.is_disconnected_since(at)) {
            grants.disconnected();
        }
        let previous = grants.last_incarnation().cloned();
        let was_leaving = grants.leaving_since().is_some();
        let status = grants.apply_report(clock::now(), report);
        drop(grants);
        if let (grant::ReportStatus::NewWorker, Some(previous)) = (status, previous) {
            self.local_worker.record_end(&previous, was_leaving, "another incarnation reports");
        }
        status
    }

    /// Waits until `end` for the configuration, the members and the ranges. Without these it isn't
    /// known which reports can be of the worker.
    async fn await_view(&self, end: time::Instant) -> Option<Arc<view::ActiveConfig>> {
        loop {
            let changed = self.view.changed();
            let config = self.view.config();
            if config.is_some() && self.view.is_loaded.load(Ordering::Relaxed) {
                return config;
            }
            clock::timeout_at(end, changed).await?;
        }
    }

    /// Asks the process at the address of the worker for its identifier until `end`, if that can
    /// show that the sender of a report is the worker; returns whether it answered.
    async fn identify(
        &self,
        config: &view::ActiveConfig,
        report: &worker_report::WorkerReport,
        end: time::Instant,
    ) -> bool {
        let is_due = self.local_worker.grants().is_identification_due(clock::now(), &report.name);
        let service = config.config.service(&report.service).filter(|_| is_due);
        let Some(path) = service.and_then(|service| service.health_path.as_deref()) else {
            return false;
        };
        let identifier = health::read_identifier(&self.local_worker, &*self.format, path);
        let Some(id) = clock::timeout_at(end, identifier).await.flatten() else { return false };
        log::info!(
            worker:% = report.name, id:% = id;
            "the process at the address of the worker named its identifier"
        );
        self.local_worker.grants().identify(&id);
        true
    }

    /// Waits until the ranges assigned to the worker differ from those that it holds, or until
    /// `end`.
    async fn await_change(
        &self,
        service: &str,
        worker: &member::WorkerName,
        sequence: u64,
        end: time::Instant,
    ) {
        loop {
            let changed = self.view.changed();
            let may_defer = {
                let ranges = self.view.ranges();
                let ranges = ranges.service(service);
                self.local_worker.grants().may_defer_reply(
                    worker,
                    sequence,
                    end + MAX_REPLY_DELAY,
                    ranges,
                )
            };
            if !may_defer || clock::timeout_at(end, changed).await.is_none() {
                return;
            }
        }
    }

    fn reply(
        &self,
        service: &Arc<str>,
        worker: &member::WorkerName,
        sequence: u64,
    ) -> Response<http_server::ServerBody> {
        if !self.local_worker.grants().is_latest_report(worker, sequence) {
            log::info!(worker:% = worker; "report not answered: a newer one has been received");
            return json_response(self.format.encode_reply(None));
        }
        let reply = {
            let ranges = self.view.ranges();
            let registration = *self.local_worker.registration();
            let is_covered = registration.covers(ranges.era());
            let ranges = ranges.service(service).filter(|_| is_covered);
            let mut grants = self.local_worker.grants();
            is_covered
                .then(|| grants.reply(clock::now(), &registration, ranges, self.max_hold))
                .flatten()
        };
        let withheld = reply.as_ref().map_or(0, |reply| reply.withheld);
        if withheld > 0 {
            log::warn!(worker:% = worker, withheld; "ranges not granted: the reply has no space");
        }
        // Wakes requests that wait for a grant, and the planner, which commits released ranges.
        self.local_worker.notify();
        self.view.notify();
        json_response(self.format.encode_reply(reply.as_ref()))
    }

    async fn deregister(&self, id: &str) -> Response<http_server::ServerBody> {
        if self.local_worker.grants().deregister(clock::now(), clock::unix_ms(), id) {
            log::info!(id; "worker deregistered; it is about to exit");
        } else {
            log::info!(id; "deregistration of a worker that isn't the known one");
        }
        self.entry_changed.notify(usize::MAX);
        let is_recorded = |grants: &grant::WorkerGrants| grants.is_deregistration_recorded(id);
        match self.await_record(is_recorded).await {
            true => http_server::plain(StatusCode::OK, "{}"),
            false => unacknowledged(id),
        }
    }

    /// Waits until the departure of a worker is in the store; returns `false` after
    /// `MAX_RECORD_DELAY`.
    async fn await_record(&self, is_recorded: impl Fn(&grant::WorkerGrants) -> bool) -> bool {
        let end = clock::now() + MAX_RECORD_DELAY;
        loop {
            let changed = self.local_worker.changed();
            if is_recorded(&self.local_worker.grants()) {
                return true;
            }
            if clock::timeout_at(end, changed).await.is_none() {
                return false;
            }
        }
    }
}

/// Returns the response to a worker whose departure isn't in the store yet. It takes no new
/// requests all the same, and calls again.
fn unacknowledged(worker: &str) -> Response<http_server::ServerBody> {
    log::warn!(worker; "departure not acknowledged: the store hasn't recorded it");
    http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "departure not recorded yet")
}

fn malformed_response(malformed: &adapter::MalformedCall) -> Response<http_server::ServerBody> {
    log::warn!(reason:% = malformed.reason; "report ignored: it is malformed");
    http_server::plain(malformed.status, "unreadable call")
}

fn json_response(body: Bytes) -> Response<http_server::ServerBody> {
    let mut response = http_server::plain(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
