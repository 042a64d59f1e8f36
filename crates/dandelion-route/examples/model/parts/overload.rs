//! Three times the capacity is asked for.

use dandelion_protocol::usage::Class;
use serde_json::Value;
use serde_json::json;

use super::engine::Engine;
use super::fifo::Fifo;
use super::owner::Owner;
use super::report::cost;
use super::report::is_good;
use super::report::p99_ms;
use super::run::Policy;
use super::run::run;
use super::workload::Request;
use super::workload::Source;
use super::workload::draw;
use super::workload::mean_service_ms;

const ENGINES: usize = 16;
const SLOTS: u32 = 8;
const TEAMS: usize = 8;
const END_MS: u64 = 60_000;
const FACTOR: f64 = 3.0;

fn requests(seed: u64, load: f64) -> Vec<Request> {
    let capacity = (ENGINES as f64) * f64::from(SLOTS) * 1000.0 / mean_service_ms();
    let rate = capacity * load / TEAMS as f64;
    let sources: Vec<_> = (0..TEAMS)
        .map(|team| Source {
            team,
            class: Class::Interactive,
            rate: move |_: u64| rate,
        })
        .collect();
    draw(seed, END_MS, 1 << 40, &sources)
}

struct Figures {
    good: f64,
    p99: u64,
    untrue: usize,
    refused: usize,
}

fn serve<P>(requests: &[Request], policy: &mut P) -> Figures
where
    P: Policy,
{
    let outcome = run(requests, policy, vec![Engine::new(0); ENGINES], SLOTS);
    let good = cost(requests.iter().filter(|r| is_good(r, &outcome)));
    Figures {
        good: good as f64,
        p99: p99_ms(requests, &outcome, |_| true),
        untrue: outcome.fates.iter().filter(|f| f.untrue).count(),
        refused: outcome.fates.iter().filter(|f| f.refused).count(),
    }
}

/// Runs the scenario at capacity and over it, with the owner's queue and the baseline.
pub fn measure(seed: u64) -> Value {
    let [normal, over] = [1.0, FACTOR].map(|load| requests(seed, load));
    let owner = || Owner::open(0, ENGINES, SLOTS, false);
    let fifo = || Fifo::open(ENGINES, SLOTS);
    let (at, beyond) = (serve(&normal, &mut owner()), serve(&over, &mut owner()));
    let (base_at, base_beyond) = (serve(&normal, &mut fifo()), serve(&over, &mut fifo()));
    json!({
        "goodput_ratio": beyond.good / at.good,
        "baseline_goodput_ratio": base_beyond.good / base_at.good,
        "refused_at_capacity": at.refused as f64 / normal.len() as f64,
        "p99_ms": beyond.p99,
        "baseline_p99_ms": base_beyond.p99,
        "false_not_run": at.untrue + beyond.untrue,
    })
}
