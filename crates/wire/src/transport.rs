//! The QUIC endpoint of a node.

use std::convert::Infallible;
use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use bytes::Bytes;
use futures_lite::future;
use prost::Message;
use quinn::Runtime;
use smol::channel;
use thiserror::Error;

use crate::codec;
use crate::connection::{ControlBytes, INITIAL_STREAMS, MAX_STREAMS, PeerConnection};
use crate::generated;
use crate::identity;
use crate::peers::{ConnectionLookup, Direction, PeerTable};
use crate::socket;
use crate::watchdog;

pub use crate::stream::{FrameReader, FrameWriter};

/// Default for [`EndpointSettings::stream_window_bytes`].
pub const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of a connection. It covers the full window of every stream, because slow
/// readers could otherwise use up the window and block the other streams.
const CONNECTION_WINDOW_BYTES: u32 = MAX_STREAMS * STREAM_WINDOW_BYTES;
/// Default for [`EndpointSettings::max_unacknowledged_bytes`]; fills a connection between two
/// regions.
pub const MAX_UNACKNOWLEDGED_BYTES: u64 = 4 * 1024 * 1024;
/// Buffer of one connection for datagrams to be sent, and for those to be read.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Time without any packet after which a connection is lost.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Interval of the packets that keep idle connections open.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Assumed round-trip time of a new connection. A lost first packet is retransmitted after three
/// times this value, which must fit into `CONNECT_TIMEOUT`.
const INITIAL_RTT: time::Duration = time::Duration::from_millis(100);
/// Time limit of a connection attempt, so that waiting requests fail within a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Time within which a connecting peer must complete the handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Maximum number of unfinished handshakes of connecting peers. Further ones are ignored, and the
/// peer retransmits its first packet.
const MAX_HANDSHAKES: usize = 256;
/// Number of unfinished handshakes from which a peer must first validate its address. This keeps
/// handshakes available to nodes while packets with forged addresses arrive.
const UNVALIDATED_HANDSHAKES: usize = 64;
/// Capacity of the event channel. When the channel is full, streams wait and datagrams are dropped.
const EVENT_CAPACITY: usize = 1_024;
/// Error code for connections of a closed endpoint.
const CODE_CLOSED: quinn::VarInt = quinn::VarInt::from_u32(0);
/// Error code for a connection whose peer isn't a node.
const CODE_NOT_A_NODE: quinn::VarInt = quinn::VarInt::from_u32(5);

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// UDP address; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Certificate, key and trusted authorities.
    pub identity: identity::TlsIdentity,
    /// Maximum unacknowledged data of a connection, in bytes; writers wait when it is reached.
    pub max_unacknowledged_bytes: u64,
    /// Maximum unread data of a stream, in bytes; bounds the memory of one request.
    pub stream_window_bytes: u32,
}

impl EndpointSettings {
    /// Returns settings suited for connections between regions.
    pub fn new(listen: net::SocketAddr, identity: identity::TlsIdentity) -> EndpointSettings {
        EndpointSettings {
            listen,
            identity,
            max_unacknowledged_bytes: MAX_UNACKNOWLEDGED_BYTES,
            stream_window_bytes: STREAM_WINDOW_BYTES,
        }
    }
}

/// A message or a stream received from a peer.
// Boxing each stream would cost more than the unused bytes of queued datagrams.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
pub enum PeerEvent {
    /// A control message.
    Datagram {
        /// Address of the peer.
        from: net::SocketAddr,
        /// The message.
        message: generated::ControlMessage,
    },
    /// A stream with its first frame.
    Stream {
        /// Address of the peer.
        from: net::SocketAddr,
        /// The first frame.
        head: generated::StreamHead,
        /// Sends the response.
        writer: FrameWriter,
        /// Receives the rest of the request.
        reader: FrameReader,
    },
}

/// State of an endpoint, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportStats {
    /// Established connections in both directions.
    pub connections: usize,
    /// Unfinished handshakes of connecting peers.
    pub handshakes: usize,
    /// Received datagrams dropped since the start because the event channel was full.
    pub dropped_datagrams: u64,
    /// Bytes of control messages and document frames sent since the start.
    pub control_sent_bytes: u64,
    /// Bytes of control messages and document frames received since the start.
    pub control_received_bytes: u64,
    /// Bytes of all UDP datagrams sent since the start, including retransmissions.
    pub sent_bytes: u64,
    /// Packets that were lost since the start and had to be retransmitted.
    pub lost_packets: u64,
    /// Maximum of the current round-trip time estimates of all connections.
    pub max_round_trip: time::Duration,
}

/// A QUIC endpoint that connects to peers and accepts their connections; cheap to clone.
///
/// Its tasks run on the global executor of `smol`. Dropping the last clone closes the endpoint.
#[derive(Clone, Debug)]
pub struct NodeEndpoint {
    shared: Arc<EndpointState>,
    events: channel::Receiver<PeerEvent>,
    _closer: Arc<EndpointCloser>,
}

#[derive(Debug)]
struct EndpointState {
    endpoint: quinn::Endpoint,
    address: net::SocketAddr,
    peers: Mutex<PeerTable>,
    client: Mutex<quinn::ClientConfig>,
    windows: Windows,
    events: channel::Sender<PeerEvent>,
    watchdog: channel::Sender<Arc<PeerConnection>>,
    handshakes: AtomicUsize,
    dropped_datagrams: AtomicU64,
    control: Arc<ControlBytes>,
    sent_bytes: Arc<AtomicU64>,
    /// Packets lost on connections that have ended.
    lost_packets: AtomicU64,
}

#[derive(Debug)]
struct EndpointCloser {
    shared: Arc<EndpointState>,
}

impl Drop for EndpointCloser {
    fn drop(&mut self) {
        self.shared.close();
    }
}

impl NodeEndpoint {
    /// Opens the socket and starts to accept peers.
    ///
    /// Fails if the socket can't be opened, or if the identity accepts any peer and the address
    /// isn't a loopback address.
    pub fn bind(settings: EndpointSettings) -> Result<NodeEndpoint, TransportError> {
        let windows = Windows::of(&settings);
        let EndpointSettings { listen, identity, .. } = settings;
        if identity.accepts_any() && !listen.ip().is_loopback() {
            return Err(TransportError::InsecureListen { listen });
        }
        let bind_error = |source| TransportError::Bind { listen, source };
        let socket = net::UdpSocket::bind(listen).map_err(bind_error)?;
        let socket = quinn::SmolRuntime.wrap_udp_socket(socket).map_err(bind_error)?;
        let sent_bytes = Arc::<AtomicU64>::default();
        let endpoint = quinn::Endpoint::new_with_abstract_socket(
            quinn::EndpointConfig::default(),
            Some(server_config(&identity, windows)),
            Arc::new(socket::CountingSocket::new(socket, Arc::clone(&sent_bytes))),
            Arc::new(quinn::SmolRuntime),
        )
        .map_err(bind_error)?;
        let (events, receiver) = channel::bounded(EVENT_CAPACITY);
        let (watchdog, watched) = channel::unbounded();
        let shared = Arc::new(EndpointState {
            address: endpoint.local_addr().map_err(bind_error)?,
            endpoint,
            peers: Mutex::default(),
            client: Mutex::new(client_config(&identity, windows)),
            windows,
            events,
            watchdog,
            handshakes: AtomicUsize::new(0),
            dropped_datagrams: AtomicU64::new(0),
            control: Arc::default(),
            sent_bytes,
            lost_packets: AtomicU64::new(0),
        });
        smol::spawn(accept_peers(Arc::clone(&shared))).detach();
        smol::spawn(watchdog::watch(watched)).detach();
        let _closer = Arc::new(EndpointCloser { shared: Arc::clone(&shared) });
        Ok(NodeEndpoint { shared, events: receiver, _closer })
    }

    /// Returns the address that peers connect to.
    pub fn local_address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Returns a receiver of the events of peers. Each event goes to one receiver only.
    pub fn events(&self) -> channel::Receiver<PeerEvent> {
        self.events.clone()
    }

    /// Returns the number of established connections in both directions.
    pub fn connection_count(&self) -> usize {
        self.shared.peers().connection_count()
    }

    /// Returns the bytes of all UDP datagrams sent since the start, including retransmissions.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the statistics of the endpoint.
    pub fn stats(&self) -> TransportStats {
        let (mut lost_packets, mut max_round_trip) =
            (self.shared.lost_packets.load(Ordering::Relaxed), time::Duration::ZERO);
        for path in self.shared.peers().path_stats() {
            lost_packets += path.lost_packets;
            max_round_trip = max_round_trip.max(path.rtt);
        }
        TransportStats {
            connections: self.connection_count(),
            handshakes: self.shared.handshakes.load(Ordering::Relaxed),
            dropped_datagrams: self.shared.dropped_datagrams.load(Ordering::Relaxed),
            control_sent_bytes: self.shared.control.sent.load(Ordering::Relaxed),
            control_received_bytes: self.shared.control.received.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes(),
            lost_packets,
            max_round_trip,
        }
    }

    /// Sends a control message, which may be lost. Connects in the background if necessary.
    pub fn send_datagram(&self, to: net::SocketAddr, message: &generated::ControlMessage) {
        let datagram = Bytes::from(message.encode_to_vec());
        match self.shared.look_up(to) {
            ConnectionLookup::Connected(connection) => {
                connection.send_datagram(datagram);
            }
            ConnectionLookup::Connect | ConnectionLookup::Wait(_) => {
                self.shared.peers().queue_datagram(to, datagram)
            }
            ConnectionLookup::BackOff(_) => {}
        }
    }

    /// Opens a stream and sends its head. Connects if necessary.
    pub async fn open_stream(
        &self,
        to: net::SocketAddr,
        head: &generated::StreamHead,
    ) -> Result<(FrameWriter, FrameReader), TransportError> {
        let (mut writer, reader) = self.open_stream_queued(to, head).await?;
        writer.flush().await?;
        Ok((writer, reader))
    }

    /// Opens a stream whose head is sent with the first frame or with `finish`. Connects if
    /// necessary.
    pub async fn open_stream_queued(
        &self,
        to: net::SocketAddr,
        head: &generated::StreamHead,
    ) -> Result<(FrameWriter, FrameReader), TransportError> {
        let connection = self.shared.connection(to).await?;
        let (mut writer, reader) = connection.open().await?;
        writer.queue(head)?;
        Ok((writer, reader))
    }

    /// Asks a peer for a sign of life on its connection; returns the number of those that have
    /// arrived on it, or `None` without a usable connection.
    pub fn probe(&self, peer: net::SocketAddr) -> Option<u64> {
        let connection = self.shared.peers().connection(peer)?;
        connection.ping();
        Some(connection.received_frames())
    }

    /// Removes a peer. Its connections close when their last stream ends.
    pub fn remove_peer(&self, peer: net::SocketAddr) {
        self.shared.peers().remove_peer(peer);
    }

    /// Sets the identity for new connections; established connections are kept.
    pub fn set_identity(&self, identity: &identity::TlsIdentity) {
        let windows = self.shared.windows;
        *lock(&self.shared.client) = client_config(identity, windows);
        let config = server_config(identity, windows);
        self.shared.endpoint.set_server_config(Some(config));
    }

    /// Closes all connections immediately; open streams end with an error.
    pub fn close(&self) {
        self.shared.close();
    }

    /// Waits until the peers have been told that the endpoint is closed.
    pub async fn wait_closed(&self) {
        self.shared.endpoint.wait_idle().await;
    }
}

impl EndpointState {
    fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    fn close(&self) {
        self.endpoint.close(CODE_CLOSED, b"closed");
        self.events.close();
        self.watchdog.close();
    }

    /// Looks up a connection to `peer` and starts an attempt if necessary.
    fn look_up(self: &Arc<EndpointState>, peer: net::SocketAddr) -> ConnectionLookup {
        let mut done_sender = None;
        let done = || {
            let (sender, receiver) = channel::bounded(1);
            done_sender = Some(sender);
            receiver
        };
        let lookup = self.peers().look_up(peer, time::Instant::now(), done);
        if let Some(done_sender) = done_sender {
            smol::spawn(Arc::clone(self).connect(peer, done_sender)).detach();
        }
        lookup
    }

    /// Returns a connection to `peer`. If this fails, nothing was sent.
    async fn connection(
        self: &Arc<EndpointState>,
        peer: net::SocketAddr,
    ) -> Result<Arc<PeerConnection>, TransportError> {
        loop {
            match self.look_up(peer) {
                ConnectionLookup::Connected(connection) => return Ok(connection),
                ConnectionLookup::Connect => {}
                ConnectionLookup::Wait(done) => {
                    let _ = done.recv().await;
                }
                ConnectionLookup::BackOff(reason) => {
                    return Err(TransportError::Unreachable { peer, reason });
                }
            }
        }
    }

    /// Makes one connection attempt. Dropping `done_sender` wakes the tasks that wait for its end.
    async fn connect(
        self: Arc<EndpointState>,
        peer: net::SocketAddr,
        done_sender: channel::Sender<Infallible>,
    ) {
        let result = future::or(self.handshake(peer), connect_timeout()).await;
        let connection = match result {
            Ok(connection) => connection,
            Err(reason) => {
                log::debug!(peer:% = peer, reason:% = reason; "connection attempt failed");
                self.peers().record_failure(peer, time::Instant::now(), reason);
                return;
            }
        };
        let connection =
            PeerConnection::new(connection, self.watchdog.clone(), Arc::clone(&self.control));
        let queued = self.peers().add_connection(peer, Direction::Outgoing, &connection);
        drop(done_sender);
        self.serve(peer, connection, queued).await;
    }

    async fn handshake(&self, peer: net::SocketAddr) -> Result<quinn::Connection, Arc<str>> {
        let config = lock(&self.client).clone();
        let connecting = self
            .endpoint
            .connect_with(config, peer, identity::NODE_SERVER_NAME)
            .map_err(|error| Arc::from(error.to_string()))?;
        connecting.await.map_err(|error| Arc::from(error.to_string()))
    }

    /// Sends the queued datagrams and serves a connection until it is lost.
    async fn serve(
        &self,
        peer: net::SocketAddr,
        connection: Arc<PeerConnection>,
        queued: Vec<Bytes>,
    ) {
        for datagram in queued {
            connection.send_datagram(datagram);
        }
        let started = time::Instant::now();
        connection.serve(&self.events, &self.dropped_datagrams).await;
        self.peers().remove_connection(peer, &connection, started.elapsed());
        self.lost_packets.fetch_add(connection.path_stats().lost_packets, Ordering::Relaxed);
    }

    /// Completes the handshake of a connecting peer and serves the connection.
    async fn accept_peer(
        self: Arc<EndpointState>,
        incoming: quinn::Incoming,
        guard: HandshakeGuard,
    ) {
        let Ok(connecting) = incoming.accept() else { return };
        let handshake = async { connecting.await.ok() };
        let Some(connection) = future::or(handshake, handshake_timeout()).await else { return };
        drop(guard);
        let peer = connection.remote_address();
        if !is_node(&connection) {
            log::warn!(peer:% = peer; "connection refused: peer has no node certificate");
            connection.close(CODE_NOT_A_NODE, b"not a node");
            return;
        }
        let connection =
            PeerConnection::new(connection, self.watchdog.clone(), Arc::clone(&self.control));
        let queued = self.peers().add_connection(peer, Direction::Incoming, &connection);
        self.serve(peer, connection, queued).await;
    }
}

/// Counts one unfinished handshake until it is dropped.
struct HandshakeGuard(Arc<EndpointState>);

impl HandshakeGuard {
    fn new(shared: &Arc<EndpointState>) -> HandshakeGuard {
        shared.handshakes.fetch_add(1, Ordering::Relaxed);
        HandshakeGuard(Arc::clone(shared))
    }
}

impl Drop for HandshakeGuard {
    fn drop(&mut self) {
        self.0.handshakes.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept_peers(shared: Arc<EndpointState>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let handshakes = shared.handshakes.load(Ordering::Relaxed);
        if handshakes >= MAX_HANDSHAKES {
            incoming.ignore();
            continue;
        }
        if handshakes >= UNVALIDATED_HANDSHAKES && incoming.may_retry() {
            let _ = incoming.retry();
            continue;
        }
        // Counted before the task runs, because many handshakes may be accepted until then.
        let guard = HandshakeGuard::new(&shared);
        smol::spawn(Arc::clone(&shared).accept_peer(incoming, guard)).detach();
    }
}

async fn connect_timeout() -> Result<quinn::Connection, Arc<str>> {
    smol::Timer::after(CONNECT_TIMEOUT).await;
    Err(Arc::from("no answer within 0.9 s"))
}

async fn handshake_timeout() -> Option<quinn::Connection> {
    smol::Timer::after(HANDSHAKE_TIMEOUT).await;
    None
}

fn is_node(connection: &quinn::Connection) -> bool {
    type Chain = Vec<rustls::pki_types::CertificateDer<'static>>;
    let chain = connection.peer_identity().and_then(|chain| chain.downcast::<Chain>().ok());
    let certificate = chain.as_ref().and_then(|chain| chain.first());
    certificate.is_some_and(identity::is_node_certificate)
}

/// Flow-control windows of the connections of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Windows {
    unacknowledged_bytes: u64,
    stream_bytes: u32,
}

impl Windows {
    fn of(settings: &EndpointSettings) -> Windows {
        Windows {
            unacknowledged_bytes: settings.max_unacknowledged_bytes,
            stream_bytes: settings.stream_window_bytes,
        }
    }
}

fn client_config(identity: &identity::TlsIdentity, windows: Windows) -> quinn::ClientConfig {
    let mut config = quinn::ClientConfig::new(identity.client());
    // Keep-alive packets of one side are enough, as both sides see them.
    let mut transport = transport_config(windows);
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.transport_config(Arc::new(transport));
    config
}

fn server_config(identity: &identity::TlsIdentity, windows: Windows) -> quinn::ServerConfig {
    let mut config = quinn::ServerConfig::with_crypto(identity.server());
    config.transport_config(Arc::new(transport_config(windows)));
    config.max_incoming(MAX_HANDSHAKES);
    config.migration(false);
    config
}

fn transport_config(windows: Windows) -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config
        .max_concurrent_bidi_streams(INITIAL_STREAMS.into())
        .max_concurrent_uni_streams(0_u32.into())
        .stream_receive_window(windows.stream_bytes.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into())
        .send_window(windows.unacknowledged_bytes)
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .initial_rtt(INITIAL_RTT)
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    config
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An error of the transport.
///
/// [`TransportError::may_have_reached_peer`] tells whether the request may have been run.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The socket can't be opened.
    #[error("cannot listen on {listen}: choose an address of this host and a free UDP port")]
    Bind {
        /// The address.
        listen: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An identity that accepts any peer can't be used on an address that other hosts can reach.
    #[error("cannot listen on {listen} without verifying peers: use a loopback address")]
    InsecureListen {
        /// The address.
        listen: net::SocketAddr,
    },
    /// No connection to the peer can be established.
    #[error("cannot connect to {peer} ({reason}): use another node")]
    Unreachable {
        /// Address of the peer.
        peer: net::SocketAddr,
        /// Reason of the last failed attempt.
        reason: Arc<str>,
    },
    /// The connection was lost.
    #[error("connection to {peer} was lost ({reason}): use another node")]
    ConnectionLost {
        /// Address of the peer.
        peer: net::SocketAddr,
        /// Whether any byte of the stream may have reached the peer.
        sent: bool,
        /// Reason of the loss.
        reason: String,
    },
    /// The peer stopped reading the stream.
    #[error("{peer} stopped reading the stream: read its answer for the reason")]
    Stopped {
        /// Address of the peer.
        peer: net::SocketAddr,
        /// Whether any byte of the stream may have reached the peer.
        sent: bool,
    },
    /// The peer reset the stream before its end.
    #[error("{peer} cut the stream before its end: treat the message as not received")]
    Reset {
        /// Address of the peer.
        peer: net::SocketAddr,
    },
    /// The stream has ended on this side.
    #[error("the stream is over: open another one")]
    StreamEnded {
        /// Whether any byte of the stream may have reached the peer.
        sent: bool,
    },
    /// A frame can't be sent or decoded.
    #[error(transparent)]
    Frame(#[from] codec::FrameError),
}

impl TransportError {
    /// Returns whether any byte of the stream may have reached the peer.
    ///
    /// `false` is definite. An invalid frame says nothing about earlier frames, so it counts as
    /// `true`.
    pub fn may_have_reached_peer(&self) -> bool {
        match self {
            TransportError::Bind { .. }
            | TransportError::InsecureListen { .. }
            | TransportError::Unreachable { .. } => false,
            TransportError::ConnectionLost { sent, .. }
            | TransportError::Stopped { sent, .. }
            | TransportError::StreamEnded { sent } => *sent,
            TransportError::Reset { .. } | TransportError::Frame(_) => true,
        }
    }
}
