//! Seeded histories with every fault at once keep every promise; each check can fail.

mod bench;

use bench::Faults;
use bench::Mutation;
use bench::Plan;
use bench::World;
use dandelion_protocol::config::Job;
use dandelion_protocol::time::Millis;
use dandelion_rollout::coordinator::Settings;

const SEEDS: u64 = 40;

fn plan(seed: u64) -> Plan {
    Plan {
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
        pace: 20.0,
        slow: 5000,
        median: 120.0,
        train: 3000,
        calm: 150_000,
        end: 1_500_000,
    }
}

fn run(plan: Plan) -> World {
    let mut world = World::open(plan);
    world.run();
    world
}

fn made(world: &World) -> u64 {
    world.engines.iter().map(|engine| engine.made).sum()
}

#[test]
fn all_faults() {
    for seed in 0..SEEDS {
        let world = run(plan(seed));
        assert_eq!(world.checks.broken(), 0, "seed {seed}: {:?}", world.checks);
        assert!(made(&world) <= world.plan.job.token_budget, "seed {seed}");
    }
}

/// A plan whose budget does not last; in every other seed no daemon is replaced, so that nothing
/// is written off.
fn tight(seed: u64) -> Plan {
    let mut plan = plan(seed);
    plan.job.token_budget = 30_000;
    plan.end = 300_000;
    if !seed.is_multiple_of(2) {
        plan.faults.takeover = 0;
        plan.faults.daemon_killed = 0;
    }
    plan
}

#[test]
fn tight_budget() {
    let mut taken = 0;
    for seed in 0..SEEDS {
        let world = run(tight(seed));
        assert!(made(&world) <= 30_000, "seed {seed} made {}", made(&world));
        taken += world.checks.taken;
    }
    assert!(taken > 40 * SEEDS, "only {taken} samples for all budgets");
}

/// Runs every seed with a defect and adds up what the checks find.
fn with_defect<F>(mutation: Mutation, count: F) -> u64
where
    F: Fn(&World) -> u64,
{
    let runs = (0..SEEDS).map(|seed| {
        let mut plan = plan(seed);
        plan.mutation = Some(mutation);
        plan.end = 300_000;
        run(plan)
    });
    runs.map(|world| count(&world)).sum()
}

#[test]
fn forgotten_acks() {
    assert!(
        with_defect(Mutation::ForgetAcks, |world| world.checks.doubled
            + world.checks.changed)
            > 0
    );
}

#[test]
fn acked_skips() {
    assert!(with_defect(Mutation::AckSkipped, |world| world.checks.lost) > 0);
}

#[test]
fn dropped_publish() {
    assert!(with_defect(Mutation::DropPublish, |world| world.checks.stale) > 0);
}

#[test]
fn ordered_versions() {
    assert!(with_defect(Mutation::ReportOrdered, |world| world.checks.misattributed) > 0);
}

#[test]
fn dropped_cut() {
    assert!(with_defect(Mutation::DropCut, |world| world.checks.changed) > 0);
}

#[test]
fn one_name() {
    assert!(with_defect(Mutation::OneName, |world| world.checks.shared) > 0);
}

#[test]
fn dropped_reserve() {
    let over = (0..SEEDS).map(|seed| {
        let mut plan = tight(seed);
        plan.mutation = Some(Mutation::DropReserve);
        made(&run(plan)).saturating_sub(30_000)
    });
    assert!(over.sum::<u64>() > 0);
}
