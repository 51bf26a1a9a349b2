//! Identities from files, as a node loads them at its start.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs;

use cornelridge_wire::{generated, identity, transport};

use support::{bind, head, next_stream, request_id, run};

/// Files that were written by the helper must be usable, and the key must not appear in logs.
#[test]
fn an_identity_is_read_from_files() {
    let folder = std::env::temp_dir().join(format!("cornelridge-identity-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let pem = identity::TrialAuthority::new().unwrap().issue_pem("a").unwrap();
    let paths = ["node.pem", "node.key", "ca.pem"].map(|name| folder.join(name));
    let texts = [&pem.certificate, &pem.key, &pem.authority];
    paths.iter().zip(texts).for_each(|(path, text)| fs::write(path, text).unwrap());
    let loaded = identity::TlsIdentity::from_pem_files(&paths[0], &paths[1], &paths[2]);
    let swapped = identity::TlsIdentity::from_pem_files(&paths[1], &paths[0], &paths[2]);
    fs::remove_dir_all(&folder).unwrap();
    assert_eq!(format!("{:?}", loaded.unwrap()), "TlsIdentity { .. }");
    assert!(swapped.is_err());
}

/// Separate processes of a local trial share no authority and must still reach each other.
#[test]
fn nodes_of_a_local_trial_accept_each_other() {
    run(async {
        let identity = |name| identity::TlsIdentity::insecure_local_trial(name).unwrap();
        let (a, b) = (bind(identity("a")), bind(identity("b")));
        let _stream = a.open_stream(b.local_address(), &head(7)).await.unwrap();
        assert_eq!(request_id(&next_stream(&b).await.0), 7);
    });
}

/// Accepting any peer on an address that other hosts reach would open the deployment to them.
#[test]
fn a_local_trial_listens_on_loopback_only() {
    let identity = identity::TlsIdentity::insecure_local_trial("a").unwrap();
    for listen in ["0.0.0.0:0", "[::]:0", "10.0.0.7:0"].map(|text| text.parse().unwrap()) {
        let settings = transport::EndpointSettings::new(listen, identity.clone());
        let error = transport::NodeEndpoint::bind(settings).unwrap_err();
        assert!(matches!(error, transport::TransportError::InsecureListen { .. }), "{error}");
    }
}

/// A node with certificates must not accept a node of a local trial, or connect to one.
#[test]
fn nodes_with_certificates_refuse_those_of_a_local_trial() {
    run(async {
        let trial = bind(identity::TlsIdentity::insecure_local_trial("trial").unwrap());
        let node = bind(identity::TrialAuthority::new().unwrap().issue("node").unwrap());
        assert!(node.open_stream(trial.local_address(), &head(1)).await.is_err());
        assert!(trial.events().is_empty());
        // The trial accepts the certificate of the node, which closes the connection afterwards.
        if let Ok((_writer, mut reader)) = trial.open_stream(node.local_address(), &head(1)).await {
            let response = reader.receive::<generated::ResponseHead>().await;
            assert!(response.is_err(), "{response:?}");
        }
        assert!(node.events().is_empty());
    });
}
