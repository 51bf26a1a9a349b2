//! Deterministic model of classes, workers and faults that compares routing schemes.
//!
//! A run uses a simulated clock and no I/O; the same scenario and seed give the same report.

mod driver;
mod report;
mod upstream;

use cornelridge_model::time;

pub use report::{ClassReport, ModelReport};

/// Number of slots of each worker.
pub const SLOTS: u32 = 12;
/// Number of connections that each worker accepts; requests beyond its slots wait inside the
/// worker.
pub const CONNECTIONS: usize = 110;

/// How requests are routed to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingScheme {
    /// Routing by the policy crate.
    Policy,
    /// Hash of the key to a worker, without admission, balancing or retries.
    StaticHash,
    /// Worker with the fewest connections of the ingress node, with up to three attempts without
    /// a delay between them.
    LeastConnections,
}

/// One class of requests.
#[derive(Clone, Copy, Debug)]
pub struct ModelClass {
    /// Name of the class.
    pub name: &'static str,
    /// Worker group that serves it.
    pub group: usize,
    /// Whether each key has one owner.
    pub sliced: bool,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Latency target of 99% of the responses.
    pub target: time::Duration,
    /// Deadline of each request.
    pub deadline: time::Duration,
    /// Rank of the class under overload: the highest rank yields first.
    pub yield_rank: u8,
    /// Whether responses are large downloads.
    pub bulk: bool,
    /// Mean service time of a warm worker.
    pub service: time::Duration,
    /// Share of the slots of the group that the class uses at a load of 1.
    pub share: f64,
}

/// The kind of a fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The worker is down, and cold after its restart.
    Down,
    /// The worker makes no progress.
    Frozen,
    /// The worker refuses requests while this many are running.
    Shedding(u32),
    /// Service times are multiplied by this factor at any concurrency.
    Slow(u32),
    /// Service times grow with the concurrency above this many running requests.
    Contended(u32),
    /// The worker's node reports no load.
    FalseHints,
}

/// A fault of one worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFault {
    /// Index of the worker over all groups.
    pub worker: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault.
    pub from: time::Instant,
    /// End of the fault.
    pub until: time::Instant,
}

/// A scenario: a mix of classes with their load and faults.
#[derive(Clone, Debug)]
pub struct LoadModel {
    /// Name of the scenario.
    pub name: &'static str,
    /// The classes.
    pub classes: Vec<ModelClass>,
    /// Number of workers of each group.
    pub groups: Vec<usize>,
    /// Ratio of offered load to capacity.
    pub load: f64,
    /// Duration of the run.
    pub length: time::Duration,
    /// Faults of workers.
    pub faults: Vec<WorkerFault>,
    /// Time from which a caller repeats a request that crashes each worker that runs it.
    pub poison_from: Option<time::Instant>,
}

const LENGTH: time::Duration = time::Duration::from_secs(30);
const DEFAULT_LOAD: f64 = 0.6;
const FAULT_FROM: time::Instant = time::Instant(8_000_000);
const FAULT_UNTIL: time::Instant = time::Instant(16_000_000);

impl LoadModel {
    /// Returns the Bogotá mix: four workers for quotes and metal prices, three for payouts, three
    /// for lot downloads.
    pub fn bogota() -> LoadModel {
        LoadModel::of(vec![
            class("quote-desk", 0, 100, 1_000, 1, 20, 0.75).sliced(),
            class("metal-price", 0, 50, 500, 3, 5, 0.25),
            class("payout-hub", 1, 200, 2_000, 0, 30, 1.0).sliced().at_most_once(),
            class("lot-vault", 2, 10_000, 15_000, 2, 2_000, 0.7).bulk(),
        ])
    }

    /// Returns the Nairobi mix: four workers for prices, three for orders, three for the catalogue
    /// and its drawings.
    pub fn nairobi() -> LoadModel {
        LoadModel::of(vec![
            class("pricebook", 0, 50, 500, 1, 10, 1.0).sliced(),
            class("orderdesk", 1, 200, 2_000, 0, 40, 1.0).sliced().at_most_once(),
            class("catalogue", 2, 80, 800, 2, 15, 0.4),
            class("drawings", 2, 8_000, 15_000, 3, 1_500, 0.4).bulk(),
        ])
    }

    /// Returns every scenario for this mix.
    pub fn scenarios(&self) -> Vec<LoadModel> {
        let last = self.groups.iter().sum::<usize>() - 1;
        let fault = |name, kind| {
            let fault = |worker| WorkerFault { worker, kind, from: FAULT_FROM, until: FAULT_UNTIL };
            LoadModel { name, faults: vec![fault(0), fault(last)], ..self.clone() }
        };
        vec![
            LoadModel { name: "steady", ..self.clone() },
            LoadModel { name: "overload 2x", load: 2.0, ..self.clone() },
            fault("down 8 s", FaultKind::Down),
            fault("frozen 8 s", FaultKind::Frozen),
            fault("shedding above 4", FaultKind::Shedding(4)),
            fault("slow 4x", FaultKind::Slow(4)),
            fault("contended above 4", FaultKind::Contended(4)),
            fault("lying hints", FaultKind::FalseHints),
            LoadModel { name: "crashing request", poison_from: Some(FAULT_FROM), ..self.clone() },
        ]
    }

    /// Runs the model.
    pub fn run(&self, scheme: RoutingScheme, seed: u64) -> ModelReport {
        driver::ModelRun::new(self, scheme, seed).run()
    }

    fn of(classes: Vec<ModelClass>) -> LoadModel {
        LoadModel {
            name: "steady",
            classes,
            groups: vec![4, 3, 3],
            load: DEFAULT_LOAD,
            length: LENGTH,
            faults: Vec::new(),
            poison_from: None,
        }
    }
}

fn class(
    name: &'static str,
    group: usize,
    target_ms: u64,
    deadline_ms: u64,
    yield_rank: u8,
    service_ms: u64,
    share: f64,
) -> ModelClass {
    ModelClass {
        name,
        group,
        sliced: false,
        idempotent: true,
        target: time::Duration::from_millis(target_ms),
        deadline: time::Duration::from_millis(deadline_ms),
        yield_rank,
        bulk: false,
        service: time::Duration::from_millis(service_ms),
        share,
    }
}

impl ModelClass {
    fn sliced(self) -> ModelClass {
        ModelClass { sliced: true, ..self }
    }

    fn at_most_once(self) -> ModelClass {
        ModelClass { idempotent: false, ..self }
    }

    fn bulk(self) -> ModelClass {
        ModelClass { bulk: true, ..self }
    }
}
