//! Prints the comparison of routing schemes: `load_model [SCENARIO] [SCHEME] [SEED]`.

use cornelridge_standin::load_model;

fn main() {
    let argument = |place| std::env::args().nth(place).unwrap_or_default();
    let (wanted, only) = (argument(1), argument(2));
    let seed = argument(3).parse().unwrap_or(1);
    let mixes = [
        ("bogota", load_model::LoadModel::bogota()),
        ("nairobi", load_model::LoadModel::nairobi()),
    ];
    let schemes = [
        load_model::RoutingScheme::Policy,
        load_model::RoutingScheme::StaticHash,
        load_model::RoutingScheme::LeastConnections,
    ];
    for (mix, model) in &mixes {
        for scenario in model.scenarios() {
            let name = scenario.name;
            let chosen = |scheme: &&load_model::RoutingScheme| {
                name.contains(&wanted) && format!("{scheme:?}").contains(&only)
            };
            for scheme in schemes.iter().filter(chosen) {
                println!("{mix}, {name}, {scheme:?}: {}", scenario.run(*scheme, seed));
            }
        }
    }
}
