//! Request rates of slices and hot keys, for the planner.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;

use cornelridge_model::assignment;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_wire::generated;

use crate::context::lock;

/// Most keys counted at a time: twice the number of hot keys of the design size.
const MAX_COUNTED_KEYS: usize = 128;
/// Minimum share of all requests of a key that is reported as hot.
const MIN_HOT_KEY_SHARE: f64 = 0.01;

#[derive(Debug, Default)]
struct RequestCounts {
    slices: HashMap<(Arc<str>, u64), u64>,
    keys: HashMap<(Arc<str>, u64), u64>,
    since: time::Instant,
}

/// Counts the requests for the slices that this node owns.
#[derive(Debug, Default)]
pub(crate) struct LoadCounter {
    state: sync::Mutex<RequestCounts>,
}

/// Request rates since the last report, per second.
#[derive(Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) slices: Vec<generated::SliceLoad>,
    pub(crate) hot_keys: Vec<generated::HotKey>,
}

impl LoadCounter {
    /// Counts one request.
    pub(crate) fn count(
        &self,
        document: &assignment::AssignmentDocument,
        class: &Arc<str>,
        hash: key::KeyHash,
    ) {
        let Some(slice) = document.locate(class, hash) else { return };
        let start = document.slice(slice).start;
        let mut state = lock(&self.state);
        *state.slices.entry((Arc::clone(class), start.0)).or_default() += 1;
        count_key(&mut state.keys, (Arc::clone(class), hash.0));
    }

    /// Returns the rates since the last call and resets the counts.
    pub(crate) fn take_report(&self, now: time::Instant) -> LoadReport {
        let mut state = lock(&self.state);
        let elapsed_s = now.since(state.since).as_secs_f64().max(0.001);
        let slices = std::mem::take(&mut state.slices);
        let keys = std::mem::take(&mut state.keys);
        state.since = now;
        drop(state);
        let total: u64 = slices.values().sum();
        let is_hot = |count: u64| count as f64 >= total as f64 * MIN_HOT_KEY_SHARE;
        LoadReport {
            slices: slices
                .into_iter()
                .map(|((class, start), count)| generated::SliceLoad {
                    class: class.to_string(),
                    start,
                    rate: count as f64 / elapsed_s,
                })
                .collect(),
            hot_keys: keys
                .into_iter()
                .filter(|(_, count)| is_hot(*count))
                .map(|((class, hash), count)| generated::HotKey {
                    class: class.to_string(),
                    hash,
                    rate: count as f64 / elapsed_s,
                })
                .collect(),
        }
    }
}

/// Counts a key. When the table is full, all counts are decremented and zeros are removed, so that
/// a key with more than 1/128 of the requests is always kept (Misra-Gries).
fn count_key(keys: &mut HashMap<(Arc<str>, u64), u64>, key: (Arc<str>, u64)) {
    if let Some(count) = keys.get_mut(&key) {
        *count += 1;
        return;
    }
    if keys.len() < MAX_COUNTED_KEYS {
        keys.insert(key, 1);
        return;
    }
    keys.retain(|_, count| {
        *count -= 1;
        *count > 0
    });
}
