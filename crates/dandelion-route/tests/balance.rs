//! Health, limits, prefix affinity and load of an owner's pool of upstreams.

mod support;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_route::balance::AdaptiveLimit;
use dandelion_route::balance::CacheEvent;
use dandelion_route::balance::Pool;
use dandelion_route::balance::PrefixIndex;
use dandelion_route::balance::health::BASE_EJECTION;
use dandelion_route::balance::health::SLOW_START;
use dandelion_route::balance::pool::EjectReason;
use dandelion_route::balance::pool::HealthSignal;
use dandelion_route::registry::Change;
use dandelion_route::ticket::PrefixHash;

use support::fixtures::announce;

fn open_pool(upstreams: u32, capacity: u32) -> Pool {
    let mut pool = Pool::default();
    for n in 0..upstreams {
        let mut announcement = announce(&format!("up-{n}"), 1, 100);
        announcement.capacity = capacity;
        pool.apply(Millis(0), &Change::Joined(announcement));
    }
    pool
}

fn run(pool: &mut Pool, now: u64, signal: HealthSignal) -> Option<EjectReason> {
    let slot = pool.pick(None).unwrap();
    pool.begin(Millis(now), slot, None);
    pool.end(Millis(now), slot, signal)
}

fn fail_until_ejected(pool: &mut Pool, slot: u32) -> bool {
    (0..5).any(|_| {
        pool.begin(Millis(1), slot, None);
        pool.end(Millis(1), slot, HealthSignal::Failed).is_some()
    })
}

#[test]
fn ejection_cap() {
    let mut pool = open_pool(10, 4);
    let ejected = (0..10)
        .filter(|slot| fail_until_ejected(&mut pool, *slot))
        .count();
    assert_eq!(ejected, 3);
    let mut single = open_pool(1, 4);
    assert!(!fail_until_ejected(&mut single, 0));
}

#[test]
fn half_open_probe() {
    let mut pool = open_pool(2, 4);
    assert!(fail_until_ejected(&mut pool, 0));
    let due = Millis(1) + BASE_EJECTION;
    pool.tick(due - Millis(1));
    assert!((0..4).all(|_| pool.pick(None) == Some(1)));
    pool.tick(due);
    pool.begin(due, 0, None);
    assert!(!pool.slot(0).unwrap().is_free(), "one probe at a time");
    assert_eq!(
        pool.end(due, 0, HealthSignal::Failed),
        Some(EjectReason::Failures)
    );
    let again = due + BASE_EJECTION + BASE_EJECTION;
    pool.tick(again - Millis(1));
    assert!(!pool.slot(0).unwrap().is_free());
    pool.tick(again);
    pool.begin(again, 0, None);
    pool.end(again, 0, HealthSignal::Clean(1000));
    assert!(pool.slot(0).unwrap().is_free());
}

#[test]
fn slow_ejected() {
    let mut pool = open_pool(4, 1);
    let mut found = None;
    for now in 0..200 {
        let slot = (now % 4) as u32;
        let micros = if slot == 2 { 50_000 } else { 10_000 };
        pool.begin(Millis(now), slot, None);
        let reason = pool.end(Millis(now), slot, HealthSignal::Clean(micros));
        found = found.or(reason.map(|reason| (slot, reason)));
        pool.tick(Millis(now));
    }
    assert_eq!(found, Some((2, EjectReason::Slow)));
}

#[test]
fn neutral_signal() {
    let mut pool = open_pool(2, 4);
    let ejected = (0..50).filter_map(|now| run(&mut pool, now, HealthSignal::Neutral));
    assert_eq!(ejected.count(), 0);
}

#[test]
fn slow_start() {
    let mut pool = open_pool(2, 10);
    let mut late = announce("late", 1, 1);
    late.capacity = 10;
    pool.apply(Millis(1000), &Change::Joined(late));
    let share = |pool: &mut Pool, now: u64| {
        let slots: Vec<u32> = (0..9)
            .map(|_| {
                let slot = pool.pick(None).unwrap();
                pool.begin(Millis(now), slot, None);
                slot
            })
            .collect();
        for slot in &slots {
            pool.end(Millis(now), *slot, HealthSignal::Neutral);
        }
        slots.iter().filter(|slot| **slot == 2).count()
    };
    assert!(share(&mut pool, 1000) <= 1);
    let warm = Millis(1000) + SLOW_START;
    pool.tick(warm);
    assert_eq!(share(&mut pool, warm.0), 3);
}

#[test]
fn lagging_reports() {
    let mut pool = open_pool(1, 10);
    for _ in 0..6 {
        pool.begin(Millis(1), 0, None);
    }
    for _ in 0..6 {
        pool.end(Millis(2), 0, HealthSignal::Neutral);
    }
    let mut report = announce("up-0", 1, 101);
    report.capacity = 10;
    let running = 6;
    report.load = ReportedLoad {
        running,
        waiting: 0,
        cache_permille: 0,
    };
    pool.apply(Millis(3), &Change::Reported(report.clone()));
    assert_eq!(
        pool.slot(0).unwrap().foreign,
        0,
        "own requests that ended meanwhile"
    );
    for sequence in 3..5 {
        report.sequence = sequence;
        pool.apply(Millis(1000 * sequence), &Change::Reported(report.clone()));
    }
    assert_eq!(pool.slot(0).unwrap().foreign, 6, "work of others");
    assert_eq!(pool.slot(0).unwrap().allowed(), 4);
}

#[test]
fn no_capacity() {
    let mut pool = Pool::default();
    let mut announcement = announce("up-0", 1, 1);
    announcement.capacity = 0;
    pool.apply(Millis(0), &Change::Joined(announcement.clone()));
    assert_eq!((pool.pick(None), pool.shared_capacity()), (None, 0));
    announcement.capacity = 3;
    pool.apply(Millis(1), &Change::Reported(announcement));
    assert_eq!((pool.pick(None), pool.shared_capacity()), (Some(0), 3));
}

#[test]
fn adaptive_limit() {
    let mut limit = AdaptiveLimit::new(20);
    limit.lower(Millis(0));
    limit.lower(Millis(10));
    assert_eq!(limit.get(), 18, "one decrease per interval");
    for now in 1..100 {
        limit.lower(Millis(now * 1000));
    }
    assert_eq!(limit.get(), 1);
    (0..500).for_each(|_| limit.raise());
    assert_eq!(limit.get(), 20);
}

#[test]
fn rising_latency() {
    let mut pool = open_pool(1, 20);
    let mut end = |now: u64, micros| {
        pool.begin(Millis(now), 0, None);
        pool.end(Millis(now), 0, HealthSignal::Clean(micros));
        pool.slot(0).unwrap().limit.get()
    };
    let before = (0..200).map(|n| end(n * 100, 10_000)).last();
    assert_eq!(before, Some(20));
    let after = (200..280).map(|n| end(n * 100, 30_000)).last().unwrap();
    assert!(after < 16, "limit {after}");
    let lasting = (280..2000).map(|n| end(n * 100, 30_000)).last();
    assert_eq!(lasting, Some(20), "a lasting latency becomes the baseline");
}

#[test]
fn cache_gaps() {
    let mut index = PrefixIndex::default();
    let event = |sequence, prefix, held| CacheEvent {
        upstream: "up-0".parse().unwrap(),
        sequence,
        prefix: PrefixHash(prefix),
        held,
    };
    let holds = |index: &PrefixIndex, prefix| index.holders(PrefixHash(prefix)).count();
    index.apply(3, &event(1, 10, true));
    index.apply(3, &event(2, 11, true));
    index.apply(3, &event(1, 10, false));
    assert_eq!(
        (holds(&index, 10), holds(&index, 11)),
        (1, 1),
        "a late event is ignored"
    );
    index.apply(3, &event(5, 12, true));
    let known = (holds(&index, 10), holds(&index, 11), holds(&index, 12));
    assert_eq!(known, (0, 0, 1), "a gap invalidates what was known");
}

#[test]
fn bounded_affinity() {
    let mut pool = open_pool(4, 8);
    let prefix = Some(PrefixHash(1));
    let slots: Vec<u32> = (0..16)
        .map(|_| {
            let slot = pool.pick(prefix).unwrap();
            pool.begin(Millis(1), slot, prefix);
            slot
        })
        .collect();
    let first = slots.iter().filter(|slot| **slot == slots[0]).count();
    assert!((4..=6).contains(&first), "{slots:?}");
}

#[test]
fn new_boot() {
    let mut pool = open_pool(2, 1);
    pool.begin(Millis(1), 0, None);
    let interrupted = pool.apply(Millis(2), &Change::Joined(announce("up-0", 2, 1)));
    assert_eq!(
        interrupted,
        Some(0),
        "the old boot has requests to be ended"
    );
    let id = "up-0".parse().unwrap();
    assert_eq!(
        pool.crash(Millis(3), &id, Incarnation(1)),
        None,
        "a late crash report"
    );
    pool.end(Millis(4), 0, HealthSignal::Neutral);
    assert_eq!((pool.len(), pool.inflight()), (2, 0));
}

/// The number of candidates examined for a choice must not grow with the number of upstreams.
#[test]
fn flat_cost() {
    let examined: Vec<u64> = [10, 100, 1000, 10_000]
        .map(|upstreams| {
            let mut pool = open_pool(upstreams, 4);
            for n in 0..2000 {
                let prefix = Some(PrefixHash(n % 50));
                let Some(slot) = pool.pick(prefix) else {
                    continue;
                };
                pool.begin(Millis(n), slot, prefix);
                pool.end(Millis(n), slot, HealthSignal::Clean(1000));
            }
            pool.examined()
        })
        .to_vec();
    assert!(
        examined.iter().all(|n| *n <= 2 * 2000 + 4 * 2000),
        "{examined:?}"
    );
    assert!(examined[3] <= examined[0] + 2000, "{examined:?}");
}
