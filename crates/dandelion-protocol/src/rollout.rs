//! Samples, groups and the trainer's interface.

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
    /// First token.
    pub start: u32,
    /// One past the last token.
    pub end: u32,
}

/// Identity of a sample; it does not depend on the attempt that produced it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SampleId {
    /// Job.
    pub job: JobId,
    /// Group number within the job; one prompt per group.
    pub group: u64,
    /// Index within the group.
    pub index: u32,
}

/// One finished sample as handed to the trainer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Identity.
    pub id: SampleId,
    /// Generated text.
    pub text: String,
    /// Weight versions of every token, in order and without gaps.
    pub segments: Vec<Segment>,
    /// Attempts whose tokens are in the text, in order.
    pub attempts: Vec<u64>,
    /// Result of the scoring service, if the job names one.
    pub score: Option<f64>,
}

impl Sample {
    /// Returns the oldest version that produced a token of it.
    pub fn oldest(&self) -> Option<WeightVersion> {
        self.segments.iter().map(|segment| segment.version).min()
    }
}

/// All samples of one prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Group number within the job.
    pub group: u64,
    /// Prompt text.
    pub prompt: String,
    /// The samples, ordered by index.
    pub samples: Vec<Sample>,
}

/// A batch as answered to `POST /v1/jobs/{job}/batch`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Cursor of this batch; pulling it again gives the same bytes.
    pub cursor: u64,
    /// Cursor to pull next; pulling it acknowledges this batch.
    pub next: u64,
    /// Digest of the groups, as recorded in the ledger.
    pub digest: u64,
    /// Whole groups.
    pub groups: Vec<Group>,
    /// Groups that are given up because every attempt failed; they never come again.
    pub dropped: Vec<u64>,
}

/// Name of a trainer process, unique per process life.
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
    /// Trainer process.
    pub trainer: TrainerId,
    /// Cursor wanted; the first of a job is 0.
    pub cursor: u64,
    /// Digest of the batch of the cursor before, checked if given.
    #[serde(default)]
    pub held: Option<u64>,
    /// Set if the cursor before was answered as void, so that its groups come again.
    #[serde(default)]
    pub skipped: bool,
    /// Longest wait for whole groups.
    #[serde(default)]
    pub wait: Millis,
}

/// Body of `POST /v1/jobs/{job}/prompts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Group number of the first prompt: the number of prompts fed before.
    pub first: u64,
    /// One prompt per group.
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
    /// Trainer process.
    pub trainer: TrainerId,
    /// Set to hand the lease back.
    #[serde(default)]
    pub release: bool,
}

/// Why a cursor's batch cannot be given any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoidReason {
    /// A sample of it is older than the staleness bound by now.
    Stale,
    /// Every daemon that held its payload is gone.
    PayloadLost,
}

/// Answer in place of a batch that cannot be given any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoidBatch {
    /// Cursor of the batch.
    pub cursor: u64,
    /// Cursor to pull next, with `skipped` set.
    pub next: u64,
    /// Why.
    pub reason: VoidReason,
    /// Samples that are generated again.
    pub samples: u32,
}
