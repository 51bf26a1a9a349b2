//! Balancing of the load of members by moves of slices.
//!
//! The moves minimise imbalance + churn weight × moved load. They start when the imbalance exceeds
//! one limit and continue down to a lower one, so that noise causes no moves.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, class, ident, key, time};

use super::chains;
use super::loads::{ClassLoads, SMOOTHING_TIME_CONSTANT};
use super::placement::{Placement, ServerKey};

/// Load that is attributed to every slice in addition to its own, as a share of the mean load of a
/// slice, so that idle slices are distributed as well.
const BASE_LOAD_SHARE: f64 = 0.01;
/// Share of the mean load below which a member gets slices, for example after it joined. A higher
/// share would cause moves that relieve no busy member.
const MIN_LOAD_SHARE: f64 = 0.3;
/// Number of standard deviations of random variation that start no moves.
const NOISE_DEVIATIONS: f64 = 3.0;
/// Moves per minute that a class may make even if it has few slices.
const MIN_MOVES_PER_MINUTE: f64 = 8.0;

/// Limits and weights of balancing for the preference of a class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BalanceTargets {
    /// Excess of the highest load over the mean above which moves start, as a share of the mean.
    start_excess: f64,
    /// Excess of the highest load over the mean at which moves stop, as a share of the mean.
    stop_excess: f64,
    /// Reduction of the imbalance that is required for moving the mean load of a member.
    churn_weight: f64,
    /// Share of the slices of the class that may move per minute.
    move_share_per_minute: f64,
    /// Time after a move for which the slice isn't moved again.
    move_cooldown: time::Duration,
}

impl BalanceTargets {
    pub(crate) fn of(preference: class::BalancePreference) -> BalanceTargets {
        match preference {
            class::BalancePreference::FewestMoves => BalanceTargets {
                start_excess: 0.25,
                stop_excess: 0.12,
                churn_weight: 0.2,
                move_share_per_minute: 0.02,
                move_cooldown: time::Duration::from_secs(300),
            },
            class::BalancePreference::LeastDowntime => BalanceTargets {
                start_excess: 0.10,
                stop_excess: 0.05,
                churn_weight: 0.1,
                move_share_per_minute: 0.05,
                move_cooldown: time::Duration::from_secs(60),
            },
        }
    }
}

/// Budget of moves of a class, which is refilled over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MoveBudget {
    moves: f64,
    refilled_at: Option<time::Instant>,
}

impl MoveBudget {
    /// Adds the moves allowed since the last call, up to those of one minute.
    pub(crate) fn refill(&mut self, now: time::Instant, slices: usize, targets: BalanceTargets) {
        let moves_per_minute =
            (slices as f64 * targets.move_share_per_minute).max(MIN_MOVES_PER_MINUTE);
        let elapsed_s = self.refilled_at.map_or(60.0, |last| now.since(last).as_secs_f64());
        self.refilled_at = Some(now);
        self.moves = (self.moves + moves_per_minute * elapsed_s / 60.0).min(moves_per_minute);
    }

    /// Spends one move and returns whether the budget allowed it.
    pub(crate) fn try_spend(&mut self) -> bool {
        let has_move = self.moves >= 1.0;
        if has_move {
            self.moves -= 1.0;
        }
        has_move
    }
}

/// Time of the last move for balance of each slice, by its start.
pub(crate) type RecentMoves = BTreeMap<key::KeyHash, time::Instant>;

/// Limits of the moves of one class.
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
    /// Lower bound of the highest load of a member: the mean, or the load of the heaviest slice.
    floor: f64,
    /// Mean load of a slice.
    mean_slice: f64,
    /// Load and index of the movable slices of each member, the heaviest last.
    slices: Vec<Vec<(f64, usize)>>,
}

/// A selected move.
#[derive(Clone, Copy, Debug)]
struct Move {
    slice: usize,
    to: ServerKey,
}

/// Returns the mean load of the members that serve a class, in requests per second.
pub(crate) fn mean_load(
    slices: &assignment::ClassSlices,
    loads: &ClassLoads,
    placement: &Placement,
) -> f64 {
    let total = loads.rates(slices).into_iter().sum::<f64>();
    total / placement.len().max(1) as f64
}

/// Moves slices within the budget and returns the number of moves.
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
    recent.retain(|_, at| now.since(*at) < targets.move_cooldown);
    if placement.len() < 2 {
        return 0;
    }
    let mut members = member_loads(slices, loads, placement, recent);
    let noise_margin = noise_margin(mean_load(slices, loads, placement));
    let max_load = max_load(&members.loads);
    let is_overloaded = max_load > members.floor * (1.0 + targets.start_excess + noise_margin);
    let eligible = (0..placement.len()).filter(|index| placement.servers[*index].is_eligible);
    let min_load = eligible.map(|index| members.loads[index]).fold(f64::INFINITY, f64::min);
    let is_underloaded = min_load < members.mean * MIN_LOAD_SHARE;
    if !is_overloaded && !is_underloaded {
        return 0;
    }
    let moves = select_moves(&mut members, placement, targets, *budget);
    for selected in &moves {
        if !budget.try_spend() {
            break;
        }
        let slice = &mut slices.slices[selected.slice];
        recent.insert(slice.start, now);
        let chain = moved_chain(slice, selected.to, placement);
        placement.count_chain(&chain);
        chains::change_chain(slice, chain, epoch);
    }
    moves.len()
}

/// Returns the relative deviation of a member's load that random variation can explain.
fn noise_margin(mean_rate: f64) -> f64 {
    let requests = (mean_rate * SMOOTHING_TIME_CONSTANT.as_secs_f64() * 2.0).max(1.0);
    (NOISE_DEVIATIONS / requests.sqrt()).min(1.0)
}

fn max_load(loads: &[f64]) -> f64 {
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
    let base = (total * BASE_LOAD_SHARE / rates.len() as f64).max(0.001);
    let mut members = MemberLoads {
        loads: vec![0.0; placement.len()],
        mean: 0.0,
        floor: 0.0,
        mean_slice: total / rates.len() as f64 + base,
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
    let known = || (0..placement.len()).filter(|index| placement.servers[*index].is_load_known);
    let total = known().map(|index| members.loads[index]).sum::<f64>();
    members.mean = total / known().count().max(1) as f64;
    members.floor = members.floor.max(members.mean);
    for index in (0..placement.len()).filter(|index| !placement.servers[*index].is_load_known) {
        members.loads[index] = members.mean;
        members.slices[index].clear();
    }
    members
}

/// Selects moves one by one and returns the prefix of the list that has the lowest cost.
fn select_moves(
    members: &mut MemberLoads,
    placement: &Placement,
    targets: BalanceTargets,
    budget: MoveBudget,
) -> Vec<Move> {
    let mut remaining = budget;
    let mut moves = Vec::new();
    let mut moved = 0.0;
    let mut is_exhausted = vec![false; placement.len()];
    let mut best = (cost(members, targets, moved), 0);
    while let Some((from, to)) = select_pair(members, placement, targets, &is_exhausted) {
        let Some((weight, slice)) = take_slice(members, targets, from, to) else {
            is_exhausted[from] = true;
            continue;
        };
        if !remaining.try_spend() {
            break;
        }
        members.loads[from] -= weight;
        members.loads[to] += weight;
        // Even an idle slice costs a handover and space in the document.
        moved += weight.max(members.mean_slice);
        moves.push(Move { slice, to: ServerKey(to as u16) });
        let now = cost(members, targets, moved);
        if now < best.0 {
            best = (now, moves.len());
        }
    }
    moves.truncate(best.1);
    moves
}

/// Returns the imbalance, plus the unused share of underloaded members, plus the weighted moved
/// load.
fn cost(members: &MemberLoads, targets: BalanceTargets, moved: f64) -> f64 {
    let mean = members.mean.max(f64::MIN_POSITIVE);
    let underload =
        members.loads.iter().map(|load| (MIN_LOAD_SHARE - load / mean).max(0.0)).sum::<f64>();
    max_load(&members.loads) / mean + underload + targets.churn_weight * moved / mean
}

/// Returns the most loaded member that has a slice to move and the least loaded eligible one, if
/// one of them is outside its limit.
fn select_pair(
    members: &MemberLoads,
    placement: &Placement,
    targets: BalanceTargets,
    is_exhausted: &[bool],
) -> Option<(usize, usize)> {
    let by_load = |a: &usize, b: &usize| members.loads[*a].total_cmp(&members.loads[*b]);
    let from = (0..placement.len()).filter(|index| !is_exhausted[*index]).max_by(by_load)?;
    let eligible = (0..placement.len()).filter(|index| placement.servers[*index].is_eligible);
    let to = eligible.min_by(by_load)?;
    let is_overloaded = members.loads[from] > members.floor * (1.0 + targets.stop_excess);
    let is_underloaded = members.loads[to] < members.mean * MIN_LOAD_SHARE;
    (from != to && (is_overloaded || is_underloaded)).then_some((from, to))
}

/// Removes and returns the slice whose move gives the best trade-off between the higher of the two
/// resulting loads and the moved load.
fn take_slice(
    members: &mut MemberLoads,
    targets: BalanceTargets,
    from: usize,
    to: usize,
) -> Option<(f64, usize)> {
    let (from_load, to_load) = (members.loads[from], members.loads[to]);
    let limit = members.floor * (1.0 + targets.stop_excess);
    let own = &members.slices[from];
    let wanted = [from_load - limit, (from_load - to_load) / 2.0, limit - to_load];
    let positions = wanted.map(|weight| own.partition_point(|(own, _)| *own <= weight));
    let positions = positions.into_iter().flat_map(|at| [at.checked_sub(1), Some(at)]).flatten();
    let move_cost = |weight: f64| {
        let higher = (from_load - weight).max(to_load + weight);
        higher.max(limit) + targets.churn_weight * weight.max(members.mean_slice)
    };
    let candidates =
        positions.filter(|at| own.get(*at).is_some_and(|(weight, _)| to_load + weight < from_load));
    let selected =
        candidates.min_by(|a, b| move_cost(own[*a].0).total_cmp(&move_cost(own[*b].0)))?;
    Some(members.slices[from].remove(selected))
}

/// Returns the chain after a move: the new owner, a partner of the new owner, and a member of the
/// old chain, which has the records of the slice and a warm upstream.
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
        placement.complete_chain(&mut filled, slice.start.0);
        chain.extend(filled.get(1));
    }
    for server in old {
        if chain.len() < placement.chain_length() && placement.adds_zone(&chain, server) {
            chain.push(server);
        }
    }
    placement.complete_chain(&mut chain, slice.start.0);
    chain.iter().map(|server| placement.lease(*server)).collect()
}
