//! A relay in front of a node's peer address whose way back has a bounded rate, as the link of a
//! machine has.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::channel;
use smol::net::UdpSocket;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;

struct RelayedDatagram {
    due: Instant,
    to: SocketAddr,
    data: Vec<u8>,
}

struct RelayState {
    node: SocketAddr,
    bytes_per_second: f64,
    /// When the last byte that waits will have left.
    free_at: Mutex<Instant>,
    /// Most bytes that waited at once.
    longest_queue: AtomicU64,
    queue: channel::Sender<RelayedDatagram>,
}

/// The relay.
#[derive(Clone)]
pub(crate) struct LinkRelay {
    /// Where other nodes reach the node behind it.
    pub(crate) address: SocketAddr,
    state: Arc<RelayState>,
}

impl LinkRelay {
    /// Relays to `node`, whose datagrams come back at this rate.
    pub(crate) async fn start(node: SocketAddr, bytes_per_second: u64) -> LinkRelay {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let (queue, queued) = channel::unbounded::<RelayedDatagram>();
        let state = Arc::new(RelayState {
            node,
            bytes_per_second: bytes_per_second as f64,
            free_at: Mutex::new(Instant::now()),
            longest_queue: AtomicU64::new(0),
            queue,
        });
        smol::spawn(forward(socket.clone(), Arc::clone(&state))).detach();
        smol::spawn(async move {
            while let Ok(datagram) = queued.recv().await {
                smol::Timer::at(datagram.due).await;
                // A caller that has gone gets nothing.
                let _ = socket.send_to(&datagram.data, datagram.to).await;
            }
        })
        .detach();
        LinkRelay { address, state }
    }

    /// Most bytes that waited for the link at once.
    pub(crate) fn longest_queue(&self) -> u64 {
        self.state.longest_queue.load(Ordering::Relaxed)
    }
}

impl RelayState {
    /// Puts a datagram behind those that wait.
    fn enqueue(&self, to: SocketAddr, data: Vec<u8>) {
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        let start = now.max(*free_at);
        let due = start + Duration::from_secs_f64(data.len() as f64 / self.bytes_per_second);
        *free_at = due;
        let waiting = ((due - now).as_secs_f64() * self.bytes_per_second) as u64;
        self.longest_queue.fetch_max(waiting, Ordering::Relaxed);
        self.queue.try_send(RelayedDatagram { due, to, data }).unwrap();
    }
}

/// Passes the datagrams of each caller to the node over a socket of its own.
async fn forward(socket: UdpSocket, state: Arc<RelayState>) {
    let mut callers = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((count, caller)) = socket.recv_from(&mut buffer).await else { return };
        let towards = match callers.entry(caller) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let towards = UdpSocket::bind("127.0.0.1:0").await.unwrap();
                towards.connect(state.node).await.unwrap();
                smol::spawn(back(towards.clone(), caller, Arc::clone(&state))).detach();
                entry.insert(towards)
            }
        };
        // The node that has stopped gets nothing.
        let _ = towards.send(&buffer[..count]).await;
    }
}

async fn back(towards: UdpSocket, caller: SocketAddr, state: Arc<RelayState>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok(count) = towards.recv(&mut buffer).await {
        state.enqueue(caller, buffer[..count].to_vec());
    }
}
