//! A daemon keeps its lease while changes pour in and grants take long.

use std::collections::VecDeque;

use dandelion_control::FeedClient;
use dandelion_control::Timing;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_control::feed::FeedMessage;
use dandelion_control::feed::FeedSettings;
use dandelion_control::feed::Feeder;
use dandelion_control::feed::Update;
use dandelion_control::feed::message::Grant;
use dandelion_control::feed::message::Push;
use dandelion_control::raft::GroupId;
use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;

const GROUP: GroupId = GroupId(7);
const PUSH_GAP: u64 = 5;
const GRANT_DELAY: u64 = 400;
const RUN: u64 = 10_000;

struct World {
    client: FeedClient,
    feeder: DaemonId,
    grants: VecDeque<(u64, Grant)>,
    renewals: u64,
}

impl World {
    fn open() -> Self {
        let feeder: DaemonId = "f".parse().unwrap();
        let zone: dandelion_protocol::ids::ZoneId = "z".parse().unwrap();
        let settings = FeedSettings {
            zone: zone.clone(),
            feeders: vec![Feeder {
                daemon: feeder.clone(),
                zone,
            }],
            timing: Timing::default(),
        };
        Self {
            client: FeedClient::open(settings, 1),
            feeder,
            grants: VecDeque::new(),
            renewals: 0,
        }
    }

    fn handle(&mut self, now: u64, event: FeedEvent) {
        let mut actions = Vec::new();
        self.client.handle(Millis(now), event, &mut actions);
        for action in actions {
            if let FeedAction::Send { message, .. } = action {
                self.answer(now, &message);
            }
        }
    }

    fn answer(&mut self, now: u64, message: &MeshMessage) {
        let MeshMessage::Feed(bytes) = message else {
            panic!("a feed client sends feed messages only");
        };
        let FeedMessage::Renew(renew) = codec::decode(bytes).unwrap() else {
            panic!("a feed client sends renewals only");
        };
        self.renewals += 1;
        let grant = Grant {
            nonce: renew.nonce,
            group: GROUP,
            lease: Timing::default().feed_lease,
            leader: None,
            update: Update {
                from: renew.applied,
                to: renew.applied,
                ..Update::default()
            },
        };
        self.grants.push_back((now + GRANT_DELAY, grant));
    }

    fn message(&mut self, now: u64, message: &FeedMessage) {
        let from = self.feeder.clone();
        let bytes = codec::encode(message).unwrap();
        self.handle(now, FeedEvent::Message { from, bytes });
    }

    fn step(&mut self, now: u64) {
        while self.grants.front().is_some_and(|(due, _)| *due <= now) {
            let (_, grant) = self.grants.pop_front().unwrap();
            let to = self.client.revision().max(grant.update.to);
            let update = Update {
                from: to,
                to,
                ..Update::default()
            };
            self.message(now, &FeedMessage::Grant(Grant { update, ..grant }));
        }
        let from = self.client.revision();
        let to = Revision(from.0 + 1);
        let update = Update {
            from,
            to,
            ..Update::default()
        };
        let push = Push {
            group: GROUP,
            update,
        };
        self.message(now, &FeedMessage::Push(push));
    }
}

#[test]
fn lease_kept() {
    let mut world = World::open();
    world.handle(0, FeedEvent::Tick);
    let settled = GRANT_DELAY + PUSH_GAP;
    for now in (PUSH_GAP..RUN).step_by(PUSH_GAP as usize) {
        world.step(now);
        assert!(
            now <= settled || world.client.lease_valid(Millis(now)),
            "no lease at {now} ms after {} renewals",
            world.renewals
        );
    }
    let gap = Timing::default().report_gap.0;
    assert!(world.renewals <= RUN / gap + RUN / 400);
}
