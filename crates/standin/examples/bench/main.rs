//! Measures the system scenario by scenario; each line is `name value unit`.
//!
//! `--list` names the scenarios. A baseline of a figure is printed as `name.BASELINE value unit`.

mod figure;
mod path;
mod trial;

use std::env;
use std::process;

/// A scenario with what it measures.
struct Scenario {
    name: &'static str,
    about: &'static str,
    run: fn(&[String]) -> Result<(), String>,
}

const SCENARIOS: &[Scenario] = &[Scenario {
    name: "path",
    about: "latency and CPU time that two nodes add to a request",
    run: path::run,
}];

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let result = match args.first().map(String::as_str) {
        None | Some("--list") => {
            SCENARIOS.iter().for_each(|scenario| println!("{} {}", scenario.name, scenario.about));
            Ok(())
        }
        Some(name) => match SCENARIOS.iter().find(|scenario| scenario.name == name) {
            Some(scenario) => (scenario.run)(&args[1..]),
            None => Err(format!("unknown scenario {name:?}; --list names them")),
        },
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            process::ExitCode::FAILURE
        }
    }
}
