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

use crate::admin;
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
use crate::peers;
use crate::planning;
use crate::sampling;
use crate::serving;
use crate::settings;

/// Delay before a leaving node stops, in which it writes to the store that it has left.
const DEREGISTRATION_DELAY: time::Duration = time::Duration::from_millis(500);

/// Deadline ticks between two checks of the upstream's queue.
const TICKS_PER_QUEUE_CHECK: u64 = 3;

/// Error at the start of a node.
#[derive(Debug, Error)]
pub enum StartError {
    /// A TCP listener can't be opened.
    #[error("can't listen on --{setting} {address}: {source}; choose a free address of this host")]
    Listen {
        /// Name of the setting.
        setting: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The QUIC endpoint can't be opened.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The certificates are invalid.
    #[error(transparent)]
    Identity(#[from] identity::IdentityError),
}

/// A running node.
pub struct NodeHandle {
    context: Arc<context::NodeContext>,
    drain_limit: time::Duration,
    /// Address that serves callers.
    pub caller_address: net::SocketAddr,
    /// Address that serves other nodes.
    pub peer_address: net::SocketAddr,
    /// Address that receives the upstream's announcements.
    pub announce_address: net::SocketAddr,
    /// Address that serves operators.
    pub operator_address: net::SocketAddr,
}

/// Reads the TLS identity of a node from the files in its settings, or generates one for a local
/// trial.
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

/// Wakes waits whose deadline has passed, and refuses queued requests that would miss their
/// deadline.
async fn check_deadlines(context: Arc<context::NodeContext>) {
    for round in 0_u64.. {
        context.deadlines.wait_until_non_empty().await;
        context.sleep(deadline::CHECK_INTERVAL).await;
        let now = context.clock.now();
        context.deadlines.wake(now);
        if round.is_multiple_of(TICKS_PER_QUEUE_CHECK) {
            context.upstream_queue().tick(now);
        }
    }
}

impl NodeHandle {
    /// Binds all addresses and starts the tasks of the node.
    pub async fn start(
        settings: &settings::NodeSettings,
        identity: identity::TlsIdentity,
    ) -> Result<NodeHandle, StartError> {
        let (caller_listener, caller_address) =
            listen("caller-address", settings.caller_address).await?;
        let (announcement_listener, announce_address) =
            listen("announce-address", settings.announce_address).await?;
        let (operator_listener, operator_address) =
            listen("operator-address", settings.operator_address).await?;
        let endpoint = transport::NodeEndpoint::bind(transport::EndpointSettings::new(
            settings.peer_address,
            identity,
        ))?;
        let peer_address = endpoint.local_address();
        let store = client::StoreClient::new(client::StoreSettings::new(settings.store_address));
        let stop = CancellationToken::new();
        let mut random = fastrand::Rng::new();
        // Metric handles that are created before the recorder is installed record nothing.
        if let Err(error) = metering::install() {
            log::warn!("failed to install the metrics recorder: {error}");
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
            max_caller_connections: settings.limits.caller_connections,
            advertised_address: settings.peer_advertised.unwrap_or(peer_address),
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
        handle.spawn_tasks(caller_listener, announcement_listener);
        let admin = admin::ContextAdmin::new(Arc::clone(&handle.context), drain_limit);
        let token = settings.operator_token.clone();
        let endpoint = operators::OperatorEndpoint::new(&settings.node, token, Arc::new(admin));
        handle.context.executor.spawn(async move { endpoint.serve(operator_listener, stop).await });
        Ok(handle)
    }

    fn spawn_tasks(&self, caller_listener: TcpListener, announcement_listener: TcpListener) {
        let context = &self.context;
        let executor = &context.executor;
        let node = || Arc::clone(context);
        executor.spawn(check_deadlines(node()));
        executor.spawn(ingress::serve(node(), caller_listener));
        executor.spawn(announce::serve(node(), announcement_listener));
        executor.spawn(announce::watch_upstream(node()));
        executor.spawn(peers::receive(node()));
        executor.spawn(serving::run(node()));
        executor.spawn(membership::run(node()));
        executor.spawn(configuration::follow(node(), configuration::DocumentKind::Classes));
        executor.spawn(configuration::follow(node(), configuration::DocumentKind::Assignment));
        executor.spawn(planning::maintain_registration(node()));
        executor.spawn(planning::run(node()));
        executor.spawn(sampling::run(node()));
        planning::request_registration(context);
    }

    /// Returns the name of the node.
    pub fn name(&self) -> &Arc<str> {
        &self.context.identity.name
    }

    /// Returns the availability zone of the node.
    pub fn zone(&self) -> &Arc<str> {
        &self.context.identity.zone
    }

    /// Returns the number of workers that this node knows, by class.
    pub fn workers(&self) -> Vec<(Arc<str>, usize)> {
        self.context.workers.counts()
    }

    /// Returns the identifier of this run of the node.
    pub fn incarnation(&self) -> ident::IncarnationId {
        self.context.identity.incarnation
    }

    /// Returns the whole state as JSON, as operators see it.
    pub fn dump(&self) -> serde_json::Value {
        dump::dump(&self.context)
    }

    /// Returns the epoch and the configuration revision in force at this node.
    pub fn versions(&self) -> (ident::EpochNumber, ident::RevisionNumber) {
        self.context.documents.versions()
    }

    /// Returns whether this node may currently serve a key of a class.
    pub fn serves(&self, class: &str, key: &[u8]) -> bool {
        let hash = key::KeyHash::of(class, key);
        let Some(slice) = self.context.locate(class, hash) else { return false };
        let decision = self.context.ownership().grant(self.context.clock.now(), slice);
        matches!(decision, ownership::GrantDecision::Granted { .. })
    }

    /// Returns the number of requests in flight at this node, as ingress or beside the upstream.
    pub fn requests_in_flight(&self) -> usize {
        self.context.requests.current()
    }

    /// Replaces the certificates for new connections; established connections continue.
    pub fn reload_identity(&self, identity: &identity::TlsIdentity) {
        self.context.endpoint.set_identity(identity);
    }

    /// Waits until an operator drains the node.
    pub async fn drain_requested(&self) {
        self.context.drain_requested.cancelled().await;
    }

    /// Shuts the node down gracefully: hands its slices over, finishes requests in flight, then
    /// stops.
    pub async fn shut_down(&self) {
        drain::drain_node(&self.context, self.drain_limit).await;
        planning::request_registration(&self.context);
        self.context.sleep(DEREGISTRATION_DELAY).await;
        self.stop();
        self.context.endpoint.wait_closed().await;
    }

    /// Stops immediately without a handover, as if the process had crashed.
    pub fn stop(&self) {
        self.context.closing.cancel();
        self.context.executor.stop().cancel();
        self.context.endpoint.close();
    }
}
