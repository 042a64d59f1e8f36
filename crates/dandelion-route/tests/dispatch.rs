//! Dispatch, preemption, load shedding, team limits and drains at an owner's queue.

mod support;

use std::collections::BTreeMap;

use dandelion_protocol::config::Config;
use dandelion_protocol::config::Team;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::queue::Action;
use dandelion_route::queue::Finish;
use dandelion_route::queue::QueueEvent;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;

use support::fixtures::announce;
use support::fixtures::arrival;
use support::fixtures::dispatched;
use support::fixtures::feed;
use support::fixtures::open_queue;
use support::fixtures::send;

fn finish(ticket: u64, finish: Finish) -> QueueEvent {
    QueueEvent::Finished {
        ticket: Ticket(ticket),
        finish,
        work: Work {
            prompt: 0,
            output: 100,
        },
        latency: Millis(1000),
    }
}

#[test]
fn least_loaded() {
    let mut queue = open_queue(2, 2);
    let mut used = Vec::new();
    for ticket in 1..=4 {
        used.extend(dispatched(&send(&mut queue, 1, ticket)));
    }
    let on_first = used.iter().filter(|(_, up)| up == "up-0").count();
    assert_eq!((used.len(), on_first), (4, 2));
    assert!(dispatched(&send(&mut queue, 2, 5)).is_empty());
    let next = dispatched(&feed(&mut queue, 3, finish(used[0].0, Finish::Clean)));
    assert_eq!(next, vec![(5, used[0].1.clone())]);
}

#[test]
fn rollout_preempted() {
    let mut queue = open_queue(1, 1);
    feed(
        &mut queue,
        1,
        QueueEvent::Arrive(arrival(1, "t", Class::Rollout)),
    );
    let event = QueueEvent::Arrive(arrival(2, "u", Class::Interactive));
    let actions = feed(&mut queue, 2, event);
    assert_eq!(actions, vec![Action::Preempt { ticket: Ticket(1) }]);
    feed(&mut queue, 2, QueueEvent::Tick);
    let next = dispatched(&feed(&mut queue, 3, finish(1, Finish::Preempted)));
    assert_eq!(next[0].0, 2);
    feed(
        &mut queue,
        4,
        QueueEvent::Arrive(arrival(1, "t", Class::Rollout)),
    );
    let resumed = dispatched(&feed(&mut queue, 5, finish(2, Finish::Clean)));
    assert_eq!(resumed[0].0, 1);
}

#[test]
fn interactive_first() {
    let mut queue = open_queue(1, 1);
    send(&mut queue, 1, 1);
    feed(
        &mut queue,
        2,
        QueueEvent::Arrive(arrival(2, "t", Class::Rollout)),
    );
    send(&mut queue, 3, 3);
    let next = dispatched(&feed(&mut queue, 4, finish(1, Finish::Clean)));
    assert_eq!(next[0].0, 3);
}

#[test]
fn shed_early() {
    let mut queue = open_queue(1, 1);
    send(&mut queue, 0, 1);
    feed(&mut queue, 1000, finish(1, Finish::Clean));
    let mut refused = 0;
    for ticket in 2..10 {
        let mut late = arrival(ticket, "t", Class::Interactive);
        late.deadline = Millis(1000 + 3500);
        for action in feed(&mut queue, 1000, QueueEvent::Arrive(late)) {
            if let Action::Refuse { refusal, .. } = action {
                assert_eq!(refusal.code, RefusalCode::Overloaded);
                assert_eq!(refusal.ran, Ran::NotRun);
                assert!(refusal.retry_after.unwrap() >= Millis(1000));
                refused += 1;
            }
        }
    }
    // One runs and two can wait, for one second each; the other five cannot meet their deadlines.
    assert_eq!((refused, queue.waiting()), (5, 2));
}

#[test]
fn expired_refused() {
    let mut queue = open_queue(1, 1);
    send(&mut queue, 0, 1);
    send(&mut queue, 0, 2);
    let actions = feed(&mut queue, 60_000, QueueEvent::Tick);
    assert!(
        matches!(&actions[..], [Action::Refuse { ticket: Ticket(2), refusal }] if refusal.ran == Ran::NotRun)
    );
    assert!(dispatched(&feed(&mut queue, 60_001, finish(1, Finish::Clean))).is_empty());
}

#[test]
fn latest_start_passed() {
    let mut queue = open_queue(1, 1);
    for ticket in 1..=2 {
        send(&mut queue, 0, ticket);
    }
    let actions = feed(&mut queue, 60_001, finish(1, Finish::Clean));
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            ticket: Ticket(2),
            ..
        }]
    ));
}

#[test]
fn leaving_upstream() {
    let mut queue = open_queue(2, 1);
    let id: dandelion_protocol::ids::UpstreamId = "up-0".parse().unwrap();
    feed(
        &mut queue,
        0,
        QueueEvent::Upstream(Change::Leaving(id.clone())),
    );
    let late = Change::Reported(announce("up-0", 1, 9));
    feed(&mut queue, 1, QueueEvent::Upstream(late));
    for ticket in 1..4 {
        send(&mut queue, 2, ticket);
    }
    assert_eq!((queue.inflight(), queue.inflight_at(&id)), (1, 0));
}

#[test]
fn last_upstream_leaves() {
    let mut queue = open_queue(1, 1);
    for ticket in 1..=3 {
        send(&mut queue, 1, ticket);
    }
    let id = "up-0".parse().unwrap();
    let mut actions = feed(&mut queue, 2, QueueEvent::Upstream(Change::Leaving(id)));
    let late = QueueEvent::Arrive(arrival(4, "t", Class::Interactive));
    actions.extend(feed(&mut queue, 3, late));
    let mut refused = Vec::new();
    for action in actions {
        let Action::Refuse { ticket, refusal } = action else {
            panic!("{action:?}");
        };
        assert_eq!(
            (refusal.code, refusal.ran),
            (RefusalCode::NoUpstream, Ran::NotRun)
        );
        refused.push(ticket.0);
    }
    assert_eq!(
        (refused, queue.waiting(), queue.inflight()),
        (vec![2, 3, 4], 0, 1)
    );
}

#[test]
fn only_upstream_down() {
    let mut queue = open_queue(1, 1);
    let upstream = "up-0".parse().unwrap();
    let boot = Incarnation(1);
    feed(&mut queue, 1, QueueEvent::Crashed { upstream, boot });
    let request = QueueEvent::Arrive(arrival(1, "t", Class::Interactive));
    let actions = feed(&mut queue, 2, request.clone());
    let [Action::Refuse { refusal, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(
        (refusal.code, refusal.ran),
        (RefusalCode::NoUpstream, Ran::NotRun)
    );
    assert!(refusal.retry_after.unwrap() <= Millis(2000));
    let again = Change::Reported(announce("up-0", 1, 9));
    feed(&mut queue, 3, QueueEvent::Upstream(again));
    assert_eq!(dispatched(&feed(&mut queue, 4, request)).len(), 1);
}

#[test]
fn inflight_limit() {
    let mut queue = open_queue(4, 4);
    let id: dandelion_protocol::ids::TeamId = "t".parse().unwrap();
    let team = Team {
        id: id.clone(),
        weight: 1,
        max_inflight: Some(4),
        token_rate: None,
    };
    let config = Config {
        teams: BTreeMap::from([(id, team)]),
        ..Config::default()
    };
    queue.set_config(Millis(0), &config, 500);
    for ticket in 1..10 {
        send(&mut queue, 1, ticket);
    }
    assert_eq!(queue.inflight(), 2);
    let next = dispatched(&feed(&mut queue, 2, finish(1, Finish::Clean)));
    assert_eq!(next.len(), 1);
}

#[test]
fn token_rate() {
    let mut queue = open_queue(4, 4);
    let id: dandelion_protocol::ids::TeamId = "t".parse().unwrap();
    let team = Team {
        id: id.clone(),
        weight: 1,
        max_inflight: None,
        token_rate: Some(600),
    };
    let config = Config {
        teams: BTreeMap::from([(id, team)]),
        ..Config::default()
    };
    queue.set_config(Millis(0), &config, 1000);
    for ticket in 1..50 {
        let mut event = arrival(ticket, "t", Class::Interactive);
        event.deadline = Millis(600_000);
        feed(&mut queue, 0, QueueEvent::Arrive(event));
    }
    // 600 tokens a minute are six requests of 100 tokens, and the burst of ten seconds is one more.
    let mut started = queue.inflight();
    for now in 1..600 {
        started += dispatched(&feed(&mut queue, now * 100, QueueEvent::Tick)).len();
    }
    assert_eq!(started, 7);
}

#[test]
fn absurd_predictions() {
    let mut queue = open_queue(1, 1);
    for ticket in 1..50 {
        let mut huge = arrival(ticket, "t", Class::Interactive);
        huge.work = Work {
            prompt: u64::MAX,
            output: u64::MAX,
        };
        huge.deadline = Millis(u64::MAX);
        feed(&mut queue, 1, QueueEvent::Arrive(huge));
    }
    let finished = QueueEvent::Finished {
        ticket: Ticket(1),
        finish: Finish::Clean,
        work: Work {
            prompt: u64::MAX,
            output: u64::MAX,
        },
        latency: Millis(u64::MAX),
    };
    assert_eq!(dispatched(&feed(&mut queue, 2, finished)).len(), 1);
    assert_eq!((queue.inflight(), queue.waiting()), (1, 47));
}

#[test]
fn no_idle_credit() {
    let mut queue = open_queue(1, 1);
    for ticket in 1..40 {
        feed(
            &mut queue,
            1,
            QueueEvent::Arrive(arrival(ticket, "busy", Class::Interactive)),
        );
    }
    for ticket in 1..20 {
        feed(&mut queue, 2, finish(ticket, Finish::Clean));
    }
    for ticket in 100..120 {
        feed(
            &mut queue,
            3,
            QueueEvent::Arrive(arrival(ticket, "late", Class::Interactive)),
        );
    }
    let mut running = 20;
    let mut late = 0;
    for _ in 0..10 {
        running = dispatched(&feed(&mut queue, 4, finish(running, Finish::Clean)))[0].0;
        late += u32::from(running >= 100);
    }
    assert!(
        (4..=6).contains(&late),
        "{late} of 10 went to the late team"
    );
}

#[test]
fn weighted_shares() {
    let mut queue = open_queue(1, 1);
    let team = |name: &str, weight| Team {
        id: name.parse().unwrap(),
        weight,
        max_inflight: None,
        token_rate: None,
    };
    let teams = [team("one", 1), team("three", 3)];
    let config = Config {
        teams: teams.into_iter().map(|t| (t.id.clone(), t)).collect(),
        ..Config::default()
    };
    queue.set_config(Millis(0), &config, 1000);
    for ticket in 0..200 {
        let name = if ticket < 100 { "one" } else { "three" };
        let mut request = arrival(ticket, name, Class::Interactive);
        request.deadline = Millis(u64::MAX);
        feed(&mut queue, 1, QueueEvent::Arrive(request));
    }
    let mut running = 0;
    let mut heavy = 0;
    for _ in 0..40 {
        running = dispatched(&feed(&mut queue, 2, finish(running, Finish::Clean)))[0].0;
        heavy += u32::from(running >= 100);
    }
    assert!(
        (29..=31).contains(&heavy),
        "{heavy} of 40 went to the heavy team"
    );
}
