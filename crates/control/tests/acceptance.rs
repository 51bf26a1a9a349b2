//! Tests of the acceptance of documents, of conditional writes and of the selection of relays.

use std::collections::BTreeSet;

use arbtest::arbtest;
use cornelridge_control::acceptance::{
    CandidateDocument, DocumentAcceptor, DocumentError, DocumentSource, MAX_DOCUMENT_BYTES,
    MAX_VERSION, OfferResult, PULL_TIMEOUT,
};
use cornelridge_control::relay::{
    RELAY_SILENCE_TIMEOUT, RelayCandidate, StoreAccess, select_relays, store_access,
};
use cornelridge_control::write::{PendingWrite, PutOutcome, ReadOutcome, WriteResult, WriteStep};
use cornelridge_model::{assignment, class, ident, time};

const START: time::Instant = time::Instant(1_000_000_000);

fn peer(number: u64) -> ident::IncarnationId {
    ident::IncarnationId(number)
}

fn classes(revision: u64, change_id: u64) -> class::ClassDocument {
    let revision = ident::RevisionNumber(revision);
    class::ClassDocument { revision, change_id, classes: Vec::new() }
}

fn offer(acceptor: &mut DocumentAcceptor, source: DocumentSource, revision: u64) -> OfferResult {
    acceptor.offer(START, source, 100, &CandidateDocument::Classes(&classes(revision, revision)))
}

/// Guards against a node that returns to an older configuration.
#[test]
fn only_higher_versions_are_accepted() {
    let mut acceptor = DocumentAcceptor::new();
    assert!(!acceptor.has_seen_store());
    assert_eq!(offer(&mut acceptor, DocumentSource::Peer(peer(1)), 5), OfferResult::Accepted);
    assert!(!acceptor.has_seen_store(), "a peer isn't the store");
    assert_eq!(offer(&mut acceptor, DocumentSource::Store, 4), OfferResult::Older);
    assert!(acceptor.has_seen_store());
    assert_eq!(offer(&mut acceptor, DocumentSource::Store, 5), OfferResult::Current);
    assert_eq!(acceptor.source(), Some(DocumentSource::Peer(peer(1))));
    assert_eq!(offer(&mut acceptor, DocumentSource::Store, 6), OfferResult::Accepted);
    assert_eq!((acceptor.version(), acceptor.source()), (6, Some(DocumentSource::Store)));
}

/// Guards against replacing a good document by one that is corrupt, too large or conflicting.
#[test]
fn bad_documents_leave_the_good_one_in_force() {
    let mut acceptor = DocumentAcceptor::new();
    offer(&mut acceptor, DocumentSource::Store, 5);
    let mut rejected = |size, candidate: &CandidateDocument<'_>| {
        let result = acceptor.offer(START, DocumentSource::Store, size, candidate);
        assert_eq!(acceptor.version(), 5);
        result
    };
    let next = classes(6, 6);
    let too_large = rejected(MAX_DOCUMENT_BYTES + 1, &CandidateDocument::Classes(&next));
    assert!(matches!(too_large, OfferResult::Rejected(DocumentError::TooLarge { .. })));
    let undecodable = rejected(9, &CandidateDocument::Undecodable("unexpected end"));
    assert!(matches!(undecodable, OfferResult::Rejected(DocumentError::Undecodable { .. })));
    let conflicting = rejected(9, &CandidateDocument::Classes(&classes(5, 99)));
    assert_eq!(conflicting, OfferResult::Rejected(DocumentError::Conflicting { version: 5 }));
    let far = rejected(9, &CandidateDocument::Classes(&classes(MAX_VERSION + 1, 1)));
    assert!(matches!(far, OfferResult::Rejected(DocumentError::VersionRange { .. })));
    let lease = assignment::LeaseRecord {
        holder: assignment::MemberKey(3),
        generation: 1,
        guards: Vec::new(),
        retired: false,
    };
    let invalid = assignment::AssignmentDocument {
        epoch: ident::EpochNumber(9),
        leases: vec![lease],
        ..assignment::AssignmentDocument::default()
    };
    let invalid = rejected(9, &CandidateDocument::Assignment(&invalid));
    assert!(matches!(invalid, OfferResult::Rejected(DocumentError::Assignment(_))));
}

/// Guards against a node that keeps an old document because the peer that it asks doesn't respond,
/// or sends an older or corrupt document.
#[test]
fn pulls_move_on_to_another_peer() {
    let mut acceptor = DocumentAcceptor::new();
    assert_eq!(acceptor.next_pull(START), None);
    acceptor.record_peer_version(START, peer(1), 7);
    acceptor.record_peer_version(START, peer(2), 9);
    acceptor.record_peer_version(START, peer(3), 8);
    assert_eq!(acceptor.next_pull(START), Some(peer(2)));
    assert_eq!(acceptor.next_pull(START), None, "one pull at a time");
    let later = START + PULL_TIMEOUT;
    assert_eq!(acceptor.next_pull(later), Some(peer(3)), "the first peer didn't respond");
    let corrupt = CandidateDocument::Undecodable("bad");
    acceptor.offer(later, DocumentSource::Peer(peer(3)), 10, &corrupt);
    assert_eq!(acceptor.next_pull(later), Some(peer(1)));
    assert_eq!(offer(&mut acceptor, DocumentSource::Peer(peer(1)), 7), OfferResult::Accepted);
    assert_eq!(acceptor.next_pull(later), None);
    acceptor.record_peer_version(later, peer(3), 8);
    assert_eq!(acceptor.next_pull(later), None, "a corrupt document isn't pulled again at once");
    let much_later = later + time::Duration::from_secs(11);
    acceptor.record_peer_version(much_later, peer(3), 8);
    acceptor.record_peer_version(much_later, peer(1), 7);
    assert_eq!(acceptor.next_pull(much_later), Some(peer(3)));
    acceptor.remove_peer(peer(3));
    assert_eq!(acceptor.next_pull(much_later), None);
}

/// Guards against a decrease of the version, for any sequence of documents.
#[test]
fn the_version_never_falls() {
    for seed in (0..100u64).map(|index| (index + 3) << 32 | 0x200) {
        arbtest(|u| {
            let mut acceptor = DocumentAcceptor::new();
            let mut now = START;
            let mut pulled = None;
            for _ in 0..60 {
                let before = acceptor.version();
                now = now + time::Duration::from_millis(u.int_in_range(0..=900)?);
                let from = peer(u.int_in_range(1..=5)?);
                let version = u.int_in_range(0..=20)?;
                match u.int_in_range(0..=3u8)? {
                    0 => acceptor.record_peer_version(now, from, version),
                    1 => pulled = acceptor.next_pull(now),
                    2 => {
                        let source = pulled.map_or(DocumentSource::Store, DocumentSource::Peer);
                        let document = classes(version, u.int_in_range(0..=1)?);
                        let candidate = CandidateDocument::Classes(&document);
                        let result = acceptor.offer(now, source, 50, &candidate);
                        assert_eq!(result == OfferResult::Accepted, acceptor.version() > before);
                    }
                    _ => acceptor.record_pull_failure(now, from),
                }
                assert!(acceptor.version() >= before);
            }
            Ok(())
        })
        .seed(seed);
    }
}

/// A simulated store with a single key and its revision.
#[derive(Clone, Copy, Debug, Default)]
struct StoreKey {
    revision: u64,
    change_id: u64,
}

impl StoreKey {
    fn put(&mut self, if_match: u64, change_id: u64) -> PutOutcome {
        if self.revision != if_match {
            return PutOutcome::Mismatch;
        }
        *self = StoreKey { revision: self.revision + 1, change_id };
        PutOutcome::Written(self.revision)
    }

    fn read(self) -> ReadOutcome {
        match self.revision {
            0 => ReadOutcome::Absent,
            revision => ReadOutcome::Found { revision, change_id: Some(self.change_id) },
        }
    }
}

/// Guards against a wrong result of a write whose responses are lost or late, or which competes
/// with other writes.
#[test]
fn a_write_knows_its_result_when_answers_are_lost() {
    let mut results = [0; 4];
    for seed in (0..400u64).map(|index| (index + 11) << 32 | 0x100) {
        arbtest(|u| {
            let base = u.int_in_range(0..=2)?;
            let mut store = StoreKey { revision: base, change_id: 1 };
            let mut write = PendingWrite::new(77, base);
            let mut now = START;
            let mut late_puts = 0;
            let mut has_committed = false;
            let mut step = write.start(now);
            let result = loop {
                if u.ratio(1, 6u8)? {
                    let revision = store.revision;
                    store.put(revision, 1_000 + revision);
                }
                if late_puts > 0 && u.arbitrary()? {
                    late_puts -= 1;
                    has_committed |= matches!(store.put(base, 77), PutOutcome::Written(_));
                }
                step = match step {
                    WriteStep::Done(result) => break result,
                    WriteStep::Put { if_match, at } => {
                        assert_eq!(if_match, base);
                        now = now.max(at);
                        match u.int_in_range(0..=3u8)? {
                            0 => {
                                late_puts += 1;
                                write.on_put(now, PutOutcome::Unknown)
                            }
                            1 => {
                                has_committed |=
                                    matches!(store.put(base, 77), PutOutcome::Written(_));
                                write.on_put(now, PutOutcome::Unknown)
                            }
                            _ => {
                                let outcome = store.put(base, 77);
                                has_committed |= matches!(outcome, PutOutcome::Written(_));
                                write.on_put(now, outcome)
                            }
                        }
                    }
                    WriteStep::Read { at } => {
                        now = now.max(at);
                        let has_failed = u.ratio(1, 4u8)?;
                        let outcome = if has_failed { ReadOutcome::Failed } else { store.read() };
                        write.on_read(now, outcome)
                    }
                };
            };
            for _ in 0..late_puts {
                let is_written = matches!(store.put(base, 77), PutOutcome::Written(_));
                let may_commit_later = result == WriteResult::Unavailable;
                assert!(!is_written || may_commit_later, "write committed after {result:?}");
            }
            match result {
                WriteResult::Committed(_) => assert!(has_committed),
                WriteResult::Conflict(_) => assert!(!has_committed),
                WriteResult::Uncertain(_) | WriteResult::Unavailable => {}
            }
            results[match result {
                WriteResult::Committed(_) => 0,
                WriteResult::Conflict(_) => 1,
                WriteResult::Uncertain(_) => 2,
                WriteResult::Unavailable => 3,
            }] += 1;
            Ok(())
        })
        .seed(seed);
    }
    assert!(results[0] > 50 && results[1] > 20 && results[2] > 0, "{results:?}");
}

/// Guards against a write that never ends while the store is unavailable.
#[test]
fn a_write_gives_up_when_the_store_is_down() {
    let mut write = PendingWrite::new(77, 4);
    let mut step = write.start(START);
    let mut steps = 0;
    while !matches!(step, WriteStep::Done(_)) {
        step = match step {
            WriteStep::Put { at, .. } => write.on_put(at, PutOutcome::Unknown),
            WriteStep::Read { at } => write.on_read(at, ReadOutcome::Failed),
            WriteStep::Done(_) => step,
        };
        steps += 1;
        assert!(steps < 100);
    }
    assert_eq!(step, WriteStep::Done(WriteResult::Unavailable));
}

fn candidates() -> Vec<RelayCandidate> {
    let zones = ["norte", "centro", "sur"];
    let candidate = |number: u64| RelayCandidate {
        incarnation: peer(number),
        zone: zones[number as usize % 3].into(),
        is_alive: true,
    };
    (1..=12).map(candidate).collect()
}

/// Guards against too many relays, a zone without a relay, and a selection that depends on the
/// order of the members.
#[test]
fn two_members_of_each_zone_watch_the_store() {
    let mut members = candidates();
    let chosen = select_relays(&members).into_iter().collect::<BTreeSet<_>>();
    assert_eq!(chosen, (1..=6).map(peer).collect());
    members.reverse();
    assert_eq!(select_relays(&members).into_iter().collect::<BTreeSet<_>>(), chosen);
    members.iter_mut().filter(|m| m.incarnation.0 <= 6).for_each(|m| m.is_alive = false);
    let next = select_relays(&members).into_iter().collect::<BTreeSet<_>>();
    assert_eq!(next, (7..=12).map(peer).collect());
}

/// Guards against a node that never learns of documents, before the first one or after the loss of
/// its relays.
#[test]
fn a_node_without_news_polls_the_store() {
    let mut rng = fastrand::Rng::with_seed(3);
    let members = candidates();
    let mut access = |members: &[RelayCandidate], local, last_heard| {
        store_access(START, peer(local), members, last_heard, &mut rng)
    };
    assert_eq!(access(&members, 1, START), StoreAccess::Watch);
    assert_eq!(access(&members, 12, START), StoreAccess::Peers);
    let long_ago = time::Instant(START.0 - RELAY_SILENCE_TIMEOUT.0 - 1);
    assert!(matches!(access(&members, 12, long_ago), StoreAccess::Poll { .. }));
    let accesses = (0..20).map(|_| access(&[], 1, START)).collect::<Vec<_>>();
    let is_poll = |access: &StoreAccess| matches!(access, StoreAccess::Poll { .. });
    assert!(accesses.iter().all(is_poll));
    assert!(accesses.iter().any(|access| *access != accesses[0]), "polls have jitter");
}
