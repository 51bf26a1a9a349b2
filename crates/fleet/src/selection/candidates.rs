//! Workers of a service that a node may choose.

use std::sync::Arc;

use cornelridge_model::time;
use xxhash_rust::xxh3;

use super::WorkerCandidate;
use crate::evacuation;
use crate::member;

/// Number of workers of a service among which a node chooses first. Each is then shared by many
/// nodes, and the least loaded of this many is nearly as idle as that of all.
const MAX_PREFERRED: usize = 32;

/// Number of workers among them that may be of the node's own availability zone, unless there are
/// not enough others.
const MAX_NEAR: usize = MAX_PREFERRED / 2;

/// Candidates of one service as of one version of the members and of the evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct CandidateSet {
    /// Versions of the members and of the evacuated zones.
    versions: (u64, u64),
    all: Arc<[WorkerCandidate]>,
    preferred: Arc<[WorkerCandidate]>,
    /// Workers beside nodes whose entry has ended, which may still answer.
    lapsed: Arc<[WorkerCandidate]>,
}

impl CandidateSet {
    /// Collects the workers of a service that take new requests, without those in evacuated zones.
    /// `node` and `zone` are those of this node.
    pub fn new(
        directory: &member::MemberDirectory,
        evacuations: &evacuation::EvacuationSet,
        service: &str,
        node: &str,
        zone: &str,
    ) -> CandidateSet {
        let candidate = |entry: &member::MemberEntry, worker: &member::MemberWorker| {
            let is_candidate = entry.state == member::MemberState::Serving
                && worker.state == member::WorkerState::Ready
                && !evacuations.contains(&entry.zone);
            is_candidate.then(|| WorkerCandidate {
                worker: worker.name.clone(),
                node: Arc::clone(&entry.node),
                is_same_zone: *entry.zone == *zone,
                slots: worker.slots,
            })
        };
        let members = directory.by_service(service);
        let all: Vec<WorkerCandidate> =
            members.filter_map(|(entry, worker)| candidate(entry, worker)).collect();
        let lapsed = directory.lapsed().iter().filter_map(|(_, entry)| {
            let worker = entry.worker.as_ref().filter(|worker| *worker.service == *service)?;
            candidate(entry, worker)
        });
        let lapsed = lapsed.collect();
        let seed = xxh3::xxh3_64(node.as_bytes());
        let mut order = all.clone();
        order.sort_by_cached_key(|known| xxh3::xxh3_64_with_seed(known.worker.0.as_bytes(), seed));
        let (near, far): (Vec<_>, Vec<_>) = order.into_iter().partition(|known| known.is_same_zone);
        let near_count = near.len().min(MAX_PREFERRED.saturating_sub(far.len()).max(MAX_NEAR));
        let mut preferred: Vec<WorkerCandidate> = near.into_iter().take(near_count).collect();
        let far_count = MAX_PREFERRED.saturating_sub(preferred.len());
        preferred.extend(far.into_iter().take(far_count));
        let versions = (directory.version(), evacuations.version());
        CandidateSet { versions, all: all.into(), preferred: preferred.into(), lapsed }
    }

    /// Returns whether neither the members nor the evacuated zones have changed since.
    pub fn is_current(
        &self,
        directory: &member::MemberDirectory,
        evacuations: &evacuation::EvacuationSet,
    ) -> bool {
        self.versions == (directory.version(), evacuations.version())
    }

    /// Returns all candidates beside members.
    pub fn all(&self) -> Arc<[WorkerCandidate]> {
        Arc::clone(&self.all)
    }

    /// Returns the candidates for first attempts. Of many, a node uses a few that only the name of
    /// the node and those of the workers determine, so that it keeps few connections.
    pub fn preferred(&self) -> Arc<[WorkerCandidate]> {
        Arc::clone(&self.preferred)
    }

    /// Adds the workers beside nodes whose entry has ended and which still answer.
    pub fn with_lapsed(
        &self,
        now: time::Instant,
        directory: &member::MemberDirectory,
        members: Arc<[WorkerCandidate]>,
    ) -> Arc<[WorkerCandidate]> {
        if self.lapsed.is_empty() {
            return members;
        }
        let lapsed = self.lapsed.iter();
        let reachable = lapsed.filter(|known| directory.reachable(now, &known.node).is_some());
        members.iter().chain(reachable).cloned().collect()
    }
}
