//! Proposals under way: resent until answered, then routed by what they changed.

use dandelion_protocol::control::ProposeError;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Answer;
use crate::coordinator::event::Event;
use crate::coordinator::event::Token;
use crate::coordinator::feed::FeedState;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::settings::TICK;
use crate::ledger::FeedRecord;
use crate::ledger::JobView;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerCommand;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;
use crate::payload::BlobId;

/// Longest wait for the whole groups that other daemons keep.
const RECOVERY: Millis = Millis::from_secs(2);

/// A proposal without an answer.
#[derive(Debug)]
pub(super) struct Outstanding {
    change: LedgerChange,
    sent: Millis,
}

/// What the control group said to a proposal.
type LedgerResult = Result<LedgerReply, LedgerRefusal>;

impl Coordinator {
    pub(super) fn propose(
        &mut self,
        now: Millis,
        change: LedgerChange,
        out: &mut Actions,
    ) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        out.push(self.proposal(token, &change));
        self.outstanding
            .insert(token, Outstanding { change, sent: now });
        token
    }

    fn proposal(&self, token: Token, change: &LedgerChange) -> Action {
        let command = LedgerCommand {
            job: self.job.id.clone(),
            change: change.clone(),
        };
        Action::Propose { token, command }
    }

    /// Sends proposals again that nobody answered; every change is idempotent.
    pub(super) fn resend(&mut self, now: Millis, out: &mut Actions) {
        let wait = self.settings.resend;
        let mut due = Vec::new();
        for (token, proposal) in &mut self.outstanding {
            if now.since(proposal.sent) >= wait {
                proposal.sent = now;
                due.push((*token, proposal.change.clone()));
            }
        }
        for (token, change) in due {
            out.push(self.proposal(token, &change));
        }
    }

    pub(super) fn on_answer(
        &mut self,
        now: Millis,
        token: Token,
        answer: Result<LedgerResult, ProposeError>,
        out: &mut Actions,
    ) {
        let Ok(result) = answer else {
            return;
        };
        let Some(known) = self.outstanding.remove(&token) else {
            return;
        };
        if matches!(result, Err(LedgerRefusal::Deposed { .. })) {
            self.step_down(out);
            return;
        }
        match known.change {
            LedgerChange::Lead { .. } => self.on_lead(now, result, out),
            LedgerChange::Feed { feed, .. } => self.on_feed_answer(now, &feed, result, out),
            LedgerChange::Publish { .. } => self.on_publish_answer(now, token, result, out),
            LedgerChange::Renew { trainer, lease, .. } => {
                self.on_renew_answer(now, token, (&trainer, lease), result, out);
            }
            LedgerChange::Take { skipped, .. } => {
                self.on_take_answer(now, token, skipped, result, out);
            }
            LedgerChange::Cut { .. } => self.on_cut_answer(now, token, &result, out),
            LedgerChange::Reserve { .. } => self.on_reserve_answer(token, &result),
            LedgerChange::End { .. } => {}
        }
    }

    fn on_lead(&mut self, now: Millis, result: LedgerResult, out: &mut Actions) {
        let Ok(LedgerReply::Leading(view)) = result else {
            return;
        };
        if self.epoch == Some(view.epoch) {
            self.adopt_feeds(view.feeds, out);
            return;
        }
        self.adopt(now, *view, out);
        if self.job.ended {
            self.close(now, out);
        }
    }

    fn adopt(&mut self, now: Millis, view: JobView, out: &mut Actions) {
        self.epoch = Some(view.epoch);
        self.on_recorded(now, view.published, out);
        self.next_cursor = view.next;
        self.past_spent = view.spent;
        self.done = view.done;
        self.current = view.current;
        // Groups that are whole already need not be generated; dispatch waits a while for them.
        self.hold_until = now + RECOVERY;
        out.push(Action::Recover);
        self.adopt_feeds(view.feeds, out);
    }

    /// Fetches the prompts of feeds that this daemon did not record itself.
    fn adopt_feeds(&mut self, feeds: Vec<FeedRecord>, out: &mut Actions) {
        for feed in feeds {
            let over = self.done.covers(feed.first, feed.first + feed.count);
            let mut known = self.feeds.iter();
            if over || known.any(|known| known.record.first == feed.first) {
                continue;
            }
            out.push(Action::Fetch {
                blob: BlobId::Feed(feed.first),
                holders: feed.holders.clone(),
            });
            self.feeds.push(FeedState::missing(feed));
        }
    }

    fn on_publish_answer(
        &mut self,
        now: Millis,
        token: Token,
        result: LedgerResult,
        out: &mut Actions,
    ) {
        let ticket = self.asking.remove(&token);
        let answer = match result {
            Ok(LedgerReply::Published(version)) => {
                self.on_recorded(now, version, out);
                Answer::Published(version)
            }
            Ok(_) => return,
            Err(refusal) => Answer::Refused(refused(&refusal)),
        };
        if let Some(ticket) = ticket {
            Self::reply(ticket, answer, out);
        }
    }

    /// Hands the finished samples of unfinished groups to a second daemon and steps down.
    pub(super) fn resign(&mut self, now: Millis, out: &mut Actions) {
        // Tokens that no attempt under way can use are not written off, if this gets through.
        self.hand_back(now, out);
        for group in self.pool.partial_groups() {
            Self::keep_group(Some(group), out);
        }
        self.step_down(out);
    }

    fn step_down(&mut self, out: &mut Actions) {
        self.deposed = true;
        let running: Vec<_> = self.attempts.keys().copied().collect();
        for attempt in running {
            out.push(Action::CancelAttempt(attempt));
        }
        let pull = self.pull.take().map(|pull| pull.ticket);
        let feeds = std::mem::take(&mut self.feeding);
        let feeds = feeds.into_values().map(|feed| feed.ticket);
        let asking = std::mem::take(&mut self.asking);
        for ticket in pull.into_iter().chain(feeds).chain(asking.into_values()) {
            Self::reply(ticket, Answer::Refused(moved()), out);
        }
        out.push(Action::StepDown);
    }

    /// Refuses a trainer's request that comes before or after this daemon's time in charge.
    pub(super) fn refuse_event(event: &Event, out: &mut Actions) {
        if let Some(ticket) = event.ticket() {
            Self::reply(ticket, Answer::Refused(moved()), out);
        }
    }
}

fn moved() -> Refusal {
    Refusal::not_run(
        RefusalCode::NoQuorum,
        "the daemon in charge of the job is changing",
        "send the same request again",
    )
    .with_retry_after(TICK)
}

/// Shapes a ledger's refusal for the trainer.
pub(super) fn refused(refusal: &LedgerRefusal) -> Refusal {
    let code = match refusal {
        LedgerRefusal::Budget { .. } | LedgerRefusal::FeedFull => RefusalCode::LimitExceeded,
        LedgerRefusal::NoJob => RefusalCode::NotFound,
        _ => RefusalCode::Conflict,
    };
    Refusal::not_run(code, &refusal.to_string(), "see the message")
}
