//! Requests to upstreams that name a limit, from many senders under changing control leaders.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::NamedLimit;
use dandelion_protocol::limits::PERMIT_TIME;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::PermitReply;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::limits::Grantor;
use dandelion_route::limits::KnownLimits;
use dandelion_route::limits::Load;
use dandelion_route::limits::Replicated;
use dandelion_route::limits::retry_delay;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const WINDOW: u64 = 4_000;

/// Time without demand.
const IDLE: u64 = 3_000;

const LOADS: [Load; 2] = [Load::Requests, Load::Items];

/// Requests that may arrive in a window: one and a half times the limit, and 5 more.
fn allowed(rate: u64) -> u64 {
    6 * rate / 1_000 + 5
}

fn id() -> UpstreamId {
    "u".parse().unwrap()
}

fn named(born: u64, rate: u64, seen: PermitNumber) -> NamedLimit {
    NamedLimit {
        born: WallMillis(born),
        rate: RateLimit(rate),
        seen,
    }
}

fn permit(term: u64, number: u64) -> PermitNumber {
    PermitNumber {
        term: Term(term),
        number,
    }
}

fn ask(grantor: &mut Grantor, now: u64, term: u64, limit: NamedLimit, count: u32) -> PermitReply {
    ask_for(Load::Requests, grantor, now, term, limit, count)
}

fn ask_for(
    load: Load,
    grantor: &mut Grantor,
    now: u64,
    term: u64,
    limit: NamedLimit,
    count: u32,
) -> PermitReply {
    let upstreams = vec![LimitedUpstream {
        id: id(),
        limit,
        cold: None,
    }];
    let call = PermitCall { upstreams, count };
    grantor.grant(Millis(now), Term(term), &call, |_| Some(load))
}

fn grant_requests(grantor: &mut Grantor, now: u64, call: &PermitCall) -> PermitReply {
    grantor.grant(Millis(now), Term(1), call, |_| Some(Load::Requests))
}

fn granted(reply: &PermitReply) -> u32 {
    match reply {
        PermitReply::Granted(grant) => grant.count,
        PermitReply::Denied(_) | PermitReply::NotLeader => 0,
    }
}

fn most_in_window(mut arrivals: Vec<u64>) -> u64 {
    arrivals.sort_unstable();
    let in_window = |from: usize| {
        let until = arrivals[from] + WINDOW;
        arrivals[from..].partition_point(|at| *at < until) as u64
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

/// Replays asks of many senders: each step waits, perhaps changes the leader, then asks for some
/// permits, or for none for a while. Permits are used at any time while they are valid, and
/// requests may take as long again to arrive.
fn arrivals(load: Load, rate: u64, steps: &[(u8, u8, u16)]) -> Vec<u64> {
    let mut leaders: BTreeMap<u64, Grantor> = BTreeMap::new();
    let (mut now, mut term) = (10_000, 1);
    let mut arrivals = Vec::new();
    for (gap, count, delay) in steps {
        now += u64::from(gap % 64);
        if gap % 64 == 63 {
            // The next leader waits for the lease of the former one.
            now += PERMIT_TIME.0;
            term += 1;
        }
        if *count == 0 {
            now += IDLE;
            continue;
        }
        let grantor = leaders.entry(term).or_default();
        let limit = named(1, rate, permit(term, u64::from(*delay)));
        let reply = ask_for(load, grantor, now, term, limit, u32::from(*count));
        let arrived = now + u64::from(*delay) % (2 * PERMIT_TIME.0);
        arrivals.extend((0..granted(&reply)).map(|_| arrived));
    }
    arrivals
}

quickcheck! {
    fn senders_exceed_limit(rate: u32, steps: Vec<(u8, u8, u16)>) -> TestResult {
        let rate = u64::from(rate % 300_000).max(100);
        let steps = steps.repeat(20);
        let most = LOADS.map(|load| most_in_window(arrivals(load, rate, &steps)));
        TestResult::from_bool(most.iter().all(|most| *most <= allowed(rate)))
    }
}

#[test]
fn pressing_senders_exceed() {
    for rate in [0, 100, 500, 1_000, 7_000, 50_000, 400_000] {
        let steps: Vec<(u8, u8, u16)> = (0..20_000_u32)
            .map(|n| {
                let gap = if n % 900 == 899 { 63 } else { 2 };
                let count = if n % 1_900 == 0 { 0 } else { 255 };
                (gap, count, (n * 7 % 600) as u16)
            })
            .collect();
        for load in LOADS {
            let most = most_in_window(arrivals(load, rate, &steps));
            assert!(most <= allowed(rate), "{most} at {rate}, {load:?}");
        }
    }
}

#[test]
fn room_left_unused() {
    for rate in [500, 1_000, 7_000, 50_000] {
        let mut grantor = Grantor::default();
        let limit = named(1, rate, PermitNumber::default());
        let asks = (0..60_000).step_by(20);
        let total: u64 = asks
            .map(|now| u64::from(granted(&ask(&mut grantor, now, 1, limit, 1))))
            .sum();
        let room = rate * 60 / 1_000;
        assert!(total + 1 + room / 50 >= room, "{total} of {room} at {rate}");
    }
}

#[test]
fn takeover_grants_twice() {
    let limit = named(1, 10_000, PermitNumber::default());
    let mut former = Grantor::default();
    ask(&mut former, 0, 1, limit, 1);
    assert_eq!(granted(&ask(&mut former, 5_000, 1, limit, 100)), 14);
    let mut next = Grantor::default();
    assert_eq!(granted(&ask(&mut next, 5_400, 2, limit, 100)), 0);
    assert_eq!(granted(&ask(&mut next, 5_600, 2, limit, 100)), 2);
    assert_eq!(granted(&ask(&mut former, 9_000, 3, limit, 100)), 0);
}

#[test]
fn takeover_forgets_items() {
    let limit = named(1, 10_000, PermitNumber::default());
    let items = |grantor: &mut Grantor, now, term, count| {
        granted(&ask_for(Load::Items, grantor, now, term, limit, count))
    };
    let mut former = Grantor::default();
    items(&mut former, 0, 1, 1);
    assert_eq!(items(&mut former, 9_000, 1, 100), 44);
    let mut next = Grantor::default();
    assert_eq!(items(&mut next, 9_400, 2, 100), 0);
    assert_eq!(items(&mut next, 12_400, 2, 100), 0);
    assert_eq!(items(&mut next, 12_600, 2, 100), 2);
}

#[test]
fn idle_engine_throttled() {
    let mut grantor = Grantor::default();
    grantor.begin_term(Millis(0), Term(1));
    let limit = named(1, 2_500, PermitNumber::default());
    let mut total = 0;
    for step in 0..10 {
        for tick in 0..160 {
            let now = 10_000 + step * 4_000 + tick * 25;
            // A step's items are all started in its first two seconds.
            let wanted = if tick < 80 { 12 } else { 0 };
            if wanted > 0 {
                let reply = ask_for(Load::Items, &mut grantor, now, 1, limit, wanted);
                total += granted(&reply);
            }
        }
    }
    let room = 2_500 * 40 / 1_000;
    assert!(total >= room * 9 / 10, "{total} of {room}");
}

#[test]
fn unknown_load_granted() {
    let upstreams = vec![LimitedUpstream {
        id: id(),
        limit: named(1, 9_000, PermitNumber::default()),
        cold: None,
    }];
    let call = PermitCall {
        upstreams,
        count: 1,
    };
    let mut grantor = Grantor::default();
    grantor.grant(Millis(0), Term(1), &call, |_| None);
    let reply = grantor.grant(Millis(9_000), Term(1), &call, |_| None);
    assert_eq!(granted(&reply), 0);
}

#[test]
fn new_limit_bursts() {
    let mut grantor = Grantor::default();
    let other = PermitCall {
        upstreams: vec![LimitedUpstream {
            id: "other".parse().unwrap(),
            limit: named(1, 1_000, PermitNumber::default()),
            cold: None,
        }],
        count: 1,
    };
    grant_requests(&mut grantor, 0, &other);
    let limit = named(1, 9_000, PermitNumber::default());
    assert_eq!(granted(&ask(&mut grantor, 60_000, 1, limit, 100)), 1);
    assert_eq!(granted(&ask(&mut grantor, 70_000, 1, limit, 100)), 13);
}

#[test]
fn outdated_limit_raises() {
    let mut grantor = Grantor::default();
    ask(&mut grantor, 0, 1, named(1, 1_000, permit(1, 9)), 1);
    let outdated = named(1, 90_000, permit(1, 3));
    assert_eq!(granted(&ask(&mut grantor, 60_000, 1, outdated, 100)), 5);
    let newer = named(1, 90_000, permit(1, 10));
    ask(&mut grantor, 60_000, 1, newer, 1);
    assert_eq!(granted(&ask(&mut grantor, 70_000, 1, newer, 100)), 94);
}

#[test]
fn former_incarnation_granted() {
    let mut grantor = Grantor::default();
    let limit = |born| named(born, 5_000, PermitNumber::default());
    ask(&mut grantor, 0, 1, limit(2), 1);
    assert_eq!(granted(&ask(&mut grantor, 10_000, 1, limit(1), 1)), 0);
    assert_eq!(granted(&ask(&mut grantor, 10_000, 1, limit(2), 1)), 1);
}

#[test]
fn room_elsewhere_missed() {
    let mut grantor = Grantor::default();
    let upstream = |id: &str, rate| LimitedUpstream {
        id: id.parse().unwrap(),
        limit: named(1, rate, PermitNumber::default()),
        cold: None,
    };
    let call = PermitCall {
        upstreams: vec![upstream("slow", 1_000), upstream("fast", 2_000)],
        count: 1,
    };
    grant_requests(&mut grantor, 0, &call);
    let mut chosen = Vec::new();
    for _ in 0..6 {
        if let PermitReply::Granted(grant) = grant_requests(&mut grantor, 2_000, &call) {
            chosen.push(grant.upstream.to_string());
        }
    }
    assert_eq!(chosen, ["slow", "slow", "fast", "fast", "fast", "fast"]);
    let denied = grant_requests(&mut grantor, 2_000, &call);
    assert_eq!(
        denied,
        PermitReply::Denied(vec![Millis(1_000), Millis(500)])
    );
}

fn upstream(born: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id(),
        born: WallMillis(born),
        service: "portal".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "near".parse().unwrap(),
        slots: 2,
        ready: true,
        software: SoftwareVersion::default(),
    }
}

fn replicated(limits: &BTreeMap<UpstreamId, NamedLimit>, revision: u64) -> Replicated<'_> {
    Replicated {
        limits,
        revision: Revision(revision),
    }
}

fn rate_of(known: &KnownLimits, view: Replicated<'_>, born: u64) -> Option<u64> {
    let limit = known.limit_of(view, &upstream(born));
    limit.map(|limit| limit.rate.0)
}

#[test]
fn own_answer_forgotten() {
    let empty = BTreeMap::new();
    let mut known = KnownLimits::default();
    assert!(known.observe(
        replicated(&empty, 5),
        &upstream(1),
        Some(RateLimit(1_000)),
        None
    ));
    assert_eq!(rate_of(&known, replicated(&empty, 5), 1), Some(1_000));
    let report = known.unrecorded().remove(0);
    known.recorded(&report, Revision(7));
    known.retain(Revision(6), |_| true);
    assert_eq!(rate_of(&known, replicated(&empty, 6), 1), Some(1_000));
    known.retain(Revision(7), |_| true);
    assert_eq!(rate_of(&known, replicated(&empty, 7), 1), None);
    assert_eq!(known.unrecorded(), Vec::new());
}

#[test]
fn earlier_answer_ends_limit() {
    let limits = BTreeMap::from([(id(), named(1, 1_000, permit(2, 5)))]);
    let view = replicated(&limits, 1);
    let mut known = KnownLimits::default();
    assert!(!known.observe(view, &upstream(1), None, None));
    assert!(!known.observe(view, &upstream(1), None, Some(permit(2, 4))));
    assert_eq!(rate_of(&known, view, 1), Some(1_000));
    assert!(known.observe(view, &upstream(1), None, Some(permit(2, 6))));
    assert_eq!(rate_of(&known, view, 1), None);
}

#[test]
fn incarnation_inherits_limit() {
    let limits = BTreeMap::from([(id(), named(1, 1_000, permit(2, 5)))]);
    let view = replicated(&limits, 1);
    let mut known = KnownLimits::default();
    assert_eq!(rate_of(&known, view, 2), None);
    assert!(known.observe(view, &upstream(2), Some(RateLimit(9_000)), None));
    assert_eq!(rate_of(&known, view, 2), Some(9_000));
    assert_eq!(rate_of(&known, view, 1), Some(1_000));
}

#[test]
fn small_rises_reported() {
    let limits = BTreeMap::from([(id(), named(1, 1_000, permit(2, 5)))]);
    let view = replicated(&limits, 1);
    let mut known = KnownLimits::default();
    let next = Some(permit(2, 6));
    assert!(!known.observe(view, &upstream(1), Some(RateLimit(1_050)), next));
    assert!(known.observe(view, &upstream(1), Some(RateLimit(990)), next));
    assert!(known.observe(view, &upstream(1), Some(RateLimit(2_000)), next));
}

#[test]
fn empty_upstream_asked() {
    let mut known = KnownLimits::default();
    assert_eq!(known.wait_for(Millis(100), &id()), Millis::ZERO);
    known.set_empty(&id(), Millis(400));
    assert_eq!(known.wait_for(Millis(100), &id()), Millis(300));
    known.set_no_leader(Millis(300));
    assert_eq!(known.wait_for(Millis(500), &id()), Millis(100));
    assert_eq!(known.wait_for(Millis(600), &id()), Millis::ZERO);
}

#[test]
fn refused_return_together() {
    let delay = |wait, rates: &[u64], draw| {
        let rates = rates.iter().copied().map(RateLimit);
        retry_delay(Millis(wait), rates, draw)
    };
    assert_eq!(delay(200, &[1_000, 3_000], 0.0), Millis(200));
    assert_eq!(delay(200, &[1_000, 3_000], 0.5), Millis(325));
    assert_eq!(delay(200, &[500], 0.5), Millis(700));
    assert_eq!(delay(900, &[500], 0.5), Millis(1_000));
    assert_eq!(delay(0, &[0], 0.9), Millis(900));
}
