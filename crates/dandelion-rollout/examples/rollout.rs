//! Compares continuous dispatch with a synchronous step barrier in the same simulation with faults.
//!
//! `cargo run --release -p dandelion-rollout --example rollout [seed]`; the last line is JSON.

#[path = "../tests/bench/mod.rs"]
mod bench;

use bench::Faults;
use bench::Scenario;
use bench::Simulation;
use dandelion_protocol::config::Job;
use dandelion_rollout::coordinator::Settings;
use serde_json::json;

/// Token budget of the job; too large to limit it.
const BUDGET: u64 = 1_000_000_000;

fn scenario(seed: u64, settings: Settings) -> Scenario {
    Scenario {
        seed,
        job: Job {
            id: "job".parse().expect("valid name"),
            team: "team".parse().expect("valid name"),
            service: "model".parse().expect("valid name"),
            group_size: 8,
            step_groups: 64,
            max_staleness: 2,
            token_budget: BUDGET,
            max_tokens: 2048,
            scorer: None,
            ended: false,
        },
        settings,
        faults: Faults {
            ledger_lost: 10,
            ledger_late: 10,
            answer_lost: 20,
            takeover: 1,
            engine_killed: 1,
            silent_restart: 100,
            swap_failed: 50,
            boundary_lost: 20,
            ..Faults::default()
        },
        mutation: None,
        groups: 64 * 40,
        feed: 256,
        engines: 16,
        slots: 16,
        tpot: 20.0,
        slowdown: 1000,
        median: 300.0,
        train_ms: 25_000,
        faults_end: u64::MAX,
        end: 24 * 3_600_000,
    }
}

struct Outcome {
    simulation: Simulation,
    idle: f64,
    wasted: f64,
}

fn run(seed: u64, settings: Settings) -> Outcome {
    let mut simulation = Simulation::open(scenario(seed, settings));
    simulation.run();
    let generated: u64 = simulation
        .engines
        .iter()
        .map(|engine| engine.generated)
        .sum();
    let idle = simulation.trainer.idle as f64 / simulation.now as f64;
    let wasted = (generated - simulation.checks.tokens) as f64 / generated as f64;
    Outcome {
        simulation,
        idle,
        wasted,
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    let continuous = run(seed, Settings::default());
    let baseline = run(
        seed,
        Settings {
            hedge: false,
            barrier: true,
            ..Settings::default()
        },
    );
    for (name, outcome) in [("continuous", &continuous), ("barrier", &baseline)] {
        let simulation = &outcome.simulation;
        println!(
            "{name}: {} steps in {} s, idle {:.3}, wasted {:.3}",
            simulation.trainer.steps,
            simulation.now / 1000,
            outcome.idle,
            outcome.wasted
        );
        for counts in &simulation.counts {
            println!("  {counts:?}");
        }
    }
    let checks = &continuous.simulation.checks;
    let generated: u64 = continuous
        .simulation
        .engines
        .iter()
        .map(|engine| engine.generated)
        .sum();
    let report = json!({
        "seed": seed,
        "samples": checks.received,
        "samples_doubled": checks.duplicated,
        "samples_lost": checks.lost,
        "samples_stale": checks.stale,
        "samples_misattributed": checks.misattributed,
        "trainer_idle_share": continuous.idle,
        "baseline_idle_share": baseline.idle,
        "staleness_mean": checks.staleness as f64 / checks.received as f64,
        "baseline_staleness_mean":
            baseline.simulation.checks.staleness as f64
                / baseline.simulation.checks.received as f64,
        "wasted_token_share": continuous.wasted,
        "baseline_wasted_token_share": baseline.wasted,
        "budget_overspent": generated.saturating_sub(BUDGET),
    });
    println!("{report}");
}
