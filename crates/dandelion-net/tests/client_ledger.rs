//! Decisions on the memory of clients.

use std::collections::BTreeMap;

use dandelion_net::http::memory::Growth;
use dandelion_net::http::memory::HolderId;
use dandelion_net::http::memory::Kind;
use dandelion_net::http::memory::Ledger;
use dandelion_net::http::memory::RateWindow;
use dandelion_net::http::memory::SHORT_BYTES;
use dandelion_protocol::time::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const BUDGET: usize = 16 * SHORT_BYTES;
const LONG: usize = 4 * SHORT_BYTES;

/// Grows a holder as the account does: evicted ones lose their bytes.
fn grow(ledger: &mut Ledger, id: HolderId, bytes: usize, recent: &BTreeMap<HolderId, u64>) -> bool {
    loop {
        match ledger.grow(id, bytes, |id| recent.get(&id).copied().unwrap_or(0)) {
            Growth::Granted => return true,
            Growth::Refused => return false,
            Growth::Evict(other) => ledger.set(other, 0),
        }
    }
}

/// Guards against a body that arrives being refused for the sake of bodies that have stopped.
#[test]
fn stopped_dropped_first() {
    let mut ledger = Ledger::open(BUDGET);
    let stopped: Vec<HolderId> = (0..4).map(|_| ledger.add(Kind::Arriving, LONG)).collect();
    let mut recent = BTreeMap::new();
    for id in &stopped {
        assert!(grow(&mut ledger, *id, LONG, &recent));
    }
    let moving = ledger.add(Kind::Arriving, LONG);
    recent.insert(moving, 1);
    assert!(grow(&mut ledger, moving, LONG, &recent));
    assert_eq!(ledger.used(), BUDGET);
    // The slowest relative to its size is the one that is refused, also if it asks itself.
    let slow = ledger.add(Kind::Arriving, 4 * LONG);
    let faster = stopped.iter().map(|id| (*id, 9)).chain([(moving, 9)]);
    let mut recent: BTreeMap<HolderId, u64> = faster.collect();
    recent.insert(slow, 9);
    assert!(grow(&mut ledger, slow, SHORT_BYTES, &recent));
    let before = ledger.used();
    ledger.set(slow, SHORT_BYTES + 1);
    assert!(!grow(&mut ledger, slow, 2 * LONG, &recent));
    assert!(before <= BUDGET);
}

/// Guards against short requests being refused, and against handled bodies being dropped.
#[test]
fn short_granted() {
    let mut ledger = Ledger::open(BUDGET);
    let recent = BTreeMap::new();
    let handled = ledger.add(Kind::Arriving, BUDGET);
    assert!(grow(&mut ledger, handled, BUDGET, &recent));
    ledger.set_handled(handled);
    let short = ledger.add(Kind::Arriving, SHORT_BYTES);
    assert!(grow(&mut ledger, short, SHORT_BYTES, &recent));
    let long = ledger.add(Kind::Arriving, LONG);
    assert!(grow(&mut ledger, long, SHORT_BYTES, &recent));
    assert!(!grow(&mut ledger, long, SHORT_BYTES + 1, &recent));
    let pipelined = ledger.add(Kind::Pipelined, 1);
    assert!(!grow(&mut ledger, pipelined, 1, &recent));
    let answer = ledger.add(Kind::Answers, 1);
    assert!(grow(&mut ledger, answer, LONG, &recent));
    assert_eq!(ledger.used_by(Kind::Handled), BUDGET);
    ledger.remove(handled);
    assert!(grow(&mut ledger, long, LONG, &recent));
}

/// Guards against an account that exceeds its budget by more than short requests and answers, or
/// that keeps bytes of holders that are gone.
#[test]
fn budget_kept() {
    fn holds(steps: Vec<(u8, u32, u8)>) -> bool {
        let mut ledger = Ledger::open(BUDGET);
        let mut ids = Vec::new();
        for (choice, bytes, recent) in steps {
            let bytes = bytes as usize % (2 * LONG);
            if choice % 4 == 0 || ids.is_empty() {
                ids.push(ledger.add(Kind::Arriving, 2 * LONG));
            }
            let at = usize::from(choice) % ids.len();
            if choice % 7 == 6 {
                ledger.remove(ids.swap_remove(at));
                continue;
            }
            let recent = ids.iter().map(|id| (*id, u64::from(recent))).collect();
            grow(&mut ledger, ids[at], bytes, &recent);
            if ledger.used() > BUDGET + ids.len() * SHORT_BYTES {
                return false;
            }
        }
        for id in ids {
            ledger.remove(id);
        }
        ledger.used() == 0
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::new(100))
        .quickcheck(holds as fn(Vec<(u8, u32, u8)>) -> bool);
}

/// Guards against slow bodies that sustain the rate being cut, and against ones kept by a byte now
/// and then; extreme times and rates don't overflow.
#[test]
fn rate_windows() {
    let mut steady = RateWindow::open(Millis(10_000), Millis(5));
    let mut dribble = steady;
    for second in 0..60 {
        let now = Millis(5 + second * 1000);
        steady.record(now, 1100);
        dribble.record(now, 1);
        assert!(!steady.is_below(now, 1024), "second {second}");
        assert_eq!(dribble.is_below(now, 1024), second >= 10, "second {second}");
    }
    let end = Millis(u64::MAX);
    assert!(steady.is_below(end, u64::MAX));
    steady.record(end, usize::MAX);
    steady.record(end, usize::MAX);
    assert_eq!(steady.recent(end), u64::MAX);
    assert!(!steady.is_below(end, 0));
    assert!(!RateWindow::open(Millis(0), end).is_below(Millis(0), u64::MAX));
}
