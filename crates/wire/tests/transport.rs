//! Streams and datagrams over loopback sockets.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use cornelridge_wire::{codec, generated, transport};
use futures_lite::future;

use support::{chunk, head, next_datagram, next_stream, pair, probe, request_id, run};

/// A request and its answer must arrive whole, each with a clean end.
#[test]
fn a_request_is_answered() {
    run(async {
        let (a, b) = pair();
        let (mut writer, mut reader) = a.open_stream(b.local_address(), &head(7)).await.unwrap();
        writer.send(&chunk(vec![1; 100], true)).await.unwrap();
        writer.finish().await.unwrap();
        let (received, mut response, mut body) = next_stream(&b).await;
        assert_eq!(request_id(&received), 7);
        assert_eq!(body.receive().await.unwrap(), Some(chunk(vec![1; 100], true)));
        assert_eq!(body.receive::<generated::BodyChunk>().await.unwrap(), None);
        response.send(&chunk(vec![2; 200], true)).await.unwrap();
        response.finish().await.unwrap();
        assert_eq!(reader.receive().await.unwrap(), Some(chunk(vec![2; 200], true)));
        assert_eq!(reader.receive::<generated::BodyChunk>().await.unwrap(), None);
    });
}

/// The first datagrams must not be lost to the handshake, and both sides share the connection.
#[test]
fn datagrams_pass_in_both_directions() {
    run(async {
        let (a, b) = pair();
        a.send_datagram(b.local_address(), &probe(1));
        let (from, message) = next_datagram(&b).await;
        assert_eq!((from, message), (a.local_address(), probe(1)));
        b.send_datagram(from, &probe(2));
        assert_eq!(next_datagram(&a).await, (b.local_address(), probe(2)));
        assert_eq!((a.connection_count(), b.connection_count()), (1, 1));
    });
}

/// A writer dropped before `finish` must give an error and not a clean end.
#[test]
fn a_cut_stream_is_an_error() {
    run(async {
        let (a, b) = pair();
        let (writer, mut reader) = a.open_stream(b.local_address(), &head(1)).await.unwrap();
        let (_, mut response, mut body) = next_stream(&b).await;
        response.send(&chunk(vec![3; 10], false)).await.unwrap();
        assert_eq!(reader.receive().await.unwrap(), Some(chunk(vec![3; 10], false)));
        drop(response);
        let reset = reader.receive::<generated::BodyChunk>().await.unwrap_err();
        assert!(matches!(reset, transport::TransportError::Reset { .. }), "{reset}");
        assert!(reset.may_have_reached_peer());
        drop(writer);
        let reset = body.receive::<generated::BodyChunk>().await.unwrap_err();
        assert!(matches!(reset, transport::TransportError::Reset { .. }), "{reset}");
    });
}

/// A reader that is dropped must end the peer's sending, or abandoned downloads would go on.
#[test]
fn a_dropped_reader_stops_the_writer() {
    run(async {
        let (a, b) = pair();
        let (_writer, reader) = a.open_stream(b.local_address(), &head(1)).await.unwrap();
        let (_, mut response, _body) = next_stream(&b).await;
        let received = response.delivered();
        drop(reader);
        assert!(!received.await);
        let error = response.send(&chunk(vec![0; 10], false)).await.unwrap_err();
        assert!(matches!(error, transport::TransportError::Stopped { .. }), "{error}");
    });
}

/// A frame above the limit must end its stream only.
#[test]
fn an_oversized_frame_ends_its_stream_only() {
    run(async {
        let (a, b) = pair();
        let to = b.local_address();
        let (mut writer, _reader) = a.open_stream(to, &head(1)).await.unwrap();
        let (_, _response, mut body) = next_stream(&b).await;
        let document = generated::DocumentAnswer { document: vec![0; codec::MAX_FRAME_BYTES] };
        let refused = writer.send(&document).await.unwrap_err();
        assert!(matches!(refused, transport::TransportError::Frame(_)), "{refused}");
        writer.send_document(&document).await.unwrap();
        let refused = body.receive::<generated::DocumentAnswer>().await.unwrap_err();
        let too_long = codec::FrameError::TooLong { length: 65_540, limit: 65_536 };
        assert!(matches!(&refused, transport::TransportError::Frame(error) if *error == too_long));
        let _second = a.open_stream(to, &head(2)).await.unwrap();
        assert_eq!(request_id(&next_stream(&b).await.0), 2);
        assert_eq!(a.connection_count(), 1);
    });
}

/// Documents of up to 1 MiB must pass in one frame.
#[test]
fn a_document_passes() {
    run(async {
        let (a, b) = pair();
        let (_writer, mut reader) = a.open_stream(b.local_address(), &head(1)).await.unwrap();
        let (_, mut response, _body) = next_stream(&b).await;
        let document = generated::DocumentAnswer { document: vec![9; 1_000_000] };
        let sent = async {
            response.send_document(&document).await.unwrap();
            response.finish().await.unwrap();
        };
        let (_, received) = future::zip(sent, reader.receive_document()).await;
        assert_eq!(received.unwrap(), Some(document.clone()));
    });
}
