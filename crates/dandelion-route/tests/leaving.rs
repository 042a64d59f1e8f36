//! What one daemon knows of upstreams that have said in an answer that they leave.

use std::collections::BTreeSet;

use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::gate::Knowledge;
use dandelion_route::gate::SEND_MARGIN;
use dandelion_route::gate::Withheld;
use dandelion_route::leaving::KnownLeaving;
use quickcheck::quickcheck;

fn upstream(id: &str, born: u64, address: u8) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: WallMillis(born),
        service: "llm".parse().unwrap(),
        address: format!("10.0.0.{address}:80").parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        ready: true,
        software: SoftwareVersion::default(),
    }
}

/// Whatever the replicated table says later, an incarnation that has said that it leaves gets nothing,
/// and one that started after that does.
#[test]
fn ready_report_revives_leaving() {
    fn prop(answers: Vec<(u8, u8)>) -> bool {
        let mut known = KnownLeaving::default();
        let mut latest = [None; 3];
        let mut now = 10;
        for (id, born) in answers {
            let id = usize::from(id % 3);
            now += 10;
            let born = u64::from(born) % now;
            known.observe(WallMillis(now), &upstream(&format!("i{id}"), born, 1));
            latest[id] = Some(now);
        }
        let view: Vec<UpstreamIncarnation> = (0..3)
            .flat_map(|id| [5, now + 1].map(|born| upstream(&format!("i{id}"), born, 1)))
            .collect();
        let knowledge = Knowledge {
            lease_left: SEND_MARGIN,
            incarnations: &view,
            leaving: &known,
            evacuated: &BTreeSet::new(),
        };
        (0..3).all(|id| {
            let [former, next] = [&view[2 * id], &view[2 * id + 1]];
            let expected = match latest[id] {
                Some(_) => Err(Withheld::Left),
                None => Ok(()),
            };
            knowledge.check(former) == expected && knowledge.check(next) == Ok(())
        })
    }
    quickcheck(prop as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn other_route_revives_leaving() {
    let mut known = KnownLeaving::default();
    assert!(known.observe(WallMillis(100), &upstream("i", 5, 1)));
    assert!(!known.observe(WallMillis(200), &upstream("i", 5, 1)));
    let mut moved = upstream("i", 5, 2);
    moved.service = "other".parse().unwrap();
    assert!(known.leaves(&moved));
    assert!(
        !known.leaves(&upstream("j", 5, 1)),
        "another upstream at the address"
    );
}

#[test]
fn unreported_incarnation_leaves() {
    let mut known = KnownLeaving::default();
    // The view has the incarnation of 5; the one that started at 50 may have answered.
    known.observe(WallMillis(100), &upstream("i", 5, 1));
    assert!(known.leaves(&upstream("i", 50, 1)));
    assert!(!known.leaves(&upstream("i", 101, 1)));
}

#[test]
fn expired_view_is_reported_first() {
    let known = KnownLeaving::default();
    let view = [upstream("i", 5, 1)];
    let knowledge = Knowledge {
        lease_left: Millis::ZERO,
        incarnations: &view,
        leaving: &known,
        evacuated: &BTreeSet::new(),
    };
    assert_eq!(knowledge.check(&view[0]), Err(Withheld::NoLease));
}
