//! Chains of slices: settlement of moves, replacement of members, and the first slices of a class.

use cornelridge_model::{assignment, ident, key};

use super::draft::Draft;
use super::observations::Observations;
use super::placement::{Placement, ServerKey};

/// Number of slices per member that a class gets at first.
pub(crate) const SLICES_PER_MEMBER: usize = 64;
/// Number of slices per member below which all slices are split in half.
const MIN_SLICES_PER_MEMBER: usize = 48;
/// In one call, at most one in this many slices of a class, rounded down, plus one may change its
/// chain only to use more zones.
const IMPROVEMENT_DIVISOR: usize = 8;

/// Clears `previous` of slices where each lease in it has ended or its holder has confirmed the
/// move, and returns the number of these slices.
pub(crate) fn settle(draft: &mut Draft, observations: &Observations) -> usize {
    let document = &draft.document;
    let is_settled = |slice: &assignment::SliceRecord| {
        slice.previous.iter().all(|lease| {
            let holder = document.holder(*lease).incarnation;
            draft.is_ended(*lease) || observations.has_confirmed(holder, slice.since)
        })
    };
    let mut settled = Vec::new();
    for (class, slices) in document.classes.iter().enumerate() {
        let moved = slices.slices.iter().enumerate().filter(|(_, s)| !s.previous.is_empty());
        settled.extend(moved.filter(|(_, s)| is_settled(s)).map(|(slice, _)| (class, slice)));
    }
    for (class, slice) in &settled {
        let slice = &mut draft.document.classes[*class].slices[*slice];
        slice.previous.clear();
        slice.previous_since = ident::EpochNumber(0);
    }
    settled.len()
}

/// Changes the chain of a settled slice. The old chain is kept until the move is settled.
pub(crate) fn change_chain(
    slice: &mut assignment::SliceRecord,
    chain: Vec<assignment::LeaseKey>,
    epoch: ident::EpochNumber,
) {
    slice.previous = std::mem::replace(&mut slice.chain, chain);
    slice.previous_since = slice.since;
    slice.since = epoch;
}

/// Creates the slices of a class, or splits them in half if members have joined. Returns whether
/// the slices have changed.
pub(crate) fn create_or_split(draft: &mut Draft, class: usize, placement: &mut Placement) -> bool {
    let slices = &mut draft.document.classes[class].slices;
    if slices.is_empty() {
        placement.prepare(slices);
        *slices = first_slices(placement, draft.document.epoch);
        draft.is_changed = true;
        return true;
    }
    let wanted = placement.len() * MIN_SLICES_PER_MEMBER;
    let mut is_split = false;
    while slices.len() < wanted && slices.len() * 2 <= assignment::MAX_SLICES {
        let before = slices.len();
        *slices = split_in_half(slices);
        if slices.len() == before {
            break;
        }
        is_split = true;
    }
    draft.is_changed |= is_split;
    is_split
}

fn first_slices(
    placement: &mut Placement,
    epoch: ident::EpochNumber,
) -> Vec<assignment::SliceRecord> {
    let count = (placement.len() * SLICES_PER_MEMBER).min(assignment::MAX_SLICES);
    let step = u128::from(u64::MAX) + 1;
    let mut slices = Vec::with_capacity(count);
    for index in 0..count {
        let start = (step * index as u128 / count as u128) as u64;
        let mut chain = vec![ServerKey((index % placement.len()) as u16)];
        placement.complete_chain(&mut chain, start);
        let chain = chain_leases(placement, &chain);
        placement.count_chain(&chain);
        let start = key::KeyHash(start);
        slices.push(assignment::SliceRecord {
            start,
            chain,
            since: epoch,
            previous: Vec::new(),
            previous_since: ident::EpochNumber(0),
        });
    }
    slices
}

/// Splits each slice into two halves with the same chain, so no key moves.
fn split_in_half(slices: &[assignment::SliceRecord]) -> Vec<assignment::SliceRecord> {
    let ends = slices.iter().skip(1).map(|slice| slice.start.0 - 1).chain([u64::MAX]);
    let mut parts = Vec::with_capacity(slices.len() * 2);
    for (slice, end) in slices.iter().zip(ends) {
        parts.push(slice.clone());
        if end > slice.start.0 {
            let middle = slice.start.0 + (end - slice.start.0) / 2 + 1;
            parts.push(assignment::SliceRecord { start: key::KeyHash(middle), ..slice.clone() });
        }
    }
    parts
}

fn chain_leases(placement: &Placement, chain: &[ServerKey]) -> Vec<assignment::LeaseKey> {
    chain.iter().map(|server| placement.lease(*server)).collect()
}

/// Replaces members of settled chains that can't serve, and completes short chains.
pub(crate) fn repair(draft: &mut Draft, class: usize, placement: &mut Placement) {
    if placement.len() == 0 {
        return;
    }
    let epoch = draft.document.epoch;
    let count = draft.document.classes[class].slices.len();
    let mut improvements = count / IMPROVEMENT_DIVISOR + 1;
    for index in 0..count {
        let slice = &draft.document.classes[class].slices[index];
        if !slice.previous.is_empty() {
            continue;
        }
        let retained = retained_servers(draft, class, slice, placement, &mut improvements);
        let Some(mut servers) = retained else { continue };
        let slices = &mut draft.document.classes[class].slices;
        placement.prepare(slices);
        let slice = &mut slices[index];
        if servers.is_empty() {
            servers.extend(select_owner(placement, slice.start.0));
        }
        placement.complete_chain(&mut servers, slice.start.0);
        let chain = chain_leases(placement, &servers);
        if chain.is_empty() || chain == slice.chain {
            continue;
        }
        placement.count_chain(&chain);
        change_chain(slice, chain, epoch);
        draft.is_changed = true;
    }
}

/// Returns the members that a slice keeps if its chain should change, or `None` if it shouldn't.
fn retained_servers(
    draft: &Draft,
    class: usize,
    slice: &assignment::SliceRecord,
    placement: &Placement,
    improvements: &mut usize,
) -> Option<Vec<ServerKey>> {
    let class = &draft.document.classes[class].class;
    let continued = slice.chain.iter().map(|lease| draft.successor_lease(*lease, class));
    let mut servers = Vec::<ServerKey>::with_capacity(assignment::MAX_CHAIN_LENGTH);
    for server in continued.filter_map(|lease| placement.server(lease?)) {
        if !servers.contains(&server) {
            servers.push(server);
        }
    }
    let is_complete = slice.chain.len() == servers.len()
        && slice.chain.iter().zip(&servers).all(|(held, next)| *held == placement.lease(*next));
    if !is_complete || servers.len() < placement.chain_length() {
        return Some(servers);
    }
    if *improvements == 0 || !placement.can_add_zone(&servers) {
        return None;
    }
    *improvements -= 1;
    Some(placement.with_distinct_zones(&servers))
}

/// Selects an owner for a slice whose whole chain is lost, by a hash of the start of the slice.
fn select_owner(placement: &Placement, start: u64) -> Option<ServerKey> {
    let servers = (0..placement.len() as u16).map(ServerKey);
    let eligible = servers.filter(|server| placement.servers[server.index()].is_eligible);
    eligible.min_by_key(|server| super::mix_hash(start, u64::from(placement.lease(*server).0)))
}
