//! The replicated book of orders. An order is recorded before it is sent for the first time.

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

/// Name of the orders table.
pub const ORDERS_TABLE: &str = "orders";

/// Closed orders that stay readable.
pub const CLOSED_ORDERS: usize = 1000;

/// Span over which starts are counted against the limit, in milliseconds.
pub const START_SPAN_MS: u64 = 60_000;

#[distributed_slice(TABLES)]
static ORDERS: TableEntry = TableEntry::of::<OrdersTable>();

/// Bounds that operators set for the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Upstreams that may exist or be starting at once.
    pub max_upstreams: u32,
    /// Starts that may be ordered in a minute.
    pub starts_minute: u32,
    /// Whether no new order is made.
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

/// Where an order stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderStage {
    /// Recorded; it may or may not have been sent.
    Planned,
    /// The platform took it.
    Accepted {
        /// Upstream that it will start or stop.
        upstream: UpstreamId,
    },
    /// The platform refused it for want of stock.
    OutOfStock,
    /// The platform refused it as invalid or fenced off.
    Refused {
        /// The platform's words.
        reason: String,
    },
    /// The started upstream announced itself, or the stopped one is gone.
    Done,
    /// Given up; the reason is for operators.
    Abandoned {
        /// Why.
        reason: String,
    },
}

impl OrderStage {
    /// Returns whether nothing more will happen to the order.
    pub fn is_closed(&self) -> bool {
        !matches!(self, Self::Planned | Self::Accepted { .. })
    }
}

/// An order with its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Identity, kept over resends.
    pub id: RequestId,
    /// What is asked for.
    pub body: OrderBody,
    /// Why the planner made it.
    pub reason: String,
    /// When it was recorded.
    pub planned_at: WallMillis,
    /// When it last moved.
    pub moved_at: WallMillis,
    /// Where it stands.
    pub stage: OrderStage,
}

/// How the platform answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Taken; names the upstream.
    Accepted {
        /// Upstream that it will start or stop.
        upstream: UpstreamId,
    },
    /// No stock of this kind in this zone.
    OutOfStock,
    /// Invalid or fenced off.
    Refused {
        /// The platform's words.
        reason: String,
    },
}

/// A change of the orders table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderCommand {
    /// Records a new order.
    Plan {
        /// Identity.
        id: RequestId,
        /// What to ask for.
        body: OrderBody,
        /// Why.
        reason: String,
    },
    /// Records the platform's answer.
    Answer {
        /// Order.
        id: RequestId,
        /// Answer.
        outcome: OrderOutcome,
    },
    /// Records that the order had its effect.
    Finish {
        /// Order.
        id: RequestId,
    },
    /// Gives an accepted order up.
    Abandon {
        /// Order.
        id: RequestId,
        /// Why.
        reason: String,
    },
    /// Replaces the operators' limits.
    SetLimits(FleetLimits),
}

/// Result of an [`OrderCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order as it now stands.
    Order(OrderRecord),
    /// The limits in force.
    Limits(FleetLimits),
}

/// Orders of one cell.
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

    /// Returns the orders that still await something.
    pub fn open_orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.open.values()
    }

    /// Returns an order, open or closed.
    pub fn find(&self, id: RequestId) -> Option<&OrderRecord> {
        self.open.get(&id).or_else(|| self.closed.get(&id))
    }

    /// Returns the closed orders that are still remembered.
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
        if let Some(known) = self.find(id) {
            return known_order(known, &body);
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
        let oldest = at.0.saturating_sub(START_SPAN_MS);
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

    fn move_to(
        &mut self,
        at: WallMillis,
        id: RequestId,
        stage: OrderStage,
    ) -> Result<OrderReply, Rejection> {
        if let Some(done) = self.closed.get(&id) {
            return Ok(OrderReply::Order(done.clone()));
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
        if self.closing_order.len() > CLOSED_ORDERS
            && let Some(oldest) = self.closing_order.pop_front()
        {
            self.closed.remove(&oldest);
        }
    }
}

fn known_order(known: &OrderRecord, body: &OrderBody) -> Result<OrderReply, Rejection> {
    if known.body == *body {
        return Ok(OrderReply::Order(known.clone()));
    }
    Err(Rejection::invalid(
        "order id",
        "it names another order",
        "choose a new order id",
    ))
}

impl Table for OrdersTable {
    const NAME: &'static str = ORDERS_TABLE;
    const SPREAD: bool = false;
    const REMEMBERED: bool = false;
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
            OrderCommand::Answer { id, outcome } => self.move_to(at, id, stage_after(outcome)),
            OrderCommand::Finish { id } => self.move_to(at, id, OrderStage::Done),
            OrderCommand::Abandon { id, reason } => {
                self.move_to(at, id, OrderStage::Abandoned { reason })
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
