//! Quarantine of requests that crash upstreams.

use std::collections::HashMap;

use cornelridge_model::ident;
use cornelridge_model::time;
use derive_more::Display;

/// Time for which a request is refused after its second crash, and for which a suspect is
/// remembered.
pub const QUARANTINE_DURATION: time::Duration = time::Duration::from_secs(600);
/// Maximum number of fingerprints that are remembered.
pub const MAX_ENTRIES: usize = 4_096;
/// Age up to which a successful run shows that a request doesn't crash upstreams. Popular requests
/// run all the time, so they are in flight at every crash.
pub const MAX_SERVED_AGE: time::Duration = time::Duration::from_secs(3);
/// Maximum number of successful requests that are remembered, which is more than an upstream
/// completes within `MAX_SERVED_AGE`.
const MAX_SERVED: usize = 8_192;

/// Hash of the parts that identify a request's work: class, method, path, key and a short body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(pub u64);

/// Identifies one crash of one upstream, so that every node counts it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Node beside the upstream.
    pub node: ident::IncarnationId,
    /// Sequence number of the crash at this node.
    pub sequence: u64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// The request isn't a suspect and runs normally.
    Pass,
    /// The request was in flight at a crash and runs alone.
    RunAlone,
    /// The request was in flight at two crashes and is refused.
    Refuse {
        /// Time until the request is accepted again.
        remaining: time::Duration,
    },
}

/// Notice about a fingerprint for the other nodes. Merging a notice is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectNotice {
    /// The request was in flight at a crash.
    InFlight {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Identifier of the crash.
        crash: CrashId,
    },
    /// The request is refused.
    Refused {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Time until the request is accepted again.
        remaining: time::Duration,
    },
    /// The request completed after a crash and is no longer a suspect.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Identifier of the crash.
        crash: CrashId,
    },
    /// The request completes all the time, so it was in flight at crashes by coincidence.
    Served {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
}

/// Returns the worker that runs a suspect of a class that any worker may serve.
///
/// Every node chooses the same worker from the same set, by rendezvous hashing. Copies of a suspect
/// that ran alone on several workers at once could crash all of them.
pub fn worker_for_suspect(
    fingerprint: RequestFingerprint,
    workers: impl IntoIterator<Item = ident::IncarnationId>,
) -> Option<ident::IncarnationId> {
    workers.into_iter().max_by_key(|worker| (mix(fingerprint.0 ^ mix(worker.0)), *worker))
}

/// Mixes the bits of `value` with the finalizer of the SplitMix64 generator.
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

/// Tracks the requests that were in flight when an upstream crashed.
#[derive(Debug, Default)]
pub struct SuspectRegistry {
    entries: HashMap<RequestFingerprint, SuspectState>,
    /// Time of dispatch of the last successful run of each request.
    served: HashMap<RequestFingerprint, time::Instant>,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new() -> SuspectRegistry {
        SuspectRegistry::default()
    }

    /// Records the requests in flight at a crash and returns the notices for the other nodes.
    ///
    /// Requests with a recent successful run don't become suspects.
    pub fn record_crash(
        &mut self,
        now: time::Instant,
        crash: CrashId,
        in_flight: &[RequestFingerprint],
    ) -> Vec<SuspectNotice> {
        let mut notices = Vec::with_capacity(in_flight.len());
        for &fingerprint in in_flight {
            if self.is_recently_served(now, fingerprint) {
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

    /// Records that a request completed, and returns the notice that clears it if it was a suspect.
    ///
    /// A run that was `dispatched` before the crash, such as one at another worker, clears nothing.
    pub fn record_completion(
        &mut self,
        dispatched: time::Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<SuspectNotice> {
        self.record_served(dispatched, fingerprint);
        match self.entries.get(&fingerprint).copied() {
            Some(SuspectState::Suspect { crash, since }) if dispatched >= since => {
                self.entries.remove(&fingerprint);
                Some(SuspectNotice::Cleared { fingerprint, crash })
            }
            _ => None,
        }
    }

    /// Merges a notice of another node. Returns `true` if the notice was new.
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

    /// Returns the notice that refutes a notice of another node, if the request had a recent
    /// successful run here. The other node passes the refutation on.
    pub fn refute(&self, now: time::Instant, notice: SuspectNotice) -> Option<SuspectNotice> {
        match notice {
            SuspectNotice::InFlight { fingerprint, .. }
            | SuspectNotice::Refused { fingerprint, .. }
                if self.is_recently_served(now, fingerprint) =>
            {
                Some(SuspectNotice::Served { fingerprint })
            }
            _ => None,
        }
    }

    /// Decides on a request.
    ///
    /// Call this when the request arrives and, if it waited to run alone, again at dispatch, as a
    /// copy of it may have crashed another upstream in the meantime.
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

    /// Returns the crash at which a suspect was in flight, or `None` if the request isn't a
    /// suspect.
    pub fn crash_of(&self, fingerprint: RequestFingerprint) -> Option<CrashId> {
        match self.entries.get(&fingerprint)? {
            SuspectState::Suspect { crash, .. } => Some(*crash),
            SuspectState::Refused { .. } => None,
        }
    }

    /// Returns the notices of all current entries, for a node that has just joined.
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

    /// Returns the refused requests and the time until they are accepted again.
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

    /// Removes and returns the expired fingerprints. Call this about every second.
    pub fn tick(&mut self, now: time::Instant) -> Vec<RequestFingerprint> {
        self.served.retain(|_, dispatched| now.since(*dispatched) < MAX_SERVED_AGE);
        let expired = self.entries.extract_if(|_, state| state.expiry() <= now);
        expired.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Returns the number of remembered fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_served(&mut self, dispatched: time::Instant, fingerprint: RequestFingerprint) {
        if self.served.len() >= MAX_SERVED {
            self.served.retain(|_, latest| dispatched.since(*latest) < MAX_SERVED_AGE);
        }
        if self.served.len() < MAX_SERVED {
            let latest = self.served.entry(fingerprint).or_insert(dispatched);
            *latest = (*latest).max(dispatched);
        }
    }

    fn is_recently_served(&self, now: time::Instant, fingerprint: RequestFingerprint) -> bool {
        let dispatched = self.served.get(&fingerprint);
        dispatched.is_some_and(|dispatched| now.since(*dispatched) < MAX_SERVED_AGE)
    }

    fn add(&mut self, now: time::Instant, fingerprint: RequestFingerprint, crash: CrashId) -> bool {
        if self.is_recently_served(now, fingerprint) {
            return false;
        }
        let known = self.entries.get(&fingerprint).copied();
        match known.filter(|state| state.expiry() > now) {
            Some(SuspectState::Suspect { crash: first, .. }) if first == crash => false,
            Some(SuspectState::Suspect { .. }) => {
                self.refuse(now, fingerprint, now + QUARANTINE_DURATION)
            }
            Some(SuspectState::Refused { .. }) => false,
            None => self.insert(fingerprint, SuspectState::Suspect { crash, since: now }),
        }
    }

    fn refuse(
        &mut self,
        now: time::Instant,
        fingerprint: RequestFingerprint,
        until: time::Instant,
    ) -> bool {
        if self.is_recently_served(now, fingerprint) {
            return false;
        }
        match self.entries.get(&fingerprint) {
            Some(SuspectState::Refused { until: known }) if *known >= until || until <= now => {
                false
            }
            _ => self.insert(fingerprint, SuspectState::Refused { until }),
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

    fn insert(&mut self, fingerprint: RequestFingerprint, state: SuspectState) -> bool {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= MAX_ENTRIES {
            self.evict_one();
        }
        self.entries.insert(fingerprint, state);
        true
    }

    /// Removes the entry that expires first, but suspects before refused requests.
    fn evict_one(&mut self) {
        let is_refused = |state: &SuspectState| matches!(state, SuspectState::Refused { .. });
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(fingerprint, state)| (is_refused(state), state.expiry(), **fingerprint))
            .map(|(&fingerprint, _)| fingerprint);
        if let Some(fingerprint) = evicted {
            self.entries.remove(&fingerprint);
        }
    }
}
