//! Client of the store over HTTP/1.1.

use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http::{Method, StatusCode, header};
use http_body_util::Full;

use crate::api::{
    ConfigStore, LeaseOutcome, MAX_VALUE_BYTES, StoreEntry, StoreError, StoreFuture, StoreRevision,
    StoreValue, WatchEvent,
};
use crate::parse;
use crate::pool::{ConnectionPool, StoreRequest, StoreResponse};

/// Timeout of a call. Calls take milliseconds; a store that takes longer counts as down.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Address of the store and timeout of its calls.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Address of the service.
    pub address: net::SocketAddr,
    /// Timeout of a call; a watch has its waiting time in addition.
    pub call_timeout: time::Duration,
}

impl StoreSettings {
    /// Creates settings with the default timeout.
    pub fn new(address: net::SocketAddr) -> StoreSettings {
        StoreSettings { address, call_timeout: CALL_TIMEOUT }
    }
}

/// Client of the store; its connections run on the global executor of `smol`.
#[derive(Debug)]
pub struct StoreClient {
    pool: ConnectionPool,
    call_timeout: time::Duration,
}

impl StoreClient {
    /// Creates a client, which connects on the first call.
    pub fn new(settings: StoreSettings) -> StoreClient {
        let pool = ConnectionPool::new(settings.address, MAX_VALUE_BYTES);
        StoreClient { pool, call_timeout: settings.call_timeout }
    }

    async fn call(&self, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        self.call_within(request, self.call_timeout).await
    }

    /// Makes a call; a longer response than any value is not one of this store.
    async fn call_within(
        &self,
        request: StoreRequest,
        timeout: time::Duration,
    ) -> Result<StoreResponse, StoreError> {
        self.pool.call(request, timeout).await.map_err(|error| match error {
            StoreError::ResponseTooLong { .. } => {
                StoreError::Malformed { reason: error.to_string() }
            }
            error => error,
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        expected: Option<StoreRevision>,
        body: Bytes,
    ) -> Result<StoreRequest, StoreError> {
        let mut builder = http::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.pool.address().to_string());
        if let Some(expected) = expected {
            builder = builder.header(header::IF_MATCH, expected.0);
        }
        builder.body(Full::new(body)).map_err(|error| StoreError::Unreachable {
            reason: format!("the request cannot be built: {error}"),
        })
    }

    async fn get_value(&self, key: &str) -> Result<Option<StoreValue>, StoreError> {
        parse::check_name(key)?;
        let request = self.request(Method::GET, &format!("/v1/kv/{key}"), None, Bytes::new())?;
        let response = self.call(request).await?;
        match response.status() {
            StatusCode::OK => parse::value(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    async fn put_value(
        &self,
        key: &str,
        expected: StoreRevision,
        value: Bytes,
    ) -> Result<StoreRevision, StoreError> {
        parse::check_name(key)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLong { key: Arc::from(key) });
        }
        let path = format!("/v1/kv/{key}");
        let response = self.call(self.request(Method::PUT, &path, Some(expected), value)?).await?;
        match response.status() {
            StatusCode::OK => parse::revision(&response),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict { key: Arc::from(key) }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLong { key: Arc::from(key) }),
            status => Err(refused(status)),
        }
    }

    async fn watch_value(
        &self,
        key: &str,
        seen: StoreRevision,
        wait: time::Duration,
    ) -> Result<WatchEvent, StoreError> {
        parse::check_name(key)?;
        let path = format!("/v1/kv/{key}?watch={seen}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path, None, Bytes::new())?;
        let response = self.call_within(request, wait + self.call_timeout).await?;
        match response.status() {
            StatusCode::OK => parse::value(response).map(WatchEvent::Changed),
            StatusCode::NOT_MODIFIED => Ok(WatchEvent::Unchanged),
            status => Err(refused(status)),
        }
    }

    async fn list_keys(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        parse::check_name(prefix)?;
        let path = format!("/v1/list/{prefix}");
        let response = self.call(self.request(Method::GET, &path, None, Bytes::new())?).await?;
        match response.status() {
            StatusCode::OK => parse::entries(&response),
            status => Err(refused(status)),
        }
    }

    async fn put_lease(
        &self,
        key: &str,
        holder: &str,
        ttl: time::Duration,
    ) -> Result<LeaseOutcome, StoreError> {
        parse::check_name(key)?;
        parse::check_name(holder)?;
        let path = format!("/v1/lease/{key}?ttl_ms={}&holder={holder}", ttl.as_millis());
        let response = self.call(self.request(Method::PUT, &path, None, Bytes::new())?).await?;
        match response.status() {
            StatusCode::OK => Ok(LeaseOutcome::Held),
            StatusCode::CONFLICT => parse::other_holder(&response),
            status => Err(refused(status)),
        }
    }

    async fn delete_lease(&self, key: &str, holder: &str) -> Result<(), StoreError> {
        parse::check_name(key)?;
        parse::check_name(holder)?;
        let path = format!("/v1/lease/{key}?holder={holder}");
        let response = self.call(self.request(Method::DELETE, &path, None, Bytes::new())?).await?;
        match response.status() {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND | StatusCode::CONFLICT => Ok(()),
            status => Err(refused(status)),
        }
    }
}

impl ConfigStore for StoreClient {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoreValue>> {
        Box::pin(self.get_value(key))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
        value: Bytes,
    ) -> StoreFuture<'a, StoreRevision> {
        Box::pin(self.put_value(key, expected, value))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: StoreRevision,
        wait: time::Duration,
    ) -> StoreFuture<'a, WatchEvent> {
        Box::pin(self.watch_value(key, seen, wait))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<StoreEntry>> {
        Box::pin(self.list_keys(prefix))
    }

    fn acquire_lease<'a>(
        &'a self,
        key: &'a str,
        holder: &'a str,
        ttl: time::Duration,
    ) -> StoreFuture<'a, LeaseOutcome> {
        Box::pin(self.put_lease(key, holder, ttl))
    }

    fn release_lease<'a>(&'a self, key: &'a str, holder: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(self.delete_lease(key, holder))
    }
}

fn refused(status: StatusCode) -> StoreError {
    StoreError::Refused { status: status.as_u16() }
}
