//! The coordinator's state and the order in which events are handled.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandelion_kernel::Machine;
use dandelion_protocol::config::Job;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::time::Millis;

use crate::budget::Budget;
use crate::coordinator::action::Action;
use crate::coordinator::action::Answer;
use crate::coordinator::counts::RolloutCounts;
use crate::coordinator::event::AttemptId;
use crate::coordinator::event::Event;
use crate::coordinator::event::ProposalId;
use crate::coordinator::event::Ticket;
use crate::coordinator::feed::FeedState;
use crate::coordinator::feed::PendingFeed;
use crate::coordinator::generation::Attempt;
use crate::coordinator::lookahead::Lookahead;
use crate::coordinator::pool::Pool;
use crate::coordinator::pool::SlotId;
use crate::coordinator::proposals::Outstanding;
use crate::coordinator::proposals::to_refusal;
use crate::coordinator::pull::PendingFreeze;
use crate::coordinator::pull::PendingPull;
use crate::coordinator::settings::Settings;
use crate::ledger::BatchRecord;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerRefusal;
use crate::ledger::RangeSet;
use crate::payload::BlobId;
use crate::quantile::Quantiles;
use crate::scorer::ScorerQueue;
use crate::scorer::ScorerSettings;
use crate::staleness::PublishRate;

/// Actions in response to one event.
pub(super) type Actions = Vec<Action>;

/// Interval between two checks for stragglers.
const TAIL_PERIOD: Millis = Millis::from_secs(1);

/// Number of low bits of an attempt id that hold the number of the attempt within its epoch; the
/// bits above them hold the epoch.
const ATTEMPT_BITS: u32 = 40;

/// Coordinates one job: dispatches its samples, forms batches and answers the trainer.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) job: Job,
    pub(super) settings: Settings,
    pub(super) daemon: DaemonId,
    pub(super) incarnation: Incarnation,
    /// Epoch that this coordinator leads; none until the ledger accepted it.
    pub(super) epoch: Option<u64>,
    /// Set once this coordinator has stepped down or was replaced.
    pub(super) deposed: bool,
    /// Newest published version known here.
    pub(super) newest: WeightVersion,
    /// Newest version recorded in the ledger or proposed to it.
    pub(super) recorded: WeightVersion,
    /// Newest version in the configuration or sent to it.
    pub(super) configured: WeightVersion,
    pub(super) publish_rate: PublishRate,
    pub(super) pool: Pool,
    pub(super) feeds: Vec<FeedState>,
    /// Feeds that are not recorded yet, by their first group.
    pub(super) pending_feeds: BTreeMap<u64, PendingFeed>,
    /// Trainers' requests that wait for the answer to a proposal.
    pub(super) proposal_tickets: BTreeMap<ProposalId, Ticket>,
    /// Acknowledged groups, those given up included.
    pub(super) done: RangeSet,
    /// Frozen batch that is not acknowledged yet.
    pub(super) current: Option<BatchRecord>,
    /// Payload of `current`, if it is here.
    pub(super) payload: Option<Arc<Batch>>,
    pub(super) next_cursor: u64,
    pub(super) pull: Option<PendingPull>,
    /// Unanswered proposal of a pull; at most one is in flight.
    pub(super) pull_proposal: Option<ProposalId>,
    /// Number of the last pull proposed in this epoch.
    pub(super) last_pull: u64,
    pub(super) freezing: Option<PendingFreeze>,
    /// Trainer process that holds the lease, and when the lease ends.
    pub(super) holder: Option<(TrainerId, Millis)>,
    /// Groups frozen since the newest version was published.
    pub(super) since_publish: u64,
    pub(super) lookahead: Lookahead,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) last_attempt: u64,
    /// Time of the next check for stragglers.
    pub(super) tail_check: Millis,
    /// Attempts that the engines can run concurrently.
    pub(super) capacity: usize,
    /// Limit of `unconfirmed`; doubled by a first token, halved when an attempt did not run.
    pub(super) window: usize,
    /// Attempts that have not reported a token yet.
    pub(super) unconfirmed: usize,
    /// Dispatch is paused until this time.
    pub(super) hold_until: Millis,
    pub(super) scorer: ScorerQueue,
    /// Slots of the samples in `scorer`, by attempt number.
    pub(super) scoring: BTreeMap<u64, SlotId>,
    pub(super) budget: Budget,
    /// Tokens spent by earlier epochs, their unused reservations included.
    pub(super) past_spent: u64,
    pub(super) reserve_proposal: Option<ProposalId>,
    pub(super) reserve_sequence: u64,
    /// Set once no more tokens can be reserved; cleared when the job's configuration changes.
    pub(super) exhausted: bool,
    pub(super) outstanding: BTreeMap<ProposalId, Outstanding>,
    pub(super) last_proposal: u64,
    /// Observed times from the first attempt to the finished sample, in milliseconds.
    pub(super) durations: Quantiles,
    /// Observed tokens per second of finished attempts.
    pub(super) rates: Quantiles,
    pub(super) counts: RolloutCounts,
}

impl Coordinator {
    /// Opens the coordinator of `job` on `daemon` and proposes to the ledger that it leads.
    pub fn open(
        job: Job,
        daemon: DaemonId,
        incarnation: Incarnation,
        settings: Settings,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut coordinator = Self::initial(job, daemon, incarnation, settings);
        coordinator.read_ledger(now, actions);
        coordinator
    }

    /// Proposes to lead the job; the answer holds the ledger's state, also while leading already.
    pub(super) fn read_ledger(&mut self, now: Millis, out: &mut Actions) {
        let lead = LedgerChange::Lead {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
        };
        self.propose(now, lead, out);
    }

    fn initial(job: Job, daemon: DaemonId, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            job,
            settings,
            daemon,
            incarnation,
            epoch: None,
            deposed: false,
            newest: WeightVersion::default(),
            recorded: WeightVersion::default(),
            configured: WeightVersion::default(),
            publish_rate: PublishRate::default(),
            pool: Pool::default(),
            feeds: Vec::new(),
            pending_feeds: BTreeMap::new(),
            proposal_tickets: BTreeMap::new(),
            done: RangeSet::default(),
            current: None,
            payload: None,
            next_cursor: 0,
            pull: None,
            pull_proposal: None,
            last_pull: 0,
            freezing: None,
            holder: None,
            since_publish: 0,
            lookahead: Lookahead::default(),
            attempts: BTreeMap::new(),
            last_attempt: 0,
            tail_check: Millis::ZERO,
            capacity: 0,
            window: usize::MAX,
            unconfirmed: 0,
            hold_until: Millis::ZERO,
            scorer: ScorerQueue::open(ScorerSettings::default()),
            scoring: BTreeMap::new(),
            budget: Budget::default(),
            past_spent: 0,
            reserve_proposal: None,
            reserve_sequence: 0,
            exhausted: false,
            outstanding: BTreeMap::new(),
            last_proposal: 0,
            durations: Quantiles::default(),
            rates: Quantiles::default(),
            counts: RolloutCounts::default(),
        }
    }

    /// Borrows the counters, which start at zero when the coordinator is opened.
    pub fn counts(&self) -> &RolloutCounts {
        &self.counts
    }

    /// Returns whether the ledger accepted this coordinator and it has not stepped down.
    pub fn is_leading(&self) -> bool {
        self.epoch.is_some() && !self.deposed
    }

    /// Returns the tokens spent or reserved by this job, those of earlier epochs included.
    pub fn committed_tokens(&self) -> u64 {
        self.past_spent + self.budget.committed()
    }

    pub(super) fn new_attempt(&mut self) -> AttemptId {
        let epoch = self.epoch.unwrap_or(0);
        self.last_attempt += 1;
        AttemptId((epoch << ATTEMPT_BITS) | self.last_attempt)
    }

    fn apply_event(&mut self, now: Millis, event: Event, out: &mut Actions) {
        match event {
            Event::ConfigChanged(job) => self.change_job(now, job, out),
            Event::ScorerChanged(settings) => self.scorer.configure(settings),
            Event::Capacity(capacity) => self.capacity = capacity,
            Event::Prompts { ticket, request } => self.on_prompts(ticket, request, out),
            Event::Publish { ticket, version } => {
                let proposal = self.propose(now, LedgerChange::Publish { version }, out);
                self.proposal_tickets.insert(proposal, ticket);
            }
            Event::Published { version } => {
                self.configured = self.configured.max(version);
                self.record_version(now, version, out);
                self.on_published(now, version, out);
            }
            Event::Pull { ticket, request } => self.on_pull(now, ticket, request, out),
            Event::Renew {
                ticket,
                trainer,
                release,
            } => self.on_renew(now, ticket, trainer, release, out),
            Event::TicketClosed { ticket } => self.on_ticket_closed(ticket),
            Event::Progress {
                attempt,
                upstream,
                report,
            } => self.on_progress(now, attempt, upstream, &report, out),
            Event::Done { attempt } => self.on_done(now, attempt, out),
            Event::Failed { attempt, failure } => self.on_failed(now, attempt, failure, out),
            Event::Scored { attempt, result } => self.on_scored(now, attempt, result, out),
            Event::LedgerAnswer { proposal, answer } => self.on_answer(now, proposal, answer, out),
            Event::Replicated { blob, holders } => self.on_replicated(now, blob, holders, out),
            Event::Fetched { blob, payload } => self.on_fetched(blob, payload, out),
            Event::Recovered(groups) => self.on_recovered(&groups, out),
            Event::Resign => self.resign(now, out),
            Event::Tick => self.on_tick(now, out),
        }
    }

    fn change_job(&mut self, now: Millis, job: Job, out: &mut Actions) {
        let ended = job.ended && !self.job.ended;
        let lower = job.token_budget < self.job.token_budget;
        self.job = job;
        self.exhausted = false;
        if lower {
            self.release_unused(now, out);
        }
        if ended {
            self.end_job(now, out);
        }
        self.drop_stale(out);
    }

    fn end_job(&mut self, now: Millis, out: &mut Actions) {
        let running: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for attempt in running {
            self.cancel(attempt, out);
        }
        self.close(now, out);
    }

    /// Ends the job in the ledger and releases its payloads.
    pub(super) fn close(&mut self, now: Millis, out: &mut Actions) {
        let Some(epoch) = self.epoch else {
            return;
        };
        self.propose(now, LedgerChange::End { epoch }, out);
        for feed in &self.feeds {
            out.push(Action::Release {
                blob: BlobId::Feed(feed.record.first),
                holders: feed.record.holders.clone(),
            });
        }
        if let Some(record) = &self.current {
            out.push(Action::Release {
                blob: BlobId::Batch(record.cursor, record.digest),
                holders: record.holders.clone(),
            });
        }
        out.push(Action::ReleaseGroups(u64::MAX));
        if let Some(pull) = self.pull.take() {
            let refusal = to_refusal(&LedgerRefusal::Ended);
            Self::reply(pull.ticket, Answer::Refused(refusal), out);
        }
    }

    /// Handles a published version; samples that it makes too old are generated again.
    pub(super) fn on_published(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        if version <= self.newest {
            return;
        }
        self.newest = version;
        self.publish_rate.record(now);
        self.since_publish = 0;
        self.drop_stale(out);
    }

    /// Records a version in the ledger that operators published only in the configuration.
    fn record_version(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        if version > self.recorded && self.epoch.is_some() {
            self.recorded = version;
            self.propose(now, LedgerChange::Publish { version }, out);
        }
    }

    /// Handles a version found in the ledger. The daemon that recorded it may have died before
    /// it was in the configuration, so the first coordinator to see it publishes it there.
    pub(super) fn on_recorded(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        self.recorded = self.recorded.max(version);
        if version > self.configured {
            self.configured = version;
            out.push(Action::PublishConfig(version));
        }
        self.on_published(now, version, out);
    }

    fn on_tick(&mut self, now: Millis, out: &mut Actions) {
        self.resend(now, out);
        self.expire_scores(now);
        if now >= self.tail_check {
            self.tail_check = now + TAIL_PERIOD;
            self.check_tail(now, out);
        }
        self.release_idle(now, out);
        self.expire_pull(now, out);
    }

    pub(super) fn reply(ticket: Ticket, answer: Answer, out: &mut Actions) {
        out.push(Action::Reply { ticket, answer });
    }
}

impl Machine for Coordinator {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if self.deposed || (self.epoch.is_none() && event.ticket().is_some()) {
            Self::refuse_event(&event, actions);
            return;
        }
        self.apply_event(now, event, actions);
        if self.is_leading() && !self.job.ended {
            self.dispatch(now, actions);
            self.call_scorer(now, actions);
            self.form_batch(now, actions);
        }
    }
}
