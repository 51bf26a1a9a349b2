//! A connection with a limit on the received bytes, which counts the sent ones.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net;
use socket2::SockRef;

/// Size of the kernel's buffers of a client's connection if the memory of the process is limited,
/// in bytes; the kernel doubles it. Without a bound they grow to several megabytes each.
pub(crate) const CLIENT_BUFFER_BYTES: usize = 32 * 1024;
/// Size of these buffers at the addresses that only the worker and the platform use. Bytes that a
/// crowd sends there and the node doesn't read count toward its memory, and reports are short.
pub(crate) const INTERNAL_BUFFER_BYTES: usize = 8 * 1024;
/// Size of the kernel's buffers of a connection to the worker in the same case. There are few of
/// these connections, and small buffers slow large bodies down.
pub(crate) const WORKER_BUFFER_BYTES: usize = 128 * 1024;

/// Bounds the kernel's buffers of a connection, or of those that a listener accepts.
pub(crate) fn limit_kernel_buffers(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Sets the size of the kernel's buffer for received bytes.
pub(crate) fn set_receive_buffer(socket: &impl AsFd, bytes: usize) -> io::Result<()> {
    SockRef::from(socket).set_recv_buffer_size(bytes)
}

use crate::view::lock;

/// Number of bytes that may still be received; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadLimit {
    remaining: Arc<AtomicUsize>,
}

/// Bytes that were sent on a connection; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentBytes {
    state: Arc<Mutex<SentState>>,
}

#[derive(Debug, Default)]
struct SentState {
    bytes: u64,
    is_sealed: bool,
}

/// A stream that fails when it receives more bytes than its limit allows.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: net::TcpStream,
    limit: ReadLimit,
    sent: SentBytes,
}

impl SentBytes {
    /// Returns the number of bytes sent.
    pub(crate) fn count(&self) -> u64 {
        lock(&self.state).bytes
    }

    /// Prevents further sending and returns the number of bytes sent.
    pub(crate) fn seal(&self) -> u64 {
        let mut state = lock(&self.state);
        state.is_sealed = true;
        state.bytes
    }
}

impl ReadLimit {
    /// Sets the number of bytes that may be received from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.remaining.store(bytes, Ordering::Relaxed);
    }
}

impl BoundedStream {
    /// Returns a stream with the given limit, which is zero until it is set.
    pub(crate) fn new(stream: net::TcpStream, limit: ReadLimit, sent: SentBytes) -> BoundedStream {
        BoundedStream { stream, limit, sent }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let remaining = self.limit.remaining.load(Ordering::Relaxed);
        if count > remaining {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "response exceeds the size limit; check what the worker sends",
            )));
        }
        self.limit.set(remaining - count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let BoundedStream { stream, sent, .. } = &mut *self;
        let mut state = lock(&sent.state);
        if state.is_sealed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let count = ready!(Pin::new(stream).poll_write(context, data))?;
        state.bytes += count as u64;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
