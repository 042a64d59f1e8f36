//! The replicated table of orders. An order is recorded before it is first sent.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Name under which proposals address the orders table.
pub const ORDERS_TABLE: &str = "orders";

/// Maximum number of retained closed orders; those closed first are dropped first.
pub const MAX_CLOSED_ORDERS: usize = 1000;

/// Length of the sliding window in which starts count against the limit, in milliseconds.
pub const START_WINDOW_MS: u64 = 60_000;

#[distributed_slice(TABLES)]
static ORDERS: TableEntry = TableEntry::of::<OrdersTable>();

/// Limits that operators set for orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Maximum number of upstreams, including those that are starting or leaving; the planner
    /// applies it.
    pub max_upstreams: u32,
    /// Maximum number of starts recorded within a minute; the table applies it.
    pub starts_minute: u32,
    /// Whether new orders are refused; orders recorded before are still sent.
    pub paused: bool,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            max_upstreams: 10_000,
            starts_minute: 60,
            paused: false,
        }
    }
}

/// Stage of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderStage {
    /// Recorded; it may or may not have been sent.
    Planned,
    /// The platform accepted it.
    Accepted {
        /// Upstream that it starts or stops.
        upstream: UpstreamId,
    },
    /// The platform refused it because it is out of stock.
    OutOfStock,
    /// The platform refused it as invalid or because a newer term has fenced it off.
    Refused {
        /// Message of the platform.
        reason: String,
    },
    /// The started upstream announced itself, or the stopped one is gone.
    Done,
    /// Given up after it was accepted.
    Abandoned {
        /// Explanation for operators.
        reason: String,
    },
}

impl OrderStage {
    /// Returns whether the stage is final.
    pub fn is_closed(&self) -> bool {
        !matches!(self, Self::Planned | Self::Accepted { .. })
    }
}

/// An order with its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identity of the order, kept over resends.
    pub id: RequestId,
    /// Requested start or stop.
    pub body: OrderBody,
    /// Why it was planned, for operators.
    pub reason: String,
    /// When it was recorded, by the control leader's clock.
    pub planned_at: WallMillis,
    /// When its stage last changed, by the control leader's clock.
    pub moved_at: WallMillis,
    /// Stage that it has reached.
    pub stage: OrderStage,
}

/// The platform's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Accepted.
    Accepted {
        /// Upstream that it starts or stops.
        upstream: UpstreamId,
    },
    /// Refused: the zone has no upstream of this price kind in stock.
    OutOfStock,
    /// Refused as invalid or because a newer term has fenced it off.
    Refused {
        /// Message of the platform.
        reason: String,
    },
}

/// A change of the orders table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderCommand {
    /// Records a new order. Idempotent by `id`.
    Plan {
        /// Identity of the new order.
        id: RequestId,
        /// Start or stop to request.
        body: OrderBody,
        /// Why it is planned, for operators.
        reason: String,
    },
    /// Records the platform's answer. Has no effect on a closed order.
    Answer {
        /// Order that was answered.
        id: RequestId,
        /// The platform's answer.
        outcome: OrderOutcome,
    },
    /// Records that the order took effect. Has no effect on a closed order.
    Finish {
        /// Order that took effect.
        id: RequestId,
    },
    /// Gives an accepted order up. Has no effect on a closed order.
    Abandon {
        /// Order to give up.
        id: RequestId,
        /// Explanation for operators.
        reason: String,
    },
    /// Replaces the operators' limits.
    SetLimits(FleetLimits),
}

/// Result of an [`OrderCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order after the command.
    Order(OrderRecord),
    /// The limits after the command.
    Limits(FleetLimits),
}

/// Orders of a cell with the operators' limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersTable {
    limits: FleetLimits,
    open: BTreeMap<RequestId, OrderRecord>,
    closed: BTreeMap<RequestId, OrderRecord>,
    closing_order: VecDeque<RequestId>,
    starts: VecDeque<WallMillis>,
}

impl OrdersTable {
    /// Returns the limits in force.
    pub fn limits(&self) -> &FleetLimits {
        &self.limits
    }

    /// Returns the orders whose stage is not final, by id.
    pub fn open_orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.open.values()
    }

    /// Returns an open order or a retained closed one.
    pub fn find(&self, id: RequestId) -> Option<&OrderRecord> {
        self.open.get(&id).or_else(|| self.closed.get(&id))
    }

    /// Returns the retained closed orders, by id.
    pub fn closed_orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.closed.values()
    }

    fn plan(
        &mut self,
        at: WallMillis,
        id: RequestId,
        body: OrderBody,
        reason: String,
    ) -> Result<OrderReply, Rejection> {
        if let Some(recorded) = self.find(id) {
            return repeated_plan(recorded, &body);
        }
        self.check_plan(at, &body)?;
        if matches!(body, OrderBody::Start { .. }) {
            self.starts.push_back(at);
        }
        let record = OrderRecord {
            id,
            body,
            reason,
            planned_at: at,
            moved_at: at,
            stage: OrderStage::Planned,
        };
        self.open.insert(id, record.clone());
        Ok(OrderReply::Order(record))
    }

    fn check_plan(&mut self, at: WallMillis, body: &OrderBody) -> Result<(), Rejection> {
        if self.limits.paused {
            return Err(Rejection::invalid(
                "fleet",
                "orders are paused",
                "resume them with `dandelionctl fleet resume`",
            ));
        }
        match body {
            OrderBody::Start { .. } => self.check_rate(at),
            OrderBody::Stop { upstream } => self.check_stop(upstream),
        }
    }

    fn check_rate(&mut self, at: WallMillis) -> Result<(), Rejection> {
        let oldest = at.0.saturating_sub(START_WINDOW_MS);
        while self.starts.front().is_some_and(|s| s.0 <= oldest) {
            self.starts.pop_front();
        }
        if self.starts.len() < self.limits.starts_minute as usize {
            return Ok(());
        }
        Err(Rejection::invalid(
            "starts",
            "the limit of starts in a minute is used up",
            "wait, or raise it with `dandelionctl fleet limits`",
        ))
    }

    fn check_stop(&self, upstream: &UpstreamId) -> Result<(), Rejection> {
        let stops =
            |r: &OrderRecord| matches!(&r.body, OrderBody::Stop { upstream: u } if u == upstream);
        if self.open.values().any(stops) {
            return Err(Rejection::invalid(
                "upstream",
                "a stop of it is already ordered",
                "wait for that order",
            ));
        }
        Ok(())
    }

    fn set_stage(
        &mut self,
        at: WallMillis,
        id: RequestId,
        stage: OrderStage,
    ) -> Result<OrderReply, Rejection> {
        if let Some(closed) = self.closed.get(&id) {
            return Ok(OrderReply::Order(closed.clone()));
        }
        let Some(record) = self.open.get_mut(&id) else {
            return Err(Rejection::NotFound {
                what: format!("order {id}"),
            });
        };
        record.stage = stage;
        record.moved_at = at;
        let record = record.clone();
        if record.stage.is_closed() {
            self.close(record.clone());
        }
        Ok(OrderReply::Order(record))
    }

    fn close(&mut self, record: OrderRecord) {
        self.open.remove(&record.id);
        self.closing_order.push_back(record.id);
        self.closed.insert(record.id, record);
        if self.closing_order.len() > MAX_CLOSED_ORDERS
            && let Some(oldest) = self.closing_order.pop_front()
        {
            self.closed.remove(&oldest);
        }
    }
}

/// Returns the recorded order if a plan repeats it, or a rejection if its id names another order.
fn repeated_plan(recorded: &OrderRecord, body: &OrderBody) -> Result<OrderReply, Rejection> {
    if recorded.body == *body {
        return Ok(OrderReply::Order(recorded.clone()));
    }
    Err(Rejection::invalid(
        "order id",
        "it names another order",
        "choose a new order id",
    ))
}

impl Table for OrdersTable {
    const NAME: &'static str = ORDERS_TABLE;
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = OrderCommand;
    type Reply = OrderReply;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: OrderCommand,
    ) -> Result<OrderReply, Rejection> {
        let at = context.at;
        match command {
            OrderCommand::Plan { id, body, reason } => self.plan(at, id, body, reason),
            OrderCommand::Answer { id, outcome } => self.set_stage(at, id, stage_after(outcome)),
            OrderCommand::Finish { id } => self.set_stage(at, id, OrderStage::Done),
            OrderCommand::Abandon { id, reason } => {
                self.set_stage(at, id, OrderStage::Abandoned { reason })
            }
            OrderCommand::SetLimits(limits) => {
                self.limits = limits.clone();
                Ok(OrderReply::Limits(limits))
            }
        }
    }
}

fn stage_after(outcome: OrderOutcome) -> OrderStage {
    match outcome {
        OrderOutcome::Accepted { upstream } => OrderStage::Accepted { upstream },
        OrderOutcome::OutOfStock => OrderStage::OutOfStock,
        OrderOutcome::Refused { reason } => OrderStage::Refused { reason },
    }
}
