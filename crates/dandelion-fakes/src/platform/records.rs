//! Orders and usage reports received by the platform, and the checks on them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::fleet::Order;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use serde::Serialize;

/// A received order; resends have records of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// Value of `x-issuer`, the sending daemon; empty if absent.
    pub issuer: String,
    /// Time of arrival on the boot-time clock.
    pub at: Millis,
    /// Whether the order was accepted: its term isn't stale (if fencing is checked) and its id
    /// isn't used by a different order.
    pub accepted: bool,
    /// Whether the same order was accepted before.
    pub repeated: bool,
}

/// A received usage report; resends have records of their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UsageRecord {
    /// Window number, as in the path.
    pub window: String,
    /// Request body; JSON is not parsed here.
    pub body: String,
    /// Value of `x-issuer`, the sending daemon; empty if absent.
    pub issuer: String,
    /// Value of `x-fencing`; 0 if absent.
    pub term: Term,
    /// Time of arrival on the boot-time clock.
    pub at: Millis,
}

/// Counters that scenarios and tests check.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCounts {
    /// Distinct orders accepted.
    pub orders: u64,
    /// Orders whose term is lower than that of an earlier order.
    pub stale_orders: u64,
    /// Orders that reuse the id of an accepted order with a different body.
    pub changed_orders: u64,
    /// Distinct windows reported.
    pub windows: u64,
    /// Reports that differ from the first report of their window.
    pub conflicts: u64,
    /// Reports that are identical to the first report of their window.
    pub repeats: u64,
}

/// Everything received, with the counters.
#[derive(Debug, Default)]
pub struct Records {
    pub orders: Vec<OrderRecord>,
    pub usage: Vec<UsageRecord>,
    pub counts: PlatformCounts,
    term: Term,
    accepted_orders: BTreeMap<RequestId, Order>,
    windows: BTreeMap<String, String>,
}

/// Result of checking an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderCheck {
    Accepted,
    /// The same order was accepted before.
    Repeated,
    /// The term is lower than that of an earlier order.
    Stale,
    /// The id was accepted with a different body.
    Conflicting,
}

impl Records {
    pub fn order(&mut self, order: Order, issuer: String, at: Millis, fencing: bool) -> OrderCheck {
        let check = self.check_order(&order, fencing);
        self.term = self.term.max(order.term);
        if check == OrderCheck::Accepted {
            self.counts.orders += 1;
            self.accepted_orders.insert(order.id, order.clone());
        }
        self.orders.push(OrderRecord {
            order,
            issuer,
            at,
            accepted: matches!(check, OrderCheck::Accepted | OrderCheck::Repeated),
            repeated: check == OrderCheck::Repeated,
        });
        check
    }

    fn check_order(&mut self, order: &Order, fencing: bool) -> OrderCheck {
        if order.term < self.term {
            self.counts.stale_orders += 1;
            if fencing {
                return OrderCheck::Stale;
            }
        }
        match self.accepted_orders.get(&order.id) {
            Some(accepted) if accepted.body == order.body => OrderCheck::Repeated,
            Some(_) => {
                self.counts.changed_orders += 1;
                OrderCheck::Conflicting
            }
            None => OrderCheck::Accepted,
        }
    }

    /// Records a report; returns `false` if it differs from the first report of its window.
    pub fn report(&mut self, record: UsageRecord) -> bool {
        let first = self.windows.get(&record.window);
        let same = first.is_none_or(|body| *body == record.body);
        match (first.is_none(), same) {
            (true, _) => self.counts.windows += 1,
            (false, true) => self.counts.repeats += 1,
            (false, false) => self.counts.conflicts += 1,
        }
        let window = self.windows.entry(record.window.clone());
        window.or_insert_with(|| record.body.clone());
        self.usage.push(record);
        same
    }

    /// Returns the distinct issuers of the received orders.
    pub fn issuers(&self) -> BTreeSet<String> {
        self.orders.iter().map(|o| o.issuer.clone()).collect()
    }
}
