//! Measures the bytes that the ledger adds to the replicated log per sample, at three step sizes,
//! and the samples that a simulation handles per second of real time.
//!
//! `cargo run --release -p dandelion-rollout --example ledger`; the last line is JSON.

#[path = "../tests/bench/mod.rs"]
mod bench;

use std::time::Instant;

use bench::Faults;
use bench::Scenario;
use bench::Simulation;
use dandelion_protocol::config::Job;
use dandelion_rollout::coordinator::Settings;
use serde_json::json;

/// Samples in a group.
const GROUP: u32 = 16;

/// Number of trainers, and seconds of a step, at the size that the project is designed for.
const TRAINERS: f64 = 34.0;
const STEP_SECS: f64 = 660.0;

fn scenario(step: u32, faults: Faults) -> Scenario {
    Scenario {
        seed: 1,
        job: Job {
            id: "assay-summaries".parse().expect("valid name"),
            team: "team".parse().expect("valid name"),
            service: "model".parse().expect("valid name"),
            group_size: GROUP,
            step_groups: step / GROUP,
            max_staleness: 2,
            token_budget: 1_000_000_000,
            max_tokens: 128,
            scorer: None,
            ended: false,
        },
        settings: Settings::default(),
        faults,
        mutation: None,
        groups: u64::from(step / GROUP) * 6,
        feed: u64::from(step / GROUP),
        engines: 64,
        slots: 32,
        tpot: 20.0,
        slowdown: 1000,
        median: 40.0,
        train_ms: 660_000,
        faults_end: u64::MAX,
        end: 24 * 3_600_000,
    }
}

fn main() {
    let faulty = Faults {
        ledger_lost: 10,
        ledger_late: 10,
        answer_lost: 20,
        takeover: 1,
        engine_killed: 1,
        ..Faults::default()
    };
    let mut rows = Vec::new();
    for step in [512, 2048, 8192] {
        for (name, faults) in [("calm", Faults::default()), ("faulty", faulty)] {
            let mut simulation = Simulation::open(scenario(step, faults));
            let start = Instant::now();
            simulation.run();
            let secs = start.elapsed().as_secs_f64();
            let samples = simulation.checks.received as f64;
            let bytes = simulation.log_bytes as f64 / samples;
            let rate = bytes * TRAINERS * f64::from(step) / STEP_SECS;
            rows.push(json!({
                "step": step,
                "faults": name,
                "samples": simulation.checks.received,
                "broken": simulation.checks.violations(),
                "log_entries": simulation.log_entries,
                "log_bytes_per_sample": bytes,
                "log_bytes_per_s_34_trainers": rate,
                "samples_per_s": samples / secs,
            }));
            println!("{}", rows[rows.len() - 1]);
        }
    }
    println!("{}", json!({ "ledger": rows }));
}
