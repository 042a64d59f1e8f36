//! Ownership of upstreams: agreement, spread, and what moves when a member leaves.

use std::collections::BTreeMap;

use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_route::ownership::owner_of;

fn members(count: usize) -> Vec<Member> {
    let member = |n| Member {
        id: format!("daemon-{n}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: Incarnation(1),
        leaving: false,
        role: Role::Entry,
        host: String::new(),
    };
    (0..count).map(member).collect()
}

fn upstreams() -> Vec<UpstreamId> {
    let name = |n| format!("engine-{n}").parse().unwrap();
    (0..555).map(name).collect()
}

#[test]
fn order_independent() {
    let members = members(72);
    for upstream in upstreams() {
        let forward = owner_of(&upstream, &members);
        assert!(forward.is_some());
        assert_eq!(forward, owner_of(&upstream, members.iter().rev()));
    }
}

#[test]
fn minimal_movement() {
    let all = members(72);
    let mut leaving = all.clone();
    leaving[10].leaving = true;
    for upstream in upstreams() {
        let before = owner_of(&upstream, &all).unwrap();
        let after = owner_of(&upstream, &leaving).unwrap();
        assert!(after != &all[10].id);
        assert!(before == after || before == &all[10].id);
    }
}

#[test]
fn even_spread() {
    let all = members(72);
    let mut counts = BTreeMap::new();
    for upstream in upstreams() {
        let owner = owner_of(&upstream, &all).unwrap().clone();
        *counts.entry(owner).or_insert(0) += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 3 * 555 / 72, "{most} upstreams at one owner");
}

#[test]
fn all_leaving() {
    let mut all = members(1);
    all[0].leaving = true;
    assert_eq!(owner_of(&"u".parse().unwrap(), &all), None);
}
