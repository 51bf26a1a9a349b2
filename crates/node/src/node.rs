//! Starts and stops a node.

use std::net;
use std::sync::Arc;

use cornelridge_model::ident;
use cornelridge_model::key;
use cornelridge_model::time;
use cornelridge_ownership as ownership;
use cornelridge_store::client;
use cornelridge_wire::identity;
use cornelridge_wire::transport;
use smol::net::TcpListener;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use crate::announce;
use crate::configuration;
use crate::context;
use crate::deadline;
use crate::drain;
use crate::dump;
use crate::executor;
use crate::ingress;
use crate::membership;
use crate::metering;
use crate::operators;
use crate::oversight;
use crate::peers;
use crate::planning;
use crate::sampling;
use crate::serving;
use crate::settings;

/// Time that a leaving node gets to write that it has left.
const FAREWELL_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Looks at the deadlines between two looks at the queue of the upstream.
const QUEUE_ROUNDS: u64 = 3;

/// A node that couldn't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A TCP address can't be bound.
    #[error("can't listen on --{setting} {address}: {source}; choose a free address of this host")]
    Listen {
        /// Name of the setting.
        setting: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The QUIC endpoint can't be opened.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// Certificates can't be used.
    #[error(transparent)]
    Identity(#[from] identity::IdentityError),
}

/// A running node.
pub struct NodeHandle {
    context: Arc<context::NodeContext>,
    drain_limit: time::Duration,
    /// Where callers are served.
    pub caller_address: net::SocketAddr,
    /// Where other nodes are served.
    pub peer_address: net::SocketAddr,
    /// Where the upstream announces itself.
    pub announce_address: net::SocketAddr,
    /// Where operators are served.
    pub operator_address: net::SocketAddr,
}

/// Reads the identity of a node from the files in its settings, or makes one for a local trial.
pub fn read_identity(
    settings: &settings::NodeSettings,
) -> Result<identity::TlsIdentity, StartError> {
    match &settings.trust {
        settings::PeerTrust::TlsFiles { ca, certificate, key } => {
            Ok(identity::TlsIdentity::from_pem_files(certificate, key, ca)?)
        }
        settings::PeerTrust::InsecureLocalTrial => {
            Ok(identity::TlsIdentity::insecure_local_trial(&settings.node)?)
        }
    }
}

async fn listen(
    setting: &'static str,
    address: net::SocketAddr,
) -> Result<(TcpListener, net::SocketAddr), StartError> {
    let failed = |source| StartError::Listen { setting, address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Ends waits whose time has come, and refuses queued requests that can't be answered in time.
async fn check_deadlines(context: Arc<context::NodeContext>) {
    for round in 0_u64.. {
        context.deadlines.filled().await;
        context.sleep(deadline::TICK).await;
        let now = context.clock.now();
        context.deadlines.wake(now);
        if round.is_multiple_of(QUEUE_ROUNDS) {
            context.gate_queue().tick(now);
        }
    }
}

impl NodeHandle {
    /// Binds all addresses and starts the tasks of the node.
    pub async fn start(
        settings: &settings::NodeSettings,
        identity: identity::TlsIdentity,
    ) -> Result<NodeHandle, StartError> {
        let (callers, caller_address) = listen("caller-address", settings.caller_address).await?;
        let (announcements, announce_address) =
            listen("announce-address", settings.announce_address).await?;
        let (overseers, operator_address) =
            listen("operator-address", settings.operator_address).await?;
        let endpoint = transport::NodeEndpoint::bind(transport::EndpointSettings::new(
            settings.peer_address,
            identity,
        ))?;
        let peer_address = endpoint.local_address();
        let store = client::StoreClient::new(client::StoreSettings::new(settings.store_address));
        let stop = CancellationToken::new();
        let mut random = fastrand::Rng::new();
        // Handles made before the recorder is installed would record nothing.
        if let Err(error) = metering::install() {
            log::warn!("no metrics: {error}");
        }
        let context = Arc::new(context::NodeContext::new(context::ContextParts {
            identity: context::NodeIdentity {
                name: Arc::clone(&settings.node),
                region: Arc::clone(&settings.region),
                zone: Arc::clone(&settings.zone),
                incarnation: ident::IncarnationId(random.u64(1..)),
            },
            executor: executor::NodeExecutor::new(stop.clone()),
            endpoint,
            store: Arc::new(store),
            max_records: settings.limits.records,
            max_callers: settings.limits.caller_connections,
            advertised: settings.peer_advertised.unwrap_or(peer_address),
            seed: random.u64(..),
        }));
        let drain_limit = time::Duration(settings.drain_limit.as_micros() as u64);
        let handle = NodeHandle {
            context,
            drain_limit,
            caller_address,
            peer_address,
            announce_address,
            operator_address,
        };
        handle.spawn_tasks(callers, announcements);
        let overseer = oversight::NodeOverseer::new(Arc::clone(&handle.context), drain_limit);
        let token = settings.operator_token.clone();
        let endpoint = operators::OperatorEndpoint::new(&settings.node, token, Arc::new(overseer));
        handle.context.executor.spawn(async move { endpoint.serve(overseers, stop).await });
        Ok(handle)
    }

    fn spawn_tasks(&self, callers: TcpListener, announcements: TcpListener) {
        let context = &self.context;
        let executor = &context.executor;
        let node = || Arc::clone(context);
        executor.spawn(check_deadlines(node()));
        executor.spawn(ingress::serve(node(), callers));
        executor.spawn(announce::serve(node(), announcements));
        executor.spawn(announce::watch(node()));
        executor.spawn(peers::receive(node()));
        executor.spawn(serving::run(node()));
        executor.spawn(membership::run(node()));
        executor.spawn(configuration::follow(node(), configuration::DocumentKind::Classes));
        executor.spawn(configuration::follow(node(), configuration::DocumentKind::Assignment));
        executor.spawn(planning::registration(node()));
        executor.spawn(planning::run(node()));
        executor.spawn(sampling::run(node()));
        planning::register(context);
    }

    /// Name of the node.
    pub fn name(&self) -> &Arc<str> {
        &self.context.identity.name
    }

    /// Availability zone of the node.
    pub fn zone(&self) -> &Arc<str> {
        &self.context.identity.zone
    }

    /// Workers that this node knows, by class.
    pub fn workers(&self) -> Vec<(Arc<str>, usize)> {
        self.context.workers.counts()
    }

    /// This run of the node.
    pub fn incarnation(&self) -> ident::IncarnationId {
        self.context.identity.incarnation
    }

    /// The whole state, as operators see it.
    pub fn dump(&self) -> serde_json::Value {
        dump::dump(&self.context)
    }

    /// Epoch and configuration revision in force at this node.
    pub fn versions(&self) -> (ident::EpochNumber, ident::RevisionNumber) {
        self.context.documents.versions()
    }

    /// Whether this node may serve a key of a class at this moment.
    pub fn serves(&self, class: &str, key: &[u8]) -> bool {
        let hash = key::KeyHash::of(class, key);
        let Some(slice) = self.context.locate(class, hash) else { return false };
        let decision = self.context.ownership().grant(self.context.clock.now(), slice);
        matches!(decision, ownership::GrantDecision::Granted { .. })
    }

    /// Requests in flight at this node, as ingress or beside the upstream.
    pub fn requests_in_flight(&self) -> usize {
        self.context.requests.current()
    }

    /// Uses other certificates for new connections; requests on established ones go on.
    pub fn reload_identity(&self, identity: &identity::TlsIdentity) {
        self.context.endpoint.set_identity(identity);
    }

    /// Completes when an operator has asked the node to leave.
    pub async fn leave_requested(&self) {
        self.context.leave_requested.cancelled().await;
    }

    /// Leaves: hands slices over, finishes requests in flight, then stops.
    pub async fn leave(&self) {
        drain::leave(&self.context, self.drain_limit).await;
        planning::register(&self.context);
        self.context.sleep(FAREWELL_LIMIT).await;
        self.stop();
        self.context.endpoint.wait_closed().await;
    }

    /// Stops at once, as if the process had been lost.
    pub fn stop(&self) {
        self.context.closing.cancel();
        self.context.executor.stop().cancel();
        self.context.endpoint.close();
    }
}
