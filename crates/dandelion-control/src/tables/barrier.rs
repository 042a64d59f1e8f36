//! A table without content, for linearizable reads: a proposal to it is ordered after all earlier
//! changes.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Empty table. A reader proposes to it and waits until it has applied the revision of the answer;
/// it then sees every change that was acknowledged before the proposal.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct BarrierTable {}

impl Table for BarrierTable {
    const NAME: &'static str = "barrier";
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = ();
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, (): ()) -> Result<(), Rejection> {
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static BARRIER: TableEntry = TableEntry::of::<BarrierTable>();
