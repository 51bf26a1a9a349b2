//! The cases of the review that are scripts. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD TROUBLE");
        std::process::exit(2);
    };
    let is_trouble = trouble != "0";
    // A case that hangs has not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        eprintln!("the case took too long");
        deployment::kill_started();
        std::process::exit(2);
    });
    let record = record::Record::create(path);
    let result = match case.as_str() {
        "malformed-report" => cases::malformed_report(record, is_trouble),
        "stale-planner" => cases::stale_planner(record, is_trouble),
        "left-worker" => cases::left_worker(record, is_trouble),
        "silent-watch" => cases::silent_watch(record, is_trouble),
        "large-config" => cases::large_config(record, is_trouble),
        _ => None,
    };
    let code = match result {
        None => 2,
        Some(0) => 0,
        Some(_) => 1,
    };
    println!("{case}, trouble {is_trouble}: exit {code}, {} violations", result.unwrap_or(0));
    std::process::exit(code);
}
