//! Predicted waiting times and the refusals that follow from them.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;

use crate::queue::teams::Teams;
use crate::ticket::Ticket;

/// Weight of a new sample in the smoothed pace, as a divisor.
const SMOOTHING: u64 = 32;

/// Mean deviations added to a mean for an upper estimate.
pub const DEVIATIONS: u64 = 2;

/// Least time after which a refused caller is asked back.
const MIN_RETRY: Millis = Millis(1000);

/// Greatest time after which a refused caller is asked back.
const MAX_RETRY: Millis = Millis::from_secs(60);

/// Spread added to the time of return, in thousandths, so that callers do not return together.
const SPREAD_PERMILLE: u64 = 250;

/// Speed of the upstreams as seen in finished requests.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    micros: u64,
    deviation: u64,
}

impl Pace {
    /// Learns from a request that took `latency` for `tokens`.
    pub fn learn(&mut self, tokens: u64, latency: Millis) {
        let seen = (latency.0.saturating_mul(1000) / tokens.max(1)).max(1);
        if self.micros == 0 {
            self.micros = seen;
            return;
        }
        let off = self.micros.abs_diff(seen);
        self.deviation = (self.deviation * (SMOOTHING - 1) + off) / SMOOTHING;
        self.micros = (self.micros * (SMOOTHING - 1) + seen).div_ceil(SMOOTHING);
    }

    /// Returns the time that `cost` may well take, which a deadline must allow for.
    pub fn service_most(&self, cost: u64) -> Millis {
        let micros = self.micros + DEVIATIONS * self.deviation;
        Millis(cost.saturating_mul(micros) / 1000)
    }

    /// Returns the time that one upstream slot takes for `cost`; zero while nothing is known.
    pub fn service(&self, cost: u64) -> Millis {
        Millis(cost.saturating_mul(self.micros) / 1000)
    }
}

/// Predicts how long a request of `cost` will wait when no slot is free, from what is queued
/// before it, the share of the slots that its team can expect, and the time until a first slot
/// becomes free.
pub fn predict_wait(
    teams: &Teams,
    pace: &Pace,
    slots: u64,
    index: usize,
    class: usize,
    cost: u64,
) -> Millis {
    let team = teams.get(index);
    let [interactive, rollout] = teams.queued();
    let active = teams.active().max(team.weight);
    let fair = team.queued[class].saturating_mul(active) / team.weight;
    let ahead = if class == 0 {
        fair.min(interactive)
    } else {
        interactive + fair.min(rollout)
    };
    Millis(pace.service(ahead + cost).0 / slots.max(1))
}

/// Returns a time of return near `after`, spread by ticket.
pub fn retry_after(ticket: Ticket, after: Millis) -> Millis {
    let base = after.0.clamp(MIN_RETRY.0, MAX_RETRY.0);
    let spread = base * SPREAD_PERMILLE / 1000;
    Millis(base + ticket.0.wrapping_mul(0x9E37_79B9) % (spread + 1))
}

/// The queue is full or the deadline cannot be met.
pub fn overloaded(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("service `{service}` cannot start the request before its deadline");
    let remedy = "resend after the stated time, or with a longer deadline";
    Refusal::not_run(RefusalCode::Overloaded, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// The team is over its own limit.
pub fn over_limit(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("the team's own limit on service `{service}` is used up");
    let remedy = "resend after the stated time, or ask an operator for a higher limit";
    Refusal::not_run(RefusalCode::LimitExceeded, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// No upstream takes work.
pub fn no_upstream(service: &ServiceId, ticket: Ticket, after: Millis) -> Refusal {
    let message = format!("no upstream of service `{service}` takes work here");
    let remedy = "resend after the stated time; operators see `dandelionctl upstream list`";
    Refusal::not_run(RefusalCode::NoUpstream, &message, remedy)
        .with_retry_after(retry_after(ticket, after))
}

/// The request crashed upstreams and is blocked.
pub fn poisoned(service: &ServiceId) -> Refusal {
    let message = format!("this request ran before and crashed upstreams of service `{service}`");
    let remedy = "change the request, or ask an operator to lift the block";
    Refusal::not_run(RefusalCode::Poisoned, &message, remedy).with_ran(Ran::Ran)
}
