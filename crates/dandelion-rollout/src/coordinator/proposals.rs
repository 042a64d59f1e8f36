//! Outstanding proposals: resent until answered; each answer is handled by the kind of change.

use dandelion_protocol::control::ProposeError;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Answer;
use crate::coordinator::event::Event;
use crate::coordinator::event::ProposalId;
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

/// Longest wait for the groups that are stored on other daemons.
const RECOVERY_WAIT: Millis = Millis::from_secs(2);

/// A proposal without an answer.
#[derive(Debug)]
pub(super) struct Outstanding {
    change: LedgerChange,
    sent: Millis,
}

/// The ledger's answer to a proposal.
type LedgerResult = Result<LedgerReply, LedgerRefusal>;

impl Coordinator {
    pub(super) fn propose(
        &mut self,
        now: Millis,
        change: LedgerChange,
        out: &mut Actions,
    ) -> ProposalId {
        self.last_proposal += 1;
        let proposal = ProposalId(self.last_proposal);
        out.push(self.proposal_action(proposal, &change));
        self.outstanding
            .insert(proposal, Outstanding { change, sent: now });
        proposal
    }

    fn proposal_action(&self, proposal: ProposalId, change: &LedgerChange) -> Action {
        let command = LedgerCommand {
            job: self.job.id.clone(),
            change: change.clone(),
        };
        Action::Propose { proposal, command }
    }

    /// Sends unanswered proposals again, which is safe because every change is idempotent.
    pub(super) fn resend(&mut self, now: Millis, out: &mut Actions) {
        let wait = self.settings.resend_interval;
        let mut due = Vec::new();
        for (proposal, pending) in &mut self.outstanding {
            if now.since(pending.sent) >= wait {
                pending.sent = now;
                due.push((*proposal, pending.change.clone()));
            }
        }
        for (proposal, change) in due {
            out.push(self.proposal_action(proposal, &change));
        }
    }

    pub(super) fn on_answer(
        &mut self,
        now: Millis,
        proposal: ProposalId,
        answer: Result<LedgerResult, ProposeError>,
        out: &mut Actions,
    ) {
        let Ok(result) = answer else {
            return;
        };
        let Some(known) = self.outstanding.remove(&proposal) else {
            return;
        };
        if matches!(result, Err(LedgerRefusal::Deposed { .. })) {
            self.step_down(out);
            return;
        }
        match known.change {
            LedgerChange::Lead { .. } => self.on_lead(now, result, out),
            LedgerChange::Feed { feed, .. } => self.on_feed_answer(now, &feed, result, out),
            LedgerChange::Publish { .. } => self.on_publish_answer(now, proposal, result, out),
            LedgerChange::Renew { trainer, lease, .. } => {
                self.on_renew_answer(now, proposal, (&trainer, lease), result, out);
            }
            LedgerChange::Pull { skipped, .. } => {
                self.on_pull_answer(now, proposal, skipped, result, out);
            }
            LedgerChange::Freeze { .. } => self.on_freeze_answer(now, proposal, &result, out),
            LedgerChange::Reserve { .. } => self.on_reserve_answer(proposal, &result),
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
        // Groups that are complete already need not be generated, so dispatch waits for them.
        self.hold_until = now + RECOVERY_WAIT;
        out.push(Action::Recover);
        self.adopt_feeds(view.feeds, out);
    }

    /// Adds the feeds that are not known here and fetches their prompts.
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
        proposal: ProposalId,
        result: LedgerResult,
        out: &mut Actions,
    ) {
        let ticket = self.proposal_tickets.remove(&proposal);
        let answer = match result {
            Ok(LedgerReply::Published(version)) => {
                self.on_recorded(now, version, out);
                Answer::Published(version)
            }
            Ok(_) => return,
            Err(refusal) => Answer::Refused(to_refusal(&refusal)),
        };
        if let Some(ticket) = ticket {
            Self::reply(ticket, answer, out);
        }
    }

    /// Stores the complete samples of incomplete groups on a second daemon and steps down.
    pub(super) fn resign(&mut self, now: Millis, out: &mut Actions) {
        // If this proposal is applied, tokens that no running attempt needs are not written off.
        self.release_unused(now, out);
        for group in self.pool.partial_groups() {
            Self::replicate_group(Some(group), out);
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
        let feeds = std::mem::take(&mut self.pending_feeds);
        let feeds = feeds.into_values().map(|feed| feed.ticket);
        let proposal_tickets = std::mem::take(&mut self.proposal_tickets);
        for ticket in pull
            .into_iter()
            .chain(feeds)
            .chain(proposal_tickets.into_values())
        {
            Self::reply(ticket, Answer::Refused(coordinator_changing()), out);
        }
        out.push(Action::StepDown);
    }

    /// Refuses a trainer's request that arrives before this coordinator leads or after it has
    /// stepped down.
    pub(super) fn refuse_event(event: &Event, out: &mut Actions) {
        if let Some(ticket) = event.ticket() {
            Self::reply(ticket, Answer::Refused(coordinator_changing()), out);
        }
    }
}

fn coordinator_changing() -> Refusal {
    Refusal::not_run(
        RefusalCode::NoQuorum,
        "the daemon in charge of the job is changing",
        "send the same request again",
    )
    .with_retry_after(TICK)
}

/// Converts a refusal of the ledger into one for the trainer.
pub(super) fn to_refusal(refusal: &LedgerRefusal) -> Refusal {
    let code = match refusal {
        LedgerRefusal::Budget { .. } | LedgerRefusal::FeedFull => RefusalCode::LimitExceeded,
        LedgerRefusal::NoJob => RefusalCode::NotFound,
        _ => RefusalCode::Conflict,
    };
    Refusal::not_run(code, &refusal.to_string(), "see the message")
}
