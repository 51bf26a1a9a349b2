//! Deadlines of requests: waits that nearly always end early, so they cost no timer of the system.

use std::collections::BTreeMap;
use std::pin;
use std::sync;
use std::sync::Arc;
use std::task;

use cornelridge_model::time;
use smol::channel;

use crate::clock;
use crate::context::lock;

/// Interval in which passed deadlines are looked for; a wait may end this much late.
pub(crate) const TICK: time::Duration = time::Duration::from_millis(4);

/// Number of a wait, ordered by its end.
type WaitKey = (time::Instant, u64);

#[derive(Debug, Default)]
struct TableState {
    waits: BTreeMap<WaitKey, task::Waker>,
    next: u64,
}

/// Waits until points in time, checked by one task that sleeps while there are none.
#[derive(Debug)]
pub(crate) struct DeadlineTable {
    state: sync::Mutex<TableState>,
    filled: (channel::Sender<()>, channel::Receiver<()>),
}

impl DeadlineTable {
    /// A table without waits.
    pub(crate) fn new() -> DeadlineTable {
        DeadlineTable { state: sync::Mutex::default(), filled: channel::bounded(1) }
    }

    /// Completes when there are waits.
    pub(crate) async fn filled(&self) {
        while lock(&self.state).waits.is_empty() {
            if self.filled.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// Wakes the waits that have ended.
    pub(crate) fn wake(&self, now: time::Instant) {
        let due = {
            let mut state = lock(&self.state);
            let later = state.waits.split_off(&(time::Instant(now.0 + 1), 0));
            std::mem::replace(&mut state.waits, later)
        };
        due.into_values().for_each(task::Waker::wake);
    }

    /// Waits until `at`.
    pub(crate) fn wait(
        self: &Arc<DeadlineTable>,
        clock: clock::MonotonicClock,
        at: time::Instant,
    ) -> DeadlineWait {
        DeadlineWait { table: Arc::clone(self), clock, at, key: None }
    }
}

/// Ends at a point in time; costs nothing more once it is dropped.
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
        let next = state.next;
        let key = *wait.key.get_or_insert((wait.at, next));
        if key.1 == next {
            state.next += 1;
        }
        let was_empty = state.waits.is_empty();
        state.waits.insert(key, cx.waker().clone());
        drop(state);
        if was_empty {
            // A signal that is already there serves as well.
            let _ = wait.table.filled.0.try_send(());
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
