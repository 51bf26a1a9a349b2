//! Request rates of slices and of the most used keys, for the planner.

use std::collections::HashMap;
use std::sync;
use std::sync::Arc;

use cornelridge_model::assignment;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_wire::generated;

use crate::context::lock;

/// Keys that are counted at the same time, twice the number of hot keys of the design size.
const MAX_COUNTED_KEYS: usize = 128;
/// Share of all requests from which a key is reported as hot.
const HOT_SHARE: f64 = 0.01;

#[derive(Debug, Default)]
struct CounterState {
    slices: HashMap<(Arc<str>, u64), u64>,
    keys: HashMap<(Arc<str>, u64), u64>,
    since: time::Instant,
}

/// Counts requests at the owner of a slice.
#[derive(Debug, Default)]
pub(crate) struct LoadCounter {
    state: sync::Mutex<CounterState>,
}

/// Rates since the last report.
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

    /// The rates since the last call.
    pub(crate) fn take(&self, now: time::Instant) -> LoadReport {
        let mut state = lock(&self.state);
        let span = now.since(state.since).as_secs_f64().max(0.001);
        let slices = std::mem::take(&mut state.slices);
        let keys = std::mem::take(&mut state.keys);
        state.since = now;
        drop(state);
        let total: u64 = slices.values().sum();
        let is_hot = |count: u64| count as f64 >= total as f64 * HOT_SHARE;
        LoadReport {
            slices: slices
                .into_iter()
                .map(|((class, start), count)| generated::SliceLoad {
                    class: class.to_string(),
                    start,
                    rate: count as f64 / span,
                })
                .collect(),
            hot_keys: keys
                .into_iter()
                .filter(|(_, count)| is_hot(*count))
                .map(|((class, hash), count)| generated::HotKey {
                    class: class.to_string(),
                    hash,
                    rate: count as f64 / span,
                })
                .collect(),
        }
    }
}

/// Counts a key; when the table is full all counts are lowered by one and zeros are dropped, so
/// that a key with more than a 128th of the requests always stays.
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
