//! Responses that don't follow the interface, as from another service at the store's address.

#![allow(clippy::unwrap_used)]

use cornelridge_store::api::{ConfigStore, StoreError, StoreRevision};
use cornelridge_store::client;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Starts a server that writes `response` to one connection and closes it; returns its client.
async fn client_with_response(response: &'static [u8]) -> client::StoreClient {
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(response).await;
    })
    .detach();
    client::StoreClient::new(client::StoreSettings::new(address))
}

/// A value without a usable version must not be taken as a new version.
#[test]
fn a_value_without_a_revision_is_refused() {
    smol::block_on(async {
        for response in [
            &b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"[..],
            b"HTTP/1.1 200 OK\r\netag: abc\r\ncontent-length: 1\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\netag: 0\r\ncontent-length: 1\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\netag: -1\r\ncontent-length: 1\r\n\r\nx",
        ] {
            let store = client_with_response(response).await;
            let error = store.get("classes").await.unwrap_err();
            assert!(matches!(error, StoreError::Malformed { .. }), "{error}");
            let store = client_with_response(response).await;
            let error = store.put("classes", StoreRevision(1), "x".into()).await.unwrap_err();
            assert!(error.may_have_taken_effect(), "{error}");
        }
    });
}

/// A malformed listing must be an error, not an empty list.
#[test]
fn a_malformed_listing_is_refused() {
    smol::block_on(async {
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        let error = client_with_response(response).await.list("nodes/").await.unwrap_err();
        assert!(matches!(error, StoreError::Malformed { .. }), "{error}");
    });
}

/// A response that ends early or isn't HTTP must count as lost: the call may have taken effect.
#[test]
fn a_cut_answer_is_lost() {
    smol::block_on(async {
        for response in [
            &b""[..],
            b"not HTTP at all\r\n\r\n",
            b"HTTP/1.1 200 OK\r\netag: 4\r\ncontent-length: 10\r\n\r\nx",
        ] {
            let store = client_with_response(response).await;
            let error = store.put("classes", StoreRevision(1), "x".into()).await.unwrap_err();
            if !response.starts_with(b"HTTP") {
                assert!(matches!(error, StoreError::ResponseLost { .. }), "{error}");
            }
            assert!(error.may_have_taken_effect(), "{error}");
        }
    });
}

/// A refusal must keep its status, and only one with a 5xx status may have taken effect.
#[test]
fn a_refusal_keeps_its_status() {
    smol::block_on(async {
        let response = b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";
        let error = client_with_response(response).await.get("classes").await.unwrap_err();
        assert_eq!(error, StoreError::Refused { status: 429 });
        assert!(!error.may_have_taken_effect());
        let response = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let error = client_with_response(response).await.get("classes").await.unwrap_err();
        assert!(error.may_have_taken_effect());
    });
}

/// Sequential calls must share a connection, to avoid a handshake for each call.
#[test]
fn connections_are_reused() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = client::StoreSettings::new(listener.local_addr().unwrap());
        // The kernel accepts further connections, but nothing responds on them.
        let serving = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                let response = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response).await.unwrap();
            }
        });
        let store = client::StoreClient::new(settings);
        for _ in 0..10 {
            assert_eq!(store.get("classes").await.unwrap(), None);
        }
        drop(store);
        serving.await;
    });
}

/// An idle connection that the store has closed must be replaced without an error to the caller.
#[test]
fn a_closed_connection_is_replaced() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = client::StoreSettings::new(listener.local_addr().unwrap());
        let store = client::StoreClient::new(settings);
        for _ in 0..3 {
            let respond = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 4_096]).await;
                let response =
                    b"HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response).await.unwrap();
            };
            let (result, ()) = futures_lite::future::zip(store.get("classes"), respond).await;
            assert_eq!(result.unwrap(), None);
        }
    });
}
