//! Limit on the requests to a worker that may be cold.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cornelridge_fleet::admission;
use cornelridge_fleet::warm_up;
use cornelridge_model::time;
use event_listener::{Event, EventListener};

use super::{LocalWorker, SlotPermit};
use crate::clock;
use crate::connections;
use crate::failure::{FailureCause, RequestFailure};
use crate::meter;
use crate::settings;
use crate::view;
use crate::view::lock;

/// Settings and checks of the limit; its state is in the admission queue.
#[derive(Debug)]
pub(super) struct WarmUpControl {
    /// Service of the worker before its first report.
    service: Arc<str>,
    bounds: warm_up::WarmUpBounds,
    /// Version of the configuration that the limit was taken from; 0 before.
    config_version: AtomicU64,
    check_wanted: Event,
    /// Connections for health checks, which must not wait for requests.
    pool: Arc<connections::ConnectionPool>,
}

impl WarmUpControl {
    pub(super) fn new(settings: &settings::SidecarSettings) -> WarmUpControl {
        WarmUpControl {
            service: Arc::clone(&settings.service),
            bounds: settings.warm_up,
            config_version: AtomicU64::new(0),
            check_wanted: Event::new(),
            pool: connections::ConnectionPool::new(
                settings.worker,
                settings.memory_bytes.is_some(),
            ),
        }
    }
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CheckResult {
    /// The worker answered, with the remaining time of its warm-up if it is cold.
    Answered(Option<time::Duration>),
    /// The worker didn't answer in time, or in another way.
    Lost,
    /// The check wasn't written.
    NotSent,
}

impl LocalWorker {
    /// Takes the limit of the worker's service from the configuration in force; returns `false` if
    /// none is known, in which case no request may be sent.
    pub(crate) fn apply_warm_up_rule(&self, view: &view::FleetView) -> bool {
        let Some(active) = view.config() else { return false };
        let version = active.config.version;
        if self.warm_up.config_version.load(Ordering::Acquire) == version {
            return true;
        }
        let reported = self.grants().current_report().map(|report| Arc::clone(&report.service));
        let name = reported.unwrap_or_else(|| Arc::clone(&self.warm_up.service));
        let service = active.config.service(&name);
        let rule = service.and_then(|service| service.warm_up);
        let now = clock::now();
        let mut queue = lock(&self.queue);
        if queue.warm_up().map(|limiter| limiter.rule()) != rule {
            // What was sent in the last second isn't known: an earlier run of the node or an
            // earlier configuration may have been in force.
            let limiter = rule.map(|rule| {
                let mut limiter = warm_up::WarmUpLimiter::new(now, rule, self.warm_up.bounds);
                limiter.restart(now);
                limiter
            });
            queue.set_warm_up(limiter);
            log::info!(
                service:% = name, has_limit = rule.is_some(),
                max_per_second = queue.warm_up().map_or(0, |limiter| limiter.max_per_second());
                "limit for a cold worker changed"
            );
        }
        let has_checks = service.is_some_and(|service| service.health_path.is_some());
        if let Some(limiter) = queue.warm_up() {
            limiter.set_has_checks(has_checks);
        }
        let actions = queue.resume(now);
        self.warm_up.config_version.store(version, Ordering::Release);
        drop(queue);
        self.apply(actions);
        true
    }

    /// Makes the next request read the limit again, because another incarnation may be of another
    /// service.
    pub(super) fn reset_warm_up_rule(&self) {
        self.warm_up.config_version.store(0, Ordering::Release);
        self.warm_up.pool.clear();
        if lock(&self.queue).warm_up().is_some() {
            meter::record_warmth(warm_up::WorkerWarmth::Unknown);
        }
    }

    /// Records the remaining warm-up that a report states.
    pub(crate) fn record_reported_warm_up(&self, left: time::Duration) {
        let now = clock::now();
        self.update_warm_up(|limiter| limiter.record_report(now, left), "report");
    }

    /// Returns the load of the worker, with the time of the next request of a priority.
    pub(crate) fn load_for(&self, route: &str, priority: u8) -> admission::QueueLoad {
        let load = self.load(route);
        let next_start = lock(&self.queue).next_start(clock::now(), priority);
        admission::QueueLoad { next_start, ..load }
    }

    /// Returns a listener for the time at which a check may be due.
    pub(crate) fn check_wanted(&self) -> EventListener {
        self.warm_up.check_wanted.listen()
    }

    /// Returns the connections for health checks.
    pub(crate) fn check_pool(&self) -> &Arc<connections::ConnectionPool> {
        &self.warm_up.pool
    }

    /// Wakes the task that checks the worker if a check is due.
    pub(super) fn request_check(&self) {
        if self.is_check_due() {
            self.warm_up.check_wanted.notify(usize::MAX);
        }
    }

    /// Returns whether a check is to be sent now.
    pub(crate) fn is_check_due(&self) -> bool {
        let now = clock::now();
        lock(&self.queue).warm_up().is_some_and(|limiter| limiter.check_due(now))
    }

    /// Counts a check that is about to be sent; returns the time by which it is identified, or
    /// `None` if it may not be sent now.
    pub(crate) fn begin_check(&self) -> Option<time::Instant> {
        let now = clock::now();
        let mut queue = lock(&self.queue);
        let limiter = queue.warm_up().filter(|limiter| limiter.check_due(now))?;
        limiter.record_check_sent(now);
        Some(now)
    }

    /// Records the result of a check and starts the requests that may run now.
    pub(crate) fn finish_check(&self, sent: time::Instant, result: CheckResult) {
        let now = clock::now();
        meter::count_health_check(match result {
            CheckResult::Answered(None) => "warm",
            CheckResult::Answered(Some(_)) => "cold",
            CheckResult::Lost | CheckResult::NotSent => "lost",
        });
        let record = |limiter: &mut warm_up::WarmUpLimiter| match result {
            CheckResult::Answered(left) => limiter.record_check(sent, now, left),
            CheckResult::Lost => limiter.record_check_lost(sent, now),
            CheckResult::NotSent => {
                limiter.record_check_lost(sent, now);
                limiter.record_refused(now);
            }
        };
        self.update_warm_up(record, "health check");
    }

    /// Changes the limiter, logs whether the worker counts as cold, and starts the requests that
    /// may run now.
    fn update_warm_up(
        &self,
        change: impl FnOnce(&mut warm_up::WarmUpLimiter),
        evidence: &'static str,
    ) {
        let now = clock::now();
        let mut queue = lock(&self.queue);
        let Some(limiter) = queue.warm_up() else { return };
        let before = limiter.warmth();
        change(limiter);
        let after = limiter.warmth();
        let next_us = limiter.next_send_at(now).since(now).0;
        let actions = queue.resume(now);
        drop(queue);
        self.apply(actions);
        if before != after {
            meter::record_warmth(after);
            log::info!(
                before:% = before, warmth:% = after, evidence, next_us;
                "the worker's warm-up state changed"
            );
        }
    }
}

impl SlotPermit {
    /// Counts the request, which is about to be sent; fails if a cold worker may not get it now.
    pub(crate) fn begin_send(&self, route: &Arc<str>) -> Result<(), RequestFailure> {
        let counted = lock(&self.local_worker.queue).begin_send(clock::now(), self.key);
        self.local_worker.request_check();
        counted.map_err(|refusal| {
            meter::count_refusal(route, refusal.reason);
            RequestFailure::not_run(FailureCause::Overloaded).with_retry_after(refusal.retry_after)
        })
    }

    /// Records that the request doesn't count: it wasn't written, or the worker answered 421.
    pub(crate) fn record_uncounted(&self) {
        lock(&self.local_worker.queue).record_refused(clock::now());
    }
}
