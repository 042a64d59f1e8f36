//! A daemon keeps its lease while it is pushed changes faster than grants arrive. Acknowledging
//! every push by a renewal would evict the send times of renewals whose grants are still in flight.

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
const PUSH_GAP_MS: u64 = 5;
const GRANT_DELAY_MS: u64 = 400;
const RUN_MS: u64 = 10_000;

struct Simulation {
    client: FeedClient,
    feeder: DaemonId,
    grants: VecDeque<(u64, Grant)>,
    renewals: u64,
}

impl Simulation {
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
        self.grants.push_back((now + GRANT_DELAY_MS, grant));
    }

    fn message(&mut self, now: u64, message: &FeedMessage) {
        let from = self.feeder.clone();
        let bytes = codec::encode(message).unwrap().into();
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
fn lease_retained() {
    let mut simulation = Simulation::open();
    simulation.handle(0, FeedEvent::Tick);
    let first_grant = GRANT_DELAY_MS + PUSH_GAP_MS;
    for now in (PUSH_GAP_MS..RUN_MS).step_by(PUSH_GAP_MS as usize) {
        simulation.step(now);
        assert!(
            now <= first_grant || simulation.client.lease_valid(Millis(now)),
            "no lease at {now} ms after {} renewals",
            simulation.renewals
        );
    }
    let gap = Timing::default().report_gap.0;
    assert!(simulation.renewals <= RUN_MS / gap + RUN_MS / 400);
}
