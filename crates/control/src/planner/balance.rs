//! Moves of slices from busy members to idle ones.
//!
//! Minimises imbalance + churn weight × moved load. Nothing moves while the imbalance is below a
//! trigger, and moves then continue to a lower limit, so that noise causes no moves.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, class, ident, key, time};

use super::chains;
use super::loads::{ClassLoads, SMOOTHING};
use super::placement::{Placement, ServerKey};

/// Load that every slice counts for in addition to its own, as a share of the mean slice, so that
/// idle slices are spread as well.
const BASE_SHARE: f64 = 0.01;
/// A member with less than this share of the mean load is filled, for example after it joined.
/// A higher share would move slices that no busy member is relieved of.
const UNDERFILLED: f64 = 0.3;
/// Standard deviations of chance that the trigger leaves room for.
const NOISE_DEVIATIONS: f64 = 3.0;
/// Moves that a class may make each minute however few slices it has.
const LEAST_MOVES_PER_MINUTE: f64 = 8.0;

/// What follows from the preference of a class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BalanceTargets {
    /// Excess of the busiest member over the mean from which on slices move.
    trigger: f64,
    /// Excess at which moving ends.
    rest: f64,
    /// Imbalance that one mean member load of moved slices must save.
    churn_weight: f64,
    /// Share of the slices of the class that may move in a minute.
    share_per_minute: f64,
    /// Time for which a slice isn't moved again.
    residence: time::Duration,
}

impl BalanceTargets {
    pub(crate) fn of(preference: class::BalancePreference) -> BalanceTargets {
        match preference {
            class::BalancePreference::FewestMoves => BalanceTargets {
                trigger: 0.25,
                rest: 0.12,
                churn_weight: 0.2,
                share_per_minute: 0.02,
                residence: time::Duration::from_secs(300),
            },
            class::BalancePreference::LeastDowntime => BalanceTargets {
                trigger: 0.10,
                rest: 0.05,
                churn_weight: 0.1,
                share_per_minute: 0.05,
                residence: time::Duration::from_secs(60),
            },
        }
    }
}

/// Moves that a class may make now; refilled with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MoveBudget {
    moves: f64,
    refilled: Option<time::Instant>,
}

impl MoveBudget {
    /// Adds the moves earned since the last call, at most those of one minute.
    pub(crate) fn refill(&mut self, now: time::Instant, slices: usize, targets: BalanceTargets) {
        let a_minute = (slices as f64 * targets.share_per_minute).max(LEAST_MOVES_PER_MINUTE);
        let passed = self.refilled.map_or(60.0, |last| now.since(last).as_secs_f64());
        self.refilled = Some(now);
        self.moves = (self.moves + a_minute * passed / 60.0).min(a_minute);
    }

    /// Takes one move, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let has_move = self.moves >= 1.0;
        if has_move {
            self.moves -= 1.0;
        }
        has_move
    }
}

/// When each slice was last moved for balance.
pub(crate) type RecentMoves = BTreeMap<key::KeyHash, time::Instant>;

/// What limits the moves of one class.
#[derive(Debug, Default)]
pub(crate) struct MoveLimits {
    pub(crate) budget: MoveBudget,
    pub(crate) recent: RecentMoves,
}

/// Loads of the members that serve a class.
#[derive(Debug)]
struct MemberLoads {
    loads: Vec<f64>,
    mean: f64,
    /// Load that the busiest member can't go below: the mean, or the heaviest single slice.
    floor: f64,
    /// Load of a slice of average weight.
    slice: f64,
    /// Movable slices of each member, the heaviest last.
    slices: Vec<Vec<(f64, usize)>>,
}

/// A move that was chosen.
#[derive(Clone, Copy, Debug)]
struct Move {
    slice: usize,
    to: ServerKey,
}

/// Mean load of the members that serve a class.
pub(crate) fn mean_load(
    slices: &assignment::ClassSlices,
    loads: &ClassLoads,
    placement: &Placement,
) -> f64 {
    let total = loads.rates(slices).into_iter().sum::<f64>();
    total / placement.len().max(1) as f64
}

/// Moves slices within the budget and returns how many.
pub(crate) fn balance(
    now: time::Instant,
    slices: &mut assignment::ClassSlices,
    loads: &ClassLoads,
    placement: &mut Placement,
    targets: BalanceTargets,
    limits: &mut MoveLimits,
    epoch: ident::EpochNumber,
) -> usize {
    let MoveLimits { budget, recent } = limits;
    recent.retain(|_, at| now.since(*at) < targets.residence);
    if placement.len() < 2 {
        return 0;
    }
    let mut members = member_loads(slices, loads, placement, recent);
    let noise = noise(mean_load(slices, loads, placement));
    let highest = highest(&members.loads);
    let is_over = highest > members.floor * (1.0 + targets.trigger + noise);
    let open = (0..placement.len()).filter(|index| placement.servers[*index].is_open);
    let lowest = open.map(|index| members.loads[index]).fold(f64::INFINITY, f64::min);
    let is_under = lowest < members.mean * UNDERFILLED;
    if !is_over && !is_under {
        return 0;
    }
    let moves = choose_moves(&mut members, placement, targets, *budget);
    for chosen in &moves {
        if !budget.take() {
            break;
        }
        let slice = &mut slices.slices[chosen.slice];
        recent.insert(slice.start, now);
        let chain = moved_chain(slice, chosen.to, placement);
        placement.count(&chain);
        chains::change_chain(slice, chain, epoch);
    }
    moves.len()
}

/// Relative deviation of a member's load that chance alone explains.
fn noise(mean_rate: f64) -> f64 {
    let requests = (mean_rate * SMOOTHING.as_secs_f64() * 2.0).max(1.0);
    (NOISE_DEVIATIONS / requests.sqrt()).min(1.0)
}

fn highest(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}

fn member_loads(
    slices: &assignment::ClassSlices,
    loads: &ClassLoads,
    placement: &Placement,
    recent: &RecentMoves,
) -> MemberLoads {
    let rates = loads.rates(slices);
    let total = rates.iter().sum::<f64>();
    let base = (total * BASE_SHARE / rates.len() as f64).max(0.001);
    let mut members = MemberLoads {
        loads: vec![0.0; placement.len()],
        mean: 0.0,
        floor: 0.0,
        slice: total / rates.len() as f64 + base,
        slices: vec![Vec::new(); placement.len()],
    };
    for (index, (slice, rate)) in slices.slices.iter().zip(&rates).enumerate() {
        let owner = slice.chain.first().and_then(|lease| placement.server(*lease));
        let Some(owner) = owner else { continue };
        let weight = rate + base;
        members.loads[owner.index()] += weight;
        members.floor = members.floor.max(weight);
        if slice.previous.is_empty() && !recent.contains_key(&slice.start) {
            members.slices[owner.index()].push((weight, index));
        }
    }
    members.slices.iter_mut().for_each(|own| own.sort_by(|a, b| a.0.total_cmp(&b.0)));
    let known = || (0..placement.len()).filter(|index| placement.servers[*index].is_known);
    let total = known().map(|index| members.loads[index]).sum::<f64>();
    members.mean = total / known().count().max(1) as f64;
    members.floor = members.floor.max(members.mean);
    for index in (0..placement.len()).filter(|index| !placement.servers[*index].is_known) {
        members.loads[index] = members.mean;
        members.slices[index].clear();
    }
    members
}

/// Chooses moves one by one and keeps the beginning of the list that has the lowest cost.
fn choose_moves(
    members: &mut MemberLoads,
    placement: &Placement,
    targets: BalanceTargets,
    budget: MoveBudget,
) -> Vec<Move> {
    let mut left = budget;
    let mut moves = Vec::new();
    let mut moved = 0.0;
    let mut is_stuck = vec![false; placement.len()];
    let mut best = (cost(members, targets, moved), 0);
    while let Some((from, to)) = next_pair(members, placement, targets, &is_stuck) {
        let Some((weight, slice)) = take_slice(members, targets, from, to) else {
            is_stuck[from] = true;
            continue;
        };
        if !left.take() {
            break;
        }
        members.loads[from] -= weight;
        members.loads[to] += weight;
        // A slice costs a handover and a place in the document however idle it is.
        moved += weight.max(members.slice);
        moves.push(Move { slice, to: ServerKey(to as u16) });
        let now = cost(members, targets, moved);
        if now < best.0 {
            best = (now, moves.len());
        }
    }
    moves.truncate(best.1);
    moves
}

/// Imbalance, plus what a member that is nearly empty wastes, plus the price of the moved load.
fn cost(members: &MemberLoads, targets: BalanceTargets, moved: f64) -> f64 {
    let mean = members.mean.max(f64::MIN_POSITIVE);
    let unused = members.loads.iter().map(|load| (UNDERFILLED - load / mean).max(0.0)).sum::<f64>();
    highest(&members.loads) / mean + unused + targets.churn_weight * moved / mean
}

/// The busiest member that can give and the idlest that can take, while one of them is outside
/// its limit.
fn next_pair(
    members: &MemberLoads,
    placement: &Placement,
    targets: BalanceTargets,
    is_stuck: &[bool],
) -> Option<(usize, usize)> {
    let by_load = |a: &usize, b: &usize| members.loads[*a].total_cmp(&members.loads[*b]);
    let from = (0..placement.len()).filter(|index| !is_stuck[*index]).max_by(by_load)?;
    let open = (0..placement.len()).filter(|index| placement.servers[*index].is_open);
    let to = open.min_by(by_load)?;
    let is_over = members.loads[from] > members.floor * (1.0 + targets.rest);
    let is_under = members.loads[to] < members.mean * UNDERFILLED;
    (from != to && (is_over || is_under)).then_some((from, to))
}

/// The slice whose move leaves the lower of the two loads at the lowest price.
fn take_slice(
    members: &mut MemberLoads,
    targets: BalanceTargets,
    from: usize,
    to: usize,
) -> Option<(f64, usize)> {
    let (giving, taking) = (members.loads[from], members.loads[to]);
    let limit = members.floor * (1.0 + targets.rest);
    let own = &members.slices[from];
    let wanted = [giving - limit, (giving - taking) / 2.0, limit - taking];
    let near = wanted.map(|weight| own.partition_point(|(own, _)| *own <= weight));
    let near = near.into_iter().flat_map(|at| [at.checked_sub(1), Some(at)]).flatten();
    let price = |weight: f64| {
        let higher = (giving - weight).max(taking + weight);
        higher.max(limit) + targets.churn_weight * weight.max(members.slice)
    };
    let candidates =
        near.filter(|at| own.get(*at).is_some_and(|(weight, _)| taking + weight < giving));
    let chosen = candidates.min_by(|a, b| price(own[*a].0).total_cmp(&price(own[*b].0)))?;
    Some(members.slices[from].remove(chosen))
}

/// The chain after a move: the new owner, a partner of it, and a member of the old chain, which
/// has the records of the slice and a warm upstream.
fn moved_chain(
    slice: &assignment::SliceRecord,
    to: ServerKey,
    placement: &Placement,
) -> Vec<assignment::LeaseKey> {
    let old = slice.chain.iter().filter_map(|lease| placement.server(*lease));
    let old = old.filter(|server| *server != to).collect::<Vec<_>>();
    let mut chain = vec![to];
    let known_partner = old.iter().find(|server| placement.is_partner(to, **server));
    chain.extend(known_partner);
    if chain.len() < 2 && placement.chain_length() > 2 {
        let mut filled = chain.clone();
        placement.fill(&mut filled, slice.start.0);
        chain.extend(filled.get(1));
    }
    for server in old {
        if chain.len() < placement.chain_length() && placement.adds_zone(&chain, server) {
            chain.push(server);
        }
    }
    placement.fill(&mut chain, slice.start.0);
    chain.iter().map(|server| placement.lease(*server)).collect()
}
