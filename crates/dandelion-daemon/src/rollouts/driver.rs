//! Drives the coordinator of one job: passes it events and executes its actions.

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

use crate::control::CommandError;
use crate::core::Handle;
use crate::rollouts::generate;
use crate::rollouts::payloads;
use crate::rollouts::score;

/// Time from the resignation of a coordinator until it is dropped.
const RESIGN_TIME: Millis = Millis::from_secs(2);

/// Interval between two attempts to publish a version in the configuration.
const PUBLISH_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct State {
    coordinator: Option<Coordinator>,
    /// Trainers' requests that wait for an answer.
    tickets: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    /// Attempts in progress, with the trigger that cancels them.
    attempts: BTreeMap<AttemptId, Trigger>,
    job: Option<Job>,
    /// When the coordinator was asked to resign, on the boot-time clock.
    resigned: Option<Millis>,
}

/// A rollout job that this daemon coordinates.
#[derive(Debug)]
pub struct Driver {
    id: JobId,
    service: ServiceId,
    state: Mutex<State>,
}

impl Driver {
    /// Creates the driver of `job`; [`Driver::start`] opens its coordinator.
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

    /// Returns the job as last configured; none before the start.
    pub fn job(&self) -> Option<Job> {
        self.lock().job.clone()
    }

    /// Returns the coordinator's counters; zero before the start.
    pub fn counts(&self) -> RolloutCounts {
        let state = self.lock();
        let counts = state.coordinator.as_ref().map(|c| c.counts().clone());
        counts.unwrap_or_default()
    }

    /// Opens the coordinator, which proposes to the ledger that this daemon takes over the job.
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
        self.execute_all(core, actions);
    }

    /// Makes the coordinator resign, at the first call; returns whether [`RESIGN_TIME`] has passed
    /// since then.
    pub fn resign(&self, core: &Handle) -> bool {
        let now = clock::boot_now();
        let since = *self.lock().resigned.get_or_insert(now);
        if since == now {
            self.handle(core, Event::Resign);
        }
        now.since(since) >= RESIGN_TIME
    }

    /// Passes one event to the coordinator and executes the resulting actions.
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
        self.execute_all(core, actions);
    }

    /// Passes a trainer's request to the coordinator and waits for its answer; none if the
    /// coordinator is dropped first.
    pub async fn request<F>(&self, core: &Handle, make_event: F) -> Option<Answer>
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
        self.handle(core, make_event(ticket));
        let answer = receiver.await.ok();
        drop(guard);
        answer
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&self, attempt: AttemptId) {
        self.lock().attempts.remove(&attempt);
    }

    fn begin_attempt(&self, attempt: AttemptId) -> Signal {
        let (trigger, signal) = Signal::new();
        self.lock().attempts.insert(attempt, trigger);
        signal
    }

    fn execute_all(&self, core: &Handle, actions: Vec<Action>) {
        for action in actions {
            self.execute(core, action);
        }
    }

    fn execute(&self, core: &Handle, action: Action) {
        match action {
            Action::Generate(generation) => {
                let cancelled = self.begin_attempt(generation.attempt);
                task::spawn(generate::run(
                    core.clone(),
                    self.id.clone(),
                    generation,
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
            // A trainer whose connection is closed pulls the same cursor again.
            let _gone = sender.send(answer);
        }
    }
}

/// Notifies the coordinator if a trainer's request is dropped before its answer.
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
        Err(CommandError::Unanswered(error)) => Err(error),
        Err(CommandError::Rejected(_) | CommandError::Codec(_)) => Err(ProposeError::Unknown),
    };
    if let Some(driver) = core.rollouts.driver(&job) {
        driver.handle(&core, Event::LedgerAnswer { proposal, answer });
    }
}

/// Publishes a version in the configuration; retries until the configuration has it or the driver
/// is removed.
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
