//! Departure of upstreams and nodes under load.

use std::sync::Arc;
use std::time;

use cornelridge_standin::caller;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;

use crate::figure;
use crate::setup;

/// Time of the load before the first departure.
const LOAD_BEFORE: time::Duration = time::Duration::from_secs(2);
/// Time of the load from the first departure on.
const LOAD_AFTER: time::Duration = time::Duration::from_secs(9);
/// Time between two departures; the planner replaces each one before the next.
const DEPARTURE_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Requests per second of each class that isn't bulk.
const REQUEST_RATE: f64 = 60.0;
/// Distinct keys of each class.
const KEY_COUNT: u64 = 100;
/// Downloads per second.
const BULK_RATE: f64 = 4.0;
/// Bytes of a download.
const BULK_BYTES: u64 = 1024 * 1024;
/// Service time of a request at the upstream, longer than usual so that many are in flight.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(150);
/// Time after the start of a departure from which a leaving upstream must start no request.
const LATE_WORK_GRACE: time::Duration = time::Duration::from_secs(2);
/// Time within which a mesh must settle.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A way for a host to depart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// The upstream announces that it leaves.
    Upstream,
    /// The node shuts down gracefully.
    Node,
    /// The baseline: the host is lost without an announcement.
    Crash,
}

/// Effects of the departures of one kind on the requests.
#[derive(Clone, Copy, Debug, Default)]
struct DepartureReport {
    requests: u64,
    cut_off: u64,
    crossed_close: u64,
    refused: u64,
    late_work: u64,
}

/// Lets an upstream and then a node of each class leave, and kills hosts as the baseline.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    let mut totals = DepartureReport::default();
    for departure in [Departure::Upstream, Departure::Node] {
        let report = smol::block_on(measure(departure))?;
        let name = format!("drain.{departure:?}").to_lowercase();
        figure::print_count(&format!("{name}.cut_off"), report.cut_off);
        figure::print_count(&format!("{name}.crossed_close"), report.crossed_close);
        figure::print_count(&format!("{name}.not_run"), report.refused);
        figure::print_count(&format!("{name}.late_work"), report.late_work);
        totals.requests += report.requests;
        totals.cut_off += report.cut_off;
        totals.late_work += report.late_work;
    }
    figure::print_count("drain.cut_off", totals.cut_off);
    figure::print_count("drain.late_work", totals.late_work);
    figure::print_count("drain.requests", totals.requests);
    let crash = smol::block_on(measure(Departure::Crash))?;
    figure::print_count("drain.cut_off.crash", crash.cut_off);
    if totals.cut_off > 0 || totals.late_work > 0 {
        return Err(format!("{} cut off, {} late", totals.cut_off, totals.late_work));
    }
    Ok(())
}

async fn measure(departure: Departure) -> Result<DepartureReport, String> {
    let mut mesh = setup::start(deployment::Deployment::bogota(), |upstream| {
        upstream.service_time = SERVICE_TIME;
        upstream.cold_start = time::Duration::ZERO;
    })
    .await?;
    mesh.wait_until_settled(SETTLE_TIMEOUT).await.map_err(|error| error.to_string())?;
    let loads = loads(&mesh);
    let tasks: Vec<_> = loads.into_iter().map(|load| setup::background_load(&mesh, load)).collect();
    smol::Timer::after(LOAD_BEFORE).await;
    // One host of each class leaves; the remaining ones cover two zones of each class.
    let classes: Vec<_> =
        mesh.deployment.classes.iter().map(|class| Arc::clone(&class.config.name)).collect();
    let leaving: Vec<_> = classes.iter().map(|class| mesh.hosts_of(class)[0]).collect();
    let mut departed = Vec::new();
    for host in leaving {
        departed.push((host, time::Instant::now()));
        let pause = smol::Timer::after(DEPARTURE_INTERVAL);
        start_departure(&mut mesh, departure, host).await;
        pause.await;
    }
    let mut report = DepartureReport::default();
    for task in tasks {
        let load = task.await.ok_or("no caller could be started")?;
        println!(
            "# {departure:?}: {:?} {:?} unconnected {}",
            load.outcomes, load.statuses, load.unconnected
        );
        report.requests += load.total();
        report.refused += load.count(caller::CallOutcome::NotRun);
        // A request for which no connection could be made was never in flight.
        let interrupted = load.total()
            - load.count(caller::CallOutcome::Whole)
            - load.count(caller::CallOutcome::NotRun)
            - load.unconnected;
        report.cut_off += interrupted;
        report.crossed_close += load.unanswered_reused;
    }
    let late = |(host, left_at): &(usize, time::Instant)| {
        let executions = mesh.hosts[*host].upstream.executions();
        let late =
            executions.iter().filter(|execution| execution.started > *left_at + LATE_WORK_GRACE);
        late.count() as u64
    };
    report.late_work = departed.iter().map(late).sum();
    Ok(report)
}

async fn start_departure(mesh: &mut mesh::Mesh, departure: Departure, host: usize) {
    match departure {
        Departure::Upstream => mesh.hosts[host].upstream.start_leaving(),
        Departure::Crash => mesh.kill_host(host),
        Departure::Node => {
            if let Some(node) = mesh.hosts[host].node.take() {
                node.shut_down().await;
            }
        }
    }
}

/// Returns the settings of a load on every class, spread over all nodes.
fn loads(mesh: &mesh::Mesh) -> Vec<caller::LoadSettings> {
    let class = |(index, class): (usize, &deployment::ClassDeployment)| {
        let config = &class.config;
        let rate = if config.bulk { BULK_RATE } else { REQUEST_RATE };
        let duration = LOAD_BEFORE + LOAD_AFTER;
        caller::LoadSettings {
            arrival: caller::ArrivalMode::Open(rate),
            total: (rate * duration.as_secs_f64()) as u64,
            duration,
            connections: 40,
            keys: KEY_COUNT,
            idempotency_keys: !config.idempotent,
            answer_bytes: if config.bulk { BULK_BYTES } else { class.answer_bytes },
            first_id: 1 + index as u64 * 1_000_000,
            ..caller::LoadSettings::new(mesh.caller_addresses(), &config.name)
        }
    };
    mesh.deployment.classes.iter().enumerate().map(class).collect()
}
