//! Verifier for peers whose certificates no authority has signed.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::sync::{Arc, PoisonError, RwLock};

use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto;
use rustls::pki_types;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};

/// Digests of the certificates that are accepted; cheap to clone, all clones share the set.
#[derive(Clone, Debug, Default)]
pub struct PinSet {
    pins: Arc<RwLock<HashSet<Arc<str>>>>,
}

impl PinSet {
    /// Replaces the set.
    pub fn replace(&self, pins: impl IntoIterator<Item = Arc<str>>) {
        let pins = pins.into_iter().collect();
        *self.pins.write().unwrap_or_else(PoisonError::into_inner) = pins;
    }

    fn contains(&self, certificate: &pki_types::CertificateDer<'_>) -> bool {
        let digest = certificate_digest(certificate);
        self.pins.read().unwrap_or_else(PoisonError::into_inner).contains(&*digest)
    }
}

/// SHA-256 digest of a certificate, in hexadecimal digits.
pub(crate) fn certificate_digest(certificate: &pki_types::CertificateDer<'_>) -> String {
    let digest = ring::digest::digest(&ring::digest::SHA256, certificate);
    digest.as_ref().iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Which certificates a node accepts.
#[derive(Clone, Debug)]
pub(crate) enum AcceptedPeers {
    /// Any one; only for trials on one machine.
    Any,
    /// Those whose digests are in the set.
    Pinned(PinSet),
}

/// Checks the certificate of a peer without an authority, and the signature of the handshake.
#[derive(Debug)]
pub(crate) struct PeerVerifier {
    algorithms: crypto::WebPkiSupportedAlgorithms,
    accepted: AcceptedPeers,
}

impl PeerVerifier {
    pub(crate) fn new(
        provider: &Arc<crypto::CryptoProvider>,
        accepted: AcceptedPeers,
    ) -> PeerVerifier {
        PeerVerifier { algorithms: provider.signature_verification_algorithms, accepted }
    }

    fn verify(&self, certificate: &pki_types::CertificateDer<'_>) -> Result<(), rustls::Error> {
        match &self.accepted {
            AcceptedPeers::Any => Ok(()),
            AcceptedPeers::Pinned(pins) if pins.contains(certificate) => Ok(()),
            AcceptedPeers::Pinned(_) => {
                let reason = rustls::CertificateError::ApplicationVerificationFailure;
                Err(rustls::Error::InvalidCertificate(reason))
            }
        }
    }
}

impl ServerCertVerifier for PeerVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &pki_types::CertificateDer<'_>,
        _intermediates: &[pki_types::CertificateDer<'_>],
        _server_name: &pki_types::ServerName<'_>,
        _ocsp_response: &[u8],
        _now: pki_types::UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.verify(end_entity).map(|()| ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        crypto::verify_tls12_signature(message, certificate, signature, &self.algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        crypto::verify_tls13_signature(message, certificate, signature, &self.algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for PeerVerifier {
    fn root_hint_subjects(&self) -> &[rustls::DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &pki_types::CertificateDer<'_>,
        _intermediates: &[pki_types::CertificateDer<'_>],
        _now: pki_types::UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.verify(end_entity).map(|()| ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls12_signature(self, message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls13_signature(self, message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        ServerCertVerifier::supported_verify_schemes(self)
    }
}
