//! Samples which nodes serve which keys.

use std::sync::Arc;
use std::time;

use cornelridge::node;
use cornelridge_standin::mesh;

/// Keys of each class that are sampled.
const KEYS_PER_CLASS: u32 = 64;

/// A sampled key.
#[derive(Debug)]
struct SampledKey {
    class: Arc<str>,
    key: String,
    unowned_since: Option<time::Instant>,
    longest_unowned: time::Duration,
}

/// Samples keys for times without an owner and for double ownership.
#[derive(Debug)]
pub(crate) struct OwnerSampler {
    keys: Vec<SampledKey>,
    last_sample: time::Instant,
    /// Longest time between two samples.
    pub(crate) max_sample_interval: time::Duration,
    /// Number of samples of a key that found several nodes serving it.
    pub(crate) double_owners: u64,
}

impl OwnerSampler {
    /// Creates a sampler for keys of every class whose requests go to owners.
    pub(crate) fn new(mesh: &mesh::Mesh) -> OwnerSampler {
        let sliced = mesh.deployment.classes.iter().filter(|class| class.config.is_sliced());
        let keys = sliced.flat_map(|class| {
            (0..KEYS_PER_CLASS).map(|key| SampledKey {
                class: Arc::clone(&class.config.name),
                key: format!("key-{key}"),
                unowned_since: None,
                longest_unowned: time::Duration::ZERO,
            })
        });
        let (keys, last_sample) = (keys.collect(), time::Instant::now());
        OwnerSampler {
            keys,
            last_sample,
            max_sample_interval: time::Duration::ZERO,
            double_owners: 0,
        }
    }

    /// Clears the times without an owner; the next sample starts a new observation.
    pub(crate) fn reset(&mut self) {
        self.last_sample = time::Instant::now();
        for key in &mut self.keys {
            key.unowned_since = None;
            key.longest_unowned = time::Duration::ZERO;
        }
    }

    /// Samples each key once on all running nodes.
    pub(crate) fn sample(&mut self, mesh: &mesh::Mesh) {
        let started = time::Instant::now();
        self.max_sample_interval = self.max_sample_interval.max(started - self.last_sample);
        // An unowned key may have lost its owner right after the previous sample.
        let previous_sample = std::mem::replace(&mut self.last_sample, started);
        for key in &mut self.keys {
            let owners = owners(mesh, &key.class, key.key.as_bytes());
            self.double_owners += u64::from(owners.len() > 1);
            if owners.is_empty() {
                key.unowned_since.get_or_insert(previous_sample);
                continue;
            }
            if let Some(since) = key.unowned_since.take() {
                key.longest_unowned = key.longest_unowned.max(since.elapsed());
            }
        }
    }

    /// Returns the host that serves a sampled key; successive numbers select different keys.
    pub(crate) fn owner(&self, mesh: &mesh::Mesh, number: usize) -> Option<usize> {
        // The step has no factor in common with the number of keys, so it reaches both classes in
        // turn.
        let key = &self.keys[number.wrapping_mul(67) % self.keys.len()];
        mesh.owner(&key.class, key.key.as_bytes())
    }

    /// Returns whether the last sample found an owner for each key.
    pub(crate) fn is_owned(&self) -> bool {
        self.keys.iter().all(|key| key.unowned_since.is_none())
    }

    /// Returns the longest time that any key had no owner.
    pub(crate) fn longest_unowned(&self) -> time::Duration {
        let unowned = |key: &SampledKey| {
            key.unowned_since
                .map_or(key.longest_unowned, |since| key.longest_unowned.max(since.elapsed()))
        };
        self.keys.iter().map(unowned).max().unwrap_or_default()
    }
}

/// Returns the nodes that serve a key at the same time.
fn owners<'a>(mesh: &'a mesh::Mesh, class: &str, key: &[u8]) -> Vec<&'a node::NodeHandle> {
    let serves = |node: &&node::NodeHandle| node.serves(class, key);
    let mut owners: Vec<_> = mesh.nodes().filter(serves).collect();
    if owners.len() > 1 {
        // The nodes are queried one after the other, so a hand-over between two queries looks like
        // two owners. Only nodes that still serve when queried again overlapped with the last one.
        let last_index = owners.len() - 1;
        let confirmed: Vec<_> =
            owners[..last_index].iter().map(|node| node.serves(class, key)).collect();
        let mut confirmed = confirmed.into_iter().chain([true]);
        owners.retain(|_| confirmed.next().unwrap_or(true));
    }
    owners
}
