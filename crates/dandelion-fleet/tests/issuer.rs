//! The order issuer under lost answers, leader changes and resends.

use dandelion_fleet::orders::IssuerAction;
use dandelion_fleet::orders::IssuerEvent;
use dandelion_fleet::orders::OrderCommand;
use dandelion_fleet::orders::OrderIssuer;
use dandelion_fleet::orders::OrderOutcome;
use dandelion_fleet::orders::OrderTask;
use dandelion_fleet::orders::issuer::MAX_RESEND;
use dandelion_kernel::Machine;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

fn stop(id: u128, ready: bool) -> OrderTask {
    OrderTask {
        id: RequestId(id),
        body: OrderBody::Stop {
            upstream: format!("u{id}").parse().unwrap(),
        },
        ready,
    }
}

fn handle(issuer: &mut OrderIssuer, now: u64, event: IssuerEvent) -> Vec<IssuerAction> {
    let mut actions = Vec::new();
    issuer.handle(Millis(now), event, &mut actions);
    actions
}

fn tick(term: Option<u64>, planned: &[OrderTask]) -> IssuerEvent {
    IssuerEvent::Tick {
        term: term.map(Term),
        planned: planned.to_vec(),
    }
}

fn answered(id: u128, term: u64, outcome: Option<OrderOutcome>) -> IssuerEvent {
    IssuerEvent::Answered {
        id: RequestId(id),
        term: Term(term),
        outcome,
    }
}

#[test]
fn follower_sends_nothing() {
    let mut issuer = OrderIssuer::open();
    let actions = handle(&mut issuer, 0, tick(None, &[stop(1, true)]));
    assert_eq!(actions, Vec::new());
}

#[test]
fn waits_for_drain() {
    let mut issuer = OrderIssuer::open();
    let actions = handle(&mut issuer, 0, tick(Some(3), &[stop(1, false)]));
    assert_eq!(actions, Vec::new());
}

#[test]
fn same_id_resent() {
    let mut issuer = OrderIssuer::open();
    let first = handle(&mut issuer, 0, tick(Some(3), &[stop(1, true)]));
    handle(&mut issuer, 10, answered(1, 3, None));
    let again = handle(
        &mut issuer,
        10 + MAX_RESEND.0,
        tick(Some(3), &[stop(1, true)]),
    );
    assert_eq!(first.len(), 1);
    assert_eq!(first, again);
}

#[test]
fn one_in_flight() {
    let mut issuer = OrderIssuer::open();
    handle(&mut issuer, 0, tick(Some(3), &[stop(1, true)]));
    let second = handle(&mut issuer, 1, tick(Some(3), &[stop(1, true)]));
    assert_eq!(second, Vec::new());
}

#[test]
fn stale_answer_ignored() {
    let mut issuer = OrderIssuer::open();
    handle(&mut issuer, 0, tick(Some(3), &[stop(1, true)]));
    handle(&mut issuer, 1, tick(None, &[]));
    handle(&mut issuer, 2, tick(Some(5), &[stop(1, true)]));
    let outcome = Some(OrderOutcome::OutOfStock);
    let actions = handle(&mut issuer, 3, answered(1, 3, outcome));
    assert_eq!(actions, Vec::new());
}

#[test]
fn answer_recorded() {
    let mut issuer = OrderIssuer::open();
    handle(&mut issuer, 0, tick(Some(3), &[stop(1, true)]));
    let outcome = OrderOutcome::Accepted {
        upstream: "u1".parse().unwrap(),
    };
    let actions = handle(&mut issuer, 1, answered(1, 3, Some(outcome.clone())));
    let id = RequestId(1);
    assert_eq!(
        actions,
        vec![IssuerAction::Propose(OrderCommand::Answer { id, outcome })]
    );
}
