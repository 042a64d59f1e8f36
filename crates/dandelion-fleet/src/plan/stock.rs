//! Remembers where the platform had no stock, and when to ask again.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::PriceKind;

/// First delay after a refusal for want of stock; doubles up to [`MAX_DELAY`].
pub const MIN_DELAY: Millis = Millis::from_secs(15);

/// Longest delay before a zone and kind are asked again.
pub const MAX_DELAY: Millis = Millis::from_secs(600);

#[derive(Debug, Clone, Copy)]
struct Shortage {
    refusals: u32,
    until: Millis,
}

/// Shortages by zone and price kind.
#[derive(Debug, Clone, Default)]
pub struct StockBook {
    shortages: BTreeMap<(ZoneId, PriceKind), Shortage>,
}

impl StockBook {
    /// Records a refusal.
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

    /// Records that an order was taken.
    pub fn accepted(&mut self, zone: &ZoneId, price: PriceKind) {
        self.shortages.remove(&(zone.clone(), price));
    }

    /// Returns whether an order may be tried now.
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
