//! Sends orders to the platform and reads its answers.

use dandelion_fleet::orders::IssuerEvent;
use dandelion_fleet::orders::OrderOutcome;
use dandelion_fleet::plan;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::UpstreamId;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use serde::Deserialize;

use crate::core::Handle;
use crate::duties::platform;
use crate::duties::platform::PlatformAnswer;

const ORDERS_PATH: &str = "/orders";

/// Reason of a refusal when the platform has no upstream of the requested kind in stock.
const OUT_OF_STOCK: &str = "out_of_stock";

/// Body of a refusal; absent fields are empty.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct AnswerBody {
    reason: String,
    message: String,
}

/// Sends one order if the leader lease of its term holds; without a final answer, the outcome is
/// none.
pub async fn send(core: &Handle, order: Order) -> IssuerEvent {
    event!(Event::OrderSent, order = order.id, term = order.term);
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let answer = platform::post(core, order.term, ORDERS_PATH, body).await;
    let outcome = answer.and_then(|answer| outcome_of(&order, &answer));
    IssuerEvent::Answered {
        id: order.id,
        term: order.term,
        outcome,
    }
}

/// Reads an answer; none if it is not final, so that the order is sent again.
fn outcome_of(order: &Order, answer: &PlatformAnswer) -> Option<OrderOutcome> {
    match answer.status {
        200..=299 => Some(OrderOutcome::Accepted {
            upstream: upstream_of(order)?,
        }),
        400..=499 => Some(refusal(&answer.body)),
        _ => None,
    }
}

fn refusal(body: &[u8]) -> OrderOutcome {
    let body: AnswerBody = serde_json::from_slice(body).unwrap_or_default();
    if body.reason == OUT_OF_STOCK {
        event!(Event::StockOut);
        return OrderOutcome::OutOfStock;
    }
    event!(Event::OrderFailed, message = body.message);
    OrderOutcome::Refused {
        reason: body.message,
    }
}

fn upstream_of(order: &Order) -> Option<UpstreamId> {
    match &order.body {
        OrderBody::Start { .. } => plan::upstream_name(order.id).ok(),
        OrderBody::Stop { upstream } => Some(upstream.clone()),
    }
}
