//! Requests to cold upstreams, from many senders under changing control leaders.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Term;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::NamedLimit;
use dandelion_protocol::limits::PERMIT_TIME;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::PermitReply;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::plan::ColdStart;
use dandelion_protocol::plan::PlanService;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::limits::Grantor;
use dandelion_route::limits::Load;
use dandelion_route::limits::cold_rate;
use dandelion_route::limits::is_cold;
use dandelion_route::pick::Picker;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const WINDOW: u64 = 1_000;
const LOADS: [Load; 2] = [Load::Requests, Load::Items];

/// Requests that may arrive in a window: one and a half times the rate, and 5 more.
fn allowed(rate: u64) -> u64 {
    rate * 3 / 2_000 + 5
}

fn upstream() -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: "u".parse().unwrap(),
        born: WallMillis(7),
        service: "portal".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "near".parse().unwrap(),
        slots: 8,
        ready: true,
        software: SoftwareVersion::default(),
    }
}

fn limited(named: Option<u64>, cold: Option<u64>) -> LimitedUpstream {
    let named = named.map(|rate| NamedLimit {
        born: WallMillis(7),
        rate: RateLimit(rate),
        seen: PermitNumber::default(),
    });
    LimitedUpstream::of(&upstream(), named, cold.map(RateLimit)).unwrap()
}

fn granted(
    grantor: &mut Grantor,
    (load, now, term): (Load, u64, u64),
    upstream: &LimitedUpstream,
    count: u32,
) -> u32 {
    let call = PermitCall {
        upstreams: vec![upstream.clone()],
        count,
    };
    match grantor.grant(Millis(now), Term(term), &call, |_| Some(load)) {
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
/// permits, or for none for a while. A permit is used at any time while it is valid, and its request may
/// take as long again to arrive. The next leader grants as soon as the former one's lease has ended.
fn arrivals(load: Load, upstream: &LimitedUpstream, steps: &[(u8, u8, u16)]) -> Vec<u64> {
    let mut leaders: BTreeMap<u64, Grantor> = BTreeMap::new();
    let (mut now, mut term) = (10_000, 1);
    let mut arrivals = Vec::new();
    for (gap, count, delay) in steps {
        now += u64::from(gap % 64);
        if gap % 64 == 63 {
            term += 1;
        }
        if *count == 0 {
            now += 2_000;
            continue;
        }
        let grantor = leaders.entry(term).or_default();
        let at = (load, now, term);
        let count = granted(grantor, at, upstream, u32::from(*count));
        let arrived = now + u64::from(*delay) % (2 * PERMIT_TIME.0);
        arrivals.extend((0..count).map(|_| arrived));
    }
    arrivals
}

quickcheck! {
    fn senders_exceed_cold(rate: u32, named: Option<u32>, steps: Vec<(u8, u8, u16)>) -> TestResult {
        let rate = u64::from(rate % 300_000).max(100);
        let named = named.map(|named| u64::from(named % 300_000));
        let (upstream, steps) = (limited(named, Some(rate)), steps.repeat(20));
        let most = LOADS.map(|load| most_in_window(arrivals(load, &upstream, &steps)));
        TestResult::from_bool(most.iter().all(|most| *most <= allowed(rate)))
    }
}

/// Senders that ask for all they can get, leaders that change often, and pauses that fill the bucket.
#[test]
fn pressing_senders_exceed() {
    for rate in [100, 500, 1_000, 8_100, 50_000, 400_000] {
        let steps: Vec<(u8, u8, u16)> = (0..20_000_u32)
            .map(|n| {
                let gap = if n % 90 == 89 { 63 } else { 2 };
                let count = if n % 700 == 0 { 0 } else { 255 };
                (gap, count, (n * 7 % 600) as u16)
            })
            .collect();
        for load in LOADS {
            let most = most_in_window(arrivals(load, &limited(None, Some(rate)), &steps));
            assert!(most <= allowed(rate), "{most} at {rate}, {load:?}");
        }
    }
}

/// The bucket of an engine's named limit holds four seconds of its rate; that of a cold one must not.
#[test]
fn idle_cold_bursts() {
    let mut grantor = Grantor::default();
    let cold = limited(None, Some(8_100));
    granted(&mut grantor, (Load::Items, 0, 1), &cold, 1);
    let at = (Load::Items, 60_000, 1);
    assert_eq!(granted(&mut grantor, at, &cold, 100), 4);
    let at = (Load::Items, 61_000, 1);
    assert_eq!(granted(&mut grantor, at, &cold, 100), 4);
}

#[test]
fn cold_room_unused() {
    let mut grantor = Grantor::default();
    let cold = limited(None, Some(8_100));
    let asks = (0..60_000).step_by(20);
    let total: u32 = asks
        .map(|now| granted(&mut grantor, (Load::Items, now, 1), &cold, 1))
        .sum();
    assert!(total >= 8 * 60 * 9 / 10, "{total}");
}

/// Of a named limit and the rate of a cold upstream the lower one counts, and neither outlasts itself.
#[test]
fn higher_rate_counts() {
    let total_of = |named, cold| {
        let mut grantor = Grantor::default();
        let asks = (0..40_000).step_by(10);
        let total: u32 = asks
            .map(|now| {
                granted(
                    &mut grantor,
                    (Load::Requests, now, 1),
                    &limited(named, cold),
                    1,
                )
            })
            .sum();
        total
    };
    assert!((78..=84).contains(&total_of(Some(2_000), Some(20_000))));
    assert!((73..=79).contains(&total_of(Some(20_000), Some(2_000))));
    assert!((740..=754).contains(&total_of(None, Some(20_000))));
    let mut grantor = Grantor::default();
    granted(
        &mut grantor,
        (Load::Requests, 0, 1),
        &limited(Some(100), Some(9_000)),
        1,
    );
    let at = (Load::Requests, 9_000, 1);
    assert_eq!(
        granted(&mut grantor, at, &limited(None, Some(9_000)), 100),
        4
    );
}

fn plan(cold: Option<ColdStart>) -> RoutePlan {
    RoutePlan {
        services: vec![PlanService {
            name: "portal".parse().unwrap(),
            connections: 0,
            memory: None,
            cold,
        }],
        ..RoutePlan::default()
    }
}

fn phase(secs: u64) -> ColdStart {
    ColdStart {
        time: Millis::from_secs(secs),
        rate: RateLimit(8_100),
    }
}

fn report(cold_left: Option<u64>) -> IncarnationReport {
    IncarnationReport {
        life: upstream(),
        sequence: 1,
        versions: BTreeMap::new(),
        cold_left: cold_left.map(Millis),
    }
}

#[test]
fn new_incarnation_warm() {
    let plan = plan(Some(phase(3)));
    let cold = |left, known: Option<bool>| is_cold(&report(left), known, Some(&plan));
    assert!(cold(None, None));
    assert!(cold(Some(1), None));
    assert!(cold(Some(u64::MAX), Some(false)));
    assert!(!cold(Some(0), Some(true)));
    assert!(!cold(Some(0), None));
    assert!(cold(None, Some(true)));
    assert!(!cold(None, Some(false)));
}

#[test]
fn service_without_phase_cold() {
    let (none, no_time) = (plan(None), plan(Some(phase(0))));
    assert!(!is_cold(&report(Some(900)), None, Some(&none)));
    assert!(!is_cold(&report(None), Some(true), Some(&none)));
    assert_eq!(cold_rate(&upstream().service, Some(&none)), None);
    assert_eq!(cold_rate(&upstream().service, None), None);
    assert!(!is_cold(&report(None), None, Some(&no_time)));
    assert!(is_cold(&report(Some(900)), None, Some(&no_time)));
    // A daemon that lacks the plan can't tell, and takes what the report says.
    assert!(is_cold(&report(Some(900)), None, None));
    assert!(!is_cold(&report(None), None, None));
    assert_eq!(
        cold_rate(&upstream().service, Some(&no_time)),
        Some(RateLimit(8_100))
    );
}

#[test]
fn cold_picked_first() {
    let warm = UpstreamIncarnation {
        id: "w".parse().unwrap(),
        zone: "far".parse().unwrap(),
        ..upstream()
    };
    let upstreams = [upstream(), warm];
    let (service, zone) = ("portal".parse().unwrap(), "near".parse().unwrap());
    let is_cold = |upstream: &UpstreamIncarnation| upstream.id.as_str() == "u";
    let ranked = Picker::default().rank(Millis(0), upstreams.iter(), &service, &zone, &[], is_cold);
    let ranked: Vec<&str> = ranked.iter().map(|u| u.id.as_str()).collect();
    assert_eq!(ranked, ["w", "u"]);
}
