//! Routes requests of operators by method and path.

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

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1_024;
/// Maximum number of bytes that are read of a request body that is too large. Closing the
/// connection with unread data would reset it, and the operator wouldn't see the reason.
const MAX_DISCARDED_BYTES: usize = 1_024 * 1_024;
/// Time limit for reading a request body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 256;
const TEXT_METRICS: &str = "text/plain; version=0.0.4";

/// Handles one request.
pub(crate) async fn handle(
    endpoint: &operators::OperatorEndpoint,
    request: Request<body::Incoming>,
) -> answer::OperatorResponse {
    let (head, body) = request.into_parts();
    let result = match (is_authorized(endpoint, &head), read_body(body).await) {
        (false, _) => Err(unauthorized()),
        (true, Err(error)) => Err(error),
        (true, Ok(body)) => dispatch(endpoint, &head, &body).await,
    };
    let response = result.unwrap_or_else(answer::OperatorError::into_response);
    metering::count_operator_request(&endpoint.node, response.status().as_u16());
    response
}

async fn dispatch(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
    body: &Bytes,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let admin = &endpoint.admin;
    let path = head.uri.path();
    let name = path.strip_prefix("/classes/");
    match (&head.method, path, name) {
        (&Method::GET, "/status", _) => Ok(answer::json(StatusCode::OK, &admin.status())),
        (&Method::GET, "/dump", _) => {
            check_node(endpoint, head)?;
            Ok(answer::json(StatusCode::OK, &admin.dump()))
        }
        (&Method::GET, "/metrics", _) => {
            Ok(answer::with_type(StatusCode::OK, TEXT_METRICS, metering::render()))
        }
        (&Method::GET, "/livez", _) => check_live(endpoint),
        (&Method::GET, "/readyz", _) => check_ready(endpoint),
        (&Method::GET, "/owner", _) => owner(endpoint, head),
        (&Method::GET, "/classes", _) => {
            let document = admin.classes();
            Ok(with_revision(answer::json(StatusCode::OK, &document), document.revision))
        }
        (&Method::GET, _, Some(name)) => show_class(endpoint, name),
        (&Method::PUT, _, Some(name)) => put_class(endpoint, head, name, body).await,
        (&Method::DELETE, _, Some(name)) => {
            let name = Arc::from(name);
            let change =
                operators::ClassChange::Delete { name, expected: expected_revision(head)? };
            change_class(endpoint, change).await
        }
        (&Method::POST, "/drain", _) => {
            check_node(endpoint, head)?;
            Ok(answer::json(StatusCode::ACCEPTED, &admin.drain().await))
        }
        (&Method::POST, "/retire", _) => retire(endpoint, body).await,
        _ => Err(unknown_route(path, name)),
    }
}

fn check_live(
    endpoint: &operators::OperatorEndpoint,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    if endpoint.admin.is_live() {
        return Ok(answer::json(StatusCode::OK, &report::HealthReport { ok: true }));
    }
    let (message, remedy) = ("the node's tasks make no progress", "restart the node");
    Err(answer::OperatorError::new(StatusCode::SERVICE_UNAVAILABLE, "not-live", message, remedy))
}

fn check_ready(
    endpoint: &operators::OperatorEndpoint,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    endpoint.admin.readiness().map_err(|error| answer::OperatorError::not_ready(&error))?;
    Ok(answer::json(StatusCode::OK, &report::HealthReport { ok: true }))
}

fn show_class(
    endpoint: &operators::OperatorEndpoint,
    name: &str,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let document = endpoint.admin.classes();
    let class = find_class(&document, name)?.clone();
    let shown = report::ClassReport { revision: document.revision, class };
    Ok(with_revision(answer::json(StatusCode::OK, &shown), document.revision))
}

async fn put_class(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
    name: &str,
    body: &Bytes,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let class: class::ClassConfig = read_json(body)?;
    if &*class.name != name {
        let message = format!("the path names class {name:?}, the body {:?}", class.name);
        let remedy = "use the same name in both";
        return Err(answer::OperatorError::new(
            StatusCode::BAD_REQUEST,
            "name-mismatch",
            message,
            remedy,
        ));
    }
    class.validate().map_err(|error| answer::OperatorError::change(error.into()))?;
    let change = operators::ClassChange::Put { class, expected: expected_revision(head)? };
    change_class(endpoint, change).await
}

async fn change_class(
    endpoint: &operators::OperatorEndpoint,
    change: operators::ClassChange,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let name = Arc::clone(change.name());
    let revision =
        endpoint.admin.change_class(change).await.map_err(answer::OperatorError::change)?;
    log::info!("an operator changed class {name}; the configuration has revision {revision}");
    let changed = report::ChangeReport { revision };
    Ok(with_revision(answer::json(StatusCode::OK, &changed), revision))
}

fn owner(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let (Some(name), Some(key)) = (query(head, "class"), query(head, "key")) else {
        let (message, remedy) = ("class or key is missing", "use /owner?class=CLASS&key=KEY");
        return Err(answer::OperatorError::new(
            StatusCode::BAD_REQUEST,
            "bad-request",
            message,
            remedy,
        ));
    };
    // The decoder replaces bytes that aren't UTF-8 by U+FFFD, and the hash of such a key would be
    // wrong.
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.contains(char::REPLACEMENT_CHARACTER) {
        let message = "the key is empty, longer than 256 bytes, or not UTF-8";
        let remedy = "use a key of 1 to 256 bytes of UTF-8";
        return Err(answer::OperatorError::new(
            StatusCode::BAD_REQUEST,
            "bad-request",
            message,
            remedy,
        ));
    }
    let document = endpoint.admin.classes();
    if !find_class(&document, &name)?.is_sliced() {
        let message = format!("requests of class {name} may go to any worker");
        let remedy = "ask only for classes that are divided by key or not idempotent";
        return Err(answer::OperatorError::new(
            StatusCode::BAD_REQUEST,
            "no-owner",
            message,
            remedy,
        ));
    }
    let owner = endpoint.admin.owner(&name, key.as_bytes());
    let owner = owner.map_err(|error| answer::OperatorError::not_ready(&error))?;
    Ok(answer::json(StatusCode::OK, &owner))
}

async fn retire(
    endpoint: &operators::OperatorEndpoint,
    body: &Bytes,
) -> Result<answer::OperatorResponse, answer::OperatorError> {
    let request: report::RetireRequest = read_json(body)?;
    if !request.confirmed_dead {
        let error = operators::RetireError::NotConfirmed { node: request.node };
        return Err(answer::OperatorError::retire(&error));
    }
    let retired = endpoint.admin.retire(&request.node, request.confirmed_dead).await;
    let retired = retired.map_err(|error| answer::OperatorError::retire(&error))?;
    log::warn!("an operator retired node {}; its leases count as expired", retired.node);
    Ok(answer::json(StatusCode::OK, &retired))
}

fn is_authorized(endpoint: &operators::OperatorEndpoint, head: &request::Parts) -> bool {
    let value = head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
    let token = value.and_then(|value| value.strip_prefix(b"Bearer "));
    token.is_some_and(|token| endpoint.token.matches(token))
}

fn unauthorized() -> answer::OperatorError {
    let message = "the bearer token is missing or wrong";
    let remedy =
        "send the token from the file of --operator-token-file in the authorization header";
    answer::OperatorError::new(StatusCode::UNAUTHORIZED, "unauthorized", message, remedy)
}

/// Refuses a request that names another node, so that a wrong address doesn't drain this one.
fn check_node(
    endpoint: &operators::OperatorEndpoint,
    head: &request::Parts,
) -> Result<(), answer::OperatorError> {
    match query(head, "node") {
        Some(node) if *node != *endpoint.node => {
            let message = format!("this is node {}, not {node}", endpoint.node);
            let remedy = "use the operator address of the node that you name";
            Err(answer::OperatorError::new(StatusCode::CONFLICT, "wrong-node", message, remedy))
        }
        _ => Ok(()),
    }
}

fn unknown_route(path: &str, name: Option<&str>) -> answer::OperatorError {
    let allowed = match (path, name) {
        ("/status" | "/dump" | "/metrics" | "/livez" | "/readyz" | "/owner" | "/classes", _) => {
            "GET"
        }
        ("/drain" | "/retire", _) => "POST",
        (_, Some(_)) => "GET, PUT or DELETE",
        _ => {
            let message = format!("{path} does not exist");
            let remedy = "use a path of docs/operators.md";
            return answer::OperatorError::new(
                StatusCode::NOT_FOUND,
                "unknown-path",
                message,
                remedy,
            );
        }
    };
    let message = format!("{path} does not have this method");
    let remedy = format!("use {allowed}");
    answer::OperatorError::new(StatusCode::METHOD_NOT_ALLOWED, "wrong-method", message, remedy)
}

fn find_class<'a>(
    document: &'a class::ClassDocument,
    name: &str,
) -> Result<&'a class::ClassConfig, answer::OperatorError> {
    let unknown = || answer::unknown_class(format!("class {name} does not exist"));
    document.class(name).ok_or_else(unknown)
}

fn query(head: &request::Parts, name: &str) -> Option<String> {
    let text = head.uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(text.as_bytes());
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns the revision that the author of a change has read, from the header `if-match`.
fn expected_revision(
    head: &request::Parts,
) -> Result<ident::RevisionNumber, answer::OperatorError> {
    let Some(value) = head.headers.get(header::IF_MATCH) else {
        let message = "the header if-match is missing";
        let remedy = "read the configuration and send its revision as if-match";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(answer::OperatorError::new(status, "revision-missing", message, remedy));
    };
    let text = value.to_str().unwrap_or_default();
    let revision = text.trim_matches('"').parse().map(ident::RevisionNumber);
    revision.map_err(|_| {
        let message = format!("if-match has the value {text:?}");
        let remedy = "use the revision as a whole number";
        answer::OperatorError::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy)
    })
}

fn with_revision(
    mut response: answer::OperatorResponse,
    revision: ident::RevisionNumber,
) -> answer::OperatorResponse {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

fn read_json<T: de::DeserializeOwned>(body: &Bytes) -> Result<T, answer::OperatorError> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body can't be read: {error}");
        let remedy = "correct the JSON; docs/operators.md lists the fields";
        answer::OperatorError::new(StatusCode::BAD_REQUEST, "bad-request", message, remedy)
    })
}

async fn read_body(body: body::Incoming) -> Result<Bytes, answer::OperatorError> {
    let expire = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        let message = format!("the body did not arrive within {} s", BODY_TIMEOUT.as_secs());
        let remedy = "nothing changed; send the request again";
        Err(answer::OperatorError::new(
            StatusCode::REQUEST_TIMEOUT,
            "body-timeout",
            message,
            remedy,
        ))
    };
    future::or(collect_body(body), expire).await
}

async fn collect_body(mut body: body::Incoming) -> Result<Bytes, answer::OperatorError> {
    let mut kept = BytesMut::new();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let (message, remedy) = ("the body ended early", "send the request again");
            return Err(answer::OperatorError::new(
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
        return Err(answer::OperatorError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            message,
            remedy,
        ));
    }
    Ok(kept.freeze())
}
