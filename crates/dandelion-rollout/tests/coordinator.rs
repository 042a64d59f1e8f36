//! Tests of single decisions of a coordinator, event by event.

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
use dandelion_protocol::incarnations::SoftwareVersion;
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
use dandelion_rollout::coordinator::ProposalId;
use dandelion_rollout::coordinator::Settings;
use dandelion_rollout::coordinator::Ticket;
use dandelion_rollout::coordinator::action::Generate;
use dandelion_rollout::ledger::LedgerChange;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::payload::Payload;
use dandelion_rollout::scorer::ScorerSettings;

/// One coordinator, its ledger, and the actions that it requested; payloads are stored
/// immediately.
struct Harness {
    now: u64,
    table: LedgerTable,
    coordinator: Coordinator,
    /// Proposals that are not answered yet.
    queue: VecDeque<(ProposalId, LedgerCommand)>,
    generates: Vec<Generate>,
    cancels: Vec<AttemptId>,
    scores: Vec<AttemptId>,
    answers: Vec<(Ticket, Answer)>,
    stored_groups: Vec<Arc<Group>>,
    /// Software version of the engines.
    software: SoftwareVersion,
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

impl Harness {
    fn open(job: Job) -> Self {
        Self::open_at(LedgerTable::default(), job, "a")
    }

    fn open_at(table: LedgerTable, job: Job, name: &str) -> Self {
        let mut actions = Vec::new();
        let incarnation = Incarnation(1);
        let settings = Settings::default();
        let coordinator = Coordinator::open(
            job,
            daemon(name),
            incarnation,
            settings,
            Millis(0),
            &mut actions,
        );
        let mut harness = Self {
            now: 0,
            table,
            coordinator,
            queue: VecDeque::new(),
            generates: Vec::new(),
            cancels: Vec::new(),
            scores: Vec::new(),
            answers: Vec::new(),
            stored_groups: Vec::new(),
            software: SoftwareVersion("s1".to_owned()),
        };
        harness.handle_actions(actions);
        harness.answer_proposals();
        harness.send(Event::Recovered(Vec::new()));
        harness.send(Event::Capacity(8));
        harness
    }

    fn send(&mut self, event: Event) {
        self.send_only(event);
        self.answer_proposals();
    }

    /// Sends an event and leaves its proposals unanswered.
    fn send_only(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.coordinator
            .handle(Millis(self.now), event, &mut actions);
        self.handle_actions(actions);
    }

    fn handle_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Generate(request) => self.generates.push(request),
                Action::CancelAttempt(attempt) => self.cancels.push(attempt),
                Action::Score(call) => self.scores.push(call.attempt),
                Action::Propose { proposal, command } => self.queue.push_back((proposal, command)),
                Action::Reply { ticket, answer } => self.answers.push((ticket, answer)),
                Action::Replicate { blob, payload } => {
                    if let Payload::Group(group) = payload {
                        self.stored_groups.push(group);
                    }
                    let holders = vec![daemon("a"), daemon("b")];
                    self.send_only(Event::Replicated { blob, holders });
                }
                _ => {}
            }
        }
    }

    fn answer_proposals(&mut self) {
        while let Some((proposal, command)) = self.queue.pop_front() {
            self.answer(proposal, command);
        }
    }

    fn answer(&mut self, proposal: ProposalId, command: LedgerCommand) {
        let context = ApplyContext {
            revision: Revision(1),
            at: WallMillis(self.now),
            author: "desk",
        };
        let answer = Ok(self.table.apply(&context, command).unwrap());
        self.send_only(Event::LedgerAnswer { proposal, answer });
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
                software: self.software.clone(),
            },
        });
    }

    /// Ends every requested attempt with ten tokens of a version.
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

fn run_step(harness: &mut Harness, groups: u64) {
    harness.feed(groups);
    harness.pull(1, 0, false);
    harness.generate_all(0);
}

#[test]
fn complete_group() {
    let mut harness = Harness::open(job());
    run_step(&mut harness, 2);
    let Answer::Batch(batch) = harness.last_answer().clone() else {
        panic!("no batch: {:?}", harness.answers);
    };
    assert_eq!((batch.cursor, batch.next, batch.groups.len()), (0, 1, 1));
    harness.pull(2, 0, false);
    assert_eq!(harness.last_answer(), &Answer::Batch(batch));
}

#[test]
fn late_publish() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    harness.pull(1, 0, false);
    let requests = std::mem::take(&mut harness.generates);
    for request in &requests {
        harness.report(request.attempt, (0, 10), 0);
    }
    for request in &requests {
        let attempt = request.attempt;
        harness.send_only(Event::Done { attempt });
    }
    let (proposal, command) = harness
        .queue
        .pop_front()
        .expect("a proposal to freeze the batch");
    assert!(matches!(command.change, LedgerChange::Freeze { .. }));
    // The version arrives after the batch was proposed, and the ledger does not have it yet.
    harness.send_only(Event::Published {
        version: WeightVersion(1),
    });
    harness.answer(proposal, command);
    let Answer::Void(void) = harness.last_answer() else {
        panic!("a stale batch was sent: {:?}", harness.answers);
    };
    assert_eq!(
        (void.reason, void.next, void.samples),
        (VoidReason::Stale, 1, 2)
    );
}

#[test]
fn operator_publish() {
    let mut harness = Harness::open(job());
    harness.send(Event::Published {
        version: WeightVersion(3),
    });
    let ledger = harness.table.job(&job().id).unwrap();
    assert_eq!(ledger.published(), WeightVersion(3));
}

#[test]
fn lower_budget() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    let mut lower = job();
    lower.token_budget = 210;
    harness.send(Event::ConfigChanged(lower));
    // The two running attempts reserve 200 tokens; no third one fits.
    let committed = harness.table.job(&job().id).unwrap().tokens().committed;
    assert_eq!((committed, harness.generates.len()), (200, 2));
    for request in std::mem::take(&mut harness.generates) {
        let failure = Failure {
            ran: Ran::Unknown,
            tokens: None,
        };
        let attempt = request.attempt;
        harness.send(Event::Failed { attempt, failure });
    }
    assert!(harness.generates.is_empty());
}

#[test]
fn lost_payload() {
    let mut harness = Harness::open(job());
    run_step(&mut harness, 2);
    let mut next = Harness::open_at(harness.table.clone(), job(), "b");
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
    let mut harness = Harness::open(job());
    harness.feed(1);
    let first = harness.generates.remove(0);
    harness.report(first.attempt, (0, 10), 0);
    harness.send(Event::Done {
        attempt: first.attempt,
    });
    harness.send(Event::Resign);
    assert_eq!(harness.stored_groups.len(), 1);
    assert_eq!(harness.cancels, [harness.generates[0].attempt]);
    harness.pull(9, 0, false);
    assert!(
        matches!(harness.last_answer(), Answer::Refused(refusal) if refusal.retry_after.is_some())
    );
    // The next daemon generates only the sample that is missing.
    let mut next = Harness::open_at(harness.table.clone(), job(), "b");
    next.send(Event::Recovered(harness.stored_groups.clone()));
    let missing: Vec<u32> = next
        .generates
        .iter()
        .map(|request| request.sample.index)
        .collect();
    assert_eq!(missing, [1 - first.sample.index]);
}

#[test]
fn second_trainer() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    harness.pull(1, 0, false);
    harness.send(pull(2, "u", 0, false));
    let (ticket, Answer::Refused(refusal)) = harness.answers.last().unwrap() else {
        panic!("the second trainer was not refused: {:?}", harness.answers);
    };
    assert_eq!((*ticket, refusal.code), (Ticket(2), RefusalCode::Conflict));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn stalled_stream() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    let requests = std::mem::take(&mut harness.generates);
    harness.report(requests[0].attempt, (0, 10), 0);
    harness.report(requests[1].attempt, (0, 10), 0);
    harness.tick_to(20_000);
    let second = harness.generates.clone();
    assert_eq!(second.len(), 2);
    assert_eq!(second[0].resume.tokens(), 10);
    assert!(!second[0].avoid.is_empty());
    assert!(
        harness.cancels.is_empty(),
        "the first attempt was cancelled before the second reported a token"
    );
    harness.report(second[0].attempt, (10, 20), 0);
    assert_eq!(harness.cancels, [requests[0].attempt]);
    // The cancelled attempt ends as well; only the new one counts.
    harness.send(Event::Done {
        attempt: requests[0].attempt,
    });
    harness.send(Event::Done {
        attempt: second[0].attempt,
    });
    assert_eq!(harness.coordinator.counts().finished, 1);
}

#[test]
fn discarded_report() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    let first = harness.generates.remove(0);
    harness.report(first.attempt, (0, 10), 0);
    let gap = (12, 20);
    harness.report(first.attempt, gap, 0);
    assert_eq!(harness.cancels, [first.attempt]);
    let again = harness.generates.last().unwrap();
    assert_eq!(
        (again.sample.clone(), again.resume.tokens()),
        (first.sample, 10)
    );
    assert_eq!(
        harness
            .coordinator
            .counts()
            .unattributed
            .values()
            .sum::<u64>(),
        1
    );
}

#[test]
fn continued_by_other_software() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    let first = harness.generates.remove(0);
    harness.report(first.attempt, (0, 10), 0);
    harness.report(first.attempt, (12, 20), 0);
    let resumed = harness.generates.pop().unwrap();
    assert_eq!(resumed.resume.software, harness.software);
    harness.software = SoftwareVersion("s2".to_owned());
    harness.report(resumed.attempt, (10, 20), 0);
    let anew = harness.generates.last().unwrap();
    assert_eq!(
        (anew.sample.clone(), anew.resume.tokens()),
        (first.sample, 0)
    );
}

#[test]
fn spent_budget() {
    let mut job = job();
    job.token_budget = 250;
    let mut harness = Harness::open(job);
    harness.feed(3);
    harness.pull(1, 0, false);
    assert_eq!(harness.generates.len(), 2);
    for request in std::mem::take(&mut harness.generates) {
        let failure = Failure {
            ran: Ran::Unknown,
            tokens: None,
        };
        let attempt = request.attempt;
        harness.send(Event::Failed { attempt, failure });
    }
    assert!(harness.generates.is_empty(), "{:?}", harness.generates);
    harness.tick_to(6000);
    let Answer::Refused(refusal) = harness.last_answer() else {
        panic!("the trainer was not refused: {:?}", harness.answers);
    };
    assert_eq!(refusal.code, RefusalCode::LimitExceeded);
}

#[test]
fn ended_job() {
    let mut harness = Harness::open(job());
    harness.feed(1);
    let running: Vec<AttemptId> = harness
        .generates
        .iter()
        .map(|request| request.attempt)
        .collect();
    let mut ended = job();
    ended.ended = true;
    harness.send(Event::ConfigChanged(ended));
    assert_eq!(harness.cancels, running);
    harness.pull(1, 0, false);
    assert!(matches!(harness.last_answer(), Answer::Refused(_)));
}

fn fail_score(idempotent: bool) -> Harness {
    let mut job = job();
    job.scorer = Some("scorer".parse().unwrap());
    let mut harness = Harness::open(job);
    harness.send(Event::ScorerChanged(ScorerSettings {
        idempotent,
        ..ScorerSettings::default()
    }));
    harness.feed(1);
    harness.generate_all(0);
    let attempt = harness.scores.remove(0);
    let result = Err(Ran::Unknown);
    harness.send(Event::Scored { attempt, result });
    harness.scores.clear();
    harness.tick_to(1000);
    harness
}

#[test]
fn retried_score() {
    let harness = fail_score(true);
    assert_eq!(harness.scores.len(), 1);
    assert!(harness.generates.is_empty());
}

#[test]
fn discarded_score() {
    let harness = fail_score(false);
    assert!(harness.scores.is_empty());
    assert_eq!(harness.generates.len(), 1);
    assert_eq!(harness.coordinator.counts().unscored, 1);
}
