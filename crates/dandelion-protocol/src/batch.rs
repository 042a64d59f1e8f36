//! Batch jobs: many requests that are submitted together and run later. Results are read in the
//! order in which the items finish.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::TeamId;
use crate::incarnations::SoftwareVersion;
use crate::mesh::Header;
use crate::time::Millis;

/// A request that scores the complete output of an item. It is idempotent and belongs to no team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringRequest {
    /// Id, the attempt id of each try.
    pub id: String,
    /// Host of the request; host and path determine the route.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchItem {
    /// Id, unique within the job; also the attempt id of its requests to upstreams.
    pub id: String,
    /// Path of the request to the upstream.
    pub path: String,
    /// Headers of the request, names in lower case.
    pub headers: Vec<Header>,
    /// Body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
    /// Number of output tokens that the caller expects; often wrong.
    pub expected: Option<u64>,
    /// Model that must run it; none for any model of the service.
    pub model: Option<String>,
    /// Group of the item: items of a group share a prompt, and the group is complete when all of
    /// them are done.
    pub group: String,
    /// Request that scores its output; none if the item needs no score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scoring: Option<ScoringRequest>,
}

/// A batch job, as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchJob {
    /// Id, chosen by the caller and unique among the stored jobs.
    pub id: String,
    /// Team that submitted it.
    pub team: TeamId,
    /// Host that it was submitted to.
    pub host: String,
    /// Path that it was submitted to; host and path determine the route.
    pub path: String,
    /// Oldest version of the weights that may generate a result.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted: u32,
    /// Time after submission at which results are due.
    pub due: Millis,
    /// Time after submission at which unfinished items may be given up.
    pub keep: Millis,
    /// Number of failures at which an item is given up.
    pub attempts: u32,
    /// Whether a single version of the weights must generate a complete result.
    pub pure: bool,
    /// Whether another upstream may resume an interrupted stream.
    pub resumable: bool,
    /// Items in the order of submission.
    pub items: Vec<BatchItem>,
}

/// Result of one item, with its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchResult {
    /// Id of the item.
    pub id: String,
    /// Complete output; none if the item was given up.
    pub text: Option<String>,
    /// Versions of the weights that generated the output.
    pub versions: Vec<u64>,
    /// Digest of the scoring service's answer; none if the item needs no score or was given up.
    pub score: Option<String>,
}

/// Result of one item, as it is replicated; its body is stored separately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// Id of the item.
    pub id: String,
    /// Reference to its body; none if the item was given up.
    pub text: Option<TextRef>,
    /// Versions of the weights that generated the output.
    pub versions: Vec<u64>,
    /// Digest of the scoring service's answer; none if the item needs no score, or none yet, or was
    /// given up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<String>,
}

/// Identifies the body of a result among those that several runs of the item have generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextRef {
    /// Length of the body in bytes.
    pub length: u64,
    /// Digest of the body.
    pub digest: u64,
}

/// Key of a stored text. It contains a digest, because several runs of an item generate different
/// texts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextKey {
    /// Id of the job.
    pub job: String,
    /// Id of the item.
    pub item: String,
    /// Digest of a result body; for an unfinished output the number of its last event.
    pub digest: u64,
}

/// A stored text: the body of a result, or an unfinished output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextEntry {
    /// Key under which it is stored.
    pub key: TextKey,
    /// Body of the result, or the unfinished output as JSON.
    pub text: String,
}

/// Unfinished output of an item, stored so that another daemon can resume the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Id of the item.
    pub item: String,
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of the last event.
    pub last: u64,
    /// Versions of the weights that generated it, in the order of their first use.
    pub versions: Vec<u64>,
    /// Version of the software that generated it; unknown if a daemon of an earlier version saved it.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// A call between daemons that store texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextCall {
    /// Stores texts; answered when they are durable.
    Keep(Vec<TextEntry>),
    /// Reads texts.
    Read(Vec<TextKey>),
    /// Stores the unfinished output of an item; answered when it is durable.
    KeepPartial {
        /// Id of the job.
        job: String,
        /// Output so far.
        partial: Partial,
    },
    /// Reads the longest unfinished output of each item of a job.
    ReadPartials(String),
    /// Checks whether the receiver has every result body that it should have.
    Complete,
}

/// Answer to a [`TextCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextReply {
    /// Whether the texts are durable, or whether every result body is there.
    Kept(bool),
    /// Requested texts that the receiver has.
    Read(Vec<TextEntry>),
    /// Unfinished outputs of the job that the receiver has.
    Partials(Vec<Partial>),
}

/// Results from a position on, as the leader of the store group lists them. Their bodies are read
/// from the daemons that store them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedPage {
    /// Number of items in the job.
    pub total: u64,
    /// Results at consecutive positions.
    pub listed: Vec<ListedResult>,
    /// Position after the last of them.
    pub next: u64,
}

/// Results from a position on, with their bodies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPage {
    /// Number of items in the job.
    pub total: u64,
    /// Results at consecutive positions.
    pub results: Vec<BatchResult>,
    /// Position after the last of them.
    pub next: u64,
}

/// A call to the leader of the store group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchCall {
    /// Stores a job; does nothing if the team has a job of this id already. Shared, because the call may be
    /// sent to several daemons.
    Submit(Arc<BatchJob>),
    /// Reads results; waits up to `wait` for the first one.
    Read {
        /// Id of the job.
        job: String,
        /// Requesting team; other teams' jobs are unknown to it.
        team: TeamId,
        /// Position of the first result to read.
        after: u64,
        /// Longest wait for a result.
        wait: Millis,
    },
    /// Reads the request body of an item that has no result yet.
    Body {
        /// Id of the job.
        job: String,
        /// Requesting team; other teams' jobs are unknown to it.
        team: TeamId,
        /// Id of the item.
        item: String,
    },
    /// Checks that a departing store daemon has no data that the others lack.
    Emptied(DaemonId),
    /// Ends a job; its remaining items are not run.
    End {
        /// Id of the job.
        job: String,
        /// Requesting team; other teams' jobs are unknown to it.
        team: TeamId,
    },
}

/// Answer to a [`BatchCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchReply {
    /// The job is stored or ended durably, or the departing daemon is emptied.
    Done,
    /// Listed results.
    Page(ListedPage),
    /// Request body of an item.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The departing daemon is not emptied yet.
    NotYet,
    /// There is no such job or item, or the job belongs to another team.
    Unknown,
    /// The receiver does not lead the store group; nothing was changed. Names the leader if it is
    /// known.
    NotInCharge(Option<DaemonId>),
    /// The change may or may not take effect.
    Unsure,
}
