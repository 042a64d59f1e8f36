//! Counts of a service's upstreams by zone, and the choice of the zone for a new one.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;

use crate::plan::input::Phase;
use crate::plan::input::PlanInput;

/// Upstreams of one service in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Regular ones that are starting or serving.
    pub regular: u32,
    /// Cheap ones that are starting or serving.
    pub cheap: u32,
    /// Leaving ones of both price kinds, not counted in the other fields.
    pub leaving: u32,
}

impl ZoneCount {
    /// Returns the number of starting and serving upstreams of one price kind.
    pub fn of(&self, price: PriceKind) -> u32 {
        match price {
            PriceKind::Regular => self.regular,
            PriceKind::Cheap => self.cheap,
        }
    }

    /// Returns the number of starting and serving upstreams of both price kinds.
    pub fn total(&self) -> u32 {
        self.regular + self.cheap
    }
}

/// A service's upstreams by zone; every zone of the input is present.
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

    /// Returns the number of upstreams of one price kind in all zones.
    pub fn sum(&self, price: PriceKind) -> u32 {
        self.0.values().map(|c| c.of(price)).sum()
    }

    /// Returns how many cheap upstreams remain if the zone with the most of them loses all.
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

    /// Returns the allowed zone with the fewest upstreams of `price`, among those whose total is
    /// below `ceiling`.
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
