//! The UDP socket of an endpoint, with a count of what it sent.

use std::io;
use std::net;
use std::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task;

/// A socket that counts the bytes of the datagrams that it sent.
#[derive(Debug)]
pub(crate) struct CountingSocket {
    inner: Arc<dyn quinn::AsyncUdpSocket>,
    sent_bytes: Arc<AtomicU64>,
}

impl CountingSocket {
    /// Counts into `sent_bytes` what `inner` sends.
    pub(crate) fn new(
        inner: Arc<dyn quinn::AsyncUdpSocket>,
        sent_bytes: Arc<AtomicU64>,
    ) -> CountingSocket {
        CountingSocket { inner, sent_bytes }
    }
}

impl quinn::AsyncUdpSocket for CountingSocket {
    fn create_io_poller(self: Arc<Self>) -> pin::Pin<Box<dyn quinn::UdpPoller>> {
        Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &quinn::udp::Transmit<'_>) -> io::Result<()> {
        self.inner.try_send(transmit)?;
        self.sent_bytes.fetch_add(transmit.contents.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    fn poll_recv(
        &self,
        context: &mut task::Context<'_>,
        buffers: &mut [io::IoSliceMut<'_>],
        meta: &mut [quinn::udp::RecvMeta],
    ) -> task::Poll<io::Result<usize>> {
        self.inner.poll_recv(context, buffers, meta)
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
