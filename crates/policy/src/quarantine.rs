//! Requests that crash upstreams.

use std::collections::HashMap;

use cornelridge_model::ident;
use cornelridge_model::time;
use derive_more::Display;

/// How long a request is refused after its second crash, and how long a suspect is remembered.
pub const QUARANTINE_DURATION: time::Duration = time::Duration::from_secs(600);
/// Most fingerprints that are remembered.
pub const MAX_ENTRIES: usize = 4_096;
/// Age up to which a run that ended well shows that a request crashes nothing: popular requests run
/// all the time and beside every crash.
pub const MAX_SERVED_AGE: time::Duration = time::Duration::from_secs(3);
/// Most requests that ended well that are remembered; more than an upstream ends in that time.
const MAX_SERVED: usize = 8_192;

/// Hash of what makes two requests the same work: class, method, path, key and short bodies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(pub u64);

/// One crash of one upstream, named so that every node counts it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// The node beside the upstream.
    pub node: ident::IncarnationId,
    /// Counts the crashes that this node has seen.
    pub sequence: u64,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// Nothing is known against it.
    Pass,
    /// It was in flight at a crash and runs without others beside it.
    RunAlone,
    /// It was in flight at two crashes.
    Refuse {
        /// Time until it is accepted again.
        remaining: time::Duration,
    },
}

/// Fact about a fingerprint for the other nodes; merging one twice has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectNotice {
    /// It was in flight at this crash.
    InFlight {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The crash.
        crash: CrashId,
    },
    /// It is refused.
    Refused {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Time until it is accepted again.
        remaining: time::Duration,
    },
    /// It completed after this crash.
    Cleared {
        /// The request.
        fingerprint: RequestFingerprint,
        /// The crash.
        crash: CrashId,
    },
    /// It completes all the time, so that it was in flight at crashes by chance.
    Served {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

/// The worker that runs a suspect of a class that any worker may serve.
///
/// Every node chooses the same one of the same workers. Copies of a suspect that ran alone on
/// several workers at once would crash all of them.
pub fn worker_for_suspect(
    fingerprint: RequestFingerprint,
    workers: impl IntoIterator<Item = ident::IncarnationId>,
) -> Option<ident::IncarnationId> {
    workers.into_iter().max_by_key(|worker| (mix(fingerprint.0 ^ mix(worker.0)), *worker))
}

/// Finalizer of the SplitMix64 generator: spreads the bits of `value`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

#[derive(Clone, Copy, Debug)]
enum SuspectState {
    Suspect { crash: CrashId, since: time::Instant },
    Refused { until: time::Instant },
}

impl SuspectState {
    fn expiry(self) -> time::Instant {
        match self {
            SuspectState::Suspect { since, .. } => since + QUARANTINE_DURATION,
            SuspectState::Refused { until } => until,
        }
    }
}

/// Fingerprints of requests that were in flight when an upstream ended.
#[derive(Debug, Default)]
pub struct SuspectRegistry {
    entries: HashMap<RequestFingerprint, SuspectState>,
    /// When the last run of a request that ended well was dispatched.
    served: HashMap<RequestFingerprint, time::Instant>,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new() -> SuspectRegistry {
        SuspectRegistry::default()
    }

    /// Records the requests in flight at a crash and returns the notices for the other nodes.
    /// Requests that ended well a moment ago aren't suspects.
    pub fn record_crash(
        &mut self,
        now: time::Instant,
        crash: CrashId,
        in_flight: &[RequestFingerprint],
    ) -> Vec<SuspectNotice> {
        let mut notices = Vec::with_capacity(in_flight.len());
        for &fingerprint in in_flight {
            if self.is_served(now, fingerprint) {
                continue;
            }
            self.add(now, fingerprint, crash);
            notices.push(SuspectNotice::InFlight { fingerprint, crash });
            if let SuspectDecision::Refuse { remaining } = self.decide(now, fingerprint) {
                notices.push(SuspectNotice::Refused { fingerprint, remaining });
            }
        }
        notices
    }

    /// Records that a request completed; returns the notice that clears a suspect.
    ///
    /// `dispatched` guards against a request that was already running elsewhere at the crash.
    pub fn record_completion(
        &mut self,
        dispatched: time::Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<SuspectNotice> {
        self.note_served(dispatched, fingerprint);
        match self.entries.get(&fingerprint).copied() {
            Some(SuspectState::Suspect { crash, since }) if dispatched >= since => {
                self.entries.remove(&fingerprint);
                Some(SuspectNotice::Cleared { fingerprint, crash })
            }
            _ => None,
        }
    }

    /// Takes over a fact from another node; `true` if it was new.
    pub fn merge(&mut self, now: time::Instant, notice: SuspectNotice) -> bool {
        match notice {
            SuspectNotice::InFlight { fingerprint, crash } => self.add(now, fingerprint, crash),
            SuspectNotice::Refused { fingerprint, remaining } => {
                self.refuse(now, fingerprint, now + remaining.min(QUARANTINE_DURATION))
            }
            SuspectNotice::Cleared { fingerprint, crash } => self.clear(fingerprint, crash),
            SuspectNotice::Served { fingerprint } => self.entries.remove(&fingerprint).is_some(),
        }
    }

    /// What this node knows against a notice of another one: the request ended well here a moment
    /// ago. The other node passes it on.
    pub fn refute(&self, now: time::Instant, notice: SuspectNotice) -> Option<SuspectNotice> {
        match notice {
            SuspectNotice::InFlight { fingerprint, .. }
            | SuspectNotice::Refused { fingerprint, .. }
                if self.is_served(now, fingerprint) =>
            {
                Some(SuspectNotice::Served { fingerprint })
            }
            _ => None,
        }
    }

    /// Decides on a request when it arrives and, if it waited to run alone, again at dispatch:
    /// a copy of it may have crashed another upstream meanwhile.
    pub fn decide(&self, now: time::Instant, fingerprint: RequestFingerprint) -> SuspectDecision {
        match self.entries.get(&fingerprint) {
            Some(state) if state.expiry() <= now => SuspectDecision::Pass,
            Some(SuspectState::Suspect { .. }) => SuspectDecision::RunAlone,
            Some(SuspectState::Refused { until }) => {
                SuspectDecision::Refuse { remaining: until.since(now) }
            }
            None => SuspectDecision::Pass,
        }
    }

    /// The crash at which a suspect was in flight.
    pub fn crash_of(&self, fingerprint: RequestFingerprint) -> Option<CrashId> {
        match self.entries.get(&fingerprint)? {
            SuspectState::Suspect { crash, .. } => Some(*crash),
            SuspectState::Refused { .. } => None,
        }
    }

    /// Everything in force, for a node that has just joined.
    pub fn notices(&self, now: time::Instant) -> Vec<SuspectNotice> {
        let live = self.entries.iter().filter(|(_, state)| state.expiry() > now);
        live.map(|(&fingerprint, &state)| match state {
            SuspectState::Suspect { crash, .. } => SuspectNotice::InFlight { fingerprint, crash },
            SuspectState::Refused { until } => {
                SuspectNotice::Refused { fingerprint, remaining: until.since(now) }
            }
        })
        .collect()
    }

    /// The refused requests, with the time until they are accepted again.
    pub fn refusals(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (RequestFingerprint, time::Duration)> {
        self.entries.iter().filter_map(move |(&fingerprint, state)| match state {
            SuspectState::Refused { until } if *until > now => {
                Some((fingerprint, until.since(now)))
            }
            _ => None,
        })
    }

    /// Forgets what has expired, and returns it; call it about every second.
    pub fn tick(&mut self, now: time::Instant) -> Vec<RequestFingerprint> {
        self.served.retain(|_, dispatched| now.since(*dispatched) < MAX_SERVED_AGE);
        let expired = self.entries.extract_if(|_, state| state.expiry() <= now);
        expired.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Number of remembered fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn note_served(&mut self, dispatched: time::Instant, fingerprint: RequestFingerprint) {
        if self.served.len() >= MAX_SERVED {
            self.served.retain(|_, known| dispatched.since(*known) < MAX_SERVED_AGE);
        }
        if self.served.len() < MAX_SERVED {
            let known = self.served.entry(fingerprint).or_insert(dispatched);
            *known = (*known).max(dispatched);
        }
    }

    fn is_served(&self, now: time::Instant, fingerprint: RequestFingerprint) -> bool {
        let dispatched = self.served.get(&fingerprint);
        dispatched.is_some_and(|dispatched| now.since(*dispatched) < MAX_SERVED_AGE)
    }

    fn add(&mut self, now: time::Instant, fingerprint: RequestFingerprint, crash: CrashId) -> bool {
        if self.is_served(now, fingerprint) {
            return false;
        }
        let known = self.entries.get(&fingerprint).copied();
        match known.filter(|state| state.expiry() > now) {
            Some(SuspectState::Suspect { crash: first, .. }) if first == crash => false,
            Some(SuspectState::Suspect { .. }) => {
                self.refuse(now, fingerprint, now + QUARANTINE_DURATION)
            }
            Some(SuspectState::Refused { .. }) => false,
            None => self.store(fingerprint, SuspectState::Suspect { crash, since: now }),
        }
    }

    fn refuse(
        &mut self,
        now: time::Instant,
        fingerprint: RequestFingerprint,
        until: time::Instant,
    ) -> bool {
        if self.is_served(now, fingerprint) {
            return false;
        }
        match self.entries.get(&fingerprint) {
            Some(SuspectState::Refused { until: known }) if *known >= until || until <= now => {
                false
            }
            _ => self.store(fingerprint, SuspectState::Refused { until }),
        }
    }

    fn clear(&mut self, fingerprint: RequestFingerprint, crash: CrashId) -> bool {
        match self.entries.get(&fingerprint) {
            Some(SuspectState::Suspect { crash: known, .. }) if *known == crash => {
                self.entries.remove(&fingerprint).is_some()
            }
            _ => false,
        }
    }

    fn store(&mut self, fingerprint: RequestFingerprint, state: SuspectState) -> bool {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= MAX_ENTRIES {
            self.make_room();
        }
        self.entries.insert(fingerprint, state);
        true
    }

    /// Drops the entry that expires first, a suspect before a refused request.
    fn make_room(&mut self) {
        let rank = |state: &SuspectState| matches!(state, SuspectState::Refused { .. });
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(fingerprint, state)| (rank(state), state.expiry(), **fingerprint))
            .map(|(&fingerprint, _)| fingerprint);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }
}
