//! Scenario: rollouts use all capacity while interactive requests arrive.

use dandelion_protocol::usage::Class;
use serde_json::Value;
use serde_json::json;

use super::engine::Engine;
use super::fifo::Fifo;
use super::owner::Owner;
use super::report::is_good;
use super::report::p99_ms;
use super::run::Outcome;
use super::run::run;
use super::workload::Request;
use super::workload::Source;
use super::workload::draw;
use super::workload::mean_service_ms;

const ENGINES: usize = 8;
const SLOTS: u32 = 8;
const TEAMS: usize = 8;
const END_MS: u64 = 60_000;

/// Load of each class, as a share of the capacity.
const INTERACTIVE_LOAD: f64 = 0.4;
const ROLLOUT_LOAD: f64 = 1.0;

/// Timeout of a rollout, in milliseconds.
const ROLLOUT_MS: u64 = 600_000;

fn requests(seed: u64) -> Vec<Request> {
    let capacity = (ENGINES as f64) * f64::from(SLOTS) * 1000.0 / mean_service_ms();
    let sources: Vec<_> = (0..2 * TEAMS)
        .map(|n| {
            let class = [Class::Interactive, Class::Rollout][n % 2];
            let load = [INTERACTIVE_LOAD, ROLLOUT_LOAD][n % 2];
            Source {
                team: n / 2,
                class,
                rate: move |_: u64| capacity * load / TEAMS as f64,
            }
        })
        .collect();
    let mut requests = draw(seed, END_MS, 1 << 40, &sources);
    for request in &mut requests {
        if request.class == Class::Rollout {
            request.deadline = request.at + ROLLOUT_MS;
        }
    }
    requests
}

fn good(requests: &[Request], outcome: &Outcome, class: Class) -> f64 {
    let all = requests.iter().filter(|r| r.class == class);
    let (count, good) = all.fold((0, 0), |(count, good), r| {
        (count + 1, good + u32::from(is_good(r, outcome)))
    });
    f64::from(good) / f64::from(count)
}

/// Runs the scenario with the owner's queue and with the baseline. A preempted rollout starts from
/// the beginning in this model, although real engines resume it.
pub fn measure(seed: u64) -> Value {
    let requests = requests(seed);
    let engines = || vec![Engine::new(0); ENGINES];
    let mut owner = Owner::open(0, ENGINES, SLOTS, false);
    let ours = run(&requests, &mut owner, engines(), SLOTS);
    let fifo = run(&requests, &mut Fifo::open(ENGINES, SLOTS), engines(), SLOTS);
    let preempted: u32 = ours.results.iter().map(|f| f.preempted).sum();
    json!({
        "interactive_p99_ms": p99_ms(&requests, &ours, |_| true),
        "baseline_p99_ms": p99_ms(&requests, &fifo, |_| true),
        "interactive_good": good(&requests, &ours, Class::Interactive),
        "baseline_interactive_good": good(&requests, &fifo, Class::Interactive),
        "rollouts_done": good(&requests, &ours, Class::Rollout),
        "baseline_rollouts_done": good(&requests, &fifo, Class::Rollout),
        "preempted_each_rollout": f64::from(preempted) * 2.0 / requests.len() as f64,
        "false_not_run": ours.results.iter().filter(|f| f.misreported).count(),
    })
}
