//! Figures computed from the outcome of a run.

use dandelion_protocol::usage::Class;

use super::run::Outcome;
use super::workload::Request;

/// Returns whether a request's answer was complete before its deadline.
pub fn is_good(request: &Request, outcome: &Outcome) -> bool {
    let answered = outcome.results[request.id as usize].answered;
    answered.is_some_and(|at| at <= request.deadline)
}

/// Returns the total cost of `requests`.
pub fn cost<'a, I>(requests: I) -> u64
where
    I: IntoIterator<Item = &'a Request>,
{
    requests.into_iter().map(|r| r.work.cost()).sum()
}

/// Returns the 99th percentile of the time to a complete answer, in milliseconds, of the answered
/// interactive requests that `keep` selects.
pub fn p99_ms<F>(requests: &[Request], outcome: &Outcome, keep: F) -> u64
where
    F: Fn(&Request) -> bool,
{
    let chosen = requests
        .iter()
        .filter(|r| r.class == Class::Interactive && keep(r));
    let mut times: Vec<u64> = chosen
        .filter_map(|r| Some(outcome.results[r.id as usize].answered? - r.at))
        .collect();
    times.sort_unstable();
    times.get(times.len() * 99 / 100).copied().unwrap_or(0)
}

/// Returns the max-min fair shares: each demand is met up to an equal share of `capacity`, and what
/// a demand does not use is divided among the others.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut remaining = capacity;
    let mut shares = vec![0.0; demands.len()];
    for (done, index) in order.iter().enumerate() {
        let part = remaining / (demands.len() - done) as f64;
        shares[*index] = demands[*index].min(part);
        remaining -= shares[*index];
    }
    shares
}
