//! Plans the fleet, issues orders and reconciles them while this daemon holds the leader lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use async_std::task;
use dandelion_control::tables::ConfigTable;
use dandelion_fleet::orders::IssuerAction;
use dandelion_fleet::orders::IssuerEvent;
use dandelion_fleet::orders::OrderCommand;
use dandelion_fleet::orders::OrderIssuer;
use dandelion_fleet::orders::OrderOutcome;
use dandelion_fleet::orders::OrderRecord;
use dandelion_fleet::orders::OrderStage;
use dandelion_fleet::orders::OrderTask;
use dandelion_fleet::orders::OrdersTable;
use dandelion_fleet::plan::FleetPlanner;
use dandelion_fleet::plan::Phase;
use dandelion_fleet::plan::PlanInput;
use dandelion_fleet::plan::ServiceDemand;
use dandelion_fleet::plan::UpstreamView;
use dandelion_fleet::plan::reconcile;
use dandelion_kernel::Machine;
use dandelion_net::clock;
use dandelion_protocol::config::Config;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::fleet::UpstreamReport;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;

use crate::control::View;
use crate::core::Handle;
use crate::core::new_request_id;
use crate::duties::orders;
use crate::fenced::LEASE_MARGIN;
use crate::operator::local_propagation;

/// Interval between two rounds.
const TICK: Duration = Duration::from_millis(500);

/// Time for which a new leader waits before its first plan, so that every daemon can report.
const SETTLE_TIME: Millis = Millis::from_secs(5);

/// Requests that an upstream is assumed to run at once while no upstream of its service is known.
const DEFAULT_SLOTS: u32 = 8;

/// Runs the duty until the process ends; does nothing while this daemon is not the leader or if no
/// platform is set.
pub async fn run_fleet_duty(core: Handle) {
    if core.settings.platform.address.is_none() {
        return;
    }
    let mut duty = Duty::default();
    loop {
        task::sleep(TICK).await;
        duty.run_round(&core).await;
    }
}

#[derive(Debug, Default)]
struct Duty {
    planner: FleetPlanner,
    issuer: OrderIssuer,
    /// Term and start of this daemon's leadership, on its boot-time clock.
    leadership: Option<(Term, Millis)>,
    /// Upstreams that were announced in any round of this daemon.
    known: BTreeSet<UpstreamId>,
}

impl Duty {
    async fn run_round(&mut self, core: &Handle) {
        let term = core.leader_term(LEASE_MARGIN);
        let now = clock::boot_now();
        self.set_term(term, now);
        let Some((term, since)) = self.leadership else {
            return;
        };
        let Some(records) = open_orders(core) else {
            return;
        };
        let upstreams = core.fleet.upstreams(now);
        self.reconcile(core, &records, &upstreams).await;
        if now.since(since) >= SETTLE_TIME && has_all_reports(core, now) {
            self.plan(core, now, &records, &upstreams).await;
        }
        self.issue(core, term, &records, &upstreams).await;
    }

    fn set_term(&mut self, term: Option<Term>, now: Millis) {
        match (term, self.leadership) {
            (Some(term), Some((held, _))) if term == held => (),
            (Some(term), _) => {
                self.planner = FleetPlanner::open();
                self.leadership = Some((term, now));
            }
            (None, _) => self.leadership = None,
        }
    }

    async fn plan(
        &mut self,
        core: &Handle,
        now: Millis,
        records: &[OrderRecord],
        upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
    ) {
        let view = core.control.view();
        let limits = core
            .control
            .replica()
            .and_then(|r| r.read::<OrdersTable, _, _>(|table| table.limits().clone()));
        let Some(limits) = limits.filter(|l| !l.paused) else {
            return;
        };
        let services = service_demands(core, now, &view.config, upstreams);
        let mut upstream_views = upstream_views(records, upstreams, &view.config);
        // Upstreams of an evacuated zone serve nothing, but count towards the greatest number.
        let known = upstream_views.len();
        upstream_views.retain(|upstream| !view.is_evacuated(&upstream.zone));
        let withheld = u32::try_from(known - upstream_views.len()).unwrap_or(u32::MAX);
        let input = PlanInput {
            services: &services,
            upstreams: &upstream_views,
            zones: &zones(&view),
            max_upstreams: limits.max_upstreams.saturating_sub(withheld),
        };
        for change in self.planner.plan(now, &input) {
            let command = OrderCommand::Plan {
                id: new_request_id(),
                body: change.body,
                reason: change.reason.to_string(),
            };
            propose(core, &command).await;
        }
    }

    async fn issue(
        &mut self,
        core: &Handle,
        term: Term,
        records: &[OrderRecord],
        upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
    ) {
        let mut planned = Vec::new();
        for record in records.iter().filter(|r| r.stage == OrderStage::Planned) {
            planned.push(OrderTask {
                id: record.id,
                body: record.body.clone(),
                ready: is_ready(core, &record.body, upstreams).await,
            });
        }
        let event = IssuerEvent::Tick {
            term: Some(term),
            planned,
        };
        let mut actions = Vec::new();
        self.issuer.handle(clock::boot_now(), event, &mut actions);
        while let Some(action) = actions.pop() {
            match action {
                IssuerAction::Propose(command) => propose(core, &command).await,
                IssuerAction::Send(order) => {
                    let body = order.body.clone();
                    let event = orders::send(core, order).await;
                    self.record_stock(&body, &event);
                    self.issuer.handle(clock::boot_now(), event, &mut actions);
                }
            }
        }
    }

    /// Records whether the platform had an upstream for a start order in stock.
    fn record_stock(&mut self, body: &OrderBody, event: &IssuerEvent) {
        let OrderBody::Start { zone, price, .. } = body else {
            return;
        };
        let stock = self.planner.stock_mut();
        match event {
            IssuerEvent::Answered {
                outcome: Some(OrderOutcome::OutOfStock),
                ..
            } => stock.refused(clock::boot_now(), zone, *price),
            IssuerEvent::Answered {
                outcome: Some(OrderOutcome::Accepted { .. }),
                ..
            } => stock.accepted(zone, *price),
            _ => (),
        }
    }

    async fn reconcile(
        &mut self,
        core: &Handle,
        records: &[OrderRecord],
        upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
    ) {
        let open: Vec<&OrderRecord> = records.iter().collect();
        let announced: BTreeSet<UpstreamId> = upstreams.keys().cloned().collect();
        let result = reconcile(clock::wall_now(), &open, &announced, &self.known);
        self.known.extend(announced);
        for command in &result.commands {
            propose(core, command).await;
        }
        for upstream in result.silent {
            let command = OrderCommand::Plan {
                id: new_request_id(),
                body: OrderBody::Stop { upstream },
                reason: "it was started but never announced itself".to_owned(),
            };
            propose(core, &command).await;
        }
    }
}

fn open_orders(core: &Handle) -> Option<Vec<OrderRecord>> {
    let replica = core.control.replica()?;
    replica.read::<OrdersTable, _, _>(|table| table.open_orders().cloned().collect())
}

/// Returns whether every daemon has reported recently, so that an upstream in no report is gone.
fn has_all_reports(core: &Handle, now: Millis) -> bool {
    let reporters = core.fleet.reporters(now);
    let view = core.control.view();
    view.members.iter().all(|m| reporters.contains(&m.id))
}

fn zones(view: &View) -> Vec<ZoneId> {
    let zones = view.members.iter().map(|m| m.zone.clone());
    let zones: BTreeSet<ZoneId> = zones.filter(|zone| !view.is_evacuated(zone)).collect();
    zones.into_iter().collect()
}

fn service_demands(
    core: &Handle,
    now: Millis,
    config: &Config,
    upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
) -> Vec<ServiceDemand> {
    let planned = config.services.values().filter(|s| s.ceiling > 0);
    planned
        .map(|service| {
            let demand = core.fleet.demand(now, &service.id);
            let sizes = upstreams.values().filter(|u| u.service == service.id);
            ServiceDemand {
                service: service.id.clone(),
                floor: service.floor,
                ceiling: service.ceiling,
                slots: sizes.map(|u| u.capacity).max().unwrap_or(DEFAULT_SLOTS),
                interactive: f64::from(demand.interactive),
                rollout: f64::from(demand.rollout),
            }
        })
        .collect()
}

/// Returns the announced upstreams, and the ordered ones that have not announced themselves.
fn upstream_views(
    records: &[OrderRecord],
    upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
    config: &Config,
) -> Vec<UpstreamView> {
    let stopping: BTreeSet<&UpstreamId> = records.iter().filter_map(stop_target).collect();
    let announced = upstreams.values().map(|report| {
        let is_drained = config.drains.get(&report.upstream) == Some(&report.boot);
        let leaving = report.leaving || is_drained || stopping.contains(&report.upstream);
        UpstreamView {
            upstream: report.upstream.clone(),
            service: report.service.clone(),
            zone: report.zone.clone(),
            price: report.price,
            phase: if leaving {
                Phase::Leaving
            } else {
                Phase::Serving
            },
            inflight: report.inflight,
        }
    });
    let starting = records.iter().filter_map(|r| starting(r, upstreams));
    announced.chain(starting).collect()
}

fn stop_target(record: &OrderRecord) -> Option<&UpstreamId> {
    match &record.body {
        OrderBody::Stop { upstream } => Some(upstream),
        OrderBody::Start { .. } => None,
    }
}

fn starting(
    record: &OrderRecord,
    upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
) -> Option<UpstreamView> {
    let OrderBody::Start {
        service,
        zone,
        price,
    } = &record.body
    else {
        return None;
    };
    let upstream = dandelion_fleet::plan::upstream_name(record.id).ok()?;
    if upstreams.contains_key(&upstream) {
        return None;
    }
    Some(UpstreamView {
        upstream,
        service: service.clone(),
        zone: zone.clone(),
        price: *price,
        phase: Phase::Starting,
        inflight: 0,
    })
}

/// Returns whether an order may be sent: a start always; a stop once every daemon has applied the
/// drain mark and the upstream is idle, or if the upstream is gone. Proposes a missing mark.
async fn is_ready(
    core: &Handle,
    body: &OrderBody,
    upstreams: &BTreeMap<UpstreamId, UpstreamReport>,
) -> bool {
    let OrderBody::Stop { upstream } = body else {
        return true;
    };
    let Some(report) = upstreams.get(upstream) else {
        return true;
    };
    let view = core.control.view();
    if view.config.drains.get(upstream) != Some(&report.boot) {
        let command = ConfigCommand::Drain(upstream.clone(), report.boot);
        if let Err(error) = core.propose_own::<ConfigTable>(&command).await {
            log::debug!("drain mark of {upstream} is not set: {error}");
        }
        return false;
    }
    let propagation = local_propagation(core, view.config_revision);
    propagation.is_some_and(|p| p.complete) && report.leaving && report.inflight == 0
}

async fn propose(core: &Handle, command: &OrderCommand) {
    if let Err(error) = core.propose_own::<OrdersTable>(command).await {
        log::debug!("order proposal took no effect: {error}");
    }
}
