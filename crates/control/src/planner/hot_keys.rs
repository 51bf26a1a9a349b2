//! Splitting of hot keys from their slice into slices of one hash, and merging of cooled ones.

use std::collections::BTreeMap;

use cornelridge_model::{assignment, ident, key, time};

use super::balance::MoveBudget;
use super::chains;
use super::loads::ClassLoads;

/// Maximum number of slices of one hash in a class; the hottest 60 keys change within minutes.
const MAX_HOT_SLICES: usize = 128;
/// Share of the mean load of a member from which a key is hot.
const HOT_SHARE: f64 = 0.05;
/// Requests per second below which no key is hot.
const MIN_HOT_RATE: f64 = 2.0;
/// Share of the threshold of hot keys below which a key is cool.
const COOL_SHARE: f64 = 0.25;
/// Time for which a key must be cool before its slice is merged.
const MIN_COOL_TIME: time::Duration = time::Duration::from_secs(60);

/// Time since which each slice of one hash has been cool, by its start.
pub(crate) type CoolSlices = BTreeMap<key::KeyHash, time::Instant>;

/// Returns the rate from which a key is hot, in requests per second.
fn hot_threshold(mean_load: f64) -> f64 {
    (mean_load * HOT_SHARE).max(MIN_HOT_RATE)
}

/// Returns whether the slice at `index` has only one hash.
pub(crate) fn has_single_hash(slices: &[assignment::SliceRecord], index: usize) -> bool {
    let start = slices[index].start.0;
    let next = slices.get(index + 1).map(|slice| slice.start.0);
    next.map_or(start == u64::MAX, |next| next - start == 1)
}

/// Splits hot keys from settled slices and returns whether any slice was split. The parts keep the
/// chain, so no key moves.
pub(crate) fn split(
    now: time::Instant,
    slices: &mut assignment::ClassSlices,
    loads: &mut ClassLoads,
    mean_load: f64,
) -> bool {
    let threshold = hot_threshold(mean_load);
    let singles = (0..slices.slices.len()).filter(|index| has_single_hash(&slices.slices, *index));
    let available = MAX_HOT_SLICES.saturating_sub(singles.count());
    let hot = loads.hot_keys().into_iter().take_while(|(_, rate)| *rate >= threshold);
    let is_splittable = |hash: key::KeyHash| {
        let index = slices.find(hash);
        index.is_some_and(|index| {
            slices.slices[index].previous.is_empty() && !has_single_hash(&slices.slices, index)
        })
    };
    let hot =
        hot.filter(|(hash, _)| is_splittable(*hash)).take(available).collect::<BTreeMap<_, _>>();
    if hot.is_empty() || slices.slices.len() + hot.len() * 2 > assignment::MAX_SLICES {
        return false;
    }
    let mut parts = Vec::with_capacity(slices.slices.len() + hot.len() * 2);
    for (index, slice) in slices.slices.iter().enumerate() {
        let next = slices.slices.get(index + 1);
        let last = key::KeyHash(next.map_or(u64::MAX, |next| next.start.0 - 1));
        split_slice(now, slice, last, &hot, loads, &mut parts);
    }
    slices.slices = parts;
    true
}

fn split_slice(
    now: time::Instant,
    slice: &assignment::SliceRecord,
    last: key::KeyHash,
    hot: &BTreeMap<key::KeyHash, f64>,
    loads: &mut ClassLoads,
    parts: &mut Vec<assignment::SliceRecord>,
) {
    let mut hot = hot.range(slice.start..=last).peekable();
    if hot.peek().is_none() {
        parts.push(slice.clone());
        return;
    }
    let width = (last.0 - slice.start.0) as f64;
    let hot = hot.collect::<Vec<_>>();
    let hot_rate = hot.iter().map(|(_, rate)| **rate).sum::<f64>();
    let remaining_rate = (loads.rate(slice.start) - hot_rate).max(0.0);
    let mut start = Some(slice.start);
    let mut add = |first: key::KeyHash, rate: f64| {
        loads.set_rate(now, first, rate);
        parts.push(assignment::SliceRecord { start: first, ..slice.clone() });
    };
    for (hash, rate) in hot {
        if let Some(first) = start.filter(|first| first < hash) {
            add(first, remaining_rate * (hash.0 - first.0) as f64 / width);
        }
        add(*hash, *rate);
        start = hash.0.checked_add(1).map(key::KeyHash).filter(|next| *next <= last);
    }
    if let Some(first) = start {
        add(first, remaining_rate * (last.0 - first.0) as f64 / width);
    }
}

/// Merges slices of cooled keys with their neighbours. If the chains differ, the slices first get
/// the same chain, which is charged to the move budget if the owner changes.
pub(crate) fn merge_cooled(
    now: time::Instant,
    slices: &mut assignment::ClassSlices,
    loads: &mut ClassLoads,
    cool_slices: &mut CoolSlices,
    mean_load: f64,
    budget: &mut MoveBudget,
    epoch: ident::EpochNumber,
) -> MergeResult {
    let cooled = cooled_slices(now, slices, loads, cool_slices, mean_load);
    let mut result = MergeResult::default();
    let mut merged = vec![false; slices.slices.len()];
    for index in cooled.into_iter().filter(|index| *index > 0) {
        let is_next_part =
            index + 1 < slices.slices.len() && !has_single_hash(&slices.slices, index + 1);
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
                merge_into(now, &mut slices.slices, loads, target, part);
            }
            continue;
        }
        for part in parts {
            let slice = &mut slices.slices[part];
            if slice.chain == chain {
                continue;
            }
            if slice.chain.first() != chain.first() {
                if !budget.try_spend() {
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

/// Changes made by `merge_cooled`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MergeResult {
    pub(crate) is_merged: bool,
    pub(crate) is_changed: bool,
    pub(crate) moves: usize,
}

/// Adds the load of a slice to another one, and keeps the higher `since` so that fences never
/// decrease.
fn merge_into(
    now: time::Instant,
    slices: &mut [assignment::SliceRecord],
    loads: &mut ClassLoads,
    target: usize,
    part: usize,
) {
    let rate = loads.rate(slices[target].start) + loads.rate(slices[part].start);
    loads.set_rate(now, slices[target].start, rate);
    slices[target].since = slices[target].since.max(slices[part].since);
}

/// Returns the indexes of the slices of one hash that have been cool for `MIN_COOL_TIME`.
fn cooled_slices(
    now: time::Instant,
    slices: &assignment::ClassSlices,
    loads: &ClassLoads,
    cool_slices: &mut CoolSlices,
    mean_load: f64,
) -> Vec<usize> {
    let threshold = hot_threshold(mean_load) * COOL_SHARE;
    let singles = (0..slices.slices.len()).filter(|index| has_single_hash(&slices.slices, *index));
    let singles =
        singles.map(|index| (slices.slices[index].start, index)).collect::<BTreeMap<_, _>>();
    cool_slices.retain(|start, _| singles.contains_key(start) && loads.rate(*start) < threshold);
    let mut cooled = Vec::new();
    for (start, index) in singles {
        if loads.rate(start) >= threshold {
            continue;
        }
        let since = *cool_slices.entry(start).or_insert(now);
        if now.since(since) >= MIN_COOL_TIME {
            cooled.push(index);
        }
    }
    cooled
}
