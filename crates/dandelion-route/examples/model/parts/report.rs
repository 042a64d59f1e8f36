//! Figures drawn from a run.

use dandelion_protocol::usage::Class;

use super::run::Outcome;
use super::workload::Request;

/// Whether a request's answer was whole before its deadline.
pub fn is_good(request: &Request, outcome: &Outcome) -> bool {
    let answered = outcome.fates[request.id as usize].answered;
    answered.is_some_and(|at| at <= request.deadline)
}

/// Sums the cost of the requests that `keep` selects.
pub fn cost<'a, I>(requests: I) -> u64
where
    I: IntoIterator<Item = &'a Request>,
{
    requests.into_iter().map(|r| r.work.cost()).sum()
}

/// Returns the 99th percentile of the time to a whole answer, in milliseconds, of the answered
/// interactive requests that `keep` selects.
pub fn p99_ms<F>(requests: &[Request], outcome: &Outcome, keep: F) -> u64
where
    F: Fn(&Request) -> bool,
{
    let chosen = requests
        .iter()
        .filter(|r| r.class == Class::Interactive && keep(r));
    let mut times: Vec<u64> = chosen
        .filter_map(|r| Some(outcome.fates[r.id as usize].answered? - r.at))
        .collect();
    times.sort_unstable();
    times.get(times.len() * 99 / 100).copied().unwrap_or(0)
}

/// Returns the shares that would be served fairly: each demand is met as far as its equal part of
/// `capacity` reaches, and what is left over goes to the rest.
pub fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = capacity;
    let mut shares = vec![0.0; demands.len()];
    for (done, index) in order.iter().enumerate() {
        let part = left / (demands.len() - done) as f64;
        shares[*index] = demands[*index].min(part);
        left -= shares[*index];
    }
    shares
}
