//! Spread of changes and leases to daemons.

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
use dandelion_protocol::time::Millis;
use support::group::Group;
use support::group::Shape;
use support::group::name;
use support::group::quick_timing;

fn whole(shape: Shape, seed: u64) -> Group {
    let mut group = Group::start(shape, seed);
    assert!(
        group.run_until(3000, Group::is_whole),
        "{}",
        group.describe()
    );
    group
}

fn change(group: &mut Group, ticket: u64) -> Revision {
    let leader = group.leader().unwrap();
    group.propose(leader, ticket);
    let done = |group: &Group| group.checks.firsts.contains_key(&ticket);
    assert!(group.run_until(2000, done), "{}", group.describe());
    group.checks.firsts[&ticket].revision
}

fn is_complete(group: &Group, revision: Revision) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let clock = group.slots[leader].clock(group.now);
    let reach = group.node(leader).and_then(|n| n.in_force(revision, clock));
    reach.is_some_and(|reach| reach.is_complete())
}

fn leased(group: &Group, number: usize) -> bool {
    let slot = &group.slots[number];
    slot.client
        .as_ref()
        .unwrap()
        .lease_valid(slot.clock(group.now))
}

/// A change reaches twenty daemons long before a renewal is due, and the leader knows.
#[test]
fn pushed_at_once() {
    let mut shape = Shape::of(3);
    shape.plain = 20;
    let mut group = whole(shape, 1);
    group.run(1000);
    let revision = change(&mut group, 1);
    let begun = group.now;
    assert!(group.run_until(2000, |group| is_complete(group, revision)));
    let period = quick_timing().feed_period.0;
    assert!(group.now - begun < period, "{} ms", group.now - begun);
    let leader = group.leader().unwrap();
    let clock = group.slots[leader].clock(group.now);
    let reach = group
        .node(leader)
        .unwrap()
        .in_force(revision, clock)
        .unwrap();
    assert_eq!((reach.total, reach.applied, reach.pending), (23, 23, 0));
    assert_eq!(group.checks.failure, None);
}

/// A change is complete only when the lease of a daemon that is cut off has run out.
#[test]
fn cut_off_daemon() {
    for seed in 0..20 {
        let mut group = whole(Shape::of(3), seed);
        group.run(1000);
        for other in 0..3 {
            group.network.cuts.extend([(3, other), (other, 3)]);
        }
        let revision = change(&mut group, 1);
        assert!(leased(&group, 3) && !is_complete(&group, revision));
        assert!(group.run_until(1000, |group| is_complete(group, revision)));
        assert!(!leased(&group, 3), "it may not act on the older state");
        assert_eq!(group.checks.failure, None);
        group.heal();
        assert!(group.run_until(2000, |group| leased(group, 3)));
        let copy = group.slots[3].client.as_ref().unwrap().revision();
        assert!(copy >= revision);
    }
}

/// Without a quorum nobody gets a lease, and a daemon that restarts stays without state.
#[test]
fn no_quorum() {
    let mut group = whole(Shape::of(3), 3);
    let leader = group.leader().unwrap();
    for number in (0..3).filter(|number| *number != leader) {
        group.slots[number].kill(u64::MAX);
    }
    group.run(1500);
    assert!(!leased(&group, 3) && !leased(&group, leader));
    let now = group.now;
    group.slots[3].kill(now);
    group.run(1500);
    assert_eq!(
        group.slots[3].client.as_ref().unwrap().revision(),
        Revision(0)
    );
    for number in 0..3 {
        group.slots[number].down = 0;
    }
    assert!(
        group.run_until(3000, Group::is_whole),
        "{}",
        group.describe()
    );
    assert_eq!(group.checks.failure, None);
}

fn renewed(client: &mut FeedClient, now: u64) -> u64 {
    let mut actions = Vec::new();
    client.handle(Millis(now), FeedEvent::Tick, &mut actions);
    let Some(FeedAction::Send { message, .. }) = actions.pop() else {
        panic!("no renewal");
    };
    let MeshMessage::Feed(bytes) = message else {
        panic!("no feed message");
    };
    match codec::decode(&bytes).unwrap() {
        FeedMessage::Renew(renew) => renew.nonce,
        other => panic!("{other:?}"),
    }
}

fn grant(client: &mut FeedClient, now: u64, nonce: u64, group: u64, from: u64, to: u64) {
    let image = (from == 0).then(|| {
        let mut tables = dandelion_kernel::TableSet::open_spread();
        tables.skip_to(Revision(to));
        let image = codec::encode(&tables.spread_image().unwrap()).unwrap();
        serde_bytes::ByteBuf::from(image)
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
        bytes: codec::encode(&message).unwrap(),
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

/// The lease counts from the sending of the renewal, however late the grant comes.
#[test]
fn lease_from_sending() {
    let mut client = client();
    let nonce = renewed(&mut client, 1000);
    grant(&mut client, 1300, nonce, 9, 0, 5);
    assert!(client.lease_valid(Millis(1399)));
    assert!(!client.lease_valid(Millis(1400)));
    grant(&mut client, 1350, nonce + 1, 9, 5, 5);
    assert!(!client.lease_valid(Millis(1400)), "it was never asked for");
}

#[test]
fn lower_revision() {
    let mut client = client();
    let nonce = renewed(&mut client, 1000);
    grant(&mut client, 1001, nonce, 9, 0, 50);
    let nonce = renewed(&mut client, 1200);
    grant(&mut client, 1201, nonce, 9, 0, 49);
    assert_eq!(client.revision(), Revision(50));
    assert!(!client.lease_valid(Millis(1400)), "no lease comes with it");
    let nonce = renewed(&mut client, 1400);
    grant(&mut client, 1401, nonce, 8, 0, 70);
    assert_eq!(client.revision(), Revision(50), "another group's state");
}
