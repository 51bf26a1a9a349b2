//! A UDP relay in front of a node's peer address. It limits the rate of the datagrams that the node
//! sends, as the link of a host does.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::channel;
use smol::net::UdpSocket;

/// Upper bound of the size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

struct RelayedDatagram {
    due: Instant,
    to: SocketAddr,
    data: Vec<u8>,
}

struct RelayState {
    node: SocketAddr,
    bytes_per_second: f64,
    /// When the last queued byte will have been sent.
    free_at: Mutex<Instant>,
    /// Largest number of bytes that were queued at once.
    max_queued_bytes: AtomicU64,
    queue: channel::Sender<RelayedDatagram>,
}

/// A relay in front of one node.
#[derive(Clone)]
pub(crate) struct LinkRelay {
    /// Address at which other nodes reach the node.
    pub(crate) address: SocketAddr,
    state: Arc<RelayState>,
}

impl LinkRelay {
    /// Starts a relay to `node`, whose own datagrams are sent on at the given rate.
    pub(crate) async fn start(node: SocketAddr, bytes_per_second: u64) -> LinkRelay {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let (queue, queued) = channel::unbounded::<RelayedDatagram>();
        let state = Arc::new(RelayState {
            node,
            bytes_per_second: bytes_per_second as f64,
            free_at: Mutex::new(Instant::now()),
            max_queued_bytes: AtomicU64::new(0),
            queue,
        });
        smol::spawn(relay_requests(socket.clone(), Arc::clone(&state))).detach();
        smol::spawn(async move {
            while let Ok(datagram) = queued.recv().await {
                smol::Timer::at(datagram.due).await;
                // Fails if the peer has gone.
                let _ = socket.send_to(&datagram.data, datagram.to).await;
            }
        })
        .detach();
        LinkRelay { address, state }
    }

    /// Returns the largest number of bytes that were queued for the link at once.
    pub(crate) fn max_queued_bytes(&self) -> u64 {
        self.state.max_queued_bytes.load(Ordering::Relaxed)
    }
}

impl RelayState {
    /// Queues a datagram behind those that wait for the link.
    fn enqueue(&self, to: SocketAddr, data: Vec<u8>) {
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        let start = now.max(*free_at);
        let due = start + Duration::from_secs_f64(data.len() as f64 / self.bytes_per_second);
        *free_at = due;
        let queued_bytes = ((due - now).as_secs_f64() * self.bytes_per_second) as u64;
        self.max_queued_bytes.fetch_max(queued_bytes, Ordering::Relaxed);
        self.queue.try_send(RelayedDatagram { due, to, data }).unwrap();
    }
}

/// Forwards the datagrams of each peer to the node over a socket of its own.
async fn relay_requests(socket: UdpSocket, state: Arc<RelayState>) {
    let mut node_sockets = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, peer)) = socket.recv_from(&mut buffer).await else { return };
        let node_socket = match node_sockets.entry(peer) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let node_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                node_socket.connect(state.node).await.unwrap();
                smol::spawn(relay_replies(node_socket.clone(), peer, Arc::clone(&state))).detach();
                entry.insert(node_socket)
            }
        };
        // Fails if the node has stopped.
        let _ = node_socket.send(&buffer[..count]).await;
    }
}

async fn relay_replies(node_socket: UdpSocket, peer: SocketAddr, state: Arc<RelayState>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(count) = node_socket.recv(&mut buffer).await {
        state.enqueue(peer, buffer[..count].to_vec());
    }
}
