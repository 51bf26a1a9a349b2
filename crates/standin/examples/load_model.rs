//! Compares routing schemes in the load model: `load_model [SCENARIO] [SCHEME] [SEED]`.
//!
//! `SCENARIO` and `SCHEME` select by parts of names.

use cornelridge_standin::load_model;

fn main() {
    let argument = |index| std::env::args().nth(index).unwrap_or_default();
    let (scenario_filter, scheme_filter) = (argument(1), argument(2));
    let seed = argument(3).parse().unwrap_or(1);
    let models = [
        ("bogota", load_model::LoadModel::bogota()),
        ("nairobi", load_model::LoadModel::nairobi()),
    ];
    let schemes = [
        load_model::RoutingScheme::Policy,
        load_model::RoutingScheme::StaticHash,
        load_model::RoutingScheme::LeastConnections,
    ];
    for (deployment, model) in &models {
        for scenario in model.scenarios() {
            let name = scenario.name;
            let is_selected = |scheme: &&load_model::RoutingScheme| {
                name.contains(&scenario_filter) && format!("{scheme:?}").contains(&scheme_filter)
            };
            for scheme in schemes.iter().filter(is_selected) {
                println!("{deployment}, {name}, {scheme:?}: {}", scenario.run(*scheme, seed));
            }
        }
    }
}
