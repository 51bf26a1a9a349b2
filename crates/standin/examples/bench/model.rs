//! Scenarios of the deterministic balance and load models.

use cornelridge_model::class::BalancePreference;
use cornelridge_standin::balance_model;
use cornelridge_standin::load_model;

use crate::figure;

/// Seed of all models.
const SEED: u64 = 1;
/// Minutes that the balance model measures.
const MEASURED_MINUTES: u64 = 10;
/// Ratio of offered load to capacity in the steady scenario; the capacity is computed from it.
const STEADY_LOAD: f64 = 0.6;

/// Measures the imbalance under a steady load.
pub(crate) fn imbalance(_args: &[String]) -> Result<(), String> {
    balance(balance_model::Scenario::Imbalance);
    Ok(())
}

/// Measures the moves under a load that rises and falls.
pub(crate) fn churn(_args: &[String]) -> Result<(), String> {
    balance(balance_model::Scenario::Churn);
    Ok(())
}

/// Measures the imbalance while the hottest keys are replaced. The model doesn't report the time to
/// settle.
pub(crate) fn hot_key(_args: &[String]) -> Result<(), String> {
    balance(balance_model::Scenario::HotKey);
    Ok(())
}

fn balance(scenario: balance_model::Scenario) {
    let name = format!("{scenario:?}").to_lowercase();
    let strategies = [
        ("", balance_model::Strategy::Planner(BalancePreference::LeastDowntime)),
        (".fewest_moves", balance_model::Strategy::Planner(BalancePreference::FewestMoves)),
        (".static_hash", balance_model::Strategy::StaticHash),
        (".greedy", balance_model::Strategy::Greedy),
    ];
    for (suffix, strategy) in strategies {
        let config = balance_model::ModelConfig {
            minutes: MEASURED_MINUTES,
            seed: SEED,
            ..balance_model::ModelConfig::default()
        };
        let result = balance_model::run(scenario, strategy, &config);
        let (mean, p99) = (result.mean_imbalance, result.p99_imbalance);
        figure::print_number(&format!("{name}.max_over_mean{suffix}"), mean, "ratio");
        figure::print_number(&format!("{name}.max_over_mean_p99{suffix}"), p99, "ratio");
        let moves = result.key_moves_per_minute;
        figure::print_number(&format!("{name}.moves{suffix}"), moves, "keys/min");
    }
}

/// Measures goodput and latency at an offered load of twice the capacity.
pub(crate) fn overload(_args: &[String]) -> Result<(), String> {
    load("overload", "overload 2x")
}

/// Measures the latency of each class beside bulk classes in the steady scenario.
pub(crate) fn bulk(_args: &[String]) -> Result<(), String> {
    load("bulk", "steady")
}

fn load(figure_name: &str, scenario: &str) -> Result<(), String> {
    let models = [
        ("bogota", load_model::LoadModel::bogota()),
        ("nairobi", load_model::LoadModel::nairobi()),
    ];
    for (deployment, model) in models {
        let find = |name: &str| model.scenarios().into_iter().find(|model| model.name == name);
        let (steady, selected) = find("steady").zip(find(scenario)).ok_or("no such scenario")?;
        let schemes = [
            ("", load_model::RoutingScheme::Policy),
            (".static_hash", load_model::RoutingScheme::StaticHash),
            (".least_connections", load_model::RoutingScheme::LeastConnections),
        ];
        let capacity = steady.run(load_model::RoutingScheme::Policy, SEED).goodput / STEADY_LOAD;
        for (suffix, scheme) in schemes {
            let report = selected.run(scheme, SEED);
            let name = format!("{figure_name}.model.{deployment}");
            let goodput = report.goodput / capacity;
            figure::print_number(&format!("{name}.goodput{suffix}"), goodput, "ratio");
            for class in &report.classes {
                let ratio = class.p99.0 as f64 / class.target.0.max(1) as f64;
                let name = format!("{name}.{}.p99_over_target{suffix}", class.name);
                figure::print_number(&name, ratio, "ratio");
            }
        }
    }
    Ok(())
}
