//! Plans the orders of a round: zone floors, rollouts with their fallback, interactive reserve,
//! surplus.

use std::collections::BTreeMap;

use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::PriceKind;

use crate::plan::demand::PeakDemand;
use crate::plan::input::Phase;
use crate::plan::input::PlanInput;
use crate::plan::input::ServiceDemand;
use crate::plan::input::UpstreamView;
use crate::plan::reason::Reason;
use crate::plan::spread::Spread;
use crate::plan::stock::StockBackoff;

/// Share of its slots that an upstream is planned to use for interactive work.
pub const INTERACTIVE_FILL: f64 = 0.7;

/// Share of its slots that an upstream is planned to use for rollouts.
pub const ROLLOUT_FILL: f64 = 0.95;

/// Share of the missing rollout upstreams ordered at the regular price when no cheap one can be.
pub const FALLBACK_SHARE: f64 = 0.5;

/// Number of upstreams by which the need may be exceeded before one is stopped.
pub const SURPLUS_MARGIN: u32 = 1;

/// One planned order with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedChange {
    /// Start or stop to be ordered.
    pub body: OrderBody,
    /// Rule that led to the order; recorded with it.
    pub reason: Reason,
}

#[derive(Debug, Clone, Default)]
struct ServicePeaks {
    interactive: PeakDemand,
    rollout: PeakDemand,
}

/// Numbers of upstreams that the peak demand of each class needs.
#[derive(Debug, Clone, Copy)]
struct Need {
    interactive: u32,
    rollout: u32,
}

/// Plans orders for all services of a cell.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    services: BTreeMap<ServiceId, ServicePeaks>,
    stock: StockBackoff,
}

impl FleetPlanner {
    /// Opens a planner without history; its peaks start from the demand of the first round.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the backoff state, to record how the platform answered orders.
    pub fn stock_mut(&mut self) -> &mut StockBackoff {
        &mut self.stock
    }

    /// Plans one round. Orders of earlier rounds must be part of the input, as starting or leaving
    /// upstreams.
    pub fn plan(&mut self, now: Millis, input: &PlanInput<'_>) -> Vec<PlannedChange> {
        let mut changes = Vec::new();
        let mut headroom = input
            .max_upstreams
            .saturating_sub(input.upstreams.len() as u32);
        for demand in input.services {
            let need = self.need(now, demand);
            let mut round = Round {
                now,
                demand,
                need,
                spread: Spread::of(input, &demand.service),
                stock: &self.stock,
                headroom,
                changes: &mut changes,
            };
            round.fill_floor();
            round.fill_rollouts();
            round.fill_reserve();
            headroom = round.headroom;
            round.stop_surplus(input.upstreams);
        }
        changes
    }

    fn need(&mut self, now: Millis, demand: &ServiceDemand) -> Need {
        let peaks = self.services.entry(demand.service.clone()).or_default();
        let interactive = peaks.interactive.update(now, demand.interactive);
        let rollout = peaks.rollout.update(now, demand.rollout);
        Need {
            interactive: upstreams_for(interactive, demand.slots, INTERACTIVE_FILL),
            rollout: upstreams_for(rollout, demand.slots, ROLLOUT_FILL),
        }
    }
}

fn upstreams_for(load: f64, slots: u32, fill: f64) -> u32 {
    let each = f64::from(slots.max(1)) * fill;
    (load / each).ceil().max(0.0) as u32
}

/// State of one planning round for one service.
struct Round<'a> {
    now: Millis,
    demand: &'a ServiceDemand,
    need: Need,
    spread: Spread,
    stock: &'a StockBackoff,
    /// Upstreams of any service that may still be started.
    headroom: u32,
    changes: &'a mut Vec<PlannedChange>,
}

impl Round<'_> {
    fn fill_floor(&mut self) {
        let want = self.demand.floor;
        let short: Vec<(ZoneId, u32)> = self
            .spread
            .zones()
            .filter(|(_, count)| count.regular < want)
            .map(|(zone, count)| (zone.clone(), count.regular))
            .collect();
        for (zone, have) in short {
            for have in have..want {
                self.start_in(&zone, PriceKind::Regular, Reason::Floor { have, want });
            }
        }
    }

    fn fill_rollouts(&mut self) {
        let want = self.need.rollout;
        loop {
            let have = self.rollout_upstreams();
            if have >= want {
                return;
            }
            if !self.start(PriceKind::Cheap, Reason::Rollouts { have, want }) {
                break;
            }
        }
        self.fall_back(want);
    }

    fn fall_back(&mut self, want: u32) {
        let missing = want.saturating_sub(self.rollout_upstreams());
        let ordered = (f64::from(missing) * FALLBACK_SHARE).ceil() as u32;
        for _ in 0..ordered {
            if !self.start(PriceKind::Regular, Reason::Fallback { missing }) {
                return;
            }
        }
    }

    fn fill_reserve(&mut self) {
        let want = self.need.interactive;
        loop {
            let have = self.surviving_upstreams();
            if have >= want || !self.start(PriceKind::Regular, Reason::Reserve { have, want }) {
                return;
            }
        }
    }

    /// Returns the number of upstreams that rollouts can use: all cheap ones, and the regular ones
    /// beyond those reserved for floors and interactive demand.
    fn rollout_upstreams(&self) -> u32 {
        let regular = self.spread.sum(PriceKind::Regular);
        let spare = regular.saturating_sub(self.regular_need());
        self.spread.sum(PriceKind::Cheap) + spare
    }

    fn regular_need(&self) -> u32 {
        let zones = self.spread.zones().count() as u32;
        let floor = self.demand.floor * zones;
        floor.max(self.need.interactive)
    }

    /// Returns how many upstreams remain if the zone with the most cheap ones loses all of them.
    fn surviving_upstreams(&self) -> u32 {
        self.spread.sum(PriceKind::Regular) + self.spread.surviving_cheap()
    }

    fn start(&mut self, price: PriceKind, reason: Reason) -> bool {
        let allowed = |zone: &ZoneId| self.stock.may_order(self.now, zone, price);
        let zone = self.spread.emptiest(price, self.demand.ceiling, allowed);
        match zone {
            Some(zone) => self.start_in(&zone, price, reason),
            None => false,
        }
    }

    fn start_in(&mut self, zone: &ZoneId, price: PriceKind, reason: Reason) -> bool {
        if self.headroom == 0 || !self.stock.may_order(self.now, zone, price) {
            return false;
        }
        self.headroom -= 1;
        self.spread.add(zone, price);
        self.changes.push(PlannedChange {
            body: OrderBody::Start {
                service: self.demand.service.clone(),
                zone: zone.clone(),
                price,
            },
            reason,
        });
        true
    }

    /// Stops at most one upstream of the service in a round, and none in a zone where another one
    /// is leaving.
    fn stop_surplus(&mut self, upstreams: &[UpstreamView]) {
        let regular_need = self.regular_need();
        let regular_count = self.spread.sum(PriceKind::Regular);
        let rollout_need = self.need.rollout;
        let rollout_count = self.rollout_upstreams();
        let price = if rollout_count > rollout_need + SURPLUS_MARGIN {
            let spare_regular = regular_count > regular_need;
            if spare_regular {
                PriceKind::Regular
            } else {
                PriceKind::Cheap
            }
        } else {
            return;
        };
        if self.surviving_upstreams() < self.need.interactive + SURPLUS_MARGIN {
            return;
        }
        let reason = Reason::Surplus {
            have: rollout_count,
            want: rollout_need,
        };
        if let Some(view) = self.least_used(upstreams, price) {
            let upstream = view.upstream.clone();
            self.changes.push(PlannedChange {
                body: OrderBody::Stop { upstream },
                reason,
            });
        }
    }

    /// Returns the serving upstream of `price` with the fewest requests, of several the one in the
    /// zone with the most of that kind.
    fn least_used<'u>(
        &self,
        upstreams: &'u [UpstreamView],
        price: PriceKind,
    ) -> Option<&'u UpstreamView> {
        let counts: BTreeMap<_, _> = self.spread.zones().collect();
        upstreams
            .iter()
            .filter(|u| u.service == self.demand.service)
            .filter(|u| u.price == price && u.phase == Phase::Serving)
            .filter(|u| {
                counts
                    .get(&u.zone)
                    .is_some_and(|c| c.leaving == 0 && c.total() > 1.max(self.demand.floor))
            })
            .min_by_key(|u| {
                let in_zone = counts.get(&u.zone).map_or(0, |c| c.of(price));
                (u.inflight, u32::MAX - in_zone)
            })
    }
}
