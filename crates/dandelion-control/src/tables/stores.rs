//! The daemons that founded the group which stores batch jobs.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Founders of the store group; set once, so that no second group is founded.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct StoresTable {
    founders: Vec<DaemonId>,
}

/// Names the founders, unless they are named already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundStores {
    /// Daemons.
    pub founders: Vec<DaemonId>,
}

impl StoresTable {
    /// Borrows the founders; empty before the group is founded.
    pub fn founders(&self) -> &[DaemonId] {
        &self.founders
    }
}

impl Table for StoresTable {
    const NAME: &'static str = "stores";
    const SPREAD: bool = true;
    const REMEMBERED: bool = false;
    type Command = FoundStores;
    type Reply = ();

    fn apply(&mut self, _: &ApplyContext<'_>, command: FoundStores) -> Result<(), Rejection> {
        if self.founders.is_empty() {
            self.founders = command.founders;
        }
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static STORES: TableEntry = TableEntry::of::<StoresTable>();
