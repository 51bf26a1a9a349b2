//! One deployment in one process: stand-in store and upstreams, and a node beside each upstream.

use std::collections::BTreeSet;
use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use cornelridge::node;
use cornelridge::settings;
use cornelridge_model::assignment;
use cornelridge_wire::document;
use cornelridge_wire::identity;
use thiserror::Error;

use crate::deployment;
use crate::host;
use crate::store;
use crate::upstream;

/// Operator token in trials and tests.
pub const OPERATOR_TOKEN: &str = "trial-operator-token";
/// Interval between two checks whether the mesh is ready or settled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Interval between two checks whether every sampled key is served.
const SERVED_POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Number of keys checked to tell whether a class is served.
const SAMPLE_KEYS: u32 = 64;

/// An error in starting a mesh or in waiting for it.
#[derive(Debug, Error)]
pub enum MeshError {
    /// A stand-in couldn't start.
    #[error("stand-in not started: {0}")]
    Standin(#[from] io::Error),
    /// A node couldn't start.
    #[error("node not started: {0}")]
    Node(#[from] node::StartError),
    /// Certificates couldn't be made.
    #[error("no certificates: {0}")]
    Identity(#[from] identity::IdentityError),
    /// The token isn't valid.
    #[error("operator token: {0}")]
    Token(#[from] settings::TokenError),
    /// The mesh didn't reach the awaited state within the limit.
    #[error("the mesh was not ready within {0:?}")]
    NotReady(time::Duration),
}

/// One host of the mesh, with a node and an upstream, each of which may be stopped.
pub struct MeshHost {
    /// Name, zone and class of the host.
    pub plan: deployment::WorkerPlan,
    /// The node, unless it was stopped.
    pub node: Option<node::NodeHandle>,
    /// The upstream beside the node.
    pub upstream: upstream::UpstreamServer,
}

/// A running deployment.
pub struct Mesh {
    /// The deployment that the mesh runs.
    pub deployment: deployment::Deployment,
    /// The executor of the stand-ins.
    pub standins: host::StandinHost,
    /// The store.
    pub store: store::StoreServer,
    /// The hosts.
    pub hosts: Vec<MeshHost>,
    authority: identity::TrialAuthority,
    tune: UpstreamTuning,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        // The tasks of a node outlive its handle and would run beside the next deployment.
        self.hosts.iter_mut().filter_map(|host| host.node.take()).for_each(|node| node.stop());
    }
}

/// Changes the settings of an upstream before it starts.
pub type UpstreamTuning = fn(&mut upstream::UpstreamSettings);

impl Mesh {
    /// Starts the store and all hosts. The classes are written before the first node starts.
    pub async fn start(
        deployment: deployment::Deployment,
        tune: UpstreamTuning,
    ) -> Result<Mesh, MeshError> {
        let standins = host::StandinHost::thread()?;
        let store = store::StoreServer::start(&standins)?;
        let classes = serde_json::to_vec(&deployment.class_document()).unwrap_or_default();
        store.overwrite("classes", Bytes::from(classes));
        let authority = identity::TrialAuthority::new()?;
        let plans = deployment.workers();
        let mut mesh = Mesh { deployment, standins, store, hosts: Vec::new(), authority, tune };
        for plan in plans {
            let host = mesh.start_host(plan).await?;
            mesh.hosts.push(host);
        }
        Ok(mesh)
    }

    async fn start_host(&self, plan: deployment::WorkerPlan) -> Result<MeshHost, MeshError> {
        let node = self.start_node(&plan).await?;
        let announce_to = node.announce_address;
        let mut settings = upstream::UpstreamSettings::new(&plan.name, &plan.class, announce_to);
        settings.checks_fences = plan.checks_fences;
        let class = self.deployment.classes.iter().find(|entry| entry.config.name == plan.class);
        if let Some(class) = class {
            settings.service_time = class.service_time;
            settings.cold_start = class.cold_start;
        }
        (self.tune)(&mut settings);
        let upstream = upstream::UpstreamServer::start(&self.standins, settings)?;
        Ok(MeshHost { plan, node: Some(node), upstream })
    }

    /// Starts a node for a host, on new ports.
    pub async fn start_node(
        &self,
        plan: &deployment::WorkerPlan,
    ) -> Result<node::NodeHandle, MeshError> {
        let token = settings::OperatorToken::new(OPERATOR_TOKEN)?;
        let region = self.deployment.region;
        let address = self.store.address();
        let mut node =
            settings::NodeSettings::local_trial(&plan.name, region, plan.zone, address, token);
        node.caller_address = host::ephemeral_address();
        node.peer_address = host::ephemeral_address();
        node.announce_address = host::ephemeral_address();
        node.operator_address = host::ephemeral_address();
        let identity = self.authority.issue(&plan.name)?;
        Ok(node::NodeHandle::start(&node, identity).await?)
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &node::NodeHandle> {
        self.hosts.iter().filter_map(|host| host.node.as_ref())
    }

    /// Returns the addresses at which the running nodes serve callers.
    pub fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        self.nodes().map(|node| node.caller_address).collect()
    }

    /// Returns the indices of the hosts of a class.
    pub fn hosts_of(&self, class: &str) -> Vec<usize> {
        let is_of = |host: &&MeshHost| &*host.plan.class == class;
        let indexed = self.hosts.iter().enumerate();
        indexed.filter(|(_, host)| is_of(host)).map(|(index, _)| index).collect()
    }

    /// Returns the index of the host whose node may serve a key at this moment.
    pub fn owner(&self, class: &str, key: &[u8]) -> Option<usize> {
        let serves =
            |host: &MeshHost| host.node.as_ref().is_some_and(|node| node.serves(class, key));
        self.hosts.iter().position(serves)
    }

    /// Stops a node at once, without a graceful shutdown.
    pub fn kill_node(&mut self, host: usize) {
        if let Some(node) = self.hosts[host].node.take() {
            node.stop();
        }
    }

    /// Stops a node and its upstream at once.
    pub fn kill_host(&mut self, host: usize) {
        self.hosts[host].upstream.crash();
        self.kill_node(host);
    }

    /// Stops a host and starts a new one with the same name, on new ports.
    pub async fn replace_host(&mut self, host: usize) -> Result<(), MeshError> {
        self.kill_host(host);
        let plan = self.hosts[host].plan.clone();
        self.hosts[host] = self.start_host(plan).await?;
        Ok(())
    }

    /// Returns the assignment document in the store, or `None` if it is missing or undecodable.
    pub fn assignment(&self) -> Option<assignment::AssignmentDocument> {
        let (_, value) = self.store.value(&format!("assignment/{}", self.deployment.region))?;
        document::decode_assignment(&value).ok()
    }

    /// Waits until the mesh is ready, every move is settled, every chain has its full length, and
    /// chains and guard sets refer to running nodes only.
    pub async fn wait_until_settled(&self, limit: time::Duration) -> Result<(), MeshError> {
        let deadline = time::Instant::now() + limit;
        while !(self.is_ready() && self.is_settled()) {
            if time::Instant::now() >= deadline {
                return Err(MeshError::NotReady(limit));
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_settled(&self) -> bool {
        let Some(document) = self.assignment() else { return false };
        if self.nodes().any(|node| node.versions().0 != document.epoch) {
            return false;
        }
        let is_running = |member: &assignment::MemberKey| {
            let incarnation = document.member(*member).incarnation;
            self.nodes().any(|node| node.incarnation() == incarnation)
        };
        let has_running_members = |lease: &assignment::LeaseKey| {
            let record = document.lease(*lease);
            is_running(&record.holder) && record.guards.iter().all(is_running)
        };
        let zones = |class: &str| {
            let hosts = self.hosts.iter().filter(|host| &*host.plan.class == class);
            hosts.map(|host| host.plan.zone).collect::<BTreeSet<_>>().len()
        };
        document.classes.iter().all(|class| {
            let length = zones(&class.class).min(assignment::MAX_CHAIN_LENGTH);
            class.slices.iter().all(|slice| {
                slice.previous.is_empty()
                    && slice.chain.len() == length
                    && slice.chain.iter().all(has_running_members)
            })
        })
    }

    /// Waits until every sliced class is served for a sample of keys and every worker is known.
    pub async fn wait_until_ready(&self, limit: time::Duration) -> Result<(), MeshError> {
        let deadline = time::Instant::now() + limit;
        while !self.is_ready() {
            if time::Instant::now() >= deadline {
                return Err(MeshError::NotReady(limit));
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until every sampled key of every sliced class has an owner.
    pub async fn wait_until_served(&self, limit: time::Duration) -> Result<(), MeshError> {
        let deadline = time::Instant::now() + limit;
        while !self.is_served() {
            if time::Instant::now() >= deadline {
                return Err(MeshError::NotReady(limit));
            }
            smol::Timer::after(SERVED_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let hosts = self.hosts.iter().filter(|host| host.node.is_some()).count();
        let worker_count =
            |node: &node::NodeHandle| node.workers().iter().map(|(_, n)| n).sum::<usize>();
        self.nodes().all(|node| worker_count(node) >= hosts) && self.is_served()
    }

    fn is_served(&self) -> bool {
        let mut sliced = self.deployment.classes.iter().filter(|class| class.config.is_sliced());
        sliced.all(|class| {
            let mut keys = (0..SAMPLE_KEYS).map(|key| format!("key-{key}"));
            keys.all(|key| self.owner(&class.config.name, key.as_bytes()).is_some())
        })
    }

    /// Returns a line for each node with its name, zone, and caller and operator addresses.
    pub fn describe(&self) -> Vec<Arc<str>> {
        let line = |node: &node::NodeHandle| {
            let (name, zone) = (node.name(), node.zone());
            let (callers, operators) = (node.caller_address, node.operator_address);
            Arc::from(format!("node {name} zone {zone} callers {callers} operators {operators}"))
        };
        self.nodes().map(line).collect()
    }
}
