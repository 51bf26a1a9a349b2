//! Deadlines of requests. Nearly all of these waits are dropped early, so they share one timer.

use std::collections::BTreeMap;
use std::pin;
use std::sync;
use std::sync::Arc;
use std::task;

use cornelridge_model::time;
use smol::channel;

use crate::clock;
use crate::context::lock;

/// Interval between checks for passed deadlines; a wait may end late by this time.
pub(crate) const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(4);

/// Key of a wait: its end and a unique number.
type WaitKey = (time::Instant, u64);

#[derive(Debug, Default)]
struct DeadlineState {
    waits: BTreeMap<WaitKey, task::Waker>,
    next_id: u64,
}

/// Pending waits for deadlines, checked by one task that sleeps while there are none.
#[derive(Debug)]
pub(crate) struct DeadlineTable {
    state: sync::Mutex<DeadlineState>,
    added: (channel::Sender<()>, channel::Receiver<()>),
}

impl DeadlineTable {
    /// Creates an empty table.
    pub(crate) fn new() -> DeadlineTable {
        DeadlineTable { state: sync::Mutex::default(), added: channel::bounded(1) }
    }

    /// Waits until the table has an entry.
    pub(crate) async fn wait_until_non_empty(&self) {
        while lock(&self.state).waits.is_empty() {
            if self.added.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// Wakes the waits whose deadline has passed.
    pub(crate) fn wake(&self, now: time::Instant) {
        let due = {
            let mut state = lock(&self.state);
            let later = state.waits.split_off(&(time::Instant(now.0 + 1), 0));
            std::mem::replace(&mut state.waits, later)
        };
        due.into_values().for_each(task::Waker::wake);
    }

    /// Returns a future that completes at `at`.
    pub(crate) fn wait(
        self: &Arc<DeadlineTable>,
        clock: clock::MonotonicClock,
        at: time::Instant,
    ) -> DeadlineWait {
        DeadlineWait { table: Arc::clone(self), clock, at, key: None }
    }
}

/// A future that completes at a point in time; dropping it removes its entry.
#[derive(Debug)]
pub(crate) struct DeadlineWait {
    table: Arc<DeadlineTable>,
    clock: clock::MonotonicClock,
    at: time::Instant,
    key: Option<WaitKey>,
}

impl Future for DeadlineWait {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, cx: &mut task::Context<'_>) -> task::Poll<()> {
        if self.clock.now() >= self.at {
            return task::Poll::Ready(());
        }
        let wait = &mut *self;
        let mut state = lock(&wait.table.state);
        let next_id = state.next_id;
        let key = *wait.key.get_or_insert((wait.at, next_id));
        if key.1 == next_id {
            state.next_id += 1;
        }
        let was_empty = state.waits.is_empty();
        state.waits.insert(key, cx.waker().clone());
        drop(state);
        if was_empty {
            // If the channel is full, a signal is already pending.
            let _ = wait.table.added.0.try_send(());
        }
        task::Poll::Pending
    }
}

impl Drop for DeadlineWait {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            lock(&self.table.state).waits.remove(&key);
        }
    }
}
