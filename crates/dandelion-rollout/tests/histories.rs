//! Tests that seeded simulations with all faults violate no guarantee, and that each check fails
//! for a matching defect.

mod bench;

use bench::Faults;
use bench::Mutation;
use bench::Scenario;
use bench::Simulation;
use dandelion_protocol::config::Job;
use dandelion_protocol::time::Millis;
use dandelion_rollout::coordinator::Settings;

const SEEDS: u64 = 40;

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        job: Job {
            id: "job".parse().unwrap(),
            team: "team".parse().unwrap(),
            service: "model".parse().unwrap(),
            group_size: 4,
            step_groups: 4,
            max_staleness: seed % 3,
            token_budget: 10_000_000,
            max_tokens: 400,
            scorer: seed.is_multiple_of(2).then(|| "scorer".parse().unwrap()),
            ended: false,
        },
        settings: Settings {
            lease: Millis(5000),
            max_attempts: 50,
            ..Settings::default()
        },
        faults: Faults::all(),
        mutation: None,
        groups: 80,
        feed: 20,
        engines: 4,
        slots: 8,
        tpot: 20.0,
        slowdown: 5000,
        median: 120.0,
        train_ms: 3000,
        faults_end: 150_000,
        end: 1_500_000,
    }
}

fn run(scenario: Scenario) -> Simulation {
    let mut simulation = Simulation::open(scenario);
    simulation.run();
    simulation
}

fn generated(simulation: &Simulation) -> u64 {
    simulation
        .engines
        .iter()
        .map(|engine| engine.generated)
        .sum()
}

#[test]
fn all_faults() {
    for seed in 0..SEEDS {
        let simulation = run(scenario(seed));
        assert_eq!(
            simulation.checks.violations(),
            0,
            "seed {seed}: {:?}",
            simulation.checks
        );
        assert!(
            generated(&simulation) <= simulation.scenario.job.token_budget,
            "seed {seed}"
        );
    }
}

/// Returns a scenario whose budget runs out. Odd seeds change no coordinator, so that no
/// reservation is written off.
fn tight_scenario(seed: u64) -> Scenario {
    let mut scenario = scenario(seed);
    scenario.job.token_budget = 30_000;
    scenario.end = 300_000;
    if !seed.is_multiple_of(2) {
        scenario.faults.takeover = 0;
        scenario.faults.daemon_killed = 0;
    }
    scenario
}

#[test]
fn tight_budget() {
    let mut received = 0;
    for seed in 0..SEEDS {
        let simulation = run(tight_scenario(seed));
        assert!(
            generated(&simulation) <= 30_000,
            "seed {seed} made {}",
            generated(&simulation)
        );
        received += simulation.checks.received;
    }
    assert!(
        received > 40 * SEEDS,
        "only {received} samples for all budgets"
    );
}

/// Runs every seed with a defect and returns the sum of the given check.
fn with_defect<F>(mutation: Mutation, count: F) -> u64
where
    F: Fn(&Simulation) -> u64,
{
    let runs = (0..SEEDS).map(|seed| {
        let mut scenario = scenario(seed);
        scenario.mutation = Some(mutation);
        scenario.end = 300_000;
        run(scenario)
    });
    runs.map(|simulation| count(&simulation)).sum()
}

#[test]
fn forgotten_acks() {
    assert!(
        with_defect(Mutation::ForgetAcks, |simulation| simulation
            .checks
            .duplicated
            + simulation.checks.changed)
            > 0
    );
}

#[test]
fn acked_skips() {
    assert!(with_defect(Mutation::AckSkipped, |simulation| simulation.checks.lost) > 0);
}

#[test]
fn dropped_publish() {
    assert!(with_defect(Mutation::DropPublish, |simulation| simulation.checks.stale) > 0);
}

#[test]
fn ordered_versions() {
    assert!(
        with_defect(Mutation::ReportOrdered, |simulation| simulation
            .checks
            .misattributed)
            > 0
    );
}

#[test]
fn dropped_freeze() {
    assert!(with_defect(Mutation::DropFreeze, |simulation| simulation.checks.changed) > 0);
}

#[test]
fn same_trainer() {
    assert!(with_defect(Mutation::SameTrainer, |simulation| simulation.checks.shared) > 0);
}

#[test]
fn dropped_reserve() {
    let over = (0..SEEDS).map(|seed| {
        let mut scenario = tight_scenario(seed);
        scenario.mutation = Some(Mutation::DropReserve);
        generated(&run(scenario)).saturating_sub(30_000)
    });
    assert!(over.sum::<u64>() > 0);
}
