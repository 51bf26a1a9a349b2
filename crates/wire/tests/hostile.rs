//! Peers and packets that must be refused without effect on others.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::net;
use std::sync::Arc;

use cornelridge_wire::{codec, generated, identity, transport};
use futures_lite::future;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use support::{
    UdpRelay, bind, chunk, head, next_datagram, next_stream, pair, probe, request_id, run,
};

/// A QUIC client that presents any certificate, or none, and sends any bytes.
fn raw_client(
    pem: &identity::IdentityPem,
    presents_certificate: bool,
    alpn: &[u8],
) -> quinn::Endpoint {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(pem.authority.as_bytes()).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut config = if presents_certificate {
        let chain = vec![CertificateDer::from_pem_slice(pem.certificate.as_bytes()).unwrap()];
        let key = PrivateKeyDer::from_pem_slice(pem.key.as_bytes()).unwrap();
        builder.with_client_auth_cert(chain, key).unwrap()
    } else {
        builder.with_no_client_auth()
    };
    config.alpn_protocols = vec![alpn.to_vec()];
    let config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(config).unwrap()));
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let runtime = Arc::new(quinn::SmolRuntime);
    let mut client =
        quinn::Endpoint::new(quinn::EndpointConfig::default(), None, socket, runtime).unwrap();
    client.set_default_client_config(config);
    client
}

/// Connects and waits until the server closes the connection.
async fn connection_error(
    client: &quinn::Endpoint,
    server: net::SocketAddr,
) -> quinn::ConnectionError {
    let connecting = client.connect(server, identity::NODE_SERVER_NAME).unwrap();
    match connecting.await {
        Ok(connection) => {
            let _ = connection.open_bi().await;
            connection.closed().await
        }
        Err(error) => error,
    }
}

async fn assert_serves(a: &transport::NodeEndpoint, b: &transport::NodeEndpoint, id: u64) {
    let _stream = a.open_stream(b.local_address(), &head(id)).await.unwrap();
    assert_eq!(request_id(&next_stream(b).await.0), id);
}

/// Whoever has no certificate of a node must not reach the events, with any kind of credentials.
#[test]
fn peers_without_a_node_certificate_are_refused() {
    run(async {
        let authority = identity::TrialAuthority::new().unwrap();
        let other_authority = identity::TrialAuthority::new().unwrap();
        let server = bind(authority.issue("server").unwrap());
        let node = authority.issue_pem("node").unwrap();
        let not_a_node = authority.issue_for("operator.example", "operator").unwrap();
        let foreign = identity::IdentityPem {
            authority: node.authority.clone(),
            ..other_authority.issue_pem("stranger").unwrap()
        };
        for (case, pem, presents_certificate, alpn) in [
            ("no certificate", &node, false, identity::ALPN),
            ("other authority", &foreign, true, identity::ALPN),
            ("not a node", &not_a_node, true, identity::ALPN),
            ("other protocol", &node, true, &b"h3"[..]),
        ] {
            let client = raw_client(pem, presents_certificate, alpn);
            let error = connection_error(&client, server.local_address()).await;
            assert!(!matches!(error, quinn::ConnectionError::TimedOut), "{case}: {error}");
        }
        assert_eq!(server.connection_count(), 0);
        assert!(server.events().is_empty());
        assert_serves(&bind(authority.issue("a").unwrap()), &server, 1).await;
    });
}

/// A node must not send a request to a server that other authorities signed, or that isn't a node.
#[test]
fn servers_without_a_node_certificate_get_nothing() {
    run(async {
        let authority = identity::TrialAuthority::new().unwrap();
        let other_authority = identity::TrialAuthority::new().unwrap();
        let node = bind(authority.issue("a").unwrap());
        let not_a_node = authority.issue_for("operator.example", "operator").unwrap();
        for identity in [other_authority.issue("b").unwrap(), not_a_node.identity().unwrap()] {
            let server = bind(identity);
            let error = node.open_stream(server.local_address(), &head(1)).await.unwrap_err();
            assert!(!error.may_have_reached_peer(), "{error}");
            assert!(server.events().is_empty());
        }
    });
}

/// Packets that aren't QUIC, or look like it, must not disturb a connection or keep out another.
#[test]
fn garbage_packets_have_no_effect() {
    run(async {
        let (a, b) = pair();
        assert_serves(&a, &b, 1).await;
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut random = fastrand::Rng::with_seed(4711);
        for round in 0..2_000 {
            let mut packet = vec![0; random.usize(1..1_400)];
            random.fill(&mut packet);
            // Half of them look like first packets of a connection of QUIC version 1.
            if round % 2 == 0 && packet.len() > 20 {
                packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
            }
            let _ = socket.send_to(&packet, b.local_address());
        }
        assert_serves(&a, &b, 2).await;
        b.send_datagram(a.local_address(), &probe(3));
        assert_eq!(next_datagram(&a).await.1, probe(3));
        assert_eq!(b.connection_count(), 1);
    });
}

/// First packets with forged addresses must not take the places of nodes that connect.
#[test]
fn forged_addresses_do_not_keep_nodes_out() {
    run(async {
        let authority = identity::TrialAuthority::new().unwrap();
        let server = bind(authority.issue("server").unwrap());
        let relay = UdpRelay::start(server.local_address()).await;
        relay.drop_responses();
        let client = raw_client(&authority.issue_pem("node").unwrap(), true, identity::ALPN);
        let mut attempts = Vec::new();
        while server.stats().handshakes < 64 {
            // More come than have been answered, until the server asks for proof of the address.
            attempts.push(client.connect(relay.address, identity::NODE_SERVER_NAME).unwrap());
            future::yield_now().await;
        }
        for _ in 0..300 {
            attempts.push(client.connect(relay.address, identity::NODE_SERVER_NAME).unwrap());
        }
        assert_serves(&bind(authority.issue("a").unwrap()), &server, 1).await;
        assert!(server.stats().handshakes <= 65, "{:?}", server.stats());
    });
}

/// Invalid frames of a valid peer must end their stream with an error, and no other.
#[test]
fn invalid_frames_end_their_stream_only() {
    run(async {
        let authority = identity::TrialAuthority::new().unwrap();
        let server = bind(authority.issue("server").unwrap());
        let client = raw_client(&authority.issue_pem("node").unwrap(), true, identity::ALPN);
        let connecting = client.connect(server.local_address(), identity::NODE_SERVER_NAME);
        let connection = connecting.unwrap().await.unwrap();
        connection.send_datagram(vec![0xff; 40].into()).unwrap();
        for bytes in [&[0xff_u8; 64][..], &[0, 0, 0, 3, 0xff, 0xff, 0xff], &[0, 1, 0, 1]] {
            let (mut send, mut receive) = connection.open_bi().await.unwrap();
            send.write_all(bytes).await.unwrap();
            let error = receive.read_to_end(10).await.unwrap_err();
            let reset = quinn::ReadError::Reset(2_u32.into());
            assert_eq!(error, quinn::ReadToEndError::Read(reset), "{bytes:?}");
        }
        let mut frame = Vec::new();
        codec::encode_frame(&head(5), codec::MAX_FRAME_BYTES, &mut frame).unwrap();
        codec::encode_frame(&chunk(vec![1; 10], true), codec::MAX_FRAME_BYTES, &mut frame).unwrap();
        let (mut send, _receive) = connection.open_bi().await.unwrap();
        // The stream ends cleanly, but inside the second frame.
        send.write_all(&frame[..frame.len() - 1]).await.unwrap();
        send.finish().unwrap();
        let (received, _response, mut body) = next_stream(&server).await;
        assert_eq!(request_id(&received), 5);
        let error = body.receive::<generated::BodyChunk>().await.unwrap_err();
        let truncated = transport::TransportError::Frame(codec::FrameError::Truncated);
        assert_eq!(error.to_string(), truncated.to_string());
        assert_eq!(server.connection_count(), 1);
    });
}

/// A stream whose head never comes must not hold up other streams of its connection.
#[test]
fn a_stalled_head_holds_up_nobody() {
    run(async {
        let authority = identity::TrialAuthority::new().unwrap();
        let server = bind(authority.issue("server").unwrap());
        let client = raw_client(&authority.issue_pem("node").unwrap(), true, identity::ALPN);
        let connecting = client.connect(server.local_address(), identity::NODE_SERVER_NAME);
        let connection = connecting.unwrap().await.unwrap();
        let (mut stalled, _receive) = connection.open_bi().await.unwrap();
        stalled.write_all(&[0, 0]).await.unwrap();
        let mut frame = Vec::new();
        codec::encode_frame(&head(6), codec::MAX_FRAME_BYTES, &mut frame).unwrap();
        let (mut send, _receive) = connection.open_bi().await.unwrap();
        send.write_all(&frame).await.unwrap();
        assert_eq!(request_id(&next_stream(&server).await.0), 6);
    });
}

/// Bad PEM text must give an error that says what to do, not a panic.
#[test]
fn unusable_identities_are_refused() {
    let authority = identity::TrialAuthority::new().unwrap();
    let good = authority.issue_pem("a").unwrap();
    let other = authority.issue_pem("b").unwrap();
    let from = |certificate: &str, key: &str, authorities: &str| {
        let texts = [certificate, key, authorities].map(str::as_bytes);
        identity::TlsIdentity::from_pem(texts[0], texts[1], texts[2])
    };
    assert!(from(&good.certificate, &good.key, &good.authority).is_ok());
    assert!(from("", &good.key, &good.authority).is_err());
    assert!(from(&good.certificate, "", &good.authority).is_err());
    assert!(from(&good.certificate, &good.key, "").is_err());
    assert!(from(&good.certificate, &good.certificate, &good.authority).is_err());
    assert!(from(&good.certificate, &other.key, &good.authority).is_err());
    let missing = std::path::Path::new("/nonexistent/node.pem");
    let missing = identity::TlsIdentity::from_pem_files(missing, missing, missing).unwrap_err();
    assert!(missing.to_string().contains("/nonexistent/node.pem"), "{missing}");
}
