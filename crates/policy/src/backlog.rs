//! Queued requests in their order of dispatch.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use cornelridge_model::time;

use crate::admission;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: admission::AdmissionRequest,
    pub(crate) queued: time::Instant,
    sequence: u64,
}

impl WaitingRequest {
    fn turn(&self) -> CallerTurn {
        (self.request.deadline, self.sequence, self.request.id)
    }
}

/// Earliest deadline first; the sequence keeps the order of arrival among equals.
type CallerTurn = (time::Instant, u64, admission::RequestId);

/// Requests of one class; callers take turns.
#[derive(Debug)]
struct ClassLane {
    class: admission::ClassIndex,
    bulk: bool,
    callers: HashMap<admission::CallerHash, BTreeSet<CallerTurn>>,
    order: VecDeque<admission::CallerHash>,
    len: usize,
}

impl ClassLane {
    fn new(class: admission::ClassIndex, bulk: bool) -> ClassLane {
        ClassLane { class, bulk, callers: HashMap::new(), order: VecDeque::new(), len: 0 }
    }

    fn push(&mut self, waiting: &WaitingRequest) {
        let turns = self.callers.entry(waiting.request.caller).or_default();
        if turns.is_empty() {
            self.order.push_back(waiting.request.caller);
        }
        turns.insert(waiting.turn());
        self.len += 1;
    }

    fn pop(&mut self) -> Option<admission::RequestId> {
        let caller = self.order.pop_front()?;
        let turns = self.callers.get_mut(&caller)?;
        let (_, _, id) = turns.pop_first()?;
        self.len -= 1;
        if turns.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.order.push_back(caller);
        }
        Some(id)
    }

    fn remove(&mut self, waiting: &WaitingRequest) {
        let caller = waiting.request.caller;
        let Some(turns) = self.callers.get_mut(&caller) else { return };
        if !turns.remove(&waiting.turn()) {
            return;
        }
        self.len -= 1;
        if turns.is_empty() {
            self.callers.remove(&caller);
            self.order.retain(|&other| other != caller);
        }
    }

    /// The latest deadline of the caller with the most requests.
    fn last(&self) -> Option<admission::RequestId> {
        let fullest = self.order.iter().max_by_key(|caller| self.callers[caller].len())?;
        self.callers[fullest].last().map(|&(_, _, id)| id)
    }

    /// Requests served before one of `caller` with `deadline` when callers take turns.
    fn ahead(&self, caller: admission::CallerHash, deadline: time::Instant) -> usize {
        let own = self.callers.get(&caller);
        let earlier = own
            .map_or(0, |turns| turns.iter().take_while(|(other, _, _)| *other <= deadline).count());
        let others = self.callers.iter().filter(|(other, _)| **other != caller);
        earlier + others.map(|(_, turns)| turns.len().min(earlier + 1)).sum::<usize>()
    }
}

/// Requests of one rank; classes take turns.
#[derive(Debug, Default)]
struct RankLane {
    classes: Vec<ClassLane>,
    next: usize,
}

impl RankLane {
    fn len(&self) -> usize {
        self.classes.iter().map(|lane| lane.len).sum()
    }

    fn has_eligible(&self, allow_bulk: bool) -> bool {
        self.classes.iter().any(|lane| lane.len > 0 && (allow_bulk || !lane.bulk))
    }

    fn pop(&mut self, allow_bulk: bool) -> Option<admission::RequestId> {
        let count = self.classes.len();
        let places = (0..count).map(|step| (self.next + step) % count);
        let eligible = |&place: &usize| {
            let lane = &self.classes[place];
            lane.len > 0 && (allow_bulk || !lane.bulk)
        };
        let place = places.into_iter().find(eligible)?;
        self.next = place + 1;
        self.classes[place].pop()
    }

    fn lane(&mut self, request: &admission::AdmissionRequest) -> &mut ClassLane {
        let (class, bulk) = (request.class, request.bulk);
        let known = self.classes.iter().position(|lane| lane.class == class && lane.bulk == bulk);
        let place = known.unwrap_or_else(|| {
            self.classes.push(ClassLane::new(class, bulk));
            self.classes.len() - 1
        });
        &mut self.classes[place]
    }
}

/// Requests that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    ranks: BTreeMap<u8, RankLane>,
    waiting: HashMap<admission::RequestId, WaitingRequest>,
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

    /// Number of requests of this rank and lower ones.
    pub(crate) fn len_up_to(&self, yield_rank: u8) -> usize {
        self.ranks.range(..=yield_rank).map(|(_, lane)| lane.len()).sum()
    }

    pub(crate) fn contains(&self, id: admission::RequestId) -> bool {
        self.waiting.contains_key(&id)
    }

    pub(crate) fn push(&mut self, queued: time::Instant, request: admission::AdmissionRequest) {
        let waiting = WaitingRequest { request, queued, sequence: self.sequence };
        self.sequence += 1;
        self.ranks.entry(request.yield_rank).or_default().lane(&request).push(&waiting);
        self.waiting.insert(request.id, waiting);
    }

    /// Whether a request of this rank or a lower one could be dispatched.
    pub(crate) fn has_eligible(&self, yield_rank: u8, allow_bulk: impl Fn(u8) -> bool) -> bool {
        let mut ranks = self.ranks.range(..=yield_rank);
        ranks.any(|(&rank, lane)| lane.has_eligible(allow_bulk(rank)))
    }

    /// Takes the next request: the lowest rank, then class, caller and deadline.
    pub(crate) fn pop(&mut self, allow_bulk: impl Fn(u8) -> bool) -> Option<WaitingRequest> {
        let id = self.ranks.iter_mut().find_map(|(&rank, lane)| lane.pop(allow_bulk(rank)))?;
        self.waiting.remove(&id)
    }

    pub(crate) fn remove(
        &mut self,
        id: admission::RequestId,
    ) -> Option<admission::AdmissionRequest> {
        let waiting = self.waiting.remove(&id)?;
        if let Some(lane) = self.ranks.get_mut(&waiting.request.yield_rank) {
            lane.lane(&waiting.request).remove(&waiting);
        }
        Some(waiting.request)
    }

    /// Takes a request of a rank above `yield_rank`: the highest rank and its fullest class.
    pub(crate) fn evict(&mut self, yield_rank: u8) -> Option<admission::AdmissionRequest> {
        let mut higher = self.ranks.iter().rev().take_while(|(rank, _)| **rank > yield_rank);
        let (_, lane) = higher.find(|(_, lane)| lane.len() > 0)?;
        let id = lane.classes.iter().max_by_key(|lane| lane.len)?.last()?;
        self.remove(id)
    }

    /// Time of work ahead of `request`, from the service time of each class.
    pub(crate) fn work_ahead_us(
        &self,
        request: &admission::AdmissionRequest,
        service_us: impl Fn(admission::ClassIndex) -> f64,
    ) -> f64 {
        let mut work = 0.0;
        for (&rank, lane) in self.ranks.range(..=request.yield_rank) {
            let own = lane.classes.iter().find(|lane| lane.class == request.class);
            let ahead = own.map_or(0, |lane| lane.ahead(request.caller, request.deadline));
            for lane in lane.classes.iter().filter(|lane| lane.len > 0) {
                let count = if rank < request.yield_rank {
                    lane.len
                } else if lane.class == request.class {
                    ahead
                } else {
                    lane.len.min(ahead + 1)
                };
                work += count as f64 * service_us(lane.class);
            }
        }
        work
    }

    /// Requests for which `hopeless` holds, in the order of their arrival.
    pub(crate) fn select(
        &self,
        hopeless: impl Fn(&admission::AdmissionRequest) -> bool,
    ) -> Vec<admission::RequestId> {
        let mut found: Vec<_> =
            self.waiting.values().filter(|waiting| hopeless(&waiting.request)).collect();
        found.sort_unstable_by_key(|waiting| waiting.sequence);
        found.into_iter().map(|waiting| waiting.request.id).collect()
    }
}
