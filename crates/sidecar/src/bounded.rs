//! A connection on which only so many bytes may be received.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net;

/// Bytes that may still be received; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadLimit {
    remaining: Arc<AtomicUsize>,
}

/// A stream that fails when more is received than is allowed.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: net::TcpStream,
    limit: ReadLimit,
}

impl ReadLimit {
    /// Allows so many bytes from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.remaining.store(bytes, Ordering::Relaxed);
    }
}

impl BoundedStream {
    /// A stream on which nothing may be received until the allowance is set.
    pub(crate) fn new(stream: net::TcpStream, limit: ReadLimit) -> BoundedStream {
        BoundedStream { stream, limit }
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
                "more bytes than an answer may have; check what the worker sends",
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
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
