//! Reports of the worker beside the node.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::grant;
use cornelridge_fleet::member;
use cornelridge_model::time;
use event_listener::Event;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body;

use crate::adapter;
use crate::clock;
use crate::http_server;
use crate::view;
use crate::worker;

/// Time for which the answer to a report waits for a change of what the worker is to hold, so that
/// it gets keys and gives them back at once and not with its next report. A worker takes an answer
/// within a second.
const ANSWER_WAIT: time::Duration = time::Duration::from_millis(600);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Answers the reports of the worker.
pub(crate) struct ReportDesk {
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
    pub(crate) max_hold: time::Duration,
    /// Told when the entry of the node may have to change.
    pub(crate) entry_changed: Arc<Event>,
}

impl ReportDesk {
    /// Answers one call.
    pub(crate) async fn handle(
        &self,
        http: Request<body::Incoming>,
    ) -> Response<http_server::ServerBody> {
        let (parts, incoming) = http.into_parts();
        let body = match Limited::new(incoming, MAX_REPORT_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                log::warn!(error:% = error; "report not received");
                return http_server::plain(StatusCode::BAD_REQUEST, "unreadable body");
            }
        };
        let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
        match self.format.decode_report(&parts.method, path, query, &body) {
            Ok(adapter::ReportCall::Report(report)) => self.report(*report).await,
            Ok(adapter::ReportCall::Deregister(id)) => {
                self.goodbye(&id);
                http_server::plain(StatusCode::OK, "{}")
            }
            Err(unreadable) => {
                log::warn!(reason:% = unreadable.reason; "report ignored: it can't be read");
                http_server::plain(unreadable.status, "unreadable call")
            }
        }
    }

    async fn report(&self, report: grant::WorkerReport) -> Response<http_server::ServerBody> {
        if report.address != self.local_worker.address {
            log::warn!(
                worker:% = report.name, address:% = report.address;
                "report ignored: it is of another worker"
            );
            return json(self.format.encode_reply(None));
        }
        let config = self.view.config();
        if config.is_some_and(|config| config.config.service(&report.service).is_none()) {
            log::warn!(
                worker:% = report.name, service:% = report.service;
                "report ignored: its service isn't configured"
            );
            return json(self.format.encode_reply(None));
        }
        let (name, slots) = (report.name.clone(), report.slots);
        let sequence = report.sequence;
        let service = Arc::clone(&report.service);
        let before = self.local_worker.grants().current_report().map(|known| known.state);
        let verdict = self.take(report);
        match verdict {
            grant::ReportStatus::Stale => {
                log::info!(worker:% = name; "report ignored: a newer one is known");
                return json(self.format.encode_reply(None));
            }
            grant::ReportStatus::NewWorker => {
                log::info!(worker:% = name, service:% = service, slots; "worker runs");
                self.local_worker.handle_restart(slots);
                self.entry_changed.notify(usize::MAX);
            }
            grant::ReportStatus::Current => self.local_worker.set_slots(slots),
        }
        let state = self.local_worker.grants().current_report().map(|known| known.state);
        if let Some(state) = state.filter(|state| before != Some(*state)) {
            log::info!(worker:% = name, state:? = state; "worker changed its state");
            self.entry_changed.notify(usize::MAX);
        }
        let is_divided =
            self.view.config().is_some_and(|config| config.config.is_divided(&service));
        if !is_divided {
            return json(self.format.encode_reply(None));
        }
        self.await_change(&service, &name, sequence).await;
        self.reply(&service, &name, sequence)
    }

    /// Takes over a report. The first one of an incarnation shows that the one before has ended.
    fn take(&self, report: grant::WorkerReport) -> grant::ReportStatus {
        let mut desk = self.local_worker.grants();
        let earlier = desk.last_incarnation().cloned();
        let was_leaving = desk.leaving_since().is_some();
        let verdict = desk.apply_report(clock::now(), report);
        drop(desk);
        if let (grant::ReportStatus::NewWorker, Some(earlier)) = (verdict, earlier) {
            self.local_worker.record_end(&earlier, was_leaving, "another incarnation reports");
        }
        verdict
    }

    /// Waits until the worker is to hold something else than it does, but not for long.
    async fn await_change(&self, service: &str, worker: &member::WorkerName, sequence: u64) {
        let end = clock::now() + ANSWER_WAIT;
        loop {
            let changed = self.view.changed();
            let may_wait = {
                let ranges = self.view.ranges();
                let ranges = ranges.service(service);
                self.local_worker.grants().may_defer_reply(
                    worker,
                    sequence,
                    end + ANSWER_WAIT,
                    ranges,
                )
            };
            if !may_wait || clock::timeout_at(end, changed).await.is_none() {
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
            log::info!(worker:% = worker; "report not answered: a newer one is known");
            return json(self.format.encode_reply(None));
        }
        let reply = {
            let ranges = self.view.ranges();
            let tenure = *self.local_worker.registration();
            let ranges = ranges.service(service);
            self.local_worker.grants().reply(clock::now(), &tenure, ranges, self.max_hold)
        };
        // Wakes requests that wait for a grant, and the settling of released ranges.
        self.local_worker.notify();
        self.view.notify();
        json(self.format.encode_reply(reply.as_ref()))
    }

    fn goodbye(&self, id: &str) {
        if !self.local_worker.grants().deregister(clock::now(), id) {
            log::info!(id; "goodbye of a worker that isn't known here");
            return;
        }
        log::info!(id; "worker is about to end");
        self.entry_changed.notify(usize::MAX);
    }
}

fn json(body: Bytes) -> Response<http_server::ServerBody> {
    let mut response = http_server::plain(StatusCode::OK, body);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
