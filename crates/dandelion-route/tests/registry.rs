//! Late, replayed and reordered announcements, drains, and upstreams that fall silent.

mod support;

use std::collections::BTreeMap;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::time::Millis;
use dandelion_route::registry::Change;
use dandelion_route::registry::Registry;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use support::fixtures::announce;

#[test]
fn late_announcements() {
    let mut registry = Registry::default();
    assert!(registry.accept(Millis(0), announce("u", 2, 5)).is_some());
    for (boot, sequence) in [(2, 5), (2, 4), (1, 99)] {
        let late = announce("u", boot, sequence);
        assert_eq!(registry.accept(Millis(1), late), None);
    }
    let id = "u".parse().unwrap();
    assert_eq!(registry.get(&id).unwrap().last.sequence, 5);
}

#[test]
fn leaving_stays() {
    let mut registry = Registry::default();
    let mut leaving = announce("u", 1, 2);
    leaving.leaving = true;
    registry.accept(Millis(0), announce("u", 1, 1));
    registry.accept(Millis(1), leaving);
    let id: dandelion_protocol::ids::UpstreamId = "u".parse().unwrap();
    let again = registry.accept(Millis(2), announce("u", 1, 3));
    assert_eq!(again, Some(Change::Leaving(id.clone())));
    registry.release(Millis(3), &id);
    let again = registry.accept(Millis(4), announce("u", 1, 4));
    assert_eq!(again, Some(Change::Leaving(id)));
    let restarted = registry.accept(Millis(5), announce("u", 2, 1));
    assert_eq!(restarted, Some(Change::Joined(announce("u", 2, 1))));
}

#[test]
fn configured_drains() {
    let mut registry = Registry::default();
    registry.accept(Millis(0), announce("u", 3, 1));
    let id: dandelion_protocol::ids::UpstreamId = "u".parse().unwrap();
    let drains = BTreeMap::from([(id.clone(), Incarnation(3))]);
    let changes = registry.set_drains(&drains);
    assert_eq!(changes, vec![Change::Leaving(id.clone())]);
    assert!(registry.set_drains(&drains).is_empty());
    let report = registry.accept(Millis(1), announce("u", 3, 2));
    assert_eq!(report, Some(Change::Leaving(id)));
    let next = registry.accept(Millis(2), announce("u", 4, 1));
    assert_eq!(next, Some(Change::Joined(announce("u", 4, 1))));
}

#[test]
fn drain_before_announcement() {
    let mut registry = Registry::default();
    let id: dandelion_protocol::ids::UpstreamId = "u".parse().unwrap();
    registry.set_drains(&BTreeMap::from([(id.clone(), Incarnation(3))]));
    for (boot, sequence) in [(2, 1), (3, 1)] {
        let change = registry.accept(Millis(0), announce("u", boot, sequence));
        assert_eq!(change, Some(Change::Leaving(id.clone())));
    }
    let next = registry.accept(Millis(0), announce("u", 4, 1));
    assert_eq!(next, Some(Change::Joined(announce("u", 4, 1))));
}

#[test]
fn silent_upstreams() {
    let mut registry = Registry::default();
    registry.accept(Millis(0), announce("u", 1, 1));
    registry.accept(Millis(3000), announce("u", 1, 2));
    assert!(registry.tick(Millis(7000)).is_empty());
    let id: dandelion_protocol::ids::UpstreamId = "u".parse().unwrap();
    let silent = registry.tick(Millis(8000));
    assert_eq!(silent, vec![Change::Silent(id.clone())]);
    let gone = registry.tick(Millis(33_000));
    assert_eq!(gone, vec![Change::Gone(id)]);
    let replay = registry.accept(Millis(34_000), announce("u", 1, 2));
    assert_eq!(replay, None);
}

/// In any order of arrival the newest announcement wins, and a boot that was leaving stays so.
#[test]
fn any_order() {
    fn holds(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut registry = Registry::default();
        let id = "u".parse().unwrap();
        let mut newest = (0, 0);
        let mut leaving = false;
        for (now, (boot, sequence, leaves)) in steps.into_iter().enumerate() {
            let position = (u64::from(boot % 3) + 1, u64::from(sequence % 8) + 1);
            let mut announcement = announce("u", position.0, position.1);
            announcement.leaving = leaves;
            registry.accept(Millis(now as u64), announcement);
            if position > newest {
                leaving = leaves || (leaving && position.0 == newest.0);
                newest = position;
            }
            let record = registry.get(&id).unwrap();
            let known = (record.last.boot.0, record.last.sequence);
            if known != newest || record.leaving != leaving {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 1))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}
