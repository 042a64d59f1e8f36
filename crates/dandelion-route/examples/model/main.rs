//! Deterministic simulation that compares the owner's queue with baselines.
//!
//! `cargo run --release -p dandelion-route --example model -- [SEED]` prints one JSON object as
//! its last line.

mod parts;

use serde_json::json;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    let report = json!({
        "seed": seed,
        "fairness": parts::fairness::measure(seed),
        "overload": parts::overload::measure(seed),
        "classes": parts::classes::measure(seed),
        "affinity": parts::affinity::measure(seed),
        "poison": parts::poison::measure(seed),
        "routing": parts::routing::measure(seed),
        "spread": parts::spread::measure(),
    });
    println!("{report}");
}
