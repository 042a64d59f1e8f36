//! The replicated table of all jobs' ledgers.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::JobId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger::command::LedgerChange;
use crate::ledger::command::LedgerCommand;
use crate::ledger::command::LedgerRefusal;
use crate::ledger::command::LedgerReply;
use crate::ledger::job::Freeze;
use crate::ledger::job::JobLedger;
use crate::ledger::job::Pull;
use crate::ledger::job::Reserve;

/// Name of the replicated table that holds [`LedgerTable`].
pub const LEDGER_TABLE: &str = "ledger";

/// The ledgers of all jobs; an entry is created by the first `Lead` of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerTable {
    jobs: BTreeMap<JobId, JobLedger>,
}

#[distributed_slice(TABLES)]
static LEDGER: TableEntry = TableEntry::of::<LedgerTable>();

impl LedgerTable {
    /// Borrows the ledger of a job, or none before its first coordinator.
    pub fn job(&self, job: &JobId) -> Option<&JobLedger> {
        self.jobs.get(job)
    }
}

impl Table for LedgerTable {
    const NAME: &'static str = LEDGER_TABLE;
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = LedgerCommand;
    type Reply = Result<LedgerReply, LedgerRefusal>;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: LedgerCommand,
    ) -> Result<Self::Reply, Rejection> {
        if let LedgerChange::Lead {
            daemon,
            incarnation,
        } = command.change
        {
            let job = self.jobs.entry(command.job).or_default();
            return Ok(Ok(job.lead(daemon, incarnation)));
        }
        match self.jobs.get_mut(&command.job) {
            Some(job) => Ok(apply_change(job, context, command.change)),
            None => Ok(Err(LedgerRefusal::NoJob)),
        }
    }
}

fn apply_change(
    job: &mut JobLedger,
    context: &ApplyContext<'_>,
    change: LedgerChange,
) -> Result<LedgerReply, LedgerRefusal> {
    match change {
        LedgerChange::Lead {
            daemon,
            incarnation,
        } => Ok(job.lead(daemon, incarnation)),
        LedgerChange::Feed { epoch, feed } => {
            job.check_epoch(epoch)?;
            job.feed(feed)
        }
        LedgerChange::Publish { version } => Ok(job.publish(version)),
        LedgerChange::Renew {
            epoch,
            trainer,
            lease,
        } => {
            job.check_epoch(epoch)?;
            job.renew(context.at, &trainer, lease)
        }
        LedgerChange::Pull {
            epoch,
            number,
            trainer,
            cursor,
            held,
            skipped,
            lease,
            bound,
        } => {
            job.check_epoch(epoch)?;
            let pull = Pull {
                number,
                trainer: &trainer,
                cursor,
                held,
                skipped,
                lease,
                bound,
            };
            job.pull(context.at, &pull)
        }
        LedgerChange::Freeze {
            epoch,
            trainer,
            batch,
            bound,
            spent,
        } => {
            job.check_epoch(epoch)?;
            let freeze = Freeze {
                at: context.at,
                trainer: &trainer,
                bound,
                spent,
            };
            job.freeze(&freeze, batch)
        }
        LedgerChange::Reserve {
            epoch,
            sequence,
            spent,
            total,
            budget,
        } => {
            job.check_epoch(epoch)?;
            job.reserve(&Reserve {
                sequence,
                spent,
                total,
                budget,
            })
        }
        LedgerChange::End { epoch } => {
            job.check_epoch(epoch)?;
            Ok(job.end())
        }
    }
}
