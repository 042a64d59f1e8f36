//! Samples, groups and the trainer's interface.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::ids::WeightVersion;

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
    /// Result of the scoring service, if the job names one.
    pub score: Option<f64>,
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
    /// Whole groups.
    pub groups: Vec<Group>,
}
