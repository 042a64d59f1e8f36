//! Requests that wait between the choice of their upstream and their write.

use std::collections::BTreeSet;

use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::gate::Knowledge;
use dandelion_route::gate::SEND_MARGIN;
use dandelion_route::gate::Withheld;
use dandelion_route::leaving::KnownLeaving;
use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time after the acknowledgement of its report in which an upstream may still get requests; also
/// the length of a lease.
const LEAVE_TIME: u64 = 2_000;
const RENEWAL_PERIOD: u64 = 500;

static NONE: BTreeSet<ZoneId> = BTreeSet::new();

fn upstream(born: u64, ready: bool) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: "i".parse().unwrap(),
        born: WallMillis(born),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        ready,
        software: SoftwareVersion::default(),
    }
}

/// A daemon's view and lease over time, with renewals that are lost or answered late.
struct Feed {
    /// When each answered renewal was sent and its answer arrived.
    renewals: Vec<(u64, u64)>,
    /// When the report that the upstream leaves was acknowledged.
    left: u64,
}

impl Feed {
    fn random(rng: &mut SmallRng) -> Self {
        let loss = rng.random_range(0.0..0.9);
        let sent = (0..20).map(|n| n * RENEWAL_PERIOD);
        let mut renewals = Vec::new();
        for at in sent {
            if !rng.random_bool(loss) {
                renewals.push((at, at + rng.random_range(2..1_500)));
            }
        }
        Self {
            renewals,
            left: rng.random_range(0..10_000),
        }
    }

    fn knowledge<'a>(
        &self,
        at: u64,
        views: &'a [[UpstreamIncarnation; 1]; 2],
        leaving: &'a KnownLeaving,
    ) -> Knowledge<'a> {
        let answered = self.renewals.iter().filter(|(_, arrived)| *arrived <= at);
        let newest = answered.map(|(sent, _)| *sent).max();
        let lease_left = newest.map_or(0, |sent| (sent + LEAVE_TIME).saturating_sub(at));
        // The answer includes what was acknowledged before the renewal was sent.
        let knows = newest.is_some_and(|sent| sent > self.left);
        Knowledge {
            lease_left: Millis(lease_left),
            incarnations: &views[usize::from(knows)],
            leaving,
            evacuated: &NONE,
        }
    }
}

/// Returns the most time after the acknowledgement at which a request reached the upstream, checked
/// at the choice only or at the write as well.
fn latest_arrival(seed: u64, checked_at_write: bool) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let feed = Feed::random(&mut rng);
    let views = [[upstream(1, true)], [upstream(1, false)]];
    let leaving = KnownLeaving::default();
    let may_send = |at: u64| {
        let knowledge = feed.knowledge(at, &views, &leaving);
        knowledge.check(&views[0][0]).is_ok()
    };
    let mut latest = 0;
    for chosen in (0..12_000).step_by(50) {
        let written = chosen + rng.random_range(0..3_000);
        let arrives = written + rng.random_range(0..=SEND_MARGIN.0);
        if may_send(chosen) && (!checked_at_write || may_send(written)) {
            latest = latest.max(arrives.saturating_sub(feed.left));
        }
    }
    latest
}

#[test]
fn waiting_request_reaches_left() {
    fn prop(seed: u64) -> bool {
        latest_arrival(seed, true) <= LEAVE_TIME
    }
    quickcheck(prop as fn(u64) -> bool);
    let unchecked = (0..50).filter(|seed| latest_arrival(*seed, false) > LEAVE_TIME);
    assert!(unchecked.count() > 0, "the model shows no late request");
}

#[test]
fn other_incarnation() {
    let known = [upstream(2, true)];
    let knowledge = Knowledge {
        lease_left: SEND_MARGIN,
        incarnations: &known,
        leaving: &KnownLeaving::default(),
        evacuated: &BTreeSet::new(),
    };
    assert_eq!(knowledge.check(&upstream(1, true)), Err(Withheld::Left));
    assert_eq!(knowledge.check(&upstream(2, true)), Ok(()));
    let expired = Knowledge {
        lease_left: Millis(SEND_MARGIN.0 - 1),
        incarnations: &known,
        leaving: &KnownLeaving::default(),
        evacuated: &BTreeSet::new(),
    };
    assert_eq!(expired.check(&upstream(2, true)), Err(Withheld::NoLease));
}

/// Guards against a request that was chosen before its zone was evacuated and is written afterwards,
/// also to an upstream that reports another zone than when it was chosen.
#[test]
fn evacuated_zone() {
    let known = [upstream(1, true)];
    let check = |zone: &str, chosen: &UpstreamIncarnation| {
        let knowledge = Knowledge {
            lease_left: SEND_MARGIN,
            incarnations: &known,
            leaving: &KnownLeaving::default(),
            evacuated: &BTreeSet::from([zone.parse().unwrap()]),
        };
        knowledge.check(chosen)
    };
    let moved = UpstreamIncarnation {
        zone: "y".parse().unwrap(),
        ..upstream(1, true)
    };
    assert_eq!(check("z", &upstream(1, true)), Err(Withheld::Evacuated));
    assert_eq!(check("z", &moved), Err(Withheld::Evacuated));
    assert_eq!(check("y", &upstream(1, true)), Ok(()));
}
