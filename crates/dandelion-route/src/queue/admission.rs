//! Predicted waiting times, and the refusals of requests that cannot be served.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;

use crate::queue::teams::Teams;
use crate::ticket::Ticket;

/// Divisor of the smoothed service time: a new sample has the weight `1 / SMOOTHING`.
const SMOOTHING: u64 = 32;

/// Number of mean deviations added to a mean for an upper estimate.
pub const DEVIATIONS: u64 = 2;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(1000);

/// Longest time after which a refused caller is told to retry, before jitter.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(60);

/// Greatest jitter added to the retry time, in thousandths of it, so that callers do not all retry
/// at the same moment.
const JITTER_PERMILLE: u64 = 250;

/// Smoothed time per token at the upstreams, measured on finished requests.
#[derive(Debug, Clone, Default)]
pub struct ServiceTime {
    micros: u64,
    deviation: u64,
}

impl ServiceTime {
    /// Adds a sample: a request that took `latency` for `tokens`.
    pub fn record(&mut self, tokens: u64, latency: Millis) {
        let sample = (latency.0.saturating_mul(1000) / tokens.max(1)).max(1);
        if self.micros == 0 {
            self.micros = sample;
            return;
        }
        let error = self.micros.abs_diff(sample);
        self.deviation = (self.deviation * (SMOOTHING - 1) + error) / SMOOTHING;
        self.micros = (self.micros * (SMOOTHING - 1) + sample).div_ceil(SMOOTHING);
    }

    /// Returns an upper estimate of the time for `cost`, which a deadline must allow for.
    pub fn upper_estimate(&self, cost: u64) -> Millis {
        let micros = self.micros + DEVIATIONS * self.deviation;
        Millis(cost.saturating_mul(micros) / 1000)
    }

    /// Returns the mean time that one upstream slot needs for `cost`; zero before the first sample.
    pub fn estimate(&self, cost: u64) -> Millis {
        Millis(cost.saturating_mul(self.micros) / 1000)
    }
}

/// Predicts how long a request of `cost` waits if no slot is free.
///
/// The prediction is the time in which all slots together serve the work ahead of the request, plus
/// an estimate of the time until a first slot becomes free. The work ahead is its team's queue of
/// the class divided by the team's share of the active weight, but at most the queue of all teams;
/// for a rollout, all interactive work comes on top.
pub fn predict_wait(
    teams: &Teams,
    service_time: &ServiceTime,
    slots: u64,
    index: usize,
    class: usize,
    cost: u64,
) -> Millis {
    let team = teams.get(index);
    let [interactive, rollout] = teams.queued();
    let active = teams.active_weight().max(team.weight);
    let fair = team.queued[class].saturating_mul(active) / team.weight;
    let ahead = if class == 0 {
        fair.min(interactive)
    } else {
        interactive + fair.min(rollout)
    };
    Millis(service_time.estimate(ahead + cost).0 / slots.max(1))
}

/// Returns a retry time near `after`, with a jitter that depends on the ticket.
pub fn retry_after(ticket: Ticket, after: Millis) -> Millis {
    let base = after.0.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0);
    let jitter = base * JITTER_PERMILLE / 1000;
    Millis(base + ticket.0.wrapping_mul(0x9E37_79B9) % (jitter + 1))
}

/// Refusal of a request that finds the queue full or cannot meet its deadline.
pub fn overloaded(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("service `{service}` cannot start the request before its deadline");
    let remedy = "resend after the stated time, or with a longer deadline";
    Refusal::not_run(RefusalCode::Overloaded, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// Refusal of a request whose team is over its own limit.
pub fn over_limit(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("the team's own limit on service `{service}` is used up");
    let remedy = "resend after the stated time, or ask an operator for a higher limit";
    Refusal::not_run(RefusalCode::LimitExceeded, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// Refusal of a request for which no upstream can get work.
pub fn no_upstream(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("no upstream of service `{service}` takes work here");
    let remedy = "resend after the stated time; operators see `dandelionctl upstream list`";
    Refusal::not_run(RefusalCode::NoUpstream, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// Refusal of a request that is blocked because it crashed upstreams.
pub fn poisoned(service: &ServiceId) -> Refusal {
    let message = format!("this request ran before and crashed upstreams of service `{service}`");
    let remedy = "change the request, or ask an operator to lift the block";
    Refusal::not_run(RefusalCode::Poisoned, &message, remedy).with_ran(Ran::Ran)
}
