//! Feeds of prompts: stored on two daemons, recorded in the ledger, then queued.

use std::sync::Arc;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::rollout::FeedRequest;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Answer;
use crate::coordinator::event::Ticket;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::proposals::to_refusal;
use crate::ledger::FeedRecord;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;
use crate::ledger::RangeSet;
use crate::payload::BlobId;
use crate::payload::Payload;
use crate::payload::prompts_digest;

/// A feed that is not recorded yet.
#[derive(Debug)]
pub(super) struct PendingFeed {
    pub ticket: Ticket,
    prompts: Arc<Vec<String>>,
    digest: u64,
}

/// Whether the prompts of a recorded feed are available here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PromptState {
    Present,
    Fetching,
    /// No holder has them; the trainer must feed them again.
    Lost,
}

/// A recorded feed with unacknowledged groups.
#[derive(Debug)]
pub(super) struct FeedState {
    pub record: FeedRecord,
    prompts: PromptState,
}

impl FeedState {
    /// Makes the state of a feed whose prompts are being fetched.
    pub fn missing(record: FeedRecord) -> Self {
        Self {
            record,
            prompts: PromptState::Fetching,
        }
    }
}

impl Coordinator {
    pub(super) fn on_prompts(&mut self, ticket: Ticket, request: FeedRequest, out: &mut Actions) {
        let digest = prompts_digest(&request.prompts);
        let (Ok(digest), false) = (digest, request.prompts.is_empty()) else {
            let refusal = Refusal::not_run(
                RefusalCode::BadRequest,
                "no prompts in the request",
                "send at least one prompt",
            );
            Self::reply(ticket, Answer::Refused(refusal), out);
            return;
        };
        let feed = PendingFeed {
            ticket,
            prompts: Arc::new(request.prompts),
            digest,
        };
        out.push(Action::Replicate {
            blob: BlobId::Feed(request.first),
            payload: Payload::Prompts(Arc::clone(&feed.prompts)),
        });
        if let Some(old) = self.pending_feeds.insert(request.first, feed) {
            let refusal = Refusal::not_run(
                RefusalCode::Conflict,
                "a newer request feeds the same groups",
                "wait for the answer to the newer request",
            );
            Self::reply(old.ticket, Answer::Refused(refusal), out);
        }
    }

    pub(super) fn on_feed_stored(
        &mut self,
        now: Millis,
        first: u64,
        holders: Vec<DaemonId>,
        out: &mut Actions,
    ) {
        let Some(feed) = self.pending_feeds.get(&first) else {
            return;
        };
        let record = FeedRecord {
            first,
            count: feed.prompts.len() as u64,
            digest: feed.digest,
            holders: self.holders_or_self(holders),
        };
        let feed = LedgerChange::Feed {
            epoch: self.epoch.unwrap_or(0),
            feed: record,
        };
        self.propose(now, feed, out);
    }

    pub(super) fn holders_or_self(&self, holders: Vec<DaemonId>) -> Vec<DaemonId> {
        if holders.is_empty() {
            vec![self.daemon.clone()]
        } else {
            holders
        }
    }

    pub(super) fn on_feed_answer(
        &mut self,
        now: Millis,
        record: &FeedRecord,
        result: Result<LedgerReply, LedgerRefusal>,
        out: &mut Actions,
    ) {
        let known = self.pending_feeds.get(&record.first);
        if known.is_none_or(|feed| feed.digest != record.digest) {
            return;
        }
        let Some(feed) = self.pending_feeds.remove(&record.first) else {
            return;
        };
        let answer = match result {
            Ok(LedgerReply::Fed(count)) => {
                self.add_feed(record.clone(), &feed.prompts);
                Answer::Fed(count)
            }
            Ok(_) => return,
            Err(refusal) => {
                // A late duplicate of an earlier feed may have been recorded after its refusal.
                self.read_ledger(now, out);
                Answer::Refused(to_refusal(&refusal))
            }
        };
        Self::reply(feed.ticket, answer, out);
    }

    fn add_feed(&mut self, record: FeedRecord, prompts: &[String]) {
        let end = record.first + record.count;
        if self.done.covers(record.first, end) {
            return;
        }
        self.load_prompts(record.first, prompts);
        let known = self
            .feeds
            .iter_mut()
            .find(|feed| feed.record.first == record.first);
        let state = FeedState {
            record,
            prompts: PromptState::Present,
        };
        match known {
            Some(feed) => *feed = state,
            None => self.feeds.push(state),
        }
    }

    /// Returns the groups that are acknowledged or in a batch.
    fn consumed(&self) -> RangeSet {
        let mut consumed = self.done.clone();
        if let Some(batch) = &self.current {
            consumed.extend(&batch.groups);
            consumed.extend(&batch.dropped);
        }
        if let Some(batch) = self.forming() {
            consumed.extend(&batch.groups.iter().map(|group| group.group).collect());
        }
        consumed
    }

    fn load_prompts(&mut self, first: u64, prompts: &[String]) {
        let consumed = self.consumed();
        self.pool.add(first, prompts, &consumed);
    }

    pub(super) fn on_feed_fetched(&mut self, first: u64, payload: Option<Payload>) {
        let known = self
            .feeds
            .iter_mut()
            .find(|feed| feed.record.first == first);
        let Some(feed) = known.filter(|feed| feed.prompts == PromptState::Fetching) else {
            return;
        };
        let digest = feed.record.digest;
        match payload {
            Some(Payload::Prompts(prompts)) if prompts_digest(&prompts) == Ok(digest) => {
                feed.prompts = PromptState::Present;
                self.load_prompts(first, &prompts);
            }
            _ => feed.prompts = PromptState::Lost,
        }
    }

    /// Returns the first feed whose prompts are lost.
    pub(super) fn lost_feed(&self) -> Option<&FeedRecord> {
        let mut lost = self
            .feeds
            .iter()
            .filter(|feed| feed.prompts == PromptState::Lost);
        lost.next().map(|feed| &feed.record)
    }

    /// Returns whether the prompts of every recorded feed are present.
    pub(super) fn has_all_prompts(&self) -> bool {
        self.feeds
            .iter()
            .all(|feed| feed.prompts == PromptState::Present)
    }

    /// Adds the groups that were stored for earlier coordinators.
    pub(super) fn on_recovered(&mut self, groups: &[Arc<Group>], out: &mut Actions) {
        let consumed = self.consumed();
        for group in groups {
            if !consumed.contains(group.group) {
                self.pool.recover(group, self.job.group_size);
            }
        }
        self.hold_until = Millis::ZERO;
        self.drop_stale(out);
    }

    /// Releases the feeds whose groups are all acknowledged.
    pub(super) fn trim_feeds(&mut self, out: &mut Actions) {
        let before = self.feeds.len();
        let done = &self.done;
        self.feeds.retain(|feed| {
            let record = &feed.record;
            let over = done.covers(record.first, record.first + record.count);
            if over {
                out.push(Action::Release {
                    blob: BlobId::Feed(record.first),
                    holders: record.holders.clone(),
                });
            }
            !over
        });
        if self.feeds.len() < before {
            let open = self.feeds.iter().map(|feed| feed.record.first).min();
            out.push(Action::ReleaseGroups(open.unwrap_or(self.done.end())));
        }
    }
}
