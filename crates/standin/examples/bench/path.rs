//! Latency and CPU time that two nodes on the path add to a request, compared with direct calls of
//! the upstream.
//!
//! Each node runs in a process of its own; callers, upstreams and the store run in this one.

use std::net;
use std::time;

use bytes::Bytes;
use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::host;
use cornelridge_standin::store;
use cornelridge_standin::upstream;
use tokio_util::sync::CancellationToken;

use crate::figure;
use crate::process;

/// Requests of a measured run.
const REQUESTS: u64 = 40_000;
/// Requests that open the connections and warm the cold upstream up.
const WARM_UP_REQUESTS: u64 = 20_000;
/// Connections of callers.
const CONNECTIONS: u32 = 64;
/// Time for which the CPU time of idle nodes is measured.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Time within which the nodes must serve.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const CLASS: &str = "quote-desk";
const ZONES: [&str; 3] = ["a", "b", "c"];

struct PathBench {
    standins: host::StandinHost,
    callers: host::StandinHost,
    nodes: Vec<process::NodeProcess>,
    upstreams: Vec<upstream::UpstreamServer>,
    _store: store::StoreServer,
    _files: process::NodeFiles,
}

/// Measures the maximum rate in a closed loop, then an open loop at half of that rate.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    smol::block_on(measure())
}

impl PathBench {
    fn start() -> Result<PathBench, String> {
        let standins = host::StandinHost::thread().map_err(|error| error.to_string())?;
        let callers = host::StandinHost::thread().map_err(|error| error.to_string())?;
        let store = store::StoreServer::start(&standins).map_err(|error| error.to_string())?;
        let classes = deployment::Deployment::bogota().class_document();
        let classes = serde_json::to_vec(&classes).unwrap_or_default();
        store.overwrite("classes", Bytes::from(classes));
        let files = process::NodeFiles::new()?;
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for zone in ZONES {
            let name = format!("node-{zone}");
            let node = process::NodeProcess::start(&files, &name, zone, store.address())?;
            let mut settings = upstream::UpstreamSettings::new(&name, CLASS, node.announce_address);
            settings.service_time = time::Duration::ZERO;
            settings.slots = CONNECTIONS;
            let upstream = upstream::UpstreamServer::start(&standins, settings);
            upstreams.push(upstream.map_err(|error| error.to_string())?);
            nodes.push(node);
        }
        Ok(PathBench { standins, callers, nodes, upstreams, _store: store, _files: files })
    }

    fn settings(&self, target: net::SocketAddr, total: u64, first_id: u64) -> caller::LoadSettings {
        caller::LoadSettings {
            total,
            connections: CONNECTIONS,
            keys: 1,
            first_id,
            headers: vec![("cornelridge-caller", "bench".to_owned())],
            ..caller::LoadSettings::new(vec![target], CLASS)
        }
    }

    async fn load(&self, settings: caller::LoadSettings) -> Result<caller::LoadReport, String> {
        let cancel = CancellationToken::new();
        let report = caller::run(&self.callers, settings, &cancel).await;
        report.ok_or_else(|| "no caller could be started".to_owned())
    }

    /// Waits until requests are answered; returns the index of the upstream that executes them.
    async fn wait_until_ready(&self) -> Result<usize, String> {
        let started = time::Instant::now();
        loop {
            let probe = caller::LoadSettings {
                connections: 1,
                ..self.settings(self.nodes[0].caller_address, 1, 1)
            };
            let report = self.load(probe).await?;
            if report.count(caller::CallOutcome::Whole) > 0 {
                let executed = |upstream: &upstream::UpstreamServer| upstream.counts().executed > 0;
                return self.upstreams.iter().position(executed).ok_or("nothing ran".to_owned());
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(format!("the nodes do not serve: {:?}", report.outcomes));
            }
            smol::Timer::after(time::Duration::from_millis(100)).await;
        }
    }

    fn cpu_time(&self) -> time::Duration {
        self.nodes.iter().map(process::NodeProcess::cpu_time).sum()
    }
}

async fn measure() -> Result<(), String> {
    let bench = PathBench::start()?;
    let owner = bench.wait_until_ready().await?;
    let ingress = &bench.nodes[(owner + 1) % bench.nodes.len()];
    let (routed, direct) = (ingress.caller_address, bench.upstreams[owner].address());
    let idle = idle_cpu_share(&bench).await;
    figure::print_number("path.idle_cpu", idle * 100.0, "percent of a core, three nodes");
    check_all_answered(&bench.load(bench.settings(routed, WARM_UP_REQUESTS, 1_000)).await?)?;
    let full = bench.load(bench.settings(routed, REQUESTS, 100_000)).await?;
    check_all_answered(&full)?;
    let rate = full.total() as f64 / full.elapsed.as_secs_f64();
    figure::print_number("path.rate", rate, "requests/s");
    let direct_report = bench.load(bench.settings(direct, REQUESTS, 200_000)).await?;
    let direct_rate = direct_report.total() as f64 / direct_report.elapsed.as_secs_f64();
    figure::print_number("path.rate.direct", direct_rate, "requests/s");
    let half_rate_load = |target, first_id| caller::LoadSettings {
        arrival: caller::ArrivalMode::Open(rate / 2.0),
        ..bench.settings(target, REQUESTS, first_id)
    };
    let before = bench.cpu_time();
    let loaded = bench.load(half_rate_load(routed, 300_000)).await?;
    let cpu_time = bench.cpu_time().saturating_sub(before).as_secs_f64();
    check_all_answered(&loaded)?;
    let direct_report = bench.load(half_rate_load(direct, 400_000)).await?;
    report(&loaded, &direct_report);
    let control = idle * loaded.elapsed.as_secs_f64();
    let micros = (cpu_time - control) * 1e6 / loaded.total() as f64;
    figure::print_number("path.node_cpu", micros, "us/request");
    figure::print_number("path.half_rate", rate / 2.0, "requests/s");
    drop(bench.standins);
    Ok(())
}

/// Returns the CPU time that idle nodes use for control, as a share of one core.
async fn idle_cpu_share(bench: &PathBench) -> f64 {
    let before = bench.cpu_time();
    smol::Timer::after(IDLE_TIME).await;
    bench.cpu_time().saturating_sub(before).as_secs_f64() / IDLE_TIME.as_secs_f64()
}

fn check_all_answered(report: &caller::LoadReport) -> Result<(), String> {
    if report.count(caller::CallOutcome::Whole) == report.total() {
        return Ok(());
    }
    Err(format!("requests failed: {:?}", report.outcomes))
}

fn report(routed: &caller::LoadReport, direct_report: &caller::LoadReport) {
    for (name, percentile) in [("p50", 50.0), ("p99", 99.0)] {
        let millis =
            |report: &caller::LoadReport| report.percentile(percentile).as_secs_f64() * 1e3;
        let added = millis(routed) - millis(direct_report);
        figure::print_number(&format!("path.added_{name}"), added, "ms");
        figure::print_number(&format!("path.added_{name}.direct"), millis(direct_report), "ms");
    }
}
