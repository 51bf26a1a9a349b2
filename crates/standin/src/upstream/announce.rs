//! Announcements of the upstream to the node beside it.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use futures_lite::future;
use http::header;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use smol::channel;
use smol_hyper::rt::FuturesIo;

use super::{UpstreamState, lock};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Maximum number of bytes read of the node's response.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Sends an announcement at once, then each second and on request.
pub(super) async fn announce(state: Arc<UpstreamState>, requests: channel::Receiver<()>) {
    loop {
        state.wait_while_frozen().await;
        let timeout = async {
            smol::Timer::after(ANNOUNCE_TIMEOUT).await;
            None
        };
        if future::or(post(&state), timeout).await.is_some() {
            lock(&state.counts).announced += 1;
        }
        let interval = async {
            smol::Timer::after(ANNOUNCE_INTERVAL).await;
        };
        let requested = async {
            let _ = requests.recv().await;
        };
        future::or(requested, interval).await;
    }
}

async fn post(state: &UpstreamState) -> Option<()> {
    let settings = &state.settings;
    let stream = smol::net::TcpStream::connect(settings.announce_to).await.ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let body = serde_json::json!({
        "class": settings.class,
        "address": state.address,
        "slots": settings.slots,
        "connections": settings.connections,
        "checks_fences": settings.checks_fences,
        "leaving": lock(&state.faults).leaving,
    });
    let request = http::Request::post("/announce")
        .header(header::HOST, settings.announce_to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        let is_success = response.status().is_success();
        Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?;
        is_success.then_some(())
    };
    let driven = async {
        let _ = connection.await;
        future::pending().await
    };
    future::or(exchange, driven).await
}
