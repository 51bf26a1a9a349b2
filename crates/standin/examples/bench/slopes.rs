//! Cost of control per node, measured at several mesh sizes and extrapolated to the design size.

use std::fs;
use std::net;
use std::sync::Arc;
use std::time;

use cornelridge::metering;
use cornelridge_control::planner;
use cornelridge_model::ident;
use cornelridge_model::time as model_time;
use cornelridge_ownership as ownership;
use cornelridge_standin::deployment;
use cornelridge_standin::mesh;
use cornelridge_standin::store;
use cornelridge_wire::document;

use crate::figure;
use crate::setup;

/// Nodes of the measured meshes.
const MESH_SIZES: [u32; 4] = [4, 8, 16, 32];
/// Nodes of one region at the design size.
const REGION_NODES: f64 = 157.0;
/// Regions at the design size.
const REGIONS: f64 = 7.0;
/// Time in which a mesh settles before it is measured: during a start all nodes pull each document,
/// which an idle mesh doesn't.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(14);
/// Time for which an idle mesh is measured.
const MEASURED_TIME: time::Duration = time::Duration::from_secs(6);
/// Bytes of the IP and UDP headers of one datagram; QUIC's own are in `QUIC_OVERHEAD_BYTES`.
const IP_UDP_HEADER_BYTES: f64 = 28.0;
/// Bytes that QUIC adds to a control message: header, frame type and length, and tag.
const QUIC_OVERHEAD_BYTES: f64 = 32.0;
/// Clock ticks per second in `/proc` on Linux.
const TICKS_PER_SEC: f64 = 100.0;
/// Ownership machines whose memory is measured together.
const MACHINE_COUNT: u64 = 16;
/// Repetitions of a timed call.
const REPETITIONS: u32 = 200;

/// Costs measured at one mesh size, per node except for the store calls of the mesh.
#[derive(Clone, Copy, Debug)]
struct SlopePoint {
    nodes: f64,
    cpu_percent: f64,
    memory_mb: f64,
    traffic_kb: f64,
    store_calls: f64,
}

/// Measures idle meshes, and the state machines at the size of a region.
pub(crate) fn run(_args: &[String]) -> Result<(), String> {
    let mut points = Vec::new();
    for size in MESH_SIZES {
        let point = smol::block_on(measure(size))?;
        let name = format!("slopes.points.{size}");
        figure::print_number(&format!("{name}.control_cpu"), point.cpu_percent, "percent");
        figure::print_number(&format!("{name}.control_memory"), point.memory_mb, "MB");
        figure::print_number(&format!("{name}.control_traffic"), point.traffic_kb, "KB/s");
        figure::print_number(&format!("{name}.store_calls"), point.store_calls, "calls/s, mesh");
        points.push(point);
    }
    let at_region = |value: fn(&SlopePoint) -> f64| fit(&points, value, REGION_NODES);
    figure::print_number("slopes.control_cpu", at_region(|point| point.cpu_percent), "percent");
    figure::print_number("slopes.control_memory", at_region(|point| point.memory_mb), "MB");
    figure::print_number("slopes.control_traffic", at_region(|point| point.traffic_kb), "KB/s");
    let calls = at_region(|point| point.store_calls) * REGIONS;
    figure::print_number("slopes.store_calls", calls, "calls/s");
    measure_state_machines()
}

/// Returns a deployment with one class, which is divided by key and whose workers are all idle.
fn region(workers: u32) -> deployment::Deployment {
    let mut region = deployment::Deployment::bogota();
    region.classes.retain(|class| &*class.config.name == "quote-desk");
    region.classes.iter_mut().for_each(|class| class.workers = workers);
    region
}

async fn measure(size: u32) -> Result<SlopePoint, String> {
    let memory = resident_mb();
    let mesh = setup::start(region(size), |_| {}).await?;
    smol::Timer::after(SETTLE_TIME).await;
    let (cpu, bytes, datagrams) = (node_cpu_time(), control_bytes(), udp_datagrams());
    let calls = store_calls(&mesh);
    smol::Timer::after(MEASURED_TIME).await;
    let secs = MEASURED_TIME.as_secs_f64();
    let nodes = f64::from(size);
    let payload = control_bytes() - bytes;
    // The machine counts each datagram once as sent; each is also received by a node.
    let overhead =
        (udp_datagrams() - datagrams) * 2.0 * (IP_UDP_HEADER_BYTES + QUIC_OVERHEAD_BYTES);
    let point = SlopePoint {
        nodes,
        cpu_percent: (node_cpu_time() - cpu).as_secs_f64() / secs / nodes * 100.0,
        memory_mb: (resident_mb() - memory) / nodes,
        traffic_kb: (payload + overhead) / secs / nodes / 1e3,
        store_calls: (store_calls(&mesh) - calls) / secs,
    };
    drop(mesh);
    Ok(point)
}

/// Fits a least-squares line to the points and returns its value at `nodes`.
fn fit(points: &[SlopePoint], value: fn(&SlopePoint) -> f64, nodes: f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.nodes).sum::<f64>() / count;
    let mean_y = points.iter().map(value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.nodes - mean_x) * (value(point) - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.nodes - mean_x).powi(2)).sum();
    mean_y + covariance / variance * (nodes - mean_x)
}

fn store_calls(mesh: &mesh::Mesh) -> f64 {
    let store::CallCounts { gets, puts, watches, lists, leases, .. } = mesh.store.counts();
    (gets + puts + watches + lists + leases) as f64
}

/// Returns the bytes of control payload that all nodes of this process have sent and received.
fn control_bytes() -> f64 {
    let text = metering::render();
    let lines = text.lines().filter(|line| line.starts_with(metering::CONTROL_BYTES));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Returns the UDP datagrams sent on this machine; nothing else may use UDP during the measurement.
fn udp_datagrams() -> f64 {
    let text = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let line = text.lines().filter(|line| line.starts_with("Udp:")).nth(1);
    let sent = line.and_then(|line| line.split_whitespace().nth(4)?.parse().ok());
    sent.unwrap_or_default()
}

fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 =
        text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * 4096.0 / 1e6
}

/// Returns the CPU time of the threads that run nodes; stand-ins run on other threads.
fn node_cpu_time() -> time::Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return time::Duration::ZERO };
    let stats = tasks.flatten();
    let stats = stats.filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|stat| thread_ticks(&stat)).sum();
    time::Duration::from_secs_f64(ticks as f64 / TICKS_PER_SEC)
}

fn thread_ticks(stat: &str) -> Option<u64> {
    let (head, fields) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with("smol") && !name.starts_with("async-io") {
        return None;
    }
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Measures the planner and the ownership machines with the document of a whole region.
fn measure_state_machines() -> Result<(), String> {
    let classes = region(REGION_NODES as u32).class_document();
    let registrations = (0..REGION_NODES as u64).map(|index| planner::MemberRegistration {
        name: Arc::from(format!("node-{index:03}")),
        incarnation: ident::IncarnationId(index + 1),
        address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1)),
        zone: Arc::from(format!("zone-{}", index % 3)),
        class: Arc::from("quote-desk"),
        checks_fences: true,
    });
    let mut input = planner::PlannerInput {
        registrations: registrations.collect(),
        classes,
        change_id: 1,
        ..planner::PlannerInput::default()
    };
    let now = model_time::Instant(1_000_000);
    let mut planner = planner::Planner::new();
    let planned = planner.plan(now, &input).ok_or("the planner made no document")?;
    let bytes = document::encode_assignment(&planned).map_err(|error| error.to_string())?;
    let slices: usize = planned.classes.iter().map(|class| class.slices.len()).sum();
    figure::print_number("slopes.region.slices", slices as f64, "count");
    figure::print_number("slopes.region.document", bytes.len() as f64 / 1e3, "KB");
    let planned = Arc::new(planned);
    input.current = Some(Arc::clone(&planned));
    let started = time::Instant::now();
    let later = model_time::Instant(now.0 + 5_000_000);
    let _ = planner.plan(later, &input);
    figure::print_number("slopes.region.plan", started.elapsed().as_secs_f64() * 1e3, "ms");
    let memory = resident_mb();
    let mut machines: Vec<_> = (1..=MACHINE_COUNT)
        .map(|own| ownership::OwnershipMachine::new(ident::IncarnationId(own)))
        .collect();
    let started = time::Instant::now();
    for machine in &mut machines {
        machine.adopt(now, Arc::clone(&planned)).map_err(|error| error.to_string())?;
    }
    let adopt = started.elapsed().as_secs_f64() * 1e3 / MACHINE_COUNT as f64;
    figure::print_number("slopes.region.adopt", adopt, "ms");
    let machine_mb = (resident_mb() - memory) / MACHINE_COUNT as f64;
    figure::print_number("slopes.region.machine_memory", machine_mb, "MB");
    let machine = machines.first_mut().ok_or("no machine")?;
    let started = time::Instant::now();
    for round in 0..u64::from(REPETITIONS) {
        machine.tick(model_time::Instant(now.0 + round * 40_000));
    }
    let tick = started.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS);
    figure::print_number("slopes.region.tick", tick, "us");
    Ok(())
}
