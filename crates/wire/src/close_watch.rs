//! Detection of a caller that closes its connection while the server doesn't read from it.
//!
//! `hyper` stops reading while a response is due and bytes of a further request wait in its buffer,
//! so it learns only after the response that its caller has closed the connection.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use futures_lite::{AsyncRead, AsyncWrite, future};
use smol::net;

/// Maximum number of bytes read ahead on one connection. If a caller has sent more than that after
/// an unanswered request, its close is detected only when the server reads again.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum size of one read while the server doesn't read.
const READ_BYTES: usize = 4 * 1024;

/// The caller's connection as the server reads and writes it.
#[derive(Debug)]
pub struct WatchedStream {
    stream: net::TcpStream,
    read_ahead: Arc<Mutex<ReadAhead>>,
    /// Bytes written on all connections that share this counter.
    sent_bytes: Arc<AtomicU64>,
}

/// Detects the end of a connection while the server doesn't read from it.
#[derive(Debug)]
pub struct CloseWatch {
    stream: net::TcpStream,
    read_ahead: Arc<Mutex<ReadAhead>>,
    max_bytes: usize,
}

/// Data read on behalf of the server.
#[derive(Debug, Default)]
struct ReadAhead {
    data: BytesMut,
    /// Whether the server's last read is pending, so that the server detects the end itself.
    is_reading: bool,
}

/// Wraps a connection for the server and returns a watch for its end.
///
/// Bytes written to the connection are added to `sent_bytes`. The same task must poll both parts,
/// the stream first.
pub fn watch(stream: net::TcpStream, sent_bytes: Arc<AtomicU64>) -> (WatchedStream, CloseWatch) {
    let read_ahead = Arc::default();
    let watch = CloseWatch {
        stream: stream.clone(),
        read_ahead: Arc::clone(&read_ahead),
        max_bytes: MAX_READ_AHEAD_BYTES,
    };
    (WatchedStream { stream, read_ahead, sent_bytes }, watch)
}

impl CloseWatch {
    /// Returns the watch with another maximum of the bytes that are read ahead.
    pub fn with_read_ahead(self, max_bytes: usize) -> CloseWatch {
        CloseWatch { max_bytes, ..self }
    }

    /// Completes when the caller closes the connection, or the connection fails, while the server
    /// doesn't read from it.
    pub async fn closed(mut self) {
        future::poll_fn(|context| self.poll_closed(context)).await;
    }

    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut read_ahead = lock(&self.read_ahead);
        if std::mem::take(&mut read_ahead.is_reading) {
            return Poll::Pending;
        }
        let mut buffer = [0; READ_BYTES];
        while read_ahead.data.len() < self.max_bytes {
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(count) => read_ahead.data.extend_from_slice(&buffer[..count]),
            }
        }
        Poll::Pending
    }
}

impl WatchedStream {
    /// Returns the socket.
    pub fn socket(&self) -> &net::TcpStream {
        &self.stream
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut read_ahead = lock(&this.read_ahead);
        if !read_ahead.data.is_empty() {
            let count = buffer.len().min(read_ahead.data.len());
            read_ahead.data.copy_to_slice(&mut buffer[..count]);
            read_ahead.is_reading = false;
            return Poll::Ready(Ok(count));
        }
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        read_ahead.is_reading = read.is_pending();
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        if let Poll::Ready(Ok(count)) = written {
            self.sent_bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

fn lock(read_ahead: &Mutex<ReadAhead>) -> MutexGuard<'_, ReadAhead> {
    read_ahead.lock().unwrap_or_else(PoisonError::into_inner)
}
