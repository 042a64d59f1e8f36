//! Commands, replies and refusals of the ledger.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::TrainerId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ledger::ranges::RangeSet;

/// A change of one job's ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerCommand {
    /// Job whose ledger changes; the first `Lead` creates the ledger.
    pub job: JobId,
    /// The change. Every change is idempotent, so it may be proposed again at any time.
    pub change: LedgerChange,
}

/// A change of a job's ledger; one that names an epoch is refused outside of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// Makes a daemon the coordinator; another daemon or incarnation starts a new epoch.
    Lead {
        /// Daemon that coordinates the job from now on.
        daemon: DaemonId,
        /// Its incarnation: a restarted daemon has lost its state and leads a new epoch.
        incarnation: Incarnation,
    },
    /// Records that prompts were fed; feeding the same prompts again replaces the holders.
    Feed {
        /// Epoch of the coordinator, which stores the prompts itself.
        epoch: u64,
        /// Groups, digest and payload holders of the prompts.
        feed: FeedRecord,
    },
    /// Records a published version; a lower one changes nothing.
    Publish {
        /// Published version; the ledger keeps the highest.
        version: WeightVersion,
    },
    /// Acquires or renews the trainer's lease, acknowledges the cursor before `cursor` and
    /// queries the state of `cursor`.
    #[serde(rename = "take")]
    Pull {
        /// Epoch of the coordinator.
        epoch: u64,
        /// Number of the pull in the epoch, from 1; a late duplicate of an older one is refused.
        number: u64,
        /// Trainer process that pulls.
        trainer: TrainerId,
        /// Pulled cursor: the next one, or the current one again.
        cursor: u64,
        /// Digest that the trainer holds of the cursor before, checked if given.
        held: Option<u64>,
        /// Whether the trainer declares that it lacks the cursor before, which is then not
        /// acknowledged.
        skipped: bool,
        /// Requested length of the lease, capped at [`crate::ledger::job::MAX_LEASE`].
        lease: Millis,
        /// Staleness bound in force, in versions.
        bound: u64,
    },
    /// Renews the trainer's lease while it trains; a length of zero releases it.
    Renew {
        /// Epoch of the coordinator.
        epoch: u64,
        /// Trainer process, which must hold the lease.
        trainer: TrainerId,
        /// Requested length of the lease, capped at [`crate::ledger::job::MAX_LEASE`].
        lease: Millis,
    },
    /// Freezes the batch of the next cursor.
    #[serde(rename = "cut")]
    Freeze {
        /// Epoch of the coordinator.
        epoch: u64,
        /// Trainer process that will receive the batch; it must hold the lease.
        trainer: TrainerId,
        /// Batch to freeze.
        batch: BatchRecord,
        /// Staleness bound in force, in versions.
        bound: u64,
        /// Tokens spent by this epoch so far.
        spent: u64,
    },
    /// Sets the token counts of this epoch: the tokens spent and the total reserved.
    Reserve {
        /// Epoch of the coordinator.
        epoch: u64,
        /// Number of this change in the epoch, from 1; an older one changes nothing.
        sequence: u64,
        /// Tokens spent by this epoch so far.
        spent: u64,
        /// Tokens that this epoch may spend in total, the spent ones included.
        total: u64,
        /// The job's token budget in force.
        budget: u64,
    },
    /// Ends the job; its lease, feeds, groups and batch are dropped, its counters stay.
    End {
        /// Epoch of the coordinator.
        epoch: u64,
    },
}

/// Prompts fed in one request; their texts are in the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Group number of the first prompt.
    #[serde(rename = "f")]
    pub first: u64,
    /// Number of prompts, one group each.
    #[serde(rename = "n")]
    pub count: u64,
    /// Digest of the prompts, by which a repeated feed is recognised.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Daemons that store the payload.
    #[serde(rename = "h")]
    pub holders: Vec<DaemonId>,
}

/// A frozen batch; its samples are in the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Cursor under which the batch is pulled.
    #[serde(rename = "c")]
    pub cursor: u64,
    /// Groups whose samples are in the batch.
    #[serde(rename = "g")]
    pub groups: RangeSet,
    /// Groups that were given up, reported to the trainer in this batch.
    #[serde(rename = "x")]
    pub dropped: RangeSet,
    /// Number of samples in the batch.
    #[serde(rename = "n")]
    pub samples: u32,
    /// Digest of cursor, groups and dropped groups; see [`crate::payload::batch_digest`].
    #[serde(rename = "d")]
    pub digest: u64,
    /// Oldest version that produced a token of the batch.
    #[serde(rename = "v")]
    pub oldest: WeightVersion,
    /// Daemons that store the payload.
    #[serde(rename = "h")]
    pub holders: Vec<DaemonId>,
}

/// State of a pulled cursor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CursorState {
    /// No batch is frozen under it yet.
    Open,
    /// Its batch is frozen and within the staleness bound.
    #[serde(rename = "cut")]
    Frozen(BatchRecord),
    /// Its batch is frozen but now exceeds the staleness bound.
    Stale(BatchRecord),
}

/// State that a daemon needs to become the coordinator of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Epoch in force; each new coordinator raises it by one.
    pub epoch: u64,
    /// Prompts fed in total, which is also the number of the next group.
    pub fed: u64,
    /// Feeds with unacknowledged groups, oldest first.
    pub feeds: Vec<FeedRecord>,
    /// Groups of acknowledged batches, those given up included.
    pub done: RangeSet,
    /// Frozen batch that is not acknowledged yet.
    pub current: Option<BatchRecord>,
    /// Cursor to be frozen next.
    pub next: u64,
    /// Newest published version.
    pub published: WeightVersion,
    /// Tokens spent by all earlier epochs, their unused reservations included.
    pub spent: u64,
}

/// The ledger's answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// Answer to `Lead`: the state in which the daemon starts.
    Leading(Box<JobView>),
    /// Answer to `Feed`: prompts fed in total.
    Fed(u64),
    /// Answer to `Publish`: newest version.
    Published(WeightVersion),
    /// Answer to `Renew`: end of the lease.
    Renewed(WallMillis),
    /// Answer to `Pull`.
    #[serde(rename = "taken")]
    Pulled {
        /// State of the pulled cursor.
        state: CursorState,
        /// Newest version at this position of the log.
        published: WeightVersion,
    },
    /// Answer to `Freeze`.
    #[serde(rename = "cut")]
    Frozen {
        /// Cursor of the frozen batch.
        cursor: u64,
        /// Newest version at this position of the log.
        published: WeightVersion,
    },
    /// Answer to `Reserve`: tokens that the epoch may spend in total.
    Reserved(u64),
    /// Answer to `End`; only `Lead` and `Publish` are accepted afterwards.
    Ended,
}

/// Why the ledger refused a change.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum LedgerRefusal {
    /// Another daemon or incarnation became the coordinator.
    #[error("epoch {epoch} is in force; stop coordinating the job and forward to its daemon")]
    Deposed {
        /// Epoch in force, that of the present coordinator.
        epoch: u64,
    },
    /// Another trainer process holds the lease.
    #[error(
        "trainer `{holder}` holds the job until {until:?}; stop it or wait for its lease to end"
    )]
    Held {
        /// Trainer process that holds the lease.
        holder: TrainerId,
        /// Wall-clock time at which its lease ends.
        until: WallMillis,
    },
    /// A newer pull was applied before.
    #[error("a newer pull took the place of this one; use the answer to the newer pull")]
    Superseded,
    /// The trainer holds no lease that is still valid.
    #[error("the trainer holds no lease on the job; pull again")]
    NoLease,
    /// The cursor is neither the last nor the next one.
    #[error(
        "cursor {cursor} cannot be given; the next one is {next}, only the one before it can be pulled again"
    )]
    BadCursor {
        /// Cursor of the pull or of the batch to freeze.
        cursor: u64,
        /// Cursor to be frozen next.
        next: u64,
    },
    /// The digest that the trainer holds is not the recorded one.
    #[error(
        "digest {held} is not that of cursor {cursor} ({recorded}); discard the batch and pull cursor {cursor} again"
    )]
    BadDigest {
        /// Cursor that the pull would acknowledge.
        cursor: u64,
        /// Digest that the trainer sent.
        held: u64,
        /// Digest recorded in the ledger.
        recorded: u64,
    },
    /// A sample of the batch exceeds the staleness bound.
    #[error("version {oldest} is too old next to {published}; generate the group again")]
    Stale {
        /// Oldest version in the batch.
        oldest: WeightVersion,
        /// Newest published version.
        published: WeightVersion,
    },
    /// A group was acknowledged before, never fed, or is both delivered and dropped.
    #[error("the batch names groups that are done or were never fed; read the ledger again")]
    BadGroups,
    /// The prompts do not follow those fed before.
    #[error(
        "prompts start at group {first} but {fed} were fed; feed from {fed} on, or the same prompts again"
    )]
    BadFeed {
        /// Group number of the first prompt in the request.
        first: u64,
        /// Prompts fed so far.
        fed: u64,
    },
    /// Too many feeds or groups are unacknowledged.
    #[error(
        "the job holds its limit of unacknowledged feeds or groups; pull batches before feeding more"
    )]
    FeedFull,
    /// The reservation exceeds the token budget.
    #[error("the token budget is used up ({left} left); raise it or end the job")]
    Budget {
        /// Tokens that can still be reserved.
        left: u64,
    },
    /// The job has ended.
    #[error("the job has ended; create another one")]
    Ended,
    /// No daemon has coordinated the job yet.
    #[error("no daemon is in charge of the job yet; take charge first")]
    NoJob,
}
