//! The cases; each returns the number of violations, or `None` if it couldn't run.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, MachinePlan, Sent};
use crate::record::Record;
use crate::worker::Run;

/// `stableWindow`, `drain` and `configApply` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `recover` of the settings.
const RECOVER: Duration = Duration::from_secs(15);
/// Added to each bound, so that no case depends on the exactness of the stand-ins' clocks.
const MARGIN: Duration = Duration::from_millis(100);

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"safe","timeout":"1500ms","targetLatency":"600ms","priority":2,"service":"{service}","maxAttempts":2}}"#
    )
}

fn config(version: u64, routes: &[String], services: &[(&str, bool)]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|(name, is_sharded)| {
            format!(
                r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"sharded":{is_sharded},"warm":"3s","grants":"heartbeat"}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Lets the clients finish, ends all processes and returns what was sent and run.
fn finish(deployment: Deployment) -> (Vec<Sent>, Vec<Run>, usize) {
    deployment.stop_clients();
    sleep(2.0);
    let sent = deployment.sent();
    let runs = deployment.world.runs.lock().unwrap().clone();
    let violations = deployment.world.violations.lock().unwrap().len();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    deployment.record.line(&format!(
        "{} requests sent, {served} answered 200, {} runs",
        sent.len(),
        runs.len()
    ));
    (sent, runs, violations)
}

/// OWNER: another writer sends one status report in which fields are missing.
pub fn malformed_report(record: Record, is_trouble: bool) -> Option<usize> {
    let plan = || MachinePlan { service: "quotes", is_sharded: true };
    let first = config(3, &[route("lookup", "/quote/", "quotes")], &[("quotes", true)]);
    let deployment = Deployment::start(record, &[plan(), plan(), plan()], &first);
    if !deployment.wait_until_serving(&["/quote/20"]) {
        return None;
    }
    for client in 0..18 {
        deployment.start_client(client as usize % 3, client + 1, |draw| {
            let work = 100 + draw.below(240);
            let pause = Duration::from_millis(draw.below(60));
            (format!("/quote/{work}"), draw.below(65_536) as u16, pause)
        });
    }
    sleep(4.0);
    if is_trouble {
        deployment.workers[0].report_of_another_writer();
    }
    sleep(12.0);
    let (_, _, violations) = finish(deployment);
    Some(violations)
}

/// OWNER: the store turns two of six machines away for some seconds: the planning one, and twice
/// the one beside the worker that keeps its keys.
pub fn stale_planner(record: Record, is_trouble: bool) -> Option<usize> {
    let plans: Vec<MachinePlan> =
        (0..6).map(|_| MachinePlan { service: "quotes", is_sharded: true }).collect();
    let first = config(3, &[route("lookup", "/quote/", "quotes")], &[("quotes", true)]);
    let deployment = Deployment::start(record, &plans, &first);
    if !deployment.wait_until_serving(&["/quote/20"]) {
        return None;
    }
    for client in 0..18 {
        deployment.start_client(client as usize % 6, client + 1, |draw| {
            let work = 100 + draw.below(240);
            let pause = Duration::from_millis(draw.below(60));
            (format!("/quote/{work}"), draw.below(65_536) as u16, pause)
        });
    }
    sleep(4.0);
    let (planner, keeper) = (0, 5);
    let (store, record) = (deployment.store.clone(), std::sync::Arc::clone(&deployment.record));
    let entry = format!("cornelridge/nodes/{}", deployment.nodes[keeper].name);
    let reject = |machine: usize, is_rejected: bool| {
        store.set_rejected(machine, is_rejected);
        let verb = if is_rejected { "turns away" } else { "serves" };
        record.line(&format!("the store {verb} machine {}", machine + 1));
    };
    let wait_for_entry = |is_there: bool, limit: f64| {
        let end = Instant::now() + Duration::from_secs_f64(limit);
        while store.contains(&entry) != is_there && Instant::now() < end {
            sleep(0.01);
        }
        let state = if is_there { "there" } else { "gone" };
        record.line(&format!("the entry of machine {} is {state}", keeper + 1));
        store.contains(&entry) == is_there
    };
    if is_trouble {
        reject(keeper, true);
        if !wait_for_entry(false, 4.0) {
            return None;
        }
        let gone_at = Instant::now();
        let until = |seconds: f64| {
            let at = gone_at + Duration::from_secs_f64(seconds);
            thread::sleep(at.saturating_duration_since(Instant::now()));
        };
        until(0.3);
        reject(keeper, false);
        reject(planner, true);
        if !wait_for_entry(true, 3.0) {
            return None;
        }
        until(3.6);
        reject(keeper, true);
        until(6.3);
        reject(planner, false);
        until(9.0);
        reject(keeper, false);
    }
    sleep(8.0);
    let (_, _, violations) = finish(deployment);
    Some(violations)
}

/// DRAIN: a worker deregisters, its node is killed and starts again, and a status report that the
/// worker sent before arrives some seconds late.
pub fn left_worker(record: Record, is_trouble: bool) -> Option<usize> {
    let plan = || MachinePlan { service: "desk", is_sharded: false };
    let first = config(3, &[route("status", "/desk/", "desk")], &[("desk", false)]);
    let mut deployment = Deployment::start(record, &[plan(), plan(), plan()], &first);
    if !deployment.wait_until_serving(&["/desk/20"]) {
        return None;
    }
    for client in 0..12 {
        deployment.start_client(client as usize % 3, client + 1, |draw| {
            (format!("/desk/{}", 40 + draw.below(100)), 0, Duration::from_millis(draw.below(60)))
        });
    }
    // All nodes are in touch when they acknowledge.
    sleep(4.0);
    let leaving = deployment.workers[0].clone();
    leaving.stop_reports();
    sleep(1.0);
    leaving.report_late(Duration::from_secs(6));
    sleep(1.2);
    if !leaving.deregister() {
        return None;
    }
    let left_at = leaving.left_at()?;
    sleep(0.5);
    if is_trouble {
        let record = std::sync::Arc::clone(&deployment.record);
        record.line("node sidecar-z1-1 is killed");
        deployment.nodes[0].kill();
        sleep(1.0);
        deployment.nodes[0].start(&record);
    }
    let in_touch_at = match is_trouble {
        true => deployment.nodes[0].started_at + STABLE_WINDOW + MARGIN,
        false => left_at,
    };
    sleep(10.0);
    leaving.exit();
    let record = std::sync::Arc::clone(&deployment.record);
    let (sent, runs, _) = finish(deployment);
    let node_of: HashMap<&str, &Sent> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let late = runs.iter().filter(|run| {
        let sent = node_of.get(run.request.as_str());
        // Clients beside the restarted node don't count before it is in touch again.
        let is_in_touch = sent.is_some_and(|sent| sent.at >= in_touch_at);
        run.worker == leaving.id && run.at > left_at + DRAIN + MARGIN && is_in_touch
    });
    let late: Vec<f64> = late.map(|run| (run.at - left_at).as_secs_f64()).collect();
    record.line(&format!(
        "{} requests reached {} later than drain after the acknowledgement, the first {:.1} s and the last {:.1} s after it",
        late.len(),
        leaving.id,
        late.first().copied().unwrap_or(0.0),
        late.last().copied().unwrap_or(0.0)
    ));
    Some(late.len())
}

/// Returns the number of requests on `path` that were sent later than the bound after the
/// acknowledgement and ran at the service that only an older version allows.
fn count_stale(
    record: &Record,
    sent: &[Sent],
    runs: &[Run],
    acknowledged: Instant,
    path: &str,
    old: &str,
) -> usize {
    let service: HashMap<&str, &str> =
        runs.iter().map(|run| (run.request.as_str(), run.service.as_str())).collect();
    let bound = acknowledged + CONFIG_APPLY + MARGIN;
    let due: Vec<&Sent> =
        sent.iter().filter(|sent| sent.at > bound && sent.path.starts_with(path)).collect();
    let stale: Vec<&&Sent> =
        due.iter().filter(|sent| service.get(sent.id.as_str()) == Some(&old)).collect();
    let time = |sent: &Sent| (sent.at - acknowledged).as_secs_f64();
    let last = stale.iter().map(|sent| time(sent)).fold(0.0, f64::max);
    let by_node: Vec<usize> =
        (0..3).map(|node| stale.iter().filter(|sent| sent.node == node).count()).collect();
    record.line(&format!(
        "{} of {} requests sent later than configApply ran at {old}, by node {by_node:?}, the last one sent {last:.1} s after the acknowledgement",
        stale.len(),
        due.len()
    ));
    stale.len()
}

fn config_machines() -> [MachinePlan; 3] {
    ["alpha", "beta", "gamma"].map(|service| MachinePlan { service, is_sharded: false })
}

const CONFIG_SERVICES: [(&str, bool); 3] = [("alpha", false), ("beta", false), ("gamma", false)];

fn start_config_clients(deployment: &Deployment) {
    for client in 0..9_u64 {
        deployment.start_client(client as usize % 3, client + 1, |draw| {
            let path = if draw.below(4) == 0 { "/stay/20" } else { "/move/20" };
            (path.to_owned(), 0, Duration::from_millis(60))
        });
    }
}

/// CONFIG: one open connection of each machine to the store goes silent for good, and the
/// configuration changes after the machines are in touch again.
pub fn silent_watch(record: Record, is_trouble: bool) -> Option<usize> {
    let routes = |to: &str| vec![route("move", "/move/", to), route("stay", "/stay/", "gamma")];
    let first = config(3, &routes("alpha"), &CONFIG_SERVICES);
    let deployment = Deployment::start(record, &config_machines(), &first);
    if !deployment.wait_until_serving(&["/move/20", "/stay/20"]) {
        return None;
    }
    start_config_clients(&deployment);
    sleep(4.0);
    // A change that moves nothing.
    let mut more = routes("alpha");
    more.push(route("more", "/more/", "gamma"));
    deployment.store.put("op/config", &config(5, &more, &CONFIG_SERVICES));
    deployment.record.line("configuration 5 is acknowledged");
    sleep(0.3);
    if is_trouble {
        let (count, opened) = deployment.store.silence_watches("op/config");
        deployment.record.line(&format!(
            "{count} of the {opened} connections to the store that were opened go silent"
        ));
    }
    thread::sleep(STABLE_WINDOW + MARGIN);
    deployment.store.put("op/config", &config(8, &routes("beta"), &CONFIG_SERVICES));
    let acknowledged = Instant::now();
    deployment.record.line("configuration 8 moves /move/ from alpha to beta and is acknowledged");
    sleep(10.0);
    let record = std::sync::Arc::clone(&deployment.record);
    let (sent, runs, _) = finish(deployment);
    Some(count_stale(&record, &sent, &runs, acknowledged, "/move/", "alpha"))
}

/// CONFIG: the configuration grows by many routes, to a size below `valueBytes`, and moves a route.
/// Then all node processes are killed and start again, which RECOVER is about.
pub fn large_config(record: Record, is_trouble: bool) -> Option<usize> {
    let routes = |to: &str| vec![route("move", "/move/", to), route("stay", "/stay/", "gamma")];
    let first = config(3, &routes("alpha"), &CONFIG_SERVICES);
    let mut deployment = Deployment::start(record, &config_machines(), &first);
    if !deployment.wait_until_serving(&["/move/20", "/stay/20"]) {
        return None;
    }
    start_config_clients(&deployment);
    sleep(4.0);
    let mut grown = routes("beta");
    if is_trouble {
        grown.extend((0..1_640).map(split_route));
    }
    let text = config(5, &grown, &CONFIG_SERVICES);
    deployment.store.put("op/config", &text);
    let acknowledged = Instant::now();
    let record = std::sync::Arc::clone(&deployment.record);
    record.line(&format!(
        "configuration 5 with {} routes and {} bytes moves /move/ from alpha to beta and is acknowledged",
        grown.len(),
        text.len()
    ));
    sleep(12.0);
    let killed_at = Instant::now();
    record.line("all node processes are killed");
    deployment.nodes.iter_mut().for_each(|node| node.kill());
    sleep(1.5);
    deployment.nodes.iter_mut().for_each(|node| node.start(&record));
    let recovered_at = Instant::now() + RECOVER;
    sleep(RECOVER.as_secs_f64() + 8.0);
    let (sent, runs, _) = finish(deployment);
    let before: Vec<Sent> = sent.iter().filter(|sent| sent.at < killed_at).cloned().collect();
    let after: Vec<&Sent> = sent.iter().filter(|sent| sent.at > recovered_at).collect();
    let served = after.iter().filter(|sent| sent.status == 200).count();
    record.line(&format!(
        "{served} of {} requests sent later than recover after the restart are served",
        after.len()
    ));
    Some(count_stale(&record, &before, &runs, acknowledged, "/move/", "alpha"))
}

/// A route that is split between services, with names as an operator writes them.
fn split_route(index: usize) -> String {
    let services = ["alpha", "beta", "gamma"].into_iter().cycle();
    let parts: Vec<String> = services
        .zip([50, 20, 10, 10, 5, 5])
        .map(|(service, weight)| format!(r#"{{"service":"{service}","weight":{weight}}}"#))
        .collect();
    format!(
        r#"{{"name":"field-buyer-converter-serial-lookup-partner-{index:04}","host":"partner-{index:04}.field-buyers.andino-buyback.example","prefix":"/converters/by-serial/partner-{index:04}/lookups/","kind":"safe","timeout":"1500ms","targetLatency":"600ms","priority":2,"weightedClusters":[{}],"maxAttempts":2}}"#,
        parts.join(",")
    )
}
