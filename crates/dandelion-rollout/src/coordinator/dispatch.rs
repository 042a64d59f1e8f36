//! Dispatch of samples within capacity, token budget and staleness bound.

use std::sync::Arc;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::SampleId;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Generate;
use crate::coordinator::event::ProposalId;
use crate::coordinator::generation::Attempt;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::SlotId;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;

/// Quantile of observed sample times that is used as the predicted time of a sample, in
/// thousandths.
const PREDICTED_PERMILLE: u32 = 900;

/// Versions added to the predicted lag for samples that take longer than predicted.
const SLACK_VERSIONS: u64 = 1;

/// Minimum reservation in the ledger, in samples of maximum length.
const MIN_RESERVED_SAMPLES: u64 = 16;

impl Coordinator {
    /// Sends attempts until capacity, budget, staleness bound or lack of work stops it.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Actions) {
        if now < self.hold_until {
            return;
        }
        while self.attempts.len() < self.capacity && self.unconfirmed < self.window {
            let Some(slot_id) = self.next_slot(now) else {
                return;
            };
            if !self.send(now, slot_id, false, out) {
                return;
            }
        }
    }

    fn next_slot(&mut self, now: Millis) -> Option<SlotId> {
        if self.pool.queued().is_none() && self.may_start(now) {
            self.pool.start_next(self.job.group_size);
        }
        self.pool.queued()
    }

    /// Returns whether a group that starts now is expected to be fresh when it is delivered.
    fn may_start(&self, now: Millis) -> bool {
        if !self.pool.has_waiting() {
            return false;
        }
        let bound = if self.settings.barrier {
            0
        } else {
            self.job.max_staleness
        };
        let trainer_waits = self.pull.is_some();
        let step = u64::from(self.job.step_groups).max(1);
        let below_limit = self.groups_ahead() < self.lookahead.groups(step, bound);
        below_limit && (trainer_waits || self.predicted_lag(now) <= bound)
    }

    /// Returns the number of groups that the trainer is training on, or receives, before one that
    /// starts now.
    fn groups_ahead(&self) -> u64 {
        let step = u64::from(self.job.step_groups).max(1);
        let trainer_waits = self.pull.is_some() && self.since_publish >= step;
        let trained = if trainer_waits {
            0
        } else {
            self.since_publish.min(step)
        };
        trained + self.pool.started()
    }

    /// Returns the number of versions published before a group that starts now is delivered, if
    /// the trainer publishes once a step.
    fn steps_ahead(&self) -> u64 {
        self.groups_ahead() / u64::from(self.job.step_groups).max(1)
    }

    /// Returns the number of versions expected to be published before a sample that starts now is
    /// delivered: the greater of the estimates by queue position and by generation time.
    fn predicted_lag(&self, now: Millis) -> u64 {
        let span = Millis(self.durations.quantile(PREDICTED_PERMILLE).unwrap_or(0));
        let published = if self.pull.is_some() {
            self.publish_rate.during(span)
        } else {
            self.publish_rate.expected(now, now + span)
        };
        self.steps_ahead().max(published)
    }

    fn min_version(&self, now: Millis) -> WeightVersion {
        let lag = self.predicted_lag(now) + SLACK_VERSIONS;
        let slack = self.job.max_staleness.saturating_sub(lag);
        WeightVersion(self.newest.0.saturating_sub(slack))
    }

    /// Sends one attempt for a slot; false if the budget does not allow it.
    pub(super) fn send(
        &mut self,
        now: Millis,
        slot_id: SlotId,
        hedge: bool,
        out: &mut Actions,
    ) -> bool {
        let min_version = self.min_version(now);
        let Some(slot) = self.pool.slot(slot_id) else {
            return false;
        };
        let resume = slot.prefix.clone();
        let avoid = slot.avoid.clone();
        let max_tokens = self.job.max_tokens.saturating_sub(resume.tokens()).max(1);
        if !self.budget.reserve(u64::from(max_tokens)) {
            self.request_budget(now, out);
            return false;
        }
        let id = self.new_attempt();
        let attempt = Attempt::begin(slot_id, id, resume.clone(), max_tokens, hedge, now);
        self.attempts.insert(id, attempt);
        self.unconfirmed += 1;
        self.pool.begin(slot_id, id, now);
        self.counts.attempts += 1;
        let Some(state) = self.pool.group(slot_id.0) else {
            return false;
        };
        out.push(Action::Generate(Generate {
            attempt: id,
            sample: SampleId {
                job: self.job.id.clone(),
                group: slot_id.0,
                index: slot_id.1,
            },
            prompt: Arc::clone(&state.prompt),
            resume,
            max_tokens,
            min_version,
            avoid,
        }));
        true
    }

    fn reservation_size(&self) -> u64 {
        let share = self.job.token_budget * self.settings.reserve_permille / 1000;
        share.max(u64::from(self.job.max_tokens) * MIN_RESERVED_SAMPLES)
    }

    fn request_budget(&mut self, now: Millis, out: &mut Actions) {
        if self.reserve_proposal.is_some() || self.exhausted {
            return;
        }
        let left = self.job.token_budget.saturating_sub(self.past_spent);
        let total = (self.budget.committed() + self.reservation_size()).min(left);
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
        self.reserve_proposal = Some(self.propose(now, reserve, out));
    }

    pub(super) fn on_reserve_answer(
        &mut self,
        proposal: ProposalId,
        result: &Result<LedgerReply, LedgerRefusal>,
    ) {
        if self.reserve_proposal != Some(proposal) {
            return;
        }
        self.reserve_proposal = None;
        match result {
            Ok(LedgerReply::Reserved(limit)) => {
                // The budget may have been lowered since this was proposed.
                let left = self.job.token_budget.saturating_sub(self.past_spent);
                self.budget.grant(*limit.min(&left));
            }
            _ => self.exhausted = true,
        }
    }

    /// Returns the reserved tokens that no running attempt needs, as after a budget reduction.
    pub(super) fn release_unused(&mut self, now: Millis, out: &mut Actions) {
        if self.reserve_proposal.is_some() || self.epoch.is_none() {
            return;
        }
        let total = self.budget.committed();
        if total < self.budget.limit() {
            // Lowers the local limit before the ledger's, so that neither is ever exceeded.
            self.budget.grant(total);
            self.propose_reserve(now, total, out);
        }
    }

    pub(super) fn release_idle(&mut self, now: Millis, out: &mut Actions) {
        let idle = self.attempts.is_empty() && self.pool.is_drained();
        if idle {
            self.release_unused(now, out);
        }
    }
}
