//! Queued requests in dispatch order.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use cornelridge_model::time;

use crate::admission;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: admission::AdmissionRequest,
    pub(crate) queued: time::Instant,
    sequence: u64,
}

impl QueuedRequest {
    fn order(&self) -> DispatchOrder {
        (self.request.deadline, self.sequence, self.request.id)
    }
}

/// Sort key of the requests of one caller: the earliest deadline first, then the order of arrival.
type DispatchOrder = (time::Instant, u64, admission::RequestId);

/// Requests of one class, served round-robin by caller.
#[derive(Debug)]
struct ClassQueue {
    class: admission::ClassIndex,
    bulk: bool,
    callers: HashMap<admission::CallerHash, BTreeSet<DispatchOrder>>,
    rotation: VecDeque<admission::CallerHash>,
    len: usize,
}

impl ClassQueue {
    fn new(class: admission::ClassIndex, bulk: bool) -> ClassQueue {
        ClassQueue { class, bulk, callers: HashMap::new(), rotation: VecDeque::new(), len: 0 }
    }

    fn push(&mut self, waiting: &QueuedRequest) {
        let requests = self.callers.entry(waiting.request.caller).or_default();
        if requests.is_empty() {
            self.rotation.push_back(waiting.request.caller);
        }
        requests.insert(waiting.order());
        self.len += 1;
    }

    fn pop(&mut self) -> Option<admission::RequestId> {
        let caller = self.rotation.pop_front()?;
        let requests = self.callers.get_mut(&caller)?;
        let (_, _, id) = requests.pop_first()?;
        self.len -= 1;
        if requests.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        Some(id)
    }

    fn remove(&mut self, waiting: &QueuedRequest) {
        let caller = waiting.request.caller;
        let Some(requests) = self.callers.get_mut(&caller) else { return };
        if !requests.remove(&waiting.order()) {
            return;
        }
        self.len -= 1;
        if requests.is_empty() {
            self.callers.remove(&caller);
            self.rotation.retain(|&other| other != caller);
        }
    }

    /// Returns the request with the latest deadline of the caller with the most requests.
    fn eviction_candidate(&self) -> Option<admission::RequestId> {
        let largest = self.rotation.iter().max_by_key(|caller| self.callers[caller].len())?;
        self.callers[largest].last().map(|&(_, _, id)| id)
    }

    /// Returns the number of requests that are served before one of `caller` with `deadline`.
    fn count_ahead(&self, caller: admission::CallerHash, deadline: time::Instant) -> usize {
        let own = self.callers.get(&caller);
        let earlier = own
            .map_or(0, |queue| queue.iter().take_while(|(other, _, _)| *other <= deadline).count());
        let others = self.callers.iter().filter(|(other, _)| **other != caller);
        earlier + others.map(|(_, requests)| requests.len().min(earlier + 1)).sum::<usize>()
    }
}

/// Requests of one rank, served round-robin by class.
#[derive(Debug, Default)]
struct RankQueue {
    classes: Vec<ClassQueue>,
    next: usize,
}

impl RankQueue {
    fn len(&self) -> usize {
        self.classes.iter().map(|queue| queue.len).sum()
    }

    fn has_eligible(&self, allow_bulk: bool) -> bool {
        self.classes.iter().any(|queue| queue.len > 0 && (allow_bulk || !queue.bulk))
    }

    fn pop(&mut self, allow_bulk: bool) -> Option<admission::RequestId> {
        let count = self.classes.len();
        let indices = (0..count).map(|offset| (self.next + offset) % count);
        let eligible = |&index: &usize| {
            let queue = &self.classes[index];
            queue.len > 0 && (allow_bulk || !queue.bulk)
        };
        let index = indices.into_iter().find(eligible)?;
        self.next = index + 1;
        self.classes[index].pop()
    }

    /// Returns the queue of the request's class, which is created if it doesn't exist.
    fn class_queue(&mut self, request: &admission::AdmissionRequest) -> &mut ClassQueue {
        let (class, bulk) = (request.class, request.bulk);
        let existing =
            self.classes.iter().position(|queue| queue.class == class && queue.bulk == bulk);
        let index = existing.unwrap_or_else(|| {
            self.classes.push(ClassQueue::new(class, bulk));
            self.classes.len() - 1
        });
        &mut self.classes[index]
    }
}

/// Requests that wait for a slot, by rank.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    ranks: BTreeMap<u8, RankQueue>,
    waiting: HashMap<admission::RequestId, QueuedRequest>,
    sequence: u64,
}

impl Backlog {
    pub(crate) fn new() -> Backlog {
        Backlog::default()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of requests of this rank and lower ranks.
    pub(crate) fn len_up_to(&self, yield_rank: u8) -> usize {
        self.ranks.range(..=yield_rank).map(|(_, queue)| queue.len()).sum()
    }

    pub(crate) fn contains(&self, id: admission::RequestId) -> bool {
        self.waiting.contains_key(&id)
    }

    pub(crate) fn push(&mut self, queued: time::Instant, request: admission::AdmissionRequest) {
        let waiting = QueuedRequest { request, queued, sequence: self.sequence };
        self.sequence += 1;
        self.ranks.entry(request.yield_rank).or_default().class_queue(&request).push(&waiting);
        self.waiting.insert(request.id, waiting);
    }

    /// Returns whether a request of this rank or a lower one may be dispatched.
    pub(crate) fn has_eligible(&self, yield_rank: u8, allow_bulk: impl Fn(u8) -> bool) -> bool {
        let mut ranks = self.ranks.range(..=yield_rank);
        ranks.any(|(&rank, queue)| queue.has_eligible(allow_bulk(rank)))
    }

    /// Removes the next request: from the lowest rank, by class, caller and deadline.
    pub(crate) fn pop(&mut self, allow_bulk: impl Fn(u8) -> bool) -> Option<QueuedRequest> {
        let id = self.ranks.iter_mut().find_map(|(&rank, queue)| queue.pop(allow_bulk(rank)))?;
        self.waiting.remove(&id)
    }

    pub(crate) fn remove(
        &mut self,
        id: admission::RequestId,
    ) -> Option<admission::AdmissionRequest> {
        let waiting = self.waiting.remove(&id)?;
        if let Some(rank) = self.ranks.get_mut(&waiting.request.yield_rank) {
            rank.class_queue(&waiting.request).remove(&waiting);
        }
        Some(waiting.request)
    }

    /// Removes a request of a rank above `yield_rank`: from the largest class of the highest rank.
    pub(crate) fn evict(&mut self, yield_rank: u8) -> Option<admission::AdmissionRequest> {
        let mut higher = self.ranks.iter().rev().take_while(|(rank, _)| **rank > yield_rank);
        let (_, rank) = higher.find(|(_, rank)| rank.len() > 0)?;
        let id = rank.classes.iter().max_by_key(|queue| queue.len)?.eviction_candidate()?;
        self.remove(id)
    }

    /// Returns the total service time of the requests ahead of `request`, in microseconds.
    pub(crate) fn work_ahead_us(
        &self,
        request: &admission::AdmissionRequest,
        service_us: impl Fn(admission::ClassIndex) -> f64,
    ) -> f64 {
        let mut work_us = 0.0;
        for (&rank, rank_queue) in self.ranks.range(..=request.yield_rank) {
            let own = rank_queue.classes.iter().find(|queue| queue.class == request.class);
            let ahead = own.map_or(0, |queue| queue.count_ahead(request.caller, request.deadline));
            for queue in rank_queue.classes.iter().filter(|queue| queue.len > 0) {
                let count = if rank < request.yield_rank {
                    queue.len
                } else if queue.class == request.class {
                    ahead
                } else {
                    queue.len.min(ahead + 1)
                };
                work_us += count as f64 * service_us(queue.class);
            }
        }
        work_us
    }

    /// Returns the requests that match `predicate`, in order of arrival.
    pub(crate) fn select(
        &self,
        predicate: impl Fn(&admission::AdmissionRequest) -> bool,
    ) -> Vec<admission::RequestId> {
        let mut matching: Vec<_> =
            self.waiting.values().filter(|waiting| predicate(&waiting.request)).collect();
        matching.sort_unstable_by_key(|waiting| waiting.sequence);
        matching.into_iter().map(|waiting| waiting.request.id).collect()
    }
}
