//! Backoff of orders by zone and price kind while the platform is out of stock.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::PriceKind;

/// Delay after the first out-of-stock refusal; doubles with each further one up to [`MAX_DELAY`].
pub const MIN_DELAY: Millis = Millis::from_secs(15);

/// Longest delay before an order for the same zone and price kind is tried again.
pub const MAX_DELAY: Millis = Millis::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Shortage {
    refusals: u32,
    until: Millis,
}

/// Shortages by zone and price kind, with the time of the next attempt.
#[derive(Debug, Clone, Default)]
pub struct StockBackoff {
    shortages: BTreeMap<(ZoneId, PriceKind), Shortage>,
}

impl StockBackoff {
    /// Records an out-of-stock refusal; one that arrives during the delay does not extend it.
    pub fn refused(&mut self, now: Millis, zone: &ZoneId, price: PriceKind) {
        let shortage = self
            .shortages
            .entry((zone.clone(), price))
            .or_insert(Shortage {
                refusals: 0,
                until: Millis::ZERO,
            });
        if now < shortage.until {
            return;
        }
        shortage.refusals += 1;
        shortage.until = now + delay(shortage.refusals);
    }

    /// Records an accepted order, which ends the shortage.
    pub fn accepted(&mut self, zone: &ZoneId, price: PriceKind) {
        self.shortages.remove(&(zone.clone(), price));
    }

    /// Returns whether an order may be sent now.
    pub fn may_order(&self, now: Millis, zone: &ZoneId, price: PriceKind) -> bool {
        self.shortages
            .get(&(zone.clone(), price))
            .is_none_or(|shortage| now >= shortage.until)
    }
}

fn delay(refusals: u32) -> Millis {
    let factor = 1_u64 << refusals.saturating_sub(1).min(10);
    Millis(MIN_DELAY.0 * factor).min(MAX_DELAY)
}
