//! A simulated trainer: pulls, trains, publishes; restarts from its cursor.

use std::sync::Arc;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::FeedRequest;
use dandelion_protocol::rollout::PullRequest;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::Ticket;

use crate::bench::simulation::SimEvent;
use crate::bench::simulation::Simulation;

/// State of a trainer.
#[derive(Debug, Clone)]
pub enum TrainerState {
    /// It waits for the answer to its pull with this ticket.
    Pulling(u64),
    /// It trains on a batch.
    Training(Arc<Batch>),
    /// It waits for the answer to its publication.
    Publishing(u64),
    /// It pauses before it pulls again.
    Pausing,
}

/// A trainer process and the state that it would store in a checkpoint.
#[derive(Debug)]
pub struct Trainer {
    pub incarnation: u32,
    pub cursor: u64,
    pub skipped: bool,
    pub held: Option<u64>,
    pub state: TrainerState,
    pub version: u64,
    /// Time since which it waits for a batch.
    pub waiting_since: Option<u64>,
    /// Milliseconds spent waiting.
    pub idle: u64,
    pub steps: u64,
}

impl Trainer {
    pub fn new() -> Self {
        Self {
            incarnation: 1,
            cursor: 0,
            skipped: false,
            held: None,
            state: TrainerState::Pausing,
            version: 0,
            waiting_since: None,
            idle: 0,
            steps: 0,
        }
    }

    pub fn name(&self) -> String {
        format!("trainer-{}", self.incarnation)
    }
}

impl Simulation {
    /// Returns the newest version that the trainer or an operator has published.
    pub fn newest(&self) -> u64 {
        let ledger = self.table.job(&self.scenario.job.id);
        let published = ledger.map_or(0, |job| job.published().0);
        published.max(self.trainer.version)
    }

    pub fn feed(&mut self) {
        if self.feeding.is_some() {
            return;
        }
        let (first, count) = match self.refeed {
            Some(again) => again,
            None if self.fed < self.scenario.groups => (
                self.fed,
                self.scenario.feed.min(self.scenario.groups - self.fed),
            ),
            None => return,
        };
        let prompts = (first..first + count).map(|group| format!("prompt {group}"));
        let request = FeedRequest {
            first,
            prompts: prompts.collect(),
        };
        let ticket = self.new_ticket();
        self.feeding = Some(ticket);
        self.after(6000, SimEvent::Timeout(ticket));
        if let Some(leader) = self.any_leader() {
            let ticket = Ticket(ticket);
            self.send_later(2, leader, Event::Prompts { ticket, request });
        }
    }

    fn on_fed(&mut self, answer: &Answer) {
        self.feeding = None;
        match answer {
            Answer::Fed(fed) => {
                self.fed = *fed;
                self.refeed = None;
                self.after(1, SimEvent::Feed);
            }
            _ => self.after(1000, SimEvent::Feed),
        }
    }

    pub fn pull(&mut self, incarnation: u32) {
        if incarnation != self.trainer.incarnation
            || !matches!(self.trainer.state, TrainerState::Pausing)
        {
            return;
        }
        self.trainer.waiting_since.get_or_insert(self.now);
        let ticket = self.new_ticket();
        self.trainer.state = TrainerState::Pulling(ticket);
        self.after(8000, SimEvent::Timeout(ticket));
        let request = PullRequest {
            trainer: TrainerId(self.trainer.name()),
            cursor: self.trainer.cursor,
            held: self.trainer.held,
            skipped: self.trainer.skipped,
            wait: Millis(5000),
        };
        self.send_pull(ticket, request);
    }

    fn send_pull(&mut self, ticket: u64, request: PullRequest) {
        if let Some(leader) = self.any_leader() {
            let ticket = Ticket(ticket);
            self.send_later(2, leader, Event::Pull { ticket, request });
        }
    }

    /// Lets a second trainer process pull the same cursor as the first one.
    pub fn intrude(&mut self) {
        let ticket = self.new_ticket();
        self.intruder = ticket;
        let request = PullRequest {
            trainer: TrainerId("intruder".to_owned()),
            cursor: self.trainer.cursor,
            held: None,
            skipped: self.trainer.skipped,
            wait: Millis(1000),
        };
        self.send_pull(ticket, request);
    }

    pub fn on_answer(&mut self, ticket: u64, answer: Answer) {
        if ticket == self.intruder {
            self.on_intruded(&answer);
        } else if self.feeding == Some(ticket) {
            self.on_fed(&answer);
        } else if matches!(self.trainer.state, TrainerState::Pulling(mine) if mine == ticket) {
            self.on_pulled(answer);
        } else if matches!(self.trainer.state, TrainerState::Publishing(mine) if mine == ticket) {
            self.on_published(&answer);
        }
    }

    fn on_intruded(&mut self, answer: &Answer) {
        let ledger = self.table.job(&self.scenario.job.id);
        let holder = ledger.and_then(|job| job.holder(WallMillis(self.now)));
        let owns = holder.is_some_and(|holder| holder.0 == "intruder");
        if matches!(answer, Answer::Batch(_)) && !owns {
            self.checks.shared += 1;
        }
    }

    fn on_pulled(&mut self, answer: Answer) {
        self.trainer.state = TrainerState::Pausing;
        let incarnation = self.trainer.incarnation;
        match answer {
            Answer::Batch(batch) => {
                self.start_training(batch);
                return;
            }
            Answer::Void(void) => {
                self.trainer.cursor = void.next;
                self.trainer.skipped = true;
                self.trainer.held = None;
            }
            Answer::FeedAgain { first, count } => {
                self.refeed = Some((first, count));
                self.after(1, SimEvent::Feed);
            }
            _ => {}
        }
        self.after(250, SimEvent::Pull(incarnation));
    }

    fn start_training(&mut self, batch: Arc<Batch>) {
        let waited = self
            .trainer
            .waiting_since
            .take()
            .map_or(0, |since| self.now - since);
        self.trainer.idle += waited;
        let (incarnation, cursor) = (self.trainer.incarnation, batch.cursor);
        let groups = batch.groups.len() as u64;
        let span = self.scenario.train_ms * groups / u64::from(self.scenario.job.step_groups);
        self.trainer.state = TrainerState::Training(batch);
        self.after(span.max(1), SimEvent::Trained(incarnation, cursor));
        self.after(
            self.scenario.settings.lease.0 / 3,
            SimEvent::Renew(incarnation),
        );
        let faults = self.faults();
        if self.roll(faults.trainer_restart) {
            self.trainer.incarnation += 1;
            self.trainer.state = TrainerState::Pausing;
            let incarnation = self.trainer.incarnation;
            self.after(500, SimEvent::Pull(incarnation));
        }
    }

    pub fn on_trained(&mut self, incarnation: u32, cursor: u64) {
        let TrainerState::Training(batch) = self.trainer.state.clone() else {
            return;
        };
        if incarnation != self.trainer.incarnation || batch.cursor != cursor {
            return;
        }
        self.checks
            .record_received(&batch, WeightVersion(self.trainer.version));
        self.trainer.steps += 1;
        self.trainer.cursor = batch.next;
        self.trainer.held = Some(batch.digest);
        self.trainer.skipped = false;
        let version = self.newest() + 1;
        self.trainer.waiting_since = Some(self.now);
        self.publish_as_trainer(version);
    }

    fn publish_as_trainer(&mut self, version: u64) {
        let ticket = self.new_ticket();
        self.trainer.state = TrainerState::Publishing(ticket);
        self.after(3000, SimEvent::Timeout(ticket));
        self.send_publish(ticket, version);
    }

    fn send_publish(&mut self, ticket: u64, version: u64) {
        if let Some(leader) = self.any_leader() {
            let (ticket, version) = (Ticket(ticket), WeightVersion(version));
            self.send_later(2, leader, Event::Publish { ticket, version });
        }
    }

    pub fn publish(&mut self, version: u64) {
        let ticket = self.new_ticket();
        self.send_publish(ticket, version);
    }

    fn on_published(&mut self, answer: &Answer) {
        let incarnation = self.trainer.incarnation;
        if let Answer::Published(version) = answer {
            let own = self.newest().max(version.0);
            self.trainer.version = if version.0 == 0 { own + 1 } else { version.0 };
            self.trainer.state = TrainerState::Pausing;
            self.after(1, SimEvent::Pull(incarnation));
        } else {
            // Refused while the coordinator changes; `on_timeout` publishes again.
            let ticket = self.new_ticket();
            self.trainer.state = TrainerState::Publishing(ticket);
            self.after(300, SimEvent::Timeout(ticket));
        }
    }

    pub fn renew(&mut self, incarnation: u32) {
        if incarnation != self.trainer.incarnation
            || !matches!(self.trainer.state, TrainerState::Training(_))
        {
            return;
        }
        self.after(
            self.scenario.settings.lease.0 / 3,
            SimEvent::Renew(incarnation),
        );
        let ticket = Ticket(self.new_ticket());
        let trainer = TrainerId(self.trainer.name());
        if let Some(leader) = self.any_leader() {
            let release = false;
            self.send_later(
                2,
                leader,
                Event::Renew {
                    ticket,
                    trainer,
                    release,
                },
            );
        }
    }

    /// Handles the client's own timeout, after which the request is sent again.
    pub fn on_timeout(&mut self, ticket: u64) {
        if self.feeding == Some(ticket) {
            self.feeding = None;
            self.feed();
        }
        match self.trainer.state {
            TrainerState::Pulling(mine) if mine == ticket => {
                self.trainer.state = TrainerState::Pausing;
                self.pull(self.trainer.incarnation);
            }
            TrainerState::Publishing(mine) if mine == ticket => {
                let version = self.newest().max(self.trainer.version + 1);
                self.publish_as_trainer(version);
            }
            _ => {}
        }
    }
}
