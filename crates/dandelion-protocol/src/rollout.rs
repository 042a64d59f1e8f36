//! Samples, groups and batches, and the bodies of the trainers' requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::ids::WeightVersion;
use crate::time::Millis;

/// Tokens `start..end` of a sample, generated under one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Version that the engine reported at both ends of the segment.
    pub version: WeightVersion,
    /// Index of the first token in the sample.
    pub start: u32,
    /// Index after the last token.
    pub end: u32,
}

/// Identity of a sample; it does not depend on the attempt that produced it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SampleId {
    /// Rollout job that it is generated for.
    pub job: JobId,
    /// Number of the group within the job; a group has one prompt.
    pub group: u64,
    /// Index within the group, below the job's group size.
    pub index: u32,
}

/// A finished sample, as delivered to the trainer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Identity.
    pub id: SampleId,
    /// Generated text.
    pub text: String,
    /// Weight versions of the tokens; the segments are in order and without gaps.
    pub segments: Vec<Segment>,
    /// Numbers of the attempts that generated the text, in order.
    pub attempts: Vec<u64>,
    /// Score by the scoring service; none if the job names no such service.
    pub score: Option<f64>,
}

impl Sample {
    /// Returns the oldest weight version that generated a token, or none if there are no tokens.
    pub fn oldest(&self) -> Option<WeightVersion> {
        self.segments.iter().map(|segment| segment.version).min()
    }
}

/// All samples of one prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Number of the group within the job, from 0 in the order in which prompts are fed.
    pub group: u64,
    /// Text of the prompt.
    pub prompt: String,
    /// Samples, ordered by index.
    pub samples: Vec<Sample>,
}

/// A batch of finished groups, the answer to `POST /v1/jobs/{job}/batch`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Cursor of this batch; pulling it again returns the same bytes.
    pub cursor: u64,
    /// Cursor to pull next; pulling it acknowledges this batch.
    pub next: u64,
    /// Digest of the cursor and the groups, as recorded in the ledger.
    pub digest: u64,
    /// Complete groups.
    pub groups: Vec<Group>,
    /// Groups that were given up because every attempt failed; final once the batch is
    /// acknowledged.
    pub dropped: Vec<u64>,
}

/// Identity of a trainer process; a restarted process must use a new one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TrainerId(pub String);

impl fmt::Display for TrainerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Body of `POST /v1/jobs/{job}/batch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Trainer process that pulls.
    pub trainer: TrainerId,
    /// Requested cursor; the first of a job is 0.
    pub cursor: u64,
    /// Digest of the batch that the trainer received for the previous cursor; checked if present.
    #[serde(default)]
    pub held: Option<u64>,
    /// Set if the previous cursor was answered by a [`VoidBatch`], so that its groups are delivered
    /// again.
    #[serde(default)]
    pub skipped: bool,
    /// Longest wait for complete groups.
    #[serde(default)]
    pub wait: Millis,
}

/// Body of `POST /v1/jobs/{job}/prompts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Number of the first prompt's group, which is the number of prompts fed before.
    pub first: u64,
    /// Texts of the prompts, one per group; at least one.
    pub prompts: Vec<String>,
}

/// Body of `POST /v1/jobs/{job}/versions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Version that engines can now fetch from the weight store.
    pub version: WeightVersion,
}

/// Body of `POST /v1/jobs/{job}/lease`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Trainer process that holds the lease.
    pub trainer: TrainerId,
    /// Set to release the lease instead of renewing it.
    #[serde(default)]
    pub release: bool,
}

/// Why a cursor's batch can no longer be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoidReason {
    /// A sample of it exceeds the staleness bound by now.
    Stale,
    /// No daemon that stored its payload returned it.
    PayloadLost,
}

/// Answer in place of a batch that can no longer be delivered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoidBatch {
    /// Cursor of the batch.
    pub cursor: u64,
    /// Cursor to pull next, with `skipped` set.
    pub next: u64,
    /// Why it cannot be delivered.
    pub reason: VoidReason,
    /// Number of samples in the batch, which are delivered or generated again after the next pull.
    pub samples: u32,
}
