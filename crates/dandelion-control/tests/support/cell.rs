//! Groups whose control daemons join and leave: their formation and what is asked of their voters.

use dandelion_control::raft::Membership;

use crate::support::group::Group;
use crate::support::group::GroupOptions;

/// Forms a group of the initial members. Those that are added later stay down until they are started.
pub fn formed(options: GroupOptions, seed: u64) -> Group {
    let mut group = Group::start(options, seed);
    let initial = options.control - options.added;
    for number in 0..options.control {
        let vm = &mut group.vms[number];
        vm.kill(if number < initial { 0 } else { u64::MAX });
        vm.disk.as_ref().unwrap().wipe();
    }
    let complete = |group: &Group| {
        let members = members(group);
        members.is_some_and(|m| m.replicas.len() == initial) && is_whole(group)
    };
    assert!(group.run_until(10_000, complete), "{}", group.describe());
    group
}

/// Returns the membership as the leader knows it.
pub fn members(group: &Group) -> Option<Membership> {
    let leader = group.node(group.leader()?)?;
    Some(leader.replica().membership().clone())
}

/// Returns the names of the voters' daemons.
pub fn voters(group: &Group) -> Vec<String> {
    let members = members(group).unwrap_or_default();
    let voters = members.replicas.values().filter(|r| r.voter);
    let mut names = voters.map(|r| r.daemon.to_string()).collect::<Vec<_>>();
    names.sort();
    names
}

/// Returns whether the group has exactly the voters that it is meant to have, all of them responsive.
pub fn is_whole(group: &Group) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let vm = &group.vms[leader];
    let status = group.node(leader).unwrap().status(vm.clock(group.now));
    let voters = status.replicas.iter().filter(|r| r.voter);
    let responsive = voters.clone().filter(|r| r.alive == Some(true));
    voters.count() == vm.settings.voters && responsive.count() == vm.settings.voters
}

/// Requires that the group still takes changes.
pub fn assert_serves(group: &mut Group, ticket: u64) {
    let done = |group: &Group| group.checks.first_answers.contains_key(&ticket);
    for _ in 0..120 {
        let leader = group.leader().unwrap_or(0);
        group.propose(leader, ticket);
        if group.run_until(100, done) {
            assert_eq!(group.checks.failure, None);
            return;
        }
    }
    panic!("no answer to {ticket}:{}", group.describe());
}
