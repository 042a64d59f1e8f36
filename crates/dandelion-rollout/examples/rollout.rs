//! Compares continuous dispatch with a synchronous step barrier on the same stand-ins and faults.
//!
//! `cargo run --release -p dandelion-rollout --example rollout [seed]`; the last line is JSON.

#[path = "../tests/bench/mod.rs"]
mod bench;

use bench::Faults;
use bench::Plan;
use bench::World;
use dandelion_protocol::config::Job;
use dandelion_rollout::coordinator::Settings;
use serde_json::json;

/// Tokens that a job may spend; large enough not to bind.
const BUDGET: u64 = 1_000_000_000;

fn plan(seed: u64, settings: Settings) -> Plan {
    Plan {
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
        pace: 20.0,
        slow: 1000,
        median: 300.0,
        train: 25_000,
        calm: u64::MAX,
        end: 24 * 3_600_000,
    }
}

struct Outcome {
    world: World,
    idle: f64,
    wasted: f64,
}

fn run(seed: u64, settings: Settings) -> Outcome {
    let mut world = World::open(plan(seed, settings));
    world.run();
    let made: u64 = world.engines.iter().map(|engine| engine.made).sum();
    let idle = world.trainer.idle as f64 / world.now as f64;
    let wasted = (made - world.checks.tokens) as f64 / made as f64;
    Outcome {
        world,
        idle,
        wasted,
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    let ours = run(seed, Settings::default());
    let baseline = run(
        seed,
        Settings {
            hedge: false,
            barrier: true,
            ..Settings::default()
        },
    );
    for (name, outcome) in [("continuous", &ours), ("barrier", &baseline)] {
        let world = &outcome.world;
        println!(
            "{name}: {} steps in {} s, idle {:.3}, wasted {:.3}",
            world.trainer.steps,
            world.now / 1000,
            outcome.idle,
            outcome.wasted
        );
        for counts in &world.counts {
            println!("  {counts:?}");
        }
    }
    let checks = &ours.world.checks;
    let made: u64 = ours.world.engines.iter().map(|engine| engine.made).sum();
    let report = json!({
        "seed": seed,
        "samples": checks.taken,
        "samples_doubled": checks.doubled,
        "samples_lost": checks.lost,
        "samples_stale": checks.stale,
        "samples_misattributed": checks.misattributed,
        "trainer_idle_share": ours.idle,
        "baseline_idle_share": baseline.idle,
        "staleness_mean": checks.staleness as f64 / checks.taken as f64,
        "baseline_staleness_mean":
            baseline.world.checks.staleness as f64 / baseline.world.checks.taken as f64,
        "wasted_token_share": ours.wasted,
        "baseline_wasted_token_share": baseline.wasted,
        "budget_overspent": made.saturating_sub(BUDGET),
    });
    println!("{report}");
}
