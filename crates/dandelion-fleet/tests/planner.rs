//! Fleet plans for zone floors, reserves, shortages and surplus.

use dandelion_fleet::plan::FleetPlanner;
use dandelion_fleet::plan::Phase;
use dandelion_fleet::plan::PlanInput;
use dandelion_fleet::plan::PlannedChange;
use dandelion_fleet::plan::ServiceDemand;
use dandelion_fleet::plan::UpstreamView;
use dandelion_fleet::plan::demand::PEAK_WINDOW;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::PriceKind;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn zones() -> Vec<ZoneId> {
    ["a", "b", "c"].iter().map(|z| z.parse().unwrap()).collect()
}

fn demand(floor: u32, interactive: f64, rollout: f64) -> ServiceDemand {
    ServiceDemand {
        service: "draft".parse().unwrap(),
        floor,
        ceiling: 20,
        slots: 10,
        interactive,
        rollout,
    }
}

fn view(index: usize, zone: &ZoneId, price: PriceKind) -> UpstreamView {
    UpstreamView {
        upstream: format!("u{index}").parse().unwrap(),
        service: "draft".parse().unwrap(),
        zone: zone.clone(),
        price,
        phase: Phase::Serving,
        inflight: 0,
    }
}

/// Applies the orders to the fleet: started upstreams serve immediately, stopped ones are leaving.
fn apply_changes(fleet: &mut Vec<UpstreamView>, changes: &[PlannedChange]) {
    for change in changes {
        match &change.body {
            OrderBody::Start { zone, price, .. } => {
                let index = fleet.len();
                fleet.push(view(index, zone, *price));
            }
            OrderBody::Stop { upstream } => {
                for u in fleet.iter_mut().filter(|u| &u.upstream == upstream) {
                    u.phase = Phase::Leaving;
                }
            }
        }
    }
}

fn plan(
    planner: &mut FleetPlanner,
    now: Millis,
    demand: &ServiceDemand,
    fleet: &[UpstreamView],
) -> Vec<PlannedChange> {
    let input = PlanInput {
        services: std::slice::from_ref(demand),
        upstreams: fleet,
        zones: &zones(),
        max_upstreams: 100,
    };
    planner.plan(now, &input)
}

fn count(fleet: &[UpstreamView], price: PriceKind) -> usize {
    let live = fleet.iter().filter(|u| u.phase != Phase::Leaving);
    live.filter(|u| u.price == price).count()
}

#[test]
fn zone_floor() {
    let mut fleet = Vec::new();
    let changes = plan(
        &mut FleetPlanner::open(),
        Millis(0),
        &demand(1, 0.0, 0.0),
        &fleet,
    );
    apply_changes(&mut fleet, &changes);
    let in_zones: Vec<_> = fleet.iter().map(|u| u.zone.clone()).collect();
    assert_eq!(in_zones, zones());
}

#[test]
fn survives_zone_loss() {
    fn holds(interactive: u8, rollout: u8) -> bool {
        let demand = demand(1, f64::from(interactive), f64::from(rollout));
        let mut planner = FleetPlanner::open();
        let mut fleet = Vec::new();
        for round in 0..5 {
            let changes = plan(&mut planner, Millis(round), &demand, &fleet);
            apply_changes(&mut fleet, &changes);
        }
        let carried = zones().into_iter().all(|lost| {
            let survives = |u: &&UpstreamView| u.price == PriceKind::Regular || u.zone != lost;
            let slots = fleet.iter().filter(survives).count() * 10;
            slots >= usize::from(interactive)
        });
        carried && fleet.len() <= 60
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(256, 1))
        .tests(300)
        .quickcheck(holds as fn(u8, u8) -> bool);
}

#[test]
fn cheap_spread() {
    let mut fleet = Vec::new();
    let mut planner = FleetPlanner::open();
    let changes = plan(&mut planner, Millis(0), &demand(0, 0.0, 85.0), &fleet);
    apply_changes(&mut fleet, &changes);
    let per_zone: Vec<usize> = zones()
        .iter()
        .map(|z| fleet.iter().filter(|u| &u.zone == z).count())
        .collect();
    assert_eq!(per_zone, vec![3, 3, 3]);
    assert_eq!(count(&fleet, PriceKind::Regular), 0);
}

#[test]
fn shortage_falls_back() {
    let mut planner = FleetPlanner::open();
    for zone in zones() {
        planner
            .stock_mut()
            .refused(Millis(0), &zone, PriceKind::Cheap);
    }
    let mut fleet = Vec::new();
    let changes = plan(&mut planner, Millis(1), &demand(0, 0.0, 95.0), &fleet);
    apply_changes(&mut fleet, &changes);
    assert_eq!(count(&fleet, PriceKind::Cheap), 0);
    assert_eq!(count(&fleet, PriceKind::Regular), 5);
}

#[test]
fn surplus_stop_delayed() {
    let mut planner = FleetPlanner::open();
    let mut fleet = Vec::new();
    let changes = plan(&mut planner, Millis(0), &demand(0, 0.0, 85.0), &fleet);
    apply_changes(&mut fleet, &changes);
    let early = plan(&mut planner, Millis(1000), &demand(0, 0.0, 0.0), &fleet);
    assert_eq!(early, Vec::new());
    let later = Millis(PEAK_WINDOW.0 + 2000);
    let changes = plan(&mut planner, later, &demand(0, 0.0, 0.0), &fleet);
    assert_eq!(changes.len(), 1);
    assert!(matches!(changes[0].body, OrderBody::Stop { .. }));
}

#[test]
fn zone_never_emptied() {
    let mut planner = FleetPlanner::open();
    let all = zones();
    let mut fleet: Vec<_> = (0..6)
        .map(|i| view(i, &all[i % 3], PriceKind::Regular))
        .collect();
    for round in 0..20 {
        let now = Millis(round * 1000);
        let changes = plan(&mut planner, now, &demand(0, 1.0, 0.0), &fleet);
        apply_changes(&mut fleet, &changes);
    }
    for zone in &all {
        let live = fleet.iter().filter(|u| &u.zone == zone);
        let live = live.filter(|u| u.phase == Phase::Serving).count();
        assert!(live >= 1, "zone {zone} was emptied");
    }
}
