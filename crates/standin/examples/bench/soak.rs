//! Simulation of the ownership machines with random faults.

use cornelridge_standin::soak;

use crate::figure;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_STEPS: u64 = 200_000;

/// Runs `--steps` steps of the simulation with `--seed`; fails if an invariant is violated.
pub(crate) fn run(args: &[String]) -> Result<(), String> {
    let (mut seed, mut steps) = (DEFAULT_SEED, DEFAULT_STEPS);
    for pair in args.chunks(2) {
        let [name, value] = pair else { return Err(format!("{:?} has no value", pair[0])) };
        let value = value.parse().map_err(|_| format!("{name} needs a whole number"))?;
        match name.as_str() {
            "--seed" => seed = value,
            "--steps" => steps = value,
            _ => return Err(format!("unknown argument {name:?}; use --seed and --steps")),
        }
    }
    let report = soak::run(seed, steps);
    report.violations.iter().for_each(|violation| println!("# {violation}"));
    figure::print_count("soak.steps", report.steps);
    figure::print_count("soak.violations", report.violations.len() as u64);
    figure::print_count("soak.faults", report.faults);
    if report.violations.is_empty() {
        return Ok(());
    }
    Err(format!("invariants broken with seed {seed}"))
}
