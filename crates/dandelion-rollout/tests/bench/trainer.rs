//! A stand-in trainer: pulls, trains, publishes, moves on; restarts from its cursor.

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

use crate::bench::simulation::Happening;
use crate::bench::simulation::World;

/// What a trainer does next.
#[derive(Debug, Clone)]
pub enum Doing {
    /// It waits for the answer to its pull with this ticket.
    Pulling(u64),
    /// It trains on a batch.
    Training(Arc<Batch>),
    /// It waits for the answer to its publication.
    Publishing(u64),
    /// It pauses before it pulls again.
    Pausing,
}

/// A trainer process and what it would keep in a checkpoint.
#[derive(Debug)]
pub struct Trainer {
    pub life: u32,
    pub cursor: u64,
    pub skipped: bool,
    pub held: Option<u64>,
    pub doing: Doing,
    pub version: u64,
    /// When it began to wait.
    pub waits: Option<u64>,
    pub idle: u64,
    pub steps: u64,
}

impl Trainer {
    pub fn new() -> Self {
        Self {
            life: 1,
            cursor: 0,
            skipped: false,
            held: None,
            doing: Doing::Pausing,
            version: 0,
            waits: None,
            idle: 0,
            steps: 0,
        }
    }

    pub fn name(&self) -> String {
        format!("trainer-{}", self.life)
    }
}

impl World {
    /// Returns the newest version that anybody published.
    pub fn newest(&self) -> u64 {
        let ledger = self.table.job(&self.plan.job.id);
        let published = ledger.map_or(0, |job| job.published().0);
        published.max(self.trainer.version)
    }

    pub fn feed(&mut self) {
        if self.feeding.is_some() {
            return;
        }
        let (first, count) = match self.refeed {
            Some(again) => again,
            None if self.fed < self.plan.groups => {
                (self.fed, self.plan.feed.min(self.plan.groups - self.fed))
            }
            None => return,
        };
        let prompts = (first..first + count).map(|group| format!("prompt {group}"));
        let request = FeedRequest {
            first,
            prompts: prompts.collect(),
        };
        let ticket = self.new_ticket();
        self.feeding = Some(ticket);
        self.after(6000, Happening::GaveUp(ticket));
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
                self.after(1, Happening::Feed);
            }
            _ => self.after(1000, Happening::Feed),
        }
    }

    pub fn pull(&mut self, life: u32) {
        if life != self.trainer.life || !matches!(self.trainer.doing, Doing::Pausing) {
            return;
        }
        self.trainer.waits.get_or_insert(self.now);
        let ticket = self.new_ticket();
        self.trainer.doing = Doing::Pulling(ticket);
        self.after(8000, Happening::GaveUp(ticket));
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

    /// Lets a second trainer process pull from the same checkpoint as the first one.
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
        } else if matches!(self.trainer.doing, Doing::Pulling(mine) if mine == ticket) {
            self.on_pulled(answer);
        } else if matches!(self.trainer.doing, Doing::Publishing(mine) if mine == ticket) {
            self.on_published(&answer);
        }
    }

    fn on_intruded(&mut self, answer: &Answer) {
        let ledger = self.table.job(&self.plan.job.id);
        let holder = ledger.and_then(|job| job.holder(WallMillis(self.now)));
        let owns = holder.is_some_and(|holder| holder.0 == "intruder");
        if matches!(answer, Answer::Batch(_)) && !owns {
            self.checks.shared += 1;
        }
    }

    fn on_pulled(&mut self, answer: Answer) {
        self.trainer.doing = Doing::Pausing;
        let life = self.trainer.life;
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
                self.after(1, Happening::Feed);
            }
            _ => {}
        }
        self.after(250, Happening::Pull(life));
    }

    fn start_training(&mut self, batch: Arc<Batch>) {
        let waited = self
            .trainer
            .waits
            .take()
            .map_or(0, |since| self.now - since);
        self.trainer.idle += waited;
        let (life, cursor) = (self.trainer.life, batch.cursor);
        let groups = batch.groups.len() as u64;
        let span = self.plan.train * groups / u64::from(self.plan.job.step_groups);
        self.trainer.doing = Doing::Training(batch);
        self.after(span.max(1), Happening::Trained(life, cursor));
        self.after(self.plan.settings.lease.0 / 3, Happening::Renew(life));
        let faults = self.faults();
        if self.roll(faults.trainer_restart) {
            self.trainer.life += 1;
            self.trainer.doing = Doing::Pausing;
            let life = self.trainer.life;
            self.after(500, Happening::Pull(life));
        }
    }

    pub fn on_trained(&mut self, life: u32, cursor: u64) {
        let Doing::Training(batch) = self.trainer.doing.clone() else {
            return;
        };
        if life != self.trainer.life || batch.cursor != cursor {
            return;
        }
        self.checks
            .took(&batch, WeightVersion(self.trainer.version));
        self.trainer.steps += 1;
        self.trainer.cursor = batch.next;
        self.trainer.held = Some(batch.digest);
        self.trainer.skipped = false;
        let version = self.newest() + 1;
        self.trainer.waits = Some(self.now);
        self.publish_as_trainer(version);
    }

    fn publish_as_trainer(&mut self, version: u64) {
        let ticket = self.new_ticket();
        self.trainer.doing = Doing::Publishing(ticket);
        self.after(3000, Happening::GaveUp(ticket));
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
        let life = self.trainer.life;
        if let Answer::Published(version) = answer {
            let own = self.newest().max(version.0);
            self.trainer.version = if version.0 == 0 { own + 1 } else { version.0 };
            self.trainer.doing = Doing::Pausing;
            self.after(1, Happening::Pull(life));
        } else {
            // Refused while the daemon in charge changes; `on_gave_up` publishes again.
            let ticket = self.new_ticket();
            self.trainer.doing = Doing::Publishing(ticket);
            self.after(300, Happening::GaveUp(ticket));
        }
    }

    pub fn renew(&mut self, life: u32) {
        if life != self.trainer.life || !matches!(self.trainer.doing, Doing::Training(_)) {
            return;
        }
        self.after(self.plan.settings.lease.0 / 3, Happening::Renew(life));
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

    /// The client's own timeout: the answer was lost.
    pub fn on_gave_up(&mut self, ticket: u64) {
        if self.feeding == Some(ticket) {
            self.feeding = None;
            self.feed();
        }
        match self.trainer.doing {
            Doing::Pulling(mine) if mine == ticket => {
                self.trainer.doing = Doing::Pausing;
                self.pull(self.trainer.life);
            }
            Doing::Publishing(mine) if mine == ticket => {
                let version = self.newest().max(self.trainer.version + 1);
                self.publish_as_trainer(version);
            }
            _ => {}
        }
    }
}
