//! A table without content: a proposal to it is ordered after all changes before it.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Nothing. The revision of an answer tells how far a reader must have applied the log to see
/// every change that was acknowledged before it asked.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct BarrierTable {}

impl Table for BarrierTable {
    const NAME: &'static str = "barrier";
    const SPREAD: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = ();
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, (): ()) -> Result<(), Rejection> {
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static BARRIER: TableEntry = TableEntry::of::<BarrierTable>();
