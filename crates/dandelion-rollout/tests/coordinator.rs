//! Single decisions of a coordinator, driven event by event.

use std::collections::VecDeque;
use std::sync::Arc;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::Machine;
use dandelion_kernel::Table;
use dandelion_protocol::config::Job;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::rollout::FeedRequest;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::rollout::PullRequest;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::rollout::VoidReason;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_rollout::Coordinator;
use dandelion_rollout::LedgerTable;
use dandelion_rollout::attribution::SegmentReport;
use dandelion_rollout::coordinator::Action;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::AttemptId;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::Failure;
use dandelion_rollout::coordinator::Settings;
use dandelion_rollout::coordinator::Ticket;
use dandelion_rollout::coordinator::Token;
use dandelion_rollout::coordinator::action::Generate;
use dandelion_rollout::ledger::LedgerChange;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::payload::Payload;
use dandelion_rollout::scorer::ScorerSettings;

/// One coordinator, its ledger, and what it asked for; prompts and batches are stored at once.
struct Desk {
    now: u64,
    table: LedgerTable,
    coordinator: Coordinator,
    proposals: VecDeque<(Token, LedgerCommand)>,
    generates: Vec<Generate>,
    cancels: Vec<AttemptId>,
    scores: Vec<AttemptId>,
    answers: Vec<(Ticket, Answer)>,
    kept: Vec<Arc<Group>>,
}

fn job() -> Job {
    Job {
        id: "job".parse().unwrap(),
        team: "team".parse().unwrap(),
        service: "model".parse().unwrap(),
        group_size: 2,
        step_groups: 1,
        max_staleness: 0,
        token_budget: 100_000,
        max_tokens: 100,
        scorer: None,
        ended: false,
    }
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

impl Desk {
    fn open(job: Job) -> Self {
        Self::open_at(LedgerTable::default(), job, "a")
    }

    fn open_at(table: LedgerTable, job: Job, name: &str) -> Self {
        let mut actions = Vec::new();
        let life = Incarnation(1);
        let settings = Settings::default();
        let coordinator =
            Coordinator::open(job, daemon(name), life, settings, Millis(0), &mut actions);
        let mut desk = Self {
            now: 0,
            table,
            coordinator,
            proposals: VecDeque::new(),
            generates: Vec::new(),
            cancels: Vec::new(),
            scores: Vec::new(),
            answers: Vec::new(),
            kept: Vec::new(),
        };
        desk.take_actions(actions);
        desk.settle();
        desk.send(Event::Recovered(Vec::new()));
        desk.send(Event::Capacity(8));
        desk
    }

    fn send(&mut self, event: Event) {
        self.send_only(event);
        self.settle();
    }

    /// Sends an event and leaves proposals unanswered.
    fn send_only(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.coordinator
            .handle(Millis(self.now), event, &mut actions);
        self.take_actions(actions);
    }

    fn take_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Generate(request) => self.generates.push(request),
                Action::CancelAttempt(attempt) => self.cancels.push(attempt),
                Action::Score(call) => self.scores.push(call.attempt),
                Action::Propose { token, command } => self.proposals.push_back((token, command)),
                Action::Reply { ticket, answer } => self.answers.push((ticket, answer)),
                Action::Replicate { blob, payload } => {
                    if let Payload::Group(group) = payload {
                        self.kept.push(group);
                    }
                    let holders = vec![daemon("a"), daemon("b")];
                    self.send_only(Event::Replicated { blob, holders });
                }
                _ => {}
            }
        }
    }

    fn settle(&mut self) {
        while let Some((token, command)) = self.proposals.pop_front() {
            self.answer(token, command);
        }
    }

    fn answer(&mut self, token: Token, command: LedgerCommand) {
        let context = ApplyContext {
            revision: Revision(1),
            at: WallMillis(self.now),
            author: "desk",
        };
        let answer = Ok(self.table.apply(&context, command).unwrap());
        self.send_only(Event::LedgerAnswer { token, answer });
    }

    fn feed(&mut self, count: u64) {
        let prompts = (0..count).map(|index| format!("prompt {index}"));
        let request = FeedRequest {
            first: 0,
            prompts: prompts.collect(),
        };
        let ticket = Ticket(1000);
        self.send(Event::Prompts { ticket, request });
    }

    fn pull(&mut self, ticket: u64, cursor: u64, skipped: bool) {
        self.send(pull(ticket, "t", cursor, skipped));
    }

    fn last_answer(&self) -> &Answer {
        &self.answers.last().expect("an answer").1
    }

    /// Reports tokens of an attempt up to `end`.
    fn report(&mut self, attempt: AttemptId, range: (u32, u32), version: u64) {
        let version = Some(WeightVersion(version));
        self.send(Event::Progress {
            attempt,
            upstream: format!("engine-{}", attempt.0 % 7).parse().unwrap(),
            report: SegmentReport {
                boot: Incarnation(1),
                start: range.0,
                end: range.1,
                first: version,
                last: version,
                swap_at: None,
                text: "x".repeat((range.1 - range.0) as usize),
            },
        });
    }

    /// Ends every attempt that was asked for, with ten tokens of a version.
    fn generate_all(&mut self, version: u64) {
        for request in std::mem::take(&mut self.generates) {
            let start = request.resume.tokens();
            self.report(request.attempt, (start, start + 10), version);
            self.send(Event::Done {
                attempt: request.attempt,
            });
        }
    }

    fn tick_to(&mut self, now: u64) {
        self.now = now;
        self.send(Event::Tick);
    }
}

fn pull(ticket: u64, trainer: &str, cursor: u64, skipped: bool) -> Event {
    Event::Pull {
        ticket: Ticket(ticket),
        request: PullRequest {
            trainer: TrainerId(trainer.to_owned()),
            cursor,
            held: None,
            skipped,
            wait: Millis(5000),
        },
    }
}

fn whole(desk: &mut Desk, groups: u64) {
    desk.feed(groups);
    desk.pull(1, 0, false);
    desk.generate_all(0);
}

#[test]
fn whole_group() {
    let mut desk = Desk::open(job());
    whole(&mut desk, 2);
    let Answer::Batch(batch) = desk.last_answer().clone() else {
        panic!("no batch: {:?}", desk.answers);
    };
    assert_eq!((batch.cursor, batch.next, batch.groups.len()), (0, 1, 1));
    desk.pull(2, 0, false);
    assert_eq!(desk.last_answer(), &Answer::Batch(batch));
}

#[test]
fn late_publish() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    desk.pull(1, 0, false);
    let requests = std::mem::take(&mut desk.generates);
    for request in &requests {
        desk.report(request.attempt, (0, 10), 0);
    }
    for request in &requests {
        let attempt = request.attempt;
        desk.send_only(Event::Done { attempt });
    }
    let (token, command) = desk.proposals.pop_front().expect("the cut");
    assert!(matches!(command.change, LedgerChange::Freeze { .. }));
    // The version arrives after the cut was proposed, and the ledger has not seen it yet.
    desk.send_only(Event::Published {
        version: WeightVersion(1),
    });
    desk.answer(token, command);
    let Answer::Void(void) = desk.last_answer() else {
        panic!("a stale batch was sent: {:?}", desk.answers);
    };
    assert_eq!(
        (void.reason, void.next, void.samples),
        (VoidReason::Stale, 1, 2)
    );
}

#[test]
fn operator_publish() {
    let mut desk = Desk::open(job());
    desk.send(Event::Published {
        version: WeightVersion(3),
    });
    let ledger = desk.table.job(&job().id).unwrap();
    assert_eq!(ledger.published(), WeightVersion(3));
}

#[test]
fn lower_budget() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    let mut lower = job();
    lower.token_budget = 210;
    desk.send(Event::ConfigChanged(lower));
    // The two attempts under way hold 200 tokens; no third one fits.
    let committed = desk.table.job(&job().id).unwrap().tokens().committed;
    assert_eq!((committed, desk.generates.len()), (200, 2));
    for request in std::mem::take(&mut desk.generates) {
        let failure = Failure {
            ran: Ran::Unknown,
            tokens: None,
        };
        let attempt = request.attempt;
        desk.send(Event::Failed { attempt, failure });
    }
    assert!(desk.generates.is_empty());
}

#[test]
fn lost_payload() {
    let mut desk = Desk::open(job());
    whole(&mut desk, 2);
    let mut next = Desk::open_at(desk.table.clone(), job(), "b");
    next.pull(5, 0, false);
    let Some(record) = next.table.job(&job().id).unwrap().view().current else {
        panic!("the batch is not frozen");
    };
    let blob = dandelion_rollout::payload::BlobId::Batch(0, record.digest);
    next.send(Event::Fetched {
        blob,
        payload: None,
    });
    let Answer::Void(void) = next.last_answer() else {
        panic!("no answer to a lost payload: {:?}", next.answers);
    };
    assert_eq!(void.reason, VoidReason::PayloadLost);
    next.pull(6, 1, true);
    let view = next.table.job(&job().id).unwrap().view();
    assert!(view.done.is_empty() && view.current.is_none());
}

#[test]
fn resigned_daemon() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    let first = desk.generates.remove(0);
    desk.report(first.attempt, (0, 10), 0);
    desk.send(Event::Done {
        attempt: first.attempt,
    });
    desk.send(Event::Resign);
    assert_eq!(desk.kept.len(), 1);
    assert_eq!(desk.cancels, [desk.generates[0].attempt]);
    desk.pull(9, 0, false);
    assert!(
        matches!(desk.last_answer(), Answer::Refused(refusal) if refusal.retry_after.is_some())
    );
    // The next daemon generates only the sample that is missing.
    let mut next = Desk::open_at(desk.table.clone(), job(), "b");
    next.send(Event::Recovered(desk.kept.clone()));
    let missing: Vec<u32> = next
        .generates
        .iter()
        .map(|request| request.sample.index)
        .collect();
    assert_eq!(missing, [1 - first.sample.index]);
}

#[test]
fn second_trainer() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    desk.pull(1, 0, false);
    desk.send(pull(2, "u", 0, false));
    let (ticket, Answer::Refused(refusal)) = desk.answers.last().unwrap() else {
        panic!("the second trainer was not refused: {:?}", desk.answers);
    };
    assert_eq!((*ticket, refusal.code), (Ticket(2), RefusalCode::Conflict));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn stalled_stream() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    let requests = std::mem::take(&mut desk.generates);
    desk.report(requests[0].attempt, (0, 10), 0);
    desk.report(requests[1].attempt, (0, 10), 0);
    desk.tick_to(20_000);
    let second = desk.generates.clone();
    assert_eq!(second.len(), 2);
    assert_eq!(second[0].resume.tokens(), 10);
    assert!(!second[0].avoid.is_empty());
    assert!(
        desk.cancels.is_empty(),
        "the old stream goes before the new one runs"
    );
    desk.report(second[0].attempt, (10, 20), 0);
    assert_eq!(desk.cancels, [requests[0].attempt]);
    // The old copy ends all the same; only the new one counts.
    desk.send(Event::Done {
        attempt: requests[0].attempt,
    });
    desk.send(Event::Done {
        attempt: second[0].attempt,
    });
    assert_eq!(desk.coordinator.counts().finished, 1);
}

#[test]
fn discarded_report() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    let first = desk.generates.remove(0);
    desk.report(first.attempt, (0, 10), 0);
    let gap = (12, 20);
    desk.report(first.attempt, gap, 0);
    assert_eq!(desk.cancels, [first.attempt]);
    let again = desk.generates.last().unwrap();
    assert_eq!(
        (again.sample.clone(), again.resume.tokens()),
        (first.sample, 10)
    );
    assert_eq!(
        desk.coordinator.counts().unattributed.values().sum::<u64>(),
        1
    );
}

#[test]
fn spent_budget() {
    let mut job = job();
    job.token_budget = 250;
    let mut desk = Desk::open(job);
    desk.feed(3);
    desk.pull(1, 0, false);
    assert_eq!(desk.generates.len(), 2);
    for request in std::mem::take(&mut desk.generates) {
        let failure = Failure {
            ran: Ran::Unknown,
            tokens: None,
        };
        let attempt = request.attempt;
        desk.send(Event::Failed { attempt, failure });
    }
    assert!(desk.generates.is_empty(), "{:?}", desk.generates);
    desk.tick_to(6000);
    let Answer::Refused(refusal) = desk.last_answer() else {
        panic!("the trainer was not told: {:?}", desk.answers);
    };
    assert_eq!(refusal.code, RefusalCode::LimitExceeded);
}

#[test]
fn ended_job() {
    let mut desk = Desk::open(job());
    desk.feed(1);
    let running: Vec<AttemptId> = desk
        .generates
        .iter()
        .map(|request| request.attempt)
        .collect();
    let mut ended = job();
    ended.ended = true;
    desk.send(Event::ConfigChanged(ended));
    assert_eq!(desk.cancels, running);
    desk.pull(1, 0, false);
    assert!(matches!(desk.last_answer(), Answer::Refused(_)));
}

fn scored(idempotent: bool) -> Desk {
    let mut job = job();
    job.scorer = Some("scorer".parse().unwrap());
    let mut desk = Desk::open(job);
    desk.send(Event::ScorerChanged(ScorerSettings {
        idempotent,
        ..ScorerSettings::default()
    }));
    desk.feed(1);
    desk.generate_all(0);
    let attempt = desk.scores.remove(0);
    let result = Err(Ran::Unknown);
    desk.send(Event::Scored { attempt, result });
    desk.scores.clear();
    desk.tick_to(1000);
    desk
}

#[test]
fn score_again() {
    let desk = scored(true);
    assert_eq!(desk.scores.len(), 1);
    assert!(desk.generates.is_empty());
}

#[test]
fn score_once() {
    let desk = scored(false);
    assert!(desk.scores.is_empty());
    assert_eq!(desk.generates.len(), 1);
    assert_eq!(desk.coordinator.counts().unscored, 1);
}
