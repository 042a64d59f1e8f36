//! Dispatch: what to generate next, within capacity, budget and staleness bound.

use std::sync::Arc;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::SampleId;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Generate;
use crate::coordinator::event::Token;
use crate::coordinator::generation::Attempt;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::Place;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;

/// Quantile of observed sample times by which a sample is predicted to be done.
const PREDICTED_PERMILLE: u32 = 900;

/// Versions kept in hand for the samples that take longer than predicted.
const TAIL_VERSIONS: u64 = 1;

/// Longest samples that a reservation in the ledger covers at the least.
const MIN_CHUNK: u64 = 16;

impl Coordinator {
    /// Sends attempts until capacity, budget, staleness or work runs out.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Actions) {
        if now < self.hold_until {
            return;
        }
        while self.attempts.len() < self.capacity && self.unconfirmed < self.window {
            let Some(place) = self.next_place(now) else {
                return;
            };
            if !self.send(now, place, false, out) {
                return;
            }
        }
    }

    fn next_place(&mut self, now: Millis) -> Option<Place> {
        if self.pool.queued().is_none() && self.may_start(now) {
            self.pool.start_next(self.job.group_size);
        }
        self.pool.queued()
    }

    /// Returns whether a group that starts now can be fresh when it is handed out.
    fn may_start(&self, now: Millis) -> bool {
        if !self.pool.has_waiting() {
            return false;
        }
        let bound = if self.settings.barrier {
            0
        } else {
            self.job.max_staleness
        };
        let waits = self.pull.is_some();
        let step = u64::from(self.job.step_groups).max(1);
        let room = self.groups_ahead() < self.lead.groups(step, bound);
        room && (waits || self.predicted_lag(now) <= bound)
    }

    /// Returns the groups that the trainer gets, or trains on, before one that starts now.
    fn groups_ahead(&self) -> u64 {
        let step = u64::from(self.job.step_groups).max(1);
        let waits = self.pull.is_some() && self.since_publish >= step;
        let trained = if waits {
            0
        } else {
            self.since_publish.min(step)
        };
        trained + self.pool.started()
    }

    /// Returns the versions published before a group that starts now is handed out, if the
    /// trainer publishes once a step.
    fn steps_ahead(&self) -> u64 {
        self.groups_ahead() / u64::from(self.job.step_groups).max(1)
    }

    /// Returns the versions expected to be published before a sample that starts now is handed
    /// out: by its place in line, or by the time that it takes if that is longer.
    fn predicted_lag(&self, now: Millis) -> u64 {
        let span = Millis(self.durations.quantile(PREDICTED_PERMILLE).unwrap_or(0));
        let published = if self.pull.is_some() {
            self.pace.during(span)
        } else {
            self.pace.expected(now, now + span)
        };
        self.steps_ahead().max(published)
    }

    fn min_version(&self, now: Millis) -> WeightVersion {
        let lag = self.predicted_lag(now) + TAIL_VERSIONS;
        let slack = self.job.max_staleness.saturating_sub(lag);
        WeightVersion(self.newest.0.saturating_sub(slack))
    }

    /// Sends one attempt for a place; false if the budget does not allow it.
    pub(super) fn send(
        &mut self,
        now: Millis,
        place: Place,
        hedge: bool,
        out: &mut Actions,
    ) -> bool {
        let min_version = self.min_version(now);
        let Some(slot) = self.pool.slot(place) else {
            return false;
        };
        let resume = slot.prefix.clone();
        let avoid = slot.avoid.clone();
        let max_tokens = self.job.max_tokens.saturating_sub(resume.tokens()).max(1);
        if !self.budget.reserve(u64::from(max_tokens)) {
            self.ask_budget(now, out);
            return false;
        }
        let id = self.new_attempt();
        let attempt = Attempt::begin(place, id, resume.clone(), max_tokens, hedge, now);
        self.attempts.insert(id, attempt);
        self.unconfirmed += 1;
        self.pool.begin(place, id, now);
        self.counts.attempts += 1;
        let Some(state) = self.pool.group(place.0) else {
            return false;
        };
        out.push(Action::Generate(Generate {
            attempt: id,
            sample: SampleId {
                job: self.job.id.clone(),
                group: place.0,
                index: place.1,
            },
            prompt: Arc::clone(&state.prompt),
            resume,
            max_tokens,
            min_version,
            avoid,
        }));
        true
    }

    fn chunk(&self) -> u64 {
        let share = self.job.token_budget * self.settings.chunk_permille / 1000;
        share.max(u64::from(self.job.max_tokens) * MIN_CHUNK)
    }

    fn ask_budget(&mut self, now: Millis, out: &mut Actions) {
        if self.reserving.is_some() || self.exhausted {
            return;
        }
        let left = self.job.token_budget.saturating_sub(self.past_spent);
        let total = (self.budget.committed() + self.chunk()).min(left);
        if total <= self.budget.limit() {
            self.exhausted = true;
            return;
        }
        self.propose_reserve(now, total, out);
    }

    fn propose_reserve(&mut self, now: Millis, total: u64, out: &mut Actions) {
        self.reserve_sequence += 1;
        let reserve = LedgerChange::Reserve {
            epoch: self.epoch.unwrap_or(0),
            sequence: self.reserve_sequence,
            spent: self.budget.spent(),
            total,
            budget: self.job.token_budget,
        };
        self.reserving = Some(self.propose(now, reserve, out));
    }

    pub(super) fn on_reserve_answer(
        &mut self,
        token: Token,
        result: &Result<LedgerReply, LedgerRefusal>,
    ) {
        if self.reserving != Some(token) {
            return;
        }
        self.reserving = None;
        match result {
            Ok(LedgerReply::Reserved(limit)) => {
                // The budget may have been lowered since this was asked.
                let left = self.job.token_budget.saturating_sub(self.past_spent);
                self.budget.grant(*limit.min(&left));
            }
            _ => self.exhausted = true,
        }
    }

    /// Hands back what no attempt under way needs, as after a cut of the budget.
    pub(super) fn hand_back(&mut self, now: Millis, out: &mut Actions) {
        if self.reserving.is_some() || self.epoch.is_none() {
            return;
        }
        let total = self.budget.committed();
        if total < self.budget.limit() {
            // The own limit goes down before the ledger's, so that both are never exceeded.
            self.budget.grant(total);
            self.propose_reserve(now, total, out);
        }
    }

    pub(super) fn hand_back_idle(&mut self, now: Millis, out: &mut Actions) {
        let idle = self.attempts.is_empty() && self.pool.is_drained();
        if idle {
            self.hand_back(now, out);
        }
    }
}
