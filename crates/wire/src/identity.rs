//! TLS identity of a node.

use std::fmt;
use std::io;
use std::path;
use std::sync::Arc;

use quinn::crypto::rustls as quic_tls;
use rustls::pki_types;
use rustls::pki_types::pem::PemObject;
use thiserror::Error;

use crate::verifier;

pub use crate::verifier::PinSet;

/// ALPN protocol of connections between nodes.
pub const ALPN: &[u8] = b"cornelridge/1";
/// Server name in the certificate of each node. Nodes are addressed by IP address and hosts are
/// replaced, so the certificate proves membership and not an address.
pub const NODE_SERVER_NAME: &str = "node.cornelridge.internal";
/// Maximum size of a PEM file.
const MAX_PEM_BYTES: u64 = 1024 * 1024;

/// Certificate, key and trusted authorities of a node; cheap to clone.
#[derive(Clone)]
pub struct TlsIdentity {
    client: Arc<quic_tls::QuicClientConfig>,
    server: Arc<quic_tls::QuicServerConfig>,
    /// Whether any peer is accepted; endpoints then may listen on loopback addresses only.
    accepts_any: bool,
}

impl fmt::Debug for TlsIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TlsIdentity").finish_non_exhaustive()
    }
}

impl TlsIdentity {
    /// Reads the certificate chain, the private key and the authorities from PEM files.
    pub fn from_pem_files(
        certificate: &path::Path,
        key: &path::Path,
        authorities: &path::Path,
    ) -> Result<TlsIdentity, IdentityError> {
        let certificate = read_pem(certificate)?;
        let key = read_pem(key)?;
        let authorities = read_pem(authorities)?;
        TlsIdentity::from_pem(&certificate, &key, &authorities)
    }

    /// Parses the certificate chain, the private key and the authorities from PEM text.
    pub fn from_pem(
        certificate: &[u8],
        key: &[u8],
        authorities: &[u8],
    ) -> Result<TlsIdentity, IdentityError> {
        let chain = parse_certificates(certificate)?;
        let authorities = parse_certificates(authorities)?;
        let key = pki_types::PrivateKeyDer::from_pem_slice(key)
            .map_err(|error| IdentityError::Pem { reason: error.to_string() })?;
        TlsIdentity::from_der(chain, key, authorities)
    }

    /// Takes the certificate chain, the private key and the authorities in binary form.
    pub fn from_der(
        chain: Vec<pki_types::CertificateDer<'static>>,
        key: pki_types::PrivateKeyDer<'static>,
        authorities: Vec<pki_types::CertificateDer<'static>>,
    ) -> Result<TlsIdentity, IdentityError> {
        let mut roots = rustls::RootCertStore::empty();
        for authority in authorities {
            roots.add(authority)?;
        }
        let roots = Arc::new(roots);
        let client = client_config(Arc::clone(&roots), chain.clone(), key.clone_key())?;
        let server = server_config(roots, chain, key)?;
        let (client, server) = (Arc::new(client), Arc::new(server));
        Ok(TlsIdentity { client, server, accepts_any: false })
    }

    /// Generates an identity that accepts any peer.
    ///
    /// Such an identity gives no protection and is meant for trials of several processes on one
    /// machine, so endpoints with it may listen on loopback addresses only.
    pub fn insecure_local_trial(name: &str) -> Result<TlsIdentity, IdentityError> {
        let (mut identity, _) =
            TlsIdentity::with_generated_certificate(name, verifier::AcceptedPeers::Any)?;
        identity.accepts_any = true;
        Ok(identity)
    }

    /// Generates a certificate for this run of the node called `name`.
    ///
    /// The identity accepts the peers whose certificates are in `pins`. The digest that peers need
    /// to accept this node is returned, too.
    pub fn pinned(name: &str, pins: PinSet) -> Result<(TlsIdentity, String), IdentityError> {
        TlsIdentity::with_generated_certificate(name, verifier::AcceptedPeers::Pinned(pins))
    }

    fn with_generated_certificate(
        name: &str,
        accepted: verifier::AcceptedPeers,
    ) -> Result<(TlsIdentity, String), IdentityError> {
        let pem = TrialAuthority::new()?.issue_pem(name)?;
        let chain = parse_certificates(pem.certificate.as_bytes())?;
        let digest = chain.first().map(verifier::certificate_digest).unwrap_or_default();
        let key = pki_types::PrivateKeyDer::from_pem_slice(pem.key.as_bytes())
            .map_err(|error| IdentityError::Pem { reason: error.to_string() })?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let peers = Arc::new(verifier::PeerVerifier::new(&provider, accepted));
        let client = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::clone(&peers) as _)
            .with_client_auth_cert(chain.clone(), key.clone_key())?;
        let server = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(peers)
            .with_single_cert(chain, key)?;
        let (client, server) = (Arc::new(quic_client(client)?), Arc::new(quic_server(server)?));
        Ok((TlsIdentity { client, server, accepts_any: false }, digest))
    }

    pub(crate) fn accepts_any(&self) -> bool {
        self.accepts_any
    }

    pub(crate) fn client(&self) -> Arc<quic_tls::QuicClientConfig> {
        Arc::clone(&self.client)
    }

    pub(crate) fn server(&self) -> Arc<quic_tls::QuicServerConfig> {
        Arc::clone(&self.server)
    }
}

fn read_pem(path: &path::Path) -> Result<Vec<u8>, IdentityError> {
    let unreadable =
        |source| IdentityError::Unreadable { path: path.display().to_string(), source };
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_PEM_BYTES {
        let reason = format!("{} has {length} bytes", path.display());
        return Err(IdentityError::Pem { reason });
    }
    std::fs::read(path).map_err(unreadable)
}

fn parse_certificates(
    pem: &[u8],
) -> Result<Vec<pki_types::CertificateDer<'static>>, IdentityError> {
    let found: Vec<_> = pki_types::CertificateDer::pem_slice_iter(pem)
        .collect::<Result<_, _>>()
        .map_err(|error| IdentityError::Pem { reason: error.to_string() })?;
    if found.is_empty() {
        return Err(IdentityError::Pem { reason: "it contains no certificate".to_owned() });
    }
    Ok(found)
}

fn client_config(
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<pki_types::CertificateDer<'static>>,
    key: pki_types::PrivateKeyDer<'static>,
) -> Result<quic_tls::QuicClientConfig, IdentityError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    quic_client(config)
}

/// Applies the settings common to all connections to peers.
fn quic_client(
    mut config: rustls::ClientConfig,
) -> Result<quic_tls::QuicClientConfig, IdentityError> {
    config.alpn_protocols = vec![ALPN.to_vec()];
    // All peers share one server name, so a session ticket of one peer could be offered to another.
    config.resumption = rustls::client::Resumption::disabled();
    quic_tls::QuicClientConfig::try_from(config).map_err(|_| IdentityError::CipherSuite)
}

fn server_config(
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<pki_types::CertificateDer<'static>>,
    key: pki_types::PrivateKeyDer<'static>,
) -> Result<quic_tls::QuicServerConfig, IdentityError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(|error| IdentityError::Authorities { reason: error.to_string() })?;
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    quic_server(config)
}

/// Applies the settings common to all connections from peers.
fn quic_server(
    mut config: rustls::ServerConfig,
) -> Result<quic_tls::QuicServerConfig, IdentityError> {
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.send_tls13_tickets = 0;
    config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    quic_tls::QuicServerConfig::try_from(config).map_err(|_| IdentityError::CipherSuite)
}

/// Returns whether the certificate of a connecting peer contains the server name of nodes.
pub(crate) fn is_node_certificate(certificate: &pki_types::CertificateDer<'_>) -> bool {
    let Ok(parsed) = rustls::server::ParsedCertificate::try_from(certificate) else {
        return false;
    };
    let Ok(name) = pki_types::ServerName::try_from(NODE_SERVER_NAME) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &name).is_ok()
}

/// The identity of one node as PEM text.
#[derive(Clone)]
pub struct IdentityPem {
    /// Certificate of the node.
    pub certificate: String,
    /// Private key of the node.
    pub key: String,
    /// Certificate of the trusted authority.
    pub authority: String,
}

impl IdentityPem {
    /// Parses the PEM texts into an identity.
    pub fn identity(&self) -> Result<TlsIdentity, IdentityError> {
        let texts = [&self.certificate, &self.key, &self.authority];
        let [certificate, key, authority] = texts.map(String::as_bytes);
        TlsIdentity::from_pem(certificate, key, authority)
    }
}

/// A certificate authority for local trials; its key is kept in memory only.
#[derive(Debug)]
pub struct TrialAuthority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    certificate: rcgen::Certificate,
}

impl TrialAuthority {
    /// Generates a key and a certificate for a new authority.
    pub fn new() -> Result<TrialAuthority, IdentityError> {
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(Vec::new())?;
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params.key_usages = vec![rcgen::KeyUsagePurpose::KeyCertSign];
        params.distinguished_name.push(rcgen::DnType::CommonName, "cornelridge local trial");
        let certificate = params.self_signed(&key)?;
        Ok(TrialAuthority { issuer: rcgen::Issuer::new(params, key), certificate })
    }

    /// Issues a certificate for the node called `name`.
    pub fn issue(&self, name: &str) -> Result<TlsIdentity, IdentityError> {
        self.issue_pem(name)?.identity()
    }

    /// Issues a certificate for the node called `name`, as PEM texts.
    pub fn issue_pem(&self, name: &str) -> Result<IdentityPem, IdentityError> {
        self.issue_for(NODE_SERVER_NAME, name)
    }

    /// Issues a certificate for `server_name`. Nodes refuse it unless the server name is
    /// [`NODE_SERVER_NAME`].
    pub fn issue_for(&self, server_name: &str, name: &str) -> Result<IdentityPem, IdentityError> {
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(vec![server_name.to_owned()])?;
        params.distinguished_name.push(rcgen::DnType::CommonName, name);
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(IdentityPem {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            authority: self.certificate.pem(),
        })
    }
}

/// An identity that can't be loaded or generated.
#[derive(Debug, Error)]
pub enum IdentityError {
    /// A PEM file can't be read.
    #[error("cannot read {path}: check that it exists and that the node may read it")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A PEM text can't be parsed.
    #[error("PEM text is not valid ({reason}): export certificate and key again")]
    Pem {
        /// Description of the error.
        reason: String,
    },
    /// The given authorities can't be used to verify peers.
    #[error("authorities are not usable ({reason}): give the CA certificate that signs all nodes")]
    Authorities {
        /// Description of the error.
        reason: String,
    },
    /// The certificate or the key can't be used, or they don't match.
    #[error("certificate or key is not usable ({0}): give a matching pair")]
    Certificate(#[from] rustls::Error),
    /// The TLS library lacks the cipher suite of QUIC's initial packets.
    #[error("the TLS library has no cipher suite for QUIC: build with AES-128-GCM")]
    CipherSuite,
    /// A certificate can't be generated.
    #[error("cannot generate a certificate ({0}): check the name")]
    CertificateGeneration(#[from] rcgen::Error),
}
