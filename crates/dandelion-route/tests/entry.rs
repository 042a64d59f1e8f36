//! Choice of an owner by an entry daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ServiceTag;
use dandelion_route::entry::EntryView;
use dandelion_route::entry::OwnerQuery;
use dandelion_route::entry::Reason;
use dandelion_route::entry::STALE_AFTER;
use dandelion_route::poison::Status;
use dandelion_route::poison::SuspectNote;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::PrefixHash;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn service() -> ServiceId {
    "draft".parse().unwrap()
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn daemon(n: u32) -> DaemonId {
    format!("d{n}").parse().unwrap()
}

fn digest(sequence: u64, slots: u32, requests: u32) -> OwnerDigest {
    OwnerDigest {
        boot: Incarnation(1),
        sequence,
        leaving: false,
        services: vec![ServiceDigest {
            tag: ServiceTag::of(&service()),
            slots,
            inflight: requests.min(slots),
            queued: requests.saturating_sub(slots),
            upstreams: 1,
        }],
    }
}

static NONE: BTreeSet<ZoneId> = BTreeSet::new();

fn owner_query(service: &ServiceId) -> OwnerQuery<'_> {
    OwnerQuery {
        service,
        prefix: None,
        suspect: None,
        may_spill: true,
        evacuated: &NONE,
    }
}

fn view(loads: &[(&str, u32)]) -> EntryView {
    let mut view = EntryView::open(zone("a"));
    for (n, (name, requests)) in loads.iter().enumerate() {
        view.ingest(
            Millis(0),
            &daemon(n as u32),
            &zone(name),
            &digest(1, 10, *requests),
        );
    }
    view
}

#[test]
fn own_requests_counted() {
    let mut view = view(&[("a", 0), ("a", 0), ("a", 0)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..24 {
        let chosen = view
            .pick_owner(Millis(1), &owner_query(&service()), &mut rng)
            .unwrap();
        view.begin(&chosen.owner, &service());
        *counts.entry(chosen.owner).or_insert(0) += 1;
    }
    assert!(counts.values().all(|n| (4..=12).contains(n)), "{counts:?}");
}

#[test]
fn prefix_affinity() {
    let mut view = view(&[("a", 0), ("a", 0), ("a", 0)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let service = service();
    let mut query = owner_query(&service);
    query.prefix = Some(PrefixHash(7));
    let preferred = view.pick_owner(Millis(1), &query, &mut rng).unwrap();
    for _ in 0..10 {
        let again = view.pick_owner(Millis(1), &query, &mut rng).unwrap();
        assert_eq!(again, preferred);
        view.begin(&again.owner, &service);
    }
    let full = view.pick_owner(Millis(1), &query, &mut rng).unwrap();
    assert_eq!(full.reason, Reason::TwoChoices);
}

#[test]
fn spill_rule() {
    let service = service();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pick = |view: &EntryView, may_spill| {
        let mut query = owner_query(&service);
        query.may_spill = may_spill;
        view.pick_owner(Millis(1), &query, &mut rng)
            .map(|c| c.reason)
    };
    assert_eq!(
        pick(&view(&[("a", 15), ("b", 0)]), true),
        Some(Reason::TwoChoices)
    );
    assert_eq!(
        pick(&view(&[("a", 30), ("b", 0)]), true),
        Some(Reason::Spill)
    );
    assert_eq!(
        pick(&view(&[("a", 30), ("b", 0)]), false),
        Some(Reason::TwoChoices)
    );
    assert_eq!(
        pick(&view(&[("a", 30), ("b", 20)]), true),
        Some(Reason::TwoChoices)
    );
    assert_eq!(pick(&view(&[("b", 20)]), true), Some(Reason::Spill));
    assert_eq!(pick(&view(&[("b", 0)]), false), None);
}

/// Guards against a request that is sent to an owner in an evacuated zone, the entry's own or another,
/// however idle that is.
#[test]
fn evacuated_zone() {
    let view = view(&[("a", 0), ("b", 9), ("c", 0)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let service = service();
    let mut pick = |evacuated: &[&str]| {
        let evacuated = evacuated.iter().map(|name| zone(name)).collect();
        let query = OwnerQuery {
            evacuated: &evacuated,
            prefix: Some(PrefixHash(7)),
            ..owner_query(&service)
        };
        let choice = view.pick_owner(Millis(1), &query, &mut rng);
        choice.map(|choice| choice.owner)
    };
    assert_eq!(pick(&["a", "c"]), Some(daemon(1)));
    assert_eq!(pick(&["a", "b"]), Some(daemon(2)));
    assert_eq!(pick(&["b", "c"]), Some(daemon(0)));
    assert_eq!(pick(&["a", "b", "c"]), None);
}

#[test]
fn old_digests() {
    let mut view = view(&[("a", 0)]);
    let mut rng = SmallRng::seed_from_u64(1);
    view.ingest(Millis(1), &daemon(0), &zone("a"), &digest(3, 0, 0));
    view.ingest(Millis(2), &daemon(0), &zone("a"), &digest(2, 10, 0));
    assert_eq!(
        view.pick_owner(Millis(3), &owner_query(&service()), &mut rng),
        None
    );
    view.ingest(Millis(4), &daemon(0), &zone("a"), &digest(4, 10, 0));
    assert!(
        view.pick_owner(Millis(5), &owner_query(&service()), &mut rng)
            .is_some()
    );
    let late = Millis(4) + STALE_AFTER;
    assert_eq!(
        view.pick_owner(late, &owner_query(&service()), &mut rng),
        None
    );
}

#[test]
fn leaving_owner() {
    let mut view = view(&[("a", 0), ("a", 0)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut leaving = digest(2, 10, 0);
    leaving.leaving = true;
    view.ingest(Millis(1), &daemon(0), &zone("a"), &leaving);
    for _ in 0..20 {
        let chosen = view
            .pick_owner(Millis(2), &owner_query(&service()), &mut rng)
            .unwrap();
        assert_eq!(chosen.owner, daemon(1));
    }
}

#[test]
fn common_trial_owner() {
    let views = [
        view(&[("a", 0), ("a", 9), ("a", 3)]),
        view(&[("a", 9), ("a", 0), ("a", 0)]),
    ];
    let service = service();
    let mut query = owner_query(&service);
    query.suspect = Some(Fingerprint(5));
    let mut rng = SmallRng::seed_from_u64(1);
    let [one, two] = views.map(|v| v.pick_owner(Millis(1), &query, &mut rng).unwrap());
    assert_eq!((one.owner, one.reason), (two.owner, Reason::Trial));
}

#[test]
fn zone_sums() {
    let view = view(&[("a", 4), ("a", 25), ("b", 3)]);
    let sum = view.zone_digest(Millis(1), Incarnation(2), 7);
    let [service] = &sum.services[..] else {
        panic!("{sum:?}");
    };
    let counts = (
        service.slots,
        service.inflight,
        service.queued,
        service.upstreams,
    );
    assert_eq!(counts, (20, 14, 15, 2));
}

#[test]
fn suspect_notes() {
    let mut view = view(&[("a", 0), ("a", 0)]);
    let fingerprint = Fingerprint(5);
    let note = |mark| SuspectNote { fingerprint, mark };
    assert_eq!(view.suspect(fingerprint), None);
    view.ingest_notes(Millis(1), &[note(Status::Suspect)]);
    assert_eq!(view.suspect(fingerprint), Some(fingerprint));
    view.ingest_notes(Millis(2), &[note(Status::Cleared)]);
    assert_eq!(view.suspect(fingerprint), None);
}

#[test]
fn owner_share() {
    let view = view(&[("a", 0), ("a", 9), ("b", 0), ("b", 0)]);
    let share = |n| view.share(Millis(1), &service(), &daemon(n));
    assert_eq!([share(0), share(1)], [334, 334]);
    assert_eq!(view.share(Millis(1), &service(), &daemon(9)), 1);
}
