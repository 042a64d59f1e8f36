//! Batch jobs: many requests submitted at once, run later, their results read in order.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::TeamId;
use crate::mesh::Header;
use crate::time::Millis;

/// One request of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchItem {
    /// Identity within the job, also that of the request at the upstream.
    pub id: String,
    /// Path at the upstream.
    pub path: String,
    /// Headers, names in lower case.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Prompt tokens and the most output tokens.
    pub tokens: u64,
    /// Tokens that the caller expects as output; often wrong.
    pub expected: Option<u64>,
    /// Model.
    pub model: Option<String>,
    /// Items of one group share their prompt and count together.
    pub group: String,
}

/// A batch job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchJob {
    /// Identity.
    pub id: String,
    /// Team that owns it.
    pub team: TeamId,
    /// Host of the route.
    pub host: String,
    /// Path that it was submitted to; the route follows from it.
    pub path: String,
    /// Oldest version of the weights that may generate a result.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub wanted: u32,
    /// Time after submission at which results are due.
    pub due: Millis,
    /// Time after submission at which an item may be given up.
    pub keep: Millis,
    /// Failures of an item after which it is given up.
    pub attempts: u32,
    /// Whether one version must generate a whole result.
    pub pure: bool,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Items.
    pub items: Vec<BatchItem>,
}

/// Result of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchResult {
    /// Item.
    pub id: String,
    /// Whole output, or nothing where the item was given up.
    pub text: Option<String>,
    /// Versions of the weights that generated the output.
    pub versions: Vec<u64>,
}

/// A result as it is replicated: its text is kept apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Item.
    pub id: String,
    /// Text, or nothing where the item was given up.
    pub text: Option<TextRef>,
    /// Versions of the weights that generated the output.
    pub versions: Vec<u64>,
}

/// Which text belongs to a result: runs of one item make different ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextRef {
    /// Bytes.
    pub length: u64,
    /// Digest.
    pub digest: u64,
}

/// Names a text. Runs of one item make different ones, so its digest is part of the name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextKey {
    /// Job.
    pub job: String,
    /// Item.
    pub item: String,
    /// Digest of the text.
    pub digest: u64,
}

/// The text of a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextEntry {
    /// Its name.
    pub key: TextKey,
    /// Text.
    pub text: String,
}

/// Output of an item that is not finished, kept so that another daemon can go on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Item.
    pub item: String,
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Number of the last event.
    pub last: u64,
    /// Versions of the weights that made it.
    pub versions: Vec<u64>,
}

/// A call between daemons that keep texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextCall {
    /// Keeps texts; answered once they are durable.
    Keep(Vec<TextEntry>),
    /// Reads texts.
    Read(Vec<TextKey>),
    /// Keeps the unfinished output of an item.
    KeepPartial {
        /// Job.
        job: String,
        /// Output.
        partial: Partial,
    },
    /// Reads the unfinished outputs of a job.
    ReadPartials(String),
    /// Asks whether every text that should be here is.
    Complete,
}

/// Answer to a [`TextCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TextReply {
    /// Whether all texts are kept here.
    Kept(bool),
    /// Those that are held here.
    Read(Vec<TextEntry>),
    /// Unfinished outputs.
    Partials(Vec<Partial>),
}

/// What the daemon in charge says of the results from a position on; their texts are read from the
/// daemons that hold them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedPage {
    /// Items of the job.
    pub total: u64,
    /// Results at consecutive positions.
    pub listed: Vec<Listed>,
    /// Position after the last of them.
    pub next: u64,
}

/// Results from a position on, with their texts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchPage {
    /// Items of the job.
    pub total: u64,
    /// Results at consecutive positions.
    pub results: Vec<BatchResult>,
    /// Position after the last of them.
    pub next: u64,
}

/// A call to the daemon in charge of the batch jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchCall {
    /// Keeps a job; a job that is known already is left as it is.
    Submit(Box<BatchJob>),
    /// Reads results; waits up to `wait` for one.
    Read {
        /// Job.
        job: String,
        /// Team that asks.
        team: TeamId,
        /// First position.
        after: u64,
        /// Longest wait.
        wait: Millis,
    },
    /// Reads the body of an item that has no result yet.
    Body {
        /// Job.
        job: String,
        /// Team that asks.
        team: TeamId,
        /// Item.
        item: String,
    },
    /// Asks whether a daemon that leaves holds nothing any more that others lack.
    Emptied(DaemonId),
    /// Ends a job.
    End {
        /// Job.
        job: String,
        /// Team that asks.
        team: TeamId,
    },
}

/// Answer to a [`BatchCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchReply {
    /// Kept or ended, and on the disks that it needs.
    Done,
    /// Results.
    Page(ListedPage),
    /// Body of an item.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Not yet; ask again.
    NotYet,
    /// There is no such job or item.
    Unknown,
    /// This daemon is not in charge; nothing was changed.
    NotInCharge(Option<DaemonId>),
    /// It may or may not take effect.
    Unsure,
}
