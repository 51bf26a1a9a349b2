//! A compare-and-swap whose answer may be lost.
//!
//! Every document contains the random id of the change that wrote it, so a write without an answer
//! is resolved by reading the document back.

use cornelridge_model::time;

/// Store calls after which a write is given up; with the pauses about ten seconds.
const MAX_CALLS: u32 = 20;
/// Pause before a call that follows one without an answer.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest pause between calls.
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Answer of the store to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// Written, with the new revision of the key.
    Written(u64),
    /// The key has another revision than expected.
    Mismatch,
    /// No answer: the write may have taken effect, or may still do so.
    Unknown,
}

/// Answer of the store to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The key's revision and the change id in the value, if the value could be decoded.
    Found {
        /// Revision of the key in the store.
        revision: u64,
        /// Change id in the value.
        change_id: Option<u64>,
    },
    /// The key doesn't exist.
    Absent,
    /// No answer.
    Failed,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The store holds, or held, the value as this revision.
    Committed(u64),
    /// Another change was written first; the key now has this revision.
    Conflict(u64),
    /// The key changed more than once since, so the value may have been written and replaced.
    Uncertain(u64),
    /// The store doesn't answer. The write may still take effect.
    Unavailable,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Write if the key has this revision, not before the given time.
    Put {
        /// Revision that the key must have; 0 if it must not exist.
        if_match: u64,
        /// Earliest time.
        at: time::Instant,
    },
    /// Read the key, not before the given time.
    Read {
        /// Earliest time.
        at: time::Instant,
    },
    /// Finished.
    Done(WriteResult),
}

/// One conditional write until its result is known.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    change_id: u64,
    base_revision: u64,
    /// Whether a put had no answer, so that it may take effect later.
    has_unknown_put: bool,
    calls: u32,
    delay: time::Duration,
}

impl PendingWrite {
    /// A write of a value with `change_id` over the revision `base`; 0 creates the key.
    pub fn new(change_id: u64, base_revision: u64) -> PendingWrite {
        PendingWrite {
            change_id,
            base_revision,
            has_unknown_put: false,
            calls: 0,
            delay: time::Duration::ZERO,
        }
    }

    /// The first step.
    pub fn start(&mut self, now: time::Instant) -> WriteStep {
        self.put(now)
    }

    /// The step after the answer to a put.
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

    /// The step after the answer to a read.
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
        // The same condition makes a repeated put harmless when the first one arrives late.
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
