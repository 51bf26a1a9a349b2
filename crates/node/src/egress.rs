//! Requests that other nodes forward to this node.

use std::sync::Arc;

use cornelridge_wire::generated;
use cornelridge_wire::transport;
use futures_lite::FutureExt;

use crate::body;
use crate::context;
use crate::failure::{FailureKind, RequestFailure};
use crate::gate;
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
        Ok(head) => run(&context, head, source, &writer).await,
        Err(failure) => Err(failure),
    };
    let (kind, answer_body) = match result {
        Ok(answer) => {
            let start = generated::ResponseStart {
                status: u32::from(answer.status.as_u16()),
                headers: headers::to_wire(&answer.headers),
                load: None,
                spent_us: 0,
            };
            (generated::response_head::Kind::Start(start), Some(answer.body))
        }
        Err(failure) => (generated::response_head::Kind::Error(failure.to_wire()), None),
    };
    let response = generated::ResponseHead { kind: Some(kind) };
    if let Err(error) = writer.queue(&response) {
        log::warn!("answer can't be sent: {error}");
        return;
    }
    let sent = match answer_body {
        // Dropping the writer resets the stream, so the other node sees that the body was cut.
        Some(mut answer_body) => body::send_frames(&mut answer_body, &mut writer).await,
        None => writer.finish().await.map_err(body::cut),
    };
    if let Err(error) = sent {
        log::debug!("answer cut: {error}");
    }
}

/// Runs a request; an idempotent one ends early when the other node has given it up.
async fn run(
    context: &Arc<context::NodeContext>,
    head: request::RequestHead,
    source: body::BodySource,
    writer: &transport::FrameWriter,
) -> Result<request::RequestAnswer, RequestFailure> {
    let is_idempotent = context.classes().class(&head.class).is_some_and(|class| class.idempotent);
    let handled = Box::pin(gate::handle(context, head, source));
    if !is_idempotent {
        return handled.await;
    }
    let given_up = async {
        writer.delivered().await;
        let message = "the other node has given the request up";
        Err(RequestFailure::unknown(FailureKind::PeerLost, message))
    };
    handled.or(given_up).await
}
