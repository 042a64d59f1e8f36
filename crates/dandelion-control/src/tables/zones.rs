//! The table of evacuated availability zones, to whose upstreams nothing is sent.
//!
//! Orders of the control address carry neither number nor time. A link may deliver a copy of one
//! after a later order has reversed it, so an order that may be such a copy takes effect only once
//! its sender has repeated it; see `docs/design/evacuation.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most zones that are evacuated at the same time, and most other zones whose latest orders are
/// retained.
pub const MAX_ZONES: usize = 64;

/// Time for which senders repeat an order that is not acknowledged.
pub const RESEND_TIME: Millis = Millis(5_000);

/// Time after an order in which a link may still deliver a copy of it.
pub const COPY_TIME: Millis = Millis(15_000);

/// Shortest time between an order and a repetition that confirms it. Copies that a link held up
/// arrive together once it delivers again.
pub const REPEAT_MIN: Millis = Millis(200);

/// Longest time between an order and a repetition that confirms it. The refusal names one second as
/// the delay to retry after.
pub const REPEAT_MAX: Millis = Millis(2_000);

/// How an order can be told from a copy of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// By its request id, which resends share; the kernel applies one id once.
    Identified,
    /// Not at all: it may be a copy.
    Anonymous,
}

/// An order about one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZonesCommand {
    /// Nothing more is sent to upstreams of the zone.
    Evacuate {
        /// Zone to evacuate; it need not have upstreams.
        zone: ZoneId,
        /// How the order is told from copies.
        order: Order,
    },
    /// Upstreams of the zone get requests again.
    Restore {
        /// Zone to restore.
        zone: ZoneId,
        /// How the order is told from copies.
        order: Order,
    },
}

/// Effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZonesReply {
    /// The zone's state changed.
    Changed,
    /// The zone was in the requested state already.
    Unchanged,
    /// Nothing changed: it may be a late copy of an earlier order. A new order must be repeated.
    Unconfirmed,
    /// Nothing changed: too many zones are evacuated.
    Full,
}

/// When a change was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Revision of the change.
    pub revision: Revision,
    /// Log time of the change, by the clock of the control leader.
    pub at: WallMillis,
}

/// Latest anonymous orders of one kind about one zone, by log time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Orders {
    /// Latest one that took effect or found its effect present.
    acknowledged: Option<WallMillis>,
    /// Latest one that may be a copy; a repetition of it confirms it.
    doubtful: Option<WallMillis>,
}

impl Orders {
    /// Returns whether an order that would change the zone's state is a new one; otherwise retains
    /// it, so that a repetition confirms it.
    fn is_new(&mut self, now: WallMillis) -> bool {
        let Some(last) = self.acknowledged else {
            return true;
        };
        let elapsed = elapsed(last, now);
        if elapsed.is_some_and(|elapsed| elapsed >= COPY_TIME) {
            return true;
        }
        // A clock that was set back tells nothing of the time, so only repetitions count then.
        let may_be_resend = elapsed.is_some_and(|elapsed| elapsed < RESEND_TIME);
        let since_doubtful = self
            .doubtful
            .and_then(|doubtful| self::elapsed(doubtful, now));
        match since_doubtful {
            Some(since) if since < REPEAT_MIN => false,
            Some(since) if since <= REPEAT_MAX && !may_be_resend => true,
            _ => {
                self.doubtful = Some(now);
                false
            }
        }
    }
}

/// Returns the time from `earlier` to `now`, or none if the log's clock was set back in between.
fn elapsed(earlier: WallMillis, now: WallMillis) -> Option<Millis> {
    now.0.checked_sub(earlier.0).map(Millis)
}

/// What is known of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    evacuated: bool,
    changed: Recorded,
    restored: Option<Recorded>,
    starts: Orders,
    finishes: Orders,
}

impl ZoneRecord {
    fn open(now: Recorded) -> Self {
        Self {
            evacuated: false,
            changed: now,
            restored: None,
            starts: Orders::default(),
            finishes: Orders::default(),
        }
    }

    /// Returns whether nothing is sent to the zone's upstreams.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Returns when the zone's state last changed, or its first order was recorded.
    pub fn changed(&self) -> Recorded {
        self.changed
    }

    /// Returns when the zone's latest evacuation was cancelled; none if none was, or if the zone is
    /// evacuated again.
    pub fn restored(&self) -> Option<Recorded> {
        self.restored.filter(|_| !self.evacuated)
    }

    fn order(&mut self, evacuate: bool, order: Order, now: Recorded) -> ZonesReply {
        let is_change = self.evacuated != evacuate;
        if order == Order::Anonymous {
            let orders = if evacuate {
                &mut self.starts
            } else {
                &mut self.finishes
            };
            if is_change && !orders.is_new(now.at) {
                return ZonesReply::Unconfirmed;
            }
            orders.acknowledged = Some(now.at);
        }
        if !is_change {
            return ZonesReply::Unchanged;
        }
        self.evacuated = evacuate;
        self.changed = now;
        self.starts.doubtful = None;
        self.finishes.doubtful = None;
        if !evacuate {
            self.restored = Some(now);
        }
        ZonesReply::Changed
    }
}

/// Zones about which orders were recorded, by name.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ZonesTable {
    zones: BTreeMap<ZoneId, ZoneRecord>,
}

impl ZonesTable {
    /// Borrows the recorded zones, evacuated or not.
    pub fn zones(&self) -> &BTreeMap<ZoneId, ZoneRecord> {
        &self.zones
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> BTreeSet<ZoneId> {
        let evacuated = self.zones.iter().filter(|(_, record)| record.evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Iterates over the zones whose evacuation was cancelled, each with when that was recorded. At
    /// most [`MAX_ZONES`] are retained.
    pub fn restored(&self) -> impl Iterator<Item = (&ZoneId, Recorded)> {
        let records = self.zones.iter();
        records.filter_map(|(zone, record)| Some((zone, record.restored()?)))
    }

    fn order(&mut self, zone: &ZoneId, evacuate: bool, order: Order, now: Recorded) -> ZonesReply {
        let evacuated = |(_, record): &(&ZoneId, &ZoneRecord)| record.evacuated;
        let is_full = self.zones.iter().filter(evacuated).count() >= MAX_ZONES;
        let is_evacuated = self.zones.get(zone).is_some_and(ZoneRecord::is_evacuated);
        if evacuate && is_full && !is_evacuated {
            return ZonesReply::Full;
        }
        let record = self.zones.entry(zone.clone());
        let record = record.or_insert_with(|| ZoneRecord::open(now));
        let reply = record.order(evacuate, order, now);
        self.evict_surplus(zone);
        reply
    }

    /// Evicts a zone other than `kept` that is not evacuated if there are too many of these.
    fn evict_surplus(&mut self, kept: &ZoneId) {
        let others = self.zones.iter().filter(|(_, record)| !record.evacuated);
        if others.clone().count() <= MAX_ZONES {
            return;
        }
        let others = others.filter(|(zone, _)| *zone != kept);
        let oldest = others.min_by_key(|(_, record)| record.changed.revision);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}

impl Table for ZonesTable {
    const NAME: &'static str = "zones";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = true;
    type Command = ZonesCommand;
    type Reply = ZonesReply;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: ZonesCommand,
    ) -> Result<ZonesReply, Rejection> {
        let now = Recorded {
            revision: context.revision,
            at: context.at,
        };
        Ok(match command {
            ZonesCommand::Evacuate { zone, order } => self.order(&zone, true, order, now),
            ZonesCommand::Restore { zone, order } => self.order(&zone, false, order, now),
        })
    }
}

#[distributed_slice(TABLES)]
static ZONES: TableEntry = TableEntry::of::<ZonesTable>();
