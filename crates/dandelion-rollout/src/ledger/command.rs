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
    /// Job.
    pub job: JobId,
    /// What changes. Every change is idempotent, so that it may be proposed again at any time.
    pub change: LedgerChange,
}

/// What changes in a job's ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// Puts a daemon in charge; a change of daemon or incarnation starts a new epoch.
    Lead {
        /// Daemon.
        daemon: DaemonId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// Records that prompts were fed; feeding the same again renews the holders.
    Feed {
        /// Epoch of the daemon in charge, which is the one to hold the prompts.
        epoch: u64,
        /// Feed and its payload holders.
        feed: FeedRecord,
    },
    /// Records a published version; a lower one changes nothing.
    Publish {
        /// Version.
        version: WeightVersion,
    },
    /// Takes or renews the trainer's lease, acknowledges the cursor before `cursor` and asks
    /// how `cursor` stands.
    Take {
        /// Epoch of the daemon in charge.
        epoch: u64,
        /// Counts the takes of the epoch, from 1; a late copy of an older one changes nothing.
        number: u64,
        /// Trainer process.
        trainer: TrainerId,
        /// Cursor that it pulls.
        cursor: u64,
        /// Digest that it holds of the cursor before, if it said so.
        held: Option<u64>,
        /// Whether it declares not to have the cursor before.
        skipped: bool,
        /// Length of its lease.
        lease: Millis,
        /// Staleness bound now in force.
        bound: u64,
    },
    /// Renews the trainer's lease while it trains; a zero length hands it back.
    Renew {
        /// Epoch of the daemon in charge.
        epoch: u64,
        /// Trainer process.
        trainer: TrainerId,
        /// Length of its lease.
        lease: Millis,
    },
    /// Freezes the groups of a cursor.
    Cut {
        /// Epoch of the daemon in charge.
        epoch: u64,
        /// Trainer process that will receive it.
        trainer: TrainerId,
        /// Frozen batch.
        batch: BatchRecord,
        /// Staleness bound now in force.
        bound: u64,
        /// Tokens spent by this epoch so far.
        spent: u64,
    },
    /// Sets the tokens of this epoch: what it has spent, and its limit in all.
    Reserve {
        /// Epoch of the daemon in charge.
        epoch: u64,
        /// Counts these changes within the epoch, from 1; an older one changes nothing.
        sequence: u64,
        /// Tokens spent by this epoch.
        spent: u64,
        /// Tokens that this epoch may spend in all, those spent included.
        total: u64,
        /// Job's budget now in force.
        budget: u64,
    },
    /// Drops all but the counters of an ended job.
    End {
        /// Epoch of the daemon in charge.
        epoch: u64,
    },
}

/// Prompts fed in one request; their text is in the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRecord {
    /// Group of the first prompt.
    #[serde(rename = "f")]
    pub first: u64,
    /// Number of prompts.
    #[serde(rename = "n")]
    pub count: u64,
    /// Digest of the prompts.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Daemons that hold the payload.
    #[serde(rename = "h")]
    pub holders: Vec<DaemonId>,
}

/// A frozen batch; its samples are in the payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Cursor.
    #[serde(rename = "c")]
    pub cursor: u64,
    /// Groups in it.
    #[serde(rename = "g")]
    pub groups: RangeSet,
    /// Groups given up, reported in it.
    #[serde(rename = "x")]
    pub dropped: RangeSet,
    /// Samples in it.
    #[serde(rename = "n")]
    pub samples: u32,
    /// Digest of the groups' bytes.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Oldest version that produced a token in it.
    #[serde(rename = "v")]
    pub oldest: WeightVersion,
    /// Daemons that hold the payload.
    #[serde(rename = "h")]
    pub holders: Vec<DaemonId>,
}

/// How a pulled cursor stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CursorState {
    /// It can be cut.
    Open,
    /// It was cut and is fresh.
    Cut(BatchRecord),
    /// It was cut and is older than the bound by now.
    Stale(BatchRecord),
}

/// What a daemon needs to take charge of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Epoch.
    pub epoch: u64,
    /// Prompts fed.
    pub fed: u64,
    /// Feeds with groups that are not acknowledged.
    pub feeds: Vec<FeedRecord>,
    /// Acknowledged or given up groups.
    pub done: RangeSet,
    /// Batch that is not acknowledged.
    pub current: Option<BatchRecord>,
    /// Cursor to be cut next.
    pub next: u64,
    /// Newest published version.
    pub published: WeightVersion,
    /// Tokens spent or written off by all epochs before.
    pub spent: u64,
}

/// The ledger's answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// Answer to `Lead`.
    Leading(Box<JobView>),
    /// Answer to `Feed`: prompts fed in all.
    Fed(u64),
    /// Answer to `Publish`: newest version.
    Published(WeightVersion),
    /// Answer to `Renew`: end of the lease.
    Renewed(WallMillis),
    /// Answer to `Take`.
    Taken {
        /// How the cursor stands.
        state: CursorState,
        /// Newest version at this position of the log.
        published: WeightVersion,
    },
    /// Answer to `Cut`.
    Cut {
        /// Cursor.
        cursor: u64,
        /// Newest version at this position of the log.
        published: WeightVersion,
    },
    /// Answer to `Reserve`: tokens that the epoch may spend in all.
    Reserved(u64),
    /// Answer to `End`.
    Ended,
}

/// Why the ledger refused a change.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum LedgerRefusal {
    /// Another daemon took charge.
    #[error("epoch {epoch} is in force; stop coordinating the job and forward to its daemon")]
    Deposed {
        /// Epoch in force.
        epoch: u64,
    },
    /// Another trainer process holds the lease.
    #[error(
        "trainer `{holder}` holds the job until {until:?}; stop it or wait for its lease to end"
    )]
    Held {
        /// Holder.
        holder: TrainerId,
        /// End of its lease.
        until: WallMillis,
    },
    /// A newer take was applied.
    #[error("a newer pull took the place of this one; use the answer to the newer pull")]
    Superseded,
    /// The trainer has no lease.
    #[error("the trainer holds no lease on the job; pull again")]
    NoLease,
    /// The cursor is neither the last nor the next one.
    #[error(
        "cursor {cursor} cannot be given; the next one is {next}, only the one before it can be pulled again"
    )]
    BadCursor {
        /// Cursor pulled.
        cursor: u64,
        /// Cursor to be cut next.
        next: u64,
    },
    /// The trainer holds other bytes than the ledger recorded.
    #[error(
        "digest {held} is not that of cursor {cursor} ({recorded}); discard the batch and pull cursor {cursor} again"
    )]
    BadDigest {
        /// Cursor acknowledged.
        cursor: u64,
        /// Digest given.
        held: u64,
        /// Digest recorded.
        recorded: u64,
    },
    /// A sample of the batch is older than the bound.
    #[error("version {oldest} is too old next to {published}; generate the group again")]
    Stale {
        /// Oldest version in the batch.
        oldest: WeightVersion,
        /// Newest published version.
        published: WeightVersion,
    },
    /// A group was acknowledged before or never fed.
    #[error("the batch names groups that are done or were never fed; read the ledger again")]
    BadGroups,
    /// The prompts do not follow those fed before.
    #[error(
        "prompts start at group {first} but {fed} were fed; feed from {fed} on, or the same prompts again"
    )]
    BadFeed {
        /// First group given.
        first: u64,
        /// Prompts fed.
        fed: u64,
    },
    /// Too many prompts wait.
    #[error(
        "the job holds its limit of unacknowledged feeds or groups; pull batches before feeding more"
    )]
    FeedFull,
    /// The budget does not allow it.
    #[error("the token budget is used up ({left} left); raise it or end the job")]
    Budget {
        /// Tokens left to reserve.
        left: u64,
    },
    /// The job has ended.
    #[error("the job has ended; create another one")]
    Ended,
    /// No daemon took charge yet.
    #[error("no daemon is in charge of the job yet; take charge first")]
    NoJob,
}
