//! Prints the figures of the balance model for the planner and the baselines:
//! `balance [WORKERS] [MINUTES]`.

use cornelridge_model::class::BalancePreference;
use cornelridge_standin::balance_model::{ModelConfig, Scenario, Strategy, run};

fn main() {
    let workers = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(12);
    let minutes = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(30);
    let zones = if workers > 30 { 22 } else { 3 };
    // With fewer keys the hottest one alone would have several times the load of a worker.
    let (keys, exponent) = if workers > 30 { (400_000, 0.6) } else { (50_000, 0.9) };
    let config = ModelConfig { workers, zones, minutes, keys, exponent, ..ModelConfig::default() };
    println!("{workers} workers, {} keys, exponent {}", config.keys, config.exponent);
    println!(
        "scenario  strategy          mean   p99    floor  keys/min load%/min docs/min slices plan max/mean us"
    );
    for scenario in [Scenario::Imbalance, Scenario::Churn, Scenario::HotKey] {
        for strategy in [
            Strategy::StaticHash,
            Strategy::Greedy,
            Strategy::Planner(BalancePreference::LeastDowntime),
            Strategy::Planner(BalancePreference::FewestMoves),
        ] {
            let result = run(scenario, strategy, &config);
            let name = match strategy {
                Strategy::StaticHash => "static hash",
                Strategy::Greedy => "greedy",
                Strategy::Planner(BalancePreference::LeastDowntime) => "least-downtime",
                Strategy::Planner(BalancePreference::FewestMoves) => "fewest-moves",
            };
            println!(
                "{:9} {:16} {:6.3} {:6.3} {:6.3} {:9.1} {:8.2} {:8.1} {:6} {:6} {:6}",
                format!("{scenario:?}"),
                name,
                result.mean_imbalance,
                result.p99_imbalance,
                result.floor,
                result.key_moves_per_minute,
                result.moved_load_per_minute * 100.0,
                result.documents_per_minute,
                result.slices,
                result.longest_plan.as_micros(),
                result.mean_plan.as_micros(),
            );
        }
    }
}
