//! Whether a daemon has lost its links to the upstreams, from connections that fail.

use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::reach::Change;
use dandelion_route::reach::LOST_INTERVAL;
use dandelion_route::reach::Reach;
use dandelion_route::reach::targets;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn upstream(id: &str, ready: bool) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: WallMillis(1),
        service: "portal".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 2,
        ready,
        software: SoftwareVersion::default(),
    }
}

#[test]
fn none_reached() {
    let mut reach = Reach::default();
    assert!(reach.connection_failed(Millis(300)));
    assert!(!reach.is_lost());
    assert_eq!(reach.checked(Millis(600), 0, 3), Some(Change::Lost));
    assert!(reach.is_lost());
}

#[test]
fn crashed_upstream() {
    let mut reach = Reach::default();
    assert!(reach.connection_failed(Millis(300)));
    assert_eq!(reach.checked(Millis(305), 2, 3), None);
    assert!(!reach.is_lost());
}

#[test]
fn lone_upstream() {
    let mut reach = Reach::default();
    assert!(reach.connection_failed(Millis(300)));
    assert_eq!(reach.checked(Millis(600), 0, 1), None);
    assert!(!reach.is_lost());
}

#[test]
fn one_check_at_once() {
    let mut reach = Reach::default();
    assert!(reach.connection_failed(Millis(300)));
    assert!(!reach.connection_failed(Millis(301)));
    reach.checked(Millis(305), 1, 3);
    assert!(!reach.connection_failed(Millis(310)));
    assert!(reach.connection_failed(Millis(900)));
}

#[test]
fn restored() {
    let mut reach = Reach::default();
    reach.connection_failed(Millis(0));
    reach.checked(Millis(300), 0, 3);
    // The checks go on by themselves while the links are lost.
    assert!(!reach.connection_failed(Millis(5_000)));
    assert_eq!(reach.checked(Millis(5_300), 0, 3), None);
    let restored = Some(Change::Restored(Millis(5_250)));
    assert_eq!(reach.checked(Millis(5_550), 1, 3), restored);
    assert!(!reach.is_lost());
    assert!(reach.connection_failed(Millis(9_000)));
}

#[test]
fn failed_last() {
    let upstreams: Vec<_> = ["a", "b", "c", "d"]
        .map(|id| upstream(id, id != "d"))
        .into();
    let failed = ["a".parse().unwrap()];
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let targets = targets(&upstreams, &"z".parse().unwrap(), &failed, &mut rng);
        assert_eq!(targets.len(), 3);
        assert_eq!(targets[2].id.as_str(), "a");
    }
}

#[test]
fn zone_cut_off() {
    let mut upstreams: Vec<_> = (0..20).map(|i| upstream(&format!("u{i}"), true)).collect();
    upstreams[13].zone = "own".parse().unwrap();
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let targets = targets(&upstreams, &"own".parse().unwrap(), &[], &mut rng);
        assert_eq!(targets[0].id.as_str(), "u13");
        assert_eq!(targets.len(), 3);
    }
}

quickcheck! {
    /// Whatever the checks find, links that work again are used after the next check, and links are
    /// never taken for lost while any upstream was reached.
    fn follows_checks(found: Vec<(u8, u8)>) -> bool {
        let mut reach = Reach::default();
        let mut now = Millis(0);
        found.into_iter().all(|(reached, tried)| {
            let tried = usize::from(tried % 4);
            let reached = usize::from(reached % 4).min(tried);
            now = now + LOST_INTERVAL;
            reach.connection_failed(now);
            reach.checked(now, reached, tried);
            !reach.is_lost() || reached == 0
        })
    }
}
