//! The ledger's rules for cursors, leases, epochs, feeds and tokens.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_rollout::ledger::BatchRecord;
use dandelion_rollout::ledger::CursorState;
use dandelion_rollout::ledger::FeedRecord;
use dandelion_rollout::ledger::LedgerChange;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::ledger::LedgerRefusal;
use dandelion_rollout::ledger::LedgerReply;
use dandelion_rollout::ledger::LedgerTable;
use dandelion_rollout::ledger::RangeSet;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

struct Bench {
    table: LedgerTable,
    at: u64,
    takes: u64,
}

type Outcome = Result<LedgerReply, LedgerRefusal>;

fn job() -> JobId {
    "job".parse().unwrap()
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn trainer(name: &str) -> TrainerId {
    TrainerId(name.to_owned())
}

impl Bench {
    fn fed(count: u64) -> Self {
        let mut bench = Self {
            table: LedgerTable::default(),
            at: 1000,
            takes: 0,
        };
        bench.lead("a").unwrap();
        bench.feed(0, count, 77).unwrap();
        bench
    }

    fn apply(&mut self, change: LedgerChange) -> Outcome {
        let context = ApplyContext {
            revision: Revision(1),
            at: WallMillis(self.at),
            author: "test",
        };
        let command = LedgerCommand { job: job(), change };
        self.table.apply(&context, command).unwrap()
    }

    fn lead(&mut self, name: &str) -> Outcome {
        self.apply(LedgerChange::Lead {
            daemon: daemon(name),
            incarnation: Incarnation(1),
        })
    }

    fn feed(&mut self, first: u64, count: u64, digest: u64) -> Outcome {
        let feed = FeedRecord {
            first,
            count,
            digest,
            holders: vec![daemon("a"), daemon("b")],
        };
        self.apply(LedgerChange::Feed { epoch: 1, feed })
    }

    fn take(&mut self, name: &str, cursor: u64, skipped: bool) -> Outcome {
        self.take_held(name, cursor, skipped, None)
    }

    fn take_held(&mut self, name: &str, cursor: u64, skipped: bool, held: Option<u64>) -> Outcome {
        self.takes += 1;
        self.apply(LedgerChange::Pull {
            epoch: 1,
            number: self.takes,
            trainer: trainer(name),
            cursor,
            held,
            skipped,
            lease: Millis(500),
            bound: 1,
        })
    }

    fn cut(&mut self, epoch: u64, batch: BatchRecord) -> Outcome {
        self.apply(LedgerChange::Freeze {
            epoch,
            trainer: trainer("t"),
            batch,
            bound: 1,
            spent: 10,
        })
    }

    fn reserve(&mut self, epoch: u64, sequence: u64, total: u64) -> Outcome {
        self.apply(LedgerChange::Reserve {
            epoch,
            sequence,
            spent: 0,
            total,
            budget: 100,
        })
    }

    fn publish(&mut self, version: u64) {
        let version = WeightVersion(version);
        self.apply(LedgerChange::Publish { version }).unwrap();
    }

    fn done(&self) -> RangeSet {
        self.table.job(&job()).unwrap().view().done
    }
}

fn batch(cursor: u64, start: u64, end: u64) -> BatchRecord {
    BatchRecord {
        cursor,
        groups: RangeSet::of(start, end),
        dropped: RangeSet::default(),
        samples: 4,
        digest: 1000 + cursor,
        oldest: WeightVersion(0),
        holders: vec![daemon("a")],
    }
}

fn state(outcome: Outcome) -> CursorState {
    match outcome.unwrap() {
        LedgerReply::Pulled { state, .. } => state,
        other => panic!("not an answer to a take: {other:?}"),
    }
}

#[test]
fn next_acknowledges() {
    let mut bench = Bench::fed(8);
    assert_eq!(state(bench.take("t", 0, false)), CursorState::Open);
    bench.cut(1, batch(0, 0, 4)).unwrap();
    assert_eq!(
        state(bench.take("t", 0, false)),
        CursorState::Frozen(batch(0, 0, 4))
    );
    assert!(bench.done().is_empty());
    assert_eq!(state(bench.take("t", 1, false)), CursorState::Open);
    assert_eq!(bench.done(), RangeSet::of(0, 4));
    let again = bench.cut(1, batch(1, 3, 6));
    assert_eq!(again, Err(LedgerRefusal::BadGroups));
    let gone = bench.take("t", 0, false);
    assert!(matches!(
        gone,
        Err(LedgerRefusal::BadCursor { next: 1, .. })
    ));
}

#[test]
fn skipped_returns() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    bench.cut(1, batch(0, 0, 4)).unwrap();
    bench.publish(2);
    assert_eq!(
        state(bench.take("t", 0, false)),
        CursorState::Stale(batch(0, 0, 4))
    );
    assert_eq!(state(bench.take("t", 1, true)), CursorState::Open);
    assert!(bench.done().is_empty());
    let mut fresh = batch(1, 0, 4);
    fresh.oldest = WeightVersion(1);
    bench.cut(1, fresh).unwrap();
}

#[test]
fn stale_cut() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    bench.publish(2);
    let refused = bench.cut(1, batch(0, 0, 4));
    assert!(matches!(refused, Err(LedgerRefusal::Stale { .. })));
}

#[test]
fn two_trainers() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    let refused = bench.take("u", 0, false);
    let held = LedgerRefusal::Held {
        holder: trainer("t"),
        until: WallMillis(1500),
    };
    assert_eq!(refused, Err(held));
    bench.at = 1500;
    assert_eq!(state(bench.take("u", 0, false)), CursorState::Open);
    assert!(matches!(
        bench.cut(1, batch(0, 0, 4)),
        Err(LedgerRefusal::Held { .. })
    ));
}

#[test]
fn refused_copy() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    bench.cut(1, batch(0, 0, 4)).unwrap();
    let refused = bench.take("u", 1, false);
    assert!(matches!(refused, Err(LedgerRefusal::Held { .. })));
    // A copy of the refused pull comes when the lease is over; it must not acknowledge.
    bench.at = 2000;
    bench.takes -= 1;
    assert_eq!(bench.take("u", 1, false), refused);
    assert!(bench.done().is_empty());
    assert_eq!(state(bench.take("t", 1, true)), CursorState::Open);
    bench.takes = 0;
    assert_eq!(bench.take("t", 0, false), Err(LedgerRefusal::Superseded));
}

#[test]
fn wrong_digest() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    bench.cut(1, batch(0, 0, 4)).unwrap();
    let wrong = bench.take_held("t", 1, false, Some(5));
    assert!(matches!(
        wrong,
        Err(LedgerRefusal::BadDigest { recorded: 1000, .. })
    ));
    assert_eq!(
        state(bench.take_held("t", 1, false, Some(1000))),
        CursorState::Open
    );
}

#[test]
fn deposed_daemon() {
    let mut bench = Bench::fed(8);
    bench.take("t", 0, false).unwrap();
    bench.lead("a").unwrap();
    bench.cut(1, batch(0, 0, 2)).unwrap();
    bench.lead("b").unwrap();
    let late = bench.cut(1, batch(0, 0, 2));
    assert_eq!(late, Err(LedgerRefusal::Deposed { epoch: 2 }));
    assert_eq!(
        bench.reserve(1, 1, 5),
        Err(LedgerRefusal::Deposed { epoch: 2 })
    );
}

#[test]
fn feed_again() {
    let mut bench = Bench::fed(8);
    assert_eq!(bench.feed(0, 8, 77), Ok(LedgerReply::Fed(8)));
    assert!(matches!(
        bench.feed(0, 8, 78),
        Err(LedgerRefusal::BadFeed { .. })
    ));
    assert!(matches!(
        bench.feed(9, 8, 77),
        Err(LedgerRefusal::BadFeed { .. })
    ));
    assert_eq!(bench.feed(8, 2, 5), Ok(LedgerReply::Fed(10)));
}

#[test]
fn never_overspent() {
    let mut bench = Bench::fed(8);
    bench.reserve(1, 1, 60).unwrap();
    assert_eq!(
        bench.reserve(1, 2, 101),
        Err(LedgerRefusal::Budget { left: 40 })
    );
    bench.reserve(1, 3, 20).unwrap();
    // A late copy of an older change gives nothing back.
    assert_eq!(bench.reserve(1, 1, 60), Ok(LedgerReply::Reserved(20)));
    bench.lead("b").unwrap();
    assert_eq!(
        bench.reserve(2, 1, 81),
        Err(LedgerRefusal::Budget { left: 80 })
    );
    bench.reserve(2, 1, 80).unwrap();
    assert_eq!(bench.table.job(&job()).unwrap().tokens().committed, 100);
}

#[test]
fn registered_table() {
    let control = TableSet::open_all();
    assert_eq!(
        control.table::<LedgerTable>(),
        Some(&LedgerTable::default())
    );
    assert!(!control.is_spread(LedgerTable::NAME));
}

#[test]
fn bounded_state() {
    let mut bench = Bench::fed(4096);
    let before = codec::encode(&bench.table).unwrap().len();
    for cursor in 0..1024 {
        bench.take("t", cursor, false).unwrap();
        bench
            .cut(1, batch(cursor, cursor * 4, cursor * 4 + 4))
            .unwrap();
    }
    let after = codec::encode(&bench.table).unwrap().len();
    assert!(after < before + 256, "{before} grew to {after} bytes");
}

/// Ranges hold what a plain set of numbers would.
fn like_plain_set(steps: Vec<(bool, u8, u8)>) -> TestResult {
    let mut ranges = RangeSet::default();
    let mut plain = std::collections::BTreeSet::new();
    for (adds, start, len) in steps {
        let (start, end) = (u64::from(start), u64::from(start) + u64::from(len % 16));
        if adds {
            ranges.insert(start, end);
            plain.extend(start..end);
        } else {
            ranges.remove(start, end);
            plain.retain(|number| !(start..end).contains(number));
        }
    }
    let bytes = codec::encode(&ranges).unwrap();
    let same = codec::decode::<RangeSet>(&bytes).unwrap() == ranges;
    TestResult::from_bool(same && ranges.numbers().eq(plain))
}

#[test]
fn range_set() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 6))
        .tests(500)
        .quickcheck(like_plain_set as fn(Vec<(bool, u8, u8)>) -> TestResult);
}
