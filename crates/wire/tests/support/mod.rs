//! Endpoints and messages for tests.

#![allow(clippy::unwrap_used, clippy::panic, dead_code)]

use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use cornelridge_wire::transport::{FrameReader, FrameWriter, NodeEndpoint, PeerEvent};
use cornelridge_wire::{generated, identity, transport};
use futures_lite::future;
use generated::control_message::Body;
use generated::stream_head::Kind;

/// Far above any expected wait; a test that reaches it has hung.
pub(crate) const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let timeout = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("the test waited {TEST_TIMEOUT:?} for an event");
    };
    smol::block_on(future::or(test, timeout))
}

pub(crate) fn bind_at(listen: net::SocketAddr, identity: identity::TlsIdentity) -> NodeEndpoint {
    NodeEndpoint::bind(transport::EndpointSettings::new(listen, identity)).unwrap()
}

pub(crate) fn bind(identity: identity::TlsIdentity) -> NodeEndpoint {
    bind_at(([127, 0, 0, 1], 0).into(), identity)
}

pub(crate) fn pair() -> (NodeEndpoint, NodeEndpoint) {
    let authority = identity::TrialAuthority::new().unwrap();
    (bind(authority.issue("a").unwrap()), bind(authority.issue("b").unwrap()))
}

pub(crate) fn head(id: u64) -> generated::StreamHead {
    let request = generated::RequestHead { request_id: id, ..Default::default() };
    generated::StreamHead { kind: Some(Kind::Request(request)) }
}

pub(crate) fn request_id(head: &generated::StreamHead) -> u64 {
    match &head.kind {
        Some(Kind::Request(request)) => request.request_id,
        other => panic!("not a request: {other:?}"),
    }
}

pub(crate) fn probe(nonce: u64) -> generated::ControlMessage {
    let probe = generated::Probe { nonce, versions: None };
    generated::ControlMessage { sender: 1, body: Some(Body::Probe(probe)) }
}

pub(crate) fn chunk(data: Vec<u8>, last: bool) -> generated::BodyChunk {
    generated::BodyChunk { data: data.into(), last }
}

pub(crate) async fn next_stream(
    endpoint: &NodeEndpoint,
) -> (generated::StreamHead, FrameWriter, FrameReader) {
    let events = endpoint.events();
    loop {
        if let PeerEvent::Stream { head, writer, reader, .. } = events.recv().await.unwrap() {
            return (head, writer, reader);
        }
    }
}

pub(crate) async fn next_datagram(
    endpoint: &NodeEndpoint,
) -> (net::SocketAddr, generated::ControlMessage) {
    let events = endpoint.events();
    loop {
        if let PeerEvent::Datagram { from, message } = events.recv().await.unwrap() {
            return (from, message);
        }
    }
}

/// A UDP relay in front of an endpoint that can drop everything, like a cut link.
pub(crate) struct UdpRelay {
    pub(crate) address: net::SocketAddr,
    drops_all: Arc<AtomicBool>,
    drops_responses: Arc<AtomicBool>,
    _tasks: Vec<smol::Task<()>>,
}

impl UdpRelay {
    pub(crate) async fn start(target: net::SocketAddr) -> UdpRelay {
        let inner = smol::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let outer = smol::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = outer.local_addr().unwrap();
        let drops_all = Arc::new(AtomicBool::new(false));
        let drops_responses = Arc::new(AtomicBool::new(false));
        let client = Arc::new(Mutex::new(None));
        let (receive_socket, send_socket) = (outer.clone(), inner.clone());
        let (drop_all, client_address) = (Arc::clone(&drops_all), Arc::clone(&client));
        let forward = smol::spawn(async move {
            let mut packet = vec![0; 65_536];
            while let Ok((length, from)) = receive_socket.recv_from(&mut packet).await {
                *client_address.lock().unwrap() = Some(from);
                if !drop_all.load(Ordering::SeqCst) {
                    let _ = send_socket.send_to(&packet[..length], target).await;
                }
            }
        });
        let (drop_all, drop_responses) = (Arc::clone(&drops_all), Arc::clone(&drops_responses));
        let backward = smol::spawn(async move {
            let mut packet = vec![0; 65_536];
            while let Ok((length, _)) = inner.recv_from(&mut packet).await {
                let to = *client.lock().unwrap();
                let is_forwarded =
                    !drop_all.load(Ordering::SeqCst) && !drop_responses.load(Ordering::SeqCst);
                if let (Some(to), true) = (to, is_forwarded) {
                    let _ = outer.send_to(&packet[..length], to).await;
                }
            }
        });
        UdpRelay { address, drops_all, drops_responses, _tasks: vec![forward, backward] }
    }

    pub(crate) fn drop_all(&self) {
        self.drops_all.store(true, Ordering::SeqCst);
    }

    /// Drops what comes back, as if the sender's address were forged.
    pub(crate) fn drop_responses(&self) {
        self.drops_responses.store(true, Ordering::SeqCst);
    }

    pub(crate) fn restore(&self) {
        self.drops_all.store(false, Ordering::SeqCst);
    }
}
