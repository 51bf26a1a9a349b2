//! Acceptance of valid documents with a higher version, from the store or from peers.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, class, ident, time};
use thiserror::Error;

/// Maximum size of an encoded document in bytes, the limit of a value in the store.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Time after which a pull without a response counts as failed.
pub const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Time for which a peer isn't asked again after a failed pull.
pub const PULL_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Time for which a peer isn't asked again after it sent a document that was rejected.
pub const REJECTED_RETRY_DELAY: time::Duration = time::Duration::from_secs(10);
/// Highest version that is accepted. A corrupt version near the end of the range would make every
/// later document look older.
pub const MAX_VERSION: u64 = 1 << 48;
/// Maximum number of peers whose versions are remembered.
const MAX_PEER_VERSIONS: usize = 64;

/// Source of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentSource {
    /// The store.
    Store,
    /// Another node.
    Peer(ident::IncarnationId),
}

/// A received document that may be accepted.
#[derive(Clone, Copy, Debug)]
pub enum CandidateDocument<'a> {
    /// A class configuration.
    Classes(&'a class::ClassDocument),
    /// An assignment.
    Assignment(&'a assignment::AssignmentDocument),
    /// Bytes that couldn't be decoded, with the message of the decoder.
    Undecodable(&'a str),
}

impl CandidateDocument<'_> {
    fn version(&self) -> Option<(u64, u64)> {
        match self {
            CandidateDocument::Classes(document) => Some((document.revision.0, document.change_id)),
            CandidateDocument::Assignment(document) => Some((document.epoch.0, document.change_id)),
            CandidateDocument::Undecodable(_) => None,
        }
    }

    fn validate(&self) -> Result<(), DocumentError> {
        match self {
            CandidateDocument::Classes(document) => {
                document.validate().map_err(DocumentError::Classes)
            }
            CandidateDocument::Assignment(document) => {
                document.validate().map_err(DocumentError::Assignment)
            }
            CandidateDocument::Undecodable(reason) => {
                Err(DocumentError::Undecodable { reason: (*reason).to_owned() })
            }
        }
    }
}

/// Result of offering a document.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult {
    /// The document is valid and has a higher version; the caller puts it in force.
    Accepted,
    /// The document is already in force.
    Current,
    /// The document has a lower version; the one in force stays.
    Older,
    /// The document can't be used; the one in force stays.
    Rejected(DocumentError),
}

/// Why a document was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DocumentError {
    /// The document is larger than `MAX_DOCUMENT_BYTES`.
    #[error("document has {size} bytes, more than 1000000: reduce classes or slices")]
    TooLarge {
        /// Size of the document in bytes.
        size: usize,
    },
    /// The bytes can't be decoded.
    #[error("document can't be decoded ({reason}): restore the last good document in the store")]
    Undecodable {
        /// Message of the decoder.
        reason: String,
    },
    /// The class configuration breaks a rule.
    #[error("class configuration is not valid: {0}")]
    Classes(class::ClassError),
    /// The assignment breaks a rule.
    #[error("assignment is not valid: {0}")]
    Assignment(assignment::AssignmentError),
    /// The version is out of range.
    #[error("version {version} is out of range: restore the last good document in the store")]
    VersionRange {
        /// The version.
        version: u64,
    },
    /// Two different documents have the same version.
    #[error("version {version} exists twice with different contents: write a higher version")]
    Conflicting {
        /// The version.
        version: u64,
    },
}

/// A pull of a document from a peer, in progress.
#[derive(Clone, Copy, Debug)]
struct Pull {
    peer: ident::IncarnationId,
    started: time::Instant,
}

/// Decides which version of a document is in force on this node, and which peer to pull it from.
#[derive(Clone, Debug, Default)]
pub struct DocumentAcceptor {
    version: u64,
    change_id: u64,
    source: Option<DocumentSource>,
    store_seen: bool,
    /// Versions of peers that have announced a higher one.
    peer_versions: BTreeMap<ident::IncarnationId, u64>,
    /// Earliest time of the next pull from peers whose last pull failed.
    retry_after: BTreeMap<ident::IncarnationId, time::Instant>,
    pull: Option<Pull>,
}

impl DocumentAcceptor {
    /// Creates an acceptor without a document.
    pub fn new() -> DocumentAcceptor {
        DocumentAcceptor::default()
    }

    /// Returns the version in force, or 0 before the first document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the source of the document in force.
    pub fn source(&self) -> Option<DocumentSource> {
        self.source
    }

    /// Returns whether the store has responded since this process started.
    pub fn has_seen_store(&self) -> bool {
        self.store_seen
    }

    /// Records a response of the store, also if there is no document in it.
    pub fn record_store_response(&mut self) {
        self.store_seen = true;
    }

    /// Accepts or rejects a document of `size` encoded bytes.
    pub fn offer(
        &mut self,
        now: time::Instant,
        source: DocumentSource,
        size: usize,
        candidate: &CandidateDocument<'_>,
    ) -> OfferResult {
        if source == DocumentSource::Store {
            self.store_seen = true;
        }
        let result = self.evaluate(size, candidate);
        if let DocumentSource::Peer(peer) = source {
            self.finish_pull(now, peer, &result);
        }
        if let (OfferResult::Accepted, Some((version, change_id))) = (&result, candidate.version())
        {
            self.version = version;
            self.change_id = change_id;
            self.source = Some(source);
            self.peer_versions.retain(|_, peer_version| *peer_version > version);
        }
        result
    }

    fn evaluate(&self, size: usize, candidate: &CandidateDocument<'_>) -> OfferResult {
        if size > MAX_DOCUMENT_BYTES {
            return OfferResult::Rejected(DocumentError::TooLarge { size });
        }
        let (version, change_id) = candidate.version().unwrap_or((u64::MAX, 0));
        if version < self.version {
            return OfferResult::Older;
        }
        if version == self.version && change_id == self.change_id {
            return OfferResult::Current;
        }
        if version == self.version {
            return OfferResult::Rejected(DocumentError::Conflicting { version });
        }
        match candidate.validate() {
            Ok(()) if version > MAX_VERSION => {
                OfferResult::Rejected(DocumentError::VersionRange { version })
            }
            Ok(()) => OfferResult::Accepted,
            Err(error) => OfferResult::Rejected(error),
        }
    }

    /// Ends a pull. A peer that sent an older version than announced, or an unusable document,
    /// isn't asked again at once.
    fn finish_pull(
        &mut self,
        now: time::Instant,
        peer: ident::IncarnationId,
        result: &OfferResult,
    ) {
        if self.pull.is_some_and(|pull| pull.peer == peer) {
            self.pull = None;
        }
        match result {
            OfferResult::Accepted => {}
            OfferResult::Current | OfferResult::Older => {
                self.delay_retry(peer, now + PULL_RETRY_DELAY)
            }
            OfferResult::Rejected(_) => self.delay_retry(peer, now + REJECTED_RETRY_DELAY),
        }
    }

    /// Records the version that a peer announced in a renewal or a probe.
    pub fn record_peer_version(
        &mut self,
        now: time::Instant,
        peer: ident::IncarnationId,
        version: u64,
    ) {
        if version <= self.version {
            self.peer_versions.remove(&peer);
            return;
        }
        self.retry_after.retain(|_, until| *until > now);
        if self.peer_versions.len() >= MAX_PEER_VERSIONS && !self.peer_versions.contains_key(&peer)
        {
            let lowest = self.peer_versions.iter().min_by_key(|(_, peer_version)| **peer_version);
            let Some((lowest, peer_version)) =
                lowest.map(|(peer, peer_version)| (*peer, *peer_version))
            else {
                return;
            };
            if peer_version >= version {
                return;
            }
            self.peer_versions.remove(&lowest);
        }
        self.peer_versions.insert(peer, version);
    }

    /// Starts a pull if one is due, and returns the peer to pull the document from. The caller
    /// passes the document to `offer`, or reports a failure with `record_pull_failure`.
    pub fn next_pull(&mut self, now: time::Instant) -> Option<ident::IncarnationId> {
        if let Some(pull) = self.pull {
            if now.since(pull.started) < PULL_TIMEOUT {
                return None;
            }
            self.record_pull_failure(now, pull.peer);
        }
        let is_delayed = |peer: &ident::IncarnationId| {
            self.retry_after.get(peer).is_some_and(|until| *until > now)
        };
        let peer_versions = self.peer_versions.iter().filter(|(peer, _)| !is_delayed(peer));
        let highest = peer_versions.max_by_key(|(_, peer_version)| **peer_version);
        let peer = highest.map(|(peer, _)| *peer)?;
        self.pull = Some(Pull { peer, started: now });
        Some(peer)
    }

    /// Records a pull that returned no document.
    pub fn record_pull_failure(&mut self, now: time::Instant, peer: ident::IncarnationId) {
        if self.pull.is_some_and(|pull| pull.peer == peer) {
            self.pull = None;
        }
        self.delay_retry(peer, now + PULL_RETRY_DELAY);
    }

    /// Removes the state of a peer that has left.
    pub fn remove_peer(&mut self, peer: ident::IncarnationId) {
        self.peer_versions.remove(&peer);
        self.retry_after.remove(&peer);
        if self.pull.is_some_and(|pull| pull.peer == peer) {
            self.pull = None;
        }
    }

    fn delay_retry(&mut self, peer: ident::IncarnationId, until: time::Instant) {
        self.peer_versions.remove(&peer);
        self.retry_after.insert(peer, until);
    }
}
