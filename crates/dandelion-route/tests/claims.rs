//! Each caller's id runs at most once, despite races, lost answers, expiry and restarts.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::codec;
use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::claims::AttemptId;
use dandelion_route::claims::CallerId;
use dandelion_route::claims::CallerIdError;
use dandelion_route::claims::Claim;
use dandelion_route::claims::ClaimBatch;
use dandelion_route::claims::ClaimKey;
use dandelion_route::claims::ClaimReply;
use dandelion_route::claims::ClaimResult;
use dandelion_route::claims::ClaimStep;
use dandelion_route::claims::ClaimsTable;
use dandelion_route::claims::StoredAnswer;
use dandelion_route::claims::table::RETENTION_MS;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const START_SECS: u64 = 1_796_000_000;

fn key(team: &str, id: u8) -> ClaimKey {
    ClaimKey {
        caller: format!("{START_SECS}-bond-{id}").parse().unwrap(),
        cell: CellId(1),
        team: team.parse().unwrap(),
        service: "portal".parse().unwrap(),
    }
}

fn attempt(daemon: u8, sequence: u64) -> AttemptId {
    AttemptId {
        daemon: format!("d{daemon}").parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
    }
}

fn claim(id: u8, attempt: AttemptId) -> ClaimStep {
    ClaimStep::Claim(Claim {
        key: key("t", id),
        digest: u128::from(id),
        attempt,
        timeout: Millis(10_000),
    })
}

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; size],
    }
}

fn apply(table: &mut ClaimsTable, after_ms: u64, step: ClaimStep) -> ClaimReply {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(START_SECS * 1000 + after_ms),
        author: "d",
    };
    let batch = ClaimBatch { steps: vec![step] };
    table.apply(&context, batch).unwrap().replies.remove(0)
}

fn settle(id: u8, attempt: AttemptId, result: ClaimResult) -> ClaimStep {
    let key = key("t", id);
    ClaimStep::Settle {
        key,
        attempt,
        result,
    }
}

#[test]
fn stored_answer() {
    let mut table = ClaimsTable::default();
    assert_eq!(
        apply(&mut table, 0, claim(1, attempt(1, 1))),
        ClaimReply::Granted
    );
    let running = apply(&mut table, 1, claim(1, attempt(2, 1)));
    assert!(matches!(running, ClaimReply::Running { .. }));
    let done = settle(1, attempt(1, 1), ClaimResult::Answered(answer(3)));
    assert_eq!(apply(&mut table, 2, done), ClaimReply::Settled);
    let resent = apply(&mut table, 3, claim(1, attempt(2, 2)));
    assert_eq!(resent, ClaimReply::Answered(answer(3)));
}

#[test]
fn lost_attempt() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    let resent = apply(&mut table, 10_001, claim(1, attempt(2, 1)));
    assert_eq!(resent, ClaimReply::Unknown);
    let late = settle(1, attempt(1, 1), ClaimResult::Answered(answer(3)));
    assert_eq!(apply(&mut table, 20_000, late), ClaimReply::Settled);
    let resent = apply(&mut table, 20_001, claim(1, attempt(2, 2)));
    assert_eq!(resent, ClaimReply::Answered(answer(3)));
}

#[test]
fn foreign_settlement() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    for result in [ClaimResult::NotRun, ClaimResult::Answered(answer(3))] {
        let foreign = settle(1, attempt(2, 1), result);
        assert_eq!(apply(&mut table, 1, foreign), ClaimReply::Ignored);
    }
    let running = apply(&mut table, 2, claim(1, attempt(2, 2)));
    assert!(matches!(running, ClaimReply::Running { .. }));
}

#[test]
fn unknown_not_released() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    apply(
        &mut table,
        1,
        settle(1, attempt(1, 1), ClaimResult::Unknown),
    );
    let released = settle(1, attempt(1, 1), ClaimResult::NotRun);
    assert_eq!(apply(&mut table, 2, released), ClaimReply::Ignored);
    let resent = apply(&mut table, 3, claim(1, attempt(2, 1)));
    assert_eq!(resent, ClaimReply::Unknown);
}

#[test]
fn released_once() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    apply(&mut table, 1, settle(1, attempt(1, 1), ClaimResult::NotRun));
    let replayed = apply(&mut table, 2, claim(1, attempt(1, 1)));
    assert_eq!(replayed, ClaimReply::Ignored);
    let resent = apply(&mut table, 3, claim(1, attempt(2, 1)));
    assert_eq!(resent, ClaimReply::Granted);
}

#[test]
fn other_body() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    let other = ClaimStep::Claim(Claim {
        key: key("t", 1),
        digest: 99,
        attempt: attempt(1, 2),
        timeout: Millis(1),
    });
    assert_eq!(apply(&mut table, 1, other), ClaimReply::Conflict);
}

#[test]
fn team_scope() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    let other = ClaimStep::Claim(Claim {
        key: key("u", 1),
        digest: 1,
        attempt: attempt(1, 2),
        timeout: Millis(1),
    });
    assert_eq!(apply(&mut table, 1, other), ClaimReply::Granted);
}

#[test]
fn expired_ids() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    let kept = apply(&mut table, RETENTION_MS - 1, claim(1, attempt(1, 2)));
    assert_eq!((kept, table.len()), (ClaimReply::Unknown, 1));
    let old = apply(&mut table, RETENTION_MS, claim(1, attempt(1, 3)));
    assert!(matches!(old, ClaimReply::Expired { .. }));
    assert!(table.is_empty());
}

#[test]
fn large_answers() {
    let mut table = ClaimsTable::default();
    apply(&mut table, 0, claim(1, attempt(1, 1)));
    let done = settle(1, attempt(1, 1), ClaimResult::Answered(answer(1 << 20)));
    apply(&mut table, 1, done);
    let resent = apply(&mut table, 2, claim(1, attempt(1, 2)));
    assert_eq!(resent, ClaimReply::NotKept { status: 201 });
    assert_eq!(table.stored_bytes(), 0);
}

#[test]
fn malformed_ids() {
    for text in [
        "",
        "abc",
        "-x",
        "1796000000",
        "1796000000-",
        "0123-x",
        "1-a b",
        "99999999999999999999-x",
    ] {
        assert_eq!(text.parse::<CallerId>(), Err(CallerIdError), "{text}");
    }
}

/// One step of a simulation of a few callers' requests.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request or resend through a daemon; `outcome` says how a granted attempt ends.
    Send { id: u8, daemon: u8, outcome: u8 },
    /// The claim of an earlier attempt is applied again.
    Replay { pick: u8 },
    /// The result of an earlier attempt arrives late.
    Late { pick: u8 },
    /// Time passes.
    Wait { ms: u64 },
    /// The table is restored from its snapshot.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Send {
                id: u8::arbitrary(g) % 3,
                daemon: u8::arbitrary(g) % 3,
                outcome: u8::arbitrary(g) % 5,
            },
            4 => Self::Replay { pick },
            5 => Self::Late { pick },
            6 => Self::Wait {
                ms: u64::arbitrary(g) % (RETENTION_MS / 3),
            },
            _ => Self::Restart,
        }
    }
}

#[derive(Default)]
struct Simulation {
    table: ClaimsTable,
    now: u64,
    sequence: u64,
    sent: Vec<(u8, AttemptId)>,
    unsettled: Vec<(u8, AttemptId)>,
    runs: BTreeMap<u8, u32>,
    consistent: bool,
}

impl Simulation {
    fn send(&mut self, id: u8, daemon: u8, outcome: u8) {
        self.sequence += 1;
        let attempt = attempt(daemon, self.sequence);
        self.sent.push((id, attempt.clone()));
        let reply = apply(&mut self.table, self.now, claim(id, attempt.clone()));
        let ran = self.runs.get(&id).copied().unwrap_or(0);
        self.consistent &= !matches!(reply, ClaimReply::Answered(_)) || ran == 1;
        if reply != ClaimReply::Granted {
            return;
        }
        // Outcome 0: not sent, and reported so. 1: the daemon crashes before it sends. Others run.
        if outcome == 0 {
            let released = settle(id, attempt, ClaimResult::NotRun);
            apply(&mut self.table, self.now, released);
        } else if outcome > 1 {
            *self.runs.entry(id).or_default() += 1;
            self.end(id, attempt, outcome);
        }
    }

    fn end(&mut self, id: u8, attempt: AttemptId, outcome: u8) {
        let result = match outcome {
            2 => ClaimResult::Answered(answer(5)),
            3 => ClaimResult::Unknown,
            _ => return self.unsettled.push((id, attempt)),
        };
        apply(&mut self.table, self.now, settle(id, attempt, result));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send {
                id,
                daemon,
                outcome,
            } => self.send(id, daemon, outcome),
            Step::Replay { pick } if !self.sent.is_empty() => {
                let index = usize::from(pick) % self.sent.len();
                let (id, attempt) = self.sent[index].clone();
                apply(&mut self.table, self.now, claim(id, attempt));
            }
            Step::Late { pick } if !self.unsettled.is_empty() => {
                let index = usize::from(pick) % self.unsettled.len();
                let (id, attempt) = self.unsettled.swap_remove(index);
                let result = ClaimResult::Answered(answer(6));
                apply(&mut self.table, self.now, settle(id, attempt, result));
            }
            Step::Wait { ms } => self.now += ms,
            Step::Restart => {
                let image = codec::encode(&self.table).unwrap();
                self.table = codec::decode(&image).unwrap();
            }
            _ => {}
        }
    }
}

#[test]
fn at_most_once() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation {
            consistent: true,
            ..Simulation::default()
        };
        for step in steps {
            simulation.step(step);
        }
        simulation.consistent && simulation.runs.values().all(|runs| *runs <= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 2))
        .tests(2000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
