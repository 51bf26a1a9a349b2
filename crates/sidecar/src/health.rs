//! Health checks of the worker beside the node, which show whether it is cold.

use std::sync::Arc;

use bytes::Bytes;
use cornelridge_fleet::warm_up;
use cornelridge_model::time;
use http::{HeaderValue, Request, header, response};
use http_body_util::{BodyExt, Full, Limited};

use crate::adapter;
use crate::clock;
use crate::connections;
use crate::view;
use crate::worker;

/// Largest body of an answer to a check, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Checks the worker beside the node when its limiter asks for it.
pub(crate) struct HealthChecker {
    pub(crate) local_worker: Arc<worker::LocalWorker>,
    pub(crate) view: Arc<view::FleetView>,
    pub(crate) format: Arc<dyn adapter::FormatAdapter>,
}

impl HealthChecker {
    /// Checks the worker until the node ends.
    pub(crate) async fn run(self) {
        loop {
            let wanted = self.local_worker.check_wanted();
            if !self.check().await {
                wanted.await;
            }
        }
    }

    /// Sends one check; returns `false` if none is due.
    async fn check(&self) -> bool {
        if !self.local_worker.is_check_due() {
            return false;
        }
        let Some((worker, path)) = self.target() else { return false };
        let pool = self.local_worker.check_pool();
        // A check is counted when it is sent, so the connection comes first.
        let connection = pool.take("", true).await;
        let Some(sent) = self.local_worker.begin_check() else {
            if let Ok(connection) = connection {
                connection.put_back();
            }
            return false;
        };
        let result = match connection {
            Ok(connection) => {
                let answer = self.exchange(connection, &worker, &path);
                let end = sent + warm_up::CHECK_TIMEOUT;
                clock::timeout_at(end, answer).await.unwrap_or(worker::CheckResult::Lost)
            }
            Err(error) => {
                log::info!(worker:% = worker, error:% = error; "connecting for a health check failed");
                worker::CheckResult::NotSent
            }
        };
        self.local_worker.finish_check(sent, result);
        true
    }

    /// Returns the identifier of the known worker and the path of its check.
    fn target(&self) -> Option<(String, Arc<str>)> {
        let grants = self.local_worker.grants();
        let report = grants.current_report()?;
        let (worker, service) = (report.name.id().to_owned(), Arc::clone(&report.service));
        drop(grants);
        let active = self.view.config()?;
        let path = active.config.service(&service)?.health_path.clone()?;
        Some((worker, path))
    }

    /// Sends a check and evaluates the answer, which must be of the known worker.
    async fn exchange(
        &self,
        connection: connections::PooledConnection,
        worker: &str,
        path: &str,
    ) -> worker::CheckResult {
        let parts = match request_health(&self.local_worker, connection, path).await {
            Ok(parts) => parts,
            Err(connections::ExchangeError::NotSent) => return worker::CheckResult::NotSent,
            Err(connections::ExchangeError::Broken(reason)) => {
                log::info!(worker, reason:% = reason; "health check not answered");
                return worker::CheckResult::Lost;
            }
        };
        let names = self.format.headers();
        let sender = parts.headers.get(&names.worker).map(HeaderValue::as_bytes);
        if !parts.status.is_success() || sender != Some(worker.as_bytes()) {
            log::info!(
                worker, sender:? = sender, status = parts.status.as_u16();
                "health check without a usable answer"
            );
            return worker::CheckResult::Lost;
        }
        read_warm_up(parts.headers.get(&names.warm_up))
    }
}

/// Sends a health check to the worker; returns the head of the answer.
async fn request_health(
    local_worker: &worker::LocalWorker,
    mut connection: connections::PooledConnection,
    path: &str,
) -> Result<response::Parts, connections::ExchangeError> {
    let host = local_worker.address.to_string();
    let request = Request::get(path).header(header::HOST, host).body(Full::new(Bytes::new()));
    let invalid = |error: http::Error| connections::ExchangeError::Broken(error.to_string());
    let (parts, body) = connection.send(request.map_err(invalid)?).await?.into_parts();
    if Limited::new(body, MAX_BODY_BYTES).collect().await.is_ok() {
        connection.put_back();
    }
    Ok(parts)
}

/// Returns the identifier that the process at the address of the worker names in the answer to a
/// health check, whatever its status; `None` if it names none.
pub(crate) async fn read_identifier(
    local_worker: &worker::LocalWorker,
    format: &dyn adapter::FormatAdapter,
    path: &str,
) -> Option<String> {
    // A connection that is kept open may lead to an earlier process.
    let connection = local_worker.check_pool().open().await.ok()?;
    let parts = request_health(local_worker, connection, path).await.ok()?;
    let identifier = parts.headers.get(&format.headers().worker)?;
    identifier.to_str().ok().map(str::to_owned)
}

/// Reads the remaining warm-up; a value that can't be read shows nothing.
fn read_warm_up(value: Option<&HeaderValue>) -> worker::CheckResult {
    let Some(value) = value else { return worker::CheckResult::Answered(None) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match millis.filter(|millis| millis.is_finite()) {
        Some(millis) if millis <= 0.0 => worker::CheckResult::Answered(None),
        Some(millis) => {
            let left = time::Duration((millis * 1e3) as u64);
            worker::CheckResult::Answered(Some(time::Duration(left.0.max(1))))
        }
        None => worker::CheckResult::Lost,
    }
}
