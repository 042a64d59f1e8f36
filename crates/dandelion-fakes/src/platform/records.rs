//! What the platform was sent, and the rules that it holds against it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::fleet::Order;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use serde::Serialize;

/// An order as it came, resends included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Value of `x-issuer`.
    pub issuer: String,
    /// When it came, on the boot-time clock.
    pub at: Millis,
    /// Whether it was taken; a refused one has an old term.
    pub accepted: bool,
    /// Whether the id was known already.
    pub repeated: bool,
}

/// A usage report as it came, resends included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UsageRecord {
    /// Window, as in the path.
    pub window: String,
    /// Body.
    pub body: String,
    /// Value of `x-issuer`.
    pub issuer: String,
    /// Value of `x-fencing`.
    pub term: Term,
    /// When it came, on the boot-time clock.
    pub at: Millis,
}

/// Counts by which a run is judged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCounts {
    /// Different orders taken.
    pub orders: u64,
    /// Orders that came under a term lower than one seen before.
    pub stale_orders: u64,
    /// Orders that reused an id for something else.
    pub changed_orders: u64,
    /// Windows reported.
    pub windows: u64,
    /// Reports that differ from an earlier one of their window.
    pub conflicts: u64,
    /// Reports that repeat an earlier one exactly.
    pub repeats: u64,
}

/// Everything that came.
#[derive(Debug, Default)]
pub struct Records {
    pub orders: Vec<OrderRecord>,
    pub usage: Vec<UsageRecord>,
    pub counts: PlatformCounts,
    term: Term,
    known: BTreeMap<RequestId, Order>,
    windows: BTreeMap<String, String>,
}

/// What becomes of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Taken,
    Repeated,
    Stale,
    Changed,
}

impl Records {
    pub fn order(&mut self, order: Order, issuer: String, at: Millis, fencing: bool) -> Verdict {
        let verdict = self.judge(&order, fencing);
        self.term = self.term.max(order.term);
        if verdict == Verdict::Taken {
            self.counts.orders += 1;
            self.known.insert(order.id, order.clone());
        }
        self.orders.push(OrderRecord {
            order,
            issuer,
            at,
            accepted: matches!(verdict, Verdict::Taken | Verdict::Repeated),
            repeated: verdict == Verdict::Repeated,
        });
        verdict
    }

    fn judge(&mut self, order: &Order, fencing: bool) -> Verdict {
        if order.term < self.term {
            self.counts.stale_orders += 1;
            if fencing {
                return Verdict::Stale;
            }
        }
        match self.known.get(&order.id) {
            Some(known) if known.body == order.body => Verdict::Repeated,
            Some(_) => {
                self.counts.changed_orders += 1;
                Verdict::Changed
            }
            None => Verdict::Taken,
        }
    }

    /// Records a report; false if it differs from an earlier one of its window.
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

    /// Returns the issuers whose orders came.
    pub fn issuers(&self) -> BTreeSet<String> {
        self.orders.iter().map(|o| o.issuer.clone()).collect()
    }
}
