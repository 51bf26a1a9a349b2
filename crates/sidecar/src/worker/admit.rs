//! Admission of requests to the worker.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cornelridge_fleet::admission;
use cornelridge_model::time;
use futures_lite::future;
use smol::channel;
use tokio_util::sync::CancellationToken;

use super::{LocalWorker, SlotPermit, SuspectPermit};
use crate::clock;
use crate::failure::{FailureCause, RequestFailure};
use crate::meter;
use crate::request;
use crate::view::lock;

impl LocalWorker {
    /// Returns the time that the response to a request is expected to take from this machine to the
    /// caller.
    fn sending_time(&self, request: &request::FleetRequest) -> time::Duration {
        // Most responses are short, and estimating the latency iterates over the admission queue.
        let route = &request.route;
        if !self.pacer.with_queue(|link| link.expects_large(route)) {
            return time::Duration::ZERO;
        }
        let queue = lock(&self.queue);
        let ready = queue.load(clock::now(), route).expected_latency;
        let links = if request.is_local { 1 } else { 2 };
        self.pacer.with_queue(|link| link.delay(route, links, queue.routes(), ready))
    }

    /// Waits for a slot of the worker; fails if no slot is expected in time.
    pub(crate) async fn admit(
        self: &Arc<LocalWorker>,
        request: &request::FleetRequest,
        cancellation: &CancellationToken,
    ) -> Result<SlotPermit, RequestFailure> {
        let arrived = clock::now();
        let key = admission::AdmissionKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        let admission = request.to_admission(self.sending_time(request));
        let (sender, receiver) = channel::bounded(1);
        lock(&self.waiting).insert(key, sender);
        // Dropping the permit early removes the request from the queue.
        let mut permit = SlotPermit::new(self, key, request, arrived);
        let decision = lock(&self.queue).offer(arrived, key, admission);
        let result = match decision {
            admission::AdmissionDecision::Run => Ok(()),
            admission::AdmissionDecision::Refuse(refusal) => Err(refusal),
            admission::AdmissionDecision::Wait => {
                self.request_check();
                let wait = async { Ok(receiver.recv().await) };
                let wait = future::or(cancelled_before_send(cancellation), wait).await?;
                wait.unwrap_or(Err(admission::AdmissionRefusal {
                    reason: admission::RefusalReason::Slots,
                    expected_wait: time::Duration::ZERO,
                    retry_after: time::Duration::ZERO,
                }))
            }
        };
        lock(&self.waiting).remove(&key);
        permit.start();
        meter::record_slot_wait(&request.service, permit.started().since(arrived));
        result.map(|()| permit).map_err(|refusal| {
            meter::count_refusal(&request.route, refusal.reason);
            if refusal.reason == admission::RefusalReason::Link {
                self.link_refusals.fetch_add(1, Ordering::Relaxed);
            }
            log::info!(
                request:% = request.id, wait_us = refusal.expected_wait.0, route:% = request.route,
                reason:% = refusal.reason,
                key:? = request.key, target_us = request.target.since(clock::now()).0,
                deadline_us = request.deadline.since(clock::now()).0,
                priority = request.priority;
                "request refused: it can't be served in time"
            );
            let retry_after = Some(refusal.retry_after).filter(|time| time.0 > 0);
            RequestFailure { retry_after, ..RequestFailure::not_run(FailureCause::Overloaded) }
        })
    }

    /// Returns the time after which a request that the worker refused may return.
    pub(crate) fn retry_after(&self, request: &request::FleetRequest) -> time::Duration {
        let admission = request.to_admission(time::Duration::ZERO);
        lock(&self.queue).retry_after(clock::now(), &admission)
    }

    /// Waits until no other suspect request runs; returns `None` if the request has been cleared by
    /// then.
    pub(crate) async fn admit_suspect(
        self: &Arc<LocalWorker>,
        request: &request::FleetRequest,
        cancellation: &CancellationToken,
    ) -> Result<Option<SuspectPermit>, RequestFailure> {
        let not_admitted = || RequestFailure::not_run(FailureCause::Suspect);
        let others = self.suspect_count.fetch_add(1, Ordering::Relaxed);
        let mut permit = SuspectPermit::new(self);
        let expected = self.load(&request.route).expected_latency;
        let end = clock::now() + expected.saturating_mul(others as u64 + 1);
        if others > 0 && end > request.target {
            return Err(not_admitted().with_retry_after(expected));
        }
        let guard =
            async { Ok(clock::timeout_at(request.target, self.suspect_lock.lock_arc()).await) };
        let guard = future::or(cancelled_before_send(cancellation), guard).await?;
        permit.set_guard(guard.ok_or_else(not_admitted)?);
        Ok(self.suspects.check(request)?.map(|_| permit))
    }
}

/// Waits for the cancellation of a request that wasn't sent, then fails.
pub(crate) async fn cancelled_before_send<T>(
    cancellation: &CancellationToken,
) -> Result<T, RequestFailure> {
    cancellation.cancelled().await;
    Err(RequestFailure::not_run(FailureCause::CallerLeft))
}
