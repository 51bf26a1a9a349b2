//! Identities from files, as a node loads them at its start.

#![allow(clippy::unwrap_used)]

use std::fs;

use cornelridge_wire::identity;

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
