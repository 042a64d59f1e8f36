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
use crate::coordinator::event::Ticket;
use crate::coordinator::event::Token;
use crate::coordinator::feed::FeedState;
use crate::coordinator::feed::PendingFeed;
use crate::coordinator::generation::Attempt;
use crate::coordinator::lookahead::Lead;
use crate::coordinator::pool::Place;
use crate::coordinator::pool::Pool;
use crate::coordinator::proposals::Outstanding;
use crate::coordinator::proposals::refused;
use crate::coordinator::pull::PendingCut;
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
use crate::staleness::PublishPace;

/// Actions of one event.
pub(super) type Actions = Vec<Action>;

/// Time between two looks at the slow tail.
const TAIL_PERIOD: Millis = Millis::from_secs(1);

/// Bits of an attempt number that count within an epoch.
const ATTEMPT_BITS: u32 = 40;

/// The coordinator of one job on the daemon in charge of it.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) job: Job,
    pub(super) settings: Settings,
    pub(super) daemon: DaemonId,
    pub(super) incarnation: Incarnation,
    pub(super) epoch: Option<u64>,
    pub(super) deposed: bool,
    pub(super) newest: WeightVersion,
    /// Newest version that the ledger has, or was told.
    pub(super) recorded: WeightVersion,
    /// Newest version that the configuration has, or was told.
    pub(super) announced: WeightVersion,
    pub(super) pace: PublishPace,
    pub(super) pool: Pool,
    pub(super) feeds: Vec<FeedState>,
    pub(super) feeding: BTreeMap<u64, PendingFeed>,
    pub(super) asking: BTreeMap<Token, Ticket>,
    pub(super) done: RangeSet,
    pub(super) current: Option<BatchRecord>,
    pub(super) payload: Option<Arc<Batch>>,
    pub(super) next_cursor: u64,
    pub(super) pull: Option<PendingPull>,
    pub(super) taking: Option<Token>,
    pub(super) next_take: u64,
    pub(super) cutting: Option<PendingCut>,
    pub(super) holder: Option<(TrainerId, Millis)>,
    pub(super) since_publish: u64,
    pub(super) lead: Lead,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) next_attempt: u64,
    pub(super) next_tail: Millis,
    pub(super) capacity: usize,
    /// Attempts that may wait for their first token; halved when one is refused.
    pub(super) window: usize,
    /// Attempts that wait for their first token.
    pub(super) unconfirmed: usize,
    pub(super) hold_until: Millis,
    pub(super) scorer: ScorerQueue,
    pub(super) scoring: BTreeMap<u64, Place>,
    pub(super) budget: Budget,
    pub(super) past_spent: u64,
    pub(super) reserving: Option<Token>,
    pub(super) reserve_sequence: u64,
    pub(super) exhausted: bool,
    pub(super) outstanding: BTreeMap<Token, Outstanding>,
    pub(super) next_token: u64,
    pub(super) durations: Quantiles,
    pub(super) rates: Quantiles,
    pub(super) counts: RolloutCounts,
}

impl Coordinator {
    /// Opens the coordinator of `job` on `daemon` and asks the ledger to put it in charge.
    pub fn open(
        job: Job,
        daemon: DaemonId,
        incarnation: Incarnation,
        settings: Settings,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut coordinator = Self::idle(job, daemon, incarnation, settings);
        coordinator.read_ledger(now, actions);
        coordinator
    }

    /// Takes charge, or reads the ledger anew if already in charge.
    pub(super) fn read_ledger(&mut self, now: Millis, out: &mut Actions) {
        let lead = LedgerChange::Lead {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
        };
        self.propose(now, lead, out);
    }

    fn idle(job: Job, daemon: DaemonId, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            job,
            settings,
            daemon,
            incarnation,
            epoch: None,
            deposed: false,
            newest: WeightVersion::default(),
            recorded: WeightVersion::default(),
            announced: WeightVersion::default(),
            pace: PublishPace::default(),
            pool: Pool::default(),
            feeds: Vec::new(),
            feeding: BTreeMap::new(),
            asking: BTreeMap::new(),
            done: RangeSet::default(),
            current: None,
            payload: None,
            next_cursor: 0,
            pull: None,
            taking: None,
            next_take: 0,
            cutting: None,
            holder: None,
            since_publish: 0,
            lead: Lead::default(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            next_tail: Millis::ZERO,
            capacity: 0,
            window: usize::MAX,
            unconfirmed: 0,
            hold_until: Millis::ZERO,
            scorer: ScorerQueue::open(ScorerSettings::default()),
            scoring: BTreeMap::new(),
            budget: Budget::default(),
            past_spent: 0,
            reserving: None,
            reserve_sequence: 0,
            exhausted: false,
            outstanding: BTreeMap::new(),
            next_token: 0,
            durations: Quantiles::default(),
            rates: Quantiles::default(),
            counts: RolloutCounts::default(),
        }
    }

    /// Borrows the counts.
    pub fn counts(&self) -> &RolloutCounts {
        &self.counts
    }

    /// Returns whether the ledger put this coordinator in charge.
    pub fn is_leading(&self) -> bool {
        self.epoch.is_some() && !self.deposed
    }

    /// Returns the tokens committed by this job, those of epochs before included.
    pub fn committed_tokens(&self) -> u64 {
        self.past_spent + self.budget.committed()
    }

    pub(super) fn new_attempt(&mut self) -> AttemptId {
        let epoch = self.epoch.unwrap_or(0);
        self.next_attempt += 1;
        AttemptId((epoch << ATTEMPT_BITS) | self.next_attempt)
    }

    fn route(&mut self, now: Millis, event: Event, out: &mut Actions) {
        match event {
            Event::ConfigChanged(job) => self.change_job(now, job, out),
            Event::ScorerChanged(settings) => self.scorer.configure(settings),
            Event::Capacity(capacity) => self.capacity = capacity,
            Event::Prompts { ticket, request } => self.on_prompts(ticket, request, out),
            Event::Publish { ticket, version } => {
                let token = self.propose(now, LedgerChange::Publish { version }, out);
                self.asking.insert(token, ticket);
            }
            Event::Published { version } => {
                self.announced = self.announced.max(version);
                self.record_version(now, version, out);
                self.on_published(now, version, out);
            }
            Event::Pull { ticket, request } => self.on_pull(now, ticket, request, out),
            Event::Renew {
                ticket,
                trainer,
                release,
            } => self.on_renew(now, ticket, trainer, release, out),
            Event::TicketClosed { ticket } => self.on_closed(ticket),
            Event::Progress {
                attempt,
                upstream,
                report,
            } => self.on_progress(now, attempt, upstream, &report, out),
            Event::Done { attempt } => self.on_done(now, attempt, out),
            Event::Failed { attempt, failure } => self.on_failed(now, attempt, failure, out),
            Event::Scored { attempt, result } => self.on_scored(now, attempt, result, out),
            Event::LedgerAnswer { token, answer } => self.on_answer(now, token, answer, out),
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
            self.hand_back(now, out);
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

    /// Ends the job in the ledger and lets go of its payloads.
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
            let refusal = refused(&LedgerRefusal::Ended);
            Self::reply(pull.ticket, Answer::Refused(refusal), out);
        }
    }

    /// Learns of a published version; samples that are too old by it are generated anew.
    pub(super) fn on_published(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        if version <= self.newest {
            return;
        }
        self.newest = version;
        self.pace.record(now);
        self.since_publish = 0;
        self.drop_stale(out);
    }

    /// Records a version in the ledger that operators published in the configuration only.
    fn record_version(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        if version > self.recorded && self.epoch.is_some() {
            self.recorded = version;
            self.propose(now, LedgerChange::Publish { version }, out);
        }
    }

    /// Learns of a version from the ledger. The daemon that recorded it may have died before the
    /// configuration took it, so it is announced by whoever learns of it first.
    pub(super) fn on_recorded(&mut self, now: Millis, version: WeightVersion, out: &mut Actions) {
        self.recorded = self.recorded.max(version);
        if version > self.announced {
            self.announced = version;
            out.push(Action::PublishConfig(version));
        }
        self.on_published(now, version, out);
    }

    fn on_tick(&mut self, now: Millis, out: &mut Actions) {
        self.resend(now, out);
        self.expire_scores(now);
        if now >= self.next_tail {
            self.next_tail = now + TAIL_PERIOD;
            self.check_tail(now, out);
        }
        self.hand_back_idle(now, out);
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
        self.route(now, event, actions);
        if self.is_leading() && !self.job.ended {
            self.dispatch(now, actions);
            self.call_scorer(now, actions);
            self.try_cut(now, actions);
        }
    }
}
