//! Carries out the actions of the coordinators, with the faults of the run.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::WallMillis;
use dandelion_rollout::LedgerTable;
use dandelion_rollout::coordinator::Action;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::AttemptId;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::Failure;
use dandelion_rollout::coordinator::ProposalId;
use dandelion_rollout::coordinator::action::Generate;
use dandelion_rollout::ledger::JobLedger;
use dandelion_rollout::ledger::LedgerChange;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::payload::BlobId;
use dandelion_rollout::payload::Payload;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::bench::engine::REPORT_TOKENS;
use crate::bench::engine::Stream;
use crate::bench::faults::Mutation;
use crate::bench::simulation::SimEvent;
use crate::bench::simulation::Simulation;

impl Simulation {
    pub fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_one(index, action);
        }
    }

    fn carry_out_one(&mut self, index: usize, action: Action) {
        match action {
            Action::Generate(request) => self.generate(index, &request),
            Action::CancelAttempt(attempt) => self.cancel(index, attempt),
            Action::Score(call) => {
                let faults = self.faults();
                let result = if self.roll(faults.score_failed) {
                    Err(Ran::Unknown)
                } else {
                    Ok(call.text.len() as f64)
                };
                let attempt = call.attempt;
                self.send_later(20, index, Event::Scored { attempt, result });
            }
            Action::Propose { proposal, command } => self.propose(index, proposal, command),
            Action::PublishConfig(version) => self.publish_config(version),
            Action::Reply { ticket, answer } => self.reply(ticket.0, answer),
            Action::Replicate { blob, payload } => self.replicate(index, blob, &payload),
            Action::Fetch { blob, holders } => {
                let mut found = self.hosts.iter().filter(|host| holders.contains(&host.id));
                let job = &self.scenario.job.id;
                let payload = found.find_map(|host| host.store.get(job, blob).cloned());
                self.send_later(4, index, Event::Fetched { blob, payload });
            }
            Action::Release { blob, holders } => {
                for host in self
                    .hosts
                    .iter_mut()
                    .filter(|host| holders.contains(&host.id))
                {
                    host.store.release(&self.scenario.job.id, blob);
                }
            }
            Action::Recover => {
                let job = &self.scenario.job.id;
                let stored = self.hosts.iter().flat_map(|host| host.store.groups(job));
                let groups = stored.collect();
                self.send_later(10, index, Event::Recovered(groups));
            }
            Action::ReleaseGroups(first) => {
                for host in &mut self.hosts {
                    host.store.release_groups(&self.scenario.job.id, first);
                }
            }
            Action::StepDown => self.drop_coordinator(index),
        }
    }

    fn replicate(&mut self, index: usize, blob: BlobId, payload: &Payload) {
        let faults = self.faults();
        let mut holders = vec![index];
        if !self.roll(faults.single_holder) {
            holders.push((index + 1) % self.hosts.len());
        }
        let job = self.scenario.job.id.clone();
        for holder in &holders {
            let store = &mut self.hosts[*holder].store;
            store
                .put(job.clone(), blob, payload.clone())
                .expect("the store has free space");
        }
        let holders = holders
            .iter()
            .map(|holder| self.hosts[*holder].id.clone())
            .collect();
        self.send_later(5, index, Event::Replicated { blob, holders });
    }

    fn propose(&mut self, index: usize, proposal: ProposalId, command: LedgerCommand) {
        let incarnation = self.hosts[index].incarnation;
        let faults = self.faults();
        if self.roll(faults.ledger_late) {
            let wait = self.rng.random_range(20..10_000);
            let copy = Box::new(command.clone());
            self.after(
                wait,
                SimEvent::Apply(index, incarnation, proposal, copy, false),
            );
        }
        let answers = !self.roll(faults.ledger_lost);
        self.after(
            4,
            SimEvent::Apply(index, incarnation, proposal, Box::new(command), answers),
        );
    }

    pub fn apply(
        &mut self,
        index: usize,
        incarnation: u64,
        proposal: ProposalId,
        mut command: LedgerCommand,
        answers: bool,
    ) {
        self.log_entries += 1;
        self.log_bytes += self.proposal_bytes(index, &command);
        self.mutate(&mut command.change);
        let context = ApplyContext {
            revision: Revision(self.log_entries),
            at: WallMillis(self.now),
            author: "bench",
        };
        let grants = matches!(
            command.change,
            LedgerChange::Pull { .. } | LedgerChange::Freeze { .. }
        );
        let drops = match self.scenario.mutation {
            Some(Mutation::DropReserve) => matches!(command.change, LedgerChange::Reserve { .. }),
            Some(Mutation::DropFreeze) => matches!(command.change, LedgerChange::Freeze { .. }),
            _ => false,
        };
        let backup = drops.then(|| self.table.clone());
        let result = self.table.apply(&context, command).unwrap();
        if let Some(backup) = backup {
            self.table = backup;
        }
        if grants && result.is_ok() {
            let job = self.table.job(&self.scenario.job.id);
            self.granted_version = job.map_or(self.granted_version, JobLedger::published);
        }
        let answer = if answers {
            Ok(result)
        } else {
            Err(ProposeError::Unknown)
        };
        if self.hosts[index].incarnation == incarnation {
            self.send_later(4, index, Event::LedgerAnswer { proposal, answer });
        }
    }

    /// Returns the size of the log entry of a command.
    fn proposal_bytes(&self, index: usize, command: &LedgerCommand) -> u64 {
        let entry = Proposal {
            id: RequestId(u128::MAX),
            author: self.hosts[index].id.to_string(),
            at: WallMillis(1 << 40),
            expected: None,
            table: LedgerTable::NAME.to_owned(),
            command: codec::encode(command).unwrap(),
        };
        codec::encode(&entry).unwrap().len() as u64
    }

    fn mutate(&self, change: &mut LedgerChange) {
        match (self.scenario.mutation, change) {
            (Some(Mutation::AckSkipped), LedgerChange::Pull { skipped, .. }) => *skipped = false,
            (Some(Mutation::ForgetAcks), LedgerChange::Pull { skipped, .. }) => *skipped = true,
            (
                Some(Mutation::SameTrainer),
                LedgerChange::Pull { trainer, .. } | LedgerChange::Freeze { trainer, .. },
            ) => "anyone".clone_into(&mut trainer.0),
            (Some(Mutation::DropPublish), LedgerChange::Publish { version }) => {
                *version = WeightVersion(0);
            }
            _ => {}
        }
    }

    fn reply(&mut self, ticket: u64, answer: Answer) {
        if let Answer::Batch(batch) = &answer {
            let published = self
                .granted_version
                .max(WeightVersion(self.trainer.version));
            self.checks
                .check_sent(batch, published, self.scenario.job.max_staleness);
        }
        let faults = self.faults();
        if !self.roll(faults.answer_lost) {
            self.after(2, SimEvent::Answer(ticket, Box::new(answer)));
        }
    }

    fn generate(&mut self, index: usize, request: &Generate) {
        let engine = self.choose_engine(request);
        let Some(engine) = engine else {
            let failure = Failure {
                ran: Ran::NotRun,
                tokens: Some(0),
            };
            let attempt = request.attempt;
            self.send_later(5, index, Event::Failed { attempt, failure });
            return;
        };
        let position = request.resume.tokens();
        let stream = Stream {
            position,
            length: self
                .length(request)
                .min(position + request.max_tokens)
                .max(position + 1),
            generated: 0,
            last_version: self.engines[engine].version,
            boot: self.engines[engine].boot,
        };
        let id = request.attempt.0;
        self.engines[engine].streams.insert(id, stream);
        self.routes
            .insert(id, (index, self.hosts[index].incarnation));
        self.schedule(engine, id);
    }

    fn choose_engine(&self, request: &Generate) -> Option<usize> {
        let free = |index: &usize| {
            let engine = &self.engines[*index];
            engine.streams.len() < engine.slots + 1 && engine.version >= request.min_version
        };
        let load = |index: &usize| {
            let engine = &self.engines[*index];
            (request.avoid.contains(&engine.name), engine.streams.len())
        };
        (0..self.engines.len()).filter(free).min_by_key(load)
    }

    /// Returns the length of a sample in tokens, which depends only on the sample and the seed.
    fn length(&self, request: &Generate) -> u32 {
        let key = (
            request.sample.group,
            request.sample.index,
            self.scenario.seed,
        );
        let mut rng = StdRng::seed_from_u64(xxh3_64(&codec::encode(&key).unwrap()));
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let tokens = self.scenario.median * (0.7 * normal).exp();
        (tokens as u32).clamp(1, self.scenario.job.max_tokens)
    }

    fn schedule(&mut self, engine: usize, attempt: u64) {
        let wait = f64::from(REPORT_TOKENS) * self.engines[engine].tpot;
        self.after(wait.max(1.0) as u64, SimEvent::Stream(engine, attempt));
    }

    pub fn stream(&mut self, index: usize, attempt: u64) {
        let faults = self.faults();
        let report_ordered = self.scenario.mutation == Some(Mutation::ReportOrdered);
        let engine = &mut self.engines[index];
        if !engine.streams.contains_key(&attempt) {
            return;
        }
        let report = engine.step(attempt, &faults, report_ordered, &mut self.rng);
        let upstream = engine.name.clone();
        let over = engine.streams[&attempt].position >= engine.streams[&attempt].length;
        if over {
            engine.streams.remove(&attempt);
        }
        let id = AttemptId(attempt);
        self.notify_coordinator(
            attempt,
            2,
            Event::Progress {
                attempt: id,
                upstream,
                report,
            },
        );
        if over {
            self.notify_coordinator(attempt, 3, Event::Done { attempt: id });
            self.routes.remove(&attempt);
        } else {
            self.schedule(index, attempt);
        }
    }

    fn notify_coordinator(&mut self, attempt: u64, wait: u64, event: Event) {
        let Some((host, incarnation)) = self.routes.get(&attempt).copied() else {
            return;
        };
        if self.hosts[host].incarnation == incarnation {
            self.send_later(wait, host, event);
        }
    }

    fn cancel(&mut self, _host: usize, attempt: AttemptId) {
        let generated = self
            .engines
            .iter_mut()
            .find_map(|engine| engine.streams.remove(&attempt.0))
            .map(|stream| stream.generated);
        if let Some(generated) = generated {
            self.fail(attempt.0, Ran::Ran, Some(generated));
        }
    }

    fn fail(&mut self, attempt: u64, ran: Ran, tokens: Option<u32>) {
        let failure = Failure { ran, tokens };
        let attempt_id = AttemptId(attempt);
        self.notify_coordinator(
            attempt,
            3,
            Event::Failed {
                attempt: attempt_id,
                failure,
            },
        );
        self.routes.remove(&attempt);
    }

    /// Restarts an engine under its address and name; some of its streams continue, as the fault
    /// `silent_restart` says.
    pub fn restart_engine(&mut self, index: usize, silent: u32) {
        let boot = self.engines[index].boot.0 + 1;
        self.engines[index].boot = Incarnation(boot);
        let streams = std::mem::take(&mut self.engines[index].streams);
        for (attempt, mut stream) in streams {
            if self.roll(silent) {
                stream.boot = Incarnation(boot);
                self.engines[index].streams.insert(attempt, stream);
                continue;
            }
            let known = self.roll(500).then_some(stream.generated);
            self.fail(attempt, Ran::Unknown, known);
        }
    }

    /// Reports a published version to every coordinator and, after random delays, to every engine.
    fn publish_config(&mut self, version: WeightVersion) {
        for host in 0..self.hosts.len() {
            let wait = self.rng.random_range(5..800);
            self.send_later(wait, host, Event::Published { version });
        }
        for engine in 0..self.engines.len() {
            let wait = self.rng.random_range(500..4000);
            self.after(wait, SimEvent::Swap(engine, version));
        }
    }

    pub fn swap(&mut self, index: usize, version: WeightVersion) {
        let faults = self.faults();
        let failed = self.roll(faults.swap_failed);
        let engine = &mut self.engines[index];
        engine.ordered = engine.ordered.max(version);
        if failed {
            // The order is repeated until the swap succeeds.
            self.after(3000, SimEvent::Swap(index, version));
        } else {
            engine.version = engine.version.max(version);
        }
    }
}
