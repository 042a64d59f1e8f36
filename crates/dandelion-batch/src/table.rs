//! The replicated table of batch jobs and their results.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::Listed;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::TeamId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most bytes of one page of results; readers take at most 1 MB.
pub const MAX_PAGE_BYTES: u64 = 768 * 1024;

/// Bytes of a result in a page beside its text and identity.
const RESULT_BYTES: u64 = 96;

/// A job with what is known of its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJob {
    /// The job; items that have a result keep their identity only.
    pub job: BatchJob,
    /// Results in the order in which they were listed; a position never changes.
    pub results: Vec<Listed>,
    /// Whether its owner ended it.
    pub ended: bool,
    open: Vec<bool>,
}

impl StoredJob {
    fn keep(job: BatchJob) -> Self {
        Self {
            open: vec![true; job.items.len()],
            job,
            results: Vec::new(),
            ended: false,
        }
    }

    /// Returns whether an item has no result yet.
    pub fn is_open(&self, item: usize) -> bool {
        self.open.get(item).copied().unwrap_or(false)
    }

    /// Returns the body of an item that has no result yet.
    pub fn body(&self, id: &str) -> Option<&[u8]> {
        let at = self.job.items.iter().position(|i| i.id == id)?;
        let item = &self.job.items[at];
        self.is_open(at).then_some(item.body.as_slice())
    }

    /// Returns the results from a position on, as many as fit a page.
    pub fn page(&self, after: u64) -> &[Listed] {
        let start = (after as usize).min(self.results.len());
        let rest = &self.results[start..];
        let mut bytes = 0;
        let fits = |result: &&Listed| {
            bytes +=
                result.text.map_or(0, |text| text.length) + result.id.len() as u64 + RESULT_BYTES;
            bytes <= MAX_PAGE_BYTES
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    fn list(&mut self, result: Listed) {
        let at = self.job.items.iter().position(|i| i.id == result.id);
        let Some(at) = at.filter(|at| self.is_open(*at)) else {
            return;
        };
        self.open[at] = false;
        let item = &mut self.job.items[at];
        item.body = Vec::new();
        item.headers = Vec::new();
        self.results.push(result);
    }
}

/// All jobs that are kept.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct BatchTable {
    jobs: BTreeMap<String, StoredJob>,
}

/// A change of the table. Each may be made again without a further effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchCommand {
    /// Keeps a job, unless it is kept already.
    Submit(Box<BatchJob>),
    /// Lists a result at the next position, unless its item has one.
    List {
        /// Job.
        job: String,
        /// Result.
        result: Listed,
    },
    /// Ends a job.
    End {
        /// Job.
        job: String,
        /// Team that asks.
        team: TeamId,
    },
    /// Forgets a job.
    Forget {
        /// Job.
        job: String,
    },
}

impl BatchTable {
    /// Returns a job of a team.
    pub fn of_team(&self, id: &str, team: &TeamId) -> Option<&StoredJob> {
        self.jobs.get(id).filter(|stored| stored.job.team == *team)
    }

    /// Borrows the jobs by identity.
    pub fn jobs(&self) -> &BTreeMap<String, StoredJob> {
        &self.jobs
    }

    fn known(&mut self, id: &str) -> Result<&mut StoredJob, Rejection> {
        self.jobs.get_mut(id).ok_or_else(|| Rejection::NotFound {
            what: format!("batch job `{id}`"),
        })
    }
}

impl Table for BatchTable {
    const NAME: &'static str = "batches";
    const SPREAD: bool = false;
    const REMEMBERED: bool = false;
    type Command = BatchCommand;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: BatchCommand) -> Result<(), Rejection> {
        match command {
            BatchCommand::Submit(job) => {
                let id = job.id.clone();
                let stored = self.jobs.entry(id);
                let team = job.team.clone();
                let stored = stored.or_insert_with(|| StoredJob::keep(*job));
                if stored.job.team == team {
                    return Ok(());
                }
                Err(Rejection::invalid(
                    "job",
                    "another team has a job of this identity",
                    "choose a new identity",
                ))
            }
            BatchCommand::List { job, result } => {
                self.known(&job)?.list(result);
                Ok(())
            }
            BatchCommand::End { job, team } => {
                let stored = self.known(&job)?;
                if stored.job.team != team {
                    return Err(Rejection::NotFound {
                        what: format!("batch job `{job}` of team `{team}`"),
                    });
                }
                stored.ended = true;
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
