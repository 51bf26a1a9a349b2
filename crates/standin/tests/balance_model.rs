//! The planner against the baselines in small simulations.

use cornelridge_model::class::BalancePreference;
use cornelridge_standin::balance_model::{ModelConfig, ModelResult, Scenario, Strategy, run};

fn figures(scenario: Scenario, strategy: Strategy) -> ModelResult {
    let config = ModelConfig {
        workers: 4,
        keys: 3_000,
        minutes: 6,
        warm_up_minutes: 4,
        ..ModelConfig::default()
    };
    run(scenario, strategy, &config)
}

/// Guards against a planner that balances worse than doing nothing, or moves more keys than a
/// balancer without hysteresis.
#[test]
fn the_planner_is_better_than_both_baselines() {
    for scenario in [Scenario::Imbalance, Scenario::Churn, Scenario::HotKey] {
        let fixed = figures(scenario, Strategy::StaticHash);
        let greedy = figures(scenario, Strategy::Greedy);
        let least_downtime = Strategy::Planner(BalancePreference::LeastDowntime);
        let fewest_moves = Strategy::Planner(BalancePreference::FewestMoves);
        let early = figures(scenario, least_downtime);
        let few = figures(scenario, fewest_moves);
        assert!(early.mean_imbalance < fixed.mean_imbalance, "{scenario:?} {early:?} {fixed:?}");
        // Below its trigger of 25% this preference leaves an imbalance as it is.
        let is_below_trigger = fixed.mean_imbalance < 1.25 && few.key_moves_per_minute == 0.0;
        let is_better = few.mean_imbalance < fixed.mean_imbalance;
        assert!(is_better || is_below_trigger, "{scenario:?} {few:?} {fixed:?}");
        let most = greedy.key_moves_per_minute;
        assert!(early.key_moves_per_minute < most, "{scenario:?} {early:?} {greedy:?}");
        assert!(few.key_moves_per_minute <= early.key_moves_per_minute, "{scenario:?} {few:?}");
    }
}

/// Guards against figures that differ from run to run.
#[test]
fn the_same_seed_gives_the_same_figures() {
    let strategy = Strategy::Planner(BalancePreference::LeastDowntime);
    let without_times = |result: ModelResult| ModelResult {
        longest_plan: Default::default(),
        mean_plan: Default::default(),
        ..result
    };
    let run = || without_times(figures(Scenario::HotKey, strategy));
    assert_eq!(run(), run());
}
