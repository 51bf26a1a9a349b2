//! The clock of the process.
//!
//! The clock includes the time that the machine is suspended, unlike the usual monotonic clock: a
//! node that was suspended past the end of its grants must detect that when it resumes.

use cornelridge_model::time;
use futures_lite::future;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time.
pub fn now() -> time::Instant {
    let now = clock_gettime(ClockId::Boottime);
    time::Instant(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

/// Returns the time of day, in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = clock_gettime(ClockId::Realtime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Sleeps for a span.
pub(crate) async fn sleep(span: time::Duration) {
    smol::Timer::after(span.to_std()).await;
}

/// Returns the result of `work`, or `None` if `work` takes longer than `span` and is dropped.
pub(crate) async fn timeout<T>(span: time::Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        sleep(span).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}

/// Returns the result of `work`, or `None` if `work` isn't finished at `end` and is dropped.
pub(crate) async fn timeout_at<T>(end: time::Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        sleep_until(end).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}

/// Sleeps until a point in time.
pub(crate) async fn sleep_until(at: time::Instant) {
    loop {
        let left = at.since(now());
        if left == time::Duration::ZERO {
            return;
        }
        sleep(left).await;
    }
}
