//! Calls to the scoring service for finished samples.

use std::sync::Arc;

use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::ScoreCall;
use crate::coordinator::event::AttemptId;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::SlotId;
use crate::scorer::RetryDecision;

impl Coordinator {
    pub(super) fn call_scorer(&mut self, now: Millis, out: &mut Actions) {
        while let Some(number) = self.scorer.next(now) {
            let call = self.score_call(number);
            match call {
                Some(call) => out.push(Action::Score(call)),
                None => self.scorer.forget(number),
            }
        }
    }

    fn score_call(&mut self, number: u64) -> Option<ScoreCall> {
        let slot_id = *self.scoring.get(&number)?;
        let state = self.pool.group(slot_id.0)?;
        let sample = state.slots[slot_id.1 as usize].sample.as_ref()?;
        Some(ScoreCall {
            attempt: AttemptId(number),
            sample: sample.id.clone(),
            prompt: Arc::clone(&state.prompt),
            text: sample.text.clone(),
        })
    }

    pub(super) fn on_scored(
        &mut self,
        now: Millis,
        id: AttemptId,
        result: Result<f64, Ran>,
        out: &mut Actions,
    ) {
        match result {
            Ok(score) => {
                if self.scorer.finish(id.0)
                    && let Some(slot_id) = self.scoring.remove(&id.0)
                {
                    let complete_group = self.pool.set_score(slot_id, score);
                    Self::replicate_group(complete_group, out);
                }
            }
            Err(ran) => self.score_failed(now, id.0, ran),
        }
    }

    fn score_failed(&mut self, now: Millis, number: u64, ran: Ran) {
        if self.scorer.fail(now, number, ran) != Some(RetryDecision::Discard) {
            return;
        }
        if let Some(slot_id) = self.scoring.remove(&number) {
            self.counts.unscored += 1;
            self.counts.wasted += self.pool.reset(slot_id);
        }
    }

    pub(super) fn expire_scores(&mut self, now: Millis) {
        for number in self.scorer.overdue(now) {
            self.score_failed(now, number, Ran::Unknown);
        }
    }

    pub(super) fn forget_score(&mut self, slot_id: SlotId) {
        let number = self.scoring.iter().find(|(_, other)| **other == slot_id);
        if let Some(number) = number.map(|(number, _)| *number) {
            self.scoring.remove(&number);
            self.scorer.forget(number);
        }
    }
}
