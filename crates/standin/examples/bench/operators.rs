//! Calls to the operators' HTTP endpoint of a node, as `cornelctl` makes them.

use std::net;

use bytes::Bytes;
use cornelridge_model::class;
use cornelridge_model::ident;
use cornelridge_standin::mesh;
use futures_lite::future;
use http::header;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

/// Result of a change of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeResult {
    /// The change is in the store.
    Accepted(ident::RevisionNumber),
    /// Another change was made first.
    Conflict,
    /// The change may be in the store; the node doesn't know.
    Unknown,
    /// Any other response.
    Failed(StatusCode, String),
}

/// Returns the classes that are in force at a node.
pub(crate) async fn classes(node: net::SocketAddr) -> Result<class::ClassDocument, String> {
    let (_, body) = call(node, Method::GET, "/classes", None, Bytes::new()).await?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Changes a class if the configuration still has the revision `expected`.
pub(crate) async fn put_class(
    node: net::SocketAddr,
    class: &class::ClassConfig,
    expected: ident::RevisionNumber,
) -> Result<ChangeResult, String> {
    let body = serde_json::to_vec(class).map_err(|error| error.to_string())?;
    let path = format!("/classes/{}", class.name);
    let (status, body) = call(node, Method::PUT, &path, Some(expected), body.into()).await?;
    if status == StatusCode::CONFLICT || status == StatusCode::PRECONDITION_FAILED {
        return Ok(ChangeResult::Conflict);
    }
    if status == StatusCode::GATEWAY_TIMEOUT {
        return Ok(ChangeResult::Unknown);
    }
    if status != StatusCode::OK {
        return Ok(ChangeResult::Failed(status, String::from_utf8_lossy(&body).into_owned()));
    }
    let answer: serde_json::Value =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let revision = answer["revision"].as_u64().ok_or("no revision in the answer")?;
    Ok(ChangeResult::Accepted(ident::RevisionNumber(revision)))
}

async fn call(
    node: net::SocketAddr,
    method: Method,
    path: &str,
    expected: Option<ident::RevisionNumber>,
    body: Bytes,
) -> Result<(StatusCode, Bytes), String> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, node.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {}", mesh::OPERATOR_TOKEN));
    if let Some(expected) = expected {
        request = request.header(header::IF_MATCH, format!("\"{expected}\""));
    }
    let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
    let exchange = async {
        let stream = smol::net::TcpStream::connect(node).await.ok()?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
        let answer = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        let connection_task = async {
            let _ = connection.await;
            future::pending().await
        };
        future::or(answer, connection_task).await
    };
    exchange.await.ok_or_else(|| format!("no answer from the operators' endpoint {node}"))
}
