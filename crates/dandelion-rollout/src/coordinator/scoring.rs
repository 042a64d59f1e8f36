//! Calls of the scoring service for finished samples.

use std::sync::Arc;

use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::ScoreCall;
use crate::coordinator::event::AttemptId;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::Place;
use crate::scorer::ScoreVerdict;

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
        let place = *self.scoring.get(&number)?;
        let state = self.pool.group(place.0)?;
        let sample = state.slots[place.1 as usize].sample.as_ref()?;
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
                    && let Some(place) = self.scoring.remove(&id.0)
                {
                    let whole = self.pool.score(place, score);
                    Self::keep_group(whole, out);
                }
            }
            Err(ran) => self.score_failed(now, id.0, ran),
        }
    }

    fn score_failed(&mut self, now: Millis, number: u64, ran: Ran) {
        if self.scorer.fail(now, number, ran) != Some(ScoreVerdict::Discard) {
            return;
        }
        if let Some(place) = self.scoring.remove(&number) {
            self.counts.unscored += 1;
            self.counts.wasted += self.pool.reset(place);
        }
    }

    pub(super) fn expire_scores(&mut self, now: Millis) {
        for number in self.scorer.overdue(now) {
            self.score_failed(now, number, Ran::Unknown);
        }
    }

    pub(super) fn forget_score(&mut self, place: Place) {
        let number = self.scoring.iter().find(|(_, other)| **other == place);
        if let Some(number) = number.map(|(number, _)| *number) {
            self.scoring.remove(&number);
            self.scorer.forget(number);
        }
    }
}
