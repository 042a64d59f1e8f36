//! Scenario: one of eight teams sends ten times its usual load for a while.

use dandelion_protocol::usage::Class;
use serde_json::Value;
use serde_json::json;

use super::engine::Engine;
use super::fifo::Fifo;
use super::owner::Owner;
use super::report::cost;
use super::report::fair_shares;
use super::report::is_good;
use super::report::p99_ms;
use super::run::Outcome;
use super::run::run;
use super::workload::Request;
use super::workload::Source;
use super::workload::draw;
use super::workload::mean_service_ms;

const ENGINES: usize = 16;
const SLOTS: u32 = 8;
const TEAMS: usize = 8;
const END_MS: u64 = 90_000;
const BURST: std::ops::Range<u64> = 20_000..70_000;

/// Load of all teams together outside the burst, as a share of the capacity.
const LOAD: f64 = 0.9;

/// Factor by which the load of the bursting team rises.
const BURST_FACTOR: f64 = 10.0;

fn requests(seed: u64) -> Vec<Request> {
    let capacity = (ENGINES as f64) * f64::from(SLOTS) * 1000.0 / mean_service_ms();
    let rate = capacity * LOAD / TEAMS as f64;
    let sources: Vec<_> = (0..TEAMS)
        .map(|team| Source {
            team,
            class: Class::Interactive,
            rate: move |at: u64| {
                let bursts = team == 0 && BURST.contains(&at);
                if bursts { rate * BURST_FACTOR } else { rate }
            },
        })
        .collect();
    draw(seed, END_MS, 1 << 40, &sources)
}

/// Returns the cost of all requests answered within the burst, in time or not. Both policies keep
/// the engines busy throughout, so the greater of their figures is the engines' capacity.
fn completed(requests: &[Request], outcome: &Outcome) -> f64 {
    let answered = |r: &&Request| {
        let at = outcome.results[r.id as usize].answered;
        at.is_some_and(|at| BURST.contains(&at))
    };
    cost(requests.iter().filter(answered)) as f64
}

/// Returns the least ratio of served to entitled cost over all teams. A team is entitled to its
/// demand within the burst, up to its fair share; served is what was answered within the burst and
/// in time.
fn worst_share(requests: &[Request], outcome: &Outcome, capacity: f64) -> f64 {
    let of = |team: usize| {
        requests
            .iter()
            .filter(move |r| r.team == team && BURST.contains(&r.at))
    };
    let demands: Vec<f64> = (0..TEAMS).map(|team| cost(of(team)) as f64).collect();
    let entitled = fair_shares(&demands, capacity);
    let answered = |r: &Request| outcome.results[r.id as usize].answered;
    let counts = |r: &&Request| {
        let within = answered(r).is_some_and(|at| BURST.contains(&at));
        within && is_good(r, outcome)
    };
    let served = (0..TEAMS).map(|team| {
        let own = requests.iter().filter(move |r| r.team == team);
        cost(own.filter(counts)) as f64
    });
    served
        .zip(entitled)
        .map(|(served, entitled)| served / entitled)
        .fold(f64::INFINITY, f64::min)
}

/// Runs the scenario with the owner's queue and with the baseline.
pub fn measure(seed: u64) -> Value {
    let requests = requests(seed);
    let engines = || vec![Engine::new(0); ENGINES];
    let fair = run(
        &requests,
        &mut Owner::open(0, ENGINES, SLOTS, false),
        engines(),
        SLOTS,
    );
    let fifo = run(&requests, &mut Fifo::open(ENGINES, SLOTS), engines(), SLOTS);
    let capacity = [&fair, &fifo]
        .map(|outcome| completed(&requests, outcome))
        .into_iter()
        .fold(0.0, f64::max);
    let others = |r: &Request| r.team != 0 && BURST.contains(&r.at);
    json!({
        "worst_team_share": worst_share(&requests, &fair, capacity),
        "baseline_worst_team_share": worst_share(&requests, &fifo, capacity),
        "interactive_p99_ms": p99_ms(&requests, &fair, others),
        "baseline_p99_ms": p99_ms(&requests, &fifo, others),
        "false_not_run": fair.results.iter().filter(|f| f.misreported).count(),
    })
}
