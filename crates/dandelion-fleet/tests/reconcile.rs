//! Reconciliation of orders with announced upstreams, and the table of orders.

use std::collections::BTreeSet;

use dandelion_fleet::orders::FleetLimits;
use dandelion_fleet::orders::OrderCommand;
use dandelion_fleet::orders::OrderOutcome;
use dandelion_fleet::orders::OrdersTable;
use dandelion_fleet::plan::reconcile;
use dandelion_fleet::plan::reconcile::ANNOUNCE_TIMEOUT_MS;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::PriceKind;

fn context(at: u64) -> ApplyContext<'static> {
    ApplyContext {
        revision: Revision(1),
        at: WallMillis(at),
        author: "test",
    }
}

fn start(id: u128) -> OrderCommand {
    OrderCommand::Plan {
        id: RequestId(id),
        body: OrderBody::Start {
            service: "draft".parse().unwrap(),
            zone: "a".parse().unwrap(),
            price: PriceKind::Cheap,
        },
        reason: "test".to_owned(),
    }
}

fn accepted(id: u128) -> OrderCommand {
    OrderCommand::Answer {
        id: RequestId(id),
        outcome: OrderOutcome::Accepted { upstream: name(id) },
    }
}

fn name(id: u128) -> UpstreamId {
    format!("u{id}").parse().unwrap()
}

fn table_with_start() -> OrdersTable {
    let mut table = OrdersTable::default();
    table.apply(&context(0), start(1)).unwrap();
    table.apply(&context(0), accepted(1)).unwrap();
    table
}

#[test]
fn announced_finishes() {
    let table = table_with_start();
    let open: Vec<_> = table.open_orders().collect();
    let announced = BTreeSet::from([name(1)]);
    let found = reconcile(WallMillis(5), &open, &announced, &BTreeSet::new());
    assert_eq!(
        found.commands,
        vec![OrderCommand::Finish { id: RequestId(1) }]
    );
    assert!(found.orphans.is_empty());
}

#[test]
fn silent_start_stopped() {
    let table = table_with_start();
    let open: Vec<_> = table.open_orders().collect();
    let none = BTreeSet::new();
    let early = reconcile(WallMillis(ANNOUNCE_TIMEOUT_MS), &open, &none, &none);
    assert!(early.silent.is_empty());
    let late = reconcile(WallMillis(ANNOUNCE_TIMEOUT_MS + 1), &open, &none, &none);
    assert_eq!(late.silent, vec![name(1)]);
}

#[test]
fn orphan_found() {
    let table = table_with_start();
    let open: Vec<_> = table.open_orders().collect();
    let announced = BTreeSet::from([name(8), name(9)]);
    let known = BTreeSet::from([name(9)]);
    let found = reconcile(WallMillis(5), &open, &announced, &known);
    assert_eq!(found.orphans, BTreeSet::from([name(8)]));
}

#[test]
fn plan_idempotent() {
    let mut table = OrdersTable::default();
    let first = table.apply(&context(0), start(1)).unwrap();
    let again = table.apply(&context(9), start(1)).unwrap();
    assert_eq!(first, again);
    assert_eq!(table.open_orders().count(), 1);
}

#[test]
fn start_rate_limited() {
    let mut table = OrdersTable::default();
    let limits = FleetLimits {
        starts_minute: 2,
        ..FleetLimits::default()
    };
    table
        .apply(&context(0), OrderCommand::SetLimits(limits))
        .unwrap();
    let admitted = (0..5).filter(|id| table.apply(&context(1), start(*id)).is_ok());
    assert_eq!(admitted.count(), 2);
    table.apply(&context(60_001), start(7)).unwrap();
}

#[test]
fn pause_refuses() {
    let mut table = OrdersTable::default();
    let limits = FleetLimits {
        paused: true,
        ..FleetLimits::default()
    };
    table
        .apply(&context(0), OrderCommand::SetLimits(limits))
        .unwrap();
    let refused = table.apply(&context(1), start(1)).unwrap_err();
    assert!(refused.to_string().contains("fleet resume"));
}
