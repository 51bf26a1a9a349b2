//! Hot keys: cut out of their slice as slices of width one, and merged back when they have cooled.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, ident, key, time};

use super::balance::MoveBudget;
use super::chains;
use super::loads::ClassLoads;

/// Most slices of width one in a class; the hottest 60 keys change within minutes.
const MAX_HOT_SLICES: usize = 128;
/// A key is hot when it has at least this share of the mean load of a member.
const HOT_SHARE: f64 = 0.05;
/// Requests a second below which no key is hot.
const LEAST_HOT_RATE: f64 = 2.0;
/// A hot key has cooled when its rate is below this share of the limit.
const COOL_SHARE: f64 = 0.25;
/// How long a key must have been cool before its slice is merged.
const COOL_SPAN: time::Duration = time::Duration::from_secs(60);

/// Since when each slice of width one has been cool.
pub(crate) type CoolSlices = BTreeMap<key::KeyHash, time::Instant>;

/// The rate from which on a key is hot.
fn hot_limit(mean_load: f64) -> f64 {
    (mean_load * HOT_SHARE).max(LEAST_HOT_RATE)
}

/// Whether the slice at `index` has only one hash.
pub(crate) fn is_single(slices: &[assignment::SliceRecord], index: usize) -> bool {
    let start = slices[index].start.0;
    let next = slices.get(index + 1).map(|slice| slice.start.0);
    next.map_or(start == u64::MAX, |next| next - start == 1)
}

/// Cuts hot keys out of settled slices. The pieces keep the chain, so nothing moves.
pub(crate) fn cut(
    now: time::Instant,
    slices: &mut assignment::ClassSlices,
    loads: &mut ClassLoads,
    mean_load: f64,
) -> bool {
    let limit = hot_limit(mean_load);
    let singles = (0..slices.slices.len()).filter(|index| is_single(&slices.slices, *index));
    let room = MAX_HOT_SLICES.saturating_sub(singles.count());
    let hot = loads.hot_keys().into_iter().take_while(|(_, rate)| *rate >= limit);
    let is_cuttable = |hash: key::KeyHash| {
        let index = slices.find(hash);
        index.is_some_and(|index| {
            slices.slices[index].previous.is_empty() && !is_single(&slices.slices, index)
        })
    };
    let hot = hot.filter(|(hash, _)| is_cuttable(*hash)).take(room).collect::<BTreeMap<_, _>>();
    if hot.is_empty() || slices.slices.len() + hot.len() * 2 > assignment::MAX_SLICES {
        return false;
    }
    let mut pieces = Vec::with_capacity(slices.slices.len() + hot.len() * 2);
    for (index, slice) in slices.slices.iter().enumerate() {
        let next = slices.slices.get(index + 1);
        let last = key::KeyHash(next.map_or(u64::MAX, |next| next.start.0 - 1));
        cut_slice(now, slice, last, &hot, loads, &mut pieces);
    }
    slices.slices = pieces;
    true
}

fn cut_slice(
    now: time::Instant,
    slice: &assignment::SliceRecord,
    last: key::KeyHash,
    hot: &BTreeMap<key::KeyHash, f64>,
    loads: &mut ClassLoads,
    pieces: &mut Vec<assignment::SliceRecord>,
) {
    let mut hot = hot.range(slice.start..=last).peekable();
    if hot.peek().is_none() {
        pieces.push(slice.clone());
        return;
    }
    let width = (last.0 - slice.start.0) as f64;
    let hot = hot.collect::<Vec<_>>();
    let hot_rate = hot.iter().map(|(_, rate)| **rate).sum::<f64>();
    let rest = (loads.rate(slice.start) - hot_rate).max(0.0);
    let mut start = Some(slice.start);
    let mut add = |first: key::KeyHash, rate: f64| {
        loads.expect(now, first, rate);
        pieces.push(assignment::SliceRecord { start: first, ..slice.clone() });
    };
    for (hash, rate) in hot {
        if let Some(first) = start.filter(|first| first < hash) {
            add(first, rest * (hash.0 - first.0) as f64 / width);
        }
        add(*hash, *rate);
        start = hash.0.checked_add(1).map(key::KeyHash).filter(|next| *next <= last);
    }
    if let Some(first) = start {
        add(first, rest * (last.0 - first.0) as f64 / width);
    }
}

/// Merges slices of cooled keys with their neighbours. Where the chains differ, they are brought
/// together first, which costs budget when the owner changes.
pub(crate) fn merge(
    now: time::Instant,
    slices: &mut assignment::ClassSlices,
    loads: &mut ClassLoads,
    cool: &mut CoolSlices,
    mean_load: f64,
    budget: &mut MoveBudget,
    epoch: ident::EpochNumber,
) -> MergeResult {
    let cooled = cooled(now, slices, loads, cool, mean_load);
    let mut result = MergeResult::default();
    let mut merged = vec![false; slices.slices.len()];
    for index in cooled.into_iter().filter(|index| *index > 0) {
        let is_next_part = index + 1 < slices.slices.len() && !is_single(&slices.slices, index + 1);
        let parts = index..=index + usize::from(is_next_part);
        let mut target = index - 1;
        while merged[target] {
            target -= 1;
        }
        if parts.clone().chain([target]).any(|part| !slices.slices[part].previous.is_empty()) {
            continue;
        }
        let chain = slices.slices[target].chain.clone();
        if parts.clone().all(|part| slices.slices[part].chain == chain) {
            for part in parts {
                merged[part] = true;
                result.is_merged = true;
                join(now, &mut slices.slices, loads, target, part);
            }
            continue;
        }
        for part in parts {
            let slice = &mut slices.slices[part];
            if slice.chain == chain {
                continue;
            }
            if slice.chain.first() != chain.first() {
                if !budget.take() {
                    break;
                }
                result.moves += 1;
            }
            chains::change_chain(slice, chain.clone(), epoch);
            result.is_changed = true;
        }
    }
    let mut merged = merged.into_iter();
    slices.slices.retain(|_| !merged.next().unwrap_or(false));
    result
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MergeResult {
    pub(crate) is_merged: bool,
    pub(crate) is_changed: bool,
    pub(crate) moves: usize,
}

/// Adds the load and the fence of one slice to another. The higher `since` keeps fences growing.
fn join(
    now: time::Instant,
    slices: &mut [assignment::SliceRecord],
    loads: &mut ClassLoads,
    target: usize,
    part: usize,
) {
    let rate = loads.rate(slices[target].start) + loads.rate(slices[part].start);
    loads.expect(now, slices[target].start, rate);
    slices[target].since = slices[target].since.max(slices[part].since);
}

/// Slices of width one whose key has been cool for long enough.
fn cooled(
    now: time::Instant,
    slices: &assignment::ClassSlices,
    loads: &ClassLoads,
    cool: &mut CoolSlices,
    mean_load: f64,
) -> Vec<usize> {
    let limit = hot_limit(mean_load) * COOL_SHARE;
    let singles = (0..slices.slices.len()).filter(|index| is_single(&slices.slices, *index));
    let singles =
        singles.map(|index| (slices.slices[index].start, index)).collect::<BTreeMap<_, _>>();
    cool.retain(|start, _| singles.contains_key(start) && loads.rate(*start) < limit);
    let mut cooled = Vec::new();
    for (start, index) in singles {
        if loads.rate(start) >= limit {
            continue;
        }
        let since = *cool.entry(start).or_insert(now);
        if now.since(since) >= COOL_SPAN {
            cooled.push(index);
        }
    }
    cooled
}
