//! Simulates one day of the fleet planner and order issuer against a model of the platform.
//!
//! Zones lose all their cheap upstreams, stock runs out, answers to orders are lost and the issuer
//! is replaced every hour. The cost is compared with that of a static fleet: the fewest regular
//! upstreams that carry the day's peak of interactive and rollout work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use anyhow::anyhow;
use dandelion_fleet::orders::IssuerAction;
use dandelion_fleet::orders::IssuerEvent;
use dandelion_fleet::orders::OrderCommand;
use dandelion_fleet::orders::OrderIssuer;
use dandelion_fleet::orders::OrderOutcome;
use dandelion_fleet::orders::OrderStage;
use dandelion_fleet::orders::OrderTask;
use dandelion_fleet::orders::OrdersTable;
use dandelion_fleet::plan::FleetPlanner;
use dandelion_fleet::plan::Phase;
use dandelion_fleet::plan::PlanInput;
use dandelion_fleet::plan::ServiceDemand;
use dandelion_fleet::plan::UpstreamView;
use dandelion_fleet::plan::planner::INTERACTIVE_FILL;
use dandelion_fleet::plan::planner::ROLLOUT_FILL;
use dandelion_fleet::plan::reconcile;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Machine;
use dandelion_kernel::Table;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::PriceKind;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

const DAY: Millis = Millis::from_secs(24 * 3600);
const TICK: Millis = Millis::from_secs(5);
const WARM_UP_TIME: Millis = Millis::from_secs(600);
const STARTUP_TIME: Millis = Millis::from_secs(120);
const DRAIN_TIME: Millis = Millis::from_secs(20);
const ISSUER_LIFETIME: Millis = Millis::from_secs(3600);
const UPSTREAM_SLOTS: u32 = 10;
const CHEAP_PRICE: f64 = 0.3;
const REGULAR_PRICE: f64 = 1.0;
const ZONE_LOSS_PER_TICK: f64 = 1.0 / 2160.0;
const SHORTAGE_START_PER_TICK: f64 = 1.0 / 1440.0;
const SHORTAGE_END_PER_TICK: f64 = 1.0 / 180.0;
const LOST_ANSWER_SHARE: f64 = 0.1;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    let mut simulation = Simulation::open(seed)?;
    let mut now = Millis::ZERO;
    while now < DAY {
        now = now + TICK;
        simulation.tick(now)?;
    }
    Ok(simulation.figures())
}

struct RentedUpstream {
    view: UpstreamView,
    serves_at: Millis,
    stops_at: Option<Millis>,
}

#[derive(Default)]
struct Totals {
    cost: f64,
    interactive: f64,
    interactive_failed: f64,
    rollout_demand: f64,
    rollout_cheap: f64,
    rollout_regular: f64,
    peak_upstreams: f64,
    zone_losses: u32,
}

struct Simulation {
    rng: StdRng,
    zones: Vec<ZoneId>,
    service: ServiceId,
    planner: FleetPlanner,
    issuer: OrderIssuer,
    table: OrdersTable,
    term: u64,
    next_order: u128,
    rented: BTreeMap<UpstreamId, RentedUpstream>,
    granted: BTreeMap<RequestId, UpstreamId>,
    started: u64,
    known: BTreeSet<UpstreamId>,
    shortages: BTreeSet<ZoneId>,
    totals: Totals,
}

impl Simulation {
    fn open(seed: u64) -> anyhow::Result<Self> {
        let zones = ["za", "zb", "zc", "zd"].iter().map(|z| z.parse());
        Ok(Self {
            rng: StdRng::seed_from_u64(seed),
            zones: zones.collect::<Result<_, _>>()?,
            service: "draft".parse()?,
            planner: FleetPlanner::open(),
            issuer: OrderIssuer::open(),
            table: OrdersTable::default(),
            term: 1,
            next_order: 0,
            rented: BTreeMap::new(),
            granted: BTreeMap::new(),
            started: 0,
            known: BTreeSet::new(),
            shortages: BTreeSet::new(),
            totals: Totals::default(),
        })
    }

    fn tick(&mut self, now: Millis) -> anyhow::Result<()> {
        if now.0.is_multiple_of(ISSUER_LIFETIME.0) {
            self.term += 1;
            self.issuer = OrderIssuer::open();
        }
        self.advance(now);
        self.lose_zones();
        let demand = self.demand(now);
        if now > WARM_UP_TIME {
            self.serve(&demand);
        }
        self.plan(now, demand);
        self.issue(now)?;
        self.reconcile(now)
    }

    /// Returns demand that follows a daily sine for interactive work and steps for rollouts.
    fn demand(&mut self, now: Millis) -> ServiceDemand {
        let hours = now.0 as f64 / 3_600_000.0;
        let daily_wave = ((hours - 6.0) / 24.0 * std::f64::consts::TAU).sin();
        let noise = self.rng.random_range(0.9..1.1);
        let rollout_level = if ((hours * 2.0) as u64).is_multiple_of(3) {
            0.6
        } else {
            1.0
        };
        ServiceDemand {
            service: self.service.clone(),
            floor: 1,
            ceiling: 40,
            slots: UPSTREAM_SLOTS,
            interactive: (40.0 + 30.0 * daily_wave) * noise,
            rollout: 300.0 * rollout_level * noise,
        }
    }

    fn advance(&mut self, now: Millis) {
        for rented in self.rented.values_mut() {
            if rented.view.phase == Phase::Starting && now >= rented.serves_at {
                rented.view.phase = Phase::Serving;
            }
        }
        self.rented
            .retain(|_, r| r.stops_at.is_none_or(|at| now < at));
    }

    fn lose_zones(&mut self) {
        for zone in self.zones.clone() {
            if self.rng.random_bool(ZONE_LOSS_PER_TICK) {
                self.totals.zone_losses += 1;
                let cheap =
                    |r: &RentedUpstream| r.view.zone == zone && r.view.price == PriceKind::Cheap;
                self.rented.retain(|_, r| !cheap(r));
            }
            if self.shortages.contains(&zone) {
                if self.rng.random_bool(SHORTAGE_END_PER_TICK) {
                    self.shortages.remove(&zone);
                }
            } else if self.rng.random_bool(SHORTAGE_START_PER_TICK) {
                self.shortages.insert(zone);
            }
        }
    }

    /// Serves interactive work first, on regular upstreams before cheap ones.
    fn serve(&mut self, demand: &ServiceDemand) {
        let slots = |price| {
            let serving = self.rented.values();
            let serving = serving.filter(|r| r.view.phase == Phase::Serving);
            serving.filter(|r| r.view.price == price).count() as f64 * f64::from(UPSTREAM_SLOTS)
        };
        let regular = slots(PriceKind::Regular);
        let cheap = slots(PriceKind::Cheap);
        let on_regular = demand.interactive.min(regular);
        let on_cheap = (demand.interactive - on_regular).min(cheap);
        let rollout_cheap = demand.rollout.min(cheap - on_cheap);
        let rollout_regular = (demand.rollout - rollout_cheap).min(regular - on_regular);
        let totals = &mut self.totals;
        totals.interactive += demand.interactive;
        totals.interactive_failed += demand.interactive - on_regular - on_cheap;
        totals.rollout_demand += demand.rollout;
        totals.rollout_cheap += rollout_cheap;
        totals.rollout_regular += rollout_regular;
        let interactive = demand.interactive / (f64::from(UPSTREAM_SLOTS) * INTERACTIVE_FILL);
        let rollout = demand.rollout / (f64::from(UPSTREAM_SLOTS) * ROLLOUT_FILL);
        totals.peak_upstreams = totals
            .peak_upstreams
            .max(interactive.ceil() + rollout.ceil());
        for rented in self.rented.values() {
            totals.cost += match rented.view.price {
                PriceKind::Regular => REGULAR_PRICE,
                PriceKind::Cheap => CHEAP_PRICE,
            };
        }
    }

    fn plan(&mut self, now: Millis, demand: ServiceDemand) {
        let mut upstreams: Vec<_> = self.rented.values().map(|r| r.view.clone()).collect();
        upstreams.extend(self.pending_starts());
        let input = PlanInput {
            services: &[demand],
            upstreams: &upstreams,
            zones: &self.zones,
            max_upstreams: self.table.limits().max_upstreams,
        };
        for change in self.planner.plan(now, &input) {
            self.next_order += 1;
            let command = OrderCommand::Plan {
                id: RequestId(self.next_order),
                body: change.body,
                reason: change.reason.to_string(),
            };
            // A refusal means that the start rate limit is reached; the next tick plans again.
            let _refused = self.apply(now, command).is_err();
        }
    }

    /// Returns the recorded start orders that the platform has not granted yet.
    fn pending_starts(&self) -> Vec<UpstreamView> {
        let planned = self.table.open_orders();
        planned
            .filter(|r| !self.granted.contains_key(&r.id))
            .filter_map(|r| match &r.body {
                OrderBody::Start {
                    service,
                    zone,
                    price,
                } => Some(UpstreamView {
                    upstream: format!("order-{}", r.id).parse().ok()?,
                    service: service.clone(),
                    zone: zone.clone(),
                    price: *price,
                    phase: Phase::Starting,
                    inflight: 0,
                }),
                OrderBody::Stop { .. } => None,
            })
            .collect()
    }

    fn issue(&mut self, now: Millis) -> anyhow::Result<()> {
        let planned = self
            .table
            .open_orders()
            .filter(|r| r.stage == OrderStage::Planned)
            .map(|r| OrderTask {
                id: r.id,
                body: r.body.clone(),
                ready: true,
            })
            .collect();
        let term = Some(Term(self.term));
        let mut actions = Vec::new();
        self.issuer
            .handle(now, IssuerEvent::Tick { term, planned }, &mut actions);
        while let Some(action) = actions.pop() {
            match action {
                IssuerAction::Propose(command) => self.apply(now, command)?,
                IssuerAction::Send(order) => {
                    let event = self.send(now, &order)?;
                    self.issuer.handle(now, event, &mut actions);
                }
            }
        }
        Ok(())
    }

    fn send(&mut self, now: Millis, order: &Order) -> anyhow::Result<IssuerEvent> {
        let outcome = self.answer_order(now, order)?;
        let lost = self.rng.random_bool(LOST_ANSWER_SHARE);
        Ok(IssuerEvent::Answered {
            id: order.id,
            term: order.term,
            outcome: (!lost).then_some(outcome),
        })
    }

    /// Models the platform: executes each order id once and repeats the answer on a resend.
    fn answer_order(&mut self, now: Millis, order: &Order) -> anyhow::Result<OrderOutcome> {
        if let Some(upstream) = self.granted.get(&order.id) {
            let upstream = upstream.clone();
            return Ok(OrderOutcome::Accepted { upstream });
        }
        let upstream = match &order.body {
            OrderBody::Start { zone, price, .. } => {
                if *price == PriceKind::Cheap && self.shortages.contains(zone) {
                    self.planner.stock_mut().refused(now, zone, *price);
                    return Ok(OrderOutcome::OutOfStock);
                }
                self.planner.stock_mut().accepted(zone, *price);
                self.rent(now, zone, *price)?
            }
            OrderBody::Stop { upstream } => {
                if let Some(rented) = self.rented.get_mut(upstream) {
                    rented.view.phase = Phase::Leaving;
                    rented.stops_at = Some(now + DRAIN_TIME);
                }
                upstream.clone()
            }
        };
        self.granted.insert(order.id, upstream.clone());
        Ok(OrderOutcome::Accepted { upstream })
    }

    fn rent(&mut self, now: Millis, zone: &ZoneId, price: PriceKind) -> anyhow::Result<UpstreamId> {
        self.started += 1;
        let upstream: UpstreamId = format!("up-{}", self.started).parse()?;
        let view = UpstreamView {
            upstream: upstream.clone(),
            service: self.service.clone(),
            zone: zone.clone(),
            price,
            phase: Phase::Starting,
            inflight: 0,
        };
        let rented = RentedUpstream {
            view,
            serves_at: now + STARTUP_TIME,
            stops_at: None,
        };
        self.rented.insert(upstream.clone(), rented);
        Ok(upstream)
    }

    fn reconcile(&mut self, now: Millis) -> anyhow::Result<()> {
        let open: Vec<_> = self.table.open_orders().collect();
        let announced = self
            .rented
            .values()
            .filter(|r| r.view.phase != Phase::Starting)
            .map(|r| r.view.upstream.clone())
            .collect();
        let result = reconcile(WallMillis(now.0), &open, &announced, &self.known);
        self.known.extend(announced);
        for command in result.commands {
            self.apply(now, command)?;
        }
        Ok(())
    }

    fn apply(&mut self, now: Millis, command: OrderCommand) -> anyhow::Result<()> {
        let context = ApplyContext {
            revision: Revision(now.0),
            at: WallMillis(now.0),
            author: "planner",
        };
        let reply = self.table.apply(&context, command);
        reply.map(|_| ()).map_err(|e| anyhow!("{e}"))
    }

    fn figures(&self) -> Value {
        let totals = &self.totals;
        let ticks = ((DAY.0 - WARM_UP_TIME.0) / TICK.0) as f64;
        let granted_starts = self
            .granted
            .values()
            .filter(|u| u.as_str().starts_with("up-"))
            .collect::<BTreeSet<_>>()
            .len() as u64;
        let served = totals.rollout_cheap + totals.rollout_regular;
        json!({
            "scenario": "spot",
            "kind": "model",
            "zone_losses": totals.zone_losses,
            "cost_ratio": totals.cost / (totals.peak_upstreams * ticks * REGULAR_PRICE),
            "cheap_share": totals.rollout_cheap / served,
            "rollout_served": served / totals.rollout_demand,
            "interactive_failed_share": totals.interactive_failed / totals.interactive,
            "orders_doubled": self.started - granted_starts,
            "upstreams_started": self.started,
        })
    }
}
