//! The table of contents that end upstreams: the bound on their runs holds whichever entries,
//! upstreams and incarnations the runs are spread over, and whatever reports are lost.

use dandelion_control::tables::QuarantineCommand;
use dandelion_control::tables::QuarantineTable;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::codec;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::quarantine::Admission;
use dandelion_protocol::quarantine::BLOCK_TIME;
use dandelion_protocol::quarantine::EndedUpstream;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use quickcheck::TestResult;
use quickcheck::quickcheck;

const CONTENT: u64 = 7;
const LIMIT: Millis = Millis(5_000);

/// Runs of a content that may follow once every entry knows of its first interrupted run.
const LATE_RUNS: usize = 3;

fn apply(table: &mut QuarantineTable, at: u64, command: QuarantineCommand) -> Admission {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(at),
        author: "",
    };
    table.apply(&context, command).unwrap()
}

fn ended(
    table: &mut QuarantineTable,
    at: u64,
    content: u64,
    life: u64,
    trial: Option<u128>,
) -> Admission {
    let command = QuarantineCommand::Ended {
        content,
        upstream: EndedUpstream {
            id: format!("u{}", life % 3).parse().unwrap(),
            born: WallMillis(life),
        },
        trial: trial.map(RequestId),
    };
    apply(table, at, command)
}

fn begin(
    table: &mut QuarantineTable,
    at: u64,
    content: u64,
    trial: u128,
    upstream: &str,
) -> Admission {
    let command = QuarantineCommand::Begin {
        content,
        trial: RequestId(trial),
        upstream: upstream.parse().unwrap(),
        limit: LIMIT,
    };
    apply(table, at, command)
}

fn release(table: &mut QuarantineTable, at: u64, trial: u128, interrupted: bool) -> Admission {
    let command = QuarantineCommand::Release {
        content: CONTENT,
        trial: RequestId(trial),
        interrupted,
    };
    apply(table, at, command)
}

fn pass(table: &mut QuarantineTable, content: u64) {
    apply(table, 0, QuarantineCommand::Pass { content });
}

fn is_blocked(admission: Admission) -> bool {
    matches!(admission, Admission::Blocked(_))
}

/// What happens to one copy of a content that ends each upstream that runs it.
fn send(table: &mut QuarantineTable, view: &QuarantineTable, at: u64, step: u64, fate: u8) -> bool {
    let life = 1_000 + step;
    if !view.contents().contains_key(&CONTENT) {
        if !fate.is_multiple_of(4) {
            ended(table, at, CONTENT, life, None);
        }
        return true;
    }
    let trial = u128::from(step) + 1;
    let upstream = format!("u{}", life % 3);
    if begin(table, at, CONTENT, trial, &upstream) != Admission::Granted {
        return false;
    }
    match fate % 4 {
        // The entry is lost with its report.
        0 => (),
        // The upstream is back before the entry has asked whether it still accepts connections.
        1 => {
            release(table, at, trial, true);
        }
        _ => {
            ended(table, at, CONTENT, life, Some(trial));
        }
    }
    true
}

fn copy(table: &QuarantineTable) -> QuarantineTable {
    codec::decode(&codec::encode(table).unwrap()).unwrap()
}

quickcheck! {
    fn late_runs_bounded(usual: u8, steps: Vec<(u8, u8, u16)>) -> TestResult {
        const ENTRIES: usize = 4;
        let mut table = QuarantineTable::default();
        let mut views: Vec<QuarantineTable> = (0..ENTRIES).map(|_| copy(&table)).collect();
        let (mut at, mut late) = (0, 0);
        for (step, (entry, fate, pause)) in steps.iter().cycle().take(steps.len() * 8).enumerate() {
            at += u64::from(*pause % 2_000);
            let entry = usize::from(*entry) % ENTRIES;
            // Most copies of a day share their fate, so that each kind is the only one on some days.
            let fate = if fate % 8 == 0 { *fate / 8 } else { usual };
            let known = views.iter().all(|v| v.contents().contains_key(&CONTENT));
            let ran = send(&mut table, &views[entry], at, step as u64, fate);
            late += usize::from(ran && known);
            // The leader changes: the next one has what was committed.
            table = copy(&table);
            if pause % 3 == 0 {
                views[entry] = copy(&table);
            }
        }
        if at >= BLOCK_TIME.0 {
            return TestResult::discard();
        }
        TestResult::from_bool(late <= LATE_RUNS)
    }
}

#[test]
fn one_trial_at_once() {
    let mut table = QuarantineTable::default();
    assert_eq!(begin(&mut table, 0, CONTENT, 1, "a"), Admission::Clear);
    assert_eq!(ended(&mut table, 0, CONTENT, 1, None), Admission::Suspected);
    assert_eq!(begin(&mut table, 1, CONTENT, 1, "a"), Admission::Granted);
    assert_eq!(begin(&mut table, 2, CONTENT, 2, "b"), Admission::Suspected);
    assert_eq!(begin(&mut table, 3, CONTENT, 1, "a"), Admission::Granted);
}

#[test]
fn suspects_tried_apart() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    ended(&mut table, 0, CONTENT + 1, 1, None);
    assert_eq!(begin(&mut table, 0, CONTENT, 1, "a"), Admission::Granted);
    let other = begin(&mut table, 0, CONTENT + 1, 2, "a");
    assert_eq!(other, Admission::Occupied);
    assert_eq!(
        begin(&mut table, 0, CONTENT + 1, 3, "b"),
        Admission::Granted
    );
    ended(&mut table, 1, CONTENT, 2, Some(1));
    let known = &table.contents()[&(CONTENT + 1)];
    assert_eq!(known.failed_trials, 0);
}

#[test]
fn simultaneous_crashes_block_nothing() {
    let mut table = QuarantineTable::default();
    for life in 1..=9 {
        let admission = ended(&mut table, 0, CONTENT, life, None);
        assert_eq!(admission, Admission::Suspected);
    }
    assert_eq!(begin(&mut table, 0, CONTENT, 1, "a"), Admission::Granted);
    pass(&mut table, CONTENT);
    assert!(table.contents().is_empty());
}

#[test]
fn lost_trial_counts() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    begin(&mut table, 0, CONTENT, 1, "a");
    let expired = LIMIT.0;
    assert_eq!(
        begin(&mut table, expired, CONTENT, 2, "a"),
        Admission::Granted
    );
    let blocked = begin(&mut table, 2 * expired, CONTENT, 3, "a");
    assert!(is_blocked(blocked), "{blocked:?}");
}

#[test]
fn refused_trial_counts_nothing() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    for trial in 1..20 {
        assert_eq!(
            begin(&mut table, 0, CONTENT, trial, "a"),
            Admission::Granted
        );
        assert_eq!(release(&mut table, 0, trial, false), Admission::Suspected);
    }
}

#[test]
fn doubtful_trials_bounded() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    for trial in 1..=LATE_RUNS as u128 {
        assert_eq!(
            begin(&mut table, 0, CONTENT, trial, "a"),
            Admission::Granted
        );
        release(&mut table, 0, trial, true);
    }
    assert!(is_blocked(begin(&mut table, 0, CONTENT, 9, "a")));
}

#[test]
fn one_trial_after_block() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    for trial in 1..=2 {
        begin(&mut table, 0, CONTENT, trial, "a");
        ended(&mut table, 0, CONTENT, 1 + trial as u64, Some(trial));
    }
    let later = BLOCK_TIME.0;
    assert!(is_blocked(begin(&mut table, later - 1, CONTENT, 3, "a")));
    assert_eq!(
        begin(&mut table, later, CONTENT, 4, "a"),
        Admission::Granted
    );
    assert!(is_blocked(ended(&mut table, later, CONTENT, 9, Some(4))));
    assert!(is_blocked(begin(&mut table, later + 1, CONTENT, 5, "a")));
}

#[test]
fn repeated_report_counts_once() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    begin(&mut table, 0, CONTENT, 1, "a");
    let first = ended(&mut table, 0, CONTENT, 2, Some(1));
    assert_eq!(ended(&mut table, 0, CONTENT, 2, Some(1)), first);
    assert_eq!(table.contents()[&CONTENT].failed_trials, 1);
}

#[test]
fn surplus_forgets_unblocked() {
    let mut table = QuarantineTable::default();
    ended(&mut table, 0, CONTENT, 1, None);
    for trial in 1..=2 {
        begin(&mut table, 0, CONTENT, trial, "a");
        ended(&mut table, 0, CONTENT, 1 + trial as u64, Some(trial));
    }
    for other in 0..3_000 {
        ended(&mut table, 1 + other, 100 + other, 1, None);
    }
    assert!(table.contents().len() <= 1_024);
    assert!(is_blocked(begin(&mut table, 5_000, CONTENT, 3, "a")));
}
