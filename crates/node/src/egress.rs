//! Requests that other nodes forward to this node.

use std::sync::Arc;

use cornelridge_wire::generated;
use cornelridge_wire::transport;

use crate::body;
use crate::context;
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
        Ok(head) => gate::handle(&context, head, source).await,
        Err(failure) => Err(failure),
    };
    let (kind, answer_body) = match result {
        Ok(answer) => {
            let start = generated::ResponseStart {
                status: u32::from(answer.status.as_u16()),
                headers: headers::to_wire(&answer.headers),
            };
            (generated::response_head::Kind::Start(start), Some(answer.body))
        }
        Err(failure) => (generated::response_head::Kind::Error(failure.to_wire()), None),
    };
    let response = generated::ResponseHead { kind: Some(kind) };
    if writer.send(&response).await.is_err() {
        return;
    }
    if let Some(mut answer_body) = answer_body
        && let Err(error) = body::send_frames(&mut answer_body, &mut writer).await
    {
        // Dropping the writer resets the stream, so the other node sees that the body was cut.
        log::debug!("answer cut: {error}");
        return;
    }
    if let Err(error) = writer.finish().await {
        log::debug!("stream not finished: {error}");
    }
}
