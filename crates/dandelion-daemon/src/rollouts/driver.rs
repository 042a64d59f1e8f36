//! Feeds one coordinator and carries out its actions.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::task;
use dandelion_control::tables::ConfigTable;
use dandelion_kernel::Machine;
use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_net::clock;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Job;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;
use dandelion_rollout::coordinator::Action;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::AttemptId;
use dandelion_rollout::coordinator::Coordinator;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::ProposalId;
use dandelion_rollout::coordinator::RolloutCounts;
use dandelion_rollout::coordinator::Settings;
use dandelion_rollout::coordinator::Ticket;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::ledger::LedgerTable;
use futures::channel::oneshot;

use crate::control::Failed;
use crate::core::Handle;
use crate::rollouts::generate;
use crate::rollouts::payloads;
use crate::rollouts::score;

/// Time for which a coordinator that has resigned is kept.
const RESIGN_TIME: Millis = Millis::from_secs(2);

/// Time between two attempts to publish a version in the configuration.
const PUBLISH_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    coordinator: Option<Coordinator>,
    tickets: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    attempts: BTreeMap<AttemptId, Trigger>,
    job: Option<Job>,
    resigned: Option<Millis>,
}

/// One job under way on this daemon.
#[derive(Debug)]
pub struct Driver {
    id: JobId,
    service: ServiceId,
    state: Mutex<State>,
}

impl Driver {
    /// Makes the driver of `job`; [`Driver::start`] opens its coordinator.
    pub fn open(job: &Job) -> Self {
        Self {
            id: job.id.clone(),
            service: job.service.clone(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Returns the service whose engines generate the samples.
    pub fn service(&self) -> ServiceId {
        self.service.clone()
    }

    /// Returns the job as last configured.
    pub fn job(&self) -> Option<Job> {
        self.lock().job.clone()
    }

    /// Returns the coordinator's counts.
    pub fn counts(&self) -> RolloutCounts {
        let state = self.lock();
        let counts = state.coordinator.as_ref().map(|c| c.counts().clone());
        counts.unwrap_or_default()
    }

    /// Opens the coordinator, which asks the ledger to put it in charge.
    pub fn start(&self, core: &Handle, job: Job) {
        let mut actions = Vec::new();
        let coordinator = Coordinator::open(
            job.clone(),
            core.identity.daemon.clone(),
            core.identity.incarnation,
            Settings::default(),
            clock::boot_now(),
            &mut actions,
        );
        {
            let mut state = self.lock();
            state.coordinator = Some(coordinator);
            state.job = Some(job);
        }
        self.carry_out(core, actions);
    }

    /// Hands the job over; returns whether the time for that is over.
    pub fn resign(&self, core: &Handle) -> bool {
        let now = clock::boot_now();
        let since = *self.lock().resigned.get_or_insert(now);
        if since == now {
            self.handle(core, Event::Resign);
        }
        now.since(since) >= RESIGN_TIME
    }

    /// Feeds one event.
    pub fn handle(&self, core: &Handle, event: Event) {
        let mut actions = Vec::new();
        {
            let mut state = self.lock();
            if let Event::ConfigChanged(job) = &event {
                state.job = Some(job.clone());
            }
            if let Some(coordinator) = &mut state.coordinator {
                coordinator.handle(clock::boot_now(), event, &mut actions);
            }
        }
        self.carry_out(core, actions);
    }

    /// Feeds a trainer's request and waits for its answer.
    pub async fn ask<F>(&self, core: &Handle, make: F) -> Option<Answer>
    where
        F: FnOnce(Ticket) -> Event,
    {
        let ticket = Ticket(core.next_number());
        let (sender, receiver) = oneshot::channel();
        self.lock().tickets.insert(ticket, sender);
        let guard = TicketGuard {
            driver: self,
            core,
            ticket,
        };
        self.handle(core, make(ticket));
        let answer = receiver.await.ok();
        drop(guard);
        answer
    }

    /// Forgets an attempt that has ended.
    pub fn end_attempt(&self, attempt: AttemptId) {
        self.lock().attempts.remove(&attempt);
    }

    fn begin_attempt(&self, attempt: AttemptId) -> Signal {
        let (trigger, signal) = Signal::new();
        self.lock().attempts.insert(attempt, trigger);
        signal
    }

    fn carry_out(&self, core: &Handle, actions: Vec<Action>) {
        for action in actions {
            self.act(core, action);
        }
    }

    fn act(&self, core: &Handle, action: Action) {
        match action {
            Action::Generate(order) => {
                let cancelled = self.begin_attempt(order.attempt);
                task::spawn(generate::run(
                    core.clone(),
                    self.id.clone(),
                    order,
                    cancelled,
                ));
            }
            Action::CancelAttempt(attempt) => {
                if let Some(trigger) = self.lock().attempts.get(&attempt) {
                    trigger.raise();
                }
            }
            Action::Score(call) => {
                task::spawn(score::run(core.clone(), self.id.clone(), call));
            }
            Action::Propose { proposal, command } => {
                task::spawn(propose(core.clone(), self.id.clone(), proposal, command));
            }
            Action::PublishConfig(version) => {
                task::spawn(publish(core.clone(), self.id.clone(), version));
            }
            Action::Reply { ticket, answer } => self.reply(ticket, answer),
            Action::Replicate { blob, payload } => {
                let job = self.id.clone();
                task::spawn(payloads::replicate(core.clone(), job, blob, payload));
            }
            Action::Fetch { blob, holders } => {
                task::spawn(payloads::fetch(
                    core.clone(),
                    self.id.clone(),
                    blob,
                    holders,
                ));
            }
            Action::Recover => {
                task::spawn(payloads::recover(core.clone(), self.id.clone()));
            }
            Action::ReleaseGroups(first) => {
                task::spawn(payloads::release_groups(
                    core.clone(),
                    self.id.clone(),
                    first,
                ));
            }
            Action::Release { blob, holders } => {
                task::spawn(payloads::release(
                    core.clone(),
                    self.id.clone(),
                    blob,
                    holders,
                ));
            }
            Action::StepDown => core.rollouts.step_down(&self.id),
        }
    }

    fn reply(&self, ticket: Ticket, answer: Answer) {
        if let Some(sender) = self.lock().tickets.remove(&ticket) {
            // A trainer that has gone pulls the same cursor again.
            let _gone = sender.send(answer);
        }
    }
}

/// Tells the coordinator when a trainer's connection is gone.
struct TicketGuard<'a> {
    driver: &'a Driver,
    core: &'a Handle,
    ticket: Ticket,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let open = self.driver.lock().tickets.remove(&self.ticket).is_some();
        if open {
            let ticket = self.ticket;
            self.driver
                .handle(self.core, Event::TicketClosed { ticket });
        }
    }
}

async fn propose(core: Handle, job: JobId, proposal: ProposalId, command: LedgerCommand) {
    let answer = match core.propose_own::<LedgerTable>(&command).await {
        Ok(applied) => Ok(applied.reply),
        Err(Failed::Unanswered(error)) => Err(error),
        Err(Failed::Rejected(_) | Failed::Codec(_)) => Err(ProposeError::Unknown),
    };
    if let Some(driver) = core.rollouts.driver(&job) {
        driver.handle(&core, Event::LedgerAnswer { proposal, answer });
    }
}

/// Publishes a version in the configuration until it shows there.
async fn publish(core: Handle, job: JobId, version: WeightVersion) {
    let is_open = || {
        let view = core.control.view();
        view.config.versions.get(&job).is_none_or(|v| *v < version)
    };
    while is_open() && core.rollouts.driver(&job).is_some() {
        let command = ConfigCommand::PublishVersion(job.clone(), version);
        if let Err(error) = core.propose_own::<ConfigTable>(&command).await {
            log::debug!("version {version} is not in the configuration yet: {error}");
        }
        task::sleep(PUBLISH_PERIOD).await;
    }
}
