//! Scenario: the load is three times the capacity.

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
const OVERLOAD_FACTOR: f64 = 3.0;

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
    misreported: usize,
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
        misreported: outcome.results.iter().filter(|f| f.misreported).count(),
        refused: outcome.results.iter().filter(|f| f.refused).count(),
    }
}

/// Runs the scenario at capacity and in overload, with the owner's queue and with the baseline.
pub fn measure(seed: u64) -> Value {
    let [normal, overload] = [1.0, OVERLOAD_FACTOR].map(|load| requests(seed, load));
    let owner = || Owner::open(0, ENGINES, SLOTS, false);
    let fifo = || Fifo::open(ENGINES, SLOTS);
    let (normal_figures, overload_figures) =
        (serve(&normal, &mut owner()), serve(&overload, &mut owner()));
    let (baseline_normal, baseline_overload) =
        (serve(&normal, &mut fifo()), serve(&overload, &mut fifo()));
    json!({
        "goodput_ratio": overload_figures.good / normal_figures.good,
        "baseline_goodput_ratio": baseline_overload.good / baseline_normal.good,
        "refused_at_capacity": normal_figures.refused as f64 / normal.len() as f64,
        "p99_ms": overload_figures.p99,
        "baseline_p99_ms": baseline_overload.p99,
        "false_not_run": normal_figures.misreported + overload_figures.misreported,
    })
}
