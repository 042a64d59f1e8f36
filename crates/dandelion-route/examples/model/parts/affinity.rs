//! Scenario: prompts share prefixes, and engines cache only a few of them.

use dandelion_protocol::usage::Class;
use serde_json::Value;
use serde_json::json;

use super::engine::Engine;
use super::owner::Owner;
use super::report::p99_ms;
use super::run::Outcome;
use super::run::run;
use super::workload::Source;
use super::workload::draw;
use super::workload::mean_service_ms;

const ENGINES: usize = 8;
const SLOTS: u32 = 8;
const END_MS: u64 = 60_000;
const PREFIXES: u64 = 200;
const CACHED: usize = 40;
const LOAD: f64 = 0.7;

fn hit_rate(outcome: &Outcome) -> f64 {
    let lookups = outcome.engines.iter().map(|e| e.lookups);
    let (all, hits) = lookups.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    hits as f64 / all as f64
}

/// Returns the greatest work of an engine, divided by the mean.
fn load_spread(outcome: &Outcome) -> f64 {
    let done = outcome.engines.iter().map(|e| e.done as f64);
    let most = done.clone().fold(0.0, f64::max);
    most * ENGINES as f64 / done.sum::<f64>()
}

/// Runs the scenario with and without prefix affinity.
pub fn measure(seed: u64) -> Value {
    let rate = (ENGINES as f64) * f64::from(SLOTS) * 1000.0 / mean_service_ms() * LOAD;
    let source = Source {
        team: 0,
        class: Class::Interactive,
        rate: |_: u64| rate,
    };
    let requests = draw(seed, END_MS, PREFIXES, &[source]);
    let engines = || vec![Engine::new(CACHED); ENGINES];
    let [with, without] = [true, false].map(|affinity| {
        let mut owner = Owner::open(0, ENGINES, SLOTS, affinity);
        run(&requests, &mut owner, engines(), SLOTS)
    });
    json!({
        "hit_rate": hit_rate(&with),
        "baseline_hit_rate": hit_rate(&without),
        "load_spread": load_spread(&with),
        "baseline_load_spread": load_spread(&without),
        "p99_ms": p99_ms(&requests, &with, |_| true),
        "baseline_p99_ms": p99_ms(&requests, &without, |_| true),
    })
}
