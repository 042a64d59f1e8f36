//! Distribution of changes and leases to daemons.

mod support;

use dandelion_control::FeedClient;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_control::feed::FeedMessage;
use dandelion_control::feed::FeedSettings;
use dandelion_control::feed::Feeder;
use dandelion_control::feed::Update;
use dandelion_control::feed::message::Grant;
use dandelion_control::raft::GroupId;
use dandelion_protocol::codec;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;
use support::group::Group;
use support::group::GroupOptions;
use support::group::name;
use support::group::quick_timing;

fn converged(options: GroupOptions, seed: u64) -> Group {
    let mut group = Group::start(options, seed);
    assert!(
        group.run_until(3000, Group::is_converged),
        "{}",
        group.describe()
    );
    group
}

fn change(group: &mut Group, ticket: u64) -> Revision {
    let leader = group.leader().unwrap();
    group.propose(leader, ticket);
    let done = |group: &Group| group.checks.first_answers.contains_key(&ticket);
    assert!(group.run_until(2000, done), "{}", group.describe());
    group.checks.first_answers[&ticket].revision
}

fn is_complete(group: &Group, revision: Revision) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let clock = group.vms[leader].clock(group.now);
    let propagation = group
        .node(leader)
        .and_then(|n| n.propagation(revision, clock));
    propagation.is_some_and(|propagation| propagation.is_complete())
}

fn leased(group: &Group, number: usize) -> bool {
    let vm = &group.vms[number];
    vm.client.as_ref().unwrap().lease_valid(vm.clock(group.now))
}

/// A change reaches twenty daemons, and the leader knows that it has, before a renewal is due.
#[test]
fn pushed_immediately() {
    let mut options = GroupOptions::of(3);
    options.plain = 20;
    let mut group = converged(options, 1);
    group.run(1000);
    let revision = change(&mut group, 1);
    let begun = group.now;
    assert!(group.run_until(2000, |group| is_complete(group, revision)));
    let period = quick_timing().feed_period.0;
    assert!(group.now - begun < period, "{} ms", group.now - begun);
    let leader = group.leader().unwrap();
    let clock = group.vms[leader].clock(group.now);
    let propagation = group
        .node(leader)
        .unwrap()
        .propagation(revision, clock)
        .unwrap();
    assert_eq!(
        (propagation.total, propagation.applied, propagation.pending),
        (23, 23, 0)
    );
    assert_eq!(group.checks.failure, None);
}

/// A change counts as in force only when the lease of an isolated daemon has expired.
#[test]
fn isolated_daemon() {
    for seed in 0..20 {
        let mut group = converged(GroupOptions::of(3), seed);
        group.run(1000);
        for other in 0..3 {
            group.network.blocked.extend([(3, other), (other, 3)]);
        }
        let revision = change(&mut group, 1);
        assert!(leased(&group, 3) && !is_complete(&group, revision));
        assert!(group.run_until(1000, |group| is_complete(group, revision)));
        assert!(!leased(&group, 3), "no lease at an older revision");
        assert_eq!(group.checks.failure, None);
        group.heal();
        assert!(group.run_until(2000, |group| leased(group, 3)));
        let copy = group.vms[3].client.as_ref().unwrap().revision();
        assert!(copy >= revision);
    }
}

/// Without a quorum no daemon gets a lease, and one that restarts stays without state.
#[test]
fn no_quorum() {
    let mut group = converged(GroupOptions::of(3), 3);
    let leader = group.leader().unwrap();
    for number in (0..3).filter(|number| *number != leader) {
        group.vms[number].kill(u64::MAX);
    }
    group.run(1500);
    assert!(!leased(&group, 3) && !leased(&group, leader));
    let now = group.now;
    group.vms[3].kill(now);
    group.run(1500);
    assert_eq!(
        group.vms[3].client.as_ref().unwrap().revision(),
        Revision(0)
    );
    for number in 0..3 {
        group.vms[number].down_until = 0;
    }
    assert!(
        group.run_until(3000, Group::is_converged),
        "{}",
        group.describe()
    );
    assert_eq!(group.checks.failure, None);
}

fn send_renewal(client: &mut FeedClient, now: u64) -> u64 {
    let mut actions = Vec::new();
    client.handle(Millis(now), FeedEvent::Tick, &mut actions);
    let Some(FeedAction::Send { message, .. }) = actions.pop() else {
        panic!("no renewal");
    };
    let MeshMessage::Feed(bytes) = *message else {
        panic!("no feed message");
    };
    match codec::decode(&bytes).unwrap() {
        FeedMessage::Renew(renew) => renew.nonce,
        other => panic!("{other:?}"),
    }
}

fn deliver_grant(client: &mut FeedClient, now: u64, nonce: u64, group: u64, from: u64, to: u64) {
    let image = (from == 0).then(|| {
        let mut tables = dandelion_kernel::TableSet::open_distributed();
        tables.skip_to(Revision(to));
        let image = codec::encode(&tables.distributed_image().unwrap()).unwrap();
        SharedBytes::from(image)
    });
    let message = FeedMessage::Grant(Grant {
        nonce,
        group: GroupId(group),
        lease: Millis(400),
        leader: Some(name(0)),
        update: Update {
            from: Revision(from),
            to: Revision(to),
            changes: Vec::new(),
            image,
        },
    });
    let event = FeedEvent::Message {
        from: name(0),
        bytes: codec::encode(&message).unwrap().into(),
    };
    client.handle(Millis(now), event, &mut Vec::new());
}

fn client() -> FeedClient {
    let zone = "zone-0".parse().unwrap();
    let feeder = Feeder {
        daemon: name(0),
        zone: "zone-0".parse().unwrap(),
    };
    let settings = FeedSettings {
        zone,
        feeders: vec![feeder],
        timing: quick_timing(),
    };
    FeedClient::open(settings, 1)
}

/// The lease counts from when the renewal was sent, however late the grant arrives.
#[test]
fn lease_from_sending() {
    let mut client = client();
    let nonce = send_renewal(&mut client, 1000);
    deliver_grant(&mut client, 1300, nonce, 9, 0, 5);
    assert!(client.lease_valid(Millis(1399)));
    assert!(!client.lease_valid(Millis(1400)));
    deliver_grant(&mut client, 1350, nonce + 1, 9, 5, 5);
    assert!(
        !client.lease_valid(Millis(1400)),
        "no renewal has this number"
    );
}

#[test]
fn lower_revision() {
    let mut client = client();
    let nonce = send_renewal(&mut client, 1000);
    deliver_grant(&mut client, 1001, nonce, 9, 0, 50);
    let nonce = send_renewal(&mut client, 1200);
    deliver_grant(&mut client, 1201, nonce, 9, 0, 49);
    assert_eq!(client.revision(), Revision(50));
    assert!(
        !client.lease_valid(Millis(1400)),
        "the older grant gives no lease"
    );
    let nonce = send_renewal(&mut client, 1400);
    deliver_grant(&mut client, 1401, nonce, 8, 0, 70);
    assert_eq!(client.revision(), Revision(50), "another group's state");
}
