//! Requests that other nodes forward to this node.

use std::sync::Arc;

use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::FutureExt;

use crate::body;
use crate::context;
use crate::dispatch;
use crate::failure::{FailureKind, RequestFailure};
use crate::headers;
use crate::request;

/// Serves one request that another node forwarded here.
pub(crate) async fn serve(
    context: Arc<context::NodeContext>,
    head: generated::RequestHead,
    mut writer: transport::FrameWriter,
    reader: transport::FrameReader,
) {
    let _in_flight = context.requests.enter();
    let has_body = head.has_body;
    let source = match has_body {
        true => body::BodySource::Frames(reader),
        false => body::BodySource::Empty,
    };
    let result = match request::RequestHead::from_wire(head, context.clock.now()) {
        Ok(head) => handle_forwarded(&context, head, source, &writer).await,
        Err(failure) => Err(failure),
    };
    let (kind, response_body) = match result {
        Ok(response) => {
            let start = generated::ResponseStart {
                status: u32::from(response.status.as_u16()),
                headers: headers::to_wire(&response.headers),
                load: None,
                spent_us: 0,
            };
            (generated::response_head::Kind::Start(start), Some(response.body))
        }
        Err(failure) => (generated::response_head::Kind::Error(failure.to_wire()), None),
    };
    let response = generated::ResponseHead { kind: Some(kind) };
    if let Err(error) = writer.queue(&response) {
        log::warn!("response head can't be sent: {error}");
        return;
    }
    let sent = match response_body {
        // On an error, dropping the writer resets the stream, which tells the other node that the
        // body is incomplete.
        Some(mut response_body) => body::send_frames(&mut response_body, &mut writer).await,
        None => writer.finish().await.map_err(body::transport_failure),
    };
    if let Err(error) = sent {
        log::debug!("response incomplete: {error}");
    }
}

/// Runs a request; an idempotent one ends early if the other node cancels it.
async fn handle_forwarded(
    context: &Arc<context::NodeContext>,
    head: request::RequestHead,
    source: body::BodySource,
    writer: &transport::FrameWriter,
) -> Result<request::UpstreamResponse, RequestFailure> {
    let is_idempotent = context.classes().class(&head.class).is_some_and(|class| class.idempotent);
    let handled = Box::pin(dispatch::handle(context, head, source));
    if !is_idempotent {
        return handled.await;
    }
    let peer_cancelled = async {
        writer.delivered().await;
        let message = "the other node has given the request up";
        Err(RequestFailure::unknown(FailureKind::PeerLost, message))
    };
    handled.or(peer_cancelled).await
}
