//! HTTP client of a node's endpoint for operators.

use std::net;
use std::time;

use bytes::Bytes;
use cornelridge_model::ident;
use cornelridge_model::report;
use http::header;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use serde::de;
use smol::future;
use smol_hyper::rt::FuturesIo;

use crate::command;
use crate::failure;

/// Timeout of connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Timeout of the response; longer than the 15 s after which a node gives up.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Maximum length of a response body, in bytes; that of a dump is the longest.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Sends requests to one node, each on its own connection.
pub(crate) struct OperatorClient<'a> {
    address: net::SocketAddr,
    token: &'a command::BearerToken,
}

/// A request to the endpoint.
pub(crate) struct OperatorCall {
    method: Method,
    path: String,
    expected: Option<ident::RevisionNumber>,
    body: Bytes,
}

impl OperatorCall {
    pub(crate) fn new(method: Method, path: impl Into<String>) -> OperatorCall {
        OperatorCall { method, path: path.into(), expected: None, body: Bytes::new() }
    }

    pub(crate) fn get(path: impl Into<String>) -> OperatorCall {
        OperatorCall::new(Method::GET, path)
    }

    pub(crate) fn expected_revision(mut self, revision: ident::RevisionNumber) -> OperatorCall {
        self.expected = Some(revision);
        self
    }

    pub(crate) fn body(mut self, body: impl Into<Bytes>) -> OperatorCall {
        self.body = body.into();
        self
    }
}

impl<'a> OperatorClient<'a> {
    pub(crate) fn new(request: &'a command::CommandRequest) -> OperatorClient<'a> {
        OperatorClient { address: request.address, token: &request.token }
    }

    /// Sends `call` and parses the response as JSON.
    pub(crate) async fn call<T: de::DeserializeOwned>(
        &self,
        call: OperatorCall,
    ) -> Result<T, failure::CommandFailure> {
        let is_read = call.method == Method::GET;
        let stream = self.connect().await?;
        let request = self.request(call)?;
        let timeout = async {
            smol::Timer::after(RESPONSE_TIMEOUT).await;
            Err(format!("no answer within {} s", RESPONSE_TIMEOUT.as_secs()))
        };
        let address = self.address;
        let response = future::or(exchange(stream, request), timeout).await;
        let (status, body) = response.map_err(|problem| match is_read {
            true => failure::CommandFailure::ReadFailed { address, problem },
            false => failure::CommandFailure::ResponseLost { address, problem },
        })?;
        let invalid_response =
            |error: serde_json::Error| failure::CommandFailure::InvalidResponse {
                address,
                problem: format!("status {status}, {error}"),
            };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(invalid_response);
        }
        let refused: report::ErrorReport =
            serde_json::from_slice(&body).map_err(invalid_response)?;
        Err(failure::CommandFailure::Refused(Box::new(refused)))
    }

    async fn connect(&self) -> Result<smol::net::TcpStream, failure::CommandFailure> {
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = future::or(smol::net::TcpStream::connect(self.address), timeout).await;
        let address = self.address;
        stream.map_err(|error| failure::CommandFailure::Connect {
            address,
            problem: error.to_string(),
        })
    }

    fn request(&self, call: OperatorCall) -> Result<Request<Full<Bytes>>, failure::CommandFailure> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token.0));
        if let Some(revision) = call.expected {
            builder = builder.header(header::IF_MATCH, format!("\"{revision}\""));
        }
        builder.body(Full::new(call.body)).map_err(|error| {
            failure::CommandFailure::usage(error.to_string(), "Check the names in the command.")
        })
    }
}

async fn exchange(
    stream: smol::net::TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let handshake = http1::handshake(FuturesIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let drive = async {
        // A connection error also fails the request, which reports it.
        let _ = connection.await;
        future::pending().await
    };
    let response = async {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    };
    future::or(response, drive).await
}
