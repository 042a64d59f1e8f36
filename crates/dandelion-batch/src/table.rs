//! The replicated table of batch jobs and of the results of their items.

use std::collections::BTreeMap;
use std::collections::HashSet;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::control::MAX_COMMAND_BYTES;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::TeamId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of one page of results, bodies included; readers accept at most 1 MB.
pub const MAX_PAGE_BYTES: u64 = 768 * 1024;

/// Estimated size of a result in a page without its body and item id, in bytes.
const RESULT_OVERHEAD: u64 = 96;

/// A job with the results of its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJob {
    /// The job as submitted, but without the headers and bodies of items that have a result.
    pub job: BatchJob,
    /// Results in the order in which they were listed; a position never changes.
    pub results: Vec<ListedResult>,
    /// Whether its team has ended it; never unset.
    pub ended: bool,
    /// For each item, whether it has no result yet.
    open: Vec<bool>,
    /// Complete outputs that wait for their score, by index of the item.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    unscored: BTreeMap<usize, ListedResult>,
}

impl StoredJob {
    fn new(job: BatchJob) -> Self {
        Self {
            open: vec![true; job.items.len()],
            job,
            results: Vec::new(),
            ended: false,
            unscored: BTreeMap::new(),
        }
    }

    /// Returns the complete outputs that wait for their score, by index of the item.
    pub fn unscored(&self) -> &BTreeMap<usize, ListedResult> {
        &self.unscored
    }

    /// Returns whether the item at this index exists and has no result yet.
    pub fn is_open(&self, item: usize) -> bool {
        self.open.get(item).copied().unwrap_or(false)
    }

    /// Returns the request body of an item that has no result yet.
    pub fn body(&self, id: &str) -> Option<&[u8]> {
        let at = self.job.items.iter().position(|i| i.id == id)?;
        let item = &self.job.items[at];
        self.is_open(at).then_some(item.body.as_slice())
    }

    /// Returns the results from position `after` on: as many as fit a page, but at least one if
    /// there is any.
    pub fn page(&self, after: u64) -> &[ListedResult] {
        let start = (after as usize).min(self.results.len());
        let rest = &self.results[start..];
        let mut bytes = 0;
        let fits = |result: &&ListedResult| {
            bytes += result.text.map_or(0, |text| text.length)
                + result.id.len() as u64
                + RESULT_OVERHEAD;
            bytes <= MAX_PAGE_BYTES
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// Returns the index of the item that a result is for, if it has none yet.
    fn open_item(&self, result: &ListedResult) -> Option<usize> {
        let at = self.job.items.iter().position(|i| i.id == result.id)?;
        self.is_open(at).then_some(at)
    }

    fn add_result(&mut self, result: ListedResult) -> Result<(), Rejection> {
        let Some(at) = self.open_item(&result) else {
            return Ok(());
        };
        let item = &mut self.job.items[at];
        if item.scoring.is_some() && result.text.is_some() && result.score.is_none() {
            return Err(Rejection::invalid(
                "score",
                "the item needs a score and the result has none",
                "list the result once it is scored",
            ));
        }
        self.open[at] = false;
        item.body = Vec::new();
        item.headers = Vec::new();
        item.scoring = None;
        self.unscored.remove(&at);
        self.results.push(result);
        Ok(())
    }

    /// Records a complete output, unless one is known. The item stays open.
    fn add_unscored(&mut self, result: ListedResult) {
        if let Some(at) = self.open_item(&result) {
            self.unscored.entry(at).or_insert(result);
        }
    }
}

/// All stored batch jobs.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct BatchTable {
    jobs: BTreeMap<String, StoredJob>,
}

/// Longest encoded job, in bytes. [`BatchCommand::Submit`] adds its name.
pub const MAX_JOB_BYTES: usize = MAX_COMMAND_BYTES - 64;

/// A change of the table. All commands are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchCommand {
    /// Stores a job unless its id exists; rejected if that job belongs to another team.
    Submit(Box<BatchJob>),
    /// Records the complete output of an item that waits for its score, unless one is known or the
    /// item has a result.
    Complete {
        /// Id of the job.
        job: String,
        /// Result without its score.
        result: ListedResult,
    },
    /// Appends a result unless its item has one or is unknown; rejected if the item needs a score and
    /// the result has an output but no score.
    List {
        /// Id of the job.
        job: String,
        /// Result of one of its items.
        result: ListedResult,
    },
    /// Marks a job as ended.
    End {
        /// Id of the job.
        job: String,
        /// Requesting team; rejected unless the job belongs to it.
        team: TeamId,
    },
    /// Removes a job with its results.
    Forget {
        /// Id of the job.
        job: String,
    },
}

impl BatchTable {
    /// Returns a job by its id if it belongs to `team`.
    pub fn of_team(&self, id: &str, team: &TeamId) -> Option<&StoredJob> {
        self.jobs.get(id).filter(|stored| stored.job.team == *team)
    }

    /// Returns all jobs by id.
    pub fn jobs(&self) -> &BTreeMap<String, StoredJob> {
        &self.jobs
    }

    /// Returns the indexes of the items of a job that were also in an ended job of its team: their groups
    /// were not complete when that job ended.
    pub fn repeated_items(&self, id: &str) -> Vec<usize> {
        let Some(stored) = self.jobs.get(id) else {
            return Vec::new();
        };
        let is_earlier = |other: &&StoredJob| {
            other.ended && other.job.team == stored.job.team && other.job.id != stored.job.id
        };
        let earlier = self.jobs.values().filter(is_earlier);
        let earlier: HashSet<&str> = earlier
            .flat_map(|other| other.job.items.iter().map(|item| item.id.as_str()))
            .collect();
        let items = stored.job.items.iter().enumerate();
        items
            .filter(|(_, item)| earlier.contains(item.id.as_str()))
            .map(|(index, _)| index)
            .collect()
    }

    fn find_mut(&mut self, id: &str) -> Result<&mut StoredJob, Rejection> {
        self.jobs.get_mut(id).ok_or_else(|| Rejection::NotFound {
            what: format!("batch job `{id}`"),
        })
    }
}

impl Table for BatchTable {
    const NAME: &'static str = "batches";
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = BatchCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: BatchCommand) -> Result<(), Rejection> {
        match command {
            BatchCommand::Submit(job) => {
                let id = job.id.clone();
                let stored = self.jobs.entry(id);
                let team = job.team.clone();
                let stored = stored.or_insert_with(|| StoredJob::new(*job));
                if stored.job.team == team {
                    return Ok(());
                }
                Err(Rejection::invalid(
                    "job",
                    "another team has a job of this identity",
                    "choose a new identity",
                ))
            }
            BatchCommand::Complete { job, result } => {
                self.find_mut(&job)?.add_unscored(result);
                Ok(())
            }
            BatchCommand::List { job, result } => self.find_mut(&job)?.add_result(result),
            BatchCommand::End { job, team } => {
                let stored = self.find_mut(&job)?;
                if stored.job.team != team {
                    return Err(Rejection::NotFound {
                        what: format!("batch job `{job}` of team `{team}`"),
                    });
                }
                stored.ended = true;
                stored.unscored.clear();
                Ok(())
            }
            BatchCommand::Forget { job } => {
                self.jobs.remove(&job);
                Ok(())
            }
        }
    }
}

#[distributed_slice(TABLES)]
static BATCHES: TableEntry = TableEntry::of::<BatchTable>();
