//! Counts of one service's upstreams by zone, and the choice of a zone.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;

use crate::plan::input::Phase;
use crate::plan::input::PlanInput;

/// Upstreams of one zone that are starting or serving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Regular ones.
    pub regular: u32,
    /// Cheap ones.
    pub cheap: u32,
    /// Those on their way out.
    pub leaving: u32,
}

impl ZoneCount {
    /// Returns the number of one price kind.
    pub fn of(&self, price: PriceKind) -> u32 {
        match price {
            PriceKind::Regular => self.regular,
            PriceKind::Cheap => self.cheap,
        }
    }

    /// Returns the number of both price kinds.
    pub fn total(&self) -> u32 {
        self.regular + self.cheap
    }
}

/// Counts by zone; every zone of the input is present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spread(BTreeMap<ZoneId, ZoneCount>);

impl Spread {
    /// Counts the upstreams of `service`.
    pub fn of(input: &PlanInput<'_>, service: &ServiceId) -> Self {
        let mut zones: BTreeMap<ZoneId, ZoneCount> = input
            .zones
            .iter()
            .map(|zone| (zone.clone(), ZoneCount::default()))
            .collect();
        for view in input.upstreams.iter().filter(|u| &u.service == service) {
            let count = zones.entry(view.zone.clone()).or_default();
            match (view.phase, view.price) {
                (Phase::Leaving, _) => count.leaving += 1,
                (_, PriceKind::Regular) => count.regular += 1,
                (_, PriceKind::Cheap) => count.cheap += 1,
            }
        }
        Self(zones)
    }

    /// Returns the zones with their counts.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &ZoneCount)> {
        self.0.iter()
    }

    /// Returns the number of one price kind in all zones.
    pub fn sum(&self, price: PriceKind) -> u32 {
        self.0.values().map(|c| c.of(price)).sum()
    }

    /// Returns what remains of the cheap ones if the zone with the most of them vanishes.
    pub fn surviving_cheap(&self) -> u32 {
        let most = self.0.values().map(|c| c.cheap).max().unwrap_or(0);
        self.sum(PriceKind::Cheap) - most
    }

    /// Counts one more upstream in `zone`.
    pub fn add(&mut self, zone: &ZoneId, price: PriceKind) {
        let count = self.0.entry(zone.clone()).or_default();
        match price {
            PriceKind::Regular => count.regular += 1,
            PriceKind::Cheap => count.cheap += 1,
        }
    }

    /// Returns the allowed zone with the fewest of `price` that is below `ceiling` in all.
    pub fn emptiest<F>(&self, price: PriceKind, ceiling: u32, allowed: F) -> Option<ZoneId>
    where
        F: Fn(&ZoneId) -> bool,
    {
        self.0
            .iter()
            .filter(|(zone, count)| count.total() < ceiling && allowed(zone))
            .min_by_key(|(_, count)| (count.of(price), count.total()))
            .map(|(zone, _)| zone.clone())
    }
}
