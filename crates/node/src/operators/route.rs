//! Requests of operators, by method and path.

use std::sync::Arc;
use std::time;

use bytes::{Bytes, BytesMut};
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_model::report;
use futures_lite::future;
use http::header;
use http::{HeaderValue, Method, Request, StatusCode, request};
use http_body_util::BodyExt;
use hyper::body;
use serde::de;

use crate::metering;
use crate::operators;
use crate::operators::answer;

/// Largest request body that is used, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// Most bytes of a request body that are read before it is refused. Closing the connection with
/// unread data would reset it, and the operator wouldn't see the reason.
const MAX_DISCARDED_BYTES: usize = 1_024 * 1_024;
/// Time to read the body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
const TEXT_METRICS: &str = "text/plain; version=0.0.4";

/// Answers one request.
pub(crate) async fn handle(
    endpoint: &operators::OperatorEndpoint,
    request: Request<body::Incoming>,
) -> answer::Answer {
    let (head, body) = request.into_parts();
    let result = match (is_authorized(endpoint, &head), read_body(body).await) {
        (false, _) => Err(unauthorized()),
        (true, Err(refusal)) => Err(refusal),
        (true, Ok(body)) => dispatch(endpoint, &head, &body).await,
    };
    let answer = result.unwrap_or_else(answer::Refusal::into_answer);
    metering::count_operator_request(&endpoint.node, answer.status().as_u16());
    answer
}

async fn dispatch(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
    body: &Bytes,
) -> Result<answer::Answer, answer::Refusal> {
    let source = &endpoint.source;
    let path = head.uri.path();
    let name = path.strip_prefix("/classes/");
    match (&head.method, path, name) {
        (&Method::GET, "/status", _) => Ok(answer::json(StatusCode::OK, &source.status())),
        (&Method::GET, "/dump", _) => {
            check_node(endpoint, head)?;
            Ok(answer::json(StatusCode::OK, &source.dump()))
        }
        (&Method::GET, "/metrics", _) => {
            Ok(answer::with_type(StatusCode::OK, TEXT_METRICS, metering::render()))
        }
        (&Method::GET, "/livez", _) => live(endpoint),
        (&Method::GET, "/readyz", _) => ready(endpoint),
        (&Method::GET, "/owner", _) => owner(endpoint, head),
        (&Method::GET, "/classes", _) => {
            let document = source.classes();
            Ok(with_revision(answer::json(StatusCode::OK, &document), document.revision))
        }
        (&Method::GET, _, Some(name)) => show_class(endpoint, name),
        (&Method::PUT, _, Some(name)) => put_class(endpoint, head, name, body).await,
        (&Method::DELETE, _, Some(name)) => {
            let name = Arc::from(name);
            let change = operators::ClassChange::Delete { name, expected: expected(head)? };
            change_class(endpoint, change).await
        }
        (&Method::POST, "/drain", _) => {
            check_node(endpoint, head)?;
            Ok(answer::json(StatusCode::ACCEPTED, &source.drain().await))
        }
        (&Method::POST, "/retire", _) => retire(endpoint, body).await,
        _ => Err(no_route(path, name)),
    }
}

fn live(endpoint: &operators::OperatorEndpoint) -> Result<answer::Answer, answer::Refusal> {
    if endpoint.source.is_live() {
        return Ok(answer::json(StatusCode::OK, &report::HealthReport { ok: true }));
    }
    let (message, remedy) = ("the node's tasks make no progress", "restart the node");
    Err(answer::Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "not-live", message, remedy))
}

fn ready(endpoint: &operators::OperatorEndpoint) -> Result<answer::Answer, answer::Refusal> {
    endpoint.source.readiness().map_err(|error| answer::Refusal::not_ready(&error))?;
    Ok(answer::json(StatusCode::OK, &report::HealthReport { ok: true }))
}

fn show_class(
    endpoint: &operators::OperatorEndpoint,
    name: &str,
) -> Result<answer::Answer, answer::Refusal> {
    let document = endpoint.source.classes();
    let class = find_class(&document, name)?.clone();
    let shown = report::ClassReport { revision: document.revision, class };
    Ok(with_revision(answer::json(StatusCode::OK, &shown), document.revision))
}

async fn put_class(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
    name: &str,
    body: &Bytes,
) -> Result<answer::Answer, answer::Refusal> {
    let class: class::ClassConfig = read_json(body)?;
    if &*class.name != name {
        let message = format!("the path names class {name:?}, the body {:?}", class.name);
        let remedy = "use the same name in both";
        return Err(answer::Refusal::new(
            StatusCode::BAD_REQUEST,
            "name-mismatch",
            message,
            remedy,
        ));
    }
    class.validate().map_err(|error| answer::Refusal::change(error.into()))?;
    let change = operators::ClassChange::Put { class, expected: expected(head)? };
    change_class(endpoint, change).await
}

async fn change_class(
    endpoint: &operators::OperatorEndpoint,
    change: operators::ClassChange,
) -> Result<answer::Answer, answer::Refusal> {
    let name = Arc::clone(change.name());
    let revision = endpoint.source.change_class(change).await.map_err(answer::Refusal::change)?;
    log::info!("an operator changed class {name}; the configuration has revision {revision}");
    let changed = report::ChangeReport { revision };
    Ok(with_revision(answer::json(StatusCode::OK, &changed), revision))
}

fn owner(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
) -> Result<answer::Answer, answer::Refusal> {
    let (Some(name), Some(key)) = (query(head, "class"), query(head, "key")) else {
        let (message, remedy) = ("class or key is missing", "use /owner?class=CLASS&key=KEY");
        return Err(answer::Refusal::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy));
    };
    // U+FFFD stands for bytes that aren't UTF-8; the hash of such a key would be wrong.
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.contains(char::REPLACEMENT_CHARACTER) {
        let message = "the key is empty, longer than 256 bytes, or not UTF-8";
        let remedy = "use a key of 1 to 256 bytes of UTF-8";
        return Err(answer::Refusal::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy));
    }
    let document = endpoint.source.classes();
    if !find_class(&document, &name)?.is_sliced() {
        let message = format!("requests of class {name} may go to any worker");
        let remedy = "ask only for classes that are divided by key or not idempotent";
        return Err(answer::Refusal::new(StatusCode::BAD_REQUEST, "no-owner", message, remedy));
    }
    let owner = endpoint.source.owner(&name, key.as_bytes());
    let owner = owner.map_err(|error| answer::Refusal::not_ready(&error))?;
    Ok(answer::json(StatusCode::OK, &owner))
}

async fn retire(
    endpoint: &operators::OperatorEndpoint,
    body: &Bytes,
) -> Result<answer::Answer, answer::Refusal> {
    let request: report::RetireRequest = read_json(body)?;
    if !request.confirmed_dead {
        let error = operators::RetireError::NotConfirmed { node: request.node };
        return Err(answer::Refusal::retire(&error));
    }
    let retired = endpoint.source.retire(&request.node, request.confirmed_dead).await;
    let retired = retired.map_err(|error| answer::Refusal::retire(&error))?;
    log::warn!("an operator retired node {}; its leases count as expired", retired.node);
    Ok(answer::json(StatusCode::OK, &retired))
}

fn is_authorized(endpoint: &operators::OperatorEndpoint, head: &request::Parts) -> bool {
    let value = head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
    let token = value.and_then(|value| value.strip_prefix(b"Bearer "));
    token.is_some_and(|token| endpoint.token.matches(token))
}

fn unauthorized() -> answer::Refusal {
    let message = "the bearer token is missing or wrong";
    let remedy =
        "send the token from the file of --operator-token-file in the authorization header";
    answer::Refusal::new(StatusCode::UNAUTHORIZED, "unauthorized", message, remedy)
}

/// Refuses a request that names another node, so that a wrong address drains nothing.
fn check_node(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
) -> Result<(), answer::Refusal> {
    match query(head, "node") {
        Some(node) if *node != *endpoint.node => {
            let message = format!("this is node {}, not {node}", endpoint.node);
            let remedy = "use the operator address of the node that you name";
            Err(answer::Refusal::new(StatusCode::CONFLICT, "wrong-node", message, remedy))
        }
        _ => Ok(()),
    }
}

fn no_route(path: &str, name: Option<&str>) -> answer::Refusal {
    let allowed = match (path, name) {
        ("/status" | "/dump" | "/metrics" | "/livez" | "/readyz" | "/owner" | "/classes", _) => {
            "GET"
        }
        ("/drain" | "/retire", _) => "POST",
        (_, Some(_)) => "GET, PUT or DELETE",
        _ => {
            let message = format!("{path} does not exist");
            let remedy = "use a path of docs/operators.md";
            return answer::Refusal::new(StatusCode::NOT_FOUND, "unknown-path", message, remedy);
        }
    };
    let message = format!("{path} does not have this method");
    let remedy = format!("use {allowed}");
    answer::Refusal::new(StatusCode::METHOD_NOT_ALLOWED, "wrong-method", message, remedy)
}

fn find_class<'a>(
    document: &'a class::ClassDocument,
    name: &str,
) -> Result<&'a class::ClassConfig, answer::Refusal> {
    let unknown = || answer::unknown_class(format!("class {name} does not exist"));
    document.class(name).ok_or_else(unknown)
}

fn query(head: &request::Parts, name: &str) -> Option<String> {
    let text = head.uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(text.as_bytes());
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// The revision that the author of a change has read.
fn expected(head: &request::Parts) -> Result<ident::RevisionNumber, answer::Refusal> {
    let Some(value) = head.headers.get(header::IF_MATCH) else {
        let message = "the header if-match is missing";
        let remedy = "read the configuration and send its revision as if-match";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(answer::Refusal::new(status, "revision-missing", message, remedy));
    };
    let text = value.to_str().unwrap_or_default();
    let revision = text.trim_matches('"').parse().map(ident::RevisionNumber);
    revision.map_err(|_| {
        let message = format!("if-match has the value {text:?}");
        let remedy = "use the revision as a whole number";
        answer::Refusal::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy)
    })
}

fn with_revision(mut answer: answer::Answer, revision: ident::RevisionNumber) -> answer::Answer {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        answer.headers_mut().insert(header::ETAG, value);
    }
    answer
}

fn read_json<T: de::DeserializeOwned>(body: &Bytes) -> Result<T, answer::Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body can't be read: {error}");
        let remedy = "correct the JSON; docs/operators.md lists the fields";
        answer::Refusal::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy)
    })
}

async fn read_body(body: body::Incoming) -> Result<Bytes, answer::Refusal> {
    let expire = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        let message = format!("the body did not arrive within {} s", BODY_TIMEOUT.as_secs());
        let remedy = "nothing changed; send the request again";
        Err(answer::Refusal::new(StatusCode::REQUEST_TIMEOUT, "body-timeout", message, remedy))
    };
    future::or(collect_body(body), expire).await
}

async fn collect_body(mut body: body::Incoming) -> Result<Bytes, answer::Refusal> {
    let mut kept = BytesMut::new();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let (message, remedy) = ("the body ended early", "send the request again");
            return Err(answer::Refusal::new(
                StatusCode::BAD_REQUEST,
                "bad-request",
                message,
                remedy,
            ));
        };
        let Ok(data) = frame.into_data() else { continue };
        received += data.len();
        if received > MAX_DISCARDED_BYTES {
            break;
        }
        if received <= MAX_BODY_BYTES {
            kept.extend_from_slice(&data);
        }
    }
    if received > MAX_BODY_BYTES {
        let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
        let remedy = "send one class at a time";
        return Err(answer::Refusal::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            message,
            remedy,
        ));
    }
    Ok(kept.freeze())
}
