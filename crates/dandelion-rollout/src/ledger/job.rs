//! The ledger of one job.

use std::collections::VecDeque;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger::command::BatchRecord;
use crate::ledger::command::CursorState;
use crate::ledger::command::FeedRecord;
use crate::ledger::command::JobView;
use crate::ledger::command::LedgerRefusal;
use crate::ledger::command::LedgerReply;
use crate::ledger::ranges::RangeSet;
use crate::staleness::is_fresh;

/// Maximum number of unacknowledged feeds.
pub const MAX_FEEDS: usize = 256;

/// Maximum number of groups from the oldest unacknowledged feed to the newest fed group.
pub const MAX_OPEN_GROUPS: u64 = 65_536;

/// Longest lease granted to a trainer; longer requests are capped.
pub const MAX_LEASE: Millis = Millis::from_secs(120);

type Outcome = Result<LedgerReply, LedgerRefusal>;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Leader {
    daemon: DaemonId,
    incarnation: Incarnation,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    trainer: TrainerId,
    until: WallMillis,
}

/// The newest pull of the epoch and its refusal, if it was refused.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LastPull {
    number: u64,
    refusal: Option<LedgerRefusal>,
}

/// The replicated record of one job; its size does not grow with the samples delivered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLedger {
    epoch: u64,
    leader: Option<Leader>,
    lease: Option<Lease>,
    fed: u64,
    feeds: VecDeque<FeedRecord>,
    done: RangeSet,
    current: Option<BatchRecord>,
    next: u64,
    published: WeightVersion,
    /// Tokens spent by earlier epochs, their unused reservations included.
    past_spent: u64,
    /// Tokens that this epoch may spend in total.
    reserved: u64,
    /// Tokens spent by this epoch, as last reported.
    spent: u64,
    /// Number of the last `Reserve` applied in this epoch.
    sequence: u64,
    #[serde(rename = "last_take")]
    last_pull: LastPull,
    /// Samples in acknowledged batches.
    samples: u64,
    ended: bool,
}

impl JobLedger {
    /// Returns the state that a daemon needs to coordinate the job.
    pub fn view(&self) -> JobView {
        JobView {
            epoch: self.epoch,
            fed: self.fed,
            feeds: self.feeds.iter().cloned().collect(),
            done: self.done.clone(),
            current: self.current.clone(),
            next: self.next,
            published: self.published,
            spent: self.past_spent,
        }
    }

    /// Returns the newest published version.
    pub fn published(&self) -> WeightVersion {
        self.published
    }

    /// Returns the trainer that holds the lease at `at`.
    pub fn holder(&self, at: WallMillis) -> Option<&TrainerId> {
        let lease = self.lease.as_ref().filter(|lease| at < lease.until);
        lease.map(|lease| &lease.trainer)
    }

    /// Returns the number of samples in acknowledged batches.
    pub fn acknowledged(&self) -> u64 {
        self.samples
    }

    /// Returns the tokens spent and reserved by all epochs.
    pub fn tokens(&self) -> TokenUse {
        TokenUse {
            spent: self.past_spent + self.spent,
            committed: self.past_spent + self.reserved,
        }
    }

    pub(super) fn lead(&mut self, daemon: DaemonId, incarnation: Incarnation) -> LedgerReply {
        let leader = Leader {
            daemon,
            incarnation,
        };
        if self.leader.as_ref() != Some(&leader) {
            self.epoch += 1;
            self.leader = Some(leader);
            // The previous epoch may have generated all that it reserved, so it counts as spent.
            self.past_spent += self.reserved;
            self.reserved = 0;
            self.spent = 0;
            self.sequence = 0;
            self.last_pull = LastPull::default();
        }
        LedgerReply::Leading(Box::new(self.view()))
    }

    pub(super) fn check_epoch(&self, epoch: u64) -> Result<(), LedgerRefusal> {
        if self.ended {
            return Err(LedgerRefusal::Ended);
        }
        if epoch == self.epoch {
            return Ok(());
        }
        Err(LedgerRefusal::Deposed { epoch: self.epoch })
    }

    pub(super) fn feed(&mut self, feed: FeedRecord) -> Outcome {
        let bad = LedgerRefusal::BadFeed {
            first: feed.first,
            fed: self.fed,
        };
        if feed.first != self.fed {
            return self.repeat_feed(feed, bad);
        }
        if self.feeds.len() >= MAX_FEEDS || self.open_span() + feed.count > MAX_OPEN_GROUPS {
            return Err(LedgerRefusal::FeedFull);
        }
        self.fed += feed.count;
        self.feeds.push_back(feed);
        Ok(LedgerReply::Fed(self.fed))
    }

    fn repeat_feed(&mut self, feed: FeedRecord, bad: LedgerRefusal) -> Outcome {
        if feed.first > self.fed {
            return Err(bad);
        }
        if self.done.covers(feed.first, feed.first + feed.count) {
            return Ok(LedgerReply::Fed(self.fed));
        }
        let known = self.feeds.iter_mut().find(|old| {
            (old.first, old.count, old.digest) == (feed.first, feed.count, feed.digest)
        });
        known.ok_or(bad)?.holders = feed.holders;
        Ok(LedgerReply::Fed(self.fed))
    }

    fn open_span(&self) -> u64 {
        self.feeds.front().map_or(0, |feed| self.fed - feed.first)
    }

    pub(super) fn publish(&mut self, version: WeightVersion) -> LedgerReply {
        self.published = self.published.max(version);
        LedgerReply::Published(self.published)
    }

    pub(super) fn pull(&mut self, at: WallMillis, pull: &Pull) -> Outcome {
        if pull.number < self.last_pull.number {
            return Err(LedgerRefusal::Superseded);
        }
        // A late duplicate of a refused pull must stay refused: the trainer has that answer.
        if pull.number == self.last_pull.number
            && let Some(refusal) = &self.last_pull.refusal
        {
            return Err(refusal.clone());
        }
        let outcome = self.apply_pull(at, pull);
        self.last_pull = LastPull {
            number: pull.number,
            refusal: outcome.as_ref().err().cloned(),
        };
        outcome
    }

    fn apply_pull(&mut self, at: WallMillis, pull: &Pull) -> Outcome {
        self.check_lease(at, pull.trainer)?;
        self.check_cursor(pull)?;
        self.lease = Some(Lease {
            trainer: pull.trainer.clone(),
            until: WallMillis(at.0 + pull.lease.min(MAX_LEASE).0),
        });
        if pull.cursor == self.next {
            self.close_current(pull.skipped);
        }
        Ok(LedgerReply::Pulled {
            state: self.cursor_state(pull.bound),
            published: self.published,
        })
    }

    pub(super) fn renew(&mut self, at: WallMillis, trainer: &TrainerId, lease: Millis) -> Outcome {
        self.check_holder(at, trainer)?;
        let until = WallMillis(at.0 + lease.min(MAX_LEASE).0);
        self.lease = Some(Lease {
            trainer: trainer.clone(),
            until,
        });
        Ok(LedgerReply::Renewed(until))
    }

    fn check_lease(&self, at: WallMillis, trainer: &TrainerId) -> Result<(), LedgerRefusal> {
        match &self.lease {
            Some(lease) if lease.trainer != *trainer && at < lease.until => {
                Err(LedgerRefusal::Held {
                    holder: lease.trainer.clone(),
                    until: lease.until,
                })
            }
            _ => Ok(()),
        }
    }

    fn check_cursor(&self, pull: &Pull) -> Result<(), LedgerRefusal> {
        let current = self.current.as_ref();
        let again = current.is_some_and(|batch| batch.cursor == pull.cursor);
        if pull.cursor != self.next && !again {
            return Err(LedgerRefusal::BadCursor {
                cursor: pull.cursor,
                next: self.next,
            });
        }
        match (current, pull.held) {
            (Some(batch), Some(held)) if !again && !pull.skipped && held != batch.digest => {
                Err(LedgerRefusal::BadDigest {
                    cursor: batch.cursor,
                    held,
                    recorded: batch.digest,
                })
            }
            _ => Ok(()),
        }
    }

    fn close_current(&mut self, skipped: bool) {
        let Some(batch) = self.current.take() else {
            return;
        };
        if !skipped {
            self.done.extend(&batch.dropped);
            self.done.extend(&batch.groups);
            self.samples += u64::from(batch.samples);
        }
        self.trim_feeds();
    }

    fn trim_feeds(&mut self) {
        while let Some(feed) = self.feeds.front() {
            if !self.done.covers(feed.first, feed.first + feed.count) {
                break;
            }
            self.feeds.pop_front();
        }
    }

    fn cursor_state(&self, bound: u64) -> CursorState {
        match &self.current {
            None => CursorState::Open,
            Some(batch) if is_fresh(batch.oldest, self.published, bound) => {
                CursorState::Frozen(batch.clone())
            }
            Some(batch) => CursorState::Stale(batch.clone()),
        }
    }

    pub(super) fn freeze(&mut self, freeze: &Freeze<'_>, batch: BatchRecord) -> Outcome {
        self.check_holder(freeze.at, freeze.trainer)?;
        let reply = LedgerReply::Frozen {
            cursor: batch.cursor,
            published: self.published,
        };
        if self.is_current(&batch) {
            return Ok(reply);
        }
        if !is_fresh(batch.oldest, self.published, freeze.bound) {
            return Err(LedgerRefusal::Stale {
                oldest: batch.oldest,
                published: self.published,
            });
        }
        self.check_batch(&batch)?;
        self.spent = self.spent.max(freeze.spent.min(self.reserved));
        self.next = batch.cursor + 1;
        self.current = Some(batch);
        Ok(reply)
    }

    fn check_holder(&self, at: WallMillis, trainer: &TrainerId) -> Result<(), LedgerRefusal> {
        self.check_lease(at, trainer)?;
        match &self.lease {
            Some(lease) if lease.trainer == *trainer && at < lease.until => Ok(()),
            _ => Err(LedgerRefusal::NoLease),
        }
    }

    fn is_current(&self, batch: &BatchRecord) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| (current.cursor, current.digest) == (batch.cursor, batch.digest))
    }

    fn check_batch(&self, batch: &BatchRecord) -> Result<(), LedgerRefusal> {
        if batch.cursor != self.next || self.current.is_some() {
            return Err(LedgerRefusal::BadCursor {
                cursor: batch.cursor,
                next: self.next,
            });
        }
        let known = batch.groups.end().max(batch.dropped.end()) <= self.fed;
        let done = self.done.intersects(&batch.groups) || self.done.intersects(&batch.dropped);
        if !known || done || batch.groups.intersects(&batch.dropped) {
            return Err(LedgerRefusal::BadGroups);
        }
        Ok(())
    }

    pub(super) fn reserve(&mut self, request: &Reserve) -> Outcome {
        if request.sequence <= self.sequence {
            return Ok(LedgerReply::Reserved(self.reserved));
        }
        if self.past_spent + request.total > request.budget && request.total > self.reserved {
            let left = request
                .budget
                .saturating_sub(self.past_spent + self.reserved);
            return Err(LedgerRefusal::Budget { left });
        }
        self.sequence = request.sequence;
        self.spent = self.spent.max(request.spent);
        self.reserved = request.total.max(self.spent);
        Ok(LedgerReply::Reserved(self.reserved))
    }

    pub(super) fn end(&mut self) -> LedgerReply {
        self.ended = true;
        self.lease = None;
        self.feeds.clear();
        self.done = RangeSet::default();
        self.current = None;
        LedgerReply::Ended
    }
}

/// Token totals of a job over all epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenUse {
    /// Tokens spent, unused reservations of earlier epochs included.
    pub spent: u64,
    /// Tokens spent or reserved; no reservation raises them above the budget in force.
    pub committed: u64,
}

/// Fields of [`crate::ledger::LedgerChange::Pull`], without the epoch.
#[derive(Debug)]
pub(super) struct Pull<'a> {
    pub number: u64,
    pub trainer: &'a TrainerId,
    pub cursor: u64,
    pub held: Option<u64>,
    pub skipped: bool,
    pub lease: Millis,
    pub bound: u64,
}

/// Time and conditions under which a batch is frozen.
#[derive(Debug)]
pub(super) struct Freeze<'a> {
    pub at: WallMillis,
    pub trainer: &'a TrainerId,
    pub bound: u64,
    pub spent: u64,
}

/// Fields of [`crate::ledger::LedgerChange::Reserve`], without the epoch.
#[derive(Debug)]
pub(super) struct Reserve {
    pub sequence: u64,
    pub spent: u64,
    pub total: u64,
    pub budget: u64,
}
