//! Learns limits from the answers of upstreams.

use dandelion_net::http::client::Exchange;
use dandelion_platform::headers;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RatePermit;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::gateway::answer::MISDIRECTED;
use crate::gateway::limits::state::replicated;

/// Takes in what the head of an answer says about the limit of its upstream. `permit` is that of the
/// request, if it had one.
pub fn observe(
    core: &Handle,
    upstream: &UpstreamIncarnation,
    answer: &Exchange,
    permit: Option<RatePermit>,
    request: &str,
) {
    if answer.status() == MISDIRECTED {
        return;
    }
    let text = answer.header(headers::LIMIT);
    let rate = text.and_then(headers::limit);
    if let (Some(text), None) = (text, rate) {
        log::warn!(
            "upstream {} names the limit {text:?}, which is no number",
            upstream.id
        );
        return;
    }
    // Only an upstream that ran the request surely says all that it has to say.
    let is_silent =
        answer.header(headers::SEAL).is_none() || answer.header(headers::NOT_RUN).is_some();
    if rate.is_none() && is_silent {
        return;
    }
    let view = core.control.view();
    let limits = &core.gateway.limits;
    let number = permit.map(|permit| permit.number);
    let changed = limits
        .known()
        .observe(replicated(&view), upstream, rate, number);
    if !changed {
        return;
    }
    event!(
        Event::LimitKnown,
        source = "answer",
        upstream = upstream.id,
        born = upstream.born.0,
        per_second = rate.map_or_else(|| "none".to_owned(), |r| r.per_second().to_string()),
        request = request,
        permit = number.map_or_else(|| "none".to_owned(), |n| n.to_string())
    );
    limits.record_changes();
}
