//! Tests of the ledger's rules for cursors, leases, epochs, feeds and tokens.

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

struct Harness {
    table: LedgerTable,
    at: u64,
    pulls: u64,
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

impl Harness {
    fn fed(count: u64) -> Self {
        let mut harness = Self {
            table: LedgerTable::default(),
            at: 1000,
            pulls: 0,
        };
        harness.lead("a").unwrap();
        harness.feed(0, count, 77).unwrap();
        harness
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

    fn pull(&mut self, name: &str, cursor: u64, skipped: bool) -> Outcome {
        self.pull_held(name, cursor, skipped, None)
    }

    fn pull_held(&mut self, name: &str, cursor: u64, skipped: bool, held: Option<u64>) -> Outcome {
        self.pulls += 1;
        self.apply(LedgerChange::Pull {
            epoch: 1,
            number: self.pulls,
            trainer: trainer(name),
            cursor,
            held,
            skipped,
            lease: Millis(500),
            bound: 1,
        })
    }

    fn freeze(&mut self, epoch: u64, batch: BatchRecord) -> Outcome {
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
        other => panic!("not an answer to a pull: {other:?}"),
    }
}

#[test]
fn acknowledged_batch() {
    let mut harness = Harness::fed(8);
    assert_eq!(state(harness.pull("t", 0, false)), CursorState::Open);
    harness.freeze(1, batch(0, 0, 4)).unwrap();
    assert_eq!(
        state(harness.pull("t", 0, false)),
        CursorState::Frozen(batch(0, 0, 4))
    );
    assert!(harness.done().is_empty());
    assert_eq!(state(harness.pull("t", 1, false)), CursorState::Open);
    assert_eq!(harness.done(), RangeSet::of(0, 4));
    let again = harness.freeze(1, batch(1, 3, 6));
    assert_eq!(again, Err(LedgerRefusal::BadGroups));
    let gone = harness.pull("t", 0, false);
    assert!(matches!(
        gone,
        Err(LedgerRefusal::BadCursor { next: 1, .. })
    ));
}

#[test]
fn skipped_batch() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    harness.freeze(1, batch(0, 0, 4)).unwrap();
    harness.publish(2);
    assert_eq!(
        state(harness.pull("t", 0, false)),
        CursorState::Stale(batch(0, 0, 4))
    );
    assert_eq!(state(harness.pull("t", 1, true)), CursorState::Open);
    assert!(harness.done().is_empty());
    let mut fresh = batch(1, 0, 4);
    fresh.oldest = WeightVersion(1);
    harness.freeze(1, fresh).unwrap();
}

#[test]
fn stale_freeze() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    harness.publish(2);
    let refused = harness.freeze(1, batch(0, 0, 4));
    assert!(matches!(refused, Err(LedgerRefusal::Stale { .. })));
}

#[test]
fn two_trainers() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    let refused = harness.pull("u", 0, false);
    let held = LedgerRefusal::Held {
        holder: trainer("t"),
        until: WallMillis(1500),
    };
    assert_eq!(refused, Err(held));
    harness.at = 1500;
    assert_eq!(state(harness.pull("u", 0, false)), CursorState::Open);
    assert!(matches!(
        harness.freeze(1, batch(0, 0, 4)),
        Err(LedgerRefusal::Held { .. })
    ));
}

#[test]
fn refused_duplicate() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    harness.freeze(1, batch(0, 0, 4)).unwrap();
    let refused = harness.pull("u", 1, false);
    assert!(matches!(refused, Err(LedgerRefusal::Held { .. })));
    // A duplicate of the refused pull that arrives after the lease has expired must not
    // acknowledge the batch.
    harness.at = 2000;
    harness.pulls -= 1;
    assert_eq!(harness.pull("u", 1, false), refused);
    assert!(harness.done().is_empty());
    assert_eq!(state(harness.pull("t", 1, true)), CursorState::Open);
    harness.pulls = 0;
    assert_eq!(harness.pull("t", 0, false), Err(LedgerRefusal::Superseded));
}

#[test]
fn wrong_digest() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    harness.freeze(1, batch(0, 0, 4)).unwrap();
    let wrong = harness.pull_held("t", 1, false, Some(5));
    assert!(matches!(
        wrong,
        Err(LedgerRefusal::BadDigest { recorded: 1000, .. })
    ));
    assert_eq!(
        state(harness.pull_held("t", 1, false, Some(1000))),
        CursorState::Open
    );
}

#[test]
fn deposed_daemon() {
    let mut harness = Harness::fed(8);
    harness.pull("t", 0, false).unwrap();
    harness.lead("a").unwrap();
    harness.freeze(1, batch(0, 0, 2)).unwrap();
    harness.lead("b").unwrap();
    let late = harness.freeze(1, batch(0, 0, 2));
    assert_eq!(late, Err(LedgerRefusal::Deposed { epoch: 2 }));
    assert_eq!(
        harness.reserve(1, 1, 5),
        Err(LedgerRefusal::Deposed { epoch: 2 })
    );
}

#[test]
fn repeated_feed() {
    let mut harness = Harness::fed(8);
    assert_eq!(harness.feed(0, 8, 77), Ok(LedgerReply::Fed(8)));
    assert!(matches!(
        harness.feed(0, 8, 78),
        Err(LedgerRefusal::BadFeed { .. })
    ));
    assert!(matches!(
        harness.feed(9, 8, 77),
        Err(LedgerRefusal::BadFeed { .. })
    ));
    assert_eq!(harness.feed(8, 2, 5), Ok(LedgerReply::Fed(10)));
}

#[test]
fn never_overspent() {
    let mut harness = Harness::fed(8);
    harness.reserve(1, 1, 60).unwrap();
    assert_eq!(
        harness.reserve(1, 2, 101),
        Err(LedgerRefusal::Budget { left: 40 })
    );
    harness.reserve(1, 3, 20).unwrap();
    // A late duplicate of an older change does not change the reservation.
    assert_eq!(harness.reserve(1, 1, 60), Ok(LedgerReply::Reserved(20)));
    harness.lead("b").unwrap();
    assert_eq!(
        harness.reserve(2, 1, 81),
        Err(LedgerRefusal::Budget { left: 80 })
    );
    harness.reserve(2, 1, 80).unwrap();
    assert_eq!(harness.table.job(&job()).unwrap().tokens().committed, 100);
}

#[test]
fn registered_table() {
    let control = TableSet::open_all();
    assert_eq!(
        control.table::<LedgerTable>(),
        Some(&LedgerTable::default())
    );
    assert!(!control.is_distributed(LedgerTable::NAME));
}

#[test]
fn bounded_state() {
    let mut harness = Harness::fed(4096);
    let before = codec::encode(&harness.table).unwrap().len();
    for cursor in 0..1024 {
        harness.pull("t", cursor, false).unwrap();
        harness
            .freeze(1, batch(cursor, cursor * 4, cursor * 4 + 4))
            .unwrap();
    }
    let after = codec::encode(&harness.table).unwrap().len();
    assert!(after < before + 256, "{before} grew to {after} bytes");
}

/// Checks that a range set behaves like a plain set of numbers.
fn matches_plain_set(steps: Vec<(bool, u8, u8)>) -> TestResult {
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
        .quickcheck(matches_plain_set as fn(Vec<(bool, u8, u8)>) -> TestResult);
}
