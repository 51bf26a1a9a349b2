//! Receives the announcements of the upstream and checks that it still responds.

use std::convert;
use std::sync::Arc;

use cornelridge_model::time;
use cornelridge_policy::quarantine;
use derive_more::Display;
use futures_lite::FutureExt;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::context;
use crate::drain;
use crate::peers;
use crate::planning;
use crate::serving;
use crate::upstream;

/// Time limit for the headers of an announcement.
const HEADER_READ_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Connection attempts after a connection to an upstream broke, and the interval between them.
const MAX_CRASH_CHECKS: u32 = 3;
const CRASH_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts announcements until the node stops.
pub(crate) async fn serve(context: Arc<context::NodeContext>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept a connection of the upstream: {error}");
                context.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let node = Arc::clone(&context);
        context.executor.spawn(async move {
            let service = service::service_fn(move |request| {
                let node = Arc::clone(&node);
                async move { Ok::<_, convert::Infallible>(handle(&node, request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(SmolTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT.to_std());
            if let Err(error) = builder.serve_connection(FuturesIo::new(stream), service).await {
                log::debug!("announcement connection of the upstream failed: {error}");
            }
        });
    }
}

async fn handle(
    context: &Arc<context::NodeContext>,
    request: Request<body::Incoming>,
) -> Response<Full<bytes::Bytes>> {
    if request.method() != Method::POST || request.uri().path() != "/announce" {
        return upstream::plain_response(StatusCode::NOT_FOUND, "use POST /announce");
    }
    match upstream::read_announcement(request).await {
        Ok(announcement) => {
            apply_announcement(context, announcement);
            let body = format!("{{\"node\":{:?}}}", context.identity.name);
            upstream::plain_response(StatusCode::OK, body)
        }
        Err(error) => {
            log::warn!("invalid announcement of the upstream rejected: {error}");
            upstream::plain_response(StatusCode::BAD_REQUEST, error.to_string())
        }
    }
}

fn apply_announcement(
    context: &Arc<context::NodeContext>,
    announcement: upstream::UpstreamAnnouncement,
) {
    let now = context.clock.now();
    context.record_announcement(now);
    let current = context.any_upstream();
    if let Some(link) = &current
        && link.announcement == announcement
    {
        return;
    }
    let starts_leaving =
        announcement.leaving && current.as_ref().is_none_or(|link| !link.announcement.leaving);
    let is_same_upstream = current.as_ref().is_some_and(|link| {
        let known = &link.announcement;
        known.address == announcement.address && known.class == announcement.class
    });
    if is_same_upstream {
        context.upstream_queue().set_slots(now, announcement.slots);
    } else {
        log::info!(
            "upstream of class {} announced at {}",
            announcement.class,
            announcement.address
        );
        context.upstream_queue().upstream_started(now, announcement.slots);
    }
    let instance = match &current {
        Some(link) if is_same_upstream => link.instance,
        _ => context.next_upstream_instance(),
    };
    let pool = upstream::ConnectionPool::new(announcement.address, announcement.connections);
    let link = context::UpstreamLink { announcement, pool, instance };
    context.set_upstream(Some(Arc::new(link)));
    if starts_leaving {
        drain::start_upstream(context);
    } else {
        planning::request_registration(context);
    }
}

/// Reason why an upstream is considered lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum UpstreamLoss {
    /// Its process has ended.
    #[display("its port refuses connections")]
    Crashed,
    /// It doesn't answer health checks, but may only be slow.
    #[display("it doesn't respond to health checks")]
    Silent,
    /// Its announcements have stopped.
    #[display("its announcements have stopped")]
    Unannounced,
}

/// Checks the upstream until the node stops, and releases the lease at once when it is lost.
pub(crate) async fn watch_upstream(context: Arc<context::NodeContext>) {
    let mut checker = upstream::UpstreamChecker::default();
    let mut failures = 0;
    loop {
        wait_for_check(&context).await;
        let Some(link) = context.any_upstream() else {
            failures = 0;
            continue;
        };
        let started = context.clock.now();
        let result = checker.check(link.announcement.address, &context.executor).await;
        let now = context.clock.now();
        if now.since(started) > upstream::CHECK_STALL_THRESHOLD {
            // A delay of this length means that this process was paused, so the result is void.
            continue;
        }
        failures = if result == upstream::CheckResult::Responsive { 0 } else { failures + 1 };
        let Some(loss) = detect_loss(&context, now, result, failures) else { continue };
        handle_loss(&context, &link, loss);
        failures = 0;
    }
}

fn detect_loss(
    context: &context::NodeContext,
    now: time::Instant,
    result: upstream::CheckResult,
    failures: u32,
) -> Option<UpstreamLoss> {
    let silence = now.since(context.last_announcement());
    let loss = match result {
        upstream::CheckResult::Refused if failures >= upstream::MAX_FAILED_CHECKS => {
            return Some(UpstreamLoss::Crashed);
        }
        _ if silence > upstream::ANNOUNCEMENT_TIMEOUT => UpstreamLoss::Unannounced,
        upstream::CheckResult::Silent if failures >= upstream::MAX_FAILED_CHECKS => {
            UpstreamLoss::Silent
        }
        _ => return None,
    };
    // Without a successor, a slow upstream is better than none: after a release, a new lease can
    // be acquired only if the store is available.
    serving::has_successors(context).then_some(loss)
}

/// Checks immediately whether the upstream has crashed after a connection to it broke.
///
/// A request that crashed it must be registered as a suspect before it is retried on another
/// worker.
pub(crate) async fn confirm_crash(
    context: &Arc<context::NodeContext>,
    link: &context::UpstreamLink,
) {
    // A process that ends closes its connections slightly before its listening port.
    for _ in 0..MAX_CRASH_CHECKS {
        if !upstream::accepts_connections(link.announcement.address).await {
            handle_crash(context, link);
            return;
        }
        context.sleep(CRASH_CHECK_INTERVAL).await;
    }
}

fn handle_crash(context: &Arc<context::NodeContext>, link: &context::UpstreamLink) {
    let current = context.any_upstream();
    if current.is_some_and(|current| current.instance == link.instance) {
        handle_loss(context, link, UpstreamLoss::Crashed);
    }
}

async fn wait_for_check(context: &context::NodeContext) {
    let interval = async {
        context.sleep(upstream::CHECK_INTERVAL).await;
    };
    interval.or(context.upstream_check_requested()).await;
}

fn handle_loss(
    context: &Arc<context::NodeContext>,
    link: &context::UpstreamLink,
    loss: UpstreamLoss,
) {
    log::warn!("upstream of class {} lost: {loss}", link.announcement.class);
    context.meter.count_upstream_loss();
    let now = context.clock.now();
    let running = {
        let mut queue = context.upstream_queue();
        let running = queue.take_crash_suspects(now);
        queue.upstream_lost(now);
        running
    };
    context.set_upstream(None);
    if loss == UpstreamLoss::Crashed {
        let sequence = link.instance;
        let crash = quarantine::CrashId { node: context.identity.incarnation, sequence };
        let notices = context.suspects().record_crash(now, crash, &running);
        peers::send_suspects(context, &notices);
    }
    serving::release(context);
    planning::request_registration(context);
}
