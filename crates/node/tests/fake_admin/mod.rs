//! Fake node behind a real operators' endpoint.

// Each test binary that includes this module uses a different part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

use cornelridge::operators::{
    self, AdminFuture, ChangeError, ClassChange, ClassHistory, NotReady, RetireError,
};
use cornelridge::settings;
use cornelridge_model::{class, ident, key, report};
use tokio_util::sync::CancellationToken;

pub(crate) const TOKEN: &str = "token-for-operators-1";

/// State of the store behind the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Up,
    Down,
    LosesResponses,
}

pub(crate) struct FakeState {
    pub(crate) document: class::ClassDocument,
    pub(crate) history: ClassHistory,
    pub(crate) store: StoreMode,
    pub(crate) live: bool,
    pub(crate) ready: bool,
    pub(crate) drain_count: u32,
    pub(crate) retired: Vec<String>,
    pub(crate) call_count: u32,
}

pub(crate) struct FakeAdmin(Mutex<FakeState>);

pub(crate) fn class_named(name: &str) -> class::ClassConfig {
    class::ClassConfig {
        name: Arc::from(name),
        division: class::KeyDivision::ByKey,
        idempotent: true,
        target_ms: 20,
        target_percentile: 99.0,
        deadline_ms: 200,
        yield_rank: 1,
        bulk: false,
        record_window_s: 600,
        prefer: class::BalancePreference::FewestMoves,
    }
}

impl FakeAdmin {
    /// Creates node `n1` at revision 4 with the classes `lookup` (any worker) and `quote-desk`.
    pub(crate) fn new() -> Arc<FakeAdmin> {
        let any = class::KeyDivision::AnyWorker;
        let lookup = class::ClassConfig { division: any, ..class_named("lookup") };
        let document = class::ClassDocument {
            revision: ident::RevisionNumber(4),
            change_id: 1,
            classes: vec![lookup, class_named("quote-desk")],
        };
        let mut history = ClassHistory::default();
        history.record(&document);
        Arc::new(FakeAdmin(Mutex::new(FakeState {
            document,
            history,
            store: StoreMode::Up,
            live: true,
            ready: true,
            drain_count: 0,
            retired: Vec::new(),
            call_count: 0,
        })))
    }

    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut FakeState) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }

    fn count_call<T>(&self, respond: impl FnOnce(&mut FakeState) -> T) -> T {
        self.with(|state| {
            state.call_count += 1;
            respond(state)
        })
    }
}

impl operators::NodeAdmin for FakeAdmin {
    fn status(&self) -> report::StatusReport {
        let revision = self.count_call(|state| state.document.revision);
        let node = |name: &str, revision: u64, lagging| report::NodeReport {
            node: Arc::from(name),
            zone: Arc::from("bog-norte"),
            incarnation: ident::IncarnationId(0xab),
            state: report::NodeState::Alive,
            revision: Some(ident::RevisionNumber(revision)),
            epoch: Some(ident::EpochNumber(9)),
            lagging,
            upstream: Some(report::UpstreamReport {
                class: Arc::from("quote-desk"),
                address: None,
                in_flight: 3,
                queued: 2,
                limit: 12,
                accepting: true,
                checks_fences: false,
            }),
        };
        let owner = |name: &str| report::OwnerCount { node: Arc::from(name), slices: 64 };
        report::StatusReport {
            node: Arc::from("n1"),
            region: Arc::from("bogota"),
            zone: Arc::from("bog-norte"),
            incarnation: ident::IncarnationId(0xab),
            revision,
            lowest_revision: Some(ident::RevisionNumber(3)),
            epoch: ident::EpochNumber(9),
            store_seen: true,
            planner: Some(Arc::from("n2")),
            draining: false,
            nodes: vec![node("n1", revision.0, false), node("n2", 3, true)],
            classes: vec![report::ClassOwners {
                class: Arc::from("quote-desk"),
                slices: 128,
                unsettled: 1,
                owners: vec![owner("n1"), owner("n2")],
            }],
        }
    }

    fn dump(&self) -> serde_json::Value {
        self.count_call(
            |state| serde_json::json!({"node": "n1", "revision": state.document.revision}),
        )
    }

    fn is_live(&self) -> bool {
        self.count_call(|state| state.live)
    }

    fn readiness(&self) -> Result<(), NotReady> {
        let (reason, remedy) = ("no document".to_owned(), "start the store".to_owned());
        let ready = self.count_call(|state| state.ready);
        if ready { Ok(()) } else { Err(NotReady { reason, remedy }) }
    }

    fn classes(&self) -> class::ClassDocument {
        self.count_call(|state| state.document.clone())
    }

    fn change_class(
        &self,
        change: ClassChange,
    ) -> AdminFuture<'_, Result<ident::RevisionNumber, ChangeError>> {
        Box::pin(async move {
            self.count_call(|state| {
                let reason = "no answer".to_owned();
                if state.store == StoreMode::Down {
                    return Err(ChangeError::StoreUnavailable { reason });
                }
                let next = operators::apply_change(&state.document, &state.history, &change, 2)?;
                state.history.record(&next);
                state.document = next;
                if state.store == StoreMode::LosesResponses {
                    return Err(ChangeError::OutcomeUnknown { reason });
                }
                Ok(state.document.revision)
            })
        })
    }

    fn drain(&self) -> AdminFuture<'_, report::DrainReport> {
        self.count_call(|state| state.drain_count += 1);
        let node = Arc::from("n1");
        Box::pin(async { report::DrainReport { node, in_flight: 3, slices: 64, limit_s: 30 } })
    }

    fn owner(&self, class: &str, key: &[u8]) -> Result<report::OwnerReport, NotReady> {
        let epoch = self.count_call(|_| ident::EpochNumber(9));
        let lease = ident::LeaseId { incarnation: ident::IncarnationId(0xab), generation: 1 };
        let (node, zone) = (Arc::from("n1"), Arc::from("bog-norte"));
        Ok(report::OwnerReport {
            class: Arc::from(class),
            key: String::from_utf8(key.to_vec()).unwrap(),
            hash: format!("{:016x}", key::KeyHash::of(class, key).0),
            slice: "0000000000000000".to_owned(),
            epoch,
            owner: Some(Arc::from("n1")),
            settled: true,
            since: ident::EpochNumber(7),
            chain: vec![report::ChainReport { node, zone, lease, expired: false }],
        })
    }

    fn retire(
        &self,
        node: &str,
        confirmed: bool,
    ) -> AdminFuture<'_, Result<report::RetireReport, RetireError>> {
        let node: Arc<str> = Arc::from(node);
        assert!(confirmed, "the endpoint must refuse an unconfirmed retirement");
        Box::pin(async move {
            match &*node {
                "n1" => Err(RetireError::StillAlive { node }),
                "n2" => {
                    self.count_call(|state| state.retired.push(node.to_string()));
                    let incarnation = ident::IncarnationId(0xcd);
                    let leases = vec![ident::LeaseId { incarnation, generation: 2 }];
                    Ok(report::RetireReport { node, leases, epoch: ident::EpochNumber(10) })
                }
                _ => Err(RetireError::UnknownNode { node }),
            }
        })
    }
}

/// Endpoint of a fake node on a free loopback port, stopped when dropped.
pub(crate) struct FakeNode {
    pub(crate) address: SocketAddr,
    cancel: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl FakeNode {
    pub(crate) fn start(admin: &Arc<FakeAdmin>) -> FakeNode {
        let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let token = settings::OperatorToken::new(TOKEN).unwrap();
        let endpoint = operators::OperatorEndpoint::new("n1", token, Arc::clone(admin) as _);
        let cancel = CancellationToken::new();
        let stop = cancel.clone();
        let serve = move || smol::block_on(endpoint.serve(listener, stop));
        FakeNode { address, cancel, thread: Some(thread::spawn(serve)) }
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.cancel.cancel();
        let result = self.thread.take().map(thread::JoinHandle::join);
        assert!(matches!(result, Some(Ok(()))), "the endpoint must end without a panic");
    }
}
