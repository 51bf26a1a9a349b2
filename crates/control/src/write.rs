//! A compare-and-swap whose response may be lost.
//!
//! Every document contains the random id of the change that wrote it, so the result of a write
//! without a response is determined by reading the document back.

use cornelridge_model::time;

/// Maximum number of store calls of a write; with the delays they take about ten seconds.
const MAX_CALLS: u32 = 20;
/// Delay before the first call that follows a call without a response.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum delay between calls.
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Outcome of a conditional write call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written; the new revision of the key.
    Written(u64),
    /// The key has another revision than expected.
    Mismatch,
    /// There was no response: the write may have taken effect, or may still do so.
    Unknown,
}

/// Outcome of a read call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key exists.
    Found {
        /// Revision of the key in the store.
        revision: u64,
        /// Change id in the value, if the value could be decoded.
        change_id: Option<u64>,
    },
    /// The key doesn't exist.
    Absent,
    /// There was no response.
    Failed,
}

/// Final result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The value was written with this revision, and may have been replaced since.
    Committed(u64),
    /// Another change was written first; the key has this revision now.
    Conflict(u64),
    /// The key has this revision now and has changed more than once, so the value may have been
    /// written and replaced.
    Uncertain(u64),
    /// The store doesn't respond. The write may still take effect.
    Unavailable,
}

/// Next step of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Write the value if the key has the given revision.
    Put {
        /// Revision that the key must have, or 0 if the key must not exist.
        if_match: u64,
        /// Earliest time of the call.
        at: time::Instant,
    },
    /// Read the key.
    Read {
        /// Earliest time of the call.
        at: time::Instant,
    },
    /// The write has ended.
    Done(WriteResult),
}

/// A conditional write whose result isn't known yet.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    change_id: u64,
    base_revision: u64,
    /// Whether a put had no response and may therefore take effect later.
    has_unknown_put: bool,
    calls: u32,
    delay: time::Duration,
}

impl PendingWrite {
    /// Creates a write of a value with `change_id` that replaces the revision `base_revision`, or
    /// creates the key if it is 0.
    pub fn new(change_id: u64, base_revision: u64) -> PendingWrite {
        PendingWrite {
            change_id,
            base_revision,
            has_unknown_put: false,
            calls: 0,
            delay: time::Duration::ZERO,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self, now: time::Instant) -> WriteStep {
        self.put(now)
    }

    /// Returns the step that follows the outcome of a put.
    pub fn on_put(&mut self, now: time::Instant, outcome: PutOutcome) -> WriteStep {
        match outcome {
            PutOutcome::Written(revision) => WriteStep::Done(WriteResult::Committed(revision)),
            PutOutcome::Mismatch => self.read(now),
            PutOutcome::Unknown => {
                self.has_unknown_put = true;
                self.increase_delay();
                self.read(now)
            }
        }
    }

    /// Returns the step that follows the outcome of a read.
    pub fn on_read(&mut self, now: time::Instant, outcome: ReadOutcome) -> WriteStep {
        match outcome {
            ReadOutcome::Failed => {
                self.increase_delay();
                self.read(now)
            }
            ReadOutcome::Absent => self.on_revision(now, 0, None),
            ReadOutcome::Found { revision, change_id } => {
                self.on_revision(now, revision, change_id)
            }
        }
    }

    fn on_revision(&mut self, now: time::Instant, found: u64, change_id: Option<u64>) -> WriteStep {
        if found != 0 && change_id == Some(self.change_id) {
            return WriteStep::Done(WriteResult::Committed(found));
        }
        // A repeated put has the same condition, so it is harmless if the first one arrives late.
        if found == self.base_revision {
            return self.put(now);
        }
        let is_certain = !self.has_unknown_put || self.base_revision.checked_add(1) == Some(found);
        let result =
            if is_certain { WriteResult::Conflict(found) } else { WriteResult::Uncertain(found) };
        WriteStep::Done(result)
    }

    fn put(&mut self, now: time::Instant) -> WriteStep {
        let if_match = self.base_revision;
        self.count_call(WriteStep::Put { if_match, at: now + self.delay })
    }

    fn read(&mut self, now: time::Instant) -> WriteStep {
        self.count_call(WriteStep::Read { at: now + self.delay })
    }

    fn count_call(&mut self, step: WriteStep) -> WriteStep {
        if self.calls >= MAX_CALLS {
            return WriteStep::Done(WriteResult::Unavailable);
        }
        self.calls += 1;
        step
    }

    fn increase_delay(&mut self) {
        let doubled = self.delay.saturating_mul(2).max(INITIAL_DELAY);
        self.delay = doubled.min(MAX_DELAY);
    }
}
