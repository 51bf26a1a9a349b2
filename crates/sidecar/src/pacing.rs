//! Pacing of large responses to other nodes and to callers at the rate of the machine's link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use cornelridge_fleet::link;
use cornelridge_model::time;
use cornelridge_wire::transport;
use event_listener::Event;
use smol::channel;

use crate::clock;
use crate::view::lock;

/// Time in which the link carries the unacknowledged bytes of a connection; several round trips
/// within a region.
const UNACKNOWLEDGED_TIME: time::Duration = time::Duration::from_millis(50);
/// Lower bound of the unacknowledged bytes of a connection; several chunks, so that a connection
/// doesn't wait for the acknowledgement of each one.
const MIN_UNACKNOWLEDGED_BYTES: u64 = 4 * link::MIN_CHUNK_BYTES as u64;

/// Returns the largest number of unacknowledged bytes of a connection for a link of this rate.
///
/// The limit keeps data that waits for a full link in the queue of responses, which orders them,
/// rather than in the connections.
pub(crate) fn unacknowledged_bytes(bytes_per_second: u64) -> u64 {
    let bytes = (bytes_per_second as f64 * UNACKNOWLEDGED_TIME.as_secs_f64()) as u64;
    bytes.clamp(MIN_UNACKNOWLEDGED_BYTES, transport::MAX_UNACKNOWLEDGED_BYTES)
}

/// Paces the large responses that leave over the link of the machine.
#[derive(Debug)]
pub(crate) struct ResponsePacer {
    queue: Mutex<link::LinkQueue>,
    /// Senders that release the waiting chunk of each response.
    waiting: Mutex<HashMap<link::ResponseKey, channel::Sender<()>>>,
    changed: Event,
    next_key: AtomicU64,
    endpoint: transport::NodeEndpoint,
    /// Bytes sent to callers since the start.
    pub(crate) sent_to_callers: Arc<AtomicU64>,
}

/// Pacing of one response.
#[derive(Debug)]
pub(crate) enum ResponsePacing {
    /// A short response, which isn't paced.
    Short,
    /// A large response.
    Large(LargeTransfer),
}

/// A large response that is being sent, until dropped.
#[derive(Debug)]
pub(crate) struct LargeTransfer {
    pacer: Arc<ResponsePacer>,
    key: link::ResponseKey,
    chunk_bytes: usize,
    released: channel::Receiver<()>,
    sender: channel::Sender<()>,
}

impl ResponsePacer {
    pub(crate) fn new(
        bytes_per_second: u64,
        endpoint: transport::NodeEndpoint,
    ) -> Arc<ResponsePacer> {
        Arc::new(ResponsePacer {
            queue: Mutex::new(link::LinkQueue::new(clock::now(), bytes_per_second)),
            waiting: Mutex::default(),
            changed: Event::new(),
            next_key: AtomicU64::new(1),
            endpoint,
            sent_to_callers: Arc::default(),
        })
    }

    /// Calls `read` with the queue of the link.
    pub(crate) fn with_queue<T>(&self, read: impl FnOnce(&link::LinkQueue) -> T) -> T {
        read(&lock(&self.queue))
    }

    /// Assumes that the responses of a route are large until one is known, if `is_large` says so.
    pub(crate) fn expect(&self, route: &Arc<str>, is_large: impl FnOnce() -> bool) {
        if !self.with_queue(|link| link.knows_size(route)) && is_large() {
            lock(&self.queue).assume_large(route);
        }
    }

    /// Starts the pacing of a response of `route`.
    pub(crate) fn start(
        self: &Arc<ResponsePacer>,
        route: &Arc<str>,
        response: link::LargeResponse,
    ) -> ResponsePacing {
        let mut queue = lock(&self.queue);
        queue.record_size(route, response.bytes);
        if !link::LinkQueue::is_large(response.bytes) {
            return ResponsePacing::Short;
        }
        let key = link::ResponseKey(self.next_key.fetch_add(1, Ordering::Relaxed));
        queue.start(key, response);
        let (sender, released) = channel::bounded(1);
        let (pacer, chunk_bytes) = (Arc::clone(self), queue.chunk_bytes());
        ResponsePacing::Large(LargeTransfer { pacer, key, chunk_bytes, released, sender })
    }

    /// Releases waiting chunks at the rate of the link until the process ends.
    pub(crate) async fn run(self: Arc<ResponsePacer>) {
        loop {
            let changed = self.changed.listen();
            match self.release_due() {
                Some(until) => clock::sleep(until.since(clock::now())).await,
                None => changed.await,
            }
        }
    }

    /// Releases the chunks that are due; returns the time of the next one, if one waits.
    fn release_due(&self) -> Option<time::Instant> {
        loop {
            let sent = self.endpoint.sent_bytes() + self.sent_to_callers.load(Ordering::Relaxed);
            let step = lock(&self.queue).next_step(clock::now(), sent);
            match step {
                link::LinkStep::Send(key) => {
                    if let Some(sender) = lock(&self.waiting).remove(&key) {
                        // The receiver is gone if the response was cancelled meanwhile.
                        let _ = sender.try_send(());
                    }
                }
                link::LinkStep::Wait(until) => return Some(until),
                link::LinkStep::Idle => return None,
            }
        }
    }
}

impl ResponsePacing {
    /// Returns the largest size of a chunk.
    pub(crate) fn chunk_bytes(&self) -> usize {
        match self {
            ResponsePacing::Short => usize::MAX,
            ResponsePacing::Large(transfer) => transfer.chunk_bytes,
        }
    }

    /// Returns whether the response is paced.
    pub(crate) fn is_large(&self) -> bool {
        matches!(self, ResponsePacing::Large(_))
    }

    /// Waits until the next chunk, of this many bytes, may be sent.
    pub(crate) async fn wait_for_release(&mut self, bytes: usize) {
        let ResponsePacing::Large(transfer) = self else { return };
        lock(&transfer.pacer.waiting).insert(transfer.key, transfer.sender.clone());
        lock(&transfer.pacer.queue).enqueue_chunk(transfer.key, bytes);
        if transfer.pacer.release_due().is_some() {
            transfer.pacer.changed.notify(usize::MAX);
        }
        // The channel can't close: the transfer owns both ends.
        let _ = transfer.released.recv().await;
    }
}

impl Drop for LargeTransfer {
    fn drop(&mut self) {
        lock(&self.pacer.waiting).remove(&self.key);
        lock(&self.pacer.queue).remove(self.key);
    }
}
