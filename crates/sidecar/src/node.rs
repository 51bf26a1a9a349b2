//! Start and shutdown of a node.

use std::net;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use cornelridge_fleet::budget;
use cornelridge_fleet::grant;
use cornelridge_fleet::member;
use cornelridge_fleet::memory_budget;
use cornelridge_fleet::route;
use cornelridge_fleet::selection;
use cornelridge_model::time;
use cornelridge_wire::{identity, transport};
use event_listener::Event;
use http::StatusCode;
use smol::net::TcpListener;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use crate::adapter;
use crate::bounded;
use crate::clock;
use crate::dispatch;
use crate::feed;
use crate::follow;
use crate::follow::operator_items;
use crate::forward;
use crate::grant_calls;
use crate::health;
use crate::http_server;
use crate::in_flight;
use crate::ingress;
use crate::lapse_watch;
use crate::link_watch;
use crate::loads;
use crate::memory;
use crate::pacing;
use crate::peers;
use crate::planning;
use crate::reports;
use crate::session;
use crate::settings;
use crate::shutdown;
use crate::suspects;
use crate::usage_watch;
use crate::view;
use crate::worker;

/// Limits for all addresses other than the one for callers.
const INTERNAL_LIMITS: http_server::ServerLimits = http_server::ServerLimits {
    header_bytes: 16 * 1024,
    header_timeout: time::Duration::from_secs(10),
    idle_timeout: time::Duration::from_secs(30),
    buffer_bytes: bounded::INTERNAL_BUFFER_BYTES,
};
/// Unread data of a stream to another node, in bytes, if the memory of the process is limited. It
/// fills a link of 200 Mbit/s at round trips of 2 ms.
const LIMITED_WINDOW_BYTES: u32 = 64 * 1024;
/// Limits for callers before a configuration is known.
const INITIAL_LIMITS: http_server::ServerLimits = http_server::ServerLimits {
    header_bytes: 16 * 1024,
    header_timeout: time::Duration::from_secs(3),
    idle_timeout: time::Duration::from_secs(15),
    buffer_bytes: bounded::CLIENT_BUFFER_BYTES,
};
/// Time for which a stopping node still accepts connections: callers use another node after two
/// failed readiness checks, which they make once a second.
const ACCEPT_PERIOD: time::Duration = time::Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Interval between two checks for requests in flight while the node stops.
const IDLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Number of consecutive checks without requests in flight before the node ends, so that the last
/// bytes of responses are sent.
const IDLE_CHECKS: u32 = 4;
/// Longest wait until the other nodes have been notified that their connections are closed.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Interval between two removals of stale state of workers and routes.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The error of a node that can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address can't be bound.
    #[error(
        "can't listen on {address} for {purpose}: {source}; choose a free address of this host"
    )]
    Listen {
        /// Purpose of the address.
        purpose: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The QUIC endpoint can't be opened.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// No certificate can be created.
    #[error(transparent)]
    Identity(#[from] identity::IdentityError),
}

/// A running node.
pub struct SidecarNode {
    settings: settings::SidecarSettings,
    view: Arc<view::FleetView>,
    entry_changed: Arc<Event>,
    is_leaving: Arc<AtomicBool>,
    /// Cancelled when connections of callers must close after their current response.
    closing: CancellationToken,
    /// Cancelled when the node no longer accepts connections of callers.
    accept_stopped: CancellationToken,
    /// Cancelled when the node has shut down.
    stop: CancellationToken,
    shutdown_deadline: shutdown::ShutdownDeadline,
    in_flight: in_flight::InFlightCounter,
    memory: memory::ProcessMemory,
    local_worker: Arc<worker::LocalWorker>,
    endpoint: transport::NodeEndpoint,
    /// Addresses at which the node listens.
    pub addresses: adapter::NodeAddresses,
}

async fn listen(
    purpose: &'static str,
    address: net::SocketAddr,
) -> Result<TcpListener, StartError> {
    let failed = |source| StartError::Listen { purpose, address, source };
    TcpListener::bind(address).await.map_err(failed)
}

impl SidecarNode {
    /// Binds all addresses and starts the tasks of the node.
    pub async fn start(
        settings: settings::SidecarSettings,
        adapter: adapter::PlatformAdapter,
    ) -> Result<SidecarNode, StartError> {
        let callers = listen("callers", settings.callers).await?;
        let readiness = listen("readiness", settings.readiness).await?;
        let report_listener = listen("reports", settings.reports).await?;
        let metrics_listener = match settings.metrics {
            Some(address) => Some(listen("metrics", address).await?),
            None => None,
        };
        let view = Arc::new(view::FleetView::default());
        let (identity, pin) = identity::TlsIdentity::pinned(&settings.node, view.pins.clone())?;
        let endpoint = transport::NodeEndpoint::bind(transport::EndpointSettings {
            max_unacknowledged_bytes: pacing::unacknowledged_bytes(settings.link_bytes_per_second),
            stream_window_bytes: match settings.memory_bytes {
                Some(_) => LIMITED_WINDOW_BYTES,
                None => transport::STREAM_WINDOW_BYTES,
            },
            ..transport::EndpointSettings::new(settings.peers, identity)
        })?;
        let bound =
            |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
        let addresses = adapter::NodeAddresses {
            callers: bound(&callers, settings.callers),
            peers: endpoint.local_address(),
            readiness: bound(&readiness, settings.readiness),
            reports: bound(&report_listener, settings.reports),
        };
        let mut random = fastrand::Rng::new();
        let node = Arc::clone(&settings.node);
        let shutdown_deadline = shutdown::ShutdownDeadline::default();
        let pacer = pacing::ResponsePacer::new(settings.link_bytes_per_second, endpoint.clone());
        let local_worker = worker::LocalWorker::new(
            &settings,
            shutdown_deadline.clone(),
            pacer,
            Arc::clone(&view.suspects),
        );
        let local_worker = Arc::new(local_worker);
        let memory = memory::ProcessMemory::new(memory_budget::ProcessLimits {
            memory_bytes: settings.memory_bytes,
            descriptors: settings.max_descriptors,
        });
        smol::spawn(memory.clone().watch()).detach();
        let started = SidecarNode {
            view: Arc::clone(&view),
            entry_changed: Arc::new(Event::new()),
            is_leaving: Arc::default(),
            closing: CancellationToken::new(),
            accept_stopped: CancellationToken::new(),
            stop: CancellationToken::new(),
            shutdown_deadline,
            in_flight: in_flight::InFlightCounter::default(),
            memory: memory.clone(),
            local_worker: Arc::clone(&local_worker),
            endpoint: endpoint.clone(),
            addresses,
            settings,
        };
        let base = member::MemberEntry {
            node,
            run: random.u64(..),
            zone: Arc::clone(&started.settings.zone),
            peer: addresses.peers,
            pin: pin.into(),
            state: member::MemberState::Serving,
            worker: None,
        };
        let view = Arc::clone(&started.view);
        let links = peers::PeerLinks { endpoint, view, pins: Arc::default(), memory };
        started.spawn_control(&adapter, &local_worker, &links, base, report_listener);
        started.spawn_planning(&adapter, &local_worker, &links);
        started.spawn_suspects(&adapter, &links);
        started.spawn_requests(&adapter, &local_worker, links, callers, random);
        started.spawn_status(&adapter, readiness, metrics_listener);
        Ok(started)
    }

    fn spawn_control(
        &self,
        adapter: &adapter::PlatformAdapter,
        local_worker: &Arc<worker::LocalWorker>,
        links: &peers::PeerLinks,
        base: member::MemberEntry,
        listener: TcpListener,
    ) {
        let (store, view) = (&adapter.store, &self.view);
        let reader = feed::FeedReader {
            node: Arc::clone(&base.node),
            format: Arc::clone(&adapter.format),
            view: Arc::clone(view),
            links: links.clone(),
            local_worker: Arc::clone(local_worker),
        };
        smol::spawn(follow::follow_fleet(Arc::clone(store), Arc::clone(view), reader)).detach();
        let format = Arc::clone(&adapter.format);
        let node = Arc::clone(&base.node);
        let follow =
            operator_items::follow_config(Arc::clone(store), Arc::clone(view), format, node);
        smol::spawn(follow).detach();
        let session = session::EntrySession {
            store: Arc::clone(store),
            view: Arc::clone(view),
            local_worker: Arc::clone(local_worker),
            service: Arc::clone(&self.settings.service),
            base,
            changed: Arc::clone(&self.entry_changed),
            is_leaving: Arc::clone(&self.is_leaving),
        };
        smol::spawn(session.run()).detach();
        smol::spawn(Arc::clone(local_worker).watch_queue()).detach();
        smol::spawn(Arc::clone(local_worker).watch_silence()).detach();
        let checker = health::HealthChecker {
            local_worker: Arc::clone(local_worker),
            view: Arc::clone(view),
            format: Arc::clone(&adapter.format),
        };
        smol::spawn(checker.run()).detach();
        let node = Arc::clone(&self.settings.node);
        smol::spawn(lapse_watch::watch(node, Arc::clone(view), self.endpoint.clone())).detach();
        smol::spawn(link_watch::watch(Arc::clone(local_worker), self.endpoint.clone())).detach();
        smol::spawn(Arc::clone(&local_worker.pacer).run()).detach();
        let handler = Arc::new(reports::ReportHandler {
            local_worker: Arc::clone(local_worker),
            view: Arc::clone(view),
            format: Arc::clone(&adapter.format),
            max_hold: self.settings.max_hold,
            delivery: self.settings.grant_delivery,
            entry_changed: Arc::clone(&self.entry_changed),
        });
        if self.settings.grant_delivery == grant::GrantDelivery::Calls {
            let caller = grant_calls::GrantCaller {
                local_worker: Arc::clone(local_worker),
                view: Arc::clone(view),
                format: Arc::clone(&adapter.format),
                max_hold: self.settings.max_hold,
            };
            smol::spawn(caller.run()).detach();
        }
        let entry_changed = Arc::clone(&self.entry_changed);
        let local_worker = Arc::clone(local_worker);
        smol::spawn(async move {
            loop {
                local_worker.changed().await;
                entry_changed.notify(usize::MAX);
            }
        })
        .detach();
        let stop = self.stop.clone();
        smol::spawn(http_server::serve(
            listener,
            || INTERNAL_LIMITS,
            CancellationToken::new(),
            stop,
            Arc::default(),
            self.memory.clone(),
            move |memory, request| {
                let handler = Arc::clone(&handler);
                async move { handler.handle(&memory, request).await }
            },
        ))
        .detach();
    }

    fn spawn_suspects(&self, adapter: &adapter::PlatformAdapter, links: &peers::PeerLinks) {
        let replicator = suspects::SuspectReplicator {
            node: Arc::clone(&self.settings.node),
            service: Arc::clone(&self.settings.service),
            store: Arc::clone(&adapter.store),
            view: Arc::clone(&self.view),
            links: links.clone(),
        };
        smol::spawn(replicator.clone().send_notices_to_members()).detach();
        smol::spawn(replicator.store_refusals()).detach();
    }

    fn spawn_planning(
        &self,
        adapter: &adapter::PlatformAdapter,
        local_worker: &Arc<worker::LocalWorker>,
        links: &peers::PeerLinks,
    ) {
        let snapshot = Arc::default();
        let planner = planning::RangePlanner {
            node: Arc::clone(&self.settings.node),
            store: Arc::clone(&adapter.store),
            view: Arc::clone(&self.view),
            local_worker: Arc::clone(local_worker),
            loads: Arc::clone(&snapshot),
        };
        smol::spawn(planner.run()).detach();
        let collector = loads::LoadCollector {
            node: Arc::clone(&self.settings.node),
            view: Arc::clone(&self.view),
            local_worker: Arc::clone(local_worker),
            links: links.clone(),
            snapshot,
            fences: Mutex::default(),
            missed_polls: Mutex::default(),
        };
        smol::spawn(collector.run()).detach();
    }

    fn spawn_requests(
        &self,
        adapter: &adapter::PlatformAdapter,
        local_worker: &Arc<worker::LocalWorker>,
        links: peers::PeerLinks,
        callers: TcpListener,
        random: fastrand::Rng,
    ) {
        let (settings, view) = (&self.settings, &self.view);
        let dispatch = dispatch::WorkerDispatch {
            zone: Arc::clone(&settings.zone),
            local_worker: Arc::clone(local_worker),
            view: Arc::clone(view),
            format: Arc::clone(&adapter.format),
        };
        smol::spawn(links.clone().serve(dispatch.clone())).detach();
        let forwarder = Arc::new(forward::RequestForwarder {
            node: Arc::clone(&settings.node),
            zone: Arc::clone(&settings.zone),
            view: Arc::clone(view),
            dispatch,
            links,
            selector: Mutex::new(selection::WorkerSelector::default()),
            budget: Mutex::new(budget::RetryBudget::new(settings.retries)),
            part_selector: Mutex::new(route::PartSelector::default()),
            random: Mutex::new(random),
            candidate_sets: Mutex::default(),
            zone_traffic: settings.economizes_zones.then(Mutex::default),
        });
        let ends = usage_watch::SharedEnds::default();
        smol::spawn(usage_watch::watch(Arc::clone(local_worker), Arc::clone(&ends))).detach();
        let ingress = Arc::new(ingress::CallerIngress {
            service: Arc::clone(&settings.service),
            view: Arc::clone(view),
            forwarder: Arc::clone(&forwarder),
            format: Arc::clone(&adapter.format),
            in_flight: self.in_flight.clone(),
            shutdown_deadline: self.shutdown_deadline.clone(),
            pacer: Arc::clone(&local_worker.pacer),
            return_times: Mutex::default(),
            first_requests: Mutex::default(),
            ends,
        });
        smol::spawn(async move {
            loop {
                clock::sleep(CLEANUP_INTERVAL).await;
                forwarder.remove_stale();
                forwarder.view.expire_evacuations();
            }
        })
        .detach();
        let limits = {
            let view = Arc::clone(view);
            move || caller_limits(&view)
        };
        let handler = move |memory, request| {
            let ingress = Arc::clone(&ingress);
            async move { ingress.handle(&memory, request).await }
        };
        let memory = self.memory.clone();
        let (closing, accept_stopped) = (self.closing.clone(), self.accept_stopped.clone());
        let sent = Arc::clone(&local_worker.pacer.sent_to_callers);
        let served =
            http_server::serve(callers, limits, closing, accept_stopped, sent, memory, handler);
        smol::spawn(served).detach();
    }

    fn spawn_status(
        &self,
        adapter: &adapter::PlatformAdapter,
        readiness: TcpListener,
        metrics: Option<TcpListener>,
    ) {
        let format = Arc::clone(&adapter.format);
        let (view, is_leaving) = (Arc::clone(&self.view), Arc::clone(&self.is_leaving));
        let ready = move |_, request: http::Request<hyper::body::Incoming>| {
            let is_known = request.uri().path() == format.readiness_path();
            let is_ready = view.config().is_some()
                && view.is_loaded.load(Ordering::Relaxed)
                && !is_leaving.load(Ordering::Relaxed);
            async move {
                match (is_known, is_ready) {
                    (false, _) => http_server::plain(StatusCode::NOT_FOUND, "no such path"),
                    (true, false) => {
                        http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
                    }
                    (true, true) => http_server::plain(StatusCode::OK, "ready"),
                }
            }
        };
        let never = CancellationToken::new;
        let limits = || INTERNAL_LIMITS;
        let stop = || self.stop.clone();
        let (sent, memory) = (Arc::default, || self.memory.clone());
        let served =
            http_server::serve(readiness, limits, never(), stop(), sent(), memory(), ready);
        smol::spawn(served).detach();
        if let Some(listener) = metrics {
            let text = adapter.metrics;
            let respond = move |_, _| async move { http_server::plain(StatusCode::OK, text()) };
            let served =
                http_server::serve(listener, limits, never(), stop(), sent(), memory(), respond);
            smol::spawn(served).detach();
        }
    }

    /// Shuts the node down: readiness checks fail and connections of callers close after their
    /// responses, so that callers use other nodes. Then waits for requests in flight, up to the
    /// grace period, and stops.
    pub async fn shut_down(&self) {
        let started = clock::now();
        let end = started + self.settings.grace.saturating_sub(EXIT_MARGIN);
        self.shutdown_deadline.set(end);
        self.is_leaving.store(true, Ordering::Relaxed);
        self.entry_changed.notify(usize::MAX);
        self.closing.cancel();
        let mut idle_checks = 0;
        while clock::now() < end && idle_checks < IDLE_CHECKS {
            clock::sleep(IDLE_CHECK_INTERVAL).await;
            if clock::now().since(started) < ACCEPT_PERIOD {
                continue;
            }
            // New requests might not be answered before the forced end.
            self.accept_stopped.cancel();
            self.local_worker.close();
            let is_idle = self.in_flight.current() == 0 && self.local_worker.in_flight() == 0;
            idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        }
        log::info!(
            callers = self.in_flight.current(), at_worker = self.local_worker.in_flight(),
            time_us = clock::now().since(started).0; "node stops"
        );
        // Notifies the other nodes at once that their connections are closed.
        self.endpoint.close();
        clock::timeout(CLOSE_TIMEOUT, self.endpoint.wait_closed()).await;
        self.stop.cancel();
    }
}

fn caller_limits(view: &view::FleetView) -> http_server::ServerLimits {
    let Some(config) = view.config() else { return INITIAL_LIMITS };
    http_server::ServerLimits {
        header_bytes: config.config.limits.header_bytes,
        header_timeout: config.config.limits.header_timeout,
        idle_timeout: config.config.limits.idle_timeout,
        buffer_bytes: bounded::CLIENT_BUFFER_BYTES,
    }
}
