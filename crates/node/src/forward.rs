//! Forwards requests: selects a node, sends the request there and decides about further attempts.

use std::net;
use std::pin;
use std::sync::Arc;

use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::outcome;
use cornelridge_model::time;
use cornelridge_policy::quarantine;
use cornelridge_policy::retry;
use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::FutureExt;
use http::StatusCode;

use crate::body;
use crate::context;
use crate::dispatch;
use crate::failure::{FailureKind, RequestFailure};
use crate::headers;
use crate::policies;
use crate::request;
use crate::workers;

/// Delay before the members of a chain are tried again while none of them serves the key.
const OWNER_RETRY_DELAY: time::Duration = time::Duration::from_millis(15);

/// Minimum delay before a request is retried whose connection was lost. In this time the node
/// beside the upstream notifies the others that the request may have crashed the upstream.
const MIN_CRASH_RETRY_DELAY: time::Duration = time::Duration::from_millis(30);

/// Next step after a failed attempt.
enum NextStep {
    /// Try another node at once.
    Redirect,
    /// No node serves the key yet; try again after [`OWNER_RETRY_DELAY`].
    Wait,
    /// Retry after a delay, on another worker if any may serve the class; charged to the retry
    /// budget.
    Retry { delay: time::Duration },
    /// Return the failure to the caller.
    Report,
}

/// Forwards a request until there is a response or no further attempt is allowed.
pub(crate) async fn forward(
    context: &Arc<context::NodeContext>,
    mut head: request::RequestHead,
    mut source: body::BodySource,
) -> Result<request::UpstreamResponse, RequestFailure> {
    let classes = context.classes();
    let Some(class) = classes.class(&head.class) else {
        let message = format!("class {:?} does not exist", head.class);
        return Err(RequestFailure::not_run(FailureKind::UnknownClass, message));
    };
    let hedge_delay = context.policies.record_request(context.clock.now(), class);
    let fingerprint = quarantine::RequestFingerprint(head.fingerprint(&source));
    let mut route = RoutePlan::new(class.is_sliced(), fingerprint);
    // An earlier attempt may have run although the last one didn't.
    let mut prior_outcome = outcome::RequestOutcome::NotRun;
    let mut retries = 0;
    loop {
        let copy = source.try_clone();
        let target = route.next_target(context, &head, class);
        let result = match target {
            Some(target) => {
                let attempts = HedgedAttempt { context, head: &head, class, delay: hedge_delay };
                attempts.run(source, target, &mut route).await
            }
            None => Err(route.no_target_failure(&head.class)),
        };
        let failure = match result {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let step = match &copy {
            Some(_) if context.clock.now() < head.deadline => {
                next_step(context, &route, &head, class, retries, &failure)
            }
            _ => NextStep::Report,
        };
        match step {
            NextStep::Redirect => {}
            NextStep::Wait => context.sleep(OWNER_RETRY_DELAY).await,
            NextStep::Retry { delay } => {
                let delay = match failure.kind {
                    FailureKind::UpstreamLost | FailureKind::PeerLost => {
                        delay.max(MIN_CRASH_RETRY_DELAY)
                    }
                    _ => delay,
                };
                context.meter.count_retry(&head.class);
                context.sleep(delay).await;
                retries += 1;
            }
            NextStep::Report => return Err(failure.combined_with(prior_outcome)),
        }
        prior_outcome = failure.combined_with(prior_outcome).result;
        head.attempt += 1;
        source = copy.unwrap_or(body::BodySource::Incomplete);
    }
}

fn next_step(
    context: &context::NodeContext,
    route: &RoutePlan,
    head: &request::RequestHead,
    class: &class::ClassConfig,
    retries: u32,
    failure: &RequestFailure,
) -> NextStep {
    if !failure.may_succeed_elsewhere() {
        return NextStep::Report;
    }
    let is_not_run = failure.result.is_safe_to_retry();
    let is_owner_search = class.is_sliced() && is_not_run && is_unavailable(failure.kind);
    if !class.is_sliced() && is_not_run && failure.kind == FailureKind::Draining {
        return NextStep::Redirect;
    }
    if is_owner_search {
        // The search for the owner puts no load on an upstream, so it isn't charged to the budget.
        return if route.has_more() { NextStep::Redirect } else { NextStep::Wait };
    }
    let attempt = policies::AttemptFailure {
        class,
        failure,
        attempts: retries + 1,
        deadline: head.deadline,
        other_worker: !class.is_sliced(),
    };
    let now = context.clock.now();
    match context.policies.decide(now, &attempt, &mut context.random()) {
        retry::RetryDecision::Retry { delay } => NextStep::Retry { delay },
        retry::RetryDecision::GiveUp(_) => NextStep::Report,
    }
}

/// Returns whether a failure means that the node can't serve requests for the key at the moment.
fn is_unavailable(kind: FailureKind) -> bool {
    matches!(
        kind,
        FailureKind::NotOwner
            | FailureKind::NoOwner
            | FailureKind::NotReady
            | FailureKind::PeerLost
            | FailureKind::UpstreamLost
            | FailureKind::LeaseExpired
            | FailureKind::Draining
    )
}

/// Nodes to which a request may be sent: for sliced classes the rest of the route, otherwise any
/// worker that wasn't tried.
struct RoutePlan {
    is_sliced: bool,
    fingerprint: quarantine::RequestFingerprint,
    remaining: Vec<ident::IncarnationId>,
    tried: Vec<ident::IncarnationId>,
}

impl RoutePlan {
    fn new(is_sliced: bool, fingerprint: quarantine::RequestFingerprint) -> RoutePlan {
        RoutePlan { is_sliced, fingerprint, remaining: Vec::new(), tried: Vec::new() }
    }

    fn has_more(&self) -> bool {
        self.is_sliced && !self.remaining.is_empty()
    }

    fn no_target_failure(&self, class: &str) -> RequestFailure {
        let message = match self.is_sliced {
            true => format!("no node of class {class} owns this key at the moment"),
            false => format!("no worker of class {class} is available"),
        };
        RequestFailure::not_run(FailureKind::NoOwner, message)
    }

    fn next_target(
        &mut self,
        context: &context::NodeContext,
        head: &request::RequestHead,
        class: &class::ClassConfig,
    ) -> Option<ident::IncarnationId> {
        if !self.is_sliced {
            let now = context.clock.now();
            let is_suspect = context.suspect_decision(now, self.fingerprint)
                == quarantine::SuspectDecision::RunAlone;
            let suspect = is_suspect.then_some(self.fingerprint);
            let tried = &self.tried;
            let mut random = context.random();
            let selected = context.workers.select(now, &head.class, tried, suspect, &mut random);
            self.tried.extend(selected);
            return selected;
        }
        if self.remaining.is_empty() {
            self.remaining = context.route(&head.class, head.slice_hash(class));
            self.remaining.reverse();
        }
        self.remaining.pop()
    }
}

/// An attempt that is hedged: after `delay`, a second attempt runs on another worker.
struct HedgedAttempt<'a> {
    context: &'a Arc<context::NodeContext>,
    head: &'a request::RequestHead,
    class: &'a class::ClassConfig,
    delay: Option<time::Duration>,
}

type AttemptResult = Result<request::UpstreamResponse, RequestFailure>;

impl HedgedAttempt<'_> {
    async fn run(
        &self,
        source: body::BodySource,
        target: ident::IncarnationId,
        route: &mut RoutePlan,
    ) -> AttemptResult {
        let copy = source.try_clone().filter(|_| !self.class.is_sliced());
        let first = attempt(self.context, self.head, source, self.class, target);
        let (Some(delay), Some(copy)) = (self.delay, copy) else { return first.await };
        let mut first = pin::pin!(first);
        let wait = async {
            self.context.sleep(delay).await;
            None
        };
        if let Some(result) = async { Some(first.as_mut().await) }.or(wait).await {
            return result;
        }
        let now = self.context.clock.now();
        let decision = self.context.suspect_decision(now, route.fingerprint);
        let deadline = self.head.deadline;
        if !self.context.policies.try_hedge(now, self.class, deadline, decision) {
            return first.await;
        }
        let Some(other) = route.next_target(self.context, self.head, self.class) else {
            return first.await;
        };
        self.context.meter.count_hedge(&self.head.class);
        let second = attempt(self.context, self.head, copy, self.class, other);
        first_response(first, pin::pin!(second)).await
    }
}

/// Returns the first response of two attempts. If one fails, waits for the other.
async fn first_response(
    mut first: pin::Pin<&mut impl Future<Output = AttemptResult>>,
    mut second: pin::Pin<&mut impl Future<Output = AttemptResult>>,
) -> AttemptResult {
    let ended = async { (first.as_mut().await, true) };
    match ended.or(async { (second.as_mut().await, false) }).await {
        (Ok(response), _) => Ok(response),
        (Err(failure), true) => second.await.map_err(|last| last.combined_with(failure.result)),
        (Err(failure), false) => first.await.map_err(|last| last.combined_with(failure.result)),
    }
}

async fn attempt(
    context: &Arc<context::NodeContext>,
    head: &request::RequestHead,
    source: body::BodySource,
    class: &class::ClassConfig,
    target: ident::IncarnationId,
) -> Result<request::UpstreamResponse, RequestFailure> {
    let started = context.clock.now();
    let worker_attempt =
        workers::WorkerAttempt::start(context, &head.class, target, class.is_sliced());
    let result = match target == context.identity.incarnation {
        // Boxed, because the future of a request would otherwise have 12 KiB, moved on each spawn.
        true => Box::pin(dispatch::handle(context, head.clone(), source)).await,
        false => Box::pin(send(context, head, source, target)).await,
    };
    worker_attempt.finish(&result);
    let now = context.clock.now();
    if result.is_ok() {
        context.policies.record_latency(now, class, now.since(started));
    }
    result
}

async fn send(
    context: &context::NodeContext,
    head: &request::RequestHead,
    source: body::BodySource,
    target: ident::IncarnationId,
) -> Result<request::UpstreamResponse, RequestFailure> {
    let Some(address) = context.address_of(target) else {
        let message = format!("node {target} is in no assignment that this node knows");
        return Err(RequestFailure::not_run(FailureKind::PeerLost, message));
    };
    let exchange = exchange(context, head, source, address);
    let timeout = async {
        context.sleep_until(head.deadline).await;
        let message = "no answer before the deadline";
        Err(RequestFailure::unknown(FailureKind::DeadlinePassed, message))
    };
    exchange.or(timeout).await
}

async fn exchange(
    context: &context::NodeContext,
    head: &request::RequestHead,
    mut source: body::BodySource,
    address: net::SocketAddr,
) -> Result<request::UpstreamResponse, RequestFailure> {
    let has_body = !matches!(source, body::BodySource::Empty);
    let epoch = context.epoch().0;
    let message = head.to_wire(context.clock.now(), epoch, has_body);
    let kind = Some(generated::stream_head::Kind::Request(message));
    let stream_head = generated::StreamHead { kind };
    let opened = context.endpoint.open_stream_queued(address, &stream_head).await;
    let (mut writer, mut reader) = opened.map_err(|error| transport_failure(&error))?;
    if !has_body {
        let sent = writer.finish().await;
        sent.map_err(|error| transport_failure(&error))?;
        let response = read_response_head(&mut reader).await;
        return convert_response(response.map_err(|detail| peer_lost(address, &detail))?, reader);
    }
    let upload = Box::pin(async move {
        let sent = body::send_frames(&mut source, &mut writer).await;
        sent.map_err(|error| error.to_string())
    });
    let (upload, response) =
        race_upload_with_response(context, upload, read_response_head(&mut reader)).await;
    let response = match (response, upload) {
        (Ok(response), _) => response,
        (Err(detail), Ok(())) => return Err(peer_lost(address, &detail)),
        (Err(detail), Err(error)) => {
            return Err(peer_lost(address, &format!("{detail}; request body: {error}")));
        }
    };
    convert_response(response, reader)
}

fn convert_response(
    response: generated::response_head::Kind,
    reader: transport::FrameReader,
) -> Result<request::UpstreamResponse, RequestFailure> {
    match response {
        generated::response_head::Kind::Error(error) => Err(RequestFailure::from_wire(error)),
        generated::response_head::Kind::Start(start) => {
            let status = u16::try_from(start.status).ok();
            let status = status.and_then(|status| StatusCode::from_u16(status).ok());
            Ok(request::UpstreamResponse {
                status: status.unwrap_or(StatusCode::BAD_GATEWAY),
                headers: headers::from_wire(&start.headers),
                body: request::ResponseBody::new(body::BodySource::Frames(reader)),
            })
        }
    }
}

async fn read_response_head(
    reader: &mut transport::FrameReader,
) -> Result<generated::response_head::Kind, String> {
    match reader.receive::<generated::ResponseHead>().await {
        Ok(Some(generated::ResponseHead { kind: Some(kind) })) => Ok(kind),
        Ok(_) => Err("the stream ended without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Waits for the response. An upload that hasn't ended by then continues in the background, because
/// an upstream may respond before it has read the whole body.
async fn race_upload_with_response<T>(
    context: &context::NodeContext,
    mut upload: pin::Pin<Box<dyn Future<Output = Result<(), String>> + Send>>,
    response: impl Future<Output = Result<T, String>>,
) -> (Result<(), String>, Result<T, String>) {
    let mut response = pin::pin!(response);
    let first = async { Ok(upload.as_mut().await) };
    match first.or(async { Err(response.as_mut().await) }).await {
        Ok(Ok(())) => (Ok(()), response.await),
        Ok(Err(error)) => (Err(error), response.await),
        Err(response) => {
            context.executor.spawn(async move {
                if let Err(error) = upload.await {
                    log::debug!("request body incomplete after the response began: {error}");
                }
            });
            (Ok(()), response)
        }
    }
}

fn transport_failure(error: &transport::TransportError) -> RequestFailure {
    let result = match error.may_have_reached_peer() {
        true => outcome::RequestOutcome::Unknown,
        false => outcome::RequestOutcome::NotRun,
    };
    RequestFailure::new(FailureKind::PeerLost, result, error.to_string())
}

fn peer_lost(address: net::SocketAddr, detail: &str) -> RequestFailure {
    let message = format!("node at {address} did not answer: {detail}");
    RequestFailure::unknown(FailureKind::PeerLost, message)
}
