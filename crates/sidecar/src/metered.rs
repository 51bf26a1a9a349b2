//! A connection of a client, whose bytes count as progress and whose header section is bounded.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use cornelridge_model::time;
use cornelridge_wire::close_watch;
use futures_lite::{AsyncRead, AsyncWrite, future};

use crate::bounded;
use crate::memory;
use crate::view::lock;

/// Memory of a header section that is being received: the kernel's and the server's buffers.
const HEADER_BYTES: u64 = 48 * 1024;

/// Received bytes from which a body counts as large, and its connection gets a larger buffer.
const LARGE_BODY_BYTES: usize = 512 * 1024;
/// Size of that buffer, in bytes; the kernel doubles it. With the small one, a body of 64 MiB takes
/// more than 20 s on a busy machine.
const LARGE_BUFFER_BYTES: usize = 256 * 1024;

type PendingReservation = future::Boxed<Result<memory::Reservation, memory::HolderClosed>>;

/// Reservation for the header section that is being received.
pub(crate) type HeaderMemory = Arc<Mutex<Option<memory::Reservation>>>;

/// A client's connection.
pub(crate) struct MeteredStream {
    stream: close_watch::WatchedStream,
    holder: memory::MemoryHolder,
    header_timeout: time::Duration,
    header_memory: HeaderMemory,
    /// Wait for memory, during which nothing is read.
    waiting: Option<PendingReservation>,
    /// Whether the kernel's buffers are small, because the memory of the process is limited.
    has_small_buffers: bool,
    /// Bytes received since the last header section began.
    received_bytes: usize,
    /// Reservation for a larger buffer of the kernel.
    large_buffer: Option<memory::Reservation>,
}

impl MeteredStream {
    pub(crate) fn new(
        stream: close_watch::WatchedStream,
        holder: memory::MemoryHolder,
        header_timeout: time::Duration,
        header_memory: HeaderMemory,
        has_small_buffers: bool,
    ) -> MeteredStream {
        MeteredStream {
            stream,
            holder,
            header_timeout,
            header_memory,
            waiting: None,
            has_small_buffers,
            received_bytes: 0,
            large_buffer: None,
        }
    }

    /// Records received bytes and reserves memory for the rest of a header section.
    fn record_received(&mut self, bytes: usize) {
        self.received_bytes += bytes;
        if !self.holder.record_received(self.header_timeout) {
            self.enlarge_buffer();
            return;
        }
        self.received_bytes = bytes;
        if self.large_buffer.take().is_some() {
            self.set_receive_buffer(bounded::CLIENT_BUFFER_BYTES);
        }
        match self.holder.try_reserve(HEADER_BYTES) {
            Some(reservation) => *lock(&self.header_memory) = Some(reservation),
            None => {
                let holder = self.holder.clone();
                self.waiting = Some(Box::pin(async move { holder.reserve(HEADER_BYTES).await }));
            }
        }
    }
}

impl MeteredStream {
    /// Lets the kernel buffer more of a large body while memory is available.
    fn enlarge_buffer(&mut self) {
        let is_large = self.received_bytes >= LARGE_BODY_BYTES;
        if !self.has_small_buffers || !is_large || self.large_buffer.is_some() {
            return;
        }
        self.large_buffer = self.holder.try_reserve(2 * LARGE_BUFFER_BYTES as u64);
        if self.large_buffer.is_some() {
            self.set_receive_buffer(LARGE_BUFFER_BYTES);
        }
    }

    fn set_receive_buffer(&self, bytes: usize) {
        if let Err(error) = bounded::set_receive_buffer(self.stream.socket(), bytes) {
            log::debug!(error:% = error; "the kernel's buffer keeps its size");
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(waiting) = self.waiting.as_mut() {
            let reserved = ready!(waiting.as_mut().poll(context));
            self.waiting = None;
            match reserved {
                Ok(reservation) => *lock(&self.header_memory) = Some(reservation),
                Err(memory::HolderClosed) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
            }
        }
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        if let Ok(bytes @ 1..) = read {
            self.record_received(bytes);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, data));
        self.holder.record_progress();
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
