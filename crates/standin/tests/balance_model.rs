//! Comparison of the planner with the baselines in small simulations.

use cornelridge_model::class::BalancePreference;
use cornelridge_standin::balance_model::{ModelConfig, ModelResult, Scenario, Strategy, run};

fn simulate(scenario: Scenario, strategy: Strategy) -> ModelResult {
    let config = ModelConfig {
        workers: 4,
        keys: 3_000,
        minutes: 6,
        warm_up_minutes: 4,
        ..ModelConfig::default()
    };
    run(scenario, strategy, &config)
}

/// Guards against a planner that balances worse than a static hash, or moves more keys than a
/// greedy balancer without hysteresis.
#[test]
fn the_planner_is_better_than_both_baselines() {
    for scenario in [Scenario::Imbalance, Scenario::Churn, Scenario::HotKey] {
        let static_hash = simulate(scenario, Strategy::StaticHash);
        let greedy = simulate(scenario, Strategy::Greedy);
        let least_downtime = Strategy::Planner(BalancePreference::LeastDowntime);
        let fewest_moves = Strategy::Planner(BalancePreference::FewestMoves);
        let least_downtime_result = simulate(scenario, least_downtime);
        let fewest_moves_result = simulate(scenario, fewest_moves);
        assert!(
            least_downtime_result.mean_imbalance < static_hash.mean_imbalance,
            "{scenario:?} {least_downtime_result:?} {static_hash:?}"
        );
        // This preference moves nothing below its trigger of 25% imbalance.
        let is_below_trigger =
            static_hash.mean_imbalance < 1.25 && fewest_moves_result.key_moves_per_minute == 0.0;
        let is_more_even = fewest_moves_result.mean_imbalance < static_hash.mean_imbalance;
        assert!(
            is_more_even || is_below_trigger,
            "{scenario:?} {fewest_moves_result:?} {static_hash:?}"
        );
        let greedy_moves = greedy.key_moves_per_minute;
        assert!(
            least_downtime_result.key_moves_per_minute < greedy_moves,
            "{scenario:?} {least_downtime_result:?} {greedy:?}"
        );
        assert!(
            fewest_moves_result.key_moves_per_minute <= least_downtime_result.key_moves_per_minute,
            "{scenario:?} {fewest_moves_result:?}"
        );
    }
}

/// Guards against simulation results that depend on more than the seed.
#[test]
fn the_same_seed_gives_the_same_figures() {
    let strategy = Strategy::Planner(BalancePreference::LeastDowntime);
    let without_times = |result: ModelResult| ModelResult {
        longest_plan: Default::default(),
        mean_plan: Default::default(),
        ..result
    };
    let run = || without_times(simulate(Scenario::HotKey, strategy));
    assert_eq!(run(), run());
}
